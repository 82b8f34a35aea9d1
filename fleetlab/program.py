"""Names of the program under test that stood elsewhere in versions that are still measured."""

from __future__ import annotations

from typing import Any

from ironledge.net.engine import Engine

try:
    from ironledge.net.listing import Entry, Listing
except ImportError:  # before the list had a module of its own
    from ironledge.net.discovery import Entry, Listing  # type: ignore[attr-defined, no-redef]

try:
    from ironledge.net.attempts import Answer, Wanted
    from ironledge.net.clock import Clock
    from ironledge.net.names import Names
except ImportError:  # before the engine's parts had modules of their own
    from ironledge.net.engine import (  # type: ignore[attr-defined, no-redef]
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
