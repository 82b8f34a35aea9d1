"""The compact form of an endpoint's entry."""

from __future__ import annotations

from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from quota_ingress.net.discovery.endpoint_codec import decode_endpoint
from quota_ingress.net.discovery.packed_entry import pack_entry, unpack_entry

TEXT = st.text(max_size=8)


@given(
    st.builds(
        lambda n, s, h, z, k, g, w, t: {
            "name": n,
            "status": s,
            "address": f"{h}:80",
            "zone": z,
            "type": k,
            "group": g,
            "weight": w,
            "since_ms": t,
        },
        TEXT,
        st.sampled_from(["up", "draining", "removed"]),
        TEXT,
        TEXT,
        TEXT,
        st.integers(),
        st.floats(allow_nan=False, allow_infinity=False),
        st.integers(-10, 2**48),
    ),
)
def test_an_entry_survives_packing_unchanged(fields: dict[str, Any]) -> None:
    entry = decode_endpoint(fields)
    unpacked = unpack_entry(entry.name, pack_entry(entry))
    assert unpacked == entry
