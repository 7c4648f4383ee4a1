"""What a whole fleet sends to a cold endpoint: many modules in one process, one pool of endpoints.

Each case is drawn from its seed and played on a clock of its own, in µs. Counted is what each
cold endpoint gets within any span of `overload_for_us`, against the bound under which it stands
(docs/design/slow_start.md): N + 2 x root of N + 2 requests, N being
`tip_multiple` x (`cold_share` + (1 - `cold_share`) x age / `cold_us`) x capacity x `overload_for_us`.
"""

from __future__ import annotations

import random
from collections import Counter, deque
from collections.abc import Sequence
from dataclasses import dataclass, replace
from heapq import heapify, heappop, heappush, heapreplace
from itertools import accumulate
from math import sqrt

import pytest
from laurelstep.balancing.balancer import Balancer
from laurelstep.balancing.events import (
    FULL,
    GONE,
    LIST_DELTA,
    LIST_FULL,
    OK,
    READY,
    SAFE,
    TIMEOUT,
    Action,
    Arrival,
    Entry,
    Outcome,
    RequestClass,
    Send,
    Settings,
    Timer,
)

from tests.helpers import MS, SECOND, Driver, fleet, started

VIEW = RequestClass(effect=SAFE, aim_us=SECOND, deadline_us=3 * SECOND)
SETTINGS = Settings(
    classes=(VIEW,), stage=1, stages=3, max_attempts=3,
    cold_share=0.13, cold_us=23 * SECOND, tip_multiple=3.0, overload_for_us=SECOND,
)  # fmt: skip
CORES = 2
WARM_UP = 3 * SECOND  # all is warm before this: the copies learn what they serve
ROOM = 40  # requests that an endpoint holds at most; one more is turned away


@dataclass(frozen=True)
class Case:
    """A made fleet. `capacities` are in requests a second, dealt out in turn."""

    copies: int
    endpoints: int
    replaced: int  # so many endpoints give way, at once, to new ones that start cold
    load_share: float = 0.6  # of what all endpoints can do while warm
    skew: float = 1.0  # one copy of ten gets this multiple of what each other one gets
    capacities: tuple[float, ...] = (20.0,)
    list_delay_us: int = 0  # the list reaches each copy within this
    surge_factor: float = 1.0  # the traffic grows by this factor as they start
    replacement_steps: int = 1  # the replaced ones go in so many steps
    removed: int = 0  # so many of the others leave the list a second later, and nothing comes for them
    restarted_share: float = (
        0.0  # this part of the copies is new half a second after the start, and knows nothing
    )
    span_us: int = 6 * SECOND  # played past the start
    settings: Settings = SETTINGS
    seed: int = 1


class Server:
    """One endpoint: cores that serve in turn, at the share of their speed that is warm."""

    def __init__(self, boot: int, capacity: float) -> None:
        self.boot, self.capacity = boot, capacity
        self.cores_free_at = [0] * CORES
        self.end_times: list[int] = []  # when each request in hand will have been served
        self.arrivals: list[int] = []

    def warmth(self, now: int, settings: Settings) -> float:
        """The least that the settings allow it."""
        if not self.boot:
            return 1.0
        age = max(0, now - self.boot) / settings.cold_us
        return min(1.0, settings.cold_share + (1.0 - settings.cold_share) * age)

    def serve(self, now: int, work: float, settings: Settings) -> int | None:
        """When the request, `work` times the mean, will have been served; None if there is no room."""
        self.arrivals.append(now)
        while self.end_times and self.end_times[0] <= now:
            heappop(self.end_times)
        if len(self.end_times) >= ROOM:
            return None
        begin = max(now, self.cores_free_at[0])
        end = begin + int(work * CORES / self.capacity * SECOND / self.warmth(begin, settings))
        heapreplace(self.cores_free_at, end)
        heappush(self.end_times, end)
        return end

    def allowed_in_span(self, now: int, settings: Settings) -> float:
        number = settings.tip_multiple * self.warmth(now, settings) * self.capacity
        number *= settings.overload_for_us / SECOND
        return number + 2.0 * sqrt(number) + 2.0

    def highest_utilization(self, settings: Settings) -> float:
        """The most that it got within a span, as a part of what it stood then. Counted by what
        the span's beginning allows, which is the least."""
        span: deque[int] = deque()
        worst = 0.0
        for at in self.arrivals:
            span.append(at)
            while span[0] <= at - settings.overload_for_us:
                span.popleft()
            worst = max(worst, len(span) / self.allowed_in_span(at - settings.overload_for_us, settings))
        return worst


class Fleet:
    """Plays a case: `Balancer`s, endpoints, and one heap of what is to come."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.rng = random.Random(case.seed)
        self.copies = [self._create_copy(me) for me in range(case.copies)]
        self.servers: dict[int, Server] = {}
        self.events: list[tuple[int, int, int, object]] = []  # when, in which order, to which copy, what
        self.event_count = 0
        self.requests: dict[int, tuple[int, float]] = {}  # when each request expires, and its work
        self.attempt_counts: Counter[int] = Counter()
        self.result_counts: Counter[str] = Counter()
        self.listed = [self._add_server(100 + n, 0) for n in range(case.endpoints)]
        for copy in self.copies:
            copy.start(0)
            copy.members(0, LIST_FULL, self.listed)

    def _create_copy(self, me: int) -> Balancer:
        settings = replace(self.case.settings, me=me, instances=self.case.copies)
        return Balancer(self.rng.getrandbits(32), settings)

    def _restart_copy(self, now: int, me: int) -> list[Action]:
        """A new process in its place, with the list of now; what the old one had out is nobody's."""
        self.copies[me] = self._create_copy(me)
        return self.copies[me].start(now) + self.copies[me].members(now, LIST_FULL, self.listed)

    def _add_server(self, number: int, boot: int) -> Entry:
        capacities = self.case.capacities
        self.servers[number] = Server(boot, capacities[number % len(capacities)])
        return Entry(number, READY, boot, 1.0, number, 0, number % len(capacities))

    def _schedule(self, when: int, copy: int, what: object) -> None:
        self.event_count += 1
        heappush(self.events, (when, self.event_count, copy, what))

    def _schedule_list_changes(self) -> None:
        """Old ones go and new ones start, some in each step, told to each copy in its time."""
        case = self.case
        olds = self.rng.sample(sorted(self.servers), case.replaced)
        others = sorted(set(self.servers) - set(olds))
        lost = [Entry(other, GONE, 0, 1.0, other, 0, 0) for other in others[: case.removed]]
        for copy in range(case.copies if lost else 0):
            self._schedule(WARM_UP + SECOND + self.rng.randrange(case.list_delay_us + 1), copy, lost)
        for step in range(case.replacement_steps):
            at = WARM_UP + step * SECOND
            some = olds[step :: case.replacement_steps]
            listed = [Entry(old, GONE, 0, 1.0, old, 0, 0) for old in some]
            # New numbers, and the capacities of those that went.
            listed += [self._add_server(old + 7 * len(case.capacities) * 1000, at) for old in some]
            self.listed = [one for one in self.listed if one.endpoint not in some] + listed[len(some) :]
            for copy in range(case.copies):
                self._schedule(at + self.rng.randrange(case.list_delay_us + 1), copy, listed)

    def _schedule_arrivals(self) -> None:
        case = self.case
        rate = case.load_share * sum(server.capacity for server in self.servers.values()) / SECOND
        shares = [case.skew if me % 10 == 3 else 1.0 for me in range(case.copies)]
        self.rng.shuffle(shares)
        weights, now, number, surged = list(accumulate(shares)), 0.0, 0, False
        while (now := now + self.rng.expovariate(rate)) < WARM_UP + case.span_us:
            if now >= WARM_UP and not surged:
                surged, rate = True, rate * case.surge_factor
            number += 1
            (copy,) = self.rng.choices(range(case.copies), cum_weights=weights)
            self.events.append((int(now), -number, copy, number))
        heapify(self.events)

    def play(self) -> list[float]:
        """How full each cold endpoint's fullest span was: at most 1.0 where it stands."""
        self._schedule_arrivals()
        self._schedule_list_changes()
        for me in self.rng.sample(
            range(self.case.copies), round(self.case.restarted_share * self.case.copies)
        ):
            self._schedule(WARM_UP + SECOND // 2 + self.rng.randrange(300 * MS), me, None)
        while self.events:
            now, _, number, what = heappop(self.events)
            copy = self.copies[number]
            if isinstance(what, int):
                work = self.rng.uniform(0.5, 1.5)
                self.requests[what] = now + VIEW.deadline_us, work
                self._perform(now, number, copy.request(now, Arrival(what, 0, now + VIEW.deadline_us)))
            elif isinstance(what, tuple):
                self._perform(now, number, self._deliver(now, copy, *what))
            elif isinstance(what, list):
                self._perform(now, number, copy.members(now, LIST_DELTA, what))
            else:
                self._perform(now, number, self._restart_copy(now, number))
        return [
            server.highest_utilization(self.case.settings) for server in self.servers.values() if server.boot
        ]

    def _deliver(self, now: int, copy: Balancer, owner: Balancer, what: Outcome | Timer) -> list[Action]:
        if isinstance(what, Outcome):
            self.result_counts["served" if what.outcome == OK else "failed"] += 1
        if owner is not copy:
            return []  # of a process that is no more
        return copy.timer(now, what.token) if isinstance(what, Timer) else copy.outcome(now, what)

    def _perform(self, now: int, copy: int, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, Timer):
                self._schedule(now + action.delay_us, copy, (self.copies[copy], action))
            elif isinstance(action, Send):
                at, outcome = self._start_attempt(now, action)
                self._schedule(at, copy, (self.copies[copy], outcome))

    def _start_attempt(self, now: int, send: Send) -> tuple[int, Outcome]:
        expires, work = self.requests[send.request]
        attempt = self.attempt_counts[send.request]
        self.attempt_counts[send.request] += 1
        end = self.servers[send.endpoint].serve(now, work, self.case.settings)
        at, outcome = (now + MS, FULL) if end is None else (end, OK)
        if at >= expires:
            at, outcome = expires, TIMEOUT
        over = outcome != FULL
        return at, Outcome(send.request, attempt, send.endpoint, outcome, at - now, over)


FLEETS = [(1, 10), (3, 10), (17, 10), (60, 20), (200, 15), (200, 40)]  # copies, endpoints


def holds(case: Case) -> None:
    fleet = Fleet(case)
    fullest = fleet.play()
    assert max(fullest) <= 1.0, f"a span held {max(fullest):.2f} of what a cold endpoint stands"
    assert fleet.result_counts["served"] > 0.25 * len(fleet.requests), (
        "a fleet that sends nothing proves nothing"
    )


def test_what_is_counted_is_the_sum_of_all_copies_within_a_span() -> None:
    """7.8 requests are allowed at the start, so 15 in a span stand and 16 do not."""
    for number, stands in ((15, True), (16, False)):
        server = Server(WARM_UP, 20.0)
        server.arrivals = [WARM_UP + k * SECOND // number for k in range(number)]
        assert (server.highest_utilization(SETTINGS) <= 1.0) == stands
        server.arrivals = [WARM_UP + k * SECOND for k in range(number)]
        assert server.highest_utilization(SETTINGS) < 0.2


@pytest.mark.parametrize("part", [0.0, 0.4, 0.6], ids=["one", "several", "six in ten"])
@pytest.mark.parametrize(("copies", "endpoints"), FLEETS)
def test_equal_traffic(copies: int, endpoints: int, part: float) -> None:
    starting = max(1, round(part * endpoints)) if part != 0.4 else 4
    holds(Case(copies, endpoints, starting, span_us=3 * SECOND))


@pytest.mark.parametrize(("copies", "endpoints"), FLEETS)
def test_skewed_traffic_under_load_with_lists_of_different_age(copies: int, endpoints: int) -> None:
    """One copy of ten has eight times as much as the others; starts come in three steps."""
    some = Case(copies, endpoints, round(0.6 * endpoints), load_share=0.8, skew=8.0, replacement_steps=3)
    holds(replace(some, list_delay_us=SECOND, surge_factor=1.3, span_us=3 * SECOND))


@pytest.mark.parametrize(("copies", "endpoints"), [(3, 10), (17, 10), (60, 12), (200, 30)])
def test_endpoints_of_several_kinds(copies: int, endpoints: int) -> None:
    holds(
        Case(
            copies,
            endpoints,
            endpoints // 2,
            load_share=0.8,
            capacities=(10.0, 20.0, 40.0),
            span_us=3 * SECOND,
        )
    )


@pytest.mark.parametrize(("copies", "endpoints"), FLEETS)
def test_seven_in_ten_copies_are_new_while_endpoints_are_cold(copies: int, endpoints: int) -> None:
    holds(
        Case(
            copies, endpoints, round(0.6 * endpoints), load_share=0.8, restarted_share=0.7, span_us=3 * SECOND
        )
    )


@pytest.mark.parametrize("copies", [1, 17, 60, 200])
def test_all_start_at_once(copies: int) -> None:
    holds(Case(copies, 6, 6, load_share=0.8, span_us=2 * SECOND))


@pytest.mark.parametrize("copies", [3, 60, 200])
def test_other_settings_and_many_requests(copies: int) -> None:
    other = replace(SETTINGS, tip_multiple=1.5, cold_share=0.3, cold_us=10 * SECOND, overload_for_us=500 * MS)
    holds(Case(copies, 8, 4, load_share=0.9, settings=other, span_us=4 * SECOND))
    holds(Case(copies, 4, 2, load_share=0.9, capacities=(200.0,), span_us=SECOND))


@pytest.mark.parametrize("gap", [4 * MS, 20 * MS, 200 * MS])
def test_one_copy_sends_no_more_than_the_formula_says(gap: int) -> None:
    """At most 1 + 2a in a span, a being SAFETY x tip_multiple x warm-up fraction x what an endpoint of
    its subsets serves it x overload_for_us; whatever it saved up before, and whenever it spends it."""
    driver = Driver(balancer := started(4, overload_for_us=SECOND))
    cold = balancer.endpoints[100]
    cold.overloaded_until = 10**12  # nothing is sent there but what this test takes
    rng, spent, thrifty = random.Random(gap), list[int](), 0
    for now in range(gap, 40 * SECOND, gap):
        assert driver.serve(now, gap // 2)
        if now == 5 * SECOND:
            cold.started_at = cold.slow_start_budget_at = now
        if now > thrifty + 2 * SECOND:
            thrifty = now + rng.randrange(3 * SECOND)  # it saves up to here, and then takes all it may
        while now > thrifty and cold.started_at and balancer.slow_start.is_warming_up(now, cold):
            if balancer.slow_start.refill_budget(now, cold) < 1.0:
                break
            cold.slow_start_budget -= 1.0
            spent.append(now)
    assert len(spent) > 2
    for at in spent:
        # A rate that is read just after a send shows by so much more than its mean.
        warm = balancer.slow_start.warmup_fraction(at + SECOND, cold)
        part = 0.5 * balancer.settings.tip_multiple * warm / 4 * SECOND / gap
        part *= 1.0 + gap / balancer.latencies.rate_memory_us
        part = max(part, 0.5 * SECOND / balancer.latencies.longest_objective_us)
        assert sum(at <= other < at + SECOND for other in spent) <= 1.0 + 2.0 * part + 1e-6


@pytest.mark.parametrize(
    ("copies", "endpoints", "capacity"), [(17, 10, 100.0), (60, 20, 20.0), (200, 20, 20.0)]
)
def test_most_of_the_warm_ones_leave_beside_cold_ones(copies: int, endpoints: int, capacity: float) -> None:
    """What each one left stood for grew at once by what the others had served, and each was on more
    copies' arcs: the copies sent twice what a cold one stands, until the memory of it faded."""
    some = Case(copies, endpoints, endpoints // 10, load_share=0.8, capacities=(capacity,))
    holds(replace(some, removed=round(0.8 * endpoints), span_us=3 * SECOND))


def test_a_shorter_list_makes_no_part_of_an_endpoint_larger() -> None:
    """With and without a price of crossing zones: what all copies may send follows from the time
    at which it was served, not from the list that came since."""
    for changes in (
        {"instances": 6},
        {"instances": 60},
        {"instances": 6, "zones": 2, "cross_zone_price": 0.1},
    ):
        driver = Driver(balancer := started(20, **changes))
        assert all(driver.serve(now, 5 * MS) for now in range(20 * MS, 5 * SECOND, 20 * MS))
        parts = []
        for size in (20, 4):
            balancer.members(5 * SECOND, LIST_FULL, fleet(size))
            cold = next(one for one in balancer.endpoints.values() if balancer.subsets.pair[0].contains(one))
            holders = balancer.subsets.endpoints_in_subsets * balancer.settings.instances / size
            cold.started_at = cold.slow_start_budget_at = 5 * SECOND
            cold.slow_start_budget = 0.0
            parts.append(balancer.slow_start.refill_budget(5 * SECOND + 10 * MS, cold) * holders)
        assert parts[1] <= 1.1 * parts[0], changes
