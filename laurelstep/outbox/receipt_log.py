"""The receipts of queued writes, and operators' resolutions of parked ones. Pure."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from laurelstep.outbox.dependency_tracker import NUMBER_BITS, NUMBER_MASK
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
from laurelstep.outbox.transitions import MAX_TRANSITIONS_PER_CALL, TransitionTracker
from laurelstep.outbox.write_ids import WriteId
from laurelstep.outbox.write_table import (
    BARRIER,
    BUSY,
    CLOSED,
    DURABLE,
)

__all__ = ["ReceiptLog"]


class ReceiptLog(TransitionTracker):
    """Receipts, for as long as they are kept, and operators' resolutions."""

    def resolve(
        self, write_id: WriteId, parking: int, resolution: Resolution, wall: int
    ) -> Transition | None:
        """The transition by an operator's resolution of a parking, at `wall` in µs.

        None if the same one was given before. `VerdictError` if the write or the parking does not allow it,
        `UnknownWriteError` if the write is not open.
        """
        previous = self._resolutions.get(self._pack(write_id))
        if previous is not None and previous[:2] == (parking, resolution):
            return None
        if previous is not None and parking <= previous[0]:
            raise VerdictError(f"{write_id}: parking {previous[0]} was judged {previous[1].name.lower()}")
        row = self._require_row(write_id)
        self._check_resolution(row, parking, resolution)
        event = {
            Resolution.RAN: WriteEvent.RAN,
            Resolution.NEVER_RAN: WriteEvent.NEVER_RAN,
            Resolution.GIVE_UP: WriteEvent.GIVE_UP,
        }[resolution]
        state_change = self._begin_transition(row, event, self._rows.reason_of(row)).state_change
        sent = state_change.sent and resolution is not Resolution.NEVER_RAN
        recorded = msgspec.structs.replace(
            state_change,
            parking=parking,
            resolution=resolution,
            resolved_parking=parking,
            resolved_at=wall,
            sent=sent,
            wall=wall,
        )
        return Transition(write_id, event, recorded)

    def _check_resolution(self, row: int, parking: int, resolution: Resolution) -> None:
        rows, write_id = self._rows, self._write_id_of(row)
        if rows.has(row, BUSY):
            raise VerdictError(f"{write_id}: another change of it is on its way to the disk")
        is_blocked = rows.state[row] == WriteState.KEPT and self._graph.has_blocked_dependency(row)
        number = rows.parking[row] + is_blocked
        if not (rows.state[row] == WriteState.PARKED or (is_blocked and resolution is Resolution.GIVE_UP)):
            raise VerdictError(
                f"{write_id} is not parked" + (" itself: judge what it follows" if is_blocked else "")
            )
        if parking != number:
            raise VerdictError(f"{write_id}: the parking is number {number}")

    def receipt(self, write_id: WriteId) -> WriteReceipt:
        """The state of a write, without the status and body of its answer, which are in its record. Of a
        finished write only its final state is known. `UnknownWriteError` if the id was never assigned here.
        """
        packed, row = self._pack(write_id), self._row(write_id)
        if row < 0 or self._rows.has(row, CLOSED):
            if packed in self._given_up:
                return WriteReceipt(write_id, WriteState.GIVEN_UP)
            if packed < 0 or write_id.number > self._highest_numbers[packed >> NUMBER_BITS]:
                raise UnknownWriteError(f"{write_id} is not known here")
            return WriteReceipt(write_id, WriteState.DONE)
        rows = self._rows
        state, reason, parking = rows.state_of(row), rows.reason_of(row), rows.parking[row]
        if state is not WriteState.KEPT:
            return WriteReceipt(write_id, state, reason, parking)
        blocker = self._find_blocking_write(row)
        behind = None if blocker < 0 else self._write_id_of(blocker)
        if self._graph.has_blocked_dependency(row):
            return WriteReceipt(write_id, WriteState.PARKED, ParkingReason.FOLLOWS, parking + 1, behind)
        return WriteReceipt(write_id, state, ParkingReason.NONE, parking, behind)

    def _find_blocking_write(self, row: int) -> int:
        """A write that blocks this one, directly or through barriers; negative if there is none."""
        blocker = self._graph.find_blocker(row)
        while blocker >= 0 and self._rows.has(blocker, BARRIER):
            blocker = self._graph.find_blocker(blocker)
        return blocker

    def is_durable(self, write_id: WriteId) -> bool:
        """Whether `on_stored` was called for the write. `UnknownWriteError` if the id was never assigned."""
        row = self._row(write_id)
        return self._rows.has(row, DURABLE) if row >= 0 else self.receipt(write_id).state in FINAL

    def expired_receipts(
        self, now: int, is_unpublished: Callable[[WriteId], bool] = lambda write_id: False
    ) -> list[WriteId]:
        """Writes whose receipts have expired. The caller makes `edge_logs` durable, deletes their records and
        calls `forget`. A write that was given up is not returned while `is_unpublished` is true for it: a
        later incarnation would know only its number and take the write for applied.
        """
        expired: list[WriteId] = []
        for _ in range(min(MAX_TRANSITIONS_PER_CALL, len(self._closed))):
            packed, expires_at, key = self._closed[0]
            if expires_at > now and len(self._closed) <= self.bounds.max_receipts:
                break
            self._closed.popleft()
            write_id = WriteId(*self._edge_logs[packed >> NUMBER_BITS], packed & NUMBER_MASK)
            # Its followers still wait for its dependencies, or its status is not published yet.
            if self._open_rows.get(packed) >= 0 or (packed in self._given_up and is_unpublished(write_id)):
                self._closed.append((packed, now + self.bounds.receipt_us, key))
                continue
            if key and self._keys.get(key) == packed:
                self._keys.drop(key)
            expired.append(write_id)
        return expired

    def forget(self, write_id: WriteId) -> None:
        """Remove the state of a write whose records are deleted. Only its number stays known."""
        packed = self._pack(write_id)
        self._given_up.discard(packed)
        self._resolutions.pop(packed, None)
