"""Runs gateways on the simulator's wire protocol: reads batches from stdin and writes replies to stdout.

One process runs any number of instances, each with its own `Gateway`.
"""

from __future__ import annotations

import sys
from typing import BinaryIO

from quota_ingress.policy.actions import Action
from quota_ingress.policy.gateway import Gateway
from quota_ingress.simulator.decoder import Batch, BatchDecoder, InstanceCreated, InstanceStopped
from quota_ingress.simulator.encoder import encode_reply
from quota_ingress.simulator.wire import LENGTH, WireError


class InstanceHost:
    """The gateways of one process, by instance number."""

    def __init__(self) -> None:
        self._gateways: dict[int, Gateway] = {}

    def handle(self, batch: Batch) -> list[tuple[int, list[Action]]]:
        """Dispatches the messages of a batch to their instances.

        Returns:
            Pairs of an instance with messages in the batch, unless it was stopped, and its gateway's actions.

        Raises:
            WireError: A message is for an instance that was not created.
            ValueError: The settings of a new instance are invalid.
        """
        actions_by_instance: dict[int, list[Action]] = {}
        for instance, message in batch.messages:
            if isinstance(message, InstanceCreated):
                self._gateways[instance] = Gateway(message.settings, message.seed)
                actions_by_instance[instance] = []
            elif isinstance(message, InstanceStopped):
                self._gateways.pop(instance, None)
                actions_by_instance.pop(instance, None)
            elif instance in self._gateways:
                actions = self._gateways[instance].handle(batch.now, message)
                actions_by_instance.setdefault(instance, []).extend(actions)
            else:
                raise WireError(f"Context.i: instance {instance} was not created")
        return list(actions_by_instance.items())


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Replies to every batch from `source` on `sink`, until the input ends.

    Raises:
        WireError: The input does not conform to the wire format.
        ValueError: The settings of a new instance are invalid.
    """
    decoder = BatchDecoder()
    host = InstanceHost()
    while length_field := source.read(LENGTH.size):
        if len(length_field) < LENGTH.size:
            raise WireError(f"length: input ends after {len(length_field)} of {LENGTH.size} bytes")
        (length,) = LENGTH.unpack(length_field)
        batch = decoder.decode(_read_frame(source, length))
        sink.write(encode_reply(batch.number, host.handle(batch)))
        sink.flush()


def main() -> int:
    """Runs the adapter on stdin and stdout; returns the exit code."""
    try:
        serve(sys.stdin.buffer, sys.stdout.buffer)
    except (WireError, ValueError) as error:
        print(f"quota_ingress: {error}", file=sys.stderr)
        return 1
    return 0


def _read_frame(source: BinaryIO, length: int) -> bytes:
    frame = source.read(length)
    if len(frame) < length:
        raise WireError(f"frame: input ends after {len(frame)} of {length} bytes")
    return frame


if __name__ == "__main__":
    sys.exit(main())
