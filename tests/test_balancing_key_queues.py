"""Per-key serialization."""

from __future__ import annotations

from dataclasses import replace

from laurelstep.balancing.events import OK, RESET, SAFE, TIMEOUT, UNSAFE, Outcome, Refuse, RequestClass, Timer

from tests.helpers import MS, SECOND, SETTINGS, Driver, sends, started

ORDERED = RequestClass(UNSAFE, aim_us=500 * MS, deadline_us=SECOND, sequential=True)

IN_ORDER = replace(SETTINGS, classes=(ORDERED, replace(ORDERED, effect=SAFE)), key_rest_us=50 * MS)


def test_requests_of_one_key_run_in_order_and_others_at_once() -> None:
    """The order was broken on every day with a hot key (deployment haverhill-accounts)."""
    driver = Driver(started(settings=IN_ORDER))
    first, actions = driver.send_request(SECOND, key=5)
    (sent,) = sends(actions)
    second, actions = driver.send_request(SECOND + MS, cls=1, key=5)
    assert not sends(actions), "all sequential classes share their keys"
    assert sends(driver.send_request(SECOND + MS, key=6)[1]) and sends(driver.send_request(SECOND + MS)[1])
    actions = driver.balancer.outcome(SECOND + 9 * MS, Outcome(first, 0, sent.endpoint, OK, 9 * MS, True))
    assert [send.request for send in sends(actions)] == [second]


def test_a_key_rests_after_a_time_out_but_not_for_a_retry() -> None:
    driver = Driver(started(settings=IN_ORDER))
    first, actions = driver.send_request(SECOND, cls=1, key=5)
    driver.send_request(SECOND, key=5)
    (sent,) = sends(actions)
    now = SECOND + 100 * MS
    actions = driver.balancer.outcome(now, Outcome(first, 0, sent.endpoint, TIMEOUT, 100 * MS))
    (retry,) = sends(actions)
    assert retry.request == first, "a request with the turn is retried without a rest"
    actions = driver.balancer.outcome(now + MS, Outcome(first, 1, retry.endpoint, OK, MS, True))
    assert not sends(actions)
    (timer,) = [action for action in actions if isinstance(action, Timer)]
    assert timer.delay_us == 49 * MS
    assert sends(driver.balancer.timer(now + 50 * MS, timer.token))


def test_a_request_with_too_long_a_wait_for_its_key_is_refused_unsent() -> None:
    driver = Driver(started(settings=IN_ORDER))
    assert all(driver.serve(k * 400 * MS, 300 * MS) for k in range(40))
    now = 20 * SECOND
    for _ in range(2):
        driver.send_request(now, key=5)
    _, actions = driver.send_request(now, key=5)
    assert any(isinstance(action, Refuse) for action in actions)


def test_unused_keys_are_removed() -> None:
    driver = Driver(started(settings=IN_ORDER))
    for key in range(1, 500):
        now = key * 10 * MS
        request_id, actions = driver.send_request(now, key=key)
        (sent,) = sends(actions)
        driver.balancer.outcome(now + MS, Outcome(request_id, 0, sent.endpoint, RESET, MS, True))
    assert len(driver.balancer.key_queues.queues) < 10 and len(driver.balancer.key_queues.resting_keys) < 10
