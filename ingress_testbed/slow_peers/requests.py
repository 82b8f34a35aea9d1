"""Encodes the heads of the requests of a play."""

from __future__ import annotations

from ingress_testbed.slow_peers.scenario import IDEMPOTENT

MS_PER_S = 1000


def encode_head(
    request_class: str, request_id: str, customer: int, timeout_s: float, framing: str = "", fields: str = ""
) -> bytes:
    """Returns a head. `framing` is the field that delimits the body; `fields` are more lines, with CRLF."""
    method = "GET" if request_class == IDEMPOTENT else "POST"
    lines = [
        f"{method} /{request_class}/x?id={request_id} HTTP/1.1",
        "Host: app.svc",
        f"Request-Id: {request_id}",
        "X-Plan: gold",
        f"Cookie: customer={customer:016x}",
        f"Request-Timeout: {max(1, round(timeout_s * MS_PER_S))}m",
        "X-Quota: units=1,spread=1,first=0",
    ]
    if method == "POST":
        lines.append(f"Idempotency-Key: key-{request_id}")
    if framing:
        lines.append(framing)
    return ("\r\n".join(lines) + f"\r\n{fields}\r\n").encode()
