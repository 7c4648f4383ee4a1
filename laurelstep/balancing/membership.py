"""Membership: the endpoints on the ring, those of an incomplete list, and those that were removed."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import Final

from laurelstep.balancing.endpoints import Endpoint
from laurelstep.balancing.events import LIST_DELTA, LIST_PARTIAL, READY, Entry, Settings
from laurelstep.balancing.subsets import EndpointRing

# Mean back-off after a failed call to discovery, in µs. A change must reach a copy within 6 s after
# discovery has it. That must leave time for one call without an answer for 2 s and its repetition, or
# for four calls that fail at once.
LIST_BACKOFF_US: Final = 400_000


class Membership:
    """Owns the endpoints and their ring, and applies discovery's lists to them."""

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
        self.by_id: dict[int, Endpoint] = {}  # also removed endpoints with attempts in flight
        self.ring = EndpointRing(settings)
        self.staged_ring: EndpointRing | None = None  # the ring of an incomplete list
        self.staged_endpoints: list[Endpoint] = []  # on the staged ring only
        self.list_backoff_us = min(settings.ask_within_us // 4, LIST_BACKOFF_US)

    def first_subscribe_delay_us(self) -> int:
        """Return the delay before the first call to discovery, in µs.

        The delay is random, so that copies that start together do not call together.
        """
        return int(self.rng.random() * self.list_backoff_us)

    def subscribe_backoff_us(self) -> int:
        """Return the randomized delay before the next call to discovery after a failure, in µs."""
        return int((0.5 + self.rng.random()) * self.list_backoff_us)

    def apply_list(self, now: int, mode: int, entries: Sequence[Entry]) -> bool:
        """Apply a list of this mode; returns whether the ring changed."""
        is_ring_changed = False
        if mode not in (LIST_DELTA, LIST_PARTIAL):
            listed_ids = {entry.endpoint for entry in entries}
            for endpoint in list(self.by_id.values()):
                if endpoint.id not in listed_ids:
                    is_ring_changed |= self.remove(endpoint)
        for entry in entries:
            is_ring_changed |= self._apply_entry(now, entry, mode == LIST_PARTIAL)
        if self.staged_ring is not None and mode != LIST_PARTIAL:
            self._join_staged()
            is_ring_changed = True
        return is_ring_changed

    def _apply_entry(self, now: int, entry: Entry, is_part: bool) -> bool:
        endpoint = self.by_id.get(entry.endpoint)
        if entry.phase != READY:
            return self.remove(endpoint) if endpoint else False
        was_on_ring = False
        if endpoint is None:
            endpoint = Endpoint(entry, self.segment_count)
        elif (endpoint.cell, endpoint.zone) != (entry.cell, entry.zone):
            # Guards the scope of repeated keys: the endpoint now belongs to its new cell and zone.
            was_on_ring = self.remove(endpoint)
            endpoint.relocate(entry)
        self.by_id[endpoint.id] = endpoint
        endpoint.rating = entry.rating if entry.rating > 0 else 1.0
        if entry.boot != endpoint.started_at or not endpoint.is_ready:
            self._start_process(now, endpoint, entry.boot)
        if endpoint.is_ready or endpoint.is_staged:
            return False
        if is_part:
            self._stage(endpoint)
            return was_on_ring
        endpoint.is_ready = True
        self.ring.add(endpoint)
        if self.staged_ring is not None:
            self.staged_ring.add(endpoint)
        return True

    def _start_process(self, now: int, endpoint: Endpoint, boot: int) -> None:
        if boot != endpoint.started_at:
            endpoint.reset_observations()  # a new process: observations of the old one are void
        endpoint.started_at = boot
        # The slow-start budget begins at a random part of one attempt, so that the first sends of the
        # copies to the endpoint do not coincide.
        endpoint.slow_start_budget = self.rng.random()
        endpoint.slow_start_budget_at = now

    def _stage(self, endpoint: Endpoint) -> None:
        """Hold back a new endpoint until its list is complete.

        Guards the endpoints in the first parts of a long list against the traffic for all of them.
        """
        if self.staged_ring is None:
            self.staged_ring = self.ring.copy(self.settings)
        self.staged_ring.add(endpoint)
        self.staged_endpoints.append(endpoint)
        endpoint.is_staged = True

    def _join_staged(self) -> None:
        """Put all staged endpoints on the ring at once."""
        if self.staged_ring is not None:
            self.ring, self.staged_ring = self.staged_ring, None
        for endpoint in self.staged_endpoints:
            if endpoint.is_staged:
                endpoint.is_ready, endpoint.is_staged = True, False
        self.staged_endpoints = []

    def remove(self, endpoint: Endpoint) -> bool:
        """Remove an endpoint from the ring at once; returns whether it was on it.

        Called for one that is draining, gone or moved. Guards drains: nothing more is sent to it.
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
        """Count down the endpoint's attempts in flight after any outcome.

        A removed endpoint without attempts in flight is dropped.
        """
        endpoint.in_flight = max(0, endpoint.in_flight - 1)
        is_needed = endpoint.is_ready or endpoint.is_staged or endpoint.in_flight
        if not is_needed and self.by_id.get(endpoint.id) is endpoint:
            del self.by_id[endpoint.id]
