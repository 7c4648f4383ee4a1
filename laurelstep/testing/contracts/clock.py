"""Contract of the engine's `Clock`: monotonic time, wall time and timers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from laurelstep.engine.call import Handle
from laurelstep.engine.ports import Clock
from laurelstep.testing.contracts.base import Contract, run_ready_callbacks

# Delays around multiples of one millisecond, the resolution of a loop's timers.
DELAYS_US = (0, 1, 400, 999, 1_000, 1_001, 1_500, 2_999, 5_000)
# Plausible range of wall time, µs: the years 2001 to 2128.
MIN_WALL_US, MAX_WALL_US = 1_000_000_000_000_000, 5_000_000_000_000_000


class RunningClock(Protocol):
    """A clock on the running loop, with a way for the test to let time pass."""

    clock: Clock

    async def advance_past(self, due: int) -> None:
        """Let time pass until it is after `due`, µs, and all calls due by then have run."""


class CallLog:
    """Records scheduled calls when they run, each with its time in µs."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.calls: list[tuple[int, object]] = []

    def record(self, argument: object) -> None:
        """Record a call with this argument."""
        self.calls.append((self.clock.now(), argument))

    def arguments(self) -> list[object]:
        """The arguments of all calls, in order."""
        return [argument for _, argument in self.calls]


class ClockContract(Contract, ABC):
    """The rules:

    1. `now` is in µs and never decreases; `wall` is Unix time in µs.
    2. A scheduled call runs once, with its arguments, at `due` or later. If `due` has passed it runs soon,
       but not before `at` has returned.
    3. A cancelled call never runs, however late it is cancelled.
    """

    @abstractmethod
    def running_clock(self) -> AbstractAsyncContextManager[RunningClock]:
        """Create a clock on the running loop."""

    def test_now_never_decreases(self) -> None:
        """`now` is a whole number of µs, never decreases, and advances with time."""

        async def main() -> None:
            async with self.running_clock() as running:
                seen = [running.clock.now() for _ in range(1_000)]
                await running.advance_past(seen[0] + 2_000)
                seen += [running.clock.now() for _ in range(1_000)]
                assert all(type(now) is int for now in seen)
                assert seen == sorted(seen)
                assert seen[-1] >= seen[0] + 2_000

        self.run(main())

    def test_wall_is_unix_time_in_microseconds(self) -> None:
        """`wall` is a whole number of µs in the plausible range of Unix time."""

        async def main() -> None:
            async with self.running_clock() as running:
                wall = running.clock.wall()
                assert type(wall) is int and MIN_WALL_US < wall < MAX_WALL_US

        self.run(main())

    def test_calls_run_once_and_not_before_they_are_due(self) -> None:
        """Each scheduled call runs exactly once, and not before its due time."""

        async def main() -> None:
            async with self.running_clock() as running:
                calls = CallLog(running.clock)
                begin = running.clock.now()
                for delay in DELAYS_US:
                    running.clock.at(begin + delay, calls.record, begin + delay)
                await running.advance_past(begin + max(DELAYS_US))
                expected = sorted((begin + delay for delay in DELAYS_US), key=str)
                assert sorted(calls.arguments(), key=str) == expected
                assert all(isinstance(due, int) and now >= due for now, due in calls.calls), calls.calls

        self.run(main())

    def test_an_overdue_call_runs_soon_but_not_inside_at(self) -> None:
        """A call that is already due runs soon, but only after `at` has returned."""

        async def main() -> None:
            async with self.running_clock() as running:
                calls = CallLog(running.clock)
                running.clock.at(running.clock.now() - 1_000_000, calls.record, "past")
                running.clock.at(running.clock.now(), calls.record, "now")
                assert calls.calls == [], "a call ran before `at` returned"
                await running.advance_past(running.clock.now() + 1_000)
                assert sorted(calls.arguments(), key=str) == ["now", "past"]

        self.run(main())

    def test_a_call_may_schedule_another(self) -> None:
        """A call may schedule another from within, which also runs once and not early."""

        async def main() -> None:
            async with self.running_clock() as running:
                calls = CallLog(running.clock)
                begin = running.clock.now()

                def reschedule(remaining: int) -> None:
                    calls.record(remaining)
                    if remaining:
                        running.clock.at(running.clock.now() + 700, reschedule, remaining - 1)

                running.clock.at(begin + 700, reschedule, 3)
                for _ in range(8):  # each call may run later than it is due
                    await running.advance_past(running.clock.now() + 1_500)
                assert calls.arguments() == [3, 2, 1, 0]
                assert [now for now, _ in calls.calls] == sorted(now for now, _ in calls.calls)
                assert calls.calls[-1][0] >= begin + 4 * 700

        self.run(main())

    def test_a_cancelled_call_never_runs(self) -> None:
        """Cancelled calls never run, also when cancelled twice; other calls still run."""

        async def main() -> None:
            async with self.running_clock() as running:
                calls = CallLog(running.clock)
                begin = running.clock.now()
                handles = [running.clock.at(begin + delay, calls.record, delay) for delay in DELAYS_US]
                running.clock.at(begin + 1_200, calls.record, "kept")
                for handle in handles:
                    handle.cancel()
                    handle.cancel()
                await running.advance_past(begin + max(DELAYS_US))
                await run_ready_callbacks()
                assert calls.arguments() == ["kept"]

        self.run(main())

    def test_a_call_cancelled_shortly_before_it_is_due_never_runs(self) -> None:
        """Guards against a timer that fires early and is set again without its handle following it."""

        async def main() -> None:
            async with self.running_clock() as running:
                calls = CallLog(running.clock)
                handles: list[Handle] = []
                due = running.clock.now() + 4_000
                for lead_us in (900, 600, 300, 100, 1):
                    handles.append(running.clock.at(due, calls.record, lead_us))

                    def cancel(handle: Handle = handles[-1], lead_us: int = lead_us) -> None:
                        if running.clock.now() < due and lead_us not in calls.arguments():
                            handle.cancel()
                            cancelled.add(lead_us)

                    running.clock.at(due - lead_us, cancel)
                cancelled: set[int] = set()
                await running.advance_past(due + 2_000)
                assert cancelled.isdisjoint(
                    {lead_us for lead_us in calls.arguments() if isinstance(lead_us, int)}
                )
                assert len(cancelled) + len(calls.calls) == 5

        self.run(main())

    def test_cancelling_a_call_that_has_run_does_nothing(self) -> None:
        """Cancelling a call that has run has no effect, and later calls still run."""

        async def main() -> None:
            async with self.running_clock() as running:
                calls = CallLog(running.clock)
                handle = running.clock.at(running.clock.now(), calls.record, "one")
                await running.advance_past(running.clock.now() + 1_000)
                handle.cancel()
                running.clock.at(running.clock.now(), calls.record, "two")
                await running.advance_past(running.clock.now() + 1_000)
                assert calls.arguments() == ["one", "two"]

        self.run(main())
