"""Outlier detection: the health, the speed and the stalls of endpoints."""

from __future__ import annotations

from collections.abc import Iterable
from math import exp
from typing import Final

from laurelstep.balancing.endpoints import Endpoint, SegmentHealth
from laurelstep.balancing.events import ERROR, FULL, NO_CONNECT, RESET, TIMEOUT, Settings
from laurelstep.balancing.latency import SAMPLES_MIN, STALL_DEVIATIONS, DecayingRate, LatencyTracker
from laurelstep.balancing.subsets import SubsetPlan

# Factor of an endpoint's health after one failure, by how surely the outcome is a sign of a
# broken endpoint; FULL is a sign of load more than of a fault.
HEALTH_FACTORS: Final = {ERROR: 0.4, FULL: 0.7, TIMEOUT: 0.2, NO_CONNECT: 0.5, RESET: 0.2}
# Power of that factor for the other classes and tenants of the endpoint.
OTHER_SEGMENTS_POWER: Final = 0.5
# A full endpoint gets no request for this many usual latencies: one kept full by everybody's
# next retry would become slow. Before the first answer, for this many longest objectives.
OVERLOADED_FOR_LATENCIES: Final = 1.0
OVERLOADED_FOR_OBJECTIVES: Final = 0.1
# One answer repairs this share of the damage; time repairs it with a time constant of this many
# longest objectives, doubled by each failure in a row up to this many times.
REPAIR_PER_SUCCESS: Final = 0.2
HEAL_OBJECTIVES: Final = 1.5
HEAL_DOUBLINGS_MAX: Final = 4
# The time constant is at least the time of this many sends to an endpoint: in a copy with little
# traffic, a bad endpoint would else get every other request.
HEAL_SENDS: Final = 3.0
# Sends a copy is taken to make at least, per longest objective.
SENDS_PER_OBJECTIVE_MIN: Final = 0.1
# Health never falls below this: the trial by which an endpoint returns.
HEALTH_MIN: Final = 0.01
# Health above this counts as fully repaired.
HEALTHY_ABOVE: Final = 0.99
# An endpoint with less health in all segments is reported as ejected.
EJECTED_BELOW: Final = 0.5
# Gain of an endpoint's learned speed: a few samples distinguish speeds of 3:1, and an endpoint
# that is seldom drawn is measured afresh, with a memory of this many longest objectives.
SPEED_MEMORY_OBJECTIVES: Final = 2.0
SPEED_GAIN_MAX: Final = 0.5
SPEED_GAIN_FIRST: Final = 0.25
SPEED_PRIOR_SAMPLES: Final = 3
# Bounds of one answer's time, and of the learned slowness, over the usual.
SLOWNESS_MAX: Final = 8.0
SLOWNESS_MIN: Final = 0.1


class OutlierDetector:
    """Judges endpoints by the outcomes of own attempts."""

    __slots__ = ("heal_sends_us", "is_full_a_fault", "latencies", "send_rate", "subsets")

    def __init__(self, settings: Settings, latencies: LatencyTracker, subsets: SubsetPlan) -> None:
        self.latencies = latencies
        self.subsets = subsets
        self.is_full_a_fault = settings.full_unproven  # it may cost the request, and be no load
        self.send_rate = DecayingRate(self.latencies.rate_memory_us, 0)
        self.heal_sends_us = 0.0  # time in which an endpoint is sent HEAL_SENDS

    def start(self, now: int) -> None:
        """The rate of sends counts from here."""
        self.send_rate = DecayingRate(self.latencies.rate_memory_us, now)

    def record_send(self, now: int) -> None:
        """An attempt was sent to some endpoint."""
        self.send_rate.add(now)

    def is_stalled(self, now: int, endpoint: Endpoint) -> bool:
        """Guards against frozen and hung endpoints: calls outstanding, no answers."""
        if not endpoint.in_flight:
            return False
        return self.latencies.is_overdue(now - endpoint.silent_since, STALL_DEVIATIONS)

    def health(self, now: int, endpoint: Endpoint, segment: int) -> float:
        """Health by now: damage heals with time, slower after repeated failures.

        Weights only count against each other in a draw, so failures that
        come from the tier behind and strike all alike eject nobody.
        """
        last = endpoint.health[segment]
        memory_us = max(HEAL_OBJECTIVES * self.latencies.longest_objective_us, self.heal_sends_us)
        memory_us *= 2.0 ** min(last.failures, HEAL_DOUBLINGS_MAX)
        return max(HEALTH_MIN, 1.0 - (1.0 - last.value) * exp((last.updated_at - now) / memory_us))

    def count_ejected(self, now: int, endpoints: Iterable[Endpoint]) -> int:
        """How many ready endpoints get next to nothing now. Changes nothing."""
        return sum([one.is_ready and self._is_ejected(now, one) for one in endpoints])

    def _is_ejected(self, now: int, endpoint: Endpoint) -> bool:
        if now < endpoint.overloaded_until or self.is_stalled(now, endpoint):
            return True
        return all([self.health(now, endpoint, n) < EJECTED_BELOW for n in range(endpoint.segment_count)])

    def record_failure(
        self, now: int, endpoint: Endpoint, outcome: int, segment: int, no_connection_left: bool = False
    ) -> None:
        """Guards against endpoints that fail fast, drain their count and so
        keep winning: a failure makes them unlikely to be drawn. Other classes
        and tenants are suspected too, but less: it may fail these alone.
        """
        if outcome == FULL and self.is_full_a_fault:
            outcome = TIMEOUT
        sends = max(self.send_rate.per_us(now), SENDS_PER_OBJECTIVE_MIN / self.latencies.longest_objective_us)
        self.heal_sends_us = HEAL_SENDS * self.subsets.endpoints_in_subsets / sends
        left = HEALTH_FACTORS[outcome]
        for other, last in enumerate(endpoint.health):
            share = left if other == segment else left**OTHER_SEGMENTS_POWER
            health = max(HEALTH_MIN, self.health(now, endpoint, other) * share)
            endpoint.health[other] = SegmentHealth(health, now, last.failures + (other == segment))
        if outcome == FULL:
            self._record_overload(now, endpoint, no_connection_left)

    def _record_overload(self, now: int, endpoint: Endpoint, no_connection_left: bool) -> None:
        usual_us = (
            self.latencies.overall.mean or OVERLOADED_FOR_OBJECTIVES * self.latencies.longest_objective_us
        )
        until = now + int(OVERLOADED_FOR_LATENCIES * usual_us)
        if no_connection_left:
            endpoint.no_new_connections_until = until
        else:
            endpoint.overloaded_until = until

    def record_success(self, now: int, endpoint: Endpoint, segment: int) -> None:
        """An answer repairs the health of its segment."""
        last = endpoint.health[segment]
        if last.value < 1.0:
            health = self.health(now, endpoint, segment)
            health += REPAIR_PER_SUCCESS * (1.0 - health)
            if health > HEALTHY_ABOVE:
                health = 1.0
            endpoint.health[segment] = SegmentHealth(health, now, last.failures / 2.0)

    def learn_speed(self, now: int, endpoint: Endpoint, class_index: int, delay_us: int) -> None:
        """Learn an endpoint's speed from an answer, against what its class usually takes."""
        ratio = delay_us / max(1.0, self.latencies.by_class[class_index].mean)
        age = (now - endpoint.slowness_at) / (SPEED_MEMORY_OBJECTIVES * self.latencies.longest_objective_us)
        endpoint.speed_samples += 1
        gain = max(
            1.0 / SAMPLES_MIN,
            1.0 / (endpoint.speed_samples + SPEED_PRIOR_SAMPLES),
            min(age, SPEED_GAIN_MAX),
        )
        if endpoint.speed_samples == 1:
            gain = SPEED_GAIN_FIRST
        step = gain * (min(ratio, SLOWNESS_MAX) - endpoint.slowness)
        endpoint.slowness = max(SLOWNESS_MIN, endpoint.slowness + step)
        endpoint.slowness_at = now
