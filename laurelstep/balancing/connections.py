"""Detection of stale idle connections: connections that broke unnoticed while nothing was sent on them."""

from __future__ import annotations

from collections import deque
from typing import Final

from laurelstep.balancing.events import Settings
from laurelstep.balancing.latency import LOST_DEVIATIONS, LatencyTracker
from laurelstep.balancing.requests import Attempt

# After a lost attempt, connections that were idle for at least this part of its connection's idle time
# are suspect. A larger part would find the shortest fatal idle time only after further losses.
SUSPECT_IDLE_PART: Final = 0.25
# Idle time, in longest objectives, up to which a connection is never suspect: middleboxes that drop
# idle flows wait longer.
SUSPECT_IDLE_OBJECTIVES_MIN: Final = 0.1
# Least price of a handshake, as a part of a request's value, also where the settings have a lower one.
HANDSHAKE_PRICE_MIN: Final = 0.01


class IdleConnectionMonitor:
    """Closes suspect idle connections before use, after attempts on similar ones were lost."""

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
        self.loss_credit = 1.0 / max(settings.handshake_price, HANDSHAKE_PRICE_MIN)  # handshakes per loss
        self.unconfirmed: deque[Attempt] = deque()  # in the order sent
        # Of the attempt answered last: when it was sent, and the idle time of its connection.
        self.answered_sent_at = self.answered_idle_us = 0
        self.suspect_idle_us = 0.0  # connections idle for this long are suspect
        self.closes_left = 0.0  # number of sends for which suspect connections are closed

    def watch(self, attempt: Attempt) -> None:
        """Watch an attempt whose request the endpoint has completely: its answer is due."""
        self.unconfirmed.append(attempt)

    def choose_connection(self, now: int, attempt: Attempt) -> bool:
        """Choose the connection of an attempt; returns True where all idle ones must be closed first.

        Guards against idle connections that broke unnoticed: after attempts were lost on connections
        that had been idle, others that were idle for long are closed before use. An overdue attempt
        counts as lost before its time-out.
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
        """Count a lost attempt as evidence of connections that break while idle.

        The evidence is measured in handshakes: a lost request justifies as many as its value pays for.
        A loss on a new connection has other causes and removes as much evidence.
        """
        suspect_idle_us = SUSPECT_IDLE_PART * attempt.connection_idle_us
        min_suspect_us = SUSPECT_IDLE_OBJECTIVES_MIN * self.latencies.longest_objective_us
        if attempt.connection_idle_us > min_suspect_us and not attempt.is_counted_as_lost:
            if self.answered_sent_at > attempt.sent_at and self.answered_idle_us >= suspect_idle_us:
                return  # a later attempt, on a connection idle for a similar time, was answered
            is_first = self.closes_left < 1.0
            self.suspect_idle_us = suspect_idle_us if is_first else min(self.suspect_idle_us, suspect_idle_us)
            self.closes_left += self.loss_credit
        elif not attempt.is_counted_as_lost:
            self.closes_left = max(0.0, self.closes_left - self.loss_credit)
        attempt.is_counted_as_lost = True

    def record_answered(self, attempt: Attempt) -> None:
        """Reduce the evidence after an answer.

        The answer to an attempt that was counted as lost removes that loss: the attempt was only slow.
        An answer on a connection that had been idle removes the evidence of one handshake.
        """
        if attempt.is_counted_as_lost:
            self.closes_left = max(0.0, self.closes_left - self.loss_credit)
        elif attempt.connection_idle_us > 0 and self.closes_left < 1.0:
            self.closes_left = max(-self.loss_credit / 2.0, self.closes_left - 1.0)
        self.answered_sent_at, self.answered_idle_us = attempt.sent_at, attempt.connection_idle_us
        attempt.is_counted_as_lost = False
