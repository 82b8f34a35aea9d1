"""Endpoint lists that are split into lines."""

from __future__ import annotations

import pytest

from quota_ingress.net.discovery import list_parser
from quota_ingress.net.discovery.endpoint_codec import EndpointListError
from quota_ingress.net.discovery.list_parser import EndpointListParser


def test_a_list_without_end_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(list_parser, "MAX_UNREAD_BYTES", 1000)
    parser = EndpointListParser()
    assert parser.add_line(b"[") is None
    with pytest.raises(EndpointListError):
        add_line_without_end(parser)
    assert not parser.has_partial_list


def add_line_without_end(parser: EndpointListParser) -> None:
    for _ in range(1000):
        parser.add_line(b"1,")
