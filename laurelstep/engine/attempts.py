"""Sending calls to endpoints: when an attempt may begin, how long it is waited for, and its one outcome.

Rules that everything here serves:

1. An attempt begins only while its call is open, its client is there, its endpoint may receive it, and
   its time and the window for retries are not over. This is judged again as its first byte is written.
2. An attempt has exactly one outcome. What its carrier reports after that is ignored.
3. An attempt whose last byte was written may have run, unless its outcome proves that it did not.
"""

from __future__ import annotations

from typing import Protocol

from laurelstep.balancing.events import CANCELLED, FULL, KEYED, NEVER_RAN, NOT_SENT, TIMEOUT, Send, Settings
from laurelstep.engine.call import Answer, Attempt, Call
from laurelstep.engine.counters import RequestCounters
from laurelstep.engine.endpoint_table import EndpointTable
from laurelstep.engine.loop_watch import LoopWatch
from laurelstep.engine.ports import Clock, Upstream


class AttemptHost(Protocol):
    """The engine, as far as attempts concern it."""

    def now(self) -> int:
        """The time on its clock, in us."""

    def on_client_left(self, call: Call) -> None:
        """The client of an open call has left."""

    def on_attempt_ended(self, attempt: Attempt, outcome: int, answer: Answer | None, load: bytes) -> None:
        """An attempt has its one outcome, with the answer and the load report that came along."""


class AttemptController:
    """Starts attempts, carries their timers, and reports their outcomes to the engine."""

    def __init__(
        self,
        host: AttemptHost,
        clock: Clock,
        settings: Settings,
        upstream: Upstream,
        members: EndpointTable,
        counters: RequestCounters,
    ) -> None:
        self.host = host
        self.clock = clock
        self.settings = settings
        self.upstream = upstream
        self.endpoints = members
        self.counters = counters
        self.loop_watch = LoopWatch(clock)

    # --- Starting ---------------------------------------------------------------------

    def start(self, call: Call, action: Send) -> None:
        """Send a call to an endpoint; an attempt that may not begin ends at once as NOT_SENT."""
        now = self.host.now()
        until = min(call.expires_at, now + action.timeout_us) if action.timeout_us else call.expires_at
        attempt = Attempt(self, call, len(call.attempts), action.endpoint, now, until)
        attempt.write_by = min(until, self._retry_window_end(call))
        call.attempts.append(attempt)
        # An upload that an endpoint had the beginning of is not here any more.
        spent = call.upload is not None and call.upload.was_attached
        if spent or attempt.copy >= self.settings.max_attempts or not self._is_allowed(attempt, now):
            self.on_ended(attempt, NOT_SENT, None, b"")
            return
        call.attempts_sent += 1
        call.last_instance_id = self.endpoints.by_number[attempt.endpoint].name
        if attempt.write_by < attempt.times_out_at:
            attempt.timer = self.clock.at(attempt.write_by, self._end_unwritten, attempt)
        else:
            self._arm_timeout(attempt)
        self.upstream.send(attempt)

    def may_start(self, attempt: Attempt, now: int) -> bool:
        """Whether its first byte may be written at the time `now`, in us. Guards against an attempt for a
        client whose close the loop has not read yet: that lies there for as long as the loop is held up,
        and behind bytes that are not read.
        """
        if not self._is_allowed(attempt, now):
            return False
        client = attempt.call.client_connection
        if client is None or not self.loop_watch.is_late(now) or not client.has_left():
            return True
        self.host.on_client_left(attempt.call)
        return False

    def _is_allowed(self, attempt: Attempt, now: int) -> bool:
        if not attempt.call.is_open or now >= min(attempt.times_out_at, attempt.write_by):
            return False
        return self.endpoints.may_receive(attempt.endpoint, now)

    def _retry_window_end(self, call: Call) -> int:
        """When the window for retries of an idempotent call ends; else its deadline. Guards against a retry
        that was decided within the window and is written past it, on a connection that came up late.
        """
        cls = self.settings.classes[call.request_class]
        if cls.effect == KEYED:
            for attempt in call.attempts:
                if attempt.is_in_flight or attempt.may_have_run:
                    return attempt.sent_at + cls.window_us
        return call.expires_at

    # --- Waiting ----------------------------------------------------------------------

    def _arm_timeout(self, attempt: Attempt) -> None:
        if attempt.times_out_at < attempt.call.expires_at:
            attempt.timer = self.clock.at(attempt.times_out_at, self.time_out, attempt)

    def _end_unwritten(self, attempt: Attempt) -> None:
        """It may be written no longer. Guards against last bytes that the endpoint takes past the
        window for retries; and its client need not wait for a connection that is of no more use.
        """
        if attempt.may_have_run:
            self._arm_timeout(attempt)
        else:
            self.upstream.cancel(attempt)
            self.on_ended(attempt, NOT_SENT, None, b"")

    def on_written(self, attempt: Attempt) -> None:
        """The last byte of an attempt was written: from now on it may run."""
        self.counters.sends += 1
        attempt.may_have_run = True
        if attempt.call.upload is not None:
            attempt.sent_at = self.host.now()  # what the endpoint takes counts from here

    def time_out(self, attempt: Attempt) -> None:
        """Wait no longer for an attempt; nothing happens if it has its outcome."""
        self._stop(attempt, NOT_SENT if attempt.lacks_socket else TIMEOUT)

    def cancel(self, attempt: Attempt) -> None:
        """The module wants it no more; nothing happens if it has its outcome."""
        self._stop(attempt, CANCELLED)

    def _stop(self, attempt: Attempt, outcome: int) -> None:
        if attempt.is_in_flight:
            self.upstream.cancel(attempt)
            self.on_ended(attempt, outcome, None, b"")

    # --- Outcomes ---------------------------------------------------------------------

    def on_ended(self, attempt: Attempt, outcome: int, answer: Answer | None, load: bytes) -> None:
        """The one outcome of an attempt, with the load report that came along."""
        if not attempt.is_in_flight:
            return
        attempt.is_in_flight = False
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None
        if outcome in NEVER_RAN and not (outcome == FULL and self.settings.full_unproven):
            attempt.may_have_run = False
        self.host.on_attempt_ended(attempt, outcome, answer, load)
