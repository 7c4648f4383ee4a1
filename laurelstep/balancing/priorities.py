"""Priority weights: which of the recent requests have more priority than others."""

from __future__ import annotations

from collections.abc import Sequence
from math import fsum
from typing import Final

from laurelstep.balancing.events import Arrival, Settings
from laurelstep.balancing.latency import LatencyEstimator

# Requests over which the mix of the work is remembered.
WORK_MIX_MEMORY_REQUESTS: Final = 100.0
# A tenant may save up its part of the quota for this long, in longest objectives.
QUOTA_BURST_OBJECTIVES: Final = 2.0


class PriorityWeights:
    """The priority of a request among the recent ones.

    Its kind is its class and whether the tenant exceeds its part of its quota; `rank` says
    which parts of the recent work have less priority, and more.
    """

    __slots__ = ("burst_us", "quota_meters", "settings", "weights", "work_mix")

    def __init__(self, settings: Settings, longest_objective_us: float) -> None:
        self.settings = settings
        self.burst_us = QUOTA_BURST_OBJECTIVES * longest_objective_us
        weights = [cls.worth for cls in settings.classes]
        self.weights = weights + [weight * settings.over_share_worth for weight in weights]
        self.work_mix = [0.0] * len(self.weights)
        # Of each tenant: the requests it may send at once, and when that was reckoned.
        self.quota_meters = [(0.0, 0)] * len(settings.tenants)

    def rank(self, now: int, event: Arrival, usual: Sequence[LatencyEstimator]) -> tuple[float, float]:
        """The parts of the recent work, from 0 to 1, with less and with more priority.

        What counts is the weight of a unit of work. Without a hint of its work, a request
        counts as the mean latency of its class.
        """
        classes = len(self.settings.classes)
        kind = event.cls + classes * self._is_over_quota(now, event.tenant)
        keep = 1.0 - 1.0 / WORK_MIX_MEMORY_REQUESTS
        self.work_mix = [part * keep for part in self.work_mix]
        self.work_mix[kind] += event.work_us or 1.0
        takes = [1.0 if self.settings.worth_by_work else max(1.0, one.mean) for one in usual] * 2
        parts = self.work_mix if event.work_us else [p * t for p, t in zip(self.work_mix, takes, strict=True)]
        gains = self._gains(parts, [w / t for w, t in zip(self.weights, takes, strict=True)])
        total = fsum(parts)
        less = fsum(part for part, other in zip(parts, gains, strict=True) if other < gains[kind])
        more = fsum(part for part, other in zip(parts, gains, strict=True) if other > gains[kind])
        return less / total, more / total

    def _gains(self, parts: list[float], weights: list[float]) -> list[float]:
        """What the goal gains from a unit of each kind's work. To serve all classes alike
        gains the mean for the whole and again for the worst class; a class gives way only
        to one that gains more than that.
        """
        goal, classes = self.settings.goal, len(self.settings.classes)
        mean = fsum(p * w for p, w in zip(parts, weights, strict=True)) / fsum(parts)
        alike = (goal.whole + goal.worst_class) * mean
        gains = [goal.whole * weight for weight in weights]
        if goal.worst_class > 0.0:
            gains[:classes] = [max(gain, alike) for gain in gains[:classes]]
        return gains

    def _is_over_quota(self, now: int, tenant: int) -> bool:
        """Guards the others' quota against a tenant that asks for more than
        its own: each copy meters an equal part of the quota.
        """
        if tenant >= len(self.quota_meters) or not self.settings.tenants[tenant]:
            return False
        rate = self.settings.tenants[tenant] / self.settings.instances / 1e6
        saved, at = self.quota_meters[tenant]
        saved = min(1.0 + rate * self.burst_us, saved + rate * (now - at))
        is_over = saved < 1.0
        self.quota_meters[tenant] = (saved if is_over else saved - 1.0, now)
        return is_over
