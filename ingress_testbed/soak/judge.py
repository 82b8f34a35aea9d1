"""The invariants that judge a run: pure, over what was recorded. Their numbers are of docs/promises.md."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterable, Iterator
from itertools import pairwise

from ingress_testbed.soak.endpoints import host_of
from ingress_testbed.soak.records import Arrival, Call, Ending, Life, Run, Written
from ingress_testbed.soak.setup import GRACE, IDEMPOTENT, LONGEST, NOT_IDEMPOTENT, WITH_KEY

SLACK = 0.05  # s by which every limit is longer on sockets
ANSWER_SLACK = 0.5  # s past its time in which a late answer only earns nothing
DEADLINE_SLACK = 0.15
GONE_AFTER = 0.1  # s after its client's close in which an attempt may still begin
IN_FORCE = 6.0  # s after which a change counts as told
WRITE_DELAY = 0.15  # s for which a node may stand still
STOP_ACCEPTS = 0.4  # s after SIGTERM in which clients come
END_AFTER = LONGEST + 0.7  # s after SIGTERM
BAD_PEER_SLACK = 0.3
READY_WITHIN = 10.0
SWEEP = 0.25  # s between two moments at which a process notes that it was held up
CROWD_LASTS = 3.0  # s that the connections of a crowd may stay after it


def judge(run: Run) -> list[tuple[str, str]]:
    """Every break, as the invariant's name and what happened."""
    slack = SLACK + max(run.lag.values())
    calls: dict[str, list[Call]] = defaultdict(list)
    arrivals: dict[str, list[Arrival]] = defaultdict(list)
    lives: dict[int, list[Life]] = defaultdict(list)
    for call in run.calls:
        calls[call.id].append(call)
    for arrival in sorted(run.arrivals, key=lambda a: a.whole_at):
        arrivals[arrival.id].append(arrival)
    for life in run.lives:
        lives[life.node].append(life)
    found: list[tuple[str, str]] = []
    for request_id, asked in calls.items():
        of_node = lives[asked[0].node]
        crossed = len(asked) > 1 and asked[0].ending in (Ending.CLOSED, Ending.RESET)
        for call in asked[crossed:]:  # if the first had been read, the second would not be answered
            found += [("P1 one final answer", why) for why in _answered(run, call, of_node, slack)]
        found += [("P3 unchanged", f"{request_id}: {call}") for call in asked if not call.sound]
        if not _cut_by_a_kill(asked, of_node):  # else the client may have repeated what had run
            found += _effects(run, asked, arrivals[request_id], slack)
        found += _times(asked[-1], arrivals[request_id], of_node, slack)
    found += [("P3 unchanged", f"{a}") for a in run.arrivals if not a.sound or a.id not in calls]
    found += [("P7 nothing new to a draining backend", why) for why in _drains(run, lives, calls, slack)]
    found += [why for life in run.lives for why in _life(life)]
    found += [("P14 bad peers", why) for why in _bad_peers(run, lives, slack)]
    return found


def _read_by(call: Call, lives: Iterable[Life]) -> Life | None:
    return next((life for life in lives if call.id in life.arrived), None)


def _answered(run: Run, call: Call, lives: list[Life], slack: float) -> Iterator[str]:
    if call.ending in (Ending.LEFT, Ending.REFUSED) or _away(call.sent_at, lives):
        return
    until = call.ended_at or call.sent_at + call.timeout + 2.0
    since = min(call.sent_at, until) - slack  # it may have been cut off while it was sending
    if any(life.killed_at and since <= life.killed_at <= until + slack for life in lives):
        return
    life = _read_by(call, lives)
    if call.again and call.status == 409:
        yield f"read and closed unanswered, as it was known when it came again: {call}"
    if call.ending is Ending.ANSWERED:
        late = call.ended_at - call.sent_at - call.timeout
        excused = call.behind_others or _crowded(run, call) or _held_up(life, call.sent_at, call.ended_at)
        if late > ANSWER_SLACK + slack and not excused:
            yield f"answered {late:.2f} s late: {call}"
    elif call.ending is Ending.NO_ANSWER:
        yield f"never answered, read by {life.node if life else 'nobody'}: {call}"
    elif call.ending is not Ending.BROKEN and life is not None:
        yield f"read and closed unanswered; the node says {life.ended.get(call.id)}: {call}"
    elif call.ending is not Ending.BROKEN and call.first_on_connection and not _crowded(run, call):
        yield f"closed unread on a new connection: {call}"


def _crowded(run: Run, call: Call) -> bool:
    """Silent connections fill the node's descriptors: others may be closed unread then."""
    crowds = (t for t in run.faults if t.kind == "crowd" and t.target == call.node)
    return any(0 <= call.ended_at - run.began_at - t.at <= t.seconds + CROWD_LASTS for t in crowds)


def _held_up(life: Life | None, since: float, until: float) -> bool:
    """The process got no processor for longer than it has to allow for, by its own log, in that time."""
    for state in life.states if life else ():
        if '"event loop late"' in state:
            event = json.loads(state)
            ended, late = event["at"] / 1e6, event["late_us"] / 1e6
            if event["cpu_us"] / 1e6 < late / 2 and ended - late - SWEEP < until and ended > since:
                return True
    return False


def _cut_by_a_kill(asked: list[Call], lives: list[Life]) -> bool:
    until = max(call.ended_at or call.sent_at + call.timeout for call in asked)
    return len(asked) > 1 and any(asked[0].sent_at <= life.killed_at <= until for life in lives)


def _away(at: float, lives: list[Life]) -> bool:
    """The node was ending or not there; what comes then may wait for its next process."""
    for life in lives:
        accepts_until = life.stopped_at + STOP_ACCEPTS if life.stopped_at else float("inf")
        serving_until = min(accepts_until, life.killed_at or life.ended_at or float("inf"))
        if life.ready_at and life.ready_at <= at <= serving_until:
            return False
    return True


def _effects(run: Run, asked: list[Call], got: list[Arrival], slack: float) -> Iterator[tuple[str, str]]:
    request_id = asked[0].id
    request_class = asked[0].request_class
    ran = [arrival for arrival in got if not arrival.never_ran]
    if len(ran) > 1 and request_class == NOT_IDEMPOTENT:
        yield "P4 unsafe requests once", f"{request_id}: {ran}"
    if len(ran) > 1 and request_class == WITH_KEY and ran[-1].whole_at > ran[0].began_at + run.window + slack:
        yield "P5 keyed repeats in their window", f"{request_id}, window {run.window}: {ran}"
    if not run.may_hedge or request_class == NOT_IDEMPOTENT:
        for before, after in pairwise(ran):
            if not before.ended_at or after.whole_at < before.ended_at - slack:
                yield "P4 no second copy", f"{request_id}: {before} {after}"
    if request_class == NOT_IDEMPOTENT and ran and any(call.status in (429, 503) for call in asked):
        yield "P6 refusals are harmless", f"{request_id}: {asked} {ran}"


def _times(call: Call, got: list[Arrival], lives: list[Life], slack: float) -> Iterator[tuple[str, str]]:
    for arrival in got:
        if call.ending is Ending.LEFT and arrival.began_at > call.ended_at + GONE_AFTER + slack:
            late = arrival.began_at - call.ended_at
            yield "P8 clients gone", f"begun {late:.3f} s after: {call} {arrival}"
        left = call.sent_at + call.timeout - arrival.began_at
        excused = _away(call.sent_at, lives) or _held_up(
            _read_by(call, lives), call.sent_at, arrival.began_at
        )
        if arrival.told > max(left, 0.001) + DEADLINE_SLACK + slack and not excused:
            yield "P9 deadlines told", f"{arrival.told:.3f} s told, {left:.3f} s left: {call} {arrival}"


def _drains(
    run: Run, lives: dict[int, list[Life]], calls: dict[str, list[Call]], slack: float
) -> Iterator[str]:
    """Yields the requests that were sent to endpoints that drain or are gone.

    A process counts as notified of a change once it has been written to it, and by a deadline at the latest,
    which runs from when discovery had the change and could be reached. What is written while two processes of
    a node live counts for neither: each may have another discovery, and it does not show which was notified.
    """
    withdrawn = {host_of(w.backend): w for w in reversed(run.withdrawals)}
    written: dict[int, list[Written]] = defaultdict(list)
    for write in run.written:
        if sum(life.started_at <= write.at <= life.ended_at for life in lives[write.node]) == 1:
            written[write.node].append(write)
    for arrival in run.arrivals:
        change, asked = withdrawn.get(arrival.backend), calls.get(arrival.id)
        if change is None or not asked or arrival.began_at < change.at:
            continue
        node = asked[0].node
        for life in lives[node]:
            if arrival.id not in life.arrived or not life.started_at <= arrival.began_at <= life.ended_at:
                continue
            told = [w.at for w in written[node] if w.version >= change.version and w.at >= life.started_at]
            due = _reached(run, max(change.at, life.started_at)) + IN_FORCE
            late = arrival.began_at - min([due, *told]) - GRACE
            if late > slack + WRITE_DELAY:
                yield f"{late:.3f} s past the grace, process of {life.started_at:.2f}: {change} {arrival}"


def _reached(run: Run, since: float) -> float:
    """The first moment from which on discovery could be reached for as long as a change may take."""
    for began, end in sorted(run.silences):
        if began < since + IN_FORCE and end > since:
            since = end
    return since


def _life(life: Life) -> Iterator[tuple[str, str]]:
    name = f"node {life.node}, started at {life.started_at:.2f}"
    if life.tracebacks:
        yield "P1 no crash", f"{name}: {life.tracebacks} tracebacks"
    for rule in life.rules:
        yield "its own rules", f"{name}: {rule}"
    if life.ready_at - life.started_at > READY_WITHIN:
        yield "P21 ready", f"{name}: after {life.ready_at - life.started_at:.1f} s"
    twice = {request: endings for request, endings in life.ended.items() if len(endings) > 1}
    if twice:
        yield "P2 one outcome", f"{name}: {twice}"
    if life.killed_at and not life.stopped_at:
        return
    if life.killed_at or life.exit_code != 0:
        yield "P15 an end in order", f"{name}: exit code {life.exit_code}, killed {bool(life.killed_at)}"
    if not life.stopped_at and not life.handed_over_at and life.ended_at:
        yield "P1 no crash", f"{name}: it ended by itself with {life.exit_code}"
    if not life.killed_at:
        open_still = [request for request in life.arrived if request not in life.ended]
        if open_still:
            yield "P1 one final answer", f"{name}: nothing became of {open_still[:5]}"


def _bad_peers(run: Run, lives: dict[int, list[Life]], slack: float) -> Iterator[str]:
    for peer in run.bad_peers:
        took = peer.ended_at - peer.connected_at
        served = peer.ended_at and took <= peer.owed_within + BAD_PEER_SLACK + slack
        killed = any(life.killed_at and life.ended_at >= peer.connected_at for life in lives[peer.node])
        if not served and not killed and not _away(peer.connected_at, lives[peer.node]):
            yield f"{took if peer.ended_at else float('inf'):.2f} s: {peer}"


def figures(run: Run) -> dict[str, float]:
    """What the run amounted to, so that one that tested nothing is seen."""
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
        "processes": float(len(run.lives)),
        "bad peers": float(len(run.bad_peers)),
        "most late s": max(run.lag.values()),
    }
