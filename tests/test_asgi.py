"""The ASGI middleware: what is balanced, what reaches the app, and hosts that misbehave."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import threading
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

import pytest
from laurelstep.balancing.events import CANCELLED
from laurelstep.library import BalancerMiddleware, Client, ClientError, Member
from laurelstep.library.asgi import Message, Receive, Scope, Send
from laurelstep.library.client import ClientState, Exchange
from laurelstep.testing import Endpoint, after, read_message, request, serve, stall
from starlette.applications import Starlette
from starlette.middleware import Middleware
from starlette.requests import Request as HttpRequest
from starlette.responses import PlainTextResponse
from starlette.routing import Mount, Route, WebSocketRoute
from starlette.websockets import WebSocket

from tests.sockets import TEST_TIMEOUT_S, record_outcomes, serve_app
from tests.test_library import config, is_idle, member


async def app(scope: Scope, receive: Receive, send: Send) -> None:
    """Answers with the path that reached it; has no lifespan."""
    if scope["type"] == "http":
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": f"app {scope['path']}".encode()})
        return
    raise NotImplementedError(scope["type"])


@dataclass
class Host:
    """A host server for one scope: `receive` returns what the test has queued, `send` records."""

    sent: list[Message] = field(default_factory=list)
    queued: asyncio.Queue[Message] = field(default_factory=asyncio.Queue)
    receive_count: int = 0

    async def receive(self) -> Message:
        self.receive_count += 1
        return await self.queued.get()

    async def send(self, message: Message) -> None:
        self.sent.append(message)

    def queue_body(self, part: bytes = b"", more: bool = False) -> None:
        self.queued.put_nowait({"type": "http.request", "body": part, "more_body": more})

    def queue_disconnect(self) -> None:
        self.queued.put_nowait({"type": "http.disconnect"})

    @property
    def status(self) -> int:
        return int(self.sent[0]["status"])

    @property
    def headers(self) -> dict[bytes, bytes]:
        return dict(self.sent[0]["headers"])


def http(cls: str = "page", method: str = "GET", path: str | None = None, **changes: Any) -> Scope:
    headers = [(b"x-request-id", b"r1"), (b"x-class", cls.encode()), (b"x-deadline-ms", b"4000")]
    if method != "GET":
        headers.append((b"content-length", b"3"))
    path = path or f"/{cls}"
    return {
        "type": "http", "asgi": {"version": "3.0"}, "http_version": "1.1", "method": method, "path": path,
        "raw_path": path.encode(), "query_string": b"obj=7f", "root_path": "", "headers": headers, **changes,
    }  # fmt: skip


@contextlib.asynccontextmanager
async def open_middleware(
    *endpoints: Endpoint, **options: Any
) -> AsyncIterator[tuple[BalancerMiddleware, Client]]:
    """Run endpoints, an open client of them and a middleware that uses it."""
    async with contextlib.AsyncExitStack() as stack, asyncio.timeout(TEST_TIMEOUT_S):
        for endpoint in endpoints:
            await stack.enter_async_context(endpoint)
        members = [member(endpoint, f"s-{n}") for n, endpoint in enumerate(endpoints)]
        before = asyncio.all_tasks()
        async with Client.open(config(), members) as client:
            yield BalancerMiddleware(app, client, **options), client
        assert not client._assembly.upstream.connections
        leaked = {task for task in asyncio.all_tasks() - before if "testing" not in repr(task)}
        assert not leaked, "a task outlives the client"


def run(test: Any) -> None:
    asyncio.run(test)


# --- What is balanced --------------------------------------------------------------------


def test_requests_of_a_class_are_balanced_and_others_reach_the_app() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with open_middleware(endpoint) as (middleware, _):
            for path, body in (("/page", b"ok"), ("/pages", b"app /pages"), ("/", b"app /")):
                host = Host()
                host.queue_body()
                await middleware(http(path=path), host.receive, host.send)
                assert host.sent[1]["body"] == body
            (received,) = endpoint.requests
            assert received.start_line == "GET /page?obj=7f HTTP/1.1"

    run(main())


def test_the_prefix_is_required_and_not_forwarded() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with open_middleware(endpoint, prefix="/albums") as (middleware, _):
            for path, body in (
                ("/albums/page/7", b"ok"),
                ("/page", b"app /page"),
                ("/albumspage", b"app /albumspage"),
            ):
                host = Host()
                host.queue_body()
                await middleware(http(path=path), host.receive, host.send)
                assert host.sent[1]["body"] == body
            assert endpoint.requests[0].start_line == "GET /page/7?obj=7f HTTP/1.1"

    run(main())


@pytest.mark.parametrize("prefix", ["albums", "/albums/", "/"])
def test_an_invalid_prefix_raises(prefix: str) -> None:
    with pytest.raises(ValueError, match="invalid prefix"):
        BalancerMiddleware(app, Client.open(config()), prefix)


def test_a_scope_without_raw_path_and_with_http_2_is_balanced() -> None:
    """A request over HTTP/2 may have neither a length nor chunks."""

    async def main() -> None:
        endpoint = Endpoint()
        async with open_middleware(endpoint) as (middleware, _):
            host = Host()
            host.queue_body(b"a", more=True)
            host.queue_body(b"b")
            scope = http("pay", "POST", path="/pay", raw_path=None, http_version="2")
            scope["headers"] = scope["headers"][:-1]
            await middleware(scope, host.receive, host.send)
            assert host.status == 200 and endpoint.requests[0].body == b"ab"

    run(main())


def test_a_post_without_a_length_gets_411() -> None:
    async def main() -> None:
        async with open_middleware(Endpoint()) as (middleware, _):
            host = Host()
            scope = http("pay", "POST")
            scope["headers"] = scope["headers"][:-1]
            await middleware(scope, host.receive, host.send)
            assert host.status == 411 and host.headers[b"connection"] == b"close"

    run(main())


def test_websockets_and_the_lifespan_reach_the_app() -> None:
    async def main() -> None:
        events: list[str] = []

        async def socket(websocket: WebSocket) -> None:
            await websocket.accept()
            await websocket.send_text(f"hello {websocket.url.path}")
            await websocket.close()

        @contextlib.asynccontextmanager
        async def lifespan(app: Starlette) -> AsyncIterator[None]:
            events.append(f"start {client.state.value}")
            yield
            events.append(f"stop {client.state.value}")

        client = Client.open(config(), [])
        inner = Starlette(routes=[WebSocketRoute("/page", socket)], lifespan=lifespan)
        middleware = BalancerMiddleware(inner, client)
        async with serve_app(middleware):
            host = Host()
            host.queued.put_nowait({"type": "websocket.connect"})
            scope = {**http(), "type": "websocket", "subprotocols": [], "extensions": {}}
            await middleware(scope, host.receive, host.send)
            assert host.sent[1] == {"type": "websocket.send", "text": "hello /page"}
        assert events == ["start open", "stop closed"], (
            "the client opens before the app starts, and closes before it stops"
        )

    run(main())


# --- Bodies ------------------------------------------------------------------------------


def test_a_body_that_is_too_large_gets_413_and_is_not_read_completely() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with open_middleware(endpoint) as (middleware, client):
            host = Host()
            scope = http("pay", "POST")
            scope["headers"][-1] = (b"content-length", b"62914560")
            await middleware(scope, host.receive, host.send)
            assert host.status == 413 and host.receive_count == 0, "rejected by its declared length"
            host = Host()
            scope["headers"][-1] = (b"transfer-encoding", b"chunked")
            for _ in range(10):
                host.queue_body(b"x" * 20_000, more=True)
            await middleware(scope, host.receive, host.send)
            assert host.status == 413 and host.receive_count == 4, "rejected once too much was read"
            assert not endpoint.requests and is_idle(client)

    run(main())


def test_a_body_that_comes_too_slowly_gets_408() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with open_middleware(endpoint, read_s=0.01) as (middleware, client):
            host = Host()
            host.queue_body(b"a", more=True)
            await middleware(http("pay", "POST"), host.receive, host.send)
            assert host.status == 408 and not endpoint.requests and is_idle(client)

    run(main())


def test_an_incomplete_request_of_a_disconnected_client_is_not_sent() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with open_middleware(endpoint) as (middleware, client):
            host = Host()
            host.queue_body(b"a", more=True)
            host.queue_disconnect()
            await middleware(http("pay", "POST"), host.receive, host.send)
            assert not host.sent and not endpoint.requests and client.engine.last_call_id == 0

    run(main())


# --- Disconnects --------------------------------------------------------------------------


@pytest.mark.parametrize("how", ["disconnect", "cancel"])
def test_an_order_whose_client_disconnects_ends_as_cancelled(how: str) -> None:
    async def main() -> None:
        endpoint = Endpoint(stall())
        async with open_middleware(endpoint) as (middleware, client):
            outcomes = record_outcomes(client.engine)
            host = Host()
            host.queue_body(b"sum")
            task = asyncio.create_task(middleware(http("pay", "POST"), host.receive, host.send))
            await endpoint.arrived.acquire()
            if how == "cancel":
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
                assert task.cancelled()
            else:
                host.queue_disconnect()
                await task
            assert [(outcome.outcome, outcome.is_final) for outcome in outcomes] == [(CANCELLED, True)]
            await endpoint.closed.acquire()
            assert not host.sent and is_idle(client) and len(endpoint.requests) == 1

    run(main())


def test_a_client_that_disconnects_as_its_answer_arrives_gets_at_most_one() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        endpoint = Endpoint(after(gate, serve()))
        async with open_middleware(endpoint) as (middleware, client):
            host = Host()
            host.queue_body(b"sum")
            task = asyncio.create_task(middleware(http("pay", "POST"), host.receive, host.send))
            await endpoint.arrived.acquire()
            (exchange,) = client._exchanges
            gate.set()
            while not exchange.final_reply.done():
                await asyncio.sleep(0)
            host.queue_disconnect()
            await task
            assert [message["type"] for message in host.sent] in (
                [],
                ["http.response.start", "http.response.body"],
            )
            assert is_idle(client) and len(endpoint.requests) == 1

    run(main())


def test_a_host_that_blocks_in_send_delays_neither_the_endpoint_nor_close() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        blocked = asyncio.Event()

        async def block(message: Message) -> None:
            blocked.set()
            await asyncio.Event().wait()

        async with open_middleware(endpoint) as (middleware, client):
            host = Host()
            host.queue_body()
            task = asyncio.create_task(middleware(http(), host.receive, block))
            await blocked.wait()
            assert is_idle(client) and len(client._assembly.upstream.idle_connections.waiting_since) == 1
            await client.close()
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    run(main())


def test_an_os_error_in_send_is_taken_as_a_disconnect() -> None:
    async def main() -> None:
        async def fail(message: Message) -> None:
            raise OSError("disconnected")

        async with open_middleware(Endpoint()) as (middleware, client):
            host = Host()
            host.queue_body()
            await middleware(http(), host.receive, fail)
            assert is_idle(client)

    run(main())


def test_a_host_that_repeats_the_body_causes_no_busy_loop() -> None:
    """`receive` should wait for the disconnect; some hosts return an empty body again."""

    async def main() -> None:
        gate = asyncio.Event()
        endpoint = Endpoint(after(gate, serve()))
        async with open_middleware(endpoint) as (middleware, _):
            receive_count = 0

            async def receive() -> Message:
                nonlocal receive_count
                receive_count += 1
                return {"type": "http.request", "body": b"", "more_body": False}

            host = Host()
            task = asyncio.create_task(middleware(http(), receive, host.send))
            await endpoint.arrived.acquire()
            gate.set()
            await task
            assert host.status == 200 and receive_count == 2

    run(main())


# --- The app and the lifespan ---------------------------------------------------------------


def test_exceptions_of_the_app_reach_the_host() -> None:
    async def main() -> None:
        async def broken(scope: Scope, receive: Receive, send: Send) -> None:
            raise RuntimeError("of the app")

        async with open_middleware(Endpoint()) as (_, client):
            middleware = BalancerMiddleware(broken, client)
            host = Host()
            with pytest.raises(RuntimeError, match="of the app"):
                await middleware(http(path="/other"), host.receive, host.send)
            host.queue_body()
            await middleware(http(), host.receive, host.send)
            assert host.status == 200 and is_idle(client)

    run(main())


def test_a_client_that_is_not_open_answers_503() -> None:
    async def main() -> None:
        middleware = BalancerMiddleware(app, Client.open(config(), []))
        host = Host()
        await middleware(http("pay", "POST"), host.receive, host.send)
        assert host.status == 503 and host.headers[b"connection"] == b"close"

    run(main())


async def run_lifespan(middleware: BalancerMiddleware, *types: str) -> list[Message]:
    """Send lifespan messages of these types; return what the middleware sent."""
    host = Host()
    for type_ in types:
        host.queued.put_nowait({"type": f"lifespan.{type_}"})
    await middleware({"type": "lifespan", "asgi": {"version": "3.0"}}, host.receive, host.send)
    return host.sent


def test_the_lifespan_of_an_app_without_one_is_answered() -> None:
    async def main() -> None:
        client = Client.open(config(), [])
        sent = await run_lifespan(BalancerMiddleware(app, client), "startup", "shutdown")
        assert [message["type"] for message in sent] == [
            "lifespan.startup.complete",
            "lifespan.shutdown.complete",
        ]
        assert client.state is ClientState.CLOSED

    run(main())


def test_a_client_that_can_not_be_opened_fails_the_start_once() -> None:
    async def main() -> None:
        for inner in (app, Starlette()):
            client = Client.open(config(), [Member("s-1", "nowhere")])
            sent = await run_lifespan(BalancerMiddleware(inner, client), "startup")
            assert [message["type"] for message in sent] == ["lifespan.startup.failed"]
            assert "malformed address" in sent[0]["message"] and client.state is ClientState.NEW

    run(main())


def test_an_app_that_fails_its_start_closes_the_client() -> None:
    async def main() -> None:
        @contextlib.asynccontextmanager
        async def broken(app: Starlette) -> AsyncIterator[None]:
            raise RuntimeError("no database")
            yield

        client = Client.open(config(), [])
        middleware = BalancerMiddleware(Starlette(lifespan=broken), client)
        with pytest.raises(RuntimeError, match="no database"):
            await run_lifespan(middleware, "startup")
        assert client.state is ClientState.CLOSED

    run(main())


def test_a_client_that_was_open_before_is_left_open() -> None:
    async def main() -> None:
        async with Client.open(config(), []) as client:
            await run_lifespan(BalancerMiddleware(app, client), "startup", "shutdown")
            assert client.state is ClientState.OPEN

    run(main())


def test_the_shutdown_finishes_open_requests() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        async with Endpoint(after(gate, serve(b"late"))) as endpoint:
            client = Client.open(config(), [member(endpoint)])
            middleware = BalancerMiddleware(app, client)
            lifespan_host = Host()
            lifespan_host.queued.put_nowait({"type": "lifespan.startup"})
            scope = {"type": "lifespan", "asgi": {"version": "3.0"}}
            lifespan_task = asyncio.create_task(middleware(scope, lifespan_host.receive, lifespan_host.send))
            while not lifespan_host.sent:
                await asyncio.sleep(0)
            host = Host()
            host.queue_body(b"sum")
            request_task = asyncio.create_task(middleware(http("pay", "POST"), host.receive, host.send))
            await endpoint.arrived.acquire()
            lifespan_host.queued.put_nowait({"type": "lifespan.shutdown"})
            while client.state is not ClientState.CLOSING:
                await asyncio.sleep(0)
            late = Host()
            await middleware(http(), late.receive, late.send)
            assert late.status == 503 and len(lifespan_host.sent) == 1
            gate.set()
            await asyncio.gather(request_task, lifespan_task)
            assert host.sent[1]["body"] == b"late" and host.headers[b"connection"] == b"close"
            assert lifespan_host.sent[1]["type"] == "lifespan.shutdown.complete"

    run(main())


def test_a_client_used_from_another_threads_event_loop_answers_503() -> None:
    """The client stays usable on its own loop."""

    async def main() -> None:
        async with open_middleware(Endpoint()) as (middleware, client):
            statuses: list[int] = []

            def run_other_loop() -> None:
                async def use() -> None:
                    host = Host()
                    await middleware(http(), host.receive, host.send)
                    statuses.append(host.status)

                asyncio.run(use())

            thread = threading.Thread(target=run_other_loop)
            thread.start()
            thread.join()
            assert statuses == [503] and client.state is ClientState.OPEN
            with pytest.raises(ClientError):
                await asyncio.to_thread(lambda: asyncio.run(client.close()))

    run(main())


def test_the_middleware_works_in_a_starlette_app_with_routes() -> None:
    """On sockets, with a prefix beside the app's routes."""

    async def main() -> None:
        async def home(request: HttpRequest) -> PlainTextResponse:
            return PlainTextResponse("kiosk")

        async with Endpoint() as endpoint, asyncio.timeout(TEST_TIMEOUT_S):
            client = Client.open(config(), [member(endpoint)])
            inner = Starlette(
                routes=[Mount("/inner", routes=[Route("/", home)]), Route("/", home)],
                middleware=[Middleware(BalancerMiddleware, client=client, prefix="/albums")],
            )
            async with serve_app(inner) as (_, port):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                for raw, body in (
                    (b"GET / HTTP/1.1\r\nHost: x\r\n\r\n", b"kiosk"),
                    (request("pay", b"sum").replace(b" /pay", b" /albums/pay"), b"ok"),
                    (b"GET /inner/ HTTP/1.1\r\nHost: x\r\n\r\n", b"kiosk"),
                ):
                    writer.write(raw)
                    assert (await read_message(reader)).body == body
                writer.close()
            assert client.state is ClientState.CLOSED

    run(main())


def test_a_request_is_freed_without_the_garbage_collector() -> None:
    async def main() -> None:
        endpoint = Endpoint(stall())
        async with open_middleware(endpoint) as (middleware, _):
            gc.collect()
            gc.disable()
            try:
                host = Host()
                host.queue_body(b"sum")
                task = asyncio.create_task(middleware(http("pay", "POST"), host.receive, host.send))
                await endpoint.arrived.acquire()
                host.queue_disconnect()
                await task
                del task
                assert not any(type(value) is Exchange for value in gc.get_objects())
            finally:
                gc.enable()

    run(main())
