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
from laurelstep.balancing.events import ERROR, FULL, NO_CONNECT, NOT_SENT, OK, RESET, TIMEOUT, Action, Outcome
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
        one: Sidecar,
        made: Callable[[], None] | None = None,
        begun: Callable[[], None] | None = None,
    ) -> None:
        self.asked: asyncio.Queue[int] = asyncio.Queue()  # the ports, in the order asked for
        self.may_open = asyncio.Event()
        self.made = made  # in the turn in which it came up, behind what the program does in it
        self.small = False  # connections whose buffer for sending is the system's least
        self.begun = begun  # in the same turn, before what the program does in it
        self.real = one.upstream.loop
        held = MethodProxy(self.real, create_connection=self._create)
        one.upstream.loop = cast(asyncio.AbstractEventLoop, held)

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


def shift(one: Sidecar, span_us: int) -> None:
    """Set forward the clock by which the engine and the upstream judge."""
    real = one.engine.clock.now
    one.engine.clock = cast(Clock, MethodProxy(one.engine.clock, now=lambda: real() + span_us))
    one.upstream.now = one.engine.clock.now


def come_due(one: Sidecar, attempt: Attempt) -> None:
    """Its timer, now."""
    timer = cast(Timer, attempt.timer)
    assert timer.handle is not None
    timer.handle.cancel()
    timer.due = one.engine.now()
    timer.woken()


def set_window(one: Sidecar, window_us: int) -> None:
    """Give all classes this window for repeats."""
    classes = tuple(replace(cls, window_us=window_us) for cls in one.engine.settings.classes)
    one.engine.settings = one.engine.attempts.settings = replace(one.engine.settings, classes=classes)
    one.engine.balancer.settings = replace(one.engine.balancer.settings, classes=classes)


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
    return sum(not one.startswith("behind") for endpoint in endpoints for one in ids(endpoint))


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
        taken, _ = await self.loop.sock_accept(self.listener)
        self.taken.append(taken)
        return taken

    async def read(self, taken: socket.socket) -> bytes:
        """The next request: a head, with no body."""
        data = b""
        while not data.endswith(b"\r\n\r\n"):
            more = await self.loop.sock_recv(taken, 4096)
            assert more, "it ended before its request was whole"
            data += more
        return data

    async def read_all(self, taken: socket.socket, size: int) -> None:
        """A request whose body is so many times `x`."""
        data = b""
        while not data.endswith(b"x" * size):
            data += await self.loop.sock_recv(taken, 65_536)

    def close(self) -> None:
        for one in (self.listener, *self.taken):
            one.close()


def reset_by(taken: socket.socket) -> None:
    taken.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    taken.close()


def is_readable(one: socket.socket) -> bool:
    return bool(select.select([one], [], [], 0)[0])


def has_ended(taken: socket.socket) -> bool:
    """Whether the other side has ended its sending, by now."""
    try:
        return taken.recv(1) == b""
    except BlockingIOError:
        return False
    except ConnectionError:
        return True


@contextlib.asynccontextmanager
async def by_hand(**ceilings: Any) -> AsyncIterator[tuple[Sidecar, Peer]]:
    """A sidecar whose one endpoint is a peer by hand."""
    peer = Peer()
    with contextlib.closing(peer):
        async with sidecar(ceilings={key.replace("_", "-"): value for key, value in ceilings.items()}) as one:
            one.apply_list(Endpoint().entry("s-0", hostPort=f"127.0.0.1:{peer.port}"))
            yield one, peer


# --- Connect timeout --------------------------------------------------------------------


def test_a_connection_that_comes_up_as_its_time_is_over_still_has_one_outcome() -> None:
    """The request is written in the turn whose end is past the connect timeout."""

    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint, ceilings={"connect-timeout-us": 200_000}) as one:
            begun = time.monotonic()

            def stay_past_the_timeout() -> None:
                while time.monotonic() < begun + 0.25:
                    pass

            Opening(one, made=stay_past_the_timeout).may_open.set()
            assert (await one.send(request("pay"))).body == b"ok"
            assert endpoint.effects.by_id["r1"] == 1
            assert len(one.upstream.connections) == len(one.upstream.idle_connections.waiting_since) == 1

    run(main())


def test_a_connection_that_comes_up_behind_its_time_out_carries_nothing() -> None:
    """The other order: the timeout comes first, and the connection is up in the same turn."""

    async def main() -> None:
        endpoints = [Endpoint(), Endpoint()]
        async with sidecar(*endpoints) as one:
            told = record_outcomes(one.engine)
            connecting = one.upstream.connecting

            def time_out_the_first() -> None:
                if not told:
                    (link,) = connecting.waiting_since
                    connecting.waiting_since[link] -= connecting.timeout_s
                    connecting.run()

            Opening(one, begun=time_out_the_first).may_open.set()
            assert (await one.send(request("pay"))).body == b"ok"
            assert [event.outcome for event in told] == [NO_CONNECT, OK]
            assert sorted(len(endpoint.got) for endpoint in endpoints) == [0, 1]
            assert len(one.upstream.connections) == 1

    run(main())


def test_a_host_that_no_name_can_have_is_no_connection() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint, ceilings={"max-attempts": 1}) as one:
            one.apply_list(endpoint.entry("s-0", hostPort="a..b:80"))
            told = record_outcomes(one.engine)
            assert (await one.send(request("pay"))).status == 503
            assert [event.outcome for event in told] == [NO_CONNECT]
            assert not one.upstream.connections

    run(main())


# --- Repeats ----------------------------------------------------------------------------


@pytest.mark.parametrize(("span_us", "sent"), [(0, 2), (3_000_000, 1)], ids=["within", "past"])
def test_a_repeat_is_within_its_window_where_it_is_written(span_us: int, sent: int) -> None:
    """Decided in time, but its connection came up late."""

    async def main() -> None:
        endpoints = [Endpoint(), Endpoint()]
        async with sidecar(*endpoints) as one:
            set_window(one, 3_000_000)
            opening = Opening(one)
            opening.may_open.set()

            async def break_off(endpoint: Endpoint, message: Message, writer: Writer) -> None:
                opening.may_open.clear()
                for other in endpoints:
                    other.handler = serve()
                await reset()(endpoint, message, writer)

            for endpoint in endpoints:
                endpoint.handler = break_off
            asked = asyncio.create_task(one.send(request("put", b"b")))
            for _ in range(2):
                await opening.asked.get()
            shift(one, span_us)
            opening.may_open.set()
            back = await asked
            assert await count_got(endpoints) == sent
            assert back.status == (200 if sent == 2 else 502)

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
def test_no_keyed_attempt_is_written_past_the_window_of_one_that_may_have_run(
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
    source.replace_list([entry(f"s-{n}", cell=1) for n in range(4)])
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
def test_what_was_to_go_to_a_replaced_endpoint_goes_to_the_new_one(
    change: str, sent: tuple[int, int]
) -> None:
    """A list comes while the connection does. A drain leaves its grace; another address or start is
    another process, and nothing is known of the one that the connection was asked of. Where the process may
    be held up over the end of the grace as it writes, nothing is written."""

    async def main() -> None:
        old, new = Endpoint(), Endpoint()
        async with sidecar(old, new) as one:
            one.apply_list(old.entry("s-0"))
            told = record_outcomes(one.engine)
            opening = Opening(one)
            asked = asyncio.create_task(one.send(request("pay")))
            await opening.asked.get()
            if change == "address":
                one.apply_list(new.entry("s-0"), new.entry("s-1"))
            elif change == "start":
                one.apply_list(old.entry("s-0", startedAtMs=1), new.entry("s-1"))
            elif change == "drain":
                one.apply_list(old.entry("s-0", lifecycle="draining"))
            elif change == "drained":
                one.apply_list(old.entry("s-0", lifecycle="draining"), new.entry("s-1"))
                shift(one, 500_000)
            elif change == "held-up":
                one.apply_list(old.entry("s-0", lifecycle="draining"), new.entry("s-1"))
                shift(one, 500_000 - 150_000)
            opening.may_open.set()
            assert (await asked).status == 200
            if change == "start":
                assert told[0].outcome == NOT_SENT
            else:
                assert (len(old.got), len(new.got)) == sent

    run(main())


# --- Second copies ----------------------------------------------------------------------


@pytest.mark.parametrize("spoilt", [b"what?\r\n\r\n", b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nx"])
def test_a_spoilt_attempt_is_off_the_wire_before_the_next_is_decided(spoilt: bytes) -> None:
    """The next may go out in the same turn: the one before would be a second copy beside it."""

    async def main() -> None:
        async with by_hand() as (one, peer):
            ended: list[bool] = []

            def outcome(now: int, event: Outcome) -> list[Action]:
                ended.append(has_ended(peer.taken[0]))
                return real.outcome(now, event)

            real = override_decisions(one.engine, outcome=outcome)
            asked = asyncio.create_task(one.send(request()))
            taken = await peer.accept()
            await peer.read(taken)
            await peer.loop.sock_sendall(taken, spoilt)
            if spoilt.startswith(b"HTTP"):  # it never ends
                answering = one.upstream.receiving
                await until(lambda: bool(answering.waiting_since))
                (link,) = answering.waiting_since
                answering.waiting_since[link] -= answering.timeout_s
                answering.run()
            assert (await asked).status == 503, "a class that is safe to repeat"
            assert ended == [True]

    run(main())


# --- Spoilt answers ---------------------------------------------------------------------


class Kept:
    """One request after the other, to a peer by hand that keeps its connections."""

    def __init__(self, one: Sidecar, peer: Peer, cls: str) -> None:
        self.one, self.peer, self.cls = one, peer, cls
        self.asked = 0
        self.time = one.engine.now()  # stands still where connections are chosen
        one.upstream.now = lambda: self.time

    def ask(self) -> asyncio.Task[Message]:
        self.asked += 1
        return asyncio.create_task(self.one.send(request(self.cls, rid=f"r{self.asked}")))

    async def serve(self, behind: bytes = b"") -> socket.socket:
        """A whole exchange on a new connection, and what comes with its answer."""
        asked = self.ask()
        taken = await self.peer.accept()
        await self.peer.read(taken)
        body = b"%d" % self.asked
        await self.peer.loop.sock_sendall(taken, answer(body=body) + behind)
        assert (await asked).body == body
        return taken


async def spoil_at_rest(kept: Kept) -> None:
    taken = await kept.serve()
    await kept.peer.loop.sock_sendall(taken, b"HT")
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
def test_a_second_answer_that_comes_late_answers_no_other_request(
    late: str, cls: str, spoil: Callable[[Kept], Awaitable[None]]
) -> None:
    """Once an endpoint was seen to spoil its answers. It may come before the next request is
    written, or behind that; to an unsafe one it would say that it never ran."""

    async def main() -> None:
        async with by_hand() as (one, peer):
            kept = Kept(one, peer, cls)
            await spoil(kept)
            taken = await kept.serve()
            second = answer(503, b"", "X-Not-Run: 1\r\n") if cls == "pay" else answer(body=b"2")
            if late == "at-rest":
                await peer.loop.sock_sendall(taken, second)
            asked = kept.ask()
            if late == "under-the-next":
                await until(lambda: is_readable(peer.listener) or is_readable(taken))
                assert not is_readable(taken), "where a second answer may still come"
            other = await peer.accept()
            await peer.read(other)
            if late == "under-the-next":
                await peer.loop.sock_sendall(taken, second)
            await peer.loop.sock_sendall(other, answer(body=b"3"))
            assert (await asked).body == b"3"

    run(main())


def test_a_connection_that_has_settled_is_used_again() -> None:
    """Also once answers were seen spoilt; and of many that have not, the one that rested longest."""

    async def main() -> None:
        async with by_hand() as (one, peer):
            kept = Kept(one, peer, "page")
            await spoil_at_rest(kept)
            taken = await kept.serve()

            async def serve_by(expected: socket.socket) -> None:
                asked = kept.ask()
                await peer.read(expected)
                await peer.loop.sock_sendall(expected, answer(body=b"%d" % kept.asked))
                assert (await asked).body == b"%d" % kept.asked

            kept.time += SETTLE_US
            await serve_by(taken)
            for _ in range(MIN_IDLE):
                await kept.serve()
            assert len(one.upstream.idle_connections.waiting_since) == MIN_IDLE + 1
            await serve_by(taken)

    run(main())


# --- Bytes that the system has not taken yet ------------------------------------------------


async def half_written(
    one: Sidecar, peer: Peer, cls: str = "pay"
) -> tuple[asyncio.Task[Message], socket.socket]:
    """A request whose last bytes wait in the transport: the peer reads nothing of its body."""
    peer.listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
    opening = Opening(one)
    opening.small = True
    opening.may_open.set()
    asked = asyncio.create_task(one.send(request(cls, b"x" * 65_000)))
    if cls == "put":  # its first attempt is written, and breaks
        taken = await peer.accept()
        await peer.read_all(taken, 65_000)
        reset_by(taken)
    taken = await peer.accept()
    await until(
        lambda: bool(one.upstream.connections) and all(link.write_paused for link in one.upstream.connections)
    )
    return asked, taken


@pytest.mark.parametrize("how", ["reset", "end", "second-answer", "refusal"])
def test_what_was_not_written_whole_never_ran(how: str) -> None:
    async def main() -> None:
        async with by_hand(max_attempts=1) as (one, peer):
            told = record_outcomes(one.engine)
            asked, taken = await half_written(one, peer)
            if how == "reset":
                reset_by(taken)
            elif how == "end":
                taken.close()
            elif how == "second-answer":
                await peer.loop.sock_sendall(taken, answer(body=b"another's"))
            else:
                await peer.loop.sock_sendall(taken, answer(503, b"", "X-Not-Run: 1\r\n"))
            assert (await asked).status == 503
            assert told[0].outcome == (FULL if how == "refusal" else NO_CONNECT)

    run(main())


def test_what_the_system_took_late_may_have_run() -> None:
    """The other order: the last bytes left before the connection broke."""

    async def main() -> None:
        async with by_hand(max_attempts=1) as (one, peer):
            told = record_outcomes(one.engine)
            asked, taken = await half_written(one, peer)
            await peer.read_all(taken, 65_000)
            await until(lambda: not any(link.write_paused for link in one.upstream.connections))
            reset_by(taken)
            assert (await asked).status == 502
            assert told[0].outcome == RESET

    run(main())


def test_a_repeat_whose_last_bytes_wait_past_its_window_is_given_up() -> None:
    """They would still be sent, were the endpoint to read at last."""

    async def main() -> None:
        async with by_hand() as (one, peer):
            at = f"127.0.0.1:{peer.port}"
            one.apply_list(*(Endpoint().entry(f"s-{n}", hostPort=at) for n in range(2)))
            set_window(one, 3_000_000)
            told = record_outcomes(one.engine)
            asked, taken = await half_written(one, peer, "put")
            (call,) = one.engine.calls.values()
            come_due(one, call.attempts[1])
            assert (await asked).status == 502
            assert [event.outcome for event in told] == [RESET, NOT_SENT]
            got = 0
            with contextlib.suppress(ConnectionError):
                while more := await peer.loop.sock_recv(taken, 65_536):
                    got += len(more)
            assert 0 < got < 65_000

    run(main())


# --- A client that leaves, and its deadline ---------------------------------------------------


async def ends_first(one: Sidecar, endpoints: list[Endpoint], opening: Opening) -> None:
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
def test_nothing_begins_for_a_client_that_has_left(leaves: str, attempt: str, cancel: bool) -> None:
    """It leaves while a connection comes up for it, or once its request is there."""

    async def main() -> None:
        endpoints = [Endpoint(stall()), Endpoint(stall())]
        async with sidecar(*endpoints, ceilings={"cancel": cancel}) as one:
            opening = Opening(one)
            before = int(attempt == "further")
            if before:
                await ends_first(one, endpoints, opening)
            _, writer = await one.connect()
            writer.write(request())
            for _ in range(1 + before):
                await opening.asked.get()
            if leaves == "before":
                writer.close()
                await until(lambda: not any(call.is_open for call in one.engine.calls.values()))
            opening.may_open.set()
            if leaves == "behind":
                await until(lambda: sum(len(endpoint.got) for endpoint in endpoints) == 1 + before)
                writer.close()
            await until(lambda: not one.engine.calls or not cancel)
            await until(lambda: not one.upstream.connecting.waiting_since)
            assert await count_got(endpoints) == before + (leaves == "behind")

    run(main())


@pytest.mark.parametrize("left_us", [1_000, 8_000, 100_000, 159_999, 160_000, 480_000, 3_000_000])
def test_a_process_that_is_held_up_as_it_writes_tells_no_more_time_than_is_left(left_us: int) -> None:
    """Held up for 0.15 s between its clock and the write, with the page's slack of as much, and the loop's
    turn takes an eighth of the time or 20 ms beside that."""
    turn_us = min(20_000, left_us // 8)
    left_at_write_us = left_us - turn_us - 150_000
    assert endpoint_deadline_ms(left_us) * 1000 <= max(1_000, left_at_write_us + 150_000)
    assert endpoint_deadline_ms(left_us) * 1000 > 0.7 * left_us, (
        "an endpoint has to have the time that is left"
    )


def test_a_further_attempt_tells_no_more_time_than_is_left() -> None:
    """Counted where it is written, not where it was decided."""

    async def main() -> None:
        endpoints = [Endpoint(), Endpoint()]
        async with sidecar(*endpoints) as one:
            opening = Opening(one)
            await ends_first(one, endpoints, opening)
            asked = asyncio.create_task(one.send(request("put", b"b", deadline_ms=4000)))
            for _ in range(2):
                await opening.asked.get()
            shift(one, 1_500_000)
            opening.may_open.set()
            assert (await asked).status == 200
            first, second = [int(message.headers["x-deadline-ms"]) for message in got_in_turn(endpoints)]
            assert first <= 4000 and second <= 2500

    run(main())


@pytest.mark.parametrize("first", ["deadline", "answer"])
def test_a_deadline_in_the_turn_of_the_answer_gives_one_answer(first: str) -> None:
    async def main() -> None:
        async with by_hand() as (one, peer):
            told = record_outcomes(one.engine)
            reader, writer = await one.connect()
            writer.write(request("pay"))
            taken = await peer.accept()
            await peer.read(taken)
            (call,) = one.engine.calls.values()
            taken.send(answer(body=b"in time"))  # in the kernel, not yet read
            if first == "answer":
                await until(lambda: bool(told))
            shift(one, call.expires_at - one.engine.now())
            one.engine._on_deadline(call)
            back = await read_message(reader)
            assert back.status == (504 if first == "deadline" else 200)
            assert [event.outcome for event in told] == [TIMEOUT if first == "deadline" else OK]
            writer.write(request("pay", rid="r2"))
            other = taken if first == "answer" else await peer.accept()
            await peer.read(other)
            await peer.loop.sock_sendall(other, answer(body=b"next"))
            assert (await read_message(reader)).body == b"next", "what came late answers nothing"
            writer.close()

    run(main())


# --- Ends of an answer ------------------------------------------------------------------------


@pytest.mark.parametrize("how", ["end", "reset", "end-and-reset"])
def test_only_an_orderly_end_ends_an_answer_without_a_length(how: str) -> None:
    """What breaks it is there in the same turn as its last bytes."""

    async def main() -> None:
        async with by_hand(max_attempts=1) as (one, peer):
            asked = asyncio.create_task(one.send(request("pay")))
            taken = await peer.accept()
            await peer.read(taken)
            taken.send(b"HTTP/1.1 200 OK\r\n\r\nok")
            if how == "end-and-reset":
                taken.shutdown(socket.SHUT_WR)
            if how == "end":
                taken.close()
            else:
                reset_by(taken)
            back = await asked
            assert (back.status, back.body) == ((502, b"") if how == "reset" else (200, b"ok"))

    run(main())


@pytest.mark.parametrize("half", [b"H", b"HTTP/1.1 20", b"HTTP/1.1 200 OK\r\nContent-Le"])
@pytest.mark.parametrize("when", ["under-a-request", "at-rest", "as-it-is-used-again"])
def test_half_a_line_and_an_end_are_no_answer(when: str, half: bytes) -> None:
    async def main() -> None:
        async with by_hand(max_attempts=1) as (one, peer):
            if when != "under-a-request":
                asked = asyncio.create_task(one.send(request("pay")))
                taken = await peer.accept()
                await peer.read(taken)
                await peer.loop.sock_sendall(taken, answer())
                assert (await asked).status == 200
            if when == "at-rest":
                await peer.loop.sock_sendall(taken, half)
                taken.close()
                await until(lambda: not one.upstream.connections)
            elif when == "as-it-is-used-again":
                (link,) = one.upstream.connections
                assert link.transport is not None
                link.transport.pause_reading()  # as though the loop had no turn since
                taken.send(half)
                taken.close()
            asked = asyncio.create_task(one.send(request("pay", rid="r2")))
            other = await peer.accept()
            await peer.read(other)
            if when == "under-a-request":
                await peer.loop.sock_sendall(other, half)
                other.close()
                assert (await asked).status == 502
            else:
                await peer.loop.sock_sendall(other, answer(body=b"whole"))
                assert (await asked).body == b"whole"

    run(main())


# --- Attempts under way -----------------------------------------------------------------------


@pytest.mark.parametrize("change", [{"startedAtMs": 1}, {"lifecycle": "draining"}, {"lifecycle": "gone"}])
def test_a_list_that_replaces_the_endpoint_of_an_attempt_leaves_it_its_answer(change: dict[str, Any]) -> None:
    """But nothing more goes over its connection, and that ends with the answer."""

    async def main() -> None:
        release = asyncio.Event()
        old, new = Endpoint(after(release, serve(b"old"))), Endpoint(serve(b"new"))
        async with sidecar(old, new) as one:
            one.apply_list(old.entry("s-0"))
            asked = asyncio.create_task(one.send(request("pay")))
            await old.arrived.acquire()
            one.apply_list(old.entry("s-0", **change), new.entry("s-1"), whole=False)
            release.set()
            assert (await asked).body == b"old"
            await old.closed.acquire()
            if "lifecycle" in change:
                assert (await one.send(request("pay", rid="r2"))).body == b"new"
            assert await count_got([old]) == 1

    run(main())


def test_no_room_for_a_connection_is_told_and_does_not_spin() -> None:
    """At the limit on descriptors nothing is sent, and the client gets its answer at once."""

    async def main() -> None:
        endpoints = [Endpoint(), Endpoint(), Endpoint(), Endpoint()]
        async with sidecar(*endpoints) as one:
            told = record_outcomes(one.engine)
            one.upstream.max_connections = 0
            assert (await one.send(request("pay"))).status == 503
            assert [event.outcome for event in told] == [NOT_SENT] * len(told) and len(told) <= 4
            assert not await count_got(endpoints)
            one.upstream.max_connections = 1
            assert (await one.send(request("pay", rid="r2"))).status == 200

    run(main())
