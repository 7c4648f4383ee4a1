"""Durations and limits of the protocol that are the same in all replicas of a tier."""

from __future__ import annotations

import dataclasses
from typing import Final

__all__ = ["NEVER_US", "ConsensusTiming"]

# A due time that is never reached, in µs: no timer is set.
NEVER_US: Final = 1 << 62


@dataclasses.dataclass(frozen=True, slots=True)
class ConsensusTiming:
    """Durations in µs, and the limits on clock drift and log length. The same in all replicas."""

    heartbeat_us: int = 200_000
    # A follower waits for a leader for a random time between once and twice this duration.
    election_timeout_us: int = 600_000
    # The interval at which an idle learner polls. A voter forgets a learner after three intervals.
    learner_poll_us: int = 5_000_000
    # A voter without a leader for this long probes for a bootstrap; a bootstrap takes at most this long.
    bootstrap_timeout_us: int = 2_400_000
    lease_us: int = 10_000_000
    # The largest relative error of any clock's rate, as a fraction.
    max_clock_drift: float = 0.01
    # A snapshot is taken after this many applied entries; a quarter of them stays for replicas slightly
    # behind.
    max_log_entries: int = 512
