"""Locality-aware routing: how much of a copy's traffic may leave its own zone."""

from __future__ import annotations

from math import exp
from typing import Final

from laurelstep.balancing.latency import LATENCY_GAIN, SAMPLES_MIN, LatencyEstimator

# The share of the draws that may leave the zone rises with each answer of the own zone that
# takes more than this multiple of what is usual there, or of what other zones take if that is
# more, by so much for each time over; one answer counts as so many times at most. It evens out
# over some hundred answers: a share that jumps with the latest times has all copies of a zone
# leave together and come back together.
SPILLOVER_TOLERANCE: Final = 1.1
SPILLOVER_GAIN: Final = 0.01
SPILLOVER_RATIO_MAX: Final = 4.0
# Memory of what either side takes, in longest objectives: bad news must fade, or nobody returns.
SPILLOVER_MEMORY_OBJECTIVES: Final = 2.0
# Rise per answer, in gains of the mean, of what the own zone is taken to take unloaded: slow, so
# that a long queue does not soon pass for usual, but a changed service does in time.
SPILLOVER_UNLOADED_GROWTH: Final = 0.01


class ZoneSpillover:
    """How much of a copy's work may leave its zone, where crossing zones has a price.

    Guards against paying for each tie, and against a zone left to choke on more than
    its own endpoints can do: `share` of the draws are from both sides, the others from
    two halves of the own zone.
    """

    __slots__ = (
        "last_local_at",
        "last_remote_at",
        "local",
        "memory_us",
        "remote",
        "remote_share",
        "unloaded_local_us",
    )

    def __init__(self, longest_objective_us: float) -> None:
        self.local, self.remote = LatencyEstimator(), LatencyEstimator()
        self.unloaded_local_us = 0.0  # the least that the own zone took, µs
        self.last_local_at = self.last_remote_at = 0  # of the last answer of each
        self.memory_us = SPILLOVER_MEMORY_OBJECTIVES * longest_objective_us
        self.remote_share = 1.0

    def record(self, now: int, is_local: bool, took_us: float) -> None:
        """How long an attempt took, in µs; one that failed took its objective at least."""
        if is_local:
            self.local.add(took_us)
            self.last_local_at = now
        else:
            self.remote.mean = self._faded(now, self.remote.mean, self.last_remote_at)
            self.last_remote_at = now
            self.remote.add(took_us)
        if self.local.samples <= SAMPLES_MIN:
            self.remote_share -= is_local / SAMPLES_MIN
            return
        if is_local:
            mean = self.local.mean
            rise = 1.0 + SPILLOVER_UNLOADED_GROWTH * LATENCY_GAIN
            self.unloaded_local_us = (
                min(self.unloaded_local_us * rise, mean) if self.unloaded_local_us else mean
            )
        else:
            took_us = self._faded(now, self.local.mean, self.last_local_at)
        self._adjust(now, is_local, took_us)

    def _adjust(self, now: int, is_local: bool, took_us: float) -> None:
        usual = max(1.0, self.unloaded_local_us, self._faded(now, self.remote.mean, self.last_remote_at))
        over = min(took_us / usual, SPILLOVER_RATIO_MAX) - SPILLOVER_TOLERANCE
        if is_local or over < 0.0:  # Guards against staying away for good: nothing sent, nothing heard
            self.remote_share = min(1.0, max(0.0, self.remote_share + SPILLOVER_GAIN * over))

    def _faded(self, now: int, took_us: float, at: int) -> float:
        """The last latency of a side; without new answers it fades to the usual one."""
        return (
            self.unloaded_local_us + (took_us - self.unloaded_local_us) * exp((at - now) / self.memory_us)
            if self.unloaded_local_us
            else took_us
        )
