"""ASGI 3 middleware: balances requests of a known class, and passes all others to the app.

Requests are validated as by the daemon (`laurelstep.net.request`). Parsing of heads, connections
and their limits, and signals are left to the host server.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any
from urllib.parse import quote

from laurelstep.balancing.events import SAFE
from laurelstep.engine.call import Headers
from laurelstep.library.client import Client, ClientError, ClientState, Exchange, Reply
from laurelstep.net.errors import BadRequestError
from laurelstep.net.message import MAX_BUFFERED_BODY_BYTES, OWS, REQUEST_TIMEOUT_S
from laurelstep.settings import ConfigError

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

logger = logging.getLogger("laurelstep")


class BalancerMiddleware:
    """Wraps an app: `app = BalancerMiddleware(app, Client.open(config), prefix="/albums")`.

    A request whose path has a class's name as its first part after the prefix goes through the client; the
    prefix is not forwarded. All else, websocket scopes too, reaches the app unchanged. The lifespan opens
    the client before the app starts, and closes it gracefully before the app stops; a client that was open
    before is left open. A body must arrive within `read_s` seconds.
    """

    def __init__(self, app: App, client: Client, prefix: str = "", read_s: float = REQUEST_TIMEOUT_S) -> None:
        """Raises ValueError if the prefix is neither empty nor a path without a final slash."""
        if prefix and (not prefix.startswith("/") or prefix.endswith("/")):
            raise ValueError(f"invalid prefix: {prefix!r}")
        self.app = app
        self.client = client
        self.prefix = prefix
        self.read_s = read_s

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Serve one ASGI scope: balance requests under the prefix, and pass the others to the app."""
        if scope["type"] == "lifespan":
            await ClientLifespan(self.app, self.client, scope, receive, send).run()
        elif scope["type"] == "http" and self._is_balanced(scope["path"]):
            await self._balance(scope, receive, send)
        else:
            await self.app(scope, receive, send)

    def _is_balanced(self, path: str) -> bool:
        if not path.startswith(self.prefix + "/"):
            return False
        class_name = path[len(self.prefix) + 1 :].partition("/")[0]
        return class_name in self.client.config.names.classes

    def _target(self, scope: Scope) -> bytes:
        """Return path and query as they were sent, without the prefix."""
        raw: bytes | None = scope.get("raw_path")
        path = raw.partition(b"?")[0] if raw else quote(scope["path"], safe="/:@!$&'()*+,;=~-._").encode()
        path = path.removeprefix(self.prefix.encode())
        query: bytes = scope.get("query_string", b"")
        return path + b"?" + query if query else path

    async def _balance(self, scope: Scope, receive: Receive, send: Send) -> None:
        exchange: Exchange | None = None
        try:
            self.client.require_open()
            exchange = Exchange(
                self.client, scope["method"].encode(), self._target(scope), _request_headers(scope)
            )
            body = await self._read_body(receive, exchange)
            if body is None:
                return  # the client disconnected before its request was complete: nothing was sent
            reply = await self._run_exchange(exchange, body, receive)
        except BadRequestError as error:
            await _write(send, error.status, f"{error}\n".encode(), [_PLAIN_TEXT, _CONNECTION_CLOSE])
        except ClientError as error:
            # Nothing was sent, so a retry is harmless.
            await _write(send, 503, f"{error}\n".encode(), [_PLAIN_TEXT, _CONNECTION_CLOSE])
        else:
            if reply is not None:
                await _write_reply(send, reply, self.client.state is not ClientState.OPEN)
        finally:
            if exchange is not None:
                exchange.abandon()

    async def _read_body(self, receive: Receive, exchange: Exchange) -> bytes | None:
        """Return the complete body, or None if the client disconnected.

        Raises `BadRequestError` if it is too large, too late, or not allowed.
        """
        parts: list[bytes] = []
        size = 0
        try:
            async with asyncio.timeout(self.read_s):
                while True:
                    message = await receive()
                    if message["type"] == "http.disconnect":
                        return None
                    part: bytes = message.get("body", b"")
                    size += len(part)
                    if size > MAX_BUFFERED_BODY_BYTES:
                        raise BadRequestError(413, "the body is too large")
                    parts.append(part)
                    if not message.get("more_body", False):
                        break
        except TimeoutError:
            raise BadRequestError(408, "the request came too slowly") from None
        if size and exchange.rules.effect == SAFE:
            raise BadRequestError(400, "a GET has no body")
        return b"".join(parts)

    async def _run_exchange(self, exchange: Exchange, body: bytes, receive: Receive) -> Reply | None:
        watch = asyncio.get_running_loop().create_task(_abandon_on_disconnect(receive, exchange))
        try:
            return await exchange.run(body)
        finally:
            watch.cancel()
            # Guards the host against a task that outlives its request.
            await asyncio.wait((watch,))


async def _abandon_on_disconnect(receive: Receive, exchange: Exchange) -> None:
    """Abandon the exchange on the message that follows the body, if the client has disconnected."""
    message = await receive()
    if message["type"] == "http.disconnect":
        exchange.abandon()


_PLAIN_TEXT = (b"content-type", b"text/plain")
_CONNECTION_CLOSE = (b"connection", b"close")


def _request_headers(scope: Scope) -> Headers:
    headers = [(bytes(name), bytes(value).strip(OWS)) for name, value in scope["headers"]]
    is_framed = any(name in (b"content-length", b"transfer-encoding") for name, _ in headers)
    if not is_framed and scope.get("http_version", "1.1")[0] in "23" and scope["method"] != "GET":
        # HTTP/2 and HTTP/3 frame the body themselves: as with chunks, its size is known only at its end.
        headers.append((b"transfer-encoding", b"chunked"))
    return headers


async def _write_reply(send: Send, reply: Reply, closes_connection: bool) -> None:
    headers = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in reply.headers]
    if reply.retry_after_s is not None:
        headers.append((b"retry-after", b"%.3f" % reply.retry_after_s))
    if closes_connection:
        headers.append(_CONNECTION_CLOSE)
    await _write(send, reply.status, reply.body, headers)


async def _write(send: Send, status: int, body: bytes, headers: Headers) -> None:
    headers = [(b"content-length", b"%d" % len(body)), *headers]
    try:
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})
    except OSError:
        # Some hosts report a client's disconnect like this; the request was answered nevertheless.
        logger.debug("a client disconnected before its answer was written")


class ClientLifespan:
    """Handles the host's lifespan: the client opens before the app and closes before it.

    The app's lifespan runs in between. For an app that has none (it raises, or returns, before it answers)
    the host is answered here, so that the client is opened and closed nevertheless.
    """

    def __init__(self, app: App, client: Client, scope: Scope, receive: Receive, send: Send) -> None:
        self.app = app
        self.client = client
        self.scope = scope
        self.receive = receive
        self.send = send
        self.owns_client = False  # the client was opened by this lifespan
        self.start_failed = False  # the client could not be opened, and the host was told so
        self.has_answered = False  # the host was sent an answer
        self.is_over = False  # the host was sent its last answer
        self.pending: Message | None = None  # received and not yet answered

    async def run(self) -> None:
        """Run the lifespan to its end. An error that the app raises after its answer propagates."""
        try:
            await self.app(self.scope, self._receive, self._send)
        except Exception:
            if self.has_answered and not self.start_failed:
                raise
            logger.debug("the app does not handle the lifespan")
        try:
            while not self.is_over:
                message = self.pending or await self._receive()
                await self._send({"type": f"{message['type']}.complete"})
        except ConfigError:
            logger.error("the lifespan ended: the client could not be opened")
        finally:
            await self._close()

    async def _receive(self) -> Message:
        self.pending = message = await self.receive()
        if message["type"] == "lifespan.startup" and self.client.state in (
            ClientState.NEW,
            ClientState.CLOSED,
        ):
            try:
                await self.client.start()
                self.owns_client = True
            except ConfigError as error:
                await self._send({"type": "lifespan.startup.failed", "message": str(error)})
                self.start_failed = True
                raise
        elif message["type"] == "lifespan.shutdown":
            await self._close()
        return message

    async def _send(self, message: Message) -> None:
        if self.start_failed:
            return  # guards the host against an app that reports the same failure again
        self.has_answered = True
        self.pending = None
        self.is_over = message["type"] != "lifespan.startup.complete"
        if self.is_over:
            await self._close()
        await self.send(message)

    async def _close(self) -> None:
        if self.owns_client:
            await self.client.close()
