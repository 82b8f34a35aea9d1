"""The encoding of a reply's records."""

from __future__ import annotations

import struct

from quota_ingress.policy.actions import (
    Action,
    AddToCounter,
    CancelAttempt,
    CloseIdleConnections,
    Fail,
    FetchEndpointList,
    Log,
    Probe,
    Reject,
    SendAttempt,
    SendToPeer,
    SetTimer,
    SubscribeToEndpoints,
)
from quota_ingress.simulator.encoder import encode_reply
from tests.support.simulator_frames import ENDPOINT, ENDPOINT_ID, framed


def test_every_action_record_is_encoded() -> None:
    actions: list[Action] = [
        SendAttempt(8, ENDPOINT_ID, 90),
        Reject(8, 5),
        Fail(9),
        CancelAttempt(8, 1),
        SetTimer(7, 600),
        Probe(ENDPOINT_ID),
        CloseIdleConnections(ENDPOINT_ID),
        SendToPeer(None, b"hey"),
        Log("note"),
        SubscribeToEndpoints(True),
        FetchEndpointList(),
        AddToCounter(6, -1.5, 40),
    ]
    reply = encode_reply(3, [(5, actions), (6, [])])
    records = [
        struct.pack("<HI", 14, 5),
        struct.pack("<HI6sI", 1, 8, ENDPOINT, 90),
        struct.pack("<HII", 2, 8, 5),
        struct.pack("<HI", 3, 9),
        struct.pack("<HIH", 4, 8, 1),
        struct.pack("<HQQ", 5, 7, 600),
        struct.pack("<H6s", 6, ENDPOINT),
        struct.pack("<H6s", 7, ENDPOINT),
        struct.pack("<HIII", 8, 0xFFFFFFFF, 0, 3),
        struct.pack("<HII", 9, 3, 4),
        struct.pack("<HB", 11, 1),
        struct.pack("<H", 12),
        struct.pack("<HIQf", 13, 40, 6, -1.5),
    ]
    padded = b"".join(record.ljust(24, b"\0") for record in records)
    assert reply == framed(struct.pack("<II", 13, 3) + padded + b"heynote")
