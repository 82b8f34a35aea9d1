"""How an endpoint of a run answers: normally, or with a fault."""

from __future__ import annotations

from dataclasses import dataclass

NORMAL = "sound"

REJECTED = b"HTTP/1.1 503 Service Unavailable\r\nNot-Started: 1\r\nContent-Length: 0\r\n\r\n"
ERROR = b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
GARBAGE = b"HTTP/1.1 2x0 \x00\r\nContent-Length: banana\r\n\r\n"
NO_LENGTH_HEAD = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"
PROBE_ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
PROBE_TARGETS = (b"/metrics/load", b"/alive")


@dataclass(slots=True)
class Behaviour:
    """A `fraction` of the answers have the fault `kind`; the others are normal."""

    kind: str = NORMAL
    fraction: float = 1.0


def head_for(answer: bytes) -> bytes:
    """Returns the head of a 200 response with the body `answer`."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(answer)
