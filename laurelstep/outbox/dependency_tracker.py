"""Which queued writes there are, and what each waits for. Pure; `outbox` keeps, replays and tells on it.

1. A row stands for an own write until that is over: final, and all that it follows over too.
2. A write of another log has a row while one of ours follows it; a barrier while it holds one up.
3. A name of an own write is one integer here: its log's place in the list of logs, then its number. What
   has a number that was given out and no row is over.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping
from typing import Final

from laurelstep.outbox.causality_tokens import CausalityTokens
from laurelstep.outbox.dependencies import Dependencies, Dependency, merge
from laurelstep.outbox.dependency_graph import DependencyGraph
from laurelstep.outbox.errors import (
    UnknownWriteError,
)
from laurelstep.outbox.expiry_queue import ExpiryQueue
from laurelstep.outbox.messages import OutboxBounds, QueuedClass
from laurelstep.outbox.records import QueuedWrite, Resolution, WriteEvent, WriteState, next_state
from laurelstep.outbox.replay_queue import ReplayPacer, ReplayQueue
from laurelstep.outbox.version_vector import VersionVector, WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId
from laurelstep.outbox.write_table import (
    BARRIER,
    BUSY,
    CLOSED,
    DURABLE,
    FOREIGN,
    JOIN,
    ORPHAN,
    IntegerMap,
    PagedIntegerMap,
    WriteTable,
)

__all__ = ["NUMBERS", "NUMBER_MASK", "DependencyTracker"]

NUMBERS: Final = 48  # bits of a number, beside its log's place
NUMBER_MASK: Final = (1 << NUMBERS) - 1


class DependencyTracker:
    """The rows, their names, and the graph. `edge_log`: this life's name; `classes`: those that may be
    kept.
    """

    def __init__(
        self,
        edge_log: EdgeLog,
        classes: Mapping[str, QueuedClass],
        bounds: OutboxBounds,
        tokens: CausalityTokens,
        version_vector: VersionVector,
    ) -> None:
        self.bounds = bounds
        self.tokens = tokens
        self.version_vector = version_vector
        self.classes = dict(classes)
        self.pace = ReplayPacer(bounds.replay_most, bounds.hold_us)
        self._names = ["", *classes]  # the first is a join's
        self._places = {name: place for place, name in enumerate(self._names)}
        # Own logs, and the highest number known of each.
        self._edge_logs = [edge_log]
        self._log_indexes: dict[tuple[str, int], int] = {edge_log: 0}
        self._high = [0]
        self._graph = DependencyGraph()
        self._rows = WriteTable()
        self._turns = ReplayQueue()
        self._ages = ExpiryQueue(len(self._names))
        self._late: deque[int] = deque()  # over their time, and not parked yet: no more than can be told soon
        self._open = PagedIntegerMap()  # row of an own write id
        self._keys = IntegerMap(True)  # own write id of a key
        self._sessions = IntegerMap()  # row of the last write
        self._objects = IntegerMap()
        self._foreign: dict[Dependency, int] = {}
        self._foreign_of: dict[int, Dependency] = {}
        self._barriers: dict[int, tuple[int, int]] = {}  # by log's place: up to which number, and its row
        self._unsure: dict[int, Dependencies] = {}  # of rows whose record is not on the disk
        self._followed: list[Dependency] = []  # foreign ones, since the last `take_new_dependencies`
        self._begin_queues()
        self._begin_usage()

    def _begin_queues(self) -> None:
        """What is to be done, and what is over."""
        self._withheld: set[int] = set()  # own write ids that are not to be sent yet
        self._fenced: set[int] = set()  # places of logs that are another process's
        self._to_fence: deque[int] = deque()  # rows of those, to be parked
        self._to_claim: deque[int] = deque()  # rows parked so whose log is ours again
        self._joins: deque[int] = deque()
        self._orphans: deque[int] = deque()
        # Final ones whose receipts are kept: own write id, when that is over, key.
        self._closed: deque[tuple[int, int, int]] = deque()
        self._given_up: set[int] = set()
        self._finished: list[tuple[WriteId, WriteStatus]] = []
        self._low: list[int] = [0]  # of each log: all up to it are over
        self._resolutions: dict[int, tuple[int, Resolution, int]] = {}  # parking, resolution, unix time
        # Rows that are not to be parked for a cause that is gone: an operator said to go on without it.
        self._excused: set[int] = set()
        self._life = 0

    def _begin_usage(self) -> None:
        """What is kept, in all and by tenant."""
        self._tenants: dict[str, int] = {}
        self._tenant_names: dict[int, str] = {}
        self._usage: dict[int, list[int]] = {}  # by tenant's place: count, bytes
        self._tenant_next = 0
        self.count = 0
        self.size = 0

    # Names

    def _pack(self, write_id: Dependency | WriteId) -> int:
        """An own write id as one integer; -1 if it is of no log known here."""
        place = self._log_indexes.get(write_id[:2], -1)
        return place if place < 0 else place << NUMBERS | write_id.number

    def _write_id_of(self, row: int) -> WriteId:
        if self._rows.has(row, FOREIGN):
            return self._foreign_of[row].write_id
        return WriteId(*self._edge_logs[self._rows.edge_log[row]], self._rows.number[row])

    def _row(self, write_id: WriteId) -> int:
        """Of a write that is in the graph, or -1."""
        packed = self._pack(write_id)
        return -1 if packed < 0 else self._open.get(packed)

    def _require_row(self, write_id: WriteId) -> int:
        row = self._row(write_id)
        if row < 0 or self._rows.has(row, CLOSED):
            raise UnknownWriteError(f"{write_id} is not open here")
        return row

    def _through(self, dependencies: Dependencies) -> Dependencies:
        """With the causes of those that are not durable yet, and may never be: a restart must find them."""
        rows = [self._row(dependency.write_id) for dependency in dependencies]
        more = [self._unsure[row] for row in rows if row in self._unsure]
        return merge(dependencies, *more) if more else dependencies

    def _enter(self, write: QueuedWrite, edge_log: int, key: int, session: int, obj: int, since: int) -> int:
        """A row for it, counted, without causes yet."""
        row = self._graph.add()
        rows = self._rows
        rows.clear(row, 0 if write.cls else JOIN)
        rows.cls[row] = self._places.get(write.cls, 0) if write.cls else 0
        rows.edge_log[row], rows.number[row], rows.since[row] = edge_log, write.write_id.number, since
        rows.key[row], rows.session[row], rows.obj[row] = key, session, obj
        rows.size[row] = write.size
        packed = edge_log << NUMBERS | write.write_id.number
        self._open.put(packed, row)
        for places, name, value in (
            (self._keys, key, packed),
            (self._sessions, session, row),
            (self._objects, obj, row),
        ):
            if name:
                places.put(name, value)
        self._count(row, write.tenant)
        return row

    def _count(self, row: int, tenant: str) -> None:
        place = self._tenants.get(tenant)
        if place is None:
            place = self._tenants[tenant] = self._tenant_next
            self._tenant_next += 1
            self._usage[place] = [0, 0]
            self._tenant_names[place] = tenant
        usage = self._usage[place]
        usage[0] += 1
        usage[1] += self._rows.size[row]
        self._rows.tenant[row] = place
        self.count += 1
        self.size += self._rows.size[row]

    def _uncount(self, row: int) -> None:
        place, size = self._rows.tenant[row], self._rows.size[row]
        usage = self._usage[place]
        usage[0] -= 1
        usage[1] -= size
        self.count -= 1
        self.size -= size
        if not usage[0]:
            del self._usage[place]
            del self._tenants[self._tenant_names.pop(place)]

    # What waits for what

    def _link(
        self, row: int, dependencies: Dependencies, barriers: Mapping[tuple[int, int], int] | None = None
    ) -> None:
        """Its arrows, each once. `barriers`: those of a restart, by log's place and number."""
        found: set[int] = set()
        for dependency in dependencies:
            place = self._log_indexes.get(dependency[:2], -1)
            if place < 0 or dependency.number > self._high[place]:
                found.add(self._follow_foreign(row, dependency))
            elif dependency.before and barriers is not None:
                found.add(barriers[place, dependency.number])
            elif dependency.before:
                found.add(self._barrier(place, self._high[place] - (place == 0)))
            else:
                packed = place << NUMBERS | dependency.number
                found.add(self._open.get(packed))
                if packed in self._given_up:
                    self._orphan(row)
        for node in found - {-1, row}:
            self._graph.link(node, row)

    def _follow_foreign(self, row: int, dependency: Dependency) -> int:
        """The row of a write of another log, or -1 if it need not be waited for."""
        node = self._foreign.get(dependency, -1)
        if node >= 0:
            return node
        write_status = self.version_vector.write_status(dependency)
        if write_status is WriteStatus.ABANDONED:
            self._orphan(row)
        if write_status in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
            return -1
        node = self._graph.add()
        self._rows.clear(node, FOREIGN)
        self._foreign[dependency], self._foreign_of[node] = node, dependency
        self._followed.append(dependency)
        if write_status is WriteStatus.PARKED:
            self._graph.halt(node)
        return node

    def _barrier(self, place: int, upto: int) -> int:
        """A row that is over when all of a log up to a number are, or a later one; each made on the one
        before it, so that all of them together have one arrow for each write. -1 if all are over.
        """
        last, before = self._barriers.get(place, (0, -1))
        if last >= upto:
            return before
        open_rows = {self._open.get(place << NUMBERS | number) for number in range(last + 1, upto + 1)}
        nodes = (open_rows | {before}) - {-1}
        if not nodes:
            self._barriers[place] = (upto, -1)
            return -1
        barrier = self._graph.add()
        self._rows.clear(barrier, BARRIER)
        self._rows.edge_log[barrier] = place
        for node in nodes:
            self._graph.link(node, barrier)
        self._barriers[place] = (upto, barrier)
        return barrier

    def _orphan(self, row: int) -> None:
        """It follows what is given up or lost."""
        if self.bounds.orphans == "release" or self._rows.has(row, ORPHAN) or row in self._excused:
            return
        if self._rows.has(row, BARRIER):
            for follower in self._graph.followers(row):
                self._orphan(follower)
        elif self._rows.state[row] == WriteState.KEPT and not self._rows.has(row, CLOSED):
            self._rows.set(row, ORPHAN)
            self._graph.halt(row)
            self._orphans.append(row)

    def _wake(self, row: int) -> None:
        """It may be its turn."""
        rows = self._rows
        if (
            rows.state[row] == WriteState.KEPT
            and rows.flags[row] & (DURABLE | ORPHAN | BUSY | CLOSED) == DURABLE
            and self._graph.free(row)
        ):
            rows.state[row] = next_state(WriteState.KEPT, WriteEvent.DEPENDENCIES_FINAL)
            if rows.has(row, JOIN):
                self._joins.append(row)
            else:
                self._turns.add(row)

    def _over(self, row: int) -> None:
        """A free row is done with, and so are those without a state of their own that it frees."""
        work = [row]
        while work:
            row = work.pop()
            freed = self._graph.over(row)
            self._leave(row)
            for follower in freed:
                if self._rows.flags[follower] & (BARRIER | CLOSED):
                    work.append(follower)
                else:
                    self._wake(follower)

    def _leave(self, row: int) -> None:
        rows = self._rows
        if rows.has(row, FOREIGN):
            del self._foreign[self._foreign_of.pop(row)]
        elif rows.has(row, BARRIER):
            place = rows.edge_log[row]
            upto, last = self._barriers[place]
            if last == row:
                self._barriers[place] = (upto, -1)
        else:
            packed = rows.edge_log[row] << NUMBERS | rows.number[row]
            self._unsure.pop(row, None)
            self._excused.discard(row)
            self._withheld.discard(packed)
            self._finished.append(
                (
                    self._write_id_of(row),
                    WriteStatus.ABANDONED if packed in self._given_up else WriteStatus.APPLIED,
                )
            )
            self._open.drop(packed)
            for places, name in ((self._sessions, rows.session[row]), (self._objects, rows.obj[row])):
                if name and places.get(name) == row:
                    places.drop(name)
        rows.clear(row, CLOSED)
