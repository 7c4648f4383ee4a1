"""Admission control: load shedding at the entry tier."""

from __future__ import annotations

from collections import deque
from dataclasses import replace

from laurelstep.balancing.balancer import Balancer
from laurelstep.balancing.events import OK, TIMEOUT, Arrival, Outcome

from tests.helpers import LONG_CLASS, MS, SECOND, SETTINGS, Driver, sends, started


def test_late_answers_shed_load_and_good_ones_end_the_shedding() -> None:
    """Guards against queues full of requests whose clients no longer wait (incident i19db7a)."""
    driver = Driver(started())
    assert all(driver.serve(k * 50 * MS, 20 * MS) for k in range(100))
    late_served = [driver.serve(5 * SECOND + k * SECOND, 900 * MS) for k in range(200)]
    assert sum(late_served[100:]) < 30, "most are refused while all answers come late"
    assert sum(late_served[100:]) > 0, "trial requests are admitted"
    served_after_recovery = [driver.serve(300 * SECOND + k * 50 * MS, 20 * MS) for k in range(400)]
    assert all(served_after_recovery[300:])


def test_later_tiers_shed_nothing() -> None:
    driver = Driver(started(stage=1, stages=3))
    assert all(driver.serve(k * SECOND, 900 * MS) for k in range(200))


def test_many_requests_in_flight_are_no_queue_while_answers_are_quick() -> None:
    """A limit that follows the rate of answers lowers that rate: 60 % of the requests were shed although
    all others were answered in time.
    """
    driver = Driver(started(settings=replace(SETTINGS, classes=(LONG_CLASS,))))
    assert all(driver.serve(k * 20 * MS, 400 * MS) for k in range(300))
    admission = driver.balancer.admission
    for k in range(100):
        admission.record_result(6_400 * MS + k * 20 * MS, 400 * MS, True, True)
        assert not admission.limit.exceeds_concurrency_limit(6_400 * MS + k * 20 * MS, 30)


def test_immediate_rejections_do_not_set_the_unloaded_time() -> None:
    """A restarted sidecar found all endpoints at their connection limit, took the 2 ms until each
    rejection for the unloaded service time and shed nearly all requests from then on.
    """
    driver = Driver(started())
    for k in range(40):
        driver.balancer.admission.record_result(k * 50 * MS, 2 * MS, False, False)
    assert driver.balancer.admission.limit.unloaded_us > 10 * MS


def test_a_starting_copy_admits_few_at_first_and_more_with_each_answer() -> None:
    driver = Driver(started(settings=replace(SETTINGS, classes=(LONG_CLASS,)), instances=10))
    answers = [driver.send_request(k * MS) for k in range(100)]
    sent_requests = [
        (request_id, sent[0].endpoint) for request_id, actions in answers if (sent := sends(actions))
    ]
    assert 16 <= len(sent_requests) < 40, "a surge on a restarted copy would overload the endpoints"
    for request_id, endpoint in sent_requests[:10]:
        driver.balancer.outcome(500 * MS, Outcome(request_id, 0, endpoint, OK, 400 * MS, is_final=True))
    more = [driver.send_request(501 * MS + k) for k in range(100)]
    assert sum(bool(sends(actions)) for _, actions in more) >= 20


def test_a_single_late_answer_sheds_nothing_but_a_missing_answer_does() -> None:
    """Guards against refusals after each heavy request (deployment haverhill-accounts, scenario quiet)."""
    for is_late, is_shedding in ((True, False), (False, True)):
        driver = Driver(started())
        assert all(driver.serve(k * 50 * MS, 20 * MS) for k in range(100))
        if is_late:
            assert driver.serve(6 * SECOND, 900 * MS)
        else:
            request_id, _ = driver.send_request(6 * SECOND)
            driver.balancer.client_disconnected(6_900 * MS, request_id)
        assert (driver.balancer.admission.admitted_share < 1.0) is is_shedding


def test_a_copy_overloaded_from_its_start_sheds_load() -> None:
    """The phase before the limit applied was measured in service times, which grew faster than the phase
    passed: in 45 s no request was refused and hardly any answer was in time (deployment Chikushi,
    scenario overload).
    """
    driver = Driver(started(settings=replace(SETTINGS, classes=(LONG_CLASS,)), instances=8))
    balancer, admitted_count = driver.balancer, 0
    due: list[tuple[int, int, int, int]] = []
    for k in range(2000):  # 100 requests a second, of which the endpoints can serve 50
        now = k * 10 * MS
        while due and due[0][0] <= now:
            due_at, request_id, endpoint, sent_at = due.pop(0)
            balancer.outcome(due_at, Outcome(request_id, 0, endpoint, OK, due_at - sent_at, is_final=True))
        request_id, actions = driver.send_request(now)
        if sent := sends(actions):
            admitted_count += 1
            answered_at = max(now + 200 * MS, due[-1][0] + 20 * MS if due else 0)
            due.append((answered_at, request_id, sent[0].endpoint, now))
    assert balancer.admission.limit.is_unloaded_known
    assert len(due) < 50, "at most one second of work is in flight"
    assert admitted_count > 900, "requests within the capacity are admitted"


def test_the_duration_of_an_upload_does_not_affect_admission() -> None:
    balancer = started()
    driver, now = Driver(balancer), 0
    for _ in range(200):
        now += 30 * MS
        assert driver.serve(now, 20 * MS)
    usual_us = balancer.admission.limit.service_us
    for _ in range(20):
        now += 30 * MS
        driver.last_request_id += 1
        arrival = Arrival(driver.last_request_id, 0, now + 600 * SECOND, has_pending_body=True)
        (send,) = sends(balancer.request(now, arrival))
        now += 8 * SECOND  # its body arrives slowly
        balancer.request_completed(now, driver.last_request_id, now + SECOND)
        assert balancer.requests[driver.last_request_id].expires_at == now + SECOND
        now += 20 * MS
        balancer.outcome(now, Outcome(driver.last_request_id, 0, send.endpoint, OK, 20 * MS, is_final=True))
    assert balancer.admission.limit.service_us < 1.1 * usual_us and balancer.admission.admitted_share >= 1.0
    count = balancer.admission.limit.result_count
    balancer.request(now, Arrival(9_999, 0, now + 600 * SECOND, has_pending_body=True))
    balancer.client_disconnected(now + 8 * SECOND, 9_999)
    assert balancer.admission.limit.result_count == count, "its client left before the body was complete"
    balancer.request_completed(now, 9_999, now)  # no effect: the request is closed


def test_incomplete_uploads_cause_no_refusal() -> None:
    balancer = started()
    driver, now = Driver(balancer), 0
    for _ in range(200):
        now += 30 * MS
        assert driver.serve(now, 20 * MS)
    for _ in range(300):
        driver.last_request_id += 1
        balancer.request(now, Arrival(driver.last_request_id, 0, now + 600 * SECOND, has_pending_body=True))
    assert balancer.request_table.uploading_count == 300
    now += 30 * MS
    assert driver.serve(now, 20 * MS), "an incomplete upload is no load"
    for request_id in list(balancer.requests):
        balancer.client_disconnected(now, request_id)
    assert balancer.request_table.uploading_count == 0
    assert all(endpoint.in_flight == 0 for endpoint in balancer.endpoints.values())


def end_by_timeout(balancer: Balancer, now: int, waited_us: int, request_id: int) -> None:
    """End a request that was sent `waited_us` ago with a time-out."""
    request = balancer.requests[request_id]
    endpoint = request.attempts[0].endpoint.id
    balancer.outcome(now, Outcome(request_id, 0, endpoint, TIMEOUT, waited_us, is_final=True))


def test_the_wait_for_a_lost_request_is_not_a_service_time() -> None:
    """An answer is lost in a later tier while its endpoint goes on answering newer requests."""
    balancer = started(2)
    driver, now = Driver(balancer), 0
    pending: deque[tuple[int, Outcome]] = deque()
    hung_request_id, served = 0, 0
    for n in range(2_000):
        now += 4 * MS
        while pending and pending[0][0] <= now:
            balancer.outcome(pending[0][0], pending.popleft()[1])
        request_id, actions = driver.send_request(now)
        (send,) = sends(actions)
        if n == 1_000:
            hung_request_id, hung_endpoint = request_id, send.endpoint
        else:
            pending.append((now + 20 * MS, Outcome(request_id, 0, send.endpoint, OK, 20 * MS, is_final=True)))
            served += hung_request_id > 0 and send.endpoint == hung_endpoint
    assert served > 100, "the endpoint served other requests meanwhile"
    end_by_timeout(balancer, now, 4 * SECOND, hung_request_id)
    assert (
        balancer.admission.limit.service_us < 40 * MS
        and balancer.admission.limit.smoothed_service_us < 40 * MS
    )


def test_time_outs_in_a_queue_raise_the_service_time() -> None:
    """All requests wait and no newer one is answered earlier: that is a queue, not a loss."""
    balancer = started()
    driver, now = Driver(balancer), 0
    for _ in range(200):
        now += 30 * MS
        assert driver.serve(now, 20 * MS)
    waiting = [driver.send_request(now)[0] for _ in range(8)]
    now += SECOND
    for request_id in waiting:
        end_by_timeout(balancer, now, SECOND, request_id)
    assert balancer.admission.limit.service_us > 200 * MS
