"""In which order, and how fast, queued writes go out. Pure.

1. A write has its turn once all that it follows is in, in the order in which that came about. Independent
   ones go side by side.
2. At most `limit` are out. It begins at 1, grows by one with each answer up to `most`, and is halved by a
   refusal, of a live request or of a kept one: additive increase, multiplicative decrease (Chiu and Jain,
   1989). So thirty edges that come back in one second begin with thirty writes in all.
3. For `hold_us` after a refusal nothing goes out: live traffic has what there is.
"""

from __future__ import annotations

from collections import deque

__all__ = ["ReplayPacer", "ReplayQueue"]


class ReplayPacer:
    """How many may be out."""

    def __init__(self, most: int, hold_us: int) -> None:
        self._most = most
        self._hold_us = hold_us
        self._until = 0
        self.limit = 1
        self.out = 0

    def may_send(self, now: int) -> bool:
        """Whether one more may go out, at `now` in µs."""
        return self.out < self.limit and now >= self._until

    def sent(self) -> None:
        """One went out."""
        self.out += 1

    def unsent(self) -> None:
        """It was not sent after all."""
        self.out -= 1

    def answered(self) -> None:
        """One that was out has its final answer."""
        self.out -= 1
        self.limit = min(self._most, self.limit + 1)

    def failed(self, now: int) -> None:
        """It was refused, or nobody answered."""
        self.out -= 1
        self.refused(now)

    def refused(self, now: int) -> None:
        """A live request was. Refusals within one hold count once: they tell of one shortage."""
        if now >= self._until:
            self.limit = max(1, self.limit // 2)
        self._until = now + self._hold_us


class ReplayQueue:
    """The rows that are ready, first come first, and those whose log another process may hold."""

    def __init__(self) -> None:
        self._ready: deque[int] = deque()
        self._aside: deque[int] = deque()

    def __len__(self) -> int:
        return len(self._ready)

    def add(self, row: int) -> None:
        """A row is ready for the first time."""
        self._ready.append(row)

    def again(self, row: int) -> None:
        """It had its turn and did not go."""
        self._ready.appendleft(row)

    def next(self) -> int:
        """The row whose turn it is; IndexError if there is none."""
        return self._ready.popleft()

    def set_aside(self, row: int) -> None:
        """A row's log may be another process's: it waits until `bring_back`."""
        self._aside.append(row)

    def bring_back(self) -> None:
        """Who holds which log may have changed."""
        self._ready.extend(self._aside)
        self._aside.clear()
