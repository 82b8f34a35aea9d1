"""Constraints on the policy's source files, and the README's example."""

from __future__ import annotations

import ast
import re
import subprocess
import sys
import tomllib
from pathlib import Path

ROOT = Path(__file__).parent.parent
POLICY_FILES = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["policy"]
POLICY_MODULES = [Path(name).with_suffix("").as_posix().replace("/", ".") for name in POLICY_FILES]
FUTURE_IMPORT = "from __future__ import annotations\n"
POLICY_SOURCE = "\n".join((ROOT / name).read_text().replace(FUTURE_IMPORT, "") for name in POLICY_FILES)


def test_policy_files_are_short_and_documented() -> None:
    for name in POLICY_FILES:
        text = (ROOT / name).read_text()
        assert len(text.splitlines()) <= 400, name
        assert max(len(line) for line in text.splitlines()) <= 110, name
        assert ast.get_docstring(ast.parse(text)), name


def test_every_policy_file_is_declared() -> None:
    files = (ROOT / "quota_ingress/policy").glob("*.py")
    assert sorted(POLICY_FILES) == sorted(str(p.relative_to(ROOT)) for p in files if p.name != "__init__.py")


def test_policy_imports_only_the_standard_library_and_policy() -> None:
    allowed = {"__future__", "collections", "dataclasses", "enum", "math", "random", "typing"}
    for node in ast.walk(ast.parse(POLICY_SOURCE)):
        if isinstance(node, ast.Import):
            assert {a.name for a in node.names} <= allowed
        elif isinstance(node, ast.ImportFrom):
            top_level = (node.module or "").split(".")[0]
            assert top_level in allowed or node.module in {*POLICY_MODULES, "quota_ingress.policy"}


def test_policy_reads_no_clock_does_no_io_and_keeps_no_process_wide_state() -> None:
    calls = [n.func for n in ast.walk(ast.parse(POLICY_SOURCE)) if isinstance(n, ast.Call)]
    names = {f.id for f in calls if isinstance(f, ast.Name)}
    assert not names & {"open", "print", "input", "hash", "id", "globals", "exec", "eval"}
    attributes = {n.attr for n in ast.walk(ast.parse(POLICY_SOURCE)) if isinstance(n, ast.Attribute)}
    assert not attributes & {"urandom", "SystemRandom", "seed"}


def test_policy_does_not_depend_on_names_in_the_settings() -> None:
    assert ".name" not in POLICY_SOURCE.replace("event.name", "")


def test_readme_example_runs() -> None:
    (example,) = re.findall(r"```python\n(.*?)```", (ROOT / "README.md").read_text(), re.S)
    command = [sys.executable, "-c", example]
    process = subprocess.run(command, cwd=ROOT, capture_output=True, text=True, timeout=60)
    assert process.returncode == 0, process.stderr
    assert "SendAttempt" in process.stdout
