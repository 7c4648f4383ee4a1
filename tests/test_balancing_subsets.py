"""Subsets of the shared ring."""

from __future__ import annotations

import pytest

from tests.helpers import started


@pytest.mark.parametrize(("size", "copies"), [(9, 10), (34, 29), (85, 400), (36, 6), (5, 2), (7, 1), (1, 3)])
def test_every_endpoint_lies_in_equally_many_left_and_right_subsets(size: int, copies: int) -> None:
    shares_by_side: dict[str, dict[int, float]] = {"left": {}, "right": {}}
    for me in range(copies):
        balancer = started(size, me=me, instances=copies)
        for side, shares in shares_by_side.items():
            for endpoint, share in balancer.subsets.pair[side == "right"].members:
                shares[endpoint.id] = shares.get(endpoint.id, 0.0) + share
    for shares in shares_by_side.values():
        assert copies == 1 or max(shares.values()) == pytest.approx(min(shares.values()))
    assert sum(len(shares) for shares in shares_by_side.values()) >= size
    assert not set(range(100, 100 + size)) - set(shares_by_side["left"]) - set(shares_by_side["right"])


def test_where_leaving_the_zone_has_a_price_ties_stay_in_the_zone() -> None:
    balancer = started(16, instances=4, zones=2, zone=1, cross_zone_price=0.02)
    left, right = ({endpoint.zone for endpoint, _ in subset.members} for subset in balancer.subsets.pair)
    assert (left, right) == ({1}, {0})
