"""Locality-aware routing where leaving the zone has a price."""

from __future__ import annotations

from dataclasses import replace

from laurelstep.balancing.events import OK, Outcome

from tests.helpers import MS, SECOND, SETTINGS, Driver, sends, started


def zoned(seed: int = 3) -> Driver:
    return Driver(
        started(
            12,
            seed,
            replace(SETTINGS, second_copies=False),
            instances=2,
            zones=2,
            zone=1,
            cross_zone_price=0.05,
        )
    )


def abroad(driver: Driver, now: int, count: int, near: int, far: int) -> float:
    """The share of requests sent to the other zone, answered after the given times."""
    crossed = 0
    for k in range(count):
        at = now + k * 10 * MS
        rid, actions = driver.ask(at)
        (sent,) = sends(actions)
        away = driver.balancer.endpoints[sent.endpoint].zone != 1
        crossed += away
        done = Outcome(rid, 0, sent.endpoint, OK, far if away else near, is_final=True)
        driver.balancer.outcome(at + (far if away else near), done)
    return crossed / count


def test_requests_stay_in_a_zone_that_bears_them() -> None:
    """Chikushi quiet: half of all calls crossed halls, 8.7 points of service."""
    driver = zoned()
    abroad(driver, 0, 100, 50 * MS, 52 * MS)
    assert abroad(driver, SECOND, 400, 50 * MS, 52 * MS) < 0.01


def test_a_crowded_zone_sends_abroad_and_takes_its_work_back() -> None:
    driver = zoned()
    abroad(driver, 0, 200, 50 * MS, 52 * MS)
    abroad(driver, 2 * SECOND, 300, 150 * MS, 52 * MS)
    assert abroad(driver, 5 * SECOND, 200, 150 * MS, 52 * MS) > 0.4
    abroad(driver, 7 * SECOND, 1500, 50 * MS, 52 * MS)
    assert abroad(driver, 22 * SECOND, 200, 50 * MS, 52 * MS) < 0.01


def test_all_slow_alike_is_no_reason_to_cross() -> None:
    """A dependence that slows every endpoint makes none of them a better choice."""
    driver = zoned()
    abroad(driver, 0, 200, 50 * MS, 52 * MS)
    abroad(driver, 2 * SECOND, 600, 150 * MS, 160 * MS)
    assert abroad(driver, 8 * SECOND, 200, 150 * MS, 160 * MS) < 0.4


def test_zones_that_were_out_of_reach_are_tried_again() -> None:
    """Chikushi, a hall cut off: what was learned of the others then held for as long as
    nothing was sent there, and the hall choked on all of its own traffic."""
    driver = zoned()
    abroad(driver, 0, 200, 50 * MS, 52 * MS)
    for k in range(100):
        driver.balancer.spillover.record(2 * SECOND + k * 10 * MS, False, 200 * MS)
    assert driver.balancer.spillover.remote_share < 0.05
    abroad(driver, 4 * SECOND, 400, 150 * MS, 52 * MS)
    assert abroad(driver, 8 * SECOND, 200, 150 * MS, 52 * MS) > 0.4
