"""Latency estimation: running means, event rates, and when an answer counts as overdue."""

from __future__ import annotations

from collections.abc import Sequence
from math import exp
from typing import Final

from laurelstep.balancing.events import RequestClass

# Gain of the running mean and deviation, which are computed as in TCP's retransmission timer.
LATENCY_GAIN: Final = 0.05
# With fewer samples, which are mostly chance, the longest objective is used instead.
SAMPLES_MIN: Final = 16
# An endpoint with attempts in flight that gave no answer for the mean latency plus this many
# deviations counts as stalled.
STALL_DEVIATIONS: Final = 4.0
# An attempt outstanding for the mean plus this many deviations counts as lost. The number is higher
# than for a stall, because heavy work alone must not cause new connections.
LOST_DEVIATIONS: Final = 6.0
# Time constant of the copy's own rates, in longest objectives: long enough to average, short enough to
# follow a ramp.
RATE_MEMORY_OBJECTIVES: Final = 1.0
# Least part of its time constant from which a rate is extrapolated: less would be mostly chance.
RATE_MEMORY_SEEN_MIN: Final = 0.02


class LatencyEstimator:
    """Running mean and mean deviation of the latency of served attempts, in µs."""

    __slots__ = ("deviation", "mean", "samples")

    def __init__(self) -> None:
        self.mean = self.deviation = 0.0
        self.samples = 0

    def add(self, sample_us: float) -> None:
        """Add one sample, in µs."""
        self.samples += 1
        gain = max(LATENCY_GAIN, 1.0 / self.samples)
        deviation_us = sample_us - self.mean
        self.mean += gain * deviation_us
        if self.samples > 1:
            self.deviation += gain * (abs(deviation_us) - self.deviation)

    def upper_bound(self, deviations: float) -> float:
        """Return the mean plus this many deviations, in µs."""
        return self.mean + deviations * self.deviation


class DecayingRate:
    """Rate of events in events per µs, with exponential decay; unbiased from the start."""

    __slots__ = ("decayed_sum", "memory_us", "started_at", "updated_at")

    def __init__(self, memory_us: float, now: int) -> None:
        self.memory_us = memory_us
        self.decayed_sum = 0.0
        self.updated_at = self.started_at = now

    def add(self, now: int, amount: float = 1.0) -> None:
        """Count an event, or a fraction of one."""
        if now > self.updated_at:
            self.decayed_sum *= exp((self.updated_at - now) / self.memory_us)
            self.updated_at = now
        self.decayed_sum += amount

    def per_us(self, now: int) -> float:
        """Return the present rate, in events per µs."""
        memory_part_seen = max(RATE_MEMORY_SEEN_MIN, 1.0 - exp((self.started_at - now) / self.memory_us))
        return (
            self.decayed_sum
            * exp((self.updated_at - now) / self.memory_us)
            / (self.memory_us * memory_part_seen)
        )


class LatencyTracker:
    """Latencies of served attempts, by class and overall, and the longest latency objective."""

    __slots__ = ("by_class", "longest_objective_us", "overall", "rate_memory_us")

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.by_class = [LatencyEstimator() for _ in classes]
        self.overall = LatencyEstimator()
        self.longest_objective_us = max(cls.aim_us for cls in classes)
        self.rate_memory_us = RATE_MEMORY_OBJECTIVES * self.longest_objective_us

    def record(self, class_index: int, latency_us: int) -> None:
        """Record the latency of one served attempt."""
        self.by_class[class_index].add(latency_us)
        self.overall.add(latency_us)

    def is_known(self) -> bool:
        """Return whether there are enough samples to call another attempt overdue."""
        return self.overall.samples >= SAMPLES_MIN

    def is_overdue(self, waited_us: int, deviations: float) -> bool:
        """Return whether this wait exceeds the mean plus this many deviations.

        Without enough samples, the wait is compared with the longest objective.
        """
        if self.is_known():
            return waited_us > self.overall.upper_bound(deviations)
        return waited_us > self.longest_objective_us
