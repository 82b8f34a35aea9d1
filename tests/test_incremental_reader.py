"""Long endpoint lists, read entry by entry as their text arrives."""

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


def read(data: bytes, cut: int) -> EndpointList:
    """A list whose text comes in parts of `cut` bytes, and is long from its first byte on."""
    parser = EndpointListParser()
    *lines, rest = data.split(b"\n")
    for line in [*lines, rest]:
        parts = [line[at : at + cut] for at in range(0, len(line), cut)]
        for part in parts:
            parser.feed(part)
        if isinstance(found := parser.end_line(b""), EndpointList):
            return found
        assert found is LineResult.INCOMPLETE
    raise AssertionError("no end")


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
def test_a_long_list_is_decoded_like_a_short_one_however_it_is_cut(
    endpoints: list[dict[str, Any]], indent: int | None, is_ascii: bool, cut: int, first: bool, long: int
) -> None:
    fields = {"index": 12, "snapshot": True, "more": {"endpoints": [1, "}"]}}
    raw = {"endpoints": endpoints} | fields if first else fields | {"endpoints": endpoints}
    data = json.dumps(raw, indent=indent, ensure_ascii=is_ascii).encode()
    with pytest.MonkeyPatch.context() as always:
        always.setattr(list_parser, "INCREMENTAL_THRESHOLD_BYTES", long)
        found = read(data, cut)
    assert (found.version, found.is_snapshot, found.packed) == (
        12,
        True,
        decode_endpoint_list(json.loads(data)).packed,
    )


@pytest.mark.parametrize(
    ("at", "bad"),
    [(0.5, b"}"), (0.5, b"["), (0.5, b"\xff"), (0.5, b",[],"), (0.9, b'"'), (0.5, b"\n\n"), (1, b",")],
)
def test_a_malformed_long_list_is_rejected(at: float, bad: bytes) -> None:
    data = json.dumps(
        {"index": 1, "snapshot": True, "endpoints": [endpoint_fields(n) for n in range(4000)]}
    ).encode()
    cut = int(at * len(data))
    with pytest.raises(EndpointListError):
        read(data[:cut] + bad + data[cut:], 65536)


def test_little_of_a_long_list_is_buffered(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(incremental_reader, "MAX_UNREAD_BYTES", 1_000_000)
    parser = EndpointListParser()
    index = 0
    parser.feed(b'{"index":1,"snapshot":true,"endpoints":[')
    while index < 20_000:  # 3 MB in all
        parser.feed(
            b",".join(json.dumps(endpoint_fields(n)).encode() for n in range(index, index + 100)) + b","
        )
        index += 100
    parser.feed(json.dumps(endpoint_fields(index)).encode() + b"]")
    found = parser.end_line(b"}")
    assert isinstance(found, EndpointList) and len(found.packed) == 20_001
    with pytest.raises(EndpointListError):
        feed_value_without_end(parser)


def feed_value_without_end(parser: EndpointListParser) -> None:
    parser.feed(b'{"index":"' + b"x" * 300_000)
    for _ in range(20):
        parser.feed(b"x" * 100_000)
