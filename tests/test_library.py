"""The async client: its promises, its life, and the host that cancels at every moment."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import os
import signal
from collections.abc import AsyncIterator, Callable, Coroutine
from typing import Any

import pytest
import uvloop
from laurelstep.balancing.events import CANCELLED, NOT_SENT, OK, Action
from laurelstep.engine import endpoint_number
from laurelstep.library import Client, ClientError, ConfigError, Ending, Member, Reply, Request, RequestError
from laurelstep.library.client import ClientState, Exchange
from laurelstep.testing import (
    DiscoveryServer,
    Effects,
    Endpoint,
    Message,
    Writer,
    after,
    malformed,
    refuse,
    reset,
    sequence,
    serve,
    stall,
    status,
)

from tests.sockets import SETTINGS, TEST_TIMEOUT_S, override_decisions, record_outcomes

VIEW = Request("page", "/page?obj=7f", tenant="acme")
PAY = Request("pay", "/pay", method="POST", body=b"sum")


def member(endpoint: Endpoint, name: str = "s-0", **changes: Any) -> Member:
    return Member(name, f"127.0.0.1:{endpoint.port}", zone="here", cell=1, **changes)


def config(**ceilings: Any) -> dict[str, Any]:
    settings = {**SETTINGS, "ceilings": {**SETTINGS["ceilings"], **ceilings}}
    return {"seed": "1", "settings": settings, "limits": {"sockets": 1024}}


@contextlib.asynccontextmanager
async def opened(*endpoints: Endpoint, **ceilings: Any) -> AsyncIterator[Client]:
    """A client of these endpoints, which are `s-0`, `s-1` and so on."""
    async with contextlib.AsyncExitStack() as stack, asyncio.timeout(TEST_TIMEOUT_S):
        for endpoint in endpoints:
            await stack.enter_async_context(endpoint)
        members = [member(one, f"s-{n}") for n, one in enumerate(endpoints)]
        before = set(asyncio.all_tasks())
        async with Client.open(config(**ceilings), members) as client:
            yield client
        assert client.state is ClientState.CLOSED and not client._assembly.upstream.connections
        ours = {one for one in asyncio.all_tasks() - before if "testing" not in repr(one)}
        assert not ours, "no task is left behind"


def is_idle(client: Client) -> bool:
    engine = client.engine
    counts = [one.in_flight for one in engine.balancer.endpoints.values()]
    return not (engine.calls or engine.open_request_ids or engine.balancer.requests or any(counts))


Test = Callable[[], Coroutine[Any, Any, None]]


@pytest.fixture(params=["asyncio", "uvloop"])
def play(request: pytest.FixtureRequest) -> Callable[[Test], None]:
    """Runs a test on either loop."""
    if request.param == "uvloop":
        return lambda test: uvloop.run(test())
    return lambda test: asyncio.run(test())


Play = Callable[[Test], None]

# --- Replies ----------------------------------------------------------------------------


def test_a_request_is_served_and_tells_by_whom(play: Play) -> None:
    async def main() -> None:
        endpoint = Endpoint(serve(b"album", "Content-Type: image/png\r\nX-Load: queue=2,qps=9\r\n"))
        async with opened(endpoint) as client:
            reply = await client.send(VIEW)
            assert reply == Reply(
                Ending.SERVED, 200, (("content-type", "image/png"),), b"album", None, 1, "s-0"
            )
            (got,) = endpoint.requests
            assert got.start_line == "GET /page?obj=7f HTTP/1.1" and got.headers["x-tenant"] == "acme"
            assert 0 < int(got.headers["x-deadline-ms"]) <= 5000
            assert is_idle(client)

    play(main)


def test_a_refusal_says_that_trying_again_is_harmless(play: Play) -> None:
    async def main() -> None:
        endpoint = Endpoint(refuse())
        async with opened(endpoint, **{"max-retry-after-us": 2_000_000, "max-attempts": 1}) as client:
            reply = await client.send(PAY)
            assert (reply.outcome, reply.status, reply.attempts) == (Ending.REFUSED, 503, 1)
            assert reply.retry_after_s == 0.04, "a 50th of the aim, as the module waits itself"

    play(main)


@pytest.mark.parametrize("script", [reset(), malformed(), status(500), status(503)])
def test_an_unsafe_request_that_may_have_run_fails_and_is_not_repeated(script: Any, play: Play) -> None:
    async def main() -> None:
        endpoints = [Endpoint(script), Endpoint(script)]
        async with opened(*endpoints) as client:
            reply = await client.send(PAY)
            assert (reply.outcome, reply.status, reply.attempts) == (Ending.FAILED, 502, 1)
            assert sum(len(one.requests) for one in endpoints) == 1

    play(main)


def test_a_safe_request_is_tried_again_elsewhere(play: Play) -> None:
    async def main() -> None:
        first_is_reset = sequence(reset(), serve())
        async with opened(Endpoint(first_is_reset), Endpoint(first_is_reset)) as client:
            reply = await client.send(VIEW)
            assert reply.outcome is Ending.SERVED and reply.attempts == 2

    play(main)


def test_the_deadline_ends_it(play: Play) -> None:
    async def main() -> None:
        endpoint = Endpoint(stall())
        async with opened(endpoint) as client:
            began = client.engine.now()
            reply = await client.send(Request("pay", "/pay", "POST", deadline_s=0.06))
            assert client.engine.now() - began >= 60_000, "never early"
            assert (reply.outcome, reply.status) == (Ending.FAILED, 504)
            await endpoint.closed.acquire()
            assert is_idle(client)

    play(main)


@pytest.mark.parametrize(
    ("request_", "expected"),
    [
        (Request("none", "/none"), 404),
        (Request("page", "/pay"), 400),
        (Request("page", "/page", "POST"), 405),
        (Request("page", "/page", body=b"x"), 400),
        (Request("put", "/put", "POST"), 400),
        (Request("put", "/put", "POST", key="k 1"), 400),
        (Request("pay", "/pay", "POST", key="k1"), 400),
        (Request("pay", "/pay", "POST", body=b"x" * 65_537), 413),
        (Request("page", "/page\r\nX-Evil: 1"), 400),
        (Request("page", "/p\u00e4ge"), 400),
        (Request("page", "/page", tenant="a\r\nX-Evil: 1"), 400),
        (Request("page", "/page", tenant="\u2603"), 400),
        (Request("page", "/page", id="a b"), 400),
        (Request("page", "/page", headers={"x-extras": "a\nb"}), 400),
    ],
)
def test_what_is_not_in_form_is_an_error_and_nothing_is_sent(request_: Request, expected: int) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with opened(endpoint) as client:
            with pytest.raises(RequestError) as told:
                await client.send(request_)
            assert told.value.status == expected and not endpoint.requests and is_idle(client)

    asyncio.run(main())


def test_the_id_of_an_open_request_is_not_taken_twice() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        endpoint = Endpoint(after(gate, serve()))
        async with opened(endpoint) as client:
            first = asyncio.create_task(client.send(Request("page", "/page", id="same")))
            await endpoint.arrived.acquire()
            with pytest.raises(RequestError) as told:
                await client.send(Request("page", "/page", id="same"))
            assert told.value.status == 409
            gate.set()
            assert (await first).outcome is Ending.SERVED and len(endpoint.requests) == 1

    asyncio.run(main())


def test_a_refusal_at_once_leaves_the_loop_its_turn() -> None:
    """One that asked again at once after each refusal starved its own loop."""

    async def main() -> None:
        async with opened() as client:
            turns = 0

            async def count() -> None:
                nonlocal turns
                while turns < 5:
                    turns += 1
                    await asyncio.sleep(0)

            def broken(now: int, event: object) -> list[Action]:
                raise RuntimeError("broken")

            counting = asyncio.create_task(count())
            override_decisions(client.engine, request=broken)
            for _ in range(10):
                reply = await client.send(VIEW)
                assert reply.outcome is Ending.FAILED, "a fault of the module is answered"
            assert counting.done()

    asyncio.run(main())


# --- Hosts that cancel -------------------------------------------------------------------


async def cancelled(task: asyncio.Task[Any]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    assert task.cancelled()


def test_cancelled_before_its_send_nothing_is_sent(play: Play) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with opened(endpoint) as client:
            client.members([])  # nobody to send to: the module holds it
            task = asyncio.create_task(client.send(PAY))
            await asyncio.sleep(0)
            assert len(client.engine.calls) == 1
            await cancelled(task)
            assert is_idle(client)
            client.members([member(endpoint)])
            assert (await client.send(VIEW)).outcome is Ending.SERVED
            assert [one.start_line.split()[1] for one in endpoint.requests] == ["/page?obj=7f"]

    play(main)


def test_cancelled_between_connect_and_write_nothing_is_written(play: Play) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with opened(endpoint) as client:
            told = record_outcomes(client.engine)
            task = asyncio.create_task(client.send(PAY))
            await asyncio.sleep(0)
            (link,) = client._assembly.upstream.connections
            assert link.transport is None, "the connection is still coming up"
            await cancelled(task)
            assert [(one.outcome, one.is_final) for one in told] == [(CANCELLED, True)]
            assert is_idle(client) and not client._assembly.upstream.connections_by_attempt
        assert not endpoint.requests

    play(main)


def test_a_paid_order_cancelled_after_it_was_written_is_never_sent_again(play: Play) -> None:
    async def main() -> None:
        effects = Effects()
        endpoints = [Endpoint(stall(), effects=effects), Endpoint(stall(), effects=effects)]
        async with opened(*endpoints) as client:
            told = record_outcomes(client.engine)
            task = asyncio.create_task(client.send(PAY))
            first = {asyncio.create_task(one.arrived.acquire()) for one in endpoints}
            _, pending = await asyncio.wait(first, return_when=asyncio.FIRST_COMPLETED)
            for one in pending:
                await cancelled(one)
            (used,) = [one for one in endpoints if one.requests]
            counts = client.engine.balancer.endpoints
            assert sum(one.in_flight for one in counts.values()) == 1
            await cancelled(task)
            assert sum(one.in_flight for one in counts.values()) == 0, "its count is down by one"
            await used.closed.acquire()  # the endpoint sees its connection close
            assert [(one.outcome, one.is_final) for one in told] == [(CANCELLED, True)]
            assert is_idle(client)
        assert sum(len(one.requests) for one in endpoints) == 1 and not effects.executed_twice()

    play(main)


def test_cancelled_with_the_answer_half_read_the_connection_is_not_used_again(play: Play) -> None:
    async def main() -> None:
        async def half(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")

        endpoint = Endpoint(sequence(half, serve()))
        async with opened(endpoint) as client:
            task = asyncio.create_task(client.send(PAY))
            while not client._assembly.upstream.receiving.waiting_since:
                await asyncio.sleep(0)
            await cancelled(task)
            await endpoint.closed.acquire()
            assert is_idle(client)
            assert (await client.send(VIEW)).body == b"ok" and endpoint.connection_count == 2

    play(main)


def test_cancelled_in_the_moment_its_answer_leaves_it_was_answered_once(play: Play) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with opened(endpoint) as client:
            told = record_outcomes(client.engine)
            task = asyncio.create_task(client.send(PAY))
            (exchange,) = await until_taken(client)
            while not exchange.final_reply.done():
                await asyncio.sleep(0)
            task.cancel()  # it was answered, and has not had its turn since
            with contextlib.suppress(asyncio.CancelledError):
                await task
            assert [(one.outcome, one.is_final) for one in told] == [(OK, True)]
            assert is_idle(client) and len(endpoint.requests) == 1

    play(main)


async def until_taken(client: Client) -> set[Exchange]:
    while not client._exchanges:
        await asyncio.sleep(0)
    return set(client._exchanges)


def test_hundreds_cancelled_at_once_leave_nothing(play: Play) -> None:
    async def main() -> None:
        endpoints = [Endpoint(stall()) for _ in range(4)]
        async with opened(*endpoints) as client:
            tasks = [asyncio.create_task(client.send(VIEW)) for _ in range(300)]
            await asyncio.sleep(0)
            assert len(client._exchanges) == 300
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            assert all(task.cancelled() for task in tasks) and is_idle(client)
            for endpoint in endpoints:
                endpoint.handler = serve()
            client.members([member(one, f"n-{n}") for n, one in enumerate(endpoints)])
            assert (await client.send(VIEW)).outcome is Ending.SERVED

    play(main)


# --- Members -----------------------------------------------------------------------------


def test_a_drain_given_in_code_holds_within_the_grace(play: Play) -> None:
    async def main() -> None:
        old, new = Endpoint(), Endpoint()
        async with opened(old, new) as client:
            await client.send(VIEW)
            client.members([member(old, "s-0", draining=True), member(new, "s-1")])
            place = client.engine.endpoints.by_number[endpoint_number("s-0")]
            assert place.withdrawn_at is not None
            before = len(old.requests)
            for _ in range(20):
                assert (await client.send(VIEW)).endpoint == "s-1"
            assert len(old.requests) == before

    play(main)


def test_a_list_that_can_not_be_read_changes_nothing() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with opened(endpoint) as client:
            with pytest.raises(ValueError, match="malformed address"):
                client.members([Member("s-9", "nowhere")])
            assert (await client.send(VIEW)).endpoint == "s-0"

    asyncio.run(main())


def test_members_that_can_not_be_read_are_an_error_at_the_start() -> None:
    async def main() -> None:
        client = Client.open(config(), [Member("s-9", "nowhere")])
        with pytest.raises(ConfigError, match="members: "):
            await client.start()
        assert client.state is ClientState.NEW
        await client.close()

    asyncio.run(main())


def test_members_come_from_discovery_where_one_is_named(play: Play) -> None:
    async def main() -> None:
        async with Endpoint() as endpoint, DiscoveryServer(generation=7) as discovery:
            raw = {**config(), "discovery": discovery.address, "known": discovery.whole_list()}
            async with Client.open(raw) as client:
                assert await discovery.opened_watches.get() == 7
                discovery.replace(endpoint.entry("s-3"))
                assert (await client.send(VIEW)).endpoint == "s-3", "the module holds it until then"
                with pytest.raises(ClientError, match="discovery"):
                    client.members([])

    play(main)


# --- Life --------------------------------------------------------------------------------


def test_closing_waits_for_what_was_taken_and_keeps_nothing(play: Play) -> None:
    async def main() -> None:
        gate = asyncio.Event()
        endpoint = Endpoint(sequence(serve(), after(gate, serve(b"late"))))
        async with opened(endpoint) as client:
            await client.send(VIEW)
            assert len(client._assembly.upstream.connections) == 1, "kept at rest"
            asked = asyncio.create_task(client.send(PAY))
            await endpoint.arrived.acquire()
            await endpoint.arrived.acquire()
            closing = [asyncio.create_task(client.close()) for _ in range(3)]
            await asyncio.sleep(0)
            assert not any(one.done() for one in closing)
            with pytest.raises(ClientError, match="closing"):
                await client.send(VIEW)
            gate.set()
            assert (await asked).body == b"late", "what was taken is finished"
            await asyncio.gather(*closing)
            await client.close()
            with pytest.raises(ClientError, match="closed"):
                await client.send(VIEW)
            assert not client._assembly.upstream.connections and len(endpoint.requests) == 2

    play(main)


def test_a_close_that_is_cancelled_can_be_called_again() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        endpoint = Endpoint(after(gate, serve()))
        async with opened(endpoint) as client:
            asked = asyncio.create_task(client.send(VIEW))
            await endpoint.arrived.acquire()
            closing = asyncio.create_task(client.close())
            await asyncio.sleep(0)
            await cancelled(closing)
            gate.set()
            await client.close()
            assert (await asked).outcome is Ending.SERVED

    asyncio.run(main())


def test_a_client_may_be_opened_again_after_its_close() -> None:
    async def main() -> None:
        async with Endpoint() as endpoint:
            client = Client.open(config(), [member(endpoint)])
            for _ in range(2):
                async with client:
                    assert (await client.send(VIEW)).outcome is Ending.SERVED
                    with pytest.raises(ClientError, match="open already"):
                        await client.start()

    asyncio.run(main())


def test_use_before_it_is_open_is_an_error() -> None:
    with pytest.raises(ClientError, match="not open"):
        asyncio.run(Client.open(config()).send(VIEW))


def test_another_loop_is_told_so() -> None:
    client = Client.open(config(), [])

    async def use() -> None:
        with pytest.raises(ClientError, match="another event loop"):
            await client.send(VIEW)
        with pytest.raises(ClientError, match="another event loop"):
            await client.close()

    first = asyncio.new_event_loop()
    try:
        first.run_until_complete(client.start())
        asyncio.run(use())
        first.run_until_complete(client.close())
    finally:
        first.close()


def test_a_fork_is_told_so() -> None:
    """The child has the same objects, and even the same loop, but not the right to them."""

    async def main() -> None:
        async with opened(Endpoint()) as client:
            read_end, write_end = os.pipe()
            child = os.fork()
            if child == 0:  # no more than this: it shares everything with the test
                try:
                    client.require_open()
                    os.write(write_end, b"usable")
                except ClientError as error:
                    os.write(write_end, str(error).encode())
                finally:
                    os._exit(0)
            os.close(write_end)
            os.waitpid(child, 0)
            assert b"before a fork" in os.read(read_end, 1000)
            os.close(read_end)
            assert (await client.send(VIEW)).outcome is Ending.SERVED

    asyncio.run(main())


def test_two_clients_in_one_process_share_nothing() -> None:
    async def main() -> None:
        ours, theirs = Endpoint(), Endpoint(stall())
        async with opened(ours) as one, opened(theirs) as other:
            asked = asyncio.create_task(other.send(Request("pay", "/pay", "POST", id="same")))
            await theirs.arrived.acquire()
            assert (await one.send(Request("pay", "/pay", "POST", id="same"))).outcome is Ending.SERVED
            assert not one.engine.calls and len(other.engine.calls) == 1
            await one.close()
            assert not asked.done() and len(other._assembly.upstream.connections) == 1
            await cancelled(asked)

    asyncio.run(main())


def test_it_is_a_good_guest(play: Play) -> None:
    async def main() -> None:
        kinds = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
        before = [signal.getsignal(kind) for kind in kinds], gc.get_threshold(), gc.get_freeze_count()
        policy = asyncio.get_event_loop_policy()
        async with opened(Endpoint()) as client:
            await client.send(VIEW)
            now = [signal.getsignal(kind) for kind in kinds], gc.get_threshold(), gc.get_freeze_count()
            assert now == before and asyncio.get_event_loop_policy() is policy

    play(main)


def test_descriptors_are_given_back(play: Play) -> None:
    async def main() -> None:
        async with Endpoint() as endpoint:
            await asyncio.sleep(0)
            before = len(os.listdir("/proc/self/fd"))
            for _ in range(3):
                async with Client.open(config(), [member(endpoint)]) as client:
                    await asyncio.gather(*(client.send(VIEW) for _ in range(8)))
            while endpoint.open_connections:
                await asyncio.sleep(0)
            await asyncio.sleep(0)
            assert len(os.listdir("/proc/self/fd")) == before

    play(main)


def test_an_exchange_is_freed_without_the_collector() -> None:
    def alive() -> int:
        return sum(type(one) is Exchange for one in gc.get_objects())

    async def main() -> None:
        endpoint = Endpoint()
        async with opened(endpoint) as client:
            gc.collect()
            gc.disable()
            try:
                await client.send(VIEW)
                assert alive() == 0
            finally:
                gc.enable()

    asyncio.run(main())


def test_nothing_starts_for_one_that_left_while_it_connected(play: Play) -> None:
    """A slow connect that comes up after the drain's grace writes nothing."""

    async def main() -> None:
        endpoint = Endpoint()
        async with opened(endpoint) as client:
            told = record_outcomes(client.engine)
            asked = asyncio.create_task(client.send(Request("pay", "/pay", "POST", deadline_s=0.2)))
            await asyncio.sleep(0)
            (link,) = client._assembly.upstream.connections
            place = client.engine.endpoints.by_number[endpoint_number("s-0")]
            place.withdrawn_at = client.engine.now() - 500_000
            reply = await asked
            assert told[0].outcome == NOT_SENT and reply.outcome is Ending.REFUSED
            assert not endpoint.requests and link.attempt is None

    play(main)
