"""Priority weights: who gives way first when load is shed."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from laurelstep.balancing.events import Goal

from tests.helpers import MS, PATIENT, SECOND, SETTINGS, Driver, sends, started


def shed_by(driver: Driver, kinds: list[tuple[int, int]], now: int) -> Counter[tuple[int, int]]:
    """Requests let through of each (class, tenant), asked for in turn and left unanswered."""
    through: Counter[tuple[int, int]] = Counter()
    for k in range(40 * len(kinds)):
        kind = kinds[k % len(kinds)]
        through[kind] += bool(sends(driver.ask(now + k * MS, *kind)[1]))
    return through


def test_the_class_of_least_weight_gives_way_first() -> None:
    """Overload days: classes were shed alike, whatever they were worth."""
    classes = (PATIENT, replace(PATIENT, worth=8.0))
    driver = Driver(started(settings=replace(SETTINGS, classes=classes)))
    assert all(driver.serve(k * 50 * MS, 200 * MS, k % 2) for k in range(100))
    through = shed_by(driver, [(0, 0), (1, 0)], 6 * SECOND)
    assert through[1, 0] > through[0, 0] > 0


def test_a_tenant_past_its_quota_gives_way_to_one_within() -> None:
    some = replace(SETTINGS, classes=(PATIENT,), tenants=(1.0, 1000.0), over_share_worth=0.1)
    driver = Driver(started(settings=some))
    assert all(driver.serve(k * 50 * MS, 200 * MS) for k in range(100))
    through = shed_by(driver, [(0, 0), (0, 1)], 6 * SECOND)
    assert through[0, 1] > through[0, 0] > 0


def test_a_class_gives_way_only_where_that_pays_more_than_the_worst_class_loses() -> None:
    """Chikushi: pulls are worth least and were shed first, down to 5 %, where the worst class
    counts three tenths; on a site that does not count it they still give way."""
    classes = (replace(PATIENT, worth=1.0), replace(PATIENT, worth=1.8))
    through = {}
    for worst in (0.0, 0.35):
        goal = Goal(whole=0.65, worst_class=worst)
        driver = Driver(started(settings=replace(SETTINGS, classes=classes, goal=goal), instances=8))
        assert all(driver.serve(k * 50 * MS, 200 * MS, k % 2) for k in range(100))
        through[worst] = shed_by(driver, [(0, 0), (1, 0)], 6 * SECOND)
    assert through[0.0][1, 0] > through[0.0][0, 0]
    assert through[0.35][1, 0] == pytest.approx(through[0.35][0, 0], abs=1)
