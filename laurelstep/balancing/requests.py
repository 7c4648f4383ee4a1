"""Requests and their attempts, and the table of requests without a final answer."""

from __future__ import annotations

from laurelstep.balancing.endpoints import Endpoint
from laurelstep.balancing.events import Arrival, RequestClass


class Attempt:
    """One attempt of a request, with the cell and zone that its endpoint had when it was sent."""

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

    def __init__(self, endpoint: Endpoint, now: int, has_pending_body: bool) -> None:
        self.endpoint = endpoint
        self.has_pending_body = has_pending_body  # the attempt counts at its endpoint once False
        self.cell, self.zone = endpoint.cell, endpoint.zone
        self.sent_at = now
        self.connection_idle_us = -1  # idle time of its connection; -1 for a new connection
        self.is_outstanding = True  # without an outcome
        self.never_ran = False  # its outcome proves that the request was not executed
        self.is_counted_as_lost = False  # as evidence of connections that break while idle

    def begin(self, now: int) -> None:
        """Count the attempt at its endpoint until its outcome: the request body is complete."""
        self.sent_at, self.has_pending_body = now, False
        if not self.endpoint.in_flight:
            self.endpoint.silent_since = now
        self.endpoint.in_flight += 1


class Request:
    """A request that this copy has received, until its final answer and its last outcome."""

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

    def __init__(self, now: int, event: Arrival, cls: RequestClass, tenant_count: int) -> None:
        self.id = event.request
        self.arrived_at = now
        self.class_index = event.cls
        # Index of its class and tenant in `Endpoint.health`.
        self.segment = event.cls * tenant_count + min(event.tenant, tenant_count - 1)
        self.request_class = cls
        self.tenant = event.tenant
        self.key = event.key if cls.sequential else 0  # 0: no order to keep
        self.expires_at = event.expires
        self.attempts: list[Attempt] = []
        self.is_streaming = False  # its answer is already being sent to the client
        self.has_pending_body = event.has_pending_body  # its body is still being received

    def has_outstanding_attempt(self) -> bool:
        """Return whether an attempt has no outcome yet."""
        return any(attempt.is_outstanding for attempt in self.attempts)

    def first_possible_execution(self) -> Attempt | None:
        """Return the earliest attempt that may have run or may be running, or None."""
        for attempt in self.attempts:
            if not attempt.never_ran:
                return attempt
        return None

    def held_until(self) -> int:
        """Return until when the request may wait for an endpoint: its deadline or its objective, in µs."""
        return min(self.expires_at, self.arrived_at + self.request_class.aim_us)


class RequestTable:
    """The requests without a final answer, and closed ones with attempts outstanding."""

    __slots__ = ("awaiting_outcomes", "open", "uploading_count")

    def __init__(self) -> None:
        self.open: dict[int, Request] = {}  # in the order in which their bodies were complete
        self.awaiting_outcomes: dict[int, Request] = {}
        self.uploading_count = 0  # open requests whose body is still being received

    def add(self, request: Request) -> None:
        """Add a new request."""
        self.open[request.id] = request
        self.uploading_count += request.has_pending_body

    def find(self, request_id: int) -> Request | None:
        """Return a request by its id, also a closed one with attempts outstanding, or None."""
        return self.open.get(request_id) or self.awaiting_outcomes.get(request_id)

    def complete_body(self, now: int, request: Request, expires_at: int) -> None:
        """Note that the body of an open request is complete: its latency counts from now."""
        del self.open[request.id]
        self.open[request.id] = request
        if request.has_pending_body:
            request.arrived_at, request.expires_at, request.has_pending_body = now, expires_at, False
            self.uploading_count -= 1

    def close(self, request: Request) -> None:
        """Close a request that has its final answer or whose client has left."""
        del self.open[request.id]
        self.uploading_count -= request.has_pending_body
        if request.has_outstanding_attempt():
            self.awaiting_outcomes[request.id] = request

    def forget_if_complete(self, request: Request) -> None:
        """Remove a closed request once all its attempts have their outcomes."""
        if not request.has_outstanding_attempt():
            del self.awaiting_outcomes[request.id]
