"""The real sidecar over loopback sockets, each test for one trap."""

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


def lists(one: Sidecar) -> asyncio.Queue[tuple[int, list[Entry]]]:
    """All lists that the module is told from now on."""
    told: asyncio.Queue[tuple[int, list[Entry]]] = asyncio.Queue()

    def members(now: int, mode: int, entries: list[Entry]) -> list[Action]:
        told.put_nowait((mode, list(entries)))
        return real.members(now, mode, entries)

    real = override_decisions(one.engine, members=members)
    return told


def address(bound: socket.socket) -> str:
    host, port = bound.getsockname()
    return f"{host}:{port}"


def test_a_request_passes_and_its_answer_comes_back_whole() -> None:
    async def reply(endpoint: Endpoint, message: Message, writer: Writer) -> None:
        writer.write(
            answer(body=b"x" * 60_000, headers="Content-Type: image/png\r\nX-Load: queue=2,qps=9\r\n")
        )

    async def main() -> None:
        endpoint = Endpoint(reply)
        async with sidecar(endpoint) as one:
            back = await one.send(request("put", b"b" * 50_000, "X-Other: 1\r\n"))
            assert back.start.startswith("HTTP/1.1 200") and back.body == b"x" * 60_000
            assert back.headers["content-type"] == "image/png"
            (got,) = endpoint.got
            assert got.start == "POST /put?obj=7f3a HTTP/1.1" and got.body == b"b" * 50_000
            assert got.headers["x-request-id"] == "r1" and got.headers["idempotency-key"] == "k1"
            assert 0 < int(got.headers["x-deadline-ms"]) <= 4000
            assert "x-other" not in got.headers, "only what an endpoint needs"
            assert "x-load" not in back.headers, "only what a caller needs"
            (told,) = one.engine.balancer.endpoints.values()
            assert told.reported_queued == 2.0, "the socket's queue is the settings' waiting"

    run(main())


@pytest.mark.parametrize("cls", ["page", "pay"])
def test_connections_are_kept_on_both_sides(cls: str) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            for n in range(5):
                writer.write(request(cls, rid=f"r{n}"))
                assert (await read_message(reader)).body == b"ok"
            assert endpoint.opened == 1 and one.connection_count == 1
            assert not one.engine.calls and not one.engine.balancer.requests

    run(main())


# --- Endpoints and discovery ------------------------------------------------------


def test_endpoint_numbers_come_from_the_name_alone() -> None:
    async def main() -> None:
        first, second = Endpoint(), Endpoint()
        async with sidecar(first, second) as one, sidecar(second, first, known=False) as other:
            other.apply_list(second.entry("s-1"), first.entry("s-0"))
            assert set(one.engine.balancer.endpoints) == set(other.engine.balancer.endpoints)
            assert endpoint_number("s-0") in one.engine.balancer.endpoints
        assert endpoint_number("s-5be2a07c") == 0x850D21AD14919D0C, "the same after a restart"

    run(main())


def test_a_start_in_wall_time_is_converted_once() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            wall = 1_700_000_000_000_000
            one.engine.endpoints.clock = cast(Clock, MethodProxy(one.engine.clock, wall=lambda: wall))
            started = endpoint.entry(startedAtMs=wall // 1000 - 4_000)
            before = one.engine.now()
            one.apply_list(started)
            (known,) = one.engine.balancer.endpoints.values()
            boot = known.started_at
            assert before - 4_000_000 <= boot <= one.engine.now() - 4_000_000
            wall += 3_600_000_000  # the wall clock is set: no restart
            one.apply_list(started)
            assert known.started_at == boot

    run(main())


@pytest.mark.parametrize("change", [{"startedAtMs": 5}, {"lifecycle": "draining"}, {"lifecycle": "gone"}])
def test_a_new_start_or_a_drain_drops_the_idle_connections(change: dict[str, Any]) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            await one.send(request())
            one.apply_list(endpoint.entry("s-0", **change), whole=False)
            await endpoint.closed.acquire()
            assert not one.upstream.connections

    run(main())


def test_a_new_address_drops_the_old_pool() -> None:
    async def main() -> None:
        old, new = Endpoint(), Endpoint()
        async with sidecar(old, new) as one:
            one.apply_list(old.entry("s-0"))
            await one.send(request())
            one.apply_list(new.entry("s-0"), whole=False)
            await old.closed.acquire()
            assert (await one.send(request(rid="r2"))).body == b"ok"
            assert len(old.got) == len(new.got) == 1

    run(main())


def test_a_whole_list_replaces_and_a_connection_out_is_not_kept() -> None:
    async def main() -> None:
        release = asyncio.Event()

        async def slow(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            await release.wait()
            writer.write(answer())

        endpoint = Endpoint(slow)
        async with sidecar(endpoint) as one:
            asked = asyncio.create_task(one.send(request()))
            await endpoint.arrived.acquire()
            one.apply_list()
            release.set()
            assert (await asked).body == b"ok", "what was sent is finished"
            await endpoint.closed.acquire()

    run(main())


def test_known_goes_in_as_cached_and_the_watch_resumes_where_it_ended() -> None:
    async def main() -> None:
        endpoint, registry = Endpoint(), Registry()
        async with sidecar(endpoint, registry=registry) as one:
            told = lists(one)
            start, watch = await registry.asked.get()
            assert start == "GET /registry/instances?watch=1&from=41 HTTP/1.1"
            push(watch, 44, False, endpoint.entry("s-0", lifecycle="draining"))
            mode, (entry,) = await told.get()
            assert (mode, entry.phase) == (LIST_DELTA, DRAINING)
            watch.close()
            start, watch = await registry.asked.get()
            assert "from=44 " in start
            push(watch, 45, True, endpoint.entry("s-9"))
            mode, (entry,) = await told.get()
            assert (mode, entry.endpoint) == (LIST_FULL, endpoint_number("s-9"))
            assert list(one.engine.balancer.endpoints) == [endpoint_number("s-9")]

    run(main())


@plain_only
def test_known_is_told_as_the_cached_list(monkeypatch: pytest.MonkeyPatch) -> None:
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


def test_a_silent_watch_is_opened_anew() -> None:
    async def main() -> None:
        registry = Registry()
        async with sidecar(Endpoint(), registry=registry) as one:
            source = one.engine.source
            assert isinstance(source, Discovery)
            source.stall_timeout_s = 0.05
            await registry.asked.get()
            start, _ = await registry.asked.get()
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
def test_a_bad_line_is_logged_and_the_watch_restarted(line: bytes, logged: Logged) -> None:
    async def main() -> None:
        registry = Registry()
        async with sidecar(Endpoint(), registry=registry) as one:
            _, watch = await registry.asked.get()
            push_raw(watch, line)
            start, watch = await registry.asked.get()
            assert "from=41 " in start, "nothing of the bad line was taken"
            assert (await one.send(request())).body == b"ok"

    run(main())
    assert "bad line from discovery" in logged()


@pytest.mark.parametrize(
    "bad", [{"instanceId": "s-3", "lifecycle": "odd"}, {"instanceId": 3, "lifecycle": "ready"}]
)
def test_a_bad_entry_is_logged_and_the_rest_of_its_line_is_used(bad: dict[str, Any], logged: Logged) -> None:
    """Else the same list would come at each call, and no change would ever be learned."""

    async def main() -> None:
        registry, old, new = Registry(), Endpoint(), Endpoint()
        async with sidecar(old, new, registry=registry) as one:
            _, watch = await registry.asked.get()
            push(watch, 43, True, bad, new.entry("s-1"))
            while one.engine.endpoints.may_receive(endpoint_number("s-0"), one.engine.now() + 600_000):
                await asyncio.sleep(0)
            assert not one.engine.endpoints.may_receive(endpoint_number("s-3"), one.engine.now())
            assert (await one.send(request())).body == b"ok"
            assert len(new.got) == 1 and not old.got
            assert registry.asked.empty(), "the watch goes on"

    run(main())
    assert "bad entry from discovery" in logged()


def test_a_watch_that_breaks_in_a_line_is_renewed_and_what_was_told_holds() -> None:
    """A drain and a new endpoint, told before the break, hold across it; of the line that
    broke nothing is used, and the watch goes on from the last whole version."""

    async def main() -> None:
        registry = Registry()
        old, new, later = Endpoint(), Endpoint(), Endpoint()
        async with sidecar(old, new, later, registry=registry) as one:
            _, watch = await registry.asked.get()
            leaving = {**old.entry("s-0"), "lifecycle": "draining"}
            push(watch, 42, True, leaving, new.entry("s-1"))
            while one.engine.endpoints.size() != 2:
                await asyncio.sleep(0)
            line = json.dumps({"generation": 43, "reset": False, "instances": [later.entry("s-9")]})
            push_raw(watch, line[:-20].encode())
            watch.close()
            start, watch = await registry.asked.get()
            assert "from=42 " in start
            assert (
                one.engine.endpoints.size() == 2
                and endpoint_number("s-9") not in one.engine.endpoints.by_number
            )
            for n in range(20):
                assert (await one.send(request(rid=f"r{n}"))).body == b"ok"
            assert not old.got and len(new.got) == 20
            push(watch, 43, False, later.entry("s-9"))
            while one.engine.endpoints.size() != 3:
                await asyncio.sleep(0)

    run(main())


@pytest.mark.parametrize(("bad", "pauses"), [(False, (0.2, 0.2, 0.2)), (True, (0.2, 0.4, 0.8, 1.6))])
def test_a_fleet_that_lost_its_discovery_does_not_come_back_at_once(
    bad: bool, pauses: tuple[float, ...]
) -> None:
    waits: list[list[float]] = []
    for seed in range(8):
        told: list[float] = []
        loop = cast(
            asyncio.AbstractEventLoop,
            SimpleNamespace(call_later=lambda delay, *_, told=told: told.append(delay)),
        )
        discovery = Discovery(loop, "127.0.0.1:1", "/x", True, print, seed=seed)
        discovery.sink = cast(Any, object())
        for _ in range(6):
            discovery.stream = cast(Any, SimpleNamespace(watch=True, is_renewal=False, is_malformed=bad))
            discovery.on_stream_lost(discovery.stream, is_stalled=False)
        waits.append(told)
    for step, most in enumerate((0.05, 0.1, *pauses)):
        waited = [told[step] for told in waits]
        assert all(most / 2 <= wait <= most for wait in waited) and len(set(waited)) == 8


def test_endpoints_that_left_are_forgotten_after_the_grace() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            one.apply_list()
            (place,) = one.engine.endpoints.by_number.values()
            assert place.withdrawn_at is not None, "kept for the grace"
            clock = one.engine.clock
            later = MethodProxy(clock, now=lambda: clock.now() + 500_000)
            one.engine.endpoints.clock = cast(Clock, later)
            one.apply_list(whole=False)
            assert not one.engine.endpoints.by_number and not one.upstream.pools

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
def test_one_outcome_for_each_attempt(handler: Handler, expected: int, final: int) -> None:
    """An unsafe request: refused only when it is sure that it never ran."""

    async def main() -> None:
        endpoint = Endpoint(handler)
        async with sidecar(endpoint, ceilings={"max-attempts": 1}) as one:
            told = record_outcomes(one.engine)
            back = await one.send(request("pay", b"sum"))
            assert [event.outcome for event in told] == [expected]
            assert back.start.split()[1] == str(final)
            assert len(endpoint.got) == 1
            assert not one.engine.calls

    run(main())


def test_a_refused_connection_never_ran() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint, ceilings={"max-attempts": 1}) as one:
            with socket.socket() as closed:
                closed.bind(("127.0.0.1", 0))
                one.apply_list(endpoint.entry("s-0", hostPort=address(closed)))
                told = record_outcomes(one.engine)
                back = await one.send(request("pay"))
            assert [event.outcome for event in told] == [NO_CONNECT]
            assert back.start.split()[1] == "503" and not one.upstream.connections

    run(main())


def test_a_connection_that_breaks_before_the_last_byte_is_written_never_ran() -> None:
    """The endpoint reads nothing and its window is small, so the rest of the
    body waits in the sidecar when the connection is reset."""

    async def main() -> None:
        loop = asyncio.get_running_loop()
        with socket.socket() as listener:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
            listener.bind(("127.0.0.1", 0))
            listener.listen()
            listener.setblocking(False)
            endpoint = Endpoint()
            async with sidecar(endpoint, ceilings={"max-attempts": 1}) as one:
                one.apply_list(endpoint.entry("s-0", hostPort=address(listener)))
                told = record_outcomes(one.engine)
                attempts = one.upstream.connections
                asked = asyncio.create_task(one.send(request("pay", b"x")))
                peer, _ = await loop.sock_accept(listener)
                await loop.sock_recv(peer, 4096)
                (link,) = attempts
                link.pause_writing()  # as the loop tells it of bytes left over
                peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\1\0\0\0\0\0\0\0")
                peer.close()
                assert (await asked).start.split()[1] == "503"
                assert [event.outcome for event in told] == [NO_CONNECT]

    run(main())


def test_at_the_deadline_the_module_hears_timeout_and_answers() -> None:
    async def main() -> None:
        endpoint = Endpoint(never_answer)
        async with sidecar(endpoint) as one:
            told = record_outcomes(one.engine)
            asked = one.engine.now()
            back = await one.send(request("pay", deadline_ms=80))
            assert one.engine.now() - asked >= 80_000, "never early"
            assert back.start.split()[1] == "504"
            assert [(event.outcome, event.is_final) for event in told] == [(TIMEOUT, False)]
            await endpoint.closed.acquire()  # giving up closes the connection

    run(main())


def test_a_request_that_no_endpoint_takes_is_refused_in_time() -> None:
    async def main() -> None:
        async with sidecar(known=False, ceilings={"max-retry-after-us": 2_000_000}) as one:
            back = await one.send(request(deadline_ms=100))
            assert back.start.split()[1] == "503"
            assert back.headers["retry-after"] == "0.040", "a 50th of the aim, as the module waits itself"
            assert not one.engine.calls and not one.engine.balancer.requests

    run(main())


def test_a_refusal_tells_when_to_come_back() -> None:
    async def main() -> None:
        async with sidecar(Endpoint()) as one:
            override_decisions(one.engine, request=lambda now, event: [Refuse(event.request, 1_250_000)])
            back = await one.send(request())
            assert back.start.split()[1] == "503" and back.headers["retry-after"] == "1.250"

    run(main())


def test_a_fault_of_the_module_is_answered_and_survived(logged: Logged) -> None:
    async def main() -> None:
        async with sidecar(Endpoint()) as one:

            def broken(now: int, event: object) -> list[Action]:
                raise RuntimeError("broken")

            real = override_decisions(one.engine, request=broken)
            assert (await one.send(request())).start.split()[1] == "500"
            one.engine.decisions = real
            assert (await one.send(request())).body == b"ok"

    run(main())
    assert "broken" in logged()


@pytest.mark.parametrize("status", ["200", "500"])
@pytest.mark.parametrize("step", ["request", "outcome"])
def test_a_fault_of_the_module_leaves_no_request_counted_as_held(step: str, status: str) -> None:
    """Whatever it had noted of the request when it broke, admission would count it for ever."""

    async def main() -> None:
        endpoint = Endpoint(serve_ok if status == "200" else fails_with(500))
        async with sidecar(endpoint) as one:
            real = one.engine.decisions

            def broken(now: int, event: Any) -> list[Action]:
                if step == "request":
                    real.request(now, event)
                raise RuntimeError("broken")

            override_decisions(one.engine, **{step: broken})
            wanted = "500" if step == "request" else status
            assert (await one.send(request())).start.split()[1] == wanted
            one.engine.decisions = real
            assert not one.engine.balancer.requests and not one.engine.calls
            endpoint.handler = serve_ok
            assert (await one.send(request())).body == b"ok"

    run(main())


def test_the_client_that_leaves_calls_its_attempt_off() -> None:
    async def main() -> None:
        endpoint = Endpoint(never_answer)
        async with sidecar(endpoint) as one:
            told = record_outcomes(one.engine)
            _, writer = await one.connect()
            writer.write(request("pay"))
            await endpoint.arrived.acquire()
            writer.close()
            await endpoint.closed.acquire()
            assert [(event.outcome, event.is_final) for event in told] == [(CANCELLED, True)]
            assert not one.engine.calls and not one.engine.balancer.requests

    run(main())


def test_nothing_starts_past_the_drain_grace_the_deadline_or_the_answer() -> None:
    """Guards a slow connect: the driver is asked at the moment of writing."""

    async def main() -> None:
        endpoint = Endpoint(never_answer)
        async with sidecar(endpoint) as one:
            told = record_outcomes(one.engine)
            asked = asyncio.create_task(one.send(request("pay", deadline_ms=4000)))
            await endpoint.arrived.acquire()
            ((_, call),) = one.engine.calls.items()
            (attempt,) = call.attempts
            place = one.engine.endpoints.by_number[attempt.endpoint]
            now = one.engine.now()
            assert one.engine.attempts.may_start(attempt, now)
            assert not one.engine.attempts.may_start(attempt, call.expires_at)
            place.withdrawn_at = now - (500_000 - 150_000) + 1
            assert one.engine.attempts.may_start(attempt, now)
            place.withdrawn_at = now - (500_000 - 150_000)
            assert not one.engine.attempts.may_start(attempt, now)
            link = one.upstream.by_attempt[attempt]
            link.write()  # as a connect that took so long would
            assert [event.outcome for event in told] == [NOT_SENT] and len(endpoint.got) == 1
            asked.cancel()

    run(main())


def test_an_attempt_past_the_most_is_not_sent() -> None:
    async def main() -> None:
        endpoints = [Endpoint(status(503, "X-Not-Run: 1\r\n")) for _ in range(4)]
        async with sidecar(*endpoints) as one:
            one.engine.attempts.settings = replace(one.engine.settings, max_attempts=2)
            told = record_outcomes(one.engine)
            await one.send(request("pay"))
            assert sum(len(endpoint.got) for endpoint in endpoints) == 2
            assert [event.outcome for event in told][:3] == [FULL, FULL, NOT_SENT]

    run(main())


def test_timers_never_fire_early() -> None:
    async def main() -> None:
        async with sidecar() as one:
            fired: asyncio.Queue[int] = asyncio.Queue()
            for delay in (1, 400, 1_499, 2_501, 7_777):
                due = one.engine.now() + delay
                one.engine.clock.at(due, lambda due: fired.put_nowait(one.engine.now() - due), due)
            for _ in range(5):
                assert await fired.get() >= 0

    run(main())


# --- Connections ------------------------------------------------------------------------


def test_the_latest_used_connection_is_reused_and_the_idle_are_dropped() -> None:
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
        async with sidecar(endpoint, ceilings={"conn-idle-us": 30_000_000}) as one:
            asked = []
            for rid in gates:
                asked.append(asyncio.create_task(one.send(request(rid=rid))))
                await endpoint.arrived.acquire()
            for gate, task in zip(gates.values(), asked, strict=True):
                gate.set()
                await task
            await one.send(request(rid="r3"))
            ports = dict(served)
            assert ports["r3"] == ports["r2"] != ports["r1"]
            assert one.upstream.idle_connections.timeout_s <= 24.0, "well before the endpoint's idle time"
            oldest = one.upstream.idle_connections.oldest()
            assert oldest is not None
            one.upstream.idle_connections.waiting_since[oldest] -= 24.0
            one.upstream.idle_connections.run()
            await endpoint.closed.acquire()
            assert len(one.upstream.connections) == 1

    run(main())


def test_an_idle_connection_that_the_endpoint_closes_is_not_used() -> None:
    async def main() -> None:
        async def once(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(answer())
            writer.close()

        endpoint = Endpoint(once)
        async with sidecar(endpoint) as one:
            told = record_outcomes(one.engine)
            for n in range(3):
                await one.send(request("pay", rid=f"r{n}"))
                while one.upstream.connections:
                    await asyncio.sleep(0)
            assert [event.outcome for event in told] == [OK, OK, OK]

    run(main())


def test_open_connections_stay_within_their_limit() -> None:
    async def main() -> None:
        first, second = Endpoint(), Endpoint()
        async with sidecar(first, second) as one:
            one.upstream.max_connections = 1
            one.apply_list(first.entry("s-0"))
            await one.send(request())
            one.apply_list(first.entry("s-0"), second.entry("s-1"))
            assert one.upstream.pools[endpoint_number("s-0")].idle
            one.apply_list(second.entry("s-1", lifecycle="ready"), whole=False)
            override_decisions(
                one.engine, request=lambda now, event: [Send(event.request, endpoint_number("s-1"), 0)]
            )
            assert (await one.send(request(rid="r2"))).body == b"ok"
            await first.closed.acquire()  # the longest idle made room
            assert len(one.upstream.connections) == 1

    run(main())


# --- Callers ----------------------------------------------------------------------------


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
def test_a_bad_request_gets_a_plain_4xx_and_the_connection_closed(raw: bytes, expected: str) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            reader, writer = await one.connect()
            writer.write(raw)
            back = await read_message(reader)
            assert back.start.split()[1] == expected and back.headers["connection"] == "close"
            assert await reader.read() == b""
            writer.close()
            assert (await one.send(request())).body == b"ok"
            assert len(endpoint.got) == 1

    run(main())


def test_an_unreadable_hint_refuses_nobody() -> None:
    async def main() -> None:
        async with sidecar(Endpoint()) as one:
            assert (await one.send(request(headers="X-Cost-Hint: 12.5e3\r\n"))).body == b"ok"

    run(main())


def test_a_deadline_that_has_passed_sends_nothing() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with sidecar(endpoint) as one:
            back = await one.send(request("pay", deadline_ms=0))
            assert back.start.split()[1] in ("503", "504")
            assert not endpoint.got and not one.engine.calls and not one.engine.balancer.requests

    run(main())


def test_ready_does_not_wait_for_discovery() -> None:
    async def main() -> None:
        async with sidecar(known=False) as one:
            back = await one.send(b"GET /health/ready HTTP/1.1\r\nHost: x\r\n\r\n")
            assert back.start.startswith("HTTP/1.1 200")

    run(main())


def test_keys_are_numbers_of_what_a_request_is_about() -> None:
    assert parse_object_key(b"a=1&obj=7f3a9c21e0b4d655") == 0x7F3A9C21E0B4D655
    assert parse_object_key(b"a=1") == 0
    assert parse_object_key(b"obj=no-number") == parse_object_key(b"obj=no-number") != 0


# --- The process ------------------------------------------------------------------------


def test_sigterm_finishes_what_was_taken_and_exits(tmp_path: Path) -> None:
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
            await registry.asked.get()
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
            back = await read_message(new)
            assert back.body == b"ok" and back.headers["connection"] == "close"
            release.set()
            back = await read_message(reader)
            assert back.body == b"ok" and back.headers["connection"] == "close"
            _, errors = await process.communicate()
            assert (process.returncode, errors) == (0, b"")
            for one in (writer, idle_writer, new_writer):
                one.close()

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
def test_a_bad_configuration_is_one_line_and_an_exit(tmp_path: Path, changes: dict[str, Any]) -> None:
    async def main() -> None:
        registry = Registry()
        registry.port = 1
        process = await start_daemon(write_config(tmp_path, registry, **changes))
        out, errors = await process.communicate()
        assert process.returncode == 2 and out == b""
        assert errors.count(b"\n") == 1 and errors.startswith(b"laurelstep: ")

    run(main())


def test_no_configuration_is_one_line_and_an_exit() -> None:
    async def main() -> None:
        environ = {name: value for name, value in os.environ.items() if name != "LB_CONFIG"}
        process = await start_daemon(environ)
        _, errors = await process.communicate()
        assert (process.returncode, errors) == (2, b"laurelstep: LB_CONFIG is not set\n")

    run(main())


def test_white_space_around_a_value_is_no_part_of_it() -> None:
    """RFC 9110, 5.6.3: none, or any number of spaces and tabs, on both sides."""

    async def main() -> None:
        async def spaced(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(
                b"HTTP/1.1 200 \r\nCONTENT-LENGTH:  2 \t\r\n"
                b"X-Load:\t queue=2,qps=1 \r\ncontent-type:x \r\n\r\nok"
            )

        endpoint = Endpoint(spaced)
        async with sidecar(endpoint) as one:
            told = record_outcomes(one.engine)
            raw = request("pay", b"b").replace(b": ", b":\t ").replace(b"\r\n", b" \t\r\n")
            back = await one.send(
                raw.replace(b"HTTP/1.1 \t", b"HTTP/1.1").replace(b" \t\r\n \t\r\n", b" \t\r\n\r\n")
            )
            assert back.body == b"ok" and back.headers["content-type"] == "x"
            (got,) = endpoint.got
            assert got.headers["x-request-id"] == "r1" and got.headers["x-class"] == "pay"
            assert told[0].outcome == OK and told[0].report == [2.0, 1.0]

    run(main())
