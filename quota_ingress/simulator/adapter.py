"""Runs gateways on the simulator's wire: batches from standard input, replies to standard output.

One process runs any number of instances, each a Gateway of its own.
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
        """Hands the batch's messages to their instances; returns what each of these decided.

        Raises:
            WireError: A message is for an instance that was not created.
            ValueError: No gateway can work with the settings of a new instance.
        """
        decided: dict[int, list[Action]] = {}
        for instance, message in batch.messages:
            if isinstance(message, InstanceCreated):
                self._gateways[instance] = Gateway(message.settings, message.seed)
                decided[instance] = []
            elif isinstance(message, InstanceStopped):
                self._gateways.pop(instance, None)
                decided.pop(instance, None)
            elif instance in self._gateways:
                actions = self._gateways[instance].handle(batch.now, message)
                decided.setdefault(instance, []).extend(actions)
            else:
                raise WireError(f"Context.i: instance {instance} was not created")
        return list(decided.items())


def serve(source: BinaryIO, sink: BinaryIO) -> None:
    """Answers every batch until the input ends.

    Raises:
        WireError: The input does not follow the format.
        ValueError: No gateway can work with the settings of a new instance.
    """
    decoder = BatchDecoder()
    host = InstanceHost()
    while head := source.read(LENGTH.size):
        if len(head) < LENGTH.size:
            raise WireError(f"length: input ends after {len(head)} of {LENGTH.size} bytes")
        (length,) = LENGTH.unpack(head)
        batch = decoder.decode(_read_frame(source, length))
        sink.write(encode_reply(batch.number, host.handle(batch)))
        sink.flush()


def main() -> int:
    """Runs the adapter; returns the process's exit code."""
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
