"""Priority weights: the priority of a request compared with the recent ones."""

from __future__ import annotations

from collections.abc import Sequence
from math import fsum
from typing import Final

from laurelstep.balancing.events import Arrival, Settings
from laurelstep.balancing.latency import LatencyEstimator

# Number of requests over which the mix of the work is averaged.
WORK_MIX_MEMORY_REQUESTS: Final = 100.0
# Time for which a tenant may accumulate its unused quota, in longest objectives.
QUOTA_BURST_OBJECTIVES: Final = 2.0


class PriorityWeights:
    """Ranks the priority of requests among the recent ones.

    A request's kind is its class and whether its tenant exceeds its quota; `rank` returns which parts
    of the recent work have lower and higher priority.
    """

    __slots__ = ("burst_us", "quota_meters", "settings", "weights", "work_mix")

    def __init__(self, settings: Settings, longest_objective_us: float) -> None:
        self.settings = settings
        self.burst_us = QUOTA_BURST_OBJECTIVES * longest_objective_us
        weights = [cls.worth for cls in settings.classes]
        self.weights = weights + [weight * settings.over_share_worth for weight in weights]
        self.work_mix = [0.0] * len(self.weights)  # recent work by kind: estimates in µs, or requests
        # For each tenant: the requests that it may send at once, and the time of that value.
        self.quota_meters = [(0.0, 0)] * len(settings.tenants)

    def rank(self, now: int, event: Arrival, latencies: Sequence[LatencyEstimator]) -> tuple[float, float]:
        """Return the parts of the recent work, from 0 to 1, with lower and with higher priority.

        Priority is the weight per unit of work. The work of a request without an estimate is the
        mean latency of its class.
        """
        classes = len(self.settings.classes)
        kind = event.cls + classes * self._is_over_quota(now, event.tenant)
        decay = 1.0 - 1.0 / WORK_MIX_MEMORY_REQUESTS
        self.work_mix = [part * decay for part in self.work_mix]
        self.work_mix[kind] += event.work_us or 1.0
        work_per_request = [
            1.0 if self.settings.worth_by_work else max(1.0, estimator.mean) for estimator in latencies
        ] * 2
        work_parts = (
            self.work_mix
            if event.work_us
            else [part * work for part, work in zip(self.work_mix, work_per_request, strict=True)]
        )
        gains = self._gains(
            work_parts, [weight / work for weight, work in zip(self.weights, work_per_request, strict=True)]
        )
        total = fsum(work_parts)
        lower = fsum(part for part, gain in zip(work_parts, gains, strict=True) if gain < gains[kind])
        higher = fsum(part for part, gain in zip(work_parts, gains, strict=True) if gain > gains[kind])
        return lower / total, higher / total

    def _gains(self, parts: list[float], weights: list[float]) -> list[float]:
        """Return what the goal gains from a unit of work of each kind.

        Serving all classes alike gains the mean weight for all requests and again for the worst class.
        Where the goal counts the worst class, this is the least gain of a kind within its quota.
        """
        goal, classes = self.settings.goal, len(self.settings.classes)
        mean = fsum(part * weight for part, weight in zip(parts, weights, strict=True)) / fsum(parts)
        equal_gain = (goal.whole + goal.worst_class) * mean
        gains = [goal.whole * weight for weight in weights]
        if goal.worst_class > 0.0:
            gains[:classes] = [max(gain, equal_gain) for gain in gains[:classes]]
        return gains

    def _is_over_quota(self, now: int, tenant: int) -> bool:
        """Return whether the request exceeds its tenant's quota.

        Guards the quotas of the other tenants; each copy meters an equal part of the quota.
        """
        if tenant >= len(self.quota_meters) or not self.settings.tenants[tenant]:
            return False
        rate_per_us = self.settings.tenants[tenant] / self.settings.instances / 1e6
        budget, updated_at = self.quota_meters[tenant]
        budget = min(1.0 + rate_per_us * self.burst_us, budget + rate_per_us * (now - updated_at))
        is_over = budget < 1.0
        self.quota_meters[tenant] = (budget if is_over else budget - 1.0, now)
        return is_over
