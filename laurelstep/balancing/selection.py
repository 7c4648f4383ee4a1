"""Endpoint selection: power of two choices with asymmetric ties.

One endpoint is drawn from a left subset and one from a right subset of a shared ring. The one with
fewer attempts of this copy in flight is chosen; on a tie, the left one.
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

# Exponent of an endpoint's slowness in its weight. With 1, all endpoints would hold equally many
# requests, however slow they are; an endpoint that is slow because of its queue must get fewer.
SLOWNESS_POWER: Final = 2
# Factor of a stalled endpoint's weight.
STALLED_WEIGHT: Final = 0.05


class EndpointSelector:
    """Picks the endpoint of an attempt; has no state except its random generator."""

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
        """Return an endpoint for the next attempt, or None where no endpoint is eligible now."""
        if (
            request.attempts
            and request.request_class.effect == KEYED
            and request.request_class.scope != SCOPE_ALL
        ):
            possible_execution = request.first_possible_execution()
            if possible_execution is not None:
                return self._pick_in_scope(now, request, possible_execution)
        endpoint = None
        if self.subsets.local_halves and self.rng.random() >= self.spillover.remote_share:
            endpoint = self._choose(now, request, self.subsets.local_halves)
        if endpoint is None:
            endpoint = self._choose(now, request, self.subsets.pair)
        ring = self.membership.ring.all
        if endpoint is None and self.subsets.endpoints_in_subsets < len(ring):
            # No endpoint of the copy's subsets is eligible: fall back to the whole ring.
            endpoint = self._choose_among(now, request, ring, 0, len(ring))
        return endpoint

    def _pick_in_scope(self, now: int, request: Request, possible_execution: Attempt) -> Endpoint | None:
        """Pick among the endpoints that recognize the key of an attempt that may have run."""
        ring = self.membership.ring.all
        if request.request_class.scope == SCOPE_ZONE:
            zone_ring = self.membership.ring.by_zone.get(possible_execution.zone, ring)
            return self._choose_among(now, request, zone_ring, 0, len(zone_ring))
        # The endpoints of a cell are neighbours on the ring.
        cell_hash = mix(possible_execution.cell)
        start = bisect_left(ring, ((cell_hash, -1, 0), possible_execution.endpoint))
        end = bisect_left(ring, ((cell_hash, KEY_MASK + 1, 0), possible_execution.endpoint))
        return self._choose_among(now, request, ring, start, end)

    def _choose_among(self, now: int, request: Request, ring: Ring, start: int, end: int) -> Endpoint | None:
        middle = start + (end - start + 1) // 2
        return self._choose(now, request, [Subset(ring, start, middle), Subset(ring, middle, end)])

    def _choose(self, now: int, request: Request, subsets: Sequence[Subset]) -> Endpoint | None:
        """Draw one endpoint from each subset and choose the one with fewer attempts in flight.

        On a tie the left one is chosen, or the right one with a probability that grows with its
        weight. A subset without an eligible endpoint takes no part.
        """
        drawn = [one for one in (self._draw(now, request, subset) for subset in subsets) if one is not None]
        best = min(drawn, key=lambda one: one.in_flight, default=None)
        for other in drawn:
            if best and other.in_flight == best.in_flight and other is not best:
                other_weight = self._weight(now, other, request.segment)
                excess_weight = other_weight / self._weight(now, best, request.segment) - 1.0
                if excess_weight > self.rng.random():
                    best = other
        return best

    def _draw(self, now: int, request: Request, subset: Subset) -> Endpoint | None:
        """Draw one of the eligible endpoints of a subset by weight; None where there is none."""
        total, cumulative_weights = 0.0, []
        for endpoint, share in subset.sample(self.rng):
            if self._is_eligible(now, request, endpoint):
                total += share * self._weight(now, endpoint, request.segment)
                cumulative_weights.append((total, endpoint))
        drawn_weight = self.rng.random() * total
        return next(
            (
                endpoint
                for cumulative_weight, endpoint in cumulative_weights
                if drawn_weight <= cumulative_weight
            ),
            None,
        )

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
        """Return the weight of an endpoint in a draw, from its size, warm-up, speed, health and load."""
        weight = endpoint.rating * self.slow_start.warmup_fraction(now, endpoint)
        weight /= endpoint.slowness**SLOWNESS_POWER
        if endpoint.health[segment].value < 1.0:
            weight *= self.outliers.health(now, endpoint, segment)
        if self.outliers.is_stalled(now, endpoint):
            weight *= STALLED_WEIGHT
        if endpoint.reported_queued > 0.0:
            decay_exponent = (endpoint.reported_at - now) / self.latencies.longest_objective_us
            weight /= 1.0 + endpoint.reported_queued * exp(decay_exponent)
        return weight
