"""The endpoint list: who is on the ring, who joins with the next complete list, who left."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

from laurelstep.balancing.endpoints import Endpoint
from laurelstep.balancing.events import LIST_DELTA, LIST_PARTIAL, READY, Entry, Settings
from laurelstep.balancing.subsets import EndpointRing

# Mean back-off after a failed call for lists, µs. A change counts as announced 6 s after discovery
# had it: one call that is silent for 2 s, and repeated, or four that fail at once, must fit into that.
LIST_BACKOFF_US: Final = 400_000


class Membership:
    """Owns the endpoints and their ring, as discovery's lists have them."""

    __slots__ = (
        "by_id",
        "list_backoff_us",
        "ring",
        "rng",
        "segment_count",
        "settings",
        "staged_endpoints",
        "staged_ring",
    )

    def __init__(self, settings: Settings, rng: random.Random) -> None:
        self.settings = settings
        self.rng = rng
        self.segment_count = len(settings.classes) * max(1, len(settings.tenants))
        self.by_id: dict[int, Endpoint] = {}  # also those that left and still owe an outcome
        self.ring = EndpointRing(settings)
        self.staged_ring: EndpointRing | None = None  # that of a list which is not yet complete
        self.staged_endpoints: list[Endpoint] = []  # those that only it has
        self.list_backoff_us = min(settings.ask_within_us // 4, LIST_BACKOFF_US)

    def first_poll_delay(self) -> int:
        """When to ask discovery first, in µs: copies started together must not ask together."""
        return int(self.rng.random() * self.list_backoff_us)

    def poll_backoff(self) -> int:
        """When to ask discovery again after a failure, in µs, spread out."""
        return int((0.5 + self.rng.random()) * self.list_backoff_us)

    def apply_list(self, now: int, mode: int, entries: Sequence[Entry]) -> bool:
        """Take a list that came; returns whether the ring changed."""
        changed = False
        if mode not in (LIST_DELTA, LIST_PARTIAL):
            named = {entry.endpoint for entry in entries}
            for endpoint in list(self.by_id.values()):
                if endpoint.id not in named:
                    changed |= self.remove(endpoint)
        for entry in entries:
            changed |= self._apply_entry(now, entry, mode == LIST_PARTIAL)
        if self.staged_ring is not None and mode != LIST_PARTIAL:
            self._join_staged()
            changed = True
        return changed

    def _apply_entry(self, now: int, entry: Entry, is_part: bool) -> bool:
        endpoint = self.by_id.get(entry.endpoint)
        if entry.phase != READY:
            return self.remove(endpoint) if endpoint else False
        moved = False
        if endpoint is None:
            endpoint = Endpoint(entry, self.segment_count)
        elif (endpoint.cell, endpoint.zone) != (entry.cell, entry.zone):
            # Guards repeats: they stay with the cell or zone that it is in by now.
            moved = self.remove(endpoint)
            endpoint.relocate(entry)
        self.by_id[endpoint.id] = endpoint
        endpoint.rating = entry.rating if entry.rating > 0 else 1.0
        if entry.boot != endpoint.started_at or not endpoint.is_ready:
            self._start_process(now, endpoint, entry.boot)
        if endpoint.is_ready or endpoint.is_staged:
            return False
        if is_part:
            self._stage(endpoint)
            return moved
        endpoint.is_ready = True
        self.ring.add(endpoint)
        if self.staged_ring is not None:
            self.staged_ring.add(endpoint)
        return True

    def _start_process(self, now: int, endpoint: Endpoint, boot: int) -> None:
        if boot != endpoint.started_at:
            endpoint.reset_observations()  # a new process: nothing seen of the old one holds
        endpoint.started_at = boot
        # The budget of an endpoint in slow start begins part-filled at random, so that
        # the copies' first sends to it do not coincide.
        endpoint.slow_start_budget = self.rng.random()
        endpoint.slow_start_budget_at = now

    def _stage(self, endpoint: Endpoint) -> None:
        """Guards the first to be read of a long list against the traffic of all."""
        if self.staged_ring is None:
            self.staged_ring = self.ring.copy(self.settings)
        self.staged_ring.add(endpoint)
        self.staged_endpoints.append(endpoint)
        endpoint.is_staged = True

    def _join_staged(self) -> None:
        """All staged endpoints join the ring at once."""
        if self.staged_ring is not None:
            self.ring, self.staged_ring = self.staged_ring, None
        for endpoint in self.staged_endpoints:
            if endpoint.is_staged:
                endpoint.is_ready, endpoint.is_staged = True, False
        self.staged_endpoints = []

    def remove(self, endpoint: Endpoint) -> bool:
        """Guards drains: an endpoint that is draining or gone leaves at once.

        Returns whether it was on the ring.
        """
        if not endpoint.in_flight:
            self.by_id.pop(endpoint.id, None)
        was_ready = endpoint.is_ready
        if was_ready:
            self.ring.remove(endpoint)
        if self.staged_ring is not None and (was_ready or endpoint.is_staged):
            self.staged_ring.remove(endpoint)
        endpoint.is_ready = endpoint.is_staged = False
        return was_ready

    def record_attempt_end(self, endpoint: Endpoint) -> None:
        """Any ending of an attempt lowers the endpoint's count; one that left and owes nothing
        more is forgotten.
        """
        endpoint.in_flight = max(0, endpoint.in_flight - 1)
        is_needed = endpoint.is_ready or endpoint.is_staged or endpoint.in_flight
        if not is_needed and self.by_id.get(endpoint.id) is endpoint:
            del self.by_id[endpoint.id]
