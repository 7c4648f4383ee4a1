"""When the loop counts as held up: time and the loop's turns are made."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from laurelstep.engine.loop_watch import BLOCKED_US, LATE_US, STALE_US, LoopWatch

from tests.fakes import ScheduledCall


class Loop:
    """A loop whose turns are the test's: what is asked for comes with the next one. Its `Clock`, too."""

    def __init__(self) -> None:
        self.time = 1_000_000
        self.pending: list[Callable[..., None]] = []
        self.read_to = [0, 0, 0]  # what came before these was read by the present turn, and those before
        self.watch = LoopWatch(self)

    def now(self) -> int:
        return self.time

    def wall(self) -> int:
        raise AssertionError("no use of the wall clock")

    def at(self, due: int, callback: Callable[..., None], *args: Any) -> ScheduledCall:
        assert due <= self.time
        self.pending.append(callback)
        return ScheduledCall(callback, args)

    def passes(self, span_us: int) -> None:
        """Time passes within a turn."""
        self.time += span_us

    def turn(self) -> None:
        pending, self.pending = self.pending, []
        for callback in pending:
            callback()
        self.read_to = [self.time, *self.read_to[:2]]

    def is_late(self) -> bool:
        return self.watch.is_late(self.time)

    def unread_us(self) -> int:
        """How old the oldest thing may be that was not read: an end behind bytes is read a turn later."""
        return self.time - self.read_to[1]


def test_a_loop_that_turns_often_is_not_late_and_is_asked_to_wake_seldom() -> None:
    loop, wakes, late = Loop(), 0, 0
    for _ in range(1000):
        loop.passes(1_000)
        loop.turn()
        late += loop.is_late()
        wakes += len(loop.pending)
    assert late == LATE_US // 1_000, "at first alone, as nothing is known"
    assert wakes <= 1000 // 10


def test_a_hold_between_two_questions_is_late_until_all_is_read() -> None:
    loop = Loop()
    for _ in range(100):
        loop.passes(1_000)
        loop.turn()
        loop.is_late()
    loop.passes(BLOCKED_US + 1)
    assert loop.is_late()
    loop.passes(1_000)
    assert loop.is_late(), "the same turn"


def test_a_turn_of_many_short_steps_is_late() -> None:
    loop = Loop()
    for _ in range(100):
        loop.passes(1_000)
        loop.turn()
        loop.is_late()
    found = []
    for _ in range(200):
        loop.passes(1_000)
        found.append(loop.is_late())
    assert not found[0] and all(found[STALE_US // 2_000 :])
    loop.turn()
    assert loop.is_late(), "what came in that turn may lie behind bytes that are read in this one"


def test_whatever_the_loop_does_nothing_stale_is_unread_while_it_is_not_late() -> None:
    for seed in range(200):
        draw, loop = random.Random(seed), Loop()
        longest = draw.choice((1_000, 8_000, 30_000, 200_000))
        for _ in range(400):
            loop.passes(draw.randrange(longest))
            if draw.random() < 0.4:
                loop.turn()
            if draw.random() < 0.7 and not loop.is_late():
                assert loop.unread_us() <= STALE_US
