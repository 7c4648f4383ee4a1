"""A request on its way: the call, its attempts and its final answer.

Rules that everything here serves:

1. A `Call` is open from the moment the engine takes it until its one final `Answer`, or
   until its client has left. It never opens again.
2. An `Attempt` is out until its one outcome. Whoever carries it asks `may_start` at the
   moment of writing and tells `end` once; what it tells later is ignored.
3. A call is forgotten when it is not open, its answer is not held, and none of its
   attempts is out.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum
from typing import Protocol

from laurelstep.engine.body_stream import BodyStream

Headers = list[tuple[bytes, bytes]]  # names in lower case


class Ending(StrEnum):
    """What a final answer says. Only a refusal promises that trying again is harmless."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class Answer:
    """A final answer, in the terms that every front can word."""

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
        self.retry_after_us = retry_after_us  # refused: when to come back; 0 = not told
        self.stream = stream  # in place of the body, where that is still coming
        self.endpoint = 0  # where it comes from; 0 where no endpoint gave it


class Frontend(Protocol):
    """Who gets the final answer of a call."""

    def on_answer(self, call: Call, answer: Answer) -> None:
        """Called once at most for a call, and never after `Engine.on_client_left`."""


class ClientConnection(Protocol):
    """The connection that a call's client waits on, where there is one to look at."""

    def has_left(self) -> bool:
        """Whether the client has closed it by now, though the event loop may not have read that yet."""


class Handle(Protocol):
    """Something that will be called, unless it is cancelled before."""

    def cancel(self) -> None:
        """It will not be called."""


class AttemptOwner(Protocol):
    """The engine, as an attempt knows it."""

    def may_start(self, attempt: Attempt, now: int) -> bool:
        """See `Attempt.may_start`."""

    def on_written(self, attempt: Attempt) -> None:
        """See `Attempt.on_written`."""

    def on_ended(self, attempt: Attempt, outcome: int, answer: Answer | None, load: bytes) -> None:
        """See `Attempt.end`."""


class Call:
    """One request, taken and not yet forgotten. Times in µs."""

    __slots__ = (
        "attempts",
        "attempts_sent",
        "body",
        "can_stream_answer",
        "causal_dependencies",
        "client_connection",
        "client_request_id",
        "deadline_timer",
        "expires_at",
        "frontend",
        "header_lines",
        "id",
        "is_answer_held",
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
        self.method_and_target = method_and_target  # method and target as they came
        self.header_lines = header_lines  # header lines to pass on
        self.body = body
        self.frontend = frontend
        self.client_connection: ClientConnection | None = None  # looked at before an attempt begins
        self.client_request_id = client_request_id  # its X-Request-Id
        self.tenant = tenant
        self.key = key  # the number of what it is about; 0 = nothing named
        self.work_us = work_us  # a hint of its cost; 0 = none given
        self.is_retry = is_retry
        self.order_id = order_id  # the header by which it names its order, where its class has one
        self.id = 0
        self.is_open = True  # no final answer yet, and its client is there
        self.attempts: list[Attempt] = []
        self.deadline_timer: Handle | None = None
        self.attempts_sent = 0  # attempts that were handed to the upstream
        self.last_instance_id = ""  # the instance id of the last of them
        self.is_recorded = False  # a recorder sees its answer before its front does
        self.is_answer_held = False  # its final answer waits for the recorder
        self.is_queued = False  # a write queue has it in hand: the module has no part in it
        self.causal_dependencies: tuple[
            bytes, ...
        ] = ()  # what it says that it follows, where its class may be kept
        self.can_stream_answer = False  # its front can pass on an answer that is still coming
        # What a copy upstream says of a kept write, beside its answer; None where no copy is asked.
        self.queued_write_fate: bytes | None = None
        self.upload: BodyStream | None = None  # in place of the body, where that is still coming
        self.time_after_upload_us = 0  # upload: the time it has from its last byte on


class Attempt:
    """One sending of a call to one endpoint."""

    __slots__ = (
        "call",
        "copy",
        "endpoint",
        "is_in_flight",
        "lacks_socket",
        "may_have_run",
        "owner",
        "sent_at",
        "timer",
        "times_out_at",
        "write_by",
    )  # fmt: skip

    def __init__(
        self, owner: AttemptOwner, call: Call, copy: int, endpoint: int, now: int, until: int
    ) -> None:
        self.owner = owner
        self.call = call
        self.copy = copy
        self.endpoint = endpoint
        self.sent_at = now
        self.times_out_at = until  # when the wait for it ends
        self.write_by = until  # none of it is written at this time or after
        self.is_in_flight = True  # no outcome yet
        self.lacks_socket = False  # it waits as this machine can open no connection: no endpoint's fault
        self.may_have_run = False  # written whole, and not proven since that it never ran
        self.timer: Handle | None = None

    def may_start(self, now: int) -> bool:
        """Whether its first byte may be written now."""
        return self.owner.may_start(self, now)

    def on_written(self) -> None:
        """Its last byte was written. Told once at most, and not after its outcome."""
        self.owner.on_written(self)

    def end(self, outcome: int, answer: Answer | None = None, load: bytes = b"") -> None:
        """Its one outcome (of `laurelstep.balancing.events`), with the load report that came along."""
        self.owner.on_ended(self, outcome, answer, load)
