"""What happened to several processes and their requests, as a list of events.

Times are in µs, all on the one monotonic clock of the machine. A request counts as forwarded when the
relay has read it from its process: one that a blocked relay delivers late was forwarded before.
`history_checks` holds a history against its rules.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import StrEnum
from typing import Literal

Effect = Literal["safe", "keyed", "unsafe"]


# --- Events -----------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestStarted:
    """A client begins a request at its process."""

    at_us: int
    process: int
    request: str
    effect: Effect
    key: str | None
    deadline_us: int


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """A client has read a complete final answer. `request` is the one that a served answer names."""

    at_us: int
    process: int
    request: str
    status: int


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """A client's connection ended, or did not come up, before there was an answer."""

    at_us: int
    process: int
    request: str
    error: str
    is_reused_connection: bool = False  # the connection had carried another request before


@dataclass(frozen=True, slots=True)
class RequestForwarded:
    """A request has left a process for an endpoint."""

    at_us: int
    process: int
    endpoint: str
    request: str


@dataclass(frozen=True, slots=True)
class RequestExecuted:
    """An endpoint executed a request; a repeat that it dropped is no such event."""

    at_us: int
    endpoint: str
    request: str


@dataclass(frozen=True, slots=True)
class EndpointUpdateRead:
    """A process has read an endpoint's lifecycle that was pushed to it at `pushed_at_us`."""

    at_us: int
    pushed_at_us: int
    process: int
    endpoint: str
    lifecycle: str


@dataclass(frozen=True, slots=True)
class EndpointDrained:
    """Somebody was told that an endpoint is drained: nothing may be forwarded there any more."""

    at_us: int
    endpoint: str


@dataclass(frozen=True, slots=True)
class EndpointRestored:
    """Requests may be forwarded to the endpoint again."""

    at_us: int
    endpoint: str


@dataclass(frozen=True, slots=True)
class ManagementCall:
    """The management address has answered a call that was made at `started_at_us`."""

    at_us: int
    started_at_us: int
    process: int
    request_line: str
    status: int


class ProcessPhase(StrEnum):
    """What a process does, or what the test has done to it."""

    STARTED = "started"
    READY = "ready"
    PAUSED = "paused"
    RESUMED = "resumed"
    STOPPING = "told to stop"
    KILLED = "killed"
    ENDED = "ended"
    SUCCESSOR_STARTED = "followed by a next version"
    RETIRING = "told to stop, for the next version serves"
    RETIRED = "ended, for the next version serves"


@dataclass(frozen=True, slots=True)
class ProcessEvent:
    """A process has entered a phase. What the test does to it is recorded just before it does so."""

    at_us: int
    process: int
    phase: ProcessPhase


Event = (
    RequestStarted
    | ResponseReceived
    | RequestFailed
    | RequestForwarded
    | RequestExecuted
    | EndpointUpdateRead
    | EndpointDrained
    | EndpointRestored
    | ManagementCall
    | ProcessEvent
)


@dataclass
class History:
    """Events in the order in which they were recorded; `now_us` is the clock."""

    now_us: Callable[[], int]
    events: list[Event] = field(default_factory=list)

    def add(self, event: Event) -> None:
        """Record one event."""
        self.events.append(event)

    def add_process_event(self, process: int, phase: ProcessPhase) -> None:
        """Record that a process has entered a phase now."""
        self.add(ProcessEvent(self.now_us(), process, phase))
