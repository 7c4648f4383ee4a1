"""The age of endpoints when the wall clock of this machine is stepped. See docs/design/clocks.md."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, cast

import pytest
from laurelstep.balancing.events import RequestClass, Settings
from laurelstep.engine.endpoint_table import CLOCK_TOLERANCE_US, EndpointTable, StartDating, endpoint_number
from laurelstep.engine.names import NameTable

SECOND_US = 1_000_000
SETTINGS = Settings(
    classes=(RequestClass(),), me=1, instances=3, zones=1, cross_zone_price=0.1, stage=1, max_attempts=3
)
NAMES = NameTable({"classes": [{"name": "page"}]}, SETTINGS)
START_US = 1_700_000_000_000_000


class SteppedClock:
    """The monotonic clock and the wall clock of one machine, in µs."""

    def __init__(self) -> None:
        self.time, self.offset = 500_000_000, START_US

    def now(self) -> int:
        return self.time

    def wall(self) -> int:
        return self.time + self.offset

    def at(self, due: int, callback: Callable[..., None], *args: Any) -> Any:
        raise AssertionError("the table must not set timers")


class NoUpstream:
    """An upstream without connections."""

    def set_address(self, number: int, address: str) -> None: ...

    def remove(self, number: int) -> None: ...


class Fleet:
    """An endpoint table that receives start times of a correct clock."""

    def __init__(self) -> None:
        self.clock = SteppedClock()
        self.table = EndpointTable(self.clock, NAMES, cast(Any, NoUpstream()), 500_000)

    def age_us(self, name: str, started_us: int | None) -> int | None:
        """The age that the table assumes for an endpoint; None for long ago. `started_us`: its start on the
        monotonic clock, None if unknown.
        """
        started_ms = 0 if started_us is None else (started_us + START_US) // 1000
        self.table.apply(
            False,
            [
                {
                    "instanceId": name,
                    "hostPort": "10.0.0.1:80",
                    "lifecycle": "ready",
                    "startedAtMs": started_ms,
                }
            ],
        )
        boot = self.table.by_number[endpoint_number(name)].entry.boot
        return None if boot == 0 else self.clock.time - boot


@pytest.mark.parametrize("step_us", [SECOND_US, 3_600 * SECOND_US])
def test_after_a_forward_step_an_endpoint_in_slow_start_does_not_look_older(step_us: int) -> None:
    fleet = Fleet()
    assert fleet.age_us("before", fleet.clock.time - 4 * SECOND_US) == 4 * SECOND_US
    fleet.clock.offset += step_us
    fleet.clock.time += 10 * SECOND_US
    assert fleet.age_us("new", fleet.clock.time - 4 * SECOND_US) == 4 * SECOND_US
    assert fleet.age_us("before", fleet.clock.time - 14 * SECOND_US) == 14 * SECOND_US
    assert fleet.age_us("long", None) is None
    assert fleet.age_us("an hour", fleet.clock.time - 3_600 * SECOND_US) == 3_600 * SECOND_US


@pytest.mark.parametrize("step_us", [SECOND_US, 3_600 * SECOND_US])
def test_after_a_backward_step_an_endpoint_counts_as_started_when_it_was_listed(step_us: int) -> None:
    fleet = Fleet()
    fleet.clock.offset -= step_us
    assert fleet.age_us("new", fleet.clock.time) == 0
    fleet.clock.time += 10 * SECOND_US
    assert fleet.age_us("new", fleet.clock.time - 10 * SECOND_US) == 10 * SECOND_US, "its slow start ends"
    assert fleet.age_us("long", None) is None
    fleet.clock.offset += step_us
    assert fleet.age_us("later", fleet.clock.time) == 0, "the younger age applies"
    old = fleet.age_us("two hours", fleet.clock.time - 7_200 * SECOND_US)
    assert old is not None and old >= 3_600 * SECOND_US, "the error is no larger than the step"


def test_a_later_start_is_not_dated_before_the_earlier_one_was_listed() -> None:
    """The wall clock was an hour ahead when this process began. Only the times of the lists reveal that."""
    fleet = Fleet()
    fleet.table.start_dating = StartDating(fleet.clock.now(), fleet.clock.wall() + 3_600 * SECOND_US)
    fleet.clock.offset += 3_600 * SECOND_US
    assert fleet.age_us("one", fleet.clock.time - 60 * SECOND_US) == 3_660 * SECOND_US, (
        "no bound is known yet"
    )
    fleet.clock.time += 8 * SECOND_US
    assert fleet.age_us("one", fleet.clock.time - 2 * SECOND_US) == 8 * SECOND_US


def test_an_unknown_or_wrong_earlier_start_sets_no_bound() -> None:
    fleet = Fleet()
    assert fleet.age_us("one", None) is None
    fleet.clock.time += SECOND_US
    assert fleet.age_us("one", fleet.clock.time - 90 * SECOND_US) == 90 * SECOND_US
    assert fleet.age_us("one", fleet.clock.time - 95 * SECOND_US) == 95 * SECOND_US, "an earlier start"


def test_a_small_change_of_the_offset_is_not_a_step() -> None:
    fleet = Fleet()
    fleet.clock.offset += CLOCK_TOLERANCE_US
    age = fleet.age_us("one", fleet.clock.time - 4 * SECOND_US)
    assert age == 4 * SECOND_US + CLOCK_TOLERANCE_US, "as the wall clock says"
    fleet.clock.offset -= CLOCK_TOLERANCE_US
    assert fleet.age_us("two", fleet.clock.time - 4 * SECOND_US) == 4 * SECOND_US
