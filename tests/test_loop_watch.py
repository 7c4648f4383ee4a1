"""When an event loop counts as late. The test advances the time and runs the loop's iterations."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

from laurelstep.engine.loop_watch import BLOCKED_US, LATE_US, STALE_US, LoopWatch

from tests.fakes import ScheduledCall


class Loop:
    """A loop whose iterations the test runs; callbacks run in the next one. It is its own `Clock`."""

    def __init__(self) -> None:
        self.time = 1_000_000
        self.pending: list[Callable[..., None]] = []
        # Data that arrived before these times was read by the latest iteration, and by the two before it.
        self.read_until = [0, 0, 0]
        self.watch = LoopWatch(self)

    def now(self) -> int:
        return self.time

    def wall(self) -> int:
        raise AssertionError("the wall clock must not be used")

    def at(self, due: int, callback: Callable[..., None], *args: Any) -> ScheduledCall:
        assert due <= self.time
        self.pending.append(callback)
        return ScheduledCall(callback, args)

    def advance(self, duration_us: int) -> None:
        """Let time pass within an iteration."""
        self.time += duration_us

    def run_iteration(self) -> None:
        pending, self.pending = self.pending, []
        for callback in pending:
            callback()
        self.read_until = [self.time, *self.read_until[:2]]

    def is_late(self) -> bool:
        return self.watch.is_late(self.time)

    def unread_us(self) -> int:
        """The largest age of unread data. The end of a connection behind data is read one iteration later."""
        return self.time - self.read_until[1]


def test_a_loop_that_iterates_often_is_not_late_and_gets_few_callbacks() -> None:
    loop, wakeups, late_checks = Loop(), 0, 0
    for _ in range(1000):
        loop.advance(1_000)
        loop.run_iteration()
        late_checks += loop.is_late()
        wakeups += len(loop.pending)
    assert late_checks == LATE_US // 1_000, "only at the start, before the loop has been observed"
    assert wakeups <= 1000 // 10


def test_after_a_block_between_two_checks_the_loop_is_late() -> None:
    loop = Loop()
    for _ in range(100):
        loop.advance(1_000)
        loop.run_iteration()
        loop.is_late()
    loop.advance(BLOCKED_US + 1)
    assert loop.is_late()
    loop.advance(1_000)
    assert loop.is_late(), "still within the same iteration"


def test_a_long_iteration_of_many_short_steps_is_late() -> None:
    loop = Loop()
    for _ in range(100):
        loop.advance(1_000)
        loop.run_iteration()
        loop.is_late()
    late_checks = []
    for _ in range(200):
        loop.advance(1_000)
        late_checks.append(loop.is_late())
    assert not late_checks[0] and all(late_checks[STALE_US // 2_000 :])
    loop.run_iteration()
    assert loop.is_late(), "data that arrived in that iteration may be queued behind data that this one reads"


def test_no_stale_data_is_unread_while_the_loop_is_not_late() -> None:
    for seed in range(200):
        rng, loop = random.Random(seed), Loop()
        max_step_us = rng.choice((1_000, 8_000, 30_000, 200_000))
        for _ in range(400):
            loop.advance(rng.randrange(max_step_us))
            if rng.random() < 0.4:
                loop.run_iteration()
            if rng.random() < 0.7 and not loop.is_late():
                assert loop.unread_us() <= STALE_US
