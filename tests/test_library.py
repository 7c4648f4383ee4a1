"""The async client: replies, its lifecycle, and requests cancelled at each step."""

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
async def open_client(*endpoints: Endpoint, **ceilings: Any) -> AsyncIterator[Client]:
    """Run endpoints and an open client of them; their ids are `s-0`, `s-1` and so on."""
    async with contextlib.AsyncExitStack() as stack, asyncio.timeout(TEST_TIMEOUT_S):
        for endpoint in endpoints:
            await stack.enter_async_context(endpoint)
        members = [member(endpoint, f"s-{n}") for n, endpoint in enumerate(endpoints)]
        before = set(asyncio.all_tasks())
        async with Client.open(config(**ceilings), members) as client:
            yield client
        assert client.state is ClientState.CLOSED and not client._assembly.upstream.connections
        leaked = {task for task in asyncio.all_tasks() - before if "testing" not in repr(task)}
        assert not leaked, "a task outlives the client"


def is_idle(client: Client) -> bool:
    """Whether the client's engine and balancer hold no request."""
    engine = client.engine
    counts = [endpoint.in_flight for endpoint in engine.balancer.endpoints.values()]
    return not (engine.calls or engine.open_request_ids or engine.balancer.requests or any(counts))


Test = Callable[[], Coroutine[Any, Any, None]]


@pytest.fixture(params=["asyncio", "uvloop"])
def run(request: pytest.FixtureRequest) -> Callable[[Test], None]:
    """Runs a test on either event loop."""
    if request.param == "uvloop":
        return lambda test: uvloop.run(test())
    return lambda test: asyncio.run(test())


Run = Callable[[Test], None]

# --- Replies ----------------------------------------------------------------------------


def test_the_reply_has_the_answer_and_its_endpoint(run: Run) -> None:
    async def main() -> None:
        endpoint = Endpoint(serve(b"album", "Content-Type: image/png\r\nX-Load: queue=2,qps=9\r\n"))
        async with open_client(endpoint) as client:
            reply = await client.send(VIEW)
            assert reply == Reply(
                Ending.SERVED, 200, (("content-type", "image/png"),), b"album", None, 1, "s-0"
            )
            (message,) = endpoint.requests
            assert message.start_line == "GET /page?obj=7f HTTP/1.1" and message.headers["x-tenant"] == "acme"
            assert 0 < int(message.headers["x-deadline-ms"]) <= 5000
            assert is_idle(client)

    run(main)


def test_a_refusal_has_a_time_to_retry_after(run: Run) -> None:
    async def main() -> None:
        endpoint = Endpoint(refuse())
        async with open_client(endpoint, **{"max-retry-after-us": 2_000_000, "max-attempts": 1}) as client:
            reply = await client.send(PAY)
            assert (reply.outcome, reply.status, reply.attempts) == (Ending.REFUSED, 503, 1)
            assert reply.retry_after_s == 0.04, "a 50th of the aim, as the balancer itself waits"

    run(main)


@pytest.mark.parametrize("script", [reset(), malformed(), status(500), status(503)])
def test_an_unsafe_request_that_may_have_run_fails_and_is_not_retried(script: Any, run: Run) -> None:
    async def main() -> None:
        endpoints = [Endpoint(script), Endpoint(script)]
        async with open_client(*endpoints) as client:
            reply = await client.send(PAY)
            assert (reply.outcome, reply.status, reply.attempts) == (Ending.FAILED, 502, 1)
            assert sum(len(endpoint.requests) for endpoint in endpoints) == 1

    run(main)


def test_a_safe_request_is_retried_at_another_endpoint(run: Run) -> None:
    async def main() -> None:
        first_is_reset = sequence(reset(), serve())
        async with open_client(Endpoint(first_is_reset), Endpoint(first_is_reset)) as client:
            reply = await client.send(VIEW)
            assert reply.outcome is Ending.SERVED and reply.attempts == 2

    run(main)


def test_a_request_fails_with_504_at_its_deadline(run: Run) -> None:
    async def main() -> None:
        endpoint = Endpoint(stall())
        async with open_client(endpoint) as client:
            started_at_us = client.engine.now()
            reply = await client.send(Request("pay", "/pay", "POST", deadline_s=0.06))
            assert client.engine.now() - started_at_us >= 60_000, "not before the deadline"
            assert (reply.outcome, reply.status) == (Ending.FAILED, 504)
            await endpoint.closed.acquire()
            assert is_idle(client)

    run(main)


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
def test_a_malformed_request_raises_and_is_not_sent(request_: Request, expected: int) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with open_client(endpoint) as client:
            with pytest.raises(RequestError) as caught:
                await client.send(request_)
            assert caught.value.status == expected and not endpoint.requests and is_idle(client)

    asyncio.run(main())


def test_the_id_of_an_open_request_is_rejected() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        endpoint = Endpoint(after(gate, serve()))
        async with open_client(endpoint) as client:
            first = asyncio.create_task(client.send(Request("page", "/page", id="same")))
            await endpoint.arrived.acquire()
            with pytest.raises(RequestError) as caught:
                await client.send(Request("page", "/page", id="same"))
            assert caught.value.status == 409
            gate.set()
            assert (await first).outcome is Ending.SERVED and len(endpoint.requests) == 1

    asyncio.run(main())


def test_an_immediate_answer_does_not_starve_the_event_loop() -> None:
    """Guards against a task that retries at once after each answer and so keeps the loop from all else."""

    async def main() -> None:
        async with open_client() as client:
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
                assert reply.outcome is Ending.FAILED, "an exception in the balancer is answered"
            assert counting.done()

    asyncio.run(main())


# --- Cancellation ------------------------------------------------------------------------


async def cancel(task: asyncio.Task[Any]) -> None:
    task.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await task
    assert task.cancelled()


def test_a_request_cancelled_while_held_is_not_sent(run: Run) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with open_client(endpoint) as client:
            client.members([])  # no endpoint: the balancer holds the request
            task = asyncio.create_task(client.send(PAY))
            await asyncio.sleep(0)
            assert len(client.engine.calls) == 1
            await cancel(task)
            assert is_idle(client)
            client.members([member(endpoint)])
            assert (await client.send(VIEW)).outcome is Ending.SERVED
            assert [received.start_line.split()[1] for received in endpoint.requests] == ["/page?obj=7f"]

    run(main)


def test_a_request_cancelled_while_connecting_is_not_written(run: Run) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with open_client(endpoint) as client:
            outcomes = record_outcomes(client.engine)
            task = asyncio.create_task(client.send(PAY))
            await asyncio.sleep(0)
            (connection,) = client._assembly.upstream.connections
            assert connection.transport is None, "still connecting"
            await cancel(task)
            assert [(outcome.outcome, outcome.is_final) for outcome in outcomes] == [(CANCELLED, True)]
            assert is_idle(client) and not client._assembly.upstream.connections_by_attempt
        assert not endpoint.requests

    run(main)


def test_an_order_cancelled_after_it_was_written_is_not_sent_again(run: Run) -> None:
    async def main() -> None:
        effects = Effects()
        endpoints = [Endpoint(stall(), effects=effects), Endpoint(stall(), effects=effects)]
        async with open_client(*endpoints) as client:
            outcomes = record_outcomes(client.engine)
            task = asyncio.create_task(client.send(PAY))
            arrivals = {asyncio.create_task(endpoint.arrived.acquire()) for endpoint in endpoints}
            _, pending = await asyncio.wait(arrivals, return_when=asyncio.FIRST_COMPLETED)
            for arrival in pending:
                await cancel(arrival)
            (used,) = [endpoint for endpoint in endpoints if endpoint.requests]
            states = client.engine.balancer.endpoints
            assert sum(state.in_flight for state in states.values()) == 1
            await cancel(task)
            assert sum(state.in_flight for state in states.values()) == 0, "in_flight is decremented"
            await used.closed.acquire()  # its connection was closed
            assert [(outcome.outcome, outcome.is_final) for outcome in outcomes] == [(CANCELLED, True)]
            assert is_idle(client)
        assert sum(len(endpoint.requests) for endpoint in endpoints) == 1 and not effects.executed_twice()

    run(main)


def test_a_request_cancelled_while_its_response_arrives_closes_the_connection(run: Run) -> None:
    async def main() -> None:
        async def send_half(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf")

        endpoint = Endpoint(sequence(send_half, serve()))
        async with open_client(endpoint) as client:
            task = asyncio.create_task(client.send(PAY))
            while not client._assembly.upstream.receiving.waiting_since:
                await asyncio.sleep(0)
            await cancel(task)
            await endpoint.closed.acquire()
            assert is_idle(client)
            assert (await client.send(VIEW)).body == b"ok" and endpoint.connection_count == 2

    run(main)


def test_a_request_cancelled_after_its_answer_was_set_has_one_outcome(run: Run) -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with open_client(endpoint) as client:
            outcomes = record_outcomes(client.engine)
            task = asyncio.create_task(client.send(PAY))
            (exchange,) = await wait_exchanges(client)
            while not exchange.final_reply.done():
                await asyncio.sleep(0)
            task.cancel()  # it was answered, and has not run since
            with contextlib.suppress(asyncio.CancelledError):
                await task
            assert [(outcome.outcome, outcome.is_final) for outcome in outcomes] == [(OK, True)]
            assert is_idle(client) and len(endpoint.requests) == 1

    run(main)


async def wait_exchanges(client: Client) -> set[Exchange]:
    while not client._exchanges:
        await asyncio.sleep(0)
    return set(client._exchanges)


def test_hundreds_of_requests_cancelled_at_once_leave_no_state(run: Run) -> None:
    async def main() -> None:
        endpoints = [Endpoint(stall()) for _ in range(4)]
        async with open_client(*endpoints) as client:
            tasks = [asyncio.create_task(client.send(VIEW)) for _ in range(300)]
            await asyncio.sleep(0)
            assert len(client._exchanges) == 300
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
            assert all(task.cancelled() for task in tasks) and is_idle(client)
            for endpoint in endpoints:
                endpoint.handler = serve()
            client.members([member(endpoint, f"n-{n}") for n, endpoint in enumerate(endpoints)])
            assert (await client.send(VIEW)).outcome is Ending.SERVED

    run(main)


# --- Members -----------------------------------------------------------------------------


def test_an_endpoint_drained_in_code_gets_no_new_requests(run: Run) -> None:
    async def main() -> None:
        old, new = Endpoint(), Endpoint()
        async with open_client(old, new) as client:
            await client.send(VIEW)
            client.members([member(old, "s-0", draining=True), member(new, "s-1")])
            state = client.engine.endpoints.by_number[endpoint_number("s-0")]
            assert state.withdrawn_at is not None
            before = len(old.requests)
            for _ in range(20):
                assert (await client.send(VIEW)).endpoint == "s-1"
            assert len(old.requests) == before

    run(main)


def test_a_malformed_list_raises_and_changes_nothing() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with open_client(endpoint) as client:
            with pytest.raises(ValueError, match="malformed address"):
                client.members([Member("s-9", "nowhere")])
            assert (await client.send(VIEW)).endpoint == "s-0"

    asyncio.run(main())


def test_malformed_members_raise_at_the_start() -> None:
    async def main() -> None:
        client = Client.open(config(), [Member("s-9", "nowhere")])
        with pytest.raises(ConfigError, match="members: "):
            await client.start()
        assert client.state is ClientState.NEW
        await client.close()

    asyncio.run(main())


def test_with_discovery_the_members_come_from_it(run: Run) -> None:
    async def main() -> None:
        async with Endpoint() as endpoint, DiscoveryServer(generation=7) as discovery:
            raw = {**config(), "discovery": discovery.address, "known": discovery.whole_list()}
            async with Client.open(raw) as client:
                assert await discovery.opened_watches.get() == 7
                discovery.replace(endpoint.entry("s-3"))
                assert (await client.send(VIEW)).endpoint == "s-3", "held until the list arrives"
                with pytest.raises(ClientError, match="discovery"):
                    client.members([])

    run(main)


# --- Lifecycle ---------------------------------------------------------------------------


def test_closing_finishes_open_requests_and_closes_all_connections(run: Run) -> None:
    async def main() -> None:
        gate = asyncio.Event()
        endpoint = Endpoint(sequence(serve(), after(gate, serve(b"late"))))
        async with open_client(endpoint) as client:
            await client.send(VIEW)
            assert len(client._assembly.upstream.connections) == 1, "the idle connection is kept"
            sending = asyncio.create_task(client.send(PAY))
            await endpoint.arrived.acquire()
            await endpoint.arrived.acquire()
            closing = [asyncio.create_task(client.close()) for _ in range(3)]
            await asyncio.sleep(0)
            assert not any(task.done() for task in closing)
            with pytest.raises(ClientError, match="closing"):
                await client.send(VIEW)
            gate.set()
            assert (await sending).body == b"late", "the open request is finished"
            await asyncio.gather(*closing)
            await client.close()
            with pytest.raises(ClientError, match="closed"):
                await client.send(VIEW)
            assert not client._assembly.upstream.connections and len(endpoint.requests) == 2

    run(main)


def test_close_can_be_called_again_after_it_was_cancelled() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        endpoint = Endpoint(after(gate, serve()))
        async with open_client(endpoint) as client:
            sending = asyncio.create_task(client.send(VIEW))
            await endpoint.arrived.acquire()
            closing = asyncio.create_task(client.close())
            await asyncio.sleep(0)
            await cancel(closing)
            gate.set()
            await client.close()
            assert (await sending).outcome is Ending.SERVED

    asyncio.run(main())


def test_a_client_can_be_opened_again_after_close() -> None:
    async def main() -> None:
        async with Endpoint() as endpoint:
            client = Client.open(config(), [member(endpoint)])
            for _ in range(2):
                async with client:
                    assert (await client.send(VIEW)).outcome is Ending.SERVED
                    with pytest.raises(ClientError, match="open already"):
                        await client.start()

    asyncio.run(main())


def test_sending_before_the_client_is_open_raises() -> None:
    with pytest.raises(ClientError, match="not open"):
        asyncio.run(Client.open(config()).send(VIEW))


def test_use_on_another_event_loop_raises() -> None:
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


def test_use_after_a_fork_raises() -> None:
    """The child process has the same client and even the same event loop, but must not use them."""

    async def main() -> None:
        async with open_client(Endpoint()) as client:
            read_end, write_end = os.pipe()
            child = os.fork()
            if child == 0:  # does nothing else, as it shares all descriptors with the test
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
        served, stalled = Endpoint(), Endpoint(stall())
        async with open_client(served) as client, open_client(stalled) as other:
            sending = asyncio.create_task(other.send(Request("pay", "/pay", "POST", id="same")))
            await stalled.arrived.acquire()
            assert (await client.send(Request("pay", "/pay", "POST", id="same"))).outcome is Ending.SERVED
            assert not client.engine.calls and len(other.engine.calls) == 1
            await client.close()
            assert not sending.done() and len(other._assembly.upstream.connections) == 1
            await cancel(sending)

    asyncio.run(main())


def test_the_client_changes_no_signal_handlers_collector_or_loop_policy(run: Run) -> None:
    async def main() -> None:
        signals = (signal.SIGHUP, signal.SIGTERM, signal.SIGINT)
        before = [signal.getsignal(number) for number in signals], gc.get_threshold(), gc.get_freeze_count()
        policy = asyncio.get_event_loop_policy()
        async with open_client(Endpoint()) as client:
            await client.send(VIEW)
            now = [signal.getsignal(number) for number in signals], gc.get_threshold(), gc.get_freeze_count()
            assert now == before and asyncio.get_event_loop_policy() is policy

    run(main)


def test_a_closed_client_has_closed_its_descriptors(run: Run) -> None:
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

    run(main)


def test_an_exchange_is_freed_without_the_garbage_collector() -> None:
    def exchange_count() -> int:
        return sum(type(value) is Exchange for value in gc.get_objects())

    async def main() -> None:
        endpoint = Endpoint()
        async with open_client(endpoint) as client:
            gc.collect()
            gc.disable()
            try:
                await client.send(VIEW)
                assert exchange_count() == 0
            finally:
                gc.enable()

    asyncio.run(main())


def test_nothing_is_sent_to_an_endpoint_withdrawn_while_connecting(run: Run) -> None:
    """A connection that is established only after the drain grace is not used."""

    async def main() -> None:
        endpoint = Endpoint()
        async with open_client(endpoint) as client:
            outcomes = record_outcomes(client.engine)
            sending = asyncio.create_task(client.send(Request("pay", "/pay", "POST", deadline_s=0.2)))
            await asyncio.sleep(0)
            (connection,) = client._assembly.upstream.connections
            state = client.engine.endpoints.by_number[endpoint_number("s-0")]
            state.withdrawn_at = client.engine.now() - 500_000
            reply = await sending
            assert outcomes[0].outcome == NOT_SENT and reply.outcome is Ending.REFUSED
            assert not endpoint.requests and connection.attempt is None

    run(main)
