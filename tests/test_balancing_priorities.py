"""Priority weights: which requests are shed first."""

from __future__ import annotations

from collections import Counter
from dataclasses import replace

import pytest
from laurelstep.balancing.events import Goal

from tests.helpers import LONG_CLASS, MS, SECOND, SETTINGS, Driver, sends, started


def count_admitted(driver: Driver, kinds: list[tuple[int, int]], now: int) -> Counter[tuple[int, int]]:
    """Send requests of each (class, tenant) in turn, unanswered; returns how many of each were admitted."""
    admitted: Counter[tuple[int, int]] = Counter()
    for k in range(40 * len(kinds)):
        kind = kinds[k % len(kinds)]
        admitted[kind] += bool(sends(driver.send_request(now + k * MS, *kind)[1]))
    return admitted


def test_the_class_of_least_weight_is_shed_first() -> None:
    """Under overload, all classes were shed alike, whatever their weight."""
    classes = (LONG_CLASS, replace(LONG_CLASS, worth=8.0))
    driver = Driver(started(settings=replace(SETTINGS, classes=classes)))
    assert all(driver.serve(k * 50 * MS, 200 * MS, k % 2) for k in range(100))
    admitted = count_admitted(driver, [(0, 0), (1, 0)], 6 * SECOND)
    assert admitted[1, 0] > admitted[0, 0] > 0


def test_a_tenant_above_its_quota_is_shed_before_one_within() -> None:
    settings = replace(SETTINGS, classes=(LONG_CLASS,), tenants=(1.0, 1000.0), over_share_worth=0.1)
    driver = Driver(started(settings=settings))
    assert all(driver.serve(k * 50 * MS, 200 * MS) for k in range(100))
    admitted = count_admitted(driver, [(0, 0), (0, 1)], 6 * SECOND)
    assert admitted[0, 1] > admitted[0, 0] > 0


def test_a_class_is_shed_first_only_if_that_gains_more_than_the_worst_class_loses() -> None:
    """A class of least weight was shed down to 5 % although the worst class counted three tenths
    (deployment Chikushi). Where the worst class does not count, such a class is still shed first.
    """
    classes = (replace(LONG_CLASS, worth=1.0), replace(LONG_CLASS, worth=1.8))
    admitted = {}
    for worst_class_weight in (0.0, 0.35):
        goal = Goal(whole=0.65, worst_class=worst_class_weight)
        driver = Driver(started(settings=replace(SETTINGS, classes=classes, goal=goal), instances=8))
        assert all(driver.serve(k * 50 * MS, 200 * MS, k % 2) for k in range(100))
        admitted[worst_class_weight] = count_admitted(driver, [(0, 0), (1, 0)], 6 * SECOND)
    assert admitted[0.0][1, 0] > admitted[0.0][0, 0]
    assert admitted[0.35][1, 0] == pytest.approx(admitted[0.35][0, 0], abs=1)
