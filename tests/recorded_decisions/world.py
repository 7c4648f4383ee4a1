"""A small deterministic world around one `Balancer`: endpoints, clients and discovery.

It draws from a generator of its own, reacts to the module's actions alone and knows none of
its internals, so that a recording stands however the module is built inside.
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

# The letter of each action in the recorded text: what the module calls it does not matter.
LETTERS: dict[type, tuple[str, tuple[str, ...]]] = {
    Send: ("S", ("request", "endpoint", "timeout_us")),
    Timer: ("T", ("token", "delay_us")),
    Refuse: ("R", ("request", "retry_after_us")),
    Fail: ("F", ("request",)),
    Cancel: ("C", ("request", "attempt_index")),
    Close: ("X", ("endpoint",)),
    Watch: ("W", ("is_enabled",)),
}


def written(action: Action) -> str:
    """One action as the recording's text: its letter and its figures."""
    letter, fields = LETTERS[type(action)]
    return letter + ",".join(str(int(getattr(action, field))) for field in fields)


class Recording:
    """Digests of the actions, one for each hundred and one for the rest."""

    def __init__(self) -> None:
        self.digests: list[str] = []
        self.counts: dict[str, int] = {}
        self._hash = sha256()
        self._line_count = 0

    def add(self, now: int, text: str) -> None:
        """Take one line of text; the time (µs) at which it came is part of it."""
        self._hash.update(f"{now} {text}\n".encode())
        self.counts[text[0]] = self.counts.get(text[0], 0) + 1
        self._line_count += 1
        if self._line_count % ACTIONS_PER_DIGEST == 0:
            self._append_digest()

    def close(self) -> None:
        """Write the digest of what came since the last one."""
        self._append_digest()

    def _append_digest(self) -> None:
        self.digests.append(self._hash.hexdigest()[:DIGEST_LENGTH])


class SimulatedEndpoint:
    """One endpoint of the world: its speed, its load and what is wrong with it."""

    def __init__(self, number: int, speed: float, zone: int) -> None:
        self.number = number
        self.speed = speed
        self.zone = zone
        self.cell = number // 3
        self.started_at = 0
        self.in_flight = 0
        self.fault = ""

    def entry(self, phase: int) -> Entry:
        """Its line in a discovery list."""
        return Entry(self.number, phase, self.started_at, 0.5 + self.number % 3, self.cell, self.zone, 0)


class World:
    """Plays one scenario and records the module's actions."""

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
        self._attempt_counts: dict[int, int] = {}  # of each request: how many were sent
        self._outstanding: dict[tuple[int, int], tuple[int, int]] = {}  # attempt: endpoint, when it was sent
        self._endpoints = {
            100 + n: SimulatedEndpoint(100 + n, 0.6 + self.random.random(), n % scenario.zones)
            for n in range(scenario.endpoints + scenario.spare_endpoints)
        }
        self._listed = {100 + n for n in range(scenario.endpoints)}
        self._parts: list[int] = []

    def play(self) -> Recording:
        """Play it to the end: all arrivals, and whatever is still owed after the last."""
        if self.scenario.has_recent_starts:
            for one in self._endpoints.values():
                one.started_at = self.random.randrange(1, 2 * SECOND)
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
            self.recording.add(self.now, written(action))
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
        cls = self.random.choices(
            range(len(self.settings.classes)), scenario.class_weights or [1] * len(self.settings.classes)
        )[0]
        coming = self.random.random() < scenario.upload_share
        event = Arrival(
            self._next_request,
            cls,
            self.now + self.settings.classes[cls].deadline_us * (2 if coming else 1),
            self.random.randrange(scenario.tenant_count),
            1 + self.random.randrange(scenario.key_count) if scenario.key_count else 0,
            self.random.randrange(1, 80) * MS
            if scenario.has_work_hints and self.random.random() < 0.7
            else 0,
            False,
            coming,
        )
        self._open_requests[event.request] = event
        if coming:
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
        copy = self._attempt_counts.get(action.request, 0)
        self._attempt_counts[action.request] = copy + 1
        endpoint = self._endpoints[action.endpoint]
        endpoint.in_flight += 1
        self._outstanding[action.request, copy] = action.endpoint, self.now
        outcome, delay = self._answer(endpoint, action)
        if delay > action.timeout_us:
            outcome, delay = TIMEOUT, action.timeout_us
        cls = self._open_requests[action.request].cls if action.request in self._open_requests else 0
        if outcome == OK and self.settings.classes[cls].stream:
            self._schedule(delay, self._on_response_start(action.request, copy))
            delay += int(self.random.random() * 900 * MS)
        self._schedule(delay, self._on_attempt_end(action.request, copy, outcome))

    def _answer(self, endpoint: SimulatedEndpoint, action: Send) -> tuple[int, int]:
        """How an attempt will end, and after how long (µs)."""
        service = self.scenario.service_us * endpoint.speed * (0.5 + self.random.random())
        delay = int(service * (1.0 + endpoint.in_flight / 4.0))
        strikes = self.random.random()
        if endpoint.number not in self._listed and strikes < 0.3:
            return RESET, 2 * MS
        if strikes < 0.01:
            return (ERROR, FULL, RESET, NO_CONNECT)[int(strikes * 400)], delay
        match endpoint.fault:
            case "error" if strikes < 0.8:
                return ERROR, 3 * MS
            case "full" if strikes < 0.7:
                return FULL, 2 * MS
            case "frozen":
                return RESET, action.timeout_us + SECOND
            case "lost" if strikes < 0.5:
                return RESET, 700 * MS
            case "unreachable":
                return NO_CONNECT, MS
            case "reset" if strikes < 0.6:
                return RESET, delay // 2
            case "slow":
                return OK, delay * 6
            case "crawling":
                return OK, delay * 20
            case "instant":
                return OK, MS // 2
        return OK, delay

    def _on_response_start(self, request: int, copy: int) -> Callable[[], list[Action]]:
        def head() -> list[Action]:
            if (request, copy) not in self._outstanding:
                return []
            endpoint, sent = self._outstanding[request, copy]
            return self.balancer.head(self.now, Outcome(request, copy, endpoint, OK, self.now - sent))

        return head

    def _on_attempt_end(self, request: int, copy: int, outcome: int) -> Callable[[], list[Action]]:
        def end() -> list[Action]:
            if (request, copy) not in self._outstanding:
                return []
            number, sent = self._outstanding.pop((request, copy))
            endpoint = self._endpoints[number]
            endpoint.in_flight -= 1
            over = outcome == OK or (outcome == ERROR and self.random.random() < 0.2)
            if over:
                self._open_requests.pop(request, None)
            report = [
                self.random.random() * endpoint.in_flight for _ in range(self.scenario.report_field_count)
            ] or None
            delay = self.now - sent
            return self.balancer.outcome(
                self.now, Outcome(request, copy, number, outcome, delay, over, report)
            )

        return end

    def _change_fault(self) -> list[Action]:
        """Mend some endpoints and break others; rarely all behave alike."""
        for one in self._endpoints.values():
            if one.fault and self.random.random() < 0.6:
                one.fault = ""
        for _ in range(1 + int(len(self._endpoints) * self.scenario.broken_share)):
            one = self._endpoints[self.random.choice(sorted(self._endpoints))]
            one.fault = self.random.choice(self.scenario.faults)
        if self._next_request < self.scenario.arrivals:
            self._schedule(
                int(self.scenario.fault_every_us * (0.5 + self.random.random())), self._change_fault
            )
        number = self.random.choice(sorted(self._endpoints))
        actions = self.balancer.probed(self.now, ProbeResult(number, OK, 2 * MS))
        return actions + self.balancer.gossip_received(self.now, 0, b"gossip")

    # --- Discovery --------------------------------------------------------------------------

    def _entries(self, numbers: set[int]) -> list[Entry]:
        return [self._endpoints[number].entry(READY) for number in sorted(numbers)]

    def _on_subscription(self) -> list[Action]:
        """Discovery's answer to a subscription: it fails at times."""
        if self.scenario.has_failed_lists and self.random.random() < 0.5:
            return self.balancer.members(self.now, LIST_FAILED, ())
        return self.balancer.members(self.now, LIST_FULL, self._entries(self._listed))

    def _change_list(self) -> list[Action]:
        if self._next_request < self.scenario.arrivals:
            self._schedule(int(self.scenario.list_every_us * 2 * self.random.random()), self._change_list)
        kind = self.random.random()
        if kind < 0.1 and self.scenario.has_failed_lists:
            return self.balancer.members(self.now, LIST_FAILED, ())
        if kind < 0.25:
            return self.balancer.members(self.now, LIST_FULL, self._entries(self._listed))
        if kind < 0.28:  # a list that is empty for a while
            self._schedule(60 * MS, self._on_subscription)
            return self.balancer.members(self.now, LIST_FULL, ())
        if kind < 0.6 and self.scenario.has_partial_lists:
            return self.balancer.members(self.now, LIST_PARTIAL, self._changes())
        return self.balancer.members(self.now, LIST_DELTA, self._changes())

    def _changes(self) -> list[Entry]:
        """Some endpoints leave, join, start anew or move; the rest of the list stands."""
        changes = []
        for number in self.random.sample(sorted(self._endpoints), 2 + len(self._endpoints) // 10):
            one = self._endpoints[number]
            kind = self.random.random()
            if number in self._listed and len(self._listed) > self.scenario.endpoints // 2 and kind < 0.5:
                self._listed.discard(number)
                changes.append(one.entry(DRAINING if kind < 0.3 else GONE))
                continue
            if kind < 0.65:
                one.started_at = self.now - self.random.randrange(SECOND)
            elif kind < 0.7:
                one.cell, one.zone = one.cell + 1, (one.zone + 1) % self.scenario.zones
            self._listed.add(number)
            changes.append(one.entry(READY))
        return changes
