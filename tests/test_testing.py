"""Tests of the stand-ins: their scripted answers, their counters, the client and the port allocator."""

from __future__ import annotations

import asyncio
import os
import socket
import subprocess
import sys
from typing import Any

import pytest
from laurelstep.testing import (
    Caller,
    Effects,
    Endpoint,
    Handler,
    Message,
    Registry,
    Writer,
    answer,
    close,
    delayed,
    malformed,
    push,
    read_message,
    refuse,
    request,
    reset,
    sequence,
    serve,
    stall,
    status,
    whole_list,
)
from laurelstep.testing.messages import BLOCK_SIZE, PortAllocator

from tests.event_loops import run_limited


def test_effects_count_by_id_and_drop_repeats_of_a_key() -> None:
    async def main() -> None:
        effects = Effects()
        async with (
            Endpoint(effects=effects) as first_endpoint,
            Endpoint(effects=effects) as second_endpoint,
            Caller("127.0.0.1", first_endpoint.port) as first,
            Caller("127.0.0.1", second_endpoint.port) as second,
        ):
            for caller in (first, second):
                assert (await caller.send(request("pay", b"x", rid="p"))).status == 200
                assert (await caller.send(request("put", b"x", rid="u", key="k"))).status == 200
            assert (await first.send(request("pay", b"x", rid="q"))).status == 200
        assert effects.by_id == {"p": 2, "u": 1, "q": 1} and effects.dropped_count == 1
        assert effects.executed_twice() == ["p"] and effects.by_key == {"k": 1}

    run_limited(main())


@pytest.mark.parametrize(
    ("script", "code", "executions"),
    [(serve(), 200, 1), (refuse(), 503, 0), (status(500), 500, 0), (status(500, executes=True), 500, 1)],
)
def test_handlers_that_answer(script: Any, code: int, executions: int) -> None:
    async def main() -> None:
        async with Endpoint(script) as endpoint, Caller("127.0.0.1", endpoint.port) as caller:
            assert (await caller.send(request("pay", b"x"))).status == code
            assert (
                endpoint.effects.by_id["r1"] == executions
                and endpoint.request_count == len(endpoint.requests) == 1
            )

    run_limited(main())


@pytest.mark.parametrize("script", [close(), reset(), close(partial=b"HTTP/1.1 200 OK\r\nContent-Le")])
def test_handlers_that_end_the_connection(script: Any) -> None:
    async def main() -> None:
        async with Endpoint(script) as endpoint, Caller("127.0.0.1", endpoint.port) as caller:
            with pytest.raises((OSError, asyncio.IncompleteReadError)):
                await caller.send(request("pay", b"x"))
            assert endpoint.effects.by_id["r1"] == 1

    run_limited(main())


def test_a_stalled_request_has_no_answer_and_a_malformed_answer_is_sent_as_given() -> None:
    async def main() -> None:
        async with Endpoint(sequence(stall(executes=False), malformed(b"what?\r\n\r\n"))) as endpoint:
            reader, writer = await asyncio.open_connection("127.0.0.1", endpoint.port)
            writer.write(request("pay", b"x"))
            await endpoint.arrived.acquire()
            assert not endpoint.effects.by_id
            writer.write(request("pay", b"x"))
            assert await reader.readline() == b"what?\r\n" and endpoint.effects.by_id["r1"] == 1
            writer.close()

    run_limited(main())


def test_a_stopped_endpoint_refuses_connections_until_it_restarts_with_a_new_start_time() -> None:
    async def main() -> None:
        async with Endpoint(delayed(lambda: 0.0)) as endpoint:
            caller = Caller("127.0.0.1", endpoint.port)
            assert (await caller.send(request())).body == b"ok"
            endpoint.stop()
            with pytest.raises((OSError, asyncio.IncompleteReadError)):
                await caller.send(request())
            with pytest.raises(ConnectionError):
                await caller.send(request())
            await endpoint.restart(5)
            assert (await caller.send(request())).body == b"ok"
            assert endpoint.entry("s-1", lifecycle="draining")["startedAtMs"] == 5
            caller.close()

    run_limited(main())


CLOSE_UNEXECUTED = close(executes=False)


def test_a_request_that_crosses_the_close_of_an_idle_connection_is_resent_once() -> None:
    async def main() -> None:
        endpoint = Endpoint(
            sequence(serve(), CLOSE_UNEXECUTED, serve(b"again"), CLOSE_UNEXECUTED, CLOSE_UNEXECUTED, serve())
        )
        async with endpoint, Caller("127.0.0.1", endpoint.port, resends_after_close=True) as caller:
            assert (await caller.send(request())).body == b"ok"
            assert (await caller.send(request(rid="r2"))).body == b"again"
            with pytest.raises(asyncio.IncompleteReadError):
                await caller.send(request(rid="r3"))
        assert [message.headers["x-request-id"] for message in endpoint.requests] == [
            "r1",
            "r2",
            "r2",
            "r3",
            "r3",
        ]

    run_limited(main())


def test_a_connection_that_was_closed_while_idle_is_reopened() -> None:
    async def main() -> None:
        async def serve_and_close(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(answer())
            writer.close()

        endpoint = Endpoint(serve_and_close)
        async with endpoint, Caller("127.0.0.1", endpoint.port, resends_after_close=True) as caller:
            for number in range(1, 4):
                assert (await caller.send(request())).body == b"ok"
                assert caller.streams is not None
                assert await caller.streams[0].read() == b"", "the close has arrived"
                assert endpoint.request_count == endpoint.connection_count == number

    run_limited(main())


@pytest.mark.parametrize(
    ("resends", "script"),
    [
        (False, sequence(serve(), CLOSE_UNEXECUTED, serve())),
        (True, sequence(serve(), close(partial=b"HTTP/1.1 200 O"), serve())),
        (True, sequence(serve(), reset(), serve())),
    ],
    ids=["disabled", "partial answer", "reset"],
)
def test_a_request_that_may_have_been_read_is_not_resent(resends: bool, script: Handler) -> None:
    async def main() -> None:
        endpoint = Endpoint(script)
        async with endpoint, Caller("127.0.0.1", endpoint.port, resends_after_close=resends) as caller:
            assert (await caller.send(request())).body == b"ok"
            with pytest.raises((OSError, asyncio.IncompleteReadError)):
                await caller.send(request(rid="r2"))
        assert endpoint.request_count == 2

    run_limited(main())


def test_a_request_on_a_new_connection_is_not_resent_after_a_close() -> None:
    async def main() -> None:
        endpoint = Endpoint(sequence(CLOSE_UNEXECUTED, serve()))
        async with endpoint, Caller("127.0.0.1", endpoint.port, resends_after_close=True) as caller:
            with pytest.raises(asyncio.IncompleteReadError):
                await caller.send(request())
        assert endpoint.request_count == 1

    run_limited(main())


def test_a_registry_sends_the_lists_that_the_test_pushes() -> None:
    async def main() -> None:
        registry = Registry()
        async with await registry.start():
            reader, writer = await asyncio.open_connection("127.0.0.1", registry.port)
            writer.write(b"GET /registry/instances?watch=1&from=3 HTTP/1.1\r\nHost: x\r\n\r\n")
            request_line, watch = await registry.watches.get()
            assert request_line.endswith("from=3 HTTP/1.1")
            push(watch, 4, True, Endpoint().entry("s-1"))
            watch.write(b"0\r\n\r\n")
            assert b'"generation": 4' in (await read_message(reader)).body
            writer.close()
        assert whole_list(generation=2) == {"generation": 2, "reset": True, "instances": []}

    run_limited(main())


# --- Ports --------------------------------------------------------------------------------


def test_allocators_of_one_range_allocate_distinct_ports() -> None:
    """No process listens yet on the ports of the first allocator, so the second would find them free."""
    name = f"test-{os.getpid()}"
    port_range = range(19_800, 20_000)
    first, second, third = (PortAllocator(port_range, name) for _ in range(3))
    port = first.allocate()
    other_ports = [second.allocate() for _ in range(2 * BLOCK_SIZE)]
    assert port not in other_ports and len(set(other_ports)) == 2 * BLOCK_SIZE
    with socket.create_server(("127.0.0.1", first.unallocated[-1])) as listener:
        assert first.allocate() != listener.getsockname()[1]
    third.allocate()
    with pytest.raises(OSError, match="no port"):
        PortAllocator(port_range, name).allocate()
    first.close()
    fourth = PortAllocator(port_range, name)
    assert port in [fourth.allocate() for _ in range(BLOCK_SIZE)]
    for allocator in (second, third, fourth):
        allocator.close()


def test_a_reservation_lasts_as_long_as_its_process() -> None:
    name, port_range = f"ended-{os.getpid()}", range(19_750, 19_800)
    code = (
        "from laurelstep.testing.messages import PortAllocator\n"
        f"allocator = PortAllocator(range(19_750, 19_800), {name!r})\nallocator.allocate()\n"
        "print('taken', flush=True)\ninput()"
    )
    process = subprocess.Popen(
        [sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    assert process.stdout is not None and process.stdout.readline() == "taken\n"
    with pytest.raises(OSError, match="no port"):
        PortAllocator(port_range, name).allocate()
    process.communicate("\n")
    allocator = PortAllocator(port_range, name)
    assert allocator.allocate() in port_range
    allocator.close()
