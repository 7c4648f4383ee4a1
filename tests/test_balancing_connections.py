"""Detection of stale idle connections."""

from __future__ import annotations

from dataclasses import replace

from laurelstep.balancing.events import OK, UNSAFE, Action, Close, Outcome, RequestClass

from tests.helpers import MS, SECOND, SETTINGS, Driver, sends, started

IDLE_CLASS = RequestClass(UNSAFE, aim_us=2_500 * MS, deadline_us=6 * SECOND)


def idle_driver(**changes: object) -> Driver:
    """Return a driver with one endpoint, so that each send uses the connection that was idle."""
    settings = replace(SETTINGS, classes=(IDLE_CLASS,), handshake_price=0.03, **changes)  # type: ignore[arg-type]
    driver = Driver(started(1, settings=settings))
    assert all(driver.serve(k * 2 * SECOND, 100 * MS) for k in range(1, 4))
    return driver


def count_closes(actions: list[Action]) -> int:
    return sum(isinstance(action, Close) for action in actions)


def test_after_a_loss_on_an_idle_connection_others_are_closed_before_use() -> None:
    """Idle connections are dropped unnoticed, and requests sent on them are lost (deployment
    billpay-lawrence, scenario big-2).
    """
    driver = idle_driver()
    _, actions = driver.send_request(10 * SECOND)
    assert not count_closes(actions) and sends(actions)
    assert driver.serve(11 * SECOND, 100 * MS), "on a new connection"
    assert driver.balancer.connections.closes_left < 1.0, "the outstanding attempt may just be slow"
    assert driver.serve(13 * SECOND, 100 * MS)
    _, actions = driver.send_request(15 * SECOND)
    assert count_closes(actions) == 1 and isinstance(actions[0], Close), "closed before the send"


def test_a_late_answer_removes_the_suspicion() -> None:
    driver = idle_driver()
    request_id, actions = driver.send_request(10 * SECOND)
    (sent,) = sends(actions)
    driver.send_request(13 * SECOND)
    assert driver.balancer.connections.closes_left >= 1.0
    driver.balancer.outcome(14 * SECOND, Outcome(request_id, 0, sent.endpoint, OK, 4 * SECOND, is_final=True))
    assert driver.balancer.connections.closes_left < 1.0


def test_losses_on_new_connections_do_not_make_idle_ones_suspect() -> None:
    """An overload or a hung endpoint loses requests on any connection."""
    driver = Driver(started(1, settings=replace(SETTINGS, classes=(IDLE_CLASS,))))
    for k in range(1, 9):
        driver.send_request(k * 10 * SECOND)
    assert driver.balancer.connections.closes_left < 1.0
