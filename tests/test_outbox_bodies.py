"""Large bodies of queued writes, stored as they arrive and streamed when replayed.

Runs over loopback sockets, on a simulated disk that the test fills, stalls, and stops at each of its steps.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import os
import random
import socket
import threading
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from dataclasses import dataclass, field
from hashlib import blake2b
from pathlib import Path
from typing import Any, cast

import pytest
from laurelstep.balancing.events import NO_CONNECT
from laurelstep.engine.body_stream import BodyStream
from laurelstep.flow_control.buffer_budget import MAX_BUFFERED_BYTES
from laurelstep.net.assembly import Assembly
from laurelstep.net.message import MAX_STREAMED_BODY_BYTES
from laurelstep.net.server import Server
from laurelstep.outbox import bodies, replay_driver
from laurelstep.outbox import driver as driving
from laurelstep.outbox.bodies import (
    MAX_BUFFERED_BYTES_PER_WRITE,
    MAX_UNSTREAMED_BYTES,
    BodyReplay,
    BodySpool,
    IncomingBody,
)
from laurelstep.outbox.driver import OutboxDriver
from laurelstep.outbox.options import BODY_PART_BYTES, OutboxSettings, QueuedClass
from laurelstep.outbox.queue_store import QueueStore
from laurelstep.outbox.records import WriteState
from laurelstep.outbox.write_ids import WriteId
from laurelstep.settings import config_from
from laurelstep.testing import after, answer, serve, whole_list
from laurelstep.testing.contracts.outbox import write_with_body
from laurelstep.testing.disk import SimulatedDisk
from laurelstep.testing.endpoints import Listener

from tests.sockets import SETTINGS, TEST_TIMEOUT_S, Endpoint, Message, Reader, Writer, read_message, run
from tests.test_outbox_daemon import edge as daemon

NO_SPACE = OSError(errno.ENOSPC, "No space left on device")
# The most that one read of a socket returns.
MAX_READ_BYTES = 256 * 1024
# The most that one write may buffer: what arrived before its body turned out to be too large to hold, or the
# mark at which reading pauses; and one read beyond it.
MAX_BUFFERED = max(MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES_PER_WRITE) + MAX_READ_BYTES
CLASSES = {"put": QueuedClass("keyed", 86_400_000_000), "pay": QueuedClass("unsafe")}


class Disk(SimulatedDisk):
    """A disk that can be full or stalled.

    `free_bytes`: how much may still be written; None is unbounded. While `may_sync` is not set, syncs wait.
    """

    def __init__(self) -> None:
        super().__init__()
        self.free_bytes: int | None = None
        self.may_sync = threading.Event()
        self.may_sync.set()

    def write(self, name: str, offset: int, data: bytes) -> None:
        if self.free_bytes is not None and any(data):  # zeros are preallocation
            self.free_bytes -= len(data)
            if self.free_bytes < 0:
                raise NO_SPACE
        super().write(name, offset, data)

    def create(self, name: str, data: bytes) -> None:
        if self.free_bytes is not None and self.free_bytes < 0:
            raise NO_SPACE
        super().create(name, data)

    def sync(self, name: str) -> None:
        self.may_sync.wait(TEST_TIMEOUT_S)
        super().sync(name)


def body_of(size: int, seed: int = 1) -> bytes:
    return random.Random(seed).randbytes(size)


def split(body: bytes) -> list[bytes]:
    return [body[at : at + 50_000] for at in range(0, len(body), 50_000)]


@dataclass
class Edge:
    """One process with an outbox, simulated inside the test process, and the endpoint behind its link."""

    driver: OutboxDriver
    server: Server
    endpoint: Endpoint
    disk: SimulatedDisk
    port: int
    log: list[str]
    clients: list[Writer] = field(default_factory=list)

    async def begin(
        self, name: str, size: int, headers: str = "", cls: str = "put", chunked: bool = False
    ) -> tuple[Reader, Writer]:
        """Send the head of a write without its body."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.clients.append(writer)
        key = f"Idempotency-Key: k-{name}\r\n" if cls == "put" and "Idempotency" not in headers else ""
        framing = "Transfer-Encoding: chunked" if chunked else f"Content-Length: {size}"
        writer.write(
            f"POST /{cls} HTTP/1.1\r\nHost: x\r\nX-Request-Id: {name}\r\nX-Class: {cls}\r\n{key}{headers}"
            f"{framing}\r\n\r\n".encode()
        )
        return reader, writer

    async def write(
        self, name: str, body: bytes, headers: str = "", cls: str = "put", chunked: bool = False
    ) -> Message:
        reader, writer = await self.begin(name, len(body), headers, cls, chunked)
        with contextlib.suppress(ConnectionError):  # it may be refused before all of it was sent
            for part in split(body):
                writer.write(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)
                await writer.drain()
            if chunked:
                writer.write(b"0\r\n\r\n")
        return await read_message(reader)

    async def cut_off(self) -> None:
        """Take the link down, and make the driver detect that. Queues the write `prime`."""
        self.endpoint.stop()
        self.driver.on_attempt_ended(1, NO_CONNECT)
        assert self.driver.cutoff.is_cut_off
        assert (await self.write("prime", b"")).status == 202

    async def until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            await asyncio.sleep(0)

    async def settle(self) -> None:
        """Wait until no body is being received and no task of the body spool runs."""

        def is_busy() -> bool:
            tasks = [cast(Any, task.get_coro()).__qualname__ for task in self.driver.tasks]
            return bool(self.driver.bodies.receiving) or any(
                name.startswith(f"{BodySpool.__name__}.") for name in tasks
            )

        await self.until(lambda: not is_busy())

    async def done(self, name: str) -> None:
        """Wait until no write is open; `name` has to have run."""
        await self.until(lambda: not self.driver.outbox.count)
        assert name in self.endpoint.effects.by_id

    def abort_clients(self) -> None:
        for writer in self.clients:
            writer.transport.abort()

    @property
    def parts(self) -> int:
        return sum(1 for key in self.driver.store.store.index.locations if key[:1] == b"p")

    def got(self, name: str) -> Message:
        """The last request with this id that the endpoint got."""
        return [request for request in self.endpoint.requests if request.headers["x-request-id"] == name][-1]


async def _start(
    disk: SimulatedDisk, endpoint: Endpoint, stack: contextlib.AsyncExitStack, changes: dict[str, Any]
) -> Edge:
    raw = {
        "seed": "1", "settings": SETTINGS, "limits": {"sockets": 152},
        "known": whole_list(endpoint.entry()),
    }  # fmt: skip
    config = config_from(raw, "test")
    config.names.queueable_classes = frozenset(config.names.classes[name] for name in CLASSES)
    log: list[str] = []
    chosen = {"cut_us": 0, "back_us": 1, "body_bytes": 16 << 20, **changes}
    # The store takes a disk as well as a folder.
    settings = OutboxSettings(store_path=cast(str, disk), edge="studio-1", classes=CLASSES, **chosen)
    driver = await OutboxDriver.open(settings, config.names.classes, config.names.tenants, log.append)
    stack.push_async_callback(driver.close)
    driver.outbox.pace._hold_us = 0
    loop = asyncio.get_running_loop()
    parts = Assembly(loop, config, log.append)
    stack.callback(parts.close)
    parts.start()
    driver.begin(parts.engine)
    server = Server(loop, parts.engine)
    server.uploading.timeout_s = TEST_TIMEOUT_S  # tests send some bodies in part, on slow machines too
    port = await server.listen("127.0.0.1", 0)
    assert server.listener is not None
    stack.callback(server.listener.close)
    edge_process = Edge(driver, server, endpoint, disk, port, log)
    stack.callback(edge_process.abort_clients)
    return edge_process


@contextlib.asynccontextmanager
async def edge(disk: SimulatedDisk | None = None, off: bool = True, **changes: Any) -> AsyncIterator[Edge]:
    """A process with an outbox. If `off`, it is cut off and the small write `prime` is queued."""
    async with asyncio.timeout(TEST_TIMEOUT_S), Endpoint() as endpoint, contextlib.AsyncExitStack() as stack:
        started = await _start(disk or Disk(), endpoint, stack, changes)
        if off:
            await started.cut_off()
        yield started


@contextlib.asynccontextmanager
async def restart(before: Edge, disk: SimulatedDisk) -> AsyncIterator[Edge]:
    async with contextlib.AsyncExitStack() as stack:
        yield await _start(disk, before.endpoint, stack, {})


@pytest.fixture(autouse=True)
def no_retry_delay(monkeypatch: pytest.MonkeyPatch) -> None:
    """Retry at once instead of after a second."""
    monkeypatch.setattr(bodies, "DELETION_RETRY_S", 0.0)
    monkeypatch.setattr(replay_driver, "REPLAY_INTERVAL_US", 10_000)
    monkeypatch.setattr(driving, "CLOSE_TIMEOUT_S", 0.0)


@pytest.fixture(autouse=True)
def reserve_ports(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """Keep a stopped endpoint's port bound: it refuses connections, and no other process gets it."""
    holders: dict[int, socket.socket] = {}
    stop = Endpoint.stop

    def stop_and_hold(endpoint: Endpoint) -> None:
        stop(endpoint)
        if endpoint.port not in holders:
            holder = holders[endpoint.port] = socket.socket()
            with contextlib.suppress(OSError):
                holder.bind(("127.0.0.1", endpoint.port))

    def start(endpoint: Endpoint, port: int = 0) -> Coroutine[Any, Any, asyncio.Server]:
        if port in holders:
            holders.pop(port).close()
        return Listener.start(endpoint, port)

    monkeypatch.setattr(Endpoint, "stop", stop_and_hold)
    monkeypatch.setattr(Endpoint, "start", start)
    yield
    for holder in holders.values():
        holder.close()


def record_buffered(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """Record the buffered bytes of a body at each change."""
    sizes: list[int] = []
    add_buffered = IncomingBody._add_buffered

    def counted(self: IncomingBody, size_change: int) -> None:
        add_buffered(self, size_change)
        sizes.append(self.buffered_bytes)

    monkeypatch.setattr(IncomingBody, "_add_buffered", counted)
    return sizes


# --- Queued and replayed ------------------------------------------------------------------


def test_a_12_mb_body_is_queued_in_bounded_memory_and_replayed_unchanged(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held, body = record_buffered(monkeypatch), body_of(12 << 20)

    async def main() -> None:
        async with edge() as node:
            kept = await node.write("photo", body, "Content-Type: image/jpeg\r\n")
            assert kept.status == 202 and "/outbox/receipts/" in kept.headers["location"]
            await node.settle()
            assert node.driver.outbox.size == len(body) and node.driver.bodies.buffered_bytes == 0
            assert len(held) > 12 and 0 < max(held) <= MAX_BUFFERED
            head = await node.driver.store.head(WriteId("studio-1", node.driver.store.incarnation, 2))
            assert head is not None
            write, _ = head
            assert write.digest == blake2b(b"POST /put\n" + body, digest_size=16).digest()
            async with restart(node, node.disk.lose_power()) as restarted:
                await node.endpoint.restart(0)
                await restarted.done("photo")
                got = restarted.got("photo")
                assert got.body == body and got.headers["content-length"] == str(len(body))
                assert got.headers["content-type"] == "image/jpeg"
                assert not node.endpoint.effects.executed_twice()
                await restarted.until(
                    lambda: restarted.parts == 0
                )  # bodies are deleted some time after the final state

    run(main())


def test_reading_from_the_client_pauses_while_the_disk_stalls(monkeypatch: pytest.MonkeyPatch) -> None:
    held, body = record_buffered(monkeypatch), body_of(6 << 20)

    async def main() -> None:
        disk = Disk()
        async with edge(disk) as node:
            disk.may_sync.clear()
            try:
                sending = asyncio.create_task(node.write("photo", body))
                await node.until(
                    lambda: any(body.is_paused for body in node.driver.bodies.receiving.values())
                )
                (coming,) = node.driver.bodies.receiving.values()
                came = coming.received_bytes
                for _ in range(1_000):  # no more is read
                    await asyncio.sleep(0)
                assert (
                    coming.received_bytes == came < len(body)
                    and coming.buffered_bytes <= MAX_BUFFERED
                    and not sending.done()
                )
            finally:
                disk.may_sync.set()
            assert (await sending).status == 202 and max(held) <= MAX_BUFFERED

    run(main())


def test_the_bound_is_exceeded_if_reading_does_not_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    held = record_buffered(monkeypatch)
    monkeypatch.setattr(bodies, "MAX_BUFFERED_BYTES_PER_WRITE", MAX_STREAMED_BODY_BYTES)

    async def main() -> None:
        disk = Disk()
        async with edge(disk) as node:
            disk.may_sync.clear()
            try:
                sending = asyncio.create_task(node.write("photo", body_of(6 << 20)))
                await node.until(lambda: max(held, default=0) > MAX_BUFFERED)
            finally:
                disk.may_sync.set()
            assert (await sending).status == 202

    run(main())


def test_a_chunked_body_counts_as_the_largest_until_its_size_is_known() -> None:
    body = body_of(3 << 20)

    async def main() -> None:
        async with edge() as node:
            reader, writer = await node.begin("photo", 0, chunked=True)
            parts = split(body)
            for part in parts[:-1]:
                writer.write(b"%x\r\n%b\r\n" % (len(part), part))
                await writer.drain()
            await node.until(lambda: bool(node.driver.bodies.receiving))
            assert node.driver.outbox.size == 16 << 20
            writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(parts[-1]), parts[-1]))
            assert (await read_message(reader)).status == 202
            assert node.driver.outbox.size == len(body)
            await node.endpoint.restart(0)
            await node.done("photo")
            assert node.got("photo").body == body and node.driver.outbox.size == 0

    run(main())


def test_a_body_that_depends_on_a_queued_write_is_queued_while_the_link_is_up() -> None:
    body = body_of(2 << 20)

    async def main() -> None:
        async with edge() as node:
            gate = asyncio.Event()
            album = await node.write("album", b"a", "X-Session: anna\r\n")
            node.endpoint.handler = after(gate, serve())
            await node.endpoint.restart(0)
            await node.until(lambda: not node.driver.cutoff.is_cut_off or bool(node.driver.in_flight))
            photo = await node.write("photo", body, "X-Session: anna\r\n")
            named = await node.write(
                "named", body, f"X-Follows: {photo.headers['x-causal-token']}\r\n", cls="pay"
            )
            assert (album.status, photo.status, named.status) == (202, 202, 202)
            gate.set()
            await node.done("named")
            ran = [name for name in node.endpoint.effects.by_id if name != "prime"]
            assert ran == ["album", "photo", "named"] and node.got("named").body == body

    run(main())


def test_a_body_partly_sent_upstream_is_not_queued() -> None:
    async def main() -> None:
        async with edge(off=False) as node:

            async def break_off(reader: Reader, writer: Writer) -> None:
                await reader.readexactly(2_000)
                writer.transport.abort()

            node.endpoint._serve = break_off  # type: ignore[method-assign]
            await node.endpoint.restart(0)
            answer = await node.write("photo", body_of(4 << 20))
            assert answer.status in (502, 503, 504) and "location" not in answer.headers
            assert node.driver.outbox.count == 0 and node.parts == 0

    run(main())


def test_a_body_that_reached_no_endpoint_is_queued_before_the_cutoff_is_detected() -> None:
    body = body_of(2 << 20)

    async def main() -> None:
        async with edge(off=False, cut_us=3_600_000_000) as node:
            node.endpoint.stop()
            assert (await node.write("photo", body)).status == 202
            assert not node.driver.cutoff.is_cut_off
            await node.endpoint.restart(0)
            await node.done("photo")
            assert node.got("photo").body == body

    run(main())


def test_a_replay_that_breaks_off_in_the_body_is_repeated_and_runs_once() -> None:
    body = body_of(8 << 20)

    async def main() -> None:
        async with edge() as node:
            assert (await node.write("photo", body, cls="pay")).status == 202
            broken = asyncio.Event()

            async def break_off(reader: Reader, writer: Writer) -> None:
                head = await reader.readuntil(b"\r\n\r\n")
                if b"x-request-id: photo" in head.lower():
                    await reader.readexactly(100_000)
                    broken.set()
                else:
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                    await writer.drain()
                writer.close() if b"photo" not in head else writer.transport.abort()

            serves = node.endpoint._serve
            node.endpoint._serve = break_off  # type: ignore[method-assign]
            await node.endpoint.restart(0)
            await broken.wait()
            node.endpoint._serve = serves  # type: ignore[method-assign]
            await node.endpoint.restart(0)
            await node.done("photo")
            assert node.got("photo").body == body and node.endpoint.effects.by_id["photo"] == 1
            assert not node.driver.parked

    run(main())


def test_a_replay_whose_answer_is_lost_is_parked_if_unsafe_and_repeated_if_keyed() -> None:
    body = body_of(1 << 20)

    async def lost_at_first(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        name, before = message.headers["x-request-id"], endpoint.effects.dropped_count
        endpoint.effects.execute(message)
        if name == "order" or (name == "photo" and endpoint.effects.dropped_count == before):
            writer.transport.abort()
        else:
            writer.write(answer(200))

    async def main() -> None:
        async with edge() as node:
            assert (await node.write("order", body, cls="pay")).status == 202
            assert (await node.write("photo", body)).status == 202
            node.endpoint.handler = lost_at_first
            await node.endpoint.restart(0)
            await node.until(lambda: node.driver.outbox.count == 1 and len(node.driver.parked) == 1)
            assert dict(node.endpoint.effects.by_id) == {"prime": 1, "photo": 1, "order": 1}
            assert node.endpoint.effects.dropped_count == 1 and node.got("photo").body == body

    run(main())


# --- Not queued ---------------------------------------------------------------------------


def has_only_prime(node: Edge) -> bool:
    """Whether the outbox has only the write `prime` and no parts of any other."""
    outbox = node.driver.outbox
    return (outbox.count, outbox.size, node.parts, node.driver.bodies.buffered_bytes) == (1, 0, 0, 0)


def test_a_body_declared_too_large_is_answered_as_without_an_outbox() -> None:
    async def main() -> None:
        async with edge(body_bytes=1 << 20) as node:
            answer = await node.write("photo", body_of((2 << 20) + 1))
            assert answer.status in (502, 503, 504) and "location" not in answer.headers
            assert has_only_prime(node)
            assert (await node.write("small", body_of(1 << 20))).status == 202

    run(main())


def test_a_chunked_body_that_becomes_too_large_is_refused_and_leaves_nothing() -> None:
    async def main() -> None:
        async with edge(body_bytes=2 << 20) as node:
            answer = await node.write("photo", body_of(4 << 20), chunked=True)
            assert answer.status == 503 and float(answer.headers["retry-after"]) > 0
            await node.settle()
            assert has_only_prime(node)
            assert (await node.write("photo", body_of(2 << 20), chunked=True)).status == 202

    run(main())


def test_the_bounds_are_checked_before_the_first_part_is_stored() -> None:
    async def main() -> None:
        async with edge(max_bytes=6 << 20, tenant_share=0.5, body_bytes=4 << 20) as node:
            stored_parts: list[int] = []
            put_parts = node.driver.store.put_parts

            async def recorded(write_id: WriteId, first_number: int, parts: Any) -> None:
                stored_parts.append(first_number)
                await put_parts(write_id, first_number, parts)

            node.driver.store.put_parts = recorded  # type: ignore[method-assign]
            for chunked in (False, True):  # a chunked body counts as 4 MB, which is over the tenant's share
                answer = await node.write("photo", body_of(3_500_000), chunked=chunked)
                assert answer.status in (502, 503, 504) and "location" not in answer.headers
            assert has_only_prime(node) and not stored_parts
            assert (await node.write("photo", body_of(3 << 20))).status == 202 and stored_parts

    run(main())


def test_the_numbers_of_receiving_and_of_waiting_bodies_are_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(bodies, "MAX_RECEIVING", 2)
    monkeypatch.setattr(bodies, "MAX_WAITING", 1)
    body = body_of(2 << 20)

    async def main() -> None:
        async with edge() as node:
            assert (await node.write("album", b"", "X-Session: anna\r\n")).status == 202
            begun: list[tuple[Reader, Writer]] = []
            for name in ("a", "b"):
                reader, writer = await node.begin(name, len(body))
                writer.write(body[:-1])
                await node.until(lambda: len(node.driver.bodies.receiving) == len(begun) + 1)
                begun.append((reader, writer))
            waits = asyncio.create_task(node.write("c", body))
            await node.until(lambda: len(node.driver.bodies.waiting) == 1)
            refused = await node.write("d", body, "X-Session: anna\r\n")
            assert refused.status == 503 and float(refused.headers["retry-after"]) > 0
            assert [body.received_bytes > 0 for body in node.driver.bodies.receiving.values()] == [
                True,
                True,
                False,
            ]
            for reader, writer in begun:
                writer.write(body[-1:])
                assert (await read_message(reader)).status == 202
            assert (await waits).status == 202 and not node.driver.bodies.waiting

    run(main())


def test_a_waiting_body_whose_client_leaves_is_not_received(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(bodies, "MAX_RECEIVING", 1)
    body = body_of(2 << 20)

    async def main() -> None:
        async with edge() as node:
            reader, writer = await node.begin("a", len(body))
            writer.write(body[:-1])
            await node.until(lambda: len(node.driver.bodies.receiving) == 1)
            leaver = await node.begin("b", len(body))
            leaver[1].write(body[:-1])
            await node.until(lambda: len(node.driver.bodies.waiting) == 1)
            # While reading from the client is paused, its disconnect is not noticed.
            node.driver.on_call_closed(node.driver.bodies.waiting[0].call)
            await node.until(lambda: len(node.driver.bodies.receiving) == 1)
            writer.write(body[-1:])
            assert (await read_message(reader)).status == 202
            await node.settle()
            assert not node.driver.bodies.waiting and node.driver.outbox.count == 2

    run(main())


@pytest.mark.parametrize("room", [0, 300_000, 1_200_000, 2_000_000])
def test_a_disk_that_fills_up_during_a_body_keeps_nothing_and_the_client_is_refused(room: int) -> None:
    async def main() -> None:
        disk = Disk()
        async with edge(disk) as node:
            disk.free_bytes = room
            answer = await node.write("photo", body_of(3 << 20))
            assert answer.status == 503 and float(answer.headers["retry-after"]) > 0
            assert any("not kept" in line for line in node.log)
            for later_disk in (disk.lose_power(), disk.lose_power(keeps_all=True)):
                store = await QueueStore.open(later_disk, 64 << 20)
                ((write, _),) = (await store.load()).writes
                head = await store.head(write.write_id)
                assert head is not None and head[0].method_and_target == b"POST /put"
                assert not [key for key in store.store.index.locations if key[:1] == b"p"]
                await store.close()
            # Nothing is left in this process either, once the disk has room.
            disk.free_bytes = None
            node.driver.store.store.availability.retry_at = 0.0
            await node.settle()
            assert has_only_prime(node)
            assert (await node.write("photo", body_of(3 << 20))).status == 202
            await node.endpoint.restart(0)
            await node.done("photo")
            assert node.got("photo").body == body_of(3 << 20)

    run(main())


@pytest.mark.parametrize("operations", [("write", "create"), ("sync", "sync_folder")])
@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
def test_a_disk_failure_loses_no_queued_write_and_runs_no_rejected_one(
    number: int, operations: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Once the disk works again, the result of a replay is stored and new writes are queued."""
    monkeypatch.setattr(replay_driver, "STATE_RETRY_S", 0.0)

    async def main() -> None:
        disk = Disk()
        async with edge(disk) as node:
            assert (await node.write("before", b"x" * 100, cls="pay")).status == 202
            disk.fail_always(OSError(number, os.strerror(number)), *operations)
            for size in (10, 2 << 20):
                answer = await node.write(f"during-{size}", bytes(size))
                assert answer.status in (502, 503), "answered, and not acknowledged as queued"
            disk.clear_errors()
            node.driver.store.store.availability.retry_at = 0.0
            await node.settle()
            assert (await node.write("after", b"y")).status == 202

            async def break_again(endpoint: Endpoint, message: Message, writer: Writer) -> None:
                if message.headers["x-request-id"] == "before":
                    disk.fail_always(OSError(number, os.strerror(number)), *operations)
                await serve()(endpoint, message, writer)

            node.endpoint.handler = break_again
            await node.endpoint.restart(0)
            await node.until(lambda: any("its end is not written" in line for line in node.log))
            assert node.driver.outbox.count > 0
            disk.clear_errors()
            node.driver.store.store.availability.retry_at = 0.0
            await node.until(lambda: not node.driver.outbox.count)
            effects = node.endpoint.effects.by_id
            assert effects["before"] == 1 and effects["after"] == 1 and not node.driver.parked
            assert not any(name.startswith("during") for name in effects)
            async with restart(node, disk.kill()) as later:
                assert not later.driver.outbox.count and not later.driver.parked

    run(main())


def test_a_write_that_may_be_found_later_is_answered_as_may_have_run(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        disk = Disk()
        async with edge(disk) as node:
            put_head = node.driver.store.put_head

            async def fail(*args: Any) -> None:
                disk.fail("sync", NO_SPACE)
                await put_head(*args)

            monkeypatch.setattr(node.driver.store, "put_head", fail)
            answer = await node.write("photo", body_of(2 << 20))
            assert answer.status == 502 and answer.headers["x-may-have-run"] == "1"
            node.driver.store.store.availability.retry_at = 0.0
            await node.settle()
            assert has_only_prime(node)

    run(main())


@pytest.mark.parametrize("sent", [1_200_000, 2_000_000, (3 << 20) - 1])
def test_a_body_whose_client_disconnects_leaves_nothing(sent: int) -> None:
    body = body_of(3 << 20)

    async def main() -> None:
        async with edge() as node:
            _, writer = await node.begin("photo", len(body))
            writer.write(body[:sent])
            await writer.drain()
            await node.until(lambda: node.parts > 0)
            writer.transport.abort()
            await node.until(lambda: not node.driver.bodies.receiving)
            await node.settle()
            assert has_only_prime(node)
            assert (await node.write("photo", body)).status == 202

    run(main())


def test_a_write_that_depends_on_a_body_that_broke_off_is_replayed_without_it() -> None:
    async def main() -> None:
        async with edge() as node:
            _, writer = await node.begin("photo", 2 << 20, "X-Session: anna\r\n")
            writer.write(body_of(1_500_000))
            await node.until(lambda: bool(node.driver.bodies.receiving))
            assert (await node.write("order", b"", "X-Session: anna\r\n", cls="pay")).status == 202
            await node.endpoint.restart(0)
            await node.until(lambda: node.endpoint.effects.by_id["prime"] == 1)
            assert "order" not in node.endpoint.effects.by_id
            writer.transport.abort()
            await node.done("order")
            assert "photo" not in node.endpoint.effects.by_id

    run(main())


# --- Repeated idempotency keys ------------------------------------------------------------


def test_a_repeat_gets_the_same_receipt_and_a_different_body_a_conflict() -> None:
    body, other = body_of(2 << 20), body_of(2 << 20, seed=2)

    async def main() -> None:
        async with edge() as node:
            first = await node.write("photo", body)
            before = node.parts
            repeat = await node.write("photo", body, chunked=True)
            assert first.status == repeat.status == 202
            assert first.headers["x-causal-token"] == repeat.headers["x-causal-token"]
            assert (await node.write("photo", other)).status == 422
            assert (await node.write("photo", b"small")).status == 422
            assert node.parts == before and node.driver.outbox.count == 2
            assert not node.driver.bodies.digests and not node.driver.bodies.first_bodies
            await node.endpoint.restart(0)
            await node.done("photo")
            assert node.got("photo").body == body

    run(main())


def test_a_repeat_while_the_first_body_is_still_arriving() -> None:
    body, other = body_of(2 << 20), body_of(2 << 20, seed=2)
    key = "Idempotency-Key: k\r\n"

    async def main() -> None:
        async with edge() as node:
            reader, writer = await node.begin("photo", len(body), key)
            writer.write(body[:-1])
            await node.until(lambda: len(node.driver.bodies.receiving) == 1)
            same = asyncio.create_task(node.write("again", body, key))
            different = asyncio.create_task(node.write("other", other, key))
            await node.until(lambda: [len(calls) for calls in node.driver.storing.values()] == [3])
            writer.write(body[-1:])
            first = await read_message(reader)
            assert first.status == 202 and (await different).status == 422
            assert (await same).headers["x-causal-token"] == first.headers["x-causal-token"]
            await node.settle()
            assert node.driver.outbox.count == 2 and not node.driver.bodies.digests

    run(main())


def test_a_repeat_of_a_body_that_broke_off_is_refused() -> None:
    body, key = body_of(2 << 20), "Idempotency-Key: k\r\n"

    async def main() -> None:
        async with edge() as node:
            _, writer = await node.begin("photo", len(body), key)
            writer.write(body[:-1])
            await node.until(lambda: len(node.driver.bodies.receiving) == 1)
            late, late_writer = await node.begin("late", len(body), key)
            late_writer.write(body[:-1])
            await node.until(lambda: len(node.driver.bodies.receiving) == 2)
            waits = asyncio.create_task(node.write("waits", body, key))
            await node.until(lambda: [len(calls) for calls in node.driver.storing.values()] == [2])
            writer.transport.abort()
            answer = await waits
            assert answer.status == 503 and float(answer.headers["retry-after"]) > 0
            late_writer.write(body[-1:])
            assert (await read_message(late)).status == 503
            await node.settle()
            assert has_only_prime(node) and not node.driver.bodies.digests
            assert (await node.write("photo", body, key)).status == 202

    run(main())


# --- Power loss at each step --------------------------------------------------------------


def test_power_loss_at_any_step_leaves_acknowledged_writes_whole_and_no_parts_of_others() -> None:
    body = body_of(1_500_000)
    journal: list[Any] = []

    async def upload() -> None:
        disk = Disk()
        async with edge(disk) as node:
            disk.mark("begins")
            assert (await node.write("photo", body)).status == 202
            disk.mark("acknowledged")
            await node.settle()
            journal.extend(disk.journal)

    async def recovered(disk: SimulatedDisk) -> list[bytes]:
        store = await QueueStore.open(disk, 64 << 20)
        writes = (await store.load()).writes
        loaded = [stored for write, _ in writes if (stored := await store.read(write.write_id)) is not None]
        assert len(loaded) == len(writes)
        parts = {key for key in store.store.index.locations if key[:1] == b"p"}
        assert len(parts) == sum(-(-write.size // BODY_PART_BYTES) - 1 for write, _ in loaded if write.size)
        await store.close()
        return [body for _, body in loaded]

    async def main() -> None:
        await upload()
        marks = [("mark", "begins"), ("mark", "acknowledged")]
        begins, acknowledged = (journal.index(mark) for mark in marks)
        assert acknowledged - begins > 12, "several parts, each with its own disk steps"
        write_counts = set()
        for step in range(begins, len(journal) + 1):
            cuts: list[Callable[[SimulatedDisk], SimulatedDisk]] = [
                lambda disk: disk.lose_power(),
                lambda disk: disk.lose_power(keeps_all=True),
                lambda disk, step=step: disk.lose_power(random.Random(step)),  # type: ignore[misc]
            ]
            for cut in cuts:
                found_bodies = await recovered(cut(SimulatedDisk.replay(journal[:step])))
                assert found_bodies in ([b""], [b"", body]), f"step {step}"
                assert step <= acknowledged or len(found_bodies) == 2, (
                    f"step {step}: acknowledged, but missing"
                )
                write_counts.add(len(found_bodies))
        assert write_counts == {1, 2}

    run(main())


# --- Streaming a replay -------------------------------------------------------------------


class PausingSink:
    """A sink that pauses its stream after each part while `pauses`."""

    def __init__(self, upload: BodyStream) -> None:
        self.upload = upload
        self.got: list[bytes] = []
        self.is_complete: bool | None = None
        self.pauses = True

    def on_data(self, data: bytes) -> None:
        self.got.append(data)
        if self.pauses:
            self.upload.pause()

    def on_end(self, complete: bool) -> None:
        self.is_complete = complete


def run_replay(
    test: Callable[[QueueStore, BodyReplay, PausingSink, list[int]], Coroutine[Any, Any, None]],
) -> None:
    """Run `test` with a store that has a write of five parts, the write's replay, a sink, and a list.

    The list gets the number of each part that is read from the store.
    """

    async def main() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            store = await QueueStore.open(SimulatedDisk(), 64 << 20)
            await store.load()
            write, body = write_with_body(1, 300_000)
            await store.put_write(write, body)
            read: list[int] = []
            part = store.part

            async def counted(write_id: WriteId, part_number: int) -> bytes:
                read.append(part_number)
                return await part(write_id, part_number)

            class Driver:
                engine = None
                log = staticmethod(lambda line: None)

            Driver.store = store  # type: ignore[attr-defined]
            store.part = counted  # type: ignore[method-assign]

            class Spool:
                driver = Driver

            class ReplayCall:
                upload: BodyStream

            call = ReplayCall()
            playback = BodyReplay(cast(BodySpool, Spool), cast(Any, call), write, body[:BODY_PART_BYTES])
            call.upload = BodyStream(playback, write.size)
            await test(store, playback, PausingSink(call.upload), read)
            await store.close()

    run(main())


def test_at_most_one_part_is_read_ahead_of_a_paused_sink() -> None:
    async def test(store: QueueStore, playback: BodyReplay, sink: PausingSink, read: list[int]) -> None:
        sink.upload.attach(sink)
        assert playback.task is None, "nothing is read before a sink is attached"
        for number in range(1, 6):
            sink.upload.resume()
            while len(sink.got) < number:
                await asyncio.sleep(0)
            for _ in range(100):
                await asyncio.sleep(0)
            assert len(sink.got) == number and len(read) <= number
        assert playback.task is not None
        await playback.task
        assert b"".join(sink.got) == write_with_body(1, 300_000)[1] and sink.is_complete is True

    run_replay(test)


def test_a_missing_part_ends_the_stream_as_incomplete() -> None:
    async def test(store: QueueStore, playback: BodyReplay, sink: PausingSink, read: list[int]) -> None:
        sink.pauses = False
        await store.store.delete(sorted(key for key in store.store.index.locations if key[:1] == b"p")[-1])
        sink.upload.attach(sink)
        sink.upload.resume()
        while sink.is_complete is None:
            await asyncio.sleep(0)
        assert sink.is_complete is False and len(sink.got) == 4

    run_replay(test)


def test_abandoning_the_stream_stops_the_reading() -> None:
    async def test(store: QueueStore, playback: BodyReplay, sink: PausingSink, read: list[int]) -> None:
        sink.upload.attach(sink)
        sink.upload.resume()
        while not sink.got:
            await asyncio.sleep(0)
        sink.upload.abandon()
        assert playback.task is not None
        await asyncio.wait((playback.task,))
        assert playback.task.cancelled() and len(sink.got) == 1 and len(read) <= 1

    run_replay(test)


def test_a_small_body_is_replayed_from_memory_and_a_large_one_is_streamed() -> None:
    async def main() -> None:
        async with edge() as node:
            for name, size in (("small", MAX_UNSTREAMED_BYTES), ("large", MAX_UNSTREAMED_BYTES + 1)):
                node.server.request_budget.limit = (
                    0  # every body that does not arrive with its head is streamed
                )
                assert (await node.write(name, body_of(size))).status == 202
            await node.settle()
            uploads = {}
            load_call = node.driver.bodies.load_call

            async def recorded(write_id: WriteId, replay: Any) -> Any:
                call = await load_call(write_id, replay)
                if call is not None:
                    uploads[write_id.number] = call.upload is not None, len(call.body)
                return call

            node.driver.bodies.load_call = recorded  # type: ignore[method-assign]
            await node.endpoint.restart(0)
            await node.done("large")
            assert uploads == {1: (False, 0), 2: (False, MAX_UNSTREAMED_BYTES), 3: (True, 0)}
            for number in (2, 3):
                moved = await node.driver.store.state_change(
                    WriteId("studio-1", node.driver.store.incarnation, number)
                )
                assert moved is not None and moved.state is WriteState.DONE and moved.status == 200

    run(main())


def test_a_streamed_replay_ends_within_the_window_of_its_key() -> None:
    async def main() -> None:
        async with edge() as node:
            assert (await node.write("photo", body_of(2 << 20))).status == 202
            assert (await node.write("order", body_of(2 << 20), cls="pay")).status == 202
            outbox, now = node.driver.outbox, node.driver.now()
            photo, order = (WriteId("studio-1", node.driver.store.incarnation, at) for at in (2, 3))
            for remaining_us, limit_us in (
                (3_600_000_000, bodies.MAX_REPLAY_UPLOAD_US + 5_000_000),
                (7_000_000, 7_000_000),
            ):
                for write_id in (photo, order):
                    outbox._rows.since[outbox._require_row(write_id)] = (
                        now - CLASSES["put"].window_us + remaining_us
                    )
                call = await node.driver.bodies.load_call(photo, cast(Any, None))
                assert call is not None and 0 < call.expires_at - now <= limit_us + 1_000_000
                call = await node.driver.bodies.load_call(order, cast(Any, None))
                assert call is not None and call.expires_at > now + bodies.MAX_REPLAY_UPLOAD_US

    run(main())


# --- A process that is killed -------------------------------------------------------------


def test_a_process_killed_during_a_body_keeps_nothing_and_after_the_202_everything(tmp_path: Path) -> None:
    body, session = body_of(12 << 20), "X-Session: anna\r\n"

    async def main() -> None:
        async with daemon(tmp_path, "body_mb = 16") as node:
            assert (await node.write("put", "prime", b"", session)).status == 202
            _, status = await node.manage("GET /api/outbox")
            before = status["disk_bytes"]
            _, writer = await asyncio.open_connection("127.0.0.1", node.port)
            head = f"Host: x\r\nX-Request-Id: photo\r\nX-Class: put\r\nIdempotency-Key: k-photo\r\n{session}"
            head = f"POST /put HTTP/1.1\r\n{head}Content-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body[: 6 << 20])
            while status["disk_bytes"] < before + (4 << 20):
                _, status = await node.manage("GET /api/outbox")
            assert status["bytes"] == len(body)
            await node.end()
            writer.transport.abort()
            await node.start()
            _, status = await node.manage("GET /api/outbox")
            assert (status["kept"], status["bytes"]) == (1, 0)
            kept = await node.write("put", "photo", body, session)
            assert kept.status == 202
            await node.end()
            await node.endpoint.restart(0)
            await node.start()
            await node.until(kept, "done")
            got = [
                request.body
                for request in node.endpoint.requests
                if request.headers["x-request-id"] == "photo"
            ]
            assert got == [body] and not node.endpoint.effects.executed_twice()

    run(main())
