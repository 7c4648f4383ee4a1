"""Crossings on the endpoints' side: something ends in the instant in which something is still owed.

A scripted peer, or a held step of the code, keeps one side until the other has come to that instant.
The rules are judged by what the stand-ins saw: answers, effects, requests and ends of connections."""

from __future__ import annotations

import asyncio
import contextlib
import select
import socket
import struct
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from dataclasses import replace
from typing import Any, cast

import hypothesis.strategies as st
import pytest
from hypothesis import given
from laurelstep.balancing.events import ERROR, FULL, MOOT, NO_CONNECT, OK, RESET, TIMEOUT, Action, Outcome
from laurelstep.engine import Attempt, Call, Clock, Engine
from laurelstep.engine.clock import Timer
from laurelstep.engine.static_members import StaticMembers
from laurelstep.net.connection_pool import MIN_IDLE
from laurelstep.net.endpoint_request import endpoint_deadline_ms
from laurelstep.net.endpoint_state import SETTLE_US
from laurelstep.settings import config_from
from laurelstep.testing import after, reset, serve, stall

from tests.fakes import Answers, ManualClock, PlayedUpstream, entry
from tests.sockets import (
    SETTINGS,
    Endpoint,
    Message,
    MethodProxy,
    Sidecar,
    Writer,
    answer,
    override_decisions,
    read_message,
    record_outcomes,
    request,
    run,
    sidecar,
)

pytestmark = pytest.mark.parametrize("front", ["daemon", "library"], indirect=True)


class Opening:
    """Takes the place of the upstream's loop: holds connections that are about to be opened, and has a
    look in when one has come up."""

    def __init__(
        self,
        proxy: Sidecar,
        made: Callable[[], None] | None = None,
        begun: Callable[[], None] | None = None,
    ) -> None:
        self.asked: asyncio.Queue[int] = asyncio.Queue()  # the ports, in the order asked for
        self.may_open = asyncio.Event()
        self.made = made  # in the turn in which it came up, behind what the program does in it
        self.small = False  # connections whose buffer for sending is the system's least
        self.begun = begun  # in the same turn, before what the program does in it
        self.real = proxy.upstream.loop
        held = MethodProxy(self.real, create_connection=self._create)
        proxy.upstream.loop = cast(asyncio.AbstractEventLoop, held)

    async def _create(self, factory: Callable[[], Any], host: str, port: int) -> Any:
        self.asked.put_nowait(port)
        await self.may_open.wait()
        if self.begun is not None:
            self.real.call_soon(self.begun)
        return await self.real.create_connection(lambda: self._watched(factory()), host, port)

    def _watched(self, protocol: Any) -> Any:
        def connection_made(transport: asyncio.BaseTransport) -> None:
            if self.small:
                found = transport.get_extra_info("socket")
                found.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 1)
            protocol.connection_made(transport)
            if self.made is not None:
                self.made()

        return MethodProxy(protocol, connection_made=connection_made)


def shift(proxy: Sidecar, span_us: int) -> None:
    """Set forward the clock by which the engine and the upstream judge."""
    real = proxy.engine.clock.now
    proxy.engine.clock = cast(Clock, MethodProxy(proxy.engine.clock, now=lambda: real() + span_us))
    proxy.upstream.now = proxy.engine.clock.now


def come_due(proxy: Sidecar, attempt: Attempt) -> None:
    """Its timer, now."""
    timer = cast(Timer, attempt.timer)
    assert timer.handle is not None
    timer.handle.cancel()
    timer.due = proxy.engine.now()
    timer.woken()


def set_window(proxy: Sidecar, window_us: int) -> None:
    """Give all classes this window for repeats."""
    classes = tuple(replace(cls, window_us=window_us) for cls in proxy.engine.settings.classes)
    proxy.engine.settings = proxy.engine.attempts.settings = replace(proxy.engine.settings, classes=classes)
    proxy.engine.balancer.settings = replace(proxy.engine.balancer.settings, classes=classes)


def got_in_turn(endpoints: list[Endpoint]) -> list[Message]:
    """What two endpoints got: first the one whose script broke off."""
    first, second = sorted(endpoints, key=lambda endpoint: endpoint.effects.by_id["r1"])
    return [*first.got, *second.got]


async def count_got(endpoints: list[Endpoint]) -> int:
    """The requests that have been written to endpoints by now: what they have not read yet is waited
    for, by requests of the test's own that are written behind it, twice one after the other."""
    for n in range(2):
        for endpoint in endpoints:
            _, writer = await asyncio.open_connection("127.0.0.1", endpoint.port)
            writer.write(request(rid=f"behind{n}"))
            await until(lambda at=endpoint, n=n: f"behind{n}" in ids(at))  # type: ignore[misc]
            writer.close()
    return sum(not rid.startswith("behind") for endpoint in endpoints for rid in ids(endpoint))


def ids(endpoint: Endpoint) -> list[str]:
    return [message.headers["x-request-id"] for message in endpoint.got]


async def until(done: Callable[[], bool]) -> None:
    while not done():
        await asyncio.sleep(0)


class Peer:
    """An endpoint by hand: a listening socket whose connections the test reads and writes itself."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.port = self.listener.getsockname()[1]
        self.taken: list[socket.socket] = []

    async def accept(self) -> socket.socket:
        accepted, _ = await self.loop.sock_accept(self.listener)
        self.taken.append(accepted)
        return accepted

    async def read(self, accepted: socket.socket) -> bytes:
        """The next request: a head, with no body."""
        data = b""
        while not data.endswith(b"\r\n\r\n"):
            more = await self.loop.sock_recv(accepted, 4096)
            assert more, "it ended before its request was whole"
            data += more
        return data

    async def read_all(self, accepted: socket.socket, size: int) -> None:
        """A request whose body is so many times `x`."""
        data = b""
        while not data.endswith(b"x" * size):
            data += await self.loop.sock_recv(accepted, 65_536)

    def close(self) -> None:
        for sock in (self.listener, *self.taken):
            sock.close()


def reset_by(accepted: socket.socket) -> None:
    accepted.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    accepted.close()


def is_readable(sock: socket.socket) -> bool:
    return bool(select.select([sock], [], [], 0)[0])


def has_ended(accepted: socket.socket) -> bool:
    """Whether the other side has ended its sending, by now."""
    try:
        return accepted.recv(1) == b""
    except BlockingIOError:
        return False
    except ConnectionError:
        return True


@contextlib.asynccontextmanager
async def by_hand(**ceilings: Any) -> AsyncIterator[tuple[Sidecar, Peer]]:
    """A sidecar whose one endpoint is a peer by hand."""
    peer = Peer()
    with contextlib.closing(peer):
        async with sidecar(
            ceilings={key.replace("_", "-"): value for key, value in ceilings.items()}
        ) as proxy:
            proxy.apply_list(Endpoint().entry("s-0", hostPort=f"127.0.0.1:{peer.port}"))
            yield proxy, peer


# --- Connect timeout --------------------------------------------------------------------


def test_a_connection_made_as_its_timeout_expires_has_one_outcome() -> None:
    """The request is written in the turn whose end is past the connect timeout."""

    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint, ceilings={"connect-timeout-us": 200_000}) as proxy:
            begun = time.monotonic()

            def stay_past_the_timeout() -> None:
                while time.monotonic() < begun + 0.25:
                    pass

            Opening(proxy, made=stay_past_the_timeout).may_open.set()
            assert (await proxy.send(request("pay"))).body == b"ok"
            assert endpoint.effects.by_id["r1"] == 1
            assert len(proxy.upstream.connections) == len(proxy.upstream.idle_connections.waiting_since) == 1

    run(main())


def test_a_connection_made_after_its_timeout_is_not_used() -> None:
    """The other order: the timeout comes first, and the connection is up in the same turn."""

    async def main() -> None:
        endpoints = [Endpoint(), Endpoint()]
        async with sidecar(*endpoints) as proxy:
            recorded = record_outcomes(proxy.engine)
            connecting = proxy.upstream.connecting

            def time_out_the_first() -> None:
                if not recorded:
                    (connection,) = connecting.waiting_since
                    connecting.waiting_since[connection] -= connecting.timeout_s
                    connecting.run()

            Opening(proxy, begun=time_out_the_first).may_open.set()
            assert (await proxy.send(request("pay"))).body == b"ok"
            assert [event.outcome for event in recorded] == [NO_CONNECT, OK]
            assert sorted(len(endpoint.got) for endpoint in endpoints) == [0, 1]
            assert len(proxy.upstream.connections) == 1

    run(main())


def test_an_invalid_host_name_is_a_failed_connection() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint, ceilings={"max-attempts": 1}) as proxy:
            proxy.apply_list(endpoint.entry("s-0", hostPort="a..b:80"))
            recorded = record_outcomes(proxy.engine)
            assert (await proxy.send(request("pay"))).status == 503
            assert [event.outcome for event in recorded] == [NO_CONNECT]
            assert not proxy.upstream.connections

    run(main())


# --- Repeats ----------------------------------------------------------------------------


@pytest.mark.parametrize(("span_us", "sent"), [(0, 2), (3_000_000, 1)], ids=["within", "past"])
def test_a_retry_is_written_only_within_its_window(span_us: int, sent: int) -> None:
    """Decided in time, but its connection came up late."""

    async def main() -> None:
        endpoints = [Endpoint(), Endpoint()]
        async with sidecar(*endpoints) as proxy:
            set_window(proxy, 3_000_000)
            opening = Opening(proxy)
            opening.may_open.set()

            async def break_off(endpoint: Endpoint, message: Message, writer: Writer) -> None:
                opening.may_open.clear()
                for other in endpoints:
                    other.handler = serve()
                await reset()(endpoint, message, writer)

            for endpoint in endpoints:
                endpoint.handler = break_off
            answering = asyncio.create_task(proxy.send(request("put", b"b")))
            for _ in range(2):
                await opening.asked.get()
            shift(proxy, span_us)
            opening.may_open.set()
            response = await answering
            assert await count_got(endpoints) == sent
            assert response.status == (200 if sent == 2 else 502)

    run(main())


WINDOW_US = 700_000
SPANS_MS = (0, 1, 350, 699, 700)
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("write"), st.booleans()),
        st.tuples(st.just("answer"), st.sampled_from([ERROR, FULL, RESET])),
        st.tuples(st.just("advance"), st.sampled_from(SPANS_MS)),
    ),
    max_size=14,
)


@given(steps=STEPS)
def test_no_keyed_attempt_is_written_after_the_window_of_one_that_may_have_run(
    steps: list[tuple[str, Any]],
) -> None:
    """The engine alone: connections come up, answers come and time passes in any order."""
    put = {**SETTINGS["classes"][1], "repeat-window-us": WINDOW_US}
    config = config_from({"seed": "7", "settings": {**SETTINGS, "classes": [put]}}, "test")
    clock, source, front = ManualClock(), StaticMembers(), Answers()
    upstream = PlayedUpstream(clock)
    engine = Engine(
        clock, config.seed, config.settings, config.names, upstream, source, config.drain_grace_us, print
    )
    engine.start()
    source.give([entry(f"s-{n}", cell=1) for n in range(4)])
    engine.take(Call(0, clock.now() + 4_000_000, b"POST /put", b"", b"", front, b"r1"))
    doubt_since: int | None = None  # the first write that may have run
    for kind, value in steps:
        if kind == "advance":
            clock.advance(value * 1000)
        elif not upstream.out:
            continue
        elif kind == "answer":
            (sent,) = upstream.out.values()
            written, ran = sent.written, sent.ran
            upstream.answer(sent, value)
            if written and not (value == FULL and not ran) and doubt_since is None:
                doubt_since = upstream.writes[-1][0]
        else:
            (sent,) = upstream.out.values()
            before = len(upstream.writes)
            upstream.write(sent, value)
            if len(upstream.writes) > before and doubt_since is not None:
                assert clock.now() < doubt_since + WINDOW_US
    clock.advance(4_000_000)
    assert len(front.given) == 1 and not engine.calls


# --- Lists ------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("change", "sent"),
    [
        ("address", (0, 1)),
        ("start", (0, 1)),
        ("drain", (1, 0)),
        ("drained", (0, 1)),
        ("held-up", (0, 1)),
        ("nothing", (1, 0)),
    ],
)
def test_a_request_for_a_replaced_endpoint_goes_to_the_new_one(change: str, sent: tuple[int, int]) -> None:
    """A list comes while the connection does. A drain leaves its grace; another address or start is
    another process, and nothing is known of the one that the connection was asked of. Where the process may
    be held up over the end of the grace as it writes, nothing is written."""

    async def main() -> None:
        old, new = Endpoint(), Endpoint()
        async with sidecar(old, new) as proxy:
            proxy.apply_list(old.entry("s-0"))
            recorded = record_outcomes(proxy.engine)
            opening = Opening(proxy)
            answering = asyncio.create_task(proxy.send(request("pay")))
            await opening.asked.get()
            if change == "address":
                proxy.apply_list(new.entry("s-0"), new.entry("s-1"))
            elif change == "start":
                proxy.apply_list(old.entry("s-0", startedAtMs=1), new.entry("s-1"))
            elif change == "drain":
                proxy.apply_list(old.entry("s-0", lifecycle="draining"))
            elif change == "drained":
                proxy.apply_list(old.entry("s-0", lifecycle="draining"), new.entry("s-1"))
                shift(proxy, 500_000)
            elif change == "held-up":
                proxy.apply_list(old.entry("s-0", lifecycle="draining"), new.entry("s-1"))
                shift(proxy, 500_000 - 150_000)
            opening.may_open.set()
            assert (await answering).status == 200
            if change == "start":
                assert recorded[0].outcome == MOOT
            else:
                assert (len(old.got), len(new.got)) == sent

    run(main())


# --- Second copies ----------------------------------------------------------------------


@pytest.mark.parametrize("spoilt", [b"what?\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"])
def test_a_malformed_answer_closes_its_connection_before_the_next_attempt(spoilt: bytes) -> None:
    """The next may go out in the same turn: the one before would be a second copy beside it."""

    async def main() -> None:
        async with by_hand() as (proxy, peer):
            ended: list[bool] = []

            def outcome(now: int, event: Outcome) -> list[Action]:
                ended.append(has_ended(peer.taken[0]))
                return real.outcome(now, event)

            real = override_decisions(proxy.engine, outcome=outcome)
            answering = asyncio.create_task(proxy.send(request()))
            accepted = await peer.accept()
            await peer.read(accepted)
            await peer.loop.sock_sendall(accepted, spoilt)
            if spoilt.startswith(b"HTTP"):  # it never ends
                receiving = proxy.upstream.receiving
                await until(lambda: bool(receiving.waiting_since))
                (connection,) = receiving.waiting_since
                receiving.waiting_since[connection] -= receiving.timeout_s
                receiving.run()
            assert (await answering).status == 503, "a class that is safe to repeat"
            assert ended == [True]

    run(main())


# --- Spoilt answers ---------------------------------------------------------------------


class Kept:
    """One request after the other, to a peer by hand that keeps its connections."""

    def __init__(self, proxy: Sidecar, peer: Peer, cls: str) -> None:
        self.one, self.peer, self.cls = proxy, peer, cls
        self.asked = 0
        self.time = proxy.engine.now()  # stands still where connections are chosen
        proxy.upstream.now = lambda: self.time

    def ask(self) -> asyncio.Task[Message]:
        self.asked += 1
        return asyncio.create_task(self.one.send(request(self.cls, rid=f"r{self.asked}")))

    async def serve(self, behind: bytes = b"") -> socket.socket:
        """A whole exchange on a new connection, and what comes with its answer."""
        answering = self.ask()
        accepted = await self.peer.accept()
        await self.peer.read(accepted)
        body = b"%d" % self.asked
        await self.peer.loop.sock_sendall(accepted, answer(body=body) + behind)
        assert (await answering).body == body
        return accepted


async def spoil_at_rest(kept: Kept) -> None:
    accepted = await kept.serve()
    await kept.peer.loop.sock_sendall(accepted, b"HT")
    await until(lambda: not kept.one.upstream.connections)


async def spoil_behind(kept: Kept) -> None:
    await kept.serve(behind=answer(body=b"twice"))
    await until(lambda: not kept.one.upstream.connections)


async def spoil_noise(kept: Kept) -> None:
    await kept.serve(behind=b"\0\1")
    await until(lambda: not kept.one.upstream.connections)


@pytest.mark.parametrize("spoil", [spoil_at_rest, spoil_behind, spoil_noise])
@pytest.mark.parametrize("cls", ["page", "pay"])
@pytest.mark.parametrize("late", ["at-rest", "under-the-next"])
def test_a_late_second_answer_answers_no_other_request(
    late: str, cls: str, spoil: Callable[[Kept], Awaitable[None]]
) -> None:
    """Once an endpoint was seen to spoil its answers. It may come before the next request is
    written, or behind that; to an unsafe one it would say that it never ran."""

    async def main() -> None:
        async with by_hand() as (proxy, peer):
            kept = Kept(proxy, peer, cls)
            await spoil(kept)
            accepted = await kept.serve()
            second = answer(503, b"", "X-Not-Run: 1\r\n") if cls == "pay" else answer(body=b"2")
            if late == "at-rest":
                await peer.loop.sock_sendall(accepted, second)
            answering = kept.ask()
            if late == "under-the-next":
                await until(lambda: is_readable(peer.listener) or is_readable(accepted))
                assert not is_readable(accepted), "where a second answer may still come"
            other = await peer.accept()
            await peer.read(other)
            if late == "under-the-next":
                await peer.loop.sock_sendall(accepted, second)
            await peer.loop.sock_sendall(other, answer(body=b"3"))
            assert (await answering).body == b"3"

    run(main())


def test_a_connection_is_reused_after_its_settle_time() -> None:
    """Also once answers were seen spoilt; and of many that have not, the one that rested longest."""

    async def main() -> None:
        async with by_hand() as (proxy, peer):
            kept = Kept(proxy, peer, "page")
            await spoil_at_rest(kept)
            accepted = await kept.serve()

            async def serve_by(expected: socket.socket) -> None:
                answering = kept.ask()
                await peer.read(expected)
                await peer.loop.sock_sendall(expected, answer(body=b"%d" % kept.asked))
                assert (await answering).body == b"%d" % kept.asked

            kept.time += SETTLE_US
            await serve_by(accepted)
            for _ in range(MIN_IDLE):
                await kept.serve()
            assert len(proxy.upstream.idle_connections.waiting_since) == MIN_IDLE + 1
            await serve_by(accepted)

    run(main())


# --- Bytes that the system has not taken yet ------------------------------------------------


async def half_written(
    proxy: Sidecar, peer: Peer, cls: str = "pay"
) -> tuple[asyncio.Task[Message], socket.socket]:
    """A request whose last bytes wait in the transport: the peer reads nothing of its body."""
    peer.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    opening = Opening(proxy)
    opening.small = True
    opening.may_open.set()
    answering = asyncio.create_task(proxy.send(request(cls, b"x" * 65_000)))
    if cls == "put":  # its first attempt is written, and breaks
        accepted = await peer.accept()
        await peer.read_all(accepted, 65_000)
        reset_by(accepted)
    accepted = await peer.accept()
    await until(
        lambda: bool(proxy.upstream.connections)
        and all(connection.write_paused for connection in proxy.upstream.connections)
    )
    return answering, accepted


@pytest.mark.parametrize("how", ["reset", "end", "second-answer", "refusal"])
def test_a_partially_written_request_never_ran(how: str) -> None:
    async def main() -> None:
        async with by_hand(max_attempts=1) as (proxy, peer):
            recorded = record_outcomes(proxy.engine)
            answering, accepted = await half_written(proxy, peer)
            if how == "reset":
                reset_by(accepted)
            elif how == "end":
                accepted.close()
            elif how == "second-answer":
                await peer.loop.sock_sendall(accepted, answer(body=b"another's"))
            else:
                await peer.loop.sock_sendall(accepted, answer(503, b"", "X-Not-Run: 1\r\n"))
            assert (await answering).status == 503
            assert recorded[0].outcome == (FULL if how == "refusal" else NO_CONNECT)

    run(main())


def test_a_request_that_the_kernel_took_late_may_have_run() -> None:
    """The other order: the last bytes left before the connection broke."""

    async def main() -> None:
        async with by_hand(max_attempts=1) as (proxy, peer):
            recorded = record_outcomes(proxy.engine)
            answering, accepted = await half_written(proxy, peer)
            await peer.read_all(accepted, 65_000)
            await until(lambda: not any(connection.write_paused for connection in proxy.upstream.connections))
            reset_by(accepted)
            assert (await answering).status == 502
            assert recorded[0].outcome == RESET

    run(main())


def test_a_retry_with_unwritten_bytes_is_cancelled_after_its_window() -> None:
    """They would still be sent, were the endpoint to read at last."""

    async def main() -> None:
        async with by_hand() as (proxy, peer):
            at = f"127.0.0.1:{peer.port}"
            proxy.apply_list(*(Endpoint().entry(f"s-{n}", hostPort=at) for n in range(2)))
            set_window(proxy, 3_000_000)
            recorded = record_outcomes(proxy.engine)
            answering, accepted = await half_written(proxy, peer, "put")
            (call,) = proxy.engine.calls.values()
            come_due(proxy, call.attempts[1])
            assert (await answering).status == 502
            assert [event.outcome for event in recorded] == [RESET, MOOT]
            got = 0
            with contextlib.suppress(ConnectionError):
                while more := await peer.loop.sock_recv(accepted, 65_536):
                    got += len(more)
            assert 0 < got < 65_000

    run(main())


# --- A client that leaves, and its deadline ---------------------------------------------------


async def ends_first(proxy: Sidecar, endpoints: list[Endpoint], opening: Opening) -> None:
    """The first attempt breaks; the connection of the next one is held."""

    async def break_off(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        opening.may_open.clear()
        for other in endpoints:
            other.handler = serve()
        await reset(executes=False)(endpoint, message, writer)

    for endpoint in endpoints:
        endpoint.handler = break_off
    opening.may_open.set()


@pytest.mark.parametrize("cancel", [True, False], ids=["cancels", "does-not"])
@pytest.mark.parametrize("attempt", ["first", "further"])
@pytest.mark.parametrize("leaves", ["before", "behind"])
def test_no_attempt_begins_for_a_client_that_has_left(leaves: str, attempt: str, cancel: bool) -> None:
    """It leaves while a connection comes up for it, or once its request is there."""

    async def main() -> None:
        endpoints = [Endpoint(stall()), Endpoint(stall())]
        async with sidecar(*endpoints, ceilings={"cancel": cancel}) as proxy:
            opening = Opening(proxy)
            before = int(attempt == "further")
            if before:
                await ends_first(proxy, endpoints, opening)
            _, writer = await proxy.connect()
            writer.write(request())
            for _ in range(1 + before):
                await opening.asked.get()
            if leaves == "before":
                writer.close()
                await until(lambda: not any(call.open for call in proxy.engine.calls.values()))
            opening.may_open.set()
            if leaves == "behind":
                await until(lambda: sum(len(endpoint.got) for endpoint in endpoints) == 1 + before)
                writer.close()
            await until(lambda: not proxy.engine.calls or not cancel)
            await until(lambda: not proxy.upstream.connecting.waiting_since)
            assert await count_got(endpoints) == before + (leaves == "behind")

    run(main())


@pytest.mark.parametrize("left_us", [1_000, 8_000, 100_000, 159_999, 160_000, 480_000, 3_000_000])
def test_a_stalled_process_sends_no_longer_deadline_than_is_left(left_us: int) -> None:
    """Held up for 0.15 s between its clock and the write, with the page's slack of as much, and the loop's
    turn takes an eighth of the time or 20 ms beside that."""
    turn_us = min(20_000, left_us // 8)
    left_at_write_us = left_us - turn_us - 150_000
    assert endpoint_deadline_ms(left_us) * 1000 <= max(1_000, left_at_write_us + 150_000)
    assert endpoint_deadline_ms(left_us) * 1000 > 0.7 * left_us, (
        "an endpoint has to have the time that is left"
    )


def test_another_attempt_sends_no_longer_deadline_than_is_left() -> None:
    """Counted where it is written, not where it was decided."""

    async def main() -> None:
        endpoints = [Endpoint(), Endpoint()]
        async with sidecar(*endpoints) as proxy:
            opening = Opening(proxy)
            await ends_first(proxy, endpoints, opening)
            answering = asyncio.create_task(proxy.send(request("put", b"b", deadline_ms=4000)))
            for _ in range(2):
                await opening.asked.get()
            shift(proxy, 1_500_000)
            opening.may_open.set()
            assert (await answering).status == 200
            first, second = [int(message.headers["x-deadline-ms"]) for message in got_in_turn(endpoints)]
            assert first <= 4000 and second <= 2500

    run(main())


@pytest.mark.parametrize("first", ["deadline", "answer"])
def test_a_deadline_in_the_same_loop_iteration_as_the_answer_gives_one_answer(first: str) -> None:
    async def main() -> None:
        async with by_hand() as (proxy, peer):
            recorded = record_outcomes(proxy.engine)
            reader, writer = await proxy.connect()
            writer.write(request("pay"))
            accepted = await peer.accept()
            await peer.read(accepted)
            (call,) = proxy.engine.calls.values()
            accepted.send(answer(body=b"in time"))  # in the kernel, not yet read
            if first == "answer":
                await until(lambda: bool(recorded))
            shift(proxy, call.expires - proxy.engine.now())
            proxy.engine._on_deadline(call)
            response = await read_message(reader)
            assert response.status == (504 if first == "deadline" else 200)
            assert [event.outcome for event in recorded] == [TIMEOUT if first == "deadline" else OK]
            writer.write(request("pay", rid="r2"))
            other = accepted if first == "answer" else await peer.accept()
            await peer.read(other)
            await peer.loop.sock_sendall(other, answer(body=b"next"))
            assert (await read_message(reader)).body == b"next", "what came late answers nothing"
            writer.close()

    run(main())


# --- Ends of an answer ------------------------------------------------------------------------


@pytest.mark.parametrize("how", ["end", "reset", "end-and-reset"])
def test_only_an_orderly_close_ends_an_answer_without_a_length(how: str) -> None:
    """What breaks it is there in the same turn as its last bytes."""

    async def main() -> None:
        async with by_hand(max_attempts=1) as (proxy, peer):
            answering = asyncio.create_task(proxy.send(request("pay")))
            accepted = await peer.accept()
            await peer.read(accepted)
            accepted.send(b"HTTP/1.1 200 OK\r\n\r\nok")
            if how == "end-and-reset":
                accepted.shutdown(socket.SHUT_WR)
            if how == "end":
                accepted.close()
            else:
                reset_by(accepted)
            response = await answering
            assert (response.status, response.body) == ((502, b"") if how == "reset" else (200, b"ok"))

    run(main())


@pytest.mark.parametrize("half", [b"H", b"HTTP/1.1 20", b"HTTP/1.1 200 OK\r\nContent-Le"])
@pytest.mark.parametrize("when", ["under-a-request", "at-rest", "as-it-is-used-again"])
def test_a_partial_line_followed_by_a_close_is_not_an_answer(when: str, half: bytes) -> None:
    async def main() -> None:
        async with by_hand(max_attempts=1) as (proxy, peer):
            if when != "under-a-request":
                answering = asyncio.create_task(proxy.send(request("pay")))
                accepted = await peer.accept()
                await peer.read(accepted)
                await peer.loop.sock_sendall(accepted, answer())
                assert (await answering).status == 200
            if when == "at-rest":
                await peer.loop.sock_sendall(accepted, half)
                accepted.close()
                await until(lambda: not proxy.upstream.connections)
            elif when == "as-it-is-used-again":
                (connection,) = proxy.upstream.connections
                assert connection.transport is not None
                connection.transport.pause_reading()  # as though the loop had no turn since
                accepted.send(half)
                accepted.close()
            answering = asyncio.create_task(proxy.send(request("pay", rid="r2")))
            other = await peer.accept()
            await peer.read(other)
            if when == "under-a-request":
                await peer.loop.sock_sendall(other, half)
                other.close()
                assert (await answering).status == 502
            else:
                await peer.loop.sock_sendall(other, answer(body=b"whole"))
                assert (await answering).body == b"whole"

    run(main())


# --- Attempts under way -----------------------------------------------------------------------


@pytest.mark.parametrize("change", [{"startedAtMs": 1}, {"lifecycle": "draining"}, {"lifecycle": "gone"}])
def test_an_attempt_gets_its_answer_after_its_endpoint_was_replaced(change: dict[str, Any]) -> None:
    """But nothing more goes over its connection, and that ends with the answer."""

    async def main() -> None:
        release = asyncio.Event()
        old, new = Endpoint(after(release, serve(b"old"))), Endpoint(serve(b"new"))
        async with sidecar(old, new) as proxy:
            proxy.apply_list(old.entry("s-0"))
            answering = asyncio.create_task(proxy.send(request("pay")))
            await old.arrived.acquire()
            proxy.apply_list(old.entry("s-0", **change), new.entry("s-1"), whole=False)
            release.set()
            assert (await answering).body == b"old"
            await old.closed.acquire()
            if "lifecycle" in change:
                assert (await proxy.send(request("pay", rid="r2"))).body == b"new"
            assert await count_got([old]) == 1

    run(main())


def test_at_the_connection_limit_requests_are_refused_at_once() -> None:
    """At the limit on descriptors nothing is sent, and the client gets its answer at once."""

    async def main() -> None:
        endpoints = [Endpoint(), Endpoint(), Endpoint(), Endpoint()]
        async with sidecar(*endpoints) as proxy:
            recorded = record_outcomes(proxy.engine)
            proxy.upstream.max_connections = 0
            assert (await proxy.send(request("pay"))).status == 503
            assert [event.outcome for event in recorded] == [MOOT] * len(recorded) and len(recorded) <= 4
            assert not await count_got(endpoints)
            proxy.upstream.max_connections = 1
            assert (await proxy.send(request("pay", rid="r2"))).status == 200

    run(main())
