"""Slow start: how many attempts this copy may send to an endpoint that is warming up."""

from __future__ import annotations

from typing import Final

from laurelstep.balancing.endpoints import Endpoint
from laurelstep.balancing.events import Settings
from laurelstep.balancing.latency import DecayingRate, LatencyTracker
from laurelstep.balancing.subsets import SubsetPlan

# The copies together may send at most this part of the load that overloads an endpoint. The rest is a
# reserve for copies with more than an equal share of the traffic and for requests with more work.
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
        """Start to measure the rate of answers."""
        self.served_rate = DecayingRate(max(self.latencies.rate_memory_us, self.settings.cold_us), now)

    def is_warming_up(self, now: int, endpoint: Endpoint) -> bool:
        """Return whether the endpoint's process started within the slow-start window."""
        return endpoint.started_at != 0 and max(0, now - endpoint.started_at) < self.settings.cold_us

    def warmup_fraction(self, now: int, endpoint: Endpoint) -> float:
        """Return the least share of its capacity, from 0 to 1, that an endpoint has now."""
        if not self.is_warming_up(now, endpoint):
            return 1.0
        elapsed_fraction = max(0, now - endpoint.started_at) / self.settings.cold_us
        return self.settings.cold_share + (1.0 - self.settings.cold_share) * elapsed_fraction

    def record_served(self, now: int, endpoint: Endpoint) -> None:
        """Count an answer of an endpoint; only endpoints of this copy's subsets count."""
        self.served_rate.add(now, self.subsets.contains(endpoint) / self.subsets.endpoints_per_copy)

    def allows(self, now: int, endpoint: Endpoint) -> bool:
        """Return whether the endpoint is warm or its budget has room for one more attempt."""
        return not self.is_warming_up(now, endpoint) or self.refill_budget(now, endpoint) >= 1.0

    def spend(self, now: int, endpoint: Endpoint) -> bool:
        """Take one attempt from the budget of an endpoint in slow start; False where none is left."""
        if self.is_warming_up(now, endpoint):
            if self.refill_budget(now, endpoint) < 1.0:
                return False
            endpoint.slow_start_budget -= 1.0
        return True

    def refill_budget(self, now: int, endpoint: Endpoint) -> float:
        """Add to the endpoint's budget for the time since the last call; returns it, in attempts.

        Guards endpoints in slow start against overload by all copies together. The rate of the budget
        is the rate at which an average endpoint of the subsets answers this copy, times the multiple
        of the settings and the warm-up fraction. Each copy scales its own traffic, so the budgets add
        up without coordination. Only answers count, because attempts sent to full or overloaded
        endpoints are no measure of capacity. An answer is weighted by the list at its time: when many
        endpoints are removed, the others do not gain capacity, and each is in the subsets of more
        copies. Answers of endpoints outside the subsets do not count.
        """
        if not self.subsets.contains(endpoint):
            return 0.0  # only copies with the endpoint in their subsets share its budget
        endpoints_per_copy, endpoints_in_subsets = (
            self.subsets.endpoints_per_copy,
            self.subsets.endpoints_in_subsets,
        )
        answers_per_us = self.served_rate.per_us(now) * endpoints_per_copy / endpoints_in_subsets
        # Guards against a state in which all endpoints are in slow start: nothing is sent, so no answers
        # raise the budget. A warm endpoint serves at least one request per objective for all copies.
        answers_per_us = max(
            answers_per_us, endpoints_per_copy / (endpoints_in_subsets * self.latencies.longest_objective_us)
        )
        attempts_per_us = (
            answers_per_us * BUDGET_PART * self.settings.tip_multiple * self.warmup_fraction(now, endpoint)
        )
        elapsed_us, endpoint.slow_start_budget_at = now - endpoint.slow_start_budget_at, now
        endpoint.slow_start_budget += attempts_per_us * elapsed_us
        # Guards against copies that accumulate budget while other endpoints are drawn and then all
        # spend it at once: budget that is not used within `overload_for_us` is dropped.
        if endpoint.slow_start_budget >= 1.0 + attempts_per_us * self.settings.overload_for_us:
            endpoint.slow_start_budget %= 1.0
        return endpoint.slow_start_budget
