"""Hand-written frames of the simulator protocol, with the layouts and codes of its specification."""

from __future__ import annotations

import json
import struct
from typing import Any

CONFIG = {
    "ceilings": {"cancel": True, "max_attempts": 2, "max_retry_after": 400000, "retry_after": True},
    "contracts": [{"name": "p", "quota_rate": 5.0, "burst": 10.0, "price": 1.0, "brand_new_key": 1}],
    "domain": {"may_count": False, "count_wait": 20000},
    "fleet_size": 1,
    "me": 0,
    "membership_mode": "push",
    "my_zone": 0,
    "period": 1000,
    "safety": {
        "answer_slack": 5000,
        "cold_share": 0.5,
        "drain_grace": 100000,
        "fall": 1000000,
        "ramp_time": 5000000,
        "tip_multiple": 3.0,
    },
    "services": [{"deadline": 900000, "name": "s", "on_time": 500000, "semantics": "retryable"}],
    "telemetry": {"fields": ["pending"]},
    "unheard_of": [1, 2],  # an unknown key like "brand_new_key"; both are to be ignored
}
CONFIG_TEXT = json.dumps(CONFIG).encode()
ENDPOINT = b"\x0a\x00\x00\x07\x90\x1f"
ENDPOINT_ID = int.from_bytes(ENDPOINT, "little")
ENTRY = struct.pack("<BHBQf6sH", 2, 4, 1, 77, 1.5, ENDPOINT, 6)


def record(code: int, layout: str = "", *fields: Any) -> bytes:
    """Encodes an event record: its code, the fields, and zero padding up to 48 bytes."""
    return struct.pack("<H" + layout, code, *fields).ljust(48, b"\0")


def batch(*records: bytes, tail: bytes = b"", now: int = 500, number: int = 3) -> bytes:
    """Encodes a batch without its length prefix; `tail` is the data after the records that they refer to."""
    return struct.pack("<QII", now, len(records), number) + b"".join(records) + tail


def framed(body: bytes) -> bytes:
    """Prepends the length prefix to `body`."""
    return struct.pack("<I", len(body)) + body


CONTEXT = record(7, "I", 5)  # the records that follow are for instance 5
