"""The replicated ledger: what the copies upstream have agreed on about queued writes. Pure.

It is a `StateMachine` of consensus and implements the `VersionVectors` that a copy reads. The rules:

1. For each edge log the ledger holds: the log's holder, which is at first the log's own incarnation; the low
   watermark, up to which all writes are final; the applied numbers above it; the abandoned and the parked
   numbers, as ranges; and the intents of unsafe writes with their ids.
2. Applied and abandoned are final. No later entry takes either back, even one that records the other.
3. An intent is granted only to the log's holder, for a write that is not final and has no other intent, and
   never under an intent id that was withdrawn. It ends when the write becomes final, when this very intent is
   withdrawn, or when the holder records that the write never ran under it. Such a record names the
   parking that the operator resolved, and each parking is resolved once: a record that arrives late does not
   affect a later intent. An operator must not resolve a write as never run while an attempt may be in flight:
   the ledger can't detect that.
4. A lease on a log is granted if the entry names the present holder and how often the holder changed before.
   A lease that an operator forces need not name the holder. The former holder gets no further grants.
5. A status that the holder records applies to the writes that are not final yet. If the holder records all
   writes up to a number as applied, those that are not abandoned become applied.
6. Once a log is lost, its writes that are not applied are abandoned, nobody holds it, and nothing about it
   changes any more. A lost edge loses all its logs, also those of later incarnations.
7. All writes up to a number together count as applied once each of them is applied or abandoned. If the log
   is lost before that, they count as abandoned.
8. A change that would exceed a limit is refused and counted: the state stays as it is, and nothing is evicted
   to make room. The one exception is the list of withdrawn intent ids, whose oldest is evicted: at worst a
   late intent under that id is then granted for a write that is never sent.
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
from laurelstep.outbox.shared.ranges import add, gaps, remove
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId

__all__ = [
    "MAX_BEGUN", "MAX_LINES", "MAX_LOST", "MAX_PARKED", "MAX_RANGES", "MAX_SPANS", "MAX_WITHDRAWN",
    "ReplicatedLedger",
]  # fmt: skip

# Each limit but the last is named after the key under which `status` counts what it refused.

# Edge logs. An incarnation that queued a write leaves one log in the ledger for ever.
MAX_LINES: Final = 4_096
# Ranges of applied and abandoned writes in one log, and of parked writes in one log.
MAX_RANGES: Final = 256
MAX_PARKED: Final = 256
# Ranges of any kind, and intents or resolved parkings, over all logs. They keep a snapshot within consensus's
# size limit.
MAX_SPANS: Final = 16_384
MAX_BEGUN: Final = 1_024
# Edges declared lost.
MAX_LOST: Final = 1_024
# Ids of withdrawn intents. The oldest are evicted.
MAX_WITHDRAWN: Final = 512


_decoder: Final[msgspec.msgpack.Decoder[LedgerSnapshot]] = msgspec.msgpack.Decoder(LedgerSnapshot)


class ReplicatedLedger:
    """One copy's replica of the ledger, by the rules at the head of the module."""

    def __init__(self) -> None:
        # Called after each entry, with its bytes as `apply` received them.
        self.on_applied: Callable[[bytes], None] = lambda data: None
        self.ignored_count = 0  # entries that could not be read
        self.refusal_counts = dict.fromkeys(("lines", "ranges", "parked", "spans", "begun", "lost"), 0)
        self._log_states: dict[EdgeLog, LogState] = {}
        self._lost_edges: set[str] = set()
        self._withdrawn_intents: dict[int, None] = {}  # oldest first
        self._range_count = self._intent_count = 0

    # --- StateMachine -----------------------------------------------------------------

    def apply(self, index: int, data: bytes) -> None:
        """Apply a committed entry; count and ignore one that can't be read."""
        entry = unpack(data)
        if entry is None:
            self.ignored_count += 1
        else:
            self._apply(entry)
        self.on_applied(data)

    def dump(self) -> bytes:
        """Return the whole state as bytes. Equal states give equal bytes."""
        log_states = tuple(
            (*edge_log, state)
            for edge_log, state in sorted(self._log_states.items(), key=lambda item: item[0])
        )
        snapshot = LedgerSnapshot(log_states, tuple(sorted(self._lost_edges)), tuple(self._withdrawn_intents))
        return msgspec.msgpack.encode(snapshot)

    def load(self, raw: bytes) -> None:
        """Replace the state by one that `dump` returned, or by an empty one for no bytes. `StoredStateError`,
        with nothing changed, if the bytes can't be read.
        """
        try:
            snapshot = _decoder.decode(raw) if raw else LedgerSnapshot()
            check_snapshot(snapshot)
        except (msgspec.MsgspecError, ValueError, RecursionError, OverflowError) as error:
            raise StoredStateError(f"snapshot of the ledger of queued writes: {error}") from None
        self._log_states = {
            EdgeLog(edge, incarnation): state for edge, incarnation, state in snapshot.log_states
        }
        self._lost_edges = set(snapshot.lost_edges)
        self._withdrawn_intents = dict.fromkeys(snapshot.withdrawn_intents)
        self._range_count = sum(state.range_count for state in self._log_states.values())
        self._intent_count = sum(len(state.intents) for state in self._log_states.values())

    # --- VersionVectors ---------------------------------------------------------------

    def write_status(self, dependency: Dependency) -> WriteStatus:
        """The agreed status of a write, or with `before` of all writes of its log up to it."""
        state = self._log_state(dependency.edge_log)
        return (
            state.write_status_up_to(dependency.number)
            if dependency.before
            else state.write_status(dependency.number)
        )

    def holder(self, edge_log: EdgeLog) -> int:
        """The incarnation that may replay the log; 0 if the log is lost."""
        return self._log_state(edge_log).holder

    def intent_status(self, write_id: WriteId, incarnation: int, intent_id: int) -> IntentStatus:
        """Whether a gate may send an unsafe write, which `incarnation` replays, under this intent id."""
        state = self._log_state(write_id.edge_log)
        write_status = state.write_status(write_id.number)
        if write_status is WriteStatus.APPLIED:
            return IntentStatus.APPLIED
        if write_status is WriteStatus.ABANDONED or state.holder != incarnation:
            return IntentStatus.FENCED
        granted_id = state.intent_id(write_id.number)
        if granted_id == 0:
            return IntentStatus.OPEN
        return IntentStatus.MINE if granted_id == intent_id else IntentStatus.OTHERS

    def lease_status(self, request: LeaseRequest) -> LeaseStatus:
        """Whether the requester holds the log, may still get it, or is fenced. OPEN also while there is no
        room for the log.
        """
        holder = self._log_state(request.edge_log).holder
        if holder == 0:
            return LeaseStatus.FENCED
        if holder == request.incarnation:
            return LeaseStatus.HELD
        return (
            LeaseStatus.OPEN if request.is_forced or holder in request.known_holders else LeaseStatus.FENCED
        )

    def agrees_with(self, update: StatusUpdate) -> bool:
        """Whether the ledger shows the update's status. True also for a write that is final with another
        status, because that can't change.
        """
        state, number = self._log_state(update.write_id.edge_log), update.write_id.number
        write_status = state.write_status_up_to(number) if update.before else state.write_status(number)
        if write_status in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
            return True
        if update.withdraw_intent and update.parking:
            return state.resolved_parking(number) >= update.parking
        return write_status is update.write_status and not (
            update.withdraw_intent and state.intent_id(number)
        )

    # --- Entries to propose next --------------------------------------------------------

    def is_withdrawn(self, intent_id: int) -> bool:
        """Whether the intent was withdrawn: even a late one is not granted under this id any more."""
        return intent_id in self._withdrawn_intents

    def lease_entry(self, request: LeaseRequest) -> LogLease | None:
        """The entry that would grant the request now; None if the request is not open."""
        if self.lease_status(request) is not LeaseStatus.OPEN:
            return None
        state = self._log_state(request.edge_log)
        return LogLease(
            request.edge_log, request.incarnation, state.holder, state.holder_changes, request.is_forced
        )

    def status_entry(self, update: StatusUpdate) -> StatusRecord | None:
        """The entry that would make the ledger agree with the update; None if it agrees already."""
        if self.agrees_with(update):
            return None
        if not update.withdraw_intent:
            return StatusRecord(update.write_id, update.write_status, update.incarnation, update.before)
        intent_id = self._log_state(update.write_id.edge_log).intent_id(update.write_id.number)
        return StatusRecord(
            update.write_id, update.write_status, update.incarnation, update.before, intent_id, update.parking
        )

    def status(self) -> dict[str, int]:
        """Sizes and counters for the operator's status report, as JSON types."""
        refused = {f"refused_{name}": count for name, count in self.refusal_counts.items()}
        return {
            "lines": len(self._log_states),
            "spans": self._range_count,
            "begun": self._intent_count,
            "lost_edges": len(self._lost_edges),
            "ignored": self.ignored_count,
            **refused,
        }

    # --- Applying entries -------------------------------------------------------------

    def _log_state(self, edge_log: EdgeLog) -> LogState:
        state = self._log_states.get(edge_log)
        return state if state is not None else self._initial_state(edge_log)

    def _initial_state(self, edge_log: EdgeLog) -> LogState:
        return LogState(0 if edge_log.edge in self._lost_edges else edge_log.incarnation)

    def _apply(self, entry: LedgerEntry) -> None:
        match entry:
            case Intent():
                self._apply_intent(entry)
            case IntentWithdrawal():
                self._apply_withdrawal(entry)
            case WriteApplied():
                self._set_status(entry.write_id, entry.write_id.number, WriteStatus.APPLIED)
            case LogLease():
                self._apply_lease(entry)
            case StatusRecord():
                self._apply_status_record(entry)
            case EdgeLost():
                self._apply_lost(entry)

    def _apply_intent(self, entry: Intent) -> None:
        state, number = self._log_state(entry.write_id.edge_log), entry.write_id.number
        if (
            self.intent_status(entry.write_id, entry.incarnation, entry.intent_id) is not IntentStatus.OPEN
            or entry.intent_id in self._withdrawn_intents
        ):
            return
        # The holder replays the write, so the write is no longer parked.
        state = msgspec.structs.replace(state, parked=remove(state.parked, number, number))
        self._put(
            entry.write_id.edge_log,
            state.with_intent(number, entry.intent_id, state.resolved_parking(number)),
        )

    def _apply_withdrawal(self, entry: IntentWithdrawal) -> None:
        state, number = self._log_state(entry.write_id.edge_log), entry.write_id.number
        if state.intent_id(number) == entry.intent_id:
            self._put(entry.write_id.edge_log, state.with_intent(number, 0, state.resolved_parking(number)))
        self._remember_withdrawn(entry.intent_id)

    def _remember_withdrawn(self, intent_id: int) -> None:
        if intent_id not in self._withdrawn_intents:
            if len(self._withdrawn_intents) >= MAX_WITHDRAWN:
                del self._withdrawn_intents[next(iter(self._withdrawn_intents))]
            self._withdrawn_intents[intent_id] = None

    def _apply_lease(self, entry: LogLease) -> None:
        state = self._log_state(entry.edge_log)
        if state.holder in (0, entry.incarnation) or state.holder_changes != entry.holder_changes:
            return
        if entry.is_forced or state.holder == entry.previous_holder:
            self._put(
                entry.edge_log,
                msgspec.structs.replace(
                    state, holder=entry.incarnation, holder_changes=state.holder_changes + 1
                ),
            )

    def _apply_status_record(self, entry: StatusRecord) -> None:
        state, number = self._log_state(entry.write_id.edge_log), entry.write_id.number
        if state.holder == 0 or state.holder != entry.incarnation:
            return
        if (entry.intent_id or entry.parking) and not self._resolve_as_never_run(entry, state):
            return
        self._set_status(entry.write_id, 1 if entry.before else number, entry.write_status)

    def _resolve_as_never_run(self, entry: StatusRecord, state: LogState) -> bool:
        """Remove the write's intent and remember the resolved parking. False if the record is late, is for
        another intent, or exceeds a limit.
        """
        number, resolved_parking = entry.write_id.number, state.resolved_parking(entry.write_id.number)
        if state.intent_id(number) != entry.intent_id or 0 < entry.parking <= resolved_parking:
            return False
        if state.write_status(number) in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
            return True
        if not self._put(
            entry.write_id.edge_log, state.with_intent(number, 0, max(resolved_parking, entry.parking))
        ):
            return False
        if entry.intent_id:
            self._remember_withdrawn(entry.intent_id)
        return True

    def _set_status(self, write_id: WriteId, first: int, write_status: WriteStatus) -> None:
        """Give the writes from `first` to `write_id` that are not final the status."""
        state = self._log_state(write_id.edge_log)
        if state.holder == 0:
            return
        if write_status in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
            self._put(write_id.edge_log, state.with_final_status(first, write_id.number, write_status))
            return
        parked = remove(state.parked, first, write_id.number)
        if write_status is WriteStatus.PARKED:
            for start, end in gaps(state.abandoned, max(first, state.low_watermark + 1), write_id.number):
                for gap in gaps(state.applied, start, end):
                    parked = add(parked, *gap)
        self._put(write_id.edge_log, msgspec.structs.replace(state, parked=parked))

    def _apply_lost(self, entry: EdgeLost) -> None:
        if entry.incarnation:
            edge_log = EdgeLog(entry.edge, entry.incarnation)
            self._put(edge_log, self._log_state(edge_log).as_lost())
        elif entry.edge not in self._lost_edges:
            if len(self._lost_edges) >= MAX_LOST:
                self.refusal_counts["lost"] += 1
                return
            self._lost_edges.add(entry.edge)
            for edge_log in [edge_log for edge_log in self._log_states if edge_log.edge == entry.edge]:
                self._put(edge_log, self._log_states[edge_log].as_lost())

    def _put(self, edge_log: EdgeLog, state: LogState) -> bool:
        """Store the log's new state; False if it would exceed a limit. A log in its initial state takes no
        room.
        """
        stored = self._log_states.get(edge_log)
        initial = self._initial_state(edge_log)
        previous = initial if stored is None else stored
        if state == previous and state != initial:
            return True
        added_ranges, added_intents = (
            state.range_count - previous.range_count,
            len(state.intents) - len(previous.intents),
        )
        if (
            limit := self._exceeded_limit(
                stored is None and state != initial, previous, state, added_ranges, added_intents
            )
        ) is not None:
            self.refusal_counts[limit] += 1
            return False
        self._range_count += added_ranges
        self._intent_count += added_intents
        if state == initial:
            self._log_states.pop(edge_log, None)
        else:
            self._log_states[edge_log] = state
        return True

    def _exceeded_limit(
        self, is_new: bool, previous: LogState, state: LogState, added_ranges: int, added_intents: int
    ) -> str | None:
        """The key of the limit that the new state would exceed. A state that takes no more room than the
        previous one exceeds none.
        """
        if is_new and len(self._log_states) >= MAX_LINES:
            return "lines"
        if len(state.applied) + len(state.abandoned) > max(
            MAX_RANGES, len(previous.applied) + len(previous.abandoned)
        ):
            return "ranges"
        if len(state.parked) > max(MAX_PARKED, len(previous.parked)):
            return "parked"
        if added_ranges > 0 and self._range_count + added_ranges > MAX_SPANS:
            return "spans"
        return "begun" if added_intents > 0 and self._intent_count + added_intents > MAX_BEGUN else None
