"""The version vector of a copy's own outbox, where upstream's copies share: the record is read, and told
by consensus.

The rules:

1. What the record says of other logs is read as it is here. In and gone are final, so a copy that is behind
   knows less, and nothing that is false.
2. A log is replayed only while this copy knows the record, is in touch, and holds the log there. That of
   this life is its own; that of a former life is claimed first, once something of it is to be sent or told.
3. A claim names all lives that this disk has known. Each of them has a log in the store before it does
   anything, this life too; so a copy of the disk that was started apart names fewer, and is fenced.
4. What becomes of own writes is told until the record says so, in the order in which it was told here. "All
   up to a number are over" waits until those given up on its log are told: else they would be taken for in.
5. At most `SAID_MOST` are to be told; one more finds no room, and is told again later.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Hashable, Iterable
from typing import Final

import msgspec

from laurelstep.engine.ports import Clock, Handle, Log
from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.shared.entries import LedgerEntry
from laurelstep.outbox.shared.messages import LeaseRequest, LeaseStatus, StatusUpdate
from laurelstep.outbox.shared.ports import AgreedLedger, Agreement
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId

__all__ = ["ReplicatedVersionVector"]

SAID_MOST: Final = 4_096
# Entries on their way at a time, and how long each is told before it is looked at again.
OUT_MOST: Final = 16
AGREE_US: Final = 5_000_000
TURN_US: Final = 1_000_000
# Changes of the record that come together are heard of once.
SOON_US: Final = 20_000


class ReplicatedVersionVector:
    """A `VersionVector` and a `StatusPublisher`. Made before the outbox is opened; `begin` once it is."""

    def __init__(self, record: AgreedLedger, clock: Clock, log: Log) -> None:
        self.record = record
        self.clock = clock
        self.log = log
        self.sharer: Agreement | None = None
        self.life = 0
        self.changed: Callable[[], None] = lambda: None
        self.claims: dict[EdgeLog, LeaseRequest] = {}  # of all lives
        self.wanted: set[EdgeLog] = set()
        self.fenced: set[EdgeLog] = set()
        self.said: dict[Dependency, tuple[WriteId, WriteStatus]] = {}
        self.out: dict[Hashable, asyncio.Future[bool]] = {}
        self.timer: Handle | None = None
        self.soon: Handle | None = None

    def begin(
        self, sharer: Agreement, edge_log: EdgeLog, edge_logs: Iterable[EdgeLog], changed: Callable[[], None]
    ) -> None:
        """`edge_log`: of this life; `edge_logs`: all that this disk has known, durable. `changed` is
        called when the record has.
        """
        self.sharer = sharer
        self.life = edge_log.incarnation
        self.changed = changed
        known = tuple(one.incarnation for one in edge_logs if one != edge_log)
        self.claims = {one: LeaseRequest(one, self.life, known) for one in edge_logs}
        # Its own needs no claim; that another life has claimed it is to be seen.
        self.claims[edge_log] = LeaseRequest(edge_log, self.life, ())
        self.wanted.add(edge_log)
        self._turn()

    def close(self) -> None:
        """Ask and tell nothing any more."""
        for handle in (self.timer, self.soon):
            if handle is not None:
                handle.cancel()
        for future in list(self.out.values()):
            future.cancel()

    # --- VersionVector and StatusPublisher -------------------------------------------------

    def write_status(self, dependency: Dependency) -> WriteStatus:
        """What the record says of a write."""
        return self.record.write_status(dependency)

    def holds(self, edge_log: EdgeLog) -> bool:
        """This process may replay the log now."""
        self._want(edge_log)
        return self.sharer is not None and self.sharer.is_ready and self._is_mine(edge_log)

    def publish(self, write_id: WriteId, write_status: WriteStatus) -> bool:
        """What became of an own write. False if there is no room."""
        dependency = Dependency(*write_id)
        if dependency not in self.said and len(self.said) >= SAID_MOST:
            return False
        self.said.pop(dependency, None)
        self.said[dependency] = write_id, write_status
        self._want(write_id.edge_log)
        return True

    def publish_low_watermark(self, edge_log: EdgeLog, number: int) -> bool:
        """All of an own log up to a number are over."""
        self.said[Dependency(*edge_log, 0, True)] = WriteId(*edge_log, number), WriteStatus.APPLIED
        self._want(edge_log)
        return True

    def is_unpublished(self, write_id: WriteId) -> bool:
        """What was told of an own write is not in the record yet."""
        return Dependency(*write_id) in self.said

    def force(self, edge_log: EdgeLog) -> bool:
        """An operator says that this disk is the right one. False if it holds the log; KeyError if it never
        knew it.
        """
        claim = self.claims[edge_log]
        if self._is_mine(edge_log):
            return False
        self.claims[edge_log] = msgspec.structs.replace(claim, force=True)
        self.fenced.discard(edge_log)
        self._want(edge_log)
        self.heard()
        return True

    def _want(self, edge_log: EdgeLog) -> None:
        if edge_log not in self.wanted:
            self.wanted.add(edge_log)
            if self.sharer is not None:
                self.heard()

    def _is_mine(self, edge_log: EdgeLog) -> bool:
        return self.record.holder(edge_log) == self.life

    # --- Turns --------------------------------------------------------------------------

    def heard(self) -> None:
        """The record has changed, or how it is in touch."""
        if self.soon is None:
            self.soon = self.clock.at(self.clock.now() + SOON_US, self._check_endpoints)

    def _check_endpoints(self) -> None:
        self.soon = None
        self._turn()
        self.changed()

    def _turn(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
        self.timer = self.clock.at(self.clock.now() + TURN_US, self._turn)
        if self.sharer is None or not self.sharer.is_ready:
            return
        for edge_log in sorted(self.wanted & self.claims.keys()):
            self._claim(edge_log, self.claims[edge_log])
        waiting = {
            dependency.edge_log
            for dependency, (_, write_status) in self.said.items()
            if write_status is WriteStatus.ABANDONED
        }
        for dependency in list(self.said):
            if not (dependency.before and dependency.edge_log in waiting):
                self._say(dependency)

    def _claim(self, edge_log: EdgeLog, claim: LeaseRequest) -> None:
        became = self.record.lease_status(claim)
        if became is LeaseStatus.HELD and claim.force:  # an operator's word counts once
            self.claims[edge_log] = msgspec.structs.replace(claim, force=False)
        if became is LeaseStatus.FENCED and edge_log not in self.fenced:
            self.fenced.add(edge_log)
            name = f"{edge_log.edge}/{edge_log.incarnation:016x}"
            self.log(
                f"outbox: {name}: fenced: another process with a copy of this "
                "disk replays it, or it is lost; stop one of the two"
            )
        entry = self.record.lease_entry(claim)
        if entry is not None:
            self._agree(edge_log, entry, lambda: self.record.lease_status(claim) is not LeaseStatus.OPEN)

    def _say(self, dependency: Dependency) -> None:
        if not self._is_mine(dependency.edge_log):
            if dependency.edge_log in self.fenced:
                del self.said[dependency]  # nobody would believe it
            return
        write_id, write_status = self.said[dependency]
        told = StatusUpdate(write_id, write_status, self.life, dependency.before)
        entry = self.record.status_entry(told)
        if entry is None:
            del self.said[dependency]
        else:
            self._agree(dependency, entry, lambda: self.record.agrees_with(told))

    def _agree(self, key: Hashable, entry: LedgerEntry, done: Callable[[], bool]) -> None:
        if key in self.out or len(self.out) >= OUT_MOST or self.sharer is None:
            return
        future = self.out[key] = self.sharer.agree(entry, done, self.clock.now() + AGREE_US)
        future.add_done_callback(lambda _: self._agreed(key))

    def _agreed(self, key: Hashable) -> None:
        del self.out[key]
        if self.timer is not None:
            self.heard()
