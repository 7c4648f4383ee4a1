"""The system's clocks and an event loop's timers, as the engine's `Clock`."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from typing import Any


class Timer:
    """One call that was asked for; what is cancelled never comes, also where a loop woke it early."""

    __slots__ = ("args", "callback", "clock", "due", "handle")

    def __init__(
        self, clock: LoopClock, due: int, callback: Callable[..., None], args: tuple[Any, ...]
    ) -> None:
        self.clock = clock
        self.due = due
        self.callback = callback
        self.args = args
        self.handle: asyncio.TimerHandle | None = None
        self.set()

    def set(self) -> None:
        delay = max(0, self.due - self.clock.now() + 999) // 1000 / 1000
        self.handle = self.clock.loop.call_later(delay, self.woken)

    def woken(self) -> None:
        """No sooner than due: loops round delays, so the time is checked."""
        if self.clock.now() < self.due:
            self.set()
        else:
            args = self._over()
            self.callback(*args)

    def cancel(self) -> None:
        handle = self.handle
        if handle is not None:
            handle.cancel()
            self._over()

    def _over(self) -> tuple[Any, ...]:
        """The handle holds this object, and the arguments may: these cycles end here."""
        args, self.args, self.handle = self.args, (), None
        return args


class LoopClock:
    """Time in µs; callbacks run on the loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def now(self) -> int:
        return time.monotonic_ns() // 1000

    def wall(self) -> int:
        return time.time_ns() // 1000

    def at(self, due: int, callback: Callable[..., None], *args: Any) -> Timer:
        return Timer(self, due, callback, args)
