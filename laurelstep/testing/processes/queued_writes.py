"""The checks of writes that edges queue and replay upstream, without I/O: events in, violations out.

Times are in µs of the machine's monotonic clock. A write is an operation that a client wants executed once;
it has one name, however many attempts the client makes. `FinalWriteStatus` is the write's receipt after all
faults are healed and all replays have ended. Each violation names the write:

1. `not applied`: a write that was acknowledged as queued is executed, unless it is dead-lettered or waits for
   a write that is, an operator has resolved it, or each edge that queued it was declared lost. `not final`:
   the write ends in a final state, or waits for a dead-lettered write.
2. `executed twice`: no write is executed twice, and neither are two writes with the same idempotency key.
3. `out of order`: a write is executed after each of its causes. Its causes are the writes that it named and
   whose acknowledgement (queued or served) its client had before the first attempt, and their causes. A cause
   that was resolved (as executed, as abandoned, or by the loss of its edge) is not waited for.
4. `unknown write`: a write that is delivered was attempted before, with the same body.
5. `wrong key`: a keyed write is delivered with its own key, an unsafe one without a key.
6. `rejected and executed`: an unsafe write is not executed if all its attempts were rejected (429, 503) or
   invalid (400, 422).
7. `dead letter without a reason`: the receipt of a dead-lettered write gives a reason.
8. `applied, not executed`: a write whose receipt says that it was applied was executed, or an operator has
   resolved it.
9. `abandoned and executed`: an abandoned write is not executed afterwards.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Final

from laurelstep.testing.processes.history_checks import (
    Violation,
)

NOT_APPLIED: Final = "not applied"
NOT_FINAL: Final = "not final"
EXECUTED_TWICE: Final = "executed twice"
OUT_OF_ORDER: Final = "out of order"
UNKNOWN_WRITE: Final = "unknown write"
WRONG_KEY: Final = "wrong key"
REJECTED_AND_EXECUTED: Final = "rejected and executed"
DEAD_LETTER_WITHOUT_REASON: Final = "dead letter without a reason"
APPLIED_NOT_EXECUTED: Final = "applied, not executed"
ABANDONED_AND_EXECUTED: Final = "abandoned and executed"

FINAL_STATES: Final = frozenset(("done", "parked", "given_up"))
REJECTION_STATUSES: Final = frozenset((400, 422, 429, 503))


@dataclass(frozen=True, slots=True)
class WriteAttempted:
    """A client begins an attempt. `key` is None for an unsafe write; `follows` are the named causes."""

    at_us: int
    write: str
    key: str | None
    body: bytes
    follows: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class WriteQueued:
    """The client has received the acknowledgement that its write is queued at this edge."""

    at_us: int
    write: str
    edge: str


@dataclass(frozen=True, slots=True)
class WriteAnswered:
    """The client has received another final answer with this status, or none (0)."""

    at_us: int
    write: str
    status: int


@dataclass(frozen=True, slots=True)
class WriteDelivered:
    """A server has received the write. `was_executed` is False for a repeat that it dropped by its key."""

    at_us: int
    write: str
    key: str | None
    body: bytes
    was_executed: bool = True


@dataclass(frozen=True, slots=True)
class OperatorResolution:
    """An operator has resolved the write; `resolution` is as in the API: `ran`, `give_up`, ..."""

    at_us: int
    write: str
    resolution: str


@dataclass(frozen=True, slots=True)
class EdgeDeclaredLost:
    """An operator has declared the edge lost."""

    at_us: int
    edge: str


@dataclass(frozen=True, slots=True)
class FinalWriteStatus:
    """The final receipt of a write. `waits_for` is a write at another edge, empty for none."""

    write: str
    state: str
    reason: str = ""
    waits_for: str = ""


QueuedWriteEvent = (
    WriteAttempted
    | WriteQueued
    | WriteAnswered
    | WriteDelivered
    | OperatorResolution
    | EdgeDeclaredLost
    | FinalWriteStatus
)


def check_queued_writes(events: Sequence[QueuedWriteEvent]) -> list[Violation]:
    """Return all violations, in the order of the rules."""
    return list(_WriteLedger(events).violations())


class _WriteLedger:
    """The events by write, and the checks of the rules."""

    def __init__(self, events: Sequence[QueuedWriteEvent]) -> None:
        self.attempts: dict[str, list[WriteAttempted]] = defaultdict(list)
        self.queued: dict[str, list[WriteQueued]] = defaultdict(list)
        self.answers: dict[str, list[WriteAnswered]] = defaultdict(list)
        self.deliveries: list[WriteDelivered] = []
        self.executions: dict[str, list[WriteDelivered]] = defaultdict(list)
        self.resolutions: dict[str, list[OperatorResolution]] = defaultdict(list)
        self.lost_edges: set[str] = set()
        self.final_statuses: dict[str, list[FinalWriteStatus]] = defaultdict(list)
        for event in events:
            match event:
                case WriteAttempted():
                    self.attempts[event.write].append(event)
                case WriteQueued():
                    self.queued[event.write].append(event)
                case WriteAnswered():
                    self.answers[event.write].append(event)
                case WriteDelivered():
                    self.deliveries.append(event)
                    if event.was_executed:
                        self.executions[event.write].append(event)
                case OperatorResolution():
                    self.resolutions[event.write].append(event)
                case EdgeDeclaredLost():
                    self.lost_edges.add(event.edge)
                case FinalWriteStatus():
                    self.final_statuses[event.write].append(event)

    def violations(self) -> Iterator[Violation]:
        """Yield all violations, in the order of the rules."""
        yield from self._check_applied()
        yield from self._check_duplicates()
        yield from self._check_order()
        yield from self._check_deliveries()
        yield from self._check_rejected()
        yield from self._check_statuses()

    # --- Each rule --------------------------------------------------------------------

    def _check_applied(self) -> Iterator[Violation]:
        """Rule 1."""
        for write, queued in self.queued.items():
            statuses = self.final_statuses.get(write, ())
            for status in statuses:
                if status.state not in FINAL_STATES and not self._is_dead_lettered(write):
                    yield _violation(NOT_FINAL, write, f"its state is {status.state}")
            if not (self.executions.get(write) or self._is_dead_lettered(write) or self._is_resolved(write)):
                states = ", ".join(status.state for status in statuses) or "no receipt"
                edges = ", ".join(event.edge for event in queued)
                yield _violation(NOT_APPLIED, write, f"queued at {edges}; {states}")

    def _is_dead_lettered(self, write: str) -> bool:
        """Whether the write, or one that it waits for, is dead-lettered."""
        seen: set[str] = set()
        while write and write not in seen:
            seen.add(write)
            statuses = self.final_statuses.get(write, ())
            if any(status.state == "parked" for status in statuses):
                return True
            write = next((status.waits_for for status in statuses), "")
        return False

    def _check_duplicates(self) -> Iterator[Violation]:
        """Rule 2."""
        for write, executions in self.executions.items():
            if len(executions) > 1:
                yield _violation(EXECUTED_TWICE, write, f"{len(executions)} times")
        key_counts = Counter(
            event.key
            for executions in self.executions.values()
            for event in executions[:1]
            if event.key is not None
        )
        for key, count in key_counts.items():
            if count > 1:
                yield _violation(EXECUTED_TWICE, key, f"the key was executed {count} times")

    def _check_order(self) -> Iterator[Violation]:
        """Rule 3."""
        direct_causes = {write: self._causes_of(attempts[0]) for write, attempts in self.attempts.items()}
        for write, executions in self.executions.items():
            for cause in sorted(_all_causes(write, direct_causes)):
                cause_executions = self.executions.get(cause)
                if cause_executions is None:
                    if not self._is_resolved(cause):
                        yield _violation(OUT_OF_ORDER, write, f"executed without {cause}")
                elif executions[0].at_us < cause_executions[0].at_us and not self._is_resolved(cause):
                    yield _violation(OUT_OF_ORDER, write, f"executed before {cause}")

    def _causes_of(self, attempt: WriteAttempted) -> set[str]:
        """Return the causes that an attempt named and whose acknowledgement its client had received."""
        return {cause for cause in attempt.follows if self._was_acknowledged_by(cause, attempt.at_us)}

    def _was_acknowledged_by(self, write: str, at_us: int) -> bool:
        queued = any(event.at_us <= at_us for event in self.queued.get(write, ()))
        return queued or any(
            answer.status == 200 and answer.at_us <= at_us for answer in self.answers.get(write, ())
        )

    def _is_resolved(self, write: str) -> bool:
        """Whether an operator has resolved the write, or declared lost each edge that queued it."""
        queued = self.queued.get(write, ())
        is_lost = bool(queued) and all(event.edge in self.lost_edges for event in queued)
        return is_lost or any(
            event.resolution in ("ran", "give_up") for event in self.resolutions.get(write, ())
        )

    def _check_deliveries(self) -> Iterator[Violation]:
        """Rules 4 and 5."""
        for event in self.deliveries:
            attempts = [
                attempt for attempt in self.attempts.get(event.write, ()) if attempt.at_us <= event.at_us
            ]
            if not attempts:
                yield _violation(UNKNOWN_WRITE, event.write, "delivered without an attempt")
            elif all(attempt.body != event.body for attempt in attempts):
                yield _violation(UNKNOWN_WRITE, event.write, "delivered with another body")
            elif event.key != attempts[0].key:
                yield _violation(WRONG_KEY, event.write, f"key {attempts[0].key!r} arrived as {event.key!r}")

    def _check_rejected(self) -> Iterator[Violation]:
        """Rule 6."""
        for write, attempts in self.attempts.items():
            answers = self.answers.get(write, ())
            rejected = [answer for answer in answers if answer.status in REJECTION_STATUSES]
            if attempts[0].key is None and len(rejected) == len(attempts) and self.executions.get(write):
                yield _violation(REJECTED_AND_EXECUTED, write, f"answered {rejected[-1].status}")

    def _check_statuses(self) -> Iterator[Violation]:
        """Rules 7 to 9."""
        for write, statuses in self.final_statuses.items():
            for status in statuses:
                if status.state == "parked" and not status.reason:
                    yield _violation(DEAD_LETTER_WITHOUT_REASON, write, "its receipt gives none")
                if status.state == "done" and not (self.executions.get(write) or self._is_resolved(write)):
                    yield _violation(APPLIED_NOT_EXECUTED, write, "no server has executed it")
        for write, resolutions in self.resolutions.items():
            abandoned_at_us = [event.at_us for event in resolutions if event.resolution == "give_up"]
            if abandoned_at_us and any(
                event.at_us > min(abandoned_at_us) for event in self.executions.get(write, ())
            ):
                yield _violation(ABANDONED_AND_EXECUTED, write, "executed after the resolution")


def _all_causes(write: str, direct_causes: Mapping[str, Iterable[str]]) -> set[str]:
    """Return the write's direct and indirect causes."""
    causes: set[str] = set()
    pending = list(direct_causes.get(write, ()))
    while pending:
        cause = pending.pop()
        if cause not in causes:
            causes.add(cause)
            pending += direct_causes.get(cause, ())
    return causes


def _violation(rule: str, write: str, detail: str) -> Violation:
    return Violation(rule, None, write, detail)
