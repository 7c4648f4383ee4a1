"""The stand-ins themselves: what they script, and what they count."""

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


def test_effects_count_by_id_and_drop_the_repeats_of_a_key() -> None:
    async def main() -> None:
        effects = Effects()
        async with (
            Endpoint(effects=effects) as one,
            Endpoint(effects=effects) as other,
            Caller("127.0.0.1", one.port) as first,
            Caller("127.0.0.1", other.port) as second,
        ):
            for caller in (first, second):
                assert (await caller.send(request("pay", b"x", rid="p"))).status == 200
                assert (await caller.send(request("put", b"x", rid="u", key="k"))).status == 200
            assert (await first.send(request("pay", b"x", rid="q"))).status == 200
        assert effects.by_id == {"p": 2, "u": 1, "q": 1} and effects.dropped_count == 1
        assert effects.executed_twice() == ["p"] and effects.by_key == {"k": 1}

    run_limited(main())


@pytest.mark.parametrize(
    ("script", "code", "ran"),
    [(serve(), 200, 1), (refuse(), 503, 0), (status(500), 500, 0), (status(500, executes=True), 500, 1)],
)
def test_scripts_that_answer(script: Any, code: int, ran: int) -> None:
    async def main() -> None:
        async with Endpoint(script) as endpoint, Caller("127.0.0.1", endpoint.port) as caller:
            assert (await caller.send(request("pay", b"x"))).status == code
            assert (
                endpoint.effects.by_id["r1"] == ran and endpoint.request_count == len(endpoint.requests) == 1
            )

    run_limited(main())


@pytest.mark.parametrize("script", [close(), reset(), close(partial=b"HTTP/1.1 200 OK\r\nContent-Le")])
def test_scripts_that_end_the_connection(script: Any) -> None:
    async def main() -> None:
        async with Endpoint(script) as endpoint, Caller("127.0.0.1", endpoint.port) as caller:
            with pytest.raises((OSError, asyncio.IncompleteReadError)):
                await caller.send(request("pay", b"x"))
            assert endpoint.effects.by_id["r1"] == 1

    run_limited(main())


def test_a_stall_answers_nothing_and_a_spoilt_answer_is_none() -> None:
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


def test_an_endpoint_that_stops_refuses_and_comes_back_as_another_start() -> None:
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


CLOSES = close(executes=False)


def test_a_request_that_crosses_the_close_of_a_kept_connection_is_sent_once_more() -> None:
    async def main() -> None:
        endpoint = Endpoint(sequence(serve(), CLOSES, serve(b"again"), CLOSES, CLOSES, serve()))
        async with endpoint, Caller("127.0.0.1", endpoint.port, resends_after_close=True) as caller:
            assert (await caller.send(request())).body == b"ok"
            assert (await caller.send(request(rid="r2"))).body == b"again"
            with pytest.raises(asyncio.IncompleteReadError):
                await caller.send(request(rid="r3"))
        assert [one.headers["x-request-id"] for one in endpoint.requests] == ["r1", "r2", "r2", "r3", "r3"]

    run_limited(main())


def test_a_connection_that_was_closed_at_rest_is_opened_anew() -> None:
    async def main() -> None:
        async def serve_and_close(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(answer())
            writer.close()

        endpoint = Endpoint(serve_and_close)
        async with endpoint, Caller("127.0.0.1", endpoint.port, resends_after_close=True) as caller:
            for number in range(1, 4):
                assert (await caller.send(request())).body == b"ok"
                assert caller.streams is not None
                assert await caller.streams[0].read() == b"", "until the close has come"
                assert endpoint.request_count == endpoint.connection_count == number

    run_limited(main())


@pytest.mark.parametrize(
    ("resends", "script"),
    [
        (False, sequence(serve(), CLOSES, serve())),
        (True, sequence(serve(), close(partial=b"HTTP/1.1 200 O"), serve())),
        (True, sequence(serve(), reset(), serve())),
    ],
    ids=["not asked for", "begun", "reset"],
)
def test_a_request_that_may_have_been_read_is_not_sent_again(resends: bool, script: Handler) -> None:
    async def main() -> None:
        endpoint = Endpoint(script)
        async with endpoint, Caller("127.0.0.1", endpoint.port, resends_after_close=resends) as caller:
            assert (await caller.send(request())).body == b"ok"
            with pytest.raises((OSError, asyncio.IncompleteReadError)):
                await caller.send(request(rid="r2"))
        assert endpoint.request_count == 2

    run_limited(main())


def test_a_new_connection_that_is_closed_is_no_reason_to_send_again() -> None:
    async def main() -> None:
        endpoint = Endpoint(sequence(CLOSES, serve()))
        async with endpoint, Caller("127.0.0.1", endpoint.port, resends_after_close=True) as caller:
            with pytest.raises(asyncio.IncompleteReadError):
                await caller.send(request())
        assert endpoint.request_count == 1

    run_limited(main())


def test_discovery_tells_what_it_is_given() -> None:
    async def main() -> None:
        registry = Registry()
        async with await registry.start():
            reader, writer = await asyncio.open_connection("127.0.0.1", registry.port)
            writer.write(b"GET /registry/instances?watch=1&from=3 HTTP/1.1\r\nHost: x\r\n\r\n")
            start, watch = await registry.watches.get()
            assert start.endswith("from=3 HTTP/1.1")
            push(watch, 4, True, Endpoint().entry("s-1"))
            watch.write(b"0\r\n\r\n")
            assert b'"generation": 4' in (await read_message(reader)).body
            writer.close()
        assert whole_list(generation=2) == {"generation": 2, "reset": True, "instances": []}

    run_limited(main())


# --- Ports --------------------------------------------------------------------------------


def test_of_two_that_look_for_free_ports_none_finds_one_of_the_others() -> None:
    """Nobody listens yet at what the first was given; so it was with the second's whole choice."""
    name = f"test-{os.getpid()}"
    few = range(19_800, 20_000)
    first, second, third = (PortAllocator(few, name) for _ in range(3))
    one = first.allocate()
    found = [second.allocate() for _ in range(2 * BLOCK_SIZE)]
    assert one not in found and len(set(found)) == 2 * BLOCK_SIZE
    with socket.create_server(("127.0.0.1", first.unallocated[-1])) as taken:
        assert first.allocate() != taken.getsockname()[1]
    third.allocate()
    with pytest.raises(OSError, match="no port"):
        PortAllocator(few, name).allocate()
    first.close()
    again = PortAllocator(few, name)
    assert one in [again.allocate() for _ in range(BLOCK_SIZE)]
    for ports in (second, third, again):
        ports.close()


def test_a_claim_holds_while_its_process_lives() -> None:
    name, few = f"ended-{os.getpid()}", range(19_750, 19_800)
    code = (
        "from laurelstep.testing.messages import PortAllocator\n"
        f"ports = PortAllocator(range(19_750, 19_800), {name!r})\nports.allocate()\n"
        "print('taken', flush=True)\ninput()"
    )
    other = subprocess.Popen(
        [sys.executable, "-c", code], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
    )
    assert other.stdout is not None and other.stdout.readline() == "taken\n"
    with pytest.raises(OSError, match="no port"):
        PortAllocator(few, name).allocate()
    other.communicate("\n")
    ports = PortAllocator(few, name)
    assert ports.allocate() in few
    ports.close()
