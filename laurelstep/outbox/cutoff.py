"""Whether this edge is cut off. Pure: from what the attempts of live requests and probes tell.

1. The edge is cut off when an attempt fails and since the last answer `fewest` different endpoints did
   (all, if fewer are listed), the first of them `cut_us` or more ago. So neither one time-out, nor one
   endpoint that is down, nor a moment's failures with a quiet hour behind them are enough.
2. It is back after `answers` answers, the first of them `back_us` or more ago. Since the first, `fewest`
   different endpoints must not have failed without an answer between; else the count begins anew. So a link
   that flaps each second stays cut off, and what is kept meanwhile is replayed when it holds.
3. An answer is any HTTP response, also a refusal: there is a way there. A failure is an attempt without one.
4. An edge without endpoints is cut off once that has been so for `cut_us`.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["CutOffDetector", "CutOffRule"]


@dataclass(frozen=True, slots=True)
class CutOffRule:
    """The rule's figures; times in µs."""

    cut_us: int = 5_000_000
    fewest: int = 3
    back_us: int = 2_000_000
    answers: int = 3


class CutOffDetector:
    """The evidence so far. `off`: the edge is cut off."""

    def __init__(self, rule: CutOffRule, listed: int, now: int) -> None:
        self._rule = rule
        self._listed = listed
        self._empty_at = now
        # Since the last answer: when the first failure was, and which endpoints failed, at most `fewest`.
        self._failed_at = 0
        self._failed: set[int] = set()
        # While cut off: answers in a row, and when the first was.
        self._answers = 0
        self._answered_at = 0
        self.is_cut_off = False

    def listed(self, count: int, now: int) -> None:
        """How many endpoints the list has now."""
        if not count and self._listed:
            self._empty_at = now
        self._listed = count
        self.tick(now)

    def answered(self, now: int) -> None:
        """An attempt had a response, at `now` in µs."""
        self._failed.clear()
        if not self.is_cut_off:
            return
        if not self._answers:
            self._answered_at = now
        self._answers += 1
        self.tick(now)

    def failed(self, endpoint: int, now: int) -> None:
        """An attempt at this endpoint had no response, at `now` in µs."""
        if not self._failed:
            self._failed_at = now
        if len(self._failed) < self._rule.fewest:
            self._failed.add(endpoint)
        if not self._dark():
            return
        self._answers = 0
        if now - self._failed_at >= self._rule.cut_us:
            self.is_cut_off = True

    def tick(self, now: int) -> bool:
        """Time has passed; `off` after it."""
        rule = self._rule
        if not self.is_cut_off:
            if not self._listed and now - self._empty_at >= rule.cut_us:
                self.is_cut_off, self._answers = True, 0
        elif self._listed and self._answers >= rule.answers and now - self._answered_at >= rule.back_us:
            self.is_cut_off = False
            self._failed.clear()
        return self.is_cut_off

    def _dark(self) -> bool:
        """As many as must have failed since the last answer."""
        return len(self._failed) >= min(self._rule.fewest, self._listed)
