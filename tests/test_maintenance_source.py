"""The step where lists change: discovery's list under cordons, as the engine gets it."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterator, Sequence
from typing import Any

import pytest
from laurelstep.balancing.events import OK, RequestClass, Settings
from laurelstep.engine import Answer, Call, Ending, Engine, NameTable, endpoint_number
from laurelstep.engine.body_stream import BodyStream
from laurelstep.engine.call import Attempt
from laurelstep.engine.static_members import StaticMembers
from laurelstep.maintenance.entries import (
    OperatorCommand,
)
from laurelstep.maintenance.machines import MachineTable, parse_listed_machine
from laurelstep.maintenance.source import MAX_DIRECT_ENTRIES, MaintenanceSource
from laurelstep.maintenance.state import MaintenanceState

from tests.fakes import FakeUpstream, ManualClock, RecordingFrontend, entry
from tests.maintenance import (
    GRACE_US,
    LISTED,
    SECOND,
    FakeDiscovery,
    FakeEngine,
    listed_entry,
    request_for,
)
from tests.maintenance_states import apply_entry, apply_event, drain_entry


class World:
    """A source between a list that is given and an engine that is played, in steps by hand."""

    def __init__(self, known: bool = True) -> None:
        self.clock = ManualClock()
        self.engine = FakeEngine(self.clock)
        self.state = MaintenanceState()
        self.logged: list[str] = []
        self.steps: list[tuple[Iterator[None], Callable[[Exception | None], None]]] = []
        self.source = MaintenanceSource(
            FakeDiscovery(),
            self.state,
            self.clock,
            GRACE_US,
            lambda *run: self.steps.append(run),
            self.logged.append,
        )
        self.source.start(self.engine, 0)
        if known:
            self.source.start_forwarding(True)

    def run(self) -> int:
        """All that is on its way; how many steps that took."""
        count = 0
        while self.steps:
            steps, ended = self.steps.pop(0)
            count += sum(1 for _ in steps)
            ended(None)
        return count

    def hold(self, id: str) -> None:
        if not self.state.open_requests:
            apply_entry(self.state, 1, OperatorCommand(0, 5, 1, "wish", request_for(out=99, zone="a")))
        apply_entry(self.state, self.state.index + 1, drain_entry(self.state, id))
        assert id in self.state.machines


LONG = [listed_entry(f"m{n}") for n in range(1000)]


def test_a_long_list_stays_in_steps() -> None:
    world = World()
    raws = [dict(raw) for raw in LONG]
    steps = world.source.apply_list_in_steps(True, raws, 5)
    count = sum(1 for _ in steps)
    assert count > 1000 / MAX_DIRECT_ENTRIES and not raws, "used up"
    assert len(world.engine.ready) == len(world.source.table.machines) == 1000
    world.hold("m7")
    world.source.refresh()
    assert "m7" not in world.engine.ready and not world.steps, "one change is told at once"


def test_what_changes_while_a_long_list_is_on_its_way_is_told_behind_it() -> None:
    world = World()
    steps = world.source.apply_list_in_steps(True, [dict(raw) for raw in LONG], 5)
    next(steps)
    world.hold("m7")
    world.source.refresh()
    assert world.source.drained_index() < world.state.machines["m7"].drain_index, "not told yet"
    for _ in steps:
        pass
    assert "m7" not in world.engine.ready
    world.clock.advance(GRACE_US)
    assert world.source.drained_index() == world.state.index


def test_a_list_that_is_held_back_is_told_in_steps_once_the_record_is_known() -> None:
    world = World(known=False)
    for _ in world.source.apply_list_in_steps(True, [dict(raw) for raw in LONG], 5):
        pass
    world.source.on_list(2, False, [listed_entry("m3", phase="draining")])
    assert not world.engine.ready and world.source.drained_index() == -1
    world.hold("m7")
    world.source.start_forwarding(True)
    world.source.on_list(3, False, [listed_entry("m4", phase="gone"), listed_entry("new")])
    assert not world.engine.ready and world.source.drained_index() < world.state.index
    assert world.run() > 1000 / MAX_DIRECT_ENTRIES
    assert world.engine.ready.keys() == {raw["instanceId"] for raw in LONG} - {"m3", "m4", "m7"} | {"new"}
    world.source.on_list(4, True, [listed_entry("m8")])
    assert world.engine.ready.keys() == {"m8"}


def test_a_whole_list_while_ours_is_on_its_way_is_told_behind_it() -> None:
    world = World(known=False)
    world.source.set_initial_list(41, LONG)
    world.source.start_forwarding(True)
    world.source.on_list(3, True, [listed_entry("m8")])
    for _ in world.source.apply_list_in_steps(True, [listed_entry("m8"), listed_entry("m9")], 5):
        pass
    world.run()
    assert world.engine.ready.keys() == {"m8", "m9"}


def test_a_process_that_stands_still_as_it_tells_is_not_quiet_before_the_grace_is_over() -> None:
    world = World()
    world.source.on_list(1, True, [listed_entry("m0"), listed_entry("m1")])
    world.hold("m0")
    listed = world.engine.on_list

    def late(version: int, whole: bool, entries: Sequence[Any]) -> None:
        world.clock.advance(2 * GRACE_US)  # stopped between the hold and the engine
        listed(version, whole, entries)

    world.engine.on_list = late  # type: ignore[method-assign]
    world.source.refresh()
    left = world.state.machines["m0"].drain_index
    assert world.engine.may_send("m0") and world.source.drained_index() < left
    world.clock.advance(GRACE_US)
    assert not world.engine.may_send("m0") and world.source.drained_index() >= left


def test_what_the_engine_did_not_take_is_never_quiet() -> None:
    world = World()
    world.source.on_list(1, True, [listed_entry("m0"), listed_entry("m1")])
    world.hold("m0")

    def refuse(version: int, whole: bool, entries: Sequence[Any]) -> None:
        raise ValueError("no entry")

    listed, world.engine.on_list = world.engine.on_list, refuse  # type: ignore[method-assign]
    world.source.refresh()
    left = world.state.machines["m0"].drain_index
    world.clock.advance(2 * GRACE_US)
    assert world.engine.may_send("m0") and world.source.drained_index() < left
    world.engine.on_list = listed  # type: ignore[method-assign]
    world.source.on_list(2, True, [listed_entry("m0"), listed_entry("m1")])
    world.clock.advance(2 * GRACE_US)
    assert not world.engine.may_send("m0") and world.source.drained_index() >= left


@pytest.mark.parametrize(
    "bad",
    [
        {"instanceId": "x"},
        7,
        listed_entry("x", phase="asleep"),
        listed_entry("x", hostPort="no"),
        # As the engine, which makes its number of an id.
        listed_entry("x") | {"instanceId": "\ud800"},
        listed_entry("x") | {"instanceId": 7},
    ],
)
def test_a_bad_list_changes_nothing(bad: Any) -> None:
    for known in (True, False):
        world = World(known)
        world.source.on_list(1, True, LISTED)
        with pytest.raises(ValueError, match="malformed entry"):
            world.source.on_list(2, True, [listed_entry("m1"), bad])
        with pytest.raises(ValueError, match="malformed entry"):
            list(world.source.apply_list_in_steps(True, [listed_entry("m1"), bad], 5))
        assert len(world.source.table.machines) == 6 and not world.source.is_applying_list
        assert len(world.engine.ready) == (6 if known else 0)
        world.source.on_list(3, False, [listed_entry("m1", phase="gone")])
        assert len(world.source.table.machines) == 5


def test_a_source_passes_on_what_else_is_asked() -> None:
    told: list[str] = []

    class Sink(FakeEngine):
        def on_list_failed(self) -> None:
            told.append("failed")

    clock = ManualClock()
    given = StaticMembers(LISTED)
    source = MaintenanceSource(given, MaintenanceState(), clock, GRACE_US, lambda *run: None, told.append)
    source.on_list_failed()
    source.start(Sink(clock), 3)
    assert given.generation == 3 and source.now() == clock.now()
    source.watch(True)
    source.fetch()
    source.on_list_failed()
    assert told == ["failed"] and len(source.table.machines) == 6


def test_a_return_is_told_as_a_start_until_discovery_tells_a_later_one() -> None:
    world = World()
    world.source.on_list(1, True, LISTED)
    world.hold("m0")
    world.source.refresh()
    apply_event(world.state, "clear")
    apply_event(world.state, "done")
    world.source.refresh()
    began = world.engine.ready["m0"]
    assert began == world.clock.wall() // 1000
    world.source.on_list(2, True, LISTED)
    assert world.engine.ready["m0"] == began, "a start told is never taken back"
    world.source.on_list(3, False, [listed_entry("m0", started_ms=began + 5)])
    assert world.engine.ready["m0"] == began + 5
    world.source.on_list(4, False, [listed_entry("m0", phase="gone")])
    assert not world.source.overlay.returned_ms


def test_the_list_for_the_next_version_has_what_is_held() -> None:
    world = World()
    world.source.on_list(1, True, [*LISTED, listed_entry("m9", phase="draining")])
    world.hold("m0")
    world.source.refresh()
    taken: list[bytes] = []
    for _ in world.source.dump_in_steps(41, taken):
        pass
    told = json.loads(taken[0])
    assert told["generation"] == 41 and told["reset"] and len(told["instances"]) == 6
    assert told["instances"] == LISTED


def test_sums_of_a_table_stay_those_of_its_members() -> None:
    table = MachineTable()
    for raw in (
        *LISTED,
        listed_entry("m0", "b", "draining", weight=3.0),
        listed_entry("m1", phase="gone"),
        listed_entry("x", weight=-1.0),
    ):
        table.put(parse_listed_machine(raw))
    ready = [one for one in table.machines.values() if one.phase == 1]
    assert (table.ready_count, table.ready_weight, table.listed_weight) == (len(ready), 5.0, 8.0)
    assert table.draining == {"m0"} and set(table.ids_in_scope("zone", table.machines["m0"])) == {
        "m0",
        "m3",
        "m5",
    }
    for id in list(table.machines):
        table.remove(id)
    assert (table.ready_count, table.listed_weight, table.groups) == (0, 0.0, {})


def test_the_engine_counts_what_is_out_at_an_endpoint() -> None:
    clock = ManualClock()
    upstream = FakeUpstream(clock)
    settings = Settings(classes=(RequestClass(),), max_attempts=2, second_copies=True)
    names = NameTable({"classes": [{"name": "page"}]}, settings)
    engine = Engine(clock, 1, settings, names, upstream, StaticMembers(), 500_000, lambda text: None)
    engine.start()
    engine.on_list(1, True, [entry("s-0")])
    where = endpoint_number("s-0")
    calls = [
        Call(0, clock.now() + SECOND, b"GET / HTTP/1.1", b"", b"", RecordingFrontend(), b"%d" % n)
        for n in range(2)
    ]
    for call in calls:
        engine.take(call)
    assert engine.in_flight_at(where) == 2 and engine.in_flight_at(where + 1) == 0

    class Body:
        def pause(self) -> None: ...
        def resume(self) -> None: ...
        def on_abandoned(self) -> None: ...

    attempts: list[Attempt] = list(upstream.in_flight)
    flow = BodyStream(Body(), 10)
    attempts[0].end(OK, Answer(Ending.SERVED, 200, stream=flow))
    attempts[1].end(OK, Answer(Ending.SERVED, 200))
    assert engine.in_flight_at(where) == 1, "its answer still comes from there"
    flow.finish(True)
    assert engine.in_flight_at(where) == 0
