"""Large and slow bodies: held, passed on both ways, broken on each side, and their bounds."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Awaitable, Callable

import pytest
from hypothesis import given
from hypothesis import strategies as st
from laurelstep.balancing.events import ERROR, NO_CONNECT, NOT_SENT, OK, RESET
from laurelstep.engine.body_stream import BodyStream
from laurelstep.flow_control.buffer_budget import (
    MAX_BUFFERED_BYTES,
    UNCOUNTED_BYTES,
    BufferBudget,
    budget_bytes,
)
from laurelstep.flow_control.throughput import GRACE_S, MIN_RATE_BYTES_PER_S, has_min_throughput
from laurelstep.net.message import MAX_STREAMED_BODY_BYTES
from laurelstep.testing.endpoints import reset_connection

from tests.sockets import (
    Endpoint,
    Message,
    Reader,
    Sidecar,
    Writer,
    answer,
    never_answer,
    read_message,
    record_outcomes,
    request,
    run,
    serve_ok,
    sidecar,
)

MB = 1 << 20
BIG = bytes(range(256)) * 12_000  # 3 MB


# --- Decisions ------------------------------------------------------------------------------


def test_a_body_may_be_as_slow_as_its_rate_and_no_slower() -> None:
    assert has_min_throughput(0, GRACE_S) and not has_min_throughput(0, GRACE_S + 0.1)
    assert has_min_throughput(int(MIN_RATE_BYTES_PER_S), GRACE_S + 1.0) and not has_min_throughput(
        int(MIN_RATE_BYTES_PER_S), GRACE_S + 1.1
    )
    assert all(has_min_throughput(int(64_000 * s), s) for s in range(1, 500)), "what callers may do"


@pytest.mark.parametrize(("memory", "least", "most"), [(0, 16, 32), (32, 1, 4), (80, 8, 16), (192, 32, 48)])
def test_the_budget_leaves_memory_for_all_else(memory: int, least: int, most: int) -> None:
    assert least * MB <= budget_bytes(memory) <= most * MB


@given(st.lists(st.tuples(st.integers(0, 5), st.integers(1, 400_000)), max_size=80))
def test_the_budget_is_never_overdrawn_and_all_of_it_comes_back(steps: list[tuple[int, int]]) -> None:
    budget = BufferBudget(2 * MB)
    sizes, held = [0] * 6, [0] * 6
    for which, more in steps:
        took = budget.reserve(sizes[which] + more, held[which])
        if took < 0:
            budget.release(held[which])
            sizes[which] = held[which] = 0
        else:
            sizes[which] += more
            held[which] = took
            assert took == max(0, sizes[which] - UNCOUNTED_BYTES) and sizes[which] <= MAX_BUFFERED_BYTES
        assert 0 <= budget.used == sum(held) <= budget.limit
    for one in held:
        budget.release(one)
    assert budget.used == 0


class Ends:
    """Both ends of a stream, and its observer."""

    def __init__(self) -> None:
        self.told: list[object] = []

    def pause(self) -> None:
        self.told.append("hold")

    def resume(self) -> None:
        self.told.append("go on")

    def on_abandoned(self) -> None:
        self.told.append("unwanted")

    def on_data(self, data: bytes) -> None:
        self.told.append(data)

    def on_end(self, complete: bool) -> None:
        self.told.append(complete)

    def on_stream_closed(self, flow: BodyStream) -> None:
        self.told.append((flow.is_complete, flow.is_abandoned))


@pytest.mark.parametrize("whole", [True, False])
def test_a_stream_gives_all_to_its_one_sink_and_ends_once(whole: bool) -> None:
    ends = Ends()
    flow = BodyStream(ends, -1)
    flow.observer = ends
    flow.feed(b"a")
    flow.attach(ends)
    flow.feed(b"b")
    flow.pause()
    flow.resume()
    flow.finish(whole)
    flow.feed(b"c")
    flow.finish(not whole)
    flow.abandon()
    flow.pause()
    assert ends.told == [b"a", b"b", "hold", "go on", whole, (whole, False)]


def test_a_stream_that_was_complete_before_it_had_a_sink_is_given_all_the_same() -> None:
    ends = Ends()
    flow = BodyStream(ends, 1)
    flow.feed(b"a")
    flow.finish(True)
    flow.attach(ends)
    assert ends.told == [b"a", True]


def test_a_stream_that_is_abandoned_tells_its_source_and_takes_nothing_more() -> None:
    ends = Ends()
    flow = BodyStream(ends, 1)
    flow.observer = ends
    flow.attach(ends)
    flow.abandon()
    flow.feed(b"a")
    flow.finish(True)
    assert ends.told == ["unwanted", (False, True)]


# --- Requests ---------------------------------------------------------------------------------


def head(size: int | None, cls: str = "pay", rid: str = "r1", headers: str = "") -> bytes:
    """The head of a request whose body is written apart; None for chunks."""
    framing = "Transfer-Encoding: chunked" if size is None else f"Content-Length: {size}"
    return request(cls, rid=rid, headers=headers).replace(b"Content-Length: 0", framing.encode())


def chunk(data: bytes, extension: str = "") -> bytes:
    return b"%x%b\r\n%b\r\n" % (len(data), extension.encode(), data)


async def until(holds: Callable[[], bool]) -> None:
    while not holds():
        await asyncio.sleep(0)


def pieces(data: bytes, size: int) -> list[bytes]:
    return [data[at : at + size] for at in range(0, len(data), size)]


def counted(one: Sidecar) -> tuple[int, ...]:
    """Answered, deferred, errored, abandoned, current; together they are those taken."""
    counters = one.engine.counters
    each = (counters.answered, counters.deferred, counters.errored, counters.abandoned)
    found = (*(sum(kind) for kind in each), one.engine.open_request_count())
    assert sum(found) == sum(counters.taken)
    return found


def nothing_held(one: Sidecar) -> None:
    daemon = one.server
    assert daemon.request_budget.used == 0 and not one.engine.calls and not one.engine.forwarding
    assert not daemon.uploading.waiting_since and not daemon.write_stalled.waiting_since
    assert not one.upstream.streaming.waiting_since and not one.upstream.write_stalled.waiting_since


@pytest.mark.parametrize("size", [100, 64 * 1024 + 1, MAX_BUFFERED_BYTES, MAX_BUFFERED_BYTES + 1, len(BIG)])
@pytest.mark.parametrize("framed", ["length", "chunks"])
def test_a_body_of_any_size_comes_through_whole(size: int, framed: str) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            body = BIG[:size]
            if framed == "length":
                writer.write(head(size) + body)
            else:
                writer.write(head(None))
                for part in pieces(body, 70_001):
                    writer.write(chunk(part, ";name=value"))
                writer.write(b"0\r\nTrailer: x\r\n\r\n")
            back = await read_message(reader)
            assert back.status == 200 and endpoint.got[0].body == body
            assert endpoint.got[0].headers["x-request-id"] == "r1"
            writer.write(request(rid="r2"))  # the connection goes on
            assert (await read_message(reader)).status == 200
            assert counted(one) == (2, 0, 0, 0, 0)
            nothing_held(one)

    run(main())


def test_what_is_held_whole_can_be_sent_again_and_what_was_passed_on_can_not() -> None:
    async def main() -> None:
        async def once(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(answer(503, headers="X-Not-Run: 1\r\n"))

        endpoints = Endpoint(once), Endpoint(once)
        async with sidecar(*endpoints) as one:
            for rid, size, attempts in (("r1", MAX_BUFFERED_BYTES, 2), ("r2", 2 * MAX_BUFFERED_BYTES, 1)):
                reader, writer = await one.connect()
                writer.write(head(size, rid=rid) + BIG[:size])
                back = await read_message(reader)
                got = sum(message.headers["x-request-id"] == rid for end in endpoints for message in end.got)
                assert got >= attempts if attempts > 1 else got == 1
                assert back.status in (502, 503), "turned away unseen: it has not run"
            nothing_held(one)

    run(main())


def test_no_second_attempt_takes_an_upload_that_was_begun() -> None:
    """The endpoint resets when the beginning has come: it never ran, and is not sent again."""

    class Breaks(Endpoint):
        async def _serve(self, reader: Reader, writer: Writer) -> None:
            self.opened += 1
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(1000)
            reset_connection(writer)

    async def main() -> None:
        endpoints = Breaks(), Breaks()
        async with sidecar(*endpoints) as one:
            told = record_outcomes(one.engine)
            reader, writer = await one.connect()
            writer.write(head(len(BIG)) + BIG[: 2 * MB])
            back = await read_message(reader)
            assert back.status in (502, 503) and back.headers["connection"] == "close"
            assert endpoints[0].opened + endpoints[1].opened == 1
            assert told[0].outcome == NO_CONNECT, "not whole: it can't have run"
            assert all(later.outcome == NOT_SENT for later in told[1:])
            assert counted(one)[4] == 0
            writer.close()

    run(main())


def test_an_upload_that_is_refused_at_once_ends_its_connection() -> None:
    """Compiled, the answer that came within `take` was once a TypeError."""

    async def main() -> None:
        async with sidecar() as one:
            reader, writer = await one.connect()
            writer.write(head(len(BIG)) + BIG[: 2 * MB])
            back = await read_message(reader)
            assert back.status in (502, 503) and back.headers["connection"] == "close"
            assert sum(counted(one)[1:3]) == 1 and not one.engine.calls
            nothing_held(one)
            writer.close()

    run(main())


def test_an_upload_that_broke_behind_its_last_byte_may_have_run() -> None:
    async def main() -> None:
        async def broken(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            reset_connection(writer)

        endpoint = Endpoint(broken)
        async with sidecar(endpoint) as one:
            told = record_outcomes(one.engine)
            back = await one.send(head(len(BIG)) + BIG)
            assert back.status == 502 and [event.outcome for event in told] == [RESET]
            assert len(endpoint.got) == 1
            nothing_held(one)

    run(main())


def test_a_caller_that_leaves_its_upload_ends_the_attempt() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            _, writer = await one.connect()
            writer.write(head(len(BIG)) + BIG[: 2 * MB])
            await until(lambda: endpoint.opened == 1)
            writer.transport.abort()
            await endpoint.closed.acquire()
            await until(lambda: not one.engine.calls)
            assert not endpoint.got and counted(one) == (0, 0, 0, 1, 0)
            nothing_held(one)

    run(main())


class Deaf(Endpoint):
    """Reads nothing."""

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        writer.transport.pause_reading()  # type: ignore[attr-defined]
        self.open.add(writer)
        self.opened += 1


def test_an_upload_whose_endpoint_never_reads_is_ended_and_answered() -> None:
    async def main() -> None:
        endpoint = Deaf()
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            writer.write(head(MAX_STREAMED_BODY_BYTES))
            writer.transport.set_write_buffer_limits(high=0)

            async def pour() -> None:
                with contextlib.suppress(ConnectionError):
                    for _ in range(32):
                        writer.write(bytes(MB))
                        await writer.drain()

            pouring = asyncio.create_task(pour())
            stalled = one.upstream.write_stalled
            await until(lambda: bool(stalled.waiting_since))
            for link in stalled.waiting_since:
                stalled.waiting_since[link] -= stalled.timeout_s  # nothing was read for so long
            stalled.run()
            back = await read_message(reader)
            assert back.status in (502, 503) and back.headers["connection"] == "close"
            assert not one.engine.calls and not one.upstream.connections
            pouring.cancel()
            writer.transport.abort()
            for open_ in endpoint.open:
                open_.transport.abort()
            await until(lambda: not one.connection_count)

    run(main())


def test_an_endpoint_that_does_not_read_holds_the_caller_back() -> None:
    async def main() -> None:
        endpoint = Deaf()
        async with sidecar(endpoint) as one:
            _, writer = await one.connect()
            writer.write(head(MAX_STREAMED_BODY_BYTES))
            writer.transport.set_write_buffer_limits(high=0)
            body = bytes(MB)

            async def pour() -> None:
                for _ in range(32):
                    writer.write(body)
                    await writer.drain()

            pouring = asyncio.create_task(pour())
            await until(lambda: bool(one.upstream.write_stalled.waiting_since))
            (caller,) = one.server.connections
            (link,) = one.upstream.connections
            size = caller.body_byte_count
            for _ in range(200):
                await asyncio.sleep(0)
            assert caller.body_byte_count == size < 24 * MB and not pouring.done()
            assert link.transport is not None and link.transport.get_write_buffer_size() <= MB
            assert not caller.upload or not caller.upload.buffered
            pouring.cancel()
            writer.transport.abort()
            await until(lambda: not one.engine.calls)
            for open_ in endpoint.open:
                open_.transport.abort()

    run(main())


def test_a_body_that_is_written_slowly_is_waited_for() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            writer.write(head(3000))
            waiting = one.server.awaiting_request.waiting_since
            for part in pieces(BIG[:3000], 1000):
                await until(lambda: bool(waiting) and next(iter(waiting)).parsed is not None)
                (caller,) = waiting
                began = waiting[caller] = waiting[caller] - 1.0
                writer.write(part)
                # Its time begins anew with each piece, or it is whole.
                await until(lambda: caller not in waiting or waiting[caller] > began)  # noqa: B023
            assert (await read_message(reader)).status == 200 and len(endpoint.got[0].body) == 3000

    run(main())


def test_a_body_that_comes_too_slowly_is_told_so() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            writer.write(head(200_000) + b"x" * 10)
            await until(lambda: any(caller.parsed is not None for caller in one.server.connections))
            (caller,) = one.server.connections
            caller.head_completed_at -= 60.0  # as if the head had come a minute ago
            writer.write(b"x" * 1000)
            back = await read_message(reader)
            assert back.status == 408 and not endpoint.got

    run(main())


def test_a_caller_that_waits_for_the_word_gets_it() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            writer.write(head(5, headers="Expect: 100-Continue\r\n"))
            assert await reader.readuntil(b"\r\n\r\n") == b"HTTP/1.1 100 Continue\r\n\r\n"
            writer.write(b"12345")
            assert (await read_message(reader)).status == 200 and endpoint.got[0].body == b"12345"
            writer.write(head(MAX_STREAMED_BODY_BYTES + 1, rid="r2", headers="Expect: 100-continue\r\n"))
            assert (await read_message(reader)).status == 413

    run(main())


# --- Answers ----------------------------------------------------------------------------------


def framed(body: bytes, how: str) -> bytes:
    if how == "length":
        return answer(200, body, "Content-Type: image/png\r\n")
    start = b"HTTP/1.1 200 OK\r\nContent-Type: image/png\r\n"
    if how == "chunks":
        return start + b"Transfer-Encoding: chunked\r\n\r\n" + chunk(body, ";a=b") + b"0\r\nT: x\r\n\r\n"
    return start + b"Connection: close\r\n\r\n" + body


def giving(data: bytes, then: Callable[[Writer], Awaitable[None]] | None = None) -> Endpoint:
    """Answers each request with these bytes, and does something then."""

    async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        endpoint.effects.execute(message)
        writer.write(data)
        if then is not None:
            await then(writer)

    return Endpoint(handler)


async def end(writer: Writer) -> None:
    writer.close()


async def cut_off(writer: Writer) -> None:
    await writer.drain()
    reset_connection(writer)


@pytest.mark.parametrize("size", [0, 5, 64 * 1024, 64 * 1024 + 1, len(BIG)])
@pytest.mark.parametrize("how", ["length", "chunks", "end"])
def test_an_answer_of_any_size_and_framing_is_passed_on_whole(size: int, how: str) -> None:
    async def main() -> None:
        endpoint = giving(framed(BIG[:size], how) if size or how != "chunks" else framed(b"", "length"))
        if how == "end":
            endpoint = giving(framed(BIG[:size], how), end)
        async with sidecar(endpoint) as one:
            told = record_outcomes(one.engine)
            reader, writer = await one.connect()
            for rid in ("r1", "r2"):
                writer.write(request(rid=rid))
                back = await read_message(reader)
                assert back.status == 200 and back.body == BIG[:size]
                assert back.headers["content-type"] == "image/png" or how == "chunks"
                assert back.headers.get("connection") is None, "the caller's connection goes on"
            await until(lambda: counted(one) == (2, 0, 0, 0, 0))
            assert [event.outcome for event in told] == [OK, OK]
            nothing_held(one)

    run(main())


def test_the_first_bytes_of_a_large_answer_do_not_wait_for_the_last() -> None:
    async def main() -> None:
        endpoint = giving(framed(BIG, "length")[: 1000 + MB])
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            writer.write(request())
            await reader.readuntil(b"\r\n\r\n")
            assert await reader.readexactly(1000) == BIG[:1000]
            assert counted(one) == (0, 0, 0, 0, 1), "it has not ended"
            assert not one.engine.calls
            writer.close()
            await until(lambda: counted(one) == (0, 0, 0, 1, 0))
            await endpoint.closed.acquire()
            nothing_held(one)

    run(main())


@pytest.mark.parametrize("how", ["length", "chunks"])
def test_an_answer_that_breaks_shows_that_it_is_not_whole(how: str) -> None:
    async def main() -> None:
        endpoint = giving(framed(BIG, how)[: 2 * MB], cut_off)
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            writer.write(request())
            with pytest.raises((asyncio.IncompleteReadError, ConnectionError)):
                await read_message(reader)
            await until(lambda: counted(one) == (0, 0, 1, 0, 0))
            assert len(endpoint.got) == 1, "no other attempt once bytes have gone out"
            nothing_held(one)

    run(main())


def test_an_answer_too_large_by_its_length_is_none() -> None:
    async def main() -> None:
        endpoint = giving(
            b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (MAX_STREAMED_BODY_BYTES + 1) + BIG
        )
        async with sidecar(endpoint) as one:
            told = record_outcomes(one.engine)
            back = await one.send(request("pay", b"b"))
            assert back.status == 502 and [event.outcome for event in told] == [ERROR]

    run(main())


def test_a_caller_that_does_not_read_holds_the_endpoint_back() -> None:
    async def main() -> None:
        poured = asyncio.Event()

        async def pour(writer: Writer) -> None:
            with contextlib.suppress(ConnectionError):
                for _ in range(32):
                    writer.write(bytes(MB - 1))
                    await writer.drain()
                poured.set()

        endpoint = giving(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (32 * (MB - 1)), pour)
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(request())
            await until(lambda: bool(one.server.write_stalled.waiting_since))
            (caller,) = one.server.connections
            assert caller.transport is not None
            for _ in range(200):
                await asyncio.sleep(0)
            assert caller.transport.get_write_buffer_size() < MB and not poured.is_set()
            assert one.server.write_stalled.waiting_since and not one.upstream.streaming.waiting_since
            writer.transport.resume_reading()  # type: ignore[attr-defined]
            await reader.readuntil(b"\r\n\r\n")
            assert len(await reader.readexactly(32 * (MB - 1))) == 32 * (MB - 1)
            await until(lambda: counted(one) == (1, 0, 0, 0, 0))
            nothing_held(one)

    run(main())


def test_a_caller_that_never_reads_is_cut_and_its_endpoint_let_go() -> None:
    async def main() -> None:
        async def pour(writer: Writer) -> None:
            with contextlib.suppress(ConnectionError):
                for _ in range(32):
                    writer.write(bytes(MB - 1))
                    await writer.drain()

        endpoint = giving(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % (32 * (MB - 1)), pour)
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            writer.write(request())
            stuck = one.server.write_stalled
            await until(lambda: bool(stuck.waiting_since))
            for caller in stuck.waiting_since:
                stuck.waiting_since[caller] -= stuck.timeout_s  # it has not read for so long
            stuck.run()
            await until(lambda: not one.server.connections and not one.upstream.connections)
            assert counted(one) == (0, 0, 0, 1, 0), "it counts as one who left"
            nothing_held(one)
            writer.transport.resume_reading()  # type: ignore[attr-defined]
            with pytest.raises((ConnectionResetError, asyncio.IncompleteReadError)):
                await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(32 * (MB - 1))
            writer.close()

    run(main())


def test_what_comes_behind_a_request_waits_for_the_end_of_a_large_answer() -> None:
    async def main() -> None:
        go = asyncio.Event()

        async def rest(writer: Writer) -> None:
            await go.wait()
            writer.write(BIG[MB:])

        endpoint = giving(framed(BIG, "length")[: -len(BIG) + MB], rest)
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            writer.write(request())
            await reader.readuntil(b"\r\n\r\n")
            writer.write(request(rid="r2"))
            endpoint.handler = serve_ok
            go.set()
            assert await reader.readexactly(len(BIG)) == BIG
            assert (await read_message(reader)).body == b"ok"
            assert counted(one) == (2, 0, 0, 0, 0)

    run(main())


def test_a_stop_waits_for_an_answer_that_is_being_passed_on() -> None:
    async def main() -> None:
        go, ended = asyncio.Event(), asyncio.Event()

        async def rest(writer: Writer) -> None:
            await go.wait()
            writer.write(BIG[MB:])

        endpoint = giving(framed(BIG, "length")[: -len(BIG) + MB], rest)
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            writer.write(request())
            await reader.readuntil(b"\r\n\r\n")
            one.server.stop(ended.set)
            one.server.shutdown.stop_listening()
            assert not ended.is_set()
            go.set()
            assert await reader.readexactly(len(BIG)) == BIG
            await ended.wait()
            assert one.server.connections == set()
            writer.close()

    run(main())


@pytest.mark.parametrize("stays", [True, False])
def test_an_answer_that_keeps_coming_is_waited_for_and_one_that_stops_is_not(stays: bool) -> None:
    async def main() -> None:
        go = asyncio.Event()

        async def rest(writer: Writer) -> None:
            await go.wait()
            writer.write(b"6789")

        endpoint = giving(answer(200, b"123456789")[:-4], rest)
        async with sidecar(endpoint) as one:
            asked = asyncio.create_task(one.send(request("pay", b"b")))
            await until(lambda: bool(one.upstream.receiving.waiting_since))
            (link,) = one.upstream.receiving.waiting_since
            if stays:
                link.received_bytes_at_check = 0  # something came since it was looked at last
                del one.upstream.receiving.waiting_since[link]
                link.on_response_timeout()
                go.set()
                assert (await asked).body == b"123456789"
            else:
                link.on_response_timeout()
                assert (await asked).status == 502

    run(main())


@pytest.mark.parametrize("held", [False, True], ids=["comes-slowly", "is-held"])
def test_an_answer_that_is_passed_on_keeps_a_pace(held: bool) -> None:
    """One that trickles for ever is cut, so that its client can tell; the time in which the client had no
    room does not count."""

    async def main() -> None:
        more = asyncio.Event()

        async def trickle(writer: Writer) -> None:
            await more.wait()
            writer.write(b"x")

        endpoint = giving(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % MB + bytes(128 * 1024), trickle)
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            writer.write(request())
            await reader.readuntil(b"\r\n\r\n")
            await reader.readexactly(128 * 1024)
            (link,) = one.upstream.streaming.waiting_since
            pace_s = GRACE_S + link.body_byte_count / MIN_RATE_BYTES_PER_S
            if held:
                link.pause()
                link.paused_since -= pace_s + 60.0
                link.streaming_since -= pace_s + 60.0
                link.resume()
            else:
                link.streaming_since -= pace_s
            more.set()
            if held:
                assert await reader.readexactly(1) == b"x" and one.upstream.connections
                writer.close()
            else:
                with pytest.raises(asyncio.IncompleteReadError):
                    await reader.readexactly(MB - 128 * 1024)
                await until(lambda: counted(one) == (0, 0, 1, 0, 0))
                nothing_held(one)

    run(main())


def test_memory_held_for_bodies_is_bounded_and_given_back() -> None:
    """Forty uploads at once, none of them whole: what is over the budget is streamed."""

    async def main() -> None:
        endpoint = Endpoint(never_answer)
        async with sidecar(endpoint) as one:
            one.server.request_budget.limit = MB
            streams = [await one.connect() for _ in range(40)]
            for n, (_, writer) in enumerate(streams):
                writer.write(head(MB, rid=f"r{n}") + BIG[:300_000])
            await until(
                lambda: sum(caller.body_byte_count >= 300_000 for caller in one.server.connections) == 40
            )
            assert one.server.request_budget.used <= MB
            assert sum(caller.upload is not None for caller in one.server.connections) > 30
            for _, writer in streams:
                writer.transport.abort()
            await until(lambda: not one.server.connections and not one.engine.calls)
            nothing_held(one)

    run(main())
