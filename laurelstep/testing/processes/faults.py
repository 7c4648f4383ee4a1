"""Faults of a datagram network. Pure: bytes in, datagrams to deliver out; the seed is passed in.

The rules:

1. A route has one direction. What happens to its n-th datagram follows from the route's seed, n, the
   faults that are set and the commands before it, never from the time or from another route.
2. Commands of the test (partition, hold, lose and duplicate the next ones) take precedence over faults
   that are drawn.
3. A partitioned route loses what is sent; a datagram in flight still arrives.
4. A route that holds keeps at most `MAX_HELD_DATAGRAMS`, loses further ones, and releases them in their
   order or reversed.
5. Each datagram counts once, as passed or as lost. A copy counts as duplicated.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Final

MAX_HELD_DATAGRAMS: Final = 4096


@dataclass(frozen=True, slots=True)
class NetworkFaults:
    """What a route does to datagrams: probabilities from 0 to 1, and a delay drawn evenly from a range, µs.

    A wide range reorders datagrams by time. `reorder_probability` lets the next datagram go first
    whatever its delay.
    """

    loss_probability: float = 0.0
    duplicate_probability: float = 0.0
    reorder_probability: float = 0.0
    delay_us: tuple[int, int] = (0, 0)


NO_FAULTS: Final = NetworkFaults()


@dataclass(frozen=True, slots=True)
class Datagram:
    """Bytes to deliver after `delay_us`."""

    delay_us: int
    data: bytes


class Route:
    """One direction between two peers, with its faults and counts."""

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
        """Lose this many of the datagrams that are sent next."""
        self._lose_next += count

    def duplicate_next(self, count: int = 1) -> None:
        """Deliver this many of the datagrams that pass next twice."""
        self._duplicate_next += count

    def hold(self) -> None:
        """Keep what is sent until `release`."""
        self.is_holding = True

    def release(self, reverse: bool = False) -> list[Datagram]:
        """Stop holding; the datagrams that were held, the last one first if `reverse`."""
        self.is_holding = False
        held, self._held = self._held, []
        self.reordered_count += len(held) - 1 if reverse and held else 0
        return [Datagram(0, data) for data in (reversed(held) if reverse else held)]

    # --- Datagrams ------------------------------------------------------------------

    def carry(self, data: bytes) -> list[Datagram]:
        """The datagrams to deliver because this one was sent, an overtaken one among them."""
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

    def _is_lost(self, drawn: float) -> bool:
        if self._lose_next:
            self._lose_next -= 1
            return True
        is_full = self.is_holding and len(self._held) >= MAX_HELD_DATAGRAMS
        return self.is_partitioned or is_full or drawn < self.faults.loss_probability

    def _delay(self, drawn: float) -> int:
        least, most = self.faults.delay_us
        return least + int(drawn * (most - least))


class RouteTable:
    """The routes between all pairs of `peer_count` peers, by sender and receiver."""

    def __init__(self, peer_count: int, seed: int) -> None:
        self.peer_count = peer_count
        self.routes = {
            (one, other): Route(random.Random(f"{seed} {one} {other}"))
            for one in range(peer_count)
            for other in range(peer_count)
            if one != other
        }

    def between(
        self, some: Iterable[int], others: Iterable[int], both_ways: bool = True
    ) -> Iterator[tuple[tuple[int, int], Route]]:
        """The routes from `some` peers to `others`, and back if `both_ways`."""
        far_side = set(others)
        for one in set(some):
            for other in far_side - {one}:
                yield (one, other), self.routes[one, other]
                if both_ways:
                    yield (other, one), self.routes[other, one]

    def partition(self, some: Iterable[int], others: Iterable[int], both_ways: bool = True) -> None:
        """Lose all that `some` peers send to `others`, and the reverse if `both_ways`."""
        for _, route in self.between(some, others, both_ways):
            route.is_partitioned = True

    def heal_partition(self, some: Iterable[int] | None = None, others: Iterable[int] | None = None) -> None:
        """End partitions: all, or those between these two groups."""
        everyone = range(self.peer_count)
        one_side = everyone if some is None else some
        other_side = everyone if others is None else others
        for _, route in self.between(one_side, other_side):
            route.is_partitioned = False

    def set_faults(self, faults: NetworkFaults) -> None:
        """Set the drawn faults of every route; commands of the test stay."""
        for route in self.routes.values():
            route.faults = faults
