"""The load that whole fleets put on cold endpoints when the traffic of the copies is very unequal.

The load that a cold endpoint can take is N + 2 x root of N + 2 requests of mean work in any interval of
`overload_for_us`, where N follows from the settings at the beginning of the interval, when it is smallest
(docs/design/slow_start.md). Every attempt that reaches the endpoint counts, also rejected ones and
retries. An interval above that load is a violation if more than two thirds of it came from copies that
knew of the start. Time and random numbers are simulated: the same seed gives the same run.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from heapq import heapify
from math import sqrt

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from laurelstep.balancing.balancer import Balancer
from laurelstep.balancing.events import NO_CONNECT, READY, TIMEOUT, Entry, Outcome, Send, Settings

from tests.helpers import on_ring
from tests.test_slow_start import SETTINGS, VIEW_CLASS, WARM_UP_US, Case, Fleet, Server

SECOND = 1_000_000
MS = 1_000


@dataclass(frozen=True)
class UnevenCase(Case):
    """A fleet in which a few hot copies get a large share of the traffic, and the others equal shares."""

    hot_copies: int = 1
    hot_traffic_share: float = 0.0  # share of all traffic for the hot copies together; 0 = an equal share
    configured_copies: int = 0  # copies in the settings where the real number differs; 0 = the real number
    is_in_row: bool = False  # the starting endpoints are neighbours on the ring, as in a rack or zone
    other_outcome: int = -1  # from the start on, outcome of attempts at warm endpoints; -1 = as simulated


class ColdServer(Server):
    """An endpoint whose load is checked from its start on; before that, a former process serves requests."""

    def __init__(self, boot: int, capacity: float) -> None:
        super().__init__(boot, capacity)
        self.former_server = Server(0, capacity)
        self.sender_knew_start: list[bool] = []  # for each arrival, whether its sender knew of the start

    def serve(self, now: int, work: float, settings: Settings) -> int | None:
        if now < self.boot:
            return self.former_server.serve(now, work, settings)
        return super().serve(now, work, settings)

    def allowed_in_span(self, now: int, settings: Settings) -> float:
        mean_requests = settings.tip_multiple * self.warmth(now, settings) * self.capacity
        mean_requests *= settings.overload_for_us / SECOND
        return mean_requests + 2.0 * sqrt(mean_requests) + 2.0

    def highest_utilization(self, settings: Settings) -> float:
        """Return the largest number of requests in an interval, as a share of the number allowed.

        Only intervals count of which more than two thirds came from copies that knew of the start.
        """
        interval: deque[tuple[int, bool]] = deque()
        known_count, highest = 0, 0.0
        for send_at, sender_knew in zip(self.arrivals, self.sender_knew_start, strict=True):
            interval.append((send_at, sender_knew))
            known_count += sender_knew
            while interval[0][0] <= send_at - settings.overload_for_us:
                known_count -= interval.popleft()[1]
            if 3 * known_count > 2 * len(interval):
                highest = max(
                    highest,
                    len(interval) / self.allowed_in_span(send_at - settings.overload_for_us, settings),
                )
        return highest


class UnevenFleet(Fleet):
    case: UnevenCase
    sender = 0

    def _create_copy(self, me: int) -> Balancer:
        settings = replace(
            self.case.settings, me=me, instances=self.case.configured_copies or self.case.copies
        )
        return Balancer(self.rng.getrandbits(32), settings)

    def _add_server(self, number: int, boot: int) -> Entry:
        capacities = self.case.capacities
        self.servers[number] = ColdServer(boot, capacities[number % len(capacities)])
        return Entry(number, READY, boot, 1.0, number, 0, 0)

    def _traffic_shares(self) -> list[float]:
        case = self.case
        hot_share = case.hot_traffic_share or case.hot_copies / case.copies
        other_share = (1.0 - hot_share) / max(1, case.copies - case.hot_copies)
        shares = [
            hot_share / case.hot_copies if copy_number < case.hot_copies else other_share
            for copy_number in range(case.copies)
        ]
        self.rng.shuffle(shares)
        return shares

    def _schedule_arrivals(self) -> None:
        case = self.case
        rate = case.load_share * sum(server.capacity for server in self.servers.values()) / SECOND
        shares, now_us, request_id, surged = self._traffic_shares(), 0.0, 0, False
        while (now_us := now_us + self.rng.expovariate(rate)) < WARM_UP_US + case.span_us:
            if now_us >= WARM_UP_US and not surged:
                surged, rate = True, rate * case.surge_factor
            request_id += 1
            (copy_number,) = self.rng.choices(range(case.copies), weights=shares)
            self.events.append((int(now_us), -request_id, copy_number, request_id))
        heapify(self.events)

    def _schedule_list_changes(self) -> None:
        """Schedule the lists; endpoints in a row restart under their ids, as after the loss of a zone."""
        case = self.case
        if not case.is_in_row:
            super()._schedule_list_changes()
            return
        ring = on_ring(self.copies[0]) * 2
        first_index = self.rng.randrange(case.endpoints)
        restarting_ids = ring[first_index : first_index + case.replaced]
        listed = [self._add_server(endpoint_id, WARM_UP_US) for endpoint_id in restarting_ids]
        self.listed = [entry for entry in self.listed if entry.endpoint not in restarting_ids] + listed
        for copy_number in range(case.copies):
            self._schedule(WARM_UP_US + self.rng.randrange(case.list_delay_us + 1), copy_number, listed)

    def _perform(self, now: int, copy_number: int, actions: list[object]) -> None:  # type: ignore[override]
        self.sender = copy_number
        super()._perform(now, copy_number, actions)  # type: ignore[arg-type]

    def _start_attempt(self, now: int, send: Send) -> tuple[int, Outcome]:
        server = self.servers[send.endpoint]
        assert isinstance(server, ColdServer)
        if server.boot == 0 and now >= WARM_UP_US and self.case.other_outcome >= 0:
            expires_at, _ = self.requests[send.request]
            attempt_index = self.attempt_counts[send.request]
            self.attempt_counts[send.request] += 1
            ended_at = expires_at if self.case.other_outcome == TIMEOUT else now + MS
            return ended_at, Outcome(
                send.request, attempt_index, send.endpoint, self.case.other_outcome, ended_at - now
            )
        arrivals_before = len(server.arrivals)
        attempt_end = super()._start_attempt(now, send)
        if len(server.arrivals) > arrivals_before:
            endpoint = self.copies[self.sender].endpoints[send.endpoint]
            server.sender_knew_start.append(endpoint.started_at == server.boot)
        return attempt_end


def simulate(case: UnevenCase) -> tuple[float, float]:
    """Simulate the case; returns the highest utilization of a cold endpoint and the share served."""
    fleet = UnevenFleet(case)
    return max(fleet.play()), fleet.result_counts["served"] / len(fleet.requests)


def check_no_overload(case: UnevenCase, served_share_min: float = 0.25) -> None:
    highest_utilization, served_share = simulate(case)
    assert highest_utilization <= 1.0, (
        f"an interval had {highest_utilization:.2f} of the load that a cold endpoint can take"
    )
    assert served_share >= served_share_min, "a fleet that sends nothing proves nothing"


def test_an_interval_counts_if_over_two_thirds_came_from_copies_that_knew() -> None:
    """At the start, N is 7.8 requests, so that 15 requests in an interval are safe and 16 are not."""
    for number, known_count, is_safe in ((15, 15, True), (16, 16, False), (16, 11, False), (16, 10, True)):
        server = ColdServer(WARM_UP_US, 20.0)
        server.arrivals = [WARM_UP_US + k for k in range(number)]
        server.sender_knew_start = [k < known_count for k in range(number)]
        assert (server.highest_utilization(SETTINGS) <= 1.0) == is_safe


@pytest.mark.parametrize("is_in_row", [True, False], ids=["row", "spread"])
@pytest.mark.parametrize(("copies", "endpoints"), [(10, 10), (30, 20), (60, 40), (200, 40)])
def test_a_hot_copy_among_idle_ones(copies: int, endpoints: int, is_in_row: bool) -> None:
    """The hot copy uses all endpoints of its subsets and falls back to the whole ring. All its answers
    counted as capacity of its subsets, and cold endpoints there got 1.5 times the load that they can take.
    """
    case = UnevenCase(
        copies,
        endpoints,
        endpoints // 2,
        load_share=0.5,
        hot_traffic_share=0.9,
        is_in_row=is_in_row,
        span_us=3 * SECOND,
    )
    check_no_overload(case, 0.95)


def test_two_hot_copies_and_a_burst() -> None:
    case = UnevenCase(
        60,
        40,
        20,
        load_share=0.4,
        hot_traffic_share=0.6,
        hot_copies=2,
        surge_factor=1.5,
        is_in_row=True,
        span_us=3 * SECOND,
    )
    check_no_overload(case, 0.95)


def test_a_hot_copy_with_endpoint_speeds_of_three_to_one() -> None:
    check_no_overload(
        UnevenCase(
            30, 20, 10, load_share=0.7, hot_traffic_share=0.8, capacities=(10.0, 30.0), span_us=3 * SECOND
        ),
        0.8,
    )


@pytest.mark.parametrize("configured_copies", [1, 10, 200])
def test_another_number_of_copies_than_in_the_settings(configured_copies: int) -> None:
    copies = 20 if configured_copies == 200 else 60
    check_no_overload(
        UnevenCase(copies, 20, 10, load_share=0.7, configured_copies=configured_copies, span_us=3 * SECOND),
        0.9,
    )


@pytest.mark.parametrize("hot_traffic_share", [0.0, 0.9], ids=["equal", "hot"])
def test_only_one_endpoint_stays_warm(hot_traffic_share: float) -> None:
    check_no_overload(
        UnevenCase(30, 10, 9, load_share=0.3, hot_traffic_share=hot_traffic_share, span_us=3 * SECOND), 0.7
    )


@pytest.mark.parametrize("endpoints", [1, 2, 3])
def test_a_tier_of_few_endpoints(endpoints: int) -> None:
    check_no_overload(
        UnevenCase(
            30, endpoints, 1, load_share=0.6, hot_traffic_share=0.5, surge_factor=1.5, span_us=3 * SECOND
        )
    )


# With these capacities, N of an endpoint that has just started is about 1, 5, 10, 29 and 31 requests.
CAPACITIES = (2.6, 12.8, 25.6, 74.0, 80.0)


@pytest.mark.parametrize("capacity", CAPACITIES)
@pytest.mark.parametrize("copies", [1, 2, 3, 5, 10, 30])
def test_any_number_of_copies_with_endpoints_of_any_size(copies: int, capacity: float) -> None:
    """One copy has most of the traffic, in a burst, and the lists arrive late. For N under 30, the acceptance
    criterion allows N + 3 x root of N + 3; this check is stricter.
    """
    case = UnevenCase(
        copies,
        10,
        5,
        load_share=0.8,
        surge_factor=1.5,
        capacities=(capacity,),
        list_delay_us=SECOND,
        is_in_row=True,
    )
    check_no_overload(replace(case, hot_traffic_share=0.7 if copies > 1 else 0.0, span_us=3 * SECOND))


@pytest.mark.parametrize("capacity", CAPACITIES[:3])
def test_many_copies_with_endpoints_of_any_size(capacity: float) -> None:
    case = UnevenCase(
        200,
        10,
        5,
        load_share=0.8,
        surge_factor=1.5,
        hot_traffic_share=0.7,
        capacities=(capacity,),
        list_delay_us=SECOND,
    )
    check_no_overload(replace(case, is_in_row=True, span_us=3 * SECOND))


@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize(
    ("copies", "endpoints", "hot_traffic_share"), [(1, 9, 0.0), (5, 9, 0.0), (30, 18, 0.8)]
)
def test_endpoint_speeds_as_in_the_most_unequal_deployment(
    copies: int, endpoints: int, hot_traffic_share: float, seed: int
) -> None:
    """Speeds differ by 3.4 to 1, and a third of the endpoints is slow."""
    case = UnevenCase(
        copies,
        endpoints,
        endpoints // 2,
        load_share=0.8,
        surge_factor=1.3,
        hot_traffic_share=hot_traffic_share,
        is_in_row=True,
        seed=seed,
    )
    check_no_overload(replace(case, capacities=(6.8, 12.0, 23.0), span_us=3 * SECOND))


@pytest.mark.parametrize("other_outcome", [NO_CONNECT, TIMEOUT], ids=["refusing", "silent"])
def test_all_warm_endpoints_fail_beside_cold_ones(other_outcome: int) -> None:
    """Each retry goes to a cold endpoint, or is not sent."""
    case = UnevenCase(
        60, 20, 10, load_share=0.7, surge_factor=1.5, other_outcome=other_outcome, span_us=4 * SECOND
    )
    check_no_overload(case, 0.1)
    check_no_overload(replace(case, hot_traffic_share=0.7, is_in_row=True), 0.1)


def test_overload_with_delayed_lists() -> None:
    """Some copies learn of the start up to 2 s later; its time is then in the past."""
    case = UnevenCase(
        60,
        20,
        10,
        load_share=1.0,
        surge_factor=1.5,
        list_delay_us=2 * SECOND,
        is_in_row=True,
        span_us=4 * SECOND,
    )
    check_no_overload(case, 0.5)


def test_a_hot_copy_while_all_others_restart() -> None:
    check_no_overload(
        UnevenCase(
            30, 20, 10, load_share=0.7, hot_traffic_share=0.8, restarted_share=0.9, span_us=3 * SECOND
        ),
        0.8,
    )


SHORT_OBJECTIVE_SETTINGS = replace(
    SETTINGS, classes=(replace(VIEW_CLASS, aim_us=100 * MS),), cold_share=0.05, tip_multiple=1.5
)


@pytest.mark.parametrize(("copies", "replaced"), [(30, 5), (30, 10), (200, 10)])
def test_short_objectives_with_endpoints_that_start_at_a_low_share(copies: int, replaced: int) -> None:
    """Each endpoint always got one request per objective, however little the settings allowed: ten a
    second where an endpoint that has just started can take six.
    """
    check_no_overload(
        UnevenCase(
            copies, 10, replaced, load_share=0.7, settings=SHORT_OBJECTIVE_SETTINGS, span_us=3 * SECOND
        )
    )


def test_served_rates_are_kept_when_all_endpoints_start_at_once() -> None:
    """The rates that the copies measured fell with the requests that they held back, and they sent almost
    nothing until all endpoints were warm: 0.23 of the requests of 20 s were served, with 0.36 of the load
    that was allowed.
    """
    check_no_overload(UnevenCase(20, 6, 6, load_share=0.7, span_us=12 * SECOND), 0.4)


FLEETS = st.builds(
    UnevenCase,
    copies=st.integers(1, 40),
    endpoints=st.just(12),
    replaced=st.integers(1, 6),
    load_share=st.sampled_from((0.3, 0.7, 1.2)),
    list_delay_us=st.sampled_from((0, SECOND)),
    surge_factor=st.sampled_from((1.0, 1.5)),
    removed=st.sampled_from((0, 0, 5)),
    restarted_share=st.sampled_from((0.0, 0.0, 0.7)),
    hot_traffic_share=st.sampled_from((0.0, 0.5, 0.95)),
    configured_copies=st.sampled_from((0, 0, 5, 100)),
    is_in_row=st.booleans(),
    span_us=st.just(2 * SECOND),
    seed=st.integers(0, 2**32),
    settings=st.builds(
        replace,
        st.just(SETTINGS),
        cold_share=st.sampled_from((0.05, 0.13, 0.5, 0.9)),
        cold_us=st.sampled_from((5 * SECOND, 23 * SECOND)),
        tip_multiple=st.sampled_from((1.5, 3.0, 5.0)),
        overload_for_us=st.sampled_from((500 * MS, SECOND, 1500 * MS)),
        max_attempts=st.sampled_from((1, 3, 6)),
    ),
)


@settings(max_examples=25)
@given(FLEETS)
def test_generated_fleets(case: UnevenCase) -> None:
    check_no_overload(case, 0.0)
