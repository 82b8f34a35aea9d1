"""The program's entry."""

from __future__ import annotations

import json
import signal
from pathlib import Path

import pytest

from quota_ingress import __main__ as main_module
from tests.process_helpers import config_document


def test_a_signal_after_the_loop_has_ended_does_not_kill_the_process(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Python takes its handlers away before it ends, and what then came was a death by SIGHUP."""
    numbers = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    before = [signal.getsignal(number) for number in numbers]
    (tmp_path / "config.json").write_text(json.dumps(config_document()))
    monkeypatch.setenv("EDGE_CONFIG", str(tmp_path / "config.json"))
    monkeypatch.setattr("uvloop.run", lambda serving: serving.close())
    try:
        assert main_module.main() == 0
        assert [signal.getsignal(number) for number in numbers] == [signal.SIG_IGN] * 3
    finally:
        for number, handler in zip(numbers, before, strict=True):
            signal.signal(number, handler)
