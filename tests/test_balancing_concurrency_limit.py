"""The bound on requests held at once, without a bench."""

from __future__ import annotations

from dataclasses import replace

import pytest
from laurelstep.balancing.events import OK, Outcome

from tests.helpers import MS, PATIENT, SECOND, SETTINGS, Driver, first_refused, sends, started


def test_a_standing_queue_is_shed_before_any_answer_is_late() -> None:
    """Incidents i28d44f, iad7bbc: endpoints choke within seconds, while the
    answers that do come are still quick."""
    driver = Driver(started(settings=replace(SETTINGS, classes=(PATIENT,)), instances=8))
    assert all(driver.serve(k * 50 * MS, 20 * MS) for k in range(100))
    held = [sends(driver.ask(5 * SECOND + k * MS)[1]) for k in range(200)]
    assert all(held[:8]), "a few are always let through"
    assert sum(map(bool, held)) < 60
    for sent in filter(None, held):
        done = Outcome(sent[0].request, 0, sent[0].endpoint, OK, SECOND, is_final=True)
        driver.balancer.outcome(6 * SECOND, done)
    assert sends(driver.ask(6 * SECOND)[1]), "open again once they are answered"


def test_a_burst_may_be_held_but_not_a_queue_that_stands() -> None:
    """Incidents iad7bbc, i511002: one bound is too tight for chance and too loose for a queue."""
    bounds = []
    for held_before in (8, 30):
        driver = Driver(started(settings=replace(SETTINGS, classes=(PATIENT,)), instances=8))
        assert all(driver.serve(k * 20 * MS, 400 * MS) for k in range(300))
        admission = driver.balancer.admission
        for k in range(130):
            admission.record_result(7 * SECOND + k * 20 * MS, 700 * MS, True, True)
            admission.limit.exceeds_concurrency_limit(7 * SECOND + k * 20 * MS, held_before)
        bounds.append(first_refused(admission, 9_600 * MS, range(8, 200)))
    assert bounds[1] < 0.8 * bounds[0]


def test_shedding_that_mends_nothing_gives_way() -> None:
    """Two copies before the same endpoints: what one refused the other took, and so
    the first held ever less while what it let in took as long as before."""
    driver = Driver(started(settings=replace(SETTINGS, classes=(PATIENT,)), instances=8))
    assert all(driver.serve(k * 20 * MS, 400 * MS) for k in range(300))
    admission, refused = driver.balancer.admission, []
    for k in range(1500):
        now = 7 * SECOND + k * 20 * MS
        admission.record_result(now, 1000 * MS, True, True)
        refused.append(admission.limit.exceeds_concurrency_limit(now, 50))
    assert any(refused[:300]) and not any(refused[-300:])


def test_the_unloaded_time_is_that_of_the_first_requests_not_of_the_first_answers() -> None:
    driver = Driver(started(settings=replace(SETTINGS, classes=(PATIENT,))))
    admission, due = driver.balancer.admission, []
    for k in range(40):  # every second one takes five times as long
        rid, actions = driver.ask(k * MS)
        took = 100 * MS if k % 2 else 500 * MS
        due.append((k * MS + took, rid, sends(actions)[0].endpoint, took))
    for end, rid, endpoint, took in sorted(due):
        assert not admission.limit.is_unloaded_known or end >= 500 * MS
        driver.balancer.outcome(end, Outcome(rid, 0, endpoint, OK, took, is_final=True))
    assert admission.limit.is_unloaded_known and 200 * MS < admission.limit.unloaded_us < 400 * MS


def test_time_outs_do_not_widen_the_bound() -> None:
    """Chikushi overload: clients left, their work went on, and the stream of time-outs
    passed for answers: the bound let in as much again."""
    bounds = []
    for answered in (True, False):
        driver = Driver(started(settings=replace(SETTINGS, classes=(PATIENT,)), instances=8))
        assert all(driver.serve(k * 20 * MS, 700 * MS) for k in range(300))
        admission = driver.balancer.admission
        for k in range(200):
            admission.record_result(7 * SECOND + k * 20 * MS, 800 * MS, answered, answered)
        bounds.append(first_refused(admission, 11 * SECOND, range(8, 500)))
    assert bounds[1] < bounds[0] / 3


def test_few_copies_before_many_endpoints_hold_more_each() -> None:
    """Chikushi: three copies before eleven endpoints of three cores; eight requests for each
    copy left most cores idle while the bound found its way up again."""
    few = started(11, instances=3).admission.limit.in_flight_min
    many = started(11, instances=22).admission.limit.in_flight_min
    assert few == pytest.approx(8 * 11 / 3) and many == pytest.approx(4)


def test_quick_answers_beside_a_long_aim_are_not_slow() -> None:
    """Chikushi quiet: the least of a noisy mean was taken for the unloaded time, and requests
    were refused at a tenth of their aim."""
    driver = Driver(started(settings=replace(SETTINGS, classes=(PATIENT,)), instances=8))
    assert all(driver.serve(k * 20 * MS, 100 * MS) for k in range(300))
    admission = driver.balancer.admission
    for k in range(300):
        admission.record_result(6 * SECOND + k * 20 * MS, 250 * MS, True, True, PATIENT.aim_us)
        assert not admission.limit.exceeds_concurrency_limit(6 * SECOND + k * 20 * MS, 13)


def test_many_copies_hold_less_each_once_answers_are_slow() -> None:
    """Incident i4e7940: a hundred copies that may each hold eight keep a choked tier choked."""
    bounds = []
    for copies in (1, 100):
        driver = Driver(started(settings=replace(SETTINGS, classes=(PATIENT,)), instances=copies))
        admission = driver.balancer.admission
        assert all(driver.serve(k * 500 * MS, 100 * MS) for k in range(60))
        assert not admission.limit.exceeds_concurrency_limit(30 * SECOND, 8), (
            "quick answers: small counts tell nothing"
        )
        for k in range(60):
            admission.record_result((30 + k) * SECOND, 2 * SECOND, True, True)
            admission.limit.exceeds_concurrency_limit((30 + k) * SECOND, 1)
        bounds.append(first_refused(admission, 90 * SECOND, range(1, 99)))
    assert bounds[1] < bounds[0]
