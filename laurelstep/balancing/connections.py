"""Suspicion of stale idle connections: those that died unseen while nothing was sent on them."""

from __future__ import annotations

from collections import deque
from typing import Final

from laurelstep.balancing.events import Settings
from laurelstep.balancing.latency import LOST_DEVIATIONS, LatencyTracker
from laurelstep.balancing.requests import Attempt

# A lost attempt makes connections suspect that were idle for this part as long:
# each halving on the way down would cost another loss.
SUSPECT_IDLE_PART: Final = 0.25
# A shorter idle time, in longest objectives, kills no connection: who drops flows waits longer.
SUSPECT_IDLE_OBJECTIVES_MIN: Final = 0.1
# A handshake costs at least this part of a request's value, priced or not.
HANDSHAKE_PRICE_MIN: Final = 0.01


class IdleConnectionMonitor:
    """Closes idle connections before use while others like them were lost."""

    __slots__ = (
        "answered_idle_us",
        "answered_sent_at",
        "closes_left",
        "idle_us",
        "latencies",
        "loss_credit",
        "suspect_idle_us",
        "unconfirmed",
    )

    def __init__(self, settings: Settings, latencies: LatencyTracker) -> None:
        self.latencies = latencies
        self.idle_us = settings.idle_us
        self.loss_credit = 1.0 / max(settings.handshake_price, HANDSHAKE_PRICE_MIN)
        self.unconfirmed: deque[Attempt] = deque()  # in the order sent
        self.answered_sent_at = self.answered_idle_us = 0  # of the last attempt answered
        self.suspect_idle_us = 0.0  # connections idle for this long are suspect,
        self.closes_left = 0.0  # for so many sends

    def watch(self, attempt: Attempt) -> None:
        """Watch an attempt that its endpoint has completely: an answer is due from now on."""
        self.unconfirmed.append(attempt)

    def choose_connection(self, now: int, attempt: Attempt) -> bool:
        """Which idle connection the attempt is sent on; True where all are to be closed first.

        Guards against idle connections that died unseen: after losses on such as had been
        idle, others that were idle for long are closed before use. An attempt that is
        overdue counts before its time-out.
        """
        self._count_overdue(now)
        idle_since = attempt.endpoint.idle_since
        idle_us = now - idle_since.pop() if idle_since else 0
        if self.closes_left >= 1.0 and idle_us >= self.suspect_idle_us:
            self.closes_left -= 1.0
            idle_since.clear()
            return True
        if idle_us and (not self.idle_us or idle_us < self.idle_us):
            attempt.connection_idle_us = idle_us
        return False

    def _count_overdue(self, now: int) -> None:
        while self.unconfirmed:
            oldest = self.unconfirmed[0]
            if oldest.is_outstanding and not self.latencies.is_overdue(now - oldest.sent_at, LOST_DEVIATIONS):
                break
            self.unconfirmed.popleft()
            if oldest.is_outstanding:
                self.record_lost(oldest)

    def record_lost(self, attempt: Attempt) -> None:
        """Count evidence of connections that die while idle, in the handshakes that it pays for:
        a lost request is worth as many as its value buys. A loss on a new connection has other
        causes and takes as much back.
        """
        suspect_us = SUSPECT_IDLE_PART * attempt.connection_idle_us
        least_us = SUSPECT_IDLE_OBJECTIVES_MIN * self.latencies.longest_objective_us
        if attempt.connection_idle_us > least_us and not attempt.is_counted_as_lost:
            if self.answered_sent_at > attempt.sent_at and self.answered_idle_us >= suspect_us:
                return  # one sent since, on a connection idle alike, was answered
            is_first = self.closes_left < 1.0
            self.suspect_idle_us = suspect_us if is_first else min(self.suspect_idle_us, suspect_us)
            self.closes_left += self.loss_credit
        elif not attempt.is_counted_as_lost:
            self.closes_left = max(0.0, self.closes_left - self.loss_credit)
        attempt.is_counted_as_lost = True

    def record_answered(self, attempt: Attempt) -> None:
        """An answer takes a counted loss back, as slowness has other causes; one on a
        connection that had been idle counts against the suspicion.
        """
        if attempt.is_counted_as_lost:
            self.closes_left = max(0.0, self.closes_left - self.loss_credit)
        elif attempt.connection_idle_us > 0 and self.closes_left < 1.0:
            self.closes_left = max(-self.loss_credit / 2.0, self.closes_left - 1.0)
        self.answered_sent_at, self.answered_idle_us = attempt.sent_at, attempt.connection_idle_us
        attempt.is_counted_as_lost = False
