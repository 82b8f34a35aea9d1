"""KNOWN-RED.txt: the known failures that CI passes over, one a line.

    subject | always or at times | what was seen, command, seed, issue

The subject is the id of a test, or a command that is run by hand. A test that fails always has to fail:
once it passes, the run fails, so that its fix removes the line. One that fails at times may do either.
"""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum

import pytest

MAX_KNOWN_FAILURES = 3
SEPARATOR = " | "
TEST_ID_SEPARATOR = "::"


class KnownRedError(Exception):
    """KNOWN-RED.txt is malformed, too long, or lists a test that does not exist."""


class Frequency(Enum):
    """How often the subject fails."""

    ALWAYS = "always"
    AT_TIMES = "at times"


@dataclass(frozen=True, slots=True)
class KnownFailure:
    """One line of the file."""

    subject: str
    frequency: Frequency
    description: str

    @property
    def is_test(self) -> bool:
        """Whether the subject is the id of a test, and not a command."""
        return TEST_ID_SEPARATOR in self.subject


def parse(text: str) -> list[KnownFailure]:
    """Returns the entries of the file.

    Raises:
        KnownRedError: A line is malformed, or there are more than MAX_KNOWN_FAILURES.
    """
    lines = [line for line in text.splitlines() if line.strip()]
    if len(lines) > MAX_KNOWN_FAILURES:
        raise KnownRedError(f"KNOWN-RED.txt has {len(lines)} entries: {MAX_KNOWN_FAILURES} at most")
    return [_parse_line(line) for line in lines]


def check_tests_exist(failures: Iterable[KnownFailure], test_ids: Collection[str]) -> None:
    """Checks that each test of the file is one of `test_ids`.

    Raises:
        KnownRedError: One is not.
    """
    for failure in failures:
        if failure.is_test and failure.subject not in test_ids:
            raise KnownRedError(f"KNOWN-RED.txt: no such test: {failure.subject}")


def mark(items: Iterable[pytest.Item], failures: Iterable[KnownFailure]) -> None:
    """Marks the listed tests among `items` as expected failures."""
    listed = {failure.subject: failure for failure in failures}
    for item in items:
        if failure := listed.get(item.nodeid):
            is_strict = failure.frequency is Frequency.ALWAYS
            item.add_marker(pytest.mark.xfail(reason=failure.description, strict=is_strict))


def _parse_line(line: str) -> KnownFailure:
    parts = [part.strip() for part in line.split(SEPARATOR, 2)]
    frequencies = {frequency.value: frequency for frequency in Frequency}
    if len(parts) != 3 or parts[1] not in frequencies or not (parts[0] and parts[2]):
        raise KnownRedError(f"KNOWN-RED.txt: not 'subject | always or at times | what was seen': {line!r}")
    return KnownFailure(parts[0], frequencies[parts[1]], parts[2])
