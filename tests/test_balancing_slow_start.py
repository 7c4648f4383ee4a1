"""The slow-start budget of one copy."""

from __future__ import annotations

from dataclasses import replace

from laurelstep.balancing.balancer import Balancer
from laurelstep.balancing.events import FULL, LIST_FULL, OK, Outcome

from tests.helpers import MS, SECOND, SETTINGS, Driver, fleet, sends, started


def test_a_cold_endpoint_outside_the_subsets_gets_nothing() -> None:
    """During a mass deployment, every copy fell back to the whole ring with budgets meant for its own
    subsets, which could add up to far more than a cold endpoint can serve.
    """
    balancer = Balancer(1, replace(SETTINGS, me=0, instances=20, stage=1, stages=2))
    balancer.start(SECOND)
    balancer.members(SECOND, LIST_FULL, fleet(40, boot=SECOND))
    driver, own_endpoints = (
        Driver(balancer),
        {endpoint.id for subset in balancer.subsets.pair for endpoint, _ in subset.members},
    )
    used_endpoints = [
        send.endpoint for k in range(2000) for send in sends(driver.send_request(SECOND + k * MS)[1])
    ]
    assert used_endpoints and set(used_endpoints) <= own_endpoints < set(balancer.endpoints)


def test_the_slow_start_budget_follows_answers_not_rejected_attempts() -> None:
    """Five attempts per request at full endpoints made a budget far above the capacity of any endpoint,
    and a cold one was overloaded (deployment podcast-main, scenario rules-2).
    """
    budgets = []
    for outcome in (OK, FULL):
        driver = Driver(balancer := started(4))
        for k in range(1, 400):
            request_id, actions = driver.send_request(k * 10 * MS)
            for send in sends(actions):
                done = Outcome(request_id, 0, send.endpoint, outcome, 5 * MS, is_final=outcome == OK)
                balancer.outcome(k * 10 * MS + 5 * MS, done)
        cold_endpoint = balancer.endpoints[100]
        cold_endpoint.started_at, cold_endpoint.slow_start_budget, cold_endpoint.slow_start_budget_at = (
            4 * SECOND,
            0.0,
            4 * SECOND,
        )
        balancer.slow_start.refill_budget(4 * SECOND + 50 * MS, cold_endpoint)
        budgets.append(cold_endpoint.slow_start_budget)
    assert budgets[1] < 0.5 * budgets[0]


def test_an_unused_slow_start_budget_expires() -> None:
    """Many copies that each accumulate one send would all spend it at the same time."""
    driver = Driver(balancer := started(4))
    assert all(driver.serve(k * 50 * MS, 20 * MS) for k in range(1, 100))
    cold_endpoint = balancer.endpoints[100]
    cold_endpoint.started_at = cold_endpoint.slow_start_budget_at = 5 * SECOND
    budgets = [balancer.slow_start.refill_budget(5 * SECOND + k * 37 * MS, cold_endpoint) for k in range(100)]
    assert max(budgets) < 4.0 and min(budgets[50:]) < 1.0
