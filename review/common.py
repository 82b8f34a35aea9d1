"""Stand-ins and helpers that the cases share: ingresses, discovery, the counter, small functions.

Standard library only. Everything listens on 127.0.0.1 at free ports. Each case writes `record.txt` in its own
folder, and its exit code is 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LONGEST_RUN = 110.0  # s
READY_WITHIN = 30.0  # s
PORTS = (10_000, 32_000)

# The settings of the site page's example (three ingresses, plans basis, plus and pro), with quotas that the
# cases never reach.
SETTINGS: dict[str, Any] = {
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
    "clients": {"marks_retry": False},
    "contracts": [
        {
            "at_once": 0,
            "beyond_earns": 0.0,
            "burst": 60.0,
            "name": "pro",
            "never_over_depth": 0.0,
            "never_over_rate": 0.0,
            "overrun_cost": 1.2,
            "price": 1.4,
            "quota_rate": 40.0,
            "tolerance": 0.0,
        }
    ],
    "domain": {
        "count_fee": 0.005,
        "count_wait": 50_000,
        "may_count": True,
        "meter_period": 0,
        "peer_in_per_s": 0.0,
        "post_paid": False,
        "units_top": 1,
    },
    "failure_domains": ["room-a"],
    "family": "gate",
    "fees": {"cross_zone": 0.005, "late_fail": 0.08, "probe": 0.01, "waste": 0.03},
    "flavors": ["std-3"],
    "fleet_size": 3,
    "goal": {"whole": 0.55, "worst_class": 0.0, "worst_tenant": 0.25, "worst_window": 0.2},
    "layers": ["quote-fleet"],
    "me": 0,
    "membership_mode": "push",
    "my_zone": 0,
    "period": 4000,
    "safety": {
        "answer_slack": 16_000,
        "ask_within": 10_000_000,
        "cold_share": 0.15,
        "drain_grace": 500_000,
        "fall": 1_000_000,
        "ramp_time": 17_000_000,
        "tip_multiple": 2.0,
    },
    "services": [
        {
            "deadline": 6_000_000,
            "dedup_scope": "all",
            "late_worth": 0.2,
            "memory_span": 5_000_000,
            "name": "full-quote",
            "on_time": 2_000_000,
            "semantics": "retryable",
            "stream": False,
            "worth": 3.0,
        },
        {
            "deadline": 2_500_000,
            "dedup_scope": "all",
            "late_worth": 0.0,
            "memory_span": 5_000_000,
            "name": "rate-check",
            "on_time": 800_000,
            "semantics": "retryable",
            "stream": False,
            "worth": 1.0,
        },
        {
            "deadline": 5_000_000,
            "dedup_scope": "all",
            "late_worth": 0.0,
            "memory_span": 3_000_000,
            "name": "quote-save",
            "on_time": 2_000_000,
            "semantics": "dedup",
            "stream": False,
            "worth": 3.0,
        },
    ],
    "telemetry": {"fields": [], "via": "off"},
    "tier": 0,
    "weight_source": "rough",
}


class Record:
    """The file `record.txt`: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_at = time.monotonic()

    def __call__(self, text: str) -> None:
        self._file.write(f"{time.monotonic() - self._began_at:8.3f} {text}\n")
        self._file.flush()


# Discovery: the whole list, and watches with a heartbeat every 2 s.


class Discovery:
    """Discovery's agent. Its list does not change unless `change` is called."""

    def __init__(self, endpoints: list[dict[str, Any]]) -> None:
        self.endpoints = {endpoint["name"]: endpoint for endpoint in endpoints}
        self.index = 1
        self.address = ""
        self._watches: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = address_of(self._server)

    def change(self, endpoints: list[dict[str, Any]]) -> None:
        """Changes entries of the list, and tells every open watch at once."""
        self.index += 1
        for endpoint in endpoints:
            self.endpoints[endpoint["name"]] = endpoint
        line = json.dumps({"index": self.index, "snapshot": False, "endpoints": endpoints}).encode() + b"\n"
        for writer in self._watches:
            writer.write(b"%x\r\n%b\r\n" % (len(line), line))

    def _whole_list(self) -> bytes:
        endpoints = list(self.endpoints.values())
        return json.dumps({"index": self.index, "snapshot": True, "endpoints": endpoints}).encode()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                body = self._whole_list()
                if b"watch=1" not in head:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                if b"from=%d " % self.index not in head:
                    writer.write(b"%x\r\n%b\n\r\n" % (len(body) + 1, body))
                self._watches.add(writer)
                while True:
                    writer.write(b"1\r\n\n\r\n")
                    await asyncio.sleep(2.0)
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._watches.discard(writer)
            writer.close()


class Counter:
    """The counter: named totals that expire; answers in the order of the calls."""

    def __init__(self) -> None:
        self.address = ""
        self._totals: dict[bytes, tuple[float, float]] = {}  # total, and when the name expires
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = address_of(self._server)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while line := await reader.readline():
                writer.write(self._answer(line.split()))
        except OSError:
            pass
        finally:
            writer.close()

    def _answer(self, call: list[bytes]) -> bytes:
        if call == [b"ping"]:
            return b"pong\r\n"
        if len(call) != 4 or call[0] != b"add":
            return b"error\r\n"
        now = time.monotonic()
        total, expires_at = self._totals.get(call[1], (0.0, 0.0))
        if now >= expires_at:
            total, expires_at = 0.0, now + min(60_000, int(call[3])) / 1000
        total += float(call[2])
        self._totals[call[1]] = (total, expires_at)
        return b"ok %.7g\r\n" % total


# Ingresses.


class Ingress:
    """One real ingress, started with the command `run` of the deploy file."""

    def __init__(self, number: int, folder: Path, record: Record) -> None:
        self.number = number
        self.port = free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self._folder = folder / f"ingress-{number}"
        self._folder.mkdir()
        self._record = record

    def start(self, discovery: Discovery, counter: Counter, fleet_size: int, limits: dict[str, Any]) -> None:
        temporary = self._folder / "tmp"
        temporary.mkdir(exist_ok=True)
        endpoints = list(discovery.endpoints.values())
        config = {
            "name": f"n{self.number}",
            "listen": f"{HOST}:{self.port}",
            "discovery": discovery.address,
            "counter": counter.address,
            "seed": os.urandom(8).hex(),
            "limits": limits,
            "known": {"index": discovery.index, "snapshot": True, "endpoints": endpoints},
            "settings": SETTINGS | {"me": self.number, "fleet_size": fleet_size},
        }
        path = self._folder / "config.json"
        path.write_text(json.dumps(config), encoding="utf-8")
        environment = {name: value for name, value in os.environ.items() if not name.startswith("EDGE_")}
        environment |= {
            "EDGE_NAME": f"n{self.number}",
            "EDGE_LISTEN": f"{HOST}:{self.port}",
            "EDGE_DISCOVERY": discovery.address,
            "EDGE_CONFIG": str(path),
            "TMPDIR": str(temporary),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        with (self._folder / "log.txt").open("ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self._record(f"ingress n{self.number} started, process {self.process.pid}, port {self.port}")

    async def wait_until_ready(self) -> None:
        deadline = time.monotonic() + READY_WITHIN
        while time.monotonic() < deadline:
            try:
                reader, writer = await asyncio.open_connection(HOST, self.port)
                writer.write(b"GET /up HTTP/1.1\r\nHost: app.svc\r\nConnection: close\r\n\r\n")
                answer = await reader.read()
                writer.close()
                if answer.startswith(b"HTTP/1.1 200"):
                    self._record(f"ingress n{self.number} ready")
                    return
            except OSError:
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"ingress n{self.number} is not ready after {READY_WITHIN} s")

    def end(self) -> None:
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process:
            self.process.wait()


class Fleet:
    """Discovery, the counter and the ingresses of a case."""

    def __init__(self, record: Record, folder: Path) -> None:
        self.ingresses: list[Ingress] = []
        self.discovery: Discovery | None = None
        self._record = record
        self._folder = folder

    async def start(self, endpoints: list[dict[str, Any]], size: int, limits: dict[str, Any]) -> None:
        """Starts discovery, the counter and `size` ingresses; returns once all ingresses are ready."""
        self.discovery, counter = Discovery(endpoints), Counter()
        await self.discovery.start()
        await counter.start()
        for number in range(size):
            ingress = Ingress(number, self._folder, self._record)
            self.ingresses.append(ingress)
            ingress.start(self.discovery, counter, size, limits)
        for ingress in self.ingresses:
            await ingress.wait_until_ready()

    def end(self) -> None:
        for ingress in self.ingresses:
            ingress.end()


# Small helpers.


def address_of(server: asyncio.Server) -> str:
    return f"{HOST}:{server.sockets[0].getsockname()[1]}"


def free_port() -> int:
    """Returns a free port below the usual range of outgoing connections, which could take it meanwhile."""
    while True:
        port = random.randrange(*PORTS)
        with contextlib.suppress(OSError), socket.create_server((HOST, port)):
            return port


def endpoint(name: str, address: str, status: str = "up") -> dict[str, Any]:
    """An entry of discovery's list: a quote box that started long ago."""
    return {
        "name": name,
        "address": address,
        "zone": "room-a",
        "type": "std-3",
        "group": 0,
        "status": status,
        "weight": 1.0,
        "since_ms": 0,
    }


def request_head(
    request_class: str, request_id: str, customer: int, timeout_ms: int, fleet_size: int, *more: str
) -> bytes:
    """A request's head as the protocol page describes it."""
    method = "POST" if request_class == "quote-save" else "GET"
    lines = [
        f"{method} /{request_class}/{request_id} HTTP/1.1",
        "Host: app.svc",
        f"Request-Id: {request_id}",
        "X-Plan: pro",
        f"Cookie: customer={customer:016x}",
        f"Request-Timeout: {timeout_ms}m",
        f"X-Quota: units=1,spread={fleet_size},first=0",
        *more,
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def content_length(head: bytes) -> int:
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == b"content-length":
            return int(value)
    return 0


def header(head: bytes, wanted: bytes) -> bytes:
    for line in head.split(b"\r\n")[1:]:
        name, _, value = line.partition(b":")
        if name.lower() == wanted:
            return value.strip()
    return b""


Play = Callable[[Fleet, Record, bool], Awaitable[bool]]
"""Plays the case: fleet, record, with the disruption or without. Returns whether the rule held."""


def main(folder: Path, play: Play) -> None:
    """Runs a case, ends all processes that it started, and exits."""
    logging.disable()
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record(f"with the disruption: {trouble}")
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    fleet = Fleet(record, temporary)
    code = COULD_NOT_RUN

    async def run() -> bool:
        async with asyncio.timeout(LONGEST_RUN):
            return await play(fleet, record, trouble)

    try:
        code = HELD if asyncio.run(run()) else BROKEN
    except Exception:
        record("could not run:\n" + traceback.format_exc())
    finally:
        fleet.end()
        for log in sorted(temporary.glob("ingress-*/log.txt")):
            record(f"log of {log.parent.name}:\n{log.read_text(errors='replace')}")
        shutil.rmtree(temporary, ignore_errors=True)
    record({HELD: "the rule held", BROKEN: "the rule was broken", COULD_NOT_RUN: "could not run"}[code])
    print({HELD: "held", BROKEN: "broken", COULD_NOT_RUN: "could not run"}[code], flush=True)
    os._exit(code)  # without the loop's complaints about the stand-ins' open connections
