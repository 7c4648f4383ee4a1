"""The state transitions of single writes: by replay results, and by changes that became durable. Pure.

Between a transition and its `apply` or `undo`, its write takes no other transition.
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

__all__ = ["MAX_TRANSITIONS_PER_CALL", "TransitionTracker"]

# Transitions of one kind returned by one call; bounds the time that the event loop is blocked.
MAX_TRANSITIONS_PER_CALL: Final = 256


class TransitionTracker(DependencyTracker):
    """Takes single writes from state to state, in the table and in the graph."""

    def _begin_transition(
        self, row: int, event: WriteEvent, reason: ParkingReason = ParkingReason.NONE
    ) -> Transition:
        """Build the transition of a row, its record without an answer. Marks the row as busy."""
        rows = self._rows
        state = rows.state_of(row)
        new_state = next_state(state, event)
        is_parked = new_state is WriteState.PARKED
        write_id, parking = self._write_id_of(row), rows.parking[row] + is_parked
        resolved, resolution, resolved_at = self._resolutions.get(self._pack(write_id), (0, 0, 0))
        rows.set(row, BUSY)
        state_change = StateChange(
            write_id, new_state, reason, parking, resolution, resolved, resolved_at, rows.has(row, SENT)
        )
        return Transition(write_id, event, state_change)

    def _expiry_reason(self, row: int, now: int) -> ParkingReason:
        """Why the row is to be parked as expired; NONE if it is not."""
        age = now - self._rows.since[row]
        cls = self.classes.get(self._class_names[self._rows.cls[row]])
        if cls is not None and cls.keyed and age + self.bounds.send_us > cls.window_us:
            return ParkingReason.MAY_HAVE_RUN if self._rows.has(row, SENT) else ParkingReason.WINDOW
        return ParkingReason.AGE if age > self.bounds.age_us else ParkingReason.NONE

    def window_left(self, write_id: WriteId, now: int) -> int:
        """The µs left of a keyed write's window. An unsafe write has no window: returns the greatest age."""
        row = self._require_row(write_id)
        cls = self.classes.get(self._class_names[self._rows.cls[row]])
        if cls is None or not cls.keyed:
            return self.bounds.age_us
        return self._rows.since[row] + cls.window_us - now

    def _is_ready(self, row: int) -> bool:
        """Whether the row is still ready. A queue may hold a row that has been reused since."""
        return self._rows.state[row] == WriteState.READY and not self._rows.flags[row] & (BUSY | CLOSED)

    def on_replay_end(
        self,
        write_id: WriteId,
        result: ReplayResult,
        now: int,
        wall: int,
        status: int = 0,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        body: bytes = b"",
    ) -> Transition:
        """The transition that follows from the result of a write that was sent, by its class."""
        row = self._require_row(write_id)
        event, reason = self._event_of_result(row, result, now)
        next_state(self._rows.state_of(row), event)
        if result in (ReplayResult.ANSWERED, ReplayResult.DENIED):
            self.pace.on_answer()
        elif result is ReplayResult.FENCED:
            self.pace.on_send_cancelled()
        else:
            self.pace.on_failure(now)
        if result is ReplayResult.MAY_HAVE_RUN:
            self._rows.set(row, SENT)
        state_change = self._begin_transition(row, event, reason).state_change
        recorded = msgspec.structs.replace(state_change, status=status, headers=headers, body=body, wall=wall)
        return Transition(write_id, event, recorded)

    def _event_of_result(self, row: int, result: ReplayResult, now: int) -> tuple[WriteEvent, ParkingReason]:
        if result is ReplayResult.ANSWERED:
            return WriteEvent.ANSWERED, ParkingReason.NONE
        if result is ReplayResult.DENIED:
            return WriteEvent.DENIED, ParkingReason.DENIED
        if result is ReplayResult.NOT_RUN:
            return WriteEvent.NOT_RUN, ParkingReason.NONE
        if result is ReplayResult.FENCED:
            return WriteEvent.FENCED, ParkingReason.FENCED
        cls = self.classes.get(self._class_names[self._rows.cls[row]])
        if cls is not None and cls.keyed and not self._expiry_reason(row, now):
            return WriteEvent.RETRY, ParkingReason.NONE
        return WriteEvent.UNCERTAIN, ParkingReason.MAY_HAVE_RUN

    def apply(self, change: Transition, now: int) -> bool:
        """Take a transition whose record is durable. False for a `SEND` whose write expired while its record
        was being stored: the caller does not send it, and reports it to `on_replay_end` as `NOT_RUN`.
        """
        row = self._require_row(change.write_id)
        rows, event = self._rows, change.event
        rows.state[row] = next_state(rows.state_of(row), event)
        rows.reason[row], rows.parking[row] = change.state_change.reason, change.state_change.parking
        rows.set(row, BUSY | ORPHAN, False)
        state = rows.state_of(row)
        state_change = change.state_change
        if state_change.resolved_parking:
            self._resolutions[self._pack(change.write_id)] = (
                state_change.resolved_parking,
                Resolution(state_change.resolution),
                state_change.resolved_at,
            )
        if state is WriteState.PARKED:
            self._park(row, event)
        elif state in FINAL:
            self._close(row, now)
        elif event in (WriteEvent.NOT_RUN, WriteEvent.RETRY):
            self._replay_queue.requeue(row)
        elif event is WriteEvent.NEVER_RAN:
            self._restart_age(row, state_change.reason, now)
        elif event is WriteEvent.UNFENCED:
            if self._expiry_reason(row, now):  # expired while it was parked, which `due` skips
                self._expired_rows.append(row)
            self._graph.resume(row)
            self._make_ready_if_free(row)
        return event is not WriteEvent.SEND or not self._expiry_reason(row, now)

    def _park(self, row: int, event: WriteEvent) -> None:
        rows = self._rows
        if event is not WriteEvent.FENCED:  # a fenced write keeps its age for when it is unfenced
            self._expiry_queue.drop(rows.cls[row], row)
        elif rows.edge_log[row] not in self._fenced:  # unfenced while this record was being stored
            self._to_unfence.append(row)
        self._graph.halt(row)

    def _restart_age(self, row: int, reason: ParkingReason, now: int) -> None:
        """Start age and window again, because an operator resolved that the write never ran."""
        rows = self._rows
        rows.since[row] = now
        rows.set(row, SENT, False)
        self._expiry_queue.drop(rows.cls[row], row)  # it may be listed there with its former age
        if not rows.has(row, JOIN):
            self._expiry_queue.add(rows.cls[row], row)
        if reason is ParkingReason.ORPHANED:
            self._orphan_exempt.add(row)
        self._graph.resume(row)
        self._make_ready_if_free(row)

    def undo(self, change: Transition, now: int) -> None:
        """Take back a transition that could not be made durable. `due` returns it again, except a
        resolution or a replay result, which the driver retries.
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
            self._to_unfence.append(row)
        elif rows.state[row] == WriteState.READY:
            (self._joins.append if rows.has(row, JOIN) else self._replay_queue.requeue)(row)
        else:
            self._make_ready_if_free(row)

    def _close(self, row: int, now: int) -> None:
        """Close a final row. Followers of a write that was given up become orphans."""
        packed = self._pack(self._write_id_of(row))
        if self._rows.state[row] == WriteState.GIVEN_UP:
            self._given_up.add(packed)
            for follower in self._graph.followers(row):
                self._orphan(follower)
        self._closed.append((packed, now + self.bounds.receipt_us, self._rows.key[row]))
        self._retire(row)

    def _retire(self, row: int) -> None:
        """Uncount a row that is final or was not stored. Finish it if its dependencies are finished."""
        self._uncount(row)
        self._expiry_queue.drop(self._rows.cls[row], row)
        self._rows.set(row, CLOSED)
        self._graph.resume(row)
        if self._graph.is_free(row):
            self._finish(row)
