"""Why requests are refused, retried or failed, and why connections are closed: counts and log lines.

Rules of this module:

1. Every event is counted, by its kind and reason. Reasons are constants of the program, never a client's
   bytes, so the number of counts is bounded.
2. At most `MAX_LINES_PER_INTERVAL` lines are written in `INTERVAL_US`. One line then tells how many events
   of that interval were counted only.
3. A line names the request by its id, which is a validated token and can't forge a line.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from enum import StrEnum
from typing import Final

from laurelstep.balancing.events import CANCELLED, ERROR, FULL, NO_CONNECT, NOT_SENT, OK, RESET, TIMEOUT
from laurelstep.engine.call import Answer, Attempt, Call, Ending

INTERVAL_US: Final = 1_000_000
MAX_LINES_PER_INTERVAL: Final = 20

OUTCOME_NAMES: Final = {
    OK: "ok",
    ERROR: "error",
    FULL: "full",
    NO_CONNECT: "no connection",
    NOT_SENT: "not sent",
    RESET: "reset",
    TIMEOUT: "timeout",
    CANCELLED: "cancelled",
}
FINAL_STATUS_REASONS: Final = {status: f"status {status}" for status in (409, 500, 502, 503, 504)}


class EventKind(StrEnum):
    """What happened."""

    REFUSED = "request_refused"
    FAILED = "request_failed"
    RETRIED = "request_retried"
    ABANDONED = "request_abandoned"
    ATTEMPT_FAILED = "attempt_failed"
    CLIENT_CLOSED = "client_connection_closed"
    ENDPOINT_CLOSED = "endpoint_connection_closed"
    PHASE = "phase_changed"


class EventLog:
    """Counts events and writes a bounded number of lines about them."""

    def __init__(self, now: Callable[[], int], write: Callable[[str], None]) -> None:
        """`now` returns the engine's time in µs; `write` writes one line to the operator's log."""
        self.now = now
        self.write = write
        self.counts: Counter[tuple[str, str]] = Counter()  # by kind and reason
        self.interval_end = 0
        self.line_count = 0
        self.suppressed_count = 0

    def count(self, kind: EventKind, reason: str) -> None:
        """Count an event of normal service, without a line."""
        self.counts[kind.value, reason] += 1

    def admits(self, kind: EventKind, reason: str) -> bool:
        """Count an event; return whether its line is to be written, so that no text is made in vain."""
        self.count(kind, reason)
        now = self.now()
        if now >= self.interval_end:
            self._begin_interval(now)
        if self.line_count >= MAX_LINES_PER_INTERVAL:
            self.suppressed_count += 1
            return False
        self.line_count += 1
        return True

    def write_line(self, kind: EventKind, reason: str, request_id: bytes = b"", detail: str = "") -> None:
        """Write the line of an event that `admits` let through. `request_id`: the client's X-Request-Id,
        empty if there is none.
        """
        parts = [f'event={kind.value} reason="{reason}"']
        if request_id:
            parts.append(f"id={request_id.decode('ascii', 'replace')}")
        if detail:
            parts.append(detail)
        self.write(" ".join(parts))

    def record(self, kind: EventKind, reason: str, request_id: bytes = b"") -> None:
        """Count an event, and write its line unless too many were written in this interval. `reason` is a
        constant text.
        """
        if self.admits(kind, reason):
            self.write_line(kind, reason, request_id)

    def _begin_interval(self, now: int) -> None:
        suppressed, self.suppressed_count = self.suppressed_count, 0
        self.interval_end = now + INTERVAL_US
        self.line_count = 0
        if suppressed:
            self.write(f"event=suppressed count={suppressed}")


def discard_line(text: str) -> None:
    """A `write` of `EventLog` that writes nothing."""


def record_ending(event_log: EventLog, call: Call, answer: Answer) -> None:
    """Record that a call was refused, or has failed."""
    kind = EventKind.REFUSED if answer.ending == Ending.REFUSED else EventKind.FAILED
    reason = FINAL_STATUS_REASONS.get(answer.status, "other status")
    if event_log.admits(kind, reason):
        event_log.write_line(kind, reason, call.client_request_id, f"attempts={call.attempts_sent}")


def record_failed_attempt(event_log: EventLog, attempt: Attempt, outcome: int, endpoint: str) -> None:
    """Record an attempt without an answer that its call can be given. `endpoint`: its instance id."""
    kind, reason = EventKind.ATTEMPT_FAILED, OUTCOME_NAMES[outcome]
    if event_log.admits(kind, reason):
        detail = f"attempt={attempt.attempt_index} endpoint={endpoint!r}"
        event_log.write_line(kind, reason, attempt.call.client_request_id, detail)
