"""The engine's keeper: what it is asked about, and what becomes of a call that it has in hand."""

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


class Notes:
    """A keeper that takes what it is told to, and notes what it hears."""

    def __init__(self, first: bool = False, takes: bool = True) -> None:
        self.first = first
        self.takes = takes
        self.asked: list[tuple[Call, Answer | None]] = []
        self.gone: list[Call] = []
        self.outcomes: list[int] = []

    def must_queue(self, call: Call) -> bool:
        return self.first

    def enqueue(self, call: Call, answer: Answer | None, engine: CallHost) -> bool:
        self.asked.append((call, answer))
        return self.takes

    def on_call_closed(self, call: Call) -> None:
        self.gone.append(call)

    def on_attempt_ended(self, endpoint: int, outcome: int) -> None:
        self.outcomes.append(outcome)


class World:
    def __init__(self, keeper: Notes, **settings: Any) -> None:
        self.clock = ManualClock()
        self.upstream = FakeUpstream(self.clock)
        self.front = RecordingFrontend()
        self.keeper = keeper
        found = Settings(classes=(PAY,), can_cancel=True, max_attempts=3, **settings)
        names = NameTable({"classes": [{"name": "pay"}]}, found)
        source = StaticMembers()
        self.engine = Engine(
            self.clock, 1, found, names, self.upstream, source, 500_000, lambda line: None
        )  # fmt: skip
        self.engine.write_queue = keeper
        self.engine.start()
        self.engine.on_list(1, True, [entry("a")])

    def ask(self) -> Call:
        call = Call(0, self.clock.now() + 2_000_000, b"POST /pay", b"", b"x", self.front, b"r1")
        self.engine.take(call)
        return call

    @property
    def sent(self) -> list[SentAttempt]:
        return list(self.upstream.in_flight.values())

    @property
    def told(self) -> list[int]:
        return [answer.status for _, answer in self.front.answers]

    def play(self, runs: bool, outcome: int, written: bool = True) -> None:
        """All that is sent, until nothing more is."""
        while self.sent:
            one = self.sent[0]
            if written:
                self.upstream.write(one, runs)
            self.upstream.answer(one, outcome)


def test_what_never_left_is_offered_and_then_waits_for_the_keeper() -> None:
    world = World(Notes())
    call = world.ask()
    world.play(False, RESET, written=False)
    world.clock.advance(1_900_000)
    assert [each for each, _ in world.keeper.asked] == [call] and world.told == []
    (_, answer) = world.keeper.asked[0]
    assert answer is not None and answer.ending is not Ending.SERVED
    world.engine.settle(call, Answer(Ending.SERVED, 202))
    assert world.told == [202] and not world.engine.calls
    world.engine.settle(call, Answer(Ending.SERVED, 202))
    world.clock.advance(5_000_000)
    assert world.told == [202] and world.keeper.gone == []


@pytest.mark.parametrize(("runs", "outcome"), [(True, RESET), (True, ERROR), (False, RESET), (False, ERROR)])
def test_what_was_written_whole_is_never_offered(runs: bool, outcome: int) -> None:
    world = World(Notes())
    world.ask()
    world.play(runs, outcome)
    world.clock.advance(5_000_000)
    assert world.keeper.asked == [] and len(world.told) == 1 and world.told[0] >= 500


def test_what_an_endpoint_turned_away_unseen_is_offered_unless_that_proves_nothing() -> None:
    for unproven in (False, True):
        world = World(Notes(), full_unproven=unproven)
        call = world.ask()
        world.play(False, FULL)
        world.clock.advance(1_900_000)
        world.play(False, FULL)
        world.clock.advance(5_000_000)
        assert bool(world.keeper.asked) != unproven
        assert call.is_open is False


def test_one_that_the_keeper_declines_gets_the_answer_it_would_have_had() -> None:
    world = World(Notes(takes=False))
    world.ask()
    world.play(False, RESET, written=False)
    world.clock.advance(5_000_000)
    assert len(world.keeper.asked) >= 1 and len(world.told) == 1
    answer = world.keeper.asked[-1][1]
    assert answer is not None and answer.status == world.told[0]


def test_one_that_comes_first_is_not_sent_until_it_is_admitted() -> None:
    world = World(Notes(first=True))
    call = world.ask()
    assert world.keeper.asked == [(call, None)] and not world.sent
    world.engine.admit(call)
    assert len(world.sent) == 1
    world.play(True, OK)
    assert world.told == [200] and world.keeper.outcomes == [OK]


def test_one_in_hand_whose_client_leaves_or_whose_time_is_over() -> None:
    world = World(Notes(first=True))
    call = world.ask()
    world.engine.on_client_left(call)
    assert world.keeper.gone == [call] and not world.engine.calls
    world.engine.settle(call, Answer(Ending.SERVED, 202))
    late = world.ask()
    world.clock.advance(2_000_000)
    assert world.keeper.gone == [call, late] and world.told == [504]
    world.engine.settle(late, Answer(Ending.SERVED, 202))
    world.engine.admit(late)
    assert world.told == [504] and not world.sent and not world.engine.calls


class Coming:
    """The source of an upload of which more is to come."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...

    def on_abandoned(self) -> None: ...


@pytest.mark.parametrize("begun", [False, True])
def test_an_upload_is_offered_unless_an_endpoint_had_its_beginning(begun: bool) -> None:
    world = World(Notes())
    call = Call(0, world.clock.now() + 2_000_000, b"POST /pay", b"", b"", world.front, b"r1")
    call.upload = BodyStream(Coming(), 100_000)
    world.engine.take(call)
    world.play(False, RESET, written=begun)
    world.clock.advance(5_000_000)
    assert [each for each, _ in world.keeper.asked] == ([] if begun else [call])
    assert len(world.told) == 1 and world.keeper.gone == ([] if begun else [call])


def test_an_upload_in_hand_has_its_time_from_its_last_byte_and_the_module_hears_nothing_of_it() -> None:
    world = World(Notes(first=True))
    call = Call(0, world.clock.now() + 600_000_000, b"POST /pay", b"", b"", world.front, b"r1")
    call.upload, call.time_after_upload_us = BodyStream(Coming(), 100_000), 2_000_000
    world.engine.take(call)
    world.clock.advance(60_000_000)
    assert world.told == [] and not world.sent
    world.engine.on_upload_complete(call)
    world.clock.advance(1_999_999)
    assert world.told == []
    world.clock.advance(1)
    assert world.told == [504] and world.keeper.gone == [call]
