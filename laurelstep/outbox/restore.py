"""Restores an outbox from the records that earlier incarnations left in its store. Pure."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.messages import (
    ReplayResult,
    Transition,
)
from laurelstep.outbox.records import (
    FINAL,
    ParkingReason,
    QueuedWrite,
    Resolution,
    StateChange,
    WriteEvent,
    WriteState,
)
from laurelstep.outbox.transitions import TransitionTracker
from laurelstep.outbox.write_ids import EdgeLog
from laurelstep.outbox.write_table import (
    CLOSED,
    DURABLE,
    JOIN,
    SENT,
    short_hash,
)

__all__ = ["OutboxRestore"]


class OutboxRestore(TransitionTracker):
    """Loads the records of the store into an empty outbox."""

    def restore(
        self,
        loaded: Iterable[tuple[QueuedWrite, StateChange | None]],
        edge_logs: Mapping[EdgeLog, int],
        now: int,
        wall: int,
        *,
        is_elapsed_known: bool = True,
        uncertainty_us: int = 0,
    ) -> list[Transition]:
        """Load all records of the store. Called once, before any other method.

        `edge_logs`: the highest number found of each earlier incarnation. `is_elapsed_known`: whether `wall`
        shows how much time passed between the incarnations. `uncertainty_us`: by how much `wall` may be ahead
        of real time. The caller makes the returned transitions durable and applies them.
        """
        records = sorted(loaded, key=lambda pair: (pair[0].earlier_incarnations, pair[0].write_id))
        self._earlier_incarnations = max((write.earlier_incarnations for write, _ in records), default=-1) + 1
        for edge_log in sorted(
            {*edge_logs, *(write.write_id.edge_log for write, _ in records)} - {self._edge_logs[0]}
        ):
            self._log_indexes[edge_log] = len(self._edge_logs)
            self._edge_logs.append(edge_log)
            self._highest_numbers.append(edge_logs.get(edge_log, 0))
            self._low_watermarks.append(0)
        recorded_walls = {
            *(write.wall for write, _ in records),
            *(state_change.wall for _, state_change in records if state_change),
        }
        is_window_unknown = not is_elapsed_known or wall < max(recorded_walls, default=wall)
        rows = [self._restore_write(write, state_change, now, wall) for write, state_change in records]
        self._orphan_exempt = {
            row
            for row, (_, state_change) in zip(rows, records, strict=True)
            if state_change is not None and _is_orphan_exempt(state_change)
        }
        barriers = self._restore_barriers([write for write, _ in records])
        for row, (write, _) in zip(rows, records, strict=True):
            self._link(row, tuple(Dependency(*dependency) for dependency in write.dependencies), barriers)
        changes = self._restore_states(
            rows, [state_change for _, state_change in records], now, wall - uncertainty_us, is_window_unknown
        )
        self._orphan_exempt = {
            row for row in self._orphan_exempt if self._rows.state[row] in (WriteState.KEPT, WriteState.READY)
        }
        return changes

    def _restore_write(
        self, write: QueuedWrite, state_change: StateChange | None, now: int, wall: int
    ) -> int:
        log_index = self._log_indexes[write.write_id.edge_log]
        self._highest_numbers[log_index] = max(self._highest_numbers[log_index], write.write_id.number)
        is_window_restarted = state_change is not None and state_change.resolution == Resolution.NEVER_RAN
        began_at = (
            state_change.resolved_at if is_window_restarted and state_change is not None else write.wall
        )
        key = short_hash(write.cls.encode(), write.tenant.encode(), write.key) if write.keyed else 0
        session, obj = short_hash(b"s", write.session), short_hash(b"o", write.obj)
        row = self._add_row(write, log_index, key, session, obj, now - max(0, wall - began_at))
        self._rows.set(row, DURABLE)
        if state_change is not None:
            self._rows.reason[row], self._rows.parking[row] = state_change.reason, state_change.parking
            self._rows.set(row, SENT, state_change.sent)
            if state_change.resolved_parking:
                self._resolutions[self._pack(write.write_id)] = (
                    state_change.resolved_parking,
                    Resolution(state_change.resolution),
                    state_change.resolved_at,
                )
            if state_change.state is WriteState.GIVEN_UP:
                self._given_up.add(self._pack(write.write_id))
        return row

    def _restore_barriers(self, writes: list[QueuedWrite]) -> dict[tuple[int, int], int]:
        """Make the barriers that the writes name. Each reaches exactly as far as named, because later
        writes of its log may depend on the follower.
        """
        named = {
            (log_index, number)
            for write in writes
            for edge, incarnation, number, before in write.dependencies
            if before and (log_index := self._log_indexes.get(EdgeLog(edge, incarnation), -1)) >= 0
        }
        return {key: self._barrier(*key) for key in sorted(named) if key[1] <= self._highest_numbers[key[0]]}

    def _restore_states(
        self,
        rows: list[int],
        state_changes: list[StateChange | None],
        now: int,
        wall: int,
        is_window_unknown: bool,
    ) -> list[Transition]:
        changes: list[Transition] = []
        for row, state_change in zip(rows, state_changes, strict=True):
            state = (
                WriteState.KEPT
                if state_change is None or state_change.state is WriteState.READY
                else state_change.state
            )
            self._rows.state[row] = state
            if state is WriteState.PARKED:
                self._graph.halt(row)
            elif state is WriteState.OUT:
                changes.append(self._restore_out(row, now, is_window_unknown))
        for row, state_change in zip(rows, state_changes, strict=True):
            if state_change is not None and state_change.state in FINAL:
                expires_at = now + self.bounds.receipt_us - max(0, wall - state_change.wall)
                self._closed.append((self._pack(self._write_id_of(row)), expires_at, self._rows.key[row]))
                if state_change.state is WriteState.GIVEN_UP:
                    for follower in self._graph.followers(row):
                        self._orphan(follower)
                self._retire(row)
        for row in sorted(rows, key=self._rows.since.__getitem__):
            parked = (
                self._rows.state[row] == WriteState.PARKED
                and self._rows.reason_of(row) is not ParkingReason.FENCED
            )
            if not parked and not self._rows.flags[row] & (JOIN | CLOSED):
                self._expiry_queue.add(self._rows.cls[row], row)
        for row in rows:
            if is_window_unknown and self._rows.has(row, SENT) and self._rows.state[row] == WriteState.KEPT:
                changes.append(self._begin_transition(row, WriteEvent.EXPIRED, ParkingReason.MAY_HAVE_RUN))
            elif not self._rows.has(row, CLOSED):
                self._make_ready_if_free(row)
        return changes

    def _restore_out(self, row: int, now: int, is_window_unknown: bool) -> Transition:
        """The transition of a write that was OUT at the restart and so may have run."""
        self._rows.set(row, SENT)
        event, reason = self._event_of_result(row, ReplayResult.MAY_HAVE_RUN, now)
        if is_window_unknown:
            event, reason = WriteEvent.UNCERTAIN, ParkingReason.MAY_HAVE_RUN
        return self._begin_transition(row, event, reason)

    def edge_logs(self) -> dict[EdgeLog, int]:
        """The highest number known of each own log. The caller stores it before the incarnation begins."""
        return dict(zip(self._edge_logs, self._highest_numbers, strict=True))


def _is_orphan_exempt(state_change: StateChange) -> bool:
    """Whether the write is not to be parked as an orphan: it was parked before, or waits no longer."""
    return state_change.state is not WriteState.KEPT or state_change.reason is ParkingReason.ORPHANED
