"""Endpoint selection: two choices with asymmetric ties.

One draw from a left subset, one from a right subset of a shared ring; the lower own count of
calls in flight wins, ties go left.
"""

from __future__ import annotations

import random
from bisect import bisect_left
from collections.abc import Sequence
from math import exp
from typing import Final

from laurelstep.balancing.endpoints import KEY_MASK, Endpoint, mix
from laurelstep.balancing.events import KEYED, SCOPE_ALL, SCOPE_ZONE
from laurelstep.balancing.latency import LatencyTracker
from laurelstep.balancing.membership import Membership
from laurelstep.balancing.outliers import OutlierDetector
from laurelstep.balancing.requests import Attempt, Request
from laurelstep.balancing.slow_start import SlowStart
from laurelstep.balancing.subsets import Ring, Subset, SubsetPlan
from laurelstep.balancing.zones import ZoneSpillover

# Power of an endpoint's slowness in its weight. At 1 all would hold equally many requests, however
# slow they are; an endpoint that became slow under its queue must be left to work it off.
SLOWNESS_POWER: Final = 2
# What is left of a stalled endpoint's weight.
STALLED_WEIGHT: Final = 0.05


class EndpointSelector:
    """Picks the endpoint of an attempt; owns no state but its random numbers."""

    __slots__ = (
        "latencies",
        "membership",
        "outliers",
        "rng",
        "slow_start",
        "spillover",
        "subsets",
    )

    def __init__(
        self,
        rng: random.Random,
        membership: Membership,
        subsets: SubsetPlan,
        latencies: LatencyTracker,
        outliers: OutlierDetector,
        slow_start: SlowStart,
        spillover: ZoneSpillover,
    ) -> None:
        self.rng = rng
        self.membership = membership
        self.subsets = subsets
        self.latencies = latencies
        self.outliers = outliers
        self.slow_start = slow_start
        self.spillover = spillover

    def pick(self, now: int, request: Request) -> Endpoint | None:
        """An endpoint for the next attempt, or None where none may be drawn now."""
        if (
            request.attempts
            and request.request_class.effect == KEYED
            and request.request_class.scope != SCOPE_ALL
        ):
            possible = request.first_possible_execution()
            if possible is not None:
                return self._pick_in_scope(now, request, possible)
        found = None
        if self.subsets.local_halves and self.rng.random() >= self.spillover.remote_share:
            found = self._choose(now, request, self.subsets.local_halves)
        if found is None:
            found = self._choose(now, request, self.subsets.pair)
        ring = self.membership.ring.all
        if found is None and self.subsets.endpoints_in_subsets < len(ring):
            # None of the own subsets is usable: fall back on the whole ring.
            found = self._choose_among(now, request, ring, 0, len(ring))
        return found

    def _pick_in_scope(self, now: int, request: Request, possible: Attempt) -> Endpoint | None:
        """Among the endpoints that know the key of an attempt that may have run."""
        ring = self.membership.ring.all
        if request.request_class.scope == SCOPE_ZONE:
            zone = self.membership.ring.by_zone.get(possible.zone, ring)
            return self._choose_among(now, request, zone, 0, len(zone))
        # A cell's endpoints are neighbours on the ring.
        cell = mix(possible.cell)
        start = bisect_left(ring, ((cell, -1, 0), possible.endpoint))
        end = bisect_left(ring, ((cell, KEY_MASK + 1, 0), possible.endpoint))
        return self._choose_among(now, request, ring, start, end)

    def _choose_among(self, now: int, request: Request, ring: Ring, start: int, end: int) -> Endpoint | None:
        middle = start + (end - start + 1) // 2
        return self._choose(now, request, [Subset(ring, start, middle), Subset(ring, middle, end)])

    def _choose(self, now: int, request: Request, subsets: Sequence[Subset]) -> Endpoint | None:
        """The design's rule: one draw from each subset, fewer own calls in
        flight wins, ties go left; a subset without an eligible endpoint yields.
        """
        drawn = [one for one in (self._draw(now, request, subset) for subset in subsets) if one is not None]
        best = min(drawn, key=lambda one: one.in_flight, default=None)
        for other in drawn:
            if best and other.in_flight == best.in_flight and other is not best:
                other_weight = self._weight(now, other, request.segment)
                worse = other_weight / self._weight(now, best, request.segment) - 1.0
                if worse > self.rng.random():
                    best = other
        return best

    def _draw(self, now: int, request: Request, subset: Subset) -> Endpoint | None:
        """One draw by weight among the eligible endpoints of a subset."""
        total, marks = 0.0, []
        for endpoint, share in subset.sample(self.rng):
            if self._is_eligible(now, request, endpoint):
                total += share * self._weight(now, endpoint, request.segment)
                marks.append((total, endpoint))
        mark = self.rng.random() * total
        return next((endpoint for upto, endpoint in marks if mark <= upto), None)

    def _is_eligible(self, now: int, request: Request, endpoint: Endpoint) -> bool:
        for attempt in request.attempts:
            if attempt.endpoint is endpoint:
                return False
        if now < endpoint.overloaded_until:
            return False
        if now < endpoint.no_new_connections_until and not endpoint.idle_since:
            return False
        return self.slow_start.allows(now, endpoint)

    def _weight(self, now: int, endpoint: Endpoint, segment: int) -> float:
        """How likely an endpoint is drawn: size, warm-up, learned speed, health."""
        weight = endpoint.rating * self.slow_start.warmup_fraction(now, endpoint)
        weight /= endpoint.slowness**SLOWNESS_POWER
        if endpoint.health[segment].value < 1.0:
            weight *= self.outliers.health(now, endpoint, segment)
        if self.outliers.is_stalled(now, endpoint):
            weight *= STALLED_WEIGHT
        if endpoint.reported_queued > 0.0:
            age = (endpoint.reported_at - now) / self.latencies.longest_objective_us
            weight /= 1.0 + endpoint.reported_queued * exp(age)
        return weight
