"""Outlier detection: health and overload of endpoints."""

from __future__ import annotations

from dataclasses import replace

from laurelstep.balancing.events import FULL, OK, TIMEOUT, Arrival, Outcome

from tests.helpers import MS, SECOND, SETTINGS, SHORT_CLASS, Driver, sends, started


def test_a_full_endpoint_is_avoided_before_the_first_answer() -> None:
    driver = Driver(started())
    request_id, actions = driver.send_request(SECOND)
    (sent,) = sends(actions)
    driver.balancer.outcome(SECOND + MS, Outcome(request_id, 0, sent.endpoint, FULL, MS))
    assert driver.balancer.endpoints[sent.endpoint].no_new_connections_until > SECOND + 10 * MS


def test_a_full_endpoint_is_avoided_for_a_while() -> None:
    """Endpoints that the retries of all copies kept full became slow (deployment podcast-main, scenario
    big-2).
    """
    driver = Driver(started(2))
    assert all(driver.serve(k * 200 * MS, 100 * MS) for k in range(20))
    request_id, actions = driver.send_request(5 * SECOND)
    (sent,) = sends(actions)
    driver.balancer.outcome(5 * SECOND + MS, Outcome(request_id, 0, sent.endpoint, FULL, MS))
    used_endpoints = {
        send.endpoint for k in range(9) for send in sends(driver.send_request(5 * SECOND + k * 10 * MS)[1])
    }
    assert used_endpoints and sent.endpoint not in used_endpoints


def test_an_endpoint_that_fails_one_segment_keeps_the_others() -> None:
    """An endpoint may fail only the requests of one class (deployment haverhill-accounts, scenario
    class_fail) or of one tenant (incident i4b6c8c).
    """
    settings = replace(SETTINGS, classes=(SHORT_CLASS, SHORT_CLASS), tenants=(50.0, 50.0), full_unproven=True)
    balancer = started(1, settings=settings)
    endpoint = balancer.endpoints[100]
    for k in range(1, 20):
        request_id, cls, tenant = k, k % 2, k // 2 % 2
        (sent,) = sends(balancer.request(k * SECOND, Arrival(request_id, cls, (k + 1) * SECOND, tenant)))
        is_failed = (cls, tenant) == (0, 1)
        done = Outcome(request_id, 0, sent.endpoint, FULL if is_failed else OK, MS, is_final=not is_failed)
        balancer.outcome(k * SECOND + MS, done)
    healths = [balancer.outliers.health(20 * SECOND, endpoint, segment) for segment in range(4)]
    assert min(healths) == healths[1] < 0.5 * min(healths[:1] + healths[2:])


def test_a_copy_with_little_traffic_does_not_soon_retry_a_bad_endpoint() -> None:
    healths = []
    for interval_us in (50 * MS, 2 * SECOND):
        driver = Driver(balancer := started(4))
        for k in range(20):
            driver.serve(k * interval_us, 20 * MS)
        endpoint = next(iter(balancer.endpoints.values()))
        balancer.outliers.record_failure(20 * interval_us, endpoint, TIMEOUT, 0)
        healths.append(balancer.outliers.health(20 * interval_us + SECOND, endpoint, 0))
    assert healths[1] < 0.5 * healths[0]


def test_an_upload_counts_at_its_endpoint_once_it_is_complete() -> None:
    balancer = started(2)
    driver, now = Driver(balancer), 0
    for _ in range(200):
        now += 30 * MS
        assert driver.serve(now, 20 * MS)
    (send,) = sends(balancer.request(now, Arrival(5_000, 0, now + 600 * SECOND, has_pending_body=True)))
    endpoint = balancer.endpoints[send.endpoint]
    now += 8 * SECOND  # longer than any answer takes; the endpoint has nothing in flight
    assert endpoint.in_flight == 0 and balancer.count_ejected(now) == 0
    for _ in range(40):
        now += 30 * MS
        assert driver.serve(now, 20 * MS)
    assert balancer.connections.closes_left < 1.0, "the connection of the upload does not count as lost"
    balancer.request_completed(now, 5_000, now + SECOND)
    assert endpoint.in_flight == 1 and balancer.count_ejected(now) == 0
    assert balancer.count_ejected(now + SECOND) == 1
    balancer.outcome(now + SECOND, Outcome(5_000, 0, send.endpoint, OK, SECOND, is_final=True))
    assert endpoint.in_flight == 0 and balancer.request_table.uploading_count == 0
