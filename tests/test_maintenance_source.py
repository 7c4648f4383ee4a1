"""The source of endpoint lists, which passes discovery's lists with the cordons to the engine."""

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
    LISTED_MACHINES,
    SECOND,
    FakeDiscovery,
    FakeEngine,
    listed_entry,
    request_for,
)
from tests.maintenance_states import apply_entry, apply_event, drain_entry


class SourceFixture:
    """A source between a fake discovery and a fake engine. Its steps run only when `run` is called."""

    def __init__(self, is_state_known: bool = True) -> None:
        self.clock = ManualClock()
        self.engine = FakeEngine(self.clock)
        self.state = MaintenanceState()
        self.log_lines: list[str] = []
        self.steps: list[tuple[Iterator[None], Callable[[Exception | None], None]]] = []
        self.source = MaintenanceSource(
            FakeDiscovery(),
            self.state,
            self.clock,
            GRACE_US,
            lambda *run: self.steps.append(run),
            self.log_lines.append,
        )
        self.source.start(self.engine, 0)
        if is_state_known:
            self.source.start_forwarding(True)

    def run(self) -> int:
        """Run all pending steps; returns their number."""
        step_count = 0
        while self.steps:
            steps, on_ended = self.steps.pop(0)
            step_count += sum(1 for _ in steps)
            on_ended(None)
        return step_count

    def cordon(self, machine_id: str) -> None:
        if not self.state.open_requests:
            apply_entry(self.state, 1, OperatorCommand(0, 5, 1, "wish", request_for(out=99, zone="a")))
        apply_entry(self.state, self.state.index + 1, drain_entry(self.state, machine_id))
        assert machine_id in self.state.machines


LONG_LIST = [listed_entry(f"m{n}") for n in range(1000)]


def test_a_long_list_is_applied_in_steps() -> None:
    fixture = SourceFixture()
    entries = [dict(listed) for listed in LONG_LIST]
    steps = fixture.source.apply_list_in_steps(True, entries, 5)
    step_count = sum(1 for _ in steps)
    assert step_count > 1000 / MAX_DIRECT_ENTRIES and not entries, "the entries are consumed"
    assert len(fixture.engine.ready) == len(fixture.source.table.machines) == 1000
    fixture.cordon("m7")
    fixture.source.refresh()
    assert "m7" not in fixture.engine.ready and not fixture.steps, "a single change is published at once"


def test_a_cordon_during_a_long_list_is_published_after_the_list() -> None:
    fixture = SourceFixture()
    steps = fixture.source.apply_list_in_steps(True, [dict(listed) for listed in LONG_LIST], 5)
    next(steps)
    fixture.cordon("m7")
    fixture.source.refresh()
    assert fixture.source.drained_index() < fixture.state.machines["m7"].drain_index, "not published yet"
    for _ in steps:
        pass
    assert "m7" not in fixture.engine.ready
    fixture.clock.advance(GRACE_US)
    assert fixture.source.drained_index() == fixture.state.index


def test_a_deferred_list_is_published_in_steps_once_the_state_is_known() -> None:
    fixture = SourceFixture(is_state_known=False)
    for _ in fixture.source.apply_list_in_steps(True, [dict(listed) for listed in LONG_LIST], 5):
        pass
    fixture.source.on_list(2, False, [listed_entry("m3", phase="draining")])
    assert not fixture.engine.ready and fixture.source.drained_index() == -1
    fixture.cordon("m7")
    fixture.source.start_forwarding(True)
    fixture.source.on_list(3, False, [listed_entry("m4", phase="gone"), listed_entry("new")])
    assert not fixture.engine.ready and fixture.source.drained_index() < fixture.state.index
    assert fixture.run() > 1000 / MAX_DIRECT_ENTRIES
    assert fixture.engine.ready.keys() == {listed["instanceId"] for listed in LONG_LIST} - {
        "m3",
        "m4",
        "m7",
    } | {"new"}
    fixture.source.on_list(4, True, [listed_entry("m8")])
    assert fixture.engine.ready.keys() == {"m8"}


def test_full_lists_that_arrive_while_the_table_is_published_follow_after_it() -> None:
    fixture = SourceFixture(is_state_known=False)
    fixture.source.set_initial_list(41, LONG_LIST)
    fixture.source.start_forwarding(True)
    fixture.source.on_list(3, True, [listed_entry("m8")])
    for _ in fixture.source.apply_list_in_steps(True, [listed_entry("m8"), listed_entry("m9")], 5):
        pass
    fixture.run()
    assert fixture.engine.ready.keys() == {"m8", "m9"}


def test_the_drain_grace_counts_from_when_the_engine_got_the_list() -> None:
    fixture = SourceFixture()
    fixture.source.on_list(1, True, [listed_entry("m0"), listed_entry("m1")])
    fixture.cordon("m0")
    on_list = fixture.engine.on_list

    def on_list_late(generation: int, is_full: bool, entries: Sequence[Any]) -> None:
        fixture.clock.advance(2 * GRACE_US)  # the process was paused between the cordon and the engine
        on_list(generation, is_full, entries)

    fixture.engine.on_list = on_list_late  # type: ignore[method-assign]
    fixture.source.refresh()
    drain_index = fixture.state.machines["m0"].drain_index
    assert fixture.engine.may_send("m0") and fixture.source.drained_index() < drain_index
    fixture.clock.advance(GRACE_US)
    assert not fixture.engine.may_send("m0") and fixture.source.drained_index() >= drain_index


def test_a_machine_is_not_drained_while_the_engine_has_rejected_the_list() -> None:
    fixture = SourceFixture()
    fixture.source.on_list(1, True, [listed_entry("m0"), listed_entry("m1")])
    fixture.cordon("m0")

    def reject_list(generation: int, is_full: bool, entries: Sequence[Any]) -> None:
        raise ValueError("malformed entry")

    on_list, fixture.engine.on_list = fixture.engine.on_list, reject_list  # type: ignore[method-assign]
    fixture.source.refresh()
    drain_index = fixture.state.machines["m0"].drain_index
    fixture.clock.advance(2 * GRACE_US)
    assert fixture.engine.may_send("m0") and fixture.source.drained_index() < drain_index
    fixture.engine.on_list = on_list  # type: ignore[method-assign]
    fixture.source.on_list(2, True, [listed_entry("m0"), listed_entry("m1")])
    fixture.clock.advance(2 * GRACE_US)
    assert not fixture.engine.may_send("m0") and fixture.source.drained_index() >= drain_index


@pytest.mark.parametrize(
    "malformed",
    [
        {"instanceId": "x"},
        7,
        listed_entry("x", phase="asleep"),
        listed_entry("x", hostPort="no"),
        # The engine rejects them too: an endpoint's number is computed from the encoded id.
        listed_entry("x") | {"instanceId": "\ud800"},
        listed_entry("x") | {"instanceId": 7},
    ],
)
def test_a_malformed_list_changes_nothing(malformed: Any) -> None:
    for is_state_known in (True, False):
        fixture = SourceFixture(is_state_known)
        fixture.source.on_list(1, True, LISTED_MACHINES)
        with pytest.raises(ValueError, match="malformed entry"):
            fixture.source.on_list(2, True, [listed_entry("m1"), malformed])
        with pytest.raises(ValueError, match="malformed entry"):
            list(fixture.source.apply_list_in_steps(True, [listed_entry("m1"), malformed], 5))
        assert len(fixture.source.table.machines) == 6 and not fixture.source.is_applying_list
        assert len(fixture.engine.ready) == (6 if is_state_known else 0)
        fixture.source.on_list(3, False, [listed_entry("m1", phase="gone")])
        assert len(fixture.source.table.machines) == 5


def test_the_other_methods_are_forwarded_to_the_inner_source_and_the_sink() -> None:
    events: list[str] = []

    class Sink(FakeEngine):
        def on_list_failed(self) -> None:
            events.append("failed")

    clock = ManualClock()
    members = StaticMembers(LISTED_MACHINES)
    source = MaintenanceSource(members, MaintenanceState(), clock, GRACE_US, lambda *run: None, events.append)
    source.on_list_failed()
    source.start(Sink(clock), 3)
    assert members.generation == 3 and source.now() == clock.now()
    source.watch(True)
    source.fetch()
    source.on_list_failed()
    assert events == ["failed"] and len(source.table.machines) == 6


def test_a_return_is_published_as_start_time_until_discovery_lists_a_later_one() -> None:
    fixture = SourceFixture()
    fixture.source.on_list(1, True, LISTED_MACHINES)
    fixture.cordon("m0")
    fixture.source.refresh()
    apply_event(fixture.state, "clear")
    apply_event(fixture.state, "done")
    fixture.source.refresh()
    returned_ms = fixture.engine.ready["m0"]
    assert returned_ms == fixture.clock.wall() // 1000
    fixture.source.on_list(2, True, LISTED_MACHINES)
    assert fixture.engine.ready["m0"] == returned_ms, "a published start time never decreases"
    fixture.source.on_list(3, False, [listed_entry("m0", started_ms=returned_ms + 5)])
    assert fixture.engine.ready["m0"] == returned_ms + 5
    fixture.source.on_list(4, False, [listed_entry("m0", phase="gone")])
    assert not fixture.source.overlay.returned_ms


def test_the_list_for_a_successor_contains_cordoned_machines() -> None:
    fixture = SourceFixture()
    fixture.source.on_list(1, True, [*LISTED_MACHINES, listed_entry("m9", phase="draining")])
    fixture.cordon("m0")
    fixture.source.refresh()
    output: list[bytes] = []
    for _ in fixture.source.dump_in_steps(41, output):
        pass
    dumped = json.loads(output[0])
    assert dumped["generation"] == 41 and dumped["reset"] and len(dumped["instances"]) == 6
    assert dumped["instances"] == LISTED_MACHINES


def test_the_totals_of_a_table_match_its_machines() -> None:
    table = MachineTable()
    for listed in (
        *LISTED_MACHINES,
        listed_entry("m0", "b", "draining", weight=3.0),
        listed_entry("m1", phase="gone"),
        listed_entry("x", weight=-1.0),
    ):
        table.put(parse_listed_machine(listed))
    ready = [machine for machine in table.machines.values() if machine.phase == 1]
    assert (table.ready_count, table.ready_weight, table.listed_weight) == (len(ready), 5.0, 8.0)
    assert table.draining == {"m0"} and set(table.ids_in_scope("zone", table.machines["m0"])) == {
        "m0",
        "m3",
        "m5",
    }
    for machine_id in list(table.machines):
        table.remove(machine_id)
    assert (table.ready_count, table.listed_weight, table.groups) == (0, 0.0, {})


def test_the_engine_counts_requests_in_flight_until_their_bodies_end() -> None:
    clock = ManualClock()
    upstream = FakeUpstream(clock)
    settings = Settings(classes=(RequestClass(),), max_attempts=2, second_copies=True)
    names = NameTable({"classes": [{"name": "page"}]}, settings)
    engine = Engine(clock, 1, settings, names, upstream, StaticMembers(), 500_000, lambda text: None)
    engine.start()
    engine.on_list(1, True, [entry("s-0")])
    endpoint = endpoint_number("s-0")
    calls = [
        Call(0, clock.now() + SECOND, b"GET / HTTP/1.1", b"", b"", RecordingFrontend(), b"%d" % n)
        for n in range(2)
    ]
    for call in calls:
        engine.take(call)
    assert engine.in_flight_at(endpoint) == 2 and engine.in_flight_at(endpoint + 1) == 0

    class Body:
        def pause(self) -> None: ...
        def resume(self) -> None: ...
        def on_abandoned(self) -> None: ...

    attempts: list[Attempt] = list(upstream.in_flight)
    stream = BodyStream(Body(), 10)
    attempts[0].end(OK, Answer(Ending.SERVED, 200, stream=stream))
    attempts[1].end(OK, Answer(Ending.SERVED, 200))
    assert engine.in_flight_at(endpoint) == 1, "the body of its answer has not ended"
    stream.finish(True)
    assert engine.in_flight_at(endpoint) == 0
