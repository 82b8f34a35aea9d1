"""Names of the program under test that stood elsewhere in versions that are still measured."""

from __future__ import annotations

from typing import Any

from quota_ingress.net.engine.engine import Engine

try:
    from quota_ingress.net.discovery.endpoint_list import Entry, Listing
except ImportError:  # before the list had a module of its own
    from quota_ingress.net.discovery.watch import Entry, Listing  # type: ignore[attr-defined, no-redef]

try:
    from quota_ingress.net.clock import Clock
    from quota_ingress.net.engine.attempts import Answer, Wanted
    from quota_ingress.net.engine.names import Names
except ImportError:  # before the engine's parts had modules of their own
    from quota_ingress.net.engine.engine import (  # type: ignore[attr-defined, no-redef]
        Answer,
        Clock,
        Names,
        Wanted,
    )

__all__ = ["Answer", "Clock", "Entry", "Listing", "Names", "Wanted", "table"]


def table(engine: Engine) -> dict[str, Any]:
    """The one table of all backends, for those that share it, where the program has one."""
    directory = getattr(engine, "directory", None)
    return {} if directory is None else {"directory": directory}
