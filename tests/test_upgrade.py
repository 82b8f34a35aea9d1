"""UpgradeCoordinator over a real Unix socket, between simulated processes."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path

import pytest

from quota_ingress.net.discovery.endpoint_codec import decode_endpoint_list
from quota_ingress.net.discovery.operator_overrides import OverridesSnapshot
from quota_ingress.net.lifecycle.upgrade import SOCKET_NAME, UpgradeCoordinator
from quota_ingress.net.lifecycle.upgrade_messages import (
    DrainCall,
    EndpointCall,
    OperatorCall,
    ServingState,
    encode,
)
from tests.net_helpers import overrides_of_own_directory
from tests.support.upgrade import STATE, RecordingParticipant, list_change


def coordinator(directory: Path, participant: RecordingParticipant | None = None) -> UpgradeCoordinator:
    return UpgradeCoordinator(participant or RecordingParticipant(), str(directory))


async def test_a_new_process_gets_the_state_takes_over_and_both_apply_forwarded_calls(tmp_path: Path) -> None:
    old, new = RecordingParticipant(), RecordingParticipant()
    serving = coordinator(tmp_path, old)
    starting = coordinator(tmp_path, new)
    serving.listen_for_successor()
    assert await starting.find_predecessor() and (old.handovers, old.descriptor_sharing) == (0, [True])
    assert new.states == [STATE] and new.list_parts_restored == old.list_parts()
    assert await starting.take_over() == {"accounts": []} and old.handovers == 1
    starting.send_operator_call(EndpointCall("a", is_offline=True))
    await old.wait_until(lambda: old.operator_calls == [EndpointCall("a", is_offline=True)])
    serving.send_operator_call(DrainCall(is_draining=True))
    await new.wait_until(lambda: new.operator_calls == [DrainCall(is_draining=True)])
    starting.send_list_change(list_change(7))  # each process forwards list changes from its discovery
    await old.wait_until(lambda: [c.endpoints.version for c in old.changes] == [7])
    serving.send_list_change(list_change(8))
    await new.wait_until(lambda: [c.endpoints.version for c in new.changes] == [8])
    assert encode(new.changes[0]) == encode(list_change(8))
    assert encode(old.changes[0]) == encode(list_change(7))
    starting.listen_for_successor()  # for the next process, under the same name
    third_process = RecordingParticipant()
    third = coordinator(tmp_path, third_process)
    serving.stop()
    assert await third.find_predecessor() and third_process.states == [STATE] and old.handovers == 1
    third.stop()
    starting.stop()


async def test_both_processes_forward_the_ids_of_their_requests_from_the_handover_on(tmp_path: Path) -> None:
    """Guards against an id that both processes accept, as its client came again after it had left."""
    old, new = RecordingParticipant(), RecordingParticipant()
    serving, starting = coordinator(tmp_path, old), coordinator(tmp_path, new)
    serving.listen_for_successor()
    assert await starting.find_predecessor()
    for each in (serving, starting):
        each.send_request_id(b"before")  # the handover covers it
    await starting.take_over()
    assert new.request_ids == [b"old"]
    for request_id in (b"a", b"b"):
        serving.send_request_id(request_id)
        starting.send_request_id(request_id * 2)
    await new.wait_until(lambda: new.request_ids == [b"old", b"a", b"b"])
    await old.wait_until(lambda: old.request_ids == [b"aa", b"bb"])
    starting.stop()
    await old.wait_until(lambda: old.successors_lost == 1)
    serving.send_request_id(b"c")  # to nobody
    serving.stop()


async def test_a_process_is_notified_when_its_successor_dies(tmp_path: Path) -> None:
    old = RecordingParticipant()
    serving = coordinator(tmp_path, old)
    starting = coordinator(tmp_path)
    serving.listen_for_successor()
    await starting.find_predecessor()
    await starting.take_over()
    starting.stop()
    await old.wait_until(lambda: old.successors_lost == 1)
    assert old.descriptor_sharing == [True, False]
    third = coordinator(tmp_path)  # another process may take over
    assert await third.find_predecessor() and await third.take_over() is not None and old.handovers == 2
    third.stop()
    serving.stop()


async def test_a_process_that_serves_again_is_found_by_the_next_one(tmp_path: Path) -> None:
    """The dead successor had bound the shared name, and its stale socket file must be replaced."""
    old = RecordingParticipant()
    serving = coordinator(tmp_path, old)
    starting = coordinator(tmp_path)
    serving.listen_for_successor()
    await starting.find_predecessor()
    await starting.take_over()
    starting.listen_for_successor()
    starting.stop()
    await old.wait_until(lambda: old.successors_lost == 1)
    async with asyncio.timeout(5):
        while (third := coordinator(tmp_path)) and not await third.find_predecessor():
            await asyncio.sleep(0.01)
    assert await third.take_over() is not None and old.handovers == 2
    third.stop()
    serving.stop()


async def test_an_operators_call_received_with_the_state_is_applied_after_it(tmp_path: Path) -> None:
    """If a call in the same read as the state is applied before it, restoring the state undoes the call."""
    listing = {"index": 1, "snapshot": True, "endpoints": [{"name": "a", "address": ":1", "status": "up"}]}
    state = {"listing": listing, "out": [], "back": {}, "gone": [], "drained": False}
    lines = {"answer": state}, {"note": {"backend": "a", "out": True}}, {"note": {"drain": True}}
    new = RecordingParticipant()
    overrides = overrides_of_own_directory(lambda: 7_000_000)

    def apply_call(call: OperatorCall) -> None:
        if isinstance(call, EndpointCall):
            overrides.apply_operator_call("a", True)

    new.apply_operator_call = apply_call  # type: ignore[method-assign]
    restored: list[ServingState] = []

    def restore(state: ServingState) -> None:
        restored.append(state)
        overrides.restore(state.overrides, state.endpoints)

    new.restore_state = restore  # type: ignore[method-assign]

    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        writer.write(b"".join(json.dumps({"version": 1} | line).encode() + b"\n" for line in lines))

    server = await asyncio.start_unix_server(answer, tmp_path / SOCKET_NAME)
    starting = coordinator(tmp_path, new)
    assert await starting.find_predecessor()
    (restored_state,) = restored
    assert (
        restored_state.endpoints and restored_state.endpoints.packed == decode_endpoint_list(listing).packed
    )
    assert restored_state.overrides == OverridesSnapshot(1, 1, (), {}, ()) and not restored_state.is_draining
    assert overrides.offline == {"a"}
    starting.stop()
    server.close()


@pytest.mark.parametrize(
    "reply", [b"no json\n", b"[]\n", b'{"version":2,"answer":{}}\n', b'{"version":1,"answer":7}\n', b""]
)
async def test_a_malformed_answer_does_not_prevent_a_start(tmp_path: Path, reply: bytes) -> None:
    async def answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readline()
        writer.write(reply)
        writer.close()

    server = await asyncio.start_unix_server(answer, tmp_path / SOCKET_NAME)
    assert not await coordinator(tmp_path).find_predecessor()
    server.close()


async def test_a_missing_or_stale_socket_file_does_not_prevent_a_start(tmp_path: Path) -> None:
    assert not await coordinator(tmp_path).find_predecessor()
    with socket.socket(socket.AF_UNIX) as stale:
        stale.bind(str(tmp_path / SOCKET_NAME))
    starting = coordinator(tmp_path)
    assert not await starting.find_predecessor() and await starting.take_over() is None
    starting.listen_for_successor()
    assert await coordinator(tmp_path).find_predecessor()
    (tmp_path / "file").write_text("")
    coordinator(tmp_path / "file").listen_for_successor()  # cannot listen there, and logs a warning
    starting.stop()
