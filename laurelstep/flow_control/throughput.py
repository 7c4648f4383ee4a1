"""The minimum throughput of a body. Pure; time is passed in, in s.

A body goes on as long as bytes keep coming and their mean rate is not under `MIN_RATE_BYTES_PER_S`, counted
from the end of the head, with `GRACE_S` to begin.
"""

from __future__ import annotations

from typing import Final

# Bytes a second. Clients may send 64 kB/s: half of that allows for pauses and for what is on its way.
MIN_RATE_BYTES_PER_S: Final = 32_000.0
GRACE_S: Final = 2.2


def has_min_throughput(received: int, elapsed_s: float) -> bool:
    """Whether a body of which so many bytes came in that time may go on."""
    return elapsed_s <= GRACE_S or received >= MIN_RATE_BYTES_PER_S * (elapsed_s - GRACE_S)
