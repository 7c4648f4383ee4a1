"""What the ledger knows of one log, and the form in which all logs are saved. Pure.

States are arrays in msgpack: fields are only ever added at the end.
"""

from __future__ import annotations

from bisect import bisect_left

import msgspec

from laurelstep.outbox.shared.entries import (
    ID_END,
    NUMBER_END,
)
from laurelstep.outbox.shared.ranges import NONE, Ranges, add, cut, has, missing, well_formed
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import check_edge

__all__ = ["LedgerSnapshot", "LogState", "check_snapshot"]


class LogState(msgspec.Struct, frozen=True, array_like=True):
    """Of one log: who may replay it, which of its writes are over, and which have an intent."""

    holder: int  # 0: lost
    turn: int = 0
    low: int = 0
    ins: Ranges = NONE  # above low
    gone: Ranges = NONE  # anywhere
    parked: Ranges = NONE  # above low
    # Number, ask, and the last parking that was judged never to have run; sorted. Ask 0: it is not begun.
    begun: tuple[tuple[int, int, int], ...] = ()

    @property
    def spans(self) -> int:
        """How many ranges it takes."""
        return len(self.ins) + len(self.gone) + len(self.parked)

    def write_status(self, number: int) -> WriteStatus:
        """What became of one write."""
        if has(self.gone, number):
            return WriteStatus.ABANDONED
        if number <= self.low or has(self.ins, number):
            return WriteStatus.APPLIED
        if self.holder == 0:
            return WriteStatus.ABANDONED
        return WriteStatus.PARKED if has(self.parked, number) else WriteStatus.UNKNOWN

    def write_status_up_to(self, number: int) -> WriteStatus:
        """What became of all writes up to one."""
        if number <= self.low:
            return WriteStatus.APPLIED
        if self.holder == 0:
            return WriteStatus.ABANDONED
        return WriteStatus.PARKED if self.parked and self.parked[0][0] <= number else WriteStatus.UNKNOWN

    def begun_by(self, number: int) -> int:
        """The ask; 0 if it is not begun."""
        return self._begun(number)[0]

    def resolved(self, number: int) -> int:
        """The last parking of which it was said that it never ran."""
        return self._begun(number)[1]

    def _begun(self, number: int) -> tuple[int, int]:
        place = bisect_left(self.begun, (number,))
        if place < len(self.begun) and self.begun[place][0] == number:
            return self.begun[place][1:]
        return 0, 0

    def with_begun(self, number: int, ask: int, parking: int) -> LogState:
        """With an intent of this query, or none for 0, and the last parking that was resolved."""
        others = (one for one in self.begun if one[0] != number)
        new = ((number, ask, parking),) if ask or parking else ()
        return self._with(begun=tuple(sorted((*others, *new))))

    def without_begun(self, first: int, last: int) -> LogState:
        """Without the intents of a range of writes."""
        if not any(first <= one[0] <= last for one in self.begun):
            return self
        return self._with(begun=tuple(one for one in self.begun if not first <= one[0] <= last))

    def over(self, first: int, last: int, write_status: WriteStatus) -> LogState:
        """All of first..last that are not over have become `fate`, which is in or gone."""
        ins, gone = self.ins, self.gone
        for start, end in missing(self.gone, max(first, self.low + 1), last):
            if write_status is WriteStatus.APPLIED:
                ins = add(ins, start, end)
            else:
                for one in missing(self.ins, start, end):
                    gone = add(gone, *one)
        row = self.without_begun(first, last)
        row = row._with(ins=ins, gone=gone, parked=cut(row.parked, first, last))
        return row._raised()

    def _raised(self) -> LogState:
        """`low` as high as it is true."""
        low, ins = self.low, self.ins
        while True:
            if ins and ins[0][0] <= low + 1:
                low, ins = max(low, ins[0][1]), ins[1:]
            elif has(self.gone, low + 1):
                low = next(last for first, last in self.gone if first <= low + 1 <= last)
            else:
                return self if low == self.low else self._with(low=low, ins=ins)

    def lost(self) -> LogState:
        """The log of an edge that will not come back."""
        return self._with(holder=0, turn=0, parked=NONE, begun=())

    def _with(self, **changes: object) -> LogState:
        return msgspec.structs.replace(self, **changes)


class LedgerSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """All logs, the edges that are lost, and the queries that were withdrawn."""

    rows: tuple[tuple[str, int, LogState], ...] = ()
    lost: tuple[str, ...] = ()
    is_withdrawn: tuple[int, ...] = ()


def check_snapshot(saved: LedgerSnapshot) -> None:
    """ValueError for what no `dump` gives."""
    for edge, incarnation, row in saved.rows:
        check_edge(edge)
        ids = (row.holder, *(ask for _, ask, _ in row.begun))
        numbers = [number for number, _, _ in row.begun]
        if not (0 < incarnation < ID_END and all(0 <= id < ID_END for id in ids)):
            raise ValueError("a life, incarnation or ask that can't be")
        if not (0 <= row.low < NUMBER_END and row.turn >= 0):
            raise ValueError("a number that can't be")
        if not all(well_formed(spans, NUMBER_END) for spans in (row.ins, row.gone, row.parked)):
            raise ValueError("ranges that can't be")
        if numbers != sorted(set(numbers)) or not all(ask or parking for _, ask, parking in row.begun):
            raise ValueError("begun ones that can't be")
    for edge in saved.lost:
        check_edge(edge)
    if not all(0 < ask < ID_END for ask in saved.is_withdrawn):
        raise ValueError("an ask that can't be")
