"""What answers take: running means, the rate of events, and what counts as overdue."""

from __future__ import annotations

from collections.abc import Sequence
from math import exp
from typing import Final

from laurelstep.balancing.events import RequestClass

# Gain of the running mean and deviation, as in TCP's retransmission timer.
LATENCY_GAIN: Final = 0.05
# Fewer samples than this are mostly chance; the longest objective is used instead.
SAMPLES_MIN: Final = 16
# An endpoint that owes answers and gave none for the mean plus this many deviations counts as
# frozen.
STALL_DEVIATIONS: Final = 4.0
# An attempt out for so many deviations past the mean looks lost: more than for a stall, as
# heavy work alone must not cost new connections.
LOST_DEVIATIONS: Final = 6.0
# Memory of the copy's own rates, in longest objectives: long enough to average, short enough to
# follow a ramp.
RATE_MEMORY_OBJECTIVES: Final = 1.0
# A rate is not extrapolated from less than this part of its memory: that would be chance.
RATE_MEMORY_SEEN_MIN: Final = 0.02


class LatencyEstimator:
    """Running mean and mean deviation of served attempts, in µs."""

    __slots__ = ("deviation", "mean", "samples")

    def __init__(self) -> None:
        self.mean = self.deviation = 0.0
        self.samples = 0

    def add(self, value: float) -> None:
        """Take one sample, in µs."""
        self.samples += 1
        gain = max(LATENCY_GAIN, 1.0 / self.samples)
        error = value - self.mean
        self.mean += gain * error
        if self.samples > 1:
            self.deviation += gain * (abs(error) - self.deviation)

    def upper_bound(self, deviations: float) -> float:
        """The mean and so many deviations, in µs."""
        return self.mean + deviations * self.deviation


class DecayingRate:
    """Events per µs with exponential forgetting, unbiased from the start."""

    __slots__ = ("decayed_sum", "memory_us", "started_at", "updated_at")

    def __init__(self, memory_us: float, now: int) -> None:
        self.memory_us = memory_us
        self.decayed_sum = 0.0
        self.updated_at = self.started_at = now

    def add(self, now: int, amount: float = 1.0) -> None:
        """Count an event, or a part of one."""
        if now > self.updated_at:
            self.decayed_sum *= exp((self.updated_at - now) / self.memory_us)
            self.updated_at = now
        self.decayed_sum += amount

    def per_us(self, now: int) -> float:
        """The present rate, in events per µs."""
        seen = max(RATE_MEMORY_SEEN_MIN, 1.0 - exp((self.started_at - now) / self.memory_us))
        return self.decayed_sum * exp((self.updated_at - now) / self.memory_us) / (self.memory_us * seen)


class LatencyTracker:
    """What answers take, by class and over all, and the longest latency objective."""

    __slots__ = ("by_class", "longest_objective_us", "overall", "rate_memory_us")

    def __init__(self, classes: Sequence[RequestClass]) -> None:
        self.by_class = [LatencyEstimator() for _ in classes]
        self.overall = LatencyEstimator()
        self.longest_objective_us = max(cls.aim_us for cls in classes)
        self.rate_memory_us = RATE_MEMORY_OBJECTIVES * self.longest_objective_us

    def record(self, class_index: int, delay_us: int) -> None:
        """Take how long one served attempt took."""
        self.by_class[class_index].add(delay_us)
        self.overall.add(delay_us)

    def is_known(self) -> bool:
        """Whether enough answers came to judge others by."""
        return self.overall.samples >= SAMPLES_MIN

    def is_overdue(self, waited_us: int, deviations: float) -> bool:
        """Whether this is too long for the work and the queues that are now usual."""
        if self.is_known():
            return waited_us > self.overall.upper_bound(deviations)
        return waited_us > self.longest_objective_us
