"""The concurrency limit."""

from __future__ import annotations

from dataclasses import replace

import pytest
from laurelstep.balancing.events import OK, Outcome

from tests.helpers import LONG_CLASS, MS, SECOND, SETTINGS, Driver, first_refused, sends, started


def test_a_standing_queue_is_shed_before_any_answer_is_late() -> None:
    """Endpoints became overloaded within seconds while the answers that came were still quick (incidents
    i28d44f, iad7bbc).
    """
    driver = Driver(started(settings=replace(SETTINGS, classes=(LONG_CLASS,)), instances=8))
    assert all(driver.serve(k * 50 * MS, 20 * MS) for k in range(100))
    admitted = [sends(driver.send_request(5 * SECOND + k * MS)[1]) for k in range(200)]
    assert all(admitted[:8]), "a few requests are always admitted"
    assert sum(map(bool, admitted)) < 60
    for sent in filter(None, admitted):
        done = Outcome(sent[0].request, 0, sent[0].endpoint, OK, SECOND, is_final=True)
        driver.balancer.outcome(6 * SECOND, done)
    assert sends(driver.send_request(6 * SECOND)[1]), "admitted again once they are answered"


def test_a_burst_is_admitted_but_a_standing_queue_is_not() -> None:
    """One limit is too tight for random bursts and too loose for a queue (incidents iad7bbc, i511002)."""
    limits = []
    for in_flight_before in (8, 30):
        driver = Driver(started(settings=replace(SETTINGS, classes=(LONG_CLASS,)), instances=8))
        assert all(driver.serve(k * 20 * MS, 400 * MS) for k in range(300))
        admission = driver.balancer.admission
        for k in range(130):
            admission.record_result(7 * SECOND + k * 20 * MS, 700 * MS, True, True)
            admission.limit.exceeds_concurrency_limit(7 * SECOND + k * 20 * MS, in_flight_before)
        limits.append(first_refused(admission, 9_600 * MS, range(8, 200)))
    assert limits[1] < 0.8 * limits[0]


def test_shedding_without_effect_ends() -> None:
    """Of two copies with the same endpoints, one took the requests that the other refused: the latter had
    fewer and fewer requests in flight while its service time stayed the same.
    """
    driver = Driver(started(settings=replace(SETTINGS, classes=(LONG_CLASS,)), instances=8))
    assert all(driver.serve(k * 20 * MS, 400 * MS) for k in range(300))
    admission, refused = driver.balancer.admission, []
    for k in range(1500):
        now = 7 * SECOND + k * 20 * MS
        admission.record_result(now, 1000 * MS, True, True)
        refused.append(admission.limit.exceeds_concurrency_limit(now, 50))
    assert any(refused[:300]) and not any(refused[-300:])


def test_the_unloaded_time_comes_from_the_first_requests_not_from_the_first_answers() -> None:
    driver = Driver(started(settings=replace(SETTINGS, classes=(LONG_CLASS,))))
    admission, due = driver.balancer.admission, []
    for k in range(40):  # every second request takes five times as long
        request_id, actions = driver.send_request(k * MS)
        took = 100 * MS if k % 2 else 500 * MS
        due.append((k * MS + took, request_id, sends(actions)[0].endpoint, took))
    for end, request_id, endpoint, took in sorted(due):
        assert not admission.limit.is_unloaded_known or end >= 500 * MS
        driver.balancer.outcome(end, Outcome(request_id, 0, endpoint, OK, took, is_final=True))
    assert admission.limit.is_unloaded_known and 200 * MS < admission.limit.unloaded_us < 400 * MS


def test_time_outs_do_not_raise_the_limit() -> None:
    """Clients left while their requests were still processed. The time-outs counted as answers, and the
    limit admitted as many requests again (deployment Chikushi, scenario overload).
    """
    limits = []
    for answered in (True, False):
        driver = Driver(started(settings=replace(SETTINGS, classes=(LONG_CLASS,)), instances=8))
        assert all(driver.serve(k * 20 * MS, 700 * MS) for k in range(300))
        admission = driver.balancer.admission
        for k in range(200):
            admission.record_result(7 * SECOND + k * 20 * MS, 800 * MS, answered, answered)
        limits.append(first_refused(admission, 11 * SECOND, range(8, 500)))
    assert limits[1] < limits[0] / 3


def test_few_copies_with_many_endpoints_may_have_more_in_flight() -> None:
    """With three copies and eleven endpoints of three cores, eight requests for each copy left most cores
    idle until the limit had risen again (deployment Chikushi).
    """
    limit_of_few_copies = started(11, instances=3).admission.limit.in_flight_min
    limit_of_many_copies = started(11, instances=22).admission.limit.in_flight_min
    assert limit_of_few_copies == pytest.approx(8 * 11 / 3) and limit_of_many_copies == pytest.approx(4)


def test_quick_answers_with_a_long_objective_are_not_slow() -> None:
    """The minimum of a noisy mean was taken for the unloaded service time, and requests were refused at a
    tenth of their objective (deployment Chikushi, scenario quiet).
    """
    driver = Driver(started(settings=replace(SETTINGS, classes=(LONG_CLASS,)), instances=8))
    assert all(driver.serve(k * 20 * MS, 100 * MS) for k in range(300))
    admission = driver.balancer.admission
    for k in range(300):
        admission.record_result(6 * SECOND + k * 20 * MS, 250 * MS, True, True, LONG_CLASS.aim_us)
        assert not admission.limit.exceeds_concurrency_limit(6 * SECOND + k * 20 * MS, 13)


def test_many_copies_may_have_fewer_in_flight_once_answers_are_slow() -> None:
    """A hundred copies with eight requests in flight each kept an overloaded tier overloaded (incident
    i4e7940).
    """
    limits = []
    for copies in (1, 100):
        driver = Driver(started(settings=replace(SETTINGS, classes=(LONG_CLASS,)), instances=copies))
        admission = driver.balancer.admission
        assert all(driver.serve(k * 500 * MS, 100 * MS) for k in range(60))
        assert not admission.limit.exceeds_concurrency_limit(30 * SECOND, 8), (
            "while answers are quick, a small number is no queue"
        )
        for k in range(60):
            admission.record_result((30 + k) * SECOND, 2 * SECOND, True, True)
            admission.limit.exceeds_concurrency_limit((30 + k) * SECOND, 1)
        limits.append(first_refused(admission, 90 * SECOND, range(1, 99)))
    assert limits[1] < limits[0]
