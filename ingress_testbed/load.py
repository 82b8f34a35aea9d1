"""Open-loop clients: requests at moments drawn ahead, whatever became of the earlier ones."""

from __future__ import annotations

import asyncio
import random
import time
from collections import Counter as Tally

from ingress_testbed.standins.sockets import Connection

LATE = 5.0  # s after the last request in which answers may come
KEPT = 1.5  # s that a connection may have stood idle and still be used: the other side closes it after 2


def request(number: int, customer: int, spread: int, route: int, host: str) -> bytes:
    return (
        f"GET /route-{route}/x HTTP/1.1\r\nHost: {host}\r\nRequest-Id: {number:016x}\r\nX-Plan: plan-0\r\n"
        f"Cookie: customer={customer:016x}\r\nRequest-Timeout: 3000m\r\n"
        f"X-Quota: units=1,spread={spread},first=0\r\n\r\n"
    ).encode()


class Link(Connection):
    def __init__(self, load: Load) -> None:
        self._load, self._data = load, b""
        self.asked: tuple[float, bytes] | None = None
        self.idle_since = 0.0

    def ask(self, due: float, data: bytes) -> None:
        self.asked = (due, data)
        self.transport.write(data)

    def data_received(self, data: bytes) -> None:
        self._data += data
        head, end, rest = self._data.partition(b"\r\n\r\n")
        if not end:
            return
        length = int(head.lower().partition(b"\r\ncontent-length:")[2].partition(b"\r\n")[0] or 0)
        if len(rest) < length or not self.asked:
            return
        self._data, (due, _), self.asked = rest[length:], self.asked, None
        self._load.answered(int(head.split(b" ", 2)[1]), due)
        self.idle_since = asyncio.get_running_loop().time()
        if b"\r\nconnection: close" in head.lower():
            self.transport.close()
        else:
            self._load.idle.append(self)

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self._load.idle:
            self._load.idle.remove(self)
        if self.asked:
            due, data = self.asked
            self._load.broken(due, data, began=bool(self._data))


class Load:
    """One run. `latencies`: s from the moment a request was due to its answer's last byte."""

    def __init__(self, host: str, port: int) -> None:
        self._address = (host, port)
        self.idle: list[Link] = []
        self.latencies: list[float] = []
        self.statuses: Tally[int] = Tally()  # 0: no whole answer
        self.opened = 0
        self._again: set[bytes] = set()
        self._tasks: set[asyncio.Task[None]] = set()

    async def run(
        self, rate: float, seconds: float, seed: int, customers: int, spread: int, routes: int
    ) -> dict[str, float]:
        """Latencies in ms, counts of answers by kind. Customers are drawn, each as likely as the others."""
        rng, loop = random.Random(seed), asyncio.get_running_loop()
        due, end, number = loop.time() + 0.05, loop.time() + 0.05 + seconds, rng.getrandbits(48) << 16
        used = time.process_time()
        while (due := due + rng.expovariate(rate)) < end:
            number += 1
            data = request(number, rng.randrange(customers), spread, rng.randrange(routes), "app.svc")
            if (wait := due - loop.time()) > 0:
                await asyncio.sleep(wait)
            self._send(due, data)
        last = loop.time() + LATE
        sent = number & 0xFFFF
        while sum(self.statuses.values()) < sent and loop.time() < last:
            await asyncio.sleep(0.02)
        for link in self.idle[:]:
            link.transport.close()
        ordered = sorted(self.latencies) or [0.0]
        return {
            "sent_n": float(sent),
            "served_n": float(self.statuses[200]),
            "refused_n": float(self.statuses[429] + self.statuses[503]),
            "unanswered_n": float(self.statuses[0]),
            "opened_n": float(self.opened),
            "p50_ms": ordered[len(ordered) // 2] * 1e3,
            "p99_ms": ordered[min(len(ordered) - 1, len(ordered) * 99 // 100)] * 1e3,
            "client_cpu_us": (time.process_time() - used) / max(1, sent) * 1e6,
        }

    def answered(self, status: int, due: float) -> None:
        self.statuses[status] += 1
        if status == 200:
            self.latencies.append(asyncio.get_running_loop().time() - due)

    def broken(self, due: float, data: bytes, began: bool) -> None:
        """A close that crossed the request: it is sent once more, on a new connection."""
        if began or data in self._again:
            self.statuses[0] += 1
            return
        self._again.add(data)
        self._open(due, data)

    def _send(self, due: float, data: bytes) -> None:
        oldest = asyncio.get_running_loop().time() - KEPT
        while self.idle:
            link = self.idle.pop()
            if link.idle_since > oldest and not link.transport.is_closing():
                link.ask(due, data)
                return
            link.transport.close()
        self._open(due, data)

    def _open(self, due: float, data: bytes) -> None:
        task = asyncio.get_running_loop().create_task(self._dial(due, data))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _dial(self, due: float, data: bytes) -> None:
        self.opened += 1
        try:
            _, link = await asyncio.get_running_loop().create_connection(lambda: Link(self), *self._address)
        except OSError:
            self.statuses[0] += 1
            return
        link.ask(due, data)


class Clients:
    """The worker's host."""

    async def run(
        self,
        port: int,
        rate: float,
        seconds: float,
        seed: int,
        host: str = "127.0.0.1",
        customers: int = 50,
        spread: int = 1,
        routes: int = 3,
    ) -> dict[str, float]:
        return await Load(host, port).run(rate, seconds, seed, customers, spread, routes)
