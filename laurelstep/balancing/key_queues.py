"""Per-key serialization: the requests of one key run one at a time, in the order taken."""

from __future__ import annotations

from collections import deque

from laurelstep.balancing.events import CANCELLED, RESET, TIMEOUT
from laurelstep.balancing.requests import Request


class KeyQueue:
    """The requests of one key."""

    __slots__ = ("open_requests", "outstanding_attempts", "resting_until")

    def __init__(self) -> None:
        self.open_requests: deque[Request] = deque()  # not over; the first may be sent
        self.outstanding_attempts = 0  # without an outcome, of any request, over or not
        self.resting_until = 0  # nothing of the next request is sent before this


class KeyQueues:
    """The queues of all keys in use."""

    __slots__ = ("changed_keys", "queues", "rest_us", "resting_keys")

    def __init__(self, resting_us: int) -> None:
        self.rest_us = resting_us  # after an attempt that may still run
        self.queues: dict[int, KeyQueue] = {}
        self.changed_keys: list[int] = []  # keys whose next request may be due
        self.resting_keys: deque[tuple[int, int]] = deque()  # until when, and the key

    def has_turn(self, now: int, request: Request) -> bool:
        """Guards order: first of those not over, no attempt of others out, no rest.
        One that was sent keeps its turn, for retries and hedged requests too.
        """
        if not request.key or request.attempts:
            return True
        queue = self.queues[request.key]
        return (
            queue.open_requests[0] is request
            and not queue.outstanding_attempts
            and now >= queue.resting_until
        )

    def enqueue(self, now: int, request: Request) -> int:
        """Put a request last in its key's queue; returns how many are before it."""
        while self.resting_keys and self.resting_keys[0][0] <= now:  # keys long quiet are forgotten
            self.changed_keys.append(self.resting_keys.popleft()[1])
        queue = self.queues.setdefault(request.key, KeyQueue())
        queue.open_requests.append(request)
        return len(queue.open_requests) - 1

    def record_send(self, request: Request) -> None:
        """An attempt of the request was sent."""
        if request.key:
            self.queues[request.key].outstanding_attempts += 1

    def record_outcome(self, now: int, request: Request, outcome: int) -> None:
        """An attempt of the request ended; one that may still run has the key rest."""
        if request.key and (queue := self.queues.get(request.key)):
            queue.outstanding_attempts -= 1
            if outcome in (TIMEOUT, RESET, CANCELLED):
                queue.resting_until = now + self.rest_us

    def remove(self, request: Request) -> None:
        """The request is over."""
        if request.key and (queue := self.queues.get(request.key)) and request in queue.open_requests:
            queue.open_requests.remove(request)
            self.changed_keys.append(request.key)

    def mark_changed(self, request: Request) -> None:
        """The next of the request's key may be due."""
        if request.key:
            self.changed_keys.append(request.key)

    def next_request(self, now: int, key: int) -> Request | None:
        """The request whose turn it is, now or after the key's rest; forgets a key once all
        of it is over.
        """
        queue = self.queues.get(key)
        if (
            queue is None
            or queue.outstanding_attempts
            or (queue.open_requests and queue.open_requests[0].attempts)
        ):
            return None
        if queue.open_requests:
            return queue.open_requests[0]
        if queue.resting_until > now:
            self.resting_keys.append((queue.resting_until, key))
        else:
            del self.queues[key]
        return None

    def remaining_rest_us(self, now: int, request: Request) -> int:
        """How long the request's key still rests; 0 or less where it does not."""
        return self.queues[request.key].resting_until - now
