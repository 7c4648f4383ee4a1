"""One owner of a process's descriptors: who may hold how many, and who gives way. Pure.

Rules that everything here serves:

1. The shares add up to what the platform allows; what a start, the watch and staff need is
   set apart before callers and endpoints get anything.
2. Callers and endpoints have equal shares: a request that was taken needs one of each. A
   crowd of the one leaves the other its own.
3. Two processes that are one sidecar have half of it all each, from the offer of a handover
   until one of them has ended.
4. For want of a place the one that waits longest gives way: those that were told their end,
   then those at rest, then those that owe a request. Of these, silent or half-written, a third
   of the places at most is taken from those at rest. A request that was taken never gives way.
"""

from __future__ import annotations

from typing import Final

SOCKETS_DEFAULT: Final = 1024
SOCKETS_MOST: Final = 1024  # more are of no use to one process of one core
# The listener, the watch and one that follows it, the loop, standard streams, a handover.
APART: Final = 24
# Kept for the second address, where there is one: a crowd of callers must not shut it out.
MANAGEMENT: Final = 16
# A side has so many at least, whatever is said.
SIDE_LEAST: Final = 8
# Part of the callers' places that those may hold at the cost of others which owe a request.
OWED_PART: Final = 3

# What a caller's connection waits for.
ENDED: Final = 0  # it was told its end, and has not closed
RESTING: Final = 1  # between requests
OWED: Final = 2  # a request is owed: nothing came, or not all of it


def side_share(sockets: int, managed: bool, processes: int = 1) -> int:
    """Connections that each side may hold in one of so many processes."""
    apart = APART + (MANAGEMENT if managed else 0)
    return max(2 * SIDE_LEAST, min(sockets, SOCKETS_MOST) // processes - apart) // 2


def giving_way(owed: int, most: int) -> tuple[int, ...]:
    """Whose longest waiting connection is ended first, second and third, of `most` places
    with so many that owe a request."""
    if owed > most // OWED_PART:
        return (ENDED, OWED, RESTING)
    return (ENDED, RESTING, OWED)
