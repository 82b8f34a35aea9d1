"""Encodes responses to clients."""

from __future__ import annotations

from quota_ingress.net.http import Body

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
CONNECTION_CLOSE = b"Connection: close\r\n"
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    417: b"Expectation Failed",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    501: b"Not Implemented",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


def content_type_field(content_type: bytes) -> bytes:
    """Returns the Content-Type field, or an empty string if the type is unknown."""
    return b"Content-Type: %b\r\n" % content_type if content_type else b""


def retry_after_field(retry_after_us: int) -> bytes:
    """Returns the Retry-After field in seconds, or an empty string for 0 (no advice)."""
    return b"Retry-After: %.3f\r\n" % (retry_after_us / 1e6) if retry_after_us else b""


def encode_response(status: int, headers: bytes, length: bytes, body: bytes, keep_alive: bool) -> bytes:
    """Returns a response with its body. `length` is the Content-Length; empty: no such field."""
    return b"HTTP/1.1 %d %b\r\n%b%b%b\r\n%b" % (
        status,
        REASON_PHRASES[status],
        headers,
        b"" if keep_alive else CONNECTION_CLOSE,
        b"Content-Length: %b\r\n" % length if length else b"",
        body,
    )


def encode_stream_head(content_type: bytes, body: Body, keep_alive: bool) -> bytes:
    """Returns the head of a 200 response whose body is streamed, framed as `body` declares."""
    framing = b""
    if body.chunked:
        framing = b"Transfer-Encoding: chunked\r\n"
    elif body.declared_length is not None:
        framing = b"Content-Length: %d\r\n" % body.declared_length
    close = b"" if keep_alive else CONNECTION_CLOSE
    return b"HTTP/1.1 200 OK\r\n%b%b%b\r\n" % (content_type_field(content_type), framing, close)
