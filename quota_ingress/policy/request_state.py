"""A request while it is open, and its attempts."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from quota_ingress.policy.endpoint import Endpoint
from quota_ingress.policy.events import RequestArrived
from quota_ingress.policy.settings import RequestClass

if TYPE_CHECKING:
    from quota_ingress.policy.customer_quota import CustomerQuota


@dataclass(slots=True)
class Attempt:
    backend: Endpoint
    sent_at: int
    out: bool = True
    may_have_run: bool = True  # until an outcome proves otherwise


@dataclass(slots=True)
class Request:
    event: RequestArrived
    cls: RequestClass
    account: CustomerQuota
    cut: int  # no answer after this is worth its work
    came: int
    attempts: list[Attempt] = field(default_factory=list)

    def ran(self) -> Attempt | None:
        return next((a for a in self.attempts if a.may_have_run), None)
