"""The list of known failures: its format, and what CI does about its entries."""

from __future__ import annotations

import pytest

from tests.support.known_red import Frequency, KnownFailure, KnownRedError, check_tests_exist, parse

pytest_plugins = ["pytester"]

ENTRY = "tests/test_a.py::test_b | at times | late by 0.2 s; seed 7; issue 3"


def test_an_entry_is_a_test_or_a_command() -> None:
    test, command = parse(f"{ENTRY}\n\nreview/1/run.sh | always | ran twice; no seed; issue 4\n")
    assert test == KnownFailure(
        "tests/test_a.py::test_b", Frequency.AT_TIMES, "late by 0.2 s; seed 7; issue 3"
    )
    assert test.is_test and not command.is_test and command.frequency is Frequency.ALWAYS


@pytest.mark.parametrize(
    "text", ["tests/test_a.py::test_b | late", "a | sometimes | b", " | always | b", "\n".join([ENTRY] * 4)]
)
def test_a_malformed_or_long_list_is_refused(text: str) -> None:
    with pytest.raises(KnownRedError):
        parse(text)


def test_an_entry_for_a_test_that_does_not_exist_is_refused() -> None:
    check_tests_exist(parse(f"{ENTRY}\nmake soak | always | b"), {"tests/test_a.py::test_b"})
    with pytest.raises(KnownRedError, match="test_b"):
        check_tests_exist(parse(ENTRY), {"tests/test_a.py::test_c"})


@pytest.mark.parametrize(
    ("frequency", "passes", "fails_run"),
    [("always", False, False), ("always", True, True), ("at times", False, False), ("at times", True, False)],
)
def test_only_an_entry_that_fails_always_must_fail(
    pytester: pytest.Pytester, frequency: str, passes: bool, fails_run: bool
) -> None:
    pytester.makeconftest(
        "import pytest\n"
        "from tests.support.known_red import mark, parse\n"
        f"LISTED = parse('test_x.py::test_x | {frequency} | seen')\n"
        "def pytest_collection_modifyitems(items): mark(items, LISTED)\n"
    )
    pytester.makeini("[pytest]\nasyncio_default_fixture_loop_scope = function\n")
    pytester.makepyfile(test_x=f"def test_x():\n    assert {passes}\n")
    assert bool(pytester.runpytest_inprocess("-p", "no:cacheprovider").ret) is fails_run
