"""The pages name files and functions that exist."""

from __future__ import annotations

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
FOLDERS = (ROOT, ROOT / "quota_ingress", ROOT / "tests")
PAGES = (
    "README.md",
    "DEVELOPERS.md",
    "docs/architecture.md",
    "docs/glossary.md",
    "docs/on-call.md",
    "docs/promises.md",
    "docs/system-calls.md",
)
HISTORY = "## Older pages"  # from there on a page tells what things were called
FILE = re.compile(r"`([\w/.-]+\.(?:py|md|toml|txt))`")
FUNCTIONS_OF_FILE = re.compile(r"`([\w/]+\.py)` \(((?:`[\w.]+`(?:, )?)+)\)")


def living_text(page: str) -> str:
    return (ROOT / page).read_text().partition(HISTORY)[0]


def found(name: str) -> Path | None:
    return next((folder / name for folder in FOLDERS if (folder / name).exists()), None)


@pytest.mark.parametrize("page", PAGES)
def test_files_that_a_page_names_exist(page: str) -> None:
    named = set(FILE.findall(living_text(page))) - {"KNOWN-RED.txt"}  # not there while nothing is red
    assert [name for name in sorted(named) if not found(name)] == []


@pytest.mark.parametrize("page", PAGES)
def test_functions_that_a_page_names_exist_in_their_file(page: str) -> None:
    missing = [
        f"{file}: {function}"
        for file, functions in FUNCTIONS_OF_FILE.findall(living_text(page))
        for function in re.findall(r"`([\w.]+)`", functions)
        if not defines(found(file), function.rpartition(".")[2])
    ]
    assert missing == []


def defines(file: Path | None, name: str) -> bool:
    return file is not None and bool(re.search(rf"(?:def|class) {name}\b", file.read_text()))
