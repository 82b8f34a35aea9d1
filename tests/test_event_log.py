"""The event log: counts, events, and how the process writes them."""

from __future__ import annotations

import asyncio
import json
import logging
import re
import signal
from pathlib import Path

import pytest

from quota_ingress.net.event_log import EventLog
from tests.net_helpers import HOST, OK, PeerServer, request, respond_with
from tests.process_helpers import config_document, fetch, listening_port, start_ingress

RECORDED = Path(__file__).parent / "data" / "event_log.txt"


def test_events_are_always_counted_and_written_only_if_enabled(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    disabled, enabled = EventLog.from_environment({}), EventLog.from_environment({"EDGE_TRACE": "1"})
    disabled.event("ended", "served", id=b"a")
    assert not caplog.records
    enabled.event("ended", "served", id=b"a\xff", n=1)
    (record,) = caplog.records
    written = json.loads(record.getMessage())
    assert written.pop("at") > 0
    assert written == {"event": "ended", "reason": "served", "id": "a\xff", "n": 1}
    assert json.loads(disabled.summary()) == {"ended/served": 1} == json.loads(enabled.summary())


def test_events_are_written_in_the_form_of_the_previous_version(caplog: pytest.LogCaptureFixture) -> None:
    """The soak's judge and operators' tools read this log: except for `at`, it must equal a recorded one."""
    caplog.set_level(logging.INFO)
    event_log = EventLog(writes=True)
    recorded = [line.partition("ironledge.trace: ")[2] for line in RECORDED.read_text().splitlines()]
    recorded = [line for line in recorded if line]
    for line in recorded:
        fields = json.loads(line)
        fields.pop("at")
        event_log.event(fields.pop("event"), fields.pop("reason", ""), **fields)
    written = [record.getMessage() for record in caplog.records]
    assert [_with_zero_time(line) for line in written] == [_with_zero_time(line) for line in recorded]
    assert len(recorded) > 10 and {record.name for record in caplog.records} == {"quota_ingress.events"}


def test_counts_are_written_in_the_form_of_the_previous_version() -> None:
    (recorded,) = [
        line.partition("counts: ")[2] for line in RECORDED.read_text().splitlines() if "counts: " in line
    ]
    event_log = EventLog()
    for name, count in reversed(json.loads(recorded).items()):
        kind, _, reason = name.partition("/")
        for _ in range(count):
            event_log.event(kind, reason)
    assert event_log.summary() == recorded


def _with_zero_time(line: str) -> str:
    return re.sub(r'"at": [0-9]+', '"at": 0', line, count=1)


def test_a_violation_is_always_written(caplog: pytest.LogCaptureFixture) -> None:
    event_log = EventLog()
    event_log.violation("request closed unanswered", requests=2)
    assert event_log.violations == 1 and "request closed unanswered" in caplog.text


async def test_a_process_logs_how_each_request_ended(tmp_path: Path) -> None:
    server = await PeerServer(respond_with(OK)).start()
    backend = {"name": "s-1", "address": f"{HOST}:{server.port}", "status": "up"}
    known = {"index": 1, "snapshot": True, "endpoints": [backend]}
    (tmp_path / "config.json").write_text(json.dumps(config_document(known=known)))
    process = start_ingress(tmp_path / "config.json", EDGE_TRACE="1")
    port = listening_port(process)
    assert b" 200 " in await fetch(port, request("r0"))
    process.send_signal(signal.SIGTERM)
    _, errors = process.communicate(timeout=60)
    lines = (line.partition("quota_ingress.events: ")[2] for line in errors.splitlines())
    events = [json.loads(line) for line in lines if line]
    request_events = [(e["event"], e.get("reason")) for e in events if e.get("id") == "r0"]
    assert request_events == [("arrived", None), ("attempt", "begun"), ("attempt", "ok"), ("ended", "served")]
    counts = json.loads(errors.rpartition("counts: ")[2].splitlines()[0])
    assert counts["ended/served"] == 1 and not any(name.startswith("violation") for name in counts)
    server.stop()


async def test_a_process_that_was_not_scheduled_logs_the_delay_and_its_cpu_time(tmp_path: Path) -> None:
    """The delay of the event loop and the little CPU used show that the machine caused a missed deadline."""
    (tmp_path / "config.json").write_text(json.dumps(config_document()))
    process = start_ingress(tmp_path / "config.json", EDGE_TRACE="1")
    await asyncio.to_thread(listening_port, process)
    await asyncio.sleep(0.3)
    process.send_signal(signal.SIGSTOP)
    await asyncio.sleep(0.6)
    process.send_signal(signal.SIGCONT)
    await asyncio.sleep(0.3)
    process.send_signal(signal.SIGTERM)
    _, errors = await asyncio.to_thread(process.communicate, timeout=60)
    lines = (line.partition("quota_ingress.events: ")[2] for line in errors.splitlines())
    delays = [e for e in map(json.loads, filter(None, lines)) if e.get("reason") == "event loop late"]
    assert delays and delays[0]["late_us"] > 200_000 and delays[0]["cpu_us"] < 100_000
