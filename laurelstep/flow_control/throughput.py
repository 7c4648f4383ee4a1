"""The minimum throughput of a body, and how long an incomplete answer is waited for. Does no I/O; times are
passed in, in s.

Rules of this module:

1. The transfer of a body may continue as long as bytes keep arriving and their mean rate since the end of the
   head is at least `MIN_RATE_BYTES_PER_S`. The first `GRACE_S` do not count.
2. An answer whose length is not known is buffered for a short time only, as it may be a large one, of which
   the first bytes must reach the client in time.
3. A sound answer is never cut off. One that is silent is waited for as long as its request's time allows;
   where there may be another attempt, what has come of it is passed on after half of that time.
4. Only where nothing can be passed on, half of the time is left to another attempt.
"""

from __future__ import annotations

from typing import Final

# Clients may send at 64 kB/s; half of that allows for pauses and for bytes in transit.
MIN_RATE_BYTES_PER_S: Final = 32_000.0
GRACE_S: Final = 2.2
# The share of a request's remaining time for which a silent answer is waited for if there may be another
# attempt.
SILENCE_SHARE: Final = 0.5
# No part of an answer is held back for longer: its client would take it for stalled.
MAX_HOLD_S: Final = 1.5


def has_min_throughput(received: int, elapsed_s: float) -> bool:
    """Whether a body may continue of which `received` bytes arrived in the `elapsed_s` since its head."""
    return elapsed_s <= GRACE_S or received >= MIN_RATE_BYTES_PER_S * (elapsed_s - GRACE_S)


def silence_limit_s(left_s: float, may_retry: bool) -> float:
    """How long an answer that was begun may be silent, in s. `left_s`: the time left to its request when the
    silence began. `may_retry`: whether there may be another attempt.
    """
    return left_s * SILENCE_SHARE if may_retry else left_s


def hold_limit_s(left_s: float, may_retry: bool) -> float:
    """How long a silent answer is held back, in s, before what there is of it is passed on. Another attempt
    may give a whole answer meanwhile. The arguments are those of `silence_limit_s`.
    """
    return min(MAX_HOLD_S, left_s * SILENCE_SHARE) if may_retry else 0.0
