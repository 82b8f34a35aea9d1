"""The soak test's judge finds each planted break and no others; a short run of real processes has none."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from ingress_testbed.soak.endpoints import host_of
from ingress_testbed.soak.fault_plan import KINDS, draw_faults
from ingress_testbed.soak.judge import figures, judge
from ingress_testbed.soak.records import Arrival, BadPeer, Call, Ending, Life, Run, Withdrawal, Written
from ingress_testbed.soak.run import RunSize, Soak

BACKEND = "s-00000001"
HOST = host_of(BACKEND)


def life(**changes: object) -> Life:
    made = Life(0, 100.0, ready_at=100.5, stopped_at=160.0, ended_at=161.0, exit_code=0)
    made.arrived, made.ended, made.rules = {"a": 110.0}, {"a": ["served"]}, []
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def call(**changes: object) -> Call:
    made = Call("a", 0, "read", 1.0, 110.0, True, ending=Ending.ANSWERED, ended_at=110.1, status=200)
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def arrival(**changes: object) -> Arrival:
    made = Arrival("a", HOST, 110.01, 110.01, 0.95, ended_at=110.05)
    for name, value in changes.items():
        setattr(made, name, value)
    return made


def run(calls: list[Call], arrivals: list[Arrival], *lives: Life, **more: object) -> Run:
    made = Run(1, 100.0, 0.6, False, [], calls, arrivals, [], [], [], [], [], {"clients": 0.0})
    made.lives = list(lives) or [life()]
    for name, value in more.items():
        setattr(made, name, value)
    return made


def rules(made: Run) -> list[str]:
    return [rule.split()[0] for rule, _ in judge(made)]


def test_a_sound_run_has_no_breaks() -> None:
    assert rules(run([call()], [arrival()])) == []
    left = call(ending=Ending.LEFT, ended_at=110.02)
    assert rules(run([left], [arrival(began_at=110.1, whole_at=110.1, told=0.9)])) == []


@pytest.mark.parametrize(
    ("made", "broken"),
    [
        (run([call(ending=Ending.CLOSED)], [arrival()]), "P1"),
        (run([call(ending=Ending.NO_ANSWER, ended_at=0.0)], [arrival()]), "P1"),
        (run([call(ended_at=111.7)], [arrival()]), "P1"),
        (run([call()], [arrival()], life(ended={})), "P1"),
        (run([call()], [arrival()], life(tracebacks=1)), "P1"),
        (run([call()], [arrival()], life(stopped_at=0.0)), "P1"),
        (run([call(ending=Ending.RESET)], [], life(arrived={}, ended={})), "P1"),
        (run([call()], [arrival()], life(ended={"a": ["served", "failed"]})), "P2"),
        (run([call(sound=False)], [arrival()]), "P3"),
        (run([call()], [arrival(sound=False)]), "P3"),
        (run([call()], [arrival(), arrival(id="b")]), "P3"),
        (
            run(
                [call(request_class="order")],
                [arrival(), arrival(began_at=110.06, whole_at=110.06, told=0.9)],
            ),
            "P4",
        ),
        (run([call()], [arrival(ended_at=110.5), arrival(whole_at=110.2)]), "P4"),
        (
            run([call(request_class="save")], [arrival(), arrival(began_at=110.8, whole_at=110.8, told=0.1)]),
            "P5",
        ),
        (run([call(request_class="order", status=429)], [arrival()]), "P6"),
        (run([call(ending=Ending.LEFT, ended_at=109.7)], [arrival()]), "P8"),
        (run([call()], [arrival(told=1.3)]), "P9"),
        (run([call()], [arrival()], life(exit_code=1)), "P15"),
        (run([call()], [arrival()], life(killed_at=163.8)), "P15"),
        (run([call()], [arrival()], life(ready_at=112.0, arrived={}, ended={})), "P21"),
        (run([call()], [arrival()], life(rules=["rule x"])), "its"),
    ],
)
def test_each_planted_break_is_found(made: Run, broken: str) -> None:
    assert broken in rules(made)


def test_a_send_past_the_grace_is_found_by_what_was_written_and_by_the_deadline() -> None:
    gone = [Withdrawal(5, BACKEND, 102.0)]
    assert rules(run([call()], [arrival()], withdrawals=gone)) == ["P7"]  # 6 s are over, told or not
    gone[0].at = 108.0
    assert rules(run([call()], [arrival()], withdrawals=gone)) == []
    written = [Written(0, 5, 108.1)]
    assert rules(run([call()], [arrival()], withdrawals=gone, written=written)) == ["P7"]
    assert rules(run([call()], [arrival()], withdrawals=gone, written=[Written(0, 4, 108.1)])) == []
    assert rules(run([call()], [arrival()], withdrawals=gone, written=[Written(0, 5, 109.9)])) == []
    gone[0].at = 102.0
    assert rules(run([call()], [arrival()], withdrawals=gone, silences=[(101.0, 106.0)])) == []


def test_bad_peers_are_owed_an_end() -> None:
    peer = BadPeer("silent", 0, 110.0, 3.0, 112.6)
    assert rules(run([call()], [arrival()], bad_peers=[peer])) == []
    peer.ended_at = 113.9
    assert rules(run([call()], [arrival()], bad_peers=[peer])) == ["P14"]


def test_faults_are_the_same_for_the_same_seed_and_overlap() -> None:
    first, again = (draw_faults(random.Random(3), 30.0, 4, 0.2) for _ in range(2))
    assert first == again and {fault.kind for fault in first} <= KINDS.keys()
    assert len(first) > 60 and all(fault.at < 26 for fault in first)


async def test_a_short_run_of_real_processes_keeps_the_promises(tmp_path: Path) -> None:
    size = RunSize(seconds=9.0, nodes=3, backends=9, rate=60.0, gap=0.6)
    soak = Soak(5, size, tmp_path)
    made = await soak.play()
    assert judge(made) == [] and not soak.problems
    told = figures(made)
    assert told["answered 200"] > 300 and told["faults"] >= 3 and told["bad peers"] > 10
