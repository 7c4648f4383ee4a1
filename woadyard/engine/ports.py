"""The sides of the engine, each as narrow as the engine needs it."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Protocol

from woadyard.engine.call import Attempt, Front, Handle

__all__ = ["Clock", "Front", "Handle", "Log", "MemberSink", "MemberSource", "Upstream"]

# Takes one line for the operator.
Log = Callable[[str], None]


class Clock(Protocol):
    """Time in µs that never goes back, and calls at a time."""

    def now(self) -> int: ...

    def wall(self) -> int:
        """Unix time in µs, which may be set."""

    def at(self, due: int, callback: Callable[..., None], *args: Any) -> Handle:
        """Call at `due` or after, never before."""


class Upstream(Protocol):
    """Carries attempts to endpoints."""

    @property
    def idle_us(self) -> int:
        """How long it keeps a connection at rest."""

    def place(self, endpoint: int, host: str, port: int) -> None:
        """A new process or address: nothing of the old one is used again."""

    def remove(self, endpoint: int) -> None: ...

    def free(self, endpoint: int) -> None:
        """Close the connections that rest at an endpoint."""

    def send(self, attempt: Attempt) -> None:
        """Start it. `Attempt.end` is called once, possibly before this returns."""

    def cancel(self, attempt: Attempt) -> None:
        """Stop waiting for it, in such a way that the endpoint notices."""


class MemberSink(Protocol):
    """Takes what a source of members has to tell."""

    def listed(self, version: int, whole: bool, entries: Sequence[Any]) -> None:
        """A whole list, or changes, in discovery's form; ValueError, with nothing of it
        taken, if it is bad."""

    def list_failed(self) -> None:
        """What was asked for did not come."""


class MemberSource(Protocol):
    """Where lists of endpoints come from."""

    def start(self, sink: MemberSink, generation: int) -> None:
        """Begin to tell, after the given version. Called once, by the engine's start."""

    def watch(self, on: bool) -> None: ...

    def fetch(self) -> None: ...
