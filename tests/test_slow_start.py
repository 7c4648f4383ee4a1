"""The load that a whole fleet puts on cold endpoints: many balancers in one process, one set of endpoints.

Each case is generated from its seed and simulated with a virtual clock in µs. The requests that each
cold endpoint gets in any interval of `overload_for_us` are compared with the load that it can take
(docs/design/slow_start.md): N + 2 x root of N + 2 requests, where N is
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

VIEW_CLASS = RequestClass(effect=SAFE, aim_us=SECOND, deadline_us=3 * SECOND)
SETTINGS = Settings(
    classes=(VIEW_CLASS,), stage=1, stages=3, max_attempts=3,
    cold_share=0.13, cold_us=23 * SECOND, tip_multiple=3.0, overload_for_us=SECOND,
)  # fmt: skip
CORES = 2
WARM_UP_US = 3 * SECOND  # all endpoints are warm before this, so that the copies measure their rates
CAPACITY_IN_FLIGHT = 40  # requests that an endpoint holds; it rejects any further one


@dataclass(frozen=True)
class Case:
    """The parameters of a simulated fleet. `capacities` are in requests per second, assigned in turn."""

    copies: int
    endpoints: int
    replaced: int  # number of endpoints that are replaced with new, cold ones
    load_share: float = 0.6  # traffic as a share of the capacity of all endpoints while warm
    skew: float = 1.0  # one copy of ten gets this multiple of the traffic of each other copy
    capacities: tuple[float, ...] = (20.0,)
    list_delay_us: int = 0  # longest delay of a list to a copy
    surge_factor: float = 1.0  # the traffic grows by this factor when the cold endpoints start
    replacement_steps: int = 1  # number of steps in which endpoints are replaced
    removed: int = 0  # number of other endpoints that are removed a second later, without replacement
    # Share of the copies that restart, without any state, half a second after the endpoints' start.
    restarted_share: float = 0.0
    span_us: int = 6 * SECOND  # simulated time after the start of the cold endpoints
    settings: Settings = SETTINGS
    seed: int = 1


class Server:
    """One endpoint: cores that serve requests in order, at the warm share of their speed."""

    def __init__(self, boot: int, capacity: float) -> None:
        self.boot, self.capacity = boot, capacity
        self.cores_free_at = [0] * CORES
        self.end_times: list[int] = []  # when each request in service will be finished
        self.arrivals: list[int] = []

    def warmth(self, now: int, settings: Settings) -> float:
        """Return the least share of its capacity, from 0 to 1, that the settings give the endpoint."""
        if not self.boot:
            return 1.0
        age = max(0, now - self.boot) / settings.cold_us
        return min(1.0, settings.cold_share + (1.0 - settings.cold_share) * age)

    def serve(self, now: int, work: float, settings: Settings) -> int | None:
        """Serve a request of `work` times the mean; returns when it ends, or None if the endpoint is full."""
        self.arrivals.append(now)
        while self.end_times and self.end_times[0] <= now:
            heappop(self.end_times)
        if len(self.end_times) >= CAPACITY_IN_FLIGHT:
            return None
        start_at = max(now, self.cores_free_at[0])
        end_at = start_at + int(work * CORES / self.capacity * SECOND / self.warmth(start_at, settings))
        heapreplace(self.cores_free_at, end_at)
        heappush(self.end_times, end_at)
        return end_at

    def allowed_in_span(self, now: int, settings: Settings) -> float:
        mean_requests = settings.tip_multiple * self.warmth(now, settings) * self.capacity
        mean_requests *= settings.overload_for_us / SECOND
        return mean_requests + 2.0 * sqrt(mean_requests) + 2.0

    def highest_utilization(self, settings: Settings) -> float:
        """Return the largest number of requests in an interval, as a share of the number allowed.

        The number allowed is that at the beginning of the interval, which is the smallest.
        """
        interval: deque[int] = deque()
        highest = 0.0
        for send_at in self.arrivals:
            interval.append(send_at)
            while interval[0] <= send_at - settings.overload_for_us:
                interval.popleft()
            highest = max(
                highest, len(interval) / self.allowed_in_span(send_at - settings.overload_for_us, settings)
            )
        return highest


class Fleet:
    """Simulates a case: `Balancer`s, endpoints and one heap of events."""

    def __init__(self, case: Case) -> None:
        self.case = case
        self.rng = random.Random(case.seed)
        self.copies = [self._create_copy(me) for me in range(case.copies)]
        self.servers: dict[int, Server] = {}
        self.events: list[tuple[int, int, int, object]] = []  # time, order, copy, event
        self.event_count = 0
        self.requests: dict[int, tuple[int, float]] = {}  # expiry and work of each request
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
        """Replace a copy with a new process that has the present list; the old attempts are dropped."""
        self.copies[me] = self._create_copy(me)
        return self.copies[me].start(now) + self.copies[me].members(now, LIST_FULL, self.listed)

    def _add_server(self, number: int, boot: int) -> Entry:
        capacities = self.case.capacities
        self.servers[number] = Server(boot, capacities[number % len(capacities)])
        return Entry(number, READY, boot, 1.0, number, 0, number % len(capacities))

    def _schedule(self, when: int, copy: int, event: object) -> None:
        self.event_count += 1
        heappush(self.events, (when, self.event_count, copy, event))

    def _schedule_list_changes(self) -> None:
        """Schedule the lists that replace and remove endpoints, in steps, with a delay for each copy."""
        case = self.case
        replaced_ids = self.rng.sample(sorted(self.servers), case.replaced)
        other_ids = sorted(set(self.servers) - set(replaced_ids))
        removed_entries = [
            Entry(other_id, GONE, 0, 1.0, other_id, 0, 0) for other_id in other_ids[: case.removed]
        ]
        for copy_number in range(case.copies if removed_entries else 0):
            self._schedule(
                WARM_UP_US + SECOND + self.rng.randrange(case.list_delay_us + 1), copy_number, removed_entries
            )
        for step in range(case.replacement_steps):
            at = WARM_UP_US + step * SECOND
            step_ids = replaced_ids[step :: case.replacement_steps]
            listed = [Entry(replaced_id, GONE, 0, 1.0, replaced_id, 0, 0) for replaced_id in step_ids]
            # New ids, with the capacities of the replaced endpoints.
            listed += [
                self._add_server(replaced_id + 7 * len(case.capacities) * 1000, at)
                for replaced_id in step_ids
            ]
            self.listed = [entry for entry in self.listed if entry.endpoint not in step_ids] + listed[
                len(step_ids) :
            ]
            for copy_number in range(case.copies):
                self._schedule(at + self.rng.randrange(case.list_delay_us + 1), copy_number, listed)

    def _schedule_arrivals(self) -> None:
        case = self.case
        rate = case.load_share * sum(server.capacity for server in self.servers.values()) / SECOND
        shares = [case.skew if copy_number % 10 == 3 else 1.0 for copy_number in range(case.copies)]
        self.rng.shuffle(shares)
        weights, now_us, request_id, surged = list(accumulate(shares)), 0.0, 0, False
        while (now_us := now_us + self.rng.expovariate(rate)) < WARM_UP_US + case.span_us:
            if now_us >= WARM_UP_US and not surged:
                surged, rate = True, rate * case.surge_factor
            request_id += 1
            (copy_number,) = self.rng.choices(range(case.copies), cum_weights=weights)
            self.events.append((int(now_us), -request_id, copy_number, request_id))
        heapify(self.events)

    def play(self) -> list[float]:
        """Simulate the case; returns each cold endpoint's highest utilization, 1.0 at most if it is safe."""
        self._schedule_arrivals()
        self._schedule_list_changes()
        for copy_number in self.rng.sample(
            range(self.case.copies), round(self.case.restarted_share * self.case.copies)
        ):
            self._schedule(WARM_UP_US + SECOND // 2 + self.rng.randrange(300 * MS), copy_number, None)
        while self.events:
            now, _, copy_number, event = heappop(self.events)
            copy = self.copies[copy_number]
            if isinstance(event, int):
                work = self.rng.uniform(0.5, 1.5)
                self.requests[event] = now + VIEW_CLASS.deadline_us, work
                self._perform(
                    now, copy_number, copy.request(now, Arrival(event, 0, now + VIEW_CLASS.deadline_us))
                )
            elif isinstance(event, tuple):
                self._perform(now, copy_number, self._deliver(now, copy, *event))
            elif isinstance(event, list):
                self._perform(now, copy_number, copy.members(now, LIST_DELTA, event))
            else:
                self._perform(now, copy_number, self._restart_copy(now, copy_number))
        return [
            server.highest_utilization(self.case.settings) for server in self.servers.values() if server.boot
        ]

    def _deliver(self, now: int, copy: Balancer, owner: Balancer, event: Outcome | Timer) -> list[Action]:
        if isinstance(event, Outcome):
            self.result_counts["served" if event.outcome == OK else "failed"] += 1
        if owner is not copy:
            return []  # of a process that has been replaced
        return copy.timer(now, event.token) if isinstance(event, Timer) else copy.outcome(now, event)

    def _perform(self, now: int, copy_number: int, actions: Sequence[Action]) -> None:
        for action in actions:
            if isinstance(action, Timer):
                self._schedule(now + action.delay_us, copy_number, (self.copies[copy_number], action))
            elif isinstance(action, Send):
                ended_at, outcome = self._start_attempt(now, action)
                self._schedule(ended_at, copy_number, (self.copies[copy_number], outcome))

    def _start_attempt(self, now: int, send: Send) -> tuple[int, Outcome]:
        expires_at, work = self.requests[send.request]
        attempt_index = self.attempt_counts[send.request]
        self.attempt_counts[send.request] += 1
        served_at = self.servers[send.endpoint].serve(now, work, self.case.settings)
        ended_at, outcome = (now + MS, FULL) if served_at is None else (served_at, OK)
        if ended_at >= expires_at:
            ended_at, outcome = expires_at, TIMEOUT
        is_final = outcome != FULL
        return ended_at, Outcome(
            send.request, attempt_index, send.endpoint, outcome, ended_at - now, is_final
        )


FLEETS = [(1, 10), (3, 10), (17, 10), (60, 20), (200, 15), (200, 40)]  # copies, endpoints


def check_no_overload(case: Case) -> None:
    fleet = Fleet(case)
    utilizations = fleet.play()
    assert max(utilizations) <= 1.0, (
        f"an interval had {max(utilizations):.2f} of the load that a cold endpoint can take"
    )
    assert fleet.result_counts["served"] > 0.25 * len(fleet.requests), (
        "a fleet that sends nothing proves nothing"
    )


def test_the_checked_load_is_the_sum_over_all_copies_in_an_interval() -> None:
    """At the start, N is 7.8 requests, so that 15 requests in an interval are safe and 16 are not."""
    for number, is_safe in ((15, True), (16, False)):
        server = Server(WARM_UP_US, 20.0)
        server.arrivals = [WARM_UP_US + k * SECOND // number for k in range(number)]
        assert (server.highest_utilization(SETTINGS) <= 1.0) == is_safe
        server.arrivals = [WARM_UP_US + k * SECOND for k in range(number)]
        assert server.highest_utilization(SETTINGS) < 0.2


@pytest.mark.parametrize("starting_share", [0.0, 0.4, 0.6], ids=["one", "several", "six in ten"])
@pytest.mark.parametrize(("copies", "endpoints"), FLEETS)
def test_equal_traffic(copies: int, endpoints: int, starting_share: float) -> None:
    starting = max(1, round(starting_share * endpoints)) if starting_share != 0.4 else 4
    check_no_overload(Case(copies, endpoints, starting, span_us=3 * SECOND))


@pytest.mark.parametrize(("copies", "endpoints"), FLEETS)
def test_skewed_traffic_with_delayed_lists(copies: int, endpoints: int) -> None:
    """One copy of ten has eight times the traffic of the others; endpoints start in three steps."""
    case = Case(copies, endpoints, round(0.6 * endpoints), load_share=0.8, skew=8.0, replacement_steps=3)
    check_no_overload(replace(case, list_delay_us=SECOND, surge_factor=1.3, span_us=3 * SECOND))


@pytest.mark.parametrize(("copies", "endpoints"), [(3, 10), (17, 10), (60, 12), (200, 30)])
def test_endpoints_of_different_capacities(copies: int, endpoints: int) -> None:
    check_no_overload(
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
def test_seven_in_ten_copies_restart_while_endpoints_are_cold(copies: int, endpoints: int) -> None:
    check_no_overload(
        Case(
            copies, endpoints, round(0.6 * endpoints), load_share=0.8, restarted_share=0.7, span_us=3 * SECOND
        )
    )


@pytest.mark.parametrize("copies", [1, 17, 60, 200])
def test_all_endpoints_start_at_once(copies: int) -> None:
    check_no_overload(Case(copies, 6, 6, load_share=0.8, span_us=2 * SECOND))


@pytest.mark.parametrize("copies", [3, 60, 200])
def test_other_settings_and_many_requests(copies: int) -> None:
    other = replace(SETTINGS, tip_multiple=1.5, cold_share=0.3, cold_us=10 * SECOND, overload_for_us=500 * MS)
    check_no_overload(Case(copies, 8, 4, load_share=0.9, settings=other, span_us=4 * SECOND))
    check_no_overload(Case(copies, 4, 2, load_share=0.9, capacities=(200.0,), span_us=SECOND))


@pytest.mark.parametrize("interval_us", [4 * MS, 20 * MS, 200 * MS])
def test_one_copy_sends_no_more_than_the_formula_says(interval_us: int) -> None:
    """A copy sends at most 1 + 2a requests in an interval, where a is BUDGET_PART x tip_multiple x warm-up
    fraction x the rate at which an endpoint of its subsets answers it x overload_for_us, however much
    budget it has accumulated and whenever it spends it.
    """
    driver = Driver(balancer := started(4, overload_for_us=SECOND))
    cold_endpoint = balancer.endpoints[100]
    cold_endpoint.overloaded_until = 10**12  # only this test spends its budget
    rng, spent_at, accumulate_until = random.Random(interval_us), list[int](), 0
    for now in range(interval_us, 40 * SECOND, interval_us):
        assert driver.serve(now, interval_us // 2)
        if now == 5 * SECOND:
            cold_endpoint.started_at = cold_endpoint.slow_start_budget_at = now
        if now > accumulate_until + 2 * SECOND:
            accumulate_until = now + rng.randrange(3 * SECOND)  # accumulate until then, then spend all
        while (
            now > accumulate_until
            and cold_endpoint.started_at
            and balancer.slow_start.is_warming_up(now, cold_endpoint)
        ):
            if balancer.slow_start.refill_budget(now, cold_endpoint) < 1.0:
                break
            cold_endpoint.slow_start_budget -= 1.0
            spent_at.append(now)
    assert len(spent_at) > 2
    for start_at in spent_at:
        # A rate that is read just after an answer exceeds its mean by this factor.
        warm_fraction = balancer.slow_start.warmup_fraction(start_at + SECOND, cold_endpoint)
        allowed_requests = 0.5 * balancer.settings.tip_multiple * warm_fraction / 4 * SECOND / interval_us
        allowed_requests *= 1.0 + interval_us / balancer.latencies.rate_memory_us
        allowed_requests = max(allowed_requests, 0.5 * SECOND / balancer.latencies.longest_objective_us)
        assert (
            sum(start_at <= other < start_at + SECOND for other in spent_at)
            <= 1.0 + 2.0 * allowed_requests + 1e-6
        )


@pytest.mark.parametrize(
    ("copies", "endpoints", "capacity"), [(17, 10, 100.0), (60, 20, 20.0), (200, 20, 20.0)]
)
def test_most_warm_endpoints_are_removed_beside_cold_ones(
    copies: int, endpoints: int, capacity: float
) -> None:
    """After the removal, the assumed rate of each remaining endpoint rose at once by the traffic of the
    removed ones, and each was in the subsets of more copies. The copies sent twice the load that a cold
    endpoint can take until the old rates had decayed.
    """
    case = Case(copies, endpoints, endpoints // 10, load_share=0.8, capacities=(capacity,))
    check_no_overload(replace(case, removed=round(0.8 * endpoints), span_us=3 * SECOND))


def test_a_shorter_list_does_not_raise_the_total_budget_of_an_endpoint() -> None:
    """The budget of all copies follows from the list at the time of the answers, not from a later list, with
    and without a price of crossing zones.
    """
    for changes in (
        {"instances": 6},
        {"instances": 60},
        {"instances": 6, "zones": 2, "cross_zone_price": 0.1},
    ):
        driver = Driver(balancer := started(20, **changes))
        assert all(driver.serve(now, 5 * MS) for now in range(20 * MS, 5 * SECOND, 20 * MS))
        total_budgets = []
        for size in (20, 4):
            balancer.members(5 * SECOND, LIST_FULL, fleet(size))
            cold_endpoint = next(
                one for one in balancer.endpoints.values() if balancer.subsets.pair[0].contains(one)
            )
            copies_with_endpoint = balancer.subsets.endpoints_in_subsets * balancer.settings.instances / size
            cold_endpoint.started_at = cold_endpoint.slow_start_budget_at = 5 * SECOND
            cold_endpoint.slow_start_budget = 0.0
            total_budgets.append(
                balancer.slow_start.refill_budget(5 * SECOND + 10 * MS, cold_endpoint) * copies_with_endpoint
            )
        assert total_budgets[1] <= 1.1 * total_budgets[0], changes
