"""Descriptors and memory when many come at once: shares, who gives way, half-written heads."""

from __future__ import annotations

import asyncio

from hypothesis import given
from hypothesis import strategies as st
from laurelstep.flow_control.buffer_budget import UNCOUNTED_BYTES
from laurelstep.resources.descriptors import (
    AWAITING_REQUEST,
    CLOSING,
    IDLE,
    MAX_SOCKETS,
    MIN_CONNECTIONS_PER_SIDE,
    RESERVED_DESCRIPTORS,
    RESERVED_FOR_MANAGEMENT,
    connections_per_side,
    eviction_order,
)
from laurelstep.testing import Caller

from tests.sockets import Endpoint, Reader, Sidecar, Writer, answer, read_message, request, run, sidecar
from tests.sockets import never_answer as hold_back

PAGE = request()
HALF = PAGE.replace(b"\r\n\r\n", b"\r\nX-Extras: " + b"x" * 20_000)


@given(st.integers(0, 5000), st.booleans(), st.integers(1, 2))
def test_the_shares_of_all_are_within_what_is_allowed(sockets: int, managed: bool, processes: int) -> None:
    side = connections_per_side(sockets, managed, processes)
    apart = RESERVED_DESCRIPTORS + RESERVED_FOR_MANAGEMENT * managed
    assert side >= MIN_CONNECTIONS_PER_SIDE
    if side > MIN_CONNECTIONS_PER_SIDE:
        assert processes * (2 * side + apart) <= min(sockets, MAX_SOCKETS)
    assert connections_per_side(sockets, managed, 2) <= connections_per_side(sockets, managed, 1)


@given(st.integers(0, 600), st.integers(1, 600))
def test_who_waits_longest_gives_way_and_those_that_ask_are_not_among_them(owed: int, most: int) -> None:
    order = eviction_order(owed, most)
    assert sorted(order) == [CLOSING, IDLE, AWAITING_REQUEST] and order[0] == CLOSING
    assert (order[1] == AWAITING_REQUEST) == (3 * owed >= 3 * (most // 3) + 3)


async def until_counted(one: Sidecar, halves: int) -> None:
    while sum(caller.received_bytes > 20_000 for caller in one.server.connections) < halves:
        await asyncio.sleep(0)


async def said(reader: Reader) -> int:
    """The status that a connection was given, 0 if it ended with none."""
    try:
        return (await read_message(reader)).status
    except (asyncio.IncompleteReadError, OSError):
        return 0


def test_half_written_heads_are_bounded_and_the_oldest_gives_way() -> None:
    async def main() -> None:
        async with sidecar(Endpoint()) as one:
            one.server.request_budget.limit = 10 * (len(HALF) - UNCOUNTED_BYTES)
            streams: list[tuple[Reader, Writer]] = []
            for n in range(10):
                streams.append(await one.connect())
                streams[-1][1].write(HALF)
                await until_counted(one, n + 1)
            assert one.server.request_budget.used == one.server.request_budget.limit
            streams.append(await one.connect())
            streams[-1][1].write(HALF)
            message = await read_message(streams[0][0])
            assert message.status == 503 and b"half-written" in message.body
            assert one.server.request_budget.used <= one.server.request_budget.limit
            streams[1][1].write(b"\r\n\r\n")
            assert (await read_message(streams[1][0])).body == b"ok", "one that comes in time is served"
            assert (await one.send(request(rid="r2"))).body == b"ok"
            for _, writer in streams:
                writer.transport.abort()
            while one.server.connections:
                await asyncio.sleep(0)
            assert one.server.request_budget.used == 0

    run(main())


def test_a_head_that_finds_no_room_at_all_is_refused_itself() -> None:
    async def main() -> None:
        async with sidecar(Endpoint(hold_back)) as one:
            one.server.request_budget.limit = 0
            reader, writer = await one.connect()
            writer.write(HALF)
            assert await said(reader) == 503
            writer.close()
            assert one.server.request_budget.used == 0

    run(main())


def test_requests_that_were_taken_never_give_way() -> None:
    """Uploads that wait for their answers fill the budget; heads that come then are refused."""

    async def main() -> None:
        endpoint = Endpoint(hold_back)
        async with sidecar(endpoint) as one:
            one.server.request_budget.limit = 4 * 40_000
            taken = []
            for n in range(5):
                body = b"x" * 40_000
                taken.append(asyncio.create_task(one.send(request("pay", body, rid=f"r{n}"))))
                await endpoint.arrived.acquire()
            reader, writer = await one.connect()
            writer.write(HALF)
            assert await said(reader) == 503
            assert not any(task.done() for task in taken) and len(one.engine.calls) == 5
            for task in taken:
                task.cancel()
            await asyncio.gather(*taken, return_exceptions=True)
            writer.close()
            while one.server.connections or one.engine.calls:
                await asyncio.sleep(0)
            assert one.server.request_budget.used == 0

    run(main())


def test_a_kept_connection_gives_back_what_its_head_took() -> None:
    async def main() -> None:
        async with sidecar(Endpoint()) as one, Caller("127.0.0.1", one.port) as caller:
            for raw in (HALF, b"GET /health/ready HTTP/1.1\r\nHost: x\r\nX: " + b"x" * 20_000):
                if caller.streams is None:
                    caller.streams = await one.connect()
                caller.streams[1].write(raw)
                await until_counted(one, 1)
                assert one.server.request_budget.used > 0
                assert (await caller.ask(b"\r\n\r\n")).status == 200
                assert one.server.request_budget.used == 0

    run(main())


def test_answers_that_come_together_are_held_while_there_is_room_and_else_passed_on() -> None:
    go = asyncio.Event()
    part = b"x" * 30_000

    async def handler(endpoint: Endpoint, message: object, writer: Writer) -> None:
        writer.write(answer(body=2 * part)[: -len(part)])
        await go.wait()
        writer.write(part)

    async def main() -> None:
        endpoint = Endpoint(handler)
        async with sidecar(endpoint, endpoint) as one:
            budget = one.upstream.answer_budget
            budget.limit = 3 * (len(part) - UNCOUNTED_BYTES)
            asked = [asyncio.create_task(one.send(request(rid=f"r{n}"))) for n in range(8)]
            while len(one.upstream.receiving.waiting_since) + len(one.upstream.streaming.waiting_since) < 8:
                await asyncio.sleep(0)
            assert budget.used <= budget.limit and len(one.upstream.streaming.waiting_since) >= 5
            go.set()
            assert all(message.body == 2 * part for message in await asyncio.gather(*asked))
            assert budget.used == 0

    run(main())


def test_a_body_in_chunks_of_one_byte_takes_no_more_than_its_size() -> None:
    """A list of its parts would take forty times as much."""

    async def main() -> None:
        async with sidecar(Endpoint()) as one:
            reader, writer = await one.connect()
            framed = request("put").replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            writer.write(framed + b"1\r\nx\r\n" * 20_000)
            while not any(caller.body_byte_count == 20_000 for caller in one.server.connections):
                await asyncio.sleep(0)
            (caller,) = one.server.connections
            assert len(caller.body) == 20_000 and isinstance(caller.body, bytearray)
            writer.write(b"0\r\n\r\n")
            assert (await read_message(reader)).status == 200
            writer.close()

    run(main())
