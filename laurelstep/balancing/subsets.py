"""Subsetting: the shared ring of endpoints, and the parts of it from which one copy draws."""

from __future__ import annotations

import random
from bisect import bisect_left, insort
from itertools import pairwise
from math import ceil
from typing import Final

from laurelstep.balancing.endpoints import Endpoint, RingKey
from laurelstep.balancing.events import Settings

# Each endpoint should be in the subsets of at least this many copies, so that unequal traffic of the
# copies evens out. Determines the length of the subsets where there are many copies.
COPIES_PER_ENDPOINT_MIN: Final = 4
# Least number of endpoints in a subset: with one, there is no choice. More is no gain, because a copy
# with little traffic would get answers from each endpoint too rarely to notice a fault.
SUBSET_MIN: Final = 2
# A subset with more endpoints is sampled, which bounds the cost of a pick on the whole ring.
SAMPLE_MAX: Final = 32
# Tolerance for the rounding error of a position on the ring.
POSITION_ERROR: Final = 1e-6

# Sorted by key; keys are unique, so that two endpoints are never compared.
Ring = list[tuple[RingKey, Endpoint]]


class Subset:
    """An interval of a ring: its endpoints, each with the share of the endpoint that lies inside.

    A long interval is not copied but sampled, so that the cost of a list change does not depend on
    the length of the subset.
    """

    __slots__ = ("count", "end", "first", "members", "ring", "start")

    def __init__(self, ring: Ring, start: float, end: float) -> None:
        self.ring, self.start, self.end = ring, start, end
        self.first = int(start)
        if self.first + 1 - start <= POSITION_ERROR:
            self.first += 1
        self.count = max(0, ceil(end - POSITION_ERROR) - self.first)
        self.members = [self.member(n) for n in range(self.count if self.count <= SAMPLE_MAX else 0)]

    def member(self, number: int) -> tuple[Endpoint, float]:
        """Return the endpoint at this number along the subset, and the share of it that lies inside."""
        position = self.first + number
        return self.ring[position % len(self.ring)][1], min(self.end, position + 1) - max(
            self.start, position
        )

    def sample(self, rng: random.Random) -> list[tuple[Endpoint, float]]:
        """Return all members, or `SAMPLE_MAX` random ones where there are more."""
        if self.count <= SAMPLE_MAX:
            return self.members
        return [self.member(number) for number in rng.sample(range(self.count), SAMPLE_MAX)]

    def contains(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint lies in this interval of the ring."""
        position = bisect_left(self.ring, (endpoint.ring_key, endpoint))
        is_on_ring = position < len(self.ring) and self.ring[position][1] is endpoint
        return is_on_ring and (position - self.first) % len(self.ring) < self.count


class EndpointRing:
    """The shared order of all endpoints, of each zone's, and of those that have a cross-zone price."""

    __slots__ = ("all", "by_zone", "priced_from_zone", "remote")

    def __init__(self, settings: Settings) -> None:
        self.all: Ring = []
        self.by_zone: dict[int, Ring] = {}  # empty where there is only one zone
        self.remote: Ring = []  # endpoints outside `priced_from_zone`
        self.priced_from_zone = -1  # this copy's zone if leaving it has a price, or -1
        if settings.zones > 1:
            self.by_zone = {settings.zone: []}
            self.priced_from_zone = settings.zone if settings.cross_zone_price > 0.0 else -1

    def _rings_of(self, endpoint: Endpoint) -> list[Ring]:
        rings = [self.all]
        if self.by_zone:
            rings.append(self.by_zone.setdefault(endpoint.zone, []))
            if self.priced_from_zone >= 0 and endpoint.zone != self.priced_from_zone:
                rings.append(self.remote)
        return rings

    def add(self, endpoint: Endpoint) -> None:
        """Insert an endpoint at its position."""
        for ring in self._rings_of(endpoint):
            insort(ring, (endpoint.ring_key, endpoint))

    def remove(self, endpoint: Endpoint) -> None:
        """Remove an endpoint that is on the ring."""
        for ring in self._rings_of(endpoint):
            del ring[bisect_left(ring, (endpoint.ring_key, endpoint))]

    def copy(self, settings: Settings) -> EndpointRing:
        """Return an independent ring with the same endpoints."""
        duplicate = EndpointRing(settings)
        duplicate.all, duplicate.remote = self.all[:], self.remote[:]
        duplicate.by_zone = {zone: ring[:] for zone, ring in self.by_zone.items()}
        return duplicate


class SubsetPlan:
    """The subsets from which this copy draws, rebuilt at each change of the ring."""

    __slots__ = ("endpoints_in_subsets", "endpoints_per_copy", "local_halves", "pair", "settings")

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.pair: list[Subset] = []  # left and right
        # The two halves of the local subset, where leaving the zone has a price.
        self.local_halves: list[Subset] = []
        self.endpoints_in_subsets = 1.0
        self.endpoints_per_copy = 1.0

    def contains(self, endpoint: Endpoint) -> bool:
        """Return whether the endpoint is in one of this copy's subsets."""
        return any(subset.contains(endpoint) for subset in self.pair)

    def rebuild_subsets(self, ring: EndpointRing) -> None:
        """Compute this copy's left and right subset: intervals of the ring that start at its offset.

        Guards against copies whose ties all go to one shared left subset, and against endpoints that
        fewer copies can reach. Copies start evenly spaced and each subset is a whole number of
        spacings long, so that every point of the ring lies in the left subsets of equally many
        copies, and likewise in the right ones. An endpoint that is divided by the end of a subset is
        in it with the share that lies inside.
        """
        self.endpoints_per_copy = max(1, len(ring.all)) / self.settings.instances
        local = ring.by_zone.get(self.settings.zone, ring.all)
        if ring.remote and len(local) >= SUBSET_MIN:
            self._divide_by_zone(local, ring.remote)
        else:
            self._divide_evenly(ring.all)

    def _divide_by_zone(self, local: Ring, remote: Ring) -> None:
        zone_copies = max(1.0, self.settings.instances / self.settings.zones)
        self.pair = [self._zone_subset(local, zone_copies), self._zone_subset(remote, zone_copies)]
        start, end = self.pair[0].start, self.pair[0].end
        middle = start + ceil((end - start) / 2.0)
        self.local_halves = [Subset(local, start, middle), Subset(local, middle, end)]
        self.endpoints_in_subsets = float(sum(subset.count for subset in self.pair))

    def _divide_evenly(self, ring: Ring) -> None:
        self.local_halves = []
        size, copies = len(ring), self.settings.instances
        step = size / copies
        subset_count, start = 2, self.settings.me * step
        spacings = (
            min(copies, max(COPIES_PER_ENDPOINT_MIN, ceil(subset_count * SUBSET_MIN / step))) if size else 0
        )
        bounds = [spacings * number / subset_count for number in range(subset_count + 1)]
        if spacings >= subset_count:  # whole spacings, so that all subsets have the same length
            bounds = [float(round(bound)) for bound in bounds]
        self.pair = [
            Subset(ring, start + first * step, start + last * step) for first, last in pairwise(bounds)
        ]
        self.endpoints_in_subsets = max(1.0, spacings * step)

    def _zone_subset(self, ring: Ring, copies: float) -> Subset:
        """Return the subset of a local or remote ring that starts at this copy's offset among `copies`."""
        step = len(ring) / copies
        start = self.settings.me * step
        return Subset(
            ring, start, start + min(len(ring), max(SUBSET_MIN, COPIES_PER_ENDPOINT_MIN / 2 * step))
        )
