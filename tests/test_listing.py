"""Long lists: read and applied in steps, with the same end as at once, while requests go on."""

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
    """An engine without sockets, that takes its lists at once or in steps."""

    def __init__(self, seed: int = 1) -> None:
        self.clock = ManualClock()
        self.upstream = FakeUpstream(self.clock)
        self.source = StaticMembers()
        self.engine = Engine(
            self.clock, seed, SETTINGS, NAMES, self.upstream, self.source, 500_000, lambda _: None
        )
        self.engine.start()

    def at_once(self, whole: bool, entries: list[dict[str, Any]]) -> None:
        self.engine.on_list(1, whole, entries)

    def in_steps(self, whole: bool, entries: list[dict[str, Any]]) -> Iterator[None]:
        return self.engine.apply_list_in_steps(whole, entries, self.clock.now())

    def seen(self) -> object:
        """What decides where requests may go."""
        balancer = self.engine.balancer
        by_zone = balancer.membership.ring.by_zone
        return (
            on_ring(balancer),
            {zone: [one.id for _, one in ring] for zone, ring in by_zone.items() if ring},
            [[(one.id, share) for one, share in subset.members] for subset in balancer.subsets.pair],
            {
                number: (place.address, place.withdrawn_at)
                for number, place in self.engine.endpoints.by_number.items()
            },
            self.upstream.known_endpoints,
            sorted((one.id, one.started_at, one.rating) for one in balancer.endpoints.values()),
        )


LISTED = st.tuples(
    st.integers(0, 12),
    st.sampled_from(("ready", "ready", "draining", "gone")),
    st.sampled_from(({}, {"weight": 2.0}, {"startedAtMs": 1_600_000_000_000}, {"hostPort": "127.0.0.1:7"})),
)
Lists = list[tuple[bool, list[tuple[int, str, dict[str, Any]]], int]]
LISTS = st.lists(st.tuples(st.booleans(), st.lists(LISTED, max_size=12), st.integers(0, 400_000)), max_size=8)


@given(LISTS)
def test_in_steps_ends_as_at_once(
    lists: list[tuple[bool, list[tuple[int, str, dict[str, Any]]], int]],
) -> None:
    whole, sliced = Copy(), Copy()
    for full, listed, later in lists:
        # A list names an endpoint once.
        entries = list({name: raw(name, phase, **more) for name, phase, more in listed}.values())
        whole.at_once(full, entries)
        for _ in sliced.in_steps(full, entries):
            pass
        assert whole.seen() == sliced.seen()
        whole.clock.advance(later)
        sliced.clock.advance(later)


@given(st.permutations(range(40)))
def test_ids_in_another_order_give_the_same_cut(order: list[int]) -> None:
    one, other = Copy(), Copy()
    one.at_once(True, [raw(name) for name in range(40)])
    for _ in other.in_steps(True, [raw(name) for name in order]):
        pass
    assert one.seen()[:3] == other.seen()[:3]  # type: ignore[index]


TEXT = st.text('ab0.-"\\{}[]:,\n é', max_size=3)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | TEXT,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(TEXT, inner, max_size=3),
    max_leaves=8,
)
OBJECTS = st.dictionaries(st.sampled_from(("instances", "generation", "x")), JSON, max_size=3)


def exhausted(text: str) -> Any:
    steps = parse_in_steps(text)
    while True:
        try:
            next(steps)
        except StopIteration as end:
            return end.value


@given(OBJECTS, st.integers(0, 3))
def test_an_object_is_read_as_json_does(value: dict[str, Any], indent: int) -> None:
    text = json.dumps(value, indent=indent or None)
    assert exhausted(text) == json.loads(text)


@given(
    st.dictionaries(st.sampled_from(("instances", "generation")), JSON),
    st.integers(0, 300),
    st.text(max_size=2),
)
def test_what_json_does_not_read_is_an_error_here_too(value: dict[str, Any], at: int, noise: str) -> None:
    text = json.dumps(value)
    text = text[:at] + noise + text[at + 1 :]
    try:
        read = json.loads(text)
    except ValueError:
        read = None
    if isinstance(read, dict):
        assert exhausted(text) == read
    else:
        with pytest.raises(ValueError):
            exhausted(text)


def test_no_step_reads_or_tells_more_than_its_part() -> None:
    """The longest hold, counted in entries: steady where a time would not be."""
    copy = Copy()
    counted = {"read": 0, "told": 0}
    real_read, real_told = copy.engine.endpoints.read_entry, copy.engine.decisions.members

    class Watched:
        def __getattr__(self, name: str) -> Any:
            return getattr(copy.engine.balancer, name)

        def members(self, now: int, mode: int, entries: list[Entry]) -> list[Action]:
            counted["told"] += len(entries)
            assert mode in (LIST_PARTIAL, LIST_DELTA)
            return real_told(now, mode, entries)

    class Reading:
        def __getattr__(self, name: str) -> Any:
            return getattr(members, name)

        def read_entry(self, one: Any) -> Any:
            counted["read"] += 1
            return real_read(one)

    members = copy.engine.endpoints
    copy.engine.decisions = cast(Decisions, Watched())
    entries = [raw(name) for name in range(10_000)]
    tell = copy.engine._dispatch_part
    steps = 0
    for listed in (entries, [raw(name, hostPort="127.0.0.1:8") for name in range(5_000, 15_000)], []):
        counted.update(read=0, told=0)
        at = 0, 0
        for _ in apply_in_steps(cast(EndpointTable, Reading()), True, listed, copy.clock.now(), tell):
            now = counted["read"], counted["told"]
            assert now[0] - at[0] <= STEP_ENTRIES and now[1] - at[1] <= STEP_ENTRIES
            at = now
            steps += 1
        assert counted["read"] - at[0] <= STEP_ENTRIES and counted["told"] - at[1] <= STEP_ENTRIES
    assert steps > 1_000 and not on_ring(copy.engine.balancer)


def test_a_request_never_sees_half_of_a_cut() -> None:
    copy = Copy()
    copy.at_once(True, [raw(name) for name in range(4)])
    before = on_ring(copy.engine.balancer)
    steps = copy.in_steps(True, [raw(name) for name in range(500)])
    for _ in steps:
        assert on_ring(copy.engine.balancer) == before
    assert len(on_ring(copy.engine.balancer)) == 500


def test_what_leaves_is_told_before_what_comes() -> None:
    copy = Copy()
    copy.at_once(True, [raw(name) for name in range(100)])
    listed = [*(raw(name) for name in range(50, 1_000)), raw(99, "draining")]
    left = {endpoint_number(f"s-{name}") for name in (*range(50), 99)}
    for _ in copy.in_steps(True, [one for one in listed if one != raw(99)]):
        ready = {one.id for one in copy.engine.balancer.endpoints.values() if one.is_ready}
        if any(one.is_staged for one in copy.engine.balancer.endpoints.values()):
            assert not ready & left
    assert not set(on_ring(copy.engine.balancer)) & left


def test_a_long_list_with_a_bad_entry_changes_nothing() -> None:
    copy = Copy()
    copy.at_once(True, [raw(name) for name in range(100)])
    before = copy.seen()
    bad = [*(raw(name, "draining") for name in range(100)), {"instanceId": "s-1"}]
    with pytest.raises(ValueError, match="malformed entry"):
        for _ in copy.in_steps(True, bad):
            pass
    assert copy.seen() == before


def test_an_endpoint_that_leaves_and_returns_in_one_storm() -> None:
    copy = Copy()
    copy.at_once(True, [raw(name) for name in range(10)])
    rng = random.Random(7)
    listed = set(range(10))
    for _ in range(2_000):
        name = rng.randrange(30)
        phase = "gone" if name in listed else "ready"
        (listed.discard if name in listed else listed.add)(name)
        copy.at_once(False, [raw(name, phase)])
        copy.clock.advance(1_000)
    ready = {endpoint_number(f"s-{name}") for name in listed}
    assert set(on_ring(copy.engine.balancer)) == ready == copy.upstream.known_endpoints
    assert len(copy.engine.endpoints.by_number) <= 30, "what left is forgotten after the grace"


# --- On sockets -------------------------------------------------------------------------


def source(one: Sidecar) -> Discovery:
    assert isinstance(one.engine.source, Discovery)
    return one.engine.source


def entries(count: int, *first: dict[str, Any]) -> list[dict[str, Any]]:
    return [*first, *(raw(name, hostPort="127.0.0.1:9", zone="here") for name in range(count))]


def test_a_drain_at_the_end_of_a_long_list_is_kept_while_requests_go_on() -> None:
    async def main() -> None:
        stays, drains, registry = Endpoint(), Endpoint(), Registry()
        async with sidecar(stays, drains, registry=registry) as one:
            source(one).background.slice_s = 0.0  # each step a slice of its own
            _, watch = await registry.asked.get()
            told = record_outcomes(one.engine)
            listed = [stays.entry("s-a"), *(raw(n, "draining") for n in range(10_000))]
            listed.append(drains.entry("s-1", lifecycle="draining"))
            push(watch, 42, True, *listed)
            served = 0
            while endpoint_number("s-a") not in one.engine.endpoints.by_number:
                assert (await one.send(request(rid=f"r{served}"))).body == b"ok"
                served += 1
            while source(one).is_applying_list:
                await asyncio.sleep(0)
            assert served > 3, "requests were served while the list was read"
            assert one.engine.endpoints.by_number[endpoint_number("s-1")].withdrawn_at is not None
            before = len(drains.got)
            for n in range(20):
                assert (await one.send(request(rid=f"x{n}"))).body == b"ok"
            assert len(drains.got) == before and len(told) >= served
            assert on_ring(one.engine.balancer) == [endpoint_number("s-a")]

    run(main())


def test_a_list_that_comes_while_the_last_is_applied_waits_for_it() -> None:
    async def main() -> None:
        first, second, registry = Endpoint(), Endpoint(), Registry()
        async with sidecar(first, second, registry=registry) as one:
            source(one).background.slice_s = 0.0
            _, watch = await registry.asked.get()
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
            while source(one).generation < 45:
                await asyncio.sleep(0)
            names = {endpoint_number(f"s-{name}") for name in (*range(1_000), "a", "b")}
            assert set(on_ring(one.engine.balancer)) == names

    run(main())


def test_a_long_list_that_is_spoilt_is_told_and_the_watch_opened_anew(logged: Logged) -> None:
    async def main() -> None:
        endpoint, registry = Endpoint(), Registry()
        async with sidecar(endpoint, registry=registry) as one:
            _, watch = await registry.asked.get()
            line = json.dumps({"generation": 42, "reset": True, "instances": entries(1_000)})
            assert len(line) > SHORT_OBJECT_BYTES
            push_raw(watch, line[:-2].encode() + b"}\n")
            await registry.asked.get()
            assert source(one).generation == 41
            assert (await one.send(request())).body == b"ok"

    run(main())
    assert "bad line from discovery" in logged()
