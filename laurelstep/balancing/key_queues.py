"""Per-key serialization: the requests of one key run one at a time, in the order taken."""

from __future__ import annotations

from collections import deque

from laurelstep.balancing.events import CANCELLED, RESET, TIMEOUT
from laurelstep.balancing.requests import Request


class KeyQueue:
    """The requests of one key."""

    __slots__ = ("attempts_out", "resting_until", "waiting")

    def __init__(self) -> None:
        self.waiting: deque[Request] = deque()  # not over; the first may be sent
        self.attempts_out = 0  # without an outcome, of any request, over or not
        self.resting_until = 0  # nothing of the next request is sent before this


class KeyQueues:
    """The queues of all keys in use."""

    __slots__ = ("changed", "queues", "resting", "resting_us")

    def __init__(self, resting_us: int) -> None:
        self.resting_us = resting_us  # after an attempt that may still run
        self.queues: dict[int, KeyQueue] = {}
        self.changed: list[int] = []  # keys whose next request may be due
        self.resting: deque[tuple[int, int]] = deque()  # until when, and the key

    def has_turn(self, now: int, request: Request) -> bool:
        """Guards order: first of those not over, no attempt of others out, no rest.
        One that was sent keeps its turn, for retries and hedged requests too.
        """
        if not request.key or request.attempts:
            return True
        queue = self.queues[request.key]
        return queue.waiting[0] is request and not queue.attempts_out and now >= queue.resting_until

    def enqueue(self, now: int, request: Request) -> int:
        """Put a request last in its key's queue; returns how many are before it."""
        while self.resting and self.resting[0][0] <= now:  # keys long quiet are forgotten
            self.changed.append(self.resting.popleft()[1])
        queue = self.queues.setdefault(request.key, KeyQueue())
        queue.waiting.append(request)
        return len(queue.waiting) - 1

    def record_send(self, request: Request) -> None:
        """An attempt of the request was sent."""
        if request.key:
            self.queues[request.key].attempts_out += 1

    def record_outcome(self, now: int, request: Request, outcome: int) -> None:
        """An attempt of the request ended; one that may still run has the key rest."""
        if request.key and (queue := self.queues.get(request.key)):
            queue.attempts_out -= 1
            if outcome in (TIMEOUT, RESET, CANCELLED):
                queue.resting_until = now + self.resting_us

    def remove(self, request: Request) -> None:
        """The request is over."""
        if request.key and (queue := self.queues.get(request.key)) and request in queue.waiting:
            queue.waiting.remove(request)
            self.changed.append(request.key)

    def mark_changed(self, request: Request) -> None:
        """The next of the request's key may be due."""
        if request.key:
            self.changed.append(request.key)

    def next_request(self, now: int, key: int) -> Request | None:
        """The request whose turn it is, now or after the key's rest; forgets a key once all
        of it is over.
        """
        queue = self.queues.get(key)
        if queue is None or queue.attempts_out or (queue.waiting and queue.waiting[0].attempts):
            return None
        if queue.waiting:
            return queue.waiting[0]
        if queue.resting_until > now:
            self.resting.append((queue.resting_until, key))
        else:
            del self.queues[key]
        return None

    def rest_left_us(self, now: int, request: Request) -> int:
        """How long the request's key still rests; 0 or less where it does not."""
        return self.queues[request.key].resting_until - now
