"""Faults of a datagram network, without I/O: sent data in, datagrams to deliver out. The seed is a parameter.

The rules:

1. A route has one direction. The fate of its n-th datagram depends only on the route's seed, n, the faults
   set and the commands before it, not on the time or on other routes.
2. Commands of the test (partition, hold, lose next, duplicate next) take precedence over random faults.
3. A partitioned route loses datagrams when they are sent; those in flight still arrive.
4. A holding route keeps at most `MAX_HELD_DATAGRAMS`, loses further ones, and releases them in the order
   sent or in reverse.
5. Each datagram counts once, as passed or as lost. The copy made by a duplication counts as duplicated.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final

MAX_HELD_DATAGRAMS: Final = 4096


@dataclass(frozen=True, slots=True)
class NetworkFaults:
    """Random faults of a route: probabilities from 0 to 1, and a range of uniformly distributed delays, µs.

    A wide range of delays reorders datagrams. `reorder_probability` is that of swapping a datagram with the
    next one, whatever their delays.
    """

    loss_probability: float = 0.0
    duplicate_probability: float = 0.0
    reorder_probability: float = 0.0
    delay_us: tuple[int, int] = (0, 0)


NO_FAULTS: Final = NetworkFaults()


@dataclass(frozen=True, slots=True)
class Datagram:
    """Data to deliver after `delay_us`."""

    delay_us: int
    data: bytes


class Route:
    """One direction between two peers, with its faults and counters."""

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng
        self.faults = NO_FAULTS
        self.is_partitioned = False
        self.is_holding = False
        self.passed_count = self.lost_count = self.duplicated_count = self.reordered_count = 0
        self.received_bytes = 0
        self._lose_next = self._duplicate_next = 0
        self._held: list[bytes] = []
        self._overtaken: bytes | None = None

    # --- Commands -------------------------------------------------------------------

    def lose_next(self, count: int = 1) -> None:
        """Lose the next `count` datagrams sent."""
        self._lose_next += count

    def duplicate_next(self, count: int = 1) -> None:
        """Deliver each of the next `count` datagrams that pass twice."""
        self._duplicate_next += count

    def hold(self) -> None:
        """Hold datagrams back until `release`."""
        self.is_holding = True

    def release(self, reverse: bool = False) -> list[Datagram]:
        """Stop holding, and return the held datagrams, last one first if `reverse`."""
        self.is_holding = False
        held, self._held = self._held, []
        self.reordered_count += len(held) - 1 if reverse and held else 0
        return [Datagram(0, data) for data in (reversed(held) if reverse else held)]

    # --- Datagrams ------------------------------------------------------------------

    def transmit(self, data: bytes) -> list[Datagram]:
        """Send a datagram; return the datagrams to deliver now, also an earlier one that it overtook."""
        loss, duplicate, reorder, *delays = (self.rng.random() for _ in range(5))
        self.received_bytes += len(data)
        if self._is_lost(loss):
            self.lost_count += 1
            return []
        self.passed_count += 1
        if self.is_holding:
            self._held.append(data)
            return []
        if self._overtaken is None and reorder < self.faults.reorder_probability:
            self.reordered_count += 1
            self._overtaken = data
            return []
        datagrams = [Datagram(self._delay(delays[0]), data)]
        if self._duplicate_next or duplicate < self.faults.duplicate_probability:
            self._duplicate_next = max(0, self._duplicate_next - 1)
            self.duplicated_count += 1
            datagrams.append(Datagram(self._delay(delays[1]), data))
        if self._overtaken is not None:
            datagrams.append(Datagram(datagrams[-1].delay_us, self._overtaken))
            self._overtaken = None
        return datagrams

    def _is_lost(self, sample: float) -> bool:
        if self._lose_next:
            self._lose_next -= 1
            return True
        is_full = self.is_holding and len(self._held) >= MAX_HELD_DATAGRAMS
        return self.is_partitioned or is_full or sample < self.faults.loss_probability

    def _delay(self, sample: float) -> int:
        min_us, max_us = self.faults.delay_us
        return min_us + int(sample * (max_us - min_us))


class RouteTable:
    """The routes between all pairs of `peer_count` peers, by sender and receiver."""

    def __init__(self, peer_count: int, seed: int) -> None:
        self.peer_count = peer_count
        self.routes = {
            (sender, receiver): Route(random.Random(f"{seed} {sender} {receiver}"))
            for sender in range(peer_count)
            for receiver in range(peer_count)
            if sender != receiver
        }

    def between(
        self, senders: Iterable[int], receivers: Iterable[int], both_ways: bool = True
    ) -> Iterator[tuple[tuple[int, int], Route]]:
        """Yield the routes from `senders` to `receivers`, and the reverse ones if `both_ways`."""
        distinct_receivers = set(receivers)
        for sender in set(senders):
            for receiver in distinct_receivers - {sender}:
                yield (sender, receiver), self.routes[sender, receiver]
                if both_ways:
                    yield (receiver, sender), self.routes[receiver, sender]

    def partition(self, senders: Iterable[int], receivers: Iterable[int], both_ways: bool = True) -> None:
        """Lose all datagrams from `senders` to `receivers`, and the reverse ones if `both_ways`."""
        for _, route in self.between(senders, receivers, both_ways):
            route.is_partitioned = True

    def heal_partition(
        self, group: Iterable[int] | None = None, other_group: Iterable[int] | None = None
    ) -> None:
        """End the partitions between two groups of peers; None stands for all peers."""
        all_peers = range(self.peer_count)
        senders = all_peers if group is None else group
        receivers = all_peers if other_group is None else other_group
        for _, route in self.between(senders, receivers):
            route.is_partitioned = False

    def set_faults(self, faults: NetworkFaults) -> None:
        """Set the random faults of every route; commands of the test stay in force."""
        for route in self.routes.values():
            route.faults = faults
