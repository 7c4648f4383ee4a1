"""Bodies too large to be held, kept as they come: over loopback sockets, on a disk that the test fills, holds
and cuts off at each of its steps."""

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
from tests.test_outbox_daemon import edge as process

NO_SPACE = OSError(errno.ENOSPC, "No space left on device")
# What one read of a socket brings at most.
READ_MOST = 256 * 1024
# Of one write: at first what had come before it was too large to be held, then the mark and one read.
BOUND = max(MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES_PER_WRITE) + READ_MOST
CLASSES = {"put": QueuedClass("keyed", 86_400_000_000), "pay": QueuedClass("unsafe")}


class Disk(SimulatedDisk):
    """`room`: how many bytes it takes still, or None. `open` is closed to hold it in its next sync."""

    def __init__(self) -> None:
        super().__init__()
        self.room: int | None = None
        self.open = threading.Event()
        self.open.set()

    def write(self, name: str, offset: int, data: bytes) -> None:
        if self.room is not None and any(data):  # zeros are written ahead
            self.room -= len(data)
            if self.room < 0:
                raise NO_SPACE
        super().write(name, offset, data)

    def create(self, name: str, data: bytes) -> None:
        if self.room is not None and self.room < 0:
            raise NO_SPACE
        super().create(name, data)

    def sync(self, name: str) -> None:
        self.open.wait(TEST_TIMEOUT_S)
        super().sync(name)


def body_of(size: int, seed: int = 1) -> bytes:
    return random.Random(seed).randbytes(size)


def split(body: bytes) -> list[bytes]:
    return [body[at : at + 50_000] for at in range(0, len(body), 50_000)]


@dataclass
class Edge:
    """One life of a copy with an outbox, and the endpoint behind its link."""

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
        """A head, and no byte of its body yet."""
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
        with contextlib.suppress(ConnectionError):  # it may be refused before all of it came
            for part in split(body):
                writer.write(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)
                await writer.drain()
            if chunked:
                writer.write(b"0\r\n\r\n")
        return await read_message(reader)

    async def cut_off(self) -> None:
        """Its link goes down, and an attempt shows it."""
        self.endpoint.stop()
        self.driver.on_attempt_ended(1, NO_CONNECT)
        assert self.driver.cutoff.is_cut_off
        assert (await self.write("prime", b"")).status == 202

    async def until(self, condition: Callable[[], bool]) -> None:
        while not condition():
            await asyncio.sleep(0)

    async def quiet(self) -> None:
        """Until no body comes, and all that was to be done about those that did is done."""

        def busy() -> bool:
            works = [cast(Any, task.get_coro()).__qualname__ for task in self.driver.tasks]
            return bool(self.driver.bodies.coming) or any(
                one.startswith(f"{BodySpool.__name__}.") for one in works
            )

        await self.until(lambda: not busy())

    async def done(self, name: str) -> None:
        """The write was the last that is open, and its end is written."""
        await self.until(lambda: not self.driver.outbox.count)
        assert name in self.endpoint.effects.by_id

    def leave(self) -> None:
        for writer in self.clients:
            writer.transport.abort()

    @property
    def parts(self) -> int:
        return sum(1 for key in self.driver.store.store.index.locations if key[:1] == b"p")

    def got(self, name: str) -> Message:
        """As the endpoint had it: a replay has a name of its own."""
        return [one for one in self.endpoint.got if one.headers["x-request-id"] == name][-1]


async def _life(
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
    # A disk stands for its folder: the store takes either.
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
    server.uploading.timeout_s = TEST_TIMEOUT_S  # the tests leave some half sent, and the machine may be slow
    port = await server.listen("127.0.0.1", 0)
    assert server.listener is not None
    stack.callback(server.listener.close)
    found = Edge(driver, server, endpoint, disk, port, log)
    stack.callback(found.leave)
    return found


@contextlib.asynccontextmanager
async def edge(disk: SimulatedDisk | None = None, off: bool = True, **changes: Any) -> AsyncIterator[Edge]:
    """It is cut off at first, and one small write `prime` is kept."""
    async with asyncio.timeout(TEST_TIMEOUT_S), Endpoint() as endpoint, contextlib.AsyncExitStack() as stack:
        found = await _life(disk or Disk(), endpoint, stack, changes)
        if off:
            await found.cut_off()
        yield found


@contextlib.asynccontextmanager
async def next_life(before: Edge, disk: SimulatedDisk) -> AsyncIterator[Edge]:
    async with contextlib.AsyncExitStack() as stack:
        yield await _life(disk, before.endpoint, stack, {})


@pytest.fixture(autouse=True)
def impatient(monkeypatch: pytest.MonkeyPatch) -> None:
    """What is tried again after a second is tried again at once."""
    monkeypatch.setattr(bodies, "DELETION_RETRY_S", 0.0)
    monkeypatch.setattr(replay_driver, "REPLAY_INTERVAL_US", 10_000)
    monkeypatch.setattr(driving, "CLOSE_TIMEOUT_S", 0.0)


@pytest.fixture(autouse=True)
def held(monkeypatch: pytest.MonkeyPatch) -> Iterator[None]:
    """The port of an endpoint that is down is nobody else's: it is bound, and refuses."""
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


def watch(monkeypatch: pytest.MonkeyPatch) -> list[int]:
    """What one body held, each time that it held more or less."""
    found: list[int] = []
    hold = IncomingBody._hold

    def counted(self: IncomingBody, more: int) -> None:
        hold(self, more)
        found.append(self.held)

    monkeypatch.setattr(IncomingBody, "_hold", counted)
    return found


# --- Kept and replayed --------------------------------------------------------------------


def test_a_photo_of_12_mb_is_kept_in_bounded_memory_and_replayed_byte_by_byte(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    held, body = watch(monkeypatch), body_of(12 << 20)

    async def main() -> None:
        async with edge() as one:
            kept = await one.write("photo", body, "Content-Type: image/jpeg\r\n")
            assert kept.status == 202 and "/outbox/receipts/" in kept.headers["location"]
            await one.quiet()
            assert one.driver.outbox.size == len(body) and one.driver.bodies.held == 0
            assert len(held) > 12 and 0 < max(held) <= BOUND
            head = await one.driver.store.head(WriteId("studio-1", one.driver.store.incarnation, 2))
            assert head is not None
            write, _ = head
            assert write.digest == blake2b(b"POST /put\n" + body, digest_size=16).digest()
            async with next_life(one, one.disk.lose_power()) as two:
                await one.endpoint.restart(0)
                await two.done("photo")
                got = two.got("photo")
                assert got.body == body and got.headers["content-length"] == str(len(body))
                assert got.headers["content-type"] == "image/jpeg"
                assert not one.endpoint.effects.twice()
                await two.until(lambda: two.parts == 0)  # the bodies of what is over go a little later

    run(main())


def test_the_client_is_held_back_while_the_disk_is(monkeypatch: pytest.MonkeyPatch) -> None:
    held, body = watch(monkeypatch), body_of(6 << 20)

    async def main() -> None:
        disk = Disk()
        async with edge(disk) as one:
            disk.open.clear()
            try:
                sending = asyncio.create_task(one.write("photo", body))
                await one.until(lambda: any(each.paused for each in one.driver.bodies.coming.values()))
                (coming,) = one.driver.bodies.coming.values()
                came = coming.came
                for _ in range(1_000):  # nothing more is read of it
                    await asyncio.sleep(0)
                assert coming.came == came < len(body) and coming.held <= BOUND and not sending.done()
            finally:
                disk.open.set()
            assert (await sending).status == 202 and max(held) <= BOUND

    run(main())


def test_the_count_would_show_a_client_that_is_not_held_back(monkeypatch: pytest.MonkeyPatch) -> None:
    held = watch(monkeypatch)
    monkeypatch.setattr(bodies, "MAX_BUFFERED_BYTES_PER_WRITE", MAX_STREAMED_BODY_BYTES)

    async def main() -> None:
        disk = Disk()
        async with edge(disk) as one:
            disk.open.clear()
            try:
                sending = asyncio.create_task(one.write("photo", body_of(6 << 20)))
                await one.until(lambda: max(held, default=0) > BOUND)
            finally:
                disk.open.set()
            assert (await sending).status == 202

    run(main())


def test_chunks_are_counted_by_the_most_and_then_by_what_came() -> None:
    body = body_of(3 << 20)

    async def main() -> None:
        async with edge() as one:
            reader, writer = await one.begin("photo", 0, chunked=True)
            parts = split(body)
            for part in parts[:-1]:
                writer.write(b"%x\r\n%b\r\n" % (len(part), part))
                await writer.drain()
            await one.until(lambda: bool(one.driver.bodies.coming))
            assert one.driver.outbox.size == 16 << 20
            writer.write(b"%x\r\n%b\r\n0\r\n\r\n" % (len(parts[-1]), parts[-1]))
            assert (await read_message(reader)).status == 202
            assert one.driver.outbox.size == len(body)
            await one.endpoint.restart(0)
            await one.done("photo")
            assert one.got("photo").body == body and one.driver.outbox.size == 0

    run(main())


def test_one_that_follows_a_kept_write_is_kept_while_the_link_is_well() -> None:
    body = body_of(2 << 20)

    async def main() -> None:
        async with edge() as one:
            gate = asyncio.Event()
            album = await one.write("album", b"a", "X-Session: anna\r\n")
            one.endpoint.handler = after(gate, serve())
            await one.endpoint.restart(0)
            await one.until(lambda: not one.driver.cutoff.is_cut_off or bool(one.driver.in_flight))
            photo = await one.write("photo", body, "X-Session: anna\r\n")
            named = await one.write(
                "named", body, f"X-Follows: {photo.headers['x-causal-token']}\r\n", cls="pay"
            )
            assert (album.status, photo.status, named.status) == (202, 202, 202)
            gate.set()
            await one.done("named")
            ran = [name for name in one.endpoint.effects.by_id if name != "prime"]
            assert ran == ["album", "photo", "named"] and one.got("named").body == body

    run(main())


def test_one_that_was_begun_while_the_link_was_thought_well_is_not_kept() -> None:
    async def main() -> None:
        async with edge(off=False) as one:

            async def break_off(reader: Reader, writer: Writer) -> None:
                await reader.readexactly(2_000)
                writer.transport.abort()

            one.endpoint._serve = break_off  # type: ignore[method-assign]
            await one.endpoint.restart(0)
            found = await one.write("photo", body_of(4 << 20))
            assert found.status in (502, 503, 504) and "location" not in found.headers
            assert one.driver.outbox.count == 0 and one.parts == 0

    run(main())


def test_one_that_no_endpoint_had_anything_of_is_kept_although_the_edge_was_not_known_to_be_cut_off() -> None:
    body = body_of(2 << 20)

    async def main() -> None:
        async with edge(off=False, cut_us=3_600_000_000) as one:
            one.endpoint.stop()
            assert (await one.write("photo", body)).status == 202
            assert not one.driver.cutoff.is_cut_off
            await one.endpoint.restart(0)
            await one.done("photo")
            assert one.got("photo").body == body

    run(main())


def test_a_replay_that_breaks_off_in_the_body_goes_out_again_and_runs_once() -> None:
    body = body_of(8 << 20)

    async def main() -> None:
        async with edge() as one:
            assert (await one.write("photo", body, cls="pay")).status == 202
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

            serves = one.endpoint._serve
            one.endpoint._serve = break_off  # type: ignore[method-assign]
            await one.endpoint.restart(0)
            await broken.wait()
            one.endpoint._serve = serves  # type: ignore[method-assign]
            await one.endpoint.restart(0)
            await one.done("photo")
            assert one.got("photo").body == body and one.endpoint.effects.by_id["photo"] == 1
            assert not one.driver.parked

    run(main())


def test_a_replay_whose_answer_is_lost_is_parked_or_goes_again_by_its_class() -> None:
    body = body_of(1 << 20)

    async def lost_at_first(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        name, before = message.headers["x-request-id"], endpoint.effects.dropped
        endpoint.effects.execute(message)
        if name == "order" or (name == "photo" and endpoint.effects.dropped == before):
            writer.transport.abort()
        else:
            writer.write(answer(200))

    async def main() -> None:
        async with edge() as one:
            assert (await one.write("order", body, cls="pay")).status == 202
            assert (await one.write("photo", body)).status == 202
            one.endpoint.handler = lost_at_first
            await one.endpoint.restart(0)
            await one.until(lambda: one.driver.outbox.count == 1 and len(one.driver.parked) == 1)
            assert dict(one.endpoint.effects.by_id) == {"prime": 1, "photo": 1, "order": 1}
            assert one.endpoint.effects.dropped == 1 and one.got("photo").body == body

    run(main())


# --- Not kept -----------------------------------------------------------------------------


def nothing_is_left(one: Edge) -> bool:
    """But for the write that the edge was cut off with."""
    outbox = one.driver.outbox
    return (outbox.count, outbox.size, one.parts, one.driver.bodies.held) == (1, 0, 0, 0)


def test_one_that_is_declared_too_large_has_the_answer_that_it_would_have_had() -> None:
    async def main() -> None:
        async with edge(body_bytes=1 << 20) as one:
            found = await one.write("photo", body_of((2 << 20) + 1))
            assert found.status in (502, 503, 504) and "location" not in found.headers
            assert nothing_is_left(one)
            assert (await one.write("small", body_of(1 << 20))).status == 202

    run(main())


def test_one_that_turns_out_too_large_is_refused_and_leaves_nothing() -> None:
    async def main() -> None:
        async with edge(body_bytes=2 << 20) as one:
            found = await one.write("photo", body_of(4 << 20), chunked=True)
            assert found.status == 503 and float(found.headers["retry-after"]) > 0
            await one.quiet()
            assert nothing_is_left(one)
            assert (await one.write("photo", body_of(2 << 20), chunked=True)).status == 202

    run(main())


def test_the_bounds_are_judged_before_the_first_part() -> None:
    async def main() -> None:
        async with edge(max_bytes=6 << 20, tenant_share=0.5, body_bytes=4 << 20) as one:
            written: list[int] = []
            put_parts = one.driver.store.put_parts

            async def noted(write_id: WriteId, at: int, parts: Any) -> None:
                written.append(at)
                await put_parts(write_id, at, parts)

            one.driver.store.put_parts = noted  # type: ignore[method-assign]
            for chunked in (False, True):  # chunks count as 4 MB, which is over the share
                found = await one.write("photo", body_of(3_500_000), chunked=chunked)
                assert found.status in (502, 503, 504) and "location" not in found.headers
            assert nothing_is_left(one) and not written
            assert (await one.write("photo", body_of(3 << 20))).status == 202 and written

    run(main())


def test_only_so_many_are_taken_at_a_time_and_only_so_many_wait(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(bodies, "MAX_RECEIVING", 2)
    monkeypatch.setattr(bodies, "MAX_WAITING", 1)
    body = body_of(2 << 20)

    async def main() -> None:
        async with edge() as one:
            assert (await one.write("album", b"", "X-Session: anna\r\n")).status == 202
            begun: list[tuple[Reader, Writer]] = []
            for name in ("a", "b"):
                reader, writer = await one.begin(name, len(body))
                writer.write(body[:-1])
                await one.until(lambda: len(one.driver.bodies.coming) == len(begun) + 1)
                begun.append((reader, writer))
            waits = asyncio.create_task(one.write("c", body))
            await one.until(lambda: len(one.driver.bodies.waiting) == 1)
            refused = await one.write("d", body, "X-Session: anna\r\n")
            assert refused.status == 503 and float(refused.headers["retry-after"]) > 0
            assert [each.came > 0 for each in one.driver.bodies.coming.values()] == [True, True, False]
            for reader, writer in begun:
                writer.write(body[-1:])
                assert (await read_message(reader)).status == 202
            assert (await waits).status == 202 and not one.driver.bodies.waiting

    run(main())


def test_one_that_leaves_while_it_waits_is_not_begun(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(bodies, "MAX_RECEIVING", 1)
    body = body_of(2 << 20)

    async def main() -> None:
        async with edge() as one:
            reader, writer = await one.begin("a", len(body))
            writer.write(body[:-1])
            await one.until(lambda: len(one.driver.bodies.coming) == 1)
            leaver = await one.begin("b", len(body))
            leaver[1].write(body[:-1])
            await one.until(lambda: len(one.driver.bodies.waiting) == 1)
            # A client that is held back is not heard.
            one.driver.on_call_closed(one.driver.bodies.waiting[0].call)
            await one.until(lambda: len(one.driver.bodies.coming) == 1)
            writer.write(body[-1:])
            assert (await read_message(reader)).status == 202
            await one.quiet()
            assert not one.driver.bodies.waiting and one.driver.outbox.count == 2

    run(main())


@pytest.mark.parametrize("room", [0, 300_000, 1_200_000, 2_000_000])
def test_a_disk_that_is_full_in_the_middle_keeps_nothing_and_the_client_is_refused(room: int) -> None:
    async def main() -> None:
        disk = Disk()
        async with edge(disk) as one:
            disk.room = room
            found = await one.write("photo", body_of(3 << 20))
            assert found.status == 503 and float(found.headers["retry-after"]) > 0
            assert any("not kept" in line for line in one.log)
            for again in (disk.lose_power(), disk.lose_power(all_=True)):
                store = await QueueStore.open(again, 64 << 20)
                ((write, _),) = (await store.load()).writes
                found_again = await store.head(write.write_id)
                assert found_again is not None and found_again[0].method_and_target == b"POST /put"
                assert not [key for key in store.store.index.locations if key[:1] == b"p"]
                await store.close()
            # In this life too, once there is room.
            disk.room = None
            one.driver.store.store.availability.retry_at = 0.0
            await one.quiet()
            assert nothing_is_left(one)
            assert (await one.write("photo", body_of(3 << 20))).status == 202
            await one.endpoint.restart(0)
            await one.done("photo")
            assert one.got("photo").body == body_of(3 << 20)

    run(main())


@pytest.mark.parametrize("operations", [("write", "create"), ("sync", "sync_folder")])
@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO])
def test_a_disk_that_fails_for_a_while_costs_no_kept_write_and_runs_none_that_was_not(
    number: int, operations: tuple[str, ...], monkeypatch: pytest.MonkeyPatch
) -> None:
    """A replay's end that could not be written is written once it can be; new ones are kept again."""
    monkeypatch.setattr(replay_driver, "STATE_RETRY_S", 0.0)

    async def main() -> None:
        disk = Disk()
        async with edge(disk) as one:
            assert (await one.write("before", b"x" * 100, cls="pay")).status == 202
            disk.break_down(OSError(number, os.strerror(number)), *operations)
            for size in (10, 2 << 20):
                found = await one.write(f"during-{size}", bytes(size))
                assert found.status in (502, 503), "answered, and not told as kept"
            disk.mend()
            one.driver.store.store.availability.retry_at = 0.0
            await one.quiet()
            assert (await one.write("after", b"y")).status == 202

            async def break_again(endpoint: Endpoint, message: Message, writer: Writer) -> None:
                if message.headers["x-request-id"] == "before":
                    disk.break_down(OSError(number, os.strerror(number)), *operations)
                await serve()(endpoint, message, writer)

            one.endpoint.handler = break_again
            await one.endpoint.restart(0)
            await one.until(lambda: any("its end is not written" in line for line in one.log))
            assert one.driver.outbox.count > 0
            disk.mend()
            one.driver.store.store.availability.retry_at = 0.0
            await one.until(lambda: not one.driver.outbox.count)
            effects = one.endpoint.effects.by_id
            assert effects["before"] == 1 and effects["after"] == 1 and not one.driver.parked
            assert not any(name.startswith("during") for name in effects)
            async with next_life(one, disk.kill()) as later:
                assert not later.driver.outbox.count and not later.driver.parked

    run(main())


def test_a_head_that_may_be_found_later_is_no_refusal(monkeypatch: pytest.MonkeyPatch) -> None:
    async def main() -> None:
        disk = Disk()
        async with edge(disk) as one:
            put_head = one.driver.store.put_head

            async def fail(*args: Any) -> None:
                disk.fail("sync", NO_SPACE)
                await put_head(*args)

            monkeypatch.setattr(one.driver.store, "put_head", fail)
            found = await one.write("photo", body_of(2 << 20))
            assert found.status == 502 and found.headers["x-may-have-run"] == "1"
            one.driver.store.store.availability.retry_at = 0.0
            await one.quiet()
            assert nothing_is_left(one)

    run(main())


@pytest.mark.parametrize("sent", [1_200_000, 2_000_000, (3 << 20) - 1])
def test_a_client_that_leaves_midway_leaves_nothing(sent: int) -> None:
    body = body_of(3 << 20)

    async def main() -> None:
        async with edge() as one:
            _, writer = await one.begin("photo", len(body))
            writer.write(body[:sent])
            await writer.drain()
            await one.until(lambda: one.parts > 0)
            writer.transport.abort()
            await one.until(lambda: not one.driver.bodies.coming)
            await one.quiet()
            assert nothing_is_left(one)
            assert (await one.write("photo", body)).status == 202

    run(main())


def test_what_follows_one_that_broke_off_goes_on_without_it() -> None:
    async def main() -> None:
        async with edge() as one:
            _, writer = await one.begin("photo", 2 << 20, "X-Session: anna\r\n")
            writer.write(body_of(1_500_000))
            await one.until(lambda: bool(one.driver.bodies.coming))
            assert (await one.write("order", b"", "X-Session: anna\r\n", cls="pay")).status == 202
            await one.endpoint.restart(0)
            await one.until(lambda: one.endpoint.effects.by_id["prime"] == 1)
            assert "order" not in one.endpoint.effects.by_id
            writer.transport.abort()
            await one.done("order")
            assert "photo" not in one.endpoint.effects.by_id

    run(main())


# --- A key that comes twice ---------------------------------------------------------------


def test_the_same_key_again_has_the_same_receipt_and_another_body_has_none() -> None:
    body, other = body_of(2 << 20), body_of(2 << 20, seed=2)

    async def main() -> None:
        async with edge() as one:
            first = await one.write("photo", body)
            before = one.parts
            again = await one.write("photo", body, chunked=True)
            assert first.status == again.status == 202
            assert first.headers["x-causal-token"] == again.headers["x-causal-token"]
            assert (await one.write("photo", other)).status == 422
            assert (await one.write("photo", b"small")).status == 422
            assert one.parts == before and one.driver.outbox.count == 2
            assert not one.driver.bodies.digests and not one.driver.bodies.stored
            await one.endpoint.restart(0)
            await one.done("photo")
            assert one.got("photo").body == body

    run(main())


def test_a_repeat_while_the_first_is_still_coming() -> None:
    body, other = body_of(2 << 20), body_of(2 << 20, seed=2)
    key = "Idempotency-Key: k\r\n"

    async def main() -> None:
        async with edge() as one:
            reader, writer = await one.begin("photo", len(body), key)
            writer.write(body[:-1])
            await one.until(lambda: len(one.driver.bodies.coming) == 1)
            same = asyncio.create_task(one.write("again", body, key))
            different = asyncio.create_task(one.write("other", other, key))
            await one.until(lambda: [len(each) for each in one.driver.storing.values()] == [3])
            writer.write(body[-1:])
            first = await read_message(reader)
            assert first.status == 202 and (await different).status == 422
            assert (await same).headers["x-causal-token"] == first.headers["x-causal-token"]
            await one.quiet()
            assert one.driver.outbox.count == 2 and not one.driver.bodies.digests

    run(main())


def test_a_repeat_of_one_that_broke_off_is_refused() -> None:
    body, key = body_of(2 << 20), "Idempotency-Key: k\r\n"

    async def main() -> None:
        async with edge() as one:
            _, writer = await one.begin("photo", len(body), key)
            writer.write(body[:-1])
            await one.until(lambda: len(one.driver.bodies.coming) == 1)
            late, late_writer = await one.begin("late", len(body), key)
            late_writer.write(body[:-1])
            await one.until(lambda: len(one.driver.bodies.coming) == 2)
            waits = asyncio.create_task(one.write("waits", body, key))
            await one.until(lambda: [len(each) for each in one.driver.storing.values()] == [2])
            writer.transport.abort()
            found = await waits
            assert found.status == 503 and float(found.headers["retry-after"]) > 0
            late_writer.write(body[-1:])
            assert (await read_message(late)).status == 503
            await one.quiet()
            assert nothing_is_left(one) and not one.driver.bodies.digests
            assert (await one.write("photo", body, key)).status == 202

    run(main())


# --- Killed at each step ------------------------------------------------------------------


def test_power_lost_at_each_step_leaves_all_of_a_write_that_was_told_and_no_part_of_another() -> None:
    body = body_of(1_500_000)
    journal: list[Any] = []

    async def upload() -> None:
        disk = Disk()
        async with edge(disk) as one:
            disk.mark("begins")
            assert (await one.write("photo", body)).status == 202
            disk.mark("told")
            await one.quiet()
            journal.extend(disk.journal)

    async def recovered(disk: SimulatedDisk) -> list[bytes]:
        store = await QueueStore.open(disk, 64 << 20)
        writes = (await store.load()).writes
        found = [one for write, _ in writes if (one := await store.read(write.write_id)) is not None]
        assert len(found) == len(writes)
        parts = {key for key in store.store.index.locations if key[:1] == b"p"}
        assert len(parts) == sum(-(-write.size // BODY_PART_BYTES) - 1 for write, _ in found if write.size)
        await store.close()
        return [each for _, each in found]

    async def main() -> None:
        await upload()
        marks = [("mark", "begins"), ("mark", "told")]
        begins, told = (journal.index(one) for one in marks)
        assert told - begins > 12, "several parts, each with steps of its own"
        ends = set()
        for step in range(begins, len(journal) + 1):
            cuts: list[Callable[[SimulatedDisk], SimulatedDisk]] = [
                lambda disk: disk.lose_power(),
                lambda disk: disk.lose_power(all_=True),
                lambda disk, step=step: disk.lose_power(random.Random(step)),  # type: ignore[misc]
            ]
            for cut in cuts:
                found = await recovered(cut(SimulatedDisk.replay(journal[:step])))
                assert found in ([b""], [b"", body]), f"step {step}"
                assert step <= told or len(found) == 2, f"step {step}: told, and not there"
                ends.add(len(found))
        assert ends == {1, 2}

    run(main())


# --- Reading back -------------------------------------------------------------------------


class Taker:
    """Takes a part and holds the source until it is told to go on."""

    def __init__(self, upload: BodyStream) -> None:
        self.upload = upload
        self.got: list[bytes] = []
        self.whole: bool | None = None
        self.holds = True

    def on_data(self, data: bytes) -> None:
        self.got.append(data)
        if self.holds:
            self.upload.pause()

    def on_end(self, complete: bool) -> None:
        self.whole = complete


def played(test: Callable[[QueueStore, BodyReplay, Taker, list[int]], Coroutine[Any, Any, None]]) -> None:
    """A write of five parts in a store; the numbers of the parts that were read."""

    async def main() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            store = await QueueStore.open(SimulatedDisk(), 64 << 20)
            await store.load()
            write, body = write_with_body(1, 300_000)
            await store.put_write(write, body)
            read: list[int] = []
            part = store.part

            async def counted(write_id: WriteId, at: int) -> bytes:
                read.append(at)
                return await part(write_id, at)

            class Played:
                engine = None
                log = staticmethod(lambda line: None)

            Played.store = store  # type: ignore[attr-defined]
            store.part = counted  # type: ignore[method-assign]

            class Owner:
                driver = Played

            class Called:
                upload: BodyStream

            called = Called()
            playback = BodyReplay(cast(BodySpool, Owner), cast(Any, called), write, body[:BODY_PART_BYTES])
            called.upload = BodyStream(playback, write.size)
            await test(store, playback, Taker(called.upload), read)
            await store.close()

    run(main())


def test_no_more_than_one_part_is_read_ahead_of_a_taker_that_holds_back() -> None:
    async def test(store: QueueStore, playback: BodyReplay, taker: Taker, read: list[int]) -> None:
        taker.upload.attach(taker)
        assert playback.task is None, "nothing is read before somebody takes it"
        for number in range(1, 6):
            taker.upload.resume()
            while len(taker.got) < number:
                await asyncio.sleep(0)
            for _ in range(100):
                await asyncio.sleep(0)
            assert len(taker.got) == number and len(read) <= number
        assert playback.task is not None
        await playback.task
        assert b"".join(taker.got) == write_with_body(1, 300_000)[1] and taker.whole is True

    played(test)


def test_a_part_that_is_missing_ends_the_flow_as_broken() -> None:
    async def test(store: QueueStore, playback: BodyReplay, taker: Taker, read: list[int]) -> None:
        taker.holds = False
        await store.store.delete(sorted(key for key in store.store.index.locations if key[:1] == b"p")[-1])
        taker.upload.attach(taker)
        taker.upload.resume()
        while taker.whole is None:
            await asyncio.sleep(0)
        assert taker.whole is False and len(taker.got) == 4

    played(test)


def test_a_taker_that_leaves_ends_the_reading() -> None:
    async def test(store: QueueStore, playback: BodyReplay, taker: Taker, read: list[int]) -> None:
        taker.upload.attach(taker)
        taker.upload.resume()
        while not taker.got:
            await asyncio.sleep(0)
        taker.upload.abandon()
        assert playback.task is not None
        await asyncio.wait((playback.task,))
        assert playback.task.cancelled() and len(taker.got) == 1 and len(read) <= 1

    played(test)


def test_a_small_body_is_read_whole_and_a_state_is_kept_for_a_large_one() -> None:
    async def main() -> None:
        async with edge() as one:
            for name, size in (("small", MAX_UNSTREAMED_BYTES), ("large", MAX_UNSTREAMED_BYTES + 1)):
                one.server.request_budget.limit = 0  # all that does not come at once is passed on
                assert (await one.write(name, body_of(size))).status == 202
            await one.quiet()
            uploads = {}
            call = one.driver.bodies.load_call

            async def seen(write_id: WriteId, replay: Any) -> Any:
                found = await call(write_id, replay)
                if found is not None:
                    uploads[write_id.number] = found.upload is not None, len(found.body)
                return found

            one.driver.bodies.load_call = seen  # type: ignore[method-assign]
            await one.endpoint.restart(0)
            await one.done("large")
            assert uploads == {1: (False, 0), 2: (False, MAX_UNSTREAMED_BYTES), 3: (True, 0)}
            for number in (2, 3):
                moved = await one.driver.store.state_change(
                    WriteId("studio-1", one.driver.store.incarnation, number)
                )
                assert moved is not None and moved.state is WriteState.DONE and moved.status == 200

    run(main())


def test_a_replay_that_is_passed_on_ends_within_the_window_of_its_key() -> None:
    async def main() -> None:
        async with edge() as one:
            assert (await one.write("photo", body_of(2 << 20))).status == 202
            assert (await one.write("order", body_of(2 << 20), cls="pay")).status == 202
            outbox, now = one.driver.outbox, one.driver.now()
            photo, order = (WriteId("studio-1", one.driver.store.incarnation, at) for at in (2, 3))
            for left, most in (
                (3_600_000_000, bodies.MAX_REPLAY_UPLOAD_US + 5_000_000),
                (7_000_000, 7_000_000),
            ):
                for write_id in (photo, order):
                    outbox._rows.since[outbox._require_row(write_id)] = now - CLASSES["put"].window_us + left
                call = await one.driver.bodies.load_call(photo, cast(Any, None))
                assert call is not None and 0 < call.expires_at - now <= most + 1_000_000
                call = await one.driver.bodies.load_call(order, cast(Any, None))
                assert call is not None and call.expires_at > now + bodies.MAX_REPLAY_UPLOAD_US

    run(main())


# --- A process that is killed -------------------------------------------------------------


def test_a_process_killed_in_the_middle_keeps_nothing_and_killed_after_the_202_all(tmp_path: Path) -> None:
    body, session = body_of(12 << 20), "X-Session: anna\r\n"

    async def main() -> None:
        async with process(tmp_path, "body_mb = 16") as one:
            assert (await one.write("put", "prime", b"", session)).status == 202
            _, told = await one.manage("GET /api/outbox")
            before = told["disk_bytes"]
            _, writer = await asyncio.open_connection("127.0.0.1", one.port)
            head = f"Host: x\r\nX-Request-Id: photo\r\nX-Class: put\r\nIdempotency-Key: k-photo\r\n{session}"
            head = f"POST /put HTTP/1.1\r\n{head}Content-Length: {len(body)}\r\n\r\n"
            writer.write(head.encode() + body[: 6 << 20])
            while told["disk_bytes"] < before + (4 << 20):
                _, told = await one.manage("GET /api/outbox")
            assert told["bytes"] == len(body)
            await one.end()
            writer.transport.abort()
            await one.start()
            _, told = await one.manage("GET /api/outbox")
            assert (told["kept"], told["bytes"]) == (1, 0)
            kept = await one.write("put", "photo", body, session)
            assert kept.status == 202
            await one.end()
            await one.endpoint.restart(0)
            await one.start()
            await one.until(kept, "done")
            got = [each.body for each in one.endpoint.got if each.headers["x-request-id"] == "photo"]
            assert got == [body] and not one.endpoint.effects.twice()

    run(main())
