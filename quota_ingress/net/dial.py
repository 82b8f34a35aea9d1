"""Opens a connection with a timeout, and leaves nothing behind of one that is given up."""

from __future__ import annotations

import asyncio


async def dial(protocol: asyncio.Protocol, address: tuple[str, int], timeout_s: float) -> None:
    """Connects `protocol` to `address` (host and port) within `timeout_s` seconds.

    A connection may come up in the moment in which its timeout expires or its task is cancelled. The loop
    closes such a transport without notifying the protocol, though it has called `connection_made`:
    `connection_lost` is called here, as the protocol may have started timers.

    Raises:
        OSError: The connection could not be made; TimeoutError is one.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(timeout_s):
            await loop.create_connection(lambda: protocol, *address)
    except BaseException:
        protocol.connection_lost(None)
        raise
