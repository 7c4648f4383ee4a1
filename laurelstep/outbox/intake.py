"""Accepts writes into the outbox: write ids, dependencies, and the bounds of what is queued. Pure."""

from __future__ import annotations

from typing import Final

from laurelstep.outbox.dependencies import MAX_DEPENDENCIES, Dependencies, Dependency, merge
from laurelstep.outbox.dependency_tracker import NUMBER_BITS, NUMBER_MASK
from laurelstep.outbox.errors import (
    CycleError,
    FullError,
    FutureError,
    KeepError,
    LooseError,
)
from laurelstep.outbox.messages import (
    QueuedClass,
    WriteOffer,
    WriteTicket,
)
from laurelstep.outbox.records import (
    QueuedWrite,
    WriteEvent,
    next_state,
)
from laurelstep.outbox.transitions import TransitionTracker
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import WriteId
from laurelstep.outbox.write_table import (
    DURABLE,
    short_hash,
)

__all__ = ["RETRY_US", "WriteIntake"]

# After this time a client should retry a write that a full outbox refused.
RETRY_US: Final = 30_000_000
# Writes of other logs that own writes wait for. Bounds memory.
MAX_FOREIGN_DEPENDENCIES: Final = 10_000
# Rows visited in one search for a cycle. Bounds time.
MAX_CYCLE_SEARCH_ROWS: Final = 4_096


class WriteIntake(TransitionTracker):
    """Accepts offers, and handles each until its record is durable or could not be stored."""

    def offer(self, offer: WriteOffer, now: int, wall: int) -> WriteTicket:
        """Assign a write id to an offer, find its dependencies and count its bytes.

        `FullError`, `CauseError` or `KeepError` if the write is not queued.
        """
        cls = self.classes.get(offer.cls)
        if cls is None:
            raise KeepError(f"class {offer.cls!r} can not be queued")
        if cls.keyed and not offer.key:
            raise KeepError(f"a write of class {offer.cls!r} has no idempotency key")
        named = self.tokens.read(offer.tokens) if offer.tokens else ()
        key = short_hash(cls.name.encode(), offer.tenant.encode(), offer.key) if cls.keyed else 0
        first_packed = self._keys.get(key) if key else -1
        if first_packed >= 0:
            self._check_cycle(first_packed, named)
            return WriteTicket(
                WriteId(*self._edge_logs[first_packed >> NUMBER_BITS], first_packed & NUMBER_MASK), None, True
            )
        return self._queue_write(offer, cls, named, key, now, wall)

    def join(self, dependencies: Dependencies, now: int, wall: int) -> WriteTicket:
        """Queue a write without a body that stands for a set of dependencies too large for one token
        (causality_tokens.py, rule 1).
        """
        return self._queue_write(
            WriteOffer("", b"", (), 0, b""), QueuedClass("", False), dependencies, 0, now, wall
        )

    def _queue_write(
        self, offer: WriteOffer, cls: QueuedClass, named: Dependencies, key: int, now: int, wall: int
    ) -> WriteTicket:
        if 0 in self._fenced:
            raise KeepError("another process with a copy of this disk holds the lease on this edge's log")
        session, obj = short_hash(b"s", offer.session), short_hash(b"o", offer.obj)
        implied = [
            Dependency(*self._write_id_of(row))
            for row in (self._sessions.get(session), self._objects.get(obj))
            if row >= 0
        ]
        dependencies = self._with_undurable_dependencies(merge(named, implied))
        self._check_dependencies(dependencies)
        self._check_bounds(offer)
        self._highest_numbers[0] += 1
        write_id = WriteId(*self._edge_logs[0], self._highest_numbers[0])
        write = QueuedWrite(
            write_id,
            cls.name,
            offer.method_and_target,
            offer.headers,
            offer.size,
            offer.digest,
            cls.keyed,
            offer.key,
            offer.session,
            offer.obj,
            offer.tenant,
            dependencies,
            wall,
            cls.window_us,
            self._earlier_incarnations,
        )
        row = self._add_row(write, 0, key, session, obj, now)
        if write.cls:
            self._expiry_queue.add(self._rows.cls[row], row)
        self._undurable_dependencies[row] = dependencies
        self._link(row, dependencies)
        return WriteTicket(write_id, write)

    def _check_dependencies(self, dependencies: Dependencies) -> None:
        if len(dependencies) > MAX_DEPENDENCIES:
            raise LooseError(f"{len(dependencies)} writes before one, {MAX_DEPENDENCIES} are the most")
        edge_log, high = self._edge_logs[0], self._highest_numbers[0]
        for dependency in dependencies:
            if dependency.edge_log == edge_log and dependency.number > high:
                raise FutureError(f"{dependency.write_id} was not given out")
        if len(self._foreign) + len(dependencies) > MAX_FOREIGN_DEPENDENCIES:
            raise FullError("too many writes of other edges are waited for", RETRY_US)

    def _check_bounds(self, offer: WriteOffer) -> None:
        bounds = self.bounds
        count, size = self._usage.get(self._tenants.get(offer.tenant, -1), (0, 0))
        for name, used, limit, tenant_used in (
            ("count", self.count + 1, bounds.max_writes, count + 1),
            ("bytes", self.size + offer.size, bounds.max_bytes, size + offer.size),
        ):
            if used > limit:
                raise FullError(f"the outbox is full: its {name} limit of {limit} is reached", RETRY_US)
            if offer.cls and tenant_used > limit * bounds.tenant_share:
                raise FullError(f"tenant {offer.tenant!r} has used its share of the {name} limit", RETRY_US)

    def _check_cycle(self, first_packed: int, named: Dependencies) -> None:
        """`CycleError` if a repeat names its first request, or a follower of that, as a dependency.

        `first_packed`: the packed write id of the first request.
        """
        work = [packed for dependency in named if (packed := self._pack(dependency)) >= 0]
        if first_packed in work:
            raise CycleError("a write is said to follow itself")
        target, seen = self._open_rows.get(first_packed), set[int]()
        rows = [row for packed in work if (row := self._open_rows.get(packed)) >= 0]
        while target >= 0 and rows and len(seen) < MAX_CYCLE_SEARCH_ROWS:
            row = rows.pop()
            if row == target:
                raise CycleError(f"{self._write_id_of(target)} is said to follow a write that follows it")
            if row not in seen:
                seen.add(row)
                rows += self._graph.dependencies(row)

    def must_queue(self, tokens: str) -> bool:
        """Whether a write with these tokens depends on one that may not be applied yet. It is then
        queued even though upstream can be reached. `CauseError` if the tokens can't be used.
        """
        dependencies = self.tokens.read(tokens)
        self._check_dependencies(dependencies)
        return any(self._is_open(dependency) for dependency in dependencies)

    def has_open(self, session: bytes, obj: bytes, tenant: str) -> bool:
        """Whether an earlier write of the session or the object is still open. By rule 3 of outbox.py the
        next one depends on it, and is queued even though upstream can be reached.
        """
        rows = (
            self._sessions.get(short_hash(b"s", session)),
            self._objects.get(short_hash(b"o", tenant.encode(), obj)),
        )
        return max(rows) >= 0

    def _is_open(self, dependency: Dependency) -> bool:
        log_index = self._log_indexes.get(dependency[:2], -1)
        if log_index >= 0 and dependency.number <= self._highest_numbers[log_index]:
            if dependency.before:
                return self._barrier(log_index, self._highest_numbers[log_index]) >= 0
            packed = log_index << NUMBER_BITS | dependency.number
            return self._open_rows.get(packed) >= 0 or (
                packed in self._given_up and self.bounds.orphans == "park"
            )
        write_status = self.version_vector.write_status(dependency)
        return write_status is not WriteStatus.APPLIED and not (
            write_status is WriteStatus.ABANDONED and self.bounds.orphans == "release"
        )

    def on_stored(self, write_id: WriteId, now: int) -> None:
        """The record of the write is durable, so a receipt may be given."""
        row = self._require_row(write_id)
        self._rows.set(row, DURABLE)
        self._undurable_dependencies.pop(row, None)
        self._make_ready_if_free(row)

    def on_size_known(self, write_id: WriteId, size: int) -> None:
        """Set the size of the write's body in bytes, of which only the upper bound was known at the offer."""
        row = self._require_row(write_id)
        surplus = self._rows.size[row] - size
        self._rows.size[row] = size
        self._usage[self._rows.tenant[row]][1] -= surplus
        self.size -= surplus

    def on_store_failed(self, write_id: WriteId, now: int) -> None:
        """The record could not be stored: drop the write as if it had not been offered."""
        row = self._require_row(write_id)
        next_state(self._rows.state_of(row), WriteEvent.STORE_FAILED)
        key = self._rows.key[row]
        if key and self._keys.get(key) == self._pack(write_id):
            self._keys.drop(key)
        self._retire(row)
