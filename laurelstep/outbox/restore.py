"""How an outbox begins with what earlier lives left in its store. Pure."""

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
    """Once, before anything else."""

    def restore(
        self,
        kept: Iterable[tuple[QueuedWrite, StateChange | None]],
        edge_logs: Mapping[EdgeLog, int],
        now: int,
        wall: int,
        *,
        is_elapsed_known: bool = True,
        doubt_us: int = 0,
    ) -> list[Transition]:
        """All records of the store, once, before anything else. `edge_logs`: the highest number found of each
        former life. `is_elapsed_known`: whether `wall` tells how much time passed between the lives;
        `doubt_us`: by how much it may tell too much. What comes back is to be made durable and applied.
        """
        records = sorted(kept, key=lambda pair: (pair[0].earlier_incarnations, pair[0].write_id))
        self._life = max((write.earlier_incarnations for write, _ in records), default=-1) + 1
        for edge_log in sorted(
            {*edge_logs, *(write.write_id.edge_log for write, _ in records)} - {self._edge_logs[0]}
        ):
            self._log_indexes[edge_log] = len(self._edge_logs)
            self._edge_logs.append(edge_log)
            self._high.append(edge_logs.get(edge_log, 0))
            self._low.append(0)
        known = {*(write.wall for write, _ in records), *(moved.wall for _, moved in records if moved)}
        clock_back = not is_elapsed_known or wall < max(known, default=wall)
        entered = [self._restore_one(write, moved, now, wall) for write, moved in records]
        self._excused = {
            row
            for row, (_, moved) in zip(entered, records, strict=True)
            if moved is not None and _went_on(moved)
        }
        barriers = self._restore_barriers([write for write, _ in records])
        for row, (write, _) in zip(entered, records, strict=True):
            self._link(row, tuple(Dependency(*dependency) for dependency in write.dependencies), barriers)
        changes = self._restore_states(
            entered, [moved for _, moved in records], now, wall - doubt_us, clock_back
        )
        self._excused = {
            row for row in self._excused if self._rows.state[row] in (WriteState.KEPT, WriteState.READY)
        }
        return changes

    def _restore_one(self, write: QueuedWrite, moved: StateChange | None, now: int, wall: int) -> int:
        place = self._log_indexes[write.write_id.edge_log]
        self._high[place] = max(self._high[place], write.write_id.number)
        anew = moved is not None and moved.resolution == Resolution.NEVER_RAN
        began = moved.resolved_at if anew and moved is not None else write.wall
        key = short_hash(write.cls.encode(), write.tenant.encode(), write.key) if write.keyed else 0
        session, obj = short_hash(b"s", write.session), short_hash(b"o", write.obj)
        row = self._enter(write, place, key, session, obj, now - max(0, wall - began))
        self._rows.set(row, DURABLE)
        if moved is not None:
            self._rows.reason[row], self._rows.parking[row] = moved.reason, moved.parking
            self._rows.set(row, SENT, moved.sent)
            if moved.resolved_parking:
                self._resolutions[self._pack(write.write_id)] = (
                    moved.resolved_parking,
                    Resolution(moved.resolution),
                    moved.resolved_at,
                )
            if moved.state is WriteState.GIVEN_UP:
                self._given_up.add(self._pack(write.write_id))
        return row

    def _restore_barriers(self, writes: list[QueuedWrite]) -> dict[tuple[int, int], int]:
        """All that the writes name, each exactly as far as named: later ones of its log may follow it."""
        named = {
            (place, number)
            for write in writes
            for edge, incarnation, number, before in write.dependencies
            if before and (place := self._log_indexes.get(EdgeLog(edge, incarnation), -1)) >= 0
        }
        return {one: self._barrier(*one) for one in sorted(named) if one[1] <= self._high[one[0]]}

    def _restore_states(
        self, entered: list[int], moves: list[StateChange | None], now: int, wall: int, clock_back: bool
    ) -> list[Transition]:
        changes: list[Transition] = []
        for row, moved in zip(entered, moves, strict=True):
            state = WriteState.KEPT if moved is None or moved.state is WriteState.READY else moved.state
            self._rows.state[row] = state
            if state is WriteState.PARKED:
                self._graph.halt(row)
            elif state is WriteState.OUT:
                changes.append(self._restore_out(row, now, clock_back))
        for row, moved in zip(entered, moves, strict=True):
            if moved is not None and moved.state in FINAL:
                until = now + self.bounds.receipt_us - max(0, wall - moved.wall)
                self._closed.append((self._pack(self._write_id_of(row)), until, self._rows.key[row]))
                if moved.state is WriteState.GIVEN_UP:
                    for follower in self._graph.followers(row):
                        self._orphan(follower)
                self._retire(row)
        for row in sorted(entered, key=self._rows.since.__getitem__):
            parked = (
                self._rows.state[row] == WriteState.PARKED
                and self._rows.reason_of(row) is not ParkingReason.FENCED
            )
            if not parked and not self._rows.flags[row] & (JOIN | CLOSED):
                self._ages.add(self._rows.cls[row], row)
        for row in entered:
            if clock_back and self._rows.has(row, SENT) and self._rows.state[row] == WriteState.KEPT:
                changes.append(self._change(row, WriteEvent.EXPIRED, ParkingReason.MAY_HAVE_RUN))
            elif not self._rows.has(row, CLOSED):
                self._wake(row)
        return changes

    def _restore_out(self, row: int, now: int, clock_back: bool) -> Transition:
        """It may have run before the restart."""
        self._rows.set(row, SENT)
        event, reason = self._meaning(row, ReplayResult.MAY_HAVE_RUN, now)
        if clock_back:
            event, reason = WriteEvent.UNCERTAIN, ParkingReason.MAY_HAVE_RUN
        return self._change(row, event, reason)

    def edge_logs(self) -> dict[EdgeLog, int]:
        """The highest number known of each own log: durable before a life begins."""
        return dict(zip(self._edge_logs, self._high, strict=True))


def _went_on(moved: StateChange) -> bool:
    """It is no more to be parked for a cause that was given up: it has been, or has left that behind."""
    return moved.state is not WriteState.KEPT or moved.reason is ParkingReason.ORPHANED
