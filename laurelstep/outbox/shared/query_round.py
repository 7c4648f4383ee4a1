"""The rounds in which an edge asks copies upstream, and what an answer brought. Pure."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Final, Generic, TypeVar

from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.shared.messages import (
    QUERIED_MOST,
)
from laurelstep.outbox.write_ids import EdgeLog, WriteId

__all__ = [
    "KNOWN_MOST", "LEAST_US", "MOST_US", "ROUND_MOST", "QueryBackoff", "QueryOutcome", "QueryRound",
    "bounded", ]  # fmt: skip

# The shortest and the longest pause between rounds.
LEAST_US: Final = 1_000_000
MOST_US: Final = 8_000_000
# Queries without a pause between them, if nothing in them is new.
ROUND_MOST: Final = 16

# Holders that one claim names: the first two, the log's own life and the last known to have held it, and the
# last that asked.
KNOWN_MOST: Final = 16

_K = TypeVar("_K", Dependency, EdgeLog)


def bounded(incarnations: Sequence[int]) -> Sequence[int]:
    """The holders that one request may name."""
    return (
        incarnations
        if len(incarnations) <= KNOWN_MOST
        else (*incarnations[:2], *incarnations[2 - KNOWN_MOST :])
    )


class QueryRound(Generic[_K]):
    """What is to be asked, each in its turn, what is new before all others."""

    def __init__(self) -> None:
        self.new: OrderedDict[_K, None] = OrderedDict()
        self._old: OrderedDict[_K, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self.new) + len(self._old)

    def add(self, one: _K, urgent: bool = True) -> None:
        """It is to be asked; `urgent` ones before all others."""
        if urgent:
            self._old.pop(one, None)
            self.new[one] = None
        elif one not in self.new:
            self._old[one] = None

    def drop(self, one: _K) -> None:
        """It is not to be asked any more."""
        self.new.pop(one, None)
        self._old.pop(one, None)

    def take(self, wanted: Callable[[_K], bool]) -> list[_K]:
        """At most `QUERIED_MOST`, each once; they stay, behind all others. What is not wanted goes."""
        found: list[_K] = []
        looked = min(len(self), 4 * QUERIED_MOST)
        while len(found) < QUERIED_MOST and looked:
            looked -= 1
            one, _ = (self.new or self._old).popitem(last=False)
            if wanted(one):
                found.append(one)
        for one in found:
            self._old[one] = None
        return found


@dataclass
class QueryOutcome:
    """What an answer changed. `own_applied`: own ones of which the record says that they are in."""

    changed: bool = False  # something that `Outbox.heard` is to hear of
    held: list[EdgeLog] = field(default_factory=list)
    fenced: list[EdgeLog] = field(default_factory=list)
    own_applied: list[WriteId] = field(default_factory=list)
    withdrawn: list[WriteId] = field(default_factory=list)


class QueryBackoff:
    """The pause between rounds: doubled while nothing changes, drawn between half and all of it. Times in
    µs.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._pause_us = LEAST_US
        self.next_at = 0

    def begin(self, now: int) -> None:
        """A pause from now on; the next one is twice as long."""
        self.next_at = now + self._pause_us // 2 + self._random.randrange(self._pause_us // 2)
        self._pause_us = min(MOST_US, 2 * self._pause_us)

    def shorten(self) -> None:
        """Something has changed: the next pause is the shortest."""
        self._pause_us = LEAST_US

    def end(self, now: int) -> None:
        """The link is back: a query may go at once."""
        self.shorten()
        self.next_at = now
