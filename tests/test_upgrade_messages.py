"""Messages of an upgrade: those of the previous version (`tests/data/upgrade`), and invalid ones."""

from __future__ import annotations

import json
import math
from pathlib import Path
from typing import Any

import pytest

from quota_ingress.net.discovery.endpoint_codec import STATUS_BY_STATE
from quota_ingress.net.discovery.operator_overrides import OverridesSnapshot
from quota_ingress.net.discovery.packed_entry import unpack_entry
from quota_ingress.net.engine import snapshot_codec
from quota_ingress.net.lifecycle.upgrade_messages import (
    Answer,
    Ask,
    DrainCall,
    EndpointCall,
    EndpointListChange,
    EndpointListChangeError,
    ListPart,
    Message,
    MessageError,
    Question,
    RequestIds,
    ServingState,
    decode,
    decode_state,
    encode,
    encode_state,
)
from tests.net_helpers import HOST, overrides_of_own_directory

RECORDED = Path(__file__).parent / "data" / "upgrade"
FILES = sorted(path.name for path in RECORDED.iterdir())


def lines(name: str) -> list[bytes]:
    return (RECORDED / name).read_bytes().splitlines(keepends=True)


def messages(name: str) -> list[Message]:
    decoded = [decode(line) for line in lines(name)]
    assert None not in decoded
    return [message for message in decoded if message is not None]


@pytest.mark.parametrize("name", FILES)
def test_messages_of_the_previous_version_are_decoded_and_encoded_byte_for_byte(name: str) -> None:
    assert len(FILES) == 5
    assert [encode(message) for message in messages(name)] == lines(name)


def test_the_questions_of_the_previous_version() -> None:
    assert messages("questions.jsonl") == [Ask(Question.HELLO), Ask(Question.TAKE_OVER)]


def test_the_operators_state_of_the_previous_version_is_restored_and_encoded_again() -> None:
    """The state has two bans, one endpoint put back online and a removed name; a ListPart has the list."""
    part, answer = messages("hello.jsonl")
    assert isinstance(part, ListPart) and isinstance(answer, Answer)
    state = decode_state(answer.content)
    assert state.overrides.offline == ("s é", "s-0") and state.overrides.removed_names == ("s-3",)
    assert list(state.overrides.back_online_at) == ["s-1"] and state.overrides.list_version == 5
    assert not state.is_draining and state.clock_base_us == answer.content["clock"]
    assert json.dumps(encode_state(state)) == json.dumps(answer.content)  # with the keys in the same order

    overrides = overrides_of_own_directory(lambda: 0)
    overrides.restore_entries(part.entries)
    overrides.apply_list(overrides.restore(state.overrides))
    assert {name: STATUS_BY_STATE[entry.state] for name, entry in overrides.entries.items()} == {
        "s-0": "draining",
        "s-1": "up",
        "s-2": "up",
        "s é": "draining",
    }
    restarted = state.overrides.back_online_at["s-1"]
    assert overrides.entries["s-1"].started_us == restarted == overrides.back_online_at("s-1")
    assert overrides.snapshot() == state.overrides
    (batch,) = overrides.entry_batches()
    assert encode(ListPart(batch)) == lines("hello.jsonl")[0]  # as discovery sent it, without the overrides


def test_the_operators_calls_of_the_previous_version() -> None:
    assert messages("notes.jsonl") == [
        EndpointCall("s-2", is_offline=True),
        EndpointCall("s-2", is_offline=False),
        DrainCall(is_draining=True),
        DrainCall(is_draining=False),
    ]


def test_the_list_changes_of_the_previous_version() -> None:
    delta, snapshot = messages("listed.jsonl")
    assert isinstance(delta, EndpointListChange) and isinstance(snapshot, EndpointListChange)
    assert (delta.after, delta.endpoints.version, delta.endpoints.is_snapshot) == (
        5,
        6,
        False,
    )
    assert {entry.name: STATUS_BY_STATE[entry.state] for entry in delta.endpoints.entries} == {
        "s-2": "draining",
        "s-0": "removed",
    }
    assert (
        snapshot.after,
        snapshot.endpoints.version,
        snapshot.endpoints.is_snapshot,
    ) == (6, 7, True)
    assert list(snapshot.endpoints.packed) == ["s-0", "s-1"]
    assert delta.discovery[0] == HOST and delta.discovery == snapshot.discovery


def test_the_policy_snapshot_of_the_previous_version_is_decoded_and_encoded_again() -> None:
    (answer,) = messages("take.jsonl")
    assert isinstance(answer, Answer)
    numbers = {endpoint["id"]: number for number, endpoint in enumerate(answer.content["backends"])}
    snapshot = snapshot_codec.decode(answer.content, numbers)
    assert [customer.customer for customer in snapshot.customers] == [7, 8, 9]
    assert any(customer.leased_units > 0 for customer in snapshot.customers)
    assert all(math.isfinite(customer.demand_rate) for customer in snapshot.customers)
    assert len(snapshot.endpoints) == len(numbers) > 0 and snapshot.baseline_latencies[0] > 0
    names = {number: name for name, number in numbers.items()}
    assert json.dumps(snapshot_codec.encode(snapshot, names)) == json.dumps(answer.content)


def test_request_ids_are_encoded_and_decoded() -> None:
    message = RequestIds((b"9b1f03aa5c7e2d41", b"a.b~c"))
    assert decode(encode(message)) == message


def test_a_message_of_unknown_kind_is_ignored() -> None:
    assert decode(b'{"version": 1, "weather": "fair"}\n') is None


@pytest.mark.parametrize(
    "document",
    [
        {"version": 2, "ask": "hello"},
        {"ask": "hello"},
        [],
        {"version": 1, "ask": "sing"},
        {"version": 1, "ask": ["hello"]},
        {"version": 1, "answer": 7},
        {"version": 1, "part": ["a"]},
        {"version": 1, "part": {"a": ""}},
        {"version": 1, "part": {"a": "u1"}},
        {"version": 1, "note": {"backend": "a"}},
        {"version": 1, "note": 7},
        {"version": 1, "ids": [7]},
    ],
)
def test_an_invalid_message_raises_an_error(document: Any) -> None:
    with pytest.raises(MessageError):
        decode(json.dumps(document).encode())


@pytest.mark.parametrize(
    "change",
    [
        7,
        {},
        {"discovery": [HOST, 1], "index": "?", "after": 1, "whole": False, "packed": {}},
        {"discovery": [HOST, 1], "index": 2, "after": "?", "whole": False, "packed": {}},
        {"discovery": [HOST, 1], "index": 2, "after": 1, "whole": False, "packed": {"a": "x"}},
        {"discovery": [HOST], "index": 2, "after": 1, "whole": False, "packed": {}},
    ],
)
def test_an_invalid_list_change_raises_its_own_error(change: Any) -> None:
    """The channel stays open: only the change is lost, and later messages are still handled."""
    with pytest.raises(EndpointListChangeError):
        decode(json.dumps({"version": 1, "listed": change}).encode())


def test_a_state_without_a_clock_or_with_a_whole_list_is_accepted_from_an_older_version() -> None:
    listing = {"index": 3, "snapshot": True, "endpoints": [{"name": "a", "address": ":1", "status": "up"}]}
    state = decode_state({"listing": listing, "out": ["a"], "back": {}, "gone": [], "drained": True})
    assert state.endpoints and [entry.name for entry in state.endpoints.entries] == ["a"]
    assert state._replace(endpoints=None) == ServingState(OverridesSnapshot(3, 1, ("a",), {}, ()), True, None)
    assert unpack_entry("a", state.endpoints.packed["a"]).address == ("", 1)


@pytest.mark.parametrize("missing", ["listed", "out", "back", "gone", "drained"])
def test_a_state_that_lacks_a_key_raises_an_error(missing: str) -> None:
    (_, answer) = messages("hello.jsonl")
    assert isinstance(answer, Answer)
    del answer.content[missing]
    with pytest.raises(MessageError):
        decode_state(answer.content)
