"""Discovery: snapshots, watches with one line for each change and heartbeats, limited capacity, faults."""

from __future__ import annotations

import asyncio
import json
from collections import deque
from typing import Any, NamedTuple
from urllib.parse import parse_qs, urlsplit

from ingress_testbed.standins.sockets import Connection, Server

LIST_PATH = "/discovery/hosts"
HEARTBEAT_INTERVAL = 2.0  # s
HEARTBEAT = b"\n"
MAX_CHANGES = 1000  # kept for watches that resume; a watch from an older version gets a snapshot
MAX_BURST = 0.1  # s of the capacity that may accumulate, but at least one call
UNKNOWN_VERSION = "-1"

NOT_FOUND = b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
REJECTION = b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
WATCH_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
SNAPSHOT_MARK = b'"snapshot":true'  # within the first SNAPSHOT_MARK_END bytes of a snapshot's line
SNAPSHOT_MARK_END = 100  # bytes


class Change(NamedTuple):
    """A change of the list, encoded as a line of a watch."""

    version: int
    line: bytes


def encode_json(value: Any) -> bytes:
    """Returns `value` as compact JSON."""
    return json.dumps(value, separators=(",", ":")).encode()


def chunk(data: bytes) -> bytes:
    """Returns `data` encoded as one chunk of a chunked body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class DiscoveryServer(Server):
    """Discovery, or one agent of it.

    Attributes:
        entries: The endpoint list, by the endpoint's name.
        version: The version of the list.
        capacity: Calls answered a second, 0 for any number; calls beyond it are rejected with 503.
        watches: The open watches.
        is_silent: Whether discovery answers no call, and sends nothing to open watches.
        bytes_sent: Bytes of all answers and watches.
        lines_sent: Lines with a change, counted once for each watch.
        snapshots_sent: Snapshots sent.
        call_count: Calls received.
        rejected_calls: Calls rejected because the capacity was exceeded.
    """

    def __init__(self, entries: list[dict[str, Any]], version: int = 1, capacity: float = 0.0) -> None:
        """Creates a server that listens once `start` has been called."""
        self.entries = {entry["name"]: entry for entry in entries}
        self.version = version
        self.capacity = capacity
        self.watches: set[DiscoveryConnection] = set()
        self.is_silent = False
        self.bytes_sent = 0
        self.lines_sent = 0
        self.snapshots_sent = 0
        self.call_count = 0
        self.rejected_calls = 0
        self._allowance = 0.0  # token bucket of calls that may be answered now
        self._allowance_at = 0.0
        self._changes: deque[Change] = deque(maxlen=MAX_CHANGES)
        self._snapshot: bytes | None = None  # cached, as there are many callers and few changes
        self._missed_lines: list[bytes] = []  # changes made while discovery is silent

    async def start(self) -> None:
        """Starts to listen, and to send heartbeats."""
        await self.serve(lambda: DiscoveryConnection(self))
        self.every(HEARTBEAT_INTERVAL, self._send_heartbeat)

    def stop(self) -> None:
        """Stops listening, and aborts all watches."""
        self.end(self.watches)

    def snapshot(self) -> bytes:
        """Returns the whole list as JSON."""
        if self._snapshot is None:
            entries = list(self.entries.values())
            self._snapshot = encode_json({"index": self.version, "snapshot": True, "endpoints": entries})
        return self._snapshot

    def apply_change(self, entries: list[dict[str, Any]]) -> int:
        """Updates the list and sends the entries to every watch, in one line. Returns the new version."""
        self.version += 1
        for entry in entries:
            if entry["status"] == "removed":
                self.entries.pop(entry["name"], None)
            else:
                self.entries[entry["name"]] = entry
        line = encode_json({"index": self.version, "snapshot": False, "endpoints": entries}) + b"\n"
        self._changes.append(Change(self.version, line))
        self._snapshot = None
        if self.is_silent:
            self._missed_lines.append(line)
        else:
            self._broadcast(line)
        return self.version

    def fall_silent(self) -> None:
        """Stops answering calls and sending lines; connections stay open."""
        self.is_silent = True

    def resume(self) -> None:
        """Resumes after `fall_silent`: open watches get the changes that they missed."""
        self.is_silent = False
        for line in self._missed_lines:
            self._broadcast(line)
        self._missed_lines.clear()

    def abort_watches(self) -> None:
        """Aborts all watches at once, as a restart of discovery does."""
        for watch in list(self.watches):
            watch.transport.abort()

    def lines_since(self, version: int) -> bytes:
        """Returns the changes since `version` as lines, or a snapshot if not all of them are kept."""
        if version == self.version:
            return b""
        lines = [change.line for change in self._changes if change.version > version]
        if 0 < self.version - version == len(lines):
            return b"".join(lines)
        return self.snapshot() + b"\n"

    def admit_call(self) -> bool:
        """Returns whether the capacity allows another call, and deducts the call if so."""
        if not self.capacity:
            return True
        now = asyncio.get_running_loop().time()
        allowance = self._allowance + (now - self._allowance_at) * self.capacity
        self._allowance = min(max(1.0, self.capacity * MAX_BURST), allowance)
        self._allowance_at = now
        if self._allowance < 1:
            return False
        self._allowance -= 1
        return True

    def _broadcast(self, line: bytes) -> None:
        self._send_to_watches(line)
        self.lines_sent += len(self.watches)

    def _send_heartbeat(self) -> None:
        if not self.is_silent:
            self._send_to_watches(HEARTBEAT)

    def _send_to_watches(self, line: bytes) -> None:
        data = chunk(line)
        for watch in self.watches:
            watch.transport.write(data)
        self.bytes_sent += len(data) * len(self.watches)


class DiscoveryConnection(Connection):
    """A connection of one caller, which becomes a watch once the caller has requested one."""

    def __init__(self, server: DiscoveryServer) -> None:
        """Answers calls from the list of `server`."""
        self._server = server
        self._unread = b""

    def data_received(self, data: bytes) -> None:
        """Answers each complete call, unless discovery is silent."""
        self._unread += data
        while b"\r\n\r\n" in self._unread:
            head, _, self._unread = self._unread.partition(b"\r\n\r\n")
            if not self._server.is_silent:
                self._answer(head.split(b" ")[1].decode())

    def connection_lost(self, exc: Exception | None) -> None:
        """Removes the connection from the watches."""
        self._server.watches.discard(self)

    def _answer(self, target: str) -> None:
        url = urlsplit(target)
        query = parse_qs(url.query)
        server = self._server
        server.call_count += 1
        if url.path != LIST_PATH:
            self._write(NOT_FOUND)
        elif not server.admit_call():
            server.rejected_calls += 1
            self._write(REJECTION)
        elif query.get("watch") != ["1"]:
            self._send_snapshot()
        else:
            self._start_watch(int(query.get("from", [UNKNOWN_VERSION])[0]))

    def _send_snapshot(self) -> None:
        self._server.snapshots_sent += 1
        body = self._server.snapshot()
        self._write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body))
        self._write(body)

    def _start_watch(self, version: int) -> None:
        lines = self._server.lines_since(version)
        self._server.snapshots_sent += SNAPSHOT_MARK in lines[:SNAPSHOT_MARK_END]
        self._write(WATCH_HEAD)
        self._write(chunk(lines or HEARTBEAT))
        self._server.watches.add(self)

    def _write(self, data: bytes) -> None:
        self._server.bytes_sent += len(data)
        self.transport.write(data)
