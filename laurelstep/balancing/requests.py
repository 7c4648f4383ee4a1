"""Requests and their attempts, and the table of all that are open."""

from __future__ import annotations

from laurelstep.balancing.endpoints import Endpoint
from laurelstep.balancing.events import Arrival, RequestClass


class Attempt:
    """One attempt of a request at an endpoint, whose place is kept as it was then."""

    __slots__ = (
        "cell",
        "connection_idle_us",
        "endpoint",
        "has_pending_body",
        "is_counted_as_lost",
        "is_outstanding",
        "never_ran",
        "sent_at",
        "zone",
    )

    def __init__(self, endpoint: Endpoint, now: int, body_pending: bool) -> None:
        self.endpoint = endpoint
        self.has_pending_body = body_pending  # it counts at the endpoint once that has the complete request
        self.cell, self.zone = endpoint.cell, endpoint.zone
        self.sent_at = now
        self.connection_idle_us = -1  # how long its connection was idle; a new one was not
        self.is_outstanding = True  # without an outcome
        self.never_ran = False
        self.is_counted_as_lost = False  # as evidence of connections that die while idle

    def begin(self, now: int) -> None:
        """The endpoint has the complete request, or will at once: it counts there until its outcome."""
        self.sent_at, self.has_pending_body = now, False
        if not self.endpoint.in_flight:
            self.endpoint.silent_since = now
        self.endpoint.in_flight += 1


class Request:
    """A request that this copy has taken, until its final answer and its last outcome."""

    __slots__ = (
        "arrived_at",
        "attempts",
        "class_index",
        "expires_at",
        "has_pending_body",
        "id",
        "is_streaming",
        "key",
        "request_class",
        "segment",
        "tenant",
    )

    def __init__(self, now: int, event: Arrival, cls: RequestClass, tenants: int) -> None:
        self.id = event.request
        self.arrived_at = now
        self.class_index = event.cls
        self.segment = event.cls * tenants + min(event.tenant, tenants - 1)
        self.request_class = cls
        self.tenant = event.tenant
        self.key = event.key if cls.sequential else 0  # 0: nothing to run in sequence with
        self.expires_at = event.expires
        self.attempts: list[Attempt] = []
        self.is_streaming = False  # its answer flows to the client already
        self.has_pending_body = event.has_pending_body  # its last byte is still to come

    def has_outstanding_attempt(self) -> bool:
        """Whether an attempt is without its outcome."""
        return any(attempt.is_outstanding for attempt in self.attempts)

    def first_possible_execution(self) -> Attempt | None:
        """The earliest attempt that may have run, or may be running."""
        for attempt in self.attempts:
            if not attempt.never_ran:
                return attempt
        return None

    def held_until(self) -> int:
        """When it is held no longer for an endpoint: its deadline or its objective, in µs."""
        return min(self.expires_at, self.arrived_at + self.request_class.aim_us)


class RequestTable:
    """All requests without a final answer, and those over with attempts still outstanding."""

    __slots__ = ("awaiting_outcomes", "open", "uploading_count")

    def __init__(self) -> None:
        self.open: dict[int, Request] = {}  # in the order in which they were complete
        self.awaiting_outcomes: dict[int, Request] = {}
        self.uploading_count = 0  # of the open ones, those whose last byte is still to come

    def add(self, request: Request) -> None:
        """Take a new request."""
        self.open[request.id] = request
        self.uploading_count += request.has_pending_body

    def find(self, request: int) -> Request | None:
        """A request by its id, also one that is over with attempts outstanding."""
        return self.open.get(request) or self.awaiting_outcomes.get(request)

    def complete_body(self, now: int, request: Request, expires_at: int) -> None:
        """The last byte of an open request has come: from now on its time counts."""
        del self.open[request.id]
        self.open[request.id] = request
        if request.has_pending_body:
            request.arrived_at, request.expires_at, request.has_pending_body = now, expires_at, False
            self.uploading_count -= 1

    def close(self, request: Request) -> None:
        """The request has its final answer, or nobody waits for one."""
        del self.open[request.id]
        self.uploading_count -= request.has_pending_body
        if request.has_outstanding_attempt():
            self.awaiting_outcomes[request.id] = request

    def forget_if_complete(self, request: Request) -> None:
        """Forget a request that is over once its last attempt has its outcome."""
        if not request.has_outstanding_attempt():
            del self.awaiting_outcomes[request.id]
