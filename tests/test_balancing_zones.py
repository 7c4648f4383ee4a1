"""Locality-aware routing where leaving the zone has a price."""

from __future__ import annotations

from dataclasses import replace

from laurelstep.balancing.events import OK, Outcome

from tests.helpers import MS, SECOND, SETTINGS, Driver, sends, started


def driver_with_zones(seed: int = 3) -> Driver:
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


def remote_share(driver: Driver, now: int, count: int, local_us: int, remote_us: int) -> float:
    """Send requests that are answered after `local_us` or `remote_us`; returns the share sent remotely."""
    remote_count = 0
    for k in range(count):
        at = now + k * 10 * MS
        request_id, actions = driver.send_request(at)
        (sent,) = sends(actions)
        is_remote = driver.balancer.endpoints[sent.endpoint].zone != 1
        remote_count += is_remote
        done = Outcome(request_id, 0, sent.endpoint, OK, remote_us if is_remote else local_us, is_final=True)
        driver.balancer.outcome(at + (remote_us if is_remote else local_us), done)
    return remote_count / count


def test_requests_stay_in_a_zone_with_enough_capacity() -> None:
    """Half of all calls crossed zones, which cost 8.7 points of service (deployment Chikushi, scenario
    quiet).
    """
    driver = driver_with_zones()
    remote_share(driver, 0, 100, 50 * MS, 52 * MS)
    assert remote_share(driver, SECOND, 400, 50 * MS, 52 * MS) < 0.01


def test_an_overloaded_zone_sends_to_others_until_it_recovers() -> None:
    driver = driver_with_zones()
    remote_share(driver, 0, 200, 50 * MS, 52 * MS)
    remote_share(driver, 2 * SECOND, 300, 150 * MS, 52 * MS)
    assert remote_share(driver, 5 * SECOND, 200, 150 * MS, 52 * MS) > 0.4
    remote_share(driver, 7 * SECOND, 1500, 50 * MS, 52 * MS)
    assert remote_share(driver, 22 * SECOND, 200, 50 * MS, 52 * MS) < 0.01


def test_equally_slow_zones_cause_no_crossing() -> None:
    """A dependency that slows every endpoint makes none of them a better choice."""
    driver = driver_with_zones()
    remote_share(driver, 0, 200, 50 * MS, 52 * MS)
    remote_share(driver, 2 * SECOND, 600, 150 * MS, 160 * MS)
    assert remote_share(driver, 8 * SECOND, 200, 150 * MS, 160 * MS) < 0.4


def test_zones_that_were_unreachable_are_tried_again() -> None:
    """A zone was cut off from the others. Their measured latencies stayed high as long as nothing was sent
    there, and the zone was overloaded by all of its own traffic (deployment Chikushi).
    """
    driver = driver_with_zones()
    remote_share(driver, 0, 200, 50 * MS, 52 * MS)
    for k in range(100):
        driver.balancer.spillover.record(2 * SECOND + k * 10 * MS, False, 200 * MS)
    assert driver.balancer.spillover.remote_share < 0.05
    remote_share(driver, 4 * SECOND, 400, 150 * MS, 52 * MS)
    assert remote_share(driver, 8 * SECOND, 200, 150 * MS, 52 * MS) > 0.4
