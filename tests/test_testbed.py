"""The testbed's command line: a small sweep as a whole, and the page on capacity."""

from __future__ import annotations

import os
import re
import signal
import subprocess
import sys
from pathlib import Path

import pytest

from ingress_testbed import results, slopes

ROOT = Path(__file__).parent.parent


def ingress_testbed(*words: str) -> subprocess.Popen[str]:
    command = [sys.executable, "-m", "ingress_testbed", *words]
    return subprocess.Popen(command, cwd=ROOT, stdout=subprocess.PIPE, stderr=subprocess.STDOUT, text=True)


def test_a_small_sweep_of_real_and_hollow_ingresses(tmp_path: Path) -> None:
    path = tmp_path / "reconnect.json"
    words = ["--over", "2,4,6", "--repeat", "1", "--set", "capacity=50", "--set", "backends=30"]
    ran = ingress_testbed("sweep", "reconnect", *words, "--out", str(path))
    said, _ = ran.communicate(timeout=120)
    assert ran.returncode == 0, said
    result = results.read(path)
    assert (
        result.is_complete
        and [p.size for p in result.points] == [2, 4, 6]
        and result.options["backends"] == 30
    )
    for point in result.points:  # each came back, hollow and real, and has both changes made meanwhile
        assert point.figures["back_n"] == 1 and point.figures["in_force_part"] == 1
        assert point.figures["calls_each_n"] >= 1
    assert str(ROOT) not in path.read_text() and str(tmp_path) not in path.read_text()


def test_ctrl_c_leaves_what_was_played(tmp_path: Path) -> None:
    path = tmp_path / "list-module.json"
    ran = ingress_testbed("sweep", "list-module", "--over", "20,30,40", "--repeat", "100", "--out", str(path))
    assert ran.stdout and ran.stdout.readline().startswith("size 20 ")
    ran.send_signal(signal.SIGINT)
    said, _ = ran.communicate(timeout=60)
    assert ran.returncode == 130 and "Traceback" not in said
    result = results.read(path)
    assert not result.is_complete and 1 <= len(result.points) < 300 and os.listdir(tmp_path) == [path.name]


@pytest.mark.parametrize(
    ("words", "error"),
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
def test_bad_arguments_get_a_clear_error(words: list[str], error: str) -> None:
    ran = ingress_testbed(*words)
    said, _ = ran.communicate(timeout=60)
    assert ran.returncode == 2 and error in " ".join(said.split()) and "Traceback" not in said


def test_the_page_on_capacity_says_what_the_files_hold() -> None:
    page, folder = (ROOT / "docs/CAPACITY.md").read_text(), ROOT / "docs/capacity"
    row = r"^\|[^|]*\| `(\S+\.json)` `(\w+)` \|[^|]*\| (\S+) ± \S+ \| (\S+) \| (\w+) \|$"
    rows = re.findall(row, page, re.M)
    assert len(rows) > 40
    for file, figure, slope, start, fit in rows:
        found = results.read(folder / file).slopes[figure]
        told = (f"{found.slope:.3g}", f"{found.intercept:.3g}", found.fit)
        assert told == (slope, start, fit), (file, figure)
    for path in folder.iterdir():
        result = results.read(path)
        run = f"| `{path.name}` | `{result.command}` | `{result.program}` |"
        assert run in page and result.is_complete and not result.is_modified, path.name
        for figure, kept in result.slopes.items():
            found = slopes.fit_line(
                [(p.size, p.figures[figure]) for p in result.points if figure in p.figures]
            )
            slope = pytest.approx(kept.slope, rel=1e-12, abs=1e-12)  # last bits: the processor's
            assert (found.slope, found.fit) == (slope, kept.fit), figure


def test_the_ingress_does_not_import_the_experiments() -> None:
    sources = [*ROOT.glob("quota_ingress/**/*.py"), ROOT / "requirements.txt"]
    assert not [p.name for p in sources if "ingress_testbed" in p.read_text()]
