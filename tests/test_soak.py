"""The soak test's judge finds each planted violation and no other; a short run of real processes has none."""

from __future__ import annotations

import random
from pathlib import Path

import pytest

from ingress_testbed.soak.endpoints import host_of
from ingress_testbed.soak.fault_plan import KINDS, draw_faults
from ingress_testbed.soak.judge import figures, judge
from ingress_testbed.soak.records import (
    Arrival,
    BadPeer,
    Call,
    Ending,
    ListWrite,
    ProcessRecord,
    Run,
    Withdrawal,
)
from ingress_testbed.soak.run import RunSize, Soak

BACKEND = "s-00000001"
HOST = host_of(BACKEND)


def process_record(**changes: object) -> ProcessRecord:
    record = ProcessRecord(0, 100.0, ready_at=100.5, stopped_at=160.0, ended_at=161.0, exit_code=0)
    record.arrived, record.ended, record.violations = {"a": 110.0}, {"a": ["served"]}, []
    for name, value in changes.items():
        setattr(record, name, value)
    return record


def call(**changes: object) -> Call:
    record = Call("a", 0, "read", 1.0, 110.0, True, ending=Ending.ANSWERED, ended_at=110.1, status=200)
    for name, value in changes.items():
        setattr(record, name, value)
    return record


def arrival(**changes: object) -> Arrival:
    record = Arrival("a", HOST, 110.01, 110.01, 0.95, ended_at=110.05)
    for name, value in changes.items():
        setattr(record, name, value)
    return record


def run(calls: list[Call], arrivals: list[Arrival], *process_records: ProcessRecord, **more: object) -> Run:
    record = Run(1, 100.0, 0.6, False, [], calls, arrivals, [], [], [], [], [], {"clients": 0.0})
    record.process_records = list(process_records) or [process_record()]
    for name, value in more.items():
        setattr(record, name, value)
    return record


def violated(record: Run) -> list[str]:
    return [rule.split()[0] for rule, _ in judge(record)]


def test_a_correct_run_has_no_violations() -> None:
    assert violated(run([call()], [arrival()])) == []
    client_left = call(ending=Ending.CLIENT_CLOSED, ended_at=110.02)
    assert (
        violated(run([client_left], [arrival(began_at=110.1, received_at=110.1, forwarded_timeout=0.9)]))
        == []
    )


@pytest.mark.parametrize(
    ("record", "expected"),
    [
        (run([call(ending=Ending.CLOSED)], [arrival()]), "P1"),
        (run([call(ending=Ending.NO_ANSWER, ended_at=0.0)], [arrival()]), "P1"),
        (run([call(ended_at=111.7)], [arrival()]), "P1"),
        (run([call()], [arrival()], process_record(ended={})), "P1"),
        (run([call()], [arrival()], process_record(tracebacks=1)), "P1"),
        (run([call()], [arrival()], process_record(stopped_at=0.0)), "P1"),
        (run([call(ending=Ending.RESET)], [], process_record(arrived={}, ended={})), "P1"),
        (run([call()], [arrival()], process_record(ended={"a": ["served", "failed"]})), "P2"),
        (run([call(has_expected_body=False)], [arrival()]), "P3"),
        (run([call()], [arrival(is_unchanged=False)]), "P3"),
        (run([call()], [arrival(), arrival(id="b")]), "P3"),
        (
            run(
                [call(request_class="order")],
                [arrival(), arrival(began_at=110.06, received_at=110.06, forwarded_timeout=0.9)],
            ),
            "P4",
        ),
        (run([call()], [arrival(ended_at=110.5), arrival(received_at=110.2)]), "P4"),
        (
            run(
                [call(request_class="save")],
                [arrival(), arrival(began_at=110.8, received_at=110.8, forwarded_timeout=0.1)],
            ),
            "P5",
        ),
        (run([call(request_class="order", status=429)], [arrival()]), "P6"),
        (run([call(ending=Ending.CLIENT_CLOSED, ended_at=109.7)], [arrival()]), "P8"),
        (run([call()], [arrival(forwarded_timeout=1.3)]), "P9"),
        (run([call()], [arrival()], process_record(exit_code=1)), "P15"),
        (run([call()], [arrival()], process_record(killed_at=163.8)), "P15"),
        (run([call()], [arrival()], process_record(ready_at=112.0, arrived={}, ended={})), "P21"),
        (run([call()], [arrival()], process_record(memory_mb=97.0)), "P19"),
        (run([call()], [arrival()], process_record(violations=["rule x"])), "its"),
    ],
)
def test_each_planted_violation_is_found(record: Run, expected: str) -> None:
    assert expected in violated(record)


def test_a_send_past_the_drain_grace_is_found_from_the_list_write_and_from_the_deadline() -> None:
    withdrawals = [Withdrawal(5, BACKEND, 102.0)]
    # IN_FORCE (6 s) has passed, so that the process counts as notified without a write.
    assert violated(run([call()], [arrival()], withdrawals=withdrawals)) == ["P7"]
    withdrawals[0].at = 108.0
    assert violated(run([call()], [arrival()], withdrawals=withdrawals)) == []
    list_writes = [ListWrite(0, 5, 108.1)]
    assert violated(run([call()], [arrival()], withdrawals=withdrawals, list_writes=list_writes)) == ["P7"]
    assert (
        violated(run([call()], [arrival()], withdrawals=withdrawals, list_writes=[ListWrite(0, 4, 108.1)]))
        == []
    )
    assert (
        violated(run([call()], [arrival()], withdrawals=withdrawals, list_writes=[ListWrite(0, 5, 109.9)]))
        == []
    )
    withdrawals[0].at = 102.0
    assert (
        violated(run([call()], [arrival()], withdrawals=withdrawals, discovery_outages=[(101.0, 106.0)]))
        == []
    )


def test_a_bad_peer_that_gets_no_error_or_close_in_time_is_found() -> None:
    peer = BadPeer("silent", 0, 110.0, 3.0, 112.6)
    assert violated(run([call()], [arrival()], bad_peers=[peer])) == []
    peer.ended_at = 113.9
    assert violated(run([call()], [arrival()], bad_peers=[peer])) == ["P14"]


def test_faults_are_the_same_for_the_same_seed_and_overlap() -> None:
    first, second = (draw_faults(random.Random(3), 30.0, 4, 0.2) for _ in range(2))
    assert first == second and {fault.kind for fault in first} <= KINDS.keys()
    assert len(first) > 60 and all(fault.at < 26 for fault in first)


async def test_a_short_run_of_real_processes_keeps_the_invariants(tmp_path: Path) -> None:
    size = RunSize(seconds=9.0, nodes=3, backends=9, rate=60.0, gap=0.6)
    soak = Soak(5, size, tmp_path)
    record = await soak.play()
    assert judge(record) == [] and not soak.problems
    totals = figures(record)
    assert totals["answered 200"] > 300 and totals["faults"] >= 3 and totals["bad peers"] > 10
