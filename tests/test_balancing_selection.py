"""Endpoint selection: power of two choices, ties go left."""

from __future__ import annotations

from laurelstep.balancing.events import Refuse, Timer

from tests.helpers import SECOND, SHORT_CLASS, Driver, sends, started


def test_a_request_that_finds_no_endpoint_is_held_and_answered_in_time() -> None:
    """With an empty list or only cold endpoints, a request is held until its objective and then refused."""
    driver = Driver(started(0))
    request_id, actions = driver.send_request(SECOND)
    now = SECOND
    while not any(isinstance(action, Refuse) for action in actions):
        (timer,) = [action for action in actions if isinstance(action, Timer)]
        now += timer.delay_us
        actions = driver.balancer.timer(now, timer.token)
    assert now <= SECOND + SHORT_CLASS.aim_us
    assert request_id not in driver.balancer.requests


def test_fewer_attempts_in_flight_win_and_ties_go_left() -> None:
    balancer = started(8)
    driver = Driver(balancer)
    left, right = ({endpoint.id for endpoint, _ in subset.members} for subset in balancer.subsets.pair)
    first = [sends(driver.send_request(SECOND)[1])[0].endpoint for _ in range(len(left))]
    assert first[0] in left, "a tie: nothing is in flight"
    for endpoint in balancer.endpoints.values():
        endpoint.in_flight = 5 if endpoint.id in left else 0
    assert all(sends(driver.send_request(SECOND)[1])[0].endpoint in right for _ in range(3))


def test_a_tie_goes_right_where_the_left_endpoint_is_much_worse() -> None:
    driver = Driver(balancer := started(8))
    for endpoint, _ in balancer.subsets.pair[0].members:
        endpoint.slowness = 4.0
    used_endpoints = [sends(driver.send_request(SECOND)[1])[0].endpoint for _ in range(2)]
    assert set(used_endpoints) <= {endpoint.id for endpoint, _ in balancer.subsets.pair[1].members}
