"""Reads HTTP/1.1 messages from client and backend connections and enforces size limits."""

from quota_ingress.net.http.body import BODY_BUFFER_BYTES, Body, EncodedPart
from quota_ingress.net.http.connection import (
    SOCKET_BUFFER_BYTES,
    HttpConnection,
    limit_socket_buffers,
)
from quota_ingress.net.http.memory_budget import MemoryBudget
from quota_ingress.net.http.message_reader import (
    MAX_HEAD_BYTES,
    FramingError,
    Message,
    MessageReader,
    RequestReader,
    ResponseReader,
)

__all__ = [
    "BODY_BUFFER_BYTES",
    "MAX_HEAD_BYTES",
    "SOCKET_BUFFER_BYTES",
    "Body",
    "EncodedPart",
    "FramingError",
    "HttpConnection",
    "MemoryBudget",
    "Message",
    "MessageReader",
    "RequestReader",
    "ResponseReader",
    "limit_socket_buffers",
]
