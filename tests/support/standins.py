"""Starting and stopping of the testbed's stand-ins."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any


@asynccontextmanager
async def serving(server: Any) -> AsyncIterator[Any]:
    """Starts `server` for the duration of the `async with` block."""
    await server.start()
    yield server
    server.stop()
