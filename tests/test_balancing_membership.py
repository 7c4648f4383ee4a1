"""The endpoint list: modes, restarts and polls."""

from __future__ import annotations

from dataclasses import replace

import pytest
from laurelstep.balancing.endpoints import SegmentHealth
from laurelstep.balancing.events import DRAINING, GONE, LIST_CACHED, LIST_DELTA, LIST_FAILED, LIST_FULL, Timer

from tests.helpers import MS, SECOND, SETTINGS, fleet, on_ring, started


def test_a_restart_under_the_same_id_forgets_the_former_process() -> None:
    balancer = started()
    endpoint = balancer.endpoints[100]
    endpoint.health[0] = SegmentHealth(0.01, 0, 5.0)
    endpoint.slowness, endpoint.speed_samples = 4.0, 9
    endpoint.idle_since, endpoint.overloaded_until, endpoint.reported_queued = [1, 2], 9 * SECOND, 7.0
    balancer.members(SECOND, LIST_DELTA, [replace(fleet(1)[0], boot=SECOND)])
    healths = [(one.value, one.updated_at, one.failures) for one in endpoint.health]
    assert (healths, endpoint.slowness, endpoint.speed_samples) == ([(1.0, 0, 0.0)], 1.0, 0)
    assert (endpoint.idle_since, endpoint.overloaded_until, endpoint.reported_queued) == ([], 0, 0.0)


def test_list_modes_add_keep_and_remove() -> None:
    balancer = started(4)
    gone = replace(fleet(1)[0], phase=GONE)
    balancer.members(SECOND, LIST_DELTA, [gone, replace(fleet(2)[1], phase=DRAINING)])
    assert sorted(on_ring(balancer)) == [102, 103]
    balancer.members(SECOND, LIST_FAILED, [])
    assert len(on_ring(balancer)) == 2, "the old list stays"
    balancer.members(SECOND, LIST_FULL, fleet(3))
    assert set(on_ring(balancer)) == {100, 101, 102}
    balancer.members(SECOND, LIST_CACHED, fleet(6))
    assert len(on_ring(balancer)) == 6


# What a call for lists costs where it fails: an answer that ends at once, or nothing for 2 s, which
# is spread by 0.3 s and asked again at once by the side that noticed.
ENDS_AT_ONCE, SILENT_TWICE = 150 * MS, 2 * (2_000 + 300) * MS


@pytest.mark.parametrize("fails", [[ENDS_AT_ONCE] * 4, [SILENT_TWICE]])
def test_lists_are_asked_for_again_before_a_change_counts_as_told(fails: list[int]) -> None:
    """tide-quotes, join and herd: calls that ended instead of telling were each asked again after 1.25
    to 3.75 s, and drains were told meanwhile: 6 s after discovery had them."""
    slow = 0
    for seed in range(200):
        balancer = started(seed=seed, settings=replace(SETTINGS, asks_discovery=True))
        now = SECOND  # the watch is lost, and a change comes
        for call in [0, *fails]:
            actions = balancer.members(now + call, LIST_FAILED, [])
            (timer,) = [one for one in actions if isinstance(one, Timer)]
            now += call + timer.delay_us
        slow = max(slow, now + ENDS_AT_ONCE - SECOND)
    assert slow <= 6 * SECOND, "the call that tells of it is answered in time"
