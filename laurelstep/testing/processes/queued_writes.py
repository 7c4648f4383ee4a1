"""The rules that writes queued at edges, and replayed upstream, are held against. Pure: events in,
violations out.

Times are in µs on the one monotonic clock of the machine. A write is what a client wants done once, under
one name, however many attempts it makes. `FinalWriteStatus` is what the write's receipt says once all faults
are healed and nothing moves any more. Each violation names the write:

1. `not applied`: a write acknowledged as queued takes effect, or is dead-lettered or waits for one that is,
   or was resolved by an operator, or was at an edge that was declared lost. `not final`: its state is a final
   one, or that of a write it waits for.
2. `executed twice`: no write takes effect twice, nor does an idempotency key.
3. `out of order`: a write takes effect after each of its causes. A write's causes are those it named that its
   client knew of (queued, or served) before its first attempt, and their causes. A cause that was resolved
   (it ran, it was abandoned, its edge is lost) holds nothing up.
4. `unknown write`: what takes effect was attempted before, with that body.
5. `wrong key`: a keyed write is delivered under its own key, an unsafe one without any.
6. `rejected and executed`: an unsafe write whose every attempt was rejected (429, 503) or in error (400, 422)
   runs nowhere.
7. `dead letter without a reason`: a dead-lettered write's receipt gives a reason.
8. `applied, not executed`: a write with the state of an applied one took effect, or an operator said so.
9. `abandoned and executed`: an abandoned write takes no effect later.
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
    """A client begins an attempt of a write. `key` is None for an unsafe one; `follows` are named causes."""

    at_us: int
    write: str
    key: str | None
    body: bytes
    follows: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class WriteQueued:
    """The client was told that its write is queued at this edge."""

    at_us: int
    write: str
    edge: str


@dataclass(frozen=True, slots=True)
class WriteAnswered:
    """The client got another final answer with this status, or none (0)."""

    at_us: int
    write: str
    status: int


@dataclass(frozen=True, slots=True)
class WriteDelivered:
    """A server received the write. `was_executed` is False for a repeat that it dropped by its key."""

    at_us: int
    write: str
    key: str | None
    body: bytes
    was_executed: bool = True


@dataclass(frozen=True, slots=True)
class OperatorResolution:
    """An operator has resolved the write, in the words of the API: `ran`, `give_up`, ..."""

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
    """What the receipt says in the end. `waits_for` is a write at another edge, empty for none."""

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
    """All violations, rule by rule."""
    return list(_WriteLedger(events).violations())


class _WriteLedger:
    """The events by write, and the checks on them."""

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
        """All violations, rule by rule."""
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
            for one in statuses:
                if one.state not in FINAL_STATES and not self._is_dead_lettered(write):
                    yield _violation(NOT_FINAL, write, f"it is {one.state}")
            if not (self.executions.get(write) or self._is_dead_lettered(write) or self._is_resolved(write)):
                states = ", ".join(one.state for one in statuses) or "no receipt"
                where = ", ".join(one.edge for one in queued)
                yield _violation(NOT_APPLIED, write, f"kept at {where}; {states}")

    def _is_dead_lettered(self, write: str) -> bool:
        """Whether the write is dead-lettered, or one that it waits for."""
        seen: set[str] = set()
        while write and write not in seen:
            seen.add(write)
            statuses = self.final_statuses.get(write, ())
            if any(one.state == "parked" for one in statuses):
                return True
            write = next((one.waits_for for one in statuses), "")
        return False

    def _check_duplicates(self) -> Iterator[Violation]:
        """Rule 2."""
        for write, times in self.executions.items():
            if len(times) > 1:
                yield _violation(EXECUTED_TWICE, write, f"{len(times)} times")
        keys = Counter(
            one.key for times in self.executions.values() for one in times[:1] if one.key is not None
        )
        for key, count in keys.items():
            if count > 1:
                yield _violation(EXECUTED_TWICE, key, f"the key took effect {count} times")

    def _check_order(self) -> Iterator[Violation]:
        """Rule 3."""
        direct = {write: self._causes_of(attempts[0]) for write, attempts in self.attempts.items()}
        for write, times in self.executions.items():
            for cause in sorted(_all_causes(write, direct)):
                earlier = self.executions.get(cause)
                if earlier is None:
                    if not self._is_resolved(cause):
                        yield _violation(OUT_OF_ORDER, write, f"it ran without {cause}")
                elif times[0].at_us < earlier[0].at_us and not self._is_resolved(cause):
                    yield _violation(OUT_OF_ORDER, write, f"it ran before {cause}")

    def _causes_of(self, one: WriteAttempted) -> set[str]:
        """The causes that an attempt named, as far as its client knew of them."""
        return {cause for cause in one.follows if self._is_known_before(cause, one.at_us)}

    def _is_known_before(self, write: str, at_us: int) -> bool:
        queued = any(one.at_us <= at_us for one in self.queued.get(write, ()))
        return queued or any(one.status == 200 and one.at_us <= at_us for one in self.answers.get(write, ()))

    def _is_resolved(self, write: str) -> bool:
        """Whether an operator resolved it, or declared each edge lost that queued it."""
        queued = self.queued.get(write, ())
        is_lost = bool(queued) and all(one.edge in self.lost_edges for one in queued)
        return is_lost or any(one.resolution in ("ran", "give_up") for one in self.resolutions.get(write, ()))

    def _check_deliveries(self) -> Iterator[Violation]:
        """Rules 4 and 5."""
        for one in self.deliveries:
            attempts = [each for each in self.attempts.get(one.write, ()) if each.at_us <= one.at_us]
            if not attempts:
                yield _violation(UNKNOWN_WRITE, one.write, "nobody had asked for it")
            elif all(each.body != one.body for each in attempts):
                yield _violation(UNKNOWN_WRITE, one.write, "with another body")
            elif one.key != attempts[0].key:
                yield _violation(WRONG_KEY, one.write, f"key {attempts[0].key!r} came as {one.key!r}")

    def _check_rejected(self) -> Iterator[Violation]:
        """Rule 6."""
        for write, attempts in self.attempts.items():
            answers = self.answers.get(write, ())
            rejected = [one for one in answers if one.status in REJECTION_STATUSES]
            if attempts[0].key is None and len(rejected) == len(attempts) and self.executions.get(write):
                yield _violation(REJECTED_AND_EXECUTED, write, f"answered {rejected[-1].status}")

    def _check_statuses(self) -> Iterator[Violation]:
        """Rules 7 to 9."""
        for write, statuses in self.final_statuses.items():
            for one in statuses:
                if one.state == "parked" and not one.reason:
                    yield _violation(DEAD_LETTER_WITHOUT_REASON, write, "its receipt gives none")
                if one.state == "done" and not (self.executions.get(write) or self._is_resolved(write)):
                    yield _violation(APPLIED_NOT_EXECUTED, write, "no server ran it")
        for write, resolutions in self.resolutions.items():
            abandoned_at_us = [one.at_us for one in resolutions if one.resolution == "give_up"]
            if abandoned_at_us and any(
                one.at_us > min(abandoned_at_us) for one in self.executions.get(write, ())
            ):
                yield _violation(ABANDONED_AND_EXECUTED, write, "after the resolution")


def _all_causes(write: str, direct: Mapping[str, Iterable[str]]) -> set[str]:
    """The write's causes, direct and indirect."""
    causes: set[str] = set()
    pending = list(direct.get(write, ()))
    while pending:
        cause = pending.pop()
        if cause not in causes:
            causes.add(cause)
            pending += direct.get(cause, ())
    return causes


def _violation(name: str, write: str, text: str) -> Violation:
    return Violation(name, None, write, text)
