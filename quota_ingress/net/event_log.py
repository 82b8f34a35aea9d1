"""What the process did and why: counts that are always kept, and an event log that can be switched on.

`EDGE_TRACE=1` in the environment writes each event as one line of JSON through the logger
`quota_ingress.events`. The counts are logged at the end of the process, whether or not events are written.
"""

from __future__ import annotations

import json
import logging
import os
import time
from collections import Counter
from collections.abc import Mapping

VARIABLE = "EDGE_TRACE"
VIOLATION = "violation"

log = logging.getLogger(__name__)
events = logging.getLogger("quota_ingress.events")


class EventLog:
    """Counts events by kind and reason, and writes them out where that is switched on."""

    def __init__(self, writes: bool = False) -> None:
        """`writes`: every event is written to the log, not only counted."""
        self.writes = writes
        self.counts: Counter[tuple[str, str]] = Counter()

    @classmethod
    def from_environment(cls, environment: Mapping[str, str] = os.environ) -> EventLog:
        """Writes events if the environment says so."""
        return cls(writes=environment.get(VARIABLE, "") not in ("", "0"))

    def event(self, kind: str, reason: str = "", **fields: object) -> None:
        """Counts one event; `fields` are written with it. Bytes are written as Latin-1 text."""
        self.counts[kind, reason] += 1
        if self.writes:
            self._write(kind, reason, fields)

    def violation(self, rule: str, **fields: object) -> None:
        """A rule would have been broken, or has been: this is always written."""
        self.counts[VIOLATION, rule] += 1
        log.warning("rule %s: %s", rule, self._text(fields))

    @property
    def violations(self) -> int:
        """How many have been counted, of all rules."""
        return sum(count for (kind, _), count in self.counts.items() if kind == VIOLATION)

    def summary(self) -> str:
        """All counts as one line of JSON, `kind/reason` by name."""
        named = {f"{kind}/{reason}" if reason else kind: n for (kind, reason), n in self.counts.items()}
        return json.dumps(dict(sorted(named.items())))

    def _write(self, kind: str, reason: str, fields: Mapping[str, object]) -> None:
        head = {"at": time.monotonic_ns() // 1000, "event": kind} | ({"reason": reason} if reason else {})
        events.info("%s", self._text(head | dict(fields)))

    @staticmethod
    def _text(fields: Mapping[str, object]) -> str:
        plain = {k: v.decode("latin-1") if isinstance(v, bytes) else v for k, v in fields.items()}
        return json.dumps(plain, default=str)
