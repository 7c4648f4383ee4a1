"""The gate at a copy upstream: what an edge hears of its replay, and when; the test times what is agreed."""

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
    FATE_HEADER,
    IntentStatus,
    LeaseRequest,
    LeaseStatus,
    QueryReply,
    ReplayIdentity,
    ReplayQuery,
    StatusUpdate,
)
from laurelstep.outbox.shared.replay_gate import (
    ASK_US,
    ASKS_MOST,
    COMPLAIN_US,
    LATER_MOST,
    LATER_US,
    ReplayGate,
)
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId

from tests.fakes import FakeUpstream, ManualClock, RecordingFrontend, SentAttempt, entry
from tests.sockets import override_decisions

SECRET = b"of the edges and of the copies"
SEAL = MessageSeal(SECRET)
INCARNATION, LATER_INCARNATION = 7, 8
LINE = EdgeLog("edge-1", INCARNATION)
DOT = WriteId("edge-1", INCARNATION, 3)
PAY, PUT, POST = 0, 1, 2
DEADLINE_US = 2_000_000


class ManualAgreement:
    """A sharer whose entries are agreed when the test says so."""

    def __init__(self, record: ReplicatedLedger, clock: ManualClock) -> None:
        self.record = record
        self.clock = clock
        self.is_ready = True
        self.index = self.submission_count = 0
        self.waiting: list[tuple[LedgerEntry, Callable[[], bool], asyncio.Future[bool]]] = []

    def agree(self, entry: LedgerEntry, done: Callable[[], bool], until: int) -> asyncio.Future[bool]:
        self.submission_count += 1
        pack(entry)
        future: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        if done():
            future.set_result(True)
        elif until <= self.clock.now():
            future.set_result(False)
        else:
            self.waiting.append((entry, done, future))
            self.clock.at(until, self._end, future)
        return future

    def _end(self, future: asyncio.Future[bool]) -> None:
        if not future.done():
            future.set_result(False)
        self._check_endpoints()

    def _check_endpoints(self) -> None:
        for _, done, future in self.waiting:
            if not future.done() and done():
                future.set_result(True)
        self.waiting = [one for one in self.waiting if not one[2].done()]

    @property
    def submitted_entries(self) -> list[LedgerEntry]:
        return [one for one, _, _ in self.waiting]

    def apply_entries(self, *entries: LedgerEntry) -> None:
        """These are agreed now; or all that is asked for."""
        for one in entries or self.submitted_entries:
            self.index += 1
            self.record.apply(self.index, pack(one)[1:])
        self._check_endpoints()


class Inner:
    """A recorder behind the gate."""

    def __init__(self, takes: bool) -> None:
        self.takes = takes
        self.begun: list[Call] = []
        self.finished: list[Call] = []
        self.left: list[Call] = []

    def begin(self, call: Call, engine: CallHost) -> bool:
        self.begun.append(call)
        if self.takes:
            engine.admit(call)
        return self.takes

    def finish(self, call: Call, answer: Answer, engine: CallHost) -> None:
        self.finished.append(call)
        engine.deliver(call, answer)

    def on_client_left(self, call: Call, engine: CallHost) -> None:
        self.left.append(call)


class World:
    def __init__(self, inner: Inner | None = None) -> None:
        self.clock = ManualClock()
        self.upstream = FakeUpstream(self.clock)
        self.front = RecordingFrontend()
        self.record = ReplicatedLedger()
        self.sharer = ManualAgreement(self.record, self.clock)
        self.lines: list[str] = []
        self.asks = iter(range(1, 1000))
        self.gate = ReplayGate(
            self.record, self.sharer, SEAL, {PAY: True, PUT: False}, self.clock, self.lines.append, inner,
            lambda: next(self.asks),
        )  # fmt: skip
        classes = (
            RequestClass(effect=UNSAFE, aim_us=500_000, deadline_us=DEADLINE_US),
            RequestClass(effect=KEYED, aim_us=500_000, deadline_us=DEADLINE_US, window_us=60_000_000),
            RequestClass(effect=UNSAFE, aim_us=500_000, deadline_us=DEADLINE_US),
        )
        found = Settings(classes=classes, can_cancel=True, max_attempts=3)
        names = NameTable({"classes": [{"name": "pay"}, {"name": "put"}, {"name": "post"}]}, found)
        self.engine = Engine(
            self.clock, 1, found, names, self.upstream, StaticMembers(), 500_000, lambda line: None, self.gate
        )
        self.engine.start()
        self.engine.on_list(1, True, [entry("a")])
        self.count = 0

    def call(
        self,
        cls: int = PAY,
        sealed: str | None = None,
        write_id: WriteId = DOT,
        incarnation: int = INCARNATION,
    ) -> Call:
        """A replay; `sealed`: with this in place of its name."""
        if sealed is None:
            sealed = SEAL.replayed(ReplayIdentity(write_id, incarnation, cls == PAY))
        self.count += 1
        name = b"r%d" % self.count
        call = Call(cls, self.clock.now() + DEADLINE_US, b"POST /pay", b"host: x\r\n", b"x", self.front, name)
        call.causal_dependencies = (b"", b"", b"", sealed.encode())
        return call

    async def take(
        self,
        cls: int = PAY,
        sealed: str | None = None,
        write_id: WriteId = DOT,
        incarnation: int = INCARNATION,
    ) -> Call:
        call = self.call(cls, sealed, write_id, incarnation)
        self.engine.take(call)
        await self.turn()
        return call

    async def turn(self) -> None:
        """Until nothing here goes on by itself."""
        for _ in range(20):
            await asyncio.sleep(0)
            self.clock.advance(0)

    async def land(self, *entries: LedgerEntry) -> None:
        self.sharer.apply_entries(*entries)
        await self.turn()

    async def advance(self, span_us: int) -> None:
        """What comes due at one time goes on before the next time comes."""
        end = self.clock.time + span_us
        while self.clock.due and self.clock.due[0][0] <= end:
            self.clock.advance(self.clock.due[0][0] - self.clock.time)
            await self.turn()
        self.clock.advance(end - self.clock.time)
        await self.turn()

    async def play(self, outcome: int = OK, runs: bool = True, written: bool = True) -> None:
        sent = self.sent[0]
        if written:
            self.upstream.write(sent, runs)
        self.upstream.answer(sent, outcome)
        await self.turn()

    async def ask(self, text: str) -> Answer:
        call = Call(-1, 0, text.encode(), b"", b"", self.front)
        call.is_open = False
        before = len(self.front.answers)
        self.gate.on_query(call)
        await self.turn()
        assert len(self.front.answers) == before + 1
        return self.front.answers[-1][1]

    @property
    def sent(self) -> list[SentAttempt]:
        return list(self.upstream.in_flight.values())

    @property
    def told(self) -> list[tuple[int, bytes]]:
        return [
            (answer.status, dict(answer.headers).get(FATE_HEADER, b"")) for _, answer in self.front.answers
        ]

    def begun(self) -> IntentStatus:
        """As another ask would hear."""
        return self.record.intent_status(DOT, INCARNATION, 0)

    def write_status(self, write_id: WriteId = DOT) -> WriteStatus:
        return self.record.write_status(Dependency(*write_id))


def play(test: Callable[[World], Awaitable[None]], inner: Inner | None = None) -> World:
    """In a world of its own, which keeps nothing at its end."""

    async def main() -> World:
        world = World(inner)
        try:
            await test(world)
        finally:
            await world.gate.close()
        assert not world.gate.tasks
        return world

    return asyncio.run(asyncio.wait_for(main(), 20))


# --- Before it is sent ------------------------------------------------------------------


def test_an_unsafe_write_is_sent_once_its_begin_is_agreed_and_answered_once_it_is_in() -> None:
    async def test(world: World) -> None:
        await world.take()
        assert world.sharer.submitted_entries == [Intent(DOT, INCARNATION, 1)] and world.sent == []
        await world.land()
        assert len(world.sent) == 1
        await world.play()
        assert world.sharer.submitted_entries == [WriteApplied(DOT)] and world.told == []
        await world.land()
        assert world.told == [(200, b"")] and world.front.answers[0][1].body == b"ok"
        assert not world.gate.hands and not world.engine.calls

    play(test)


def test_a_keyed_write_needs_no_begin_but_is_answered_once_it_is_in() -> None:
    async def test(world: World) -> None:
        await world.take(PUT)
        assert len(world.sent) == 1 and world.sharer.submitted_entries == []
        await world.play()
        assert world.sharer.submitted_entries == [WriteApplied(DOT)] and world.told == []
        await world.land()
        assert world.told == [(200, b"")]

    play(test)


def test_a_class_that_is_unsafe_here_is_begun_also_if_its_edge_says_otherwise() -> None:
    async def test(world: World) -> None:
        await world.take(PAY, SEAL.replayed(ReplayIdentity(DOT, INCARNATION, False)))
        assert world.sharer.submitted_entries == [Intent(DOT, INCARNATION, 1)] and world.sent == []

    play(test)


@pytest.mark.parametrize("cls", [PAY, PUT])
def test_nothing_is_sent_while_the_record_is_not_known(cls: int) -> None:
    async def test(world: World) -> None:
        world.sharer.is_ready = False
        await world.take(cls)
        answer = world.front.answers[0][1]
        assert world.told == [(503, b"")] and answer.ending is Ending.REFUSED and answer.retry_after_us > 0
        assert not world.upstream.writes and world.sharer.submitted_entries == []

    play(test)


def test_a_begin_that_is_not_agreed_in_time_is_refused_and_taken_back_when_it_comes_late() -> None:
    async def test(world: World) -> None:
        await world.take()
        begin = world.sharer.submitted_entries[0]
        await world.advance(DEADLINE_US)
        assert world.told == [(503, b"")] and world.front.answers[0][1].ending is Ending.REFUSED
        assert world.sharer.submitted_entries == [IntentWithdrawal(DOT, 1)]
        await world.land(begin)
        assert world.begun() is IntentStatus.OTHERS  # what the next ask would hear
        await world.land()
        assert world.begun() is IntentStatus.OPEN and world.upstream.writes == []
        await world.land(begin)
        assert world.begun() is IntentStatus.OPEN  # also if it comes once more

    play(test)


def test_a_call_whose_time_is_over_before_its_begin_was_looked_at_is_refused() -> None:
    """The loop was late: the engine's time for it comes first."""

    async def test(world: World) -> None:
        await world.take()
        world.clock.advance(DEADLINE_US)
        assert world.told == [(503, b"")] and world.front.answers[0][1].ending is Ending.REFUSED
        await world.turn()
        assert world.sharer.submitted_entries == [IntentWithdrawal(DOT, 1)] and len(world.told) == 1

    play(test)


def test_a_copy_that_lost_touch_while_its_begin_was_agreed_sends_nothing() -> None:
    async def test(world: World) -> None:
        await world.take()
        world.sharer.is_ready = False
        await world.land()
        assert world.told == [(503, b"")] and not world.sent
        assert world.sharer.submitted_entries == [IntentWithdrawal(DOT, 1)]

    play(test)


@pytest.mark.parametrize("cls", [PAY, PUT])
def test_a_line_that_another_life_holds_is_fenced(cls: int) -> None:
    async def test(world: World) -> None:
        await world.land(LogLease(LINE, LATER_INCARNATION, INCARNATION, 0))
        await world.take(cls)
        assert world.told == [(503, b"fenced")] and world.front.answers[0][1].ending is Ending.REFUSED
        await world.take(cls, incarnation=LATER_INCARNATION)
        await world.land(*world.sharer.submitted_entries)
        assert len(world.sent) == 1  # its holder's is not

    play(test)


@pytest.mark.parametrize("cls", [PAY, PUT])
@pytest.mark.parametrize("lost", [EdgeLost("edge-1"), EdgeLost("edge-1", INCARNATION)])
def test_what_is_lost_is_fenced(cls: int, lost: EdgeLost) -> None:
    async def test(world: World) -> None:
        await world.land(lost)
        await world.take(cls)
        assert world.told == [(503, b"fenced")] and not world.sent

    play(test)


@pytest.mark.parametrize("cls", [PAY, PUT])
def test_what_is_in_is_told_so_and_not_sent_again(cls: int) -> None:
    async def test(world: World) -> None:
        await world.land(WriteApplied(DOT))
        await world.take(cls)
        assert world.told == [(200, b"in")] and world.front.answers[0][1].body == b""
        assert world.upstream.writes == []

    play(test)


def test_what_another_ask_has_begun_may_have_run() -> None:
    async def test(world: World) -> None:
        await world.land(Intent(DOT, INCARNATION, 99))
        await world.take()
        answer = world.front.answers[0][1]
        assert world.told == [(502, b"begun")] and answer.ending is Ending.FAILED
        assert world.upstream.writes == [] and world.sharer.submitted_entries == []

    play(test)


@pytest.mark.parametrize(
    ("others", "told"),
    [
        (Intent(DOT, INCARNATION, 99), (502, b"begun")),
        (WriteApplied(DOT), (200, b"in")),
        (LogLease(LINE, LATER_INCARNATION, INCARNATION, 0), (503, b"fenced")),
    ],
)
def test_of_two_that_begin_at_a_time_one_alone_is_sent(others: LedgerEntry, told: tuple[int, bytes]) -> None:
    """What is agreed first, while this one's BEGIN is on its way, decides."""

    async def test(world: World) -> None:
        await world.take()
        await world.land(others, *world.sharer.submitted_entries)
        assert world.told == [told] and world.upstream.writes == [] and not world.sent

    play(test)


def test_two_asks_for_one_write_at_one_copy_send_it_once() -> None:
    async def test(world: World) -> None:
        await world.take()
        await world.take()
        assert world.sharer.submitted_entries == [Intent(DOT, INCARNATION, 1), Intent(DOT, INCARNATION, 2)]
        await world.land()
        assert len(world.sent) == 1 and world.told == [(502, b"begun")]

    play(test)


def test_a_bad_seal_is_a_400_and_one_line_for_a_crowd() -> None:
    async def test(world: World) -> None:
        for _ in range(3):
            await world.take(PUT, SEAL.replayed(ReplayIdentity(DOT, INCARNATION, False))[:-1] + "~")
        await world.take(PUT, MessageSeal(SECRET + b"!").replayed(ReplayIdentity(DOT, INCARNATION, False)))
        assert world.told == [(400, b"")] * 4 and not world.sent
        assert len(world.lines) == 1 and "secret" in world.lines[0] and "\n" not in world.lines[0]
        await world.advance(COMPLAIN_US)
        await world.take(PUT, "x")
        assert len(world.lines) == 2

    play(test)


def test_a_replay_of_a_class_that_is_recorded_here_is_refused_with_one_line() -> None:
    async def test(world: World) -> None:
        await world.take(POST)
        assert world.told == [(503, b"")] and not world.sent and len(world.lines) == 1

    play(test, Inner(takes=True))


def test_a_call_without_the_header_is_as_without_a_gate() -> None:
    async def test(world: World) -> None:
        call = world.call(PUT, "")
        call.can_stream_answer = True
        world.engine.take(call)
        assert len(world.sent) == 1 and not call.is_recorded and call.can_stream_answer
        await world.play()
        assert world.told == [(200, b"")] and world.sharer.submitted_entries == []

    play(test)


@pytest.mark.parametrize("takes", [True, False])
def test_a_call_without_the_header_is_the_inner_recorders(takes: bool) -> None:
    inner = Inner(takes)

    async def test(world: World) -> None:
        first = await world.take(POST, "")
        await world.play()
        second = await world.take(POST, "")
        world.engine.on_client_left(second)
        assert inner.begun == [first, second] and world.told == [(200, b"")]
        assert inner.finished == ([first] if takes else []) and inner.left == ([second] if takes else [])
        await world.take(PUT)
        assert len(inner.begun) == 2  # a replay is not its

    play(test, inner)


def test_a_keeper_is_not_asked_about_a_replay() -> None:
    """Else a copy's own outbox would keep an edge's write, and the edge take that for its answer."""

    class First:
        def must_queue(self, call: Call) -> bool:
            return True

        def enqueue(self, call: Call, answer: Answer | None, engine: CallHost) -> bool:
            engine.settle(call, Answer(Ending.SERVED, 202))
            return True

        def on_call_closed(self, call: Call) -> None: ...
        def on_attempt_ended(self, endpoint: int, outcome: int) -> None: ...

    async def test(world: World) -> None:
        world.engine.write_queue = First()
        await world.take(PUT, "")
        assert world.told == [(202, b"")]
        await world.take(PUT)
        assert len(world.sent) == 1 and len(world.told) == 1

    play(test)


# --- Before its answer leaves -----------------------------------------------------------


@pytest.mark.parametrize("cls", [PAY, PUT])
def test_an_in_that_is_not_agreed_in_time_may_have_run_and_is_told_on(cls: int) -> None:
    async def test(world: World) -> None:
        await world.take(cls)
        await world.land()
        await world.play()
        await world.advance(DEADLINE_US)
        assert world.told == [(502, b"")] and world.front.answers[0][1].ending is Ending.FAILED
        assert world.write_status() is WriteStatus.UNKNOWN and world.sharer.submitted_entries == [
            WriteApplied(DOT)
        ]
        await world.land()
        assert world.write_status() is WriteStatus.APPLIED and len(world.told) == 1
        await world.take(cls)
        assert world.told[1:] == [(200, b"in")] and len(world.upstream.writes) == 1

    play(test)


def test_a_write_that_was_declared_lost_before_its_in_is_not_told_as_in() -> None:
    async def test(world: World) -> None:
        await world.take(PUT)
        await world.play()
        await world.land(EdgeLost("edge-1"))
        assert world.told == [(502, b"")] and world.write_status() is WriteStatus.ABANDONED

    play(test)


def test_a_refusal_leaves_once_its_begin_is_taken_back() -> None:
    async def test(world: World) -> None:
        await world.take()
        await world.land()
        while world.sent:
            await world.play(FULL, runs=False)
            await world.advance(100_000)
        await world.advance(1_000_000)
        assert world.sharer.submitted_entries == [IntentWithdrawal(DOT, 1)] and world.told == []
        await world.land()
        assert world.told == [(503, b"")] and world.begun() is IntentStatus.OPEN

    play(test)


def test_a_refusal_whose_begin_could_not_be_taken_back_leaves_and_its_retry_runs_at_most_once() -> None:
    async def test(world: World) -> None:
        await world.take()
        await world.land()
        while world.sent:
            await world.play(FULL, runs=False)
            await world.advance(100_000)
        await world.advance(DEADLINE_US)
        answer = world.front.answers[0][1]
        assert world.told[0][0] == 503 and world.sharer.submitted_entries == [IntentWithdrawal(DOT, 1)]
        assert answer.ending is Ending.REFUSED
        await world.take()
        assert world.told[1:] == [(502, b"begun")]
        await world.land()
        await world.take()
        await world.land()
        assert len(world.sent) == 1 and world.upstream.executions == {}

    play(test)


def test_a_keyed_refusal_leaves_at_once() -> None:
    async def test(world: World) -> None:
        await world.take(PUT)
        while world.sent:
            await world.play(FULL, runs=False)
            await world.advance(100_000)
        await world.advance(DEADLINE_US)
        assert [status for status, _ in world.told] == [503] and world.sharer.submitted_entries == []

    play(test)


def test_a_failure_of_which_nothing_was_sent_is_a_refusal() -> None:
    async def test(world: World) -> None:
        def fail(now: int, event: Arrival) -> list[Action]:
            raise RuntimeError("a fault of the module")

        override_decisions(world.engine, request=fail)  # compiled, the module can't be patched
        await world.take()
        await world.land()
        assert world.sharer.submitted_entries == [IntentWithdrawal(DOT, 1)] and world.told == []
        await world.land()
        assert world.told == [(503, b"")] and world.front.answers[0][1].ending is Ending.REFUSED
        assert world.begun() is IntentStatus.OPEN and world.upstream.writes == []

    play(test)


@pytest.mark.parametrize(("outcome", "runs"), [(RESET, True), (ERROR, True), (RESET, False)])
def test_a_failure_leaves_at_once_and_stays_begun(outcome: int, runs: bool) -> None:
    async def test(world: World) -> None:
        await world.take()
        await world.land()
        await world.play(outcome, runs)
        assert [status for status, _ in world.told] == [502] and world.sharer.submitted_entries == []
        assert world.begun() is IntentStatus.OTHERS
        await world.take()
        assert world.told[1:] == [(502, b"begun")] and len(world.upstream.writes) == 1

    play(test)


# --- Edges that leave -------------------------------------------------------------------


def test_an_edge_that_leaves_before_its_begin_is_agreed_has_nothing_sent() -> None:
    async def test(world: World) -> None:
        call = await world.take()
        begin = world.sharer.submitted_entries[0]
        world.engine.on_client_left(call)
        await world.land(begin)
        assert world.sharer.submitted_entries == [IntentWithdrawal(DOT, 1)] and not world.sent
        await world.land()
        assert world.begun() is IntentStatus.OPEN and world.told == []

    play(test)


def test_an_edge_that_leaves_before_anything_was_written_has_its_begin_taken_back() -> None:
    async def test(world: World) -> None:
        call = await world.take()
        await world.land()
        assert len(world.sent) == 1
        world.engine.on_client_left(call)
        await world.turn()
        assert world.sharer.submitted_entries == [IntentWithdrawal(DOT, 1)]

    play(test)


def test_an_edge_that_leaves_after_it_was_written_leaves_it_begun() -> None:
    async def test(world: World) -> None:
        call = await world.take()
        await world.land()
        world.upstream.write(world.sent[0], True)
        world.engine.on_client_left(call)
        await world.advance(DEADLINE_US)
        assert world.sharer.submitted_entries == [] and world.begun() is IntentStatus.OTHERS

    play(test)


def test_an_edge_that_leaves_after_an_attempt_that_may_have_run_was_over_leaves_it_begun() -> None:
    """What is over is not among the call's attempts any more as the gate hears of the leaving."""

    async def test(world: World) -> None:
        call = await world.take()
        await world.land()
        world.upstream.write(world.sent[0], True)
        world.sent[0].attempt.is_in_flight = False  # its outcome came, and nobody has answered yet
        world.engine.on_client_left(call)
        await world.turn()
        assert not call.attempts and call.attempts_sent == 1
        assert world.sharer.submitted_entries == [] and world.begun() is IntentStatus.OTHERS

    play(test)


def test_an_edge_that_leaves_while_its_in_is_agreed_finds_it_in() -> None:
    async def test(world: World) -> None:
        call = await world.take()
        await world.land()
        await world.play()
        world.engine.on_client_left(call)
        await world.land()
        assert world.write_status() is WriteStatus.APPLIED and world.told == [] and not world.engine.calls

    play(test)


def test_what_is_told_on_has_a_bound_and_an_end() -> None:
    async def test(world: World) -> None:
        for number in range(LATER_MOST + 5):
            await world.take(write_id=WriteId("edge-1", INCARNATION, number + 1))
        await world.advance(DEADLINE_US)
        assert len(world.sharer.submitted_entries) == LATER_MOST and world.gate.later == LATER_MOST
        await world.advance(LATER_US)
        assert world.sharer.submitted_entries == [] and not world.gate.tasks and world.gate.later == 0
        assert world.gate.counters["late"] == LATER_MOST + 5

    play(test)


# --- A body that is passed on while it comes --------------------------------------------


class Source:
    def pause(self) -> None: ...
    def resume(self) -> None: ...
    def on_abandoned(self) -> None: ...


def test_an_upload_is_sent_once_its_begin_is_agreed() -> None:
    async def test(world: World) -> None:
        call = world.call()
        call.upload, call.body = BodyStream(Source(), 10), b""
        call.time_after_upload_us, call.expires_at = DEADLINE_US, world.clock.now() + 600_000_000
        world.engine.take(call)
        await world.turn()
        assert not world.sent and world.sharer.submitted_entries == [Intent(DOT, INCARNATION, 1)]
        await world.land()
        assert len(world.sent) == 1
        world.upstream.write(world.sent[0], True)  # what has come of it
        call.upload.finish(True)
        world.engine.on_upload_complete(call)
        await world.play()
        assert world.sharer.submitted_entries == [WriteApplied(DOT)]
        await world.land()
        assert world.told == [(200, b"")]

    play(test)


def test_an_upload_of_which_an_endpoint_had_a_part_stays_begun() -> None:
    async def test(world: World) -> None:
        call = world.call()
        call.upload, call.body = BodyStream(Source(), 10), b""
        call.time_after_upload_us, call.expires_at = DEADLINE_US, world.clock.now() + 600_000_000
        world.engine.take(call)
        await world.turn()
        await world.land()
        world.upstream.write(world.sent[0], True)
        world.engine.on_client_left(call)
        await world.turn()
        assert world.sharer.submitted_entries == [] and world.begun() is IntentStatus.OTHERS

    play(test)


def test_an_upload_whose_begin_is_not_agreed_is_refused_before_its_provisional_time() -> None:
    async def test(world: World) -> None:
        call = world.call()
        call.upload, call.body = BodyStream(Source(), 10), b""
        call.time_after_upload_us, call.expires_at = DEADLINE_US, world.clock.now() + 600_000_000
        world.engine.take(call)
        await world.turn()
        await world.advance(10_000_000)
        assert world.told == [(503, b"")]

    play(test)


# --- Asked by edges ---------------------------------------------------------------------


def answered(answer: Answer, sealed: str) -> QueryReply:
    assert answer.status == 200, answer.body
    return SEAL.open_answered(answer.body.decode(), sealed)


def test_fates_are_told_in_the_order_in_which_they_are_asked() -> None:
    async def test(world: World) -> None:
        await world.land(
            WriteApplied(WriteId("edge-2", 5, 1)),
            StatusRecord(WriteId("edge-2", 5, 2), WriteStatus.ABANDONED, 5),
        )
        await world.land(StatusRecord(WriteId("edge-2", 5, 3), WriteStatus.PARKED, 5))
        sealed = SEAL.ask(
            ReplayQuery(dependencies=tuple(Dependency("edge-2", 5, number) for number in (4, 3, 2, 1)))
        )
        told = answered(await world.ask(sealed), sealed)
        assert told.write_statuses == (
            WriteStatus.UNKNOWN,
            WriteStatus.PARKED,
            WriteStatus.ABANDONED,
            WriteStatus.APPLIED,
        )

    play(test)


def test_a_copy_that_does_not_know_the_record_answers_no_ask() -> None:
    async def test(world: World) -> None:
        world.sharer.is_ready = False
        ask = ReplayQuery(
            dependencies=(Dependency(*DOT),),
            lease_requests=(LeaseRequest(LINE, LATER_INCARNATION, (INCARNATION,)),),
        )
        answer = await world.ask(SEAL.ask(ask))
        assert world.sharer.submitted_entries == []
        assert answer.status == 503 and answer.retry_after_us > 0 and answer.body == b""

    play(test)


def test_a_claim_is_told_as_held_once_it_is_agreed_and_as_open_before() -> None:
    async def test(world: World) -> None:
        sealed = SEAL.ask(
            ReplayQuery(
                lease_requests=(
                    LeaseRequest(LINE, LATER_INCARNATION, (INCARNATION,)),
                    LeaseRequest(LINE, 9, (4,)),
                )
            )
        )
        asking = Call(-1, 0, sealed.encode(), b"", b"", world.front)
        world.gate.on_query(asking)
        await world.turn()
        assert (
            world.sharer.submitted_entries == [LogLease(LINE, LATER_INCARNATION, INCARNATION, 0)]
            and world.told == []
        )
        await world.land()
        told = answered(world.front.answers[0][1], sealed)
        assert told.lease_statuses == (LeaseStatus.HELD, LeaseStatus.FENCED)
        other = SEAL.ask(ReplayQuery(lease_requests=(LeaseRequest(LINE, 10, (LATER_INCARNATION,)),)))
        world.gate.on_query(Call(-1, 0, other.encode(), b"", b"", world.front))
        await world.turn()
        await world.advance(ASK_US)
        assert answered(world.front.answers[1][1], other).lease_statuses == (LeaseStatus.OPEN,)
        assert world.record.holder(LINE) == LATER_INCARNATION

    play(test)


def test_what_can_be_no_entry_is_never_agreed() -> None:
    async def test(world: World) -> None:
        sealed = SEAL.ask(
            ReplayQuery(
                lease_requests=(LeaseRequest(LINE, 0, (INCARNATION,)),),
                status_updates=(StatusUpdate(DOT, WriteStatus.PARKED, 0),),
            )
        )
        told = answered(await world.ask(sealed), sealed)
        assert (
            told.lease_statuses == (LeaseStatus.OPEN,)
            and told.agreements == (False,)
            and world.sharer.submitted_entries == []
        )

    play(test)


def test_what_an_edge_tells_is_agreed_before_it_hears_so() -> None:
    async def test(world: World) -> None:
        tellings = (
            StatusUpdate(DOT, WriteStatus.PARKED, INCARNATION),
            StatusUpdate(WriteId("edge-1", INCARNATION, 1), WriteStatus.APPLIED, INCARNATION, before=True),
            StatusUpdate(WriteId("edge-1", INCARNATION, 9), WriteStatus.ABANDONED, LATER_INCARNATION),
        )
        sealed = SEAL.ask(ReplayQuery(status_updates=tellings))
        world.gate.on_query(Call(-1, 0, sealed.encode(), b"", b"", world.front))
        await world.turn()
        assert len(world.sharer.submitted_entries) == 3 and world.told == []
        await world.land()
        await world.advance(ASK_US)
        told = answered(world.front.answers[0][1], sealed)
        assert told.agreements == (True, True, False)  # the last is not its holder's word
        assert (
            world.write_status() is WriteStatus.PARKED
            and world.write_status(WriteId("edge-1", INCARNATION, 9)) is WriteStatus.UNKNOWN
        )

    play(test)


def test_a_word_that_it_never_ran_lets_it_run_once_more() -> None:
    async def test(world: World) -> None:
        await world.land(Intent(DOT, INCARNATION, 99))
        sealed = SEAL.ask(
            ReplayQuery(
                status_updates=(StatusUpdate(DOT, WriteStatus.UNKNOWN, INCARNATION, withdraw_intent=True),)
            )
        )
        world.gate.on_query(Call(-1, 0, sealed.encode(), b"", b"", world.front))
        await world.turn()
        await world.land()
        assert answered(world.front.answers[0][1], sealed).agreements == (True,)
        await world.take()
        await world.land()
        assert len(world.sent) == 1

    play(test)


def test_an_ask_with_a_bad_seal_is_a_400_and_changes_nothing() -> None:
    async def test(world: World) -> None:
        for text in ("", "x", SEAL.replayed(ReplayIdentity(DOT, INCARNATION, True)), "\x80", "A" * 20_000):
            assert (await world.ask(text)).status == 400
        assert world.sharer.submitted_entries == [] and len(world.lines) == 1

    play(test)


def test_asks_at_a_time_have_a_bound() -> None:
    async def test(world: World) -> None:
        sealed = SEAL.ask(
            ReplayQuery(lease_requests=(LeaseRequest(LINE, LATER_INCARNATION, (INCARNATION,)),))
        )
        for _ in range(ASKS_MOST + 1):
            world.gate.on_query(Call(-1, 0, sealed.encode(), b"", b"", world.front))
        await world.turn()
        assert world.told == [(503, b"")] and world.gate.asking == ASKS_MOST
        await world.land(world.sharer.submitted_entries[0])
        assert [status for status, _ in world.told] == [503] + [200] * ASKS_MOST and world.gate.asking == 0

    play(test)


# --- An operator's word -----------------------------------------------------------------


@pytest.mark.parametrize("incarnation", [0, INCARNATION])
def test_an_edge_that_is_declared_lost_is_refused_from_then_on(incarnation: int) -> None:
    async def test(world: World) -> None:
        assert world.gate.declare_lost("edge-1", incarnation)
        await world.turn()
        assert world.sharer.submitted_entries == [EdgeLost("edge-1", incarnation)]
        await world.land()
        assert not world.gate.declare_lost("edge-1", incarnation)
        await world.take()
        assert world.told == [(503, b"fenced")] and world.write_status() is WriteStatus.ABANDONED
        other = WriteId("edge-1", LATER_INCARNATION, 1)
        assert (world.write_status(other) is WriteStatus.ABANDONED) == (not incarnation)
        status: dict[str, Any] = world.gate.status()
        assert status["ready"] and status["gate"]["fenced"] == 1 and "lines" in status

    play(test)
