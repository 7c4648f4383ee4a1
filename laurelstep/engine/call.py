"""A request in progress: the call, its attempts and its final answer.

Rules of this module:

1. A `Call` is open from the moment the engine takes it until its one final `Answer` is given or its client
   has left. It never opens again.
2. An `Attempt` is in flight until its one outcome. The upstream asks `may_start` at the moment of writing
   and calls `end` once; later calls of `end` are ignored.
3. The engine forgets a call when it is not open, its answer is not held, and none of its attempts is in
   flight.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import Protocol

from laurelstep.engine.body_stream import BodyStream

Headers = list[tuple[bytes, bytes]]  # names in lower case


class Ending(StrEnum):
    """The kind of a final answer. Only a refusal promises that a retry by the client is harmless."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class Answer:
    """A final answer, independent of the protocol in which a frontend sends it."""

    __slots__ = ("body", "ending", "endpoint", "headers", "retry_after_us", "status", "stream")

    def __init__(
        self,
        ending: Ending,
        status: int,
        headers: Sequence[tuple[bytes, bytes]] = (),
        body: bytes = b"",
        retry_after_us: int = 0,
        stream: BodyStream | None = None,
    ) -> None:
        self.ending = ending
        self.status = status  # 200; 503 where refused; 500, 502 or 504 where failed
        self.headers = headers
        self.body = body
        self.retry_after_us = retry_after_us  # of a refusal: how long to wait before a retry; 0 = unknown
        self.stream = stream  # replaces `body` while the body is still being received
        self.endpoint = 0  # number of the endpoint that answered; 0 if none did


class Frontend(Protocol):
    """The receiver of final answers: a client's connection, the library or an internal sender."""

    def on_answer(self, call: Call, answer: Answer) -> None:
        """The final answer of a call. Called at most once for a call, and never after
        `Engine.on_client_left`.
        """


class ClientConnection(Protocol):
    """The connection on which the client waits for the answer of a call."""

    def has_left(self) -> bool:
        """Whether the client has closed the connection, even if the event loop has not read the close yet."""

    def may_hide_close(self) -> bool:
        """Whether the client may have left behind bytes of its upload that have not arrived."""


class Handle(Protocol):
    """A scheduled callback."""

    def cancel(self) -> None:
        """Prevent the callback. Does nothing if it has been called or cancelled."""


class AttemptOwner(Protocol):
    """The part of the engine's interface that an `Attempt` uses."""

    def may_start(self, attempt: Attempt, now: int) -> bool:
        """See `Attempt.may_start`."""

    def on_written(self, attempt: Attempt) -> None:
        """See `Attempt.on_written`."""

    def on_ended(self, attempt: Attempt, outcome: int, answer: Answer | None, load: bytes) -> None:
        """See `Attempt.end`."""


class Call:
    """One request that the engine has taken and not yet forgotten. Times are in µs."""

    __slots__ = (
        "attempts",
        "attempts_sent",
        "body",
        "can_stream_answer",
        "causal_dependencies",
        "claims_id",
        "client_connection",
        "client_request_id",
        "deadline_timer",
        "expires_at",
        "frontend",
        "has_claimed_id",
        "header_lines",
        "id",
        "is_answer_held",
        "is_claim_kept",
        "is_open",
        "is_queued",
        "is_recorded",
        "is_retry",
        "key",
        "last_instance_id",
        "method_and_target",
        "order_id",
        "queued_write_fate",
        "request_class",
        "tenant",
        "time_after_upload_us",
        "upload",
        "work_us",
    )  # fmt: skip

    def __init__(
        self,
        request_class: int,
        expires_at: int,
        method_and_target: bytes,
        header_lines: bytes,
        body: bytes,
        frontend: Frontend,
        client_request_id: bytes = b"",
        tenant: int = 0,
        key: int = 0,
        work_us: int = 0,
        is_retry: bool = False,
        order_id: bytes = b"",
    ) -> None:
        self.request_class = request_class
        self.expires_at = expires_at  # on the engine's clock
        self.method_and_target = method_and_target  # as received, separated by a space
        self.header_lines = header_lines  # the header lines to forward
        self.body = body
        self.frontend = frontend
        self.client_connection: ClientConnection | None = None  # checked before an attempt begins
        self.client_request_id = client_request_id  # the value of X-Request-Id
        self.tenant = tenant
        self.key = key  # number of the object that the request names; 0 = none named
        self.work_us = work_us  # the client's estimate of the cost; 0 = none given
        self.is_retry = is_retry
        self.order_id = order_id  # value of the class's order header; empty if there is none
        self.id = 0
        # Whether the id is a client's, and so claimed before the request is sent; not that of a replay.
        self.claims_id = True
        self.has_claimed_id = False
        self.is_claim_kept = False  # the id stays claimed although no attempt of this call has run
        self.is_open = True  # has no final answer yet, and its client has not left
        self.attempts: list[Attempt] = []
        self.deadline_timer: Handle | None = None
        self.attempts_sent = 0  # attempts that were passed to the upstream
        self.last_instance_id = ""  # instance id of the endpoint of the last of them
        self.is_recorded = False  # the recorder gets the answer before the frontend does
        self.is_answer_held = False  # the final answer waits for the recorder
        self.is_queued = False  # the write queue has taken over the call from the balancer
        # Values of the headers that name the writes this one depends on; empty if its class is never queued.
        self.causal_dependencies: tuple[bytes, ...] = ()
        self.can_stream_answer = False  # the frontend can forward an answer while it is being received
        # Value of X-Kept-Fate: what an upstream copy reports, with its answer, about a replayed write. None
        # if the call is no replay to a copy.
        self.queued_write_fate: bytes | None = None
        self.upload: BodyStream | None = None  # replaces `body` while the body is still being received
        self.time_after_upload_us = 0  # of an upload: time limit for the answer, counted from its last byte


class Attempt:
    """One try to get a call answered by one endpoint. Times are in µs on the engine's clock."""

    __slots__ = (
        "attempt_index",
        "call",
        "endpoint",
        "is_in_flight",
        "lacks_socket",
        "may_have_run",
        "may_retry",
        "owner",
        "sent_at",
        "timer",
        "times_out_at",
        "write_by",
    )  # fmt: skip

    def __init__(
        self, owner: AttemptOwner, call: Call, attempt_index: int, endpoint: int, now: int, times_out_at: int
    ) -> None:
        self.owner = owner
        self.call = call
        self.attempt_index = attempt_index  # position among the attempts of the call, from 0
        self.endpoint = endpoint
        self.sent_at = now
        self.times_out_at = times_out_at
        self.write_by = times_out_at  # nothing of the request is written at this time or later
        self.is_in_flight = True  # has no outcome yet
        self.lacks_socket = (
            False  # waits because this machine can open no connection; not the endpoint's fault
        )
        self.may_retry = False  # if it fails, another attempt of its call may follow, whatever has run
        self.may_have_run = False  # was written completely, and no outcome has proven that it did not run
        self.timer: Handle | None = None

    def may_start(self, now: int) -> bool:
        """Whether the first byte of the attempt may be written at the time `now`."""
        return self.owner.may_start(self, now)

    def on_written(self) -> None:
        """The last byte of the attempt was written. Called at most once, and not after `end`."""
        self.owner.on_written(self)

    def end(self, outcome: int, answer: Answer | None = None, load: bytes = b"") -> None:
        """Report the one outcome (a constant of `laurelstep.balancing.events`), with the answer and the load
        report that came with it. Only the first call counts.
        """
        self.owner.on_ended(self, outcome, answer, load)
