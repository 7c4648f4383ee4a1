"""Locality-aware routing: the share of a copy's traffic that may leave its own zone."""

from __future__ import annotations

from math import exp
from typing import Final

from laurelstep.balancing.latency import LATENCY_GAIN, SAMPLES_MIN, LatencyEstimator

# The share of draws that may leave the zone rises with each answer of the local zone whose latency
# exceeds SPILLOVER_TOLERANCE times the reference: the unloaded latency of the local zone or, if larger,
# the latency of the other zones. It rises by SPILLOVER_GAIN times the excess of that ratio, which counts
# as SPILLOVER_RATIO_MAX at most. The share changes over some hundred answers: one that followed the
# latest latencies would make all copies of a zone leave together and return together.
SPILLOVER_TOLERANCE: Final = 1.1
SPILLOVER_GAIN: Final = 0.01
SPILLOVER_RATIO_MAX: Final = 4.0
# Time constant of the latencies of both sides, in longest objectives. A high latency must fade, or
# traffic would never return.
SPILLOVER_MEMORY_OBJECTIVES: Final = 2.0
# Growth per answer of the local zone's unloaded latency, in gains of the mean. It is slow, so that a
# long queue is not soon taken for the unloaded state, while a changed service is adopted in time.
SPILLOVER_UNLOADED_GROWTH: Final = 0.01


class ZoneSpillover:
    """Controls how much of a copy's traffic may leave its zone, where crossing zones has a price.

    Guards against paying the price on each tie, and against a zone that is overloaded while others
    have capacity. A share of `remote_share` of the picks draws from the local and the remote subset,
    the others from two halves of the local one.
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
        self.unloaded_local_us = 0.0  # least mean latency of the local zone, in µs
        self.last_local_at = self.last_remote_at = 0  # times of the last answers
        self.memory_us = SPILLOVER_MEMORY_OBJECTIVES * longest_objective_us
        self.remote_share = 1.0

    def record(self, now: int, is_local: bool, took_us: float) -> None:
        """Record the latency of an attempt, in µs; for a failed one, at least its objective.

        The first `SAMPLES_MIN` local answers lower the share from 1 to 0; later answers adjust it.
        """
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
            mean_us = self.local.mean
            growth = 1.0 + SPILLOVER_UNLOADED_GROWTH * LATENCY_GAIN
            self.unloaded_local_us = (
                min(self.unloaded_local_us * growth, mean_us) if self.unloaded_local_us else mean_us
            )
        else:
            took_us = self._faded(now, self.local.mean, self.last_local_at)
        self._adjust(now, is_local, took_us)

    def _adjust(self, now: int, is_local: bool, took_us: float) -> None:
        reference_us = max(
            1.0, self.unloaded_local_us, self._faded(now, self.remote.mean, self.last_remote_at)
        )
        excess_ratio = min(took_us / reference_us, SPILLOVER_RATIO_MAX) - SPILLOVER_TOLERANCE
        # A remote answer counts with the faded latency of the local zone and can only lower the share.
        # Guards against never returning to the local zone: without local attempts, there are no local
        # answers.
        if is_local or excess_ratio < 0.0:
            self.remote_share = min(1.0, max(0.0, self.remote_share + SPILLOVER_GAIN * excess_ratio))

    def _faded(self, now: int, took_us: float, last_answer_at: int) -> float:
        """Return the mean latency of a side; without new answers it fades to the unloaded one."""
        return (
            self.unloaded_local_us
            + (took_us - self.unloaded_local_us) * exp((last_answer_at - now) / self.memory_us)
            if self.unloaded_local_us
            else took_us
        )
