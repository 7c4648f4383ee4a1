"""The four rules, checked by a ledger of its own over random legal events.

It models no endpoints: outcomes, lists and timers come in any legal order.
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
class Try:
    endpoint: int
    at: int
    until: int
    ended: int | None = None  # its outcome
    ended_at: int = 0


@dataclass
class Asked:
    cls: RequestClass
    expires: int
    key: int = 0
    tries: list[Try] = field(default_factory=list)
    over: bool = False


class Ledger:
    """Plays events to one balancer and checks each action as it comes."""

    def __init__(self, seed: int, config: Settings) -> None:
        self.config = config
        self.now = SECOND
        self.balancer = Balancer(seed, config)
        self.entries: dict[int, Entry] = {}
        self.listed: set[int] = set()
        self.asked: dict[int, Asked] = {}
        self.timers: list[tuple[int, int]] = []
        self.probes: list[int] = []
        self.cold: list[tuple[int, int]] = []
        self.proofs = {NO_CONNECT, NOT_SENT} if config.full_unproven else {NO_CONNECT, NOT_SENT, FULL}
        self.take(self.balancer.start(self.now))

    def group(self, cls: RequestClass, endpoint: int) -> int:
        entry = self.entries[endpoint]
        return {SCOPE_ALL: 0, SCOPE_ZONE: entry.zone, SCOPE_CELL: entry.cell}[cls.scope]

    def take(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Send):
                self.sent(action)
            elif isinstance(action, Refuse | Fail):
                self.answered(action)
            elif isinstance(action, Timer):
                assert action.delay_us >= 0
                self.timers.append((self.now + max(1, action.delay_us), action.token))
            elif isinstance(action, Probe):
                assert self.config.can_probe
                self.probes.append(action.endpoint)
            elif isinstance(action, Cancel):
                assert self.config.can_cancel
                assert action.attempt_index < len(self.asked[action.request].tries)

    def sent(self, action: Send) -> None:
        one = self.asked[action.request]
        assert not one.over, "nothing after the final answer"
        assert action.endpoint in self.listed, "only to endpoints that are ready"
        assert self.now < one.expires and action.timeout_us > 0
        assert len(one.tries) < self.config.max_attempts
        maybe = [tried for tried in one.tries if tried.ended not in self.proofs]
        if any(tried.ended is None for tried in one.tries):
            assert self.config.second_copies
        assert one.cls.effect != UNSAFE or not maybe, "no effect twice"
        if one.cls.effect == KEYED:
            for tried in maybe:
                assert self.group(one.cls, tried.endpoint) == self.group(one.cls, action.endpoint)
                assert self.now - tried.at < one.cls.window_us
        if one.key:
            for rid, other in self.asked.items():
                if rid >= action.request or other.key != one.key:
                    continue
                assert other.over, "one of a key at a time, in the order taken"
                for tried in other.tries:
                    assert tried.ended is not None, "nothing of an earlier one is out"
                    if tried.ended in (TIMEOUT, RESET, CANCELLED):
                        assert self.now >= tried.ended_at + self.config.key_rest_us, "the key rests"
        one.tries.append(Try(action.endpoint, self.now, min(one.expires, self.now + action.timeout_us)))
        entry = self.entries[action.endpoint]
        if entry.boot and self.now - entry.boot < self.config.cold_us:
            self.cold.append((self.now, action.endpoint))

    def answered(self, action: Refuse | Fail) -> None:
        one = self.asked[action.request]
        assert not one.over, "exactly one final answer"
        assert self.now <= one.expires + self.config.answer_slack_us, "in time"
        if isinstance(action, Refuse):
            harmless = one.cls.effect == SAFE or (one.cls.effect == KEYED and one.cls.scope == SCOPE_ALL)
            assert harmless or all(tried.ended in self.proofs for tried in one.tries)
        one.over = True

    # Events

    def members(self, mode: int, entries: list[Entry]) -> None:
        if mode in (LIST_FULL, LIST_CACHED):
            self.listed = set()
        for entry in entries if mode != LIST_FAILED else ():
            self.entries[entry.endpoint] = entry
            (self.listed.add if entry.phase == READY else self.listed.discard)(entry.endpoint)
        self.take(self.balancer.members(self.now, mode, entries if mode != LIST_FAILED else ()))

    def request(self, cls: int, patience: int, tenant: int) -> None:
        rid = len(self.asked) + 1
        key = rid % 3
        self.asked[rid] = Asked(CLASSES[cls], self.now + patience, key * CLASSES[cls].sequential)
        arrival = Arrival(rid, cls, self.now + patience, tenant, key, work_us=1000 * (rid % 7))
        self.take(self.balancer.request(self.now, arrival))

    def outcome(self, pick: int, outcome: int) -> None:
        out = [
            (rid, copy)
            for rid, one in self.asked.items()
            for copy, tried in enumerate(one.tries)
            if tried.ended is None
        ]
        if out:
            self.end(*out[pick % len(out)], outcome)

    def storm(self, outcome: int, rounds: int) -> None:
        """Everything that is out ends alike, and what is sent again does too."""
        for _ in range(rounds):
            for rid, one in list(self.asked.items()):
                for copy, tried in enumerate(list(one.tries)):
                    if tried.ended is None:
                        self.end(rid, copy, outcome)

    def end(self, rid: int, copy: int, outcome: int) -> None:
        one, tried = self.asked[rid], self.asked[rid].tries[copy]
        tried.ended, tried.ended_at = outcome, self.now
        one.over |= outcome == OK
        report = (float(rid % 5),) if rid % 2 else None
        done = Outcome(rid, copy, tried.endpoint, outcome, self.now - tried.at, one.over, report)
        self.take(self.balancer.outcome(self.now, done))

    def leave(self, pick: int) -> None:
        held = [rid for rid, one in self.asked.items() if not one.over]
        if held:
            rid = held[pick % len(held)]
            self.asked[rid].over = True
            self.take(self.balancer.client_disconnected(self.now, rid))
            self.take(self.balancer.client_disconnected(self.now, rid))

    def probe(self, ok: bool) -> None:
        if self.probes:
            found = ProbeResult(self.probes.pop(0), OK if ok else TIMEOUT, MS, (3.0,) if ok else None)
            self.take(self.balancer.probed(self.now, found))

    def pass_time(self, span: int) -> None:
        """Timers and time-outs come due in order; a time-out is never later
        than the client's deadline, as on the wire."""
        end = self.now + span
        while True:
            due = [(at, 0, token, 0) for at, token in self.timers]
            for rid, one in self.asked.items():
                due += [(t.until, 1, rid, copy) for copy, t in enumerate(one.tries) if t.ended is None]
            if not due or min(due)[0] > end:
                break
            at, kind, which, copy = min(due)
            self.now = max(self.now, at)
            if kind == 0:
                self.timers.remove((at, which))
                self.take(self.balancer.timer(self.now, which))
            else:
                self.end(which, copy, TIMEOUT)
        self.now = end


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
        st.tuples(st.just("storm"), st.sampled_from((ERROR, FULL, TIMEOUT, NO_CONNECT)), st.integers(1, 4)),
        st.tuples(st.just("leave"), st.integers(0, 50)),
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
    ledger = Ledger(seed, config)
    ledger.members(LIST_CACHED, [entry for entry in first if entry.phase != GONE])
    for name, *arguments in steps:
        if name == "members" and arguments[0] in (LIST_FULL, LIST_CACHED):
            arguments[1] = [entry for entry in arguments[1] if entry.phase != GONE]  # type: ignore[attr-defined]
        getattr(ledger, name)(*arguments)
    ledger.pass_time(5 * SECOND)
    unanswered = [rid for rid, one in ledger.asked.items() if not one.over]
    assert not unanswered, "every request is answered in the end"
    assert not ledger.balancer.requests
    queues = ledger.balancer.key_queues.queues.values()
    assert not any(queue.open_requests or queue.outstanding_attempts for queue in queues)


def run_twice(seed: int, steps: list[tuple[str, *tuple[object, ...]]]) -> list[list[tuple[int, int]]]:
    config = Settings(classes=CLASSES, max_attempts=3, second_copies=True, can_cancel=True)
    ledgers = []
    for _ in range(2):
        ledger = Ledger(seed, config)
        ledger.members(LIST_CACHED, [Entry(n, READY, 0, 1.0, n % 3, n % 2, 0) for n in range(1, 9)])
        for name, *arguments in steps:
            if name != "members":
                getattr(ledger, name)(*arguments)
        ledgers.append([(t.endpoint, t.at) for one in ledger.asked.values() for t in one.tries])
    return ledgers


@settings(derandomize=True, deadline=None, max_examples=50, database=None)
@given(seed=st.integers(0, 2**32), steps=STEPS)
def test_same_events_give_the_same_actions(seed: int, steps: list[tuple[str, *tuple[object, ...]]]) -> None:
    one, two = run_twice(seed, steps)
    assert one == two


@plain_only
@pytest.mark.parametrize(
    ("owner", "guard", "broken", "cls", "why"),
    [
        (KeyQueues, "has_turn", True, 5, "one of a key at a time"),
        (RetryPolicy, "can_attempt", True, 1, "no effect twice"),
        (Membership, "remove", False, 0, "only to endpoints that are ready"),
    ],
)
def test_the_ledger_sees_each_rule_broken(
    monkeypatch: pytest.MonkeyPatch, owner: type, guard: str, broken: bool, cls: int, why: str
) -> None:
    """A checker that can't fail proves nothing: take one guard away at a time."""

    def play() -> None:
        ledger = Ledger(1, Settings(classes=CLASSES, max_attempts=3, can_cancel=True))
        ready = [Entry(n, READY, 0, 1.0, 0, 0, 0) for n in range(1, 5)]
        ledger.members(LIST_FULL, ready)
        ledger.members(LIST_DELTA, [replace(entry, phase=DRAINING) for entry in ready[:3]])
        for _ in range(7):
            ledger.request(cls, SECOND, 0)
        ledger.members(LIST_DELTA, ready)
        ledger.storm(ERROR, 2)

    play()
    monkeypatch.setattr(owner, guard, lambda *_: broken)
    with pytest.raises(AssertionError, match=why):
        play()
