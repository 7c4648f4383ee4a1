"""What an outbox takes: numbers, dependencies, and the bounds of what is kept. Pure."""

from __future__ import annotations

from typing import Final

from laurelstep.outbox.dependencies import MAX_DEPENDENCIES, Dependencies, Dependency, merge
from laurelstep.outbox.dependency_tracker import NUMBER_MASK, NUMBERS
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

# When a client should come again to an outbox that is full.
RETRY_US: Final = 30_000_000
# Writes of other logs that ours follow, and dependencies looked through for a cycle: guard memory and time.
FOREIGN_MOST: Final = 10_000
CYCLE_SEARCH_MOST: Final = 4_096


class WriteIntake(TransitionTracker):
    """Offers, until their record is durable or can't be."""

    def offer(self, offer: WriteOffer, now: int, wall: int) -> WriteTicket:
        """A number for it, its causes found and its bytes counted; see the errors in the head."""
        cls = self.classes.get(offer.cls)
        if cls is None:
            raise KeepError(f"class {offer.cls!r} is not kept")
        if cls.keyed and not offer.key:
            raise KeepError(f"a write of class {offer.cls!r} came without its key")
        named = self.tokens.read(offer.tokens) if offer.tokens else ()
        key = short_hash(cls.name.encode(), offer.tenant.encode(), offer.key) if cls.keyed else 0
        known = self._keys.get(key) if key else -1
        if known >= 0:
            self._check_circle(known, named)
            return WriteTicket(WriteId(*self._edge_logs[known >> NUMBERS], known & NUMBER_MASK), None, True)
        return self._keep(offer, cls, named, key, now, wall)

    def join(self, dependencies: Dependencies, now: int, wall: int) -> WriteTicket:
        """A name for a set that no token tells (causality_tokens.py, rule 1): kept as any write, without a
        body.
        """
        return self._keep(WriteOffer("", b"", (), 0, b""), QueuedClass("", False), dependencies, 0, now, wall)

    def _keep(
        self, offer: WriteOffer, cls: QueuedClass, named: Dependencies, key: int, now: int, wall: int
    ) -> WriteTicket:
        if 0 in self._fenced:
            raise KeepError("another process with a copy of this disk has this edge's line")
        session, obj = short_hash(b"s", offer.session), short_hash(b"o", offer.obj)
        by_rule = [
            Dependency(*self._write_id_of(row))
            for row in (self._sessions.get(session), self._objects.get(obj))
            if row >= 0
        ]
        dependencies = self._through(merge(named, by_rule))
        self._check(dependencies)
        self._check_bounds(offer)
        self._high[0] += 1
        write_id = WriteId(*self._edge_logs[0], self._high[0])
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
            self._life,
        )
        row = self._enter(write, 0, key, session, obj, now)
        if write.cls:
            self._ages.add(self._rows.cls[row], row)
        self._unsure[row] = dependencies
        self._link(row, dependencies)
        return WriteTicket(write_id, write)

    def _check(self, dependencies: Dependencies) -> None:
        if len(dependencies) > MAX_DEPENDENCIES:
            raise LooseError(f"{len(dependencies)} writes before one, {MAX_DEPENDENCIES} are the most")
        edge_log, high = self._edge_logs[0], self._high[0]
        for dependency in dependencies:
            if dependency.edge_log == edge_log and dependency.number > high:
                raise FutureError(f"{dependency.write_id} was not given out")
        if len(self._foreign) + len(dependencies) > FOREIGN_MOST:
            raise FullError("too many writes of other edges are waited for", RETRY_US)

    def _check_bounds(self, offer: WriteOffer) -> None:
        bounds = self.bounds
        count, size = self._usage.get(self._tenants.get(offer.tenant, -1), (0, 0))
        for name, used, most, share in (
            ("count", self.count + 1, bounds.max_writes, count + 1),
            ("bytes", self.size + offer.size, bounds.max_bytes, size + offer.size),
        ):
            if used > most:
                raise FullError(f"the outbox is full: its {name} limit of {most} is reached", RETRY_US)
            if offer.cls and share > most * bounds.tenant_share:
                raise FullError(f"tenant {offer.tenant!r} has used its share of the {name} limit", RETRY_US)

    def _check_circle(self, known: int, named: Dependencies) -> None:
        """A repeat names its first try, or what follows that."""
        work = [packed for dependency in named if (packed := self._pack(dependency)) >= 0]
        if known in work:
            raise CycleError("a write is said to follow itself")
        target, seen = self._open.get(known), set[int]()
        rows = [row for packed in work if (row := self._open.get(packed)) >= 0]
        while target >= 0 and rows and len(seen) < CYCLE_SEARCH_MOST:
            row = rows.pop()
            if row == target:
                raise CycleError(f"{self._write_id_of(target)} is said to follow a write that follows it")
            if row not in seen:
                seen.add(row)
                rows += self._graph.dependencies(row)

    def must_queue(self, named: str) -> bool:
        """A write that names these tokens follows one that may not be in yet: it is kept although the link
        is well. `CauseError`.
        """
        dependencies = self.tokens.read(named)
        self._check(dependencies)
        return any(self._is_open(dependency) for dependency in dependencies)

    def has_open(self, session: bytes, obj: bytes, tenant: str) -> bool:
        """An earlier write of the session or the object is still open: by rule 3 the next one follows it,
        and is kept although the link is well.
        """
        own = (
            self._sessions.get(short_hash(b"s", session)),
            self._objects.get(short_hash(b"o", tenant.encode(), obj)),
        )
        return max(own) >= 0

    def _is_open(self, dependency: Dependency) -> bool:
        place = self._log_indexes.get(dependency[:2], -1)
        if place >= 0 and dependency.number <= self._high[place]:
            if dependency.before:
                return self._barrier(place, self._high[place]) >= 0
            packed = place << NUMBERS | dependency.number
            return self._open.get(packed) >= 0 or (packed in self._given_up and self.bounds.orphans == "park")
        write_status = self.version_vector.write_status(dependency)
        return write_status is not WriteStatus.APPLIED and not (
            write_status is WriteStatus.ABANDONED and self.bounds.orphans == "release"
        )

    def on_stored(self, write_id: WriteId, now: int) -> None:
        """Its record is durable: it counts, and may be told."""
        row = self._require_row(write_id)
        self._rows.set(row, DURABLE)
        self._unsure.pop(row, None)
        self._wake(row)

    def on_size_known(self, write_id: WriteId, size: int) -> None:
        """What its body has, of which only the most was known when it was offered."""
        row = self._require_row(write_id)
        less = self._rows.size[row] - size
        self._rows.size[row] = size
        self._usage[self._rows.tenant[row]][1] -= less
        self.size -= less

    def on_store_failed(self, write_id: WriteId, now: int) -> None:
        """Its record could not be made durable: as if it had not been offered."""
        row = self._require_row(write_id)
        next_state(self._rows.state_of(row), WriteEvent.STORE_FAILED)
        key = self._rows.key[row]
        if key and self._keys.get(key) == self._pack(write_id):
            self._keys.drop(key)
        self._retire(row)
