"""The public stand-in for discovery: lists, watches and heartbeats in the format of the protocol."""

from __future__ import annotations

import asyncio
import json
from typing import Any

import pytest
from laurelstep.net.discovery import LIST_PATH, STALL_TIMEOUT_S, Discovery
from laurelstep.testing import DiscoveryServer, Endpoint, Reader, Writer, read_message
from laurelstep.testing.discovery import HEARTBEAT_INTERVAL_S
from laurelstep.testing.messages import PORT_RANGE

from tests.event_loops import run_limited, run_on_virtual_time
from tests.test_discovery import Sink

HEARTBEAT = b"\n"


def entry(name: str, lifecycle: str = "ready") -> dict[str, Any]:
    return Endpoint().entry(name, lifecycle=lifecycle)


class ManualSleep:
    """Replaces `asyncio.sleep`: a call returns when the test wakes it."""

    def __init__(self) -> None:
        self.asleep: asyncio.Queue[tuple[float, asyncio.Event]] = asyncio.Queue()

    async def __call__(self, seconds: float) -> None:
        wakes = asyncio.Event()
        self.asleep.put_nowait((seconds, wakes))
        await wakes.wait()

    async def wake_next(self) -> float:
        """Wake the call that has slept longest. Returns the duration it was called with, s."""
        seconds, wakes = await self.asleep.get()
        wakes.set()
        return seconds


class Watch:
    """The client's side of one watch, read line by line."""

    def __init__(self, reader: Reader, writer: Writer) -> None:
        self.reader = reader
        self.writer = writer

    async def line(self) -> bytes:
        """The data of the next chunk; `asyncio.IncompleteReadError` if the watch has ended."""
        size = int(await self.reader.readuntil(b"\r\n"), 16)
        return (await self.reader.readexactly(size + 2))[:-2]

    async def next_list(self) -> tuple[int, bool, list[tuple[str, str]]]:
        """The generation of the next list, whether it is full, and the name and lifecycle of each entry."""
        parsed = json.loads(await self.line())
        entries = [(raw["instanceId"], raw["lifecycle"]) for raw in parsed["instances"]]
        return parsed["generation"], parsed["reset"], entries


async def connect(discovery: DiscoveryServer, target: str) -> tuple[Reader, Writer]:
    reader, writer = await asyncio.open_connection("127.0.0.1", discovery.port)
    writer.write(f"GET {target} HTTP/1.1\r\nHost: {discovery.address}\r\n\r\n".encode())
    return reader, writer


async def watch_from(discovery: DiscoveryServer, generation: int) -> Watch:
    reader, writer = await connect(discovery, f"{LIST_PATH}?watch=1&from={generation}")
    head = await reader.readuntil(b"\r\n\r\n")
    assert head.startswith(b"HTTP/1.1 200 ") and b"Transfer-Encoding: chunked" in head
    assert await discovery.opened_watches.get() == generation
    return Watch(reader, writer)


def client_of(discovery: DiscoveryServer, sink: Sink) -> Discovery:
    """The balancer's client of discovery with its real time-outs; it knows generation 41."""
    client = Discovery(asyncio.get_running_loop(), discovery.address, LIST_PATH, True, print)
    client.start(sink, 41)
    return client


# Lists


def test_the_server_listens_on_a_reserved_port() -> None:
    """Guards against a parallel test's client that still calls a port which the system gives out again."""

    async def main() -> None:
        async with DiscoveryServer([entry("s-1")]) as discovery:
            assert discovery.port in PORT_RANGE

    run_limited(main())


def test_a_fetch_gets_the_newest_list_and_its_connection_stays_open() -> None:
    async def main() -> None:
        async with DiscoveryServer([entry("s-1"), entry("s-2")], generation=41) as discovery:
            reader, writer = await connect(discovery, LIST_PATH)
            assert json.loads((await read_message(reader)).body) == discovery.whole_list()
            discovery.publish(entry("s-2", "gone"), entry("s-3"))
            writer.write(f"GET {LIST_PATH} HTTP/1.1\r\n\r\n".encode())
            parsed = json.loads((await read_message(reader)).body)
            assert parsed == {"generation": 42, "reset": True, "instances": [entry("s-1"), entry("s-3")]}
            assert discovery.watch_count == 0
            writer.close()

    run_limited(main())


def test_another_path_is_not_found() -> None:
    async def main() -> None:
        async with DiscoveryServer() as discovery:
            reader, writer = await connect(discovery, "/registry")
            assert (await read_message(reader)).status == 404
            writer.close()

    run_limited(main())


@pytest.mark.parametrize(("known", "expected"), [
    (0, (43, True, [("s-1", "draining"), ("s-3", "ready")])),
    (41, (43, False, [("s-1", "draining"), ("s-2", "gone"), ("s-3", "ready")])),
    (42, (43, False, [("s-2", "gone")])),
    (43, (43, False, [])),
    (40, (43, True, [("s-1", "draining"), ("s-3", "ready")])),
    (44, (43, True, [("s-1", "draining"), ("s-3", "ready")])),
])  # fmt: skip
def test_a_watch_begins_with_the_changes_since_its_generation_or_with_the_whole_list(
    known: int, expected: tuple[int, bool, list[tuple[str, str]]]
) -> None:
    async def main() -> None:
        async with DiscoveryServer([entry("s-1"), entry("s-2")], generation=41) as discovery:
            discovery.publish(entry("s-1", "draining"), entry("s-3"))
            discovery.publish(entry("s-2", "gone"))
            watch = await watch_from(discovery, known)
            assert await watch.next_list() == expected
            watch.writer.close()

    run_limited(main())


def test_a_watch_that_names_no_generation_begins_with_the_whole_list() -> None:
    async def main() -> None:
        async with DiscoveryServer([entry("s-1")]) as discovery:
            reader, writer = await connect(discovery, f"{LIST_PATH}?watch=1")
            await reader.readuntil(b"\r\n\r\n")
            assert await Watch(reader, writer).next_list() == (1, True, [("s-1", "ready")])
            writer.close()

    run_limited(main())


def test_changes_and_whole_lists_reach_every_open_watch() -> None:
    async def main() -> None:
        async with DiscoveryServer([entry("s-1")]) as discovery:
            watches = [await watch_from(discovery, 1) for _ in range(3)]
            assert discovery.watch_count == 3
            for watch in watches:
                assert await watch.next_list() == (1, False, [])
            discovery.publish(entry("s-1", "draining"))
            discovery.replace(entry("s-2"))
            for watch in watches:
                assert await watch.next_list() == (2, False, [("s-1", "draining")])
                assert await watch.next_list() == (3, True, [("s-2", "ready")])
                watch.writer.close()

    run_limited(main())


def test_a_watch_from_before_a_replaced_list_gets_all_of_the_new_one() -> None:
    async def main() -> None:
        async with DiscoveryServer([entry("s-1")]) as discovery:
            discovery.replace(entry("s-2"))
            for known, expected in ((1, (2, True, [("s-2", "ready")])), (2, (2, False, []))):
                watch = await watch_from(discovery, known)
                assert await watch.next_list() == expected
                watch.writer.close()

    run_limited(main())


# Heartbeats


def test_each_watch_gets_an_empty_line_every_interval() -> None:
    async def main() -> None:
        sleep = ManualSleep()
        async with DiscoveryServer([entry("s-1")], heartbeat_interval_s=0.25, sleep=sleep) as discovery:
            first = await watch_from(discovery, 1)
            second = await watch_from(discovery, 1)
            for watch in (first, second):
                await watch.next_list()
            for _ in range(3):
                for watch in (first, second):
                    assert await sleep.wake_next() == 0.25
                    assert await watch.line() == HEARTBEAT
            discovery.publish(entry("s-1", "draining"))
            for watch in (first, second):
                assert await watch.next_list() == (2, False, [("s-1", "draining")])
                watch.writer.close()

    run_limited(main())


def test_the_default_interval_is_that_of_the_protocol() -> None:
    async def main() -> None:
        sleep = ManualSleep()
        async with DiscoveryServer(sleep=sleep) as discovery:
            watch = await watch_from(discovery, 1)
            assert await sleep.wake_next() == HEARTBEAT_INTERVAL_S == 2.0
            watch.writer.close()

    run_limited(main())


def test_a_client_keeps_its_watch_while_nothing_changes() -> None:
    """Guards against a stand-in without heartbeats: the client gave up its watch, and a change was lost."""

    async def main() -> None:
        sink = Sink()
        async with DiscoveryServer([entry("s-1")], generation=41) as discovery:
            client = client_of(discovery, sink)
            assert await sink.lists.get() == (41, [])
            await asyncio.sleep(6 * STALL_TIMEOUT_S)  # virtual time
            discovery.publish(entry("s-1", "draining"))
            assert await sink.lists.get() == (42, ["s-1"])
            assert discovery.opened_watches.get_nowait() == 41
            assert discovery.opened_watches.empty() and discovery.watch_count == 1
            client.close()
            await client.wait_closed()

    run_on_virtual_time(main())


# Ends


def test_a_closed_watch_gets_no_more_heartbeats_and_others_do() -> None:
    async def main() -> None:
        sleep = ManualSleep()
        async with DiscoveryServer([entry("s-1")], sleep=sleep) as discovery:
            ended, stays = [await watch_from(discovery, 1) for _ in range(2)]
            heartbeats = [task for task in asyncio.all_tasks() if "heartbeats" in repr(task.get_coro())]
            ended.writer.close()
            done, _ = await asyncio.wait(heartbeats, return_when=asyncio.FIRST_COMPLETED)
            assert len(done) == 1 and discovery.watch_count == 1
            await stays.next_list()
            await sleep.wake_next()
            await sleep.wake_next()
            assert await stays.line() == HEARTBEAT
            discovery.publish(entry("s-1", "draining"))
            assert await stays.next_list() == (2, False, [("s-1", "draining")])
            stays.writer.close()

    run_limited(main())


def test_a_client_whose_watch_ends_opens_another_and_gets_the_missed_changes() -> None:
    async def main() -> None:
        sink = Sink()
        async with DiscoveryServer([entry("s-1")], generation=41) as discovery:
            client = client_of(discovery, sink)
            assert await sink.lists.get() == (41, [])
            discovery.end_watches()
            assert discovery.watch_count == 0
            discovery.publish(entry("s-1", "draining"))
            assert await sink.lists.get() == (42, ["s-1"])
            assert [discovery.opened_watches.get_nowait() for _ in range(2)] == [41, 41]
            client.close()
            await client.wait_closed()

    run_on_virtual_time(main())


def test_close_ends_every_connection_and_a_start_serves_the_port_again() -> None:
    async def main() -> None:
        discovery = DiscoveryServer([entry("s-1")])
        async with discovery:
            watch = await watch_from(discovery, 1)
            await watch.next_list()
            fetch_reader, fetch_writer = await connect(discovery, LIST_PATH)
            await read_message(fetch_reader)
        assert discovery.watch_count == 0
        for reader in (watch.reader, fetch_reader):
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await reader.readexactly(1)
        for writer in (watch.writer, fetch_writer):
            writer.close()
        with pytest.raises(ConnectionError):
            await asyncio.open_connection("127.0.0.1", discovery.port)
        discovery.publish(entry("s-2"))  # no watch is open
        await discovery.start(discovery.port)
        watch = await watch_from(discovery, 1)
        assert await watch.next_list() == (2, False, [("s-2", "ready")])
        watch.writer.close()
        await discovery.close()
        await discovery.close()

    run_limited(main())


@pytest.mark.parametrize("options", [{"generation": 0}, {"heartbeat_interval_s": 0.0}])
def test_invalid_options_are_rejected(options: dict[str, Any]) -> None:
    with pytest.raises(ValueError, match="positive"):
        DiscoveryServer(**options)
