"""What other processes know and are to know of writes and logs. Pure.

Writes of other logs that ours depend on, logs that are fenced, and own writes that are over.
"""

from __future__ import annotations

import msgspec

from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.dependency_tracker import NUMBERS
from laurelstep.outbox.messages import (
    Transition,
)
from laurelstep.outbox.receipt_log import ReceiptLog
from laurelstep.outbox.records import (
    ParkingReason,
    WriteEvent,
    WriteState,
)
from laurelstep.outbox.replay_schedule import ReplaySchedule
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId
from laurelstep.outbox.write_table import (
    BUSY,
    CLOSED,
)

__all__ = ["RemoteLogs"]


class RemoteLogs(ReplaySchedule, ReceiptLog):
    """The outbox's side of the version vector."""

    def on_remote_change(self, now: int) -> None:
        """The version vector has learned something."""
        self._turns.requeue_set_aside()
        for dependency, row in list(self._foreign.items()):
            write_status = self.version_vector.write_status(dependency)
            if write_status is WriteStatus.ABANDONED:
                for follower in self._graph.followers(row):
                    self._orphan(follower)
            if write_status in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
                self._over(row)
            elif write_status is WriteStatus.PARKED:
                self._graph.halt(row)
            else:
                self._graph.resume(row)

    def take_new_dependencies(self) -> list[Dependency]:
        """Writes of other logs that are waited for since the last call."""
        found, self._followed = self._followed, []
        return found

    def needs_status(self, dependency: Dependency) -> bool:
        """Whether its fate is of use: an open write follows it, or it is an own one that is parked as it may
        have run, here or at the process that has its log.
        """
        if dependency in self._foreign:
            return True
        row = -1 if dependency.before else self._row(dependency.write_id)
        if row < 0 or self._rows.has(row, CLOSED) or self._rows.state[row] != WriteState.PARKED:
            return False
        return self._rows.reason[row] in (ParkingReason.MAY_HAVE_RUN, ParkingReason.FENCED)

    def on_found_applied(self, write_id: WriteId, wall: int) -> Transition | None:
        """The record says that it is in: None if that changes nothing now."""
        row = self._row(write_id)
        if row < 0 or not self.needs_status(Dependency(*write_id)) or self._rows.has(row, BUSY):
            return None
        change = self._change(row, WriteEvent.FOUND_APPLIED)
        return Transition(write_id, change.event, msgspec.structs.replace(change.state_change, wall=wall))

    def fence(self, edge_log: EdgeLog) -> None:
        """Another process has this log."""
        place = self._log_indexes.get(edge_log, -1)
        if place >= 0 and place not in self._fenced:
            self._fenced.add(place)
            self.release_log(edge_log)
            self._to_fence.extend(self._rows_of(place, (WriteState.KEPT, WriteState.READY)))

    def unfence(self, edge_log: EdgeLog) -> None:
        """This process has it; so what was parked as it had not goes on, also from before a restart."""
        place = self._log_indexes.get(edge_log, -1)
        if place >= 0:
            self._fenced.discard(place)
            self._to_claim.extend(self._rows_of(place, (WriteState.PARKED,)))

    def _rows_of(self, place: int, states: tuple[WriteState, ...]) -> list[int]:
        """Looks at all rows."""
        edge_log, fenced = self._rows.edge_log, place in self._fenced
        return [
            row
            for row in range(len(self._rows))
            if edge_log[row] == place and self._is_fenced(row, fenced, states)
        ]

    def withhold(self, write_id: WriteId) -> None:
        """It is not sent until `release`. Called before the step that would bring it its turn."""
        self._withheld.add(self._pack(write_id))

    def release(self, write_id: WriteId) -> None:
        """`heard` is to follow."""
        self._withheld.discard(self._pack(write_id))

    def release_log(self, edge_log: EdgeLog) -> None:
        """`release` for all writes of a log."""
        place = self._log_indexes.get(edge_log, -1)
        self._withheld = {packed for packed in self._withheld if packed >> NUMBERS != place}

    def is_unsafe(self, write_id: WriteId) -> bool:
        """It may be sent once, ever."""
        row = self._row(write_id)
        cls = self.classes.get(self._names[self._rows.cls[row]]) if row >= 0 else None
        return cls is None or not cls.keyed

    def take_finished(self) -> list[tuple[WriteId, WriteStatus]]:
        """Own writes, since the last call, that are over with all that they follow: what the version
        vector may tell others as in or gone. After a restart those that still have a record are named
        again.
        """
        told, self._finished = self._finished, []
        return told

    def write_status(self, write_id: WriteId) -> WriteStatus:
        """What the version vector may tell others of an own write. `UnknownWriteError`."""
        row = self._row(write_id)
        if row >= 0:
            return WriteStatus.PARKED if self._graph.is_blocked(row) else WriteStatus.UNKNOWN
        return (
            WriteStatus.ABANDONED
            if self.receipt(write_id).state is WriteState.GIVEN_UP
            else WriteStatus.APPLIED
        )

    def low_watermark(self, edge_log: EdgeLog) -> int:
        """Up to which number all of an own log are over, those that were never kept among them."""
        place = self._log_indexes[edge_log]
        while self._low[place] < self._high[place] and (
            self._open.get(place << NUMBERS | self._low[place] + 1) < 0
        ):
            self._low[place] += 1
        return self._low[place]
