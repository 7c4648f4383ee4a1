"""What a write follows. Pure.

1. A write follows a set of write ids. A write id stands for its write and for all that this one follows in
   turn; so the receipt of a client's last write is all that it needs to bring along.
2. Up to `IDS_PER_LOG` write ids of one log stand as they are. More are told as one: "all up to the newest of
   them". That is more than was named, never less.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, NamedTuple

from laurelstep.outbox.write_ids import EdgeLog, WriteId

__all__ = ["MAX_DEPENDENCIES", "Dependencies", "Dependency", "merge"]

IDS_PER_LOG: Final = 4
MAX_DEPENDENCIES: Final = 512


class Dependency(NamedTuple):
    """One write id; with `before`, all write ids of its log up to it."""

    edge: str
    incarnation: int
    number: int
    before: bool = False

    @property
    def edge_log(self) -> EdgeLog:
        """The log of the write."""
        return EdgeLog(self.edge, self.incarnation)

    @property
    def write_id(self) -> WriteId:
        """The write, without those before it."""
        return WriteId(self.edge, self.incarnation, self.number)


Dependencies = tuple[Dependency, ...]


def merge(*sets: Iterable[Dependency]) -> Dependencies:
    """One set that says what all of them say, by rule 2, sorted."""
    exact: dict[tuple[str, int], set[int]] = {}
    before: dict[tuple[str, int], int] = {}
    dependencies = {dependency for one in sets for dependency in one}
    if len(dependencies) < 2:  # as most are
        return tuple(dependencies)
    for dependency in dependencies:
        edge_log = dependency[:2]
        if dependency.before:
            before[edge_log] = max(before.get(edge_log, 0), dependency.number)
        else:
            exact.setdefault(edge_log, set()).add(dependency.number)
    found: list[Dependency] = []
    for edge_log in sorted(exact.keys() | before.keys()):
        bound = before.get(edge_log, 0)
        numbers = sorted(number for number in exact.get(edge_log, ()) if number > bound)
        if len(numbers) > IDS_PER_LOG:
            bound, numbers = numbers[-1], []
        if bound:
            found.append(Dependency(*edge_log, bound, True))
        found += [Dependency(*edge_log, number) for number in numbers]
    return tuple(found)
