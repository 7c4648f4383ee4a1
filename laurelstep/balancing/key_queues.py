"""Per-key serialization: the requests of one key run one at a time, in the order of arrival."""

from __future__ import annotations

from collections import deque

from laurelstep.balancing.events import CANCELLED, RESET, TIMEOUT
from laurelstep.balancing.requests import Request


class KeyQueue:
    """The queue of the requests of one key."""

    __slots__ = ("open_requests", "outstanding_attempts", "resting_until")

    def __init__(self) -> None:
        self.open_requests: deque[Request] = deque()  # without a final answer; the first may be sent
        self.outstanding_attempts = 0  # without an outcome, also of requests with a final answer
        self.resting_until = 0  # the next request is not sent before this time


class KeyQueues:
    """The queues of all keys in use."""

    __slots__ = ("changed_keys", "queues", "rest_us", "resting_keys")

    def __init__(self, rest_us: int) -> None:
        self.rest_us = rest_us  # pause of a key after an attempt that may still be running
        self.queues: dict[int, KeyQueue] = {}
        self.changed_keys: list[int] = []  # keys whose next request may be sendable
        self.resting_keys: deque[tuple[int, int]] = deque()  # end of the rest, and the key

    def has_turn(self, now: int, request: Request) -> bool:
        """Return whether the request may be sent without breaking the order of its key.

        It has its turn if it is the first without a final answer, no attempt of another request is
        outstanding and the key does not rest. A request that was sent keeps its turn, also for
        retries and hedged requests.
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
        """Append a request to the queue of its key; returns the number of requests before it."""
        while self.resting_keys and self.resting_keys[0][0] <= now:  # drop unused queues after their rest
            self.changed_keys.append(self.resting_keys.popleft()[1])
        queue = self.queues.setdefault(request.key, KeyQueue())
        queue.open_requests.append(request)
        return len(queue.open_requests) - 1

    def record_send(self, request: Request) -> None:
        """Record that an attempt of the request was sent."""
        if request.key:
            self.queues[request.key].outstanding_attempts += 1

    def record_outcome(self, now: int, request: Request, outcome: int) -> None:
        """Record the outcome of an attempt; if it may still be running, the key rests."""
        if request.key and (queue := self.queues.get(request.key)):
            queue.outstanding_attempts -= 1
            if outcome in (TIMEOUT, RESET, CANCELLED):
                queue.resting_until = now + self.rest_us

    def remove(self, request: Request) -> None:
        """Remove a request that has its final answer."""
        if request.key and (queue := self.queues.get(request.key)) and request in queue.open_requests:
            queue.open_requests.remove(request)
            self.changed_keys.append(request.key)

    def mark_changed(self, request: Request) -> None:
        """Note that the next request of the same key may be sendable."""
        if request.key:
            self.changed_keys.append(request.key)

    def next_request(self, now: int, key: int) -> Request | None:
        """Return the request whose turn it is, now or after the key's rest, or None.

        Removes the queue once it has no request, no outstanding attempt and no rest.
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
        """Return the remaining rest of the request's key, in µs; 0 or less where it does not rest."""
        return self.queues[request.key].resting_until - now
