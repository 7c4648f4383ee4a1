"""Subsets of the shared ring."""

from __future__ import annotations

import pytest

from tests.helpers import started


@pytest.mark.parametrize(("size", "copies"), [(9, 10), (34, 29), (85, 400), (36, 6), (5, 2), (7, 1), (1, 3)])
def test_every_endpoint_lies_in_equally_many_left_and_right_subsets(size: int, copies: int) -> None:
    reach: dict[str, dict[int, float]] = {"left": {}, "right": {}}
    for me in range(copies):
        balancer = started(size, me=me, instances=copies)
        for side, seen in reach.items():
            for endpoint, share in balancer.subsets.pair[side == "right"].members:
                seen[endpoint.id] = seen.get(endpoint.id, 0.0) + share
    for seen in reach.values():
        assert copies == 1 or max(seen.values()) == pytest.approx(min(seen.values()))
    assert sum(len(seen) for seen in reach.values()) >= size
    assert not set(range(100, 100 + size)) - set(reach["left"]) - set(reach["right"])


def test_where_leaving_the_zone_costs_ties_stay_in_the_own_zone() -> None:
    balancer = started(16, instances=4, zones=2, zone=1, cross_zone_price=0.02)
    left, right = ({one.zone for one, _ in subset.members} for subset in balancer.subsets.pair)
    assert (left, right) == ({1}, {0})
