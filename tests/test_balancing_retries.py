"""Retries, and the guard that every send passes."""

from __future__ import annotations

from dataclasses import replace

import pytest
from laurelstep.balancing.events import FULL, KEYED, SCOPE_CELL, UNSAFE, Fail, Outcome, RequestClass

from tests.helpers import MS, SECOND, SETTINGS, Driver, sends, started


def test_the_guard_alone_keeps_scope_window_attempts_hedging_and_drains() -> None:
    """`_send` must enforce the rules whatever endpoint `EndpointSelector.pick` returns."""
    keyed_class = RequestClass(KEYED, SCOPE_CELL, window_us=100 * MS, aim_us=200 * MS, deadline_us=SECOND)
    for is_hedging_allowed, max_attempts in ((True, 3), (False, 3), (True, 1)):
        settings = replace(
            SETTINGS, classes=(keyed_class,), second_copies=is_hedging_allowed, max_attempts=max_attempts
        )
        balancer = started(settings=settings)
        request_id, actions = Driver(balancer).send_request(SECOND)
        request, first = balancer.requests[request_id], sends(actions)[0].endpoint
        endpoint_in_cell = next(
            e for e in balancer.endpoints.values() if e.id != first and e.cell == (first - 100) // 4
        )
        endpoint_elsewhere = next(e for e in balancer.endpoints.values() if e.cell != endpoint_in_cell.cell)
        assert not balancer._send(SECOND + MS, request, endpoint_elsewhere), "outside the key's scope"
        assert not balancer._send(SECOND + 100 * MS, request, endpoint_in_cell), "past the key's window"
        is_expected = is_hedging_allowed and max_attempts > 1
        assert balancer._send(SECOND + MS, request, endpoint_in_cell) is is_expected
        endpoint_in_cell.is_ready = False
        assert not balancer._send(SECOND + 2 * MS, request, endpoint_in_cell), "draining"


@pytest.mark.parametrize("is_unproven", [False, True])
def test_full_proves_nothing_where_the_settings_say_so(is_unproven: bool) -> None:
    """Unsafe requests were retried after 'full' although it proved nothing (incident i4b6c8c)."""
    unsafe_class = RequestClass(UNSAFE, aim_us=500 * MS, deadline_us=SECOND)
    driver = Driver(started(settings=replace(SETTINGS, classes=(unsafe_class,), full_unproven=is_unproven)))
    request_id, actions = driver.send_request(SECOND)
    (sent,) = sends(actions)
    actions = driver.balancer.outcome(SECOND + MS, Outcome(request_id, 0, sent.endpoint, FULL, MS))
    assert bool(sends(actions)) is not is_unproven
    assert any(isinstance(action, Fail) for action in actions) is is_unproven
