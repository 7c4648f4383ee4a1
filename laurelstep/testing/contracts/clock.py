"""Contract of the engine's `Clock`: monotonic time, and calls at a time."""

from __future__ import annotations

from abc import ABC, abstractmethod
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from laurelstep.engine.call import Handle
from laurelstep.engine.ports import Clock
from laurelstep.testing.contracts.base import Contract, run_ready_callbacks

# Delays on both sides of a loop timer's step of one millisecond.
DELAYS_US = (0, 1, 400, 999, 1_000, 1_001, 1_500, 2_999, 5_000)
# Wall time is in µs: between the years 2001 and 2128.
MIN_WALL_US, MAX_WALL_US = 1_000_000_000_000_000, 5_000_000_000_000_000


class RunningClock(Protocol):
    """A clock on the running loop whose time the test can let pass."""

    clock: Clock

    async def advance_past(self, due: int) -> None:
        """Let time pass `due`, µs, until all calls due by then have come."""


class CallLog:
    """Calls that came, with the time of each."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.calls: list[tuple[int, object]] = []

    def record(self, what: object) -> None:
        """Record a call with this argument."""
        self.calls.append((self.clock.now(), what))

    def arguments(self) -> list[object]:
        """The arguments of all calls, in order."""
        return [what for _, what in self.calls]


class ClockContract(Contract, ABC):
    """The rules:

    1. `now` is in µs and never goes back; `wall` is Unix time in µs.
    2. A call comes once, with its arguments, at `due` or after; for a time that has passed soon,
       but not before `at` has returned.
    3. A cancelled call never comes, however late it is cancelled.
    """

    @abstractmethod
    def running_clock(self) -> AbstractAsyncContextManager[RunningClock]:
        """A clock on the running loop."""

    def test_now_never_goes_back(self) -> None:
        """`now` is a whole number of µs, never decreases, and advances with time."""

        async def main() -> None:
            async with self.running_clock() as one:
                seen = [one.clock.now() for _ in range(1_000)]
                await one.advance_past(seen[0] + 2_000)
                seen += [one.clock.now() for _ in range(1_000)]
                assert all(type(now) is int for now in seen)
                assert seen == sorted(seen)
                assert seen[-1] >= seen[0] + 2_000

        self.run(main())

    def test_wall_is_unix_time_in_microseconds(self) -> None:
        """`wall` is a whole number of µs in the plausible range of Unix time."""

        async def main() -> None:
            async with self.running_clock() as one:
                wall = one.clock.wall()
                assert type(wall) is int and MIN_WALL_US < wall < MAX_WALL_US

        self.run(main())

    def test_calls_come_once_and_never_before_their_time(self) -> None:
        """Each scheduled call runs exactly once, and not before its due time."""

        async def main() -> None:
            async with self.running_clock() as one:
                calls = CallLog(one.clock)
                begin = one.clock.now()
                for delay in DELAYS_US:
                    one.clock.at(begin + delay, calls.record, begin + delay)
                await one.advance_past(begin + max(DELAYS_US))
                expected = sorted((begin + delay for delay in DELAYS_US), key=str)
                assert sorted(calls.arguments(), key=str) == expected
                assert all(isinstance(due, int) and at >= due for at, due in calls.calls), calls.calls

        self.run(main())

    def test_a_time_that_has_passed_is_soon_but_not_at_once(self) -> None:
        """A call that is already due runs soon, but only after `at` has returned."""

        async def main() -> None:
            async with self.running_clock() as one:
                calls = CallLog(one.clock)
                one.clock.at(one.clock.now() - 1_000_000, calls.record, "past")
                one.clock.at(one.clock.now(), calls.record, "now")
                assert calls.calls == [], "called before `at` has returned"
                await one.advance_past(one.clock.now() + 1_000)
                assert sorted(calls.arguments(), key=str) == ["now", "past"]

        self.run(main())

    def test_a_call_may_ask_for_the_next(self) -> None:
        """A call may schedule another from within, which also runs once and not early."""

        async def main() -> None:
            async with self.running_clock() as one:
                calls = CallLog(one.clock)
                begin = one.clock.now()

                def again(left: int) -> None:
                    calls.record(left)
                    if left:
                        one.clock.at(one.clock.now() + 700, again, left - 1)

                one.clock.at(begin + 700, again, 3)
                for _ in range(8):  # a later call may be later than asked for
                    await one.advance_past(one.clock.now() + 1_500)
                assert calls.arguments() == [3, 2, 1, 0]
                assert [at for at, _ in calls.calls] == sorted(at for at, _ in calls.calls)
                assert calls.calls[-1][0] >= begin + 4 * 700

        self.run(main())

    def test_a_cancelled_call_never_comes(self) -> None:
        """Cancelled calls never run, also when cancelled twice; other calls still run."""

        async def main() -> None:
            async with self.running_clock() as one:
                calls = CallLog(one.clock)
                begin = one.clock.now()
                handles = [one.clock.at(begin + delay, calls.record, delay) for delay in DELAYS_US]
                one.clock.at(begin + 1_200, calls.record, "kept")
                for handle in handles:
                    handle.cancel()
                    handle.cancel()
                await one.advance_past(begin + max(DELAYS_US))
                await run_ready_callbacks()
                assert calls.arguments() == ["kept"]

        self.run(main())

    def test_a_call_cancelled_shortly_before_its_time_never_comes(self) -> None:
        """Guards against a timer that woke early and was set anew behind its handle."""

        async def main() -> None:
            async with self.running_clock() as one:
                calls = CallLog(one.clock)
                late: list[Handle] = []
                due = one.clock.now() + 4_000
                for early in (900, 600, 300, 100, 1):
                    late.append(one.clock.at(due, calls.record, early))

                    def cancel(handle: Handle = late[-1], early: int = early) -> None:
                        if one.clock.now() < due and early not in calls.arguments():
                            handle.cancel()
                            cancelled.add(early)

                    one.clock.at(due - early, cancel)
                cancelled: set[int] = set()
                await one.advance_past(due + 2_000)
                assert cancelled.isdisjoint({what for what in calls.arguments() if isinstance(what, int)})
                assert len(cancelled) + len(calls.calls) == 5

        self.run(main())

    def test_cancelling_what_was_called_does_nothing(self) -> None:
        """Cancelling a call that has run has no effect, and later calls still run."""

        async def main() -> None:
            async with self.running_clock() as one:
                calls = CallLog(one.clock)
                handle = one.clock.at(one.clock.now(), calls.record, "one")
                await one.advance_past(one.clock.now() + 1_000)
                handle.cancel()
                one.clock.at(one.clock.now(), calls.record, "two")
                await one.advance_past(one.clock.now() + 1_000)
                assert calls.arguments() == ["one", "two"]

        self.run(main())
