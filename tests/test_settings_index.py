"""Names and load reports as they come on the sockets."""

from __future__ import annotations

import pytest

from quota_ingress.net.engine.settings_index import SettingsIndex
from tests.net_helpers import RAW, SETTINGS


@pytest.mark.parametrize(
    "text",
    [b"", b"queue=", b"other=1", b"queue=1e", b"queue=nan", b"queue=-1", b"queue=inf", b"queue=9e9"],
)
def test_a_load_report_that_says_nothing_is_none(text: bytes) -> None:
    assert SettingsIndex(SETTINGS, RAW).load(text) == ()
