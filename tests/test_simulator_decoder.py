"""The decoding of a batch's records, and frames that do not conform to the wire format."""

from __future__ import annotations

import struct

import pytest

from quota_ingress.policy.endpoint_list import EndpointsListed, EndpointState, ListedEndpoint, ListKind
from quota_ingress.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterAnswered,
    Outcome,
    PeerMessage,
    ProbeAnswered,
    RequestArrived,
    StreamStarted,
    TimerFired,
)
from quota_ingress.settings_codec import settings_from_json
from quota_ingress.simulator.decoder import BatchDecoder, InstanceCreated, InstanceStopped, Message
from quota_ingress.simulator.wire import WireError
from tests.support.simulator_frames import CONFIG_TEXT, CONTEXT, ENDPOINT, ENDPOINT_ID, ENTRY, batch, record


def decode_one(*records: bytes, tail: bytes = b"") -> Message:
    """Decodes a batch with one message, for instance 5."""
    ((instance, message),) = BatchDecoder().decode(batch(*records, tail=tail)).messages
    assert instance == 5
    return message


def test_every_event_record_is_decoded() -> None:
    arrived = record(5, "IHHfffIQH", 8, 1, 6, 2.0, 3.0, 4.0, 900, 1 << 32, 2)
    assert decode_one(CONTEXT, arrived) == RequestArrived(8, 2, 1, 1 << 32, 2.0, 900, 3, 4, True)
    ended = record(11, "IH6sHIBHHB4f", 8, 1, ENDPOINT, 408, 70, 1, 0, 3, 2, 0.5, 4.0, 9.0, 9.0)
    assert decode_one(CONTEXT, ended) == AttemptEnded(
        8, 1, ENDPOINT_ID, Outcome.TIMEOUT, 70, True, (0.5, 4.0), 3.0
    )
    assert decode_one(CONTEXT, record(6, "Q", 2**63)) == TimerFired(2**63)
    assert decode_one(CONTEXT, record(1, "QHfI", 9, 200, 2.5, 80)) == CounterAnswered(9, Outcome.OK, 2.5, 80)
    assert decode_one(CONTEXT, record(12, "I", 4)) == ClientDisconnected(4)
    assert decode_one(CONTEXT, record(3)) == InstanceStopped()
    started = record(9, "IH6sI", 4, 1, ENDPOINT, 60)
    assert decode_one(CONTEXT, started) == StreamStarted(4, 1, ENDPOINT_ID, 60)
    probed = record(10, "6sHIB4f", ENDPOINT, 521, 60, 1, 3.0, 0, 0, 0)
    assert decode_one(CONTEXT, probed) == ProbeAnswered(ENDPOINT_ID, Outcome.CONNECT_FAILED, 60, (3.0,))
    assert decode_one(CONTEXT, record(2, "HII", 1, 2, 3), tail=b"..abc") == PeerMessage(1, b"abc")
    created = record(4, "QII", 2**64 - 1, 0, len(CONFIG_TEXT))
    settings = settings_from_json(CONFIG_TEXT)
    assert decode_one(CONTEXT, created, tail=CONFIG_TEXT) == InstanceCreated(settings, 2**64 - 1)
    page = record(8, "BII", 3, 0, 1)
    entry = ListedEndpoint(ENDPOINT_ID, EndpointState.READY, 1, 4, 6, 1.5, 77)
    listing = decode_one(page, CONTEXT, record(13, "BQB", 4, 17, 3), tail=ENTRY)
    assert listing == EndpointsListed(ListKind.CACHED, 17, (entry,))


def test_pages_are_resolved_in_order_and_remain_valid_in_later_batches() -> None:
    other_endpoint = b"\x01\x02\x03\x04\x05\x06"
    other_entry = ENTRY[:16] + other_endpoint + ENTRY[22:]
    pages = [record(8, "BII", 0, offset, 1) for offset in (0, 24)]
    list_page_0 = record(13, "BQB", 3, 1, 0)
    decoder = BatchDecoder()
    messages = decoder.decode(
        batch(pages[0], CONTEXT, list_page_0, pages[1], list_page_0, tail=ENTRY + other_entry)
    ).messages
    ids = [message.endpoints[0].id for _, message in messages if isinstance(message, EndpointsListed)]
    assert ids == [ENDPOINT_ID, int.from_bytes(other_endpoint, "little")]
    (later_message,) = decoder.decode(batch(CONTEXT, list_page_0)).messages
    assert later_message[1] == messages[1][1]


@pytest.mark.parametrize(
    ("body", "named_part"),
    [
        (b"short", "batch header"),
        (batch()[:8] + struct.pack("<II", 9, 0), "9 records"),
        (batch(record(99)), "record code 99"),
        (batch(record(12, "I", 4)), "no Context"),
        (batch(CONTEXT, record(11, "IH6sHI", 8, 1, ENDPOINT, 777, 70)), "Verdict.code"),
        (batch(CONTEXT, record(13, "BQB", 9, 1, 0)), "DirectoryUpdate.scope"),
        (batch(CONTEXT, record(13, "BQB", 3, 1, 8)), "DirectoryUpdate.bank"),
        (batch(CONTEXT, record(2, "HII", 1, 0, 5), tail=b"abc"), "NeighbourSays.body"),
        (batch(CONTEXT, record(11, "IH6sHIBHHB", 8, 1, ENDPOINT, 200, 70, 1, 0, 0, 9)), "report"),
        (batch(CONTEXT, record(4, "QII", 1, 0, 2), tail=b"{}"), "config"),
        (batch(record(8, "BII", 0, 0, 1), tail=b"\7" + ENTRY[1:]), "Page.mode"),
    ],
)
def test_errors_about_malformed_frames_name_the_malformed_part(body: bytes, named_part: str) -> None:
    with pytest.raises(WireError, match=named_part):
        BatchDecoder().decode(body)
