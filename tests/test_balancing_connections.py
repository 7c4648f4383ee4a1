"""Suspicion of stale idle connections."""

from __future__ import annotations

from dataclasses import replace

from laurelstep.balancing.events import OK, UNSAFE, Action, Close, Outcome, RequestClass

from tests.helpers import MS, SECOND, SETTINGS, Driver, sends, started

RESTED = RequestClass(UNSAFE, aim_us=2_500 * MS, deadline_us=6 * SECOND)


def rested_driver(**changes: object) -> Driver:
    """One endpoint, so that each send is on the connection that rested."""
    some = replace(SETTINGS, classes=(RESTED,), handshake_price=0.03, **changes)  # type: ignore[arg-type]
    driver = Driver(started(1, settings=some))
    assert all(driver.serve(k * 2 * SECOND, 100 * MS) for k in range(1, 4))
    return driver


def closes(actions: list[Action]) -> int:
    return sum(isinstance(action, Close) for action in actions)


def test_after_a_loss_on_a_connection_that_rested_others_are_closed_before_use() -> None:
    """billpay-lawrence big-2: idle connections dropped unseen, what is sent on one is lost."""
    driver = rested_driver()
    _, actions = driver.ask(10 * SECOND)
    assert not closes(actions) and sends(actions)
    assert driver.serve(11 * SECOND, 100 * MS), "on a new connection"
    assert driver.balancer.connections.closes_left < 1.0, "the one out may just be slow"
    assert driver.serve(13 * SECOND, 100 * MS)
    _, actions = driver.ask(15 * SECOND)
    assert closes(actions) == 1 and isinstance(actions[0], Close), "closed before the send"


def test_an_answer_after_all_takes_the_suspicion_back() -> None:
    driver = rested_driver()
    rid, actions = driver.ask(10 * SECOND)
    (sent,) = sends(actions)
    driver.ask(13 * SECOND)
    assert driver.balancer.connections.closes_left >= 1.0
    driver.balancer.outcome(14 * SECOND, Outcome(rid, 0, sent.endpoint, OK, 4 * SECOND, is_final=True))
    assert driver.balancer.connections.closes_left < 1.0


def test_losses_on_new_connections_make_no_idle_one_suspect() -> None:
    """An overload or a hung endpoint loses on any connection."""
    driver = Driver(started(1, settings=replace(SETTINGS, classes=(RESTED,))))
    for k in range(1, 9):
        driver.ask(k * 10 * SECOND)
    assert driver.balancer.connections.closes_left < 1.0
