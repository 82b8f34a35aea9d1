"""Lists of backends as discovery tells them: read as their text comes, and kept in little."""

from __future__ import annotations

import codecs
import copy
import json
import logging
import math
import re
from collections.abc import Callable, Generator, Iterable, Iterator
from contextlib import suppress
from enum import Enum, auto
from typing import Any, NamedTuple

MAX_PORT = 65535
LONG = 256 * 1024  # bytes of a document past which it is read entry by entry: whole, its text and values take
# ten times the memory that the list does
MAX_LINE = 8 * 1024 * 1024  # bytes of a document that are held unread
MAX_LIST = 64 * 1024 * 1024  # bytes of a document: some 400,000 backends
STATUSES = {"u": "up", "d": "draining", "r": "removed"}  # by their sign in a packed entry
UP, REMOVED = "u", "r"
STRING = re.compile(rb'"(?:[^"\\]|\\.)*"')
LONGEST_WORD = 16  # characters, and more: `-Infinity`, an escape in a string
SPACE = re.compile(r"[ \t\n\r]*")
COMMA = re.compile(r"[ \t\n\r]*,[ \t\n\r]*")
DECODER = json.JSONDecoder()

log = logging.getLogger(__name__)


class EndpointEntry:
    """A backend as discovery names it."""

    __slots__ = ("address", "group", "kind", "name", "started_us", "status", "weight", "zone")

    def __init__(self, raw: dict[str, Any]) -> None:
        self.name, self.status = str(raw["name"]), str(raw["status"])
        if self.status not in STATUSES.values():
            raise ValueError(f"status {self.status!r} is unknown")
        # A removed backend needs no more than its name.
        address = str(raw["address"] if self.status != "removed" else raw.get("address", ":0"))
        host, _, port = address.rpartition(":")
        self.address = (host, int(port))
        if not 0 <= self.address[1] <= MAX_PORT:
            raise ValueError(f"port {port} is none")
        self.zone, self.kind = str(raw.get("zone", "")), str(raw.get("type", ""))
        self.group, self.weight = int(raw.get("group", 0)), float(raw.get("weight", 1.0))
        self.started_us = round(float(raw.get("since_ms", 0)) * 1000)
        if not math.isfinite(self.weight):
            raise ValueError(f"weight {self.weight} is none")

    def replaced(self, status: str | None = None, since_us: int | None = None) -> EndpointEntry:
        """The same backend, in another state or started at another moment."""
        other = copy.copy(self)
        other.status = self.status if status is None else status
        other.started_us = self.started_us if since_us is None else since_us
        return other

    def packed(self) -> str:
        """All but the name in one string of some dozens of characters, its status first."""
        host, port = self.address
        numbers = f"{port} {self.group} {self.weight!r} {self.started_us:x} {len(host)} {len(self.zone)}"
        return f"{self.status[0]}{numbers} {host}{self.zone}{self.kind}"

    @classmethod
    def unpacked(cls, name: str, packed: str) -> EndpointEntry:
        port, group, weight, since, host, zone, words = packed[1:].split(" ", 6)
        entry, at, to = cls.__new__(cls), int(host), int(host) + int(zone)
        entry.name, entry.status = name, STATUSES[packed[0]]
        entry.address, entry.zone, entry.kind = (words[:at], int(port)), words[at:to], words[to:]
        entry.group, entry.weight, entry.started_us = int(group), float(weight), int(since, 16)
        return entry


class Packed(NamedTuple):
    """A sound entry that was packed where it was read."""

    name: str
    text: str


def pack(fields: dict[str, Any]) -> Any:
    """For `json.loads(..., object_hook=pack)`: what can be an entry of a list takes little as soon as it is
    read, not ten times that until all is; anything else stays as it is.
    """
    if "status" in fields and "address" in fields:
        with suppress(KeyError, ValueError, TypeError, AttributeError, OverflowError):
            return _packed(fields)
    return fields


def skip(fields: dict[str, Any]) -> Any:
    """The same where lists are not wanted."""
    return None if "status" in fields and "address" in fields else fields


class EndpointList:
    """The whole list, or what changed of it: packed entries by name."""

    __slots__ = ("index", "is_snapshot", "packed")

    def __init__(self, raw: Any) -> None:
        try:
            self.index, self.is_snapshot = int(raw["index"]), bool(raw["snapshot"])
            self._take(raw["endpoints"])
        except (KeyError, TypeError, AttributeError, OverflowError) as error:
            raise ValueError(f"list of backends: {error!r}") from None

    @property
    def entries(self) -> list[EndpointEntry]:
        return [EndpointEntry.unpacked(name, packed) for name, packed in self.packed.items()]

    def _take(self, entries: Iterable[Any]) -> None:
        """Of a name told twice, the last counts."""
        self.packed: dict[str, str] = {}
        twins = 0
        for told in entries:
            name, text = told if isinstance(told, Packed) else _packed(told)
            twins += name in self.packed
            self.packed[name] = text
        _tell_of_twins(twins)

    @classmethod
    def of(cls, index: int, whole: bool, entries: Iterable[EndpointEntry]) -> EndpointList:
        made = cls({"index": index, "snapshot": whole, "endpoints": []})
        made.packed = {entry.name: entry.packed() for entry in entries}
        return made


Held = Callable[
    [EndpointEntry], str
]  # packs an entry: to the string that is held already, if it has not changed


class Line(Enum):
    """What the end of a line means, where it completes no list."""

    BEAT = auto()  # an empty one, between lists
    MORE = auto()  # the list goes on


class Document:
    """Lists in lines: mostly one to each, but an indented one has many. ValueError for what can be none."""

    def __init__(self, held: Held | None = None) -> None:
        self._held = held or _packed_anew
        self._restart()

    def _restart(self) -> None:
        self._lines: list[bytes] = []  # whole ones of a list that goes on
        self._line: list[bytes] = []  # of the line that has not ended, unless there is a reader
        self._size = self._depth = 0
        self._reader: Reader | None = None
        self._blank = True  # the line that has not ended

    @property
    def begun(self) -> bool:
        return bool(self._lines or self._reader) or not self._blank

    def part(self, data: bytes) -> None:
        """Some of a line that goes on."""
        self._blank = self._blank and not data.strip()
        if self._reader:
            self._reader.feed(data)
        elif data:
            self._line.append(data)
            self._size += len(data)
            self._read_on()

    def end(self, data: bytes) -> EndpointList | Line:
        """The rest of a line, and its end."""
        if self._reader:
            blank = self._blank and not data.strip()
            self._reader.feed(data + b"\n", ended=True)
            self._blank = True
            if self._reader.done:
                listing = self._reader.listing
                self._restart()
                return listing
            if blank:
                raise ValueError("a list ends before its end")
            return Line.MORE
        line = b"".join([*self._line, data])
        self._size -= sum(map(len, self._line))
        self._line, self._blank = [], True
        if not self._lines and not line.strip():
            return Line.BEAT
        raw = self.add(line)
        return Line.MORE if raw is None else EndpointList(raw)

    def add(self, line: bytes) -> Any:
        """What the line completes, or None where more is to come."""
        if not self._lines:
            try:
                return json.loads(line)
            except ValueError:
                if self._deeper(line) <= 0:
                    raise
        self._lines.append(line)
        self._size += len(line)
        self._depth += self._deeper(line)
        if self._depth > 0 and line.strip() and self._size <= MAX_LINE:
            self._read_on()
            return None
        text = b"\n".join(self._lines)
        self._restart()
        return json.loads(text)

    def _read_on(self) -> None:
        """A list that has become long is read as it comes."""
        if self._size > LONG:
            self._reader, lines, line = Reader(self._held), self._lines, self._line
            self._lines, self._line = [], []
            for whole in lines:
                self._reader.feed(whole + b"\n")
            for part in line:
                self._reader.feed(part)

    @staticmethod
    def _deeper(line: bytes) -> int:
        bare = STRING.sub(b"", line)  # a string never goes over the end of a line
        return sum(map(bare.count, (b"{", b"["))) - sum(map(bare.count, (b"}", b"]")))


Reading = Generator[int, None, Any]  # yields how many further characters it needs


class Reader:
    """One list, read entry by entry as its text comes: of the text, only some that is unread is held."""

    def __init__(self, held: Held) -> None:
        self.done, self._held = False, held
        self.listing: EndpointList
        self._decoder = codecs.getincrementaldecoder("utf-8")("surrogatepass")
        self._text, self._at = "", 0
        self._new: list[str] = []
        self._waiting = self._total = 0  # characters in `_new`; bytes in all
        self._last = b" "  # byte that is no space
        self._reading = self._list()
        self._need = next(self._reading)

    def feed(self, data: bytes, ended: bool = False) -> None:
        """`ended`: a line has, and with it perhaps the list, though less came than an entry might have."""
        self._total += len(data)
        self._last = data.rstrip()[-1:] or self._last
        self._new.append(self._decoder.decode(data))
        self._waiting += len(self._new[-1])
        if self._waiting >= self._need or (ended and self._last in b"}]"):
            self._text = self._text[self._at :] + "".join(self._new)
            self._new, self._at, self._waiting = [], 0, 0
            try:
                self._need = next(self._reading)
            except (KeyError, TypeError, AttributeError, OverflowError) as error:
                raise ValueError(f"list of backends: {error!r}") from None
        if self._total > MAX_LIST or len(self._text) - self._at + self._waiting > MAX_LINE:
            raise ValueError("too long")

    def _list(self) -> Reading:
        fields: dict[str, Any] = {}
        packed: dict[str, str] | None = None
        yield from self._sign("{")
        while True:
            name = str((yield from self._value()))
            yield from self._sign(":")
            if name == "endpoints" and (yield from self._next()) == "[":
                fields[name], packed = (), (yield from self._entries())
            else:
                fields[name] = yield from self._value()
            if (yield from self._sign(",", "}")) == "}":
                break
        self.listing = EndpointList(fields)
        if fields["endpoints"] == () and packed is not None:
            self.listing.packed = packed
        self.done = True
        yield from self._sign()

    def _entries(self) -> Reading:
        packed: dict[str, str] = {}
        twins = 0

        def take(raw: Any) -> None:
            nonlocal twins
            entry = EndpointEntry(raw)
            twins += entry.name in packed
            packed[entry.name] = self._held(entry)

        yield from self._sign("[")
        more = (yield from self._next()) != "]"
        while more:
            yield from self._next()
            for raw in self._whole():
                take(raw)
            take((yield from self._value()))
            more = (yield from self._sign(",", "]")) == ","
        if not packed:
            yield from self._sign("]")
        _tell_of_twins(twins)
        return packed

    def _whole(self) -> Iterator[Any]:
        """The values that are here whole, with the comma behind and some of the next, at less cost each."""
        text = self._text
        with suppress(json.JSONDecodeError):
            while True:
                value, end = DECODER.raw_decode(text, self._at)
                if (comma := COMMA.match(text, end)) is None or comma.end() == len(text):
                    break
                self._at = comma.end()
                yield value

    def _value(self) -> Reading:
        yield from self._next()
        while True:
            try:
                value, end = DECODER.raw_decode(self._text, self._at)
                if end < len(self._text) or isinstance(value, dict | list | str):  # a number could go on
                    self._at = end
                    return value
            except json.JSONDecodeError as error:  # cut off, unless there is text behind it
                if error.pos + LONGEST_WORD < len(self._text) and "Unterminated" not in error.msg:
                    raise
            yield len(self._text) - self._at  # looked at in twice the length: a few times in all

    def _next(self) -> Reading:
        """The first character that is no space."""
        while True:
            self._at = SPACE.match(self._text, self._at).end()  # type: ignore[union-attr]
            if self._at < len(self._text):
                return self._text[self._at]
            yield 1

    def _sign(self, *wanted: str) -> Reading:
        found = yield from self._next()
        if found not in wanted:
            raise ValueError(f"{found!r} in a list instead of {' or '.join(wanted) or 'its end'}")
        self._at += 1
        return found


def _packed(fields: dict[str, Any]) -> Packed:
    entry = EndpointEntry(fields)
    return Packed(entry.name, entry.packed())


def _packed_anew(entry: EndpointEntry) -> str:
    return entry.packed()


def _tell_of_twins(count: int) -> None:
    if count:
        log.warning("discovery: %d entries of a list replace an earlier one of the same name", count)
