"""The descriptor budget of a process: who may hold how many, and who is evicted. Pure.

Rules that everything here serves:

1. The shares add up to what the platform allows; what a start, the watch and staff need is
   reserved before clients and endpoints get anything.
2. Clients and endpoints have equal shares: a request that was taken needs one of each. A
   crowd of the one leaves the other its own.
3. Two processes that are one sidecar have half of it all each, from the offer of a hot restart
   until one of them has ended.
4. For want of a place the connection that waits longest is evicted: first those that were told their
   end, then idle ones, then those that owe a request. Of these, silent or half-written, a third
   of the places at most is taken from idle ones. A request that was taken is never evicted.
"""

from __future__ import annotations

from typing import Final

DEFAULT_SOCKETS: Final = 1024
MAX_SOCKETS: Final = 1024  # more are of no use to one process of one core
# The listener, the watch and one that follows it, the loop, standard streams, a hot restart.
RESERVED_DESCRIPTORS: Final = 24
# Reserved for the second address, where there is one: a crowd of clients must not shut it out.
RESERVED_FOR_MANAGEMENT: Final = 16
# A side has so many at least, whatever the settings say.
MIN_CONNECTIONS_PER_SIDE: Final = 8
# Part of the clients' places that those which owe a request may hold at the cost of idle ones.
AWAITING_PART: Final = 3

# What a client's connection waits for. Plain integers: the module is compiled.
CLOSING: Final = 0  # it was told its end, and has not closed
IDLE: Final = 1  # between requests
AWAITING_REQUEST: Final = 2  # a request is owed: nothing came, or not all of it


def connections_per_side(sockets: int, has_management: bool, processes: int = 1) -> int:
    """Connections that clients, and endpoints, may each hold in one of so many processes.

    `sockets` is the platform's limit for all of them; `has_management` tells of a second address.
    """
    reserved = RESERVED_DESCRIPTORS + (RESERVED_FOR_MANAGEMENT if has_management else 0)
    return max(2 * MIN_CONNECTIONS_PER_SIDE, min(sockets, MAX_SOCKETS) // processes - reserved) // 2


def eviction_order(awaiting_request: int, limit: int) -> tuple[int, ...]:
    """The states whose longest waiting connection is evicted first, second and third.

    `awaiting_request` connections of `limit` places owe a request.
    """
    if awaiting_request > limit // AWAITING_PART:
        return (CLOSING, AWAITING_REQUEST, IDLE)
    return (CLOSING, IDLE, AWAITING_REQUEST)
