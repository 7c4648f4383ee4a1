"""One timer for all connections that wait for the same, in place of a timer for each."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop, TimerHandle

T = TypeVar("T")


class DeadlineSweeper(Generic[T]):
    """What waits, the longest first; one timer calls `expire` with each that waits `timeout_s`."""

    def __init__(self, loop: AbstractEventLoop, timeout_s: float, expire: Callable[[T], None]) -> None:
        self.loop, self.timeout_s, self.expire = loop, timeout_s, expire
        self.waiting_since: dict[T, float] = {}
        self.timer: TimerHandle | None = None

    def close(self) -> None:
        """Forget all of them and set no timer any more."""
        self.waiting_since.clear()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def add(self, one: T) -> None:
        """Its wait starts now, unless it waits already."""
        if one not in self.waiting_since:
            self.waiting_since[one] = self.loop.time()
            self._arm()

    def discard(self, one: T) -> None:
        """It waits no longer. Nothing happens if it did not."""
        self.waiting_since.pop(one, None)

    def oldest(self) -> T | None:
        """What has waited longest; None if nothing waits."""
        return next(iter(self.waiting_since), None)

    def _arm(self) -> None:
        if self.timer is None and (oldest := self.oldest()) is not None:
            self.timer = self.loop.call_at(self.waiting_since[oldest] + self.timeout_s, self.run)

    def run(self) -> None:
        """The timer's callback: end all whose time is over."""
        self.timer = None
        limit = self.loop.time() - self.timeout_s
        while (oldest := self.oldest()) is not None and self.waiting_since[oldest] <= limit:
            del self.waiting_since[oldest]
            self.expire(oldest)
        self._arm()
