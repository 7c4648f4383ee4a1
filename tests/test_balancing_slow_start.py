"""The slow-start budget of one copy."""

from __future__ import annotations

from dataclasses import replace

from laurelstep.balancing.balancer import Balancer
from laurelstep.balancing.events import FULL, LIST_FULL, OK, Outcome

from tests.helpers import MS, SECOND, SETTINGS, Driver, fleet, sends, started


def test_an_endpoint_in_slow_start_outside_the_own_subsets_gets_nothing() -> None:
    """In a mass deploy every copy fell back on the whole ring with budgets meant
    for its own arc, which may add up to far more than a cold endpoint bears."""
    balancer = Balancer(1, replace(SETTINGS, me=0, instances=20, stage=1, stages=2))
    balancer.start(SECOND)
    balancer.members(SECOND, LIST_FULL, fleet(40, boot=SECOND))
    driver, own = Driver(balancer), {one.id for subset in balancer.subsets.pair for one, _ in subset.members}
    went = [send.endpoint for k in range(2000) for send in sends(driver.ask(SECOND + k * MS)[1])]
    assert went and set(went) <= own < set(balancer.endpoints)


def test_the_slow_start_budget_follows_what_is_served_not_what_is_sent_in_vain() -> None:
    """podcast-main rules-2: five tries a request at full endpoints made a budget
    far above what any endpoint can do, and a cold one fell over."""
    sent = []
    for outcome in (OK, FULL):
        driver = Driver(balancer := started(4))
        for k in range(1, 400):
            rid, actions = driver.ask(k * 10 * MS)
            for send in sends(actions):
                done = Outcome(rid, 0, send.endpoint, outcome, 5 * MS, is_final=outcome == OK)
                balancer.outcome(k * 10 * MS + 5 * MS, done)
        cold = balancer.endpoints[100]
        cold.started_at, cold.slow_start_budget, cold.slow_start_budget_at = 4 * SECOND, 0.0, 4 * SECOND
        balancer.slow_start.refill_budget(4 * SECOND + 50 * MS, cold)
        sent.append(cold.slow_start_budget)
    assert sent[1] < 0.5 * sent[0]


def test_a_slow_start_budget_not_used_in_time_is_lost() -> None:
    """Many copies that each saved up one send would all spend it at once."""
    driver = Driver(balancer := started(4))
    assert all(driver.serve(k * 50 * MS, 20 * MS) for k in range(1, 100))
    cold = balancer.endpoints[100]
    cold.started_at = cold.slow_start_budget_at = 5 * SECOND
    budgets = [balancer.slow_start.refill_budget(5 * SECOND + k * 37 * MS, cold) for k in range(100)]
    assert max(budgets) < 4.0 and min(budgets[50:]) < 1.0
