"""Validates clients' requests against the client protocol, and encodes the head forwarded to backends."""

from __future__ import annotations

import re
from typing import NamedTuple

from quota_ingress.net.engine.requests import ParsedRequest
from quota_ingress.net.engine.settings_index import SettingsIndex
from quota_ingress.net.http import Message
from quota_ingress.policy.settings import Idempotency, Settings

REQUEST_ID = re.compile(rb"[0-9A-Za-z._~-]{1,64}")
IDEMPOTENCY_KEY = re.compile(rb"[!-~]{1,255}")
CUSTOMER_COOKIE = re.compile(rb"(?:^|[;,])\s*customer=([^;,\s]*)")
SIXTEEN_HEX_DIGITS = re.compile(rb"[0-9a-fA-F]{16}")
REQUEST_TIMEOUT = re.compile(rb"([0-9]{1,12})([mu])")
QUOTA_FIELD = re.compile(rb"(units|spread|first)=([0-9]{1,9}(?:\.[0-9]{1,9})?)")
QUOTA_FIELDS = 3
ABSOLUTE_FORM = re.compile(rb"^[Hh][Tt][Tt][Pp]://[^/?#]*/?")
CUSTOMER_NUMBER_LIMIT = 1 << 33  # exclusive
FIELDS = frozenset(
    {
        b"client-retry",
        b"content-type",
        b"cookie",
        b"expect",
        b"host",
        b"idempotency-key",
        b"request-id",
        b"request-timeout",
        b"x-plan",
        b"x-quota",
    }
)
"""The lower-case names of the fields that are used; all others are ignored."""
METHODS = (b"GET", b"HEAD", b"POST")
US_PER_MS = 1000
MAX_TIMEOUT_DEADLINES = 2  # class deadlines; a Request-Timeout up to this is accepted, but capped at one


class InvalidRequestError(Exception):
    """An invalid request. `status` is the 4xx status code of the response, whose body is the message."""

    def __init__(self, status: int, reason: str) -> None:
        super().__init__(reason)
        self.status = status


class QuotaHeader(NamedTuple):
    """The fields of the X-Quota header: `units`, `spread` and `first`."""

    units: float
    gateway_count: int
    first_gateway: int


class RequestParser:
    """Validates requests against the settings. Invalid requests reach neither the policy nor a backend."""

    def __init__(self, settings: Settings, index: SettingsIndex) -> None:
        self._settings = settings
        self._index = index
        self._methods = [
            b"GET" if c.idempotency is Idempotency.IDEMPOTENT else b"POST" for c in settings.classes
        ]
        self._needs_key = [c.idempotency is Idempotency.WITH_KEY for c in settings.classes]

    def parse(self, message: Message) -> ParsedRequest:
        """Returns the parsed request, whose body may be incomplete.

        Raises:
            InvalidRequestError: The request violates the protocol.
        """
        headers = message.headers
        request_class = self._request_class(message)
        check_body(message)
        if headers.get(b"expect", b"100-continue").lower() != b"100-continue":
            raise InvalidRequestError(417, "only 100-continue can be expected")
        plan = self._plan(headers.get(b"x-plan", b""))
        request_id = _request_id(headers.get(b"request-id", b""))
        if self._needs_key[request_class]:
            _check_idempotency_key(headers.get(b"idempotency-key", b""))
        customer = _customer(headers.get(b"cookie", b""))
        timeout = self._timeout(headers.get(b"request-timeout", b""), request_class)
        quota = self._quota(headers.get(b"x-quota", b""), plan)
        return ParsedRequest(
            id=request_id,
            request_class=request_class,
            plan=plan,
            customer=customer,
            units=quota.units,
            gateway_count=quota.gateway_count,
            first_gateway=quota.first_gateway,
            timeout=timeout,
            received_at=0,
            is_retry=headers.get(b"client-retry") == b"1",
            head=encode_forwarded_head(message, request_id),
            body=message.body,
        )

    def _request_class(self, message: Message) -> int:
        """Returns the class named by the first segment of the path, and checks that it takes the method.

        Converts a target in absolute form to origin form.
        """
        method = message.method
        if method not in METHODS:
            raise InvalidRequestError(405, "only GET, HEAD and POST are known here")
        if not message.target.startswith(b"/"):  # absolute form; backends accept the origin form only
            message.target = ABSOLUTE_FORM.sub(b"/", message.target, count=1)
        path = message.target.partition(b"?")[0].split(b"/")
        request_class = self._index.classes.get(path[1]) if len(path) > 1 and not path[0] else None
        if request_class is None:
            raise InvalidRequestError(404, "no such class of requests")
        if method.replace(b"HEAD", b"GET") != self._methods[request_class]:
            raise InvalidRequestError(405, "this class takes another method")
        return request_class

    def _plan(self, name: bytes) -> int:
        plan = self._index.plans.get(name)
        if plan is None:
            raise InvalidRequestError(400, "X-Plan is missing or unknown")
        return plan

    def _timeout(self, text: bytes, request_class: int) -> int:
        """Returns the client's timeout in us, limited to the class's deadline."""
        deadline = self._settings.classes[request_class].deadline
        parts = REQUEST_TIMEOUT.fullmatch(text)
        timeout = 0
        if parts:
            timeout = int(parts[1]) * (US_PER_MS if parts[2] == b"m" else 1)
        if not 0 < timeout <= MAX_TIMEOUT_DEADLINES * deadline:
            raise InvalidRequestError(400, "Request-Timeout is missing or invalid")
        return min(timeout, deadline)

    def _quota(self, text: bytes, plan: int) -> QuotaHeader:
        """Returns the units requested and the range of gateways that the customer uses."""
        fields = [QUOTA_FIELD.fullmatch(part.strip()) for part in text.split(b",")]
        values = {field[1]: field[2] for field in fields if field}
        if not len(fields) == len(values) == QUOTA_FIELDS:
            raise InvalidRequestError(400, "X-Quota is missing or invalid")
        try:
            quota = QuotaHeader(float(values[b"units"]), int(values[b"spread"]), int(values[b"first"]))
        except ValueError:
            raise InvalidRequestError(400, "X-Quota is missing or invalid") from None
        fleet_size = self._settings.fleet_size
        gateways_in_range = 0 < quota.gateway_count <= fleet_size and quota.first_gateway < fleet_size
        if not (0 < quota.units <= self._index.max_units[plan] and gateways_in_range):
            raise InvalidRequestError(400, "X-Quota is out of range")
        return quota


def check_body(message: Message) -> None:
    """Checks that only a POST has a body, as far as the body has been received.

    A chunked body has no declared length, so this has to be called again whenever more of it is received.

    Raises:
        InvalidRequestError: The method takes no body.
    """
    if message.method != b"POST" and (message.body.declared_length or message.body.received):
        raise InvalidRequestError(400, "GET takes no body")


def encode_forwarded_head(message: Message, request_id: bytes) -> bytes:
    """Returns the head sent to a backend, except Request-Timeout and the final empty line.

    Forwards the target, which must be in origin form, Host, Request-Id, Idempotency-Key and Content-Type
    unchanged. Sets `body.chunked`, which tells whether the body is forwarded with chunked transfer coding.
    Whatever the method, a body that follows is framed, so that the backend cannot take it for a request.
    """
    headers = message.headers
    body = message.body
    body.chunked = body.declared_length is None and not body.complete
    length = body.received if body.complete else body.declared_length
    host = headers.get(b"host", b"backend")
    head = b"%b %b HTTP/1.1\r\nHost: %b\r\nRequest-Id: %b\r\n" % (
        message.method,
        message.target,
        host,
        request_id,
    )
    if body.chunked:
        head += b"Transfer-Encoding: chunked\r\n"
    elif length or message.method == b"POST":
        head += b"Content-Length: %d\r\n" % (length or 0)
    if key := headers.get(b"idempotency-key"):
        head += b"Idempotency-Key: %b\r\n" % key
    if content_type := headers.get(b"content-type"):
        head += b"Content-Type: %b\r\n" % content_type
    return head


def _request_id(text: bytes) -> bytes:
    if not REQUEST_ID.fullmatch(text):
        raise InvalidRequestError(400, "Request-Id is missing or invalid")
    return text


def _check_idempotency_key(key: bytes) -> None:
    if not IDEMPOTENCY_KEY.fullmatch(key):
        raise InvalidRequestError(400, "Idempotency-Key is missing or invalid")


def _customer(cookie_header: bytes) -> int:
    """Returns the customer's number from the `customer` cookie, 16 hex digits, which must occur once."""
    cookies = CUSTOMER_COOKIE.findall(cookie_header)
    if len(cookies) == 1 and SIXTEEN_HEX_DIGITS.fullmatch(cookies[0]):
        customer = int(cookies[0], 16)
        if customer < CUSTOMER_NUMBER_LIMIT:
            return customer
    raise InvalidRequestError(400, "cookie customer is missing or invalid")
