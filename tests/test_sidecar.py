"""End-to-end tests of the sidecar over loopback sockets: each test guards against one failure."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import socket
from dataclasses import replace
from pathlib import Path
from types import SimpleNamespace
from typing import Any, cast

import pytest
from laurelstep.balancing.events import (
    CANCELLED,
    DRAINING,
    ERROR,
    FULL,
    LIST_CACHED,
    LIST_DELTA,
    LIST_FULL,
    NO_CONNECT,
    NOT_SENT,
    OK,
    RESET,
    TIMEOUT,
    Action,
    Entry,
    Refuse,
    Send,
)
from laurelstep.engine import Clock, endpoint_number
from laurelstep.net.discovery import Discovery
from laurelstep.net.request import parse_object_key
from laurelstep.testing import status as fails_with

from tests.conftest import Logged, plain_only
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
    override_decisions,
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


def record_lists(proxy: Sidecar) -> asyncio.Queue[tuple[int, list[Entry]]]:
    """A queue of the endpoint lists that the balancer receives from now on, with their modes."""
    recorded: asyncio.Queue[tuple[int, list[Entry]]] = asyncio.Queue()

    def members(now: int, mode: int, entries: list[Entry]) -> list[Action]:
        recorded.put_nowait((mode, list(entries)))
        return real.members(now, mode, entries)

    real = override_decisions(proxy.engine, members=members)
    return recorded


def address(bound: socket.socket) -> str:
    host, port = bound.getsockname()
    return f"{host}:{port}"


def test_a_request_is_forwarded_and_its_answer_returned_unchanged() -> None:
    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(
            answer(body=b"x" * 60_000, headers="Content-Type: image/png\r\nX-Load: queue=2,qps=9\r\n")
        )

    async def main() -> None:
        endpoint = Endpoint(reply)
        async with sidecar(endpoint) as proxy:
            response = await proxy.send(request("put", b"b" * 50_000, "X-Other: 1\r\n"))
            assert response.start_line.startswith("HTTP/1.1 200") and response.body == b"x" * 60_000
            assert response.headers["content-type"] == "image/png"
            (received,) = endpoint.requests
            assert received.start_line == "POST /put?obj=7f3a HTTP/1.1" and received.body == b"b" * 50_000
            assert received.headers["x-request-id"] == "r1" and received.headers["idempotency-key"] == "k1"
            assert 0 < int(received.headers["x-deadline-ms"]) <= 4000
            assert "x-other" not in received.headers, "only headers that endpoints need are forwarded"
            assert "x-load" not in response.headers, "only headers that clients need are returned"
            (recorded,) = proxy.engine.balancer.endpoints.values()
            assert recorded.reported_queued == 2.0, "`queue` on the wire is `waiting` in the settings"

    run(main())


@pytest.mark.parametrize("cls", ["page", "pay"])
def test_connections_are_reused_on_both_sides(cls: str) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as proxy:
            reader, writer = await proxy.connect()
            for n in range(5):
                writer.write(request(cls, rid=f"r{n}"))
                assert (await read_message(reader)).body == b"ok"
            assert endpoint.connection_count == 1 and proxy.connection_count == 1
            assert not proxy.engine.calls and not proxy.engine.balancer.requests

    run(main())


# --- Endpoints and discovery ------------------------------------------------------


def test_endpoint_numbers_depend_on_the_name_alone() -> None:
    async def main() -> None:
        first, second = Endpoint(), Endpoint()
        async with sidecar(first, second) as proxy, sidecar(second, first, known=False) as other:
            other.apply_list(second.entry("s-1"), first.entry("s-0"))
            assert set(proxy.engine.balancer.endpoints) == set(other.engine.balancer.endpoints)
            assert endpoint_number("s-0") in proxy.engine.balancer.endpoints
        assert endpoint_number("s-5be2a07c") == 0x850D21AD14919D0C, "the same after a restart"

    run(main())


def test_a_start_time_is_converted_from_wall_time_once() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as proxy:
            wall = 1_700_000_000_000_000
            proxy.engine.endpoints.clock = cast(Clock, MethodProxy(proxy.engine.clock, wall=lambda: wall))
            started = endpoint.entry(startedAtMs=wall // 1000 - 4_000)
            before = proxy.engine.now()
            proxy.apply_list(started)
            (known,) = proxy.engine.balancer.endpoints.values()
            started_at = known.started_at
            assert before - 4_000_000 <= started_at <= proxy.engine.now() - 4_000_000
            wall += 3_600_000_000  # the wall clock is changed: the endpoint did not restart
            proxy.apply_list(started)
            assert known.started_at == started_at

    run(main())


@pytest.mark.parametrize("change", [{"startedAtMs": 5}, {"lifecycle": "draining"}, {"lifecycle": "gone"}])
def test_a_restart_or_a_drain_closes_the_idle_connections(change: dict[str, Any]) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as proxy:
            await proxy.send(request())
            proxy.apply_list(endpoint.entry("s-0", **change), whole=False)
            await endpoint.closed.acquire()
            assert not proxy.upstream.connections

    run(main())


def test_a_new_address_closes_the_old_pool() -> None:
    async def main() -> None:
        old, new = Endpoint(), Endpoint()
        async with sidecar(old, new) as proxy:
            proxy.apply_list(old.entry("s-0"))
            await proxy.send(request())
            proxy.apply_list(new.entry("s-0"), whole=False)
            await old.closed.acquire()
            assert (await proxy.send(request(rid="r2"))).body == b"ok"
            assert len(old.requests) == len(new.requests) == 1

    run(main())


def test_a_full_list_replaces_the_old_one_and_used_connections_are_not_kept() -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def slow(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            await release.wait()
            writer.write(answer())

        endpoint = Endpoint(slow)
        async with sidecar(endpoint) as proxy:
            answering = asyncio.create_task(proxy.send(request()))
            await endpoint.arrived.acquire()
            proxy.apply_list()
            release.set()
            assert (await answering).body == b"ok", "a request that was sent is completed"
            await endpoint.closed.acquire()

    run(main())


def test_the_watch_resumes_after_the_last_generation() -> None:
    async def main() -> None:
        endpoint, registry = Endpoint(), Registry()
        async with sidecar(endpoint, registry=registry) as proxy:
            recorded = record_lists(proxy)
            start, watch = await registry.watches.get()
            assert start == "GET /registry/instances?watch=1&from=41 HTTP/1.1"
            push(watch, 44, False, endpoint.entry("s-0", lifecycle="draining"))
            mode, (entry,) = await recorded.get()
            assert (mode, entry.phase) == (LIST_DELTA, DRAINING)
            watch.close()
            start, watch = await registry.watches.get()
            assert "from=44 " in start
            push(watch, 45, True, endpoint.entry("s-9"))
            mode, (entry,) = await recorded.get()
            assert (mode, entry.endpoint) == (LIST_FULL, endpoint_number("s-9"))
            assert list(proxy.engine.balancer.endpoints) == [endpoint_number("s-9")]

    run(main())


@plain_only
def test_the_configured_list_is_passed_to_the_balancer_as_cached(monkeypatch: pytest.MonkeyPatch) -> None:
    modes: list[int] = []

    async def main() -> None:
        async with sidecar(Endpoint(), registry=Registry()):
            pass

    from laurelstep.balancing.balancer import Balancer

    real = Balancer.members

    def members(self: Balancer, now: int, mode: int, entries: list[Entry]) -> list[Action]:
        modes.append(mode)
        return real(self, now, mode, entries)

    monkeypatch.setattr(Balancer, "members", members)
    run(main())
    assert modes == [LIST_CACHED]


def test_a_silent_watch_is_reopened() -> None:
    async def main() -> None:
        registry = Registry()
        async with sidecar(Endpoint(), registry=registry) as proxy:
            source = proxy.engine.source
            assert isinstance(source, Discovery)
            source.stall_timeout_s = 0.05
            await registry.watches.get()
            start, _ = await registry.watches.get()
            assert "from=41 " in start

    run(main())


@pytest.mark.parametrize(
    "line",
    [
        b"{not json\n",
        b"[1]\n",
        b'{"generation": 43, "reset": true}\n',
        b'{"generation": Infinity, "reset": true, "instances": []}\n',
    ],
)
def test_a_malformed_line_is_logged_and_the_watch_reopened(line: bytes, logged: Logged) -> None:
    async def main() -> None:
        registry = Registry()
        async with sidecar(Endpoint(), registry=registry) as proxy:
            _, watch = await registry.watches.get()
            push_raw(watch, line)
            start, watch = await registry.watches.get()
            assert "from=41 " in start, "nothing of the malformed line was applied"
            assert (await proxy.send(request())).body == b"ok"

    run(main())
    assert "bad line from discovery" in logged()


@pytest.mark.parametrize(
    "bad", [{"instanceId": "s-3", "lifecycle": "odd"}, {"instanceId": 3, "lifecycle": "ready"}]
)
def test_a_malformed_entry_is_logged_and_the_rest_of_its_line_is_used(
    bad: dict[str, Any], logged: Logged
) -> None:
    """If the whole line were rejected, the same list would arrive after each reconnect, and no change would
    ever be applied."""

    async def main() -> None:
        registry, old, new = Registry(), Endpoint(), Endpoint()
        async with sidecar(old, new, registry=registry) as proxy:
            _, watch = await registry.watches.get()
            push(watch, 43, True, bad, new.entry("s-1"))
            while proxy.engine.endpoints.may_receive(endpoint_number("s-0"), proxy.engine.now() + 600_000):
                await asyncio.sleep(0)
            assert not proxy.engine.endpoints.may_receive(endpoint_number("s-3"), proxy.engine.now())
            assert (await proxy.send(request())).body == b"ok"
            assert len(new.requests) == 1 and not old.requests
            assert registry.watches.empty(), "the watch stays open"

    run(main())
    assert "bad entry from discovery" in logged()


def test_a_watch_that_breaks_within_a_line_resumes_and_keeps_earlier_changes() -> None:
    """Changes received before the break stay in effect. Nothing of the incomplete line is applied, and the
    watch resumes from the last complete generation."""

    async def main() -> None:
        registry = Registry()
        old, new, later = Endpoint(), Endpoint(), Endpoint()
        async with sidecar(old, new, later, registry=registry) as proxy:
            _, watch = await registry.watches.get()
            leaving = {**old.entry("s-0"), "lifecycle": "draining"}
            push(watch, 42, True, leaving, new.entry("s-1"))
            while proxy.engine.endpoints.size() != 2:
                await asyncio.sleep(0)
            line = json.dumps({"generation": 43, "reset": False, "instances": [later.entry("s-9")]})
            push_raw(watch, line[:-20].encode())
            watch.close()
            start, watch = await registry.watches.get()
            assert "from=42 " in start
            assert (
                proxy.engine.endpoints.size() == 2
                and endpoint_number("s-9") not in proxy.engine.endpoints.by_number
            )
            for n in range(20):
                assert (await proxy.send(request(rid=f"r{n}"))).body == b"ok"
            assert not old.requests and len(new.requests) == 20
            push(watch, 43, False, later.entry("s-9"))
            while proxy.engine.endpoints.size() != 3:
                await asyncio.sleep(0)

    run(main())


@pytest.mark.parametrize(("is_malformed", "pauses"), [(False, (0.2, 0.2, 0.2)), (True, (0.2, 0.4, 0.8, 1.6))])
def test_discovery_reconnects_are_spread_with_backoff(is_malformed: bool, pauses: tuple[float, ...]) -> None:
    waits: list[list[float]] = []
    for seed in range(8):
        delays: list[float] = []
        loop = cast(
            asyncio.AbstractEventLoop,
            SimpleNamespace(call_later=lambda delay, *_, delays=delays: delays.append(delay)),
        )
        discovery = Discovery(loop, "127.0.0.1:1", "/x", True, print, seed=seed)
        discovery.sink = cast(Any, object())
        for _ in range(6):
            discovery.stream = cast(
                Any, SimpleNamespace(is_watch=True, is_renewal=False, is_malformed=is_malformed)
            )
            discovery.on_stream_lost(discovery.stream, is_stalled=False)
        waits.append(delays)
    for step, max_wait in enumerate((0.05, 0.1, *pauses)):
        waited = [delays[step] for delays in waits]
        assert all(max_wait / 2 <= wait <= max_wait for wait in waited) and len(set(waited)) == 8


def test_removed_endpoints_are_forgotten_after_the_drain_grace() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as proxy:
            proxy.apply_list()
            (place,) = proxy.engine.endpoints.by_number.values()
            assert place.withdrawn_at is not None, "kept for the grace"
            clock = proxy.engine.clock
            later = MethodProxy(clock, now=lambda: clock.now() + 500_000)
            proxy.engine.endpoints.clock = cast(Clock, later)
            proxy.apply_list(whole=False)
            assert not proxy.engine.endpoints.by_number and not proxy.upstream.pools

    run(main())


# --- Outcomes ---------------------------------------------------------------------------


async def no_answer_then_close(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    writer.close()


async def cut_off(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")
    writer.close()


async def nonsense(endpoint: Endpoint, message: Message, writer: Writer) -> None:
    writer.write(b"what?\r\n\r\n")


def status(code: int, headers: str = "") -> Handler:
    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(answer(code, headers=headers))

    return reply


@pytest.mark.parametrize(
    ("handler", "expected", "final"),
    [
        (serve_ok, OK, 200),
        (no_answer_then_close, RESET, 502),
        (cut_off, RESET, 502),
        (nonsense, ERROR, 502),
        (status(500), ERROR, 502),
        (status(503), ERROR, 502),
        (status(404), ERROR, 502),
        (status(503, "X-Not-Run: 1\r\n"), FULL, 503),
        (status(504, "X-Not-Run: 1\r\n"), FULL, 503),
    ],
)
def test_each_attempt_has_one_outcome(handler: Handler, expected: int, final: int) -> None:
    """An unsafe request is refused only if it is certain that it never ran; otherwise it fails."""

    async def main() -> None:
        endpoint = Endpoint(handler)
        async with sidecar(endpoint, ceilings={"max-attempts": 1}) as proxy:
            recorded = record_outcomes(proxy.engine)
            response = await proxy.send(request("pay", b"sum"))
            assert [event.outcome for event in recorded] == [expected]
            assert response.start_line.split()[1] == str(final)
            assert len(endpoint.requests) == 1
            assert not proxy.engine.calls

    run(main())


def test_a_request_whose_connection_was_refused_never_ran() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint, ceilings={"max-attempts": 1}) as proxy:
            with socket.socket() as closed:
                closed.bind(("127.0.0.1", 0))
                proxy.apply_list(endpoint.entry("s-0", hostPort=address(closed)))
                recorded = record_outcomes(proxy.engine)
                response = await proxy.send(request("pay"))
            assert [event.outcome for event in recorded] == [NO_CONNECT]
            assert response.start_line.split()[1] == "503" and not proxy.upstream.connections

    run(main())


def test_a_request_that_was_not_fully_written_never_ran() -> None:
    """The endpoint reads nothing and its receive window is small, so the rest of the body is still in the
    sidecar when the connection is reset."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            endpoint = Endpoint()
            async with sidecar(endpoint, ceilings={"max-attempts": 1}) as proxy:
                proxy.apply_list(endpoint.entry("s-0", hostPort=address(listener)))
                recorded = record_outcomes(proxy.engine)
                attempts = proxy.upstream.connections
                answering = asyncio.create_task(proxy.send(request("pay", b"x")))
                peer, _ = await loop.sock_accept(listener)
                await loop.sock_recv(peer, 4096)
                (connection,) = attempts
                connection.pause_writing()  # as asyncio calls it when bytes remain buffered
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                peer.close()
                assert (await answering).start_line.split()[1] == "503"
                assert [event.outcome for event in recorded] == [NO_CONNECT]

    run(main())


def test_at_the_deadline_the_attempt_times_out_and_the_client_is_answered() -> None:
    async def main() -> None:
        endpoint = Endpoint(never_answer)
        async with sidecar(endpoint) as proxy:
            recorded = record_outcomes(proxy.engine)
            sent_at = proxy.engine.now()
            response = await proxy.send(request("pay", deadline_ms=80))
            assert proxy.engine.now() - sent_at >= 80_000, "never early"
            assert response.start_line.split()[1] == "504"
            assert [(event.outcome, event.is_final) for event in recorded] == [(TIMEOUT, False)]
            await endpoint.closed.acquire()  # cancelling the attempt closes its connection

    run(main())


def test_a_request_without_an_endpoint_is_refused_before_its_deadline() -> None:
    async def main() -> None:
        async with sidecar(known=False, ceilings={"max-retry-after-us": 2_000_000}) as proxy:
            response = await proxy.send(request(deadline_ms=100))
            assert response.start_line.split()[1] == "503"
            assert response.headers["retry-after"] == "0.040", (
                "a 50th of the objective, the balancer's own retry interval"
            )
            assert not proxy.engine.calls and not proxy.engine.balancer.requests

    run(main())


def test_a_refusal_has_a_retry_after_header() -> None:
    async def main() -> None:
        async with sidecar(Endpoint()) as proxy:
            override_decisions(proxy.engine, request=lambda now, event: [Refuse(event.request, 1_250_000)])
            response = await proxy.send(request())
            assert response.start_line.split()[1] == "503" and response.headers["retry-after"] == "1.250"

    run(main())


def test_an_exception_in_the_balancer_is_answered_with_500(logged: Logged) -> None:
    async def main() -> None:
        async with sidecar(Endpoint()) as proxy:

            def broken(now: int, event: object) -> list[Action]:
                raise RuntimeError("broken")

            real = override_decisions(proxy.engine, request=broken)
            assert (await proxy.send(request())).start_line.split()[1] == "500"
            proxy.engine.decisions = real
            assert (await proxy.send(request())).body == b"ok"

    run(main())
    assert "broken" in logged()


@pytest.mark.parametrize("status", ["200", "500"])
@pytest.mark.parametrize("step", ["request", "outcome"])
def test_an_exception_in_the_balancer_leaves_no_request_counted_as_held(step: str, status: str) -> None:
    """Guards against a request that admission would count for ever, as the balancer had registered it before
    the exception."""

    async def main() -> None:
        endpoint = Endpoint(serve_ok if status == "200" else fails_with(500))
        async with sidecar(endpoint) as proxy:
            real = proxy.engine.decisions

            def broken(now: int, event: Any) -> list[Action]:
                if step == "request":
                    real.request(now, event)
                raise RuntimeError("broken")

            override_decisions(proxy.engine, **{step: broken})
            wanted = "500" if step == "request" else status
            assert (await proxy.send(request())).start_line.split()[1] == wanted
            proxy.engine.decisions = real
            assert not proxy.engine.balancer.requests and not proxy.engine.calls
            endpoint.handler = serve_ok
            assert (await proxy.send(request())).body == b"ok"

    run(main())


def test_a_client_that_disconnects_cancels_its_attempt() -> None:
    async def main() -> None:
        endpoint = Endpoint(never_answer)
        async with sidecar(endpoint) as proxy:
            recorded = record_outcomes(proxy.engine)
            _, writer = await proxy.connect()
            writer.write(request("pay"))
            await endpoint.arrived.acquire()
            writer.close()
            await endpoint.closed.acquire()
            assert [(event.outcome, event.is_final) for event in recorded] == [(CANCELLED, True)]
            assert not proxy.engine.calls and not proxy.engine.balancer.requests

    run(main())


def test_no_attempt_starts_after_the_drain_grace_the_deadline_or_the_answer() -> None:
    """Guards against a slow connect: whether an attempt may start is checked at the moment of writing."""

    async def main() -> None:
        endpoint = Endpoint(never_answer)
        async with sidecar(endpoint) as proxy:
            recorded = record_outcomes(proxy.engine)
            answering = asyncio.create_task(proxy.send(request("pay", deadline_ms=4000)))
            await endpoint.arrived.acquire()
            ((_, call),) = proxy.engine.calls.items()
            (attempt,) = call.attempts
            place = proxy.engine.endpoints.by_number[attempt.endpoint]
            now = proxy.engine.now()
            assert proxy.engine.attempts.may_start(attempt, now)
            assert not proxy.engine.attempts.may_start(attempt, call.expires_at)
            place.withdrawn_at = now - (500_000 - 150_000) + 1
            assert proxy.engine.attempts.may_start(attempt, now)
            place.withdrawn_at = now - (500_000 - 150_000)
            assert not proxy.engine.attempts.may_start(attempt, now)
            connection = proxy.upstream.connections_by_attempt[attempt]
            connection.write()  # as after a connect that took too long
            assert [event.outcome for event in recorded] == [NOT_SENT] and len(endpoint.requests) == 1
            answering.cancel()

    run(main())


def test_an_attempt_beyond_the_limit_is_not_sent() -> None:
    async def main() -> None:
        endpoints = [Endpoint(status(503, "X-Not-Run: 1\r\n")) for _ in range(4)]
        async with sidecar(*endpoints) as proxy:
            proxy.engine.attempts.settings = replace(proxy.engine.settings, max_attempts=2)
            recorded = record_outcomes(proxy.engine)
            await proxy.send(request("pay"))
            assert sum(len(endpoint.requests) for endpoint in endpoints) == 2
            assert [event.outcome for event in recorded][:3] == [FULL, FULL, NOT_SENT]

    run(main())


def test_timers_never_fire_early() -> None:
    async def main() -> None:
        async with sidecar() as proxy:
            fired: asyncio.Queue[int] = asyncio.Queue()
            for delay in (1, 400, 1_499, 2_501, 7_777):
                due = proxy.engine.now() + delay
                proxy.engine.clock.at(due, lambda due: fired.put_nowait(proxy.engine.now() - due), due)
            for _ in range(5):
                assert await fired.get() >= 0

    run(main())


# --- Connections ------------------------------------------------------------------------


def test_the_most_recently_used_connection_is_reused_and_idle_ones_are_closed() -> None:
    async def main() -> None:
        gates = {"r1": asyncio.Event(), "r2": asyncio.Event()}
        served: list[tuple[str, int]] = []

        async def gated(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            rid = message.headers["x-request-id"]
            if rid in gates:
                await gates[rid].wait()
            served.append((rid, writer.get_extra_info("peername")[1]))
            writer.write(answer())

        endpoint = Endpoint(gated)
        async with sidecar(endpoint, ceilings={"conn-idle-us": 30_000_000}) as proxy:
            answering = []
            for rid in gates:
                answering.append(asyncio.create_task(proxy.send(request(rid=rid))))
                await endpoint.arrived.acquire()
            for gate, task in zip(gates.values(), answering, strict=True):
                gate.set()
                await task
            await proxy.send(request(rid="r3"))
            ports = dict(served)
            assert ports["r3"] == ports["r2"] != ports["r1"]
            assert proxy.upstream.idle_connections.timeout_s <= 24.0, "well before the endpoint's idle time"
            oldest = proxy.upstream.idle_connections.oldest()
            assert oldest is not None
            proxy.upstream.idle_connections.waiting_since[oldest] -= 24.0
            proxy.upstream.idle_connections.run()
            await endpoint.closed.acquire()
            assert len(proxy.upstream.connections) == 1

    run(main())


def test_an_idle_connection_that_the_endpoint_closes_is_not_used() -> None:
    async def main() -> None:
        async def once(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(answer())
            writer.close()

        endpoint = Endpoint(once)
        async with sidecar(endpoint) as proxy:
            recorded = record_outcomes(proxy.engine)
            for n in range(3):
                await proxy.send(request("pay", rid=f"r{n}"))
                while proxy.upstream.connections:
                    await asyncio.sleep(0)
            assert [event.outcome for event in recorded] == [OK, OK, OK]

    run(main())


def test_open_connections_stay_within_their_limit() -> None:
    async def main() -> None:
        first, second = Endpoint(), Endpoint()
        async with sidecar(first, second) as proxy:
            proxy.upstream.max_connections = 1
            proxy.apply_list(first.entry("s-0"))
            await proxy.send(request())
            proxy.apply_list(first.entry("s-0"), second.entry("s-1"))
            assert proxy.upstream.pools[endpoint_number("s-0")].idle
            proxy.apply_list(second.entry("s-1", lifecycle="ready"), whole=False)
            override_decisions(
                proxy.engine, request=lambda now, event: [Send(event.request, endpoint_number("s-1"), 0)]
            )
            assert (await proxy.send(request(rid="r2"))).body == b"ok"
            await first.closed.acquire()  # the longest idle connection was closed to make room
            assert len(proxy.upstream.connections) == 1

    run(main())


# --- Clients ----------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("raw", "expected"),
    [
        (b"nonsense\r\n\r\n", "400"),
        (request().replace(b"page", b"none"), "404"),
        (request("put").replace(b"Idempotency-Key", b"X-Nothing"), "400"),
        (request(deadline_ms=-5), "400"),
        (request("pay").replace(b"Length: 0", b"Length: 33554433"), "413"),
        (request(headers="X-Long: " + "x" * (70 * 1024) + "\r\n"), "431"),
        (request().replace(b"GET", b"DELETE"), "405"),
    ],
    ids=["nonsense", "class", "key", "deadline", "body", "head", "method"],
)
def test_an_invalid_request_gets_a_4xx_and_its_connection_is_closed(raw: bytes, expected: str) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as proxy:
            reader, writer = await proxy.connect()
            writer.write(raw)
            response = await read_message(reader)
            assert response.start_line.split()[1] == expected and response.headers["connection"] == "close"
            assert await reader.read() == b""
            writer.close()
            assert (await proxy.send(request())).body == b"ok"
            assert len(endpoint.requests) == 1

    run(main())


def test_a_malformed_cost_hint_is_ignored() -> None:
    async def main() -> None:
        async with sidecar(Endpoint()) as proxy:
            assert (await proxy.send(request(headers="X-Cost-Hint: 12.5e3\r\n"))).body == b"ok"

    run(main())


def test_a_request_past_its_deadline_is_not_forwarded() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as proxy:
            response = await proxy.send(request("pay", deadline_ms=0))
            assert response.start_line.split()[1] in ("503", "504")
            assert not endpoint.requests and not proxy.engine.calls and not proxy.engine.balancer.requests

    run(main())


def test_readiness_does_not_wait_for_discovery() -> None:
    async def main() -> None:
        async with sidecar(known=False) as proxy:
            response = await proxy.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            assert response.start_line.startswith("HTTP/1.1 200")

    run(main())


def test_object_keys_are_parsed_from_the_query() -> None:
    assert parse_object_key(b"a=1&obj=7f3a9c21e0b4d655") == 0x7F3A9C21E0B4D655
    assert parse_object_key(b"a=1") == 0
    assert parse_object_key(b"obj=no-number") == parse_object_key(b"obj=no-number") != 0


# --- The process ------------------------------------------------------------------------


def test_sigterm_finishes_open_requests_and_exits(tmp_path: Path) -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def slow(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            if message.headers["x-request-id"] == "slow":
                await release.wait()
            writer.write(answer())

        endpoint, registry = Endpoint(slow), Registry()
        async with await endpoint.start(), await registry.start():
            port = free_port()
            environ = {**write_config(tmp_path, registry, endpoint), "LB_LISTEN": f"127.0.0.1:{port}"}
            process = await start_daemon(environ)
            await registry.watches.get()
            reader, writer = await connect_until_up(port)
            idle, idle_writer = await asyncio.open_connection("127.0.0.1", port)
            idle_writer.write(request(rid="before"))
            assert "connection" not in (await read_message(idle)).headers
            writer.write(request(rid="slow"))
            await endpoint.arrived.acquire()
            process.send_signal(signal.SIGTERM)
            assert await idle.read() == b"", "the idle connection is closed"
            new, new_writer = await asyncio.open_connection("127.0.0.1", port)
            new_writer.write(request(rid="new"))
            response = await read_message(new)
            assert response.body == b"ok" and response.headers["connection"] == "close"
            release.set()
            response = await read_message(reader)
            assert response.body == b"ok" and response.headers["connection"] == "close"
            _, errors = await process.communicate()
            assert (process.returncode, errors) == (0, b"")
            for open_writer in (writer, idle_writer, new_writer):
                open_writer.close()

    run(main())


@pytest.mark.parametrize(
    "changes",
    [
        {"settings": {}},
        {"listen": "nowhere"},
        {"discovery": None},
        {"seed": "xyz"},
    ],
)
def test_an_invalid_configuration_logs_one_line_and_exits(tmp_path: Path, changes: dict[str, Any]) -> None:
    async def main() -> None:
        registry = Registry()
        registry.port = 1
        process = await start_daemon(write_config(tmp_path, registry, **changes))
        out, errors = await process.communicate()
        assert process.returncode == 2 and out == b""
        assert errors.count(b"\n") == 1 and errors.startswith(b"laurelstep: ")

    run(main())


def test_a_missing_configuration_logs_one_line_and_exits() -> None:
    async def main() -> None:
        environ = {name: value for name, value in os.environ.items() if name != "LB_CONFIG"}
        process = await start_daemon(environ)
        _, errors = await process.communicate()
        assert (process.returncode, errors) == (2, b"laurelstep: LB_CONFIG is not set\n")

    run(main())


def test_whitespace_around_a_header_value_is_stripped() -> None:
    """RFC 9110, 5.6.3: any number of spaces and tabs, or none, on both sides of the value."""

    async def main() -> None:
        async def spaced(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(
                b"HTTP/1.1 200 \r\nCONTENT-LENGTH:  2 \t\r\n"
                b"X-Load:\t queue=2,qps=1 \r\ncontent-type:x \r\n\r\nok"
            )

        endpoint = Endpoint(spaced)
        async with sidecar(endpoint) as proxy:
            recorded = record_outcomes(proxy.engine)
            raw = request("pay", b"b").replace(b": ", b":\t ").replace(b"\r\n", b" \t\r\n")
            response = await proxy.send(
                raw.replace(b"HTTP/1.1 \t", b"HTTP/1.1").replace(b" \t\r\n \t\r\n", b" \t\r\n\r\n")
            )
            assert response.body == b"ok" and response.headers["content-type"] == "x"
            (received,) = endpoint.requests
            assert received.headers["x-request-id"] == "r1" and received.headers["x-class"] == "pay"
            assert recorded[0].outcome == OK and recorded[0].report == [2.0, 1.0]

    run(main())
