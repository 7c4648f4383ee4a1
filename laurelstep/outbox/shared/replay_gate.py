"""Where replays of edges come in at a copy upstream: joins the engine with what the copies agreed.

The rules:

1. A replay is told by its sealed header. All else is the inner recorder's, where there is one, or nobody's.
2. Nothing is granted, told or answered while this copy does not know the record, or hears of no leader that a
   majority follows.
3. An unsafe write is sent only once its BEGIN under this very ask is agreed; each ask is drawn anew. A keyed
   one needs none: upstream tells its repeats apart.
4. Before a served answer leaves, IN is agreed; otherwise the edge hears that it may have run.
5. Of an ask that sent nothing and never will, UNBEGIN is agreed before its refusal leaves. Where it is not in
   time, the refusal leaves all the same: it is true, as the call is over and nothing of it can be sent any
   more. What stands in the record can only make the next ask hear that the write may have run, until UNBEGIN,
   which is told on, has come through. So no retry can run it twice.
6. What was not agreed in time is told on for `LATER_US`, by `LATER_MOST` at a time. What is given up then is
   on the safe side: begun, and not in.
7. A replay whose body is passed on while it comes is judged by its head, and sent as any other upload. Its
   answer is held whole, as that of all replays: one over the bound of held answers is told as one that may
   have run.
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
    FATE_HEADER,
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

# What is agreed within a call waits so long at most; a leader is replaced in less.
AGREE_US: Final = 5_000_000
# Of a call's time, for the answer to leave.
LEFT_US: Final = 10_000
# An edge that asks waits so long for what it claims and tells; then it hears how far it has come.
ASK_US: Final = 1_000_000
ASKS_MOST: Final = 64
LATER_US: Final = 30_000_000
LATER_MOST: Final = 256
# When an edge may come again.
RETRY_US: Final = 1_000_000
# Between two log lines about replays and asks that were refused for what they are.
COMPLAIN_US: Final = 10_000_000
# Of an edge that is lost every log is, also one that never was: this one stands for all.
_ANY_INCARNATION: Final = (1 << 64) - 1

TEXT: Final = (b"content-type", b"text/plain")


@dataclass(eq=False)
class GatedReplay:
    """One replay in hand."""

    call: Call
    write_id: WriteId
    incarnation: int
    unsafe: bool
    ask: int = 0  # 0: no BEGIN was told
    admitted: bool = False


class ReplayGate:
    """The engine's `Recorder` at a copy upstream. `classes`: those that edges may keep, by number, and
    whether a write of each is unsafe.
    """

    def __init__(
        self,
        record: AgreedLedger,
        sharer: Agreement,
        seal: MessageSeal,
        classes: Mapping[int, bool],
        clock: Clock,
        log: Log,
        inner: Recorder | None = None,
        draw: Callable[[], int] = lambda: secrets.randbits(64) or 1,
    ) -> None:
        self.record = record
        self.sharer = sharer
        self.seal = seal
        self.classes = dict(classes)
        self.clock = clock
        self.log = log
        self.inner = inner
        self.draw = draw
        self.hands: dict[Call, GatedReplay] = {}
        self.asking = 0
        self.later = 0
        self.counters = {"replays": 0, "in": 0, "fenced": 0, "begun": 0, "refused": 0, "late": 0, "bad": 0}
        self.complained = -COMPLAIN_US
        self.tasks: set[asyncio.Task[None]] = set()

    async def close(self) -> None:
        """Wait for nothing any more."""
        for task in set(self.tasks):
            task.cancel()
        if self.tasks:
            await asyncio.wait(set(self.tasks))

    def status(self) -> dict[str, Any]:
        """For an operator."""
        return {"ready": self.sharer.is_ready, **self.record.status(), "gate": dict(self.counters)}

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # --- Before the module is told ------------------------------------------------------

    def begin(self, call: Call, engine: CallHost) -> bool:
        """As an engine's `Recorder`: True if the replay is in hand here."""
        sealed = call.causal_dependencies[3] if len(call.causal_dependencies) > 3 else b""
        if not sealed:
            return self.inner is not None and self.inner.begin(call, engine)
        try:
            replayed = self.seal.open_replayed(sealed.decode("latin-1"))
        except SealError as error:
            engine.settle(call, self._unsealed("a kept write's name", error))
            return True
        self.counters["replays"] += 1
        if call.request_class not in self.classes:
            self._complain(
                f"{replayed.write_id.edge}: a kept write of a class that [orders] records here was refused"
            )
            engine.settle(call, self._refusal())
            return True
        unsafe = replayed.unsafe or self.classes[call.request_class]
        hand = GatedReplay(call, replayed.write_id, replayed.incarnation, unsafe)
        resolution = self._verdict(hand)
        if resolution is not None:
            engine.settle(call, resolution)
        elif unsafe:
            self.hands[call] = hand
            self._spawn(self._begin(hand, engine))
        else:
            self.hands[call] = hand
            self._admit(hand, engine)
        return True

    def _verdict(self, hand: GatedReplay) -> Answer | None:
        """What can be answered from what is agreed; None if it may be sent, or its BEGIN be told."""
        if not self.sharer.is_ready:
            return self._refusal()
        begun = self.record.intent_status(hand.write_id, hand.incarnation, hand.ask)
        if begun is IntentStatus.APPLIED:
            self.counters["in"] += 1
            return Answer(Ending.SERVED, 200, ((FATE_HEADER, b"in"),))
        if begun is IntentStatus.FENCED:
            self.counters["fenced"] += 1
            return Answer(Ending.REFUSED, 503, ((FATE_HEADER, b"fenced"),), retry_after_us=RETRY_US)
        if begun is IntentStatus.OTHERS:
            self.counters["begun"] += 1
            return Answer(Ending.FAILED, 502, ((FATE_HEADER, b"begun"),))
        return None

    async def _begin(self, hand: GatedReplay, engine: CallHost) -> None:
        call, until = hand.call, self._until(hand.call)
        if until > self.clock.now():
            hand.ask = self.draw()
            entry = Intent(hand.write_id, hand.incarnation, hand.ask)
            await self._agree(entry, lambda: self._begun(hand) is not IntentStatus.OPEN, until)
        if call not in self.hands:
            self._take_back_later(hand)  # its time is over, or its edge left
            return
        begun = self._begun(hand)
        if begun is IntentStatus.MINE and self.sharer.is_ready:
            self._admit(hand, engine)
            return
        del self.hands[call]
        if begun in (IntentStatus.OPEN, IntentStatus.MINE):
            self._take_back_later(hand)  # it may still come through
            engine.settle(call, self._refusal())
        else:
            engine.settle(call, self._verdict(hand) or self._refusal())

    def _begun(self, hand: GatedReplay) -> IntentStatus:
        return self.record.intent_status(hand.write_id, hand.incarnation, hand.ask)

    def _admit(self, hand: GatedReplay, engine: CallHost) -> None:
        hand.admitted = True
        engine.admit(hand.call)

    # --- Before the final answer leaves -------------------------------------------------

    def finish(self, call: Call, answer: Answer, engine: CallHost) -> None:
        """As an engine's `Recorder`: the final answer of a replay."""
        hand = self.hands.pop(call, None)
        if hand is None:
            if self.inner is not None:
                self.inner.finish(call, answer, engine)
            else:
                engine.deliver(call, answer)
        elif not hand.admitted:
            engine.deliver(call, self._refusal())  # nothing was sent; `_begin` takes its BEGIN back
        elif answer.ending is Ending.SERVED:
            self._spawn(self._say_in(hand, answer, engine))
        elif answer.ending is Ending.REFUSED or not _may_have_run(call, call.attempts):
            self._refuse(hand, answer if answer.ending is Ending.REFUSED else self._refusal(), engine)
        else:
            engine.deliver(call, answer)

    async def _say_in(self, hand: GatedReplay, answer: Answer, engine: CallHost) -> None:
        dependency = Dependency(*hand.write_id)

        def over() -> bool:
            """What is to be agreed is so, or can't be any more."""
            return self.record.write_status(dependency) in (WriteStatus.APPLIED, WriteStatus.ABANDONED)

        entry = WriteApplied(hand.write_id)
        if (
            await self._agree(entry, over, self._until(hand.call))
            and self.record.write_status(dependency) is WriteStatus.APPLIED
        ):
            engine.deliver(hand.call, answer)
            return
        engine.deliver(hand.call, Answer(Ending.FAILED, 502))
        if not over():
            await self._tell_on(entry, over)

    def _refuse(self, hand: GatedReplay, answer: Answer, engine: CallHost) -> None:
        if hand.unsafe:
            self._spawn(self._take_back_and_refuse(hand, answer, engine))
        else:
            engine.deliver(hand.call, answer)

    async def _take_back_and_refuse(self, hand: GatedReplay, answer: Answer, engine: CallHost) -> None:
        """Rule 5 says why the refusal leaves either way."""
        entry = IntentWithdrawal(hand.write_id, hand.ask)
        agreed = await self._agree(entry, lambda: self.record.is_withdrawn(hand.ask), self._until(hand.call))
        engine.deliver(hand.call, answer)
        if not agreed:
            await self._tell_on(entry, lambda: self.record.is_withdrawn(hand.ask))

    def _take_back_later(self, hand: GatedReplay) -> None:
        if hand.ask:
            entry = IntentWithdrawal(hand.write_id, hand.ask)
            self._spawn(self._tell_on(entry, lambda: self.record.is_withdrawn(hand.ask)))

    async def _tell_on(self, entry: LedgerEntry, done: Callable[[], bool]) -> None:
        """Rule 6."""
        if self.later >= LATER_MOST:
            self.counters["late"] += 1
            return
        self.later += 1
        try:
            if not await self._agree(entry, done, self.clock.now() + LATER_US):
                self.counters["late"] += 1
        finally:
            self.later -= 1

    async def _agree(self, entry: LedgerEntry, done: Callable[[], bool], until: int) -> bool:
        try:
            return await self.sharer.agree(entry, done, until)
        except EntryError:
            return False  # sealed, but no entry: no edge says so

    def _until(self, call: Call) -> int:
        return min(self.clock.now() + AGREE_US, call.expires_at - LEFT_US)

    def _refusal(self) -> Answer:
        self.counters["refused"] += 1
        return Answer(Ending.REFUSED, 503, retry_after_us=RETRY_US)

    # --- Those that leave ---------------------------------------------------------------

    def on_client_left(self, call: Call, engine: CallHost) -> None:
        """As an engine's `Recorder`: the caller left."""
        hand = self.hands.pop(call, None)
        if hand is None:
            if self.inner is not None:
                self.inner.on_client_left(call, engine)
        elif hand.admitted:
            # The module calls off what is out: only then it shows whether it can have run.
            self.clock.at(self.clock.now(), self._left, hand, tuple(call.attempts))

    def _left(self, hand: GatedReplay, attempts: tuple[Attempt, ...]) -> None:
        """Attempts that are all over are not here any more: they may have run."""
        is_known = bool(attempts) or not hand.call.attempts_sent
        if is_known and not _may_have_run(hand.call, attempts):
            self._take_back_later(hand)

    # --- Asked by edges -----------------------------------------------------------------

    def on_query(self, call: Call) -> None:
        """`call.start` is a sealed ask; its front is answered later."""
        if self.asking >= ASKS_MOST:
            call.frontend.on_answer(call, self._refusal())
            return
        self.asking += 1
        self._spawn(self._ask(call))

    async def _ask(self, call: Call) -> None:
        try:
            answer = await self._answer(call.method_and_target.decode("latin-1"))
        finally:
            self.asking -= 1
        call.frontend.on_answer(call, answer)

    async def _answer(self, text: str) -> Answer:
        try:
            ask = self.seal.open_ask(text)
        except SealError as error:
            return self._unsealed("an ask", error)
        if self.sharer.is_ready:
            await self._bring_about(ask)
        if not self.sharer.is_ready:
            return self._refusal()
        record = self.record
        answered = QueryReply(
            write_statuses=tuple(record.write_status(dependency) for dependency in ask.dependencies),
            lease_statuses=tuple(record.lease_status(claim) for claim in ask.lease_requests),
            agreements=tuple(record.agrees_with(told) for told in ask.status_updates),
        )
        return Answer(Ending.SERVED, 200, (TEXT,), self.seal.answered(answered, text).encode())

    async def _bring_about(self, ask: ReplayQuery) -> None:
        """What it claims and tells, as far as that is agreed within `ASK_US`."""
        record, until = self.record, self.clock.now() + ASK_US
        waits = []
        for claim in ask.lease_requests:
            hold = record.lease_entry(claim)
            if hold is not None:
                waits.append(self._agree(hold, self._claimed(claim), until))
        for told in ask.status_updates:
            said = record.status_entry(told)
            if said is not None:
                waits.append(self._agree(said, self._said(told), until))
        await asyncio.gather(*waits)

    def _claimed(self, claim: LeaseRequest) -> Callable[[], bool]:
        return lambda: self.record.lease_status(claim) is not LeaseStatus.OPEN

    def _said(self, told: StatusUpdate) -> Callable[[], bool]:
        return lambda: self.record.agrees_with(told)

    def _unsealed(self, what: str, error: SealError) -> Answer:
        self.counters["bad"] += 1
        self._complain(f"{what} was refused: {error}; {error.remedy}")
        return Answer(Ending.FAILED, 400, (TEXT,), f"{error}\n".encode())

    def _complain(self, text: str) -> None:
        """One log line for the operator, and not one for each of a crowd."""
        now = self.clock.now()
        if now >= self.complained + COMPLAIN_US:
            self.complained = now
            self.log(f"outbox: {text}")

    # --- An operator's word -------------------------------------------------------------

    def declare_lost(self, edge: str, incarnation: int = 0) -> bool:
        """Declare an edge lost, or one life of it. False if it is."""
        edge_log = EdgeLog(edge, incarnation or _ANY_INCARNATION)

        def lost() -> bool:
            """The record has the edge as lost."""
            return self.record.holder(edge_log) == 0

        if lost():
            return False
        self.log(f"outbox: {edge}: declared lost{f', its life {incarnation:016x}' if incarnation else ''}")
        self._spawn(self._tell_on(EdgeLost(edge, incarnation), lost))
        return True


def _may_have_run(call: Call, attempts: Sequence[Attempt]) -> bool:
    """Of an upload, any part that an endpoint had counts."""
    if call.upload is not None and call.upload.was_attached:
        return True
    return any(attempt.is_in_flight or attempt.may_have_run for attempt in attempts)
