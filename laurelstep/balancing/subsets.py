"""Subsetting: the shared ring of endpoints and the parts of it that one copy draws from."""

from __future__ import annotations

import random
from bisect import bisect_left, insort
from itertools import pairwise
from math import ceil
from typing import Final

from laurelstep.balancing.endpoints import Endpoint, RingKey
from laurelstep.balancing.events import Settings

# Each endpoint should be drawn by at least this many copies, so that copies with unequal
# traffic even out; sets the length of the subsets where copies are many.
COPIES_PER_ENDPOINT_MIN: Final = 4
# Endpoints that a subset spans at least: one leaves no draw. More is no gain: a copy with
# little traffic would hear of each too seldom to learn of a fault.
SUBSET_MIN: Final = 2
# A longer subset is sampled first: bounds the work of a pick on the whole ring.
SAMPLE_MAX: Final = 32
# Rounding error of a position on the ring.
POSITION_ERROR: Final = 1e-6

# The key is unique, so that no two endpoints are ever compared.
Ring = list[tuple[RingKey, Endpoint]]


class Subset:
    """A stretch of a ring: its endpoints, each with the share of it that lies inside.

    A long one is not copied: it is sampled, and a change of the list costs by its own length.
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
        """The endpoint of this number along the subset, and its share inside."""
        at = self.first + number
        return self.ring[at % len(self.ring)][1], min(self.end, at + 1) - max(self.start, at)

    def sample(self, rng: random.Random) -> list[tuple[Endpoint, float]]:
        """All members, or `SAMPLE_MAX` of them drawn at random where there are more."""
        if self.count <= SAMPLE_MAX:
            return self.members
        return [self.member(number) for number in rng.sample(range(self.count), SAMPLE_MAX)]

    def contains(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint lies in this stretch of the ring."""
        at = bisect_left(self.ring, (endpoint.ring_key, endpoint))
        found = at < len(self.ring) and self.ring[at][1] is endpoint
        return found and (at - self.first) % len(self.ring) < self.count


class EndpointRing:
    """The shared order of the endpoints: all, by zone, and of the zones that cost more."""

    __slots__ = ("all", "by_zone", "priced_from_zone", "remote")

    def __init__(self, settings: Settings) -> None:
        self.all: Ring = []
        self.by_zone: dict[int, Ring] = {}  # none where there is one zone
        self.remote: Ring = []  # of other zones than `priced_from_zone`
        self.priced_from_zone = -1  # the own zone, where leaving it has a price
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
        """Put an endpoint at its place."""
        for ring in self._rings_of(endpoint):
            insort(ring, (endpoint.ring_key, endpoint))

    def remove(self, endpoint: Endpoint) -> None:
        """Take out an endpoint that stands on the ring."""
        for ring in self._rings_of(endpoint):
            del ring[bisect_left(ring, (endpoint.ring_key, endpoint))]

    def copy(self, settings: Settings) -> EndpointRing:
        """A ring of its own with the same endpoints."""
        copy = EndpointRing(settings)
        copy.all, copy.remote = self.all[:], self.remote[:]
        copy.by_zone = {zone: ring[:] for zone, ring in self.by_zone.items()}
        return copy


class SubsetPlan:
    """The subsets that this copy draws from, rebuilt whenever the ring changes."""

    __slots__ = ("endpoints_in_subsets", "endpoints_per_copy", "local_halves", "pair", "settings")

    def __init__(self, settings: Settings) -> None:
        self.settings = settings
        self.pair: list[Subset] = []  # left and right
        self.local_halves: list[Subset] = []  # of the own zone, where leaving it has a price
        self.endpoints_in_subsets = 1.0  # endpoints in the subsets
        self.endpoints_per_copy = 1.0

    def contains(self, endpoint: Endpoint) -> bool:
        """Whether the endpoint is one of this copy's subsets."""
        return any(subset.contains(endpoint) for subset in self.pair)

    def rebuild_subsets(self, ring: EndpointRing) -> None:
        """Own stretch of the shared ring from the copy's own offset; left, right.

        Guards against copies piling their ties on one shared left subset, and
        against endpoints that fewer copies can reach: copies start evenly
        spaced and each subset is a whole number of spacings long, so that
        every point of the ring lies in the left subsets of equally many
        copies, and in the right subsets too. An endpoint that an edge divides
        stands in the subset with the share that lies inside.
        """
        self.endpoints_per_copy = max(1, len(ring.all)) / self.settings.instances
        local = ring.by_zone.get(self.settings.zone, ring.all)
        if ring.remote and len(local) >= SUBSET_MIN:
            self._divide_by_zone(local, ring.remote)
        else:
            self._divide_evenly(ring.all)

    def _divide_by_zone(self, local: Ring, remote: Ring) -> None:
        zone_copies = max(1.0, self.settings.instances / self.settings.zones)
        self.pair = [self._own_stretch(local, zone_copies), self._own_stretch(remote, zone_copies)]
        start, end = self.pair[0].start, self.pair[0].end
        middle = start + ceil((end - start) / 2.0)
        self.local_halves = [Subset(local, start, middle), Subset(local, middle, end)]
        self.endpoints_in_subsets = float(sum(subset.count for subset in self.pair))

    def _divide_evenly(self, ring: Ring) -> None:
        self.local_halves = []
        size, copies = len(ring), self.settings.instances
        step = size / copies
        count, start = 2, self.settings.me * step
        depth = min(copies, max(COPIES_PER_ENDPOINT_MIN, ceil(count * SUBSET_MIN / step))) if size else 0
        parts = [depth * k / count for k in range(count + 1)]
        if depth >= count:  # whole spacings, all subsets alike
            parts = [float(round(part)) for part in parts]
        self.pair = [Subset(ring, start + a * step, start + b * step) for a, b in pairwise(parts)]
        self.endpoints_in_subsets = max(1.0, depth * step)

    def _own_stretch(self, ring: Ring, copies: float) -> Subset:
        """One subset on a part of the ring, from the copy's own offset there."""
        step = len(ring) / copies
        start = self.settings.me * step
        return Subset(
            ring, start, start + min(len(ring), max(SUBSET_MIN, COPIES_PER_ENDPOINT_MIN / 2 * step))
        )
