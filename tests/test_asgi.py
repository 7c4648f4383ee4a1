"""The middleware: what is balanced, what reaches the app, and hosts that misbehave."""

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
    """Says what reached it."""
    if scope["type"] == "http":
        await send({"type": "http.response.start", "status": 200, "headers": []})
        await send({"type": "http.response.body", "body": f"app {scope['path']}".encode()})
        return
    raise NotImplementedError(scope["type"])


@dataclass
class Host:
    """A host server that does what the test says, one request at a time."""

    sent: list[Message] = field(default_factory=list)
    told: asyncio.Queue[Message] = field(default_factory=asyncio.Queue)
    waits: int = 0  # how often `receive` was awaited

    async def receive(self) -> Message:
        self.waits += 1
        return await self.told.get()

    async def send(self, message: Message) -> None:
        self.sent.append(message)

    def body(self, part: bytes = b"", more: bool = False) -> None:
        self.told.put_nowait({"type": "http.request", "body": part, "more_body": more})

    def disconnect(self) -> None:
        self.told.put_nowait({"type": "http.disconnect"})

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
async def wrapped(*endpoints: Endpoint, **options: Any) -> AsyncIterator[tuple[BalancerMiddleware, Client]]:
    async with contextlib.AsyncExitStack() as stack, asyncio.timeout(TEST_TIMEOUT_S):
        for endpoint in endpoints:
            await stack.enter_async_context(endpoint)
        members = [member(one, f"s-{n}") for n, one in enumerate(endpoints)]
        before = asyncio.all_tasks()
        async with Client.open(config(), members) as client:
            yield BalancerMiddleware(app, client, **options), client
        assert not client._assembly.upstream.connections
        left = {one for one in asyncio.all_tasks() - before if "testing" not in repr(one)}
        assert not left, "no task is left behind"


def run(test: Any) -> None:
    asyncio.run(test)


# --- What is balanced --------------------------------------------------------------------


def test_a_class_is_balanced_and_all_else_is_the_apps() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with wrapped(endpoint) as (middleware, _):
            for path, body in (("/page", b"ok"), ("/pages", b"app /pages"), ("/", b"app /")):
                host = Host()
                host.body()
                await middleware(http(path=path), host.receive, host.send)
                assert host.sent[1]["body"] == body
            (got,) = endpoint.requests
            assert got.start_line == "GET /page?obj=7f HTTP/1.1"

    run(main())


def test_the_prefix_is_the_hosts_own_and_is_not_passed_on() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with wrapped(endpoint, prefix="/albums") as (middleware, _):
            for path, body in (
                ("/albums/page/7", b"ok"),
                ("/page", b"app /page"),
                ("/albumspage", b"app /albumspage"),
            ):
                host = Host()
                host.body()
                await middleware(http(path=path), host.receive, host.send)
                assert host.sent[1]["body"] == body
            assert endpoint.requests[0].start_line == "GET /page/7?obj=7f HTTP/1.1"

    run(main())


@pytest.mark.parametrize("prefix", ["albums", "/albums/", "/"])
def test_a_prefix_that_is_no_path_is_an_error(prefix: str) -> None:
    with pytest.raises(ValueError, match="invalid prefix"):
        BalancerMiddleware(app, Client.open(config()), prefix)


def test_a_host_without_raw_paths_or_with_frames_of_its_own_is_served() -> None:
    """HTTP/2 hosts have neither a length nor chunks to tell of."""

    async def main() -> None:
        endpoint = Endpoint()
        async with wrapped(endpoint) as (middleware, _):
            host = Host()
            host.body(b"a", more=True)
            host.body(b"b")
            scope = http("pay", "POST", path="/pay", raw_path=None, http_version="2")
            scope["headers"] = scope["headers"][:-1]
            await middleware(scope, host.receive, host.send)
            assert host.status == 200 and endpoint.requests[0].body == b"ab"

    run(main())


def test_a_post_that_tells_no_length_gets_411() -> None:
    async def main() -> None:
        async with wrapped(Endpoint()) as (middleware, _):
            host = Host()
            scope = http("pay", "POST")
            scope["headers"] = scope["headers"][:-1]
            await middleware(scope, host.receive, host.send)
            assert host.status == 411 and host.headers[b"connection"] == b"close"

    run(main())


def test_websockets_and_the_apps_own_lifespan_are_untouched() -> None:
    async def main() -> None:
        went: list[str] = []

        async def socket(websocket: WebSocket) -> None:
            await websocket.accept()
            await websocket.send_text(f"hello {websocket.url.path}")
            await websocket.close()

        @contextlib.asynccontextmanager
        async def lifespan(of: Starlette) -> AsyncIterator[None]:
            went.append(f"start {client.state.value}")
            yield
            went.append(f"stop {client.state.value}")

        client = Client.open(config(), [])
        inner = Starlette(routes=[WebSocketRoute("/page", socket)], lifespan=lifespan)
        middleware = BalancerMiddleware(inner, client)
        async with serve_app(middleware):
            host = Host()
            host.told.put_nowait({"type": "websocket.connect"})
            scope = {**http(), "type": "websocket", "subprotocols": [], "extensions": {}}
            await middleware(scope, host.receive, host.send)
            assert host.sent[1] == {"type": "websocket.send", "text": "hello /page"}
        assert went == ["start open", "stop closed"], "opened before the app, closed before it, drained"

    run(main())


# --- Bodies ------------------------------------------------------------------------------


def test_a_body_too_large_gets_413_without_being_read_whole() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with wrapped(endpoint) as (middleware, client):
            host = Host()
            scope = http("pay", "POST")
            scope["headers"][-1] = (b"content-length", b"62914560")
            await middleware(scope, host.receive, host.send)
            assert host.status == 413 and host.waits == 0, "judged by what it declares"
            host = Host()
            scope["headers"][-1] = (b"transfer-encoding", b"chunked")
            for _ in range(10):
                host.body(b"x" * 20_000, more=True)
            await middleware(scope, host.receive, host.send)
            assert host.status == 413 and host.waits == 4, "or once it is too large"
            assert not endpoint.requests and is_idle(client)

    run(main())


def test_a_body_that_comes_too_slowly_gets_408() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with wrapped(endpoint, read_s=0.01) as (middleware, client):
            host = Host()
            host.body(b"a", more=True)
            await middleware(http("pay", "POST"), host.receive, host.send)
            assert host.status == 408 and not endpoint.requests and is_idle(client)

    run(main())


def test_one_that_leaves_before_its_request_is_whole_was_not_taken() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        async with wrapped(endpoint) as (middleware, client):
            host = Host()
            host.body(b"a", more=True)
            host.disconnect()
            await middleware(http("pay", "POST"), host.receive, host.send)
            assert not host.sent and not endpoint.requests and client.engine.next_id == 0

    run(main())


# --- Those that leave ---------------------------------------------------------------------


@pytest.mark.parametrize("how", ["disconnect", "cancel"])
def test_an_order_whose_client_leaves_ends_as_gone(how: str) -> None:
    async def main() -> None:
        endpoint = Endpoint(stall())
        async with wrapped(endpoint) as (middleware, client):
            told = record_outcomes(client.engine)
            host = Host()
            host.body(b"sum")
            task = asyncio.create_task(middleware(http("pay", "POST"), host.receive, host.send))
            await endpoint.arrived.acquire()
            if how == "cancel":
                task.cancel()
                with contextlib.suppress(asyncio.CancelledError):
                    await task
                assert task.cancelled()
            else:
                host.disconnect()
                await task
            assert [(one.outcome, one.is_final) for one in told] == [(CANCELLED, True)]
            await endpoint.closed.acquire()
            assert not host.sent and is_idle(client) and len(endpoint.requests) == 1

    run(main())


def test_one_that_leaves_as_its_answer_comes_gets_one_answer() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        endpoint = Endpoint(after(gate, serve()))
        async with wrapped(endpoint) as (middleware, client):
            host = Host()
            host.body(b"sum")
            task = asyncio.create_task(middleware(http("pay", "POST"), host.receive, host.send))
            await endpoint.arrived.acquire()
            (exchange,) = client._exchanges
            gate.set()
            while not exchange.final_reply.done():
                await asyncio.sleep(0)
            host.disconnect()
            await task
            assert [one["type"] for one in host.sent] in ([], ["http.response.start", "http.response.body"])
            assert is_idle(client) and len(endpoint.requests) == 1

    run(main())


def test_a_host_that_never_reads_holds_up_neither_the_endpoint_nor_the_close() -> None:
    async def main() -> None:
        endpoint = Endpoint()
        stuck = asyncio.Event()

        async def never(message: Message) -> None:
            stuck.set()
            await asyncio.Event().wait()

        async with wrapped(endpoint) as (middleware, client):
            host = Host()
            host.body()
            task = asyncio.create_task(middleware(http(), host.receive, never))
            await stuck.wait()
            assert is_idle(client) and len(client._assembly.upstream.idle_connections.waiting_since) == 1
            await client.close()
            task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await task

    run(main())


def test_a_host_that_says_that_the_client_left_when_it_is_written_to() -> None:
    async def main() -> None:
        async def broken(message: Message) -> None:
            raise OSError("gone")

        async with wrapped(Endpoint()) as (middleware, client):
            host = Host()
            host.body()
            await middleware(http(), host.receive, broken)
            assert is_idle(client)

    run(main())


def test_a_host_that_repeats_the_body_does_not_spin() -> None:
    """`receive` should wait for the disconnect; some give an empty body again."""

    async def main() -> None:
        gate = asyncio.Event()
        endpoint = Endpoint(after(gate, serve()))
        async with wrapped(endpoint) as (middleware, _):
            waits = 0

            async def receive() -> Message:
                nonlocal waits
                waits += 1
                return {"type": "http.request", "body": b"", "more_body": False}

            host = Host()
            task = asyncio.create_task(middleware(http(), receive, host.send))
            await endpoint.arrived.acquire()
            gate.set()
            await task
            assert host.status == 200 and waits == 2

    run(main())


# --- The app and the life of the client -----------------------------------------------------


def test_exceptions_of_the_app_are_the_hosts() -> None:
    async def main() -> None:
        async def broken(scope: Scope, receive: Receive, send: Send) -> None:
            raise RuntimeError("of the app")

        async with wrapped(Endpoint()) as (_, client):
            middleware = BalancerMiddleware(broken, client)
            host = Host()
            with pytest.raises(RuntimeError, match="of the app"):
                await middleware(http(path="/other"), host.receive, host.send)
            host.body()
            await middleware(http(), host.receive, host.send)
            assert host.status == 200 and is_idle(client)

    run(main())


def test_a_client_that_is_not_open_refuses_without_harm() -> None:
    async def main() -> None:
        middleware = BalancerMiddleware(app, Client.open(config(), []))
        host = Host()
        await middleware(http("pay", "POST"), host.receive, host.send)
        assert host.status == 503 and host.headers[b"connection"] == b"close"

    run(main())


async def lifespan(of: BalancerMiddleware, *types: str) -> list[Message]:
    host = Host()
    for one in types:
        host.told.put_nowait({"type": f"lifespan.{one}"})
    await of({"type": "lifespan", "asgi": {"version": "3.0"}}, host.receive, host.send)
    return host.sent


def test_an_app_without_a_lifespan_is_spoken_for() -> None:
    async def main() -> None:
        client = Client.open(config(), [])
        sent = await lifespan(BalancerMiddleware(app, client), "startup", "shutdown")
        assert [one["type"] for one in sent] == ["lifespan.startup.complete", "lifespan.shutdown.complete"]
        assert client.state is ClientState.CLOSED

    run(main())


def test_a_client_that_can_not_open_fails_the_start_once() -> None:
    async def main() -> None:
        for inner in (app, Starlette()):
            client = Client.open(config(), [Member("s-1", "nowhere")])
            sent = await lifespan(BalancerMiddleware(inner, client), "startup")
            assert [one["type"] for one in sent] == ["lifespan.startup.failed"]
            assert "malformed address" in sent[0]["message"] and client.state is ClientState.NEW

    run(main())


def test_an_app_that_fails_its_start_closes_the_client() -> None:
    async def main() -> None:
        @contextlib.asynccontextmanager
        async def broken(of: Starlette) -> AsyncIterator[None]:
            raise RuntimeError("no database")
            yield

        client = Client.open(config(), [])
        middleware = BalancerMiddleware(Starlette(lifespan=broken), client)
        with pytest.raises(RuntimeError, match="no database"):
            await lifespan(middleware, "startup")
        assert client.state is ClientState.CLOSED

    run(main())


def test_a_client_that_is_open_already_is_left_to_its_owner() -> None:
    async def main() -> None:
        async with Client.open(config(), []) as client:
            await lifespan(BalancerMiddleware(app, client), "startup", "shutdown")
            assert client.state is ClientState.OPEN

    run(main())


def test_the_hosts_shutdown_drains_what_was_taken() -> None:
    async def main() -> None:
        gate = asyncio.Event()
        async with Endpoint(after(gate, serve(b"late"))) as endpoint:
            client = Client.open(config(), [member(endpoint)])
            middleware = BalancerMiddleware(app, client)
            life = Host()
            life.told.put_nowait({"type": "lifespan.startup"})
            scope = {"type": "lifespan", "asgi": {"version": "3.0"}}
            living = asyncio.create_task(middleware(scope, life.receive, life.send))
            while not life.sent:
                await asyncio.sleep(0)
            host = Host()
            host.body(b"sum")
            asked = asyncio.create_task(middleware(http("pay", "POST"), host.receive, host.send))
            await endpoint.arrived.acquire()
            life.told.put_nowait({"type": "lifespan.shutdown"})
            while client.state is not ClientState.CLOSING:
                await asyncio.sleep(0)
            late = Host()
            await middleware(http(), late.receive, late.send)
            assert late.status == 503 and len(life.sent) == 1
            gate.set()
            await asyncio.gather(asked, living)
            assert host.sent[1]["body"] == b"late" and host.headers[b"connection"] == b"close"
            assert life.sent[1]["type"] == "lifespan.shutdown.complete"

    run(main())


def test_a_host_with_a_loop_of_its_own_for_each_thread_has_a_client_for_each() -> None:
    """A client of one loop, used from another, answers 503 and harms nothing."""

    async def main() -> None:
        async with wrapped(Endpoint()) as (middleware, client):
            seen: list[int] = []

            def other() -> None:
                async def use() -> None:
                    host = Host()
                    await middleware(http(), host.receive, host.send)
                    seen.append(host.status)

                asyncio.run(use())

            thread = threading.Thread(target=other)
            thread.start()
            thread.join()
            assert seen == [503] and client.state is ClientState.OPEN
            with pytest.raises(ClientError):
                await asyncio.to_thread(lambda: asyncio.run(client.close()))

    run(main())


def test_it_stands_in_a_starlette_app_beside_its_routes() -> None:
    """As the kiosk would use it, on sockets."""

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


def test_a_request_is_freed_without_the_collector() -> None:
    async def main() -> None:
        endpoint = Endpoint(stall())
        async with wrapped(endpoint) as (middleware, _):
            gc.collect()
            gc.disable()
            try:
                host = Host()
                host.body(b"sum")
                task = asyncio.create_task(middleware(http("pay", "POST"), host.receive, host.send))
                await endpoint.arrived.acquire()
                host.disconnect()
                await task
                del task
                assert not any(type(one) is Exchange for one in gc.get_objects())
            finally:
                gc.enable()

    run(main())
