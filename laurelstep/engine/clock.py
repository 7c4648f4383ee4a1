"""The engine's `Clock` on the system's clocks and the timers of an event loop."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any


class Timer:
    """One scheduled callback. Once cancelled it is never called, even if the loop woke the timer early."""

    __slots__ = ("args", "callback", "clock", "due", "handle")

    def __init__(
        self, clock: LoopClock, due: int, callback: Callable[..., None], args: tuple[Any, ...]
    ) -> None:
        self.clock = clock
        self.due = due
        self.callback = callback
        self.args = args
        self.handle: asyncio.TimerHandle | None = None
        self.schedule()

    def schedule(self) -> None:
        """Schedule the wake-up with the loop, rounded up to a millisecond."""
        delay = max(0, self.due - self.clock.now() + 999) // 1000 / 1000
        self.handle = self.clock.loop.call_later(delay, self.woken)

    def woken(self) -> None:
        """Call back if the timer is due. Loops round delays, so one that woke early is scheduled again."""
        if self.clock.now() < self.due:
            self.schedule()
        else:
            args = self._release_args()
            self.callback(*args)

    def cancel(self) -> None:
        """Prevent the callback. Does nothing if it has been called or cancelled."""
        handle = self.handle
        if handle is not None:
            handle.cancel()
            self._release_args()

    def _release_args(self) -> tuple[Any, ...]:
        """Take the arguments out, and drop the loop's handle. The handle refers to this object, and the
        arguments may: this breaks those reference cycles.
        """
        args, self.args, self.handle = self.args, (), None
        return args


class LoopClock:
    """Times in µs. Callbacks run on the event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def now(self) -> int:
        """The system's monotonic time, µs."""
        return time.monotonic_ns() // 1000

    def wall(self) -> int:
        """Unix time, µs. It can jump when the system's clock is set."""
        return time.time_ns() // 1000

    def at(self, due: int, callback: Callable[..., None], *args: Any) -> Timer:
        """Schedule a callback for the time `due` on the monotonic clock. It is never called earlier."""
        return Timer(self, due, callback, args)
