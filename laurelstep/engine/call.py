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

from laurelstep.engine.flow import Flow

Headers = list[tuple[bytes, bytes]]  # names in lower case


class Ending(StrEnum):
    """What a final answer says. Only a refusal promises that trying again is harmless."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


class Answer:
    """A final answer, in the terms that every front can word."""

    __slots__ = ("body", "ending", "endpoint", "flow", "headers", "retry_after_us", "status")

    def __init__(
        self,
        ending: Ending,
        status: int,
        headers: Sequence[tuple[bytes, bytes]] = (),
        body: bytes = b"",
        retry_after_us: int = 0,
        flow: Flow | None = None,
    ) -> None:
        self.ending = ending
        self.status = status  # 200; 503 where refused; 500, 502 or 504 where failed
        self.headers = headers
        self.body = body
        self.retry_after_us = retry_after_us  # refused: when to come back; 0 = not told
        self.flow = flow  # in place of the body, where that is still coming
        self.endpoint = 0  # where it comes from; 0 where no endpoint gave it


class Front(Protocol):
    """Who gets the final answer of a call."""

    def answered(self, call: Call, answer: Answer) -> None:
        """Called once at most for a call, and never after `Engine.gone`."""


class Handle(Protocol):
    """Something that will be called, unless it is cancelled before."""

    def cancel(self) -> None: ...


class AttemptOwner(Protocol):
    """The engine, as an attempt knows it."""

    def may_start(self, attempt: Attempt, now: int) -> bool: ...

    def written(self, attempt: Attempt) -> None: ...

    def ended(self, attempt: Attempt, outcome: int, answer: Answer | None, load: bytes) -> None: ...


class Call:
    """One request, taken and not yet forgotten. Times in µs."""

    __slots__ = (
        "attempts", "body", "causes", "cls", "endpoint", "expires", "fate", "front", "head", "held", "id",
        "key", "name", "open", "order", "recorded", "repeated", "span", "start", "streams", "tenant",
        "timer", "tried", "upload", "with_keeper", "work_us",
    )  # fmt: skip

    def __init__(
        self,
        cls: int,
        expires: int,
        start: bytes,
        head: bytes,
        body: bytes,
        front: Front,
        name: bytes = b"",
        tenant: int = 0,
        key: int = 0,
        work_us: int = 0,
        repeated: bool = False,
        order: bytes = b"",
    ) -> None:
        self.cls = cls
        self.expires = expires  # on the engine's clock
        self.start = start  # method and target as they came
        self.head = head  # header lines to pass on
        self.body = body
        self.front = front
        self.name = name  # its X-Request-Id
        self.tenant = tenant
        self.key = key  # the number of what it is about; 0 = nothing named
        self.work_us = work_us  # a hint of its cost; 0 = none given
        self.repeated = repeated
        self.order = order  # the header by which it names its order, where its class has one
        self.id = 0
        self.open = True  # no final answer yet, and its client is there
        self.attempts: list[Attempt] = []
        self.timer: Handle | None = None
        self.tried = 0  # attempts that were handed to the upstream
        self.endpoint = ""  # the instance id of the last of them
        self.recorded = False  # a recorder sees its answer before its front does
        self.held = False  # its final answer waits for the recorder
        self.with_keeper = False  # a keeper has it in hand: the module has no part in it
        self.causes: tuple[bytes, ...] = ()  # what it says that it follows, where its class may be kept
        self.streams = False  # its front can pass on an answer that is still coming
        # What a copy upstream says of a kept write, beside its answer; None where no copy is asked.
        self.fate: bytes | None = None
        self.upload: Flow | None = None  # in place of the body, where that is still coming
        self.span = 0  # upload: the time it has from its last byte on


class Attempt:
    """One sending of a call to one endpoint."""

    __slots__ = (
        "call", "copy", "endpoint", "may_have_run", "out", "owner", "sent", "timer", "until", "write_by",
    )  # fmt: skip

    def __init__(
        self, owner: AttemptOwner, call: Call, copy: int, endpoint: int, now: int, until: int
    ) -> None:
        self.owner = owner
        self.call = call
        self.copy = copy
        self.endpoint = endpoint
        self.sent = now
        self.until = until  # when the wait for it ends
        self.write_by = until  # none of it is written at this time or after
        self.out = True  # no outcome yet
        self.may_have_run = False  # written whole, and not proven since that it never ran
        self.timer: Handle | None = None

    def may_start(self, now: int) -> bool:
        """Whether its first byte may be written now."""
        return self.owner.may_start(self, now)

    def written(self) -> None:
        """Its last byte was written. Told once at most, and not after its outcome."""
        self.owner.written(self)

    def end(self, outcome: int, answer: Answer | None = None, load: bytes = b"") -> None:
        """Its one outcome (of `laurelstep.interface`), with the load report that came along."""
        self.owner.ended(self, outcome, answer, load)
