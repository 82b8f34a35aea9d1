"""Queries the kernel for connection state that the event loop has not read yet, and sets how sockets end."""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import select
import socket
import struct
import termios

TCP_INFO_LAST_DATA_RECV = 52  # offset in bytes of `tcpi_last_data_recv` in `tcp_info` (tcp(7))
TCP_INFO_SND_WND = 228  # offset in bytes of `tcpi_snd_wnd`, since Linux 5.4
UINT32_BYTES = 4
US_PER_MS = 1000
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with a timeout of 0 s


def unread_bytes(transport: asyncio.Transport) -> int:
    """Returns the number of received bytes that the event loop has not read."""
    return _ioctl(transport, termios.FIONREAD)


def unacknowledged_bytes(transport: asyncio.Transport) -> int:
    """Returns the number of sent bytes that the peer's kernel has not acknowledged."""
    return _ioctl(transport, termios.TIOCOUTQ)


def time_since_last_data_us(transport: asyncio.Transport) -> int | None:
    """Returns the microseconds since data was last received, at the kernel's resolution of 1 ms.

    None if the kernel does not provide it.
    """
    milliseconds = _tcp_info(transport, TCP_INFO_LAST_DATA_RECV)
    return None if milliseconds is None else US_PER_MS * milliseconds


def peer_window(transport: asyncio.Transport) -> int:
    """Returns how many bytes the peer's kernel last offered to receive; 0 if this kernel does not tell."""
    return _tcp_info(transport, TCP_INFO_SND_WND) or 0


def peer_has_closed(transport: asyncio.Transport) -> bool:
    """Returns whether the peer has closed or half-closed the connection, even if that is still unread."""
    poll = select.poll()
    poll.register(transport.get_extra_info("socket").fileno(), select.POLLRDHUP)
    return bool(poll.poll(0))


def reset_on_close(sock: socket.socket) -> None:
    """Makes the kernel reset the connection when it is closed, and send nothing more; ignores failures."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


def _tcp_info(transport: asyncio.Transport, offset: int) -> int | None:
    """Returns the 32-bit field of `tcp_info` at `offset` (bytes); None if the kernel does not provide it."""
    try:
        sock = transport.get_extra_info("socket")
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, offset + UINT32_BYTES)
        return int(struct.unpack_from("I", info, offset)[0])
    except (OSError, struct.error):
        return None


def _ioctl(transport: asyncio.Transport, request: int) -> int:
    descriptor = transport.get_extra_info("socket").fileno()
    return int.from_bytes(fcntl.ioctl(descriptor, request, bytes(UINT32_BYTES)), "little")
