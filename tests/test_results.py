"""Reading and writing result files."""

from __future__ import annotations

import json
import os
from pathlib import Path
from typing import Any

import pytest

from ingress_testbed import results


def build_result(size: float = 3.0) -> results.Result:
    result = results.Result("e", "c", "abc", False, "n", 1, "now", {}, {})
    result.points = [results.Point(size * n, 0, {"cpu_ms": 2.0 * size * n}) for n in (1, 2, 3)]
    result.update_statistics()
    return result


def test_a_result_is_written_completely_or_not_at_all(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    path = tmp_path / "r.json"
    results.write(build_result(), path)
    assert results.read(path).slopes["cpu_ms"].slope == pytest.approx(2.0)

    def fail(*_: object) -> None:
        raise OSError("disk full")

    monkeypatch.setattr(os, "replace", fail)
    with pytest.raises(OSError, match="disk full"):
        results.write(build_result(7.0), path)
    assert os.listdir(tmp_path) == ["r.json"] and results.read(path).points[0].size == 3.0


@pytest.mark.parametrize("changed_keys", [{"version": 2}, {"format": "else"}, {"points": 3}, None])
def test_another_version_or_a_malformed_file_is_reported_in_one_line(
    tmp_path: Path, changed_keys: dict[str, Any] | None
) -> None:
    path = tmp_path / "r.json"
    results.write(build_result(), path)
    path.write_text("{" if changed_keys is None else json.dumps(json.loads(path.read_text()) | changed_keys))
    with pytest.raises(results.ResultError, match=r"^r\.json: [^\n]*$"):
        results.read(path)
