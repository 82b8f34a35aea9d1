"""Interface of the listener to its client connections: the state and the limits that they share."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from quota_ingress.net.descriptors import DescriptorShare
from quota_ingress.net.downstream.input_queue import InputQueue
from quota_ingress.net.downstream.request_parser import RequestParser
from quota_ingress.net.downstream.stages import ConnectionStages
from quota_ingress.net.engine.engine import Engine
from quota_ingress.net.http import MemoryBudget


class ConnectionHost(Protocol):
    """The listener, as its client connections see it."""

    engine: Engine
    memory_budget: MemoryBudget
    descriptors: DescriptorShare
    request_parser: RequestParser
    stages: ConnectionStages
    input_queue: InputQueue
    max_idle: int  # maximum number of idle connections
    now: Callable[[], int]  # process clock in us
    draining_since: int | None  # us: when connections began to be closed after their responses, or None

    @property
    def in_service(self) -> bool:
        """Whether health checks are answered with 200."""
