"""Detects whether this edge is cut off, from the attempts of live requests and probes. Pure.

1. The edge is cut off when an attempt fails, at least `min_endpoints` different endpoints have failed since
   the last answer (all endpoints, if fewer are listed), and the first of these failures is `cut_us` or more
   ago. So one time-out, one endpoint that is down, or a burst of failures followed by a quiet hour is not
   enough.
2. The edge is back after `min_answers` answers, the first of them `back_us` or more ago. If
   `min_endpoints` different endpoints fail in the meantime without an answer between them, counting starts
   again. So a link that flaps each second stays cut off, and queued writes are replayed once it is stable.
3. An answer is any HTTP response, also a refusal, because it shows that upstream can be reached. A failure
   is an attempt without a response.
4. An edge without endpoints is cut off once it has had none for `cut_us`.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CutOffDetector", "CutOffRule"]


@dataclass(frozen=True, slots=True)
class CutOffRule:
    """The thresholds of the rules; times in µs."""

    cut_us: int = 5_000_000
    min_endpoints: int = 3
    back_us: int = 2_000_000
    min_answers: int = 3


class CutOffDetector:
    """Counts answers and failures, and decides whether the edge is cut off."""

    def __init__(self, rule: CutOffRule, endpoint_count: int, now: int) -> None:
        self._rule = rule
        self._endpoint_count = endpoint_count
        self._empty_since = now
        # Since the last answer: the time of the first failure, and the endpoints that failed, at most
        # `min_endpoints` of them.
        self._first_failure_at = 0
        self._failed_endpoints: set[int] = set()
        # While cut off: the number of consecutive answers, and the time of the first.
        self._answer_count = 0
        self._first_answer_at = 0
        self.is_cut_off = False

    def on_endpoint_count(self, endpoint_count: int, now: int) -> None:
        """Set the number of endpoints that are listed, at `now` in µs."""
        if not endpoint_count and self._endpoint_count:
            self._empty_since = now
        self._endpoint_count = endpoint_count
        self.tick(now)

    def on_response(self, now: int) -> None:
        """Count an attempt that had a response, at `now` in µs."""
        self._failed_endpoints.clear()
        if not self.is_cut_off:
            return
        if not self._answer_count:
            self._first_answer_at = now
        self._answer_count += 1
        self.tick(now)

    def on_failure(self, endpoint: int, now: int) -> None:
        """Count an attempt at this endpoint that had no response, at `now` in µs."""
        if not self._failed_endpoints:
            self._first_failure_at = now
        if len(self._failed_endpoints) < self._rule.min_endpoints:
            self._failed_endpoints.add(endpoint)
        if not self._enough_failed():
            return
        self._answer_count = 0
        if now - self._first_failure_at >= self._rule.cut_us:
            self.is_cut_off = True

    def tick(self, now: int) -> bool:
        """Apply the rules that depend on time. Returns whether the edge is cut off at `now` in µs."""
        rule = self._rule
        if not self.is_cut_off:
            if not self._endpoint_count and now - self._empty_since >= rule.cut_us:
                self.is_cut_off, self._answer_count = True, 0
        elif (
            self._endpoint_count
            and self._answer_count >= rule.min_answers
            and now - self._first_answer_at >= rule.back_us
        ):
            self.is_cut_off = False
            self._failed_endpoints.clear()
        return self.is_cut_off

    def _enough_failed(self) -> bool:
        """Whether enough different endpoints have failed since the last answer, by rule 1."""
        return len(self._failed_endpoints) >= min(self._rule.min_endpoints, self._endpoint_count)
