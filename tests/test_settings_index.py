"""Parsing of load reports."""

from __future__ import annotations

import pytest

from quota_ingress.net.engine.settings_index import SettingsIndex
from tests.net_helpers import RAW, SETTINGS


@pytest.mark.parametrize(
    "text",
    [b"", b"queue=", b"other=1", b"queue=1e", b"queue=nan", b"queue=-1", b"queue=inf", b"queue=9e9"],
)
def test_a_load_report_without_a_valid_value_of_every_field_is_empty(text: bytes) -> None:
    assert SettingsIndex(SETTINGS, RAW).load(text) == ()
