"""The stand-ins themselves: what they script, and what they count."""

from __future__ import annotations

import asyncio
import subprocess
import sys
from collections.abc import Coroutine
from typing import Any

import pytest

from woadyard.testing import (
    Caller,
    Effects,
    Endpoint,
    Registry,
    close,
    in_turn,
    paced,
    push,
    read_message,
    refuse,
    request,
    reset,
    serve,
    spoil,
    stall,
    status,
    whole_list,
)
from woadyard.testing.messages import PORTS, free_port


def run(test: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(20):
            await test

    asyncio.run(limited())


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
                assert (await caller.ask(request("pay", b"x", rid="p"))).status == 200
                assert (await caller.ask(request("put", b"x", rid="u", key="k"))).status == 200
            assert (await first.ask(request("pay", b"x", rid="q"))).status == 200
        assert effects.by_id == {"p": 2, "u": 1, "q": 1} and effects.dropped == 1
        assert effects.twice() == ["p"] and effects.by_key == {"k": 1}

    run(main())


@pytest.mark.parametrize(
    ("script", "code", "ran"),
    [(serve(), 200, 1), (refuse(), 503, 0), (status(500), 500, 0), (status(500, executes=True), 500, 1)],
)
def test_scripts_that_answer(script: Any, code: int, ran: int) -> None:
    async def main() -> None:
        async with Endpoint(script) as endpoint, Caller("127.0.0.1", endpoint.port) as caller:
            assert (await caller.ask(request("pay", b"x"))).status == code
            assert endpoint.effects.by_id["r1"] == ran and endpoint.count == len(endpoint.got) == 1

    run(main())


@pytest.mark.parametrize("script", [close(), reset(), close(begun=b"HTTP/1.1 200 OK\r\nContent-Le")])
def test_scripts_that_end_the_connection(script: Any) -> None:
    async def main() -> None:
        async with Endpoint(script) as endpoint, Caller("127.0.0.1", endpoint.port) as caller:
            with pytest.raises((OSError, asyncio.IncompleteReadError)):
                await caller.ask(request("pay", b"x"))
            assert endpoint.effects.by_id["r1"] == 1

    run(main())


def test_a_stall_answers_nothing_and_a_spoilt_answer_is_none() -> None:
    async def main() -> None:
        async with Endpoint(in_turn(stall(executes=False), spoil(b"what?\r\n\r\n"))) as endpoint:
            reader, writer = await asyncio.open_connection("127.0.0.1", endpoint.port)
            writer.write(request("pay", b"x"))
            await endpoint.arrived.acquire()
            assert not endpoint.effects.by_id
            writer.write(request("pay", b"x"))
            assert await reader.readline() == b"what?\r\n" and endpoint.effects.by_id["r1"] == 1
            writer.close()

    run(main())


def test_an_endpoint_that_stops_refuses_and_comes_back_as_another_start() -> None:
    async def main() -> None:
        async with Endpoint(paced(lambda: 0.0)) as endpoint:
            caller = Caller("127.0.0.1", endpoint.port)
            assert (await caller.ask(request())).body == b"ok"
            endpoint.stop()
            with pytest.raises((OSError, asyncio.IncompleteReadError)):
                await caller.ask(request())
            with pytest.raises(ConnectionError):
                await caller.ask(request())
            await endpoint.restart(5)
            assert (await caller.ask(request())).body == b"ok"
            assert endpoint.entry("s-1", lifecycle="draining")["startedAtMs"] == 5
            caller.close()

    run(main())


def test_discovery_tells_what_it_is_given() -> None:
    async def main() -> None:
        registry = Registry()
        async with await registry.start():
            reader, writer = await asyncio.open_connection("127.0.0.1", registry.port)
            writer.write(b"GET /registry/instances?watch=1&from=3 HTTP/1.1\r\nHost: x\r\n\r\n")
            start, watch = await registry.asked.get()
            assert start.endswith("from=3 HTTP/1.1")
            push(watch, 4, True, Endpoint().entry("s-1"))
            watch.write(b"0\r\n\r\n")
            assert b'"generation": 4' in (await read_message(reader)).body
            writer.close()
        assert whole_list(generation=2) == {"generation": 2, "reset": True, "instances": []}

    run(main())


def test_a_port_that_one_process_was_given_is_given_to_no_other() -> None:
    port = free_port()
    words = "import sys; from woadyard.testing.messages import reserve; print(reserve(int(sys.argv[1])))"
    for number, told in ((port, "False"), (PORTS.stop, "True")):
        found = subprocess.run(
            [sys.executable, "-c", words, str(number)], check=True, capture_output=True, text=True
        )
        assert found.stdout.strip() == told
