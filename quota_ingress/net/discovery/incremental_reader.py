"""Incremental reader of one long endpoint list: decodes and packs each entry as its text arrives.

A complete list takes, as text and as decoded values, ten times the memory of its packed entries. The reader
consists of nested generators: each yields the number of further characters that it needs and is resumed
once they have arrived.
"""

from __future__ import annotations

import codecs
import json
import re
from collections.abc import Callable, Generator, Iterator
from contextlib import suppress
from typing import Any, TypeVar

from quota_ingress.net.discovery.endpoint import EndpointEntry
from quota_ingress.net.discovery.endpoint_codec import (
    DECODE_ERRORS,
    ENTRIES_KEY,
    EndpointListError,
    as_list_error,
    decode_endpoint,
    decode_endpoint_list,
    log_duplicates,
)
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.packed_entry import PackedEntry

MAX_UNREAD_CHARACTERS = 8 * 1024 * 1024
MAX_LIST_BYTES = 64 * 1024 * 1024  # about 400,000 endpoints
MAX_TOKEN_LENGTH = 16  # characters; at least the length of `-Infinity` and of an escape sequence in a string

Value = TypeVar("Value")
Parsing = Generator[int, None, Value]  # yields the number of further characters needed
PackEntry = Callable[[EndpointEntry], PackedEntry]

_WHITESPACE = re.compile(r"[ \t\n\r]*")
_COMMA = re.compile(r"[ \t\n\r]*,[ \t\n\r]*")
_CLOSING_BRACKETS = b"}]"  # one of them is the last byte of a list
_ALREADY_PACKED = ()  # placeholder for entries that were packed one by one
_decoder = json.JSONDecoder()


class IncrementalListReader:
    """Reads one list from text that arrives in parts; buffers only text that has not been decoded yet.

    Attributes:
        is_complete: Whether the end of the list has been read.
        endpoint_list: The list, once it is complete.
    """

    def __init__(self, pack: PackEntry) -> None:
        """Packs each entry with `pack`."""
        self.is_complete = False
        self.endpoint_list: EndpointList
        self._pack = pack
        self._utf8 = codecs.getincrementaldecoder("utf-8")("surrogatepass")
        self._text = ""
        self._position = 0  # index in `_text` of the first character that has not been decoded
        self._pending: list[str] = []  # text that has not been appended to `_text`
        self._pending_length = 0  # characters
        self._received_bytes = 0
        self._last_byte = b" "  # the last one that is not whitespace
        self._parsing = self._parse_list()
        self._needed = next(self._parsing)

    def feed(self, data: bytes, line_ended: bool = False) -> None:
        """Adds a part of the text, and decodes entries once enough text has arrived.

        Args:
            data: The next bytes.
            line_ended: Whether a line ends with `data`. The list may end there although less text has arrived
                than the parser requested.

        Raises:
            EndpointListError: The text is not an endpoint list or is too long.
        """
        self._received_bytes += len(data)
        self._last_byte = data.rstrip()[-1:] or self._last_byte
        try:
            text = self._utf8.decode(data)
            self._pending.append(text)
            self._pending_length += len(text)
            if self._pending_length >= self._needed or (line_ended and self._last_byte in _CLOSING_BRACKETS):
                self._join_pending()
                self._needed = next(self._parsing)
        except DECODE_ERRORS as error:
            raise as_list_error(error) from None
        unread = len(self._text) - self._position + self._pending_length
        if self._received_bytes > MAX_LIST_BYTES or unread > MAX_UNREAD_CHARACTERS:
            raise EndpointListError(
                f"endpoint list: too long: {self._received_bytes} bytes received (limit {MAX_LIST_BYTES}), "
                f"{unread} characters not decoded (limit {MAX_UNREAD_CHARACTERS})"
            )

    def _join_pending(self) -> None:
        self._text = self._text[self._position :] + "".join(self._pending)
        self._position = 0
        self._pending = []
        self._pending_length = 0

    def _parse_list(self) -> Parsing[None]:
        fields: dict[str, Any] = {}
        packed: dict[str, PackedEntry] = {}
        yield from self._expect("{")
        while True:
            key = str((yield from self._parse_value()))
            yield from self._expect(":")
            if key == ENTRIES_KEY and (yield from self._peek()) == "[":
                packed = yield from self._parse_entries()
                fields[key] = _ALREADY_PACKED
            else:
                fields[key] = yield from self._parse_value()
            if (yield from self._expect(",", "}")) == "}":
                break
        self.endpoint_list = decode_endpoint_list(fields)
        if fields[ENTRIES_KEY] == _ALREADY_PACKED:
            self.endpoint_list.packed = packed
        self.is_complete = True
        yield from self._expect()

    def _parse_entries(self) -> Parsing[dict[str, PackedEntry]]:
        packed: dict[str, PackedEntry] = {}
        duplicate_count = 0

        def add(value: Any) -> None:
            nonlocal duplicate_count
            entry = decode_endpoint(value)
            duplicate_count += entry.name in packed
            packed[entry.name] = self._pack(entry)

        yield from self._expect("[")
        has_more = (yield from self._peek()) != "]"
        while has_more:
            yield from self._peek()
            for value in self._complete_values():
                add(value)
            add((yield from self._parse_value()))
            has_more = (yield from self._expect(",", "]")) == ","
        if not packed:
            yield from self._expect("]")
        log_duplicates(duplicate_count)
        return packed

    def _complete_values(self) -> Iterator[Any]:
        """Yields the values that have arrived completely, up to the last comma that is followed by text.

        One pass over them costs less than resuming the generators for each value.
        """
        text = self._text
        with suppress(json.JSONDecodeError):
            while True:
                value, end = _decoder.raw_decode(text, self._position)
                comma = _COMMA.match(text, end)
                if comma is None or comma.end() == len(text):
                    break
                self._position = comma.end()
                yield value

    def _parse_value(self) -> Parsing[Any]:
        yield from self._peek()
        while True:
            try:
                value, end = _decoder.raw_decode(self._text, self._position)
                if end < len(self._text) or isinstance(value, dict | list | str):  # a number may continue
                    self._position = end
                    return value
            except json.JSONDecodeError as error:
                if not self._may_be_truncated(error):
                    raise
            yield len(self._text) - self._position  # doubles the text to limit the number of passes over it

    def _may_be_truncated(self, error: json.JSONDecodeError) -> bool:
        """Returns whether the error may disappear when more text arrives."""
        return error.pos + MAX_TOKEN_LENGTH >= len(self._text) or "Unterminated" in error.msg

    def _peek(self) -> Parsing[str]:
        """Skips whitespace and returns the next character without consuming it."""
        while True:
            self._position = _WHITESPACE.match(self._text, self._position).end()  # type: ignore[union-attr]
            if self._position < len(self._text):
                return self._text[self._position]
            yield 1

    def _expect(self, *expected: str) -> Parsing[str]:
        """Consumes one of the `expected` characters; with none given, accepts only whitespace."""
        found = yield from self._peek()
        if found not in expected:
            alternatives = " or ".join(expected) or "the end of the list"
            raise EndpointListError(f"endpoint list: got {found!r}, expected {alternatives}")
        self._position += 1
        return found
