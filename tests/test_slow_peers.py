"""The judge of the play among slow peers finds each planted violation, and a short real play has none."""

from __future__ import annotations

from typing import Any

import pytest

from ingress_testbed.slow_peers import run as slow_peers_run
from ingress_testbed.slow_peers.judge import judge
from ingress_testbed.slow_peers.records import Call, Play, Response
from ingress_testbed.slow_peers.scenario import Answer, Framing, Pattern, Upload

LONG = Answer(100_000, Framing.CHUNKED, Pattern.STEADY, 1.0)
SHORT = Answer(1000, Framing.LENGTH, Pattern.AT_ONCE, 0.0)
SLOW_SHORT = Answer(1000, Framing.CHUNKED, Pattern.STEADY, 3.0)


def call(answer: Answer = SHORT, **changes: Any) -> Call:
    """Returns a call of 1 s that was served in time."""
    response = Response(10.1, body_at=10.1, written=answer.size, ended_at=10.2, is_complete=True)
    record = Call("m-0", 1.0, answer, Upload(0, Framing.LENGTH, 1, 1), sent_at=10.0, responses=[response])
    record.first_byte_at, record.first_body_at, record.ended_at = 10.1, 10.1, 10.2
    record.status, record.body_bytes, record.is_complete = 200, answer.size, True
    for name, value in changes.items():
        setattr(record, name, value)
    return record


def violated(*calls: Call, **changes: Any) -> list[str]:
    play = Play(1, 32, list(calls), peak_mb=20.0)
    for name, value in changes.items():
        setattr(play, name, value)
    return [rule.split()[0] for rule, _ in judge(play)]


def test_sound_plays_break_no_rule() -> None:
    assert violated(call(), call(LONG), call(LONG, ended_at=15.0)) == []
    assert violated(call(status=504, first_byte_at=11.0, ended_at=11.0, body_bytes=7, responses=[])) == []
    closed_unread = call(status=0, first_byte_at=0.0, ended_at=10.01, is_complete=False, responses=[])
    assert violated(closed_unread) == []


@pytest.mark.parametrize(
    ("changes", "rule"),
    [
        ({"peak_mb": 32.1}, "P19"),
        ({"exit_code": 1}, "P1"),
        ({"log": ["WARNING quota_ingress: rule request closed unanswered: {}"]}, "its"),
    ],
)
def test_violations_of_a_process(changes: dict[str, Any], rule: str) -> None:
    assert violated(call(), **changes) == [rule]


@pytest.mark.parametrize(
    "late",
    [
        call(first_byte_at=11.7, ended_at=11.7),
        call(ended_at=11.7),
        call(LONG, first_byte_at=11.7, ended_at=15.0),
        call(SLOW_SHORT, ended_at=13.0, responses=[Response(10.1, 10.1, 1000, 13.0, True)]),
        call(status=429, first_byte_at=12.0, ended_at=12.0, responses=[]),
        call(status=0, first_byte_at=0.0, ended_at=40.0, is_complete=False, responses=[]),
    ],
)
def test_late_answers(late: Call) -> None:
    assert violated(late) == ["P1"]


@pytest.mark.parametrize(
    "cut_off",
    [
        call(LONG, status=429, first_byte_at=10.6, ended_at=10.6, body_bytes=8),
        call(LONG, body_bytes=40_000, is_complete=False),
        call(LONG, first_byte_at=10.1, first_body_at=12.3, ended_at=12.4),
    ],
)
def test_long_answers_that_are_cut_off_or_held_back(cut_off: Call) -> None:
    assert violated(cut_off) == ["P20"]


async def test_a_short_play_among_slow_peers_breaks_no_rule() -> None:
    scenario, play = await slow_peers_run.play(seed=2, seconds=4.0)
    assert judge(play) == []
    assert scenario.memory_mb == 32 and sum(each.status == 200 for each in play.calls) > 5
