"""The descriptor budget of a process: limits of connections, and the order of eviction. Does no I/O.

Rules of this module:

1. The limits add up to the number of sockets that the platform allows. Descriptors for the start, the
   discovery watch and the operator are reserved first; clients and endpoints share the rest.
2. Clients and endpoints get equal shares, because each request needs one connection on either side. Many
   connections on one side leave the share of the other untouched.
3. During a hot restart two processes act as one sidecar. Each has half of the sockets, from the offer of the
   restart until one of them has ended.
4. When a limit is reached, the connection that has waited longest is evicted: first those that were told to
   close, then idle ones, then those whose request has not arrived completely. These may displace idle ones
   from a third of the places at most. A connection with a request in progress is never evicted.
"""

from __future__ import annotations

from typing import Final

DEFAULT_SOCKETS: Final = 1024
MAX_SOCKETS: Final = 1024  # one process on one core can't make use of more
# For the listener, the discovery watch and its successor, the event loop, standard streams and a hot restart.
RESERVED_DESCRIPTORS: Final = 24
# For the management address, if there is one: many clients must not shut out the operator.
RESERVED_FOR_MANAGEMENT: Final = 16
# The least number of connections of clients, and of endpoints, whatever the settings say.
MIN_CONNECTIONS_PER_SIDE: Final = 8
# Connections whose request has not arrived may displace idle ones from 1/3 of the places of clients.
AWAITING_SHARE_DIVISOR: Final = 3

# States of a client's connection that waits for the client. Plain integers, because the module is compiled.
CLOSING: Final = 0  # the client was told to close it, and has not
IDLE: Final = 1  # between two requests
AWAITING_REQUEST: Final = 2  # no request has arrived, or only a part of one


def connections_per_side(sockets: int, has_management: bool, processes: int = 1) -> int:
    """How many connections clients may hold in one process, and endpoints likewise.

    `sockets`: the platform's limit for all `processes` that share it. `has_management`: whether there is a
    management address.
    """
    reserved = RESERVED_DESCRIPTORS + (RESERVED_FOR_MANAGEMENT if has_management else 0)
    return max(2 * MIN_CONNECTIONS_PER_SIDE, min(sockets, MAX_SOCKETS) // processes - reserved) // 2


def eviction_order(awaiting_request: int, limit: int) -> tuple[int, ...]:
    """The states in the order of eviction; within a state the connection that has waited longest goes first.

    `awaiting_request`: how many of the `limit` places are held by connections in that state.
    """
    if awaiting_request > limit // AWAITING_SHARE_DIVISOR:
        return (CLOSING, AWAITING_REQUEST, IDLE)
    return (CLOSING, IDLE, AWAITING_REQUEST)
