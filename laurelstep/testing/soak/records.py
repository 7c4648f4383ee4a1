"""What a run of the soak records. Times are in s of the event loop's clock."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import StrEnum


class RequestEnd(StrEnum):
    """How an exchange ended, as its client saw it."""

    ANSWERED = "answered"  # the whole final answer was read
    CUT = "cut"  # the connection ended within the answer
    LOST = "lost"  # the connection ended without an answer
    UNANSWERED = "unanswered"  # nothing came within the client's patience
    LEFT = "left"  # the client closed the connection itself


@dataclass(slots=True)
class Exchange:
    """One request of a client whose answer is checked."""

    scenario: str
    request_id: str
    is_unsafe: bool
    wait_s: float
    written_at: float = 0.0  # when its last byte was written
    ended_at: float = 0.0
    first_byte_at: float = 0.0
    status: int = 0
    end: RequestEnd = RequestEnd.UNANSWERED
    is_first: bool = False  # the first request of its connection
    must_be_served: bool = False  # the endpoint gives a sound answer in time


@dataclass(slots=True)
class MemorySample:
    """The memory of all processes of the program together, in MB, without what maps files."""

    at: float
    megabytes: float


@dataclass
class RunRecord:
    """All that one run records."""

    exchanges: list[Exchange] = field(default_factory=list)
    effects: Counter[str] = field(default_factory=Counter)  # executions by request id
    begun: set[str] = field(default_factory=set)  # ids to which an endpoint began a sound answer
    keys: Counter[str] = field(default_factory=Counter)  # executions by idempotency key, repeats dropped
    kills: list[float] = field(default_factory=list)  # SIGKILLs of a process that served
    stops: list[float] = field(default_factory=list)  # SIGTERMs
    down: list[tuple[float, float]] = field(default_factory=list)  # when no process served
    unexpected_ends: list[str] = field(default_factory=list)
    memory: list[MemorySample] = field(default_factory=list)
    latencies: list[float] = field(default_factory=list)  # of plain requests, s
    notes: list[str] = field(default_factory=list)
