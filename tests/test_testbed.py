"""The testbed's command line, with a small sweep end to end, and the figures on the capacity page."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from ingress_testbed import results, slopes
from tests.process_helpers import wait_for_line

ROOT = Path(__file__).parent.parent


def start_testbed(*arguments: str) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "ingress_testbed", *arguments]
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)


def test_a_small_sweep_of_real_and_hollow_ingresses_completes(tmp_path: Path) -> None:
    path = tmp_path / "reconnect.json"
    options = ["--over", "2,4,6", "--repeat", "1", "--set", "capacity=50", "--set", "backends=30"]
    process = start_testbed("sweep", "reconnect", *options, "--out", str(path))
    output, _ = process.communicate(timeout=120)
    assert process.returncode == 0, output
    result = results.read(path)
    assert (
        result.is_complete
        and [p.size for p in result.points] == [2, 4, 6]
        and result.options["backends"] == 30
    )
    for point in result.points:  # every ingress, hollow and real, watches again and has both changes
        assert point.figures["back_n"] == 1 and point.figures["in_force_part"] == 1
        assert point.figures["calls_each_n"] >= 1
    assert str(ROOT) not in path.read_text() and str(tmp_path) not in path.read_text()


def test_ctrl_c_keeps_the_results_so_far(tmp_path: Path) -> None:
    path = tmp_path / "list-module.json"
    process = start_testbed(
        "sweep", "list-module", "--over", "20,30,40", "--repeat", "100", "--out", str(path)
    )
    assert wait_for_line(process.stdout, process).startswith("size 20 ")
    process.send_signal(signal.SIGINT)
    output, _ = process.communicate(timeout=60)
    assert process.returncode == 130 and "Traceback" not in output
    result = results.read(path)
    assert not result.is_complete and 1 <= len(result.points) < 300 and os.listdir(tmp_path) == [path.name]


@pytest.mark.parametrize(
    ("arguments", "error"),
    [
        (["sweep", "nothing", "--over", "1,2,3"], "'nothing' is not one of"),
        (["sweep", "fleet", "--over", "1,2"], "3 different sizes"),
        (["sweep", "fleet", "--over", "1,2,-3"], "over 0"),
        (["sweep", "fleet", "--over", "1,2,x"], "whole numbers"),
        (
            ["sweep", "fleet", "--over", "1,2,3", "--set", "size=3"],
            "'size' is not an option of fleet; its options: backends",
        ),
        (["sweep", "fleet", "--over", "1,2,3", "--set", "rate=x"], "'x' is not a number"),
        (["sweep", "fleet", "--over", "1,2,3", "--program", "no-such-commit"], "--program"),
        (["show", "README.md"], "README.md: "),
    ],
)
def test_bad_arguments_get_a_clear_error(arguments: list[str], error: str) -> None:
    process = start_testbed(*arguments)
    output, _ = process.communicate(timeout=60)
    assert process.returncode == 2 and error in " ".join(output.split()) and "Traceback" not in output


def test_the_capacity_page_agrees_with_the_result_files() -> None:
    page, folder = (ROOT / "docs/CAPACITY.md").read_text(), ROOT / "docs/capacity"
    row_pattern = r"^\|[^|]*\| `(\S+\.json)` `(\w+)` \|[^|]*\| (\S+) ± \S+ \| (\S+) \| (\w+) \|$"
    rows = re.findall(row_pattern, page, re.M)
    assert len(rows) > 40
    for file, figure, page_slope, page_intercept, page_fit in rows:
        stored = results.read(folder / file).slopes[figure]
        formatted = (f"{stored.slope:.3g}", f"{stored.intercept:.3g}", stored.fit)
        assert formatted == (page_slope, page_intercept, page_fit), (file, figure)
    for path in folder.iterdir():
        result = results.read(path)
        page_row = f"| `{path.name}` | `{result.command}` | `{result.program}` |"
        assert page_row in page and result.is_complete and not result.is_modified, path.name
        for figure, stored_slope in result.slopes.items():
            refitted = slopes.fit_line(
                [(p.size, p.figures[figure]) for p in result.points if figure in p.figures]
            )
            # The last bits of a slope vary by processor.
            expected_slope = pytest.approx(stored_slope.slope, rel=1e-12, abs=1e-12)
            assert (refitted.slope, refitted.fit) == (expected_slope, stored_slope.fit), figure


def test_the_ingress_does_not_name_the_testbed() -> None:
    sources = [*ROOT.glob("quota_ingress/**/*.py"), ROOT / "requirements.txt"]
    assert not [p.name for p in sources if "ingress_testbed" in p.read_text()]
