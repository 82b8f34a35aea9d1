"""Opens a connection within a time, and leaves nothing of one that is given up."""

from __future__ import annotations

import asyncio


async def dial(protocol: asyncio.Protocol, address: tuple[str, int], within: float) -> None:
    """Connects `protocol`, in `within` s. OSError (TimeoutError is one) if that fails.

    A connection may come up in the moment in which its time is over or its task is cancelled. The loop closes
    such a transport without a word to the protocol, though `connection_made` has been called: so it is told
    here, as it may have begun timers.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(within):
            await loop.create_connection(lambda: protocol, *address)
    except BaseException:
        protocol.connection_lost(None)
        raise
