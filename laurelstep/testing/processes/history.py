"""The history of several processes and their requests, as a list of events.

All times are in µs of the machine's monotonic clock. A request counts as forwarded when the relay has read it
from the process, even if a blocked relay delivers it later. `history_checks` checks a history.
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
    """A client begins to send a request to its process."""

    at_us: int
    process: int
    request: str
    effect: Effect
    key: str | None
    deadline_us: int


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """A client has read a complete final answer. `request` is the id named in the body of a served answer."""

    at_us: int
    process: int
    request: str
    status: int


@dataclass(frozen=True, slots=True)
class RequestFailed:
    """A client's connection failed or ended before the answer was complete."""

    at_us: int
    process: int
    request: str
    error: str
    is_reused_connection: bool = False  # it carried an earlier request


@dataclass(frozen=True, slots=True)
class RequestForwarded:
    """A request has left a process for an endpoint."""

    at_us: int
    process: int
    endpoint: str
    request: str


@dataclass(frozen=True, slots=True)
class RequestExecuted:
    """An endpoint has executed a request; repeats that it drops are not recorded."""

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
    """An endpoint was reported drained: requests may not be forwarded to it any more."""

    at_us: int
    endpoint: str


@dataclass(frozen=True, slots=True)
class EndpointRestored:
    """Requests may be forwarded to an endpoint again."""

    at_us: int
    endpoint: str


@dataclass(frozen=True, slots=True)
class ManagementCall:
    """The management API has answered a call that was made at `started_at_us`."""

    at_us: int
    started_at_us: int
    process: int
    request_line: str
    status: int


class ProcessPhase(StrEnum):
    """A phase in the life of a process, or a signal that the test sends to it."""

    STARTED = "started"
    READY = "ready"
    PAUSED = "paused"
    RESUMED = "resumed"
    STOPPING = "stopping"
    KILLED = "killed"
    ENDED = "ended"
    SUCCESSOR_STARTED = "successor started"
    RETIRING = "retiring"
    RETIRED = "retired"


@dataclass(frozen=True, slots=True)
class ProcessEvent:
    """A process has entered a phase. Signals other than SIGCONT are recorded just before they are sent."""

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
    """The events in the order in which they were recorded; `now_us` is the clock."""

    now_us: Callable[[], int]
    events: list[Event] = field(default_factory=list)

    def add(self, event: Event) -> None:
        """Record an event."""
        self.events.append(event)

    def add_process_event(self, process: int, phase: ProcessPhase) -> None:
        """Record that a process has entered a phase now."""
        self.add(ProcessEvent(self.now_us(), process, phase))
