"""Opens a connection with a timeout, and cleans up after an attempt that fails."""

from __future__ import annotations

import asyncio


async def dial(protocol: asyncio.Protocol, address: tuple[str, int], timeout_s: float) -> None:
    """Connects `protocol` to `address` (host and port) within `timeout_s` seconds.

    A connection may be established just as its timeout expires or its task is cancelled. The event loop has
    then called `connection_made`, but closes the transport without calling `connection_lost`. This function
    calls it after each failure, because the protocol may have started timers.

    Raises:
        OSError: The connection could not be established; TimeoutError, a subclass, if it took too long.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            await loop.create_connection(lambda: protocol, *address)
    except BaseException:
        protocol.connection_lost(None)
        raise
