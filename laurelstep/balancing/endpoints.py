"""The state that a copy keeps of each endpoint, and the endpoint's position on the shared ring."""

from __future__ import annotations

from typing import Final

from laurelstep.balancing.events import Entry

# Mask of a 64-bit part of a ring key.
KEY_MASK: Final = 0xFFFFFFFFFFFFFFFF

RingKey = tuple[int, int, int]


def mix(value: int) -> int:
    """Hash a number to 64 bits (splitmix64), with the same result in every copy."""
    value = (value + 0x9E3779B97F4A7C15) & KEY_MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & KEY_MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & KEY_MASK
    return value ^ (value >> 31)


def ring_key(cell: int, endpoint: int) -> RingKey:
    """Return an endpoint's position on the shared ring.

    The endpoints of a cell are neighbours, so that a retry bound to a cell finds warm connections.
    Cell and id are hashed, because their numbers may have an order that is not random.
    """
    return mix(cell), mix(endpoint), endpoint


class SegmentHealth:
    """Health of an endpoint for one segment (class and tenant) at its last update; immutable.

    All segments without a failure share `HEALTHY`, so that an endpoint takes little memory however
    many classes and tenants there are.
    """

    __slots__ = ("failures", "updated_at", "value")

    def __init__(self, value: float, updated_at: int, failures: float) -> None:
        self.value = value  # 1 is healthy; never 0
        self.updated_at = updated_at
        self.failures = failures  # consecutive failures; an answer halves the number


HEALTHY: Final = SegmentHealth(1.0, 0, 0.0)


class Endpoint:
    """The state that this copy keeps of one endpoint."""

    __slots__ = (
        "cell",
        "health",
        "id",
        "idle_since",
        "in_flight",
        "is_ready",
        "is_staged",
        "latest_answered_sent_at",
        "no_new_connections_until",
        "overloaded_until",
        "rating",
        "reported_at",
        "reported_queued",
        "ring_key",
        "segment_count",
        "silent_since",
        "slow_start_budget",
        "slow_start_budget_at",
        "slowness",
        "slowness_at",
        "speed_samples",
        "started_at",
        "zone",
    )

    def __init__(self, entry: Entry, segment_count: int) -> None:
        self.id = entry.endpoint
        self.segment_count = segment_count  # classes times tenants
        self.relocate(entry)
        self.started_at = entry.boot
        self.rating = entry.rating
        self.is_ready = False
        self.in_flight = 0  # attempts without an outcome whose request body is complete
        self.silent_since = 0  # time of its last outcome, or of a later send while nothing was in flight
        self.slow_start_budget, self.slow_start_budget_at = 0.0, 0
        self.is_staged = False  # added by a list of which parts are still missing
        self.reset_observations()

    def relocate(self, entry: Entry) -> None:
        """Set the cell and zone, and thus the position on the ring, from a list entry."""
        self.ring_key = ring_key(entry.cell, entry.endpoint)
        self.cell, self.zone = entry.cell, entry.zone

    def reset_observations(self) -> None:
        """Forget everything that was observed of the endpoint's former process."""
        self.slowness = 1.0  # ratio of its latency to the mean latency of its classes
        self.slowness_at = self.speed_samples = 0
        self.latest_answered_sent_at = 0  # latest send time of an attempt that it has answered
        self.idle_since: list[int] = []  # since when each idle connection is idle; last used last
        self.overloaded_until = 0  # it was full: nothing is sent to it before this time
        self.no_new_connections_until = 0  # it rejected a new connection: only idle ones are used
        self.reported_queued, self.reported_at = 0.0, 0  # from its last load report
        self.health = [HEALTHY] * self.segment_count
