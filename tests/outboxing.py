"""Edges, copies upstream and servers as real processes and stand-ins on loopback, with clients that write.

Each edge and each copy is `python -m laurelstep run`; between an edge and each of its endpoints stands a
relay of connections, between copies one of datagrams. Servers count what took effect, by the write's name
in the query (`w=`); `kept` holds the history of it all."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import random
import secrets
import shutil
from collections import defaultdict
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable, Mapping, Sequence
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final
from urllib.parse import parse_qs, urlencode

from laurelstep.testing.callers import Caller
from laurelstep.testing.endpoints import Endpoint, reset_connection
from laurelstep.testing.messages import Message, Writer, answer, free_udp_port, read_message
from laurelstep.testing.processes import (
    CheckLimits,
    DatagramRelay,
    History,
    ProgramRunner,
    StreamRelay,
    check_history,
    wait_until,
)
from laurelstep.testing.processes.discovery import Entry, ProcessDiscovery
from laurelstep.testing.processes.history import RequestFailed, RequestStarted, ResponseReceived
from laurelstep.testing.processes.program import EVENT_TIMEOUT_S
from laurelstep.testing.processes.queued_writes import (
    FINAL_STATES,
    EdgeDeclaredLost,
    FinalWriteStatus,
    OperatorResolution,
    QueuedWriteEvent,
    WriteAnswered,
    WriteAttempted,
    WriteDelivered,
    WriteQueued,
    check_queued_writes,
)
from laurelstep.testing.processes.relays import HOST, now_us
from laurelstep.testing.processes.tier_settings import LATENESS_US
from laurelstep.testing.registry import whole_list

from tests.sockets import run

TEST_S: Final = 60.0  # for a test that hangs; nothing is measured by it
DEADLINE_MS: Final = 2_000
SETTINGS: Final[dict[str, Any]] = {
    "classes": [
        {"name": "page", "aim-us": 500_000, "deadline-us": 2_000_000, "repeat": "retryable"},
        {
            "name": "put", "aim-us": 500_000, "deadline-us": 2_000_000, "repeat": "dedup",
            "dedup-scope": "cell", "repeat-window-us": 600_000_000,
        },
        {"name": "pay", "aim-us": 500_000, "deadline-us": 2_000_000, "repeat": "fragile"},
    ],
    "ceilings": {
        "cancel": True, "second-copies": True, "max-attempts": 3, "max-streams": 1,
        "conn-idle-us": 30_000_000, "connect-timeout-us": 500_000, "retry-after": True,
    },
    "invariants": {"drain-grace-us": 500_000},
    "load-report": {"fields": ["waiting", "rps"], "how": "piggyback"},
    "zones": ["a"], "kinds": ["small"], "discovery": "push", "stage": 1,
}  # fmt: skip
ACCORD: Final[dict[str, Any]] = {"heartbeat_ms": 50, "election_ms": 200}
FORGOTTEN: Final = "forgotten"  # for the checker: no state that a receipt may tell
# Between two live requests of a client. Paces them; no verdict depends on it.
LIVE_GAP_S: Final = 0.05
CLASSES: Final = [
    {"name": "put", "keep": "keyed", "window_s": 86_400},
    {"name": "pay", "keep": "unsafe"},
]


def play(test: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(TEST_S):
            await test

    run(limited())


# --- Servers --------------------------------------------------------------------------------


class Ledger:
    """What took effect at all servers, which know each other's keys."""

    def __init__(self, events: list[QueuedWriteEvent]) -> None:
        self.events = events
        self.order: list[str] = []  # writes, as they took effect
        self.keys: set[str] = set()
        self.came: dict[str, int] = defaultdict(int)
        self._losing: dict[str, int] = defaultdict(int)
        self._dropping: dict[str, int] = defaultdict(int)
        self._held: dict[str, asyncio.Event] = {}
        self._news = asyncio.Condition()

    def lose(self, write: str, times: int = 1) -> None:
        """The next answers to it are lost, after its effect."""
        self._losing[write] += times

    def drop(self, write: str, times: int = 1) -> None:
        """The next tries of it are lost before their effect, which nobody can tell from the other."""
        self._dropping[write] += times

    def hold(self, write: str) -> None:
        """It takes effect, and is answered when `let_go` is called."""
        self._held.setdefault(write, asyncio.Event())

    def let_go(self, write: str) -> None:
        if (held := self._held.pop(write, None)) is not None:
            held.set()

    async def serve(self, endpoint: Endpoint, message: Message, writer: Writer) -> None:
        write = _write_of(message)
        key = message.headers.get("idempotency-key")
        if self._dropping[write]:
            self._dropping[write] -= 1
            reset_connection(writer)
            return
        if write:
            await self._take(write, key, message.body)
        if (held := self._held.get(write)) is not None:
            await held.wait()
        if self._losing[write]:
            self._losing[write] -= 1
            reset_connection(writer)
            return
        writer.write(answer(200, write.encode()))

    async def _take(self, write: str, key: str | None, body: bytes) -> None:
        ran = key is None or key not in self.keys
        self.events.append(WriteDelivered(now_us(), write, key, body, ran))
        self.came[write] += 1
        if ran:
            self.order.append(write)
        if key is not None:
            self.keys.add(key)
        async with self._news:
            self._news.notify_all()

    async def until_ran(self, *writes: str) -> None:
        await self._until(lambda: set(writes) <= set(self.order), f"effect of {writes}")

    async def until_came(self, count: int) -> None:
        """So many effects."""
        await self._until(lambda: len(self.order) >= count, f"{count} effects")

    async def _until(self, look: Callable[[], bool], what: str) -> None:
        try:
            async with asyncio.timeout(EVENT_TIMEOUT_S), self._news:
                await self._news.wait_for(look)
        except TimeoutError:
            raise AssertionError(f"{what} did not come; there were {self.order}") from None


def _write_of(message: Message) -> str:
    words = message.start.split()
    _, _, query = words[1].partition("?")
    return "".join(parse_qs(query).get("w", [""]))


# --- Processes ------------------------------------------------------------------------------


@dataclass(eq=False)
class Node:
    """One process, its folder, and the relays to its endpoints."""

    program: ProgramRunner
    name: str
    links: list[StreamRelay]
    lists: ProcessDiscovery

    @property
    def folder(self) -> Path:
        return self.program.folder

    @property
    def store(self) -> Path:
        return self.folder / "store"

    def refuse(self, *at: int) -> None:
        """Its link is down: what is open is reset, what comes is refused."""
        for number in at or range(len(self.links)):
            self.links[number].refuse()

    async def admit(self, *at: int) -> None:
        for number in at or range(len(self.links)):
            await self.links[number].accept()

    async def start(self) -> None:
        await self.program.start()
        await self.program.wait_ready()

    async def kill(self) -> None:
        await self.program.kill()

    async def state(self, target: str = "/api/outbox") -> Any:
        message = await self.program.query("GET", target)
        assert message.status == 200, (self.name, target, message.status, message.body)
        return json.loads(message.body)

    async def call(self, target: str) -> tuple[int, Any]:
        message = await self.program.query("POST", target)
        return message.status, json.loads(message.body)


@dataclass
class Write:
    """One that a client has been told of."""

    name: str
    edge: str
    node: Node
    token: str = ""
    location: str = ""
    dot: str = ""


class Client:
    """Its writes follow each other: it brings the token of its last answer, and names its session."""

    def __init__(self, chain: Chain, name: str) -> None:
        self.chain = chain
        self.name = name
        self.told: list[str] = []  # its writes that are kept or served
        self.token = ""
        self._bodies: dict[str, bytes] = {}
        self._causes: dict[str, frozenset[str]] = {}

    async def write(
        self,
        node: Node,
        name: str,
        cls: str = "put",
        follows: Sequence[Write] = (),
        obj: str = "",
        size: int = 0,
        session: bool = True,
    ) -> Message | None:
        """One try; None if its connection ended. The same name again is another try of the same write."""
        chain = self.chain
        key = f"k-{name}" if cls == "put" else None
        body = self._bodies.setdefault(name, name.encode() + bytes(size))
        own = [one for one in self.told if one != name] if session else []
        causes = self._causes.setdefault(name, frozenset((*own, *(one.name for one in follows))))
        tokens = [self.token] if self.token and session else []
        headers = {
            "Host": "x", "X-Request-Id": (rid := chain.request_id(name)), "X-Class": cls,
            "X-Deadline-Ms": DEADLINE_MS, "Content-Length": len(body),
            **({"Idempotency-Key": key} if key else {}),
            **({"X-Session": self.name} if session else {}),
            **({"X-Causal-Token": ", ".join(tokens)} if tokens else {}),
            **({"X-Follows": ", ".join(one.token for one in follows)} if follows else {}),
        }  # fmt: skip
        query = urlencode({"w": name, **({"obj": obj} if obj else {})})
        lines = "".join(f"{field}: {value}\r\n" for field, value in headers.items())
        raw = f"POST /{cls}?{query} HTTP/1.1\r\n{lines}\r\n".encode() + body
        chain.kept.append(WriteAttempted(now_us(), name, key, body, causes))
        message = await chain.exchange(node, rid, "keyed" if key else "unsafe", key, raw)
        status = 0 if message is None else message.status
        if status == 202 and message is not None:
            told = json.loads(message.body)
            chain.kept.append(WriteQueued(now_us(), name, node.name))
            chain.writes.append(
                Write(name, node.name, node, message.headers["x-causal-token"], message.headers["location"],
                      told["write"])
            )  # fmt: skip
        else:
            chain.kept.append(WriteAnswered(now_us(), name, status))
        if status in (200, 202) and message is not None:
            if session:
                self.token = message.headers.get("x-causal-token", self.token)
            if name not in self.told:
                self.told.append(name)
        return message

    async def keep(self, node: Node, name: str, cls: str = "put", **more: Any) -> Write:
        """Told as kept at the first try."""
        message = await self.write(node, name, cls, **more)
        assert message is not None and message.status == 202, (
            name, message and (message.status, message.headers, message.body), self.chain.history.events[-3:],
            node.program.log_lines[-5:],
        )  # fmt: skip
        return self.chain.writes[-1]

    async def bring(self, node: Node, name: str, cls: str = "put", **more: Any) -> int:
        """Until it is kept or served: a keyed one whatever came, an unsafe one after a refusal alone."""
        found: list[int] = []

        async def told() -> bool:
            message = await self.write(node, name, cls, **more)
            found[:] = [0 if message is None else message.status]
            assert cls == "put" or found[0] in (200, 202, 429, 503), (name, found)
            return found[0] in (200, 202)

        await wait_until(told, f"{name} kept or served at {node.name}")
        return found[0]


class Chain:
    """Three edges, three copies upstream, servers behind them; or edges before the servers."""

    def __init__(
        self,
        folder: Path,
        edges: int = 3,
        copies: int = 3,
        servers: int = 2,
        seed: int = 1,
        outbox: Mapping[str, Mapping[str, Any]] | None = None,
        begin: Mapping[str, Sequence[str]] | None = None,
    ) -> None:
        """By a node's name: `outbox` changes its table, `begin` starts another program in its place."""
        self.folder = folder
        self.seed = seed
        self.draw = random.Random(f"{seed} chain")
        self.kept: list[QueuedWriteEvent] = []
        self.history = History(now_us)
        self.ledger = Ledger(self.kept)
        self.servers = [Endpoint(self.ledger.serve, keep=False) for _ in range(servers)]
        self.edges: list[Node] = []
        self.copies: list[Node] = []
        self.writes: list[Write] = []
        self.datagrams: DatagramRelay | None = None
        self._counts = edges, copies
        self._outbox, self._begin = dict(outbox or {}), dict(begin or {})
        self._stack = contextlib.AsyncExitStack()
        self._tries: dict[str, int] = defaultdict(int)
        self._secret = folder / "secret"

    # --- Life -----------------------------------------------------------------------

    async def __aenter__(self) -> Chain:
        async with self._stack:
            await self._build()
            await asyncio.gather(*(node.start() for node in (*self.copies, *self.edges)))
            for copy in self.copies:
                await self.until_shared(copy, True)  # a record is founded by all, or not at all
            self._stack = self._stack.pop_all()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._stack.aclose()

    async def _build(self) -> None:
        self.folder.mkdir(exist_ok=True)
        self._secret.write_bytes(secrets.token_bytes(32))  # another run beside this one has its own
        for server in self.servers:
            await self._stack.enter_async_context(server)
        edges, copies = self._counts
        behind = [(server.port, f"s-{at}") for at, server in enumerate(self.servers)]
        if copies:
            self.datagrams = DatagramRelay([(HOST, free_udp_port()) for _ in range(copies)], self.seed)
            self._stack.callback(self.datagrams.close)
            await self.datagrams.start()
        for number in range(copies):
            self.copies.append(await self._node(f"copy-{number}", number, behind))
            self._write_copy(self.copies[number])
        if copies:
            behind = [(node.program.listen[1], node.name) for node in self.copies]
        for number in range(edges):
            self.edges.append(await self._node(f"edge-{number}", copies + number, behind))
            self._write_edge(self.edges[number])

    async def _node(self, name: str, number: int, behind: Sequence[tuple[int, str]]) -> Node:
        begin = self._begin.get(name, ("-m", "laurelstep"))
        program = ProgramRunner(number, self.folder / name, self.history, self.seed, command_prefix=begin)
        links, entries = [], []
        for at, (port, far) in enumerate(behind):
            link = StreamRelay((HOST, port), self.seed * 1000 + number * 100 + at)
            self._stack.callback(link.close)
            await link.start()
            links.append(link)
            entries.append(_entry(far, link.address))
        lists = ProcessDiscovery(lambda: list(entries), lambda read, at: None)
        self._stack.callback(lists.close)
        await lists.open()
        self._stack.push_async_callback(program.close)
        return Node(program, name, links, lists)

    def _platform(self, node: Node, settings: Mapping[str, Any]) -> dict[str, Any]:
        relay = node.lists.relay
        assert relay is not None
        return {
            "listen": _text(node.program.listen),
            "management": _text(node.program.management),
            "discovery": relay.address,
            "limits": {"sockets": 1024},
            "settings": {**SETTINGS, **settings},
            "known": whole_list(*node.lists.entries()),
        }

    def _write_copy(self, node: Node) -> None:
        assert self.datagrams is not None
        number = node.program.number
        host, port = self.datagrams.peer_addresses[number]
        peers = {"peer_listen": f"{host}:{port}", "peers": self.datagrams.peers_of(number)}
        platform = self._platform(node, {"me": number, "instances": self._counts[1]})
        outbox = {**self._table(node), "shared": True}
        accord = {**ACCORD, "seats": self._counts[1], "store_path": str(node.folder / "accord")}
        node.program.write({**platform, **peers}, {"accord": accord, "outbox": outbox})

    def _write_edge(self, node: Node) -> None:
        upstream = {"upstream": "copies"} if self._counts[1] else {}
        table = {**self._table(node), **upstream, **self._outbox.get(node.name, {})}
        node.program.write(self._platform(node, {}), {"outbox": table})

    def _table(self, node: Node) -> dict[str, Any]:
        return {
            "store_path": str(node.store), "edge": node.name, "secret_file": str(self._secret),
            "cut_ms": 100, "back_ms": 10, "classes": CLASSES,
        }  # fmt: skip

    async def until_shared(self, copy: Node, ready: bool) -> None:
        """Until it knows the record and is in touch, or no more.

        A call that this process sends over 2 s after it connected gets no answer, and is made again.
        """

        async def look() -> bool:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                return bool((await copy.state())["shared"]["ready"]) is ready
            return False

        await wait_until(look, f"{copy.name} {'in' if ready else 'out of'} touch")

    async def twin(self, edge: Node) -> Node:
        """Another process on a copy of the edge's disk, which must not be in use. Not started."""
        behind = [(node.program.listen[1], node.name) for node in self.copies]
        number = sum(self._counts) + len(self.edges)
        node = await self._node(f"twin-{number}", number, behind)
        node.program.folder.mkdir()
        shutil.copytree(edge.store, node.store)
        node.name = edge.name
        self._write_edge(node)
        return node

    # --- Clients ----------------------------------------------------------------------

    def client(self, name: str) -> Client:
        return Client(self, name)

    def request_id(self, write: str) -> str:
        self._tries[write] += 1
        return f"{write}.{self._tries[write]}"

    async def exchange(
        self, node: Node, rid: str, effect: Any, key: str | None, raw: bytes
    ) -> Message | None:
        """A client's request, for the rules of live requests. None if its connection ended."""
        number, now = node.program.number, self.history.now_us
        self.history.add(RequestStarted(now(), number, rid, effect, key, DEADLINE_MS * 1000))
        async with Caller(*node.program.listen) as caller:
            try:
                message = await caller.ask(raw)
            except (OSError, asyncio.IncompleteReadError) as error:
                self.history.add(RequestFailed(now(), number, rid, type(error).__name__))
                return None
        self.history.add(ResponseReceived(now(), number, rid, message.status))
        return message

    async def receipt(self, write: Write) -> Any:
        """What it says of itself; None while nobody can say it."""
        try:
            reader, writer = await asyncio.open_connection(*write.node.program.listen)
        except OSError:
            return None
        try:
            writer.write(f"GET {write.location} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            message = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError):
            return None
        finally:
            writer.close()
        assert message.status in (200, 404, 503), (write, message.status, message.body)
        if message.status == 404:
            return {"state": FORGOTTEN}
        return json.loads(message.body) if message.status == 200 else None

    async def until(self, write: Write, *states: str) -> Any:
        found: list[Any] = []

        async def look() -> bool:
            found[:] = [await self.receipt(write)]
            return found[0] is not None and found[0]["state"] in states

        try:
            await wait_until(look, f"{write.name} {' or '.join(states)}")
        except AssertionError as error:
            raise AssertionError(f"{error}; it says {found}; {write.node.program.log_lines[-5:]}") from None
        return found[0]

    @contextlib.asynccontextmanager
    async def live(self) -> AsyncIterator[None]:
        """Until the end of the block other clients write at all nodes that are up, each write once."""
        stopped, numbers = asyncio.Event(), itertools.count()

        async def call(node: Node) -> None:
            while not stopped.is_set():
                if node.program.serving.is_set():
                    number = next(numbers)
                    client, cls = self.client(f"live-{number}"), ("put", "pay")[number % 2]
                    await client.write(node, client.name, cls, session=False)
                await asyncio.sleep(LIVE_GAP_S)

        async with asyncio.TaskGroup() as group:
            for node in (*self.copies, *self.edges):
                group.create_task(call(node))
            yield
            stopped.set()

    # --- Operators ----------------------------------------------------------------------

    async def judge(self, write: Write, verdict: str, parking: int, node: Node | None = None) -> int:
        query = urlencode({"write": write.dot, "parking": parking, "verdict": verdict})
        status, _ = await (node or write.node).call(f"/api/outbox/judge?{query}")
        if status in (200, 202):
            self.kept.append(OperatorResolution(now_us(), write.name, verdict))
        return status

    async def declare_lost(self, edge: str, copy: Node) -> int:
        status, told = await copy.call(f"/api/outbox/lost?{urlencode({'edge': edge})}")
        assert status in (200, 202, 503), (status, told)
        if status != 503:
            self.kept.append(EdgeDeclaredLost(now_us(), edge))
        return status

    # --- Faults among copies ------------------------------------------------------------

    def cut(self, some: Iterable[int], others: Iterable[int]) -> None:
        assert self.datagrams is not None
        self.datagrams.route_table.partition(some, others)

    def heal(self) -> None:
        assert self.datagrams is not None
        self.datagrams.route_table.heal_partition()

    # --- The verdict --------------------------------------------------------------------

    async def settle(self, but: Iterable[str] = ()) -> dict[str, str]:
        """Once all kept writes are over: how each stands. `but`: edges that are gone."""
        left = [one for one in self.writes if one.edge not in set(but)]
        found: dict[str, Any] = {}  # by dot: a write may be kept at two edges

        async def look() -> bool:
            """Whether each is over, or waits behind one that is parked."""
            for one in left:
                if found.get(one.dot, {}).get("state") not in ("done", "given_up"):
                    found[one.dot] = await self.receipt(one) or {"state": "unasked"}
            stuck = {dot for dot, told in found.items() if told["state"] == "parked"}
            while more := {
                dot for dot, told in found.items()
                if dot not in stuck and told["state"] == "kept" and told.get("behind") in stuck
            }:  # fmt: skip
                stuck |= more
            return all(
                told["state"] in (*FINAL_STATES, FORGOTTEN) or dot in stuck for dot, told in found.items()
            )

        try:
            await wait_until(look, "all kept writes over")
        except AssertionError as error:
            open_ = {dot: told for dot, told in found.items() if told["state"] not in FINAL_STATES}
            raise AssertionError(f"{error}: {open_}; {self._logs()}") from None
        names = {one.dot: one.name for one in left}
        for dot, told in found.items():
            behind = names.get(told.get("behind"), "")
            self.kept.append(FinalWriteStatus(names[dot], told["state"], told.get("reason", ""), behind))
        return {names[dot]: told["state"] for dot, told in found.items()}

    def _logs(self) -> str:
        return "\n".join(f"{one.name}: {one.program.log_lines[-5:]}" for one in (*self.copies, *self.edges))

    def check(self) -> None:
        """AssertionError that names what was broken."""
        broken = [
            *check_queued_writes(self.kept),
            *check_history(self.history.events, CheckLimits(lateness_us=LATENESS_US)),
        ]
        if broken:
            shown = [str(one) for one in broken[:20]]
            raise AssertionError("\n".join([f"{len(broken)} broken, seed {self.seed}", *shown, self._logs()]))


def _entry(name: str, address: str) -> Entry:
    return {
        "instanceId": name, "hostPort": address, "zone": "a", "machineType": "small", "cell": 1,
        "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0,
    }  # fmt: skip


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
