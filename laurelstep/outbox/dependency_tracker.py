"""The open queued writes and their dependencies: the base of the classes that form `Outbox`. Pure.

1. An own write has a row until it is finished, which means that it is final and all its dependencies are
   finished.
2. A write of another log has a row while an own write depends on it. A barrier has a row while it blocks a
   write.
3. An own write id is packed into one integer: the index of its log, then its number. A number that was
   assigned and has no row is finished.
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

__all__ = ["NUMBER_BITS", "NUMBER_MASK", "DependencyTracker"]

NUMBER_BITS: Final = 48  # bits of a number in a packed write id; the index of its log is above them
NUMBER_MASK: Final = (1 << NUMBER_BITS) - 1


class DependencyTracker:
    """The rows, their write ids, and the graph. `edge_log`: the log of this incarnation. `classes`: the
    classes whose writes may be queued.
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
        self._class_names = ["", *classes]  # the first is for joins
        self._class_indexes = {name: index for index, name in enumerate(self._class_names)}
        # Own logs, their indexes, and the highest number known of each.
        self._edge_logs = [edge_log]
        self._log_indexes: dict[tuple[str, int], int] = {edge_log: 0}
        self._highest_numbers = [0]
        self._graph = DependencyGraph()
        self._rows = WriteTable()
        self._replay_queue = ReplayQueue()
        self._expiry_queue = ExpiryQueue(len(self._class_names))
        # Expired rows that are not parked yet; their number is bounded.
        self._expired_rows: deque[int] = deque()
        self._open_rows = PagedIntegerMap()  # rows of writes that are not finished, by packed own write id
        self._keys = IntegerMap(True)  # packed own write id by hash of the key
        self._sessions = IntegerMap()  # row of the session's last write, by hash of the session
        self._objects = IntegerMap()  # row of the object's last write, by hash of the object
        self._foreign: dict[Dependency, int] = {}
        self._foreign_dependencies: dict[int, Dependency] = {}
        self._barriers: dict[int, tuple[int, int]] = {}  # by log index: last number covered, and its row
        self._undurable_dependencies: dict[int, Dependencies] = {}  # of rows whose record is not durable
        self._new_foreign: list[Dependency] = []  # since the last `take_new_dependencies`
        self._create_queues()
        self._create_usage_counts()

    def _create_queues(self) -> None:
        """Create the queues of due transitions and the sets of final writes."""
        self._withheld: set[int] = set()  # packed own write ids that must not be sent yet
        self._fenced: set[int] = set()  # indexes of logs that another process holds
        self._to_fence: deque[int] = deque()  # rows of these logs, to be parked
        self._to_unfence: deque[int] = deque()  # rows parked as fenced whose log this process holds again
        self._joins: deque[int] = deque()
        self._orphans: deque[int] = deque()
        # Final writes whose receipts are kept: packed write id, when the receipt expires, hash of the key.
        self._closed: deque[tuple[int, int, int]] = deque()
        self._given_up: set[int] = set()
        self._finished: list[tuple[WriteId, WriteStatus]] = []
        self._low_watermarks: list[int] = [0]  # of each log: all writes up to it are finished
        self._resolutions: dict[int, tuple[int, Resolution, int]] = {}  # parking, resolution, unix µs
        # Rows that are not parked as orphans, because an operator resolved that they go on without the
        # dependency that was given up.
        self._orphan_exempt: set[int] = set()
        self._earlier_incarnations = 0

    def _create_usage_counts(self) -> None:
        """Create the counts of queued writes and bytes, in total and by tenant."""
        self._tenants: dict[str, int] = {}
        self._tenant_names: dict[int, str] = {}
        self._usage: dict[int, list[int]] = {}  # by tenant index: count, bytes
        self._tenant_next = 0
        self.count = 0
        self.size = 0

    # Write ids and rows.

    def _pack(self, write_id: Dependency | WriteId) -> int:
        """Pack an own write id into one integer; -1 if its log is not known here."""
        log_index = self._log_indexes.get(write_id[:2], -1)
        return log_index if log_index < 0 else log_index << NUMBER_BITS | write_id.number

    def _write_id_of(self, row: int) -> WriteId:
        if self._rows.has(row, FOREIGN):
            return self._foreign_dependencies[row].write_id
        return WriteId(*self._edge_logs[self._rows.edge_log[row]], self._rows.number[row])

    def _row(self, write_id: WriteId) -> int:
        """The row of a write that is in the graph, or -1."""
        packed = self._pack(write_id)
        return -1 if packed < 0 else self._open_rows.get(packed)

    def _require_row(self, write_id: WriteId) -> int:
        row = self._row(write_id)
        if row < 0 or self._rows.has(row, CLOSED):
            raise UnknownWriteError(f"{write_id} is not open here")
        return row

    def _with_undurable_dependencies(self, dependencies: Dependencies) -> Dependencies:
        """Add the dependencies of those writes that are not durable yet. They may never become durable, and a
        restart still has to find what they depended on.
        """
        rows = [self._row(dependency.write_id) for dependency in dependencies]
        more = [self._undurable_dependencies[row] for row in rows if row in self._undurable_dependencies]
        return merge(dependencies, *more) if more else dependencies

    def _add_row(
        self, write: QueuedWrite, edge_log: int, key: int, session: int, obj: int, since: int
    ) -> int:
        """Add a row for a write and count it. Its dependencies are linked later.

        `key`, `session`, `obj`: hashes, 0 for none. `since`: when age and window began, monotonic µs.
        """
        row = self._graph.add()
        rows = self._rows
        rows.clear(row, 0 if write.cls else JOIN)
        rows.cls[row] = self._class_indexes.get(write.cls, 0) if write.cls else 0
        rows.edge_log[row], rows.number[row], rows.since[row] = edge_log, write.write_id.number, since
        rows.key[row], rows.session[row], rows.obj[row] = key, session, obj
        rows.size[row] = write.size
        packed = edge_log << NUMBER_BITS | write.write_id.number
        self._open_rows.put(packed, row)
        for index, name_hash, value in (
            (self._keys, key, packed),
            (self._sessions, session, row),
            (self._objects, obj, row),
        ):
            if name_hash:
                index.put(name_hash, value)
        self._count(row, write.tenant)
        return row

    def _count(self, row: int, tenant: str) -> None:
        tenant_index = self._tenants.get(tenant)
        if tenant_index is None:
            tenant_index = self._tenants[tenant] = self._tenant_next
            self._tenant_next += 1
            self._usage[tenant_index] = [0, 0]
            self._tenant_names[tenant_index] = tenant
        usage = self._usage[tenant_index]
        usage[0] += 1
        usage[1] += self._rows.size[row]
        self._rows.tenant[row] = tenant_index
        self.count += 1
        self.size += self._rows.size[row]

    def _uncount(self, row: int) -> None:
        tenant_index, size = self._rows.tenant[row], self._rows.size[row]
        usage = self._usage[tenant_index]
        usage[0] -= 1
        usage[1] -= size
        self.count -= 1
        self.size -= size
        if not usage[0]:
            del self._usage[tenant_index]
            del self._tenants[self._tenant_names.pop(tenant_index)]

    # Dependencies.

    def _link(
        self, row: int, dependencies: Dependencies, barriers: Mapping[tuple[int, int], int] | None = None
    ) -> None:
        """Link a row to its dependencies, each once. `barriers`: those made by `restore`, by log index and
        number.
        """
        nodes: set[int] = set()
        for dependency in dependencies:
            log_index = self._log_indexes.get(dependency[:2], -1)
            if log_index < 0 or dependency.number > self._highest_numbers[log_index]:
                nodes.add(self._foreign_row(row, dependency))
            elif dependency.before and barriers is not None:
                nodes.add(barriers[log_index, dependency.number])
            elif dependency.before:
                nodes.add(self._barrier(log_index, self._highest_numbers[log_index] - (log_index == 0)))
            else:
                packed = log_index << NUMBER_BITS | dependency.number
                nodes.add(self._open_rows.get(packed))
                if packed in self._given_up:
                    self._orphan(row)
        for node in nodes - {-1, row}:
            self._graph.link(node, row)

    def _foreign_row(self, row: int, dependency: Dependency) -> int:
        """The row of a write of another log that `row` depends on; -1 if it need not wait for it. If the
        write was abandoned, `row` is marked as an orphan.
        """
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
        self._foreign[dependency], self._foreign_dependencies[node] = node, dependency
        self._new_foreign.append(dependency)
        if write_status is WriteStatus.PARKED:
            self._graph.halt(node)
        return node

    def _barrier(self, log_index: int, upto: int) -> int:
        """The row of a barrier for all writes of a log up to `upto`, or to a later number. It finishes when
        they have. -1 if all these writes are finished.

        Each barrier depends on the one before it, so that all barriers together need one arrow for each
        write.
        """
        last, previous = self._barriers.get(log_index, (0, -1))
        if last >= upto:
            return previous
        open_rows = {
            self._open_rows.get(log_index << NUMBER_BITS | number) for number in range(last + 1, upto + 1)
        }
        nodes = (open_rows | {previous}) - {-1}
        if not nodes:
            self._barriers[log_index] = (upto, -1)
            return -1
        barrier = self._graph.add()
        self._rows.clear(barrier, BARRIER)
        self._rows.edge_log[barrier] = log_index
        for node in nodes:
            self._graph.link(node, barrier)
        self._barriers[log_index] = (upto, barrier)
        return barrier

    def _orphan(self, row: int) -> None:
        """Mark a row as an orphan to be parked, because a write that it depends on was given up or lost."""
        if self.bounds.orphans == "release" or self._rows.has(row, ORPHAN) or row in self._orphan_exempt:
            return
        if self._rows.has(row, BARRIER):
            for follower in self._graph.followers(row):
                self._orphan(follower)
        elif self._rows.state[row] == WriteState.KEPT and not self._rows.has(row, CLOSED):
            self._rows.set(row, ORPHAN)
            self._graph.halt(row)
            self._orphans.append(row)

    def _make_ready_if_free(self, row: int) -> None:
        """Make a row READY if it is durable and free."""
        rows = self._rows
        if (
            rows.state[row] == WriteState.KEPT
            and rows.flags[row] & (DURABLE | ORPHAN | BUSY | CLOSED) == DURABLE
            and self._graph.is_free(row)
        ):
            rows.state[row] = next_state(WriteState.KEPT, WriteEvent.DEPENDENCIES_FINAL)
            if rows.has(row, JOIN):
                self._joins.append(row)
            else:
                self._replay_queue.add(row)

    def _finish(self, row: int) -> None:
        """Remove a free row, and the barriers and closed rows that become free by this."""
        work = [row]
        while work:
            row = work.pop()
            freed = self._graph.finish(row)
            self._remove(row)
            for follower in freed:
                if self._rows.flags[follower] & (BARRIER | CLOSED):
                    work.append(follower)
                else:
                    self._make_ready_if_free(follower)

    def _remove(self, row: int) -> None:
        rows = self._rows
        if rows.has(row, FOREIGN):
            del self._foreign[self._foreign_dependencies.pop(row)]
        elif rows.has(row, BARRIER):
            log_index = rows.edge_log[row]
            upto, last = self._barriers[log_index]
            if last == row:
                self._barriers[log_index] = (upto, -1)
        else:
            packed = rows.edge_log[row] << NUMBER_BITS | rows.number[row]
            self._undurable_dependencies.pop(row, None)
            self._orphan_exempt.discard(row)
            self._withheld.discard(packed)
            self._finished.append(
                (
                    self._write_id_of(row),
                    WriteStatus.ABANDONED if packed in self._given_up else WriteStatus.APPLIED,
                )
            )
            self._open_rows.drop(packed)
            for index, name_hash in ((self._sessions, rows.session[row]), (self._objects, rows.obj[row])):
                if name_hash and index.get(name_hash) == row:
                    index.drop(name_hash)
        rows.clear(row, CLOSED)
