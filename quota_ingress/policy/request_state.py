"""The state of an open request and its attempts."""

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
    """One forwarding of a request to an endpoint."""

    endpoint: Endpoint
    sent_at: int  # us
    in_flight: bool = True
    is_load: bool = True  # counts as in flight at its endpoint; not before the request's body is complete
    may_have_run: bool = True  # False once its outcome shows that the endpoint did not execute it


@dataclass(slots=True)
class Request:
    """A request without its final answer, or with attempts that are still in flight."""

    event: RequestArrived
    request_class: RequestClass
    quota: CustomerQuota
    arrived_at: int  # us
    useful_until: int  # us; a later answer is not worth the work
    is_receiving: bool = False  # its body is incomplete
    attempts: list[Attempt] = field(default_factory=list)  # in the order in which they were sent

    def first_attempt_that_may_have_run(self) -> Attempt | None:
        """Returns the first attempt that may have run; None if none can have had any effect."""
        for attempt in self.attempts:
            if attempt.may_have_run:
                return attempt
        return None
