"""The minimum throughput of a body. Does no I/O; times are passed in, in s.

The transfer of a body may continue as long as bytes keep arriving and their mean rate since the end of the
head is at least `MIN_RATE_BYTES_PER_S`. The first `GRACE_S` do not count.
"""

from __future__ import annotations

from typing import Final

# Clients may send at 64 kB/s; half of that allows for pauses and for bytes in transit.
MIN_RATE_BYTES_PER_S: Final = 32_000.0
GRACE_S: Final = 2.2


def has_min_throughput(received: int, elapsed_s: float) -> bool:
    """Whether a body may continue of which `received` bytes arrived in the `elapsed_s` since its head."""
    return elapsed_s <= GRACE_S or received >= MIN_RATE_BYTES_PER_S * (elapsed_s - GRACE_S)
