"""Parser of the lines in which discovery sends endpoint lists.

A list is usually one line, but an indented one has many. Short lists are decoded once they are complete; a
list that exceeds a threshold is passed to an `IncrementalListReader`.
"""

from __future__ import annotations

import json
import re
from enum import Enum, auto
from typing import Any

from quota_ingress.net.discovery.endpoint_codec import (
    EndpointListError,
    as_list_error,
    decode_endpoint_list,
)
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.incremental_reader import (
    IncrementalListReader,
    PackEntry,
)
from quota_ingress.net.discovery.packed_entry import pack_entry

MAX_UNREAD_BYTES = 8 * 1024 * 1024  # of a list in several lines that is not complete
INCREMENTAL_THRESHOLD_BYTES = 256 * 1024

_STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')


class LineResult(Enum):
    """Meaning of a line that does not complete a list."""

    HEARTBEAT = auto()  # an empty line between lists
    INCOMPLETE = auto()  # more lines of the list follow


class EndpointListParser:
    """Parses endpoint lists from lines that arrive in parts.

    The parser has three states: between lists, buffering the lines of a list that is short so far, or passing
    a long list on to a reader.
    """

    def __init__(self, pack: PackEntry = pack_entry) -> None:
        """Packs the entries of long lists with `pack`."""
        self._pack = pack
        self._reset()

    def _reset(self) -> None:
        self._lines: list[bytes] = []  # complete lines of an incomplete list
        self._partial_line: list[bytes] = []  # parts of the unfinished line; empty with a reader
        self._is_line_blank = True  # the unfinished line is blank so far
        self._buffered_bytes = 0
        self._open_brackets = 0
        self._reader: IncrementalListReader | None = None

    @property
    def has_partial_list(self) -> bool:
        """Whether the beginning of a list has arrived, but not its end."""
        return bool(self._lines or self._reader) or not self._is_line_blank

    def feed(self, data: bytes) -> None:
        """Adds a part of the current line that does not end it.

        Raises:
            EndpointListError: The text cannot become a valid list.
        """
        self._is_line_blank = self._is_line_blank and not data.strip()
        if self._reader:
            self._reader.feed(data)
        elif data:
            self._partial_line.append(data)
            self._buffered_bytes += len(data)
            self._start_reader_if_long()

    def end_line(self, data: bytes) -> EndpointList | LineResult:
        """Ends the current line with `data`, and returns the list if the line completes one.

        Raises:
            EndpointListError: The text is not a valid list.
        """
        if self._reader:
            return self._end_line_of_reader(self._reader, data)
        line = b"".join([*self._partial_line, data])
        self._buffered_bytes -= sum(map(len, self._partial_line))
        self._partial_line = []
        self._is_line_blank = True
        if not self._lines and not line.strip():
            return LineResult.HEARTBEAT
        document = self.add_line(line)
        return LineResult.INCOMPLETE if document is None else decode_endpoint_list(document)

    def _end_line_of_reader(self, reader: IncrementalListReader, data: bytes) -> EndpointList | LineResult:
        is_blank = self._is_line_blank and not data.strip()
        reader.feed(data + b"\n", line_ended=True)
        self._is_line_blank = True
        if reader.is_complete:
            self._reset()
            return reader.endpoint_list
        if is_blank:
            raise EndpointListError("endpoint list: empty line before the end of the list")
        return LineResult.INCOMPLETE

    def add_line(self, line: bytes) -> Any:
        """Returns the JSON document that a complete line ends, or None if more lines are needed.

        Raises:
            EndpointListError: The text is not valid JSON.
        """
        if not self._lines:
            try:
                return json.loads(line)
            except ValueError as error:
                if _bracket_balance(line) <= 0:
                    raise as_list_error(error) from None
        self._lines.append(line)
        self._buffered_bytes += len(line)
        self._open_brackets += _bracket_balance(line)
        if self._open_brackets > 0 and line.strip() and self._buffered_bytes <= MAX_UNREAD_BYTES:
            self._start_reader_if_long()
            return None
        text = b"\n".join(self._lines)
        self._reset()
        try:
            return json.loads(text)
        except ValueError as error:
            raise as_list_error(error) from None

    def _start_reader_if_long(self) -> None:
        """Passes a list that exceeds the threshold to an incremental reader."""
        if self._buffered_bytes <= INCREMENTAL_THRESHOLD_BYTES:
            return
        self._reader = IncrementalListReader(self._pack)
        lines = self._lines
        partial_line = self._partial_line
        self._lines = []
        self._partial_line = []
        for line in lines:
            self._reader.feed(line + b"\n")
        for part in partial_line:
            self._reader.feed(part)


def _bracket_balance(line: bytes) -> int:
    """Returns the number of opened minus closed brackets and braces of a line, outside strings."""
    without_strings = _STRING.sub(b"", line)  # a JSON string never spans lines
    opened = without_strings.count(b"{") + without_strings.count(b"[")
    closed = without_strings.count(b"}") + without_strings.count(b"]")
    return opened - closed
