"""Counts and events: what a log has to answer when something was lost."""

from __future__ import annotations

import asyncio
import json
import logging
import re
import signal
from pathlib import Path

import pytest

from quota_ingress.net.event_log import EventLog
from tests.net_helpers import HOST, OK, PeerServer, answers, request
from tests.process_helpers import config_document, fetch, listening_port, start_ingress

RECORDED = Path(__file__).parent / "data" / "event_log.txt"


def test_events_are_counted_and_written_only_where_that_is_switched_on(
    caplog: pytest.LogCaptureFixture,
) -> None:
    caplog.set_level(logging.INFO)
    quiet, loud = EventLog.from_environment({}), EventLog.from_environment({"EDGE_TRACE": "1"})
    quiet.event("ended", "served", id=b"a")
    assert not caplog.records
    loud.event("ended", "served", id=b"a\xff", n=1)
    (record,) = caplog.records
    written = json.loads(record.getMessage())
    assert written.pop("at") > 0
    assert written == {"event": "ended", "reason": "served", "id": "a\xff", "n": 1}
    assert json.loads(quiet.summary()) == {"ended/served": 1} == json.loads(loud.summary())


def test_events_are_written_as_the_version_before_wrote_them(caplog: pytest.LogCaptureFixture) -> None:
    """Its log of one short run, as the soak's judge and on-call staff read it: the same text but for `at`."""
    caplog.set_level(logging.INFO)
    event_log = EventLog(writes=True)
    recorded = [line.partition("ironledge.trace: ")[2] for line in RECORDED.read_text().splitlines()]
    recorded = [line for line in recorded if line]
    for line in recorded:
        fields = json.loads(line)
        fields.pop("at")
        event_log.event(fields.pop("event"), fields.pop("reason", ""), **fields)
    written = [record.getMessage() for record in caplog.records]
    assert [_without_moment(line) for line in written] == [_without_moment(line) for line in recorded]
    assert len(recorded) > 10 and {record.name for record in caplog.records} == {"quota_ingress.events"}


def test_counts_are_written_as_the_version_before_wrote_them() -> None:
    (recorded,) = [
        line.partition("counts: ")[2] for line in RECORDED.read_text().splitlines() if "counts: " in line
    ]
    event_log = EventLog()
    for name, count in reversed(json.loads(recorded).items()):
        kind, _, reason = name.partition("/")
        for _ in range(count):
            event_log.event(kind, reason)
    assert event_log.summary() == recorded


def _without_moment(line: str) -> str:
    return re.sub(r'"at": [0-9]+', '"at": 0', line, count=1)


def test_a_violation_is_always_written(caplog: pytest.LogCaptureFixture) -> None:
    trace = EventLog()
    trace.violation("request closed unanswered", requests=2)
    assert trace.violations == 1 and "request closed unanswered" in caplog.text


async def test_a_process_tells_what_became_of_each_request(tmp_path: Path) -> None:
    server = await PeerServer(answers(OK)).start()
    backend = {"name": "s-1", "address": f"{HOST}:{server.port}", "status": "up"}
    known = {"index": 1, "snapshot": True, "endpoints": [backend]}
    (tmp_path / "config.json").write_text(json.dumps(config_document(known=known)))
    ran = start_ingress(tmp_path / "config.json", EDGE_TRACE="1")
    port = listening_port(ran)
    assert b" 200 " in await fetch(port, request("r0"))
    ran.send_signal(signal.SIGTERM)
    _, errors = ran.communicate(timeout=60)
    lines = (line.partition("quota_ingress.events: ")[2] for line in errors.splitlines())
    events = [json.loads(line) for line in lines if line]
    about = [(e["event"], e.get("reason")) for e in events if e.get("id") == "r0"]
    assert about == [("arrived", None), ("attempt", "begun"), ("attempt", "ok"), ("ended", "served")]
    counts = json.loads(errors.rpartition("counts: ")[2].splitlines()[0])
    assert counts["ended/served"] == 1 and not any(name.startswith("violation") for name in counts)
    server.stop()


async def test_a_process_that_got_no_processor_says_so(tmp_path: Path) -> None:
    """And a break that this explains is none of its own: its log tells how late its loop was, and its CPU."""
    (tmp_path / "config.json").write_text(json.dumps(config_document()))
    ran = start_ingress(tmp_path / "config.json", EDGE_TRACE="1")
    await asyncio.to_thread(listening_port, ran)
    await asyncio.sleep(0.3)
    ran.send_signal(signal.SIGSTOP)
    await asyncio.sleep(0.6)
    ran.send_signal(signal.SIGCONT)
    await asyncio.sleep(0.3)
    ran.send_signal(signal.SIGTERM)
    _, errors = await asyncio.to_thread(ran.communicate, timeout=60)
    lines = (line.partition("quota_ingress.events: ")[2] for line in errors.splitlines())
    held_up = [e for e in map(json.loads, filter(None, lines)) if e.get("reason") == "event loop late"]
    assert held_up and held_up[0]["late_us"] > 200_000 and held_up[0]["cpu_us"] < 100_000
