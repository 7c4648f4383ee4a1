"""The sides of the engine, each as narrow as the engine needs it."""

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

# Takes one line for the operator.
Log = Callable[[str], None]


class Clock(Protocol):
    """Time in µs that never goes back, and calls at a time."""

    def now(self) -> int:
        """The monotonic time."""

    def wall(self) -> int:
        """Unix time in µs, which may be set."""

    def at(self, due: int, callback: Callable[..., None], *args: Any) -> Handle:
        """Call at `due` or after, never before."""


class Decisions(Protocol):
    """The decision module, as the engine calls it: `laurelstep.balancing.events` has the terms."""

    def start(self, now: int) -> list[Action]:
        """Before anything else; `now` is the engine's time in us, here and below."""

    def members(self, now: int, mode: int, entries: Sequence[Entry]) -> list[Action]:
        """A list of endpoints, or a part of one, by `mode`."""

    def request(self, now: int, event: Arrival) -> list[Action]:
        """A request has arrived."""

    def outcome(self, now: int, event: Outcome) -> list[Action]:
        """An attempt has its one outcome."""

    def request_completed(self, now: int, request_id: int, expires_at: int) -> list[Action]:
        """The last byte of a request that is forwarded while it is received has come."""

    def client_disconnected(self, now: int, request_id: int) -> list[Action]:
        """The client of a request has left; one that is not open is ignored."""

    def timer(self, now: int, token: int) -> list[Action]:
        """A timer that it asked for is due."""

    def count_ejected(self, now: int) -> int:
        """How many endpoints that are ready get next to nothing now. Changes nothing."""


class Upstream(Protocol):
    """Carries attempts to endpoints."""

    @property
    def idle_us(self) -> int:
        """How long it keeps a connection at rest."""

    def set_address(self, endpoint: int, address: str) -> None:
        """A new process or address: nothing of the old one is used again."""

    def remove(self, endpoint: int) -> None:
        """It has left: no connection to it is kept."""

    def close_idle(self, endpoint: int) -> None:
        """Close the connections that rest at an endpoint."""

    def send(self, attempt: Attempt) -> None:
        """Start it. `Attempt.end` is called once, possibly before this returns."""

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for it, in such a way that the endpoint notices."""


class MemberSink(Protocol):
    """Takes what a source of members has to tell."""

    def on_list(self, version: int, whole: bool, entries: Sequence[Any]) -> None:
        """A whole list, or changes, in discovery's form; ValueError, with nothing of it
        taken, if it is bad.
        """

    def now(self) -> int:
        """The time on the clock of `told_at`, µs."""

    def apply_list_in_steps(self, whole: bool, entries: list[Any], told_at: int) -> Iterator[None]:
        """The same for a long list, one step with each item. ValueError comes, as there,
        with nothing taken; after the last item all of it is. `entries` is used up.
        """

    def on_list_failed(self) -> None:
        """What was asked for did not come."""


class MemberSource(Protocol):
    """Where lists of endpoints come from."""

    def start(self, sink: MemberSink, generation: int) -> None:
        """Begin to tell, after the given version. Called once, by the engine's start."""

    def watch(self, on: bool) -> None:
        """Follow changes from now on, or no longer."""

    def fetch(self) -> None:
        """Bring the whole list once."""


class FilteringSource(MemberSource, Protocol):
    """A source that stands between another one and the engine, and may hold members back."""

    def set_initial_list(self, generation: int, entries: Sequence[Any]) -> None:
        """The list that the process was started with, before `start`. ValueError if it can't be read."""


class CallHost(Protocol):
    """The engine, as a recorder knows it."""

    def admit(self, call: Call) -> None:
        """The module is told of it now. Nothing happens if it is no longer open."""

    def settle(self, call: Call, answer: Answer) -> None:
        """Its final answer, of which the module hears nothing."""

    def deliver(self, call: Call, answer: Answer) -> None:
        """The final answer that was handed to `Recorder.finish` leaves, or another in its
        place. Only the first for a call counts.
        """


class Recorder(Protocol):
    """Keeps what must be known of a request after a restart. Joins at three steps."""

    def begin(self, call: Call, engine: CallHost) -> bool:
        """Before the module is told. True if it is recorded: then one of `admit` and `settle`
        is called for it, now or later.
        """

    def finish(self, call: Call, answer: Answer, engine: CallHost) -> None:
        """Before the final answer of a recorded call leaves: `deliver` is called, now or later."""

    def on_client_left(self, call: Call, engine: CallHost) -> None:
        """The client of a recorded call left."""


class WriteQueue(Protocol):
    """May keep a write that can't be sent now, and bring it upstream later. Asked at one step: before
    a refusal or a failure leaves whose request can't have run, and as a request is taken that
    `must_queue` to it.
    """

    def must_queue(self, call: Call) -> bool:
        """Whether `enqueue` is asked before the module is told: the edge is cut off, or the call follows
        what is kept.
        """

    def enqueue(self, call: Call, answer: Answer | None, engine: CallHost) -> bool:
        """`answer`: what it would get now; None where the module was not told of it yet. True if it is
        in hand: one of `settle` and `admit` is then called for it, now or later. Of an upload no
        endpoint had anything: the queue attaches to it, and after that calls `settle`.
        """

    def on_call_closed(self, call: Call) -> None:
        """A call that is in hand is not open any more: its client left, or its time is over."""

    def on_attempt_ended(self, endpoint: int, outcome: int) -> None:
        """How an attempt at any endpoint ended."""
