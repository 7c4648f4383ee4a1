"""The endpoint list: modes, restarts and polls."""

from __future__ import annotations

from dataclasses import replace

import pytest
from laurelstep.balancing.endpoints import SegmentHealth
from laurelstep.balancing.events import DRAINING, GONE, LIST_CACHED, LIST_DELTA, LIST_FAILED, LIST_FULL, Timer

from tests.helpers import MS, SECOND, SETTINGS, fleet, on_ring, started


def test_a_restart_under_the_same_id_resets_the_observations() -> None:
    balancer = started()
    endpoint = balancer.endpoints[100]
    endpoint.health[0] = SegmentHealth(0.01, 0, 5.0)
    endpoint.slowness, endpoint.speed_samples = 4.0, 9
    endpoint.idle_since, endpoint.overloaded_until, endpoint.reported_queued = [1, 2], 9 * SECOND, 7.0
    balancer.members(SECOND, LIST_DELTA, [replace(fleet(1)[0], boot=SECOND)])
    healths = [(health.value, health.updated_at, health.failures) for health in endpoint.health]
    assert (healths, endpoint.slowness, endpoint.speed_samples) == ([(1.0, 0, 0.0)], 1.0, 0)
    assert (endpoint.idle_since, endpoint.overloaded_until, endpoint.reported_queued) == ([], 0, 0.0)


def test_list_modes_add_keep_and_remove_endpoints() -> None:
    balancer = started(4)
    gone_entry = replace(fleet(1)[0], phase=GONE)
    balancer.members(SECOND, LIST_DELTA, [gone_entry, replace(fleet(2)[1], phase=DRAINING)])
    assert sorted(on_ring(balancer)) == [102, 103]
    balancer.members(SECOND, LIST_FAILED, [])
    assert len(on_ring(balancer)) == 2, "a failed call keeps the list"
    balancer.members(SECOND, LIST_FULL, fleet(3))
    assert set(on_ring(balancer)) == {100, 101, 102}
    balancer.members(SECOND, LIST_CACHED, fleet(6))
    assert len(on_ring(balancer)) == 6


# Duration of failed calls to discovery: one that fails at once, and one that is silent for 2 s (up to
# 0.3 s more, randomized) and is repeated at once.
FAILS_AT_ONCE_US, SILENT_TWICE_US = 150 * MS, 2 * (2_000 + 300) * MS


@pytest.mark.parametrize("failed_calls_us", [[FAILS_AT_ONCE_US] * 4, [SILENT_TWICE_US]])
def test_a_failed_call_for_lists_is_repeated_in_time(failed_calls_us: list[int]) -> None:
    """Calls that failed were repeated after 1.25 to 3.75 s each. Meanwhile, drains became known 6 s after
    discovery had them (deployment tide-quotes, scenarios join and herd).
    """
    slowest_us = 0
    for seed in range(200):
        balancer = started(seed=seed, settings=replace(SETTINGS, asks_discovery=True))
        now = SECOND  # the subscription is lost, and the list changes
        for call_us in [0, *failed_calls_us]:
            actions = balancer.members(now + call_us, LIST_FAILED, [])
            (timer,) = [action for action in actions if isinstance(action, Timer)]
            now += call_us + timer.delay_us
        slowest_us = max(slowest_us, now + FAILS_AT_ONCE_US - SECOND)
    assert slowest_us <= 6 * SECOND, "the call that returns the change is answered in time"
