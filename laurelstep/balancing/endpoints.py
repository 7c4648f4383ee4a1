"""What a copy knows of one endpoint, and the endpoint's place on the shared ring."""

from __future__ import annotations

from typing import Final

from laurelstep.balancing.events import Entry

# All bits of a part of the ring's keys.
KEY_MASK: Final = 0xFFFFFFFFFFFFFFFF

RingKey = tuple[int, int, int]


def mix(value: int) -> int:
    """A fixed 64-bit mixing (splitmix64), the same in every copy."""
    value = (value + 0x9E3779B97F4A7C15) & KEY_MASK
    value = ((value ^ (value >> 30)) * 0xBF58476D1CE4E5B9) & KEY_MASK
    value = ((value ^ (value >> 27)) * 0x94D049BB133111EB) & KEY_MASK
    return value ^ (value >> 31)


def ring_key(cell: int, endpoint: int) -> RingKey:
    """An endpoint's place on the shared ring: cells stay together, so that a retry bound to a cell
    finds warm connections; both parts are hashed, as ids have an order of their own.
    """
    return mix(cell), mix(endpoint), endpoint


class SegmentHealth:
    """Health of an endpoint for one segment (class and tenant) when it was last updated.

    Nobody changes one: all segments without a failure share `HEALTHY`, so that an endpoint of a
    long list costs little however many classes and tenants there are.
    """

    __slots__ = ("failures", "updated_at", "value")

    def __init__(self, value: float, updated_at: int, failures: float) -> None:
        self.value = value  # 1 is well; it never reaches 0
        self.updated_at = updated_at
        self.failures = failures  # in a row; an answer halves them


HEALTHY: Final = SegmentHealth(1.0, 0, 0.0)


class Endpoint:
    """What this copy knows of one endpoint."""

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

    def __init__(self, entry: Entry, segments: int) -> None:
        self.id = entry.endpoint
        self.segment_count = segments  # classes times tenants
        self.relocate(entry)
        self.started_at = entry.boot
        self.rating = entry.rating
        self.is_ready = False
        self.in_flight = 0  # attempts without an outcome whose request it has completely
        self.silent_since = 0  # its last answer, or the first send while it owed none
        self.slow_start_budget, self.slow_start_budget_at = 0.0, 0
        self.is_staged = False  # it waits for the end of the list that it came with
        self.reset_observations()

    def relocate(self, entry: Entry) -> None:
        """Take its cell and zone, and so its place on the ring, from a list's entry."""
        self.ring_key = ring_key(entry.cell, entry.endpoint)
        self.cell, self.zone = entry.cell, entry.zone

    def reset_observations(self) -> None:
        """Forget what was learned of its process."""
        self.slowness = 1.0  # observed latency over the peers' mean
        self.slowness_at = self.speed_samples = 0
        self.latest_answered_sent_at = 0  # when the latest sent of those that it answered was sent
        self.idle_since: list[int] = []  # idle connections: since when, the last used last
        self.overloaded_until = 0  # it was full: nothing is sent before this
        self.no_new_connections_until = 0  # it had no capacity for a connection more
        self.reported_queued, self.reported_at = 0.0, 0  # requests queued there, by a load report
        self.health = [HEALTHY] * self.segment_count
