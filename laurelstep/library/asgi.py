"""ASGI 3 middleware: requests of a known class are balanced, all else is the host's.

The same judgement as the daemon's (`laurelstep.net.request`); what belongs to the host
server is left to it: reading heads, connections, their limits, and its own signals.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Awaitable, Callable, MutableMapping
from typing import Any
from urllib.parse import quote

from laurelstep.engine.call import Headers
from laurelstep.interface import SAFE
from laurelstep.library.client import Client, ClientError, Exchange, Reply, State
from laurelstep.net.errors import BadRequestError
from laurelstep.net.message import BODY_MAX, OWS, READ_S
from laurelstep.settings import ConfigError

Scope = MutableMapping[str, Any]
Message = MutableMapping[str, Any]
Receive = Callable[[], Awaitable[Message]]
Send = Callable[[Message], Awaitable[None]]
App = Callable[[Scope, Receive, Send], Awaitable[None]]

logger = logging.getLogger("laurelstep")


class BalancerMiddleware:
    """Wrap an app: `app = BalancerMiddleware(app, Client.open(config), prefix="/albums")`.

    A request whose path's first part, behind the prefix, names a class goes through the
    client; the prefix is not passed on. Everything else, websocket scopes too, reaches the
    app untouched. The lifespan opens the client before the app starts and closes it,
    draining first, before the app stops; a client that is open already is left to its
    owner. `read_s` bounds how long a body may take to come.
    """

    def __init__(self, app: App, client: Client, prefix: str = "", read_s: float = READ_S) -> None:
        """ValueError if the prefix is neither empty nor a path without an end slash."""
        if prefix and (not prefix.startswith("/") or prefix.endswith("/")):
            raise ValueError(f"no prefix: {prefix!r}")
        self.app = app
        self.client = client
        self.prefix = prefix
        self.read_s = read_s

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        if scope["type"] == "lifespan":
            await Lifespan(self.app, self.client, scope, receive, send).run()
        elif scope["type"] == "http" and self._is_ours(scope["path"]):
            await self._balance(scope, receive, send)
        else:
            await self.app(scope, receive, send)

    def _is_ours(self, path: str) -> bool:
        if not path.startswith(self.prefix + "/"):
            return False
        first = path[len(self.prefix) + 1 :].partition("/")[0]
        return first in self.client.config.names.classes

    def _target(self, scope: Scope) -> bytes:
        """Path and query as they came, without the prefix."""
        raw: bytes | None = scope.get("raw_path")
        path = raw.partition(b"?")[0] if raw else quote(scope["path"], safe="/:@!$&'()*+,;=~-._").encode()
        path = path.removeprefix(self.prefix.encode())
        query: bytes = scope.get("query_string", b"")
        return path + b"?" + query if query else path

    async def _balance(self, scope: Scope, receive: Receive, send: Send) -> None:
        exchange: Exchange | None = None
        try:
            self.client.usable()
            exchange = Exchange(self.client, scope["method"].encode(), self._target(scope), _head(scope))
            body = await self._body(receive, exchange)
            if body is None:
                return  # it left before its request was whole: nothing was taken
            reply = await self._reply(exchange, body, receive)
        except BadRequestError as error:
            await _write(send, error.status, f"{error}\n".encode(), [_PLAIN, _CLOSE])
        except ClientError as error:
            # It was not taken, so a retry is harmless.
            await _write(send, 503, f"{error}\n".encode(), [_PLAIN, _CLOSE])
        else:
            if reply is not None:
                await _write_reply(send, reply, self.client.state is not State.OPEN)
        finally:
            if exchange is not None:
                exchange.leave()

    async def _body(self, receive: Receive, exchange: Exchange) -> bytes | None:
        """The whole body, or None if the client left."""
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
                    if size > BODY_MAX:
                        raise BadRequestError(413, "the body is too large")
                    parts.append(part)
                    if not message.get("more_body", False):
                        break
        except TimeoutError:
            raise BadRequestError(408, "the request came too slowly") from None
        if size and exchange.rules.effect == SAFE:
            raise BadRequestError(400, "a GET has no body")
        return b"".join(parts)

    async def _reply(self, exchange: Exchange, body: bytes, receive: Receive) -> Reply | None:
        watch = asyncio.get_running_loop().create_task(_leave_with_client(receive, exchange))
        try:
            return await exchange.run(body)
        finally:
            watch.cancel()
            # Guards the host against a task of ours that outlives its request.
            await asyncio.wait((watch,))


async def _leave_with_client(receive: Receive, exchange: Exchange) -> None:
    """The body has come: what is told next is that the client has left."""
    message = await receive()
    if message["type"] == "http.disconnect":
        exchange.leave()


_PLAIN = (b"content-type", b"text/plain")
_CLOSE = (b"connection", b"close")


def _head(scope: Scope) -> Headers:
    headers = [(bytes(name), bytes(value).strip(OWS)) for name, value in scope["headers"]]
    framed = any(name in (b"content-length", b"transfer-encoding") for name, _ in headers)
    if not framed and scope.get("http_version", "1.1")[0] in "23" and scope["method"] != "GET":
        # Frames of their own say how long the body is: as with chunks, it shows when it is whole.
        headers.append((b"transfer-encoding", b"chunked"))
    return headers


async def _write_reply(send: Send, reply: Reply, ending: bool) -> None:
    headers = [(name.encode("latin-1"), value.encode("latin-1")) for name, value in reply.headers]
    if reply.retry_after_s is not None:
        headers.append((b"retry-after", b"%.3f" % reply.retry_after_s))
    if ending:
        headers.append(_CLOSE)
    await _write(send, reply.status, reply.body, headers)


async def _write(send: Send, status: int, body: bytes, headers: Headers) -> None:
    headers = [(b"content-length", b"%d" % len(body)), *headers]
    try:
        await send({"type": "http.response.start", "status": status, "headers": headers})
        await send({"type": "http.response.body", "body": body})
    except OSError:
        # Some hosts say so that the client has left; its answer was given all the same.
        logger.debug("a client left before its answer was written")


class Lifespan:
    """The host's lifespan: the client opens before the app and closes before it.

    The app's own lifespan runs within. An app that has none (it raises, or returns, before
    it answers) is spoken for, so that the client opens and closes all the same."""

    def __init__(self, app: App, client: Client, scope: Scope, receive: Receive, send: Send) -> None:
        self.app = app
        self.client = client
        self.scope = scope
        self.receive = receive
        self.send = send
        self.owned = False  # the client was opened here
        self.failed = False  # the client could not be opened, and the host was told
        self.answered = False  # the host was told how the start went
        self.over = False  # nothing more is to be told
        self.pending: Message | None = None  # received, and not yet answered

    async def run(self) -> None:
        try:
            await self.app(self.scope, self._receive, self._send)
        except Exception:
            if self.answered and not self.failed:
                raise
            logger.debug("the app has no lifespan of its own")
        try:
            while not self.over:
                message = self.pending or await self._receive()
                await self._send({"type": f"{message['type']}.complete"})
        except ConfigError:
            logger.error("the lifespan ended: the client could not be opened")
        finally:
            await self._close()

    async def _receive(self) -> Message:
        self.pending = message = await self.receive()
        if message["type"] == "lifespan.startup" and self.client.state in (State.NEW, State.CLOSED):
            try:
                await self.client.start()
                self.owned = True
            except ConfigError as error:
                await self._send({"type": "lifespan.startup.failed", "message": str(error)})
                self.failed = True
                raise
        elif message["type"] == "lifespan.shutdown":
            await self._close()
        return message

    async def _send(self, message: Message) -> None:
        if self.failed:
            return  # guards the host against an app that words the same failure again
        self.answered = True
        self.pending = None
        self.over = message["type"] != "lifespan.startup.complete"
        if self.over:
            await self._close()
        await self.send(message)

    async def _close(self) -> None:
        if self.owned:
            await self.client.close()
