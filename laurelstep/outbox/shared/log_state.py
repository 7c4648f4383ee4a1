"""The ledger's state of one edge log, and the snapshot of all logs. Pure.

States are stored as msgpack arrays by field order: new fields are only ever added at the end.
"""

from __future__ import annotations

from bisect import bisect_left

import msgspec

from laurelstep.outbox.shared.entries import (
    ID_END,
    NUMBER_END,
)
from laurelstep.outbox.shared.ranges import EMPTY, Ranges, add, contains, gaps, is_canonical, remove
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import check_edge

__all__ = ["LedgerSnapshot", "LogState", "check_snapshot"]


class LogState(msgspec.Struct, frozen=True, array_like=True):
    """The holder of one edge log, the statuses of its writes, and the intents of its unsafe writes.

    A write is final once it is applied or abandoned. All writes up to `low_watermark` are final, and those of
    them that are not in `abandoned` are applied.
    """

    holder: int  # incarnation that may replay the log; 0 if the log is lost
    holder_changes: int = 0
    low_watermark: int = 0
    applied: Ranges = EMPTY  # above the low watermark
    abandoned: Ranges = EMPTY  # above and below the low watermark
    parked: Ranges = EMPTY  # above the low watermark
    # (write number, intent id, last parking that was resolved as never run), sorted. An intent id of 0 means
    # that the write has no intent.
    intents: tuple[tuple[int, int, int], ...] = ()

    @property
    def range_count(self) -> int:
        """Number of ranges that the state holds."""
        return len(self.applied) + len(self.abandoned) + len(self.parked)

    def write_status(self, number: int) -> WriteStatus:
        """The status of one write."""
        if contains(self.abandoned, number):
            return WriteStatus.ABANDONED
        if number <= self.low_watermark or contains(self.applied, number):
            return WriteStatus.APPLIED
        if self.holder == 0:
            return WriteStatus.ABANDONED
        return WriteStatus.PARKED if contains(self.parked, number) else WriteStatus.UNKNOWN

    def write_status_up_to(self, number: int) -> WriteStatus:
        """The status of all writes up to a number, taken together."""
        if number <= self.low_watermark:
            return WriteStatus.APPLIED
        if self.holder == 0:
            return WriteStatus.ABANDONED
        return WriteStatus.PARKED if self.parked and self.parked[0][0] <= number else WriteStatus.UNKNOWN

    def intent_id(self, number: int) -> int:
        """The id of the write's intent; 0 if it has none."""
        return self._intent(number)[0]

    def resolved_parking(self, number: int) -> int:
        """The number of the last parking that was resolved as never run; 0 if there is none."""
        return self._intent(number)[1]

    def _intent(self, number: int) -> tuple[int, int]:
        place = bisect_left(self.intents, (number,))
        if place < len(self.intents) and self.intents[place][0] == number:
            return self.intents[place][1:]
        return 0, 0

    def with_intent(self, number: int, intent_id: int, parking: int) -> LogState:
        """Return the state with this intent (0: none) and last resolved parking (0: none) of the write."""
        others = (intent for intent in self.intents if intent[0] != number)
        new = ((number, intent_id, parking),) if intent_id or parking else ()
        return self._replace(intents=tuple(sorted((*others, *new))))

    def without_intents(self, first: int, last: int) -> LogState:
        """Return the state without the intents and resolved parkings of the writes first..last."""
        if not any(first <= intent[0] <= last for intent in self.intents):
            return self
        return self._replace(
            intents=tuple(intent for intent in self.intents if not first <= intent[0] <= last)
        )

    def with_final_status(self, first: int, last: int, write_status: WriteStatus) -> LogState:
        """Return the state in which each write of first..last that was not final has `write_status`, which is
        APPLIED or ABANDONED.
        """
        applied, abandoned = self.applied, self.abandoned
        for start, end in gaps(self.abandoned, max(first, self.low_watermark + 1), last):
            if write_status is WriteStatus.APPLIED:
                applied = add(applied, start, end)
            else:
                for gap in gaps(self.applied, start, end):
                    abandoned = add(abandoned, *gap)
        state = self.without_intents(first, last)
        state = state._replace(applied=applied, abandoned=abandoned, parked=remove(state.parked, first, last))
        return state._with_raised_watermark()

    def _with_raised_watermark(self) -> LogState:
        """Return the state with its low watermark as high as the final writes allow."""
        low_watermark, applied = self.low_watermark, self.applied
        while True:
            if applied and applied[0][0] <= low_watermark + 1:
                low_watermark, applied = max(low_watermark, applied[0][1]), applied[1:]
            elif contains(self.abandoned, low_watermark + 1):
                low_watermark = next(
                    last for first, last in self.abandoned if first <= low_watermark + 1 <= last
                )
            else:
                return (
                    self
                    if low_watermark == self.low_watermark
                    else self._replace(low_watermark=low_watermark, applied=applied)
                )

    def as_lost(self) -> LogState:
        """Return the state of the log once it is declared lost: without holder, parked writes and intents."""
        return self._replace(holder=0, holder_changes=0, parked=EMPTY, intents=())

    def _replace(self, **changes: object) -> LogState:
        return msgspec.structs.replace(self, **changes)


class LedgerSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """All of the ledger's state: logs by edge and incarnation, lost edges, and ids of withdrawn intents."""

    log_states: tuple[tuple[str, int, LogState], ...] = ()
    lost_edges: tuple[str, ...] = ()
    withdrawn_intents: tuple[int, ...] = ()


def check_snapshot(snapshot: LedgerSnapshot) -> None:
    """Raise ValueError for a snapshot that `ReplicatedLedger.dump` can't have produced."""
    for edge, incarnation, state in snapshot.log_states:
        check_edge(edge)
        ids = (state.holder, *(intent_id for _, intent_id, _ in state.intents))
        numbers = [number for number, _, _ in state.intents]
        if not (0 < incarnation < ID_END and all(0 <= id < ID_END for id in ids)):
            raise ValueError("incarnation, holder or intent id out of range")
        if not (0 <= state.low_watermark < NUMBER_END and state.holder_changes >= 0):
            raise ValueError("low watermark or count of holder changes out of range")
        if not all(
            is_canonical(ranges, NUMBER_END) for ranges in (state.applied, state.abandoned, state.parked)
        ):
            raise ValueError("ranges are out of order, overlap, touch or are out of range")
        if numbers != sorted(set(numbers)) or not all(
            intent_id or parking for _, intent_id, parking in state.intents
        ):
            raise ValueError("intents are out of order, repeated or empty")
    for edge in snapshot.lost_edges:
        check_edge(edge)
    if not all(0 < intent_id < ID_END for intent_id in snapshot.withdrawn_intents):
        raise ValueError("id of a withdrawn intent out of range")
