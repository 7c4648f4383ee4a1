"""Long lists are parsed and applied in steps, with the same result as at once, while requests are served."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Iterator
from typing import Any, cast

import pytest
from hypothesis import given
from hypothesis import strategies as st
from laurelstep.balancing.events import LIST_DELTA, LIST_PARTIAL, Action, Entry, RequestClass, Settings
from laurelstep.engine import Engine, NameTable, endpoint_number
from laurelstep.engine.endpoint_table import EndpointTable
from laurelstep.engine.list_updates import STEP_ENTRIES, apply_in_steps, parse_in_steps
from laurelstep.engine.ports import Decisions
from laurelstep.engine.static_members import StaticMembers
from laurelstep.net.discovery import SHORT_OBJECT_BYTES, Discovery

from tests.conftest import Logged
from tests.fakes import FakeUpstream, ManualClock
from tests.helpers import on_ring
from tests.sockets import Endpoint, Registry, Sidecar, push, push_raw, record_outcomes, request, run, sidecar

ZONES = ("east", "west")
SETTINGS = Settings(
    classes=(RequestClass(),), me=1, instances=3, zones=2, cross_zone_price=0.1, stage=1, max_attempts=3
)
NAMES = NameTable({"classes": [{"name": "page"}], "zones": ZONES}, SETTINGS)


def raw(name: int, lifecycle: str = "ready", **changes: Any) -> dict[str, Any]:
    return {
        "instanceId": f"s-{name}", "hostPort": f"127.0.0.1:{1000 + name}", "zone": ZONES[name % 2],
        "machineType": "", "cell": name % 5, "lifecycle": lifecycle, "weight": 1.0, "startedAtMs": 0,
        **changes,
    }  # fmt: skip


class Copy:
    """An engine without sockets that applies lists at once or in steps."""

    def __init__(self, seed: int = 1) -> None:
        self.clock = ManualClock()
        self.upstream = FakeUpstream(self.clock)
        self.source = StaticMembers()
        self.engine = Engine(
            self.clock, seed, SETTINGS, NAMES, self.upstream, self.source, 500_000, lambda _: None
        )
        self.engine.start()

    def apply_at_once(self, is_full: bool, entries: list[dict[str, Any]]) -> None:
        self.engine.on_list(1, is_full, entries)

    def apply_in_steps(self, is_full: bool, entries: list[dict[str, Any]]) -> Iterator[None]:
        return self.engine.apply_list_in_steps(is_full, entries, self.clock.now())

    def routing_state(self) -> object:
        """The state that decides where requests may go."""
        balancer = self.engine.balancer
        by_zone = balancer.membership.ring.by_zone
        return (
            on_ring(balancer),
            {zone: [endpoint.id for _, endpoint in ring] for zone, ring in by_zone.items() if ring},
            [
                [(endpoint.id, share) for endpoint, share in subset.members]
                for subset in balancer.subsets.pair
            ],
            {
                number: (place.address, place.withdrawn_at)
                for number, place in self.engine.endpoints.by_number.items()
            },
            self.upstream.known_endpoints,
            sorted(
                (endpoint.id, endpoint.started_at, endpoint.rating)
                for endpoint in balancer.endpoints.values()
            ),
        )


LISTED_ENTRIES = st.tuples(
    st.integers(0, 12),
    st.sampled_from(("ready", "ready", "draining", "gone")),
    st.sampled_from(({}, {"weight": 2.0}, {"startedAtMs": 1_600_000_000_000}, {"hostPort": "127.0.0.1:7"})),
)
Lists = list[tuple[bool, list[tuple[int, str, dict[str, Any]]], int]]
LISTS = st.lists(
    st.tuples(st.booleans(), st.lists(LISTED_ENTRIES, max_size=12), st.integers(0, 400_000)), max_size=8
)


@given(LISTS)
def test_lists_applied_in_steps_and_at_once_give_the_same_state(
    lists: list[tuple[bool, list[tuple[int, str, dict[str, Any]]], int]],
) -> None:
    at_once, in_steps = Copy(), Copy()
    for is_full, listed, pause_us in lists:
        # A list names each endpoint once.
        entries = list({name: raw(name, phase, **more) for name, phase, more in listed}.values())
        at_once.apply_at_once(is_full, entries)
        for _ in in_steps.apply_in_steps(is_full, entries):
            pass
        assert at_once.routing_state() == in_steps.routing_state()
        at_once.clock.advance(pause_us)
        in_steps.clock.advance(pause_us)


@given(st.permutations(range(40)))
def test_the_order_of_the_entries_does_not_matter(order: list[int]) -> None:
    in_order, shuffled = Copy(), Copy()
    in_order.apply_at_once(True, [raw(name) for name in range(40)])
    for _ in shuffled.apply_in_steps(True, [raw(name) for name in order]):
        pass
    assert in_order.routing_state()[:3] == shuffled.routing_state()[:3]  # type: ignore[index]


TEXT = st.text('ab0.-"\\{}[]:,\n é', max_size=3)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | TEXT,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3),
    max_leaves=8,
)
OBJECTS = st.dictionaries(st.sampled_from(("instances", "generation", "x")), JSON, max_size=3)


def run_to_end(text: str) -> Any:
    steps = parse_in_steps(text)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


@given(OBJECTS, st.integers(0, 3))
def test_an_object_is_parsed_as_by_the_json_module(value: dict[str, Any], indent: int) -> None:
    text = json.dumps(value, indent=indent or None)
    assert run_to_end(text) == json.loads(text)


@given(
    st.dictionaries(st.sampled_from(("instances", "generation")), JSON),
    st.integers(0, 300),
    st.text(max_size=2),
)
def test_text_that_the_json_module_rejects_is_rejected(value: dict[str, Any], index: int, noise: str) -> None:
    text = json.dumps(value)
    text = text[:index] + noise + text[index + 1 :]
    try:
        read = json.loads(text)
    except ValueError:
        read = None
    if isinstance(read, dict):
        assert run_to_end(text) == read
    else:
        with pytest.raises(ValueError):
            run_to_end(text)


def test_no_step_processes_more_entries_than_its_limit() -> None:
    """Bounds how long a step blocks the loop. Counts entries, because times depend on the machine."""
    engine_copy = Copy()
    counts = {"parsed": 0, "reported": 0}
    real_read_entry, real_members = (
        engine_copy.engine.endpoints.read_entry,
        engine_copy.engine.decisions.members,
    )

    class CountingBalancer:
        def __getattr__(self, name: str) -> Any:
            return getattr(engine_copy.engine.balancer, name)

        def members(self, now: int, mode: int, entries: list[Entry]) -> list[Action]:
            counts["reported"] += len(entries)
            assert mode in (LIST_PARTIAL, LIST_DELTA)
            return real_members(now, mode, entries)

    class CountingTable:
        def __getattr__(self, name: str) -> Any:
            return getattr(table, name)

        def read_entry(self, raw_entry: Any) -> Any:
            counts["parsed"] += 1
            return real_read_entry(raw_entry)

    table = engine_copy.engine.endpoints
    engine_copy.engine.decisions = cast(Decisions, CountingBalancer())
    entries = [raw(name) for name in range(10_000)]
    on_part = engine_copy.engine._dispatch_part
    steps = 0
    for listed in (entries, [raw(name, hostPort="127.0.0.1:8") for name in range(5_000, 15_000)], []):
        counts.update(parsed=0, reported=0)
        before = 0, 0
        for _ in apply_in_steps(
            cast(EndpointTable, CountingTable()), True, listed, engine_copy.clock.now(), on_part
        ):
            now = counts["parsed"], counts["reported"]
            assert now[0] - before[0] <= STEP_ENTRIES and now[1] - before[1] <= STEP_ENTRIES
            before = now
            steps += 1
        assert counts["parsed"] - before[0] <= STEP_ENTRIES and counts["reported"] - before[1] <= STEP_ENTRIES
    assert steps > 1_000 and not on_ring(engine_copy.engine.balancer)


def test_a_request_never_sees_a_list_that_is_applied_in_part() -> None:
    engine_copy = Copy()
    engine_copy.apply_at_once(True, [raw(name) for name in range(4)])
    before = on_ring(engine_copy.engine.balancer)
    steps = engine_copy.apply_in_steps(True, [raw(name) for name in range(500)])
    for _ in steps:
        assert on_ring(engine_copy.engine.balancer) == before
    assert len(on_ring(engine_copy.engine.balancer)) == 500


def test_withdrawn_endpoints_are_reported_before_new_ones() -> None:
    engine_copy = Copy()
    engine_copy.apply_at_once(True, [raw(name) for name in range(100)])
    listed = [*(raw(name) for name in range(50, 1_000)), raw(99, "draining")]
    left = {endpoint_number(f"s-{name}") for name in (*range(50), 99)}
    for _ in engine_copy.apply_in_steps(True, [raw_entry for raw_entry in listed if raw_entry != raw(99)]):
        ready = {
            endpoint.id for endpoint in engine_copy.engine.balancer.endpoints.values() if endpoint.is_ready
        }
        if any(endpoint.is_staged for endpoint in engine_copy.engine.balancer.endpoints.values()):
            assert not ready & left
    assert not set(on_ring(engine_copy.engine.balancer)) & left


def test_a_long_list_with_a_malformed_entry_changes_nothing() -> None:
    engine_copy = Copy()
    engine_copy.apply_at_once(True, [raw(name) for name in range(100)])
    before = engine_copy.routing_state()
    bad = [*(raw(name, "draining") for name in range(100)), {"instanceId": "s-1"}]
    with pytest.raises(ValueError, match="malformed entry"):
        for _ in engine_copy.apply_in_steps(True, bad):
            pass
    assert engine_copy.routing_state() == before


def test_endpoints_that_leave_and_return_many_times() -> None:
    engine_copy = Copy()
    engine_copy.apply_at_once(True, [raw(name) for name in range(10)])
    rng = random.Random(7)
    listed = set(range(10))
    for _ in range(2_000):
        name = rng.randrange(30)
        phase = "gone" if name in listed else "ready"
        (listed.discard if name in listed else listed.add)(name)
        engine_copy.apply_at_once(False, [raw(name, phase)])
        engine_copy.clock.advance(1_000)
    ready = {endpoint_number(f"s-{name}") for name in listed}
    assert set(on_ring(engine_copy.engine.balancer)) == ready == engine_copy.upstream.known_endpoints
    assert len(engine_copy.engine.endpoints.by_number) <= 30, (
        "withdrawn endpoints are removed after the drain grace"
    )


# With sockets


def source(proxy: Sidecar) -> Discovery:
    assert isinstance(proxy.engine.source, Discovery)
    return proxy.engine.source


def entries(count: int, *first: dict[str, Any]) -> list[dict[str, Any]]:
    return [*first, *(raw(name, hostPort="127.0.0.1:9", zone="here") for name in range(count))]


def test_a_drain_at_the_end_of_a_long_list_is_respected_while_requests_are_served() -> None:
    async def main() -> None:
        stays, drains, registry = Endpoint(), Endpoint(), Registry()
        async with sidecar(stays, drains, registry=registry) as proxy:
            source(proxy).background.slice_s = 0.0  # each step runs in its own slice
            _, watch = await registry.watches.get()
            outcomes_seen = record_outcomes(proxy.engine)
            listed = [stays.entry("s-a"), *(raw(n, "draining") for n in range(10_000))]
            listed.append(drains.entry("s-1", lifecycle="draining"))
            push(watch, 42, True, *listed)
            served = 0
            while endpoint_number("s-a") not in proxy.engine.endpoints.by_number:
                assert (await proxy.send(request(rid=f"r{served}"))).body == b"ok"
                served += 1
            while source(proxy).is_applying_list:
                await asyncio.sleep(0)
            assert served > 3, "requests were served while the list was read"
            assert proxy.engine.endpoints.by_number[endpoint_number("s-1")].withdrawn_at is not None
            before = len(drains.requests)
            for n in range(20):
                assert (await proxy.send(request(rid=f"x{n}"))).body == b"ok"
            assert len(drains.requests) == before and len(outcomes_seen) >= served
            assert on_ring(proxy.engine.balancer) == [endpoint_number("s-a")]

    run(main())


def test_a_list_that_arrives_while_another_is_applied_waits_for_it() -> None:
    async def main() -> None:
        first, second, registry = Endpoint(), Endpoint(), Registry()
        async with sidecar(first, second, registry=registry) as proxy:
            source(proxy).background.slice_s = 0.0
            _, watch = await registry.watches.get()
            push(watch, 42, True, *entries(2_000, first.entry("s-a")))
            push(
                watch,
                43,
                False,
                raw(7, "gone"),
                first.entry("s-a", lifecycle="draining"),
                second.entry("s-b"),
            )
            push(watch, 44, True, *entries(1_000, second.entry("s-b")))
            push(watch, 45, False, first.entry("s-a"))
            while source(proxy).generation < 45:
                await asyncio.sleep(0)
            names = {endpoint_number(f"s-{name}") for name in (*range(1_000), "a", "b")}
            assert set(on_ring(proxy.engine.balancer)) == names

    run(main())


def test_a_malformed_long_list_is_logged_and_the_watch_opened_again(logged: Logged) -> None:
    async def main() -> None:
        endpoint, registry = Endpoint(), Registry()
        async with sidecar(endpoint, registry=registry) as proxy:
            _, watch = await registry.watches.get()
            line = json.dumps({"generation": 42, "reset": True, "instances": entries(1_000)})
            assert len(line) > SHORT_OBJECT_BYTES
            push_raw(watch, line[:-2].encode() + b"}\n")
            await registry.watches.get()
            assert source(proxy).generation == 41
            assert (await proxy.send(request())).body == b"ok"

    run(main())
    assert "bad line from discovery" in logged()
