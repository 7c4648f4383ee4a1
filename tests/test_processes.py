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
from laurelstep.testing.processes import (
    Answered,
    Asked,
    Broken,
    Cleared,
    DatagramRelay,
    Event,
    Load,
    Ran,
    Returned,
    Rules,
    Sent,
    StreamRelay,
    Tier,
    Told,
    Turn,
    Way,
    Ways,
    Weather,
    What,
    check,
    garble,
    tear,
    toml,
    until,
)
from laurelstep.testing.processes.faults import HELD_MOST
from laurelstep.testing.processes.files import empty_disk, fill_disk
from laurelstep.testing.processes.history import (
    ANSWERED_TWICE,
    DRAIN_BROKEN,
    ENDED_UNASKED,
    LATE,
    RUN_TWICE,
    SENT_AFTER_CLEAR,
    UNANSWERED,
)
from laurelstep.testing.processes.launch import make_clock, step_clock
from laurelstep.testing.processes.relays import DATAGRAM_MOST
from laurelstep.testing.processes.tier import SETTINGS
from tests.sockets import Endpoint, run

TEST_S = 300.0  # for a test that hangs; nothing is measured by it


def play(test: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(TEST_S):
            await test

    run(limited())


# --- Ways -------------------------------------------------------------------------------


def way(weather: Weather | None = None, seed: int = 1) -> Way:
    one = Way(random.Random(seed))
    one.weather = weather or Weather()
    return one


ROUGH = Weather(lose=0.2, double=0.2, turn=0.2, delay_us=(0, 1000))


def test_one_seed_is_one_fate() -> None:
    def fate(seed: int) -> list[Any]:
        one = way(ROUGH, seed)
        return [one.carry(bytes((n,))) for n in range(200)]

    assert fate(1) == fate(1) != fate(2)


def test_an_order_does_not_change_what_the_weather_does_later() -> None:
    plain, ordered = way(ROUGH), way(ROUGH)
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
    one = way(Weather(lose, double, turn, (5, 9)), seed)
    arrived: list[int] = []
    for n, cut in enumerate(cuts):
        one.cut = cut
        parcels = one.carry(bytes((n,)))
        assert all(5 <= parcel.after_us <= 9 for parcel in parcels)
        arrived += [parcel.data[0] for parcel in parcels]
    waiting = 1 if one.turned and len(set(arrived)) < one.passed else 0
    assert one.passed + one.lost == len(cuts)
    assert len(arrived) == one.passed + one.doubled - waiting and len(set(arrived)) == one.passed - waiting


def test_orders_lose_double_and_keep_the_next() -> None:
    one = way()
    one.lose_next(2)
    assert [len(one.carry(b"x")) for _ in range(3)] == [0, 0, 1]
    one.double_next()
    assert [len(one.carry(b"x")) for _ in range(2)] == [2, 1]
    one.hold()
    for data in (b"a", b"b", b"c"):
        assert one.carry(data) == []
    assert [parcel.data for parcel in one.release(turned=True)] == [b"c", b"b", b"a"] and not one.holding
    assert one.release() == []


def test_what_is_held_is_bounded() -> None:
    one = way()
    one.hold()
    for _ in range(HELD_MOST + 3):
        one.carry(b"x")
    assert one.lost == 3 and len(one.release()) == HELD_MOST


def test_one_that_is_overtaken_comes_behind_the_next() -> None:
    one = way(Weather(turn=1.0))
    assert one.carry(b"a") == []
    assert [parcel.data for parcel in one.carry(b"b")] == [b"b", b"a"]


def test_cuts_of_groups_one_way_and_back() -> None:
    ways = Ways(5, 1)
    ways.cut({0, 1}, {2, 3, 4})
    assert sum(one.cut for one in ways.by_pair.values()) == 12
    assert not ways.by_pair[0, 1].cut and ways.by_pair[4, 0].cut
    ways.heal({0}, {2})
    assert not ways.by_pair[0, 2].cut and not ways.by_pair[2, 0].cut and ways.by_pair[1, 2].cut
    ways.heal()
    ways.cut({0}, range(5), both=False)
    assert [pair for pair, one in ways.by_pair.items() if one.cut] == [(0, n) for n in range(1, 5)]


# --- Files ------------------------------------------------------------------------------

texts = st.text(st.characters(codec="utf-8"))
values = st.recursive(
    st.booleans() | st.integers(-(2**63), 2**63 - 1) | st.floats(allow_nan=False) | texts,
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(texts, inner, max_size=3),
    max_leaves=8,
)


@given(st.dictionaries(texts, st.dictionaries(texts, values, max_size=4), max_size=4))
def test_what_is_written_as_toml_is_read_as_it_was(tables: dict[str, dict[str, Any]]) -> None:
    assert tomllib.loads(toml(tables)) == tables


def test_what_toml_has_no_form_for_is_said() -> None:
    with pytest.raises(ValueError, match="no form"):
        toml({"a": {"b": None}})


def test_files_are_torn_and_garbled_by_the_seed(tmp_path: Path) -> None:
    path = tmp_path / "x"
    path.write_bytes(b"x" * 100)
    lost = tear(path, random.Random(1), most=50)
    assert 1 <= lost <= 50 and path.read_bytes() == b"x" * (100 - lost)
    path.write_bytes(b"x" * 100 + bytes(10))
    assert tear(path, random.Random(1), most=50) == lost
    assert path.read_bytes() == b"x" * (100 - lost) + bytes(lost + 10), "made long before it was filled"
    path.write_bytes(bytes(100))
    assert tear(path, random.Random(1)) == 0
    at = garble(path, random.Random(1))
    assert [n for n, byte in enumerate(path.read_bytes()) if byte] == [at]
    path.write_bytes(b"")
    assert tear(path, random.Random(1)) == 0
    with pytest.raises(ValueError):
        garble(path, random.Random(1))


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
        "import sys, time\nfrom laurelstep.testing.processes.launch import shift\nshift(sys.argv[1])\n"
        "for _ in sys.stdin:\n"
        "    print(time.time_ns() // 10**9, int(time.time()), time.monotonic_ns(), flush=True)"
    )

    async def main() -> None:
        clock = tmp_path / "clock"
        make_clock(clock)
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
        empty_disk(process.pid)
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
        assert peers.relay.arrived == [5, 10, 0]
        peers.close()

    play(main())


def test_what_is_foreign_or_too_long_is_not_carried() -> None:
    async def main() -> None:
        peers = Peers(2)
        await peers.relay.start()
        with socket.socket(type=socket.SOCK_DGRAM) as stranger:
            stranger.sendto(b"who?", peers.address(0, 1))
        peers.send(0, 1, bytes(DATAGRAM_MOST + 1))
        peers.send(0, 1, bytes(DATAGRAM_MOST))
        assert len((await peers.receive(1))[0]) == DATAGRAM_MOST
        assert (peers.relay.foreign, peers.relay.too_long) == (1, 1)
        peers.close()

    play(main())


def test_datagrams_are_cut_one_way_and_turned_round() -> None:
    async def main() -> None:
        peers = Peers(2)
        await peers.relay.start()
        peers.relay.ways.cut({0}, {1}, both=False)
        peers.send(0, 1, b"lost")
        peers.send(1, 0, b"back")
        assert (await peers.receive(0))[0] == b"back"
        lost = peers.relay.way(0, 1)
        while not lost.lost:
            await asyncio.sleep(0)
        peers.relay.ways.heal()
        lost.hold()
        for data in (b"a", b"b"):
            peers.send(0, 1, data)
        while lost.passed < 2:
            await asyncio.sleep(0)
        peers.relay.release(0, 1, turned=True)
        assert [(await peers.receive(1))[0] for _ in range(2)] == [b"b", b"a"]
        lost.weather = Weather(double=1.0, delay_us=(1000, 2000))
        peers.send(0, 1, b"c")
        assert [(await peers.receive(1))[0] for _ in range(2)] == [b"c", b"c"]
        peers.close()

    play(main())


def test_delays_below_the_loops_own_measure_are_kept_too() -> None:
    async def main() -> None:
        peers = Peers(2)
        await peers.relay.start()
        peers.relay.ways.change_weather(Weather(delay_us=(1, 400)))
        for data in (b"a", b"b", b"c"):
            peers.send(0, 1, data)
        assert {(await peers.receive(1))[0] for _ in range(3)} == {b"a", b"b", b"c"}
        peers.relay.ways.change_weather(Weather(delay_us=(60_000_000, 60_000_000)))
        peers.send(0, 1, b"never")
        while peers.relay.way(0, 1).passed < 4:
            await asyncio.sleep(0)
        peers.close()

    play(main())


def test_a_cut_keeps_what_it_has_and_tells_what_was_sent() -> None:
    async def main() -> None:
        sent: list[str] = []
        async with Endpoint() as endpoint:
            relay = StreamRelay(("127.0.0.1", endpoint.port), seen=lambda name, at: sent.append(name))
            await relay.start()
            async with Caller("127.0.0.1", relay.port) as caller:
                assert (await caller.ask(request(rid="a"))).status == 200
                relay.cut("there")
                asked = asyncio.create_task(caller.ask(request(rid="b")))
                while "b" not in sent:
                    await asyncio.sleep(0)
                assert endpoint.count == 1
                relay.cut("back")
                relay.heal("there")
                while endpoint.count < 2:
                    await endpoint.arrived.acquire()
                assert not asked.done()
                relay.heal()
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
            assert endpoint.count == 0
            relay.close()

    play(main())


def test_a_relay_finds_ids_that_reads_cut_through_once() -> None:
    async def main() -> None:
        sent: list[str] = []
        async with Endpoint() as endpoint:
            relay = StreamRelay(("127.0.0.1", endpoint.port), seen=lambda name, at: sent.append(name))
            await relay.start()
            _, writer = await asyncio.open_connection("127.0.0.1", relay.port)
            for byte in request(rid="one") + request("pay", b"x" * 300, rid="two"):
                writer.write(bytes((byte,)))
                await writer.drain()
                await asyncio.sleep(0)
            while endpoint.count < 2:
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
            await caller.ask(request())
            relay.reset()
            with pytest.raises((OSError, asyncio.IncompleteReadError)):
                await caller.ask(request())
            relay.refuse()
            with pytest.raises(ConnectionRefusedError):
                await caller.ask(request())
            await relay.admit()
            assert (await caller.ask(request())).status == 200
            endpoint.stop()
            with pytest.raises((OSError, asyncio.IncompleteReadError)):
                await Caller("127.0.0.1", relay.port).ask(request())
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
            while not any(found.passed_back for found in relay.connections):
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
RULES = Rules(late_us=10 * MS, grace_us=500 * MS)


def asked(at: int = 100, name: str = "r1", effect: Any = "safe", key: str | None = None) -> Asked:
    return Asked(at, 0, name, effect, key, 100 * MS)


CLEAN: list[Event] = [
    Turn(0, 0, What.STARTED), Turn(10, 0, What.READY), Told(20, 15, 0, "s-0", "ready"),
    asked(), Sent(110, 0, "s-0", "r1"), Ran(120, "s-0", "r1"), Answered(200, 0, "r1", 200),
    asked(300, "r2", "unsafe"), Sent(310, 0, "s-0", "r2"), Ran(320, "s-0", "r2"), Answered(400, 0, "r2", 200),
    Told(500, 450, 0, "s-0", "draining"), Cleared(2_000_000, "s-0"),
]  # fmt: skip


def broken(*more: Event, of: list[Event] | None = None, rules: Rules = RULES) -> list[str]:
    found = check([*(CLEAN if of is None else of), *more], rules)
    assert all(one.subject and str(one).startswith(one.name) for one in found)
    return [one.name for one in found]


def test_a_history_that_keeps_the_rules_is_clean() -> None:
    assert broken() == []


@pytest.mark.parametrize(
    ("name", "more"),
    [
        (UNANSWERED, [asked(600, "r3")]),
        (UNANSWERED, [asked(600, "r3"), Broken(700, 0, "r3", "ConnectionResetError")]),
        # Killed when it was long over, and before it began.
        (UNANSWERED, [asked(600, "r3"), Turn(900 * MS, 0, What.KILLED), Broken(900 * MS, 0, "r3", "x")]),
        (UNANSWERED, [Turn(500, 0, What.KILLED), Turn(550, 0, What.READY), asked(600, "r3")]),
        # Another process was killed.
        (UNANSWERED, [asked(600, "r3"), Turn(650, 1, What.KILLED), Broken(700, 0, "r3", "x")]),
        # Taken before it was told to stop.
        (UNANSWERED, [asked(600, "r3"), Turn(650, 0, What.STOPPING), Broken(700, 0, "r3", "x")]),
        # A next version takes over: sent on, or on a connection of its own, or when that is over.
        (
            UNANSWERED,
            [
                Turn(550, 0, What.RETIRING), asked(600, "r3"), Sent(650, 0, "s-1", "r3"),
                Broken(700, 0, "r3", "x", kept=True),
            ],
        ),
        (UNANSWERED, [Turn(550, 0, What.RETIRING), asked(600, "r3"), Broken(700, 0, "r3", "x")]),
        (
            UNANSWERED,
            [
                Turn(550, 0, What.RETIRING), Turn(590, 0, What.RETIRED), asked(600, "r3"),
                Broken(700, 0, "r3", "x", kept=True),
            ],
        ),
        (ANSWERED_TWICE, [Answered(800, 0, "r1", 200)]),
        (LATE, [asked(600, "r3"), Answered(600 + 110 * MS + 1, 0, "r3", 504)]),
        (
            LATE,
            [
                asked(600, "r3"), Turn(700, 0, What.PAUSED), Turn(200 * MS, 0, What.RESUMED),
                Answered(311 * MS, 0, "r3", 504),
            ],
        ),
        (RUN_TWICE, [Ran(800, "s-1", "r2")]),
        (
            RUN_TWICE,
            [
                asked(600, "r3", "keyed", "k"), Answered(700, 0, "r3", 200), Ran(650, "s-0", "r3"),
                asked(800, "r4", "keyed", "k"), Answered(900, 0, "r4", 200), Ran(850, "s-1", "r4"),
            ],
        ),
        (SENT_AFTER_CLEAR, [Cleared(600, "s-1"), Sent(601, 0, "s-1", "r1")]),
        (SENT_AFTER_CLEAR, [Cleared(600, "s-1"), Cleared(800, "s-1"), Sent(700, 1, "s-1", "r1")]),
        (
            SENT_AFTER_CLEAR,
            [Cleared(600, "s-1"), Returned(650, "s-1"), Cleared(700, "s-1"), Sent(701, 0, "s-1", "r1")],
        ),
        (DRAIN_BROKEN, [Sent(500 * MS + 501, 0, "s-0", "r1")]),
        (DRAIN_BROKEN, [Told(600, 590, 0, "s-0", "draining"), Sent(500 * MS + 550, 0, "s-0", "r1")]),
        (ENDED_UNASKED, [Turn(600, 0, What.ENDED)]),
        (
            ENDED_UNASKED,
            [
                Turn(600, 0, What.KILLED), Turn(610, 0, What.ENDED), Turn(620, 0, What.STARTED),
                Turn(630, 0, What.ENDED),
            ],
        ),
    ],
)  # fmt: skip
def test_each_rule_can_be_broken(name: str, more: list[Event]) -> None:
    assert broken(*more) == [name]


@pytest.mark.parametrize(
    "more",
    [
        [asked(600, "r3"), Turn(650, 0, What.KILLED), Broken(700, 0, "r3", "x"), Turn(700, 0, What.ENDED)],
        [Turn(550, 0, What.RETIRING), asked(600, "r3"), Broken(700, 0, "r3", "x", kept=True)],
        [asked(600, "r3"), Turn(650, 0, What.KILLED)],  # its client still waits
        [Turn(550, 0, What.KILLED), asked(600, "r3"), Broken(700, 0, "r3", "x"), Turn(800, 0, What.READY)],
        [Turn(550, 0, What.STOPPING), asked(600, "r3"), Broken(700, 0, "r3", "x")],
        [asked(600, "r3"), Answered(600 + 110 * MS, 0, "r3", 504)],
        [
            asked(600, "r3"), Turn(700, 0, What.PAUSED), Turn(200 * MS, 0, What.RESUMED),
            Answered(309 * MS, 0, "r3", 504),
        ],
        [Ran(800, "s-1", "r1")],  # safe
        [
            asked(600, "r3", "keyed", "k"), Answered(700, 0, "r3", 200), Ran(650, "s-0", "r3"),
            asked(800, "r4", "keyed", "l"), Answered(900, 0, "r4", 200), Ran(850, "s-0", "r4"),
        ],
        [Cleared(600, "s-1"), Returned(650, "s-1"), Sent(651, 0, "s-1", "r1")],
        [Cleared(600, "s-1"), Sent(600, 0, "s-1", "r1"), Sent(700, 0, "s-2", "r1")],
        [Sent(500 * MS + 500, 0, "s-0", "r1")],
        [Told(900, 800, 0, "s-0", "ready"), Sent(600 * MS, 0, "s-0", "r1")],
        # Pushed again before the drain was read, and read with it.
        [Told(510, 460, 0, "s-0", "ready"), Sent(600 * MS, 0, "s-0", "r1")],
        [
            Turn(600, 0, What.KILLED), Turn(700, 0, What.STARTED), Turn(800, 0, What.READY),
            Told(900, 850, 0, "s-0", "ready"), Sent(600 * MS, 0, "s-0", "r1"),
        ],
        [Sent(600 * MS, 1, "s-0", "r1")],  # a process that was not told
        [Turn(600, 0, What.KILLED), Turn(610, 0, What.ENDED)],
        [Turn(600, 0, What.STOPPING), Turn(610, 0, What.ENDED)],
    ],
)  # fmt: skip
def test_what_the_rules_allow_is_not_counted(more: list[Event]) -> None:
    assert broken(*more) == []


def test_slack_is_what_the_rules_give() -> None:
    sent: list[Event] = [Cleared(600, "s-1"), Sent(700, 0, "s-1", "r1")]
    assert broken(*sent, rules=replace(RULES, clear_slack_us=100)) == []
    assert broken(*sent, rules=replace(RULES, clear_slack_us=99)) == [SENT_AFTER_CLEAR]


# --- The program, under faults ----------------------------------------------------------


def names(tier: Tier) -> set[str]:
    return {one.name for one in tier.violations()}


@pytest.mark.parametrize("processes", [3, 5])
def test_processes_are_killed_and_come_from_nothing(processes: int) -> None:
    async def main() -> None:
        async with Tier(processes, endpoints=processes + 1) as tier, tier.load() as load:
            for victim in (1, 0):
                await load.more(20)
                await tier.kill(victim)
                await load.more(20)
                await tier.restart(victim)
                await load.more(20)
            await tier.restart(2)
            await load.more(20, *range(processes))
            assert await tier.stop(1) == 0
            await load.more(20)
            await tier.start(1)
            assert (await tier.call(1, "GET", "/api/ready")).status == 200
            await load.more(20, 1)
        assert [one.starts for one in tier.programs[:3]] == [2, 3, 2]
        tier.check()

    play(main())


@pytest.mark.parametrize("processes", [3, 5])
def test_one_is_paused_for_longer_than_a_request_may_take(processes: int) -> None:
    async def main() -> None:
        async with Tier(processes) as tier, tier.load(deadline_ms=300) as load:
            await load.more(20)
            held = tier.most_used(1)
            tier.hold(held)  # so that the one that is paused has a request open
            await tier.until_sent(held, 1)
            tier.pause(1)
            await tier.until_passed(tier.history.now() + 900 * MS)
            await load.more(10, *(n for n in range(processes) if n != 1))
            tier.resume(1)
            await until(lambda: told_late(load), "the answer to one whose time is over")
            tier.let_go(held)
            await load.more(20)
        tier.check()

    play(main())


async def told_late(load: Load) -> bool:
    return load.answers[1, 504] > 0


@pytest.mark.parametrize("processes", [3, 5])
def test_discovery_is_cut_off_while_endpoints_drain(processes: int) -> None:
    """One that did not hear of it sends on, and stops when it has heard."""

    async def main() -> None:
        async with Tier(processes, endpoints=2) as tier, tier.load() as load:
            await load.more(20)
            first = tier.most_used(1)
            tier.cut_lists({1})
            tier.tell(first, "draining")
            await tier.until_told(n for n in range(processes) if n != 1)
            await tier.until_sent(first, 1)
            assert tier.told[1, first] == "ready"
            tier.heal_lists({1})
            await tier.until_told()
            await load.more(20)
            tier.tell(first, "ready")
            await tier.until_told()
            tier.tell(1 - first, "draining")
            await tier.until_told()
            await tier.until_sent(first, *range(processes))
            await tier.until_passed(tier.history.now() + tier.rules.grace_us)
            await load.more(20)
        tier.check()

    play(main())


def test_an_endpoints_answers_are_cut_off() -> None:
    """Requests run and are not heard of: none of them runs again elsewhere."""

    async def main() -> None:
        async with Tier(3, endpoints=4) as tier, tier.load(deadline_ms=800) as load:
            await load.more(20)
            one = tier.most_used(0)
            tier.cut_path(one, "back")
            await load.more(20)
            tier.heal_path(one)
            for endpoint in range(4):
                tier.cut_path(endpoint, "back", {1})
            await until(lambda: ran_in_vain(tier), "one that ran, and whose client was told that it failed")
            for endpoint in range(4):
                tier.heal_path(endpoint)
            await load.more(20)
        tier.check()

    play(main())


async def ran_in_vain(tier: Tier) -> bool:
    ran = {event.request for event in tier.history.events if isinstance(event, Ran)}
    return any(e.request in ran and e.status != 200 for e in tier.history.events if isinstance(e, Answered))


def test_requests_to_endpoints_are_cut_off_and_come_late() -> None:
    async def main() -> None:
        async with Tier(3, endpoints=4) as tier:
            async with tier.load(deadline_ms=800) as load:
                await load.more(20)
                one = tier.most_used(0)
                tier.cut_path(one, "there")
                await load.more(20)
                tier.heal_path(one)
                for endpoint in range(4):
                    tier.cut_path(endpoint, "there", {1})
                await until(lambda: sent_in_vain(tier), "one that was sent, and whose client was told no")
                for endpoint in range(4):
                    tier.heal_path(endpoint)
                await load.more(20)
            await until(lambda: ran_behind(tier), "what was kept")
        tier.check()

    play(main())


async def sent_in_vain(tier: Tier) -> bool:
    """Whether one that may run has been answered."""
    ran = {event.request for event in tier.history.events if isinstance(event, Ran)}
    sent = {e.request for e in tier.history.events if isinstance(e, Sent)} - ran
    return any(e.request in sent and e.status != 200 for e in tier.history.events if isinstance(e, Answered))


async def ran_behind(tier: Tier) -> bool:
    """Whether an endpoint executed a request behind its client's final answer."""
    over: set[str] = set()
    for event in tier.history.events:
        if isinstance(event, Answered) and event.status != 200:
            over.add(event.request)
        elif isinstance(event, Ran) and event.request in over:
            return True
    return False


def test_an_endpoint_dies_with_what_it_ran_and_comes_back() -> None:
    async def main() -> None:
        async with Tier(3, endpoints=2) as tier, tier.load() as load:
            await load.more(20)
            first = tier.most_used(1)
            tier.hold(first)
            await until(lambda: is_open(tier, "unsafe"), "an unsafe request that ran, and is not answered")
            tier.stop_endpoint(first)
            tier.let_go(first)
            await load.more(40)
            await tier.restart_endpoint(first, started_ms=1)
            tier.tell(first, "ready", startedAtMs=1)
            await tier.until_told()
            tier.stop_endpoint(1 - first)
            await tier.until_sent(first, 0, 1, 2)
            await load.more(20)
        tier.check()

    play(main())


async def is_open(tier: Tier, effect: str) -> bool:
    events = tier.history.events
    over = {event.request for event in events if isinstance(event, Answered)}
    ran = {event.request for event in events if isinstance(event, Ran)} - over
    return any(e.request in ran and e.effect == effect for e in events if isinstance(e, Asked))


def test_a_release_replaces_all_processes() -> None:
    async def main() -> None:
        async with Tier(3) as tier, tier.load(callers=6) as load:
            tier.tell(0, "draining")
            await tier.until_told()
            for number in range(3):
                await load.more(10)
                assert await tier.replace(number) == 0
                await load.more(10)
                assert (await tier.call(number, "GET", "/api/ready")).status == 200
            tier.tell(0, "ready")
            await tier.until_told()
            await tier.kill(1)
            await tier.restart(1)
            await load.more(10)
        tier.check()

    play(main())


def test_wall_clocks_that_differ_by_hours_and_step() -> None:
    async def main() -> None:
        async with Tier(3, clocks=True) as tier, tier.load() as load:
            for by_s in (7200, -50_000):
                for program in tier.programs[:2]:
                    program.step_clock(by_s * 1_000_000 * (program.number + 1))
                tier.tell(1, "ready", startedAtMs=1_700_000_000_000 + by_s)
                await tier.until_told()
                await load.more(30)
            await tier.restart(0)
            await load.more(30)
        tier.check()

    play(main())


def test_no_step_of_the_wall_clock_ends_the_time_for_which_an_order_is_kept() -> None:
    """It is kept for a day of real time, in the life that had it and in the next."""

    async def main() -> None:
        async with Tier(1, clocks=True, operator_tables=ORDERS) as tier:
            for hours in (0, 23, 2, -49, 100):
                tier.programs[0].step_clock(hours * 3600 * 1_000_000)
                assert [await order(tier, 0, "o1") for _ in range(2)] == [200, 200]
                await tier.restart(0)
                assert await order(tier, 0, "o1") == 200
                assert sum(one.dropped for one in tier.effects) == 0 and effects(tier, "o1") == 1
            tier.check()

    play(main())


def test_a_tier_names_each_process_its_peers() -> None:
    """With sockets in the place of what a process opens where it is told to share a record."""

    async def main() -> None:
        async with Tier(3) as tier:
            files = [program.folder / "config.json" for program in tier.programs]
            told = [json.loads(file.read_text()) for file in files]
            with contextlib.ExitStack() as stack:
                peers = [stack.enter_context(datagrams(raw["peer_listen"])) for raw in told]
                for one, raw in enumerate(told):
                    assert raw["peers"][one] == raw["peer_listen"]
                    tier.cut({one}, {(one + 1) % 3}, both=False)
                    for other in {0, 1, 2} - {one}:
                        host, port = raw["peers"][other].rsplit(":", 1)
                        peers[one].sendto(b"%d" % one, (host, int(port)))
                for one, raw in enumerate(told):
                    data, address = await receive(peers[one])
                    assert data == b"%d" % ((one + 1) % 3), "the one before it is cut off"
                    assert raw["peers"][(one + 1) % 3] == "{}:{}".format(*address)
            tier.heal()

    play(main())


ORDERS = {
    "orders": {
        "store_path": "{folder}/orders",
        "classes": [{"name": "put", "header": "X-Order-Id"}],
    }
}


async def order(tier: Tier, process: int, name: str) -> int:
    async with Caller(*tier.programs[process].listen) as caller:
        raw = request("put", b"b", f"X-Order-Id: {name}\r\n", 1000, name, key=name)
        return (await caller.ask(raw)).status


def effects(tier: Tier, name: str) -> int:
    return sum(one.by_key[name] for one in tier.effects)


def test_a_disk_is_full_until_there_is_room() -> None:
    """An order that can't be recorded is not sent."""

    async def main() -> None:
        async with Tier(2, operator_tables=ORDERS) as tier:
            assert [await order(tier, n, f"o{n}") for n in range(2)] == [200, 200]
            tier.programs[0].fill_disk()
            assert await order(tier, 0, "o2") == 502 and effects(tier, "o2") == 0
            await tier.programs[0].until_logged("nothing is written any more")
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
        async with Tier(1, operator_tables=ORDERS, seed=seed) as tier:
            (program,) = tier.programs
            assert await order(tier, 0, "o1") == 200
            await tier.kill(0)
            store = tier.folder_of(0) / "orders"
            (segment,) = store.glob("*.seg")
            assert tear(segment, tier.draw, most=200)
            await tier.start(0)
            # How much is lost is the seed's: without its answer the order is known, but not how it ended.
            assert await order(tier, 0, "o1") in (200, 502) and effects(tier, "o1") == 1
            await tier.kill(0)
            garble(store / "MANIFEST", tier.draw)
            await program.start()
            assert await program.ended() == 2 and "the manifest is damaged" in program.lines[-1]
            assert names(tier) == {ENDED_UNASKED}

    play(main())


def test_what_the_test_does_not_own_up_to_is_found() -> None:
    """The checker over the program itself: each of these is a lie of the test's."""

    async def main() -> None:
        async with Tier(3) as tier, tier.load() as load:
            await load.more(10)
            assert names(tier) <= {UNANSWERED}, "only what is still open"
            cleared, drained, held = (tier.most_used(n) for n in range(3))
            tier.note_clear(cleared)
            await tier.until_sent(cleared, 0)
            told_at = tier.history.now()
            tier.history.add(Told(told_at, told_at, 1, f"s-{drained}", "gone"))
            await tier.until_passed(told_at + tier.rules.grace_us)
            await tier.until_sent(drained, 1)
            tier.hold(held)
            await tier.until_sent(held, 2)
            os.kill(tier.programs[2].pid, signal.SIGKILL)
            await tier.programs[2].ended()
            tier.let_go(held)
            await load.more(10, 0, 1)
        assert names(tier) == {SENT_AFTER_CLEAR, DRAIN_BROKEN, UNANSWERED, ENDED_UNASKED}
        with pytest.raises(AssertionError, match=f"sent after clear: s-{cleared} at process"):
            tier.check()

    play(main())


def test_a_program_that_repeats_too_widely_is_found() -> None:
    """It is told that all endpoints know a key, where only those of one cell do."""

    async def main() -> None:
        classes = [{**one, "dedup-scope": "all"} for one in SETTINGS["classes"]]
        async with Tier(2, settings={"classes": classes}) as tier, tier.load() as load:
            await load.more(10)
            held = tier.most_used(0)
            tier.hold(held)
            await until(lambda: run_twice(tier, held), "a repeat in the other cell")
            tier.let_go(held)
        assert names(tier) == {RUN_TWICE}

    play(main())


async def run_twice(tier: Tier, held: int) -> bool:
    """What was executed there, and is not answered, breaks off."""
    for paths in tier.paths:
        paths[held].reset()
    return RUN_TWICE in names(tier)


def test_a_tier_that_can_not_start_leaves_nothing_behind() -> None:
    async def main() -> None:
        tier = Tier(2, operator_tables={"nonsense": {"a": 1}})
        with pytest.raises(AssertionError, match="ended"):
            async with tier:
                pass
        assert not any(one.running for one in tier.programs)

    play(main())


def test_what_does_not_come_is_named() -> None:
    async def main() -> None:
        async def never() -> bool:
            return False

        with pytest.raises(AssertionError, match="the moon"):
            await until(never, "the moon", seconds=0.0)
        async with Tier(1, endpoints=1) as tier:
            port = free_port()
            assert port != tier.programs[0].listen[1]
            await tier.kill(0)
            with pytest.raises(AssertionError, match="ended without 'x'"):
                await tier.programs[0].until_logged("x")

    play(main())
