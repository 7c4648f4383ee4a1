"""What is told of a queued write, and what an operator says of a parked one. Pure."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from laurelstep.outbox.dependency_tracker import NUMBER_MASK, NUMBERS
from laurelstep.outbox.errors import (
    UnknownWriteError,
    VerdictError,
)
from laurelstep.outbox.messages import (
    Transition,
)
from laurelstep.outbox.receipts import WriteReceipt
from laurelstep.outbox.records import (
    FINAL,
    ParkingReason,
    Resolution,
    WriteEvent,
    WriteState,
)
from laurelstep.outbox.transitions import SWEEP, TransitionTracker
from laurelstep.outbox.write_ids import WriteId
from laurelstep.outbox.write_table import (
    BARRIER,
    BUSY,
    CLOSED,
    DURABLE,
)

__all__ = ["ReceiptLog"]


class ReceiptLog(TransitionTracker):
    """Receipts, as long as they are kept, and operators' resolutions."""

    def resolve(
        self, write_id: WriteId, parking: int, resolution: Resolution, wall: int
    ) -> Transition | None:
        """An operator's resolution on a parking; None if this one was given already. `VerdictError`,
        `UnknownWriteError`.
        """
        before = self._resolutions.get(self._pack(write_id))
        if before is not None and before[:2] == (parking, resolution):
            return None
        if before is not None and parking <= before[0]:
            raise VerdictError(f"{write_id}: parking {before[0]} was judged {before[1].name.lower()}")
        row = self._require_row(write_id)
        self._check_resolution(row, parking, resolution)
        event = {
            Resolution.RAN: WriteEvent.RAN,
            Resolution.NEVER_RAN: WriteEvent.NEVER_RAN,
            Resolution.GIVE_UP: WriteEvent.GIVE_UP,
        }[resolution]
        moved = self._change(row, event, self._rows.reason_of(row)).state_change
        sent = moved.sent and resolution is not Resolution.NEVER_RAN
        told = msgspec.structs.replace(
            moved,
            parking=parking,
            resolution=resolution,
            resolved_parking=parking,
            resolved_at=wall,
            sent=sent,
            wall=wall,
        )
        return Transition(write_id, event, told)

    def _check_resolution(self, row: int, parking: int, resolution: Resolution) -> None:
        rows, write_id = self._rows, self._write_id_of(row)
        if rows.has(row, BUSY):
            raise VerdictError(f"{write_id}: another change of it is on its way to the disk")
        behind = rows.state[row] == WriteState.KEPT and self._graph.behind(row)
        number = rows.parking[row] + behind
        if not (rows.state[row] == WriteState.PARKED or (behind and resolution is Resolution.GIVE_UP)):
            raise VerdictError(
                f"{write_id} is not parked" + (" itself: judge what it follows" if behind else "")
            )
        if parking != number:
            raise VerdictError(f"{write_id}: the parking is number {number}")

    def receipt(self, write_id: WriteId) -> WriteReceipt:
        """Its state; `status` and body are in its record. Of one that is over, only that it is: where it has
        no record, it is unknown. `UnknownWriteError`.
        """
        packed, row = self._pack(write_id), self._row(write_id)
        if row < 0 or self._rows.has(row, CLOSED):
            if packed in self._given_up:
                return WriteReceipt(write_id, WriteState.GIVEN_UP)
            if packed < 0 or write_id.number > self._high[packed >> NUMBERS]:
                raise UnknownWriteError(f"{write_id} is not known here")
            return WriteReceipt(write_id, WriteState.DONE)
        rows = self._rows
        state, reason, parking = rows.state_of(row), rows.reason_of(row), rows.parking[row]
        if state is not WriteState.KEPT:
            return WriteReceipt(write_id, state, reason, parking)
        holder = self._named_holder(row)
        behind = None if holder < 0 else self._write_id_of(holder)
        if self._graph.behind(row):
            return WriteReceipt(write_id, WriteState.PARKED, ParkingReason.FOLLOWS, parking + 1, behind)
        return WriteReceipt(write_id, state, ParkingReason.NONE, parking, behind)

    def _named_holder(self, row: int) -> int:
        """A write that holds this one up, through barriers."""
        holder = self._graph.holder(row)
        while holder >= 0 and self._rows.has(holder, BARRIER):
            holder = self._graph.holder(holder)
        return holder

    def is_durable(self, write_id: WriteId) -> bool:
        """`stored` was called for it. `UnknownWriteError`."""
        row = self._row(write_id)
        return self._rows.has(row, DURABLE) if row >= 0 else self.receipt(write_id).state in FINAL

    def expired_receipts(
        self, now: int, is_unpublished: Callable[[WriteId], bool] = lambda write_id: False
    ) -> list[WriteId]:
        """Those whose receipt's time is over: make `edge_logs` durable, delete their records, `forget` them.
        Nothing that was given up while `is_unpublished` says that others do not know of it: a later life
        would have only its number, which says that it is in.
        """
        found: list[WriteId] = []
        for _ in range(min(SWEEP, len(self._closed))):
            packed, until, key = self._closed[0]
            if until > now and len(self._closed) <= self.bounds.max_receipts:
                break
            self._closed.popleft()
            write_id = WriteId(*self._edge_logs[packed >> NUMBERS], packed & NUMBER_MASK)
            # Its followers still wait for its causes, or others are to hear of it.
            if self._open.get(packed) >= 0 or (packed in self._given_up and is_unpublished(write_id)):
                self._closed.append((packed, now + self.bounds.receipt_us, key))
                continue
            if key and self._keys.get(key) == packed:
                self._keys.drop(key)
            found.append(write_id)
        return found

    def forget(self, write_id: WriteId) -> None:
        """Its records are deleted: nothing is known of it any more but its number."""
        packed = self._pack(write_id)
        self._given_up.discard(packed)
        self._resolutions.pop(packed, None)
