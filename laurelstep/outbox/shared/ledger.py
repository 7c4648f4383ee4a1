"""What copies agreed on of queued writes. Pure: a `StateMachine` of consensus, and the `VersionVectors` that
are read.

1. Of each log: its holder (at first the life of its own incarnation), up to which number all are over,
   the numbers above it that are in, the gone and the parked ones as ranges, and the unsafe ones that were
   begun with the ask that began them.
2. In and gone are final: nothing that comes later takes either back, also where both are said.
3. A BEGIN is granted only to the log's holder, for a write that is not over and not begun by another ask,
   and never to an ask that was taken back. It ends with IN, with gone, by UNBEGIN of that very ask, or by the
   holder's word that this ask never ran it. Such a word names the parking that was judged, and each parking
   is judged once: one that comes late says nothing of what began since. An operator must not say it while a
   try may be on its way: the record can't see that.
4. A CLAIM holds if it names the present holder, and how often the holder changed before; an operator's
   force need not name the holder. Then the former one gets nothing more.
5. What the holder says holds of all that is not over. All up to a number are over: those that are not gone
   are in.
6. Of a log or edge that is lost (an edge: all its logs, later ones too) what is not in is gone; nobody
   holds it, and nothing of it changes any more.
7. All up to a number are in once each of them is in or gone; where the log is lost first, they are gone.
8. What does not fit in a bound is refused and counted: it changes nothing, and nothing is forgotten for it.
   The one exception is the list of asks that were taken back: an older one of them could only leave a write
   begun that was never sent.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Final

import msgspec

from laurelstep.consensus.errors import StoredStateError
from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.shared.entries import (
    EdgeLost,
    Intent,
    IntentWithdrawal,
    LedgerEntry,
    LogLease,
    StatusRecord,
    WriteApplied,
    unpack,
)
from laurelstep.outbox.shared.log_state import LedgerSnapshot, LogState, check_snapshot
from laurelstep.outbox.shared.messages import IntentStatus, LeaseRequest, LeaseStatus, StatusUpdate
from laurelstep.outbox.shared.ranges import add, cut, missing
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId

__all__ = [
    "BEGUN_MOST", "LINES_MOST", "LOST_MOST", "PARKED_MOST", "RANGES_MOST", "SPANS_MOST", "UNDONE_MOST",
    "ReplicatedLedger",
]  # fmt: skip

# A life that kept something leaves one line for ever.
LINES_MOST: Final = 4_096
# Of one line: ranges of in and gone, and of parked.
RANGES_MOST: Final = 256
PARKED_MOST: Final = 256
# Over all logs: ranges of any kind, and begun or judged ones. So a snapshot is within consensus's bound.
SPANS_MOST: Final = 16_384
BEGUN_MOST: Final = 1_024
# Edges declared lost.
LOST_MOST: Final = 1_024
# Asks that were taken back last.
UNDONE_MOST: Final = 512


_decoder: Final[msgspec.msgpack.Decoder[LedgerSnapshot]] = msgspec.msgpack.Decoder(LedgerSnapshot)


class ReplicatedLedger:
    """See the rules."""

    def __init__(self) -> None:
        # Called after each entry was applied, with its bytes as `apply` has them.
        self.applied: Callable[[bytes], None] = lambda data: None
        self.ignored = 0  # entries that could not be read
        self.refused = dict.fromkeys(("lines", "ranges", "parked", "spans", "begun", "lost"), 0)
        self._rows: dict[EdgeLog, LogState] = {}
        self._lost: set[str] = set()
        self._undone: dict[int, None] = {}  # in their order
        self._spans = self._begun = 0

    # --- StateMachine -----------------------------------------------------------------

    def apply(self, index: int, data: bytes) -> None:
        """Act on an agreed entry; what can't be read is counted."""
        entry = unpack(data)
        if entry is None:
            self.ignored += 1
        else:
            self._apply(entry)
        self.applied(data)

    def dump(self) -> bytes:
        """All of it as bytes: equal states give equal bytes."""
        rows = tuple(
            (*edge_log, row) for edge_log, row in sorted(self._rows.items(), key=lambda item: item[0])
        )
        saved = LedgerSnapshot(rows, tuple(sorted(self._lost)), tuple(self._undone))
        return msgspec.msgpack.encode(saved)

    def load(self, raw: bytes) -> None:
        """`StoredStateError`, with nothing changed, if it can't be read."""
        try:
            saved = _decoder.decode(raw) if raw else LedgerSnapshot()
            check_snapshot(saved)
        except (msgspec.MsgspecError, ValueError, RecursionError, OverflowError) as error:
            raise StoredStateError(f"the record of kept writes: {error}") from None
        self._rows = {EdgeLog(edge, incarnation): row for edge, incarnation, row in saved.rows}
        self._lost = set(saved.lost)
        self._undone = dict.fromkeys(saved.is_withdrawn)
        self._spans = sum(row.spans for row in self._rows.values())
        self._begun = sum(len(row.begun) for row in self._rows.values())

    # --- VersionVectors ---------------------------------------------------------------

    def write_status(self, dependency: Dependency) -> WriteStatus:
        """What is agreed of a write, or of all writes of a log up to one."""
        row = self._row(dependency.edge_log)
        return (
            row.write_status_up_to(dependency.number)
            if dependency.before
            else row.write_status(dependency.number)
        )

    def holder(self, edge_log: EdgeLog) -> int:
        """The life that may replay the log; 0 if it is lost."""
        return self._row(edge_log).holder

    def intent_status(self, write_id: WriteId, life: int, ask: int) -> IntentStatus:
        """What is agreed of an unsafe write for one query of a gate."""
        row = self._row(write_id.edge_log)
        write_status = row.write_status(write_id.number)
        if write_status is WriteStatus.APPLIED:
            return IntentStatus.APPLIED
        if write_status is WriteStatus.ABANDONED or row.holder != life:
            return IntentStatus.FENCED
        by = row.begun_by(write_id.number)
        if by == 0:
            return IntentStatus.OPEN
        return IntentStatus.MINE if by == ask else IntentStatus.OTHERS

    def lease_status(self, claim: LeaseRequest) -> LeaseStatus:
        """OPEN also where there is no room for the log yet."""
        holder = self._row(claim.edge_log).holder
        if holder == 0:
            return LeaseStatus.FENCED
        if holder == claim.life:
            return LeaseStatus.HELD
        return LeaseStatus.OPEN if claim.force or holder in claim.known else LeaseStatus.FENCED

    def agrees_with(self, told: StatusUpdate) -> bool:
        """True of what is over, also if it was told to be over otherwise: that is final."""
        row, number = self._row(told.write_id.edge_log), told.write_id.number
        write_status = row.write_status_up_to(number) if told.before else row.write_status(number)
        if write_status in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
            return True
        if told.withdraw_intent and told.parking:
            return row.resolved(number) >= told.parking
        return write_status is told.write_status and not (told.withdraw_intent and row.begun_by(number))

    # --- What is to be agreed next ------------------------------------------------------

    def is_withdrawn(self, ask: int) -> bool:
        """This ask was taken back: no BEGIN of it is granted, also if one comes late."""
        return ask in self._undone

    def lease_entry(self, claim: LeaseRequest) -> LogLease | None:
        """By which the claim would hold now; None if it is not open."""
        if self.lease_status(claim) is not LeaseStatus.OPEN:
            return None
        row = self._row(claim.edge_log)
        return LogLease(claim.edge_log, claim.life, row.holder, row.turn, claim.force)

    def status_entry(self, told: StatusUpdate) -> StatusRecord | None:
        """By which the record would say so; None if it does."""
        if self.agrees_with(told):
            return None
        if not told.withdraw_intent:
            return StatusRecord(told.write_id, told.write_status, told.life, told.before)
        ask = self._row(told.write_id.edge_log).begun_by(told.write_id.number)
        return StatusRecord(told.write_id, told.write_status, told.life, told.before, ask, told.parking)

    def status(self) -> dict[str, int]:
        """For an operator, in JSON's types."""
        refused = {f"refused_{name}": count for name, count in self.refused.items()}
        return {
            "lines": len(self._rows),
            "spans": self._spans,
            "begun": self._begun,
            "lost_edges": len(self._lost),
            "ignored": self.ignored,
            **refused,
        }

    # --- Entries ----------------------------------------------------------------------

    def _row(self, edge_log: EdgeLog) -> LogState:
        row = self._rows.get(edge_log)
        return row if row is not None else self._new(edge_log)

    def _new(self, edge_log: EdgeLog) -> LogState:
        return LogState(0 if edge_log.edge in self._lost else edge_log.incarnation)

    def _apply(self, entry: LedgerEntry) -> None:
        match entry:
            case Intent():
                self._begin(entry)
            case IntentWithdrawal():
                self._unbegin(entry)
            case WriteApplied():
                self._change(entry.write_id, entry.write_id.number, WriteStatus.APPLIED)
            case LogLease():
                self._hold(entry)
            case StatusRecord():
                self._said(entry)
            case EdgeLost():
                self._lose(entry)

    def _begin(self, entry: Intent) -> None:
        row, number = self._row(entry.write_id.edge_log), entry.write_id.number
        if (
            self.intent_status(entry.write_id, entry.life, entry.ask) is not IntentStatus.OPEN
            or entry.ask in self._undone
        ):
            return
        # Its holder replays it: it is parked no more.
        row = msgspec.structs.replace(row, parked=cut(row.parked, number, number))
        self._put(entry.write_id.edge_log, row.with_begun(number, entry.ask, row.resolved(number)))

    def _unbegin(self, entry: IntentWithdrawal) -> None:
        row, number = self._row(entry.write_id.edge_log), entry.write_id.number
        if row.begun_by(number) == entry.ask:
            self._put(entry.write_id.edge_log, row.with_begun(number, 0, row.resolved(number)))
        self._undo(entry.ask)

    def _undo(self, ask: int) -> None:
        if ask not in self._undone:
            if len(self._undone) >= UNDONE_MOST:
                del self._undone[next(iter(self._undone))]
            self._undone[ask] = None

    def _hold(self, entry: LogLease) -> None:
        row = self._row(entry.edge_log)
        if row.holder in (0, entry.life) or row.turn != entry.turn:
            return
        if entry.force or row.holder == entry.of:
            self._put(entry.edge_log, msgspec.structs.replace(row, holder=entry.life, turn=row.turn + 1))

    def _said(self, entry: StatusRecord) -> None:
        row, number = self._row(entry.write_id.edge_log), entry.write_id.number
        if row.holder == 0 or row.holder != entry.life:
            return
        if (entry.ask or entry.parking) and not self._judge(entry, row):
            return
        self._change(entry.write_id, 1 if entry.before else number, entry.write_status)

    def _judge(self, entry: StatusRecord, row: LogState) -> bool:
        """It never ran. False for a word that is late, or of another ask."""
        number, resolved = entry.write_id.number, row.resolved(entry.write_id.number)
        if row.begun_by(number) != entry.ask or 0 < entry.parking <= resolved:
            return False
        if row.write_status(number) in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
            return True
        if not self._put(entry.write_id.edge_log, row.with_begun(number, 0, max(resolved, entry.parking))):
            return False
        if entry.ask:
            self._undo(entry.ask)
        return True

    def _change(self, write_id: WriteId, first: int, write_status: WriteStatus) -> None:
        """What is not over of first..number becomes `fate`."""
        row = self._row(write_id.edge_log)
        if row.holder == 0:
            return
        if write_status in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
            self._put(write_id.edge_log, row.over(first, write_id.number, write_status))
            return
        parked = cut(row.parked, first, write_id.number)
        if write_status is WriteStatus.PARKED:
            for start, end in missing(row.gone, max(first, row.low + 1), write_id.number):
                for one in missing(row.ins, start, end):
                    parked = add(parked, *one)
        self._put(write_id.edge_log, msgspec.structs.replace(row, parked=parked))

    def _lose(self, entry: EdgeLost) -> None:
        if entry.incarnation:
            edge_log = EdgeLog(entry.edge, entry.incarnation)
            self._put(edge_log, self._row(edge_log).lost())
        elif entry.edge not in self._lost:
            if len(self._lost) >= LOST_MOST:
                self.refused["lost"] += 1
                return
            self._lost.add(entry.edge)
            for edge_log in [edge_log for edge_log in self._rows if edge_log.edge == entry.edge]:
                self._put(edge_log, self._rows[edge_log].lost())

    def _put(self, edge_log: EdgeLog, row: LogState) -> bool:
        """The log's new state, if it fits; one that says nothing is not kept."""
        old = self._rows.get(edge_log)
        new = self._new(edge_log)
        before = new if old is None else old
        if row == before and row != new:
            return True
        spans, begun = row.spans - before.spans, len(row.begun) - len(before.begun)
        if (why := self._bound(old is None and row != new, before, row, spans, begun)) is not None:
            self.refused[why] += 1
            return False
        self._spans += spans
        self._begun += begun
        if row == new:
            self._rows.pop(edge_log, None)
        else:
            self._rows[edge_log] = row
        return True

    def _bound(self, is_new: bool, old: LogState, row: LogState, spans: int, begun: int) -> str | None:
        """The bound that it would break; what takes no more than before breaks none."""
        if is_new and len(self._rows) >= LINES_MOST:
            return "lines"
        if len(row.ins) + len(row.gone) > max(RANGES_MOST, len(old.ins) + len(old.gone)):
            return "ranges"
        if len(row.parked) > max(PARKED_MOST, len(old.parked)):
            return "parked"
        if spans > 0 and self._spans + spans > SPANS_MOST:
            return "spans"
        return "begun" if begun > 0 and self._begun + begun > BEGUN_MOST else None
