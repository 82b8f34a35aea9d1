"""Decodes the simulator's batches into events of the policy."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, TypeVar

from quota_ingress.policy.endpoint_list import EndpointsListed, ListedEndpoint, ListKind
from quota_ingress.policy.events import (
    AttemptEnded,
    ClientDisconnected,
    CounterAnswered,
    Event,
    PeerMessage,
    ProbeAnswered,
    RequestArrived,
    StreamStarted,
    TimerFired,
)
from quota_ingress.policy.settings import Settings
from quota_ingress.settings_codec import SettingsError, settings_from_json
from quota_ingress.simulator.wire import (
    BATCH_HEADER,
    ENDPOINT_STATES,
    ENTRY_LAYOUT,
    ENTRY_SIZE,
    EVENT_LAYOUTS,
    EVENT_SIZE,
    LIST_KINDS,
    MAX_LOAD_VALUES,
    OUTCOMES,
    REPEATED_BIT,
    EventCode,
    WireError,
    endpoint_id,
)

Value = TypeVar("Value")
Fields = tuple[Any, ...]  # the unpacked values of one record, in the order of its layout


@dataclass(frozen=True, slots=True)
class InstanceCreated:
    """An instance starts or restarts."""

    settings: Settings
    seed: int


@dataclass(frozen=True, slots=True)
class InstanceStopped:
    """An instance stops and loses its state."""


Message = Event | InstanceCreated | InstanceStopped


@dataclass(frozen=True, slots=True)
class Batch:
    """The messages for all instances at one point in time, in order."""

    now: int  # us
    number: int
    messages: tuple[tuple[int, Message], ...]  # pairs of an instance number and a message for it


class BatchDecoder:
    """Decodes batches, in the order received: later batches may refer to endpoint lists of earlier ones."""

    def __init__(self) -> None:
        self._pages: dict[int, tuple[ListedEndpoint, ...]] = {}  # by page number
        self._decoders = DECODERS | {EventCode.DIRECTORY_UPDATE: self._decode_list}

    def decode(self, frame: bytes) -> Batch:
        """Decodes a batch; `frame` is everything after the length field.

        Raises:
            WireError: The frame does not conform to the wire format.
        """
        if len(frame) < BATCH_HEADER.size:
            raise WireError(f"batch header: got {len(frame)} bytes, expected {BATCH_HEADER.size}")
        now, count, number = BATCH_HEADER.unpack_from(frame)
        tail_at = BATCH_HEADER.size + count * EVENT_SIZE
        if tail_at > len(frame):
            raise WireError(f"batch: {count} records do not fit into {len(frame)} bytes")
        return Batch(now, number, tuple(self._messages(frame, tail_at)))

    def _messages(self, frame: bytes, tail_at: int) -> list[tuple[int, Message]]:
        tail = memoryview(frame)[tail_at:]
        instance: int | None = None
        messages: list[tuple[int, Message]] = []
        for at in range(BATCH_HEADER.size, tail_at, EVENT_SIZE):
            code = frame[at] | frame[at + 1] << 8
            layout = EVENT_LAYOUTS.get(code)
            if layout is None:
                raise WireError(f"record code {code} is unknown")
            fields = layout.unpack_from(frame, at)
            decode = self._decoders.get(code)
            if decode is not None:
                if instance is None:
                    raise WireError(f"{EventCode(code).title}: no Context record before it in the batch")
                messages.append((instance, decode(fields, tail)))
            elif code == EventCode.CONTEXT:
                instance = fields[0]
            else:
                self._store_page(fields, tail)
        return messages

    def _store_page(self, fields: Fields, tail: memoryview) -> None:
        number, offset, count = fields
        self._pages[number] = _decode_entries(_slice_tail(tail, offset, count * ENTRY_SIZE, "Page.records"))

    def _decode_list(self, fields: Fields, tail: memoryview) -> EndpointsListed:
        kind_code, version, page = fields
        kind = _look_up(LIST_KINDS, kind_code, "DirectoryUpdate.scope")
        if kind is ListKind.FAILED:
            return EndpointsListed(kind, version, ())
        return EndpointsListed(kind, version, _look_up(self._pages, page, "DirectoryUpdate.bank"))


def decode_request(fields: Fields, tail: memoryview) -> RequestArrived:
    """Decodes a JobIn record."""
    request, plan, bits, units, first_gateway, gateway_count, time_left, customer, request_class = fields
    return RequestArrived(
        request=request,
        request_class=request_class,
        plan=plan,
        customer=customer,
        units=units,
        time_left=time_left,
        first_gateway=_to_int(first_gateway),
        gateway_count=_to_int(gateway_count),
        is_retry=bool(bits & REPEATED_BIT),
    )


def decode_attempt_end(fields: Fields, tail: memoryview) -> AttemptEnded:
    """Decodes a Verdict record; its meter field is ignored."""
    request, attempt, endpoint, outcome, latency, request_ended, _, settled_units, load_count, *load = fields
    return AttemptEnded(
        request=request,
        attempt=attempt,
        endpoint=endpoint_id(endpoint),
        outcome=_look_up(OUTCOMES, outcome, "Verdict.code"),
        latency=latency,
        request_ended=bool(request_ended),
        load=_load_report(load_count, load),
        settled_units=float(settled_units),
    )


def decode_timer(fields: Fields, tail: memoryview) -> TimerFired:
    """Decodes a Due record."""
    return TimerFired(token=fields[0])


def decode_counter_answer(fields: Fields, tail: memoryview) -> CounterAnswered:
    """Decodes an Added record."""
    name, outcome, total, latency = fields
    return CounterAnswered(name, _look_up(OUTCOMES, outcome, "Added.code"), total, latency)


def decode_disconnect(fields: Fields, tail: memoryview) -> ClientDisconnected:
    """Decodes a Vanished record."""
    return ClientDisconnected(request=fields[0])


def decode_probe_answer(fields: Fields, tail: memoryview) -> ProbeAnswered:
    """Decodes a Pong record."""
    endpoint, outcome, latency, load_count, *load = fields
    return ProbeAnswered(
        endpoint=endpoint_id(endpoint),
        outcome=_look_up(OUTCOMES, outcome, "Pong.code"),
        latency=latency,
        load=_load_report(load_count, load),
    )


def decode_stream_start(fields: Fields, tail: memoryview) -> StreamStarted:
    """Decodes a Started record."""
    request, attempt, endpoint, latency = fields
    return StreamStarted(request, attempt, endpoint_id(endpoint), latency)


def decode_creation(fields: Fields, tail: memoryview) -> InstanceCreated:
    """Decodes a Create record."""
    seed, offset, length = fields
    document = bytes(_slice_tail(tail, offset, length, "Create.config"))
    try:
        return InstanceCreated(settings_from_json(document), seed)
    except SettingsError as error:
        raise WireError(f"Create.config: {error}") from None


def decode_stop(fields: Fields, tail: memoryview) -> InstanceStopped:
    """Decodes a Detach record."""
    return InstanceStopped()


def decode_peer_message(fields: Fields, tail: memoryview) -> PeerMessage:
    """Decodes a NeighbourSays record."""
    sender, offset, length = fields
    return PeerMessage(sender, bytes(_slice_tail(tail, offset, length, "NeighbourSays.body")))


DECODERS: dict[int, Callable[[Fields, memoryview], Message]] = {  # the second argument is the frame's tail
    EventCode.ADDED: decode_counter_answer,
    EventCode.NEIGHBOUR_SAYS: decode_peer_message,
    EventCode.DETACH: decode_stop,
    EventCode.CREATE: decode_creation,
    EventCode.JOB_IN: decode_request,
    EventCode.DUE: decode_timer,
    EventCode.STARTED: decode_stream_start,
    EventCode.PONG: decode_probe_answer,
    EventCode.VERDICT: decode_attempt_end,
    EventCode.VANISHED: decode_disconnect,
}


def _decode_entries(data: memoryview) -> tuple[ListedEndpoint, ...]:
    return tuple(
        ListedEndpoint(
            id=endpoint_id(endpoint),
            state=_look_up(ENDPOINT_STATES, state, "Page.mode"),
            zone=zone,
            cell=cell,
            kind=kind,
            weight=weight,
            started_at=started_at,
        )
        for state, cell, zone, started_at, weight, endpoint, kind in ENTRY_LAYOUT.iter_unpack(data)
    )


def _look_up(table: Mapping[int, Value], key: int, field: str) -> Value:
    try:
        return table[key]
    except KeyError:
        raise WireError(f"{field}: unknown value {key!r}") from None


def _load_report(count: int, values: Sequence[float]) -> tuple[float, ...]:
    if count > MAX_LOAD_VALUES:
        raise WireError(f"load report: got {count} values, at most {MAX_LOAD_VALUES} allowed")
    return tuple(values[:count])


def _slice_tail(tail: memoryview, offset: int, length: int, field: str) -> memoryview:
    if offset + length > len(tail):
        raise WireError(
            f"{field}: bytes {offset} to {offset + length} lie outside the tail of {len(tail)} bytes"
        )
    return tail[offset : offset + length]


def _to_int(value: float) -> int:
    """Returns the value truncated to an integer; 0 for infinities and NaN."""
    return int(value) if math.isfinite(value) else 0
