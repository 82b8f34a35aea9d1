"""The files and functions that the documentation names exist."""

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
HISTORY_HEADING = "## Older pages"  # the names below this heading are historical
FILE = re.compile(r"`([\w/.-]+\.(?:py|md|toml|txt))`")
FUNCTIONS_OF_FILE = re.compile(r"`([\w/]+\.py)` \(((?:`[\w.]+`(?:, )?)+)\)")


def current_text(page: str) -> str:
    return (ROOT / page).read_text().partition(HISTORY_HEADING)[0]


def find_file(name: str) -> Path | None:
    return next((folder / name for folder in FOLDERS if (folder / name).exists()), None)


@pytest.mark.parametrize("page", PAGES)
def test_files_that_a_page_names_exist(page: str) -> None:
    file_names = set(FILE.findall(current_text(page))) - {
        "KNOWN-RED.txt"
    }  # exists only while it lists a test
    assert [name for name in sorted(file_names) if not find_file(name)] == []


@pytest.mark.parametrize("page", PAGES)
def test_functions_that_a_page_names_exist_in_their_file(page: str) -> None:
    missing = [
        f"{file}: {function}"
        for file, functions in FUNCTIONS_OF_FILE.findall(current_text(page))
        for function in re.findall(r"`([\w.]+)`", functions)
        if not defines(find_file(file), function.rpartition(".")[2])
    ]
    assert missing == []


def defines(file: Path | None, name: str) -> bool:
    return file is not None and bool(re.search(rf"(?:def|class) {name}\b", file.read_text()))
