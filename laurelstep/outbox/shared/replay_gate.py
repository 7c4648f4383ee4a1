"""Admits replays of edges at a copy upstream, by the ledger that the copies agree on.

The rules:

1. A replay is recognized by its sealed header. All other calls are the inner recorder's, if there is one.
2. While this copy's ledger is not up to date, or it is not in contact with a leader that a majority follows,
   it refuses all replays and queries.
3. An unsafe write is sent only once an intent with this replay's own intent id is agreed; each replay draws a
   new id. A keyed write needs no intent: upstream recognizes its repeats.
4. A served answer is delivered only after it is agreed that the write is applied. Otherwise the edge is
   answered that the write may have run.
5. If a replay has sent nothing and never will, the withdrawal of its intent is agreed before the refusal is
   delivered. If the agreement takes too long, the refusal is delivered all the same: it is true, because the
   call is over and nothing of it can be sent any more. As long as the intent stays in the ledger, the next
   replay is only answered that the write may have run; meanwhile the withdrawal is submitted further, by
   rule 6. So no retry can run the write twice.
6. An entry that was not agreed in time is submitted for another `LATE_ENTRY_TIMEOUT_US`, with at most
   `MAX_LATE_ENTRIES` such entries at a time. Giving up on one is safe: the write keeps its intent and is not
   recorded as applied.
7. A replay whose body is forwarded while it arrives is admitted by its head, and sent like any other upload.
   Its answer is buffered whole, as that of every replay. If the answer is over the limit on buffered answers,
   the write may have run.
"""

from __future__ import annotations

import asyncio
import secrets
from collections.abc import Callable, Coroutine, Mapping, Sequence
from dataclasses import dataclass
from typing import Any, Final

from laurelstep.consensus.errors import EntryError
from laurelstep.engine.call import Answer, Attempt, Call, Ending
from laurelstep.engine.ports import CallHost, Clock, Log, Recorder
from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.shared.entries import EdgeLost, Intent, IntentWithdrawal, LedgerEntry, WriteApplied
from laurelstep.outbox.shared.message_seal import MessageSeal, SealError
from laurelstep.outbox.shared.messages import (
    REPLAY_STATUS_HEADER,
    IntentStatus,
    LeaseRequest,
    LeaseStatus,
    QueryReply,
    ReplayQuery,
    StatusUpdate,
)
from laurelstep.outbox.shared.ports import AgreedLedger, Agreement
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId

__all__ = ["ReplayGate"]

# Time for agreement on an entry during a call. A leader is replaced in less.
AGREEMENT_TIMEOUT_US: Final = 5_000_000
# The end of a call's time that is reserved for sending its answer.
ANSWER_RESERVE_US: Final = 10_000
# Time for agreement on a query's requests and updates. The reply then says which of them are agreed.
QUERY_TIMEOUT_US: Final = 1_000_000
MAX_QUERIES: Final = 64
LATE_ENTRY_TIMEOUT_US: Final = 30_000_000
MAX_LATE_ENTRIES: Final = 256
# When an edge may retry after a refusal.
RETRY_AFTER_US: Final = 1_000_000
# Between two log lines about replays and queries that are not valid.
REJECTION_LOG_INTERVAL_US: Final = 10_000_000
# A lost edge loses all logs, also those not in the ledger: a log of this incarnation stands for them all.
_ANY_INCARNATION: Final = (1 << 64) - 1

TEXT_PLAIN: Final = (b"content-type", b"text/plain")


@dataclass(eq=False)
class GatedReplay:
    """A replay between `begin` and its final answer."""

    call: Call
    write_id: WriteId
    incarnation: int
    is_unsafe: bool
    intent_id: int = 0  # 0: no intent was submitted
    is_admitted: bool = False


class ReplayGate:
    """The engine's `Recorder` at a copy upstream. `classes`: the classes that edges may queue, by number, and
    whether writes of the class are unsafe.
    """

    def __init__(
        self,
        ledger: AgreedLedger,
        agreement: Agreement,
        seal: MessageSeal,
        classes: Mapping[int, bool],
        clock: Clock,
        log: Log,
        inner: Recorder | None = None,
        draw_intent_id: Callable[[], int] = lambda: secrets.randbits(64) or 1,
    ) -> None:
        self.ledger = ledger
        self.agreement = agreement
        self.seal = seal
        self.classes = dict(classes)
        self.clock = clock
        self.log = log
        self.inner = inner
        self.draw_intent_id = draw_intent_id
        self.replays: dict[Call, GatedReplay] = {}
        self.open_query_count = 0
        self.late_entry_count = 0
        self.counters = {"replays": 0, "in": 0, "fenced": 0, "begun": 0, "refused": 0, "late": 0, "bad": 0}
        self.last_rejection_logged_at = -REJECTION_LOG_INTERVAL_US
        self.tasks: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Cancel all tasks, and wait until they have ended."""
        for task in set(self.tasks):
            task.cancel()
        if self.tasks:
            await asyncio.wait(set(self.tasks))

    def status(self) -> dict[str, Any]:
        """The operator's status report, as JSON types."""
        return {"ready": self.agreement.is_ready, **self.ledger.status(), "gate": dict(self.counters)}

    def _spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # --- Before the call is admitted ----------------------------------------------------

    def begin(self, call: Call, engine: CallHost) -> bool:
        """As an engine's `Recorder`: True if this recorder takes the call."""
        sealed = call.causal_dependencies[3] if len(call.causal_dependencies) > 3 else b""
        if not sealed:
            return self.inner is not None and self.inner.begin(call, engine)
        try:
            identity = self.seal.open_replay(sealed.decode("latin-1"))
        except SealError as error:
            engine.settle(call, self._bad_seal_answer("a replay's identity", error))
            return True
        self.counters["replays"] += 1
        if call.request_class not in self.classes:
            self._log_rejection(
                f"{identity.write_id.edge}: a kept write of a class that [orders] records here was refused"
            )
            engine.settle(call, self._refusal())
            return True
        is_unsafe = identity.unsafe or self.classes[call.request_class]
        replay = GatedReplay(call, identity.write_id, identity.incarnation, is_unsafe)
        answer = self._answer_from_ledger(replay)
        if answer is not None:
            engine.settle(call, answer)
        elif is_unsafe:
            self.replays[call] = replay
            self._spawn(self._record_intent(replay, engine))
        else:
            self.replays[call] = replay
            self._admit(replay, engine)
        return True

    def _answer_from_ledger(self, replay: GatedReplay) -> Answer | None:
        """The final answer if the ledger decides it; None if the write may be sent, or an intent for it be
        submitted.
        """
        if not self.agreement.is_ready:
            return self._refusal()
        intent_status = self.ledger.intent_status(replay.write_id, replay.incarnation, replay.intent_id)
        if intent_status is IntentStatus.APPLIED:
            self.counters["in"] += 1
            return Answer(Ending.SERVED, 200, ((REPLAY_STATUS_HEADER, b"in"),))
        if intent_status is IntentStatus.FENCED:
            self.counters["fenced"] += 1
            return Answer(
                Ending.REFUSED, 503, ((REPLAY_STATUS_HEADER, b"fenced"),), retry_after_us=RETRY_AFTER_US
            )
        if intent_status is IntentStatus.OTHERS:
            self.counters["begun"] += 1
            return Answer(Ending.FAILED, 502, ((REPLAY_STATUS_HEADER, b"begun"),))
        return None

    async def _record_intent(self, replay: GatedReplay, engine: CallHost) -> None:
        call, deadline = replay.call, self._agreement_deadline(replay.call)
        if deadline > self.clock.now():
            replay.intent_id = self.draw_intent_id()
            entry = Intent(replay.write_id, replay.incarnation, replay.intent_id)
            await self._agree(entry, lambda: self._intent_status(replay) is not IntentStatus.OPEN, deadline)
        if call not in self.replays:
            self._withdraw_later(replay)  # the call expired, or its edge disconnected
            return
        intent_status = self._intent_status(replay)
        if intent_status is IntentStatus.MINE and self.agreement.is_ready:
            self._admit(replay, engine)
            return
        del self.replays[call]
        if intent_status in (IntentStatus.OPEN, IntentStatus.MINE):
            self._withdraw_later(replay)  # the intent may still be agreed
            engine.settle(call, self._refusal())
        else:
            engine.settle(call, self._answer_from_ledger(replay) or self._refusal())

    def _intent_status(self, replay: GatedReplay) -> IntentStatus:
        return self.ledger.intent_status(replay.write_id, replay.incarnation, replay.intent_id)

    def _admit(self, replay: GatedReplay, engine: CallHost) -> None:
        replay.is_admitted = True
        engine.admit(replay.call)

    # --- Before the final answer leaves -------------------------------------------------

    def finish(self, call: Call, answer: Answer, engine: CallHost) -> None:
        """As an engine's `Recorder`: the final answer of a replay."""
        replay = self.replays.pop(call, None)
        if replay is None:
            if self.inner is not None:
                self.inner.finish(call, answer, engine)
            else:
                engine.deliver(call, answer)
        elif not replay.is_admitted:
            engine.deliver(call, self._refusal())  # nothing was sent; `_record_intent` withdraws its intent
        elif answer.ending is Ending.SERVED:
            self._spawn(self._record_applied(replay, answer, engine))
        elif answer.ending is Ending.REFUSED or not _may_have_run(call, call.attempts):
            self._refuse(replay, answer if answer.ending is Ending.REFUSED else self._refusal(), engine)
        else:
            engine.deliver(call, answer)

    async def _record_applied(self, replay: GatedReplay, answer: Answer, engine: CallHost) -> None:
        dependency = Dependency(*replay.write_id)

        def is_final() -> bool:
            """Whether the write is final, as applied or as abandoned."""
            return self.ledger.write_status(dependency) in (WriteStatus.APPLIED, WriteStatus.ABANDONED)

        entry = WriteApplied(replay.write_id)
        if (
            await self._agree(entry, is_final, self._agreement_deadline(replay.call))
            and self.ledger.write_status(dependency) is WriteStatus.APPLIED
        ):
            engine.deliver(replay.call, answer)
            return
        engine.deliver(replay.call, Answer(Ending.FAILED, 502))
        if not is_final():
            await self._agree_late(entry, is_final)

    def _refuse(self, replay: GatedReplay, answer: Answer, engine: CallHost) -> None:
        if replay.is_unsafe:
            self._spawn(self._withdraw_and_refuse(replay, answer, engine))
        else:
            engine.deliver(replay.call, answer)

    async def _withdraw_and_refuse(self, replay: GatedReplay, answer: Answer, engine: CallHost) -> None:
        """Deliver a refusal once the withdrawal of the intent is agreed or its time is over, by rule 5."""
        entry = IntentWithdrawal(replay.write_id, replay.intent_id)
        is_agreed = await self._agree(
            entry, lambda: self.ledger.is_withdrawn(replay.intent_id), self._agreement_deadline(replay.call)
        )
        engine.deliver(replay.call, answer)
        if not is_agreed:
            await self._agree_late(entry, lambda: self.ledger.is_withdrawn(replay.intent_id))

    def _withdraw_later(self, replay: GatedReplay) -> None:
        if replay.intent_id:
            entry = IntentWithdrawal(replay.write_id, replay.intent_id)
            self._spawn(self._agree_late(entry, lambda: self.ledger.is_withdrawn(replay.intent_id)))

    async def _agree_late(self, entry: LedgerEntry, is_agreed: Callable[[], bool]) -> None:
        """Submit an entry after its call is over, by rule 6."""
        if self.late_entry_count >= MAX_LATE_ENTRIES:
            self.counters["late"] += 1
            return
        self.late_entry_count += 1
        try:
            if not await self._agree(entry, is_agreed, self.clock.now() + LATE_ENTRY_TIMEOUT_US):
                self.counters["late"] += 1
        finally:
            self.late_entry_count -= 1

    async def _agree(self, entry: LedgerEntry, is_agreed: Callable[[], bool], deadline: int) -> bool:
        try:
            return await self.agreement.agree(entry, is_agreed, deadline)
        except EntryError:
            return False  # a sealed message with values that no edge sends

    def _agreement_deadline(self, call: Call) -> int:
        return min(self.clock.now() + AGREEMENT_TIMEOUT_US, call.expires_at - ANSWER_RESERVE_US)

    def _refusal(self) -> Answer:
        self.counters["refused"] += 1
        return Answer(Ending.REFUSED, 503, retry_after_us=RETRY_AFTER_US)

    # --- Edges that disconnect ----------------------------------------------------------

    def on_client_left(self, call: Call, engine: CallHost) -> None:
        """As an engine's `Recorder`: the edge closed its connection."""
        replay = self.replays.pop(call, None)
        if replay is None:
            if self.inner is not None:
                self.inner.on_client_left(call, engine)
        elif replay.is_admitted:
            # The engine cancels the attempts next. Only then do they show whether they may have run.
            self.clock.at(self.clock.now(), self._on_call_cancelled, replay, tuple(call.attempts))

    def _on_call_cancelled(self, replay: GatedReplay, attempts: tuple[Attempt, ...]) -> None:
        """Withdraw the intent if no attempt can have run. An attempt that is over is not in `attempts`, and
        may have run.
        """
        is_outcome_known = bool(attempts) or not replay.call.attempts_sent
        if is_outcome_known and not _may_have_run(replay.call, attempts):
            self._withdraw_later(replay)

    # --- Queries of edges ---------------------------------------------------------------

    def on_query(self, call: Call) -> None:
        """Answer a query of an edge through the call's frontend. `call.method_and_target` is the sealed
        query.
        """
        if self.open_query_count >= MAX_QUERIES:
            call.frontend.on_answer(call, self._refusal())
            return
        self.open_query_count += 1
        self._spawn(self._answer_query(call))

    async def _answer_query(self, call: Call) -> None:
        try:
            answer = await self._answer_sealed_query(call.method_and_target.decode("latin-1"))
        finally:
            self.open_query_count -= 1
        call.frontend.on_answer(call, answer)

    async def _answer_sealed_query(self, text: str) -> Answer:
        try:
            query = self.seal.open_query(text)
        except SealError as error:
            return self._bad_seal_answer("a query", error)
        if self.agreement.is_ready:
            await self._agree_on_items(query)
        if not self.agreement.is_ready:
            return self._refusal()
        ledger = self.ledger
        reply = QueryReply(
            write_statuses=tuple(ledger.write_status(dependency) for dependency in query.dependencies),
            lease_statuses=tuple(ledger.lease_status(request) for request in query.lease_requests),
            agreements=tuple(ledger.agrees_with(update) for update in query.status_updates),
        )
        return Answer(Ending.SERVED, 200, (TEXT_PLAIN,), self.seal.seal_reply(reply, text).encode())

    async def _agree_on_items(self, query: ReplayQuery) -> None:
        """Get the query's lease requests and status updates agreed, as far as that takes less than
        `QUERY_TIMEOUT_US`.
        """
        ledger, deadline = self.ledger, self.clock.now() + QUERY_TIMEOUT_US
        agreements = []
        for request in query.lease_requests:
            lease = ledger.lease_entry(request)
            if lease is not None:
                agreements.append(self._agree(lease, self._lease_condition(request), deadline))
        for update in query.status_updates:
            status_record = ledger.status_entry(update)
            if status_record is not None:
                agreements.append(self._agree(status_record, self._update_condition(update), deadline))
        await asyncio.gather(*agreements)

    def _lease_condition(self, request: LeaseRequest) -> Callable[[], bool]:
        return lambda: self.ledger.lease_status(request) is not LeaseStatus.OPEN

    def _update_condition(self, update: StatusUpdate) -> Callable[[], bool]:
        return lambda: self.ledger.agrees_with(update)

    def _bad_seal_answer(self, message_name: str, error: SealError) -> Answer:
        self.counters["bad"] += 1
        self._log_rejection(f"{message_name} was refused: {error}; {error.remedy}")
        return Answer(Ending.FAILED, 400, (TEXT_PLAIN,), f"{error}\n".encode())

    def _log_rejection(self, text: str) -> None:
        """Write a log line for the operator, at most one in `REJECTION_LOG_INTERVAL_US`."""
        now = self.clock.now()
        if now >= self.last_rejection_logged_at + REJECTION_LOG_INTERVAL_US:
            self.last_rejection_logged_at = now
            self.log(f"outbox: {text}")

    # --- Operator's commands ------------------------------------------------------------

    def declare_lost(self, edge: str, incarnation: int = 0) -> bool:
        """Declare an edge lost, or only its log of `incarnation` if that is not 0. False if it is lost
        already.
        """
        edge_log = EdgeLog(edge, incarnation or _ANY_INCARNATION)

        def is_lost() -> bool:
            """Whether the ledger shows the log as lost."""
            return self.ledger.holder(edge_log) == 0

        if is_lost():
            return False
        self.log(
            f"outbox: {edge}: declared lost{f', only incarnation {incarnation:016x}' if incarnation else ''}"
        )
        self._spawn(self._agree_late(EdgeLost(edge, incarnation), is_lost))
        return True


def _may_have_run(call: Call, attempts: Sequence[Attempt]) -> bool:
    """Whether any attempt may have run. An upload may have run if an endpoint received any part of it."""
    if call.upload is not None and call.upload.was_attached:
        return True
    return any(attempt.is_in_flight or attempt.may_have_run for attempt in attempts)
