"""The exchange of statuses and leases with other processes, through the version vector. Pure.

It covers writes of other logs that own writes depend on, fenced logs, and own writes that are finished.
"""

from __future__ import annotations

import msgspec

from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.dependency_tracker import NUMBER_BITS
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
    """Applies what the version vector has learned, and collects what it is to publish about own writes."""

    def on_remote_change(self, now: int) -> None:
        """The version vector has learned new statuses or leases."""
        self._replay_queue.requeue_set_aside()
        for dependency, row in list(self._foreign.items()):
            write_status = self.version_vector.write_status(dependency)
            if write_status is WriteStatus.ABANDONED:
                for follower in self._graph.followers(row):
                    self._orphan(follower)
            if write_status in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
                self._finish(row)
            elif write_status is WriteStatus.PARKED:
                self._graph.halt(row)
            else:
                self._graph.resume(row)

    def take_new_dependencies(self) -> list[Dependency]:
        """Writes of other logs that own writes have begun to wait for since the last call."""
        dependencies, self._new_foreign = self._new_foreign, []
        return dependencies

    def needs_status(self, dependency: Dependency) -> bool:
        """Whether the status is needed: an open write depends on this one, or it is an own write that is
        parked because it may have run, here or at the process that holds its log.
        """
        if dependency in self._foreign:
            return True
        row = -1 if dependency.before else self._row(dependency.write_id)
        if row < 0 or self._rows.has(row, CLOSED) or self._rows.state[row] != WriteState.PARKED:
            return False
        return self._rows.reason[row] in (ParkingReason.MAY_HAVE_RUN, ParkingReason.FENCED)

    def on_found_applied(self, write_id: WriteId, wall: int) -> Transition | None:
        """Upstream's ledger shows that the write was applied. None if that changes nothing now."""
        row = self._row(write_id)
        if row < 0 or not self.needs_status(Dependency(*write_id)) or self._rows.has(row, BUSY):
            return None
        change = self._begin_transition(row, WriteEvent.FOUND_APPLIED)
        return Transition(write_id, change.event, msgspec.structs.replace(change.state_change, wall=wall))

    def fence(self, edge_log: EdgeLog) -> None:
        """Park the log's unsent writes, because another process holds its lease."""
        log_index = self._log_indexes.get(edge_log, -1)
        if log_index >= 0 and log_index not in self._fenced:
            self._fenced.add(log_index)
            self.release_log(edge_log)
            self._to_fence.extend(self._rows_of(log_index, (WriteState.KEPT, WriteState.READY)))

    def unfence(self, edge_log: EdgeLog) -> None:
        """This process holds the lease on the log. Writes parked as fenced, also before a restart, go on."""
        log_index = self._log_indexes.get(edge_log, -1)
        if log_index >= 0:
            self._fenced.discard(log_index)
            self._to_unfence.extend(self._rows_of(log_index, (WriteState.PARKED,)))

    def _rows_of(self, log_index: int, states: tuple[WriteState, ...]) -> list[int]:
        """The rows of a log to fence or unfence. Visits all rows."""
        edge_log, fenced = self._rows.edge_log, log_index in self._fenced
        return [
            row
            for row in range(len(self._rows))
            if edge_log[row] == log_index and self._is_fenced(row, fenced, states)
        ]

    def withhold(self, write_id: WriteId) -> None:
        """Do not send the write until `release`. Called before the transition that would make it ready."""
        self._withheld.add(self._pack(write_id))

    def release(self, write_id: WriteId) -> None:
        """Undo `withhold`. The caller then calls `on_remote_change`."""
        self._withheld.discard(self._pack(write_id))

    def release_log(self, edge_log: EdgeLog) -> None:
        """Undo `withhold` for all writes of a log."""
        log_index = self._log_indexes.get(edge_log, -1)
        self._withheld = {packed for packed in self._withheld if packed >> NUMBER_BITS != log_index}

    def is_unsafe(self, write_id: WriteId) -> bool:
        """Whether the write may be sent at most once, because its class is not keyed."""
        row = self._row(write_id)
        cls = self.classes.get(self._class_names[self._rows.cls[row]]) if row >= 0 else None
        return cls is None or not cls.keyed

    def take_finished(self) -> list[tuple[WriteId, WriteStatus]]:
        """Own writes that were finished since the last call, for the version vector to publish as applied or
        abandoned. After a restart those that still have a record are returned again.
        """
        finished, self._finished = self._finished, []
        return finished

    def write_status(self, write_id: WriteId) -> WriteStatus:
        """The status of an own write that may be published. `UnknownWriteError` if it was never assigned."""
        row = self._row(write_id)
        if row >= 0:
            return WriteStatus.PARKED if self._graph.is_blocked(row) else WriteStatus.UNKNOWN
        return (
            WriteStatus.ABANDONED
            if self.receipt(write_id).state is WriteState.GIVEN_UP
            else WriteStatus.APPLIED
        )

    def low_watermark(self, edge_log: EdgeLog) -> int:
        """The number up to which all writes of an own log are finished. Writes never stored count too."""
        log_index = self._log_indexes[edge_log]
        while self._low_watermarks[log_index] < self._highest_numbers[log_index] and (
            self._open_rows.get(log_index << NUMBER_BITS | self._low_watermarks[log_index] + 1) < 0
        ):
            self._low_watermarks[log_index] += 1
        return self._low_watermarks[log_index]
