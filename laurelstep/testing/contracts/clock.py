"""The engine's `Clock`: time that never goes back, and calls at a time."""

from __future__ import annotations

from abc import ABC, abstractmethod
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from laurelstep.engine.call import Handle
from laurelstep.engine.ports import Clock
from laurelstep.testing.contracts.base import Contract, turns

# Of a loop's timer, which counts milliseconds, both sides of a step.
SPANS_US = (0, 1, 400, 999, 1_000, 1_001, 1_500, 2_999, 5_000)
# Wall time is in µs: between the years 2001 and 2128.
WALL_LEAST, WALL_MOST = 1_000_000_000_000_000, 5_000_000_000_000_000


class Running(Protocol):
    """A clock on the running loop, and the passing of its time."""

    clock: Clock

    async def until(self, due: int) -> None:
        """Let time pass `due`; all that came due by then has been called."""


class Calls:
    """What was called, and at what time."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.seen: list[tuple[int, object]] = []

    def call(self, what: object) -> None:
        self.seen.append((self.clock.now(), what))

    def names(self) -> list[object]:
        return [what for _, what in self.seen]


class ClockContract(Contract, ABC):
    """The rules:

    1. `now` is in µs and never goes back; `wall` is Unix time in µs.
    2. A call comes once, with its arguments, at `due` or after; for a time that has passed soon,
       but not before `at` has returned.
    3. A cancelled call never comes, however late it is cancelled.
    """

    @abstractmethod
    def running(self) -> AbstractAsyncContextManager[Running]:
        """A clock on the loop that runs."""

    def test_now_never_goes_back(self) -> None:
        async def main() -> None:
            async with self.running() as one:
                seen = [one.clock.now() for _ in range(1_000)]
                await one.until(seen[0] + 2_000)
                seen += [one.clock.now() for _ in range(1_000)]
                assert all(type(now) is int for now in seen)
                assert seen == sorted(seen)
                assert seen[-1] >= seen[0] + 2_000

        self.run(main())

    def test_wall_is_unix_time_in_microseconds(self) -> None:
        async def main() -> None:
            async with self.running() as one:
                wall = one.clock.wall()
                assert type(wall) is int and WALL_LEAST < wall < WALL_MOST

        self.run(main())

    def test_calls_come_once_and_never_before_their_time(self) -> None:
        async def main() -> None:
            async with self.running() as one:
                calls = Calls(one.clock)
                begin = one.clock.now()
                for span in SPANS_US:
                    one.clock.at(begin + span, calls.call, begin + span)
                await one.until(begin + max(SPANS_US))
                assert sorted(calls.names(), key=str) == sorted((begin + span for span in SPANS_US), key=str)
                assert all(isinstance(due, int) and at >= due for at, due in calls.seen), calls.seen

        self.run(main())

    def test_a_time_that_has_passed_is_soon_but_not_at_once(self) -> None:
        async def main() -> None:
            async with self.running() as one:
                calls = Calls(one.clock)
                one.clock.at(one.clock.now() - 1_000_000, calls.call, "past")
                one.clock.at(one.clock.now(), calls.call, "now")
                assert calls.seen == [], "called before `at` has returned"
                await one.until(one.clock.now() + 1_000)
                assert sorted(calls.names(), key=str) == ["now", "past"]

        self.run(main())

    def test_a_call_may_ask_for_the_next(self) -> None:
        async def main() -> None:
            async with self.running() as one:
                calls = Calls(one.clock)
                begin = one.clock.now()

                def again(left: int) -> None:
                    calls.call(left)
                    if left:
                        one.clock.at(one.clock.now() + 700, again, left - 1)

                one.clock.at(begin + 700, again, 3)
                for _ in range(8):  # a later call may be later than asked for
                    await one.until(one.clock.now() + 1_500)
                assert calls.names() == [3, 2, 1, 0]
                assert [at for at, _ in calls.seen] == sorted(at for at, _ in calls.seen)
                assert calls.seen[-1][0] >= begin + 4 * 700

        self.run(main())

    def test_a_cancelled_call_never_comes(self) -> None:
        async def main() -> None:
            async with self.running() as one:
                calls = Calls(one.clock)
                begin = one.clock.now()
                handles = [one.clock.at(begin + span, calls.call, span) for span in SPANS_US]
                one.clock.at(begin + 1_200, calls.call, "kept")
                for handle in handles:
                    handle.cancel()
                    handle.cancel()
                await one.until(begin + max(SPANS_US))
                await turns()
                assert calls.names() == ["kept"]

        self.run(main())

    def test_a_call_cancelled_shortly_before_its_time_never_comes(self) -> None:
        """Guards against a timer that woke early and was set anew behind its handle."""

        async def main() -> None:
            async with self.running() as one:
                calls = Calls(one.clock)
                late: list[Handle] = []
                due = one.clock.now() + 4_000
                for early in (900, 600, 300, 100, 1):
                    late.append(one.clock.at(due, calls.call, early))

                    def cancel(handle: Handle = late[-1], early: int = early) -> None:
                        if one.clock.now() < due and early not in calls.names():
                            handle.cancel()
                            cancelled.add(early)

                    one.clock.at(due - early, cancel)
                cancelled: set[int] = set()
                await one.until(due + 2_000)
                assert cancelled.isdisjoint({what for what in calls.names() if isinstance(what, int)})
                assert len(cancelled) + len(calls.seen) == 5

        self.run(main())

    def test_cancelling_what_was_called_does_nothing(self) -> None:
        async def main() -> None:
            async with self.running() as one:
                calls = Calls(one.clock)
                handle = one.clock.at(one.clock.now(), calls.call, "one")
                await one.until(one.clock.now() + 1_000)
                handle.cancel()
                one.clock.at(one.clock.now(), calls.call, "two")
                await one.until(one.clock.now() + 1_000)
                assert calls.names() == ["one", "two"]

        self.run(main())
