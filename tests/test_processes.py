"""The rig of several processes: its faults, its checker, which must be able to fail, and the program
under both."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tomllib
from collections.abc import Coroutine
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from laurelstep.testing import Caller, free_port, request
from laurelstep.testing.messages import PORT_RANGE
from laurelstep.testing.processes import (
    CheckLimits,
    DatagramRelay,
    EndpointDrained,
    EndpointRestored,
    EndpointUpdateRead,
    Event,
    LoadGenerator,
    NetworkFaults,
    ProcessEvent,
    ProcessPhase,
    ProcessTier,
    RequestExecuted,
    RequestFailed,
    RequestForwarded,
    RequestStarted,
    ResponseReceived,
    Route,
    RouteTable,
    StreamRelay,
    check_history,
    flip_bit,
    format_toml,
    truncate_tail,
    wait_until,
)
from laurelstep.testing.processes.faults import MAX_HELD_DATAGRAMS
from laurelstep.testing.processes.files import fill_disk, free_disk
from laurelstep.testing.processes.history_checks import (
    ANSWERED_TWICE,
    DRAIN_BROKEN,
    EXECUTED_TWICE,
    LATE,
    SENT_AFTER_DRAINED,
    UNANSWERED,
    UNEXPECTED_EXIT,
)
from laurelstep.testing.processes.launch import create_clock, step_clock
from laurelstep.testing.processes.relays import MAX_DATAGRAM_BYTES
from laurelstep.testing.processes.tier_settings import SETTINGS

from tests.sockets import Endpoint, run

TEST_S = 300.0  # for a test that hangs; nothing is measured by it


def play(test: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(TEST_S):
            await test

    run(limited())


# --- Ways -------------------------------------------------------------------------------


def new_route(faults: NetworkFaults | None = None, seed: int = 1) -> Route:
    one = Route(random.Random(seed))
    one.faults = faults or NetworkFaults()
    return one


ROUGH = NetworkFaults(
    loss_probability=0.2, duplicate_probability=0.2, reorder_probability=0.2, delay_us=(0, 1000)
)


def test_one_seed_is_one_fate() -> None:
    def fate(seed: int) -> list[Any]:
        one = new_route(ROUGH, seed)
        return [one.carry(bytes((n,))) for n in range(200)]

    assert fate(1) == fate(1) != fate(2)


def test_a_command_does_not_change_what_drawn_faults_do_later() -> None:
    plain, ordered = new_route(ROUGH), new_route(ROUGH)
    ordered.lose_next(1)
    for n in range(10):
        plain.carry(bytes((n,)))
        ordered.carry(bytes((n,)))
    later = range(20, 60)
    assert [plain.carry(bytes((n,))) for n in later] == [ordered.carry(bytes((n,))) for n in later]


@given(
    st.floats(0, 1), st.floats(0, 1), st.floats(0, 1), st.integers(0, 9), st.lists(st.booleans(), max_size=60)
)
def test_what_passes_arrives_once_and_once_more_if_doubled(
    lose: float, double: float, turn: float, seed: int, cuts: list[bool]
) -> None:
    one = new_route(NetworkFaults(lose, double, turn, (5, 9)), seed)
    arrived: list[int] = []
    for n, cut in enumerate(cuts):
        one.is_partitioned = cut
        datagrams = one.carry(bytes((n,)))
        assert all(5 <= datagram.delay_us <= 9 for datagram in datagrams)
        arrived += [datagram.data[0] for datagram in datagrams]
    waiting = 1 if one.reordered_count and len(set(arrived)) < one.passed_count else 0
    assert one.passed_count + one.lost_count == len(cuts)
    assert (
        len(arrived) == one.passed_count + one.duplicated_count - waiting
        and len(set(arrived)) == one.passed_count - waiting
    )


def test_orders_lose_double_and_keep_the_next() -> None:
    one = new_route()
    one.lose_next(2)
    assert [len(one.carry(b"x")) for _ in range(3)] == [0, 0, 1]
    one.duplicate_next()
    assert [len(one.carry(b"x")) for _ in range(2)] == [2, 1]
    one.hold()
    for data in (b"a", b"b", b"c"):
        assert one.carry(data) == []
    released = [datagram.data for datagram in one.release(reverse=True)]
    assert released == [b"c", b"b", b"a"] and not one.is_holding
    assert one.release() == []


def test_what_is_held_is_bounded() -> None:
    one = new_route()
    one.hold()
    for _ in range(MAX_HELD_DATAGRAMS + 3):
        one.carry(b"x")
    assert one.lost_count == 3 and len(one.release()) == MAX_HELD_DATAGRAMS


def test_one_that_is_overtaken_comes_behind_the_next() -> None:
    one = new_route(NetworkFaults(reorder_probability=1.0))
    assert one.carry(b"a") == []
    assert [datagram.data for datagram in one.carry(b"b")] == [b"b", b"a"]


def test_cuts_of_groups_one_way_and_back() -> None:
    ways = RouteTable(5, 1)
    ways.partition({0, 1}, {2, 3, 4})
    assert sum(one.is_partitioned for one in ways.routes.values()) == 12
    assert not ways.routes[0, 1].is_partitioned and ways.routes[4, 0].is_partitioned
    ways.heal_partition({0}, {2})
    assert (
        not ways.routes[0, 2].is_partitioned
        and not ways.routes[2, 0].is_partitioned
        and ways.routes[1, 2].is_partitioned
    )
    ways.heal_partition()
    ways.partition({0}, range(5), both_ways=False)
    assert [pair for pair, one in ways.routes.items() if one.is_partitioned] == [(0, n) for n in range(1, 5)]


# --- Files ------------------------------------------------------------------------------

texts = st.text(st.characters(codec="utf-8"))
values = st.recursive(
    st.booleans() | st.integers(-(2**63), 2**63 - 1) | st.floats(allow_nan=False) | texts,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(texts, inner, max_size=3),
    max_leaves=8,
)


@given(st.dictionaries(texts, st.dictionaries(texts, values, max_size=4), max_size=4))
def test_what_is_written_as_toml_is_read_as_it_was(tables: dict[str, dict[str, Any]]) -> None:
    assert tomllib.loads(format_toml(tables)) == tables


def test_what_toml_has_no_form_for_is_said() -> None:
    with pytest.raises(ValueError, match="no form"):
        format_toml({"a": {"b": None}})


def test_files_are_torn_and_garbled_by_the_seed(tmp_path: Path) -> None:
    path = tmp_path / "x"
    path.write_bytes(b"x" * 100)
    lost = truncate_tail(path, random.Random(1), max_bytes=50)
    assert 1 <= lost <= 50 and path.read_bytes() == b"x" * (100 - lost)
    path.write_bytes(b"x" * 100 + bytes(10))
    assert truncate_tail(path, random.Random(1), max_bytes=50) == lost
    assert path.read_bytes() == b"x" * (100 - lost) + bytes(lost + 10), "made long before it was filled"
    path.write_bytes(bytes(100))
    assert truncate_tail(path, random.Random(1)) == 0
    at = flip_bit(path, random.Random(1))
    assert [n for n, byte in enumerate(path.read_bytes()) if byte] == [at]
    path.write_bytes(b"")
    assert truncate_tail(path, random.Random(1)) == 0
    with pytest.raises(ValueError):
        flip_bit(path, random.Random(1))


async def child(*words: str) -> asyncio.subprocess.Process:
    pipe = asyncio.subprocess.PIPE
    return await asyncio.create_subprocess_exec(sys.executable, "-c", *words, stdin=pipe, stdout=pipe)


async def told(process: asyncio.subprocess.Process) -> str:
    """What it says when it is asked."""
    assert process.stdin is not None and process.stdout is not None
    process.stdin.write(b"\n")
    return (await process.stdout.readline()).decode().strip()


def test_a_wall_clock_steps_and_the_monotonic_one_does_not(tmp_path: Path) -> None:
    script = (
        "import sys, time\nfrom laurelstep.testing.processes.launch import shift_wall_clock\n"
        "shift_wall_clock(sys.argv[1])\n"
        "for _ in sys.stdin:\n"
        "    print(time.time_ns() // 10**9, int(time.time()), time.monotonic_ns(), flush=True)"
    )

    async def main() -> None:
        clock = tmp_path / "clock"
        create_clock(clock)
        process = await child(script, str(clock))
        seen = []
        for by_s in (0, 7200, -100_000):
            step_clock(clock, by_s * 1_000_000)
            seen.append([int(word) for word in (await told(process)).split()])
        first, later, earlier = seen
        assert 7200 <= later[0] - first[0] < 7300 and -100_000 <= earlier[0] - later[0] < -99_900
        assert abs(earlier[1] - earlier[0]) <= 1
        assert first[2] < later[2] < earlier[2] < first[2] + 60 * 10**9
        assert process.stdin is not None
        process.stdin.close()
        assert await process.wait() == 0

    play(main())


def test_a_full_disk_takes_nothing_until_there_is_room(tmp_path: Path) -> None:
    script = (
        "import sys\nfile = open(sys.argv[1], 'wb', buffering=0)\n"
        "for _ in sys.stdin:\n"
        "    try: print(file.write(b'xx'), flush=True)\n"
        "    except OSError as error: print(type(error).__name__, flush=True)"
    )

    async def main() -> None:
        process = await child(script, str(tmp_path / "x"))
        assert await told(process) == "2"
        fill_disk(process.pid)
        assert await told(process) == "OSError"
        free_disk(process.pid)
        assert await told(process) == "2"
        assert process.stdin is not None
        process.stdin.close()
        await process.wait()
        assert (tmp_path / "x").read_bytes() == b"xxxx"

    play(main())


# --- Relays -----------------------------------------------------------------------------


def datagrams(address: str = "127.0.0.1:0") -> socket.socket:
    host, port = address.rsplit(":", 1)
    one = socket.socket(type=socket.SOCK_DGRAM)
    one.bind((host, int(port)))
    one.setblocking(False)
    return one


async def receive(one: socket.socket) -> tuple[bytes, tuple[str, int]]:
    """Readable, then read: the loop's own `recvfrom` is not there in uvloop."""
    loop = asyncio.get_running_loop()
    came = asyncio.Event()
    loop.add_reader(one.fileno(), came.set)
    try:
        await came.wait()
    finally:
        loop.remove_reader(one.fileno())
    return one.recvfrom(1000)


class Peers:
    """Sockets in the place of processes, each at its address."""

    def __init__(self, count: int) -> None:
        self.sockets = [datagrams() for _ in range(count)]
        self.relay = DatagramRelay([one.getsockname() for one in self.sockets])

    def address(self, one: int, other: int) -> tuple[str, int]:
        host, _, port = self.relay.peers_of(one)[other].rpartition(":")
        return host, int(port)

    def send(self, one: int, other: int, data: bytes) -> None:
        self.sockets[one].sendto(data, self.address(one, other))

    async def receive(self, one: int) -> tuple[bytes, tuple[str, int]]:
        return await receive(self.sockets[one])

    def close(self) -> None:
        self.relay.close()
        for one in self.sockets:
            one.close()


def test_a_datagram_comes_from_the_address_that_its_receiver_knows() -> None:
    async def main() -> None:
        peers = Peers(3)
        await peers.relay.start()
        assert peers.relay.peers_of(1)[1] == "{}:{}".format(*peers.sockets[1].getsockname())
        for one, other in ((0, 1), (1, 0), (2, 1)):
            peers.send(one, other, b"hello")
            assert await peers.receive(other) == (b"hello", peers.address(other, one))
        assert peers.relay.delivered_bytes == [5, 10, 0]
        peers.close()

    play(main())


def test_what_is_foreign_or_too_long_is_not_carried() -> None:
    async def main() -> None:
        peers = Peers(2)
        await peers.relay.start()
        with socket.socket(type=socket.SOCK_DGRAM) as stranger:
            stranger.sendto(b"who?", peers.address(0, 1))
        peers.send(0, 1, bytes(MAX_DATAGRAM_BYTES + 1))
        peers.send(0, 1, bytes(MAX_DATAGRAM_BYTES))
        assert len((await peers.receive(1))[0]) == MAX_DATAGRAM_BYTES
        assert (peers.relay.foreign_count, peers.relay.oversized_count) == (1, 1)
        peers.close()

    play(main())


def test_datagrams_are_cut_one_way_and_turned_round() -> None:
    async def main() -> None:
        peers = Peers(2)
        await peers.relay.start()
        peers.relay.route_table.partition({0}, {1}, both_ways=False)
        peers.send(0, 1, b"lost")
        peers.send(1, 0, b"back")
        assert (await peers.receive(0))[0] == b"back"
        lost = peers.relay.route(0, 1)
        while not lost.lost_count:
            await asyncio.sleep(0)
        peers.relay.route_table.heal_partition()
        lost.hold()
        for data in (b"a", b"b"):
            peers.send(0, 1, data)
        while lost.passed_count < 2:
            await asyncio.sleep(0)
        peers.relay.release(0, 1, reverse=True)
        assert [(await peers.receive(1))[0] for _ in range(2)] == [b"b", b"a"]
        lost.faults = NetworkFaults(duplicate_probability=1.0, delay_us=(1000, 2000))
        peers.send(0, 1, b"c")
        assert [(await peers.receive(1))[0] for _ in range(2)] == [b"c", b"c"]
        peers.close()

    play(main())


def test_delays_below_the_loops_own_measure_are_kept_too() -> None:
    async def main() -> None:
        peers = Peers(2)
        await peers.relay.start()
        peers.relay.route_table.set_faults(NetworkFaults(delay_us=(1, 400)))
        for data in (b"a", b"b", b"c"):
            peers.send(0, 1, data)
        assert {(await peers.receive(1))[0] for _ in range(3)} == {b"a", b"b", b"c"}
        peers.relay.route_table.set_faults(NetworkFaults(delay_us=(60_000_000, 60_000_000)))
        peers.send(0, 1, b"never")
        while peers.relay.route(0, 1).passed_count < 4:
            await asyncio.sleep(0)
        peers.close()

    play(main())


def test_a_cut_keeps_what_it_has_and_tells_what_was_sent() -> None:
    async def main() -> None:
        sent: list[str] = []
        async with Endpoint() as endpoint:
            relay = StreamRelay(("127.0.0.1", endpoint.port), on_request=lambda name, at: sent.append(name))
            await relay.start()
            async with Caller("127.0.0.1", relay.port) as caller:
                assert (await caller.send(request(rid="a"))).status == 200
                relay.block("requests")
                asked = asyncio.create_task(caller.send(request(rid="b")))
                while "b" not in sent:
                    await asyncio.sleep(0)
                assert endpoint.request_count == 1
                relay.block("responses")
                relay.unblock("requests")
                while endpoint.request_count < 2:
                    await endpoint.arrived.acquire()
                assert not asked.done()
                relay.unblock()
                assert (await asked).status == 200 and sent == ["a", "b"]
            relay.close()

    play(main())


def test_a_relay_that_refuses_resets_what_it_was_about_to_join() -> None:
    async def main() -> None:
        async with Endpoint() as endpoint:
            relay = StreamRelay(("127.0.0.1", endpoint.port))
            await relay.start()
            reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
            while not relay._tasks:
                await asyncio.sleep(0)
            assert not relay.connections  # accepted, and not joined
            relay.refuse()
            with contextlib.suppress(ConnectionError):
                writer.write(request(rid="late"))
                assert await reader.read() == b""
            writer.close()
            assert endpoint.request_count == 0
            relay.close()

    play(main())


def test_a_relay_that_refuses_keeps_a_port_that_the_system_gives_nobody_else() -> None:
    """Guards against a parallel test process that is given the port and answers in the relay's place."""

    async def main() -> None:
        relay = StreamRelay(("127.0.0.1", free_port()))
        await relay.start()
        port = relay.port
        assert port in PORT_RANGE
        relay.refuse()
        await relay.accept()
        assert relay.port == port
        relay.close()

    play(main())


def test_a_relay_finds_ids_that_reads_cut_through_once() -> None:
    async def main() -> None:
        sent: list[str] = []
        async with Endpoint() as endpoint:
            relay = StreamRelay(("127.0.0.1", endpoint.port), on_request=lambda name, at: sent.append(name))
            await relay.start()
            _, writer = await asyncio.open_connection("127.0.0.1", relay.port)
            for byte in request(rid="one") + request("pay", b"x" * 300, rid="two"):
                writer.write(bytes((byte,)))
                await writer.drain()
                await asyncio.sleep(0)
            while endpoint.request_count < 2:
                await endpoint.arrived.acquire()
            assert sent == ["one", "two"]
            writer.close()
            relay.close()

    play(main())


def test_a_relay_refuses_resets_and_admits() -> None:
    async def main() -> None:
        async with Endpoint() as endpoint:
            relay = StreamRelay(("127.0.0.1", endpoint.port))
            await relay.start()
            caller = Caller("127.0.0.1", relay.port)
            await caller.send(request())
            relay.reset()
            with pytest.raises((OSError, asyncio.IncompleteReadError)):
                await caller.send(request())
            relay.refuse()
            with pytest.raises(ConnectionRefusedError):
                await caller.send(request())
            await relay.accept()
            assert (await caller.send(request())).status == 200
            endpoint.stop()
            with pytest.raises((OSError, asyncio.IncompleteReadError)):
                await Caller("127.0.0.1", relay.port).send(request())
            caller.close()
            relay.close()

    play(main())


def test_what_a_process_has_not_read_is_known() -> None:
    async def main() -> None:
        async with Endpoint() as endpoint:
            relay = StreamRelay(("127.0.0.1", endpoint.port))
            await relay.start()
            one = socket.create_connection(("127.0.0.1", relay.port))
            one.setblocking(False)
            one.send(request())
            while not any(found.returned_bytes for found in relay.connections):
                await asyncio.sleep(0)
            (connection,) = relay.connections
            assert not connection.is_read()
            one.recv(1000)
            assert connection.is_read()
            one.close()
            relay.close()

    play(main())


# --- The checker ------------------------------------------------------------------------

MS = 1000
RULES = CheckLimits(lateness_us=10 * MS, drain_grace_us=500 * MS)


def asked(at: int = 100, name: str = "r1", effect: Any = "safe", key: str | None = None) -> RequestStarted:
    return RequestStarted(at, 0, name, effect, key, 100 * MS)


CLEAN: list[Event] = [
    ProcessEvent(0, 0, ProcessPhase.STARTED),
    ProcessEvent(10, 0, ProcessPhase.READY),
    EndpointUpdateRead(20, 15, 0, "s-0", "ready"),
    asked(),
    RequestForwarded(110, 0, "s-0", "r1"),
    RequestExecuted(120, "s-0", "r1"),
    ResponseReceived(200, 0, "r1", 200),
    asked(300, "r2", "unsafe"),
    RequestForwarded(310, 0, "s-0", "r2"),
    RequestExecuted(320, "s-0", "r2"),
    ResponseReceived(400, 0, "r2", 200),
    EndpointUpdateRead(500, 450, 0, "s-0", "draining"),
    EndpointDrained(2_000_000, "s-0"),
]


def broken(*more: Event, of: list[Event] | None = None, rules: CheckLimits = RULES) -> list[str]:
    found = check_history([*(CLEAN if of is None else of), *more], rules)
    assert all(one.subject and str(one).startswith(one.rule) for one in found)
    return [one.rule for one in found]


def test_a_history_that_keeps_the_rules_is_clean() -> None:
    assert broken() == []


@pytest.mark.parametrize(
    ("name", "more"),
    [
        (UNANSWERED, [asked(600, "r3")]),
        (UNANSWERED, [asked(600, "r3"), RequestFailed(700, 0, "r3", "ConnectionResetError")]),
        # Killed when it was long over, and before it began.
        (
            UNANSWERED,
            [
                asked(600, "r3"),
                ProcessEvent(900 * MS, 0, ProcessPhase.KILLED),
                RequestFailed(900 * MS, 0, "r3", "x"),
            ],
        ),
        (
            UNANSWERED,
            [
                ProcessEvent(500, 0, ProcessPhase.KILLED),
                ProcessEvent(550, 0, ProcessPhase.READY),
                asked(600, "r3"),
            ],
        ),
        # Another process was killed.
        (
            UNANSWERED,
            [asked(600, "r3"), ProcessEvent(650, 1, ProcessPhase.KILLED), RequestFailed(700, 0, "r3", "x")],
        ),
        # Taken before it was told to stop.
        (
            UNANSWERED,
            [asked(600, "r3"), ProcessEvent(650, 0, ProcessPhase.STOPPING), RequestFailed(700, 0, "r3", "x")],
        ),
        # The same, where the end of the process is noticed before the end of the connection.
        (
            UNANSWERED,
            [
                asked(600, "r3"),
                ProcessEvent(650, 0, ProcessPhase.STOPPING),
                ProcessEvent(690, 0, ProcessPhase.ENDED),
                RequestFailed(700, 0, "r3", "x"),
            ],
        ),
        # A next version takes over: sent on, or on a connection of its own, or when that is over.
        (
            UNANSWERED,
            [
                ProcessEvent(550, 0, ProcessPhase.RETIRING),
                asked(600, "r3"),
                RequestForwarded(650, 0, "s-1", "r3"),
                RequestFailed(700, 0, "r3", "x", is_reused_connection=True),
            ],
        ),
        (
            UNANSWERED,
            [ProcessEvent(550, 0, ProcessPhase.RETIRING), asked(600, "r3"), RequestFailed(700, 0, "r3", "x")],
        ),
        (
            UNANSWERED,
            [
                ProcessEvent(550, 0, ProcessPhase.RETIRING),
                ProcessEvent(590, 0, ProcessPhase.RETIRED),
                asked(600, "r3"),
                RequestFailed(700, 0, "r3", "x", is_reused_connection=True),
            ],
        ),
        (ANSWERED_TWICE, [ResponseReceived(800, 0, "r1", 200)]),
        (LATE, [asked(600, "r3"), ResponseReceived(600 + 110 * MS + 1, 0, "r3", 504)]),
        (
            LATE,
            [
                asked(600, "r3"),
                ProcessEvent(700, 0, ProcessPhase.PAUSED),
                ProcessEvent(200 * MS, 0, ProcessPhase.RESUMED),
                ResponseReceived(311 * MS, 0, "r3", 504),
            ],
        ),
        (EXECUTED_TWICE, [RequestExecuted(800, "s-1", "r2")]),
        (
            EXECUTED_TWICE,
            [
                asked(600, "r3", "keyed", "k"),
                ResponseReceived(700, 0, "r3", 200),
                RequestExecuted(650, "s-0", "r3"),
                asked(800, "r4", "keyed", "k"),
                ResponseReceived(900, 0, "r4", 200),
                RequestExecuted(850, "s-1", "r4"),
            ],
        ),
        (SENT_AFTER_DRAINED, [EndpointDrained(600, "s-1"), RequestForwarded(601, 0, "s-1", "r1")]),
        (
            SENT_AFTER_DRAINED,
            [EndpointDrained(600, "s-1"), EndpointDrained(800, "s-1"), RequestForwarded(700, 1, "s-1", "r1")],
        ),
        (
            SENT_AFTER_DRAINED,
            [
                EndpointDrained(600, "s-1"),
                EndpointRestored(650, "s-1"),
                EndpointDrained(700, "s-1"),
                RequestForwarded(701, 0, "s-1", "r1"),
            ],
        ),
        (DRAIN_BROKEN, [RequestForwarded(500 * MS + 501, 0, "s-0", "r1")]),
        (
            DRAIN_BROKEN,
            [
                EndpointUpdateRead(600, 590, 0, "s-0", "draining"),
                RequestForwarded(500 * MS + 550, 0, "s-0", "r1"),
            ],
        ),
        (UNEXPECTED_EXIT, [ProcessEvent(600, 0, ProcessPhase.ENDED)]),
        (
            UNEXPECTED_EXIT,
            [
                ProcessEvent(600, 0, ProcessPhase.KILLED),
                ProcessEvent(610, 0, ProcessPhase.ENDED),
                ProcessEvent(620, 0, ProcessPhase.STARTED),
                ProcessEvent(630, 0, ProcessPhase.ENDED),
            ],
        ),
    ],
)
def test_each_rule_can_be_broken(name: str, more: list[Event]) -> None:
    assert broken(*more) == [name]


@pytest.mark.parametrize(("failed_at", "ended_at"), [(690, 700), (700, 690)])
def test_a_crash_loses_requests_in_any_order_of_events(failed_at: int, ended_at: int) -> None:
    failed = RequestFailed(failed_at, 0, "r3", "IncompleteReadError")
    ended = ProcessEvent(ended_at, 0, ProcessPhase.ENDED)
    assert broken(asked(600, "r3"), failed, ended) == [UNANSWERED, UNEXPECTED_EXIT]


@pytest.mark.parametrize(
    "more",
    [
        [
            asked(600, "r3"),
            ProcessEvent(650, 0, ProcessPhase.KILLED),
            RequestFailed(700, 0, "r3", "x"),
            ProcessEvent(700, 0, ProcessPhase.ENDED),
        ],
        [
            ProcessEvent(550, 0, ProcessPhase.RETIRING),
            asked(600, "r3"),
            RequestFailed(700, 0, "r3", "x", is_reused_connection=True),
        ],
        [asked(600, "r3"), ProcessEvent(650, 0, ProcessPhase.KILLED)],  # its client still waits
        [
            ProcessEvent(550, 0, ProcessPhase.KILLED),
            asked(600, "r3"),
            RequestFailed(700, 0, "r3", "x"),
            ProcessEvent(800, 0, ProcessPhase.READY),
        ],
        [
            ProcessEvent(540, 0, ProcessPhase.STOPPING),
            ProcessEvent(550, 0, ProcessPhase.ENDED),
            asked(600, "r3"),
            RequestFailed(700, 0, "r3", "x"),
        ],
        [ProcessEvent(550, 0, ProcessPhase.STOPPING), asked(600, "r3"), RequestFailed(700, 0, "r3", "x")],
        [asked(600, "r3"), ResponseReceived(600 + 110 * MS, 0, "r3", 504)],
        [
            asked(600, "r3"),
            ProcessEvent(700, 0, ProcessPhase.PAUSED),
            ProcessEvent(200 * MS, 0, ProcessPhase.RESUMED),
            ResponseReceived(309 * MS, 0, "r3", 504),
        ],
        [RequestExecuted(800, "s-1", "r1")],  # safe
        [
            asked(600, "r3", "keyed", "k"),
            ResponseReceived(700, 0, "r3", 200),
            RequestExecuted(650, "s-0", "r3"),
            asked(800, "r4", "keyed", "l"),
            ResponseReceived(900, 0, "r4", 200),
            RequestExecuted(850, "s-0", "r4"),
        ],
        [EndpointDrained(600, "s-1"), EndpointRestored(650, "s-1"), RequestForwarded(651, 0, "s-1", "r1")],
        [
            EndpointDrained(600, "s-1"),
            RequestForwarded(600, 0, "s-1", "r1"),
            RequestForwarded(700, 0, "s-2", "r1"),
        ],
        [RequestForwarded(500 * MS + 500, 0, "s-0", "r1")],
        [EndpointUpdateRead(900, 800, 0, "s-0", "ready"), RequestForwarded(600 * MS, 0, "s-0", "r1")],
        # Pushed again before the drain was read, and read with it.
        [EndpointUpdateRead(510, 460, 0, "s-0", "ready"), RequestForwarded(600 * MS, 0, "s-0", "r1")],
        [
            ProcessEvent(600, 0, ProcessPhase.KILLED),
            ProcessEvent(700, 0, ProcessPhase.STARTED),
            ProcessEvent(800, 0, ProcessPhase.READY),
            EndpointUpdateRead(900, 850, 0, "s-0", "ready"),
            RequestForwarded(600 * MS, 0, "s-0", "r1"),
        ],
        [RequestForwarded(600 * MS, 1, "s-0", "r1")],  # a process that was not told
        [ProcessEvent(600, 0, ProcessPhase.KILLED), ProcessEvent(610, 0, ProcessPhase.ENDED)],
        [ProcessEvent(600, 0, ProcessPhase.STOPPING), ProcessEvent(610, 0, ProcessPhase.ENDED)],
    ],
)
def test_what_the_rules_allow_is_not_counted(more: list[Event]) -> None:
    assert broken(*more) == []


def test_slack_is_what_the_rules_give() -> None:
    sent: list[Event] = [EndpointDrained(600, "s-1"), RequestForwarded(700, 0, "s-1", "r1")]
    assert broken(*sent, rules=replace(RULES, drained_slack_us=100)) == []
    assert broken(*sent, rules=replace(RULES, drained_slack_us=99)) == [SENT_AFTER_DRAINED]


# --- The program, under faults ----------------------------------------------------------


def names(tier: ProcessTier) -> set[str]:
    return {one.rule for one in tier.violations()}


@pytest.mark.parametrize("processes", [3, 5])
def test_processes_are_killed_and_come_from_nothing(processes: int) -> None:
    async def main() -> None:
        async with ProcessTier(processes, endpoints=processes + 1) as tier, tier.load() as load:
            for victim in (1, 0):
                await load.wait_for_answers(20)
                await tier.kill(victim)
                await load.wait_for_answers(20)
                await tier.restart(victim)
                await load.wait_for_answers(20)
            await tier.restart(2)
            await load.wait_for_answers(20, *range(processes))
            assert await tier.stop(1) == 0
            await load.wait_for_answers(20)
            await tier.start(1)
            assert (await tier.call(1, "GET", "/api/ready")).status == 200
            await load.wait_for_answers(20, 1)
        assert [one.start_count for one in tier.programs[:3]] == [2, 3, 2]
        tier.check()

    play(main())


@pytest.mark.parametrize("processes", [3, 5])
def test_one_is_paused_for_longer_than_a_request_may_take(processes: int) -> None:
    async def main() -> None:
        async with ProcessTier(processes) as tier, tier.load(deadline_ms=300) as load:
            await load.wait_for_answers(20)
            held = tier.most_used_endpoint(1)
            tier.hold_answers(held)  # so that the one that is paused has a request open
            await tier.wait_forwarded(held, 1)
            tier.pause(1)
            await tier.wait_until_time(tier.history.now_us() + 900 * MS)
            await load.wait_for_answers(10, *(n for n in range(processes) if n != 1))
            tier.resume(1)
            await wait_until(lambda: told_late(load), "the answer to one whose time is over")
            tier.release_answers(held)
            await load.wait_for_answers(20)
        tier.check()

    play(main())


async def told_late(load: LoadGenerator) -> bool:
    return load.answers[1, 504] > 0


@pytest.mark.parametrize("processes", [3, 5])
def test_discovery_is_cut_off_while_endpoints_drain(processes: int) -> None:
    """One that did not hear of it sends on, and stops when it has heard."""

    async def main() -> None:
        async with ProcessTier(processes, endpoints=2) as tier, tier.load() as load:
            await load.wait_for_answers(20)
            first = tier.most_used_endpoint(1)
            tier.block_discovery({1})
            tier.publish(first, "draining")
            await tier.wait_lists_read(n for n in range(processes) if n != 1)
            await tier.wait_forwarded(first, 1)
            assert tier.lifecycles_read[1, first] == "ready"
            tier.unblock_discovery({1})
            await tier.wait_lists_read()
            await load.wait_for_answers(20)
            tier.publish(first, "ready")
            await tier.wait_lists_read()
            tier.publish(1 - first, "draining")
            await tier.wait_lists_read()
            await tier.wait_forwarded(first, *range(processes))
            await tier.wait_until_time(tier.history.now_us() + tier.limits.drain_grace_us)
            await load.wait_for_answers(20)
        tier.check()

    play(main())


def test_an_endpoints_answers_are_cut_off() -> None:
    """Requests run and are not heard of: none of them runs again elsewhere."""

    async def main() -> None:
        async with ProcessTier(3, endpoints=4) as tier, tier.load(deadline_ms=800) as load:
            await load.wait_for_answers(20)
            one = tier.most_used_endpoint(0)
            tier.block_path(one, "responses")
            await load.wait_for_answers(20)
            tier.unblock_path(one)
            for endpoint in range(4):
                tier.block_path(endpoint, "responses", {1})
            await wait_until(
                lambda: ran_in_vain(tier), "one that ran, and whose client was told that it failed"
            )
            for endpoint in range(4):
                tier.unblock_path(endpoint)
            await load.wait_for_answers(20)
        tier.check()

    play(main())


async def ran_in_vain(tier: ProcessTier) -> bool:
    ran = {event.request for event in tier.history.events if isinstance(event, RequestExecuted)}
    return any(
        e.request in ran and e.status != 200 for e in tier.history.events if isinstance(e, ResponseReceived)
    )


def test_requests_to_endpoints_are_cut_off_and_come_late() -> None:
    async def main() -> None:
        async with ProcessTier(3, endpoints=4) as tier:
            async with tier.load(deadline_ms=800) as load:
                await load.wait_for_answers(20)
                one = tier.most_used_endpoint(0)
                tier.block_path(one, "requests")
                await load.wait_for_answers(20)
                tier.unblock_path(one)
                for endpoint in range(4):
                    tier.block_path(endpoint, "requests", {1})
                await wait_until(
                    lambda: sent_in_vain(tier), "one that was sent, and whose client was told no"
                )
                for endpoint in range(4):
                    tier.unblock_path(endpoint)
                await load.wait_for_answers(20)
            await wait_until(lambda: ran_behind(tier), "what was kept")
        tier.check()

    play(main())


async def sent_in_vain(tier: ProcessTier) -> bool:
    """Whether one that may run has been answered."""
    ran = {event.request for event in tier.history.events if isinstance(event, RequestExecuted)}
    sent = {e.request for e in tier.history.events if isinstance(e, RequestForwarded)} - ran
    return any(
        e.request in sent and e.status != 200 for e in tier.history.events if isinstance(e, ResponseReceived)
    )


async def ran_behind(tier: ProcessTier) -> bool:
    """Whether an endpoint executed a request behind its client's final answer."""
    over: set[str] = set()
    for event in tier.history.events:
        if isinstance(event, ResponseReceived) and event.status != 200:
            over.add(event.request)
        elif isinstance(event, RequestExecuted) and event.request in over:
            return True
    return False


def test_an_endpoint_dies_with_what_it_ran_and_comes_back() -> None:
    async def main() -> None:
        async with ProcessTier(3, endpoints=2) as tier, tier.load() as load:
            await load.wait_for_answers(20)
            first = tier.most_used_endpoint(1)
            tier.hold_answers(first)
            await wait_until(
                lambda: is_open(tier, "unsafe"), "an unsafe request that ran, and is not answered"
            )
            tier.stop_endpoint(first)
            tier.release_answers(first)
            await load.wait_for_answers(40)
            await tier.restart_endpoint(first, started_ms=1)
            tier.publish(first, "ready", startedAtMs=1)
            await tier.wait_lists_read()
            tier.stop_endpoint(1 - first)
            await tier.wait_forwarded(first, 0, 1, 2)
            await load.wait_for_answers(20)
        tier.check()

    play(main())


async def is_open(tier: ProcessTier, effect: str) -> bool:
    events = tier.history.events
    over = {event.request for event in events if isinstance(event, ResponseReceived)}
    ran = {event.request for event in events if isinstance(event, RequestExecuted)} - over
    return any(e.request in ran and e.effect == effect for e in events if isinstance(e, RequestStarted))


def test_a_release_replaces_all_processes() -> None:
    async def main() -> None:
        async with ProcessTier(3) as tier, tier.load(clients=6) as load:
            tier.publish(0, "draining")
            await tier.wait_lists_read()
            for number in range(3):
                await load.wait_for_answers(10)
                assert await tier.replace(number) == 0
                await load.wait_for_answers(10)
                assert (await tier.call(number, "GET", "/api/ready")).status == 200
            tier.publish(0, "ready")
            await tier.wait_lists_read()
            await tier.kill(1)
            await tier.restart(1)
            await load.wait_for_answers(10)
        tier.check()

    play(main())


def test_wall_clocks_that_differ_by_hours_and_step() -> None:
    async def main() -> None:
        async with ProcessTier(3, with_clocks=True) as tier, tier.load() as load:
            for by_s in (7200, -50_000):
                for program in tier.programs[:2]:
                    program.step_clock(by_s * 1_000_000 * (program.number + 1))
                tier.publish(1, "ready", startedAtMs=1_700_000_000_000 + by_s)
                await tier.wait_lists_read()
                await load.wait_for_answers(30)
            await tier.restart(0)
            await load.wait_for_answers(30)
        tier.check()

    play(main())


def test_no_step_of_the_wall_clock_ends_the_time_for_which_an_order_is_kept() -> None:
    """It is kept for a day of real time, in the life that had it and in the next."""

    async def main() -> None:
        async with ProcessTier(1, with_clocks=True, operator_tables=ORDERS) as tier:
            for hours in (0, 23, 2, -49, 100):
                tier.programs[0].step_clock(hours * 3600 * 1_000_000)
                assert [await order(tier, 0, "o1") for _ in range(2)] == [200, 200]
                await tier.restart(0)
                assert await order(tier, 0, "o1") == 200
                assert sum(one.dropped_count for one in tier.effects) == 0 and effects(tier, "o1") == 1
            tier.check()

    play(main())


def test_a_tier_names_each_process_its_peers() -> None:
    """With sockets in the place of what a process opens where it is told to share a record."""

    async def main() -> None:
        async with ProcessTier(3) as tier:
            files = [program.folder / "config.json" for program in tier.programs]
            told = [json.loads(file.read_text()) for file in files]
            with contextlib.ExitStack() as stack:
                peers = [stack.enter_context(datagrams(raw["peer_listen"])) for raw in told]
                for one, raw in enumerate(told):
                    assert raw["peers"][one] == raw["peer_listen"]
                    tier.partition({one}, {(one + 1) % 3}, both_ways=False)
                    for other in {0, 1, 2} - {one}:
                        host, port = raw["peers"][other].rsplit(":", 1)
                        peers[one].sendto(b"%d" % one, (host, int(port)))
                for one, raw in enumerate(told):
                    data, address = await receive(peers[one])
                    assert data == b"%d" % ((one + 1) % 3), "the one before it is cut off"
                    assert raw["peers"][(one + 1) % 3] == "{}:{}".format(*address)
            tier.heal_partition()

    play(main())


ORDERS = {
    "orders": {
        "store_path": "{folder}/orders",
        "classes": [{"name": "put", "header": "X-Order-Id"}],
    }
}


async def order(tier: ProcessTier, process: int, name: str) -> int:
    async with Caller(*tier.programs[process].listen) as caller:
        raw = request("put", b"b", f"X-Order-Id: {name}\r\n", 1000, name, key=name)
        return (await caller.send(raw)).status


def effects(tier: ProcessTier, name: str) -> int:
    return sum(one.by_key[name] for one in tier.effects)


def test_a_disk_is_full_until_there_is_room() -> None:
    """An order that can't be recorded is not sent."""

    async def main() -> None:
        async with ProcessTier(2, operator_tables=ORDERS) as tier:
            assert [await order(tier, n, f"o{n}") for n in range(2)] == [200, 200]
            tier.programs[0].fill_disk()
            assert await order(tier, 0, "o2") == 502 and effects(tier, "o2") == 0
            await tier.programs[0].wait_logged("nothing is written any more")
            assert await order(tier, 1, "o3") == 200, "another process has its own disk"
            await tier.restart(0)
            assert await order(tier, 0, "o2") == 200 and effects(tier, "o2") == 1
            assert await order(tier, 0, "o0") == 200 and effects(tier, "o0") == 1
            tier.check()

    play(main())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_a_disk_is_torn_between_two_starts(seed: int) -> None:
    """The end of its log: it starts, and runs nothing twice. The file by which it finds that: it says so."""

    async def main() -> None:
        async with ProcessTier(1, operator_tables=ORDERS, seed=seed) as tier:
            (program,) = tier.programs
            assert await order(tier, 0, "o1") == 200
            await tier.kill(0)
            store = tier.folder_of(0) / "orders"
            (segment,) = store.glob("*.seg")
            assert truncate_tail(segment, tier.rng, max_bytes=200)
            await tier.start(0)
            # How much is lost is the seed's: without its answer the order is known, but not how it ended.
            assert await order(tier, 0, "o1") in (200, 502) and effects(tier, "o1") == 1
            await tier.kill(0)
            flip_bit(store / "MANIFEST", tier.rng)
            await program.start()
            assert await program.wait_ended() == 2 and "the manifest is damaged" in program.log_lines[-1]
            assert names(tier) == {UNEXPECTED_EXIT}

    play(main())


def test_what_the_test_does_not_own_up_to_is_found() -> None:
    """The checker over the program itself: each of these is a lie of the test's."""

    async def main() -> None:
        async with ProcessTier(3) as tier, tier.load() as load:
            await load.wait_for_answers(10)
            assert names(tier) <= {UNANSWERED}, "only what is still open"
            cleared, drained, held = (tier.most_used_endpoint(n) for n in range(3))
            tier.note_drained(cleared)
            await tier.wait_forwarded(cleared, 0)
            told_at = tier.history.now_us()
            tier.history.add(EndpointUpdateRead(told_at, told_at, 1, f"s-{drained}", "gone"))
            await tier.wait_until_time(told_at + tier.limits.drain_grace_us)
            await tier.wait_forwarded(drained, 1)
            tier.hold_answers(held)
            await tier.wait_forwarded(held, 2)
            os.kill(tier.programs[2].pid, signal.SIGKILL)
            await tier.programs[2].wait_ended()
            tier.release_answers(held)
            await load.wait_for_answers(10, 0, 1)
        assert names(tier) == {SENT_AFTER_DRAINED, DRAIN_BROKEN, UNANSWERED, UNEXPECTED_EXIT}
        with pytest.raises(AssertionError, match=f"{SENT_AFTER_DRAINED}: s-{cleared} at process"):
            tier.check()

    play(main())


def test_a_program_that_repeats_too_widely_is_found() -> None:
    """It is told that all endpoints know a key, where only those of one cell do."""

    async def main() -> None:
        classes = [{**one, "dedup-scope": "all"} for one in SETTINGS["classes"]]
        async with ProcessTier(2, settings={"classes": classes}) as tier, tier.load() as load:
            await load.wait_for_answers(10)
            held = tier.most_used_endpoint(0)
            tier.hold_answers(held)
            await wait_until(lambda: run_twice(tier, held), "a repeat in the other cell")
            tier.release_answers(held)
        assert names(tier) == {EXECUTED_TWICE}

    play(main())


async def run_twice(tier: ProcessTier, held: int) -> bool:
    """What was executed there, and is not answered, breaks off."""
    for paths in tier.paths:
        paths[held].reset()
    return EXECUTED_TWICE in names(tier)


def test_a_tier_that_can_not_start_leaves_nothing_behind() -> None:
    async def main() -> None:
        tier = ProcessTier(2, operator_tables={"nonsense": {"a": 1}})
        with pytest.raises(AssertionError, match="ended"):
            async with tier:
                pass
        assert not any(one.is_running for one in tier.programs)

    play(main())


def test_what_does_not_come_is_named() -> None:
    async def main() -> None:
        async def never() -> bool:
            return False

        with pytest.raises(AssertionError, match="the moon"):
            await wait_until(never, "the moon", timeout_s=0.0)
        async with ProcessTier(1, endpoints=1) as tier:
            port = free_port()
            assert port != tier.programs[0].listen[1]
            await tier.kill(0)
            with pytest.raises(AssertionError, match="ended without 'x'"):
                await tier.programs[0].wait_logged("x")

    play(main())
