"""The order and the pace of an edge's queries to copies upstream, and what a reply changed. Pure."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from random import Random
from typing import Final, Generic, TypeVar

from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.shared.messages import (
    MAX_QUERY_ITEMS,
)
from laurelstep.outbox.write_ids import EdgeLog, WriteId

__all__ = [
    "MAX_KNOWN_HOLDERS", "MAX_PAUSE_US", "MAX_ROUND_QUERIES", "MIN_PAUSE_US", "QueryBackoff", "QueryOutcome",
    "QueryRound", "bounded_holders", ]  # fmt: skip

# The shortest and the longest pause between rounds.
MIN_PAUSE_US: Final = 1_000_000
MAX_PAUSE_US: Final = 8_000_000
# Queries in one round, sent without a pause, where no item is urgent.
MAX_ROUND_QUERIES: Final = 16
# Holders that one lease request names: the first two, which are the log's own incarnation and the last known
# holder, and the latest incarnations that asked for the lease.
MAX_KNOWN_HOLDERS: Final = 16

_Item = TypeVar("_Item", Dependency, EdgeLog)


def bounded_holders(incarnations: Sequence[int]) -> Sequence[int]:
    """Shorten a list of holders to at most `MAX_KNOWN_HOLDERS`: the first two and the latest."""
    return (
        incarnations
        if len(incarnations) <= MAX_KNOWN_HOLDERS
        else (*incarnations[:2], *incarnations[2 - MAX_KNOWN_HOLDERS :])
    )


class QueryRound(Generic[_Item]):
    """The items to put into queries, in rotation. Urgent ones come before all others."""

    def __init__(self) -> None:
        self.urgent: OrderedDict[_Item, None] = OrderedDict()
        self._routine: OrderedDict[_Item, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self.urgent) + len(self._routine)

    def add(self, item: _Item, is_urgent: bool = True) -> None:
        """Queue an item; an urgent one goes before all that are not."""
        if is_urgent:
            self._routine.pop(item, None)
            self.urgent[item] = None
        elif item not in self.urgent:
            self._routine[item] = None

    def drop(self, item: _Item) -> None:
        """Remove an item from the rotation."""
        self.urgent.pop(item, None)
        self._routine.pop(item, None)

    def take(self, is_wanted: Callable[[_Item], bool]) -> list[_Item]:
        """Take up to `MAX_QUERY_ITEMS` items for a query, each at most once. They go to the end of the
        rotation. Items that `is_wanted` rejects are removed.
        """
        taken: list[_Item] = []
        remaining = min(len(self), 4 * MAX_QUERY_ITEMS)
        while len(taken) < MAX_QUERY_ITEMS and remaining:
            remaining -= 1
            item, _ = (self.urgent or self._routine).popitem(last=False)
            if is_wanted(item):
                taken.append(item)
        for item in taken:
            self._routine[item] = None
        return taken


@dataclass
class QueryOutcome:
    """What a reply changed. `own_applied`: this edge's own writes that the ledger shows as applied."""

    has_changes: bool = False  # `Outbox.on_remote_change` is to be called
    held_logs: list[EdgeLog] = field(default_factory=list)
    fenced_logs: list[EdgeLog] = field(default_factory=list)
    own_applied: list[WriteId] = field(default_factory=list)
    withdrawn_intents: list[WriteId] = field(default_factory=list)


class QueryBackoff:
    """The pause between rounds of queries. It doubles while nothing changes; each pause is drawn at random
    between half and all of that. Times in µs.
    """

    def __init__(self, random: Random) -> None:
        self._random = random
        self._pause_us = MIN_PAUSE_US
        self.next_query_at = 0

    def start_pause(self, now: int) -> None:
        """Start a pause at `now`; the next one is twice as long, up to `MAX_PAUSE_US`."""
        self.next_query_at = now + self._pause_us // 2 + self._random.randrange(self._pause_us // 2)
        self._pause_us = min(MAX_PAUSE_US, 2 * self._pause_us)

    def reset(self) -> None:
        """Make the next pause the shortest, because something has changed."""
        self._pause_us = MIN_PAUSE_US

    def end_pause(self, now: int) -> None:
        """End the pause, because the link is back: the next query may be sent at once."""
        self.reset()
        self.next_query_at = now
