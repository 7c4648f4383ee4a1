"""A small deterministic simulation around one `Balancer`: endpoints, clients and discovery.

It has its own random generator, reacts only to the balancer's actions and uses none of its internals,
so that a recording stays valid when the implementation changes.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from hashlib import sha256

from laurelstep.balancing.balancer import Balancer
from laurelstep.balancing.events import (
    CANCELLED,
    DRAINING,
    ERROR,
    FULL,
    GONE,
    LIST_CACHED,
    LIST_DELTA,
    LIST_FAILED,
    LIST_FULL,
    LIST_PARTIAL,
    NO_CONNECT,
    NOT_SENT,
    OK,
    READY,
    RESET,
    TIMEOUT,
    Action,
    Arrival,
    Cancel,
    Close,
    Entry,
    Fail,
    Outcome,
    ProbeResult,
    Refuse,
    Send,
    Settings,
    Timer,
    Watch,
)

from tests.recorded_decisions.scenarios import MS, SECOND, Scenario

ACTIONS_PER_DIGEST = 100
DIGEST_LENGTH = 12

# The letter and the fields of each action in the recorded text, which does not contain their names.
LETTERS: dict[type, tuple[str, tuple[str, ...]]] = {
    Send: ("S", ("request", "endpoint", "timeout_us")),
    Timer: ("T", ("token", "delay_us")),
    Refuse: ("R", ("request", "retry_after_us")),
    Fail: ("F", ("request",)),
    Cancel: ("C", ("request", "attempt_index")),
    Close: ("X", ("endpoint",)),
    Watch: ("W", ("is_enabled",)),
}


def action_text(action: Action) -> str:
    """Return one action as text for the recording: its letter and its values."""
    letter, fields = LETTERS[type(action)]
    return letter + ",".join(str(int(getattr(action, field))) for field in fields)


class Recording:
    """Digests of the actions: one after each hundred, and one at the end; each covers all before it."""

    def __init__(self) -> None:
        self.digests: list[str] = []
        self.counts: dict[str, int] = {}
        self._hash = sha256()
        self._line_count = 0

    def add(self, now: int, text: str) -> None:
        """Add one line of text, with its time (µs)."""
        self._hash.update(f"{now} {text}\n".encode())
        self.counts[text[0]] = self.counts.get(text[0], 0) + 1
        self._line_count += 1
        if self._line_count % ACTIONS_PER_DIGEST == 0:
            self._append_digest()

    def close(self) -> None:
        """Append the last digest."""
        self._append_digest()

    def _append_digest(self) -> None:
        self.digests.append(self._hash.hexdigest()[:DIGEST_LENGTH])


class SimulatedEndpoint:
    """One simulated endpoint: its speed, its load and its present fault."""

    def __init__(self, endpoint_id: int, speed: float, zone: int) -> None:
        self.number = endpoint_id
        self.speed = speed
        self.zone = zone
        self.cell = endpoint_id // 3
        self.started_at = 0
        self.in_flight = 0
        self.fault = ""

    def entry(self, phase: int) -> Entry:
        """Return the endpoint's entry for an endpoint list."""
        return Entry(self.number, phase, self.started_at, 0.5 + self.number % 3, self.cell, self.zone, 0)


class World:
    """Simulates one scenario and records the balancer's actions."""

    def __init__(self, scenario: Scenario, seed: int) -> None:
        self.scenario = scenario
        self.random = random.Random(seed)
        self.settings = Settings(**scenario.settings)
        self.balancer = Balancer(seed, self.settings)
        self.recording = Recording()
        self.now = 0
        self._events: list[tuple[int, int, Callable[[], list[Action]]]] = []
        self._next_event = 0
        self._next_request = 0
        self._open_requests: dict[int, Arrival] = {}
        self._attempt_counts: dict[int, int] = {}  # number of attempts of each request
        self._outstanding: dict[tuple[int, int], tuple[int, int]] = {}  # attempt: endpoint, when it was sent
        self._endpoints = {
            100 + n: SimulatedEndpoint(100 + n, 0.6 + self.random.random(), n % scenario.zones)
            for n in range(scenario.endpoints + scenario.spare_endpoints)
        }
        self._listed = {100 + n for n in range(scenario.endpoints)}
        self._parts: list[int] = []

    def play(self) -> Recording:
        """Simulate all arrivals and the events that follow the last one; returns the recording."""
        if self.scenario.has_recent_starts:
            for endpoint in self._endpoints.values():
                endpoint.started_at = self.random.randrange(1, 2 * SECOND)
        self.now = SECOND
        self._perform(self.balancer.start(self.now))
        self._perform(self.balancer.members(self.now, LIST_CACHED, self._entries(self._listed)))
        self._schedule(1, self._on_arrival)
        self._schedule(self.scenario.list_every_us, self._change_list)
        self._schedule(self.scenario.fault_every_us, self._change_fault)
        while self._events:
            when, _, event = heapq.heappop(self._events)
            self.now = max(self.now, when)
            self._perform(event())
        self.recording.close()
        return self.recording

    def _schedule(self, delay_us: int, event: Callable[[], list[Action]]) -> None:
        self._next_event += 1
        heapq.heappush(self._events, (self.now + max(0, delay_us), self._next_event, event))

    def _perform(self, actions: list[Action]) -> None:
        for action in actions:
            self.recording.add(self.now, action_text(action))
            if isinstance(action, Send):
                self._send(action)
            elif isinstance(action, Timer):
                self._schedule(action.delay_us, self._on_timer(action.token))
            elif isinstance(action, Refuse | Fail):
                self._open_requests.pop(action.request, None)
            elif isinstance(action, Cancel):
                outcome = CANCELLED if self.random.random() < 0.8 else NOT_SENT
                self._schedule(MS, self._on_attempt_end(action.request, action.attempt_index, outcome))
            elif isinstance(action, Watch):
                self._schedule(20 * MS, self._on_subscription)

    def _on_timer(self, token: int) -> Callable[[], list[Action]]:
        return lambda: self.balancer.timer(self.now, token)

    # --- Clients ----------------------------------------------------------------------------

    def _on_arrival(self) -> list[Action]:
        scenario = self.scenario
        self._next_request += 1
        if self._next_request < scenario.arrivals:
            # Bursts and pauses: a quarter of the intervals are ten times as short.
            mean = scenario.interval_us // (10 if self.random.random() < 0.25 else 1)
            self._schedule(int(self.random.random() * 2 * mean), self._on_arrival)
        class_index = self.random.choices(
            range(len(self.settings.classes)), scenario.class_weights or [1] * len(self.settings.classes)
        )[0]
        has_pending_body = self.random.random() < scenario.upload_share
        event = Arrival(
            self._next_request,
            class_index,
            self.now + self.settings.classes[class_index].deadline_us * (2 if has_pending_body else 1),
            self.random.randrange(scenario.tenant_count),
            1 + self.random.randrange(scenario.key_count) if scenario.key_count else 0,
            self.random.randrange(1, 80) * MS
            if scenario.has_work_hints and self.random.random() < 0.7
            else 0,
            False,
            has_pending_body,
        )
        self._open_requests[event.request] = event
        if has_pending_body:
            self._schedule(int(self.random.random() * 400 * MS), self._on_upload_complete(event))
        elif self.random.random() < scenario.disconnect_share:
            self._schedule(int(self.random.random() * 300 * MS), self._on_client_disconnect(event.request))
        else:
            self._schedule(event.expires - self.now, self._on_client_disconnect(event.request))
        if self._next_request % 50 == 0:
            self.recording.add(self.now, f"J{self.balancer.count_ejected(self.now)}")
        return self.balancer.request(self.now, event)

    def _on_upload_complete(self, event: Arrival) -> Callable[[], list[Action]]:
        def complete() -> list[Action]:
            if event.request not in self._open_requests:
                return []
            expires = self.now + self.settings.classes[event.cls].deadline_us
            self._schedule(expires - self.now, self._on_client_disconnect(event.request))
            return self.balancer.request_completed(self.now, event.request, expires)

        return complete

    def _on_client_disconnect(self, request: int) -> Callable[[], list[Action]]:
        def leave() -> list[Action]:
            if self._open_requests.pop(request, None) is None:
                return []
            return self.balancer.client_disconnected(self.now, request)

        return leave

    # --- Endpoints --------------------------------------------------------------------------

    def _send(self, action: Send) -> None:
        attempt_index = self._attempt_counts.get(action.request, 0)
        self._attempt_counts[action.request] = attempt_index + 1
        endpoint = self._endpoints[action.endpoint]
        endpoint.in_flight += 1
        self._outstanding[action.request, attempt_index] = action.endpoint, self.now
        outcome, delay_us = self._answer(endpoint, action)
        if delay_us > action.timeout_us:
            outcome, delay_us = TIMEOUT, action.timeout_us
        cls = self._open_requests[action.request].cls if action.request in self._open_requests else 0
        if outcome == OK and self.settings.classes[cls].stream:
            self._schedule(delay_us, self._on_response_start(action.request, attempt_index))
            delay_us += int(self.random.random() * 900 * MS)
        self._schedule(delay_us, self._on_attempt_end(action.request, attempt_index, outcome))

    def _answer(self, endpoint: SimulatedEndpoint, action: Send) -> tuple[int, int]:
        """Return the outcome of an attempt and its latency (µs)."""
        service_us = self.scenario.service_us * endpoint.speed * (0.5 + self.random.random())
        delay_us = int(service_us * (1.0 + endpoint.in_flight / 4.0))
        fault_draw = self.random.random()
        if endpoint.number not in self._listed and fault_draw < 0.3:
            return RESET, 2 * MS
        if fault_draw < 0.01:
            return (ERROR, FULL, RESET, NO_CONNECT)[int(fault_draw * 400)], delay_us
        match endpoint.fault:
            case "error" if fault_draw < 0.8:
                return ERROR, 3 * MS
            case "full" if fault_draw < 0.7:
                return FULL, 2 * MS
            case "frozen":
                return RESET, action.timeout_us + SECOND
            case "lost" if fault_draw < 0.5:
                return RESET, 700 * MS
            case "unreachable":
                return NO_CONNECT, MS
            case "reset" if fault_draw < 0.6:
                return RESET, delay_us // 2
            case "slow":
                return OK, delay_us * 6
            case "crawling":
                return OK, delay_us * 20
            case "instant":
                return OK, MS // 2
        return OK, delay_us

    def _on_response_start(self, request: int, attempt_index: int) -> Callable[[], list[Action]]:
        def head() -> list[Action]:
            if (request, attempt_index) not in self._outstanding:
                return []
            endpoint, sent_at = self._outstanding[request, attempt_index]
            return self.balancer.head(
                self.now, Outcome(request, attempt_index, endpoint, OK, self.now - sent_at)
            )

        return head

    def _on_attempt_end(self, request: int, attempt_index: int, outcome: int) -> Callable[[], list[Action]]:
        def end() -> list[Action]:
            if (request, attempt_index) not in self._outstanding:
                return []
            endpoint_id, sent_at = self._outstanding.pop((request, attempt_index))
            endpoint = self._endpoints[endpoint_id]
            endpoint.in_flight -= 1
            is_final = outcome == OK or (outcome == ERROR and self.random.random() < 0.2)
            if is_final:
                self._open_requests.pop(request, None)
            report = [
                self.random.random() * endpoint.in_flight for _ in range(self.scenario.report_field_count)
            ] or None
            delay_us = self.now - sent_at
            return self.balancer.outcome(
                self.now, Outcome(request, attempt_index, endpoint_id, outcome, delay_us, is_final, report)
            )

        return end

    def _change_fault(self) -> list[Action]:
        """End the faults of some endpoints and give others a fault."""
        for endpoint in self._endpoints.values():
            if endpoint.fault and self.random.random() < 0.6:
                endpoint.fault = ""
        for _ in range(1 + int(len(self._endpoints) * self.scenario.broken_share)):
            endpoint = self._endpoints[self.random.choice(sorted(self._endpoints))]
            endpoint.fault = self.random.choice(self.scenario.faults)
        if self._next_request < self.scenario.arrivals:
            self._schedule(
                int(self.scenario.fault_every_us * (0.5 + self.random.random())), self._change_fault
            )
        endpoint_id = self.random.choice(sorted(self._endpoints))
        actions = self.balancer.probed(self.now, ProbeResult(endpoint_id, OK, 2 * MS))
        return actions + self.balancer.gossip_received(self.now, 0, b"gossip")

    # --- Discovery --------------------------------------------------------------------------

    def _entries(self, numbers: set[int]) -> list[Entry]:
        return [self._endpoints[endpoint_id].entry(READY) for endpoint_id in sorted(numbers)]

    def _on_subscription(self) -> list[Action]:
        """Answer a subscription with a full list, or with a failure in some scenarios."""
        if self.scenario.has_failed_lists and self.random.random() < 0.5:
            return self.balancer.members(self.now, LIST_FAILED, ())
        return self.balancer.members(self.now, LIST_FULL, self._entries(self._listed))

    def _change_list(self) -> list[Action]:
        if self._next_request < self.scenario.arrivals:
            self._schedule(int(self.scenario.list_every_us * 2 * self.random.random()), self._change_list)
        kind_draw = self.random.random()
        if kind_draw < 0.1 and self.scenario.has_failed_lists:
            return self.balancer.members(self.now, LIST_FAILED, ())
        if kind_draw < 0.25:
            return self.balancer.members(self.now, LIST_FULL, self._entries(self._listed))
        if kind_draw < 0.28:  # a list that is empty for a while
            self._schedule(60 * MS, self._on_subscription)
            return self.balancer.members(self.now, LIST_FULL, ())
        if kind_draw < 0.6 and self.scenario.has_partial_lists:
            return self.balancer.members(self.now, LIST_PARTIAL, self._changes())
        return self.balancer.members(self.now, LIST_DELTA, self._changes())

    def _changes(self) -> list[Entry]:
        """Return entries for some endpoints that are removed, added, restarted or moved."""
        changes = []
        for endpoint_id in self.random.sample(sorted(self._endpoints), 2 + len(self._endpoints) // 10):
            endpoint = self._endpoints[endpoint_id]
            kind_draw = self.random.random()
            if (
                endpoint_id in self._listed
                and len(self._listed) > self.scenario.endpoints // 2
                and kind_draw < 0.5
            ):
                self._listed.discard(endpoint_id)
                changes.append(endpoint.entry(DRAINING if kind_draw < 0.3 else GONE))
                continue
            if kind_draw < 0.65:
                endpoint.started_at = self.now - self.random.randrange(SECOND)
            elif kind_draw < 0.7:
                endpoint.cell, endpoint.zone = endpoint.cell + 1, (endpoint.zone + 1) % self.scenario.zones
            self._listed.add(endpoint_id)
            changes.append(endpoint.entry(READY))
        return changes
