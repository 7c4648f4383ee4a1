"""The rules of sends and final answers, checked over random legal events.

`RuleChecker` keeps its own record of requests and attempts. It does not simulate endpoints: outcomes,
lists and timers come in any legal order.
"""

from __future__ import annotations

from dataclasses import dataclass, field, replace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from laurelstep.balancing.balancer import Balancer
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
    Outcome,
    Probe,
    ProbeResult,
    Refuse,
    RequestClass,
    Send,
    Settings,
    Timer,
)
from laurelstep.balancing.key_queues import KeyQueues
from laurelstep.balancing.membership import Membership
from laurelstep.balancing.retries import RetryPolicy

from tests.conftest import plain_only

MS = 1_000
SECOND = 1_000_000
CLASSES = tuple(
    RequestClass(effect, scope, window_us=300 * MS, aim_us=100 * MS, deadline_us=SECOND, worth=1.0 + effect)
    for effect, scope in (
        (SAFE, SCOPE_ALL),
        (UNSAFE, SCOPE_ALL),
        (KEYED, SCOPE_ALL),
        (KEYED, SCOPE_ZONE),
        (KEYED, SCOPE_CELL),
    )
)
ORDERED = tuple(replace(CLASSES[n], sequential=True) for n in (0, 1, 4))
CLASSES += ORDERED


@dataclass
class SentAttempt:
    endpoint: int
    sent_at: int
    timeout_at: int
    outcome: int | None = None  # None while outstanding
    ended_at: int = 0


@dataclass
class SentRequest:
    request_class: RequestClass
    expires_at: int
    key: int = 0
    attempts: list[SentAttempt] = field(default_factory=list)
    is_over: bool = False


class RuleChecker:
    """Sends events to one balancer and checks each of its actions."""

    def __init__(self, seed: int, config: Settings) -> None:
        self.config = config
        self.now = SECOND
        self.balancer = Balancer(seed, config)
        self.entries: dict[int, Entry] = {}
        self.listed: set[int] = set()
        self.requests: dict[int, SentRequest] = {}
        self.timers: list[tuple[int, int]] = []
        self.probes: list[int] = []
        self.cold_sends: list[tuple[int, int]] = []
        self.never_ran_outcomes = (
            {NO_CONNECT, NOT_SENT} if config.full_unproven else {NO_CONNECT, NOT_SENT, FULL}
        )
        self.check_actions(self.balancer.start(self.now))

    def scope_group(self, request_class: RequestClass, endpoint: int) -> int:
        entry = self.entries[endpoint]
        return {SCOPE_ALL: 0, SCOPE_ZONE: entry.zone, SCOPE_CELL: entry.cell}[request_class.scope]

    def check_actions(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.check_send(action)
            elif isinstance(action, Refuse | Fail):
                self.check_final_answer(action)
            elif isinstance(action, Timer):
                assert action.delay_us >= 0
                self.timers.append((self.now + max(1, action.delay_us), action.token))
            elif isinstance(action, Probe):
                assert self.config.can_probe
                self.probes.append(action.endpoint)
            elif isinstance(action, Cancel):
                assert self.config.can_cancel
                assert action.attempt_index < len(self.requests[action.request].attempts)

    def check_send(self, action: Send) -> None:
        request = self.requests[action.request]
        assert not request.is_over, "nothing is sent after the final answer"
        assert action.endpoint in self.listed, "only to endpoints that are ready"
        assert self.now < request.expires_at and action.timeout_us > 0
        assert len(request.attempts) < self.config.max_attempts
        possible_executions = [
            attempt for attempt in request.attempts if attempt.outcome not in self.never_ran_outcomes
        ]
        if any(attempt.outcome is None for attempt in request.attempts):
            assert self.config.second_copies
        assert request.request_class.effect != UNSAFE or not possible_executions, "no effect twice"
        if request.request_class.effect == KEYED:
            for attempt in possible_executions:
                assert self.scope_group(request.request_class, attempt.endpoint) == self.scope_group(
                    request.request_class, action.endpoint
                )
                assert self.now - attempt.sent_at < request.request_class.window_us
        if request.key:
            for request_id, other in self.requests.items():
                if request_id >= action.request or other.key != request.key:
                    continue
                assert other.is_over, "one request of a key at a time, in order of arrival"
                for attempt in other.attempts:
                    assert attempt.outcome is not None, "no attempt of an earlier request is outstanding"
                    if attempt.outcome in (TIMEOUT, RESET, CANCELLED):
                        assert self.now >= attempt.ended_at + self.config.key_rest_us, "the key rests"
        request.attempts.append(
            SentAttempt(action.endpoint, self.now, min(request.expires_at, self.now + action.timeout_us))
        )
        entry = self.entries[action.endpoint]
        if entry.boot and self.now - entry.boot < self.config.cold_us:
            self.cold_sends.append((self.now, action.endpoint))

    def check_final_answer(self, action: Refuse | Fail) -> None:
        request = self.requests[action.request]
        assert not request.is_over, "exactly one final answer"
        assert self.now <= request.expires_at + self.config.answer_slack_us, "in time"
        if isinstance(action, Refuse):
            is_retry_harmless = request.request_class.effect == SAFE or (
                request.request_class.effect == KEYED and request.request_class.scope == SCOPE_ALL
            )
            assert is_retry_harmless or all(
                attempt.outcome in self.never_ran_outcomes for attempt in request.attempts
            )
        request.is_over = True

    # Events; the names of these methods are the names of the drawn steps.

    def members(self, mode: int, entries: list[Entry]) -> None:
        if mode in (LIST_FULL, LIST_CACHED):
            self.listed = set()
        for entry in entries if mode != LIST_FAILED else ():
            self.entries[entry.endpoint] = entry
            (self.listed.add if entry.phase == READY else self.listed.discard)(entry.endpoint)
        self.check_actions(self.balancer.members(self.now, mode, entries if mode != LIST_FAILED else ()))

    def request(self, class_index: int, wait_us: int, tenant: int) -> None:
        request_id = len(self.requests) + 1
        key = request_id % 3
        self.requests[request_id] = SentRequest(
            CLASSES[class_index], self.now + wait_us, key * CLASSES[class_index].sequential
        )
        arrival = Arrival(
            request_id, class_index, self.now + wait_us, tenant, key, work_us=1000 * (request_id % 7)
        )
        self.check_actions(self.balancer.request(self.now, arrival))

    def outcome(self, pick: int, outcome: int) -> None:
        outstanding = [
            (request_id, attempt_index)
            for request_id, request in self.requests.items()
            for attempt_index, attempt in enumerate(request.attempts)
            if attempt.outcome is None
        ]
        if outstanding:
            self.end_attempt(*outstanding[pick % len(outstanding)], outcome)

    def end_all_attempts(self, outcome: int, rounds: int) -> None:
        """End all outstanding attempts with one outcome, and their retries too, in some rounds."""
        for _ in range(rounds):
            for request_id, request in list(self.requests.items()):
                for attempt_index, attempt in enumerate(list(request.attempts)):
                    if attempt.outcome is None:
                        self.end_attempt(request_id, attempt_index, outcome)

    def end_attempt(self, request_id: int, attempt_index: int, outcome: int) -> None:
        request, attempt = self.requests[request_id], self.requests[request_id].attempts[attempt_index]
        attempt.outcome, attempt.ended_at = outcome, self.now
        request.is_over |= outcome == OK
        report = (float(request_id % 5),) if request_id % 2 else None
        outcome_event = Outcome(
            request_id,
            attempt_index,
            attempt.endpoint,
            outcome,
            self.now - attempt.sent_at,
            request.is_over,
            report,
        )
        self.check_actions(self.balancer.outcome(self.now, outcome_event))

    def disconnect_client(self, pick: int) -> None:
        open_requests = [request_id for request_id, request in self.requests.items() if not request.is_over]
        if open_requests:
            request_id = open_requests[pick % len(open_requests)]
            self.requests[request_id].is_over = True
            self.check_actions(self.balancer.client_disconnected(self.now, request_id))
            self.check_actions(self.balancer.client_disconnected(self.now, request_id))

    def probe(self, is_ok: bool) -> None:
        if self.probes:
            probe_result = ProbeResult(
                self.probes.pop(0), OK if is_ok else TIMEOUT, MS, (3.0,) if is_ok else None
            )
            self.check_actions(self.balancer.probed(self.now, probe_result))

    def pass_time(self, span_us: int) -> None:
        """Fire timers and time-outs in order for `span_us`.

        An attempt times out no later than the client's deadline, as in the simulator's protocol.
        """
        end_at = self.now + span_us
        while True:
            due = [(due_at, 0, token, 0) for due_at, token in self.timers]
            for request_id, request in self.requests.items():
                due += [
                    (attempt.timeout_at, 1, request_id, attempt_index)
                    for attempt_index, attempt in enumerate(request.attempts)
                    if attempt.outcome is None
                ]
            if not due or min(due)[0] > end_at:
                break
            due_at, kind, token_or_request, attempt_index = min(due)
            self.now = max(self.now, due_at)
            if kind == 0:
                self.timers.remove((due_at, token_or_request))
                self.check_actions(self.balancer.timer(self.now, token_or_request))
            else:
                self.end_attempt(token_or_request, attempt_index, TIMEOUT)
        self.now = end_at


ENTRIES = st.lists(
    st.builds(
        Entry,
        endpoint=st.integers(1, 9),
        phase=st.sampled_from((READY, READY, READY, DRAINING, GONE)),
        boot=st.sampled_from((0, 0, SECOND, 2 * SECOND)),
        rating=st.just(1.0),
        cell=st.integers(0, 3),
        zone=st.integers(0, 1),
        kind=st.just(0),
    ),
    max_size=9,
    unique_by=lambda entry: entry.endpoint,
)
STEPS = st.lists(
    st.one_of(
        st.tuples(
            st.just("members"), st.sampled_from((LIST_FULL, LIST_DELTA, LIST_CACHED, LIST_FAILED)), ENTRIES
        ),
        st.tuples(
            st.just("request"), st.integers(0, 7), st.sampled_from((0, 1, 50 * MS, SECOND)), st.integers(0, 3)
        ),
        st.tuples(
            st.just("outcome"),
            st.integers(0, 50),
            st.sampled_from((OK, ERROR, FULL, TIMEOUT, NO_CONNECT, RESET, CANCELLED, NOT_SENT)),
        ),
        st.tuples(
            st.just("end_all_attempts"),
            st.sampled_from((ERROR, FULL, TIMEOUT, NO_CONNECT)),
            st.integers(1, 4),
        ),
        st.tuples(st.just("disconnect_client"), st.integers(0, 50)),
        st.tuples(st.just("probe"), st.booleans()),
        st.tuples(st.just("pass_time"), st.integers(0, 300 * MS)),
    ),
    max_size=60,
)
CONFIGS = st.builds(
    Settings,
    classes=st.just(CLASSES),
    me=st.integers(0, 2),
    instances=st.just(3),
    stage=st.integers(0, 1),
    tenants=st.sampled_from(((), (5.0, 1.0))),
    over_share_worth=st.just(0.1),
    asks_discovery=st.booleans(),
    report_fields=st.sampled_from(((), ("held",))),
    reports_pulled=st.booleans(),
    key_rest_us=st.sampled_from((0, 50 * MS)),
    full_unproven=st.booleans(),
    can_cancel=st.booleans(),
    can_probe=st.booleans(),
    second_copies=st.booleans(),
    max_attempts=st.integers(1, 4),
    answer_slack_us=st.just(20 * MS),
    cold_share=st.just(0.2),
    cold_us=st.just(20 * SECOND),
    tip_multiple=st.just(3.0),
)


@settings(derandomize=True, deadline=None, max_examples=400, database=None)
@given(seed=st.integers(0, 2**32), config=CONFIGS, steps=STEPS, first=ENTRIES)
def test_rules_hold_over_random_legal_events(
    seed: int, config: Settings, steps: list[tuple[str, *tuple[object, ...]]], first: list[Entry]
) -> None:
    checker = RuleChecker(seed, config)
    checker.members(LIST_CACHED, [entry for entry in first if entry.phase != GONE])
    for name, *arguments in steps:
        if name == "members" and arguments[0] in (LIST_FULL, LIST_CACHED):
            arguments[1] = [entry for entry in arguments[1] if entry.phase != GONE]  # type: ignore[attr-defined]
        getattr(checker, name)(*arguments)
    checker.pass_time(5 * SECOND)
    unanswered = [request_id for request_id, request in checker.requests.items() if not request.is_over]
    assert not unanswered, "every request gets a final answer"
    assert not checker.balancer.requests
    queues = checker.balancer.key_queues.queues.values()
    assert not any(queue.open_requests or queue.outstanding_attempts for queue in queues)


def run_twice(seed: int, steps: list[tuple[str, *tuple[object, ...]]]) -> list[list[tuple[int, int]]]:
    config = Settings(classes=CLASSES, max_attempts=3, second_copies=True, can_cancel=True)
    attempts_by_run = []
    for _ in range(2):
        checker = RuleChecker(seed, config)
        checker.members(LIST_CACHED, [Entry(n, READY, 0, 1.0, n % 3, n % 2, 0) for n in range(1, 9)])
        for name, *arguments in steps:
            if name != "members":
                getattr(checker, name)(*arguments)
        attempts_by_run.append(
            [
                (attempt.endpoint, attempt.sent_at)
                for request in checker.requests.values()
                for attempt in request.attempts
            ]
        )
    return attempts_by_run


@settings(derandomize=True, deadline=None, max_examples=50, database=None)
@given(seed=st.integers(0, 2**32), steps=STEPS)
def test_same_events_give_the_same_actions(seed: int, steps: list[tuple[str, *tuple[object, ...]]]) -> None:
    first_run, second_run = run_twice(seed, steps)
    assert first_run == second_run


@plain_only
@pytest.mark.parametrize(
    ("owner", "guard", "result", "class_index", "expected_message"),
    [
        (KeyQueues, "has_turn", True, 5, "one request of a key at a time"),
        (RetryPolicy, "can_attempt", True, 1, "no effect twice"),
        (Membership, "remove", False, 0, "only to endpoints that are ready"),
    ],
)
def test_the_checker_notices_each_broken_rule(
    monkeypatch: pytest.MonkeyPatch,
    owner: type,
    guard: str,
    result: bool,
    class_index: int,
    expected_message: str,
) -> None:
    """Guards against a checker that cannot fail: it must notice each guard that is removed."""

    def play() -> None:
        checker = RuleChecker(1, Settings(classes=CLASSES, max_attempts=3, can_cancel=True))
        ready = [Entry(n, READY, 0, 1.0, 0, 0, 0) for n in range(1, 5)]
        checker.members(LIST_FULL, ready)
        checker.members(LIST_DELTA, [replace(entry, phase=DRAINING) for entry in ready[:3]])
        for _ in range(7):
            checker.request(class_index, SECOND, 0)
        checker.members(LIST_DELTA, ready)
        checker.end_all_attempts(ERROR, 2)

    play()
    monkeypatch.setattr(owner, guard, lambda *_: result)
    with pytest.raises(AssertionError, match=expected_message):
        play()
