"""Ends that cross what is still owed to a caller: each instant is forced, in both orders.

Callers are plain sockets on the test's own loop: what they send is in the sidecar's kernel buffer when
`send` returns, and the sidecar reads it no sooner than in its next turn. Named steps (the module's, the
server's) hold one side until the other has come to the instant. Judged by answers and by what endpoints saw.
"""

from __future__ import annotations

import asyncio
import contextlib
import gc
import signal
import socket
import struct
import sys
from collections.abc import AsyncIterator, Callable
from pathlib import Path
from typing import Any, cast

import pytest
from laurelstep.balancing.events import FULL, Action, Outcome, Send
from laurelstep.engine import Call
from laurelstep.engine.loop_watch import BLOCKED_US
from laurelstep.hot_restart.rendezvous import RendezvousPoint
from laurelstep.hot_restart.successor import take_over
from laurelstep.net.client_connection import ClientConnection

from tests.sockets import (
    SETTINGS,
    Endpoint,
    Message,
    MethodProxy,
    Registry,
    Sidecar,
    Writer,
    answer,
    connect_until_up,
    free_port,
    never_answer,
    override_decisions,
    push,
    read_message,
    request,
    run,
    serve_ok,
    sidecar,
    start_daemon,
    write_config,
)
from tests.upgrades import Site

PAGE, PAY = request(), request("pay", b"body")
LAST = request("page", rid="last", headers="Connection: close\r\n")
LARGE = bytes(range(256)) * 240  # a body within the protocol's limit, over a small window


class Client:
    """A caller of which each step is the test's: it reads only when it is asked to."""

    def __init__(self, port: int, window: int = 0) -> None:
        self.raw = socket.socket()
        if window:  # before it connects: the system fixes it then
            self.raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.raw.connect(("127.0.0.1", port))
        self.raw.setblocking(False)

    def send(self, data: bytes) -> None:
        assert self.raw.send(data) == len(data)

    async def read(self) -> bytes:
        """All up to the end of the connection; `ConnectionResetError` if that is a reset."""
        loop, parts = asyncio.get_running_loop(), list[bytes]()
        while part := await loop.sock_recv(self.raw, 1 << 16):
            parts.append(part)
        return b"".join(parts)

    async def read_answer(self) -> Message:
        """One answer, on a connection that may stay open."""
        loop, data = asyncio.get_running_loop(), b""
        while True:
            reader = asyncio.StreamReader()
            reader.feed_data(data)
            reader.feed_eof()
            with contextlib.suppress(asyncio.IncompleteReadError):
                return await read_message(reader)
            part = await loop.sock_recv(self.raw, 1 << 16)
            if not part:
                raise asyncio.IncompleteReadError(data, None)
            data = b"%b%b" % (data, part)

    def close(self) -> None:
        self.raw.close()


@contextlib.contextmanager
def client(one: Sidecar, window: int = 0) -> Any:
    with contextlib.closing(Client(one.port, window)) as made:
        yield made


async def parsed(data: bytes) -> list[Message]:
    """The whole answers in it; `IncompleteReadError` if the last is not whole."""
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    found: list[Message] = []
    while not reader.at_eof():
        found.append(await read_message(reader))
    return found


async def until(true: Callable[[], bool]) -> None:
    while not true():
        await asyncio.sleep(0)


async def caller_of(one: Sidecar) -> ClientConnection:
    """The one that is connected, by now."""
    await until(lambda: len(one.server.connections) == 1)
    (caller,) = one.server.connections
    return caller


async def small_buffer(one: Sidecar) -> None:
    """Of a large answer to the one that is connected some stays in the process until it is read."""
    transport = (await caller_of(one)).transport
    assert transport is not None
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)


def at_outcome(one: Sidecar, step: Callable[[Outcome], None]) -> None:
    """`step` is taken in the turn of the loop in which an outcome comes: behind the answer's first
    write, where it is one, and before any of that is with the system."""

    def outcome(now: int, event: Outcome) -> list[Action]:
        step(event)
        return real.outcome(now, event)

    real = override_decisions(one.engine, outcome=outcome)


def due(sweep: Any) -> None:
    """The sweep's time is over for all in it: it runs before the loop reads anything more."""
    for each in sweep.waiting_since:
        sweep.waiting_since[each] -= sweep.timeout_s
    sweep.run()


# --- Close over unread bytes --------------------------------------------------------------


def test_accepted_connections_hold_no_small_write_back() -> None:
    async def main() -> None:
        async with sidecar(Endpoint()) as one:
            with client(one):
                caller = await caller_of(one)
                assert caller.transport is not None
                found = caller.transport.get_extra_info("socket")
                assert found.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(main())


@pytest.mark.parametrize("crosses", [True, False], ids=["before-its-close", "never"])
@pytest.mark.parametrize("why", ["asked", "stop"])
def test_bytes_that_cross_the_close_behind_an_answer_take_nothing_of_it(why: str, crosses: bool) -> None:
    """The caller's window is small: most of the answer is still with the sidecar's system."""

    async def main() -> None:
        async def large(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(answer(body=LARGE))

        async with sidecar(Endpoint(large)) as one:
            with client(one, window=4096) as caller:

                def cross(event: Outcome) -> None:
                    if crosses:
                        caller.send(request(rid="crossing"))

                at_outcome(one, cross)
                if why == "stop":
                    await caller_of(one)
                    one.server.stop(lambda: None)
                caller.send(LAST if why == "asked" else PAGE)
                (back,) = await parsed(await caller.read())
                assert back.status == 200 and back.body == LARGE

    run(main())


@pytest.mark.parametrize("behind", [b"x" * 100, b"x" * (1 << 18)], ids=["some", "much"])
def test_a_refusal_outlives_what_its_caller_goes_on_sending(behind: bytes) -> None:
    async def main() -> None:
        endpoint = Endpoint(never_answer)
        async with sidecar(endpoint) as one:
            with client(one) as caller:
                caller.send(PAY)
                await endpoint.arrived.acquire()
                real = one.engine.decisions

                def gone(now: int, rid: int) -> list[Action]:
                    with contextlib.suppress(BlockingIOError):
                        caller.raw.send(behind)
                    return real.client_disconnected(now, rid)

                override_decisions(one.engine, client_disconnected=gone)
                caller.send(request(rid="r2"))
                (back,) = await parsed(await caller.read())
                assert back.status == 400 and len(endpoint.got) == 1

    run(main())


def test_a_caller_that_reads_slowly_gets_the_whole_answer_though_its_connection_was_ended() -> None:
    async def main() -> None:
        async def large(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(answer(body=LARGE))

        async with sidecar(Endpoint(large)) as one:
            with client(one, window=4096) as caller:
                await small_buffer(one)
                caller.send(LAST)
                await until(lambda: bool(one.server.lingering.waiting_since))
                due(one.server.lingering)
                (back,) = await parsed(await caller.read())
                assert back.body == LARGE

    run(main())


def test_a_request_that_never_came_whole_is_freed_without_the_collector() -> None:
    """Its call holds the connection, which holds it while the body is owed."""

    def alive() -> int:
        return sum(type(found) in (ClientConnection, Call) for found in gc.get_objects())

    async def main() -> None:
        async with sidecar(Endpoint()) as one:
            gc.collect()
            before = alive()
            gc.disable()
            try:
                with client(one) as caller:
                    caller.send(PAY[:-1])
                    await until(lambda: alive() == before + 2)
                await until(lambda: not one.server.connections)
                await asyncio.sleep(0)
                assert alive() == before
            finally:
                gc.enable()

    run(main())


# --- A request on a connection at rest ----------------------------------------------------


@pytest.mark.parametrize("first", ["request", "close"])
@pytest.mark.parametrize("sweep", ["idle", "late_connections", "awaiting_request"])
def test_a_request_and_the_idle_close_cross(sweep: str, first: str) -> None:
    """One that has come is served; behind the close none is sent on, and the caller sees an end, no reset."""

    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            with client(one) as caller:
                ended = await caller_of(one)
                if sweep == "idle":
                    caller.send(request(rid="before"))
                    assert (await caller.read_answer()).status == 200
                elif sweep == "late_connections":
                    one.server.awaiting_request.discard(ended)
                    one.server.late_connections.add(ended)
                before = len(endpoint.got)
                if first == "request":
                    caller.send(LAST)
                    due(getattr(one.server, sweep))
                    (back,) = await parsed(await caller.read())
                    assert back.body == b"ok" and len(endpoint.got) == before + 1
                else:
                    due(getattr(one.server, sweep))
                    caller.send(LAST)
                    assert await caller.read() == b""
                    caller.close()
                    await until(lambda: not one.server.connections)
                    assert len(endpoint.got) == before

    run(main())


# --- Graceful shutdown --------------------------------------------------------------------


@contextlib.asynccontextmanager
async def stopping(*endpoints: Endpoint, known: bool = True) -> AsyncIterator[tuple[Sidecar, asyncio.Event]]:
    """A sidecar, and the event that its stop sets when nothing is owed any more."""
    async with sidecar(*endpoints, known=known) as one:
        yield one, asyncio.Event()


@pytest.mark.parametrize("first", ["byte", "end"])
def test_stop_between_accept_and_first_byte(first: str) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with stopping(endpoint) as (one, ended):
            with client(one) as caller:
                await caller_of(one)
                one.server.stop(ended.set)
                if first == "byte":
                    caller.send(PAGE)  # it is in the kernel's buffer when the listener closes
                    one.server.shutdown.stop_listening()
                    (back,) = await parsed(await caller.read())
                    assert back.body == b"ok" and back.headers["connection"] == "close"
                else:
                    one.server.shutdown.stop_listening()
                    caller.send(PAGE)
                    assert await caller.read() == b"" and not endpoint.got
            await ended.wait()

    run(main())


@pytest.mark.parametrize("last_byte", ["read", "unread", "late", "never"])
def test_stop_between_head_and_body(last_byte: str) -> None:
    """A request of which a part was read gets an answer, if its last byte crosses the end of the wait too."""

    async def main() -> None:
        endpoint = Endpoint()
        async with stopping(endpoint) as (one, ended):
            with client(one) as caller:
                (head, rest) = PAY[:-2], PAY[-2:]
                caller.send(head)
                begun = await caller_of(one)
                await until(lambda: begun.received == len(head))
                one.server.stop(ended.set)
                if last_byte == "read":
                    caller.send(rest)
                    await endpoint.arrived.acquire()
                elif last_byte == "unread":
                    caller.send(rest)
                one.server.shutdown.stop_listening()
                if last_byte == "late":
                    caller.send(rest)
                (back,) = await parsed(await caller.read())
                served = last_byte in ("read", "unread")
                assert (back.status, len(endpoint.got)) == ((200, 1) if served else (503, 0))
                assert back.headers["connection"] == "close"
            await ended.wait()

    run(main())


@pytest.mark.parametrize("sends", [True, False], ids=["its-request", "nothing"])
def test_stop_with_a_connection_that_the_system_alone_has_accepted(sends: bool) -> None:
    """The listener closes in a turn in which nothing was accepted: that would reset it."""

    async def main() -> None:
        endpoint = Endpoint()
        async with stopping(endpoint) as (one, ended):
            one.server.stop(ended.set)
            callers = [Client(one.port) for _ in range(3)]
            for n, caller in enumerate(callers):
                if sends:
                    caller.send(request(rid=f"r{n}"))
            one.server.shutdown.stop_listening()
            for caller in callers:
                data = await caller.read()
                assert [back.body for back in await parsed(data)] == ([b"ok"] if sends else [])
                caller.close()
            assert len(endpoint.got) == (3 if sends else 0)
            await ended.wait()
            with pytest.raises(ConnectionRefusedError):
                Client(one.port)

    run(main())


@pytest.mark.parametrize("stop", ["while-held", "before"])
def test_stop_between_read_and_first_attempt(stop: str) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with endpoint, stopping(known=False) as (one, ended):
            with client(one) as caller:
                await caller_of(one)
                if stop == "before":
                    one.server.stop(ended.set)
                caller.send(PAGE)
                await until(lambda: len(one.engine.calls) == 1)
                one.server.stop(ended.set)
                one.server.shutdown.stop_listening()
                assert not endpoint.got
                one.apply_list(endpoint.entry())
                (back,) = await parsed(await caller.read())
                assert back.body == b"ok" and len(endpoint.got) == 1
            await ended.wait()

    run(main())


@pytest.mark.parametrize("stop", ["at-the-outcome", "half-read"])
def test_stop_between_an_outcome_and_the_last_byte_of_its_answer(stop: str) -> None:
    """In the turn of the outcome the answer had said that its connection stays."""

    async def main() -> None:
        async def large(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(answer(body=LARGE))

        async with stopping(Endpoint(large)) as (one, ended):
            with client(one, window=4096) as caller:
                if stop == "at-the-outcome":
                    at_outcome(one, lambda _: one.server.stop(ended.set))
                caller.send(PAGE)
                part = await asyncio.get_running_loop().sock_recv(caller.raw, 1000)
                if stop == "half-read":
                    one.server.stop(ended.set)
                caller.send(request(rid="crossing"))
                one.server.shutdown.stop_listening()
                (back,) = await parsed(part + await caller.read())
                assert back.body == LARGE
            await ended.wait()

    run(main())


@pytest.mark.parametrize("behind", [True, False], ids=["request-behind", "nothing-behind"])
@pytest.mark.parametrize("why", ["stop", "drain"])
def test_no_connection_rests_behind_an_answer_that_was_passed_on_meanwhile(why: str, behind: bool) -> None:
    """Its head had said that the connection stays. A request that was read meanwhile is answered."""

    async def main() -> None:
        go, large = asyncio.Event(), LARGE * 4

        async def in_parts(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            if message.headers["x-request-id"] != "r1":
                writer.write(answer())
                return
            writer.write(answer(body=large)[:-1])
            await go.wait()
            writer.write(large[-1:])

        endpoint = Endpoint(in_parts)
        async with stopping(endpoint) as (one, ended):
            with client(one) as caller:
                caller.send(PAGE)
                passing = await caller_of(one)
                await until(lambda: passing.answer is not None)
                if behind:
                    caller.send(request(rid="r2"))
                    await until(lambda: bool(passing.pipelined))
                one.server.idle.timeout_s = 3600.0  # not by this
                if why == "stop":
                    one.server.stop(ended.set)
                    one.server.shutdown.stop_listening()
                else:
                    one.server.lifecycle.evacuate(asyncio.get_running_loop().time())
                    for step in one.server.shutdown.pending:
                        step.cancel()  # they are taken here
                    one.server.shutdown.close_idle_and_silent()
                    one.server.shutdown.finish_drain()
                go.set()
                found = await parsed(await caller.read())
                assert [back.body for back in found] == [large, b"ok"][: len(found)]
                assert len(found) == len(endpoint.got) == (2 if behind else 1)
            if why == "stop":
                await ended.wait()

    run(main())


@pytest.mark.parametrize("stop", ["at-the-outcome", "before"])
def test_stop_during_the_wait_for_a_further_attempt(stop: str) -> None:
    async def main() -> None:
        async def full_once(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            for each in endpoints:
                each.handler = serve_ok
            writer.write(answer(503, headers="X-Not-Run: 1\r\n"))

        endpoints = Endpoint(full_once), Endpoint(full_once)
        async with stopping(*endpoints) as (one, ended):
            told: list[int] = []

            def first(event: Outcome) -> None:
                told.append(event.outcome)
                if stop == "at-the-outcome":
                    one.server.stop(ended.set)
                    one.server.shutdown.stop_listening()

            at_outcome(one, first)
            with client(one) as caller:
                caller.send(PAY)
                if stop == "before":
                    await until(lambda: len(one.engine.calls) == 1)
                    one.server.stop(ended.set)
                (back,) = await parsed(await caller.read())
                assert told[0] == FULL and back.body == b"ok"
                assert sum(each.effects.by_id["r1"] for each in endpoints) == 1
            await ended.wait()

    run(main())


@pytest.mark.parametrize("brings", ["nothing", "head", "late-request"])
def test_what_came_last_at_a_stop_is_ended_before_a_request_on_it_could_be_lost(brings: str) -> None:
    """A connection that joins behind the close of the listener, or of whose request a part had come. What
    begins later than 0.7 s after SIGTERM is lost if SIGKILL finds it open."""

    async def main() -> None:
        endpoint = Endpoint()
        async with stopping(endpoint) as (one, ended):
            with client(one) as caller:
                late = await caller_of(one)
                one.server.stop(ended.set)
                if brings == "head":
                    caller.send(PAY[:-2])
                    one.server.shutdown.stop_listening()  # unread: it has its turn, and is asked again
                else:
                    one.server.shutdown.stop_listening()
                    assert await caller.read() == b""
                    ours, theirs = socket.socketpair()
                    ours.setblocking(False)
                    await asyncio.get_running_loop().connect_accepted_socket(
                        one.server._new_connection, theirs
                    )
                    caller.raw, last = ours, caller.raw
                    last.close()
                    await until(lambda: late not in one.server.connections and bool(one.server.connections))
                one.server.late_connections.timeout_s = one.server.awaiting_request.timeout_s = (
                    3600.0  # not by these
                )
                if brings == "late-request":
                    caller.send(PAGE)
                found = await parsed(await caller.read())
                assert [back.status for back in found] == {"nothing": [], "head": [503]}.get(brings, [200])
                assert len(endpoint.got) == (brings == "late-request")
            await ended.wait()

    run(main())


def take_steps_by_hand(one: Sidecar) -> None:
    """Of the shutdown's steps none comes by its time."""
    shutdown = one.server.shutdown
    shutdown.loop = cast(
        asyncio.AbstractEventLoop,
        MethodProxy(shutdown.loop, call_later=lambda *of: shutdown.loop.call_at(1e12, print)),
    )


@pytest.mark.parametrize("comes", ["whole", "in-pieces", "upload", "upload-held-back"])
def test_a_request_whose_last_byte_comes_too_late_at_a_stop_is_refused(comes: str) -> None:
    """Of one that came later than 0.7 s after SIGTERM, SIGKILL may find no answer: with short deadlines
    it comes soon. So none is waited for, though a part of it is unread at each look."""

    async def main() -> None:
        endpoint = Endpoint()
        async with stopping(endpoint) as (one, ended):
            is_upload = comes.startswith("upload")
            whole = request("pay", LARGE) if is_upload else PAY
            if is_upload:
                one.server.request_budget.limit = 0
            if comes == "upload-held-back":
                override_decisions(one.engine, request=lambda now, event: [])  # nobody takes it
            with client(one) as caller:
                caller.send(whole[:-20])
                begun = await caller_of(one)
                transport = begun.transport
                assert transport is not None
                await until(lambda: begun.received == len(whole) - 20 or not transport.is_reading())
                if comes == "upload":
                    await until(lambda: endpoint.opened == 1)
                take_steps_by_hand(one)
                one.server.stop(ended.set)
                caller.send(whole[-20:-10])
                one.server.shutdown.stop_listening()
                await until(lambda: not begun.has_unread() or not transport.is_reading())
                assert not begun.closing
                caller.send(whole[-10:] if comes == "whole" else whole[-10:-5])
                one.server.shutdown.refuse_partial()
                (back,) = await parsed(await caller.read())
                assert (back.status, len(endpoint.got)) == ((200, 1) if comes == "whole" else (503, 0))
                assert back.headers["connection"] == "close"
                assert not one.engine.calls
            await ended.wait()

    run(main())


def test_a_second_stop_ends_nothing_sooner() -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def slow(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            await release.wait()
            writer.write(answer())

        endpoint = Endpoint(slow)
        async with stopping(endpoint) as (one, ended):
            with client(one) as caller:
                caller.send(PAGE)
                await endpoint.arrived.acquire()
                one.server.stop(ended.set)
                one.server.shutdown.stop_listening()
                one.server.stop(ended.set)
                assert not ended.is_set()
                release.set()
                (back,) = await parsed(await caller.read())
                assert back.body == b"ok"
            await ended.wait()

    run(main())


@pytest.mark.parametrize("first", ["request", "close"])
def test_a_request_on_a_connection_at_rest_and_the_stop_cross(first: str) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with stopping(endpoint) as (one, ended):
            with client(one) as caller:
                caller.send(request(rid="before"))
                assert "connection" not in (await caller.read_answer()).headers
                if first == "request":
                    caller.send(PAGE)
                one.server.stop(ended.set)
                if first == "close":
                    caller.send(PAGE)
                found = await parsed(await caller.read())
                assert [back.body for back in found] == ([b"ok"] if first == "request" else [])
                assert len(endpoint.got) == 1 + len(found)
            await ended.wait()

    run(main())


@pytest.mark.parametrize("first", ["request", "end"])
def test_callers_left_to_a_successor_are_ended_between_requests(first: str) -> None:
    """The stop of a process that was succeeded: connections end with their next answer, or in time."""

    async def main() -> None:
        endpoint = Endpoint()
        async with stopping(endpoint) as (one, ended):
            one.server.shutdown.has_successor = lambda: True
            with client(one) as caller:
                caller.send(request(rid="before"))
                await caller.read_answer()
                one.server.stop(ended.set)
                if first == "request":
                    caller.send(PAGE)
                one.server.shutdown.close_all_unforwarded()
                if first == "end":
                    caller.send(PAGE)
                found = await parsed(await caller.read())
                assert [back.body for back in found] == ([b"ok"] if first == "request" else [])
                assert len(endpoint.got) == 1 + len(found)
            await ended.wait()

    run(main())


# --- The process --------------------------------------------------------------------------


def test_a_stop_answers_all_it_took_where_deadlines_are_short_and_endpoints_hang(tmp_path: Path) -> None:
    """SIGKILL comes 0.9 s after SIGTERM then: no wait of the shutdown may count on long deadlines. What
    was out, what was half-sent and what comes on a new connection behind the signal has one answer, by
    its deadline; no connection is closed by what has to come from its caller."""
    settings = {
        **SETTINGS,
        "classes": [{**each, "aim-us": 100_000, "deadline-us": 200_000} for each in SETTINGS["classes"]],
    }

    async def main() -> None:
        endpoint, registry = Endpoint(never_answer), Registry()
        async with await endpoint.start(), await registry.start():
            port = free_port()
            environ = write_config(tmp_path, registry, endpoint, settings=settings)
            process = await start_daemon({**environ, "LB_LISTEN": f"127.0.0.1:{port}"})
            _, writer = await connect_until_up(port)
            writer.close()
            with contextlib.ExitStack() as stack:
                out, half, late = (stack.enter_context(contextlib.closing(Client(port))) for _ in range(3))
                out.send(request("pay", b"b", rid="out"))
                half.send(PAY[:-1])
                await endpoint.arrived.acquire()
                process.send_signal(signal.SIGTERM)
                late.send(request("pay", b"b", rid="late"))
                await endpoint.arrived.acquire()
                found = [await parsed(await caller.read()) for caller in (out, half, late)]
                assert [[back.status for back in each] for each in found] == [[504], [503], [504]]
                assert all(back.headers["connection"] == "close" for (back,) in found)
            assert await process.wait() == 0

    run(main())


def test_sigterm_before_the_first_list_answers_what_is_held(tmp_path: Path) -> None:
    async def main() -> None:
        registry, endpoint = Registry(), Endpoint()
        async with await registry.start(), endpoint:
            port = free_port()
            environ = {**write_config(tmp_path, registry, known=None), "LB_LISTEN": f"127.0.0.1:{port}"}
            process = await start_daemon(environ)
            _, watch = await registry.asked.get()
            reader, writer = await connect_until_up(port)
            resting, resting_writer = await asyncio.open_connection("127.0.0.1", port)
            resting_writer.write(b"GET /health/ready HTTP/1.1\r\n\r\n")
            assert (await read_message(resting)).status == 200
            writer.write(PAGE)
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGTERM)
            assert await resting.read() == b"", "the stop has begun"
            push(watch, 1, True, endpoint.entry())
            assert (await read_message(reader)).body == b"ok"
            assert await reader.read() == b""
            for each in (writer, resting_writer):
                each.close()
            _, errors = await process.communicate()
            assert (process.returncode, errors) == (0, b"")

    run(main())


@pytest.mark.parametrize("signals", [(signal.SIGHUP, signal.SIGTERM), (signal.SIGTERM, signal.SIGHUP)])
def test_sigterm_and_a_reload_cross_and_what_was_taken_is_answered(
    tmp_path: Path, signals: tuple[signal.Signals, ...]
) -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def slow(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            await release.wait()
            writer.write(answer())

        registry, endpoint = Registry(), Endpoint(slow)
        async with await registry.start(), endpoint:
            port = free_port()
            environ = {**write_config(tmp_path, registry, endpoint), "LB_LISTEN": f"127.0.0.1:{port}"}
            process = await start_daemon(environ)
            reader, writer = await connect_until_up(port)
            writer.write(PAY)
            await endpoint.arrived.acquire()
            for each in signals:
                process.send_signal(each)
            release.set()
            back = await read_message(reader)
            assert back.body == b"ok"
            writer.close()
            _, errors = await process.communicate()
            assert (process.returncode, errors) == (0, b"")

    run(main())


@pytest.mark.parametrize("stage", ["offered", "taken"])
def test_sigterm_during_a_hot_restart_loses_no_request(tmp_path: Path, stage: str) -> None:
    """The test is the process that comes: it has the listener, and takes nobody until the other has ended."""

    async def main() -> None:
        release = asyncio.Event()

        async def slow(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            await release.wait()
            writer.write(answer())

        endpoint, loop = Endpoint(slow), asyncio.get_running_loop()
        async with Site(tmp_path, endpoint) as site:
            old = await site.version()
            taking = asyncio.create_task(site.ask(PAY))
            await endpoint.arrived.acquire()
            rendezvous = RendezvousPoint(("127.0.0.1", site.port), str(tmp_path))
            predecessor = await loop.run_in_executor(None, take_over, rendezvous, ("127.0.0.1", site.port))
            if stage == "taken":
                predecessor.report_ready()
            ended = asyncio.create_task(old.stop())
            while await old.call("GET /api/ready") == 200:
                pass
            release.set()
            back = await taking
            assert back.body == b"ok" and back.headers["connection"] == "close"
            assert await ended == b""
            with contextlib.closing(Client(site.port)) as caller:  # the listener has stayed open
                caller.send(PAGE)
                theirs, _ = await loop.sock_accept(predecessor.listener)
                assert await loop.sock_recv(theirs, 1000) == PAGE
                theirs.close()
            predecessor.listener.close()
            predecessor.channel.close()
            rendezvous.leave()

    run(main())


# A daemon that is told to stop just before it listens, or in the moment in which it has begun to and a
# request is there. What its caller got is written down.
AT_LISTEN = """
import os, signal, socket, sys, threading
from laurelstep import daemon
from laurelstep.__main__ import main

moment, raw = sys.argv[1], sys.argv[2].encode()
real, got, callers = daemon.Daemon._listen, [], []

def ask(address):
    caller = socket.create_connection(address)
    caller.sendall(raw)
    callers.append(threading.Thread(target=lambda: got.append(caller.recv(1000))))
    callers[0].start()

async def listen(self, shared):
    if moment == "before":
        os.kill(os.getpid(), signal.SIGTERM)
        while not self.ended.is_set():
            await daemon.asyncio.sleep(0)
    await real(self, shared)
    if moment == "behind":
        ask(self.server.listener.sockets[0].getsockname()[:2])
        os.kill(os.getpid(), signal.SIGTERM)
    print("listens", self.server.listener is not None, flush=True)

daemon.Daemon._listen = listen
status = main(["run"])
for one in callers:
    one.join()
print(got)
sys.exit(status)
"""


@pytest.mark.parametrize("moment", ["before", "behind"])
def test_sigterm_in_the_moment_of_listening_ends_nothing_unanswered(tmp_path: Path, moment: str) -> None:
    async def main() -> None:
        registry, endpoint = Registry(), Endpoint()
        async with await registry.start(), endpoint:
            process = await asyncio.create_subprocess_exec(
                sys.executable, "-c", AT_LISTEN, moment, LAST.decode(),
                env=write_config(tmp_path, registry, endpoint), stdout=asyncio.subprocess.PIPE,
                stderr=asyncio.subprocess.PIPE,
            )  # fmt: skip
            out, errors = await process.communicate()
            assert (process.returncode, errors) == (0, b"")
            if moment == "before":
                assert b"listens False" in out, "nobody may come to a process that ends"
            else:
                assert b"HTTP/1.1 200" in out and len(endpoint.got) == 1

    run(main())


@pytest.mark.parametrize("leaves", [True, False])
def test_a_caller_that_leaves_an_answer_behind_unread_bytes_is_seen_to(leaves: bool) -> None:
    """Nothing is read while its answer is passed on, as a part of a request came behind: its end lies
    behind more of that, and the endpoint has stopped for now."""

    async def main() -> None:
        go = asyncio.Event()

        async def large(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            whole = answer(body=2 * LARGE)
            writer.write(whole[:-5])
            await go.wait()
            writer.write(whole[-5:])

        endpoint = Endpoint(large)
        async with sidecar(endpoint) as one:
            with client(one) as caller:
                caller.send(PAGE)
                taken = await caller_of(one)
                await until(lambda: taken.answer is not None)
                caller.send(PAY[:10])
                await until(lambda: bool(taken.pipelined))
                if leaves:
                    caller.send(PAY[10:20])
                    caller.close()
                due(one.server.paused)
                if leaves:
                    await until(lambda: not one.server.connections and not one.upstream.connections)
                    assert one.engine.counters.abandoned == [1, 0, 0]
                else:
                    go.set()
                    assert (await caller.read_answer()).body == 2 * LARGE
                    assert not one.server.paused.waiting_since

    run(main())


# --- A caller that leaves -----------------------------------------------------------------


def test_a_caller_that_leaves_in_the_turn_that_frees_its_request_is_not_sent_on() -> None:
    """Its end was read, and its transport has yet to close: what comes in between sends nothing."""

    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            assert (await one.send(PAGE)).body == b"ok"  # so there is a connection that needs no opening
            await until(lambda: not one.server.connections)
            override_decisions(one.engine, request=lambda now, event: [])  # the module holds what comes
            caller = Client(one.port)
            caller.send(request(rid="held"))
            left = await caller_of(one)
            await until(lambda: len(one.engine.calls) == 1)
            (rid,), (number,) = one.engine.calls, one.engine.endpoints.by_number
            transport = left.transport
            assert transport is not None
            caller.close()
            # This task's turn comes before that of what the end of the transport has put behind it.
            await until(transport.is_closing)
            one.engine._carry_out(Send(rid, number, 0))  # as the module may decide then
            one.engine.decisions = one.engine.balancer
            assert (await one.send(request(rid="r2"))).body == b"ok"
            assert [got.headers["x-request-id"] for got in endpoint.got] == ["r1", "r2"]

    run(main())


def reset(caller: Client) -> None:
    caller.raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()


def close_behind_bytes(caller: Client) -> None:
    caller.send(b"more")
    caller.close()


def end_sending(caller: Client) -> None:
    caller.raw.shutdown(socket.SHUT_WR)


def leave_before_connection_made(one: Sidecar, leave: Callable[[], None]) -> None:
    """The caller leaves in the turn in which the connection to the endpoint has come up."""
    real = one.upstream.loop

    async def create(factory: Callable[[], Any], host: str, port: int) -> Any:
        made = factory()

        def connection_made(transport: asyncio.BaseTransport) -> None:
            leave()
            made.connection_made(transport)

        return await real.create_connection(
            lambda: cast(asyncio.Protocol, MethodProxy(made, connection_made=connection_made)), host, port
        )

    one.upstream.loop = cast(asyncio.AbstractEventLoop, MethodProxy(real, create_connection=create))


LEAVES = (Client.close, end_sending, close_behind_bytes, reset)


@pytest.mark.parametrize("pooled", [True, False], ids=["at-rest", "new"])
@pytest.mark.parametrize("leave", LEAVES, ids=lambda leave: leave.__name__)
def test_nothing_begins_for_a_caller_whose_close_is_not_read_yet(
    leave: Callable[[Client], None], pooled: bool
) -> None:
    """The loop is held while the caller leaves: its end lies in the kernel when the module sends, on a
    connection that rests, and as one comes up."""

    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            if pooled:
                assert (await one.send(PAGE)).body == b"ok"
                await until(lambda: not one.server.connections)
            override_decisions(one.engine, request=lambda now, event: [])  # the module holds what comes
            caller = Client(one.port)
            caller.send(request(rid="left"))
            await until(lambda: len(one.engine.calls) == 1)
            (rid,), (number,) = one.engine.calls, one.engine.endpoints.by_number
            if pooled:
                leave(caller)
            else:
                leave_before_connection_made(one, lambda: leave(caller))
            one.engine.attempts.loop_watch.last_checked_at -= BLOCKED_US  # the loop was held for so long
            one.engine._carry_out(Send(rid, number, 0))
            await until(lambda: not one.engine.calls and not one.server.connections)
            one.engine.decisions = one.engine.balancer
            assert one.engine.counters.abandoned == [1, 0, 0]
            assert (await one.send(request(rid="r2"))).body == b"ok"
            assert "left" not in [got.headers["x-request-id"] for got in endpoint.got]
            caller.close()

    run(main())


def test_a_caller_that_leaves_before_its_request_could_be_sent_is_never_sent_on() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with endpoint, sidecar(known=False) as one:
            crowd = [Client(one.port) for _ in range(20)]
            for n, caller in enumerate(crowd):
                caller.send(request(rid=f"left{n}"))
            await until(lambda: len(one.engine.calls) == len(crowd))
            for caller in crowd:
                caller.close()
            await until(lambda: not one.engine.calls)
            one.apply_list(endpoint.entry())
            assert (await one.send(PAGE)).body == b"ok"
            assert [got.headers["x-request-id"] for got in endpoint.got] == ["r1"]

    run(main())


@pytest.mark.parametrize("leaves", [True, False])
def test_a_caller_that_leaves_while_its_upload_is_held_back_is_seen_to(leaves: bool) -> None:
    """Nothing of it is read there, so its end lies behind bytes that are not."""

    async def main() -> None:
        endpoint = Endpoint()
        async with endpoint, sidecar(known=False) as one:
            one.server.request_budget.limit = 0
            whole = request("pay", LARGE)
            caller = Client(one.port)
            caller.send(whole[:30_000])
            held = await caller_of(one)
            transport = held.transport
            assert transport is not None
            await until(lambda: held.upload is not None and not transport.is_reading())
            caller.send(whole[30_000:50_000])
            (rid,) = one.engine.calls
            if leaves:
                caller.close()
            due(one.server.paused)
            one.apply_list(endpoint.entry())
            (number,) = one.engine.endpoints.by_number
            one.engine._carry_out(Send(rid, number, 0))  # as the module may decide at once
            if leaves:
                assert (await one.send(request(rid="r2"))).body == b"ok"
                assert [got.headers["x-request-id"] for got in endpoint.got] == ["r2"]
                assert endpoint.opened == 1, "not even its first byte was sent"
            else:
                caller.send(whole[50_000:])
                assert (await caller.read_answer()).body == b"ok"
                caller.close()

    run(main())


@pytest.mark.parametrize("leaves", [True, False])
def test_a_request_behind_an_answer_is_not_sent_on_for_a_caller_that_left(leaves: bool) -> None:
    async def main() -> None:
        go = asyncio.Event()
        large = LARGE * 4

        async def in_halves(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            if message.headers["x-request-id"] != "r1":
                writer.write(answer())
                return
            raw = answer(body=large)
            writer.write(raw[:-1])
            await go.wait()
            writer.write(raw[-1:])

        endpoint = Endpoint(in_halves)
        async with sidecar(endpoint) as one:
            caller = Client(one.port)
            caller.send(PAGE)
            passing = await caller_of(one)
            await until(lambda: passing.answer is not None)
            caller.send(request(rid="behind"))
            await until(lambda: bool(passing.pipelined))
            read = 0
            while read < len(large):
                read += len(await asyncio.get_running_loop().sock_recv(caller.raw, 1 << 20))
            if leaves:
                caller.raw.shutdown(socket.SHUT_WR)
            go.set()
            if leaves:
                await caller.read()
            else:
                while not (await asyncio.get_running_loop().sock_recv(caller.raw, 1 << 20)).endswith(b"ok"):
                    pass
            caller.close()
            await until(lambda: not one.server.connections)
            ids = [got.headers["x-request-id"] for got in endpoint.got]
            assert ids == (["r1"] if leaves else ["r1", "behind"])

    run(main())


# --- Descriptors --------------------------------------------------------------------------


def test_an_answer_that_is_not_with_the_system_yet_does_not_give_way_to_a_crowd() -> None:
    """Its connection rests by then, and is the one that rested longest."""

    async def main() -> None:
        async def large(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(answer(body=LARGE if message.headers["x-request-id"] == "r1" else b"ok"))

        async with sidecar(Endpoint(large)) as one:
            one.server.max_connections = 3
            with client(one, window=4096) as slow, contextlib.ExitStack() as stack:
                await small_buffer(one)
                slow.send(PAGE)
                await until(lambda: bool(one.server.idle.waiting_since))
                crowd: list[Client] = []
                for n in range(3):
                    crowd.append(stack.enter_context(client(one)))
                    crowd[n].send(request(rid=f"crowd{n}"))
                    assert (await crowd[n].read_answer()).body == b"ok"
                assert await crowd[0].read() == b"", "one that rests with nothing owed gives way"
                assert (await slow.read_answer()).body == LARGE

    run(main())


@pytest.mark.parametrize("unread", ["one", "all"])
def test_a_request_that_was_not_read_yet_gives_way_to_a_crowd_last(unread: str) -> None:
    """It lies in the kernel, on the connection that has rested longest, as one more connection comes."""

    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            with contextlib.ExitStack() as stack:
                callers: list[Client] = []
                for n in range(3):
                    callers.append(stack.enter_context(client(one)))
                    callers[n].send(request(rid=f"r{n}"))
                    assert (await callers[n].read_answer()).body == b"ok"
                kept = list(one.server.idle.waiting_since)
                for caller in callers if unread == "all" else callers[:1]:
                    caller.send(request(rid="again"))
                one.server._evict_one()  # in this turn: nothing was read
                (gone,) = set(kept) - one.server.connections
                assert gone is kept[0 if unread == "all" else 1]
                if unread == "one":
                    assert (await callers[0].read_answer()).body == b"ok"
                    assert await callers[1].read() == b""

    run(main())


def test_a_half_sent_request_that_gives_way_to_a_crowd_is_refused() -> None:
    """Its last byte may be on its way: a close without an answer would lose it."""

    async def main() -> None:
        async with sidecar(Endpoint()) as one:
            one.server.max_connections = 1
            with client(one) as half:
                half.send(PAY[:-1])
                begun = await caller_of(one)
                await until(lambda: begun.received == len(PAY) - 1)
                with client(one) as other:
                    (back,) = await parsed(await half.read())
                    assert back.status == 503 and back.headers["connection"] == "close"
                    other.send(PAGE)
                    assert (await other.read_answer()).body == b"ok"

    run(main())
