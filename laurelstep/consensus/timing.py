"""Durations of the protocol, and the bounds that depend on them."""

from __future__ import annotations

import dataclasses
from typing import Final

__all__ = ["NEVER_US", "ConsensusTiming"]

# A time that never comes, in µs.
NEVER_US: Final = 1 << 62


@dataclasses.dataclass(frozen=True, slots=True)
class ConsensusTiming:
    """Durations in µs, the bound on clock drift, and the bound on the log. The same in all replicas."""

    heartbeat_us: int = 200_000
    # A follower waits for a leader between once and twice this.
    election_timeout_us: int = 600_000
    # An idle learner polls this often, and is remembered for three times as long.
    learner_poll_us: int = 5_000_000
    # A voter without a leader for this long probes for a bootstrap; a bootstrap takes at most this long.
    bootstrap_timeout_us: int = 2_400_000
    lease_us: int = 10_000_000
    # The most by which any clock runs faster or slower than true time, as a fraction.
    max_clock_drift: float = 0.01
    # Applied entries in the log before a snapshot; a quarter stays for replicas that are a little behind.
    max_log_entries: int = 512
