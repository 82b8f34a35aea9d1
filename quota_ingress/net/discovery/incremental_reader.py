"""Incremental reader of one long endpoint list: decodes and packs each entry as its text arrives.

A complete list, as text and as decoded values, takes ten times the memory of its packed entries. The reader
is a coroutine over generators: each yields the number of further characters that it needs, and is resumed
once these have arrived.
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

MAX_UNREAD_BYTES = 8 * 1024 * 1024
MAX_LIST_BYTES = 64 * 1024 * 1024  # some 400,000 endpoints
LONGEST_TOKEN = 16  # characters, at least those of `-Infinity` and of an escape in a string

Value = TypeVar("Value")
Parsing = Generator[int, None, Value]  # yields how many further characters it needs
PackEntry = Callable[[EndpointEntry], PackedEntry]

_SPACE = re.compile(r"[ \t\n\r]*")
_COMMA = re.compile(r"[ \t\n\r]*,[ \t\n\r]*")
_END_OF_DOCUMENT = b"}]"  # bytes that may be the last ones of a list
_READ_ALREADY = ()  # stands for entries that were packed one by one
_decoder = json.JSONDecoder()


class IncrementalListReader:
    """Reads one list from text that comes in parts; holds only what has not been decoded yet.

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
        self._position = 0  # in `_text`, of the first character that has not been read
        self._pending: list[str] = []  # text that has not been joined to `_text`
        self._pending_length = 0  # characters
        self._received_bytes = 0
        self._last_byte = b" "  # the last one that is no space
        self._parsing = self._parse_list()
        self._needed = next(self._parsing)

    def feed(self, data: bytes, line_ended: bool = False) -> None:
        """Takes more of the text.

        Args:
            data: The next bytes.
            line_ended: Whether a line ends with them. The list may end there, too, with less text than the
                parser asked for.

        Raises:
            EndpointListError: The text is no endpoint list, or is too long.
        """
        self._received_bytes += len(data)
        self._last_byte = data.rstrip()[-1:] or self._last_byte
        try:
            text = self._utf8.decode(data)
            self._pending.append(text)
            self._pending_length += len(text)
            if self._pending_length >= self._needed or (line_ended and self._last_byte in _END_OF_DOCUMENT):
                self._join_pending()
                self._needed = next(self._parsing)
        except DECODE_ERRORS as error:
            raise as_list_error(error) from None
        unread = len(self._text) - self._position + self._pending_length
        if self._received_bytes > MAX_LIST_BYTES or unread > MAX_UNREAD_BYTES:
            raise EndpointListError("endpoint list: too long")

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
                fields[key] = _READ_ALREADY
            else:
                fields[key] = yield from self._parse_value()
            if (yield from self._expect(",", "}")) == "}":
                break
        self.endpoint_list = decode_endpoint_list(fields)
        if fields[ENTRIES_KEY] == _READ_ALREADY:
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
        """Yields the values that have come completely, up to the last comma with text behind it.

        One pass over them costs less than a generator resumed for each.
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
                if end < len(self._text) or isinstance(value, dict | list | str):  # a number could go on
                    self._position = end
                    return value
            except json.JSONDecodeError as error:
                if not self._may_be_cut_off(error):
                    raise
            yield len(self._text) - self._position  # doubles the text, so that few passes over it are made

    def _may_be_cut_off(self, error: json.JSONDecodeError) -> bool:
        """Returns whether more text could mend the error."""
        return error.pos + LONGEST_TOKEN >= len(self._text) or "Unterminated" in error.msg

    def _peek(self) -> Parsing[str]:
        """Skips spaces and returns the next character without reading it."""
        while True:
            self._position = _SPACE.match(self._text, self._position).end()  # type: ignore[union-attr]
            if self._position < len(self._text):
                return self._text[self._position]
            yield 1

    def _expect(self, *expected: str) -> Parsing[str]:
        """Reads one of the characters `expected`; without any, nothing but spaces may come."""
        found = yield from self._peek()
        if found not in expected:
            alternatives = " or ".join(expected) or "its end"
            raise EndpointListError(f"endpoint list: {found!r} instead of {alternatives}")
        self._position += 1
        return found
