"""The async client: an instance of the balancer on the host's event loop.

Rules of this module:

1. A client belongs to the loop and the process that opened it, and shares nothing with another client.
2. An exchange ends once: by its final answer, or by being abandoned (a cancelled task, a client that
   disconnected), which is reported to the engine by `on_client_left`.
3. Once closing has begun no request is accepted; those accepted before are finished first; after that no task
   and no socket is left.
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
from laurelstep.engine.static_members import StaticMembers
from laurelstep.errors import LaurelstepError
from laurelstep.net.assembly import Assembly
from laurelstep.net.errors import BadRequestError
from laurelstep.net.message import MAX_BUFFERED_BODY_BYTES
from laurelstep.net.request import build_call
from laurelstep.request_journal import open_journal
from laurelstep.settings import Config, ConfigError, config_from, read_file

if TYPE_CHECKING:
    from laurelstep.request_journal.journal import RequestJournal

logger = logging.getLogger("laurelstep")


class ClientError(LaurelstepError):
    """The client can't be used here: it is not open, or belongs to another loop or process."""

    cause = "the library's client is not open, or belongs to another event loop or process"
    remedy = "open one client in each process, after a fork, on the loop that uses it; close it last"


class RequestError(LaurelstepError, ValueError):
    """The request is malformed or breaks its class's rules; `status` is what the daemon would answer."""

    cause = "a request given to the library's client is malformed or breaks its class's rules"
    remedy = "correct the request as the text says, or its class in [deployment]; nothing was sent"

    def __init__(self, status: int, text: str) -> None:
        super().__init__(text)
        self.status = status


@dataclass(frozen=True, slots=True)
class Request:
    """A request. Nothing of it has run if `RequestError` is raised for it.

    `cls` is the class's name and the first part of the target's path. `method` is GET for an idempotent
    class and POST for others; `key` is the idempotency key of a keyed class. `deadline_s` is how long to
    wait for the answer: at most, and by default, the class's deadline. `id` is random if None; it must differ
    from those of open requests. Of `headers`, only those that endpoints need are forwarded.
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
        """Return the headers that a client of the daemon would send. `RequestError` for text not allowed."""
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
    """Encode a header's text. Guards the endpoint against a second header, or request, hidden in a value."""
    try:
        raw = text.encode("latin-1")
    except UnicodeEncodeError:
        raise RequestError(400, f"not allowed in a header: {text!r}") from None
    if any(byte < 32 or byte == 127 for byte in raw):
        raise RequestError(400, f"not allowed in a header: {text!r}")
    return raw


@dataclass(frozen=True, slots=True)
class Reply:
    """The final answer. `retry_after_s` is set with some refusals; `attempts` and `endpoint` (the id of the
    last attempt's endpoint) are for logs.
    """

    outcome: Ending
    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""
    retry_after_s: float | None = None
    attempts: int = 0
    endpoint: str = ""


@dataclass(frozen=True, slots=True)
class Member:
    """An endpoint of a list that is given in code.

    `started_ms` is Unix time in milliseconds, 0 for long ago. An id names one process at one address; a
    draining endpoint gets no new requests.
    """

    id: str
    address: str
    zone: str = ""
    kind: str = ""
    cell: int = 0
    weight: float = 1.0
    draining: bool = False
    started_ms: int = 0

    def entry(self) -> dict[str, Any]:
        """Return the endpoint in discovery's form."""
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


class ClientState(Enum):
    """The state of a client."""

    NEW = "not open"
    OPEN = "open"
    CLOSING = "closing"
    CLOSED = "closed"


class Exchange:
    """One request and its final answer, between a host's task and the engine."""

    def __init__(self, client: Client, method: bytes, target: bytes, headers: Headers) -> None:
        """Raises `BadRequestError` if the head is malformed."""
        self.client = client
        config = client.config
        call = build_call(method, target, headers, config.names, config.settings, self)
        self.call: Call | None = call  # None once it has ended, which breaks the reference cycle
        self.rules = config.settings.classes[call.request_class]
        self.final_reply: asyncio.Future[Reply | None] = asyncio.get_running_loop().create_future()

    async def run(self, body: bytes) -> Reply | None:
        """Send the request; return its final answer, or None if it was abandoned first.

        The deadline counts from now. A cancelled task abandons the exchange. Raises `BadRequestError` if the
        id is that of an open request, or of an unsafe one that may have run, and `ClientError` if the client
        is no longer open.
        """
        engine = self.client.require_open()
        call = self.call
        if call is None:
            return None
        if engine.is_duplicate(call):
            raise BadRequestError(409, "X-Request-Id is that of an earlier request")
        call.body = body
        call.expires_at += engine.now()
        self.client.on_exchange_started(self)
        try:
            engine.take(call)
            if self.final_reply.done():
                # Guards the host's event loop: a task that retries at once after a refusal would starve it.
                await asyncio.sleep(0)
            return await self.final_reply
        finally:
            self.abandon()

    def on_answer(self, call: Call, answer: Answer) -> None:
        """Accept the final answer from the engine."""
        after_us = answer.retry_after_us
        headers = tuple((n.decode("latin-1"), v.decode("latin-1")) for n, v in answer.headers)
        self._finish(
            Reply(
                outcome=answer.ending,
                status=answer.status,
                headers=headers,
                body=answer.body,
                retry_after_s=after_us / 1e6 if after_us > 0 else None,
                attempts=call.attempts_sent,
                endpoint=call.last_instance_id,
            )
        )

    def abandon(self) -> None:
        """Stop waiting for the answer. Once it has arrived this only drops the call."""
        call, self.call = self.call, None
        self._finish(None)
        if call is not None and call.is_open and call.id:
            self.client.engine.on_client_left(call)

    def _finish(self, reply: Reply | None) -> None:
        if not self.final_reply.done():  # a cancelled task has cancelled this future too
            self.final_reply.set_result(reply)
        self.client.on_exchange_finished(self)


ClientConfig = str | os.PathLike[str] | Mapping[str, Any] | Config


class Client:
    """`async with Client.open(config) as client`, or `start` and `close`."""

    def __init__(self, config: Config, members: Iterable[Member] | None = None) -> None:
        if config.accord is not None:
            # An instance that takes no part in consensus would violate what the others agree on.
            raise ConfigError("accord: expected none for the library: only a daemon takes part in it")
        self.config = config
        self.state = ClientState.NEW
        self._initial_entries = None if members is None else [member.entry() for member in members]
        self._exchanges: set[Exchange] = set()

    @classmethod
    def open(cls, config: ClientConfig, members: Iterable[Member] | None = None) -> Client:
        """Return a client that opens when it is entered.

        `config` is a file's path (`.toml` for the operator's form, else the platform's JSON), an object in
        the platform's form, or a `Config`. With `members`, or without discovery, the endpoint list is
        given in code. Raises `ConfigError` with one line if the configuration can't be used.
        """
        if isinstance(config, Config):
            return cls(config, members)
        if isinstance(config, Mapping):
            return cls(config_from(dict(config), "configuration"), members)
        return cls(read_file(os.fspath(config)), members)

    # --- Opening and closing ------------------------------------------------------

    async def start(self) -> None:
        """Open on the running event loop; allowed again after `close`.

        Raises `ClientError` if it is open, `ConfigError` if a list given in code can't be read.
        """
        if self.state not in (ClientState.NEW, ClientState.CLOSED):
            raise ClientError(f"the client is {self.state.value} already")
        config = self.config
        self._loop = asyncio.get_running_loop()
        self._pid = os.getpid()
        self._idle = asyncio.Event()
        self._idle.set()
        self._journal: RequestJournal | None = None
        if config.orders is not None:
            self._journal = await open_journal(config.orders, config.names.classes, logger.warning)
        self._assembly = Assembly(self._loop, config, logger.warning, self._journal, self._initial_entries)
        self.engine = self._assembly.engine
        try:
            self._assembly.start()
        except ConfigError:
            if self._journal is not None:
                await self._journal.close()
            raise
        self.state = ClientState.OPEN

    async def close(self) -> None:
        """Accept no more requests, finish those accepted, and leave no task and no socket.

        Takes no longer than the longest deadline of an open request. May be called again, also while it runs.
        """
        if self.state in (ClientState.NEW, ClientState.CLOSED):
            self.state = ClientState.CLOSED
            return
        self._check_loop_and_process()
        self.state = ClientState.CLOSING
        self._assembly.upstream.retire()
        await self._idle.wait()
        self._assembly.close()
        await self._assembly.wait_closed()
        if self._journal is not None:
            await self._journal.close()
        self.state = ClientState.CLOSED

    async def __aenter__(self) -> Self:
        await self.start()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self.close()

    # --- Use ----------------------------------------------------------------------

    async def send(self, request: Request) -> Reply:
        """Send a request; return its final answer, within its deadline.

        Raises `RequestError` if the request is malformed, `ClientError` if the client can't be used; then
        nothing was sent. If the task is cancelled, nothing more is sent.
        """
        self.require_open()
        if len(request.body) > MAX_BUFFERED_BODY_BYTES:
            raise RequestError(413, "the body is too large")
        try:
            target = request.target.encode("ascii")
            exchange = Exchange(self, request.method.encode("ascii"), target, request.head())
            reply = await exchange.run(request.body)
        except BadRequestError as error:
            raise RequestError(error.status, str(error)) from None
        except UnicodeEncodeError as error:
            raise RequestError(400, f"the target is not an ASCII path: {error.object!r}") from None
        assert reply is not None  # only the middleware abandons an exchange while it is awaited
        return reply

    def members(self, members: Iterable[Member]) -> None:
        """Replace the endpoint list; an endpoint missing from it gets no requests after the drain grace.

        Raises ValueError if it can't be read, and the old list stays; `ClientError` if the list comes from
        discovery.
        """
        self.require_open()
        source = self._assembly.source
        if not isinstance(source, StaticMembers):
            raise ClientError("the members of this client come from discovery")
        source.replace_list([member.entry() for member in members])

    def require_open(self) -> Engine:
        """Return the engine if the client is open on this loop; raises `ClientError` otherwise."""
        if self.state is not ClientState.OPEN:
            raise ClientError(f"the client is {self.state.value}")
        self._check_loop_and_process()
        return self.engine

    def _check_loop_and_process(self) -> None:
        if os.getpid() != self._pid:
            raise ClientError("the client was opened before a fork: open one in this process")
        if asyncio.get_running_loop() is not self._loop:
            raise ClientError("the client was opened on another event loop: open one on this")

    # --- Exchanges ----------------------------------------------------------------

    def on_exchange_started(self, exchange: Exchange) -> None:
        """Make `close` wait until this exchange has ended."""
        self._exchanges.add(exchange)
        self._idle.clear()

    def on_exchange_finished(self, exchange: Exchange) -> None:
        """The exchange has ended; it may be reported more than once."""
        self._exchanges.discard(exchange)
        if not self._exchanges:
            self._idle.set()
