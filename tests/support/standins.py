"""Starts and stops the testbed's stand-ins."""

from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import Any


@asynccontextmanager
async def serving(server: Any) -> AsyncIterator[Any]:
    """Serves as long as the block runs."""
    await server.start()
    yield server
    server.stop()
