"""Long endpoint lists, decoded entry by entry as their text arrives."""

from __future__ import annotations

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import settings as examples
from hypothesis import strategies as st

from quota_ingress.net.discovery import incremental_reader, list_parser
from quota_ingress.net.discovery.endpoint_codec import EndpointListError, decode_endpoint_list
from quota_ingress.net.discovery.endpoint_list import EndpointList
from quota_ingress.net.discovery.list_parser import EndpointListParser, LineResult
from tests.support.discovery import (
    endpoint_fields,
)

TEXT = st.text(max_size=8)


def parse_in_parts(data: bytes, part_size: int) -> EndpointList:
    """Parses a list whose text arrives in parts of `part_size` bytes."""
    parser = EndpointListParser()
    *lines, rest = data.split(b"\n")
    for line in [*lines, rest]:
        parts = [line[start : start + part_size] for start in range(0, len(line), part_size)]
        for part in parts:
            parser.feed(part)
        if isinstance(result := parser.end_line(b""), EndpointList):
            return result
        assert result is LineResult.INCOMPLETE
    raise AssertionError("the parser found no end of the list")


@examples(max_examples=40, deadline=None)
@given(
    st.lists(
        st.builds(
            lambda n, t, w: {"name": n, "status": "up", "address": f"{t}:7", "weight": w, "t": t},
            TEXT,
            TEXT,
            st.floats(0, 9),
        ),
        max_size=6,
    ),
    st.sampled_from([None, 1]),
    st.booleans(),
    st.integers(1, 40),
    st.booleans(),
    st.integers(0, 99),
)
def test_a_long_list_is_decoded_like_a_short_one_however_it_is_split(
    endpoints: list[dict[str, Any]],
    indent: int | None,
    is_ascii: bool,
    part_size: int,
    entries_first: bool,
    threshold: int,
) -> None:
    fields = {"index": 12, "snapshot": True, "more": {"endpoints": [1, "}"]}}
    document = {"endpoints": endpoints} | fields if entries_first else fields | {"endpoints": endpoints}
    data = json.dumps(document, indent=indent, ensure_ascii=is_ascii).encode()
    with pytest.MonkeyPatch.context() as monkeypatch:
        monkeypatch.setattr(list_parser, "INCREMENTAL_THRESHOLD_BYTES", threshold)
        parsed = parse_in_parts(data, part_size)
    assert (parsed.version, parsed.is_snapshot, parsed.packed) == (
        12,
        True,
        decode_endpoint_list(json.loads(data)).packed,
    )


@pytest.mark.parametrize(
    ("position", "inserted"),
    [(0.5, b"}"), (0.5, b"["), (0.5, b"\xff"), (0.5, b",[],"), (0.9, b'"'), (0.5, b"\n\n"), (1, b",")],
)
def test_a_malformed_long_list_is_rejected(position: float, inserted: bytes) -> None:
    data = json.dumps(
        {"index": 1, "snapshot": True, "endpoints": [endpoint_fields(n) for n in range(4000)]}
    ).encode()
    index = int(position * len(data))
    with pytest.raises(EndpointListError):
        parse_in_parts(data[:index] + inserted + data[index:], 65536)


def test_little_of_a_long_list_is_buffered(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(incremental_reader, "MAX_UNREAD_CHARACTERS", 1_000_000)
    parser = EndpointListParser()
    index = 0
    parser.feed(b'{"index":1,"snapshot":true,"endpoints":[')
    while index < 20_000:  # 3 MB in all
        parser.feed(
            b",".join(json.dumps(endpoint_fields(n)).encode() for n in range(index, index + 100)) + b","
        )
        index += 100
    parser.feed(json.dumps(endpoint_fields(index)).encode() + b"]")
    parsed = parser.end_line(b"}")
    assert isinstance(parsed, EndpointList) and len(parsed.packed) == 20_001
    with pytest.raises(EndpointListError):
        feed_value_without_end(parser)


def feed_value_without_end(parser: EndpointListParser) -> None:
    parser.feed(b'{"index":"' + b"x" * 300_000)
    for _ in range(20):
        parser.feed(b"x" * 100_000)
