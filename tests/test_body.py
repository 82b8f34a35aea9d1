"""Buffering, callbacks and encoding of message bodies."""

from __future__ import annotations

from quota_ingress.net.http import Body, EncodedPart, MemoryBudget


def body_of(data: bytes, complete: bool = False) -> tuple[Body, MemoryBudget]:
    budget = MemoryBudget()
    body = Body(budget)
    body.append(data)
    body.complete = complete
    return body, budget


def test_the_budget_counts_buffered_bytes_until_the_release() -> None:
    body, budget = body_of(b"0123456789")
    assert budget.used == body.buffered == 10
    body.discard(4)
    assert budget.used == 6 and body.read(4) == b"456789"
    body.release()
    body.append(b"more")
    assert budget.used == body.buffered == 0 and body.received == 14


def test_both_sides_are_called_back_until_the_release() -> None:
    body, _ = body_of(b"0123456789")
    calls: list[str] = []
    body.on_drained = lambda: calls.append("drained")
    body.on_update = lambda: calls.append("update")
    body.discard(4)
    body.discard(4)  # already discarded: no callback
    body.truncate()
    body.release()
    body.truncate()
    assert calls == ["drained", "update", "drained"]


def test_a_complete_body_is_not_truncated() -> None:
    body, _ = body_of(b"whole", complete=True)
    body.truncate()
    assert not body.truncated


def test_a_chunked_body_ends_with_the_last_chunk() -> None:
    body, _ = body_of(b"0123456789abcdef")
    body.chunked = True
    assert body.encode(6) == EncodedPart(b"a\r\n6789abcdef\r\n", 16)
    assert body.encode(16) == EncodedPart(b"", 16)
    body.complete = True
    assert body.encode(16) == EncodedPart(b"0\r\n\r\n", 16)
    body.chunked = False
    assert body.encode(6) == EncodedPart(b"6789abcdef", 16)
