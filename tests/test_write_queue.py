"""The engine's write queue: which calls are offered to it, and what happens to those it takes over."""

from __future__ import annotations

from typing import Any

import pytest
from laurelstep.balancing.events import ERROR, FULL, OK, RESET, UNSAFE, RequestClass, Settings
from laurelstep.engine import Answer, Call, Ending, Engine
from laurelstep.engine.body_stream import BodyStream
from laurelstep.engine.names import NameTable
from laurelstep.engine.ports import CallHost
from laurelstep.engine.static_members import StaticMembers

from tests.fakes import FakeUpstream, ManualClock, RecordingFrontend, SentAttempt, entry

PAY = RequestClass(effect=UNSAFE, aim_us=500_000, deadline_us=2_000_000)


class RecordingQueue:
    """A write queue that accepts all calls or none, and records how the engine calls it."""

    def __init__(self, must_queue_all: bool = False, accepts: bool = True) -> None:
        self.must_queue_all = must_queue_all
        self.accepts = accepts
        self.offered: list[tuple[Call, Answer | None]] = []
        self.closed: list[Call] = []
        self.outcomes: list[int] = []

    def must_queue(self, call: Call) -> bool:
        return self.must_queue_all

    def enqueue(self, call: Call, answer: Answer | None, engine: CallHost) -> bool:
        self.offered.append((call, answer))
        return self.accepts

    def on_call_closed(self, call: Call) -> None:
        self.closed.append(call)

    def on_attempt_ended(self, endpoint: int, outcome: int) -> None:
        self.outcomes.append(outcome)


class World:
    def __init__(self, write_queue: RecordingQueue, **settings: Any) -> None:
        self.clock = ManualClock()
        self.upstream = FakeUpstream(self.clock)
        self.frontend = RecordingFrontend()
        self.write_queue = write_queue
        configured = Settings(classes=(PAY,), can_cancel=True, max_attempts=3, **settings)
        names = NameTable({"classes": [{"name": "pay"}]}, configured)
        source = StaticMembers()
        self.engine = Engine(
            self.clock, 1, configured, names, self.upstream, source, 500_000, lambda line: None
        )  # fmt: skip
        self.engine.write_queue = write_queue
        self.engine.start()
        self.engine.on_list(1, True, [entry("a")])

    def take_call(self) -> Call:
        call = Call(0, self.clock.now() + 2_000_000, b"POST /pay", b"", b"x", self.frontend, b"r1")
        self.engine.take(call)
        return call

    @property
    def sent(self) -> list[SentAttempt]:
        return list(self.upstream.in_flight.values())

    @property
    def statuses(self) -> list[int]:
        return [answer.status for _, answer in self.frontend.answers]

    def finish_attempts(self, runs: bool, outcome: int, written: bool = True) -> None:
        """End all attempts in flight with `outcome`, and those that follow, until none is left."""
        while self.sent:
            attempt = self.sent[0]
            if written:
                self.upstream.write(attempt, runs)
            self.upstream.answer(attempt, outcome)


def test_a_call_that_was_never_written_is_offered_and_settled_by_the_queue() -> None:
    world = World(RecordingQueue())
    call = world.take_call()
    world.finish_attempts(False, RESET, written=False)
    world.clock.advance(1_900_000)
    assert [offered for offered, _ in world.write_queue.offered] == [call] and world.statuses == []
    (_, answer) = world.write_queue.offered[0]
    assert answer is not None and answer.ending is not Ending.SERVED
    world.engine.settle(call, Answer(Ending.SERVED, 202))
    assert world.statuses == [202] and not world.engine.calls
    world.engine.settle(call, Answer(Ending.SERVED, 202))
    world.clock.advance(5_000_000)
    assert world.statuses == [202] and world.write_queue.closed == []


@pytest.mark.parametrize(("runs", "outcome"), [(True, RESET), (True, ERROR), (False, RESET), (False, ERROR)])
def test_a_call_that_was_written_completely_is_never_offered(runs: bool, outcome: int) -> None:
    world = World(RecordingQueue())
    world.take_call()
    world.finish_attempts(runs, outcome)
    world.clock.advance(5_000_000)
    assert world.write_queue.offered == [] and len(world.statuses) == 1 and world.statuses[0] >= 500


def test_a_call_refused_as_full_is_offered_unless_that_is_no_proof() -> None:
    for unproven in (False, True):
        world = World(RecordingQueue(), full_unproven=unproven)
        call = world.take_call()
        world.finish_attempts(False, FULL)
        world.clock.advance(1_900_000)
        world.finish_attempts(False, FULL)
        world.clock.advance(5_000_000)
        assert bool(world.write_queue.offered) != unproven
        assert call.is_open is False


def test_a_call_that_the_queue_declines_gets_the_offered_answer() -> None:
    world = World(RecordingQueue(accepts=False))
    world.take_call()
    world.finish_attempts(False, RESET, written=False)
    world.clock.advance(5_000_000)
    assert len(world.write_queue.offered) >= 1 and len(world.statuses) == 1
    answer = world.write_queue.offered[-1][1]
    assert answer is not None and answer.status == world.statuses[0]


def test_a_call_that_must_be_queued_is_not_sent_until_it_is_admitted() -> None:
    world = World(RecordingQueue(must_queue_all=True))
    call = world.take_call()
    assert world.write_queue.offered == [(call, None)] and not world.sent
    world.engine.admit(call)
    assert len(world.sent) == 1
    world.finish_attempts(True, OK)
    assert world.statuses == [200] and world.write_queue.outcomes == [OK]


def test_the_queue_is_notified_when_a_queued_call_ends_early() -> None:
    world = World(RecordingQueue(must_queue_all=True))
    call = world.take_call()
    world.engine.on_client_left(call)
    assert world.write_queue.closed == [call] and not world.engine.calls
    world.engine.settle(call, Answer(Ending.SERVED, 202))
    late_call = world.take_call()
    world.clock.advance(2_000_000)
    assert world.write_queue.closed == [call, late_call] and world.statuses == [504]
    world.engine.settle(late_call, Answer(Ending.SERVED, 202))
    world.engine.admit(late_call)
    assert world.statuses == [504] and not world.sent and not world.engine.calls


class IdleSource:
    """The source of an upload that has not been received completely."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...

    def on_abandoned(self) -> None: ...


@pytest.mark.parametrize("was_written", [False, True])
def test_an_upload_is_offered_unless_an_endpoint_received_its_beginning(was_written: bool) -> None:
    world = World(RecordingQueue())
    call = Call(0, world.clock.now() + 2_000_000, b"POST /pay", b"", b"", world.frontend, b"r1")
    call.upload = BodyStream(IdleSource(), 100_000)
    world.engine.take(call)
    world.finish_attempts(False, RESET, written=was_written)
    world.clock.advance(5_000_000)
    assert [offered for offered, _ in world.write_queue.offered] == ([] if was_written else [call])
    assert len(world.statuses) == 1 and world.write_queue.closed == ([] if was_written else [call])


def test_the_time_limit_of_a_queued_upload_counts_from_its_last_byte() -> None:
    world = World(RecordingQueue(must_queue_all=True))
    call = Call(0, world.clock.now() + 600_000_000, b"POST /pay", b"", b"", world.frontend, b"r1")
    call.upload, call.time_after_upload_us = BodyStream(IdleSource(), 100_000), 2_000_000
    world.engine.take(call)
    world.clock.advance(60_000_000)
    assert world.statuses == [] and not world.sent
    world.engine.on_upload_complete(call)
    world.clock.advance(1_999_999)
    assert world.statuses == []
    world.clock.advance(1)
    assert world.statuses == [504] and world.write_queue.closed == [call]
