"""How one queued write goes from state to state: what an end means, and what a durable change brings. Pure.

Between a transition and its `apply` or `undo` its write takes no other.
"""

from __future__ import annotations

from typing import Final

import msgspec

from laurelstep.outbox.dependency_tracker import DependencyTracker
from laurelstep.outbox.messages import (
    ReplayResult,
    Transition,
)
from laurelstep.outbox.records import (
    FINAL,
    ParkingReason,
    Resolution,
    StateChange,
    WriteEvent,
    WriteState,
    next_state,
)
from laurelstep.outbox.write_ids import WriteId
from laurelstep.outbox.write_table import (
    BUSY,
    CLOSED,
    JOIN,
    ORPHAN,
    SENT,
)

__all__ = ["SWEEP", "TransitionTracker"]

# Transitions of one kind that one call gives: guards the loop's time.
SWEEP: Final = 256


class TransitionTracker(DependencyTracker):
    """The steps of single writes, on the rows and the graph."""

    def _change(self, row: int, event: WriteEvent, reason: ParkingReason = ParkingReason.NONE) -> Transition:
        """A step of this row, as a record without an answer. The row is busy from here."""
        rows = self._rows
        before = rows.state_of(row)
        after = next_state(before, event)
        parked = after is WriteState.PARKED
        write_id, parking = self._write_id_of(row), rows.parking[row] + parked
        resolved, resolution, resolved_at = self._resolutions.get(self._pack(write_id), (0, 0, 0))
        rows.set(row, BUSY)
        moved = StateChange(
            write_id, after, reason, parking, resolution, resolved, resolved_at, rows.has(row, SENT)
        )
        return Transition(write_id, event, moved)

    def _expired(self, row: int, now: int) -> ParkingReason:
        age = now - self._rows.since[row]
        cls = self.classes.get(self._names[self._rows.cls[row]])
        if cls is not None and cls.keyed and age + self.bounds.send_us > cls.window_us:
            return ParkingReason.MAY_HAVE_RUN if self._rows.has(row, SENT) else ParkingReason.WINDOW
        return ParkingReason.AGE if age > self.bounds.age_us else ParkingReason.NONE

    def window_left(self, write_id: WriteId, now: int) -> int:
        """How much of its window is left; an unsafe one has none, and so all the time there is."""
        row = self._require_row(write_id)
        cls = self.classes.get(self._names[self._rows.cls[row]])
        if cls is None or not cls.keyed:
            return self.bounds.age_us
        return self._rows.since[row] + cls.window_us - now

    def _can_go(self, row: int) -> bool:
        """Ready still: a place in the queue may be older than the row's use."""
        return self._rows.state[row] == WriteState.READY and not self._rows.flags[row] & (BUSY | CLOSED)

    def on_replay_end(
        self,
        write_id: WriteId,
        end: ReplayResult,
        now: int,
        wall: int,
        status: int = 0,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        body: bytes = b"",
    ) -> Transition:
        """What its end means, by its class."""
        row = self._require_row(write_id)
        event, reason = self._meaning(row, end, now)
        next_state(self._rows.state_of(row), event)
        if end in (ReplayResult.ANSWERED, ReplayResult.DENIED):
            self.pace.on_answer()
        elif end is ReplayResult.FENCED:
            self.pace.on_send_cancelled()
        else:
            self.pace.on_failure(now)
        if end is ReplayResult.MAY_HAVE_RUN:
            self._rows.set(row, SENT)
        moved = self._change(row, event, reason).state_change
        told = msgspec.structs.replace(moved, status=status, headers=headers, body=body, wall=wall)
        return Transition(write_id, event, told)

    def _meaning(self, row: int, end: ReplayResult, now: int) -> tuple[WriteEvent, ParkingReason]:
        if end is ReplayResult.ANSWERED:
            return WriteEvent.ANSWERED, ParkingReason.NONE
        if end is ReplayResult.DENIED:
            return WriteEvent.DENIED, ParkingReason.DENIED
        if end is ReplayResult.NOT_RUN:
            return WriteEvent.NOT_RUN, ParkingReason.NONE
        if end is ReplayResult.FENCED:
            return WriteEvent.FENCED, ParkingReason.FENCED
        cls = self.classes.get(self._names[self._rows.cls[row]])
        if cls is not None and cls.keyed and not self._expired(row, now):
            return WriteEvent.RETRY, ParkingReason.NONE
        return WriteEvent.UNCERTAIN, ParkingReason.MAY_HAVE_RUN

    def apply(self, change: Transition, now: int) -> bool:
        """The change is durable. False for a `SEND` that took so long that its window is over: it is not
        sent, but `ended` as `NOT_RUN`.
        """
        row = self._require_row(change.write_id)
        rows, event = self._rows, change.event
        rows.state[row] = next_state(rows.state_of(row), event)
        rows.reason[row], rows.parking[row] = change.state_change.reason, change.state_change.parking
        rows.set(row, BUSY | ORPHAN, False)
        state = rows.state_of(row)
        moved = change.state_change
        if moved.resolved_parking:
            self._resolutions[self._pack(change.write_id)] = (
                moved.resolved_parking,
                Resolution(moved.resolution),
                moved.resolved_at,
            )
        if state is WriteState.PARKED:
            self._park(row, event)
        elif state in FINAL:
            self._close(row, now)
        elif event in (WriteEvent.NOT_RUN, WriteEvent.RETRY):
            self._turns.requeue(row)
        elif event is WriteEvent.NEVER_RAN:
            self._begin_anew(row, moved.reason, now)
        elif event is WriteEvent.UNFENCED:
            if self._expired(row, now):  # found too old while it was parked, and passed over
                self._late.append(row)
            self._graph.resume(row)
            self._wake(row)
        return event is not WriteEvent.SEND or not self._expired(row, now)

    def _park(self, row: int, event: WriteEvent) -> None:
        rows = self._rows
        if event is not WriteEvent.FENCED:  # one that is claimed goes on with the age that it has
            self._ages.drop(rows.cls[row], row)
        elif rows.edge_log[row] not in self._fenced:  # claimed while this was being written
            self._to_claim.append(row)
        self._graph.halt(row)

    def _begin_anew(self, row: int, reason: ParkingReason, now: int) -> None:
        """An operator said that it never ran: its age and window count from now."""
        rows = self._rows
        rows.since[row] = now
        rows.set(row, SENT, False)
        self._ages.drop(rows.cls[row], row)  # it may be there with the age that it had
        if not rows.has(row, JOIN):
            self._ages.add(rows.cls[row], row)
        if reason is ParkingReason.ORPHANED:
            self._excused.add(row)
        self._graph.resume(row)
        self._wake(row)

    def undo(self, change: Transition, now: int) -> None:
        """The change could not be made durable: it is found again by `due`, but for a resolution or an end,
        which the driver tries again.
        """
        row = self._require_row(change.write_id)
        rows = self._rows
        rows.set(row, BUSY, False)
        if change.event is WriteEvent.SEND:
            self.pace.on_send_cancelled()
        if change.event is WriteEvent.ORPHANED:
            self._orphans.append(row)
        elif change.event is WriteEvent.FENCED:
            self._to_fence.append(row)
        elif change.event is WriteEvent.UNFENCED:
            self._to_claim.append(row)
        elif rows.state[row] == WriteState.READY:
            (self._joins.append if rows.has(row, JOIN) else self._turns.requeue)(row)
        else:
            self._wake(row)

    def _close(self, row: int, now: int) -> None:
        """It is final: its followers need not wait for it, or are orphans."""
        packed = self._pack(self._write_id_of(row))
        if self._rows.state[row] == WriteState.GIVEN_UP:
            self._given_up.add(packed)
            for follower in self._graph.followers(row):
                self._orphan(follower)
        self._closed.append((packed, now + self.bounds.receipt_us, self._rows.key[row]))
        self._retire(row)

    def _retire(self, row: int) -> None:
        self._uncount(row)
        self._ages.drop(self._rows.cls[row], row)
        self._rows.set(row, CLOSED)
        self._graph.resume(row)
        if self._graph.free(row):
            self._over(row)
