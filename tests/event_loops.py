"""Event loops for tests: in real time with a time limit, and on virtual time.

On virtual time a wait ends at once, and its duration does not depend on how busy the machine is."""

from __future__ import annotations

import asyncio
import math
import selectors
from collections.abc import Callable, Coroutine
from typing import Any

# Ends a test that would wait for ever; no assertion depends on the value.
LIMIT_S = 60.0
START_US = 1_000_000


async def _limited(test: Coroutine[Any, Any, None]) -> None:
    async with asyncio.timeout(LIMIT_S):
        await test


def run_limited(test: Coroutine[Any, Any, None]) -> None:
    """Run a test on its own loop, in real time. TimeoutError after `LIMIT_S`."""
    asyncio.run(_limited(test))


def run_on_virtual_time(test: Coroutine[Any, Any, None]) -> None:
    """Run a test that uses real sockets on virtual time. TimeoutError after `LIMIT_S` of it."""
    with asyncio.Runner(loop_factory=SocketVirtualTimeLoop) as runner:
        runner.run(_limited(test))


class VirtualTimeSelector(selectors.DefaultSelector):
    """Does not wait for a timeout, but reports that its time has passed."""

    def __init__(self, on_time_passed: Callable[[float], None]) -> None:
        super().__init__()
        self.on_time_passed = on_time_passed

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = super().select(0)
        if not ready:
            assert timeout is not None, "deadlock: no timer is set and no socket is ready"
            self.on_time_passed(timeout)
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """A loop on virtual time."""

    turn_us = 10  # an iteration takes some time, or a timer that is due now would never fire

    def __init__(self) -> None:
        self.now_us = START_US
        super().__init__(VirtualTimeSelector(self.advance))

    def advance(self, span_s: float) -> None:
        self.now_us += max(self.turn_us, math.ceil(span_s * 1e6))

    def time(self) -> float:
        return self.now_us / 1e6

    def now(self) -> int:
        return self.now_us


class SocketVirtualTimeSelector(VirtualTimeSelector):
    """Lets time pass only when no socket is ready. The system gets a millisecond to deliver data that one
    end of a connection has written to the other."""

    def select(self, timeout: float | None = None) -> list[tuple[selectors.SelectorKey, int]]:
        ready = selectors.DefaultSelector.select(self, 0.001) if timeout else []
        return ready or super().select(timeout)


class SocketVirtualTimeLoop(VirtualTimeLoop):
    """A loop on virtual time with real sockets."""

    def __init__(self) -> None:
        self.now_us = START_US
        asyncio.SelectorEventLoop.__init__(self, SocketVirtualTimeSelector(self.advance))
