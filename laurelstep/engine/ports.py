"""The interfaces between the engine and its surroundings, each limited to what the engine needs."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from typing import Any, Protocol

from laurelstep.balancing.events import Action, Arrival, Entry, Outcome
from laurelstep.engine.call import Answer, Attempt, Call, Frontend, Handle

__all__ = [
    "CallHost",
    "Clock",
    "Decisions",
    "FilteringSource",
    "Frontend",
    "Handle",
    "Log",
    "MemberSink",
    "MemberSource",
    "Recorder",
    "Upstream",
    "WriteQueue",
]

# Writes one line to the operator's log.
Log = Callable[[str], None]


class Clock(Protocol):
    """Clocks and timers. Times in µs."""

    def now(self) -> int:
        """The monotonic time, µs."""

    def wall(self) -> int:
        """Unix time, µs. It can jump when the system's clock is set."""

    def at(self, due: int, callback: Callable[..., None], *args: Any) -> Handle:
        """Schedule a callback for the monotonic time `due`. It is never called earlier."""


class Decisions(Protocol):
    """The interface of the balancer. Each method but `count_ejected` reports an event and returns the
    actions to execute; both are defined in `laurelstep.balancing.events`. `now` is the engine's time in µs.
    """

    def start(self, now: int) -> list[Action]:
        """Called once, before any other method."""

    def members(self, now: int, mode: int, entries: Sequence[Entry]) -> list[Action]:
        """An endpoint list or a part of one has arrived; `mode` is one of the LIST_ constants."""

    def request(self, now: int, event: Arrival) -> list[Action]:
        """A request has arrived."""

    def outcome(self, now: int, event: Outcome) -> list[Action]:
        """An attempt has its one outcome."""

    def request_completed(self, now: int, request_id: int, expires_at: int) -> list[Action]:
        """The last byte of an upload was received; its request now expires at `expires_at`, µs."""

    def client_disconnected(self, now: int, request_id: int) -> list[Action]:
        """The client of a request has left. Ignored if the request is not open."""

    def timer(self, now: int, token: int) -> list[Action]:
        """A timer that the balancer requested with the action `Timer` is due."""

    def count_ejected(self, now: int) -> int:
        """How many ready endpoints are ejected as outliers and get next to no requests. Changes nothing."""


class Upstream(Protocol):
    """Sends attempts to endpoints over pooled connections."""

    @property
    def idle_us(self) -> int:
        """How long an idle connection is kept open, µs."""

    def set_address(self, endpoint: int, address: str) -> None:
        """An endpoint is new, or has a new process or address: no older connection to it is used again."""

    def remove(self, endpoint: int) -> None:
        """An endpoint is withdrawn: no idle connection to it is kept."""

    def close_idle(self, endpoint: int) -> None:
        """Close the idle connections to an endpoint. Does nothing for an unknown endpoint."""

    def send(self, attempt: Attempt) -> None:
        """Begin an attempt. `Attempt.end` is called once, possibly before this returns."""

    def cancel(self, attempt: Attempt) -> None:
        """Abandon an attempt in flight, in such a way that the endpoint notices."""


class MemberSink(Protocol):
    """Receives the endpoint lists of a `MemberSource`."""

    def on_list(self, generation: int, is_full: bool, entries: Sequence[Any]) -> None:
        """Apply a full list, or one of changes, in the format of discovery. ValueError, with nothing
        applied, if an entry is malformed.
        """

    def now(self) -> int:
        """The time on the clock of `received_at`, µs."""

    def apply_list_in_steps(self, is_full: bool, entries: list[Any], received_at: int) -> Iterator[None]:
        """Apply a long list in steps, one with each item of the iterator. `received_at`: when it was
        received, µs. ValueError, with nothing applied, if an entry is malformed; after the last item the
        whole list is applied. `entries` is emptied.
        """

    def on_list_failed(self) -> None:
        """A list that was requested did not arrive."""


class MemberSource(Protocol):
    """A source of endpoint lists."""

    def start(self, sink: MemberSink, generation: int) -> None:
        """Start to pass lists later than `generation` to the sink. Called once, by the engine's start."""

    def watch(self, is_on: bool) -> None:
        """Start or stop following changes of the list."""

    def fetch(self) -> None:
        """Request the full list once."""


class FilteringSource(MemberSource, Protocol):
    """A source that passes on the lists of another one, and may leave out or change endpoints."""

    def set_initial_list(self, generation: int, entries: Sequence[Any]) -> None:
        """Set the list that the process was started with. Called before `start`. ValueError if an entry is
        malformed.
        """


class CallHost(Protocol):
    """The part of the engine's interface that a `Recorder` or a `WriteQueue` uses."""

    def admit(self, call: Call) -> None:
        """Pass a call to the balancer. Does nothing if the call is no longer open."""

    def settle(self, call: Call, answer: Answer) -> None:
        """Give a call its final answer without the balancer. Does nothing if the call is not open."""

    def deliver(self, call: Call, answer: Answer) -> None:
        """Give a call the final answer that was passed to `Recorder.finish`, or another in its place. Only
        the first answer of a call counts.
        """


class Recorder(Protocol):
    """Stores what must be known of a request after a restart. The engine calls it at three steps."""

    def begin(self, call: Call, engine: CallHost) -> bool:
        """Called before the balancer gets a call. True if the recorder takes over the call: it then calls
        either `admit` or `settle`, now or later.
        """

    def finish(self, call: Call, answer: Answer, engine: CallHost) -> None:
        """Called before the frontend of a recorded call gets its final answer. The recorder calls `deliver`,
        now or later.
        """

    def on_client_left(self, call: Call, engine: CallHost) -> None:
        """The client of a recorded call has left before the answer."""


class WriteQueue(Protocol):
    """May store a write that can't be sent now, to replay it upstream later. The engine offers it a call
    before it refuses or fails one that can't have run, and on arrival if `must_queue` says so.
    """

    def must_queue(self, call: Call) -> bool:
        """Whether `enqueue` is called before the balancer gets the call: the edge is cut off, or the call
        depends on a queued write.
        """

    def enqueue(self, call: Call, answer: Answer | None, engine: CallHost) -> bool:
        """Offer a call. `answer`: the one that the client gets otherwise; None before the balancer gets the
        call. True if the queue takes over the call: it then calls either `settle` or `admit`, now or later.
        No endpoint has received any part of an upload that is offered; once the queue has attached to the
        upload, it calls `settle`.
        """

    def on_call_closed(self, call: Call) -> None:
        """A call that the queue has taken over is no longer open: its client left, or its time is over."""

    def on_attempt_ended(self, endpoint: int, outcome: int) -> None:
        """An attempt of any call has ended."""
