"""Finds the transitions that are due: writes to send, to expire, to park as orphans or as fenced. Pure."""

from __future__ import annotations

from laurelstep.outbox.dependency_tracker import NUMBER_BITS
from laurelstep.outbox.messages import (
    Transition,
)
from laurelstep.outbox.records import (
    ParkingReason,
    WriteEvent,
    WriteState,
)
from laurelstep.outbox.transitions import MAX_TRANSITIONS_PER_CALL, TransitionTracker
from laurelstep.outbox.write_table import (
    BARRIER,
    BUSY,
    CLOSED,
    DURABLE,
    FOREIGN,
    JOIN,
    ORPHAN,
)

__all__ = ["ReplaySchedule"]


class ReplaySchedule(TransitionTracker):
    """The transitions that are due."""

    def due(self, now: int) -> list[Transition]:
        """The transitions to take next. The caller applies each, and sends the write of a `SEND`. Called
        after events and each second.
        """
        return [
            *self._due_orphans(),
            *self._due_joins(),
            *self._due_fences(),
            *self._due_expiries(now),
            *self._due_sends(now),
        ]

    def _due_orphans(self) -> list[Transition]:
        changes: list[Transition] = []
        while self._orphans and len(changes) < MAX_TRANSITIONS_PER_CALL:
            row = self._orphans.popleft()
            if (
                self._rows.state[row] != WriteState.KEPT
                or self._rows.flags[row] & (ORPHAN | CLOSED) != ORPHAN
            ):
                continue
            if self._rows.has(row, DURABLE) and not self._rows.has(row, BUSY):
                changes.append(self._begin_transition(row, WriteEvent.ORPHANED, ParkingReason.ORPHANED))
            else:
                self._orphans.append(row)
                break
        return changes

    def _due_joins(self) -> list[Transition]:
        count = min(MAX_TRANSITIONS_PER_CALL, len(self._joins))
        rows = [self._joins.popleft() for _ in range(count)]
        return [self._begin_transition(row, WriteEvent.JOINED) for row in rows if self._is_ready(row)]

    def _due_fences(self) -> list[Transition]:
        """Rows to park because another process holds their log, and rows to unpark again."""
        changes: list[Transition] = []
        for rows, states, event, reason in (
            (self._to_fence, (WriteState.KEPT, WriteState.READY), WriteEvent.FENCED, ParkingReason.FENCED),
            (self._to_unfence, (WriteState.PARKED,), WriteEvent.UNFENCED, ParkingReason.NONE),
        ):
            for _ in range(min(MAX_TRANSITIONS_PER_CALL, len(rows))):
                row = rows.popleft()
                if not self._is_fenced(row, event is WriteEvent.FENCED, states):
                    continue
                if self._rows.flags[row] & (BUSY | DURABLE) == DURABLE:
                    changes.append(self._begin_transition(row, event, reason))
                else:
                    rows.append(row)
        return changes

    def _is_fenced(self, row: int, fenced: bool, states: tuple[WriteState, ...]) -> bool:
        """Whether the row is still to be parked as fenced, or to be unparked if `fenced` is false. A queue
        may hold a row whose state has changed since.
        """
        rows = self._rows
        if rows.flags[row] & (FOREIGN | BARRIER | JOIN | CLOSED) or rows.state_of(row) not in states:
            return False
        return (rows.edge_log[row] in self._fenced) is fenced and (
            fenced or rows.reason[row] == ParkingReason.FENCED
        )

    def _due_expiries(self, now: int) -> list[Transition]:
        """Rows that are too old or past their window. Busy rows and rows in flight are checked again."""
        for cls in range(len(self._class_names)):
            while (
                len(self._expired_rows) < MAX_TRANSITIONS_PER_CALL
                and (row := self._expiry_queue.first(cls)) >= 0
                and self._expiry_reason(row, now)
            ):
                self._expiry_queue.drop(cls, row)
                self._expired_rows.append(row)
        changes: list[Transition] = []
        rows = self._rows
        for _ in range(len(self._expired_rows)):
            row = self._expired_rows.popleft()
            flags, state = rows.flags[row], rows.state[row]
            if flags & (FOREIGN | BARRIER | JOIN | CLOSED | ORPHAN) or not self._expiry_reason(row, now):
                continue  # finished, reused, or to be parked as an orphan
            if state in (WriteState.KEPT, WriteState.READY) and flags & (BUSY | DURABLE) == DURABLE:
                changes.append(self._begin_transition(row, WriteEvent.EXPIRED, self._expiry_reason(row, now)))
            if state != WriteState.PARKED:
                self._expired_rows.append(row)
        return changes

    def _due_sends(self, now: int) -> list[Transition]:
        changes: list[Transition] = []
        while len(self._replay_queue) and self.pace.may_send(now):
            row = self._replay_queue.next()
            if not self._is_ready(row):
                continue
            if reason := self._expiry_reason(row, now):
                changes.append(self._begin_transition(row, WriteEvent.EXPIRED, reason))
            elif self._rows.edge_log[row] in self._fenced:
                self._to_fence.append(row)
            elif not self._may_send(row):
                self._replay_queue.set_aside(row)
            else:
                self.pace.on_sent()
                changes.append(self._begin_transition(row, WriteEvent.SEND))
        return changes

    def _may_send(self, row: int) -> bool:
        packed = self._rows.edge_log[row] << NUMBER_BITS | self._rows.number[row]
        return packed not in self._withheld and self.version_vector.holds(
            self._edge_logs[self._rows.edge_log[row]]
        )

    def on_live_rejection(self, now: int) -> None:
        """A live request was refused at `now` in µs: pause replay."""
        self.pace.on_refusal(now)
