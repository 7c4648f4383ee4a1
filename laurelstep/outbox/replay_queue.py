"""The order and the pace in which queued writes are sent. Pure.

1. A write becomes ready once all its dependencies are final. Ready writes are sent in the order in which
   they became ready; independent writes are sent concurrently.
2. At most `limit` writes are in flight. The limit starts at 1, grows by one with each answer up to
   `max_limit`, and is halved when a live request or a queued write is refused: additive increase,
   multiplicative decrease (Chiu and Jain, 1989). So thirty edges that reconnect in the same second begin
   with thirty writes in all.
3. For `hold_us` after a refusal no write is sent, so that live traffic gets all the capacity.
"""

from __future__ import annotations

from collections import deque

__all__ = ["ReplayPacer", "ReplayQueue"]


class ReplayPacer:
    """Limits how many queued writes are in flight."""

    def __init__(self, max_limit: int, hold_us: int) -> None:
        self._max_limit = max_limit
        self._hold_us = hold_us
        self._paused_until = 0
        self.limit = 1
        self.in_flight = 0

    def may_send(self, now: int) -> bool:
        """Whether one more write may be sent, at `now` in µs."""
        return self.in_flight < self.limit and now >= self._paused_until

    def on_sent(self) -> None:
        """Count a write as in flight."""
        self.in_flight += 1

    def on_send_cancelled(self) -> None:
        """Take back `on_sent`: the write was not sent after all."""
        self.in_flight -= 1

    def on_answer(self) -> None:
        """A write in flight got its final answer."""
        self.in_flight -= 1
        self.limit = min(self._max_limit, self.limit + 1)

    def on_failure(self, now: int) -> None:
        """A write in flight was refused or not answered, at `now` in µs."""
        self.in_flight -= 1
        self.on_refusal(now)

    def on_refusal(self, now: int) -> None:
        """A request was refused, at `now` in µs. Refusals within one pause halve the limit once, because they
        have the same cause.
        """
        if now >= self._paused_until:
            self.limit = max(1, self.limit // 2)
        self._paused_until = now + self._hold_us


class ReplayQueue:
    """The rows that are ready, in order, and those set aside because another process may hold their log."""

    def __init__(self) -> None:
        self._ready: deque[int] = deque()
        self._set_aside: deque[int] = deque()

    def __len__(self) -> int:
        return len(self._ready)

    def add(self, row: int) -> None:
        """Append a row that has become ready."""
        self._ready.append(row)

    def requeue(self, row: int) -> None:
        """Put a row that was taken by `next` and not sent back at the front."""
        self._ready.appendleft(row)

    def next(self) -> int:
        """Remove and return the first row. IndexError if there is none."""
        return self._ready.popleft()

    def set_aside(self, row: int) -> None:
        """Keep a row whose log another process may hold, until `requeue_set_aside`."""
        self._set_aside.append(row)

    def requeue_set_aside(self) -> None:
        """Append the rows set aside, because the holders of logs may have changed."""
        self._ready.extend(self._set_aside)
        self._set_aside.clear()
