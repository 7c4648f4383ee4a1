"""How old an endpoint is taken for, where the wall clock is stepped. See docs/design/clocks.md."""

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
    """Both clocks of one machine in µs."""

    def __init__(self) -> None:
        self.time, self.offset = 500_000_000, START_US

    def now(self) -> int:
        return self.time

    def wall(self) -> int:
        return self.time + self.offset

    def at(self, due: int, callback: Callable[..., None], *args: Any) -> Any:
        raise AssertionError("no timer is needed")


class NoUpstream:
    """Takes no connection."""

    def set_address(self, number: int, address: str) -> None: ...

    def remove(self, number: int) -> None: ...


class Fleet:
    """What this process makes of a list whose times are told by a right clock."""

    def __init__(self) -> None:
        self.clock = SteppedClock()
        self.members = EndpointTable(self.clock, NAMES, cast(Any, NoUpstream()), 500_000)

    def age_us(self, name: str, started_us: int | None) -> int | None:
        """How old it is taken for; None for long ago. `started_us`: by the monotonic clock."""
        started_ms = 0 if started_us is None else (started_us + START_US) // 1000
        self.members.apply(
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
        boot = self.members.by_number[endpoint_number(name)].entry.boot
        return None if boot == 0 else self.clock.time - boot


@pytest.mark.parametrize("step_us", [SECOND_US, 3_600 * SECOND_US])
def test_an_endpoint_in_slow_start_is_not_taken_as_warm_after_a_step_ahead(step_us: int) -> None:
    fleet = Fleet()
    assert fleet.age_us("before", fleet.clock.time - 4 * SECOND_US) == 4 * SECOND_US
    fleet.clock.offset += step_us
    fleet.clock.time += 10 * SECOND_US
    assert fleet.age_us("new", fleet.clock.time - 4 * SECOND_US) == 4 * SECOND_US
    assert fleet.age_us("before", fleet.clock.time - 14 * SECOND_US) == 14 * SECOND_US
    assert fleet.age_us("long", None) is None
    assert fleet.age_us("an hour", fleet.clock.time - 3_600 * SECOND_US) == 3_600 * SECOND_US


@pytest.mark.parametrize("step_us", [SECOND_US, 3_600 * SECOND_US])
def test_after_a_step_back_an_endpoint_is_taken_as_started_when_it_was_told(step_us: int) -> None:
    fleet = Fleet()
    fleet.clock.offset -= step_us
    assert fleet.age_us("new", fleet.clock.time) == 0
    fleet.clock.time += 10 * SECOND_US
    assert fleet.age_us("new", fleet.clock.time - 10 * SECOND_US) == 10 * SECOND_US, "its slow start ends"
    assert fleet.age_us("long", None) is None
    fleet.clock.offset += step_us
    assert fleet.age_us("later", fleet.clock.time) == 0, "the younger holds"
    old = fleet.age_us("two hours", fleet.clock.time - 7_200 * SECOND_US)
    assert old is not None and old >= 3_600 * SECOND_US, "no more is doubted than the step"


def test_a_later_start_is_no_older_than_the_telling_of_the_earlier_one() -> None:
    """The clock was an hour ahead when this process began: only what it was told shows that."""
    fleet = Fleet()
    fleet.members.start_dating = StartDating(fleet.clock.now(), fleet.clock.wall() + 3_600 * SECOND_US)
    fleet.clock.offset += 3_600 * SECOND_US
    assert fleet.age_us("one", fleet.clock.time - 60 * SECOND_US) == 3_660 * SECOND_US, "nothing tells more"
    fleet.clock.time += 8 * SECOND_US
    assert fleet.age_us("one", fleet.clock.time - 2 * SECOND_US) == 8 * SECOND_US


def test_a_start_that_was_long_ago_or_told_wrongly_before_bounds_nothing() -> None:
    fleet = Fleet()
    assert fleet.age_us("one", None) is None
    fleet.clock.time += SECOND_US
    assert fleet.age_us("one", fleet.clock.time - 90 * SECOND_US) == 90 * SECOND_US
    assert fleet.age_us("one", fleet.clock.time - 95 * SECOND_US) == 95 * SECOND_US, "an earlier one"


def test_a_moment_between_the_reading_of_the_clocks_is_no_step() -> None:
    fleet = Fleet()
    fleet.clock.offset += CLOCK_TOLERANCE_US
    age = fleet.age_us("one", fleet.clock.time - 4 * SECOND_US)
    assert age == 4 * SECOND_US + CLOCK_TOLERANCE_US, "as the wall clock says"
    fleet.clock.offset -= CLOCK_TOLERANCE_US
    assert fleet.age_us("two", fleet.clock.time - 4 * SECOND_US) == 4 * SECOND_US
