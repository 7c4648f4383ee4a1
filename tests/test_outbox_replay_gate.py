"""The replay gate of a copy upstream: which answer an edge gets to a replay or a query, and when. The test
decides when an entry is agreed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from laurelstep.balancing.events import (
    ERROR,
    FULL,
    KEYED,
    OK,
    RESET,
    UNSAFE,
    Action,
    Arrival,
    RequestClass,
    Settings,
)
from laurelstep.engine import Answer, Call, Ending, Engine
from laurelstep.engine.body_stream import BodyStream
from laurelstep.engine.names import NameTable
from laurelstep.engine.ports import CallHost
from laurelstep.engine.static_members import StaticMembers
from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.shared.entries import (
    EdgeLost,
    Intent,
    IntentWithdrawal,
    LedgerEntry,
    LogLease,
    StatusRecord,
    WriteApplied,
    pack,
)
from laurelstep.outbox.shared.ledger import ReplicatedLedger
from laurelstep.outbox.shared.message_seal import MessageSeal
from laurelstep.outbox.shared.messages import (
    REPLAY_STATUS_HEADER,
    IntentStatus,
    LeaseRequest,
    LeaseStatus,
    QueryReply,
    ReplayIdentity,
    ReplayQuery,
    StatusUpdate,
)
from laurelstep.outbox.shared.replay_gate import (
    LATE_ENTRY_TIMEOUT_US,
    MAX_LATE_ENTRIES,
    MAX_QUERIES,
    QUERY_TIMEOUT_US,
    REJECTION_LOG_INTERVAL_US,
    ReplayGate,
)
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId

from tests.fakes import FakeUpstream, ManualClock, RecordingFrontend, SentAttempt, entry
from tests.sockets import override_decisions

SECRET = b"of the edges and of the copies"
SEAL = MessageSeal(SECRET)
INCARNATION, LATER_INCARNATION = 7, 8
EDGE_LOG = EdgeLog("edge-1", INCARNATION)
WRITE_ID = WriteId("edge-1", INCARNATION, 3)
PAY, PUT, POST = 0, 1, 2
DEADLINE_US = 2_000_000


class ManualAgreement:
    """An `Agreement` whose entries are agreed when the test calls for it."""

    def __init__(self, ledger: ReplicatedLedger, clock: ManualClock) -> None:
        self.ledger = ledger
        self.clock = clock
        self.is_ready = True
        self.index = self.submission_count = 0
        self.pending: list[tuple[LedgerEntry, Callable[[], bool], asyncio.Future[bool]]] = []

    def agree(self, entry: LedgerEntry, is_agreed: Callable[[], bool], deadline: int) -> asyncio.Future[bool]:
        self.submission_count += 1
        pack(entry)
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        if is_agreed():
            future.set_result(True)
        elif deadline <= self.clock.now():
            future.set_result(False)
        else:
            self.pending.append((entry, is_agreed, future))
            self.clock.at(deadline, self._on_deadline, future)
        return future

    def _on_deadline(self, future: asyncio.Future[bool]) -> None:
        if not future.done():
            future.set_result(False)
        self._resolve_agreed()

    def _resolve_agreed(self) -> None:
        for _, is_agreed, future in self.pending:
            if not future.done() and is_agreed():
                future.set_result(True)
        self.pending = [pending for pending in self.pending if not pending[2].done()]

    @property
    def submitted_entries(self) -> list[LedgerEntry]:
        return [entry for entry, _, _ in self.pending]

    def apply_entries(self, *entries: LedgerEntry) -> None:
        """Agree on these entries now; without arguments, on all that are pending."""
        for submitted in entries or self.submitted_entries:
            self.index += 1
            self.ledger.apply(self.index, pack(submitted)[1:])
        self._resolve_agreed()


class InnerRecorder:
    """A recorder behind the gate."""

    def __init__(self, takes_calls: bool) -> None:
        self.takes_calls = takes_calls
        self.begun_calls: list[Call] = []
        self.finished_calls: list[Call] = []
        self.left_calls: list[Call] = []

    def begin(self, call: Call, engine: CallHost) -> bool:
        self.begun_calls.append(call)
        if self.takes_calls:
            engine.admit(call)
        return self.takes_calls

    def finish(self, call: Call, answer: Answer, engine: CallHost) -> None:
        self.finished_calls.append(call)
        engine.deliver(call, answer)

    def on_client_left(self, call: Call, engine: CallHost) -> None:
        self.left_calls.append(call)


class World:
    def __init__(self, inner: InnerRecorder | None = None) -> None:
        self.clock = ManualClock()
        self.upstream = FakeUpstream(self.clock)
        self.frontend = RecordingFrontend()
        self.ledger = ReplicatedLedger()
        self.agreement = ManualAgreement(self.ledger, self.clock)
        self.log_lines: list[str] = []
        self.intent_ids = iter(range(1, 1000))
        self.gate = ReplayGate(
            self.ledger, self.agreement, SEAL, {PAY: True, PUT: False}, self.clock, self.log_lines.append,
            inner, lambda: next(self.intent_ids),
        )  # fmt: skip
        classes = (
            RequestClass(effect=UNSAFE, aim_us=500_000, deadline_us=DEADLINE_US),
            RequestClass(effect=KEYED, aim_us=500_000, deadline_us=DEADLINE_US, window_us=60_000_000),
            RequestClass(effect=UNSAFE, aim_us=500_000, deadline_us=DEADLINE_US),
        )
        settings = Settings(classes=classes, can_cancel=True, max_attempts=3)
        names = NameTable({"classes": [{"name": "pay"}, {"name": "put"}, {"name": "post"}]}, settings)
        self.engine = Engine(
            self.clock,
            1,
            settings,
            names,
            self.upstream,
            StaticMembers(),
            500_000,
            lambda line: None,
            self.gate,
        )
        self.engine.start()
        self.engine.on_list(1, True, [entry("a")])
        self.request_count = 0

    def replay_call(
        self,
        request_class: int = PAY,
        sealed: str | None = None,
        write_id: WriteId = WRITE_ID,
        incarnation: int = INCARNATION,
    ) -> Call:
        """A replay. `sealed`: replaces the sealed identity in its header."""
        if sealed is None:
            sealed = SEAL.seal_replay(ReplayIdentity(write_id, incarnation, request_class == PAY))
        self.request_count += 1
        request_id = b"r%d" % self.request_count
        call = Call(
            request_class,
            self.clock.now() + DEADLINE_US,
            b"POST /pay",
            b"host: x\r\n",
            b"x",
            self.frontend,
            request_id,
        )
        call.causal_dependencies = (b"", b"", b"", sealed.encode())
        return call

    async def send_replay(
        self,
        request_class: int = PAY,
        sealed: str | None = None,
        write_id: WriteId = WRITE_ID,
        incarnation: int = INCARNATION,
    ) -> Call:
        call = self.replay_call(request_class, sealed, write_id, incarnation)
        self.engine.take(call)
        await self.run_until_idle()
        return call

    async def run_until_idle(self) -> None:
        """Run the event loop until no task can continue."""
        for _ in range(20):
            await asyncio.sleep(0)
            self.clock.advance(0)

    async def agree(self, *entries: LedgerEntry) -> None:
        self.agreement.apply_entries(*entries)
        await self.run_until_idle()

    async def advance(self, duration_us: int) -> None:
        """Advance the clock; what a timer starts is finished before the next timer is due."""
        end = self.clock.time + duration_us
        while self.clock.due and self.clock.due[0][0] <= end:
            self.clock.advance(self.clock.due[0][0] - self.clock.time)
            await self.run_until_idle()
        self.clock.advance(end - self.clock.time)
        await self.run_until_idle()

    async def answer_attempt(self, outcome: int = OK, runs: bool = True, written: bool = True) -> None:
        sent = self.sent[0]
        if written:
            self.upstream.write(sent, runs)
        self.upstream.answer(sent, outcome)
        await self.run_until_idle()

    async def query(self, text: str) -> Answer:
        call = Call(-1, 0, text.encode(), b"", b"", self.frontend)
        call.is_open = False
        answer_count = len(self.frontend.answers)
        self.gate.on_query(call)
        await self.run_until_idle()
        assert len(self.frontend.answers) == answer_count + 1
        return self.frontend.answers[-1][1]

    @property
    def sent(self) -> list[SentAttempt]:
        return list(self.upstream.in_flight.values())

    @property
    def answers(self) -> list[tuple[int, bytes]]:
        return [
            (answer.status, dict(answer.headers).get(REPLAY_STATUS_HEADER, b""))
            for _, answer in self.frontend.answers
        ]

    def intent_status(self) -> IntentStatus:
        """The intent status that another replay of the write would see."""
        return self.ledger.intent_status(WRITE_ID, INCARNATION, 0)

    def write_status(self, write_id: WriteId = WRITE_ID) -> WriteStatus:
        return self.ledger.write_status(Dependency(*write_id))


def run_in_world(test: Callable[[World], Awaitable[None]], inner: InnerRecorder | None = None) -> World:
    """Run a test in a new world, and check that no task is left."""

    async def main() -> World:
        world = World(inner)
        try:
            await test(world)
        finally:
            await world.gate.close()
        assert not world.gate.tasks
        return world

    return asyncio.run(asyncio.wait_for(main(), 20))


# --- Admission of replays ---------------------------------------------------------------


def test_an_unsafe_write_is_sent_after_its_intent_and_answered_after_its_effect_is_agreed() -> None:
    async def test(world: World) -> None:
        await world.send_replay()
        assert world.agreement.submitted_entries == [Intent(WRITE_ID, INCARNATION, 1)] and world.sent == []
        await world.agree()
        assert len(world.sent) == 1
        await world.answer_attempt()
        assert world.agreement.submitted_entries == [WriteApplied(WRITE_ID)] and world.answers == []
        await world.agree()
        assert world.answers == [(200, b"")] and world.frontend.answers[0][1].body == b"ok"
        assert not world.gate.replays and not world.engine.calls

    run_in_world(test)


def test_a_keyed_write_needs_no_intent_but_is_answered_after_its_effect_is_agreed() -> None:
    async def test(world: World) -> None:
        await world.send_replay(PUT)
        assert len(world.sent) == 1 and world.agreement.submitted_entries == []
        await world.answer_attempt()
        assert world.agreement.submitted_entries == [WriteApplied(WRITE_ID)] and world.answers == []
        await world.agree()
        assert world.answers == [(200, b"")]

    run_in_world(test)


def test_a_class_that_is_unsafe_here_needs_an_intent_even_if_its_edge_calls_it_keyed() -> None:
    async def test(world: World) -> None:
        await world.send_replay(PAY, SEAL.seal_replay(ReplayIdentity(WRITE_ID, INCARNATION, False)))
        assert world.agreement.submitted_entries == [Intent(WRITE_ID, INCARNATION, 1)] and world.sent == []

    run_in_world(test)


@pytest.mark.parametrize("request_class", [PAY, PUT])
def test_nothing_is_sent_while_the_ledger_is_not_known(request_class: int) -> None:
    async def test(world: World) -> None:
        world.agreement.is_ready = False
        await world.send_replay(request_class)
        answer = world.frontend.answers[0][1]
        assert world.answers == [(503, b"")] and answer.ending is Ending.REFUSED and answer.retry_after_us > 0
        assert not world.upstream.writes and world.agreement.submitted_entries == []

    run_in_world(test)


def test_a_replay_whose_intent_is_not_agreed_in_time_is_refused_and_the_late_intent_withdrawn() -> None:
    async def test(world: World) -> None:
        await world.send_replay()
        begin = world.agreement.submitted_entries[0]
        await world.advance(DEADLINE_US)
        assert world.answers == [(503, b"")] and world.frontend.answers[0][1].ending is Ending.REFUSED
        assert world.agreement.submitted_entries == [IntentWithdrawal(WRITE_ID, 1)]
        await world.agree(begin)
        assert world.intent_status() is IntentStatus.OTHERS  # for the next replay
        await world.agree()
        assert world.intent_status() is IntentStatus.OPEN and world.upstream.writes == []
        await world.agree(begin)
        assert world.intent_status() is IntentStatus.OPEN  # even if the withdrawn intent is agreed once more

    run_in_world(test)


def test_a_call_that_expires_before_its_intent_was_checked_is_refused() -> None:
    """The event loop runs late, so that the call's deadline comes before the gate's task runs."""

    async def test(world: World) -> None:
        await world.send_replay()
        world.clock.advance(DEADLINE_US)
        assert world.answers == [(503, b"")] and world.frontend.answers[0][1].ending is Ending.REFUSED
        await world.run_until_idle()
        assert (
            world.agreement.submitted_entries == [IntentWithdrawal(WRITE_ID, 1)] and len(world.answers) == 1
        )

    run_in_world(test)


def test_a_copy_that_lost_its_leader_while_the_intent_was_agreed_sends_nothing() -> None:
    async def test(world: World) -> None:
        await world.send_replay()
        world.agreement.is_ready = False
        await world.agree()
        assert world.answers == [(503, b"")] and not world.sent
        assert world.agreement.submitted_entries == [IntentWithdrawal(WRITE_ID, 1)]

    run_in_world(test)


@pytest.mark.parametrize("request_class", [PAY, PUT])
def test_a_log_that_another_incarnation_holds_is_fenced(request_class: int) -> None:
    async def test(world: World) -> None:
        await world.agree(LogLease(EDGE_LOG, LATER_INCARNATION, INCARNATION, 0))
        await world.send_replay(request_class)
        assert world.answers == [(503, b"fenced")] and world.frontend.answers[0][1].ending is Ending.REFUSED
        await world.send_replay(request_class, incarnation=LATER_INCARNATION)
        await world.agree(*world.agreement.submitted_entries)
        assert len(world.sent) == 1  # the holder's replay is sent

    run_in_world(test)


@pytest.mark.parametrize("request_class", [PAY, PUT])
@pytest.mark.parametrize("lost_entry", [EdgeLost("edge-1"), EdgeLost("edge-1", INCARNATION)])
def test_a_lost_log_is_fenced(request_class: int, lost_entry: EdgeLost) -> None:
    async def test(world: World) -> None:
        await world.agree(lost_entry)
        await world.send_replay(request_class)
        assert world.answers == [(503, b"fenced")] and not world.sent

    run_in_world(test)


@pytest.mark.parametrize("request_class", [PAY, PUT])
def test_an_applied_write_is_answered_and_not_sent_again(request_class: int) -> None:
    async def test(world: World) -> None:
        await world.agree(WriteApplied(WRITE_ID))
        await world.send_replay(request_class)
        assert world.answers == [(200, b"in")] and world.frontend.answers[0][1].body == b""
        assert world.upstream.writes == []

    run_in_world(test)


def test_a_write_with_another_intent_may_have_run() -> None:
    async def test(world: World) -> None:
        await world.agree(Intent(WRITE_ID, INCARNATION, 99))
        await world.send_replay()
        answer = world.frontend.answers[0][1]
        assert world.answers == [(502, b"begun")] and answer.ending is Ending.FAILED
        assert world.upstream.writes == [] and world.agreement.submitted_entries == []

    run_in_world(test)


@pytest.mark.parametrize(
    ("other_entry", "expected_answer"),
    [
        (Intent(WRITE_ID, INCARNATION, 99), (502, b"begun")),
        (WriteApplied(WRITE_ID), (200, b"in")),
        (LogLease(EDGE_LOG, LATER_INCARNATION, INCARNATION, 0), (503, b"fenced")),
    ],
)
def test_an_entry_agreed_before_the_intent_decides_the_answer(
    other_entry: LedgerEntry, expected_answer: tuple[int, bytes]
) -> None:
    """The other entry is agreed while the replay's intent is pending."""

    async def test(world: World) -> None:
        await world.send_replay()
        await world.agree(other_entry, *world.agreement.submitted_entries)
        assert world.answers == [expected_answer] and world.upstream.writes == [] and not world.sent

    run_in_world(test)


def test_two_replays_of_one_write_at_one_copy_send_it_once() -> None:
    async def test(world: World) -> None:
        await world.send_replay()
        await world.send_replay()
        assert world.agreement.submitted_entries == [
            Intent(WRITE_ID, INCARNATION, 1),
            Intent(WRITE_ID, INCARNATION, 2),
        ]
        await world.agree()
        assert len(world.sent) == 1 and world.answers == [(502, b"begun")]

    run_in_world(test)


def test_a_bad_seal_is_answered_with_400_and_logged_at_a_limited_rate() -> None:
    async def test(world: World) -> None:
        for _ in range(3):
            await world.send_replay(
                PUT, SEAL.seal_replay(ReplayIdentity(WRITE_ID, INCARNATION, False))[:-1] + "~"
            )
        await world.send_replay(
            PUT, MessageSeal(SECRET + b"!").seal_replay(ReplayIdentity(WRITE_ID, INCARNATION, False))
        )
        assert world.answers == [(400, b"")] * 4 and not world.sent
        assert len(world.log_lines) == 1 and "secret" in world.log_lines[0] and "\n" not in world.log_lines[0]
        await world.advance(REJECTION_LOG_INTERVAL_US)
        await world.send_replay(PUT, "x")
        assert len(world.log_lines) == 2

    run_in_world(test)


def test_a_replay_of_a_class_in_the_request_journal_is_refused_and_logged() -> None:
    async def test(world: World) -> None:
        await world.send_replay(POST)
        assert world.answers == [(503, b"")] and not world.sent and len(world.log_lines) == 1

    run_in_world(test, InnerRecorder(takes_calls=True))


def test_a_call_without_the_header_passes_the_gate_unchanged() -> None:
    async def test(world: World) -> None:
        call = world.replay_call(PUT, "")
        call.can_stream_answer = True
        world.engine.take(call)
        assert len(world.sent) == 1 and not call.is_recorded and call.can_stream_answer
        await world.answer_attempt()
        assert world.answers == [(200, b"")] and world.agreement.submitted_entries == []

    run_in_world(test)


@pytest.mark.parametrize("takes_calls", [True, False])
def test_a_call_without_the_header_goes_to_the_inner_recorder(takes_calls: bool) -> None:
    inner = InnerRecorder(takes_calls)

    async def test(world: World) -> None:
        first = await world.send_replay(POST, "")
        await world.answer_attempt()
        second = await world.send_replay(POST, "")
        world.engine.on_client_left(second)
        assert inner.begun_calls == [first, second] and world.answers == [(200, b"")]
        assert inner.finished_calls == ([first] if takes_calls else []) and inner.left_calls == (
            [second] if takes_calls else []
        )
        await world.send_replay(PUT)
        assert len(inner.begun_calls) == 2  # a replay does not go to the inner recorder

    run_in_world(test, inner)


def test_a_replay_is_not_offered_to_the_copys_own_outbox() -> None:
    """Guards against the copy's outbox queueing an edge's write, which the edge would take as the final
    answer.
    """

    class QueueingOutbox:
        def must_queue(self, call: Call) -> bool:
            return True

        def enqueue(self, call: Call, answer: Answer | None, engine: CallHost) -> bool:
            engine.settle(call, Answer(Ending.SERVED, 202))
            return True

        def on_call_closed(self, call: Call) -> None: ...
        def on_attempt_ended(self, endpoint: int, outcome: int) -> None: ...

    async def test(world: World) -> None:
        world.engine.write_queue = QueueingOutbox()
        await world.send_replay(PUT, "")
        assert world.answers == [(202, b"")]
        await world.send_replay(PUT)
        assert len(world.sent) == 1 and len(world.answers) == 1

    run_in_world(test)


# --- Final answers of replays -----------------------------------------------------------


@pytest.mark.parametrize("request_class", [PAY, PUT])
def test_a_served_write_that_is_not_agreed_in_time_may_have_run_and_is_agreed_later(
    request_class: int,
) -> None:
    async def test(world: World) -> None:
        await world.send_replay(request_class)
        await world.agree()
        await world.answer_attempt()
        await world.advance(DEADLINE_US)
        assert world.answers == [(502, b"")] and world.frontend.answers[0][1].ending is Ending.FAILED
        assert world.write_status() is WriteStatus.UNKNOWN and world.agreement.submitted_entries == [
            WriteApplied(WRITE_ID)
        ]
        await world.agree()
        assert world.write_status() is WriteStatus.APPLIED and len(world.answers) == 1
        await world.send_replay(request_class)
        assert world.answers[1:] == [(200, b"in")] and len(world.upstream.writes) == 1

    run_in_world(test)


def test_a_write_that_was_declared_lost_before_it_was_agreed_is_not_answered_as_applied() -> None:
    async def test(world: World) -> None:
        await world.send_replay(PUT)
        await world.answer_attempt()
        await world.agree(EdgeLost("edge-1"))
        assert world.answers == [(502, b"")] and world.write_status() is WriteStatus.ABANDONED

    run_in_world(test)


def test_a_refusal_is_delivered_once_its_intent_is_withdrawn() -> None:
    async def test(world: World) -> None:
        await world.send_replay()
        await world.agree()
        while world.sent:
            await world.answer_attempt(FULL, runs=False)
            await world.advance(100_000)
        await world.advance(1_000_000)
        assert world.agreement.submitted_entries == [IntentWithdrawal(WRITE_ID, 1)] and world.answers == []
        await world.agree()
        assert world.answers == [(503, b"")] and world.intent_status() is IntentStatus.OPEN

    run_in_world(test)


def test_a_refusal_whose_intent_was_not_withdrawn_is_delivered_and_its_retry_runs_at_most_once() -> None:
    async def test(world: World) -> None:
        await world.send_replay()
        await world.agree()
        while world.sent:
            await world.answer_attempt(FULL, runs=False)
            await world.advance(100_000)
        await world.advance(DEADLINE_US)
        answer = world.frontend.answers[0][1]
        assert world.answers[0][0] == 503 and world.agreement.submitted_entries == [
            IntentWithdrawal(WRITE_ID, 1)
        ]
        assert answer.ending is Ending.REFUSED
        await world.send_replay()
        assert world.answers[1:] == [(502, b"begun")]
        await world.agree()
        await world.send_replay()
        await world.agree()
        assert len(world.sent) == 1 and world.upstream.executions == {}

    run_in_world(test)


def test_a_keyed_refusal_is_delivered_at_once() -> None:
    async def test(world: World) -> None:
        await world.send_replay(PUT)
        while world.sent:
            await world.answer_attempt(FULL, runs=False)
            await world.advance(100_000)
        await world.advance(DEADLINE_US)
        assert [status for status, _ in world.answers] == [503] and world.agreement.submitted_entries == []

    run_in_world(test)


def test_a_failure_before_anything_was_sent_is_a_refusal() -> None:
    async def test(world: World) -> None:
        def fail(now: int, event: Arrival) -> list[Action]:
            raise RuntimeError("fault in the balancing core")

        override_decisions(world.engine, request=fail)  # the compiled module can't be patched directly
        await world.send_replay()
        await world.agree()
        assert world.agreement.submitted_entries == [IntentWithdrawal(WRITE_ID, 1)] and world.answers == []
        await world.agree()
        assert world.answers == [(503, b"")] and world.frontend.answers[0][1].ending is Ending.REFUSED
        assert world.intent_status() is IntentStatus.OPEN and world.upstream.writes == []

    run_in_world(test)


@pytest.mark.parametrize(("outcome", "runs"), [(RESET, True), (ERROR, True), (RESET, False)])
def test_a_failure_is_delivered_at_once_and_keeps_its_intent(outcome: int, runs: bool) -> None:
    async def test(world: World) -> None:
        await world.send_replay()
        await world.agree()
        await world.answer_attempt(outcome, runs)
        assert [status for status, _ in world.answers] == [502] and world.agreement.submitted_entries == []
        assert world.intent_status() is IntentStatus.OTHERS
        await world.send_replay()
        assert world.answers[1:] == [(502, b"begun")] and len(world.upstream.writes) == 1

    run_in_world(test)


# --- Edges that disconnect --------------------------------------------------------------


def test_nothing_is_sent_for_an_edge_that_disconnects_before_its_intent_is_agreed() -> None:
    async def test(world: World) -> None:
        call = await world.send_replay()
        begin = world.agreement.submitted_entries[0]
        world.engine.on_client_left(call)
        await world.agree(begin)
        assert world.agreement.submitted_entries == [IntentWithdrawal(WRITE_ID, 1)] and not world.sent
        await world.agree()
        assert world.intent_status() is IntentStatus.OPEN and world.answers == []

    run_in_world(test)


def test_the_intent_is_withdrawn_if_the_edge_disconnects_before_anything_was_written() -> None:
    async def test(world: World) -> None:
        call = await world.send_replay()
        await world.agree()
        assert len(world.sent) == 1
        world.engine.on_client_left(call)
        await world.run_until_idle()
        assert world.agreement.submitted_entries == [IntentWithdrawal(WRITE_ID, 1)]

    run_in_world(test)


def test_the_intent_is_kept_if_the_edge_disconnects_after_the_request_was_written() -> None:
    async def test(world: World) -> None:
        call = await world.send_replay()
        await world.agree()
        world.upstream.write(world.sent[0], True)
        world.engine.on_client_left(call)
        await world.advance(DEADLINE_US)
        assert world.agreement.submitted_entries == [] and world.intent_status() is IntentStatus.OTHERS

    run_in_world(test)


def test_the_intent_is_kept_if_the_edge_disconnects_after_an_attempt_that_may_have_run() -> None:
    """When the gate is notified of the disconnect, the call's attempts no longer include one that is over."""

    async def test(world: World) -> None:
        call = await world.send_replay()
        await world.agree()
        world.upstream.write(world.sent[0], True)
        world.sent[0].attempt.is_in_flight = False  # its outcome arrived, and the call is not answered yet
        world.engine.on_client_left(call)
        await world.run_until_idle()
        assert not call.attempts and call.attempts_sent == 1
        assert world.agreement.submitted_entries == [] and world.intent_status() is IntentStatus.OTHERS

    run_in_world(test)


def test_a_served_write_is_agreed_even_if_its_edge_disconnects() -> None:
    async def test(world: World) -> None:
        call = await world.send_replay()
        await world.agree()
        await world.answer_attempt()
        world.engine.on_client_left(call)
        await world.agree()
        assert world.write_status() is WriteStatus.APPLIED and world.answers == [] and not world.engine.calls

    run_in_world(test)


def test_late_entries_are_bounded_in_number_and_time() -> None:
    async def test(world: World) -> None:
        for number in range(MAX_LATE_ENTRIES + 5):
            await world.send_replay(write_id=WriteId("edge-1", INCARNATION, number + 1))
        await world.advance(DEADLINE_US)
        assert (
            len(world.agreement.submitted_entries) == MAX_LATE_ENTRIES
            and world.gate.late_entry_count == MAX_LATE_ENTRIES
        )
        await world.advance(LATE_ENTRY_TIMEOUT_US)
        assert (
            world.agreement.submitted_entries == []
            and not world.gate.tasks
            and world.gate.late_entry_count == 0
        )
        assert world.gate.counters["late"] == MAX_LATE_ENTRIES + 5

    run_in_world(test)


# --- Bodies forwarded while they arrive -------------------------------------------------


class UploadSource:
    def pause(self) -> None: ...
    def resume(self) -> None: ...
    def on_abandoned(self) -> None: ...


def test_an_upload_is_sent_once_its_intent_is_agreed() -> None:
    async def test(world: World) -> None:
        call = world.replay_call()
        call.upload, call.body = BodyStream(UploadSource(), 10), b""
        call.time_after_upload_us, call.expires_at = DEADLINE_US, world.clock.now() + 600_000_000
        world.engine.take(call)
        await world.run_until_idle()
        assert not world.sent and world.agreement.submitted_entries == [Intent(WRITE_ID, INCARNATION, 1)]
        await world.agree()
        assert len(world.sent) == 1
        world.upstream.write(world.sent[0], True)  # the part that has arrived
        call.upload.finish(True)
        world.engine.on_upload_complete(call)
        await world.answer_attempt()
        assert world.agreement.submitted_entries == [WriteApplied(WRITE_ID)]
        await world.agree()
        assert world.answers == [(200, b"")]

    run_in_world(test)


def test_an_upload_of_which_an_endpoint_received_a_part_keeps_its_intent() -> None:
    async def test(world: World) -> None:
        call = world.replay_call()
        call.upload, call.body = BodyStream(UploadSource(), 10), b""
        call.time_after_upload_us, call.expires_at = DEADLINE_US, world.clock.now() + 600_000_000
        world.engine.take(call)
        await world.run_until_idle()
        await world.agree()
        world.upstream.write(world.sent[0], True)
        world.engine.on_client_left(call)
        await world.run_until_idle()
        assert world.agreement.submitted_entries == [] and world.intent_status() is IntentStatus.OTHERS

    run_in_world(test)


def test_an_upload_whose_intent_is_not_agreed_is_refused_before_its_provisional_deadline() -> None:
    async def test(world: World) -> None:
        call = world.replay_call()
        call.upload, call.body = BodyStream(UploadSource(), 10), b""
        call.time_after_upload_us, call.expires_at = DEADLINE_US, world.clock.now() + 600_000_000
        world.engine.take(call)
        await world.run_until_idle()
        await world.advance(10_000_000)
        assert world.answers == [(503, b"")]

    run_in_world(test)


# --- Queries of edges -------------------------------------------------------------------


def opened_reply(answer: Answer, sealed: str) -> QueryReply:
    assert answer.status == 200, answer.body
    return SEAL.open_reply(answer.body.decode(), sealed)


def test_write_statuses_are_in_the_order_of_the_query() -> None:
    async def test(world: World) -> None:
        await world.agree(
            WriteApplied(WriteId("edge-2", 5, 1)),
            StatusRecord(WriteId("edge-2", 5, 2), WriteStatus.ABANDONED, 5),
        )
        await world.agree(StatusRecord(WriteId("edge-2", 5, 3), WriteStatus.PARKED, 5))
        sealed = SEAL.seal_query(
            ReplayQuery(dependencies=tuple(Dependency("edge-2", 5, number) for number in (4, 3, 2, 1)))
        )
        reply = opened_reply(await world.query(sealed), sealed)
        assert reply.write_statuses == (
            WriteStatus.UNKNOWN,
            WriteStatus.PARKED,
            WriteStatus.ABANDONED,
            WriteStatus.APPLIED,
        )

    run_in_world(test)


def test_a_copy_that_does_not_know_the_ledger_answers_no_query() -> None:
    async def test(world: World) -> None:
        world.agreement.is_ready = False
        query = ReplayQuery(
            dependencies=(Dependency(*WRITE_ID),),
            lease_requests=(LeaseRequest(EDGE_LOG, LATER_INCARNATION, (INCARNATION,)),),
        )
        answer = await world.query(SEAL.seal_query(query))
        assert world.agreement.submitted_entries == []
        assert answer.status == 503 and answer.retry_after_us > 0 and answer.body == b""

    run_in_world(test)


def test_a_lease_request_is_held_once_agreed_and_open_before() -> None:
    async def test(world: World) -> None:
        sealed = SEAL.seal_query(
            ReplayQuery(
                lease_requests=(
                    LeaseRequest(EDGE_LOG, LATER_INCARNATION, (INCARNATION,)),
                    LeaseRequest(EDGE_LOG, 9, (4,)),
                )
            )
        )
        call = Call(-1, 0, sealed.encode(), b"", b"", world.frontend)
        world.gate.on_query(call)
        await world.run_until_idle()
        assert (
            world.agreement.submitted_entries == [LogLease(EDGE_LOG, LATER_INCARNATION, INCARNATION, 0)]
            and world.answers == []
        )
        await world.agree()
        reply = opened_reply(world.frontend.answers[0][1], sealed)
        assert reply.lease_statuses == (LeaseStatus.HELD, LeaseStatus.FENCED)
        other = SEAL.seal_query(
            ReplayQuery(lease_requests=(LeaseRequest(EDGE_LOG, 10, (LATER_INCARNATION,)),))
        )
        world.gate.on_query(Call(-1, 0, other.encode(), b"", b"", world.frontend))
        await world.run_until_idle()
        await world.advance(QUERY_TIMEOUT_US)
        assert opened_reply(world.frontend.answers[1][1], other).lease_statuses == (LeaseStatus.OPEN,)
        assert world.ledger.holder(EDGE_LOG) == LATER_INCARNATION

    run_in_world(test)


def test_query_items_that_make_no_valid_entry_are_never_agreed() -> None:
    async def test(world: World) -> None:
        sealed = SEAL.seal_query(
            ReplayQuery(
                lease_requests=(LeaseRequest(EDGE_LOG, 0, (INCARNATION,)),),
                status_updates=(StatusUpdate(WRITE_ID, WriteStatus.PARKED, 0),),
            )
        )
        reply = opened_reply(await world.query(sealed), sealed)
        assert (
            reply.lease_statuses == (LeaseStatus.OPEN,)
            and reply.agreements == (False,)
            and world.agreement.submitted_entries == []
        )

    run_in_world(test)


def test_status_updates_are_agreed_before_the_reply_says_so() -> None:
    async def test(world: World) -> None:
        updates = (
            StatusUpdate(WRITE_ID, WriteStatus.PARKED, INCARNATION),
            StatusUpdate(WriteId("edge-1", INCARNATION, 1), WriteStatus.APPLIED, INCARNATION, before=True),
            StatusUpdate(WriteId("edge-1", INCARNATION, 9), WriteStatus.ABANDONED, LATER_INCARNATION),
        )
        sealed = SEAL.seal_query(ReplayQuery(status_updates=updates))
        world.gate.on_query(Call(-1, 0, sealed.encode(), b"", b"", world.frontend))
        await world.run_until_idle()
        assert len(world.agreement.submitted_entries) == 3 and world.answers == []
        await world.agree()
        await world.advance(QUERY_TIMEOUT_US)
        reply = opened_reply(world.frontend.answers[0][1], sealed)
        assert reply.agreements == (True, True, False)  # the last one is not from the log's holder
        assert (
            world.write_status() is WriteStatus.PARKED
            and world.write_status(WriteId("edge-1", INCARNATION, 9)) is WriteStatus.UNKNOWN
        )

    run_in_world(test)


def test_an_intent_withdrawal_lets_the_write_run_again() -> None:
    async def test(world: World) -> None:
        await world.agree(Intent(WRITE_ID, INCARNATION, 99))
        sealed = SEAL.seal_query(
            ReplayQuery(
                status_updates=(
                    StatusUpdate(WRITE_ID, WriteStatus.UNKNOWN, INCARNATION, withdraw_intent=True),
                )
            )
        )
        world.gate.on_query(Call(-1, 0, sealed.encode(), b"", b"", world.frontend))
        await world.run_until_idle()
        await world.agree()
        assert opened_reply(world.frontend.answers[0][1], sealed).agreements == (True,)
        await world.send_replay()
        await world.agree()
        assert len(world.sent) == 1

    run_in_world(test)


def test_a_query_with_a_bad_seal_is_answered_with_400_and_changes_nothing() -> None:
    async def test(world: World) -> None:
        for text in (
            "",
            "x",
            SEAL.seal_replay(ReplayIdentity(WRITE_ID, INCARNATION, True)),
            "\x80",
            "A" * 20_000,
        ):
            assert (await world.query(text)).status == 400
        assert world.agreement.submitted_entries == [] and len(world.log_lines) == 1

    run_in_world(test)


def test_concurrent_queries_are_bounded() -> None:
    async def test(world: World) -> None:
        sealed = SEAL.seal_query(
            ReplayQuery(lease_requests=(LeaseRequest(EDGE_LOG, LATER_INCARNATION, (INCARNATION,)),))
        )
        for _ in range(MAX_QUERIES + 1):
            world.gate.on_query(Call(-1, 0, sealed.encode(), b"", b"", world.frontend))
        await world.run_until_idle()
        assert world.answers == [(503, b"")] and world.gate.open_query_count == MAX_QUERIES
        await world.agree(world.agreement.submitted_entries[0])
        assert [status for status, _ in world.answers] == [503] + [
            200
        ] * MAX_QUERIES and world.gate.open_query_count == 0

    run_in_world(test)


# --- Operator's commands ----------------------------------------------------------------


@pytest.mark.parametrize("incarnation", [0, INCARNATION])
def test_a_lost_edge_is_refused(incarnation: int) -> None:
    async def test(world: World) -> None:
        assert world.gate.declare_lost("edge-1", incarnation)
        await world.run_until_idle()
        assert world.agreement.submitted_entries == [EdgeLost("edge-1", incarnation)]
        await world.agree()
        assert not world.gate.declare_lost("edge-1", incarnation)
        await world.send_replay()
        assert world.answers == [(503, b"fenced")] and world.write_status() is WriteStatus.ABANDONED
        other = WriteId("edge-1", LATER_INCARNATION, 1)
        assert (world.write_status(other) is WriteStatus.ABANDONED) == (not incarnation)
        status: dict[str, Any] = world.gate.status()
        assert status["ready"] and status["gate"]["fenced"] == 1 and "lines" in status

    run_in_world(test)
