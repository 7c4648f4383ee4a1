"""A timeout shared by many objects that uses one timer instead of one per object."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, Generic, TypeVar

if TYPE_CHECKING:
    from asyncio import AbstractEventLoop, TimerHandle

T = TypeVar("T")


class DeadlineSweeper(Generic[T]):
    """Objects with a start time, oldest first; `expire` is called with each after `timeout_s` seconds."""

    def __init__(self, loop: AbstractEventLoop, timeout_s: float, expire: Callable[[T], None]) -> None:
        self.loop, self.timeout_s, self.expire = loop, timeout_s, expire
        self.waiting_since: dict[T, float] = {}
        self.timer: TimerHandle | None = None

    def close(self) -> None:
        """Remove all objects and cancel the timer."""
        self.waiting_since.clear()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def add(self, item: T) -> None:
        """Start the timeout of an object, unless it is running."""
        if item not in self.waiting_since:
            self.waiting_since[item] = self.loop.time()
            self._arm()

    def discard(self, item: T) -> None:
        """Stop the timeout of an object, if it is running."""
        self.waiting_since.pop(item, None)

    def oldest(self) -> T | None:
        """The object whose timeout started first; None if there is none."""
        return next(iter(self.waiting_since), None)

    def _arm(self) -> None:
        if self.timer is None and (oldest := self.oldest()) is not None:
            self.timer = self.loop.call_at(self.waiting_since[oldest] + self.timeout_s, self.run)

    def run(self) -> None:
        """The timer's callback: call `expire` with each object whose timeout has passed."""
        self.timer = None
        expired_before = self.loop.time() - self.timeout_s
        while (oldest := self.oldest()) is not None and self.waiting_since[oldest] <= expired_before:
            del self.waiting_since[oldest]
            self.expire(oldest)
        self._arm()
