"""Retries and the one guard that every send passes."""

from __future__ import annotations

from dataclasses import replace

import pytest
from laurelstep.balancing.events import FULL, KEYED, SCOPE_CELL, UNSAFE, Fail, Outcome, RequestClass

from tests.helpers import MS, SECOND, SETTINGS, Driver, sends, started


def test_the_guard_alone_keeps_scope_window_attempts_copies_and_drain() -> None:
    """Whatever a pick may come to return, `_send` must not let it through."""
    cell = RequestClass(KEYED, SCOPE_CELL, window_us=100 * MS, aim_us=200 * MS, deadline_us=SECOND)
    for copies, attempts in ((True, 3), (False, 3), (True, 1)):
        settings = replace(SETTINGS, classes=(cell,), second_copies=copies, max_attempts=attempts)
        balancer = started(settings=settings)
        rid, actions = Driver(balancer).ask(SECOND)
        request, first = balancer.requests[rid], sends(actions)[0].endpoint
        near = next(e for e in balancer.endpoints.values() if e.id != first and e.cell == (first - 100) // 4)
        far = next(e for e in balancer.endpoints.values() if e.cell != near.cell)
        assert not balancer._send(SECOND + MS, request, far), "out of the key's scope"
        assert not balancer._send(SECOND + 100 * MS, request, near), "past the key's window"
        may = copies and attempts > 1
        assert balancer._send(SECOND + MS, request, near) is may
        near.is_ready = False
        assert not balancer._send(SECOND + 2 * MS, request, near), "draining"


@pytest.mark.parametrize("unproven", [False, True])
def test_full_is_no_proof_where_a_site_says_so(unproven: bool) -> None:
    """Incident i4b6c8c: unsafe requests were sent again after 'full'."""
    once = RequestClass(UNSAFE, aim_us=500 * MS, deadline_us=SECOND)
    driver = Driver(started(settings=replace(SETTINGS, classes=(once,), full_unproven=unproven)))
    rid, actions = driver.ask(SECOND)
    (sent,) = sends(actions)
    actions = driver.balancer.outcome(SECOND + MS, Outcome(rid, 0, sent.endpoint, FULL, MS))
    assert bool(sends(actions)) is not unproven
    assert any(isinstance(action, Fail) for action in actions) is unproven
