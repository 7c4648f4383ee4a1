"""What whole fleets send to cold endpoints where the copies' parts of it are far from alike.

The bound is the acceptance page's: of requests of mean work, a cold endpoint stands N + 2 x root of N + 2
within any span of `overload_for_us`, N by what the settings allow it at the span's beginning, the least
(docs/design/slow_start.md). Every send that reaches it weighs, refused ones and retries too. It is a break
where over two thirds of such a span came from copies that knew of the start. Time and draws are made: one
seed is one course.
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
from tests.test_slow_start import SETTINGS, VIEW, WARM_UP, Case, Fleet, Server

SECOND = 1_000_000
MS = 1_000


@dataclass(frozen=True)
class Uneven(Case):
    """`hot` copies get `part` of all traffic (0: what all get), the others alike what is left."""

    hot_copies: int = 1
    hot_traffic_share: float = 0.0
    configured_copies: int = 0  # copies in the settings, where those alive are more or fewer
    is_in_row: bool = False  # those that start are neighbours in the shared order, as in a rack or zone
    other_outcome: int = -1  # how each attempt at an endpoint that does not start ends from the start on


class ColdServer(Server):
    """An endpoint under the page's bound; before its start another process served in its place."""

    def __init__(self, boot: int, capacity: float) -> None:
        super().__init__(boot, capacity)
        self.former_server = Server(0, capacity)
        self.sender_knew_start: list[bool] = []  # of each that it got: whether its sender knew of the start

    def serve(self, now: int, work: float, settings: Settings) -> int | None:
        if now < self.boot:
            return self.former_server.serve(now, work, settings)
        return super().serve(now, work, settings)

    def allowed_in_span(self, now: int, settings: Settings) -> float:
        number = settings.tip_multiple * self.warmth(now, settings) * self.capacity
        number *= settings.overload_for_us / SECOND
        return number + 2.0 * sqrt(number) + 2.0

    def highest_utilization(self, settings: Settings) -> float:
        """The most that it got within a span, as a part of what it stood then; only spans of which
        over two thirds came from those that knew."""
        span: deque[tuple[int, bool]] = deque()
        knew, worst = 0, 0.0
        for at, told in zip(self.arrivals, self.sender_knew_start, strict=True):
            span.append((at, told))
            knew += told
            while span[0][0] <= at - settings.overload_for_us:
                knew -= span.popleft()[1]
            if 3 * knew > 2 * len(span):
                worst = max(worst, len(span) / self.allowed_in_span(at - settings.overload_for_us, settings))
        return worst


class UnevenFleet(Fleet):
    case: Uneven
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
        part = case.hot_traffic_share or case.hot_copies / case.copies
        others = (1.0 - part) / max(1, case.copies - case.hot_copies)
        shares = [part / case.hot_copies if me < case.hot_copies else others for me in range(case.copies)]
        self.rng.shuffle(shares)
        return shares

    def _schedule_arrivals(self) -> None:
        case = self.case
        rate = case.load_share * sum(server.capacity for server in self.servers.values()) / SECOND
        shares, now, number, surged = self._traffic_shares(), 0.0, 0, False
        while (now := now + self.rng.expovariate(rate)) < WARM_UP + case.span_us:
            if now >= WARM_UP and not surged:
                surged, rate = True, rate * case.surge_factor
            number += 1
            (copy,) = self.rng.choices(range(case.copies), weights=shares)
            self.events.append((int(now), -number, copy, number))
        heapify(self.events)

    def _schedule_list_changes(self) -> None:
        """In a row they keep their numbers, as after the loss of a zone."""
        case = self.case
        if not case.is_in_row:
            super()._schedule_list_changes()
            return
        ring = on_ring(self.copies[0]) * 2
        first = self.rng.randrange(case.endpoints)
        back = ring[first : first + case.replaced]
        listed = [self._add_server(number, WARM_UP) for number in back]
        self.listed = [one for one in self.listed if one.endpoint not in back] + listed
        for copy in range(case.copies):
            self._schedule(WARM_UP + self.rng.randrange(case.list_delay_us + 1), copy, listed)

    def _perform(self, now: int, copy: int, actions: list[object]) -> None:  # type: ignore[override]
        self.sender = copy
        super()._perform(now, copy, actions)  # type: ignore[arg-type]

    def _start_attempt(self, now: int, send: Send) -> tuple[int, Outcome]:
        server = self.servers[send.endpoint]
        assert isinstance(server, ColdServer)
        if server.boot == 0 and now >= WARM_UP and self.case.other_outcome >= 0:
            expires, _ = self.requests[send.request]
            attempt = self.attempt_counts[send.request]
            self.attempt_counts[send.request] += 1
            at = expires if self.case.other_outcome == TIMEOUT else now + MS
            return at, Outcome(send.request, attempt, send.endpoint, self.case.other_outcome, at - now)
        before = len(server.arrivals)
        sent = super()._start_attempt(now, send)
        if len(server.arrivals) > before:
            known = self.copies[self.sender].endpoints[send.endpoint]
            server.sender_knew_start.append(known.started_at == server.boot)
        return sent


def played(case: Uneven) -> tuple[float, float]:
    """How full the fullest span of a cold endpoint was, and the part of the requests that was served."""
    fleet = UnevenFleet(case)
    return max(fleet.play()), fleet.result_counts["served"] / len(fleet.requests)


def holds(case: Uneven, least_served: float = 0.25) -> None:
    fullest, served = played(case)
    assert fullest <= 1.0, f"a span held {fullest:.2f} of what a cold endpoint stands"
    assert served >= least_served, "a fleet that sends nothing proves nothing"


def test_a_span_counts_where_over_two_thirds_came_from_those_that_knew() -> None:
    """At the start 7.8 requests a span are allowed, so 15 stand and 16 do not."""
    for number, knew, stands in ((15, 15, True), (16, 16, False), (16, 11, False), (16, 10, True)):
        server = ColdServer(WARM_UP, 20.0)
        server.arrivals = [WARM_UP + k for k in range(number)]
        server.sender_knew_start = [k < knew for k in range(number)]
        assert (server.highest_utilization(SETTINGS) <= 1.0) == stands


@pytest.mark.parametrize("in_row", [True, False], ids=["row", "spread"])
@pytest.mark.parametrize(("copies", "endpoints"), [(10, 10), (30, 20), (60, 40), (200, 40)])
def test_a_hot_copy_among_idle_ones(copies: int, endpoints: int, in_row: bool) -> None:
    """It fills its arc and serves the rest from the whole ring. All of that counted as what its arc
    bears, and cold endpoints there got 1.5 times what they stand."""
    some = Uneven(
        copies,
        endpoints,
        endpoints // 2,
        load_share=0.5,
        hot_traffic_share=0.9,
        is_in_row=in_row,
        span_us=3 * SECOND,
    )
    holds(some, 0.95)


def test_two_hot_copies_and_a_burst() -> None:
    some = Uneven(
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
    holds(some, 0.95)


def test_a_hot_copy_before_endpoints_of_speeds_three_to_one() -> None:
    holds(
        Uneven(
            30, 20, 10, load_share=0.7, hot_traffic_share=0.8, capacities=(10.0, 30.0), span_us=3 * SECOND
        ),
        0.8,
    )


@pytest.mark.parametrize("listed", [1, 10, 200])
def test_other_numbers_of_copies_than_the_settings_say(listed: int) -> None:
    copies = 20 if listed == 200 else 60
    holds(Uneven(copies, 20, 10, load_share=0.7, configured_copies=listed, span_us=3 * SECOND), 0.9)


@pytest.mark.parametrize("part", [0.0, 0.9], ids=["equal", "hot"])
def test_one_warm_endpoint_is_left(part: float) -> None:
    holds(Uneven(30, 10, 9, load_share=0.3, hot_traffic_share=part, span_us=3 * SECOND), 0.7)


@pytest.mark.parametrize("endpoints", [1, 2, 3])
def test_a_tier_of_few_endpoints(endpoints: int) -> None:
    holds(
        Uneven(30, endpoints, 1, load_share=0.6, hot_traffic_share=0.5, surge_factor=1.5, span_us=3 * SECOND)
    )


# With this an endpoint that has just started stands N of about 1, 5, 10, 29 and 31 requests.
CAPACITIES = (2.6, 12.8, 25.6, 74.0, 80.0)


@pytest.mark.parametrize("capacity", CAPACITIES)
@pytest.mark.parametrize("copies", [1, 2, 3, 5, 10, 30])
def test_any_number_of_copies_before_endpoints_of_any_size(copies: int, capacity: float) -> None:
    """One copy has most of the traffic, in a burst, and the lists come late. Under 30 the page allows
    N + 3 x root of N + 3; what is counted here is stricter."""
    some = Uneven(
        copies,
        10,
        5,
        load_share=0.8,
        surge_factor=1.5,
        capacities=(capacity,),
        list_delay_us=SECOND,
        is_in_row=True,
    )
    holds(replace(some, hot_traffic_share=0.7 if copies > 1 else 0.0, span_us=3 * SECOND))


@pytest.mark.parametrize("capacity", CAPACITIES[:3])
def test_many_copies_before_endpoints_of_any_size(capacity: float) -> None:
    some = Uneven(
        200,
        10,
        5,
        load_share=0.8,
        surge_factor=1.5,
        hot_traffic_share=0.7,
        capacities=(capacity,),
        list_delay_us=SECOND,
    )
    holds(replace(some, is_in_row=True, span_us=3 * SECOND))


@pytest.mark.parametrize("seed", range(1, 5))
@pytest.mark.parametrize(("copies", "endpoints", "part"), [(1, 9, 0.0), (5, 9, 0.0), (30, 18, 0.8)])
def test_kinds_as_far_apart_as_the_widest_deployment_has_them(
    copies: int, endpoints: int, part: float, seed: int
) -> None:
    """Speeds of 3.4 to 1, of which a third is slow."""
    some = Uneven(
        copies,
        endpoints,
        endpoints // 2,
        load_share=0.8,
        surge_factor=1.3,
        hot_traffic_share=part,
        is_in_row=True,
        seed=seed,
    )
    holds(replace(some, capacities=(6.8, 12.0, 23.0), span_us=3 * SECOND))


@pytest.mark.parametrize("others", [NO_CONNECT, TIMEOUT], ids=["refusing", "silent"])
def test_all_warm_endpoints_fail_beside_cold_ones(others: int) -> None:
    """Each further try goes to the cold ones, or nowhere."""
    some = Uneven(60, 20, 10, load_share=0.7, surge_factor=1.5, other_outcome=others, span_us=4 * SECOND)
    holds(some, 0.1)
    holds(replace(some, hot_traffic_share=0.7, is_in_row=True), 0.1)


def test_overload_under_lists_of_different_age() -> None:
    """Some hear of the start up to 2 s later; it is dated in the past then."""
    some = Uneven(
        60,
        20,
        10,
        load_share=1.0,
        surge_factor=1.5,
        list_delay_us=2 * SECOND,
        is_in_row=True,
        span_us=4 * SECOND,
    )
    holds(some, 0.5)


def test_a_hot_copy_while_all_others_are_new() -> None:
    holds(
        Uneven(30, 20, 10, load_share=0.7, hot_traffic_share=0.8, restarted_share=0.9, span_us=3 * SECOND),
        0.8,
    )


SHORT = replace(SETTINGS, classes=(replace(VIEW, aim_us=100 * MS),), cold_share=0.05, tip_multiple=1.5)


@pytest.mark.parametrize(("copies", "replaced"), [(30, 5), (30, 10), (200, 10)])
def test_short_aims_before_endpoints_that_start_at_little(copies: int, replaced: int) -> None:
    """One request an aim was always due, however little the settings allowed: ten a second, where
    an endpoint that has just started stands six."""
    holds(Uneven(copies, 10, replaced, load_share=0.7, settings=SHORT, span_us=3 * SECOND))


def test_where_all_start_at_once_what_was_served_before_is_remembered() -> None:
    """The copies' own rates fell with what they held back, and they sent next to nothing until all
    was warm: 0.23 of the requests of 20 s were served, with 0.36 of what was allowed."""
    holds(Uneven(20, 6, 6, load_share=0.7, span_us=12 * SECOND), 0.4)


FLEETS = st.builds(
    Uneven,
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
def test_drawn_fleets(case: Uneven) -> None:
    holds(case, 0.0)
