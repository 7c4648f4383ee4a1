"""Admission control: load shedding at the entry, without a bench."""

from __future__ import annotations

from collections import deque
from dataclasses import replace

from laurelstep.balancing.balancer import Balancer
from laurelstep.balancing.events import OK, TIMEOUT, Arrival, Outcome

from tests.helpers import MS, PATIENT, SECOND, SETTINGS, Driver, sends, started


def test_late_answers_shed_at_the_entry_and_good_ones_open_it_again() -> None:
    """Incident i19db7a: queues full of work that nobody waits for any more."""
    driver = Driver(started())
    assert all(driver.serve(k * 50 * MS, 20 * MS) for k in range(100))
    late = [driver.serve(5 * SECOND + k * SECOND, 900 * MS) for k in range(200)]
    assert sum(late[100:]) < 30, "most are refused while all answers come late"
    assert sum(late[100:]) > 0, "a trial goes on"
    again = [driver.serve(300 * SECOND + k * 50 * MS, 20 * MS) for k in range(400)]
    assert all(again[300:])


def test_nothing_is_shed_further_down_the_chain() -> None:
    driver = Driver(started(stage=1, stages=3))
    assert all(driver.serve(k * SECOND, 900 * MS) for k in range(200))


def test_a_full_hand_is_no_queue_while_answers_are_quick() -> None:
    """A bound by the stream of answers lowers that stream: 60 % were shed, all others in time."""
    driver = Driver(started(settings=replace(SETTINGS, classes=(PATIENT,))))
    assert all(driver.serve(k * 20 * MS, 400 * MS) for k in range(300))
    admission = driver.balancer.admission
    for k in range(100):
        admission.record_result(6_400 * MS + k * 20 * MS, 400 * MS, True, True)
        assert not admission.limit.exceeds_concurrency_limit(6_400 * MS + k * 20 * MS, 30)


def test_what_is_turned_away_at_once_sets_no_time() -> None:
    """A sidecar that came back found every table of connections full, took the 2 ms
    until it knew for the unloaded time, and shed nearly all from then on."""
    driver = Driver(started())
    for k in range(40):
        driver.balancer.admission.record_result(k * 50 * MS, 2 * MS, False, False)
    assert driver.balancer.admission.limit.unloaded_us > 10 * MS


def test_a_copy_that_starts_holds_few_at_first_and_more_with_each_answer() -> None:
    driver = Driver(started(settings=replace(SETTINGS, classes=(PATIENT,)), instances=10))
    held = [driver.ask(k * MS) for k in range(100)]
    out = [(rid, sent[0].endpoint) for rid, actions in held if (sent := sends(actions))]
    assert 16 <= len(out) < 40, "a rush on a copy just back would choke the endpoints"
    for rid, endpoint in out[:10]:
        driver.balancer.outcome(500 * MS, Outcome(rid, 0, endpoint, OK, 400 * MS, is_final=True))
    more = [driver.ask(501 * MS + k) for k in range(100)]
    assert sum(bool(sends(actions)) for _, actions in more) >= 20


def test_a_single_late_answer_refuses_nobody_but_one_unanswered_does() -> None:
    """haverhill-accounts quiet: each heavy request made the entry refuse a few."""
    for late, refused in ((True, False), (False, True)):
        driver = Driver(started())
        assert all(driver.serve(k * 50 * MS, 20 * MS) for k in range(100))
        if late:
            assert driver.serve(6 * SECOND, 900 * MS)
        else:
            rid, _ = driver.ask(6 * SECOND)
            driver.balancer.client_disconnected(6_900 * MS, rid)
        assert (driver.balancer.admission.admitted_share < 1.0) is refused


def test_a_copy_overloaded_from_its_start_sheds_too() -> None:
    """Chikushi overload: the wait before anything was bounded was counted in what answers
    took by then, which grew faster; in 45 s nothing was refused and hardly any was in time."""
    driver = Driver(started(settings=replace(SETTINGS, classes=(PATIENT,)), instances=8))
    balancer, let = driver.balancer, 0
    due: list[tuple[int, int, int, int]] = []
    for k in range(2000):  # 100 a second, and 50 of them can be done
        now = k * 10 * MS
        while due and due[0][0] <= now:
            end, rid, endpoint, began = due.pop(0)
            balancer.outcome(end, Outcome(rid, 0, endpoint, OK, end - began, is_final=True))
        rid, actions = driver.ask(now)
        if sent := sends(actions):
            let += 1
            free = max(now + 200 * MS, due[-1][0] + 20 * MS if due else 0)
            due.append((free, rid, sent[0].endpoint, now))
    assert balancer.admission.limit.is_unloaded_known
    assert len(due) < 50, "held by now: one second's work at most"
    assert let > 900, "what can be done is let through"


def test_the_pace_of_an_upload_tells_admission_nothing() -> None:
    balancer = started()
    driver, now = Driver(balancer), 0
    for _ in range(200):
        now += 30 * MS
        assert driver.serve(now, 20 * MS)
    usual = balancer.admission.limit.service_us
    for _ in range(20):
        now += 30 * MS
        driver.next += 1
        asked = Arrival(driver.next, 0, now + 600 * SECOND, has_pending_body=True)
        (send,) = sends(balancer.request(now, asked))
        now += 8 * SECOND  # its body comes slowly
        balancer.request_completed(now, driver.next, now + SECOND)
        assert balancer.requests[driver.next].expires_at == now + SECOND
        now += 20 * MS
        balancer.outcome(now, Outcome(driver.next, 0, send.endpoint, OK, 20 * MS, is_final=True))
    assert balancer.admission.limit.service_us < 1.1 * usual and balancer.admission.admitted_share >= 1.0
    count = balancer.admission.limit.result_count
    balancer.request(now, Arrival(9_999, 0, now + 600 * SECOND, has_pending_body=True))
    balancer.client_disconnected(now + 8 * SECOND, 9_999)
    assert balancer.admission.limit.result_count == count, "its client left before it was whole"
    balancer.request_completed(now, 9_999, now)  # of one that is over: nothing


def test_uploads_on_their_way_turn_nothing_away() -> None:
    balancer = started()
    driver, now = Driver(balancer), 0
    for _ in range(200):
        now += 30 * MS
        assert driver.serve(now, 20 * MS)
    for _ in range(300):
        driver.next += 1
        balancer.request(now, Arrival(driver.next, 0, now + 600 * SECOND, has_pending_body=True))
    assert balancer.request_table.uploading_count == 300
    now += 30 * MS
    assert driver.serve(now, 20 * MS), "what is still coming is no load yet"
    for rid in list(balancer.requests):
        balancer.client_disconnected(now, rid)
    assert balancer.request_table.uploading_count == 0
    assert all(endpoint.in_flight == 0 for endpoint in balancer.endpoints.values())


def timed_out(balancer: Balancer, now: int, waited: int, rid: int) -> None:
    """A request sent `waited` ago, whose client gives up now."""
    request = balancer.requests[rid]
    endpoint = request.attempts[0].endpoint.id
    balancer.outcome(now, Outcome(rid, 0, endpoint, TIMEOUT, waited, is_final=True))


def test_how_long_a_lost_request_was_waited_for_is_not_what_answers_take() -> None:
    """Answers get lost below an endpoint that goes on answering what is sent to it later."""
    balancer = started(2)
    driver, now = Driver(balancer), 0
    out: deque[tuple[int, Outcome]] = deque()
    hung, served = 0, 0
    for n in range(2_000):
        now += 4 * MS
        while out and out[0][0] <= now:
            balancer.outcome(out[0][0], out.popleft()[1])
        rid, actions = driver.ask(now)
        (send,) = sends(actions)
        if n == 1_000:
            hung, where = rid, send.endpoint
        else:
            out.append((now + 20 * MS, Outcome(rid, 0, send.endpoint, OK, 20 * MS, is_final=True)))
            served += hung > 0 and send.endpoint == where
    assert served > 100, "it got others meanwhile"
    timed_out(balancer, now, 4 * SECOND, hung)
    assert (
        balancer.admission.limit.service_us < 40 * MS
        and balancer.admission.limit.smoothed_service_us < 40 * MS
    )


def test_what_times_out_in_a_queue_tells_what_answers_take() -> None:
    """All of it waits, and none that came later is answered before: that is load."""
    balancer = started()
    driver, now = Driver(balancer), 0
    for _ in range(200):
        now += 30 * MS
        assert driver.serve(now, 20 * MS)
    waiting = [driver.ask(now)[0] for _ in range(8)]
    now += SECOND
    for rid in waiting:
        timed_out(balancer, now, SECOND, rid)
    assert balancer.admission.limit.service_us > 200 * MS
