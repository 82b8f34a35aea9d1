"""Checks the records of a play against the rules, named as in docs/promises.md. Pure functions."""

from __future__ import annotations

from collections.abc import Iterator

from ingress_testbed.slow_peers.records import Call, Play
from ingress_testbed.slow_peers.scenario import Framing

SLACK_S = 0.1  # added to every limit, for the time that sockets take
LATE_S = 0.5  # after the time of a request, in which its answer is worthless, but not lost
HELD_BACK_S = 2.0  # for which what a backend has given may be held back
MIN_BYTES_PER_S = 16_000  # of an answer that may become long; a slower one has to end in time
SERVED = 200


def judge(play: Play) -> list[tuple[str, str]]:
    """Returns all violations, each as the name of the rule and a description."""
    violations = []
    if play.peak_mb > play.memory_mb:
        violations.append(
            ("P19 memory", f"{play.peak_mb:.1f} MB after {play.peak_after_s:.1f} s, {play.memory_mb} allowed")
        )
    elif play.exit_code is not None:
        violations.append(("P1 no crash", f"ended with {play.exit_code}: {play.log[-3:]}"))
    if violations:  # what was under way is lost by that alone
        return violations
    violations += [("its own rules", line) for line in play.log if "rule " in line and "WARNING" in line]
    slack = SLACK_S + play.lag
    for call in play.calls:
        violations += list(_check_time(call, slack))
        violations += [("P20 cut off", why) for why in _check_cut_off(call, slack)]
    return violations


def _check_time(call: Call, slack: float) -> Iterator[tuple[str, str]]:
    """Checks that the final answer comes in time; of a long answer, its first byte."""
    due = (call.sent_at or call.ended_at) + call.timeout + LATE_S + slack
    if not call.first_byte_at:
        if not call.responses and call.ended_at < due - LATE_S:  # closed unread, as for lack of descriptors
            return
        yield "P1 one final answer", f"no answer: {call}"
        return
    is_timed_by_first_byte = call.status == SERVED and (call.answer.is_long or not call.is_complete)
    answered_at = call.first_byte_at if is_timed_by_first_byte else call.ended_at
    if answered_at > due and not _was_begun_in_time(call, slack):
        yield "P1 one final answer", f"{answered_at - due + LATE_S:.2f} s late: {call}"


def _was_begun_in_time(call: Call, slack: float) -> bool:
    """Returns whether an answer was passed on in time that might have been long, by its framing and pace."""
    if call.answer.framing is Framing.LENGTH or call.status != SERVED:
        return False
    given = [response for response in call.responses if response.is_complete]
    fast = any(r.written >= MIN_BYTES_PER_S * (r.ended_at - r.body_at) for r in given)
    return fast and call.first_byte_at <= call.sent_at + call.timeout + slack


def _check_cut_off(call: Call, slack: float) -> Iterator[str]:
    """Checks that a long answer is passed on which a backend has begun in time and still gives."""
    if not call.answer.is_long or not call.sent_at or not call.first_byte_at:
        return
    if call.status != SERVED:
        if any(response.head_at < call.first_byte_at - slack for response in call.responses):
            yield f"answered {call.status} after its backend had begun: {call}"
    elif not call.is_complete or call.body_bytes != call.answer.size:
        yield f"passed on {call.body_bytes} bytes: {call}"
    else:
        yield from _check_held_back(call, slack)


def _check_held_back(call: Call, slack: float) -> Iterator[str]:
    body_at = min((response.body_at for response in call.responses if response.is_complete), default=0.0)
    if body_at and call.first_body_at - body_at > HELD_BACK_S + slack:
        yield f"held back for {call.first_body_at - body_at:.2f} s: {call}"
