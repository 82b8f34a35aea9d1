"""The directory of listed endpoints."""

from __future__ import annotations

import logging

import pytest

from quota_ingress.net.discovery.directory import EndpointDirectory
from quota_ingress.net.discovery.endpoint_codec import STATUS_BY_STATE
from tests.support.discovery import (
    endpoint_fields,
    endpoint_list,
)


def test_duplicate_names_and_removals_of_unlisted_endpoints_are_logged_and_change_nothing_else(
    caplog: pytest.LogCaptureFixture,
) -> None:
    directory = EndpointDirectory()
    with caplog.at_level(logging.INFO):
        directory.apply(
            endpoint_list(
                endpoint_fields(1),
                endpoint_fields(2),
                endpoint_fields(1, "draining"),
                endpoint_fields(3, "removed"),
            )
        )
        directory.apply(endpoint_list(endpoint_fields(9, "removed"), endpoint_fields(4), is_snapshot=False))
    assert {n: STATUS_BY_STATE[e.state] for n, e in directory.items()} == {
        endpoint_fields(1)["name"]: "draining",
        endpoint_fields(2)["name"]: "up",
        endpoint_fields(4)["name"]: "up",
    }
    assert directory.ready_count == 2 and len(caplog.records) == 2
    assert "same name" in caplog.text and endpoint_fields(9)["name"] in caplog.text
