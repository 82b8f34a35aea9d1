"""The entry point of the program."""

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
    """Python restores the default handlers before it exits, so that a late SIGHUP would kill the process."""
    signals = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)
    original_handlers = [signal.getsignal(number) for number in signals]
    (tmp_path / "config.json").write_text(json.dumps(config_document()))
    monkeypatch.setenv("EDGE_CONFIG", str(tmp_path / "config.json"))
    monkeypatch.setattr("uvloop.run", lambda serving: serving.close())
    try:
        assert main_module.main() == 0
        assert [signal.getsignal(number) for number in signals] == [signal.SIG_IGN] * 3
    finally:
        for number, handler in zip(signals, original_handlers, strict=True):
            signal.signal(number, handler)
