"""Attempts at endpoints: when one may begin, when it times out, and its one outcome.

Rules of this module:

1. An attempt begins only while its call is open, its client has not left, its endpoint may receive
   requests, and neither its timeout nor the retry window has passed. This is checked again when its first
   byte is written.
2. An attempt has exactly one outcome. Later reports of the upstream are ignored.
3. An attempt whose last byte was written may have run, unless its outcome proves that it did not.
"""

from __future__ import annotations

from typing import Protocol

from laurelstep.balancing.events import (
    CANCELLED,
    FULL,
    KEYED,
    NEVER_RAN,
    NOT_SENT,
    TIMEOUT,
    UNSAFE,
    Send,
    Settings,
)
from laurelstep.engine.call import Answer, Attempt, Call
from laurelstep.engine.counters import RequestCounters
from laurelstep.engine.endpoint_table import EndpointTable
from laurelstep.engine.loop_watch import LoopWatch
from laurelstep.engine.ports import Clock, Upstream


class AttemptHost(Protocol):
    """The part of the engine's interface that `AttemptController` uses."""

    def now(self) -> int:
        """The time on the engine's clock, in µs."""

    def on_client_left(self, call: Call) -> None:
        """The client of an open call has left."""

    def refuse(self, call: Call) -> None:
        """Refuse an open call of which nothing was sent."""

    def claim_id(self, call: Call) -> bool:
        """Claim the id of a call that is about to be sent. If another one has it, reject the call: False."""

    def on_attempt_ended(self, attempt: Attempt, outcome: int, answer: Answer | None, load: bytes) -> None:
        """An attempt has its one outcome; `answer` and the load report `load` came with it."""


class AttemptController:
    """Starts attempts, runs their timers, and reports their outcomes to the engine."""

    def __init__(
        self,
        host: AttemptHost,
        clock: Clock,
        settings: Settings,
        upstream: Upstream,
        endpoints: EndpointTable,
        counters: RequestCounters,
    ) -> None:
        self.host = host
        self.clock = clock
        self.settings = settings
        self.upstream = upstream
        self.endpoints = endpoints
        self.counters = counters
        self.loop_watch = LoopWatch(clock)

    # Starting attempts

    def start(self, call: Call, action: Send) -> None:
        """Begin an attempt at the endpoint of `action`. One that may not begin ends at once as NOT_SENT."""
        now = self.host.now()
        times_out_at = min(call.expires_at, now + action.timeout_us) if action.timeout_us else call.expires_at
        attempt = Attempt(self, call, len(call.attempts), action.endpoint, now, times_out_at)
        attempt.write_by = min(times_out_at, self._retry_window_end(call))
        attempt.may_retry = self._may_retry(attempt)
        call.attempts.append(attempt)
        # What was sent of an upload to an earlier endpoint is no longer buffered, so it can't be sent again.
        is_upload_consumed = call.upload is not None and call.upload.was_attached
        if (
            is_upload_consumed
            or attempt.attempt_index >= self.settings.max_attempts
            or not self._is_allowed(attempt, now)
        ):
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
        """Whether the first byte of an attempt may be written at the time `now`, in µs. Reports a client that
        has left to the host, and has an upload refused whose client may have left unseen. Guards against an
        attempt for a client whose close the event loop has not read: because the loop was blocked, or because
        unread bytes precede the close.
        """
        if not self._is_allowed(attempt, now):
            return False
        client = attempt.call.client_connection
        if client is not None:
            if attempt.call.upload is not None and client.may_hide_close():
                self.host.refuse(attempt.call)
                return False
            if self.loop_watch.is_late(now) and client.has_left():
                self.host.on_client_left(attempt.call)
                return False
        return self.host.claim_id(attempt.call)

    def _is_allowed(self, attempt: Attempt, now: int) -> bool:
        if not attempt.call.is_open or now >= min(attempt.times_out_at, attempt.write_by):
            return False
        return self.endpoints.may_receive(attempt.endpoint, now)

    def _may_retry(self, attempt: Attempt) -> bool:
        effect = self.settings.classes[attempt.call.request_class].effect
        return effect != UNSAFE and attempt.attempt_index + 1 < self.settings.max_attempts

    def _retry_window_end(self, call: Call) -> int:
        """When the retry window of a keyed call ends, if an earlier attempt may have run; otherwise the
        call's deadline. Guards against a retry that is decided within the window and written after it,
        because its connection was established late.
        """
        cls = self.settings.classes[call.request_class]
        if cls.effect == KEYED:
            for attempt in call.attempts:
                if attempt.is_in_flight or attempt.may_have_run:
                    return attempt.sent_at + cls.window_us
        return call.expires_at

    # Timeouts and cancellation

    def _arm_timeout(self, attempt: Attempt) -> None:
        if attempt.times_out_at < attempt.call.expires_at:
            attempt.timer = self.clock.at(attempt.times_out_at, self.time_out, attempt)

    def _end_unwritten(self, attempt: Attempt) -> None:
        """`write_by` has passed: end an attempt that is not written completely. Guards against an endpoint
        that receives the last bytes after the retry window, and spares the client the wait for a connection
        that can no longer be used.
        """
        if attempt.may_have_run:
            self._arm_timeout(attempt)
        else:
            self.upstream.cancel(attempt)
            self.on_ended(attempt, NOT_SENT, None, b"")

    def on_written(self, attempt: Attempt) -> None:
        """The last byte of an attempt was written: from now on the request may run."""
        self.counters.sends += 1
        attempt.may_have_run = True
        if attempt.call.upload is not None:
            attempt.sent_at = self.host.now()  # the endpoint's latency counts from the last byte

    def time_out(self, attempt: Attempt) -> None:
        """Stop waiting for an attempt. Does nothing if it has its outcome."""
        self._stop(attempt, NOT_SENT if attempt.lacks_socket else TIMEOUT)

    def cancel(self, attempt: Attempt) -> None:
        """Cancel an attempt for the balancer. Does nothing if it has its outcome."""
        self._stop(attempt, CANCELLED)

    def _stop(self, attempt: Attempt, outcome: int) -> None:
        if attempt.is_in_flight:
            self.upstream.cancel(attempt)
            self.on_ended(attempt, outcome, None, b"")

    # Outcomes

    def on_ended(self, attempt: Attempt, outcome: int, answer: Answer | None, load: bytes) -> None:
        """Record the one outcome of an attempt and report it to the engine. Later calls are ignored."""
        if not attempt.is_in_flight:
            return
        attempt.is_in_flight = False
        if attempt.timer is not None:
            attempt.timer.cancel()
            attempt.timer = None
        if outcome in NEVER_RAN and not (outcome == FULL and self.settings.full_unproven):
            attempt.may_have_run = False
        self.host.on_attempt_ended(attempt, outcome, answer, load)
