"""The counts of the demo's clients, and the summary at its end."""

from __future__ import annotations

import time
from collections import Counter, deque
from dataclasses import asdict, dataclass, field
from typing import Any, NamedTuple


class FinishedRequest(NamedTuple):
    """One answered request: when it ended (monotonic time, s), its outcome, and how long it took, s."""

    ended_at_s: float
    outcome: str
    duration_s: float


@dataclass
class Summary:
    """The counts of clients and endpoints over a run, and quantiles of the request durations."""

    seconds: float
    asked: int
    served: int
    refused: int
    failed: int
    unanswered: int
    p50_ms: float
    p99_ms: float
    orders_run_twice: int
    sends_past_the_grace: int
    by_endpoint: dict[str, int] = field(default_factory=dict)

    @property
    def all_guarantees_held(self) -> bool:
        """Whether each request was answered, no order ran twice, and the drain grace was kept to."""
        return not (self.unanswered or self.orders_run_twice or self.sends_past_the_grace)

    def as_dict(self) -> dict[str, Any]:
        """Return the object that `laurelstep demo --json` prints."""
        return {**asdict(self), "kept": self.all_guarantees_held}


class RequestStatistics:
    """Counts requests by outcome, and the durations of those that were served."""

    def __init__(self) -> None:
        self.counts: Counter[str] = Counter()
        self.durations_s: list[float] = []
        self._recent: deque[FinishedRequest] = deque()

    def record(self, outcome: str, duration_s: float) -> None:
        """Count an answered request that has just ended."""
        self.counts[outcome] += 1
        self._recent.append(FinishedRequest(time.monotonic(), outcome, duration_s))
        if outcome == "served":
            self.durations_s.append(duration_s)

    def last_second(self) -> list[FinishedRequest]:
        """Return the requests that were answered within the last second."""
        oldest_s = time.monotonic() - 1.0
        while self._recent and self._recent[0].ended_at_s < oldest_s:
            self._recent.popleft()
        return list(self._recent)


def quantile(values: list[float], share: float) -> float:
    """Return the value below which this share of the values lies; 0 if there are none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))] if ordered else 0.0
