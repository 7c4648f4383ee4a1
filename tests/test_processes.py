"""Tests of the faults and checks for several processes, and of the program under these faults."""

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

TEST_TIMEOUT_S = 300.0  # ends a test that hangs


def run_with_timeout(test: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await test

    run(limited())


# --- Routes -----------------------------------------------------------------------------


def new_route(faults: NetworkFaults | None = None, seed: int = 1) -> Route:
    route = Route(random.Random(seed))
    route.faults = faults or NetworkFaults()
    return route


LOSSY = NetworkFaults(
    loss_probability=0.2, duplicate_probability=0.2, reorder_probability=0.2, delay_us=(0, 1000)
)


def test_faults_of_a_route_depend_only_on_its_seed() -> None:
    def deliveries(seed: int) -> list[Any]:
        route = new_route(LOSSY, seed)
        return [route.transmit(bytes((n,))) for n in range(200)]

    assert deliveries(1) == deliveries(1) != deliveries(2)


def test_a_command_does_not_change_later_random_faults() -> None:
    plain, commanded = new_route(LOSSY), new_route(LOSSY)
    commanded.lose_next(1)
    for n in range(10):
        plain.transmit(bytes((n,)))
        commanded.transmit(bytes((n,)))
    later = range(20, 60)
    assert [plain.transmit(bytes((n,))) for n in later] == [commanded.transmit(bytes((n,))) for n in later]


@given(
    st.floats(0, 1), st.floats(0, 1), st.floats(0, 1), st.integers(0, 9), st.lists(st.booleans(), max_size=60)
)
def test_a_datagram_that_passes_arrives_once_or_twice_if_duplicated(
    loss: float, duplicate: float, reorder: float, seed: int, partitions: list[bool]
) -> None:
    route = new_route(NetworkFaults(loss, duplicate, reorder, (5, 9)), seed)
    arrived: list[int] = []
    for n, is_partitioned in enumerate(partitions):
        route.is_partitioned = is_partitioned
        datagrams = route.transmit(bytes((n,)))
        assert all(5 <= datagram.delay_us <= 9 for datagram in datagrams)
        arrived += [datagram.data[0] for datagram in datagrams]
    delayed_count = 1 if route.reordered_count and len(set(arrived)) < route.passed_count else 0
    assert route.passed_count + route.lost_count == len(partitions)
    assert (
        len(arrived) == route.passed_count + route.duplicated_count - delayed_count
        and len(set(arrived)) == route.passed_count - delayed_count
    )


def test_commands_lose_duplicate_and_hold_the_next_datagrams() -> None:
    route = new_route()
    route.lose_next(2)
    assert [len(route.transmit(b"x")) for _ in range(3)] == [0, 0, 1]
    route.duplicate_next()
    assert [len(route.transmit(b"x")) for _ in range(2)] == [2, 1]
    route.hold()
    for data in (b"a", b"b", b"c"):
        assert route.transmit(data) == []
    released = [datagram.data for datagram in route.release(reverse=True)]
    assert released == [b"c", b"b", b"a"] and not route.is_holding
    assert route.release() == []


def test_the_number_of_held_datagrams_is_bounded() -> None:
    route = new_route()
    route.hold()
    for _ in range(MAX_HELD_DATAGRAMS + 3):
        route.transmit(b"x")
    assert route.lost_count == 3 and len(route.release()) == MAX_HELD_DATAGRAMS


def test_a_reordered_datagram_arrives_after_the_next_one() -> None:
    route = new_route(NetworkFaults(reorder_probability=1.0))
    assert route.transmit(b"a") == []
    assert [datagram.data for datagram in route.transmit(b"b")] == [b"b", b"a"]


def test_partitions_of_groups_in_one_or_both_directions_are_healed() -> None:
    route_table = RouteTable(5, 1)
    route_table.partition({0, 1}, {2, 3, 4})
    assert sum(route.is_partitioned for route in route_table.routes.values()) == 12
    assert not route_table.routes[0, 1].is_partitioned and route_table.routes[4, 0].is_partitioned
    route_table.heal_partition({0}, {2})
    assert (
        not route_table.routes[0, 2].is_partitioned
        and not route_table.routes[2, 0].is_partitioned
        and route_table.routes[1, 2].is_partitioned
    )
    route_table.heal_partition()
    route_table.partition({0}, range(5), both_ways=False)
    assert [pair for pair, route in route_table.routes.items() if route.is_partitioned] == [
        (0, n) for n in range(1, 5)
    ]


# --- Files ------------------------------------------------------------------------------

texts = st.text(st.characters(codec="utf-8"))
values = st.recursive(
    st.booleans() | st.integers(-(2**63), 2**63 - 1) | st.floats(allow_nan=False) | texts,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(texts, inner, max_size=3),
    max_leaves=8,
)


@given(st.dictionaries(texts, st.dictionaries(texts, values, max_size=4), max_size=4))
def test_tables_written_as_toml_are_read_back_equal(tables: dict[str, dict[str, Any]]) -> None:
    assert tomllib.loads(format_toml(tables)) == tables


def test_a_value_without_a_toml_form_is_an_error() -> None:
    with pytest.raises(ValueError, match="no form"):
        format_toml({"a": {"b": None}})


def test_files_are_truncated_and_corrupted_by_the_seed(tmp_path: Path) -> None:
    path = tmp_path / "x"
    path.write_bytes(b"x" * 100)
    lost = truncate_tail(path, random.Random(1), max_bytes=50)
    assert 1 <= lost <= 50 and path.read_bytes() == b"x" * (100 - lost)
    path.write_bytes(b"x" * 100 + bytes(10))
    assert truncate_tail(path, random.Random(1), max_bytes=50) == lost
    assert path.read_bytes() == b"x" * (100 - lost) + bytes(lost + 10), "a preallocated file keeps its length"
    path.write_bytes(bytes(100))
    assert truncate_tail(path, random.Random(1)) == 0
    offset = flip_bit(path, random.Random(1))
    assert [n for n, byte in enumerate(path.read_bytes()) if byte] == [offset]
    path.write_bytes(b"")
    assert truncate_tail(path, random.Random(1)) == 0
    with pytest.raises(ValueError):
        flip_bit(path, random.Random(1))


async def start_python(*arguments: str) -> asyncio.subprocess.Process:
    pipe = asyncio.subprocess.PIPE
    return await asyncio.create_subprocess_exec(sys.executable, "-c", *arguments, stdin=pipe, stdout=pipe)


async def query(process: asyncio.subprocess.Process) -> str:
    """Send an empty line to the process and return the line that it answers."""
    assert process.stdin is not None and process.stdout is not None
    process.stdin.write(b"\n")
    return (await process.stdout.readline()).decode().strip()


def test_steps_of_the_wall_clock_leave_the_monotonic_clock_unchanged(tmp_path: Path) -> None:
    script = (
        "import sys, time\nfrom laurelstep.testing.processes.launch import shift_wall_clock\n"
        "shift_wall_clock(sys.argv[1])\n"
        "for _ in sys.stdin:\n"
        "    print(time.time_ns() // 10**9, int(time.time()), time.monotonic_ns(), flush=True)"
    )

    async def main() -> None:
        clock = tmp_path / "clock"
        create_clock(clock)
        process = await start_python(script, str(clock))
        readings = []
        for by_s in (0, 7200, -100_000):
            step_clock(clock, by_s * 1_000_000)
            readings.append([int(word) for word in (await query(process)).split()])
        first, later, earlier = readings
        assert 7200 <= later[0] - first[0] < 7300 and -100_000 <= earlier[0] - later[0] < -99_900
        assert abs(earlier[1] - earlier[0]) <= 1
        assert first[2] < later[2] < earlier[2] < first[2] + 60 * 10**9
        assert process.stdin is not None
        process.stdin.close()
        assert await process.wait() == 0

    run_with_timeout(main())


def test_writes_fail_while_the_disk_is_full(tmp_path: Path) -> None:
    script = (
        "import sys\nfile = open(sys.argv[1], 'wb', buffering=0)\n"
        "for _ in sys.stdin:\n"
        "    try: print(file.write(b'xx'), flush=True)\n"
        "    except OSError as error: print(type(error).__name__, flush=True)"
    )

    async def main() -> None:
        process = await start_python(script, str(tmp_path / "x"))
        assert await query(process) == "2"
        fill_disk(process.pid)
        assert await query(process) == "OSError"
        free_disk(process.pid)
        assert await query(process) == "2"
        assert process.stdin is not None
        process.stdin.close()
        await process.wait()
        assert (tmp_path / "x").read_bytes() == b"xxxx"

    run_with_timeout(main())


# --- Relays -----------------------------------------------------------------------------


def datagram_socket(address: str = "127.0.0.1:0") -> socket.socket:
    host, port = address.rsplit(":", 1)
    udp_socket = socket.socket(type=socket.SOCK_DGRAM)
    udp_socket.bind((host, int(port)))
    udp_socket.setblocking(False)
    return udp_socket


async def receive(udp_socket: socket.socket) -> tuple[bytes, tuple[str, int]]:
    """Wait for a datagram and return it with its sender; uvloop has no `sock_recvfrom`."""
    loop = asyncio.get_running_loop()
    is_readable = asyncio.Event()
    loop.add_reader(udp_socket.fileno(), is_readable.set)
    try:
        await is_readable.wait()
    finally:
        loop.remove_reader(udp_socket.fileno())
    return udp_socket.recvfrom(1000)


class Peers:
    """A datagram relay between sockets that stand for processes."""

    def __init__(self, count: int) -> None:
        self.sockets = [datagram_socket() for _ in range(count)]
        self.relay = DatagramRelay([udp_socket.getsockname() for udp_socket in self.sockets])

    def address(self, sender: int, receiver: int) -> tuple[str, int]:
        host, _, port = self.relay.peers_of(sender)[receiver].rpartition(":")
        return host, int(port)

    def send(self, sender: int, receiver: int, data: bytes) -> None:
        self.sockets[sender].sendto(data, self.address(sender, receiver))

    async def receive(self, receiver: int) -> tuple[bytes, tuple[str, int]]:
        return await receive(self.sockets[receiver])

    def close(self) -> None:
        self.relay.close()
        for udp_socket in self.sockets:
            udp_socket.close()


def test_a_datagram_arrives_from_the_address_configured_for_its_sender() -> None:
    async def main() -> None:
        peers = Peers(3)
        await peers.relay.start()
        assert peers.relay.peers_of(1)[1] == "{}:{}".format(*peers.sockets[1].getsockname())
        for sender, receiver in ((0, 1), (1, 0), (2, 1)):
            peers.send(sender, receiver, b"hello")
            assert await peers.receive(receiver) == (b"hello", peers.address(receiver, sender))
        assert peers.relay.delivered_bytes == [5, 10, 0]
        peers.close()

    run_with_timeout(main())


def test_datagrams_that_are_foreign_or_too_long_are_dropped() -> None:
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

    run_with_timeout(main())


def test_datagrams_are_lost_in_one_direction_reordered_and_duplicated() -> None:
    async def main() -> None:
        peers = Peers(2)
        await peers.relay.start()
        peers.relay.route_table.partition({0}, {1}, both_ways=False)
        peers.send(0, 1, b"lost")
        peers.send(1, 0, b"back")
        assert (await peers.receive(0))[0] == b"back"
        route = peers.relay.route(0, 1)
        while not route.lost_count:
            await asyncio.sleep(0)
        peers.relay.route_table.heal_partition()
        route.hold()
        for data in (b"a", b"b"):
            peers.send(0, 1, data)
        while route.passed_count < 2:
            await asyncio.sleep(0)
        peers.relay.release(0, 1, reverse=True)
        assert [(await peers.receive(1))[0] for _ in range(2)] == [b"b", b"a"]
        route.faults = NetworkFaults(duplicate_probability=1.0, delay_us=(1000, 2000))
        peers.send(0, 1, b"c")
        assert [(await peers.receive(1))[0] for _ in range(2)] == [b"c", b"c"]
        peers.close()

    run_with_timeout(main())


def test_delays_below_the_resolution_of_the_loop_are_applied() -> None:
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

    run_with_timeout(main())


def test_a_blocked_relay_keeps_bytes_and_reports_sent_requests() -> None:
    async def main() -> None:
        sent: list[str] = []
        async with Endpoint() as endpoint:
            relay = StreamRelay(
                ("127.0.0.1", endpoint.port), on_request=lambda request_id, at_us: sent.append(request_id)
            )
            await relay.start()
            async with Caller("127.0.0.1", relay.port) as caller:
                assert (await caller.send(request(rid="a"))).status == 200
                relay.block("requests")
                pending = asyncio.create_task(caller.send(request(rid="b")))
                while "b" not in sent:
                    await asyncio.sleep(0)
                assert endpoint.request_count == 1
                relay.block("responses")
                relay.unblock("requests")
                while endpoint.request_count < 2:
                    await endpoint.arrived.acquire()
                assert not pending.done()
                relay.unblock()
                assert (await pending).status == 200 and sent == ["a", "b"]
            relay.close()

    run_with_timeout(main())


def test_a_relay_that_refuses_resets_connections_it_has_just_accepted() -> None:
    async def main() -> None:
        async with Endpoint() as endpoint:
            relay = StreamRelay(("127.0.0.1", endpoint.port))
            await relay.start()
            reader, writer = await asyncio.open_connection("127.0.0.1", relay.port)
            while not relay._tasks:
                await asyncio.sleep(0)
            assert not relay.connections  # accepted, but not yet connected to the endpoint
            relay.refuse()
            with contextlib.suppress(ConnectionError):
                writer.write(request(rid="late"))
                assert await reader.read() == b""
            writer.close()
            assert endpoint.request_count == 0
            relay.close()

    run_with_timeout(main())


def test_a_relay_that_refuses_keeps_a_port_that_the_system_does_not_assign() -> None:
    """A parallel test process that was assigned the port could answer in the relay's place."""

    async def main() -> None:
        relay = StreamRelay(("127.0.0.1", free_port()))
        await relay.start()
        port = relay.port
        assert port in PORT_RANGE
        relay.refuse()
        await relay.accept()
        assert relay.port == port
        relay.close()

    run_with_timeout(main())


def test_a_relay_reports_each_request_id_once_if_it_is_split_across_reads() -> None:
    async def main() -> None:
        sent: list[str] = []
        async with Endpoint() as endpoint:
            relay = StreamRelay(
                ("127.0.0.1", endpoint.port), on_request=lambda request_id, at_us: sent.append(request_id)
            )
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

    run_with_timeout(main())


def test_a_relay_resets_refuses_and_accepts_connections() -> None:
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

    run_with_timeout(main())


def test_a_relay_detects_unread_bytes_of_a_process() -> None:
    async def main() -> None:
        async with Endpoint() as endpoint:
            relay = StreamRelay(("127.0.0.1", endpoint.port))
            await relay.start()
            client = socket.create_connection(("127.0.0.1", relay.port))
            client.setblocking(False)
            client.send(request())
            while not any(connection.returned_bytes for connection in relay.connections):
                await asyncio.sleep(0)
            (connection,) = relay.connections
            assert not connection.is_read()
            client.recv(1000)
            assert connection.is_read()
            client.close()
            relay.close()

    run_with_timeout(main())


# --- Checks of a history------------------------------------------------------------------

MS = 1000
LIMITS = CheckLimits(lateness_us=10 * MS, drain_grace_us=500 * MS)


def started(
    at_us: int = 100, request_id: str = "r1", effect: Any = "safe", key: str | None = None
) -> RequestStarted:
    return RequestStarted(at_us, 0, request_id, effect, key, 100 * MS)


CORRECT_HISTORY: list[Event] = [
    ProcessEvent(0, 0, ProcessPhase.STARTED),
    ProcessEvent(10, 0, ProcessPhase.READY),
    EndpointUpdateRead(20, 15, 0, "s-0", "ready"),
    started(),
    RequestForwarded(110, 0, "s-0", "r1"),
    RequestExecuted(120, "s-0", "r1"),
    ResponseReceived(200, 0, "r1", 200),
    started(300, "r2", "unsafe"),
    RequestForwarded(310, 0, "s-0", "r2"),
    RequestExecuted(320, "s-0", "r2"),
    ResponseReceived(400, 0, "r2", 200),
    EndpointUpdateRead(500, 450, 0, "s-0", "draining"),
    EndpointDrained(2_000_000, "s-0"),
]


def violated_rules(*more: Event, of: list[Event] | None = None, limits: CheckLimits = LIMITS) -> list[str]:
    violations = check_history([*(CORRECT_HISTORY if of is None else of), *more], limits)
    assert all(violation.subject and str(violation).startswith(violation.rule) for violation in violations)
    return [violation.rule for violation in violations]


def test_a_history_without_faults_has_no_violations() -> None:
    assert violated_rules() == []


@pytest.mark.parametrize(
    ("rule", "more"),
    [
        (UNANSWERED, [started(600, "r3")]),
        (UNANSWERED, [started(600, "r3"), RequestFailed(700, 0, "r3", "ConnectionResetError")]),
        # The process was killed long after the deadline, or before the request.
        (
            UNANSWERED,
            [
                started(600, "r3"),
                ProcessEvent(900 * MS, 0, ProcessPhase.KILLED),
                RequestFailed(900 * MS, 0, "r3", "x"),
            ],
        ),
        (
            UNANSWERED,
            [
                ProcessEvent(500, 0, ProcessPhase.KILLED),
                ProcessEvent(550, 0, ProcessPhase.READY),
                started(600, "r3"),
            ],
        ),
        # Another process was killed.
        (
            UNANSWERED,
            [started(600, "r3"), ProcessEvent(650, 1, ProcessPhase.KILLED), RequestFailed(700, 0, "r3", "x")],
        ),
        # The request was accepted before the process was told to stop.
        (
            UNANSWERED,
            [
                started(600, "r3"),
                ProcessEvent(650, 0, ProcessPhase.STOPPING),
                RequestFailed(700, 0, "r3", "x"),
            ],
        ),
        # The same; the end of the process is recorded before the end of the connection.
        (
            UNANSWERED,
            [
                started(600, "r3"),
                ProcessEvent(650, 0, ProcessPhase.STOPPING),
                ProcessEvent(690, 0, ProcessPhase.ENDED),
                RequestFailed(700, 0, "r3", "x"),
            ],
        ),
        # A successor takes over, but the request was forwarded, or was sent on a new connection, or was sent
        # after the predecessor had ended.
        (
            UNANSWERED,
            [
                ProcessEvent(550, 0, ProcessPhase.RETIRING),
                started(600, "r3"),
                RequestForwarded(650, 0, "s-1", "r3"),
                RequestFailed(700, 0, "r3", "x", is_reused_connection=True),
            ],
        ),
        (
            UNANSWERED,
            [
                ProcessEvent(550, 0, ProcessPhase.RETIRING),
                started(600, "r3"),
                RequestFailed(700, 0, "r3", "x"),
            ],
        ),
        (
            UNANSWERED,
            [
                ProcessEvent(550, 0, ProcessPhase.RETIRING),
                ProcessEvent(590, 0, ProcessPhase.RETIRED),
                started(600, "r3"),
                RequestFailed(700, 0, "r3", "x", is_reused_connection=True),
            ],
        ),
        (ANSWERED_TWICE, [ResponseReceived(800, 0, "r1", 200)]),
        (LATE, [started(600, "r3"), ResponseReceived(600 + 110 * MS + 1, 0, "r3", 504)]),
        (
            LATE,
            [
                started(600, "r3"),
                ProcessEvent(700, 0, ProcessPhase.PAUSED),
                ProcessEvent(200 * MS, 0, ProcessPhase.RESUMED),
                ResponseReceived(311 * MS, 0, "r3", 504),
            ],
        ),
        (EXECUTED_TWICE, [RequestExecuted(800, "s-1", "r2")]),
        (
            EXECUTED_TWICE,
            [
                started(600, "r3", "keyed", "k"),
                ResponseReceived(700, 0, "r3", 200),
                RequestExecuted(650, "s-0", "r3"),
                started(800, "r4", "keyed", "k"),
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
def test_each_violation_is_found(rule: str, more: list[Event]) -> None:
    assert violated_rules(*more) == [rule]


@pytest.mark.parametrize(("failed_at", "ended_at"), [(690, 700), (700, 690)])
def test_a_crash_loses_requests_in_any_order_of_events(failed_at: int, ended_at: int) -> None:
    failed = RequestFailed(failed_at, 0, "r3", "IncompleteReadError")
    ended = ProcessEvent(ended_at, 0, ProcessPhase.ENDED)
    assert violated_rules(started(600, "r3"), failed, ended) == [UNANSWERED, UNEXPECTED_EXIT]


@pytest.mark.parametrize(
    "more",
    [
        [
            started(600, "r3"),
            ProcessEvent(650, 0, ProcessPhase.KILLED),
            RequestFailed(700, 0, "r3", "x"),
            ProcessEvent(700, 0, ProcessPhase.ENDED),
        ],
        [
            ProcessEvent(550, 0, ProcessPhase.RETIRING),
            started(600, "r3"),
            RequestFailed(700, 0, "r3", "x", is_reused_connection=True),
        ],
        [started(600, "r3"), ProcessEvent(650, 0, ProcessPhase.KILLED)],  # the client still waits
        [
            ProcessEvent(550, 0, ProcessPhase.KILLED),
            started(600, "r3"),
            RequestFailed(700, 0, "r3", "x"),
            ProcessEvent(800, 0, ProcessPhase.READY),
        ],
        [
            ProcessEvent(540, 0, ProcessPhase.STOPPING),
            ProcessEvent(550, 0, ProcessPhase.ENDED),
            started(600, "r3"),
            RequestFailed(700, 0, "r3", "x"),
        ],
        [ProcessEvent(550, 0, ProcessPhase.STOPPING), started(600, "r3"), RequestFailed(700, 0, "r3", "x")],
        [started(600, "r3"), ResponseReceived(600 + 110 * MS, 0, "r3", 504)],
        [
            started(600, "r3"),
            ProcessEvent(700, 0, ProcessPhase.PAUSED),
            ProcessEvent(200 * MS, 0, ProcessPhase.RESUMED),
            ResponseReceived(309 * MS, 0, "r3", 504),
        ],
        [RequestExecuted(800, "s-1", "r1")],  # safe
        [
            started(600, "r3", "keyed", "k"),
            ResponseReceived(700, 0, "r3", 200),
            RequestExecuted(650, "s-0", "r3"),
            started(800, "r4", "keyed", "l"),
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
        # The endpoint was pushed as ready before the drain was read, and read right after it.
        [EndpointUpdateRead(510, 460, 0, "s-0", "ready"), RequestForwarded(600 * MS, 0, "s-0", "r1")],
        [
            ProcessEvent(600, 0, ProcessPhase.KILLED),
            ProcessEvent(700, 0, ProcessPhase.STARTED),
            ProcessEvent(800, 0, ProcessPhase.READY),
            EndpointUpdateRead(900, 850, 0, "s-0", "ready"),
            RequestForwarded(600 * MS, 0, "s-0", "r1"),
        ],
        [RequestForwarded(600 * MS, 1, "s-0", "r1")],  # another process, which has not read the change
        [ProcessEvent(600, 0, ProcessPhase.KILLED), ProcessEvent(610, 0, ProcessPhase.ENDED)],
        [ProcessEvent(600, 0, ProcessPhase.STOPPING), ProcessEvent(610, 0, ProcessPhase.ENDED)],
    ],
)
def test_allowed_events_are_no_violations(more: list[Event]) -> None:
    assert violated_rules(*more) == []


def test_the_slack_after_a_drain_is_exact() -> None:
    sent: list[Event] = [EndpointDrained(600, "s-1"), RequestForwarded(700, 0, "s-1", "r1")]
    assert violated_rules(*sent, limits=replace(LIMITS, drained_slack_us=100)) == []
    assert violated_rules(*sent, limits=replace(LIMITS, drained_slack_us=99)) == [SENT_AFTER_DRAINED]


# --- The program under faults -----------------------------------------------------------


def violated_rules_of(tier: ProcessTier) -> set[str]:
    return {violation.rule for violation in tier.violations()}


@pytest.mark.parametrize("processes", [3, 5])
def test_processes_are_killed_and_restarted_without_state(processes: int) -> None:
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
        assert [program.start_count for program in tier.programs[:3]] == [2, 3, 2]
        tier.check()

    run_with_timeout(main())


@pytest.mark.parametrize("processes", [3, 5])
def test_a_process_is_paused_for_longer_than_a_deadline(processes: int) -> None:
    async def main() -> None:
        async with ProcessTier(processes) as tier, tier.load(deadline_ms=300) as load:
            await load.wait_for_answers(20)
            held = tier.most_used_endpoint(1)
            tier.hold_answers(held)  # so that the paused process has an open request
            await tier.wait_forwarded(held, 1)
            tier.pause(1)
            await tier.wait_until_time(tier.history.now_us() + 900 * MS)
            await load.wait_for_answers(10, *(n for n in range(processes) if n != 1))
            tier.resume(1)
            await wait_until(lambda: has_answered_504(load), "the answer to a request past its deadline")
            tier.release_answers(held)
            await load.wait_for_answers(20)
        tier.check()

    run_with_timeout(main())


async def has_answered_504(load: LoadGenerator) -> bool:
    return load.answers[1, 504] > 0


@pytest.mark.parametrize("processes", [3, 5])
def test_discovery_is_blocked_while_an_endpoint_drains(processes: int) -> None:
    """A process that has not read the change keeps forwarding to the endpoint, and stops once it has."""

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

    run_with_timeout(main())


def test_answers_of_endpoints_are_blocked() -> None:
    """Requests are executed but their answers do not arrive: none is executed again elsewhere."""

    async def main() -> None:
        async with ProcessTier(3, endpoints=4) as tier, tier.load(deadline_ms=800) as load:
            await load.wait_for_answers(20)
            blocked = tier.most_used_endpoint(0)
            tier.block_path(blocked, "responses")
            await load.wait_for_answers(20)
            tier.unblock_path(blocked)
            for endpoint in range(4):
                tier.block_path(endpoint, "responses", {1})
            await wait_until(
                lambda: has_failed_after_execution(tier), "a request that was executed and answered as failed"
            )
            for endpoint in range(4):
                tier.unblock_path(endpoint)
            await load.wait_for_answers(20)
        tier.check()

    run_with_timeout(main())


async def has_failed_after_execution(tier: ProcessTier) -> bool:
    executed = {event.request for event in tier.history.events if isinstance(event, RequestExecuted)}
    return any(
        event.request in executed and event.status != 200
        for event in tier.history.events
        if isinstance(event, ResponseReceived)
    )


def test_requests_to_endpoints_are_blocked_and_arrive_late() -> None:
    async def main() -> None:
        async with ProcessTier(3, endpoints=4) as tier:
            async with tier.load(deadline_ms=800) as load:
                await load.wait_for_answers(20)
                blocked = tier.most_used_endpoint(0)
                tier.block_path(blocked, "requests")
                await load.wait_for_answers(20)
                tier.unblock_path(blocked)
                for endpoint in range(4):
                    tier.block_path(endpoint, "requests", {1})
                await wait_until(
                    lambda: has_failed_before_execution(tier),
                    "a request that was forwarded and answered as failed",
                )
                for endpoint in range(4):
                    tier.unblock_path(endpoint)
                await load.wait_for_answers(20)
            await wait_until(lambda: has_executed_after_answer(tier), "the execution of a blocked request")
        tier.check()

    run_with_timeout(main())


async def has_failed_before_execution(tier: ProcessTier) -> bool:
    """Whether a request that was forwarded and not executed has been answered as failed."""
    executed = {event.request for event in tier.history.events if isinstance(event, RequestExecuted)}
    forwarded = {
        event.request for event in tier.history.events if isinstance(event, RequestForwarded)
    } - executed
    return any(
        event.request in forwarded and event.status != 200
        for event in tier.history.events
        if isinstance(event, ResponseReceived)
    )


async def has_executed_after_answer(tier: ProcessTier) -> bool:
    """Whether an endpoint has executed a request after its client received a failure as the final answer."""
    failed: set[str] = set()
    for event in tier.history.events:
        if isinstance(event, ResponseReceived) and event.status != 200:
            failed.add(event.request)
        elif isinstance(event, RequestExecuted) and event.request in failed:
            return True
    return False


def test_an_endpoint_crashes_after_it_executed_requests_and_restarts() -> None:
    async def main() -> None:
        async with ProcessTier(3, endpoints=2) as tier, tier.load() as load:
            await load.wait_for_answers(20)
            first = tier.most_used_endpoint(1)
            tier.hold_answers(first)
            await wait_until(
                lambda: is_executed_and_open(tier, "unsafe"),
                "an unsafe request that is executed but not answered",
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

    run_with_timeout(main())


async def is_executed_and_open(tier: ProcessTier, effect: str) -> bool:
    events = tier.history.events
    answered = {event.request for event in events if isinstance(event, ResponseReceived)}
    executed = {event.request for event in events if isinstance(event, RequestExecuted)} - answered
    return any(e.request in executed and e.effect == effect for e in events if isinstance(e, RequestStarted))


def test_hot_restarts_replace_all_processes() -> None:
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

    run_with_timeout(main())


def test_wall_clocks_differ_by_hours_and_are_stepped() -> None:
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

    run_with_timeout(main())


def test_steps_of_the_wall_clock_do_not_end_the_retention_of_an_order() -> None:
    """An order is kept for a day of real time, by the process that recorded it and after a restart."""

    async def main() -> None:
        async with ProcessTier(1, with_clocks=True, operator_tables=ORDERS) as tier:
            for hours in (0, 23, 2, -49, 100):
                tier.programs[0].step_clock(hours * 3600 * 1_000_000)
                assert [await send_order(tier, 0, "o1") for _ in range(2)] == [200, 200]
                await tier.restart(0)
                assert await send_order(tier, 0, "o1") == 200
                assert (
                    sum(effects.dropped_count for effects in tier.effects) == 0
                    and execution_count(tier, "o1") == 1
                )
            tier.check()

    run_with_timeout(main())


def test_each_process_is_configured_with_the_addresses_of_its_peers() -> None:
    """The test opens the sockets that a process opens if it replicates state."""

    async def main() -> None:
        async with ProcessTier(3) as tier:
            files = [program.folder / "config.json" for program in tier.programs]
            configurations = [json.loads(file.read_text()) for file in files]
            with contextlib.ExitStack() as stack:
                peers = [stack.enter_context(datagram_socket(raw["peer_listen"])) for raw in configurations]
                for sender, raw in enumerate(configurations):
                    assert raw["peers"][sender] == raw["peer_listen"]
                    tier.partition({sender}, {(sender + 1) % 3}, both_ways=False)
                    for receiver in {0, 1, 2} - {sender}:
                        host, port = raw["peers"][receiver].rsplit(":", 1)
                        peers[sender].sendto(b"%d" % sender, (host, int(port)))
                for receiver, raw in enumerate(configurations):
                    data, address = await receive(peers[receiver])
                    assert data == b"%d" % ((receiver + 1) % 3), "the previous peer is partitioned"
                    assert raw["peers"][(receiver + 1) % 3] == "{}:{}".format(*address)
            tier.heal_partition()

    run_with_timeout(main())


ORDERS = {
    "orders": {
        "store_path": "{folder}/orders",
        "classes": [{"name": "put", "header": "X-Order-Id"}],
    }
}


async def send_order(tier: ProcessTier, process: int, order_id: str) -> int:
    """Send an order to a process; return the status of its answer."""
    async with Caller(*tier.programs[process].listen) as caller:
        raw = request("put", b"b", f"X-Order-Id: {order_id}\r\n", 1000, order_id, key=order_id)
        return (await caller.send(raw)).status


def execution_count(tier: ProcessTier, order_id: str) -> int:
    return sum(effects.by_key[order_id] for effects in tier.effects)


def test_orders_are_refused_while_the_disk_is_full() -> None:
    """An order that cannot be recorded is not forwarded."""

    async def main() -> None:
        async with ProcessTier(2, operator_tables=ORDERS) as tier:
            assert [await send_order(tier, n, f"o{n}") for n in range(2)] == [200, 200]
            tier.programs[0].fill_disk()
            assert await send_order(tier, 0, "o2") == 502 and execution_count(tier, "o2") == 0
            await tier.programs[0].wait_logged("nothing is written any more")
            assert await send_order(tier, 1, "o3") == 200, "another process has its own disk"
            await tier.restart(0)
            assert await send_order(tier, 0, "o2") == 200 and execution_count(tier, "o2") == 1
            assert await send_order(tier, 0, "o0") == 200 and execution_count(tier, "o0") == 1
            tier.check()

    run_with_timeout(main())


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_files_are_damaged_between_two_starts(seed: int) -> None:
    """With a truncated segment a process executes no order twice; with a damaged manifest it exits."""

    async def main() -> None:
        async with ProcessTier(1, operator_tables=ORDERS, seed=seed) as tier:
            (program,) = tier.programs
            assert await send_order(tier, 0, "o1") == 200
            await tier.kill(0)
            store = tier.folder_of(0) / "orders"
            (segment,) = store.glob("*.seg")
            assert truncate_tail(segment, tier.rng, max_bytes=200)
            await tier.start(0)
            # Depending on the seed, the record of the answer is lost and the outcome is unknown.
            assert await send_order(tier, 0, "o1") in (200, 502) and execution_count(tier, "o1") == 1
            await tier.kill(0)
            flip_bit(store / "MANIFEST", tier.rng)
            await program.start()
            assert await program.wait_ended() == 2 and "the manifest is damaged" in program.log_lines[-1]
            assert violated_rules_of(tier) == {UNEXPECTED_EXIT}

    run_with_timeout(main())


def test_violations_by_the_program_are_found() -> None:
    """The test records false events and hides a kill, so that each of these rules is violated."""

    async def main() -> None:
        async with ProcessTier(3) as tier, tier.load() as load:
            await load.wait_for_answers(10)
            assert violated_rules_of(tier) <= {UNANSWERED}, "only open requests"
            cleared, drained, held = (tier.most_used_endpoint(n) for n in range(3))
            tier.record_drained(cleared)
            await tier.wait_forwarded(cleared, 0)
            read_at_us = tier.history.now_us()
            tier.history.add(EndpointUpdateRead(read_at_us, read_at_us, 1, f"s-{drained}", "gone"))
            await tier.wait_until_time(read_at_us + tier.limits.drain_grace_us)
            await tier.wait_forwarded(drained, 1)
            tier.hold_answers(held)
            await tier.wait_forwarded(held, 2)
            os.kill(tier.programs[2].pid, signal.SIGKILL)
            await tier.programs[2].wait_ended()
            tier.release_answers(held)
            await load.wait_for_answers(10, 0, 1)
        assert violated_rules_of(tier) == {SENT_AFTER_DRAINED, DRAIN_BROKEN, UNANSWERED, UNEXPECTED_EXIT}
        with pytest.raises(AssertionError, match=f"{SENT_AFTER_DRAINED}: s-{cleared} at process"):
            tier.check()

    run_with_timeout(main())


def test_a_program_that_repeats_keyed_requests_in_another_cell_is_found() -> None:
    """Its settings say that all endpoints share idempotency keys, but only those of a cell do."""

    async def main() -> None:
        classes = [{**settings, "dedup-scope": "all"} for settings in SETTINGS["classes"]]
        async with ProcessTier(2, settings={"classes": classes}) as tier, tier.load() as load:
            await load.wait_for_answers(10)
            held = tier.most_used_endpoint(0)
            tier.hold_answers(held)
            await wait_until(lambda: is_executed_twice(tier, held), "a repeat in the other cell")
            tier.release_answers(held)
        assert violated_rules_of(tier) == {EXECUTED_TWICE}

    run_with_timeout(main())


async def is_executed_twice(tier: ProcessTier, held: int) -> bool:
    """Reset the connections of requests that are executed but not answered, and check for a repeat."""
    for paths in tier.paths:
        paths[held].reset()
    return EXECUTED_TWICE in violated_rules_of(tier)


def test_a_tier_that_cannot_start_leaves_no_process_running() -> None:
    async def main() -> None:
        tier = ProcessTier(2, operator_tables={"nonsense": {"a": 1}})
        with pytest.raises(AssertionError, match="ended"):
            async with tier:
                pass
        assert not any(program.is_running for program in tier.programs)

    run_with_timeout(main())


def test_an_event_that_does_not_occur_is_named() -> None:
    async def main() -> None:
        async def never() -> bool:
            return False

        with pytest.raises(AssertionError, match="the description"):
            await wait_until(never, "the description", timeout_s=0.0)
        async with ProcessTier(1, endpoints=1) as tier:
            port = free_port()
            assert port != tier.programs[0].listen[1]
            await tier.kill(0)
            with pytest.raises(AssertionError, match="ended without 'x'"):
                await tier.programs[0].wait_logged("x")

    run_with_timeout(main())
