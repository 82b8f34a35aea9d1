"""The codec of the counter's line protocol: the only module that knows its verbs."""

from __future__ import annotations

import math
from enum import Enum, auto
from typing import NamedTuple

MAX_ANSWER_BYTES = 256
MAX_TTL_MS = 60_000
PING = b"ping\r\n"

_US_PER_MS = 1000
_ADDED = b"ok"
_PONG = b"pong"
_REJECTIONS = (b"busy", b"error")


class MalformedAnswerError(ValueError):
    """A line from the counter is not a valid answer."""


class AnswerKind(Enum):
    """The kind of an answer from the counter."""

    ADDED = auto()
    REJECTED = auto()  # nothing was added
    PONG = auto()


class CounterAnswer(NamedTuple):
    """An answer; `total` is the total under the call's name for ADDED, otherwise 0."""

    kind: AnswerKind
    total: float


_REJECTED_ANSWER = CounterAnswer(AnswerKind.REJECTED, 0.0)
_PONG_ANSWER = CounterAnswer(AnswerKind.PONG, 0.0)


def encode_add(name: int, amount: float, ttl_us: int) -> bytes:
    """Returns the call that adds `amount` to `name`, which expires after `ttl_us` us if it is new."""
    ttl_ms = min(MAX_TTL_MS, max(1, ttl_us // _US_PER_MS))
    return b"add %016x %.6f %d\r\n" % (name, amount, ttl_ms)


def decode_answer(line: bytes) -> CounterAnswer:
    """Decodes one line, given without its line ending.

    Raises:
        MalformedAnswerError: The line is not a valid answer.
    """
    word, _, rest = line.partition(b" ")
    if word == _ADDED:
        return CounterAnswer(AnswerKind.ADDED, _decode_total(rest))
    if word in _REJECTIONS:
        return _REJECTED_ANSWER
    if word == _PONG:
        return _PONG_ANSWER
    raise MalformedAnswerError(f"unknown answer {word[:40]!r}")


def _decode_total(text: bytes) -> float:
    try:
        total = float(text)
    except ValueError:
        raise MalformedAnswerError(f"total is not a number: {text[:40]!r}") from None
    if not math.isfinite(total):
        raise MalformedAnswerError(f"total is not finite: {total}")
    return total
