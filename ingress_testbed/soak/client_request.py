"""One randomly drawn request of a run, and its encoding."""

from __future__ import annotations

import random

from ingress_testbed.soak.setup import (
    CLASSES,
    CUSTOMERS,
    IDEMPOTENT,
    WITH_KEY,
    expected_answer,
    idempotency_key,
)

CLASS_WEIGHTS = (5, 2, 3)
BODY_SIZES = (0, 200, 5_000, 70_000, 300_000)  # bytes
BODY_WEIGHTS = (4, 4, 2, 1, 1)
ANSWER_SIZES = (0, 1_000, 60_000, 200_000)  # bytes; the shortest body that the endpoint may return
ANSWER_WEIGHTS = (8, 8, 1, 1)
TIMEOUT_WEIGHTS = (1, 4, 5)
CHUNKED_FRACTION = 0.2


class ClientRequest:
    """A randomly drawn request.

    Attributes:
        timeout: The request's timeout in s.
        body: Empty for an idempotent class.
        answer_size: The least size in bytes of the answer that the endpoint has to return.
        chunked: Whether the body has chunked encoding instead of a declared length.
    """

    def __init__(self, rng: random.Random, request_id: str, node: int, nodes: int) -> None:
        """Draws a request to `node`, one of `nodes`.

        A seed reproduces a run only while the order of the draws stays the same.
        """
        self.id = request_id
        self.request_class = rng.choices(CLASSES, CLASS_WEIGHTS)[0]
        timeouts = (rng.uniform(0.005, 0.05), rng.uniform(0.2, 1.0), 2.8)
        self.timeout = rng.choices(timeouts, TIMEOUT_WEIGHTS)[0]
        self.body = b""
        if self.request_class != IDEMPOTENT:
            self.body = rng.randbytes(rng.choices(BODY_SIZES, BODY_WEIGHTS)[0])
        self.answer_size = rng.choices(ANSWER_SIZES, ANSWER_WEIGHTS)[0]
        self.customer = rng.randrange(CUSTOMERS)
        self.chunked = self.request_class != IDEMPOTENT and rng.random() < CHUNKED_FRACTION
        self._first_gateway = node % nodes

    @property
    def expected_answer(self) -> bytes:
        """The body of the 200 response to this request."""
        return expected_answer(self.id, self.body, self.answer_size)

    def encode(self) -> bytes:
        """Returns the request's bytes, head and body."""
        return self._head() + self._encoded_body()

    def _head(self) -> bytes:
        method = "GET" if self.request_class == IDEMPOTENT else "POST"
        query = f"id={self.id}&body={len(self.body)}&size={self.answer_size}"
        lines = [
            f"{method} /{self.request_class}/x?{query} HTTP/1.1",
            "Host: app.svc",
            f"Request-Id: {self.id}",
            "X-Plan: gold",
            f"Cookie: customer={self.customer:016x}",
            f"Request-Timeout: {max(1, round(self.timeout * 1000))}m",
            f"X-Quota: units=1,spread=2,first={self._first_gateway}",
        ]
        if self.request_class == WITH_KEY:
            lines.append(f"Idempotency-Key: {idempotency_key(self.id)}")
        if self.chunked:
            lines.append("Transfer-Encoding: chunked")
        elif self.request_class != IDEMPOTENT:
            lines.append(f"Content-Length: {len(self.body)}")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def _encoded_body(self) -> bytes:
        if not self.chunked:
            return self.body
        chunk = b"%x\r\n%b\r\n" % (len(self.body), self.body) if self.body else b""
        return chunk + b"0\r\n\r\n"
