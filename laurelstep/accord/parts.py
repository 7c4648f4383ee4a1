"""Several parts of one process on one node: each gets its own words, and all hear of changes. Pure.

1. A word's first byte names its part, as an entry's does its machine (`laurelstep.accord.machines`). A word
   for no part here is counted and does nothing.
2. A change is told to each part, in the order in which they came.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final, Protocol

__all__ = ["Accord", "Agreement", "Part", "Parts"]


class Agreement(Protocol):
    """What copies share, as whoever only brings entries to agreement needs it."""

    # Called on the leader with each word: peer, incarnation, data.
    heard: Callable[[int, int, bytes], None]
    # Called after entries were applied, and when it is known, led or in touch otherwise.
    on_change: Callable[[], None]

    @property
    def era(self) -> object: ...
    @property
    def leading(self) -> bool: ...
    @property
    def leader(self) -> int | None: ...
    @property
    def known(self) -> bool: ...
    @property
    def in_touch(self) -> bool: ...

    def propose(self, data: bytes) -> None:
        """NotLeadingError, BusyError."""

    def word(self, data: bytes) -> None:
        """To whoever leads, also if that is this process; it may be lost. BusyError."""


class Accord(Agreement, Protocol):
    """The same with who is who: a node (`laurelstep.accord.node`), or a part of one."""

    @property
    def me(self) -> int: ...
    @property
    def peers(self) -> int: ...
    @property
    def incarnation(self) -> int: ...

    def status(self) -> dict[str, Any]: ...


def _nothing(*args: Any) -> None: ...


class Part:
    """The node as one part has it: all is the node's, but the two calls are the part's own."""

    def __init__(self, whole: Accord) -> None:
        self._whole: Final = whole
        self.heard: Callable[[int, int, bytes], None] = _nothing
        self.on_change: Callable[[], None] = _nothing

    @property
    def me(self) -> int:
        return self._whole.me

    @property
    def peers(self) -> int:
        return self._whole.peers

    @property
    def incarnation(self) -> int:
        return self._whole.incarnation

    @property
    def era(self) -> object:
        return self._whole.era

    @property
    def leading(self) -> bool:
        return self._whole.leading

    @property
    def leader(self) -> int | None:
        return self._whole.leader

    @property
    def known(self) -> bool:
        return self._whole.known

    @property
    def in_touch(self) -> bool:
        return self._whole.in_touch

    def propose(self, data: bytes) -> None:
        self._whole.propose(data)

    def word(self, data: bytes) -> None:
        self._whole.word(data)

    def status(self) -> dict[str, Any]:
        return self._whole.status()


class Parts:
    """See the rules. Takes the node's `heard` and `on_change`."""

    def __init__(self, whole: Accord) -> None:
        self._whole = whole
        self._parts: dict[int, Part] = {}
        self.ignored = 0
        whole.heard = self._hear
        whole.on_change = self._change

    def part(self, kind: bytes) -> Part:
        """The one of this byte; made when it is first asked for."""
        return self._parts.setdefault(kind[0], Part(self._whole))

    def _hear(self, peer: int, incarnation: int, data: bytes) -> None:
        part = self._parts.get(data[0]) if data else None
        if part is None:
            self.ignored += 1
        else:
            part.heard(peer, incarnation, data)

    def _change(self) -> None:
        for part in tuple(self._parts.values()):
            part.on_change()
