"""The rules of sends and final answers when events of one request cross, under many settings.

`RuleChecker` implements the rules of the simulator's protocol. It sees only the events and actions of
the balancer, never its state. Outcomes, timers, lists, starts of answers and disconnections of clients
come in any legal order.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from laurelstep.balancing.balancer import Balancer
from laurelstep.balancing.endpoints import Endpoint
from laurelstep.balancing.events import (
    CANCELLED,
    DRAINING,
    ERROR,
    FULL,
    GONE,
    KEYED,
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
    SAFE,
    SCOPE_ALL,
    SCOPE_CELL,
    SCOPE_ZONE,
    TIMEOUT,
    UNSAFE,
    Action,
    Arrival,
    Cancel,
    Entry,
    Fail,
    Fetch,
    Goal,
    Gossip,
    Outcome,
    Probe,
    Refuse,
    RequestClass,
    Send,
    Settings,
    Timer,
    Watch,
)
from laurelstep.balancing.membership import Membership
from laurelstep.balancing.requests import Request
from laurelstep.balancing.retries import RetryPolicy
from laurelstep.balancing.selection import EndpointSelector

from tests.conftest import plain_only
from tests.helpers import LONG_CLASS, SETTINGS, Driver, fleet, on_ring, sends, started

MS = 1_000
SECOND = 1_000_000


@dataclass
class SentAttempt:
    endpoint: int
    cell: int  # cell and zone that the endpoint had at the send
    zone: int
    sent_at: int
    outcome: int | None = None
    is_streaming: bool = False  # its answer, a stream, has started


@dataclass
class SentRequest:
    request_class: RequestClass
    expires_at: int
    is_uploading: bool
    attempts: list[SentAttempt] = field(default_factory=list)
    answer_count: int = 0  # final answers, including one that was forwarded from an endpoint
    has_left: bool = False

    @property
    def is_over(self) -> bool:
        return self.answer_count > 0 or self.has_left


class RuleChecker:
    def __init__(self, seed: int, config: Settings) -> None:
        self.config, self.now = config, SECOND
        self.entries: dict[int, Entry] = {}
        self.ready: set[int] = set()
        self.has_partial_list = False  # parts of a list are missing
        self.requests: dict[int, SentRequest] = {}
        self.timers: list[tuple[int, int]] = []
        self.never_ran_outcomes = (
            {NO_CONNECT, NOT_SENT} if config.full_unproven else {NO_CONNECT, NOT_SENT, FULL}
        )
        self.balancer = Balancer(seed, config)
        self.check_actions(self.balancer.start(self.now))

    # Actions of the balancer

    def check_actions(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.check_send(action)
            elif isinstance(action, Refuse | Fail):
                self.check_final_answer(action)
            elif isinstance(action, Cancel):
                assert self.config.can_cancel, "no cancel where the settings do not allow it"
                attempt = self.requests[action.request].attempts[action.attempt_index]
                assert not attempt.is_streaming, "a streaming answer is not cancelled"
            elif isinstance(action, Timer):
                assert 0 <= action.delay_us < 71 * 60 * SECOND
                self.timers.append((self.now + max(1, action.delay_us), action.token))
            elif isinstance(action, Watch | Fetch):
                assert self.config.asks_discovery, "no call to discovery where lists are pushed"
            else:
                assert not isinstance(action, Probe) or self.config.can_probe
                assert not isinstance(action, Gossip) or self.config.can_tell

    def scope_group(self, request_class: RequestClass, cell: int, zone: int) -> int:
        return {SCOPE_ALL: 0, SCOPE_ZONE: zone, SCOPE_CELL: cell}[request_class.scope]

    def check_send(self, action: Send) -> None:
        request, config = self.requests[action.request], self.config
        assert not request.is_over, "nothing is sent after the end"
        assert action.endpoint in self.ready, "nothing is sent to an endpoint that drains or is gone"
        assert 0 < action.timeout_us <= request.expires_at - self.now, (
            "the time-out is within the client's deadline"
        )
        assert len(request.attempts) < config.max_attempts
        assert not any(attempt.is_streaming for attempt in request.attempts), (
            "nothing is sent while the answer is streaming"
        )
        assert config.second_copies or all(attempt.outcome is not None for attempt in request.attempts), (
            "one at a time"
        )
        entry = self.entries[action.endpoint]
        possible_executions = [
            attempt
            for attempt in request.attempts
            if attempt.outcome is None or attempt.outcome not in self.never_ran_outcomes
        ]
        if possible_executions and request.request_class.effect == KEYED:
            first = possible_executions[0]
            assert self.now - first.sent_at <= request.request_class.window_us, "after the key's window"
            assert self.scope_group(request.request_class, entry.cell, entry.zone) == self.scope_group(
                request.request_class, first.cell, first.zone
            ), "out of scope"
        assert not possible_executions or request.request_class.effect != UNSAFE, "no effect twice"
        request.attempts.append(SentAttempt(action.endpoint, entry.cell, entry.zone, self.now))

    def check_final_answer(self, action: Refuse | Fail) -> None:
        request = self.requests[action.request]
        assert not request.is_over, "one final answer"
        assert self.now <= request.expires_at + self.config.answer_slack_us or request.is_uploading, "in time"
        assert not any(attempt.is_streaming for attempt in request.attempts), (
            "a streaming answer is the final answer"
        )
        if isinstance(action, Refuse):
            is_retry_harmless = request.request_class.effect == SAFE or (
                request.request_class.effect == KEYED and request.request_class.scope == SCOPE_ALL
            )
            assert is_retry_harmless or all(
                attempt.outcome in self.never_ran_outcomes for attempt in request.attempts
            ), "no refusal where the request may have run"
            assert self.config.retry_after or not action.retry_after_us
        request.answer_count += 1

    # Events; the names of these methods are the names of the drawn steps.

    def members(self, mode: int, entries: list[Entry]) -> None:
        entries = [replace_zone(entry, self.config.zones) for entry in entries]
        if mode in (LIST_FULL, LIST_CACHED):
            entries = [entry for entry in entries if entry.phase != GONE]
            self.ready = set()
        for entry in entries if mode != LIST_FAILED else ():
            self.entries[entry.endpoint] = entry
            (self.ready.add if entry.phase == READY else self.ready.discard)(entry.endpoint)
        self.check_actions(self.balancer.members(self.now, mode, entries if mode != LIST_FAILED else ()))

    def request(self, class_index: int, deadline_tenths: int, tenant: int, marker: int) -> None:
        request_id = len(self.requests) + 1
        class_index %= len(self.config.classes)
        request_class = self.config.classes[class_index]
        expires = self.now + max(1, deadline_tenths * request_class.deadline_us // 10)
        self.requests[request_id] = SentRequest(request_class, expires, is_uploading=marker == 2)
        work_us = 1000 * (request_id % 5)
        event = Arrival(
            request_id,
            class_index,
            expires,
            tenant,
            request_id % 3,
            work_us,
            is_retry=marker == 1,
            has_pending_body=marker == 2,
        )
        self.check_actions(self.balancer.request(self.now, event))

    def complete_body(self, pick: int) -> None:
        candidates = [
            request_id
            for request_id, request in self.requests.items()
            if request.is_uploading and not request.is_over
        ]
        if candidates:
            request = self.requests[request_id := candidates[pick % len(candidates)]]
            request.is_uploading, request.expires_at = (
                False,
                min(request.expires_at, self.now + request.request_class.deadline_us),
            )
            self.check_actions(self.balancer.request_completed(self.now, request_id, request.expires_at))

    def outstanding_attempts(self) -> list[tuple[int, int]]:
        return [
            (request_id, attempt_index)
            for request_id, request in self.requests.items()
            for attempt_index, attempt in enumerate(request.attempts)
            if attempt.outcome is None
        ]

    def head(self, pick: int) -> None:
        candidates = [
            (request_id, attempt_index)
            for request_id, attempt_index in self.outstanding_attempts()
            if self.requests[request_id].request_class.stream
        ]
        candidates = [
            (request_id, attempt_index)
            for request_id, attempt_index in candidates
            if not self.requests[request_id].is_over
        ]
        if candidates:
            request_id, attempt_index = candidates[pick % len(candidates)]
            attempt = self.requests[request_id].attempts[attempt_index]
            attempt.is_streaming = True
            self.check_actions(
                self.balancer.head(self.now, Outcome(request_id, attempt_index, attempt.endpoint, OK, MS))
            )

    def outcome(self, pick: int, outcome: int) -> None:
        if outstanding := self.outstanding_attempts():
            self.end_attempt(*outstanding[pick % len(outstanding)], outcome)

    def end_all_attempts(self, outcome: int, rounds: int) -> None:
        """End all outstanding attempts with one outcome, and their retries too, in some rounds."""
        for _ in range(rounds):
            for request_id, attempt_index in self.outstanding_attempts():
                self.end_attempt(request_id, attempt_index, outcome)

    def end_attempt(self, request_id: int, attempt_index: int, outcome: int) -> None:
        request, attempt = self.requests[request_id], self.requests[request_id].attempts[attempt_index]
        attempt.outcome = outcome
        if not request.is_over and (outcome == OK or attempt.is_streaming):
            request.answer_count += 1
        outcome_event = Outcome(
            request_id, attempt_index, attempt.endpoint, outcome, self.now - attempt.sent_at, request.is_over
        )
        self.check_actions(self.balancer.outcome(self.now, outcome_event))

    def disconnect_client(self, pick: int) -> None:
        if open_requests := [
            request_id for request_id, request in self.requests.items() if not request.is_over
        ]:
            request_id = open_requests[pick % len(open_requests)]
            self.requests[request_id].has_left = True
            actions = self.balancer.client_disconnected(self.now, request_id)
            actions += self.balancer.client_disconnected(self.now, request_id)
            assert all(isinstance(request, Send | Cancel | Timer | Refuse | Fail) for request in actions)
            self.check_actions(actions)

    def pass_time(self, span_us: int) -> None:
        end_at = self.now + span_us
        while due := [event for event in self.due_events() if event[0] <= end_at]:
            due_at, kind, token_or_request, attempt_index = min(due)
            self.now = max(self.now, due_at)
            if kind == 0:
                self.timers.remove((due_at, token_or_request))
                self.check_actions(self.balancer.timer(self.now, token_or_request))
            else:
                self.end_attempt(token_or_request, attempt_index, TIMEOUT)
        self.now = end_at

    def due_events(self) -> Iterator[tuple[int, int, int, int]]:
        yield from ((due_at, 0, token, 0) for due_at, token in self.timers)
        for request_id, attempt_index in self.outstanding_attempts():
            request = self.requests[request_id]
            yield (
                request.expires_at + 10 * SECOND * request.attempts[attempt_index].is_streaming,
                1,
                request_id,
                attempt_index,
            )


def replace_zone(entry: Entry, zones: int) -> Entry:
    return replace(entry, zone=entry.zone % zones)


def entries(max_size: int) -> st.SearchStrategy[list[Entry]]:
    one = st.builds(
        Entry,
        endpoint=st.integers(1, 6),
        phase=st.sampled_from((READY, READY, READY, DRAINING, GONE)),
        boot=st.sampled_from((-5 * SECOND, 0, 0, SECOND, 2 * SECOND)),
        rating=st.sampled_from((0.0, 1.0, 4.0)),
        cell=st.integers(0, 2),
        zone=st.integers(0, 2),
        kind=st.just(0),
    )
    return st.lists(one, max_size=max_size, unique_by=lambda entry: entry.endpoint)


MODES = (LIST_FULL, LIST_DELTA, LIST_DELTA, LIST_CACHED, LIST_FAILED, LIST_PARTIAL)
OUTCOMES = (OK, ERROR, FULL, TIMEOUT, NO_CONNECT, RESET, CANCELLED, NOT_SENT)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("members"), st.sampled_from(MODES), entries(4)),
        st.tuples(
            st.just("request"),
            st.integers(0, 7),
            st.sampled_from((0, 1, 10, 10)),
            st.integers(0, 3),
            st.integers(0, 3),
        ),
        st.tuples(st.just("outcome"), st.integers(0, 50), st.sampled_from(OUTCOMES)),
        st.tuples(st.just("end_all_attempts"), st.sampled_from(OUTCOMES), st.integers(1, 4)),
        st.tuples(st.just("head"), st.integers(0, 50)),
        st.tuples(st.just("complete_body"), st.integers(0, 50)),
        st.tuples(st.just("disconnect_client"), st.integers(0, 50)),
        st.tuples(st.just("pass_time"), st.sampled_from((1, 5 * MS, 80 * MS, 500 * MS))),
    ),
    min_size=5,
    max_size=50,
)
TIMES = st.sampled_from(((100 * MS, 100 * MS), (60 * MS, 400 * MS), (SECOND, 3 * SECOND), (8 * SECOND,) * 2))
CLASSES = st.builds(
    lambda effect, scope, window, times, stream, sequential: RequestClass(
        effect, scope, window, times[0], deadline_us=times[1], stream=stream, sequential=sequential
    ),
    st.sampled_from((SAFE, KEYED, KEYED, UNSAFE)),
    st.sampled_from((SCOPE_ALL, SCOPE_ZONE, SCOPE_CELL)),
    st.sampled_from((0, MS, 10 * MS, 300 * MS, 10 * SECOND)),
    TIMES,
    st.sampled_from((False, False, True)),
    st.sampled_from((False, False, True)),
)
CONFIGS = st.builds(
    Settings,
    classes=st.lists(CLASSES, min_size=1, max_size=4).map(tuple),
    me=st.sampled_from((0, 2, 150)),
    instances=st.sampled_from((1, 3, 200)),
    zones=st.integers(1, 3),
    stage=st.integers(0, 1),
    tenants=st.sampled_from(((), (0.0,), (5.0, 1.0, 0.5))),
    over_share_worth=st.sampled_from((0.0, 0.1, 1.0)),
    asks_discovery=st.booleans(),
    can_cancel=st.booleans(),
    second_copies=st.booleans(),
    retry_after=st.booleans(),
    max_attempts=st.sampled_from((1, 2, 3, 6)),
    streams=st.sampled_from((1, 4)),
    idle_us=st.sampled_from((0, SECOND)),
    resolution_us=st.sampled_from((1, 2000, 50_000)),
    key_rest_us=st.sampled_from((0, 50 * MS)),
    full_unproven=st.booleans(),
    cold_share=st.sampled_from((0.05, 0.3, 0.9)),
    cold_us=st.sampled_from((0, SECOND, 30 * SECOND)),
    tip_multiple=st.sampled_from((1.5, 3.0, 5.0)),
    goal=st.sampled_from((Goal(), Goal(0.5, worst_class=0.3, punctual=0.2, miss_allowed=0.01))),
    cross_zone_price=st.sampled_from((0.0, 0.5)),
    handshake_price=st.sampled_from((0.0, 2.0)),
    answer_slack_us=st.just(8 * MS),
)


@settings(max_examples=400)
@given(seed=st.integers(0, 2**32), config=CONFIGS, first=entries(6), steps=STEPS)
def test_rules_hold_at_every_crossing_of_events_under_any_settings(
    seed: int, config: Settings, first: list[Entry], steps: list[tuple[str, *tuple[object, ...]]]
) -> None:
    checker = RuleChecker(seed, config)
    checker.members(LIST_CACHED, first)
    for name, *arguments in steps:
        getattr(checker, name)(*arguments)
    checker.pass_time(60 * SECOND)
    for one in checker.requests.values():
        assert one.is_over, "each request ends"
        assert one.answer_count <= 1
    balancer = checker.balancer
    assert (
        not balancer.requests
        and not balancer.request_table.awaiting_outcomes
        and not balancer.request_table.uploading_count
    )
    assert not any(
        queue.open_requests or queue.outstanding_attempts for queue in balancer.key_queues.queues.values()
    )
    assert all(endpoint.in_flight == 0 for endpoint in balancer.endpoints.values())


def warming_up_states(balancer: Balancer, now: int) -> list[bool]:
    return [balancer.slow_start.is_warming_up(now, one) for one in balancer.endpoints.values()]


@pytest.mark.parametrize("cold_us", [0, 20 * SECOND])
def test_a_start_dated_in_the_future_counts_as_a_start_now(cold_us: int) -> None:
    """The endpoint's clock may be ahead of this copy's. Without slow start (the default), the balancer raised
    an exception on each request.
    """
    balancer = started(2, cold_us=cold_us)
    balancer.members(SECOND, LIST_FULL, fleet(2, boot=3 * SECOND))
    assert warming_up_states(balancer, SECOND) == [cold_us > 0] * 2
    _, actions = Driver(balancer).send_request(SECOND)
    assert sends(actions) or cold_us


def test_a_start_before_the_clock_began_counts_as_a_start() -> None:
    """The engine converts start times to a monotonic clock that may have begun after the endpoint's start."""
    balancer = started(2)
    balancer.members(SECOND, LIST_FULL, fleet(2, boot=-2 * SECOND))
    for now, cold in ((SECOND, True), (17 * SECOND, True), (18 * SECOND, False)):
        assert warming_up_states(balancer, now) == [cold] * 2


@pytest.mark.parametrize("scope", [SCOPE_CELL, SCOPE_ZONE], ids=["cell", "zone"])
def test_a_retry_stays_in_scope_after_an_endpoint_has_moved(scope: int) -> None:
    """An endpoint that was listed in another cell under the same id still counted as one of its old cell."""
    keyed_class = RequestClass(KEYED, scope, window_us=SECOND, aim_us=200 * MS, deadline_us=SECOND)
    config = replace(SETTINGS, classes=(keyed_class,), zones=3)
    checker = RuleChecker(1, config)
    first, moved = Entry(1, READY, 0, 1.0, 0, 0, 0), Entry(2, READY, 0, 1.0, 0, 0, 0)
    checker.members(LIST_FULL, [first, moved])
    checker.request(0, 10, 0, 0)
    attempt = checker.requests[1].attempts[0].endpoint
    other = moved if attempt == 1 else first
    checker.members(LIST_DELTA, [replace(other, cell=1, zone=1)])
    checker.outcome(0, ERROR)
    checker.pass_time(SECOND)
    assert len(checker.requests[1].attempts) == 1 and checker.requests[1].is_over
    assert on_ring(checker.balancer) == sorted((1, 2), key=lambda n: checker.balancer.endpoints[n].ring_key)


def test_a_moved_endpoint_keeps_its_calls_in_flight() -> None:
    balancer = started(4, zones=3)
    _, actions = Driver(balancer).send_request(SECOND)
    (sent,) = sends(actions)
    entry = next(one for one in fleet(4) if one.endpoint == sent.endpoint)
    balancer.members(SECOND, LIST_DELTA, [replace(entry, cell=9, zone=2)])
    endpoint = balancer.endpoints[sent.endpoint]
    assert (endpoint.cell, endpoint.zone, endpoint.in_flight) == (9, 2, 1)
    assert len(on_ring(balancer)) == 4 and len(balancer.membership.ring.by_zone[2]) == 1
    balancer.members(SECOND, LIST_PARTIAL, [replace(entry, cell=8, zone=1)])
    balancer.members(SECOND, LIST_DELTA, [])
    assert (endpoint.cell, endpoint.zone, endpoint.in_flight) == (8, 1, 1)
    balancer.outcome(SECOND, Outcome(1, 0, sent.endpoint, OK, MS, is_final=True))
    assert endpoint.in_flight == 0
    assert len(on_ring(balancer)) == 4 and not balancer.membership.ring.by_zone[2]


@pytest.mark.parametrize("leaving_of_ten", [2, 5, 9])
def test_clients_that_leave_before_an_answer_was_due_shed_nothing(leaving_of_ten: int) -> None:
    """Two of ten clients left after 10 ms while answers took 100 ms; 43 % of all requests were refused."""
    driver = Driver(started(settings=replace(SETTINGS, classes=(LONG_CLASS,))))
    balancer, sent_count = driver.balancer, 0
    for k in range(300):
        now = k * 500 * MS
        request_id, actions = driver.send_request(now)
        for sent in sends(actions):
            sent_count += 1
            if k % 10 < leaving_of_ten:
                assert not sends(balancer.client_disconnected(now + 10 * MS, request_id))
                outcome_event = Outcome(request_id, 0, sent.endpoint, CANCELLED, 10 * MS, is_final=True)
            else:
                outcome_event = Outcome(request_id, 0, sent.endpoint, OK, 100 * MS, is_final=True)
            balancer.outcome(now + outcome_event.latency_us, outcome_event)
    assert sent_count == 300


def test_clients_that_leave_because_no_answer_comes_shed_load() -> None:
    driver = Driver(started(settings=replace(SETTINGS, classes=(LONG_CLASS,))))
    assert all(driver.serve(k * 500 * MS, 100 * MS) for k in range(60))
    for k in range(60):
        now = (60 + k) * SECOND
        request_id, actions = driver.send_request(now)
        if sent := sends(actions):
            driver.balancer.client_disconnected(now + 900 * MS, request_id)
            outcome_event = Outcome(request_id, 0, sent[0].endpoint, CANCELLED, 900 * MS, is_final=True)
            driver.balancer.outcome(now + 900 * MS, outcome_event)
    assert driver.balancer.admission.admitted_share < 0.3


def test_nothing_follows_for_a_waiting_request_whose_client_leaves() -> None:
    """A request may wait for an endpoint, for its turn or for a retry; after the client has left, nothing of
    it is sent, held or timed.
    """
    sequential_class = replace(LONG_CLASS, sequential=True)
    balancer = started(0, settings=replace(SETTINGS, classes=(LONG_CLASS, sequential_class)))
    timers: list[int] = []
    for request_id, class_index in ((1, 0), (2, 1), (3, 1)):
        actions = balancer.request(request_id, Arrival(request_id, class_index, 6 * SECOND, key=7))
        timers += [one.token for one in actions if isinstance(one, Timer)]
        assert not sends(actions)
    assert timers
    for request_id in (1, 3, 2):
        actions_after_leaving = balancer.client_disconnected(10, request_id)
        assert all(isinstance(one, Timer) for one in actions_after_leaving), (
            "at most a timer for the next request of the key"
        )
        timers += [one.token for one in actions_after_leaving if isinstance(one, Timer)]
    balancer.members(20, LIST_FULL, fleet(4))
    assert [balancer.timer(30, token) for token in timers] == [[]] * len(timers)
    assert (
        not balancer.requests
        and not balancer.request_table.awaiting_outcomes
        and not balancer.key_queues.queues
    )


def longest_pause(seed: int, interval_us: int, fault: tuple[int, int], copies: int) -> int:
    """Return the longest time without a send, in µs, after all endpoints have recovered.

    Before that, each attempt ended for 40 s with the outcome of `fault`, after its time.
    """
    settings = replace(SETTINGS, classes=(LONG_CLASS,))
    driver = Driver(started(6, seed=seed, settings=settings, instances=copies))
    due: list[tuple[int, Outcome]] = []
    recovered_at, end_at, last_sent_at, longest_us = 60 * SECOND, 80 * SECOND, 60 * SECOND, 0
    for now in range(interval_us, end_at, interval_us):
        for ended_at, outcome_event in [one for one in due if one[0] <= now]:
            driver.balancer.outcome(ended_at, outcome_event)
        due = [one for one in due if one[0] > now]
        request_id, actions = driver.send_request(now)
        for sent in sends(actions):
            longest_us, last_sent_at = max(longest_us, now - max(recovered_at, last_sent_at)), now
            outcome, took_us = fault if 20 * SECOND <= now < recovered_at else (OK, 300 * MS)
            due.append(
                (now + took_us, Outcome(request_id, 0, sent.endpoint, outcome, took_us, is_final=True))
            )
        due.sort(key=lambda one: one[0])
    return max(longest_us, end_at - last_sent_at)


@pytest.mark.parametrize("copies", [1, 33])
@pytest.mark.parametrize("fault", [(TIMEOUT, 6 * SECOND), (OK, 5 * SECOND), (FULL, MS)])
@pytest.mark.parametrize("interval_us", [50 * MS, 250 * MS])
def test_a_copy_sends_again_soon_after_a_fault(interval_us: int, fault: tuple[int, int], copies: int) -> None:
    """After a fault, a copy admitted nothing for up to 15 s although all endpoints were healthy again: one
    request in ten was admitted by chance only, and hanging requests filled the concurrency limit. Now at
    least one request in eleven, or one a second, is sent.
    """
    pauses = [longest_pause(seed, interval_us, fault, copies) for seed in range(8)]
    assert max(pauses) <= max(SECOND, 11 * interval_us) + interval_us


@pytest.mark.parametrize("ask_within_us", [SECOND, 10 * SECOND, 60 * SECOND, 600 * SECOND])
@pytest.mark.parametrize("seed", range(20))
def test_a_failed_call_to_discovery_is_repeated_in_time(seed: int, ask_within_us: int) -> None:
    """A call to discovery may take 2 s until its time-out, and so may the next one. Both and the pause
    between them must fit into 6 s, whatever `ask_within_us` is; the pause was up to 3/8 of it.
    """
    balancer = Balancer(seed, replace(SETTINGS, asks_discovery=True, ask_within_us=ask_within_us))
    (first_timer,) = balancer.start(0)
    assert isinstance(first_timer, Timer) and first_timer.delay_us <= min(1_500 * MS, ask_within_us)
    now, actions = first_timer.delay_us, balancer.timer(first_timer.delay_us, first_timer.token)
    for _ in range(50):
        assert actions == [Watch(True)]
        (retry_timer,) = balancer.members(now, LIST_FAILED, ())
        assert isinstance(retry_timer, Timer)
        assert 2 * SECOND + retry_timer.delay_us + 2 * SECOND <= 6 * SECOND - 500 * MS
        assert retry_timer.delay_us <= ask_within_us
        now += retry_timer.delay_us
        actions = balancer.timer(now, retry_timer.token)


def test_copies_do_not_call_discovery_together() -> None:
    delays = []
    for seed in range(200):
        balancer = Balancer(seed, replace(SETTINGS, asks_discovery=True))
        balancer.start(0)
        (retry_timer,) = balancer.members(SECOND, LIST_FAILED, ())
        assert isinstance(retry_timer, Timer)
        delays.append(retry_timer.delay_us // (40 * MS))
    assert max(delays.count(one) for one in delays) < 40


@pytest.mark.parametrize("stage", [0, 1])
@pytest.mark.parametrize("outcome", [ERROR, FULL, TIMEOUT, NO_CONNECT, RESET, None], ids=str)
def test_requests_are_sent_within_a_second_after_any_fault(outcome: int | None, stage: int) -> None:
    """After any fault, a copy sends requests again once all endpoints have recovered, at once or when an
    endpoint is eligible again. Low health, overload, missing capacity, a spent retry budget or an empty
    list (None) must not prevent it.
    """
    settings = replace(SETTINGS, classes=(LONG_CLASS,), stage=stage, stages=2)
    driver = Driver(balancer := started(6, settings=settings))
    assert all(driver.serve(k * 50 * MS, 100 * MS) for k in range(100))
    if outcome is None:
        balancer.members(5 * SECOND, LIST_FULL, [])
    for k in range(200):
        now = 6 * SECOND + k * 50 * MS
        request_id, actions = driver.send_request(now)
        attempt_index = 0
        while sent := sends(actions):
            assert outcome is not None
            outcome_event = Outcome(request_id, attempt_index, sent[0].endpoint, outcome, MS, is_final=False)
            actions, attempt_index = balancer.outcome(now + MS, outcome_event), attempt_index + 1
    if outcome is None:
        balancer.members(17 * SECOND, LIST_FULL, fleet(6))
    started_at = now = 17 * SECOND
    while now - started_at <= SECOND:
        request_id, actions = driver.send_request(now)
        timers = [(now + one.delay_us, one.token) for one in actions if isinstance(one, Timer)]
        while timers and not sends(actions) and timers[0][0] - started_at <= SECOND:
            now, token = timers.pop()
            actions = balancer.timer(now, token)
            timers = [(now + one.delay_us, one.token) for one in actions if isinstance(one, Timer)]
        if sends(actions):
            return
        now += 50 * MS
    raise AssertionError("nothing was sent for a second")


@plain_only
@pytest.mark.parametrize(
    ("owner", "guard", "result", "effect", "expected_message"),
    [
        (RetryPolicy, "can_attempt", True, UNSAFE, "no effect twice"),
        (RetryPolicy, "is_in_scope", True, KEYED, "out of scope"),
        (Membership, "remove", False, SAFE, "nothing is sent to an endpoint that drains"),
        (Balancer, "_refuse_or_fail", None, SAFE, "each request ends"),
        (Balancer, "_close_request", None, SAFE, "one final answer|nothing is sent after the end"),
    ],
)
def test_the_checker_notices_each_broken_rule(
    monkeypatch: pytest.MonkeyPatch,
    owner: type,
    guard: str,
    result: bool | None,
    effect: int,
    expected_message: str,
) -> None:
    """Guards against a checker that cannot fail: it must notice each guard that is removed."""

    def play() -> None:
        cls = RequestClass(effect, SCOPE_CELL, 8 * SECOND, 200 * MS, deadline_us=SECOND)
        checker = RuleChecker(1, replace(SETTINGS, classes=(cls,), max_attempts=6))
        ready = [Entry(n, READY, 0, 1.0, n % 2, 0, 0) for n in range(1, 7)]
        checker.members(LIST_FULL, ready)
        checker.members(LIST_DELTA, [replace(entry, phase=DRAINING) for entry in ready[4:]])
        for n in range(12):
            checker.request(0, 10, 0, 0)
            checker.end_all_attempts(ERROR if n % 2 else NO_CONNECT, 6)
        checker.disconnect_client(0)
        checker.pass_time(3 * SECOND)
        assert all(one.is_over for one in checker.requests.values()), "each request ends"

    play()
    if guard == "is_in_scope":  # also remove the selection within the scope

        def pick_anywhere(selector: EndpointSelector, now: int, asked: Request) -> Endpoint | None:
            return selector._choose(now, asked, selector.subsets.pair)

        monkeypatch.setattr(EndpointSelector, "pick", pick_anywhere)
    monkeypatch.setattr(owner, guard, lambda *_: result)
    with pytest.raises(AssertionError, match=expected_message):
        play()
