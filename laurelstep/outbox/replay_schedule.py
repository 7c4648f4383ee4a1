"""What is to be done next: what goes out, expires, is orphaned, or is fenced. Pure."""

from __future__ import annotations

from laurelstep.outbox.dependency_tracker import NUMBERS
from laurelstep.outbox.messages import (
    Transition,
)
from laurelstep.outbox.records import (
    ParkingReason,
    WriteEvent,
    WriteState,
)
from laurelstep.outbox.transitions import SWEEP, TransitionTracker
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
        """What is to be done next, `SEND` among it: apply, then send. Asked after events and each second."""
        return [
            *self._due_orphans(),
            *self._due_joins(),
            *self._due_fences(),
            *self._due_late(now),
            *self._due_sends(now),
        ]

    def _due_orphans(self) -> list[Transition]:
        found: list[Transition] = []
        while self._orphans and len(found) < SWEEP:
            row = self._orphans.popleft()
            if (
                self._rows.state[row] != WriteState.KEPT
                or self._rows.flags[row] & (ORPHAN | CLOSED) != ORPHAN
            ):
                continue
            if self._rows.has(row, DURABLE) and not self._rows.has(row, BUSY):
                found.append(self._change(row, WriteEvent.ORPHANED, ParkingReason.ORPHANED))
            else:
                self._orphans.append(row)
                break
        return found

    def _due_joins(self) -> list[Transition]:
        count = min(SWEEP, len(self._joins))
        rows = [self._joins.popleft() for _ in range(count)]
        return [self._change(row, WriteEvent.JOINED) for row in rows if self._can_go(row)]

    def _due_fences(self) -> list[Transition]:
        """What is to be parked as its log is another's, and what is not to be any more."""
        found: list[Transition] = []
        for rows, states, event, reason in (
            (self._to_fence, (WriteState.KEPT, WriteState.READY), WriteEvent.FENCED, ParkingReason.FENCED),
            (self._to_claim, (WriteState.PARKED,), WriteEvent.UNFENCED, ParkingReason.NONE),
        ):
            for _ in range(min(SWEEP, len(rows))):
                row = rows.popleft()
                if not self._is_fenced(row, event is WriteEvent.FENCED, states):
                    continue
                if self._rows.flags[row] & (BUSY | DURABLE) == DURABLE:
                    found.append(self._change(row, event, reason))
                else:
                    rows.append(row)
        return found

    def _is_fenced(self, row: int, fenced: bool, states: tuple[WriteState, ...]) -> bool:
        """Still to be parked, or not any more, for its log: a place in a queue may be older than that."""
        rows = self._rows
        if rows.flags[row] & (FOREIGN | BARRIER | JOIN | CLOSED) or rows.state_of(row) not in states:
            return False
        return (rows.edge_log[row] in self._fenced) is fenced and (
            fenced or rows.reason[row] == ParkingReason.FENCED
        )

    def _due_late(self, now: int) -> list[Transition]:
        """What is too old, or past its window. One that is busy or out is looked at again."""
        for cls in range(len(self._names)):
            while len(self._late) < SWEEP and (row := self._ages.first(cls)) >= 0 and self._expired(row, now):
                self._ages.drop(cls, row)
                self._late.append(row)
        found: list[Transition] = []
        rows = self._rows
        for _ in range(len(self._late)):
            row = self._late.popleft()
            flags, state = rows.flags[row], rows.state[row]
            if flags & (FOREIGN | BARRIER | JOIN | CLOSED | ORPHAN) or not self._expired(row, now):
                continue  # over, used again, or to be parked as an orphan
            if state in (WriteState.KEPT, WriteState.READY) and flags & (BUSY | DURABLE) == DURABLE:
                found.append(self._change(row, WriteEvent.EXPIRED, self._expired(row, now)))
            if state != WriteState.PARKED:
                self._late.append(row)
        return found

    def _due_sends(self, now: int) -> list[Transition]:
        found: list[Transition] = []
        while len(self._turns) and self.pace.may_send(now):
            row = self._turns.next()
            if not self._can_go(row):
                continue
            if reason := self._expired(row, now):
                found.append(self._change(row, WriteEvent.EXPIRED, reason))
            elif self._rows.edge_log[row] in self._fenced:
                self._to_fence.append(row)
            elif not self._may_go(row):
                self._turns.set_aside(row)
            else:
                self.pace.on_sent()
                found.append(self._change(row, WriteEvent.SEND))
        return found

    def _may_go(self, row: int) -> bool:
        packed = self._rows.edge_log[row] << NUMBERS | self._rows.number[row]
        return packed not in self._withheld and self.version_vector.holds(
            self._edge_logs[self._rows.edge_log[row]]
        )

    def on_live_rejection(self, now: int) -> None:
        """The module refused a live request: kept ones stand back."""
        self.pace.on_refusal(now)
