"""Checks a run's records against the invariants, numbered as in docs/promises.md. Pure functions."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from itertools import pairwise

from ingress_testbed.soak.endpoints import host_of
from ingress_testbed.soak.records import Arrival, Call, Ending, ListWrite, ProcessRecord, Run
from ingress_testbed.soak.setup import DRAIN_GRACE, IDEMPOTENT, MEMORY_MB, NOT_IDEMPOTENT, WITH_KEY

SLACK = 0.05  # s added to every limit, for the time that sockets take
ANSWER_SLACK = 0.5  # s past its timeout in which a late answer is worthless, but no violation
DEADLINE_SLACK = 0.15  # s by which a forwarded timeout may exceed the time left
DISCONNECT_DELAY = 0.1  # s after its client's close in which an attempt may still begin
IN_FORCE = 6.0  # s after which a change of the list counts as known to every node
WRITE_DELAY = 0.15  # s for which a node may be suspended before it reads a change
STOP_ACCEPTS = 0.4  # s after SIGTERM in which a process still accepts clients
BAD_PEER_SLACK = 0.3  # s added to the limit in which a bad peer has to get an error or a close
READY_WITHIN = 10.0  # s from its start in which a process has to listen
LAG_REPORT_INTERVAL = 0.25  # s between two measurements of the event loop's delay in an ingress
CROWD_CLOSE_DELAY = 3.0  # s for which the connections of a crowd may stay open after it


def judge(run: Run) -> list[tuple[str, str]]:
    """Returns all violations, each as the name of the invariant and a description."""
    slack = SLACK + max(run.lag.values())
    calls: dict[str, list[Call]] = defaultdict(list)
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    processes: dict[int, list[ProcessRecord]] = defaultdict(list)
    for call in run.calls:
        calls[call.id].append(call)
    for arrival in sorted(run.arrivals, key=lambda a: a.received_at):
        arrivals[arrival.id].append(arrival)
    for process in run.process_records:
        processes[process.node].append(process)
    violations: list[tuple[str, str]] = []
    for request_id, request_calls in calls.items():
        node_processes = processes[request_calls[0].node]
        crossed = len(request_calls) > 1 and request_calls[0].ending in (Ending.CLOSED, Ending.RESET)
        # Had the node read a call that a close crossed, it would not have answered the resent one.
        for call in request_calls[crossed:]:
            violations += [
                ("P1 one final answer", detail) for detail in _check_answer(run, call, node_processes, slack)
            ]
        violations += [
            ("P3 unchanged", f"{request_id}: {call}") for call in request_calls if not call.has_expected_body
        ]
        # After a kill, the client may have resent a request that had already run.
        if not _was_interrupted_by_kill(request_calls, node_processes):
            violations += _check_executions(run, request_calls, arrivals[request_id], slack)
        violations += _check_timing(request_calls[-1], arrivals[request_id], node_processes, slack)
    violations += [("P3 unchanged", f"{a}") for a in run.arrivals if not a.is_unchanged or a.id not in calls]
    violations += [
        ("P7 nothing new to a draining backend", detail)
        for detail in _sends_after_drain(run, processes, calls, slack)
    ]
    violations += [detail for process in run.process_records for detail in _check_process(process)]
    violations += [("P14 bad peers", detail) for detail in _check_bad_peers(run, processes, slack)]
    return violations


def _find_reader(call: Call, processes: Iterable[ProcessRecord]) -> ProcessRecord | None:
    return next((process for process in processes if call.id in process.arrived), None)


def _check_answer(run: Run, call: Call, processes: list[ProcessRecord], slack: float) -> Iterator[str]:
    if call.ending in (Ending.CLIENT_CLOSED, Ending.REFUSED) or _is_down(call.sent_at, processes):
        return
    until = call.ended_at or call.sent_at + call.timeout + 2.0
    since = min(call.sent_at, until) - slack  # the connection may have ended while the client was sending
    if any(process.killed_at and since <= process.killed_at <= until + slack for process in processes):
        return
    process = _find_reader(call, processes)
    if call.is_resend and call.status == 409:
        yield f"read and closed unanswered, as the resent request was answered 409: {call}"
    if call.ending is Ending.ANSWERED:
        late = call.ended_at - call.sent_at - call.timeout
        excused = (
            call.behind_others
            or _is_crowded(run, call)
            or _was_suspended(process, call.sent_at, call.ended_at)
        )
        if late > ANSWER_SLACK + slack and not excused:
            yield f"answered {late:.2f} s late: {call}"
    elif call.ending is Ending.NO_ANSWER:
        yield f"never answered, read by {process.node if process else 'no process'}: {call}"
    elif call.ending is not Ending.TRUNCATED and process is not None:
        yield f"read and closed unanswered; outcomes in the node's log: {process.ended.get(call.id)}: {call}"
    elif call.ending is not Ending.TRUNCATED and call.first_on_connection and not _is_crowded(run, call):
        yield f"first request on its connection, closed without being read: {call}"


def _is_crowded(run: Run, call: Call) -> bool:
    """Returns whether silent connections used up the node's descriptors when the call ended.

    Other connections may be closed then before their requests are read.
    """
    crowds = (f for f in run.faults if f.kind == "crowd" and f.target == call.node)
    return any(0 <= call.ended_at - run.began_at - f.at <= f.seconds + CROWD_CLOSE_DELAY for f in crowds)


def _was_suspended(process: ProcessRecord | None, since: float, until: float) -> bool:
    """Returns whether the process was denied the processor for too long in that time, by its own log."""
    for line in process.log_excerpt if process else ():
        if '"event loop late"' in line:
            event = json.loads(line)
            ended, late = event["at"] / 1e6, event["late_us"] / 1e6
            if (
                event["cpu_us"] / 1e6 < late / 2
                and ended - late - LAG_REPORT_INTERVAL < until
                and ended > since
            ):
                return True
    return False


def _was_interrupted_by_kill(request_calls: list[Call], processes: list[ProcessRecord]) -> bool:
    until = max(call.ended_at or call.sent_at + call.timeout for call in request_calls)
    return len(request_calls) > 1 and any(
        request_calls[0].sent_at <= process.killed_at <= until for process in processes
    )


def _is_down(at: float, processes: list[ProcessRecord]) -> bool:
    """Returns whether no process of the node accepted clients at `at`; they may wait for the next one."""
    for process in processes:
        accepts_until = process.stopped_at + STOP_ACCEPTS if process.stopped_at else float("inf")
        serving_until = min(accepts_until, process.killed_at or process.ended_at or float("inf"))
        if process.ready_at and process.ready_at <= at <= serving_until:
            return False
    return True


def _check_executions(
    run: Run, request_calls: list[Call], request_arrivals: list[Arrival], slack: float
) -> Iterator[tuple[str, str]]:
    request_id = request_calls[0].id
    request_class = request_calls[0].request_class
    ran = [arrival for arrival in request_arrivals if not arrival.never_ran]
    if len(ran) > 1 and request_class == NOT_IDEMPOTENT:
        yield "P4 unsafe requests once", f"{request_id}: {ran}"
    if (
        len(ran) > 1
        and request_class == WITH_KEY
        and ran[-1].received_at > ran[0].began_at + run.dedup_window + slack
    ):
        yield "P5 keyed repeats in their window", f"{request_id}, window {run.dedup_window}: {ran}"
    if not run.may_hedge or request_class == NOT_IDEMPOTENT:
        for before, after in pairwise(ran):
            if not before.ended_at or after.received_at < before.ended_at - slack:
                yield "P4 no second copy", f"{request_id}: {before} {after}"
    if request_class == NOT_IDEMPOTENT and ran and any(call.status in (429, 503) for call in request_calls):
        yield "P6 refusals are harmless", f"{request_id}: {request_calls} {ran}"


def _check_timing(
    call: Call, request_arrivals: list[Arrival], processes: list[ProcessRecord], slack: float
) -> Iterator[tuple[str, str]]:
    for arrival in request_arrivals:
        if (
            call.ending is Ending.CLIENT_CLOSED
            and arrival.began_at > call.ended_at + DISCONNECT_DELAY + slack
        ):
            late = arrival.began_at - call.ended_at
            yield "P8 clients gone", f"attempt begun {late:.3f} s after its client closed: {call} {arrival}"
        time_left = call.sent_at + call.timeout - arrival.began_at
        excused = _is_down(call.sent_at, processes) or _was_suspended(
            _find_reader(call, processes), call.sent_at, arrival.began_at
        )
        if arrival.forwarded_timeout > max(time_left, 0.001) + DEADLINE_SLACK + slack and not excused:
            yield (
                "P9 deadlines told",
                f"forwarded {arrival.forwarded_timeout:.3f} s with {time_left:.3f} s left: {call} {arrival}",
            )


def _sends_after_drain(
    run: Run, processes: dict[int, list[ProcessRecord]], calls: dict[str, list[Call]], slack: float
) -> Iterator[str]:
    """Yields the requests that were sent to draining or removed endpoints.

    A process counts as notified of a change once discovery has written it to the process, and at the latest
    IN_FORCE after discovery had the change and could be reached. A write while two processes of a node run
    counts for neither: each may be connected to another discovery, and the record does not show which one was
    notified.
    """
    withdrawn = {host_of(w.backend): w for w in reversed(run.withdrawals)}
    writes: dict[int, list[ListWrite]] = defaultdict(list)
    for write in run.list_writes:
        if sum(process.started_at <= write.at <= process.ended_at for process in processes[write.node]) == 1:
            writes[write.node].append(write)
    for arrival in run.arrivals:
        withdrawal, request_calls = withdrawn.get(arrival.backend), calls.get(arrival.id)
        if withdrawal is None or not request_calls or arrival.began_at < withdrawal.at:
            continue
        node = request_calls[0].node
        for process in processes[node]:
            if (
                arrival.id not in process.arrived
                or not process.started_at <= arrival.began_at <= process.ended_at
            ):
                continue
            notified_at = [
                w.at for w in writes[node] if w.version >= withdrawal.version and w.at >= process.started_at
            ]
            due = _discovery_reachable_since(run, max(withdrawal.at, process.started_at)) + IN_FORCE
            late = arrival.began_at - min([due, *notified_at]) - DRAIN_GRACE
            if late > slack + WRITE_DELAY:
                yield (
                    f"sent {late:.3f} s past the grace by the process started at {process.started_at:.2f}: "
                    f"{withdrawal} {arrival}"
                )


def _discovery_reachable_since(run: Run, since: float) -> float:
    """Returns the first time at or after `since` from which discovery was reachable for IN_FORCE."""
    for began, end in sorted(run.discovery_outages):
        if began < since + IN_FORCE and end > since:
            since = end
    return since


def _check_process(process: ProcessRecord) -> Iterator[tuple[str, str]]:
    name = f"node {process.node}, started at {process.started_at:.2f}"
    if process.tracebacks:
        yield "P1 no crash", f"{name}: {process.tracebacks} tracebacks in its log"
    for rule in process.violations:
        yield "its own rules", f"{name}: {rule}"
    if process.ready_at - process.started_at > READY_WITHIN:
        yield "P21 ready", f"{name}: listening after {process.ready_at - process.started_at:.1f} s"
    if process.memory_mb > MEMORY_MB:
        yield "P19 limits", f"{name}: {process.memory_mb:.0f} MB of memory, {MEMORY_MB} allowed"
    repeated_outcomes = {request: endings for request, endings in process.ended.items() if len(endings) > 1}
    if repeated_outcomes:
        yield "P2 one outcome", f"{name}: requests with several outcomes: {repeated_outcomes}"
    if process.stopped_at or not process.killed_at:
        yield from _check_end(process, name)


def _check_end(process: ProcessRecord, name: str) -> Iterator[tuple[str, str]]:
    """Checks how a process ended that was not killed by a fault."""
    if process.killed_at or process.exit_code != 0:
        yield (
            "P15 an end in order",
            f"{name}: exit code {process.exit_code}, killed {bool(process.killed_at)}",
        )
    if not process.stopped_at and not process.handed_over_at and process.ended_at:
        yield "P1 no crash", f"{name}: ended though the run did not stop it, exit code {process.exit_code}"
    if not process.killed_at:
        unfinished = [request for request in process.arrived if request not in process.ended]
        if unfinished:
            yield "P1 one final answer", f"{name}: requests without an outcome: {unfinished[:5]}"


def _check_bad_peers(run: Run, processes: dict[int, list[ProcessRecord]], slack: float) -> Iterator[str]:
    for peer in run.bad_peers:
        duration = peer.ended_at - peer.connected_at
        closed_in_time = peer.ended_at and duration <= peer.close_limit + BAD_PEER_SLACK + slack
        killed = any(
            process.killed_at and process.ended_at >= peer.connected_at for process in processes[peer.node]
        )
        if not closed_in_time and not killed and not _is_down(peer.connected_at, processes[peer.node]):
            yield f"error or close after {duration if peer.ended_at else float('inf'):.2f} s: {peer}"


def figures(run: Run) -> dict[str, float]:
    """Returns the totals of a run, so that a run that tested nothing is noticed."""
    endings: dict[str, float] = defaultdict(float)
    for call in run.calls:
        name = f"answered {call.status}" if call.ending is Ending.ANSWERED else call.ending.value
        endings[name] += 1
    repeats = len(run.arrivals) - len({arrival.id for arrival in run.arrivals})
    safe = sum(call.request_class == IDEMPOTENT for call in run.calls)
    return dict(endings) | {
        "requests": float(len(run.calls)),
        "safe requests": float(safe),
        "arrivals": float(len(run.arrivals)),
        "repeats": float(repeats),
        "faults": float(len(run.faults)),
        "processes": float(len(run.process_records)),
        "bad peers": float(len(run.bad_peers)),
        "most late s": max(run.lag.values()),
    }
