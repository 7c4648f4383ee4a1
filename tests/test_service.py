"""Service days over loopback sockets: bad callers, spoilt answers, crowds, reloads."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import json
import os
import signal
import socket
from pathlib import Path
from typing import cast

import pytest
from laurelstep.balancing.concurrency_limit import IN_FLIGHT_MIN
from laurelstep.balancing.events import CANCELLED, ERROR, FULL, OK
from laurelstep.engine import Answer, Attempt, Call, Clock
from laurelstep.library.client import Exchange
from laurelstep.net.client_connection import ClientConnection
from laurelstep.net.connection_pool import MIN_IDLE
from laurelstep.net.endpoint_connection import EndpointConnection
from laurelstep.net.request_receiver import MAX_DISCARDED_BYTES

from tests.sockets import (
    Endpoint,
    Handler,
    Message,
    MethodProxy,
    Registry,
    Sidecar,
    Writer,
    answer,
    connect_until_up,
    free_port,
    never_answer,
    push,
    push_raw,
    read_message,
    record_outcomes,
    request,
    run,
    serve_ok,
    sidecar,
    start_daemon,
    write_config,
)

PAGE, PUT, PAY = request(), request("put", b"b"), request("pay", b"b")


# --- Bad callers ------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        (PAGE.replace(b"X-Request-Id: r1\r\n", b""), "400"),
        (PAGE.replace(b"r1", b"r 1"), "400"),
        (PAGE.replace(b"r1", b"x" * 129), "400"),
        (PAGE.replace(b"Host", b"X-Request-Id: r2\r\nHost"), "400"),
        (PAGE.replace(b"X-Class: page\r\n", b""), "400"),
        (PAGE.replace(b"X-Class: page", b"X-Class: pay"), "400"),
        (PAGE.replace(b" /page", b" http://backend.local/page"), "400"),
        (PAGE.replace(b" /page", b" //page"), "400"),
        (PAGE.replace(b"?obj=7f3a", b"#top"), "400"),
        (PAGE.replace(b"GET", b"POST"), "405"),
        (PAGE.replace(b"\r\n\r\n", b"\r\nContent-Length: 1\r\n\r\nx"), "400"),
        (PUT.replace(b"k1", b"k 1"), "400"),
        (PAY.replace(b"\r\n\r\n", b"\r\nIdempotency-Key: k1\r\n\r\n"), "400"),
        (PAY.replace(b"Content-Length: 1\r\n", b""), "411"),
        (PAY.replace(b"Content-Length: 1", b"Content-Length: -1"), "400"),
        (PAY.replace(b"Content-Length: 1", b"Content-Length: 1\r\nContent-Length: 1"), "400"),
        (PAY.replace(b"Content-Length: 1", b"Content-Length: 1\r\nTransfer-Encoding: chunked"), "400"),
        (PAY.replace(b"Content-Length: 1", b"Transfer-Encoding: gzip, chunked"), "400"),
        (PAY.replace(b"Content-Length: 1", b"Content-Length: 62914560"), "413"),
        (PAY.replace(b"Content-Length: 1", b"Content-Length: " + b"9" * 40), "400"),
        (PAGE + b"nonsense", "400"),
        (PAGE + request(rid="r2"), "400"),
    ],
    ids=[
        "no-id",
        "id-spaces",
        "id-long",
        "id-twice",
        "no-class",
        "class-differs",
        "absolute-form",
        "two-slashes",
        "fragment",
        "method",
        "get-with-body",
        "key-spaces",
        "key-unasked",
        "no-length",
        "length-negative",
        "length-twice",
        "length-and-chunks",
        "coding",
        "length-huge",
        "length-absurd",
        "noise-behind",
        "request-behind",
    ],
)
def test_what_is_not_in_form_is_refused_and_nothing_sent(raw: bytes, expected: str) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            writer.write(raw)
            back = await read_message(reader)
            assert back.start.split()[1] == expected and back.headers["connection"] == "close"
            assert await reader.read() == b"" and not endpoint.got
            writer.close()

    run(main())


def test_a_trailer_is_no_header() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            raw = PAY.replace(b"Content-Length: 1", b"Transfer-Encoding: chunked")
            raw = raw[:-1] + b"1\r\nb\r\n0\r\nX-Request-Id: r2\r\nX-Class: page\r\n\r\n"
            assert (await one.send(raw)).body == b"ok"
            (got,) = endpoint.got
            assert got.headers["x-request-id"] == "r1" and got.body == b"b"

    run(main())


def test_the_id_of_an_open_request_is_refused_until_that_is_answered() -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def slow(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            await release.wait()
            writer.write(answer())

        endpoint = Endpoint(slow)
        async with sidecar(endpoint) as one:
            first = asyncio.create_task(one.send(PAGE))
            await endpoint.arrived.acquire()
            assert (await one.send(PAGE)).start.split()[1] == "409"
            release.set()
            assert (await first).body == b"ok"
            assert (await one.send(PAGE)).body == b"ok" and not one.engine.open_request_ids

    run(main())


def test_a_second_request_while_the_first_is_open_ends_both() -> None:
    async def main() -> None:
        endpoint = Endpoint(never_answer)
        async with sidecar(endpoint) as one:
            told = record_outcomes(one.engine)
            reader, writer = await one.connect()
            writer.write(PAY)
            await endpoint.arrived.acquire()
            writer.write(request("pay", b"b", rid="r2"))
            assert (await read_message(reader)).start.split()[1] == "400"
            assert await reader.read() == b""
            await endpoint.closed.acquire()
            assert [event.outcome for event in told] == [CANCELLED] and len(endpoint.got) == 1
            writer.close()

    run(main())


def shift(one: Sidecar, span_us: int) -> None:
    """Set the engine's clock forward."""
    real = one.engine.clock.now
    one.engine.clock = cast(Clock, MethodProxy(one.engine.clock, now=lambda: real() + span_us))


def the_caller(one: Sidecar) -> ClientConnection:
    (caller,) = one.server.connections
    return caller


def test_the_rest_of_a_body_too_large_is_dropped_within_a_bound() -> None:
    """So much is read that no close resets the answer away, and no more, nor for longer."""

    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            writer.write(PAY.replace(b"Content-Length: 1", b"Content-Length: 62914560"))
            assert (await read_message(reader)).start.split()[1] == "413"
            assert await reader.read() == b""
            caller = the_caller(one)
            transport = caller.transport
            assert transport is not None
            writer.write(b"x" * 62914560)
            while transport.is_reading():
                await asyncio.sleep(0)
            assert MAX_DISCARDED_BYTES < caller.dropped <= MAX_DISCARDED_BYTES + (256 << 10), (
                "one read over the bound"
            )
            one.server.lingering.waiting_since[caller] -= 60.0
            one.server.lingering.run()
            while one.server.connections:
                await asyncio.sleep(0)
            assert not endpoint.got
            writer.close()

    run(main())


@pytest.mark.parametrize(
    ("raw", "expected"),
    [(b"", None), (b"GET /pa", "408"), (PAY[:-1], "408")],
    ids=["silent", "half-head", "half-body"],
)
def test_a_caller_that_brings_no_request_is_ended(raw: bytes, expected: str | None) -> None:
    async def main() -> None:
        async with sidecar(Endpoint()) as one:
            reader, writer = await one.connect()
            writer.write(raw)
            while not one.server.connections or (raw and not the_caller(one).received):
                await asyncio.sleep(0)
            assert one.server.awaiting_request.timeout_s < 3.0
            one.server.awaiting_request.waiting_since[the_caller(one)] -= (
                one.server.awaiting_request.timeout_s
            )
            one.server.awaiting_request.run()
            if expected is not None:
                assert (await read_message(reader)).start.split()[1] == expected
            assert await reader.read() == b""
            writer.close()

    run(main())


def test_a_caller_that_asked_once_and_stays_is_ended() -> None:
    async def main() -> None:
        async with sidecar(Endpoint()) as one:
            reader, writer = await one.connect()
            writer.write(PAGE)
            assert (await read_message(reader)).body == b"ok"
            assert one.server.idle.timeout_s >= 2.0, "a connection may not be closed sooner"
            one.server.idle.waiting_since[the_caller(one)] -= one.server.idle.timeout_s
            one.server.idle.run()
            assert await reader.read() == b""
            while one.server.connections:
                await asyncio.sleep(0)
            writer.close()

    run(main())


def test_a_crowd_of_silent_callers_makes_room_for_those_that_ask() -> None:
    async def main() -> None:
        endpoint = Endpoint(never_answer)
        async with sidecar(endpoint) as one:
            one.server.max_connections = 9
            asked = asyncio.create_task(one.send(PAGE))
            await endpoint.arrived.acquire()
            endpoint.handler = serve_ok
            kept, kept_writer = await one.connect()
            kept_writer.write(request(rid="r2"))
            assert (await read_message(kept)).body == b"ok"
            crowd = [await one.connect() for _ in range(40)]
            assert await crowd[0][0].read() == b"", "the one silent for longest"
            assert (await one.send(request(rid="r3"))).body == b"ok"
            assert len(one.server.connections) <= 9
            kept_writer.write(request(rid="r4"))
            assert (await read_message(kept)).body == b"ok", "one at rest does not give way to them"
            assert not asked.done(), "nor does one that waits for its answer"
            asked.cancel()
            for _, writer in [*crowd, (None, kept_writer)]:
                writer.close()

    run(main())


def test_of_those_at_rest_the_longest_gives_way() -> None:
    async def main() -> None:
        async with sidecar(Endpoint()) as one:
            one.server.max_connections = 4
            kept = [await one.connect() for _ in range(4)]
            for n, (reader, writer) in enumerate(kept):
                writer.write(request(rid=f"r{n}"))
                assert (await read_message(reader)).body == b"ok"
            _, extra = await one.connect()
            assert await kept[0][0].read() == b""
            kept[1][1].write(request(rid="again"))
            assert (await read_message(kept[1][0])).body == b"ok"
            for _, writer in [*kept, (None, extra)]:
                writer.close()

    run(main())


def test_the_deadline_is_no_longer_than_the_class_allows() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            assert (await one.send(request(deadline_ms=10**12))).body == b"ok"
            assert int(endpoint.got[0].headers["x-deadline-ms"]) <= 5000

    run(main())


# --- Spoilt answers ---------------------------------------------------------------------


class Nobody:
    def on_answer(self, call: Call, answer: Answer) -> None:
        """Is not told."""


def raw_answer(raw: bytes) -> Handler:
    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(raw)

    return reply


@pytest.mark.parametrize(
    "raw",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 3221225472\r\n\r\nx",
        b"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nx",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 1\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nX-Long: " + b"x" * 70_000,
        b"HTTP/1.1 100 Continue\r\nX-Not-Run: 1\r\n\r\n\x00\x01\x02",
        b"\x16\x03\x01\x02",
    ],
)
def test_a_spoilt_answer_fails_at_once_and_may_have_run(raw: bytes) -> None:
    async def main() -> None:
        endpoint = Endpoint(raw_answer(raw))
        async with sidecar(endpoint) as one:
            told = record_outcomes(one.engine)
            assert (await one.send(PAY)).start.split()[1] == "502"
            assert [event.outcome for event in told] == [ERROR]
            await endpoint.closed.acquire()  # of no further use
            while one.upstream.connections:
                await asyncio.sleep(0)

    run(main())


@pytest.mark.parametrize(
    "raw",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nok",
        b"HTTP/1.1 200 OK\r\nX-Load: queue=1",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
    ],
)
def test_an_answer_that_never_ends_does_not_eat_the_request(raw: bytes) -> None:
    async def main() -> None:
        endpoint = Endpoint(raw_answer(raw))
        async with sidecar(endpoint) as one:
            told = record_outcomes(one.engine)
            asked = asyncio.create_task(one.send(PAY))
            while not one.upstream.receiving.waiting_since:
                await asyncio.sleep(0)
            (link,) = one.upstream.connections
            one.upstream.receiving.waiting_since[link] -= one.upstream.receiving.timeout_s
            one.upstream.receiving.run()
            assert (await asked).start.split()[1] == "502"
            assert [event.outcome for event in told] == [ERROR]

    run(main())


@pytest.mark.parametrize("behind", [answer(body=b"other"), b"noise", b"HT", b"\x00"])
def test_what_comes_behind_an_answer_is_dropped_with_the_connection(behind: bytes) -> None:
    async def main() -> None:
        endpoint = Endpoint(raw_answer(answer() + behind))
        async with sidecar(endpoint) as one:
            told = record_outcomes(one.engine)
            assert (await one.send(PAGE)).body == b"ok"
            await endpoint.closed.acquire()
            endpoint.handler = serve_ok
            assert (await one.send(request(rid="r2"))).body == b"ok"
            assert [event.outcome for event in told] == [OK, OK] and endpoint.opened == 2

    run(main())


def test_bytes_that_came_to_a_resting_connection_answer_nothing() -> None:
    """The stray answer is in the kernel, not yet read, when the next request comes."""

    async def main() -> None:
        writers: list[Writer] = []

        async def keep(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writers.append(writer)
            writer.write(answer())

        endpoint = Endpoint(keep)
        async with sidecar(endpoint) as one:
            assert (await one.send(PAGE)).body == b"ok"
            (link,) = one.upstream.connections
            assert link.transport is not None and link.is_reusable()
            link.transport.pause_reading()  # as though the loop had no turn since
            writers[0].write(answer(body=b"stray"))
            while link.is_reusable():
                await asyncio.sleep(0)
            assert (await one.send(request(rid="r2"))).body == b"ok"
            assert endpoint.opened == 2

    run(main())


def test_an_interim_answer_says_nothing_of_the_real_one() -> None:
    async def main() -> None:
        interim = b"HTTP/1.1 102 Processing\r\nX-Not-Run: 1\r\nX-Load: queue=9\r\n\r\n"
        endpoint = Endpoint(raw_answer(interim + answer(503)))
        async with sidecar(endpoint) as one:
            told = record_outcomes(one.engine)
            assert (await one.send(PAY)).start.split()[1] == "502"
            assert [(event.outcome, event.report) for event in told] == [(ERROR, None)]
            endpoint.handler = raw_answer(interim + answer(503, headers="X-Not-Run: 1\r\n"))
            await one.send(request("pay", rid="r2"))
            assert told[1].outcome == FULL

    run(main())


def test_an_attempt_called_off_before_it_was_opened_leaves_nothing() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            call = Call(0, 0, b"GET /page", b"", b"", Nobody())
            (number,) = one.upstream.addresses
            attempt = Attempt(one.engine.attempts, call, 0, number, 0, 0)
            one.upstream.send(attempt)
            assert len(one.upstream.connections) == 1
            one.upstream.cancel(attempt)  # the task that opens it has not had a turn yet
            assert not one.upstream.connections

    run(main())


def test_a_stopping_sidecar_keeps_no_connection_at_rest() -> None:
    """They left no room at the endpoints for the sidecar that took its callers over."""

    async def main() -> None:
        release = asyncio.Event()

        async def slow(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            if message.headers["x-request-id"] == "slow":
                await release.wait()
            writer.write(answer())

        endpoint = Endpoint(slow)
        async with sidecar(endpoint) as one:
            asked = asyncio.create_task(one.send(request(rid="slow")))
            await endpoint.arrived.acquire()
            assert (await one.send(request(rid="r2"))).body == b"ok"
            one.server.stop(lambda: None)
            await endpoint.closed.acquire()
            release.set()
            assert (await asked).body == b"ok", "what was taken is finished"
            await endpoint.closed.acquire()
            while one.upstream.connections:
                await asyncio.sleep(0)

    run(main())


def test_what_a_rush_opened_is_not_kept_for_long() -> None:
    async def main() -> None:
        async with sidecar(Endpoint()) as one:
            assert one.upstream.idle_connections.timeout_s <= 6.0, (
                "though the endpoint would keep it for 30 s"
            )
            assert one.engine.balancer.settings.idle_us == one.upstream.idle_connections.timeout_s * 1e6, (
                "the module too"
            )

    run(main())


def test_what_rests_beyond_what_is_in_use_leaves_its_places_to_others() -> None:
    """One sidecar kept nearly all after a rush, and one just started found no room."""

    async def main() -> None:
        release = asyncio.Event()

        async def rush(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            await release.wait()
            writer.write(answer())

        endpoint = Endpoint(rush)
        async with sidecar(endpoint) as one:
            asked = [asyncio.create_task(one.send(request(rid=f"r{n}"))) for n in range(MIN_IDLE + 3)]
            for _ in asked:
                await endpoint.arrived.acquire()
            release.set()
            assert [(await each).body for each in asked] == [b"ok"] * len(asked)
            for _ in range(3):
                await endpoint.closed.acquire()
            while one.upstream.surplus_connections.waiting_since:
                await asyncio.sleep(0)
            assert (
                len(one.upstream.connections) == len(one.upstream.idle_connections.waiting_since) == MIN_IDLE
            )

    run(main())


# --- Trouble below ----------------------------------------------------------------------


async def settle(one: Sidecar) -> None:
    """Serve requests until the entry bounds what it holds."""
    while not one.engine.balancer.admission.limit.is_unloaded_known:
        assert (await one.send(PAGE)).body == b"ok"


def test_requests_that_hang_do_not_shut_the_entry() -> None:
    """They are as many as may always be held, and no answer comes to raise the bound."""

    async def main() -> None:
        async def some(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            if not message.headers["x-request-id"].startswith("lost"):
                writer.write(answer())

        endpoint = Endpoint(some)
        async with sidecar(endpoint, stage=0) as one:
            await settle(one)
            lost = [await one.connect() for _ in range(IN_FLIGHT_MIN)]
            while not endpoint.arrived.locked():  # those of the settling
                await endpoint.arrived.acquire()
            for n, (_, writer) in enumerate(lost):
                writer.write(request(rid=f"lost{n}"))
                await endpoint.arrived.acquire()
            shift(one, 1_000_000)
            assert (await one.send(PAGE)).body == b"ok"
            for _, writer in lost:
                writer.close()

    run(main())


def test_no_room_for_a_new_connection_leaves_those_at_rest_in_use() -> None:
    """Every copy left such an endpoint alone, waited with free connections, then rushed."""

    async def main() -> None:
        release: asyncio.Queue[None] = asyncio.Queue()
        first: list[Writer] = []

        async def one_connection(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            if first and writer is not first[0]:
                writer.write(answer(503, headers="X-Not-Run: 1\r\nConnection: close\r\n"))
                return
            first.append(writer)
            if message.headers["x-request-id"].startswith("slow"):
                await release.get()
            writer.write(answer())

        endpoint = Endpoint(one_connection)
        async with sidecar(endpoint) as one:
            told = record_outcomes(one.engine)
            for rid in ("slow1", "slow2"):
                asked = asyncio.create_task(one.send(request(rid=rid)))
                await endpoint.arrived.acquire()
                if rid == "slow1":  # answers take long: as long is a full endpoint left alone
                    shift(one, 1_900_000)
                else:
                    _, crossing = await one.connect()
                    crossing.write(request(rid="crossing"))
                    while FULL not in [event.outcome for event in told]:
                        await asyncio.sleep(0)
                release.put_nowait(None)
                assert (await asked).body == b"ok"
            back = await one.send(request(rid="next", deadline_ms=500))
            assert back.body == b"ok" and endpoint.opened == 2
            crossing.close()

    run(main())


# --- Memory -----------------------------------------------------------------------------


def alive() -> int:
    return sum(
        type(one) in (ClientConnection, Exchange, EndpointConnection, Call, Attempt)
        for one in gc.get_objects()
    )


def test_what_is_over_is_freed_without_the_collector() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            gc.collect()
            before = alive()  # loops that other tests closed may have left some
            gc.disable()
            try:
                _, writer = await one.connect()
                endpoint.handler = never_answer
                writer.write(PAGE)
                await endpoint.arrived.acquire()
                assert alive() == before + 4
                writer.close()
                await endpoint.closed.acquire()
                one.apply_list()
                while one.connection_count or one.upstream.connections:
                    await asyncio.sleep(0)
                await asyncio.sleep(0)
                assert alive() == before
                assert not one.engine.calls and not one.engine.open_request_ids
            finally:
                gc.enable()

    run(main())


# --- Signals ----------------------------------------------------------------------------


def test_sigterm_ends_it_though_half_sent_and_silent_callers_stay(tmp_path: Path) -> None:
    async def main() -> None:
        registry = Registry()
        async with await registry.start():
            port = free_port()
            process = await start_daemon(
                {**write_config(tmp_path, registry), "LB_LISTEN": f"127.0.0.1:{port}"}
            )
            _, silent = await connect_until_up(port)
            half_reader, half = await asyncio.open_connection("127.0.0.1", port)
            half.write(PAY[:-1])
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGHUP)
            assert await process.wait() == 0
            back = await read_message(half_reader)
            assert back.status == 503, "its last byte may be on its way: it is told that it was not sent on"
            assert back.headers["connection"] == "close" and await half_reader.read() == b""
            silent.close()
            half.close()

    run(main())


def test_a_log_that_nobody_reads_holds_nothing_up(tmp_path: Path) -> None:
    async def main() -> None:
        registry, endpoint = Registry(), Endpoint()
        read_end, write_end = os.pipe()
        os.set_blocking(write_end, False)
        with contextlib.suppress(BlockingIOError):
            while True:
                os.write(write_end, b"x" * 4096)
        os.set_blocking(write_end, True)
        async with await registry.start(), await endpoint.start():
            port = free_port()
            environ = {**write_config(tmp_path, registry, endpoint), "LB_LISTEN": f"127.0.0.1:{port}"}
            process = await start_daemon(environ, write_end)
            _, writer = await connect_until_up(port)
            writer.close()
            _, watch = await registry.asked.get()
            push_raw(watch, b"{not json\n")  # a line for the log
            await registry.asked.get()
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(PAGE)
            assert (await read_message(reader)).body == b"ok"
            writer.close()
            process.send_signal(signal.SIGTERM)
            assert await process.wait() == 0
        os.close(read_end)
        os.close(write_end)

    run(main())


def test_sighup_moves_the_watch_to_what_the_file_names(tmp_path: Path) -> None:
    async def main() -> None:
        old, new, endpoint = Registry(), Registry(), Endpoint()
        async with await old.start(), await new.start(), await endpoint.start():
            port = free_port()
            environ = {
                **write_config(tmp_path, old),
                "LB_LISTEN": f"127.0.0.1:{port}",
                "LB_DISCOVERY": f"127.0.0.1:{old.port}",
            }
            process = await start_daemon(environ)
            _, writer = await connect_until_up(port)
            writer.close()
            assert "from=1 " in (await old.asked.get())[0]
            file = Path(environ["LB_CONFIG"])
            good = json.loads(file.read_text())
            file.write_text("{")
            process.send_signal(signal.SIGHUP)
            assert process.stderr is not None
            assert b"not reloaded" in await process.stderr.readline()
            file.write_text(json.dumps({**good, "discovery": f"127.0.0.1:{new.port}"}))
            process.send_signal(signal.SIGHUP)
            target, watch = await new.asked.get()
            assert "from=0 " in target, "the versions there may be others"
            push(watch, 1, True, endpoint.entry("s-1"))
            while True:
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(PAGE)
                back = await read_message(reader)
                writer.close()
                if back.body == b"ok":
                    break
            for _ in range(3):
                process.send_signal(signal.SIGHUP)
            await new.asked.get()
            process.send_signal(signal.SIGTERM)
            _, errors = await process.communicate()
            assert (process.returncode, errors) == (0, b"") and old.asked.empty()

    run(main())


async def accepted(one: Sidecar, raw: bytes) -> socket.socket:
    """A connection that the closed listener had accepted, with a request on it."""
    ours, theirs = socket.socketpair()
    ours.sendall(raw)
    ours.setblocking(False)
    await asyncio.get_running_loop().connect_accepted_socket(one.server._new_connection, theirs)
    return ours


def test_a_connection_accepted_in_the_turn_that_closes_the_listener_is_served() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            ended = asyncio.Event()
            one.server.stop(ended.set)
            connecting = asyncio.create_task(accepted(one, PAY))
            await asyncio.sleep(0)  # accepted, and not yet told to the server
            assert not one.server.connections
            one.server.shutdown.close_listener()
            ours = await connecting
            back = await asyncio.get_running_loop().sock_recv(ours, 1000)
            assert b"Connection: close" in back and back.endswith(b"ok")
            ours.close()
            await ended.wait()

    run(main())


def test_a_connection_that_comes_up_after_the_last_one_is_not_read() -> None:
    """The process ends: its request must not run unanswered."""

    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            ended = asyncio.Event()
            one.server.stop(ended.set)
            one.server.shutdown.stop_listening()
            await ended.wait()
            ours = await accepted(one, PAY)
            with contextlib.suppress(ConnectionResetError):
                assert await asyncio.get_running_loop().sock_recv(ours, 100) == b""
            assert not endpoint.got and not one.engine.calls and not one.server.connections
            ours.close()

    run(main())
