"""A request on its way: the call, its attempts and its final answer.

Rules that everything here serves:

1. A `Call` is open from the moment the engine takes it until its one final `Answer`, or
   until its client has left. It never opens again.
2. An `Attempt` is out until its one outcome. Whoever carries it asks `may_start` at the
   moment of writing and tells `end` once; what it tells later is ignored.
3. A call is forgotten when it is not open and none of its attempts is out.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Protocol

Headers = list[tuple[bytes, bytes]]  # names in lower case


class Ending(StrEnum):
    """What a final answer says. Only a refusal promises that trying again is harmless."""

    SERVED = "served"
    REFUSED = "refused"
    FAILED = "failed"


@dataclass(slots=True)
class Answer:
    """A final answer, in the terms that every front can word."""

    ending: Ending
    status: int  # 200; 503 where refused; 500, 502 or 504 where failed
    headers: Sequence[tuple[bytes, bytes]] = ()
    body: bytes = b""
    retry_after_us: int = 0  # refused: when to come back; 0 = not told


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

    def ended(self, attempt: Attempt, outcome: int, answer: Answer | None, load: bytes) -> None: ...


@dataclass(slots=True, eq=False)
class Call:
    """One request, taken and not yet forgotten. Times in µs."""

    cls: int
    expires: int  # on the engine's clock
    start: bytes  # method and target as they came
    head: bytes  # header lines to pass on
    body: bytes
    front: Front
    name: bytes = b""  # its X-Request-Id
    tenant: int = 0
    key: int = 0  # the number of what it is about; 0 = nothing named
    work_us: int = 0  # a hint of its cost; 0 = none given
    repeated: bool = False
    order: bytes = b""  # the header by which it names its order, where its class has one
    id: int = 0
    open: bool = True  # no final answer yet, and its client is there
    attempts: list[Attempt] = field(default_factory=list)
    timer: Handle | None = None
    tried: int = 0  # attempts that were handed to the upstream
    endpoint: str = ""  # the instance id of the last of them
    recorded: bool = False  # a recorder sees its answer before its front does
    held: bool = False  # its final answer waits for the recorder


class Attempt:
    """One sending of a call to one endpoint."""

    __slots__ = ("call", "copy", "endpoint", "out", "owner", "sent", "timer", "until")

    def __init__(
        self, owner: AttemptOwner, call: Call, copy: int, endpoint: int, now: int, until: int
    ) -> None:
        self.owner = owner
        self.call = call
        self.copy = copy
        self.endpoint = endpoint
        self.sent = now
        self.until = until  # when the wait for it ends
        self.out = True  # no outcome yet
        self.timer: Handle | None = None

    def may_start(self, now: int) -> bool:
        """Whether its first byte may be written now."""
        return self.owner.may_start(self, now)

    def end(self, outcome: int, answer: Answer | None = None, load: bytes = b"") -> None:
        """Its one outcome (of `woadyard.interface`), with the load report that came along."""
        self.owner.ended(self, outcome, answer, load)
