"""The writes that a write depends on. Pure.

1. A write depends on a set of write ids. A write id stands for its write and for all that this write depends
   on in turn, so a client only needs to send the receipt of its last write.
2. Up to `IDS_PER_LOG` write ids of one log are listed individually. More are replaced by one dependency on
   all writes up to the newest of them, which may cover more writes than were named, never fewer.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Final, NamedTuple

from laurelstep.outbox.write_ids import EdgeLog, WriteId

__all__ = ["MAX_DEPENDENCIES", "Dependencies", "Dependency", "merge"]

IDS_PER_LOG: Final = 4
# Dependencies of one write.
MAX_DEPENDENCIES: Final = 512


class Dependency(NamedTuple):
    """A dependency on one write or, with `before`, on all writes of its log up to that one."""

    edge: str
    incarnation: int
    number: int
    before: bool = False

    @property
    def edge_log(self) -> EdgeLog:
        """The log that the write belongs to."""
        return EdgeLog(self.edge, self.incarnation)

    @property
    def write_id(self) -> WriteId:
        """The write that is named, without the writes before it."""
        return WriteId(self.edge, self.incarnation, self.number)


Dependencies = tuple[Dependency, ...]


def merge(*sets: Iterable[Dependency]) -> Dependencies:
    """The union of the sets, shortened by rule 2 and sorted."""
    exact: dict[tuple[str, int], set[int]] = {}
    up_to: dict[tuple[str, int], int] = {}
    dependencies = {dependency for dependency_set in sets for dependency in dependency_set}
    if len(dependencies) < 2:  # the usual case
        return tuple(dependencies)
    for dependency in dependencies:
        edge_log = dependency[:2]
        if dependency.before:
            up_to[edge_log] = max(up_to.get(edge_log, 0), dependency.number)
        else:
            exact.setdefault(edge_log, set()).add(dependency.number)
    merged: list[Dependency] = []
    for edge_log in sorted(exact.keys() | up_to.keys()):
        bound = up_to.get(edge_log, 0)
        numbers = sorted(number for number in exact.get(edge_log, ()) if number > bound)
        if len(numbers) > IDS_PER_LOG:
            bound, numbers = numbers[-1], []
        if bound:
            merged.append(Dependency(*edge_log, bound, True))
        merged += [Dependency(*edge_log, number) for number in numbers]
    return tuple(merged)
