"""Counts the events of the process by kind and reason, and optionally logs each of them.

With `EDGE_TRACE=1` in the environment, each event is written as one line of JSON through the logger
`quota_ingress.events`: `at` (monotonic clock, us), `event`, `reason` if there is one, and the fields of the
event. The counts are always kept, and logged when the process ends.
"""

from __future__ import annotations

import json
import logging
import os
import time
from collections import Counter
from collections.abc import Mapping

ENVIRONMENT_VARIABLE = "EDGE_TRACE"
VIOLATION_KIND = "violation"

log = logging.getLogger(__name__)
events = logging.getLogger("quota_ingress.events")


class EventLog:
    """Counts events by kind and reason, and logs them if enabled.

    Attributes:
        writes: Whether each event is logged, not only counted.
        counts: The number of events by kind and reason.
    """

    def __init__(self, writes: bool = False) -> None:
        """Starts with all counts at zero."""
        self.writes = writes
        self.counts: Counter[tuple[str, str]] = Counter()

    @classmethod
    def from_environment(cls, environment: Mapping[str, str] = os.environ) -> EventLog:
        """Returns an event log that logs each event if `EDGE_TRACE` is set, but not to 0."""
        return cls(writes=environment.get(ENVIRONMENT_VARIABLE, "") not in ("", "0"))

    def event(self, kind: str, reason: str = "", **fields: object) -> None:
        """Counts one event, and logs it with `fields` if enabled; bytes are logged as Latin-1 text."""
        self.counts[kind, reason] += 1
        if self.writes:
            self._write(kind, reason, fields)

    def violation(self, rule: str, **fields: object) -> None:
        """Counts a violation of a rule of the service, or one that was just prevented, and always logs it."""
        self.counts[VIOLATION_KIND, rule] += 1
        log.warning("rule %s: %s", rule, self._text(fields))

    @property
    def violations(self) -> int:
        """The number of violations of all rules."""
        return sum(count for (kind, _), count in self.counts.items() if kind == VIOLATION_KIND)

    def summary(self) -> str:
        """Returns all counts as one line of JSON, by `kind/reason`, or `kind` if there is no reason."""
        counts_by_name: dict[str, int] = {}
        for (kind, reason), count in self.counts.items():
            name = f"{kind}/{reason}" if reason else kind
            counts_by_name[name] = count
        return json.dumps(counts_by_name, sort_keys=True)

    def _write(self, kind: str, reason: str, fields: Mapping[str, object]) -> None:
        written: dict[str, object] = {"at": time.monotonic_ns() // 1000, "event": kind}
        if reason:
            written["reason"] = reason
        written.update(fields)
        events.info("%s", self._text(written))

    @staticmethod
    def _text(fields: Mapping[str, object]) -> str:
        readable = {
            name: value.decode("latin-1") if isinstance(value, bytes) else value
            for name, value in fields.items()
        }
        return json.dumps(readable, default=str)
