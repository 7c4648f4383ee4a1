"""Outlier detection: health, speed and stalls of endpoints."""

from __future__ import annotations

from collections.abc import Iterable
from math import exp
from typing import Final

from laurelstep.balancing.endpoints import Endpoint, SegmentHealth
from laurelstep.balancing.events import ERROR, FULL, NO_CONNECT, RESET, TIMEOUT, Settings
from laurelstep.balancing.latency import SAMPLES_MIN, STALL_DEVIATIONS, DecayingRate, LatencyTracker
from laurelstep.balancing.subsets import SubsetPlan

# Factor that one failure applies to an endpoint's health. It is lower the more certainly the outcome
# shows a broken endpoint; FULL shows load rather than a fault.
HEALTH_FACTORS: Final = {ERROR: 0.4, FULL: 0.7, TIMEOUT: 0.2, NO_CONNECT: 0.5, RESET: 0.2}
# Exponent of that factor for the endpoint's other classes and tenants.
OTHER_SEGMENTS_POWER: Final = 0.5
# A full endpoint gets no request for this many mean latencies, because the retries of all copies would
# keep it full and make it slow. Before the first answer: for this many longest objectives.
OVERLOADED_FOR_LATENCIES: Final = 1.0
OVERLOADED_FOR_OBJECTIVES: Final = 0.1
# An answer restores this share of the lost health. Time restores health with a time constant of
# HEAL_OBJECTIVES longest objectives, doubled by each consecutive failure, HEAL_DOUBLINGS_MAX times at most.
REPAIR_PER_SUCCESS: Final = 0.2
HEAL_OBJECTIVES: Final = 1.5
HEAL_DOUBLINGS_MAX: Final = 4
# The time constant is at least the time in which an endpoint is sent this many attempts: in a copy with
# little traffic, a broken endpoint would otherwise get every other request.
HEAL_SENDS: Final = 3.0
# Least assumed rate of sends of a copy, per longest objective.
SENDS_PER_OBJECTIVE_MIN: Final = 0.1
# Least health: it leaves the trial requests by which an endpoint recovers.
HEALTH_MIN: Final = 0.01
# Health above this counts as fully repaired.
HEALTHY_ABOVE: Final = 0.99
# An endpoint whose health is below this in all segments is reported as ejected.
EJECTED_BELOW: Final = 0.5
# Time constant, in longest objectives, and gains of an endpoint's measured speed: a few samples
# distinguish speeds of 3:1, and the old value of an endpoint that is rarely drawn loses weight.
SPEED_MEMORY_OBJECTIVES: Final = 2.0
SPEED_GAIN_MAX: Final = 0.5
SPEED_GAIN_FIRST: Final = 0.25
SPEED_PRIOR_SAMPLES: Final = 3
# Largest ratio of one answer's latency to the mean, and least slowness of an endpoint.
SLOWNESS_MAX: Final = 8.0
SLOWNESS_MIN: Final = 0.1


class OutlierDetector:
    """Tracks the health and speed of endpoints from the outcomes of this copy's attempts."""

    __slots__ = ("heal_sends_us", "is_full_a_fault", "latencies", "send_rate", "subsets")

    def __init__(self, settings: Settings, latencies: LatencyTracker, subsets: SubsetPlan) -> None:
        self.latencies = latencies
        self.subsets = subsets
        self.is_full_a_fault = settings.full_unproven  # FULL may follow work that had begun
        self.send_rate = DecayingRate(self.latencies.rate_memory_us, 0)
        self.heal_sends_us = 0.0  # time in which an endpoint is sent HEAL_SENDS attempts

    def start(self, now: int) -> None:
        """Start to measure the rate of sends."""
        self.send_rate = DecayingRate(self.latencies.rate_memory_us, now)

    def record_send(self, now: int) -> None:
        """Count an attempt that was sent to any endpoint."""
        self.send_rate.add(now)

    def is_stalled(self, now: int, endpoint: Endpoint) -> bool:
        """Return whether an endpoint with attempts in flight has given no answer for too long.

        Guards against frozen and hung endpoints.
        """
        if not endpoint.in_flight:
            return False
        return self.latencies.is_overdue(now - endpoint.silent_since, STALL_DEVIATIONS)

    def health(self, now: int, endpoint: Endpoint, segment: int) -> float:
        """Return the present health, from HEALTH_MIN to 1; it recovers more slowly after repeated failures.

        Only the ratio of the weights matters in a draw, so failures of a later tier, which affect all
        endpoints alike, eject none of them.
        """
        previous = endpoint.health[segment]
        memory_us = max(HEAL_OBJECTIVES * self.latencies.longest_objective_us, self.heal_sends_us)
        memory_us *= 2.0 ** min(previous.failures, HEAL_DOUBLINGS_MAX)
        return max(HEALTH_MIN, 1.0 - (1.0 - previous.value) * exp((previous.updated_at - now) / memory_us))

    def count_ejected(self, now: int, endpoints: Iterable[Endpoint]) -> int:
        """Count the ready endpoints that are ejected now; has no side effect."""
        return sum([endpoint.is_ready and self._is_ejected(now, endpoint) for endpoint in endpoints])

    def _is_ejected(self, now: int, endpoint: Endpoint) -> bool:
        if now < endpoint.overloaded_until or self.is_stalled(now, endpoint):
            return True
        return all(
            [self.health(now, endpoint, segment) < EJECTED_BELOW for segment in range(endpoint.segment_count)]
        )

    def record_failure(
        self,
        now: int,
        endpoint: Endpoint,
        outcome: int,
        segment: int,
        is_new_connection_rejected: bool = False,
    ) -> None:
        """Lower the endpoint's health after a failure, so that it is drawn less often.

        Guards against endpoints that fail fast: they have few attempts in flight and would always be
        chosen. The health of the other classes and tenants falls less, because the endpoint may fail
        only requests of this class or tenant. With `is_new_connection_rejected`, a full endpoint still
        gets requests on idle connections.
        """
        if outcome == FULL and self.is_full_a_fault:
            outcome = TIMEOUT
        sends = max(self.send_rate.per_us(now), SENDS_PER_OBJECTIVE_MIN / self.latencies.longest_objective_us)
        self.heal_sends_us = HEAL_SENDS * self.subsets.endpoints_in_subsets / sends
        factor = HEALTH_FACTORS[outcome]
        for other_segment, previous in enumerate(endpoint.health):
            other_factor = factor if other_segment == segment else factor**OTHER_SEGMENTS_POWER
            health = max(HEALTH_MIN, self.health(now, endpoint, other_segment) * other_factor)
            endpoint.health[other_segment] = SegmentHealth(
                health, now, previous.failures + (other_segment == segment)
            )
        if outcome == FULL:
            self._record_overload(now, endpoint, is_new_connection_rejected)

    def _record_overload(self, now: int, endpoint: Endpoint, is_new_connection_rejected: bool) -> None:
        mean_latency_us = (
            self.latencies.overall.mean or OVERLOADED_FOR_OBJECTIVES * self.latencies.longest_objective_us
        )
        overloaded_until = now + int(OVERLOADED_FOR_LATENCIES * mean_latency_us)
        if is_new_connection_rejected:
            endpoint.no_new_connections_until = overloaded_until
        else:
            endpoint.overloaded_until = overloaded_until

    def record_success(self, now: int, endpoint: Endpoint, segment: int) -> None:
        """Raise the health of the segment after an answer."""
        previous = endpoint.health[segment]
        if previous.value < 1.0:
            health = self.health(now, endpoint, segment)
            health += REPAIR_PER_SUCCESS * (1.0 - health)
            if health > HEALTHY_ABOVE:
                health = 1.0
            endpoint.health[segment] = SegmentHealth(health, now, previous.failures / 2.0)

    def learn_speed(self, now: int, endpoint: Endpoint, class_index: int, latency_us: int) -> None:
        """Update an endpoint's slowness from the ratio of an answer's latency to the mean of its class."""
        ratio = latency_us / max(1.0, self.latencies.by_class[class_index].mean)
        elapsed_memories = (now - endpoint.slowness_at) / (
            SPEED_MEMORY_OBJECTIVES * self.latencies.longest_objective_us
        )
        endpoint.speed_samples += 1
        gain = max(
            1.0 / SAMPLES_MIN,
            1.0 / (endpoint.speed_samples + SPEED_PRIOR_SAMPLES),
            min(elapsed_memories, SPEED_GAIN_MAX),
        )
        if endpoint.speed_samples == 1:
            gain = SPEED_GAIN_FIRST
        step = gain * (min(ratio, SLOWNESS_MAX) - endpoint.slowness)
        endpoint.slowness = max(SLOWNESS_MIN, endpoint.slowness + step)
        endpoint.slowness_at = now
