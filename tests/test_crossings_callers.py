"""Race conditions between a client's requests and the end of its connection, each forced in both orders.

Clients are plain sockets on the test's own loop: what they send is in the sidecar's kernel buffer when `send`
returns, and the sidecar reads it in its next event loop iteration at the earliest. Replaced methods of the
balancer and the server hold one side until the other has reached the critical moment. The tests check answers
and what endpoints received.
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
from tests.upgrades import Deployment

PAGE, PAY = request(), request("pay", b"body")
LAST = request("page", rid="last", headers="Connection: close\r\n")
LARGE = bytes(range(256)) * 240  # a body within the size limit, larger than a small receive window


class Client:
    """A client that sends and reads only when the test calls it."""

    def __init__(self, port: int, window: int = 0) -> None:
        self.raw = socket.socket()
        if window:  # before connecting, as the kernel fixes the window then
            self.raw.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window)
        self.raw.connect(("127.0.0.1", port))
        self.raw.setblocking(False)

    def send(self, data: bytes) -> None:
        assert self.raw.send(data) == len(data)

    async def read(self) -> bytes:
        """Read to the end of the connection. `ConnectionResetError` if it is reset."""
        loop, parts = asyncio.get_running_loop(), list[bytes]()
        while part := await loop.sock_recv(self.raw, 1 << 16):
            parts.append(part)
        return b"".join(parts)

    async def read_answer(self) -> Message:
        """Read one answer on a connection that may stay open."""
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
def client(proxy: Sidecar, window: int = 0) -> Any:
    with contextlib.closing(Client(proxy.port, window)) as caller:
        yield caller


async def parsed(data: bytes) -> list[Message]:
    """The answers in `data`. `IncompleteReadError` if the last one is incomplete."""
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    answers: list[Message] = []
    while not reader.at_eof():
        answers.append(await read_message(reader))
    return answers


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0)


async def only_connection(proxy: Sidecar) -> ClientConnection:
    """Wait for the only client connection of the server and return it."""
    await until(lambda: len(proxy.server.connections) == 1)
    (caller,) = proxy.server.connections
    return caller


async def shrink_send_buffer(proxy: Sidecar) -> None:
    """Shrink the send buffer of the only client connection, so that a part of a large answer stays in the
    process until the client reads."""
    transport = (await only_connection(proxy)).transport
    assert transport is not None
    transport.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)


def at_outcome(proxy: Sidecar, step: Callable[[Outcome], None]) -> None:
    """Call `step` in the event loop iteration in which an outcome is reported, before the kernel has any of
    the answer."""

    def outcome(now: int, event: Outcome) -> list[Action]:
        step(event)
        return real.outcome(now, event)

    real = override_decisions(proxy.engine, outcome=outcome)


def expire(sweeper: Any) -> None:
    """Expire the timeouts of all objects in a sweeper now, before the event loop reads anything more."""
    for waiting in sweeper.waiting_since:
        sweeper.waiting_since[waiting] -= sweeper.timeout_s
    sweeper.run()


# --- Closing with unread bytes ------------------------------------------------------------


def test_accepted_connections_disable_nagles_algorithm() -> None:
    async def main() -> None:
        async with sidecar(Endpoint()) as proxy:
            with client(proxy):
                caller = await only_connection(proxy)
                assert caller.transport is not None
                sock = caller.transport.get_extra_info("socket")
                assert sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY)

    run(main())


@pytest.mark.parametrize("is_crossed", [True, False], ids=["before-its-close", "never"])
@pytest.mark.parametrize("reason", ["connection-close", "stop"])
def test_bytes_that_cross_the_close_after_an_answer_do_not_truncate_it(reason: str, is_crossed: bool) -> None:
    """The client's receive window is small, so most of the answer is still in the sidecar's kernel buffer.

    Guards against a close with unread bytes, which resets the connection and truncates the answer."""

    async def main() -> None:
        async def large(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(answer(body=LARGE))

        async with sidecar(Endpoint(large)) as proxy:
            with client(proxy, window=4096) as caller:

                def cross(event: Outcome) -> None:
                    if is_crossed:
                        caller.send(request(rid="crossing"))

                at_outcome(proxy, cross)
                if reason == "stop":
                    await only_connection(proxy)
                    proxy.server.stop(lambda: None)
                caller.send(LAST if reason == "connection-close" else PAGE)
                (response,) = await parsed(await caller.read())
                assert response.status == 200 and response.body == LARGE

    run(main())


@pytest.mark.parametrize("extra", [b"x" * 100, b"x" * (1 << 18)], ids=["some", "much"])
def test_a_rejection_arrives_although_its_client_goes_on_sending(extra: bytes) -> None:
    async def main() -> None:
        endpoint = Endpoint(never_answer)
        async with sidecar(endpoint) as proxy:
            with client(proxy) as caller:
                caller.send(PAY)
                await endpoint.arrived.acquire()
                real = proxy.engine.decisions

                def send_more(now: int, rid: int) -> list[Action]:
                    with contextlib.suppress(BlockingIOError):
                        caller.raw.send(extra)
                    return real.client_disconnected(now, rid)

                override_decisions(proxy.engine, client_disconnected=send_more)
                caller.send(request(rid="r2"))
                (response,) = await parsed(await caller.read())
                assert response.status == 400 and len(endpoint.requests) == 1

    run(main())


def test_a_slow_reader_gets_the_whole_answer_after_its_connection_was_closed() -> None:
    async def main() -> None:
        async def large(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(answer(body=LARGE))

        async with sidecar(Endpoint(large)) as proxy:
            with client(proxy, window=4096) as caller:
                await shrink_send_buffer(proxy)
                caller.send(LAST)
                await until(lambda: bool(proxy.server.lingering.waiting_since))
                expire(proxy.server.lingering)
                (response,) = await parsed(await caller.read())
                assert response.body == LARGE

    run(main())


def test_an_incomplete_request_is_freed_without_the_garbage_collector() -> None:
    """The call refers to the connection, which refers to the call while the body is incomplete: the cycle
    must be broken when the connection ends."""

    def alive() -> int:
        return sum(type(answers) in (ClientConnection, Call) for answers in gc.get_objects())

    async def main() -> None:
        async with sidecar(Endpoint()) as proxy:
            gc.collect()
            before = alive()
            gc.disable()
            try:
                with client(proxy) as caller:
                    caller.send(PAY[:-1])
                    await until(lambda: alive() == before + 2)
                await until(lambda: not proxy.server.connections)
                await asyncio.sleep(0)
                assert alive() == before
            finally:
                gc.enable()

    run(main())


# --- A request on an idle connection ------------------------------------------------------


@pytest.mark.parametrize("first", ["request", "close"])
@pytest.mark.parametrize("sweeper", ["idle", "late_connections", "awaiting_request"])
def test_a_request_crosses_the_idle_close(sweeper: str, first: str) -> None:
    """A request that has arrived is served. After the close none is forwarded, and the client sees an orderly
    end of the connection instead of a reset."""

    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as proxy:
            with client(proxy) as caller:
                ended = await only_connection(proxy)
                if sweeper == "idle":
                    caller.send(request(rid="before"))
                    assert (await caller.read_answer()).status == 200
                elif sweeper == "late_connections":
                    proxy.server.awaiting_request.discard(ended)
                    proxy.server.late_connections.add(ended)
                before = len(endpoint.requests)
                if first == "request":
                    caller.send(LAST)
                    expire(getattr(proxy.server, sweeper))
                    (response,) = await parsed(await caller.read())
                    assert response.body == b"ok" and len(endpoint.requests) == before + 1
                else:
                    expire(getattr(proxy.server, sweeper))
                    caller.send(LAST)
                    assert await caller.read() == b""
                    caller.close()
                    await until(lambda: not proxy.server.connections)
                    assert len(endpoint.requests) == before

    run(main())


# --- Graceful shutdown --------------------------------------------------------------------


@contextlib.asynccontextmanager
async def stopping(*endpoints: Endpoint, known: bool = True) -> AsyncIterator[tuple[Sidecar, asyncio.Event]]:
    """A sidecar, and the event that its shutdown sets when it has finished."""
    async with sidecar(*endpoints, known=known) as proxy:
        yield proxy, asyncio.Event()


@pytest.mark.parametrize("first", ["byte", "end"])
def test_shutdown_between_accept_and_first_byte(first: str) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with stopping(endpoint) as (proxy, ended):
            with client(proxy) as caller:
                await only_connection(proxy)
                proxy.server.stop(ended.set)
                if first == "byte":
                    caller.send(PAGE)  # unread in the kernel's buffer when the listener closes
                    proxy.server.shutdown.stop_listening()
                    (response,) = await parsed(await caller.read())
                    assert response.body == b"ok" and response.headers["connection"] == "close"
                else:
                    proxy.server.shutdown.stop_listening()
                    caller.send(PAGE)
                    assert await caller.read() == b"" and not endpoint.requests
            await ended.wait()

    run(main())


@pytest.mark.parametrize("last_byte", ["read", "unread", "late", "never"])
def test_shutdown_between_head_and_body(last_byte: str) -> None:
    """A request of which a part was read gets an answer even if its last byte crosses the end of the
    shutdown.
    """

    async def main() -> None:
        endpoint = Endpoint()
        async with stopping(endpoint) as (proxy, ended):
            with client(proxy) as caller:
                (head, last_bytes) = PAY[:-2], PAY[-2:]
                caller.send(head)
                connection = await only_connection(proxy)
                await until(lambda: connection.received_bytes == len(head))
                proxy.server.stop(ended.set)
                if last_byte == "read":
                    caller.send(last_bytes)
                    await endpoint.arrived.acquire()
                elif last_byte == "unread":
                    caller.send(last_bytes)
                proxy.server.shutdown.stop_listening()
                if last_byte == "late":
                    caller.send(last_bytes)
                (response,) = await parsed(await caller.read())
                served = last_byte in ("read", "unread")
                assert (response.status, len(endpoint.requests)) == ((200, 1) if served else (503, 0))
                assert response.headers["connection"] == "close"
            await ended.wait()

    run(main())


@pytest.mark.parametrize("sends", [True, False], ids=["its-request", "nothing"])
def test_shutdown_with_connections_in_the_listen_backlog(sends: bool) -> None:
    """The listener closes only when its backlog is empty: closing it earlier would reset those
    connections.
    """

    async def main() -> None:
        endpoint = Endpoint()
        async with stopping(endpoint) as (proxy, ended):
            proxy.server.stop(ended.set)
            callers = [Client(proxy.port) for _ in range(3)]
            for n, caller in enumerate(callers):
                if sends:
                    caller.send(request(rid=f"r{n}"))
            proxy.server.shutdown.stop_listening()
            for caller in callers:
                data = await caller.read()
                assert [response.body for response in await parsed(data)] == ([b"ok"] if sends else [])
                caller.close()
            assert len(endpoint.requests) == (3 if sends else 0)
            await ended.wait()
            with pytest.raises(ConnectionRefusedError):
                Client(proxy.port)

    run(main())


@pytest.mark.parametrize("stop", ["while-held", "before"])
def test_shutdown_between_read_and_first_attempt(stop: str) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with endpoint, stopping(known=False) as (proxy, ended):
            with client(proxy) as caller:
                await only_connection(proxy)
                if stop == "before":
                    proxy.server.stop(ended.set)
                caller.send(PAGE)
                await until(lambda: len(proxy.engine.calls) == 1)
                proxy.server.stop(ended.set)
                proxy.server.shutdown.stop_listening()
                assert not endpoint.requests
                proxy.apply_list(endpoint.entry())
                (response,) = await parsed(await caller.read())
                assert response.body == b"ok" and len(endpoint.requests) == 1
            await ended.wait()

    run(main())


@pytest.mark.parametrize("stop", ["at-the-outcome", "half-read"])
def test_shutdown_between_an_outcome_and_the_last_byte_of_its_answer(stop: str) -> None:
    """When the outcome is reported, the answer's head has announced that its connection stays open."""

    async def main() -> None:
        async def large(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(answer(body=LARGE))

        async with stopping(Endpoint(large)) as (proxy, ended):
            with client(proxy, window=4096) as caller:
                if stop == "at-the-outcome":
                    at_outcome(proxy, lambda _: proxy.server.stop(ended.set))
                caller.send(PAGE)
                part = await asyncio.get_running_loop().sock_recv(caller.raw, 1000)
                if stop == "half-read":
                    proxy.server.stop(ended.set)
                caller.send(request(rid="crossing"))
                proxy.server.shutdown.stop_listening()
                (response,) = await parsed(part + await caller.read())
                assert response.body == LARGE
            await ended.wait()

    run(main())


@pytest.mark.parametrize("is_pipelined", [True, False], ids=["pipelined-request", "no-pipelined-request"])
@pytest.mark.parametrize("reason", ["stop", "drain"])
def test_no_connection_stays_open_after_an_answer_that_was_streamed_during_the_stop(
    reason: str, is_pipelined: bool
) -> None:
    """The answer's head announced that the connection stays open. A request read meanwhile is answered."""

    async def main() -> None:
        may_finish, large = asyncio.Event(), LARGE * 4

        async def in_parts(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            if message.headers["x-request-id"] != "r1":
                writer.write(answer())
                return
            writer.write(answer(body=large)[:-1])
            await may_finish.wait()
            writer.write(large[-1:])

        endpoint = Endpoint(in_parts)
        async with stopping(endpoint) as (proxy, ended):
            with client(proxy) as caller:
                caller.send(PAGE)
                streaming = await only_connection(proxy)
                await until(lambda: streaming.answer is not None)
                if is_pipelined:
                    caller.send(request(rid="r2"))
                    await until(lambda: bool(streaming.pipelined))
                proxy.server.idle.timeout_s = 3600.0  # not closed by this timeout
                if reason == "stop":
                    proxy.server.stop(ended.set)
                    proxy.server.shutdown.stop_listening()
                else:
                    proxy.server.lifecycle.evacuate(asyncio.get_running_loop().time())
                    for step in proxy.server.shutdown.pending:
                        step.cancel()  # the test calls the steps itself
                    proxy.server.shutdown.close_idle_and_silent()
                    proxy.server.shutdown.finish_drain()
                may_finish.set()
                answers = await parsed(await caller.read())
                assert [response.body for response in answers] == [large, b"ok"][: len(answers)]
                assert len(answers) == len(endpoint.requests) == (2 if is_pipelined else 1)
            if reason == "stop":
                await ended.wait()

    run(main())


@pytest.mark.parametrize("stop", ["at-the-outcome", "before"])
def test_shutdown_while_waiting_for_another_attempt(stop: str) -> None:
    async def main() -> None:
        async def full_once(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            for other in endpoints:
                other.handler = serve_ok
            writer.write(answer(503, headers="X-Not-Run: 1\r\n"))

        endpoints = Endpoint(full_once), Endpoint(full_once)
        async with stopping(*endpoints) as (proxy, ended):
            recorded: list[int] = []

            def record(event: Outcome) -> None:
                recorded.append(event.outcome)
                if stop == "at-the-outcome":
                    proxy.server.stop(ended.set)
                    proxy.server.shutdown.stop_listening()

            at_outcome(proxy, record)
            with client(proxy) as caller:
                caller.send(PAY)
                if stop == "before":
                    await until(lambda: len(proxy.engine.calls) == 1)
                    proxy.server.stop(ended.set)
                (response,) = await parsed(await caller.read())
                assert recorded[0] == FULL and response.body == b"ok"
                assert sum(other.effects.by_id["r1"] for other in endpoints) == 1
            await ended.wait()

    run(main())


@pytest.mark.parametrize("client_sends", ["nothing", "head", "late-request"])
def test_late_connections_at_a_shutdown_are_closed_before_a_request_could_be_lost(client_sends: str) -> None:
    """Connections that are set up after the listener was closed, or have sent a part of a request. A request
    that begins later than 0.7 s after SIGTERM is lost if SIGKILL comes before its answer."""

    async def main() -> None:
        endpoint = Endpoint()
        async with stopping(endpoint) as (proxy, ended):
            with client(proxy) as caller:
                late_connection = await only_connection(proxy)
                proxy.server.stop(ended.set)
                if client_sends == "head":
                    caller.send(PAY[:-2])
                    proxy.server.shutdown.stop_listening()  # the bytes are unread, so they are read first
                else:
                    proxy.server.shutdown.stop_listening()
                    assert await caller.read() == b""
                    client_socket, server_socket = socket.socketpair()
                    client_socket.setblocking(False)
                    await asyncio.get_running_loop().connect_accepted_socket(
                        proxy.server._new_connection, server_socket
                    )
                    caller.raw, last = client_socket, caller.raw
                    last.close()
                    await until(
                        lambda: late_connection not in proxy.server.connections
                        and bool(proxy.server.connections)
                    )
                proxy.server.late_connections.timeout_s = proxy.server.awaiting_request.timeout_s = (
                    3600.0  # not closed by these timeouts
                )
                if client_sends == "late-request":
                    caller.send(PAGE)
                answers = await parsed(await caller.read())
                assert [response.status for response in answers] == {"nothing": [], "head": [503]}.get(
                    client_sends, [200]
                )
                assert len(endpoint.requests) == (client_sends == "late-request")
            await ended.wait()

    run(main())


def take_steps_by_hand(proxy: Sidecar) -> None:
    """Keep the shutdown's timers from firing, so that the test calls the steps itself."""
    shutdown = proxy.server.shutdown
    shutdown.loop = cast(
        asyncio.AbstractEventLoop,
        MethodProxy(shutdown.loop, call_later=lambda *of: shutdown.loop.call_at(1e12, print)),
    )


@pytest.mark.parametrize("arrival", ["whole", "in-pieces", "upload", "upload-held-back"])
def test_a_request_completed_too_late_after_sigterm_is_refused(arrival: str) -> None:
    """A request that is completed later than 0.7 s after SIGTERM may be unanswered when SIGKILL comes, which
    is early with short deadlines. So it is refused, even if a part of it is unread at each check."""

    async def main() -> None:
        endpoint = Endpoint()
        async with stopping(endpoint) as (proxy, ended):
            is_upload = arrival.startswith("upload")
            whole = request("pay", LARGE) if is_upload else PAY
            if is_upload:
                proxy.server.request_budget.limit = 0
            if arrival == "upload-held-back":
                # The balancer starts no attempt.
                override_decisions(proxy.engine, request=lambda now, event: [])
            with client(proxy) as caller:
                caller.send(whole[:-20])
                connection = await only_connection(proxy)
                transport = connection.transport
                assert transport is not None
                await until(
                    lambda: connection.received_bytes == len(whole) - 20 or not transport.is_reading()
                )
                if arrival == "upload":
                    await until(lambda: endpoint.connection_count == 1)
                take_steps_by_hand(proxy)
                proxy.server.stop(ended.set)
                caller.send(whole[-20:-10])
                proxy.server.shutdown.stop_listening()
                await until(lambda: not connection.has_unread() or not transport.is_reading())
                assert not connection.is_closing
                caller.send(whole[-10:] if arrival == "whole" else whole[-10:-5])
                proxy.server.shutdown.refuse_incomplete()
                (response,) = await parsed(await caller.read())
                assert (response.status, len(endpoint.requests)) == (
                    (200, 1) if arrival == "whole" else (503, 0)
                )
                assert response.headers["connection"] == "close"
                assert not proxy.engine.calls
            await ended.wait()

    run(main())


def test_a_second_stop_does_not_shorten_the_shutdown() -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def slow(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            await release.wait()
            writer.write(answer())

        endpoint = Endpoint(slow)
        async with stopping(endpoint) as (proxy, ended):
            with client(proxy) as caller:
                caller.send(PAGE)
                await endpoint.arrived.acquire()
                proxy.server.stop(ended.set)
                proxy.server.shutdown.stop_listening()
                proxy.server.stop(ended.set)
                assert not ended.is_set()
                release.set()
                (response,) = await parsed(await caller.read())
                assert response.body == b"ok"
            await ended.wait()

    run(main())


@pytest.mark.parametrize("first", ["request", "close"])
def test_a_request_on_an_idle_connection_crosses_the_shutdown(first: str) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with stopping(endpoint) as (proxy, ended):
            with client(proxy) as caller:
                caller.send(request(rid="before"))
                assert "connection" not in (await caller.read_answer()).headers
                if first == "request":
                    caller.send(PAGE)
                proxy.server.stop(ended.set)
                if first == "close":
                    caller.send(PAGE)
                answers = await parsed(await caller.read())
                assert [response.body for response in answers] == ([b"ok"] if first == "request" else [])
                assert len(endpoint.requests) == 1 + len(answers)
            await ended.wait()

    run(main())


@pytest.mark.parametrize("first", ["request", "end"])
def test_connections_are_closed_between_requests_when_a_successor_takes_over(first: str) -> None:
    """Shutdown of a process with a successor: a connection is closed after its next answer or a timeout."""

    async def main() -> None:
        endpoint = Endpoint()
        async with stopping(endpoint) as (proxy, ended):
            proxy.server.shutdown.has_successor = lambda: True
            with client(proxy) as caller:
                caller.send(request(rid="before"))
                await caller.read_answer()
                proxy.server.stop(ended.set)
                if first == "request":
                    caller.send(PAGE)
                proxy.server.shutdown.close_all_unforwarded()
                if first == "end":
                    caller.send(PAGE)
                answers = await parsed(await caller.read())
                assert [response.body for response in answers] == ([b"ok"] if first == "request" else [])
                assert len(endpoint.requests) == 1 + len(answers)
            await ended.wait()

    run(main())


# --- The process --------------------------------------------------------------------------


def test_a_shutdown_with_short_deadlines_and_hanging_endpoints_answers_all_requests(tmp_path: Path) -> None:
    """With short deadlines SIGKILL comes 0.9 s after SIGTERM, so no wait of the shutdown may rely on long
    deadlines. A request in flight, an incomplete one and one on a connection made after the signal each get
    one answer by their deadline. No connection waits for its client in order to close."""
    settings = {
        **SETTINGS,
        "classes": [{**cls, "aim-us": 100_000, "deadline-us": 200_000} for cls in SETTINGS["classes"]],
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
                open_client, incomplete_client, late_client = (
                    stack.enter_context(contextlib.closing(Client(port))) for _ in range(3)
                )
                open_client.send(request("pay", b"b", rid="out"))
                incomplete_client.send(PAY[:-1])
                await endpoint.arrived.acquire()
                process.send_signal(signal.SIGTERM)
                late_client.send(request("pay", b"b", rid="late"))
                await endpoint.arrived.acquire()
                answers_by_client = [
                    await parsed(await caller.read())
                    for caller in (open_client, incomplete_client, late_client)
                ]
                assert [[response.status for response in answers] for answers in answers_by_client] == [
                    [504],
                    [503],
                    [504],
                ]
                assert all(response.headers["connection"] == "close" for (response,) in answers_by_client)
            assert await process.wait() == 0

    run(main())


def test_sigterm_before_the_first_endpoint_list_answers_held_requests(tmp_path: Path) -> None:
    async def main() -> None:
        registry, endpoint = Registry(), Endpoint()
        async with await registry.start(), endpoint:
            port = free_port()
            environ = {**write_config(tmp_path, registry, known=None), "LB_LISTEN": f"127.0.0.1:{port}"}
            process = await start_daemon(environ)
            _, watch = await registry.watches.get()
            reader, writer = await connect_until_up(port)
            idle, idle_writer = await asyncio.open_connection("127.0.0.1", port)
            idle_writer.write(b"GET /health/ready HTTP/1.1\r\n\r\n")
            assert (await read_message(idle)).status == 200
            writer.write(PAGE)
            process.send_signal(signal.SIGTERM)
            process.send_signal(signal.SIGTERM)
            assert await idle.read() == b"", "the shutdown has begun"
            push(watch, 1, True, endpoint.entry())
            assert (await read_message(reader)).body == b"ok"
            assert await reader.read() == b""
            for open_writer in (writer, idle_writer):
                open_writer.close()
            _, errors = await process.communicate()
            assert (process.returncode, errors) == (0, b"")

    run(main())


@pytest.mark.parametrize("signals", [(signal.SIGHUP, signal.SIGTERM), (signal.SIGTERM, signal.SIGHUP)])
def test_sigterm_crossing_a_reload_answers_open_requests(
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
            for number in signals:
                process.send_signal(number)
            release.set()
            response = await read_message(reader)
            assert response.body == b"ok"
            writer.close()
            _, errors = await process.communicate()
            assert (process.returncode, errors) == (0, b"")

    run(main())


@pytest.mark.parametrize("stage", ["offered", "taken-over"])
def test_sigterm_during_a_hot_restart_loses_no_request(tmp_path: Path, stage: str) -> None:
    """The test acts as the successor: it has the listener, and accepts clients once the other has ended."""

    async def main() -> None:
        release = asyncio.Event()

        async def slow(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            await release.wait()
            writer.write(answer())

        endpoint, loop = Endpoint(slow), asyncio.get_running_loop()
        async with Deployment(tmp_path, endpoint) as deployment:
            old = await deployment.start_ready()
            taking = asyncio.create_task(deployment.send(PAY))
            await endpoint.arrived.acquire()
            rendezvous = RendezvousPoint(("127.0.0.1", deployment.port), str(tmp_path))
            predecessor = await loop.run_in_executor(
                None, take_over, rendezvous, ("127.0.0.1", deployment.port)
            )
            if stage == "taken-over":
                predecessor.report_ready()
            ended = asyncio.create_task(old.stop())
            while await old.call("GET /api/ready") == 200:
                pass
            release.set()
            response = await taking
            assert response.body == b"ok" and response.headers["connection"] == "close"
            assert await ended == b""
            with contextlib.closing(Client(deployment.port)) as caller:  # the listener is still open
                caller.send(PAGE)
                server_socket, _ = await loop.sock_accept(predecessor.listener)
                assert await loop.sock_recv(server_socket, 1000) == PAGE
                server_socket.close()
            predecessor.listener.close()
            predecessor.channel.close()
            rendezvous.leave()

    run(main())


# Runs a daemon that gets SIGTERM just before it listens, or just after that when a request has been sent to
# it. Prints whether it listened and what the client received.
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
        while not self.stopped.is_set():
            await daemon.asyncio.sleep(0)
    await real(self, shared)
    if moment == "after":
        ask(self.server.listener.sockets[0].getsockname()[:2])
        os.kill(os.getpid(), signal.SIGTERM)
    print("listens", self.server.listener is not None, flush=True)

daemon.Daemon._listen = listen
status = main(["run"])
for thread in callers:
    thread.join()
print(got)
sys.exit(status)
"""


@pytest.mark.parametrize("moment", ["before", "after"])
def test_sigterm_while_the_listener_opens_leaves_no_request_unanswered(tmp_path: Path, moment: str) -> None:
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
                assert b"listens False" in out, "a process that is to end must not accept clients"
            else:
                assert b"HTTP/1.1 200" in out and len(endpoint.requests) == 1

    run(main())


@pytest.mark.parametrize("leaves", [True, False])
def test_a_client_that_leaves_after_unread_bytes_during_a_streamed_answer_is_detected(leaves: bool) -> None:
    """Reading is paused while the answer is streamed, as a part of another request arrived. So the client's
    close is behind unread bytes, and the endpoint sends nothing more for now."""

    async def main() -> None:
        may_finish = asyncio.Event()

        async def large(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            whole = answer(body=2 * LARGE)
            writer.write(whole[:-5])
            await may_finish.wait()
            writer.write(whole[-5:])

        endpoint = Endpoint(large)
        async with sidecar(endpoint) as proxy:
            with client(proxy) as caller:
                caller.send(PAGE)
                connection = await only_connection(proxy)
                await until(lambda: connection.answer is not None)
                caller.send(PAY[:10])
                await until(lambda: bool(connection.pipelined))
                if leaves:
                    caller.send(PAY[10:20])
                    caller.close()
                expire(proxy.server.paused)
                if leaves:
                    await until(lambda: not proxy.server.connections and not proxy.upstream.connections)
                    assert proxy.engine.counters.abandoned == [1, 0, 0]
                else:
                    may_finish.set()
                    assert (await caller.read_answer()).body == 2 * LARGE
                    assert not proxy.server.paused.waiting_since

    run(main())


# --- Clients that leave -------------------------------------------------------------------


def test_a_request_is_not_sent_if_its_client_left_in_the_same_loop_iteration() -> None:
    """The client's close was read, but its transport is not closed yet: in between no request is sent."""

    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as proxy:
            assert (await proxy.send(PAGE)).body == b"ok"  # leaves an idle connection to the endpoint
            await until(lambda: not proxy.server.connections)
            # The balancer holds every request.
            override_decisions(proxy.engine, request=lambda now, event: [])
            caller = Client(proxy.port)
            caller.send(request(rid="held"))
            leaving_connection = await only_connection(proxy)
            await until(lambda: len(proxy.engine.calls) == 1)
            (rid,), (number,) = proxy.engine.calls, proxy.engine.endpoints.by_number
            transport = leaving_connection.transport
            assert transport is not None
            caller.close()
            # This task resumes before the callbacks that the closing transport has scheduled.
            await until(transport.is_closing)
            proxy.engine._carry_out(Send(rid, number, 0))  # a decision that the balancer may make now
            proxy.engine.decisions = proxy.engine.balancer
            assert (await proxy.send(request(rid="r2"))).body == b"ok"
            assert [got.headers["x-request-id"] for got in endpoint.requests] == ["r1", "r2"]

    run(main())


def reset_connection(caller: Client) -> None:
    caller.raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    caller.close()


def close_behind_bytes(caller: Client) -> None:
    caller.send(b"more")
    caller.close()


def end_sending(caller: Client) -> None:
    caller.raw.shutdown(socket.SHUT_WR)


def leave_before_connection_made(proxy: Sidecar, leave: Callable[[], None]) -> None:
    """Call `leave` in the event loop iteration in which the connection to the endpoint is established."""
    real = proxy.upstream.loop

    async def create(factory: Callable[[], Any], host: str, port: int) -> Any:
        protocol = factory()

        def connection_made(transport: asyncio.BaseTransport) -> None:
            leave()
            protocol.connection_made(transport)

        return await real.create_connection(
            lambda: cast(asyncio.Protocol, MethodProxy(protocol, connection_made=connection_made)), host, port
        )

    proxy.upstream.loop = cast(asyncio.AbstractEventLoop, MethodProxy(real, create_connection=create))


LEAVES = (Client.close, end_sending, close_behind_bytes, reset_connection)


@pytest.mark.parametrize("pooled", [True, False], ids=["idle", "new"])
@pytest.mark.parametrize("leave", LEAVES, ids=lambda leave: leave.__name__)
def test_no_attempt_begins_for_a_client_whose_close_is_not_read_yet(
    leave: Callable[[Client], None], pooled: bool
) -> None:
    """The event loop is blocked while the client leaves, so its close is unread when the balancer sends the
    request: on an idle connection, or when a new one is established."""

    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as proxy:
            if pooled:
                assert (await proxy.send(PAGE)).body == b"ok"
                await until(lambda: not proxy.server.connections)
            # The balancer holds every request.
            override_decisions(proxy.engine, request=lambda now, event: [])
            caller = Client(proxy.port)
            caller.send(request(rid="left"))
            await until(lambda: len(proxy.engine.calls) == 1)
            (rid,), (number,) = proxy.engine.calls, proxy.engine.endpoints.by_number
            if pooled:
                leave(caller)
            else:
                leave_before_connection_made(proxy, lambda: leave(caller))
            proxy.engine.attempts.loop_watch.last_checked_at -= (
                BLOCKED_US  # as if the event loop had been blocked for that long
            )
            proxy.engine._carry_out(Send(rid, number, 0))
            await until(lambda: not proxy.engine.calls and not proxy.server.connections)
            proxy.engine.decisions = proxy.engine.balancer
            assert proxy.engine.counters.abandoned == [1, 0, 0]
            assert (await proxy.send(request(rid="r2"))).body == b"ok"
            assert "left" not in [got.headers["x-request-id"] for got in endpoint.requests]
            caller.close()

    run(main())


def test_a_held_request_is_never_sent_after_its_client_left() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with endpoint, sidecar(known=False) as proxy:
            clients = [Client(proxy.port) for _ in range(20)]
            for n, caller in enumerate(clients):
                caller.send(request(rid=f"left{n}"))
            await until(lambda: len(proxy.engine.calls) == len(clients))
            for caller in clients:
                caller.close()
            await until(lambda: not proxy.engine.calls)
            proxy.apply_list(endpoint.entry())
            assert (await proxy.send(PAGE)).body == b"ok"
            assert [got.headers["x-request-id"] for got in endpoint.requests] == ["r1"]

    run(main())


@pytest.mark.parametrize("leaves", [True, False])
def test_a_client_that_leaves_while_its_upload_is_paused_is_detected(leaves: bool) -> None:
    """Reading the upload is paused, so the client's close is behind unread bytes."""

    async def main() -> None:
        endpoint = Endpoint()
        async with endpoint, sidecar(known=False) as proxy:
            proxy.server.request_budget.limit = 0
            whole = request("pay", LARGE)
            caller = Client(proxy.port)
            caller.send(whole[:30_000])
            paused = await only_connection(proxy)
            transport = paused.transport
            assert transport is not None
            await until(lambda: paused.upload is not None and not transport.is_reading())
            caller.send(whole[30_000:50_000])
            (rid,) = proxy.engine.calls
            if leaves:
                caller.close()
            expire(proxy.server.paused)
            proxy.apply_list(endpoint.entry())
            (number,) = proxy.engine.endpoints.by_number
            proxy.engine._carry_out(Send(rid, number, 0))  # a decision that the balancer may make at once
            if leaves:
                assert (await proxy.send(request(rid="r2"))).body == b"ok"
                assert [got.headers["x-request-id"] for got in endpoint.requests] == ["r2"]
                assert endpoint.connection_count == 1, "no part of the upload was sent"
            else:
                caller.send(whole[50_000:])
                assert (await caller.read_answer()).body == b"ok"
                caller.close()

    run(main())


@pytest.mark.parametrize("leaves", [True, False])
def test_a_pipelined_request_is_not_sent_for_a_client_that_left(leaves: bool) -> None:
    async def main() -> None:
        may_finish = asyncio.Event()
        large = LARGE * 4

        async def in_halves(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            if message.headers["x-request-id"] != "r1":
                writer.write(answer())
                return
            raw = answer(body=large)
            writer.write(raw[:-1])
            await may_finish.wait()
            writer.write(raw[-1:])

        endpoint = Endpoint(in_halves)
        async with sidecar(endpoint) as proxy:
            caller = Client(proxy.port)
            caller.send(PAGE)
            streaming = await only_connection(proxy)
            await until(lambda: streaming.answer is not None)
            caller.send(request(rid="pipelined"))
            await until(lambda: bool(streaming.pipelined))
            read = 0
            while read < len(large):
                read += len(await asyncio.get_running_loop().sock_recv(caller.raw, 1 << 20))
            if leaves:
                caller.raw.shutdown(socket.SHUT_WR)
            may_finish.set()
            if leaves:
                await caller.read()
            else:
                while not (await asyncio.get_running_loop().sock_recv(caller.raw, 1 << 20)).endswith(b"ok"):
                    pass
            caller.close()
            await until(lambda: not proxy.server.connections)
            ids = [got.headers["x-request-id"] for got in endpoint.requests]
            assert ids == (["r1"] if leaves else ["r1", "pipelined"])

    run(main())


# --- Eviction -----------------------------------------------------------------------------


def test_a_connection_with_unwritten_answer_bytes_is_not_evicted() -> None:
    """The connection counts as idle by then, and has been idle longest."""

    async def main() -> None:
        async def large(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(answer(body=LARGE if message.headers["x-request-id"] == "r1" else b"ok"))

        async with sidecar(Endpoint(large)) as proxy:
            proxy.server.max_connections = 3
            with client(proxy, window=4096) as slow, contextlib.ExitStack() as stack:
                await shrink_send_buffer(proxy)
                slow.send(PAGE)
                await until(lambda: bool(proxy.server.idle.waiting_since))
                clients: list[Client] = []
                for n in range(3):
                    clients.append(stack.enter_context(client(proxy)))
                    clients[n].send(request(rid=f"crowd{n}"))
                    assert (await clients[n].read_answer()).body == b"ok"
                assert await clients[0].read() == b"", (
                    "an idle connection whose answer is fully written is evicted"
                )
                assert (await slow.read_answer()).body == LARGE

    run(main())


@pytest.mark.parametrize("unread", ["one", "all"])
def test_a_connection_with_an_unread_request_is_evicted_last(unread: str) -> None:
    """The request is unread in the kernel, on the connection that has been idle longest, when another
    connection is accepted."""

    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as proxy:
            with contextlib.ExitStack() as stack:
                callers: list[Client] = []
                for n in range(3):
                    callers.append(stack.enter_context(client(proxy)))
                    callers[n].send(request(rid=f"r{n}"))
                    assert (await callers[n].read_answer()).body == b"ok"
                kept = list(proxy.server.idle.waiting_since)
                for caller in callers if unread == "all" else callers[:1]:
                    caller.send(request(rid="again"))
                proxy.server._evict_one()  # in this event loop iteration, in which nothing was read
                (evicted,) = set(kept) - proxy.server.connections
                assert evicted is kept[0 if unread == "all" else 1]
                if unread == "one":
                    assert (await callers[0].read_answer()).body == b"ok"
                    assert await callers[1].read() == b""

    run(main())


def test_an_incomplete_request_on_an_evicted_connection_is_refused() -> None:
    """The request's last byte may be on its way: a close without an answer would lose the request."""

    async def main() -> None:
        async with sidecar(Endpoint()) as proxy:
            proxy.server.max_connections = 1
            with client(proxy) as incomplete_client:
                incomplete_client.send(PAY[:-1])
                connection = await only_connection(proxy)
                await until(lambda: connection.received_bytes == len(PAY) - 1)
                with client(proxy) as other:
                    (response,) = await parsed(await incomplete_client.read())
                    assert response.status == 503 and response.headers["connection"] == "close"
                    other.send(PAGE)
                    assert (await other.read_answer()).body == b"ok"

    run(main())
