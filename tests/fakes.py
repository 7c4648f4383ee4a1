"""Stand-ins for the engine's clock, upstream and frontend, without sockets and driven by the test."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Any

from laurelstep.balancing.events import ERROR, FULL, NO_CONNECT, NOT_SENT, OK, RESET
from laurelstep.engine import Answer, Attempt, Call, Ending
from laurelstep.engine.endpoint_table import endpoint_number


class ScheduledCall:
    """A callback that `ManualClock` calls when it is due, unless it is cancelled."""

    def __init__(self, callback: Callable[..., None], args: tuple[Any, ...]) -> None:
        self.callback = callback
        self.args = args
        self.is_cancelled = False

    def cancel(self) -> None:
        self.is_cancelled = True


class ManualClock:
    """A clock in µs that moves only by `advance`."""

    def __init__(self) -> None:
        self.time = 1_000_000
        self.due: list[tuple[int, int, ScheduledCall]] = []
        self.scheduled_count = 0

    def now(self) -> int:
        return self.time

    def wall(self) -> int:
        return 1_700_000_000_000_000 + self.time

    def at(self, due: int, callback: Callable[..., None], *args: Any) -> ScheduledCall:
        self.scheduled_count += 1
        handle = ScheduledCall(callback, args)
        heapq.heappush(self.due, (max(due, self.time), self.scheduled_count, handle))
        return handle

    def advance(self, duration_us: int) -> None:
        """Move the clock, and call the callbacks that become due, each at its time."""
        end = self.time + duration_us
        while self.due and self.due[0][0] <= end:
            self.time, _, handle = heapq.heappop(self.due)
            if not handle.is_cancelled:
                handle.callback(*handle.args)
        self.time = end


class SentAttempt:
    """One attempt at an endpoint, with whether it was written completely and was executed there."""

    def __init__(self, attempt: Attempt) -> None:
        self.attempt = attempt
        self.is_written = False
        self.has_run = False


class FakeUpstream:
    """Attempts wait until the test writes and answers them. Records all writes and executions."""

    idle_us = 6_000_000

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.known_endpoints: set[int] = set()
        self.in_flight: dict[Attempt, SentAttempt] = {}
        self.writes: list[tuple[int, int, Call]] = []  # time in µs, endpoint number, call
        # The numbers of the endpoints that executed a request, by request id.
        self.executions: dict[bytes, list[int]] = {}

    def set_address(self, endpoint: int, address: str) -> None:
        self.known_endpoints.add(endpoint)

    def remove(self, endpoint: int) -> None:
        self.known_endpoints.discard(endpoint)

    def close_idle(self, endpoint: int) -> None: ...

    def send(self, attempt: Attempt) -> None:
        if attempt.endpoint in self.known_endpoints:
            self.in_flight[attempt] = SentAttempt(attempt)
        else:
            attempt.end(NO_CONNECT)

    def cancel(self, attempt: Attempt) -> None:
        self.in_flight.pop(attempt, None)

    def write(self, sent: SentAttempt, runs: bool) -> None:
        """The connection is established: write the request, which the endpoint executes if `runs`."""
        now = self.clock.now()
        if sent.is_written:
            return
        if not sent.attempt.may_start(now):
            del self.in_flight[sent.attempt]
            sent.attempt.end(NOT_SENT)
            return
        call = sent.attempt.call
        if call.upload is not None and not call.upload.is_closed:
            call.upload.was_attached = True  # a part was written; the rest is still to be received
            return
        if call.upload is not None:
            call.upload.was_attached = True
        sent.is_written, sent.has_run = True, runs
        sent.attempt.on_written()
        self.writes.append((now, sent.attempt.endpoint, call))
        if runs:
            self.executions.setdefault(call.client_request_id, []).append(sent.attempt.endpoint)

    def answer(self, sent: SentAttempt, outcome: int) -> None:
        """End an attempt with `outcome`, or with the nearest outcome that its state allows."""
        del self.in_flight[sent.attempt]
        if not sent.is_written:
            sent.attempt.end(NO_CONNECT)
        elif outcome == OK and sent.has_run:
            sent.attempt.end(OK, Answer(Ending.SERVED, 200, (), b"ok"))
        elif outcome == FULL and not sent.has_run:
            sent.attempt.end(FULL)
        else:
            sent.attempt.end(RESET if outcome == RESET else ERROR)


class RecordingFrontend:
    """A frontend that records all answers."""

    def __init__(self) -> None:
        self.answers: list[tuple[Call, Answer]] = []

    def on_answer(self, call: Call, answer: Answer) -> None:
        self.answers.append((call, answer))


def entry(name: str, **changes: Any) -> dict[str, Any]:
    return {"instanceId": name, "hostPort": "127.0.0.1:9", "lifecycle": "ready", **changes}


def number(name: str) -> int:
    return endpoint_number(name)
