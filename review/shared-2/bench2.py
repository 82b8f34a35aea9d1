"""Shared parts of the cases 6 to 10: starts ingresses as the platform does, and stand-ins of their peers.

Everything listens on loopback. Only the standard library is used.
"""

from __future__ import annotations

import asyncio
import itertools
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HELD = 0
BROKEN = 1
COULD_NOT_RUN = 2
CASE_LIMIT_S = 110.0
HEARTBEAT_S = 2.0


class CouldNotRun(Exception):
    """The case could not be played; this tells nothing about the ingress."""


class Record:
    """Writes what was sent, answered and run to `record.txt` in the folder of the case."""

    def __init__(self, folder: Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._started_at = time.monotonic()

    def __call__(self, *words: object) -> None:
        text = " ".join(str(word) for word in words)
        line = f"{time.monotonic() - self._started_at:8.3f} {text}"
        print(line, file=self._file, flush=True)
        print(line, flush=True)


def trouble() -> bool:
    """Returns whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def settings(**changes: Any) -> dict[str, Any]:
    """Returns the settings of a small deployment."""
    document: dict[str, Any] = {
        "me": 0,
        "fleet_size": 1,
        "period": 4000,
        "tier": 0,
        "layers": ["boxes"],
        "family": "gate",
        "membership_mode": "push",
        "weight_source": "nominal",
        "failure_domains": ["room-a"],
        "my_zone": 0,
        "flavors": ["std-3"],
        "clients": {"marks_retry": False},
        "services": [
            {
                "name": "full-quote",
                "semantics": "retryable",
                "on_time": 2_000_000,
                "deadline": 6_000_000,
                "late_worth": 0.2,
                "worth": 3.0,
                "stream": False,
                "dedup_scope": "all",
                "memory_span": 5_000_000,
            },
            {
                "name": "rate-check",
                "semantics": "retryable",
                "on_time": 800_000,
                "deadline": 2_500_000,
                "late_worth": 0.0,
                "worth": 1.0,
                "stream": False,
                "dedup_scope": "all",
                "memory_span": 5_000_000,
            },
            {
                "name": "quote-save",
                "semantics": "dedup",
                "on_time": 2_000_000,
                "deadline": 5_000_000,
                "late_worth": 0.0,
                "worth": 3.0,
                "stream": False,
                "dedup_scope": "all",
                "memory_span": 3_000_000,
            },
        ],
        "contracts": [
            {
                "name": "pro",
                "quota_rate": 100.0,
                "burst": 200.0,
                "price": 1.0,
                "at_once": 0,
                "beyond_earns": 0.0,
                "overrun_cost": 0.8,
                "never_over_rate": 0.0,
                "never_over_depth": 0.0,
                "tolerance": 0.0,
            }
        ],
        "ceilings": {
            "cancel": True,
            "conn_idle": 30_000_000,
            "connect_timeout": 250_000,
            "cpu_us_per_request": 0.0,
            "cpu_us_per_s": 500_000,
            "max_attempts": 6,
            "max_open": 20_000,
            "max_retry_after": 2_000_000,
            "may_duplicate": True,
            "may_tell": False,
            "probing": True,
            "retry_after": True,
            "streams_per_conn": 32,
        },
        "safety": {
            "answer_slack": 16_000,
            "ask_within": 10_000_000,
            "cold_share": 0.15,
            "drain_grace": 500_000,
            "fall": 1_000_000,
            "ramp_time": 17_000_000,
            "tip_multiple": 2.0,
        },
        "telemetry": {"fields": [], "via": "off"},
        "domain": {
            "may_count": True,
            "count_fee": 0.005,
            "count_wait": 50_000,
            "meter_period": 0,
            "peer_in_per_s": 0.0,
            "post_paid": False,
            "units_top": 1,
        },
        "fees": {"cross_zone": 0.005, "late_fail": 0.08, "probe": 0.01, "waste": 0.03},
        "goal": {"whole": 0.55, "worst_class": 0.0, "worst_tenant": 0.25, "worst_window": 0.2},
    }
    return document | changes


# Connections of the stand-ins.


def send_reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection with a reset."""
    writer.transport.abort()


class Server:
    """A TCP server on a free loopback port."""

    def __init__(self) -> None:
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._run, HOST, 0, limit=2**20)
        self.port = self._server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"{HOST}:{self.port}"

    async def _run(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task
        self._tasks.add(task)
        try:
            await self.serve(reader, writer)
        except (OSError, EOFError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        raise NotImplementedError

    def stop(self) -> None:
        if self._server:
            self._server.close()
        for task in self._tasks:
            task.cancel()


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


class Discovery(Server):
    """Discovery's agent: answers at once, and pushes changes to open watches."""

    def __init__(self) -> None:
        super().__init__()
        self.index = 1
        self.entries: dict[str, dict[str, Any]] = {}
        self._history: list[tuple[int, list[dict[str, Any]]]] = []
        self._watches: set[asyncio.StreamWriter] = set()

    def add(self, name: str, address: str, since_ms: int = 0, status: str = "up") -> dict[str, Any]:
        """Puts an entry into the list before the start; tells no watch."""
        self.entries[name] = {
            "name": name,
            "address": address,
            "zone": "room-a",
            "type": "std-3",
            "group": 1,
            "status": status,
            "weight": 1.0,
            "since_ms": since_ms,
        }
        return self.entries[name]

    def document(self) -> dict[str, Any]:
        return {"index": self.index, "snapshot": True, "endpoints": list(self.entries.values())}

    def change(self, name: str, **fields: Any) -> None:
        """Changes an entry, and tells all watches."""
        entry = self.entries.get(name, {"name": name}) | fields
        self.index += 1
        if entry["status"] == "removed":
            self.entries.pop(name, None)
        else:
            self.entries[name] = entry
        self._history.append((self.index, [entry]))
        for writer in self._watches:
            writer.write(chunk(self._line(self.index, [entry])))

    @staticmethod
    def _line(index: int, entries: list[dict[str, Any]]) -> bytes:
        return json.dumps({"index": index, "snapshot": False, "endpoints": entries}).encode() + b"\n"

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            target = head.split(" ")[1]
            if "watch=1" not in target:
                body = json.dumps(self.document()).encode()
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                continue
            known = int(target.rpartition("from=")[2])
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            missed = [entries for index, entries in self._history if index > known]
            if known < 1 or known > self.index:
                writer.write(chunk(json.dumps(self.document()).encode() + b"\n"))
            elif missed:
                newest = {entry["name"]: entry for entries in missed for entry in entries}
                writer.write(chunk(self._line(self.index, list(newest.values()))))
            else:
                writer.write(chunk(b"\n"))
            self._watches.add(writer)
            try:
                while not writer.is_closing():
                    await asyncio.sleep(HEARTBEAT_S)
                    writer.write(chunk(b"\n"))
                    await writer.drain()
            finally:
                self._watches.discard(writer)


class Counter(Server):
    """The counter; it never turns a call away."""

    def __init__(self) -> None:
        super().__init__()
        self._totals: dict[str, tuple[float, float]] = {}

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while line := (await reader.readline()).decode().split():
            if line[0] == "ping":
                writer.write(b"pong\r\n")
                continue
            _, name, amount, life_ms = line
            now = time.monotonic()
            total, until = self._totals.get(name, (0.0, 0.0))
            if now >= until:
                total, until = 0.0, now + min(60_000, float(life_ms)) / 1000
            total += float(amount)
            self._totals[name] = (total, until)
            writer.write(b"ok %.6f\r\n" % total)


class Request:
    """A request that a backend has read whole."""

    def __init__(self, head: bytes, body: bytes) -> None:
        lines = head.split(b"\r\n")
        self.head = head
        self.line = lines[0].decode("latin-1")
        self.headers = {
            name.strip().lower().decode("latin-1"): value.strip().decode("latin-1")
            for name, _, value in (line.partition(b":") for line in lines[1:] if line)
        }
        self.body = body
        self.at = time.monotonic()

    @property
    def id(self) -> str:
        return self.headers.get("request-id", "")


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Reads one HTTP/1.1 request, with Content-Length or in chunks."""
    head = await reader.readuntil(b"\r\n\r\n")
    request = Request(head[:-4], b"")
    if request.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int((await reader.readline()).split(b";")[0], 16):
            request.body += (await reader.readexactly(size + 2))[:-2]
        while (await reader.readline()).strip():
            pass
    else:
        request.body = await reader.readexactly(int(request.headers.get("content-length", 0)))
    request.at = time.monotonic()
    return request


Answer = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


class Backend(Server):
    """A backend that reads one request after another on each connection, and answers each by `answer`."""

    def __init__(self, name: str, record: Record, answer: Answer) -> None:
        super().__init__()
        self.name = name
        self.record = record
        self.answer = answer
        self.requests: list[Request] = []

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        sock = writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        while True:
            request = await read_request(reader)
            self.requests.append(request)
            self.record(f"backend {self.name}: read whole: {request.line!r} id={request.id!r}")
            await self.answer(request, writer)


def ok(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


# Clients.

_ids = itertools.count(1)


def request_id(prefix: str) -> str:
    return f"{prefix}{next(_ids):08x}{os.getpid() & 0xFFFF:04x}"


def get(path: str, rid: str, timeout_ms: int, *, customer: int = 7, extra: str = "", fleet: int = 1) -> bytes:
    """Returns a request of a class that is safe to repeat."""
    return (
        f"GET {path} HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {rid}\r\nX-Plan: pro\r\n"
        f"Cookie: customer={customer:016x}\r\nRequest-Timeout: {timeout_ms}m\r\n"
        f"X-Quota: units=1,spread={fleet},first=0\r\n{extra}\r\n"
    ).encode()


def post(
    path: str, rid: str, timeout_ms: int, key: str, body: bytes, *, customer: int = 7, fleet: int = 1
) -> bytes:
    """Returns a request of a keyed class."""
    head = (
        f"POST {path} HTTP/1.1\r\nHost: app.svc\r\nRequest-Id: {rid}\r\nX-Plan: pro\r\n"
        f"Cookie: customer={customer:016x}\r\nRequest-Timeout: {timeout_ms}m\r\n"
        f"Idempotency-Key: {key}\r\nContent-Length: {len(body)}\r\n"
        f"X-Quota: units=1,spread={fleet},first=0\r\n\r\n"
    )
    return head.encode() + body


async def read_answer(reader: asyncio.StreamReader) -> tuple[int, dict[str, str], bytes]:
    """Reads a whole answer; raises EOFError or OSError if it ends before that."""
    head = await reader.readuntil(b"\r\n\r\n")
    answer = Request(head[:-4], b"")
    status = int(answer.line.split(" ")[1])
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int((await reader.readline()).split(b";")[0], 16):
            body += (await reader.readexactly(size + 2))[:-2]
        await reader.readline()
        return status, answer.headers, body
    return status, answer.headers, await reader.readexactly(int(answer.headers.get("content-length", 0)))


# The platform.


class Ingress:
    """One process of the ingress, started by `run` of the deploy file."""

    def __init__(self, record: Record, name: str, config: dict[str, Any], folder: Path) -> None:
        self.record = record
        self.name = name
        self.config = config
        self.path = folder / f"{name}.json"
        self.folder = folder
        self.process: asyncio.subprocess.Process | None = None

    async def start(self, inherited: tuple[int, ...] = (), **environment: str) -> None:
        """Starts the program; the shell of `run` replaces itself by it."""
        self.write_config()
        with open(ROOT / "deploy" / "balancer.toml", "rb") as file:
            run = tomllib.load(file)["run"]
        tmp = tempfile.mkdtemp(dir=self.folder)
        inherited_environment = {n: v for n, v in os.environ.items() if not n.startswith("EDGE_")}
        log = open(self.folder / f"{self.name}.log", "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            run,
            cwd=ROOT,
            env=inherited_environment
            | {
                "EDGE_CONFIG": str(self.path),
                "EDGE_NAME": self.config["name"],
                "EDGE_LISTEN": self.config["listen"],
                "EDGE_DISCOVERY": self.config["discovery"],
                "TMPDIR": tmp,
            }
            | environment,
            stdout=log,
            stderr=log,
            pass_fds=inherited,
            start_new_session=True,
        )
        log.close()
        self.record(f"platform: started {self.name}, process {self.process.pid}")

    def write_config(self) -> None:
        self.path.write_text(json.dumps(self.config))

    @property
    def address(self) -> tuple[str, int]:
        host, _, port = self.config["listen"].rpartition(":")
        return host, int(port)

    async def wait_up(self, timeout_s: float = 30.0) -> None:
        """Returns once `GET /up` is answered with 200."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            assert self.process
            if self.process.returncode is not None:
                raise CouldNotRun(f"{self.name} ended with {self.process.returncode} before it was up")
            try:
                reader, writer = await asyncio.open_connection(*self.address)
                writer.write(b"GET /up HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                async with asyncio.timeout(2.0):
                    status, _, _ = await read_answer(reader)
                writer.close()
                if status == 200:
                    self.record(f"platform: {self.name} is up")
                    return
            except (OSError, EOFError, TimeoutError):
                pass
            await asyncio.sleep(0.1)
        raise CouldNotRun(f"{self.name} was not up within {timeout_s} s")

    def signal(self, number: signal.Signals) -> None:
        assert self.process
        if self.process.returncode is None:
            self.record(f"platform: {number.name} to {self.name}")
            self.process.send_signal(number)

    async def end(self) -> None:
        """Kills the process if it still runs."""
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()

    def log_tail(self, lines: int = 10) -> list[str]:
        path = self.folder / f"{self.name}.log"
        return path.read_text(errors="replace").splitlines()[-lines:] if path.exists() else []


def free_port() -> int:
    """Returns a port that is free now; the ingress listens on it with SO_REUSEADDR."""
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        port: int = sock.getsockname()[1]
        return port


class World:
    """One deployment: discovery, counter, backends and ingresses."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.discovery = Discovery()
        self.counter = Counter()
        self.backends: list[Backend] = []
        self.ingresses: list[Ingress] = []

    async def start(self) -> None:
        await self.discovery.start()
        await self.counter.start()

    async def backend(self, name: str, answer: Answer, since_ms: int = 0) -> Backend:
        backend = Backend(name, self.record, answer)
        await backend.start()
        self.backends.append(backend)
        self.discovery.add(name, backend.address, since_ms)
        return backend

    def ingress(self, name: str = "n0", **changes: Any) -> Ingress:
        config = {
            "name": name,
            "listen": f"{HOST}:{free_port()}",
            "discovery": self.discovery.address,
            "counter": self.counter.address,
            "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 384},
            "known": self.discovery.document(),
            "settings": settings(),
        } | changes
        ingress = Ingress(self.record, name, config, self.folder)
        self.ingresses.append(ingress)
        return ingress

    async def stop(self) -> None:
        for ingress in self.ingresses:
            await ingress.end()
        for server in (self.discovery, self.counter, *self.backends):
            server.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


Play = Callable[[World, Record], Awaitable[bool]]


def run_case(folder: Path, play: Play) -> int:
    """Plays a case. `play` returns whether the rule held."""
    record = Record(folder)
    record("the disruption is", "on" if trouble() else "off")

    async def run() -> int:
        world = World(record)
        try:
            await world.start()
            async with asyncio.timeout(CASE_LIMIT_S):
                held = await play(world, record)
        except (CouldNotRun, TimeoutError) as error:
            record("could not run:", repr(error))
            for ingress in world.ingresses:
                record(*ingress.log_tail())
            return COULD_NOT_RUN
        finally:
            await world.stop()
        record("the rule held" if held else "THE RULE WAS BROKEN")
        return HELD if held else BROKEN

    try:
        return asyncio.run(run())
    except Exception as error:  # a fault of the case itself
        record("could not run:", repr(error))
        return COULD_NOT_RUN


def main(file: str, play: Play) -> None:
    sys.exit(run_case(Path(file).resolve().parent, play))
