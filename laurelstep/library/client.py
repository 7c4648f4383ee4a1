"""The async client: one copy of the balancer on the host's own event loop.

Rules that everything here serves:

1. A client belongs to the loop and the process that opened it, and shares nothing with
   another client.
2. An exchange ends once: by its final answer, or by the host's leaving it (a cancelled
   task, a client that disconnected), which the module hears as `gone`.
3. Once closing has begun nothing new is taken; what was taken is finished first; after
   that no task and no socket is left.
"""

from __future__ import annotations

import asyncio
import logging
import os
import secrets
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import Enum
from types import TracebackType
from typing import TYPE_CHECKING, Any, Self

from laurelstep.engine.call import Answer, Call, Ending, Headers
from laurelstep.engine.engine import Engine
from laurelstep.engine.given import GivenMembers
from laurelstep.errors import LaurelstepError
from laurelstep.net.assembly import Assembly
from laurelstep.net.errors import BadRequestError
from laurelstep.net.message import BODY_MAX
from laurelstep.net.request import call_from
from laurelstep.orders import open_recorder
from laurelstep.settings import Config, ConfigError, config_from, read_file

if TYPE_CHECKING:
    from laurelstep.orders.recorder import OrderRecorder

logger = logging.getLogger("laurelstep")


class ClientError(LaurelstepError):
    """The client can't be used so: it is not open, or belongs to another loop or process."""

    cause = "the library's client is not open, or belongs to another event loop or process"
    remedy = "open one client in each process, after a fork, on the loop that uses it; close it last"


class RequestError(LaurelstepError, ValueError):
    """The request is not as its class demands; `status` is what a caller would be told."""

    cause = "a request given to the library's client is not as its class demands"
    remedy = "correct the request by the text, or its class in [deployment]; nothing was sent"

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class Request:
    """One request. Nothing of it has run when `RequestError` is raised for it.

    `cls` is the class's name and the first part of the target's path; `method` is GET for
    a class that is safe to repeat and POST for others; `key` is the idempotency key of a
    keyed class; `deadline_s` is how long the answer is waited for, the class's own
    deadline at most and by default. `id` is made up where none is given; it must not be
    that of an open request. Of further `headers` those are passed on that endpoints need.
    """

    cls: str
    target: str
    method: str = "GET"
    tenant: str = ""
    deadline_s: float | None = None
    key: str | None = None
    body: bytes = b""
    id: str | None = None
    headers: Mapping[str, str] = field(default_factory=dict)

    def head(self) -> Headers:
        """The headers that a caller of the daemon would send."""
        fields = {name.lower(): value for name, value in self.headers.items()}
        fields.setdefault("host", "localhost")
        fields["x-request-id"] = self.id if self.id is not None else secrets.token_hex(8)
        fields["x-class"] = self.cls
        if self.tenant:
            fields["x-tenant"] = self.tenant
        if self.deadline_s is not None:
            fields["x-deadline-ms"] = str(max(0, int(self.deadline_s * 1000)))
        if self.key is not None:
            fields["idempotency-key"] = self.key
        if self.method != "GET" or self.body:
            fields["content-length"] = str(len(self.body))
        return [(_header_text(name), _header_text(value)) for name, value in fields.items()]


def _header_text(text: str) -> bytes:
    """Guards the endpoint against a second header, or request, hidden in a value."""
    try:
        raw = text.encode("latin-1")
    except UnicodeEncodeError:
        raise RequestError(400, f"no header text: {text!r}") from None
    if any(byte < 32 or byte == 127 for byte in raw):
        raise RequestError(400, f"no header text: {text!r}")
    return raw


@dataclass(frozen=True, slots=True)
class Reply:
    """The one final answer. `retry_after_s` is told with some refusals; `attempts` and
    `endpoint` (the instance id of the last one tried) are for logs."""

    outcome: Ending
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    retry_after_s: float | None = None
    attempts: int = 0
    endpoint: str = ""


@dataclass(frozen=True, slots=True)
class Member:
    """One endpoint of a list that is given in code; `started_ms` is Unix time, 0 for long
    ago. An id stands for one process at one address; a draining one gets nothing new."""

    id: str
    address: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    draining: bool = False
    started_ms: int = 0

    def entry(self) -> dict[str, Any]:
        return {
            "instanceId": self.id,
            "hostPort": self.address,
            "zone": self.zone,
            "machineType": self.kind,
            "cell": self.cell,
            "lifecycle": "draining" if self.draining else "ready",
            "weight": self.weight,
            "startedAtMs": self.started_ms,
        }


class State(Enum):
    NEW = "not open"
    OPEN = "open"
    CLOSING = "closing"
    CLOSED = "closed"


class Exchange:
    """One request and its answer, between a host's task and the engine."""

    def __init__(self, client: Client, method: bytes, target: bytes, headers: Headers) -> None:
        """`BadRequestError` if the head is not in form."""
        self.client = client
        config = client.config
        call = call_from(method, target, headers, config.names, config.settings, self)
        self.call: Call | None = call  # until it is over: each holds the other
        self.rules = config.settings.classes[call.cls]
        self.reply: asyncio.Future[Reply | None] = asyncio.get_running_loop().create_future()

    async def run(self, body: bytes) -> Reply | None:
        """The final answer; None if `leave` was called first. The deadline counts from now.

        A cancelled task leaves the exchange. `BadRequestError` if the id is that of an
        open request; `ClientError` if the client is no longer open.
        """
        engine = self.client.usable()
        call = self.call
        if call is None:
            return None
        if call.name in engine.open_names:
            raise BadRequestError(409, "X-Request-Id is that of an open request")
        call.body = body
        call.expires += engine.now()
        self.client.begun(self)
        try:
            engine.take(call)
            if self.reply.done():
                # Guards the host's loop: one that asks again at once after a refusal
                # would leave no turn to anything else.
                await asyncio.sleep(0)
            return await self.reply
        finally:
            self.leave()

    def answered(self, call: Call, answer: Answer) -> None:
        after_us = answer.retry_after_us
        headers = tuple((n.decode("latin-1"), v.decode("latin-1")) for n, v in answer.headers)
        self._end(
            Reply(
                outcome=answer.ending,
                status=answer.status,
                headers=headers,
                body=answer.body,
                retry_after_s=after_us / 1e6 if after_us > 0 else None,
                attempts=call.tried,
                endpoint=call.endpoint,
            )
        )

    def leave(self) -> None:
        """Nobody waits any more. Does nothing but forget the call once there is an answer."""
        call, self.call = self.call, None
        self._end(None)
        if call is not None and call.open and call.id:
            self.client.engine.gone(call)

    def _end(self, reply: Reply | None) -> None:
        if not self.reply.done():  # a cancelled task has cancelled it too
            self.reply.set_result(reply)
        self.client.ended(self)


Configured = str | os.PathLike[str] | Mapping[str, Any] | Config


class Client:
    """`async with Client.open(config) as client`, or `start` and `close`."""

    def __init__(self, config: Config, members: Iterable[Member] | None = None) -> None:
        if config.accord is not None:
            # A sender that no other copy knows of would make what they agree on untrue.
            raise ConfigError("accord: expected none for the library: only a daemon takes part in it")
        self.config = config
        self.state = State.NEW
        self._given = None if members is None else [one.entry() for one in members]
        self._exchanges: set[Exchange] = set()

    @classmethod
    def open(cls, config: Configured, members: Iterable[Member] | None = None) -> Client:
        """A client that opens when it is entered.

        `config`: a file's path (`.toml`: the operator's form, else the platform's JSON), an
        object in the platform's form, or a `Config`. `ConfigError` with one line if it can't
        be used. With `members`, or without a discovery, the list is that of the code.
        """
        if isinstance(config, Config):
            return cls(config, members)
        if isinstance(config, Mapping):
            return cls(config_from(dict(config), "configuration"), members)
        return cls(read_file(os.fspath(config)), members)

    # --- Life ---------------------------------------------------------------------

    async def start(self) -> None:
        """Open on the running loop, also again after a close. `ClientError` if it is open;
        `ConfigError` if a given list can't be read."""
        if self.state not in (State.NEW, State.CLOSED):
            raise ClientError(f"the client is {self.state.value} already")
        config = self.config
        self._loop = asyncio.get_running_loop()
        self._pid = os.getpid()
        self._quiet = asyncio.Event()
        self._quiet.set()
        self._recorder: OrderRecorder | None = None
        if config.orders is not None:
            self._recorder = await open_recorder(config.orders, config.names.classes, logger.warning)
        self._parts = Assembly(self._loop, config, logger.warning, self._recorder, self._given)
        self.engine = self._parts.engine
        try:
            self._parts.start()
        except ConfigError:
            if self._recorder is not None:
                await self._recorder.close()
            raise
        self.state = State.OPEN

    async def close(self) -> None:
        """Take nothing more, finish what was taken, leave no task and no socket. May be
        called again, also while it runs; lasts no longer than the longest open deadline."""
        if self.state in (State.NEW, State.CLOSED):
            self.state = State.CLOSED
            return
        self._check_place()
        self.state = State.CLOSING
        self._parts.upstream.retire()
        await self._quiet.wait()
        self._parts.close()
        await self._parts.wait_closed()
        if self._recorder is not None:
            await self._recorder.close()
        self.state = State.CLOSED

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    # --- Use ----------------------------------------------------------------------

    async def send(self, request: Request) -> Reply:
        """The one final answer to a request, before its time is up.

        `RequestError` if it is not in form, `ClientError` if the client can't be used; then
        nothing was sent. A cancelled call stops waiting and sends nothing more.
        """
        self.usable()
        if len(request.body) > BODY_MAX:
            raise RequestError(413, "the body is too large")
        try:
            target = request.target.encode("ascii")
            exchange = Exchange(self, request.method.encode("ascii"), target, request.head())
            reply = await exchange.run(request.body)
        except BadRequestError as error:
            raise RequestError(error.status, str(error)) from None
        except UnicodeEncodeError as error:
            raise RequestError(400, f"the target is no path: {error.object!r}") from None
        assert reply is not None  # only a front leaves an exchange while it is awaited
        return reply

    def members(self, members: Iterable[Member]) -> None:
        """A new whole list: what it leaves out gets nothing new past the drain grace.
        ValueError, with the old list kept, if it can't be read; `ClientError` where the
        list is discovery's."""
        self.usable()
        source = self._parts.source
        if not isinstance(source, GivenMembers):
            raise ClientError("the members of this client come from discovery")
        source.give([one.entry() for one in members])

    def usable(self) -> Engine:
        """The engine, if the client is open here; `ClientError` otherwise."""
        if self.state is not State.OPEN:
            raise ClientError(f"the client is {self.state.value}")
        self._check_place()
        return self.engine

    def _check_place(self) -> None:
        if os.getpid() != self._pid:
            raise ClientError("the client was opened before a fork: open one in this process")
        if asyncio.get_running_loop() is not self._loop:
            raise ClientError("the client was opened on another event loop: open one on this")

    # --- Exchanges ----------------------------------------------------------------

    def begun(self, exchange: Exchange) -> None:
        self._exchanges.add(exchange)
        self._quiet.clear()

    def ended(self, exchange: Exchange) -> None:
        self._exchanges.discard(exchange)
        if not self._exchanges:
            self._quiet.set()
