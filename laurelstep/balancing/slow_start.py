"""Slow start: what this copy may send to an endpoint that is warming up."""

from __future__ import annotations

from typing import Final

from laurelstep.balancing.endpoints import Endpoint
from laurelstep.balancing.events import Settings
from laurelstep.balancing.latency import DecayingRate, LatencyTracker
from laurelstep.balancing.subsets import SubsetPlan

# Part of the budget that tips an endpoint over which a copy allows itself: the rest covers
# copies that carry more than their share and work heavier than the average.
BUDGET_PART: Final = 0.5


class SlowStart:
    """Owns the budgets of endpoints in slow start."""

    __slots__ = ("latencies", "served_rate", "settings", "subsets")

    def __init__(self, settings: Settings, latencies: LatencyTracker, subsets: SubsetPlan) -> None:
        self.settings = settings
        self.latencies = latencies
        self.subsets = subsets
        self.served_rate = DecayingRate(self.latencies.rate_memory_us, 0)

    def start(self, now: int) -> None:
        """The rate of answers counts from here."""
        self.served_rate = DecayingRate(max(self.latencies.rate_memory_us, self.settings.cold_us), now)

    def is_warming_up(self, now: int, endpoint: Endpoint) -> bool:
        """Whether the endpoint's process started within the slow-start window."""
        return endpoint.started_at != 0 and max(0, now - endpoint.started_at) < self.settings.cold_us

    def warmup_fraction(self, now: int, endpoint: Endpoint) -> float:
        """Share of its capacity that an endpoint is sure to have by now."""
        if not self.is_warming_up(now, endpoint):
            return 1.0
        age = max(0, now - endpoint.started_at) / self.settings.cold_us
        return self.settings.cold_share + (1.0 - self.settings.cold_share) * age

    def record_served(self, now: int, endpoint: Endpoint) -> None:
        """An answer of an endpoint; only those of the own subsets count."""
        self.served_rate.add(now, self.subsets.contains(endpoint) / self.subsets.endpoints_per_copy)

    def allows(self, now: int, endpoint: Endpoint) -> bool:
        """Whether one more attempt fits into the endpoint's budget, if it has one."""
        return not self.is_warming_up(now, endpoint) or self.refill_budget(now, endpoint) >= 1.0

    def spend(self, now: int, endpoint: Endpoint) -> bool:
        """Take one attempt from the endpoint's budget; False where there is none left."""
        if self.is_warming_up(now, endpoint):
            if self.refill_budget(now, endpoint) < 1.0:
                return False
            endpoint.slow_start_budget -= 1.0
        return True

    def refill_budget(self, now: int, endpoint: Endpoint) -> float:
        """Guards endpoints in slow start: this copy's part of what all may send, in attempts.

        What an average endpoint of its subsets serves this copy, times the
        multiple and the share warm so far. As each copy scales its own
        traffic, the parts add up without agreement. Only answers count: what
        is sent to full or overloaded endpoints is no measure of capacity.
        They count by the list under which they came: when many endpoints
        leave it, those left have no more capacity, and more copies have each
        in their subsets. Answers of endpoints outside the subsets do not count.
        """
        if not self.subsets.contains(endpoint):
            return 0.0  # only copies that have it in their subsets share its budget
        own, span = self.subsets.endpoints_per_copy, self.subsets.endpoints_in_subsets
        usual = self.served_rate.per_us(now) * own / span
        # Guards against a start where all warm up: nothing sent, so nothing earned. A useful
        # endpoint serves at least one request an objective, from all copies together, once warm.
        usual = max(usual, own / (span * self.latencies.longest_objective_us))
        rate = usual * BUDGET_PART * self.settings.tip_multiple * self.warmup_fraction(now, endpoint)
        elapsed, endpoint.slow_start_budget_at = now - endpoint.slow_start_budget_at, now
        endpoint.slow_start_budget += rate * elapsed
        # Guards against copies that saved up while others were drawn and then all
        # spend at once: what is not used within the span that overloads is lost.
        if endpoint.slow_start_budget >= 1.0 + rate * self.settings.overload_for_us:
            endpoint.slow_start_budget %= 1.0
        return endpoint.slow_start_budget
