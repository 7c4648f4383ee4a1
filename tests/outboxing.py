"""Runs edges and upstream copies as real processes on loopback, with stand-in servers and writing clients.

Each edge and each copy is a process `python -m laurelstep run`. A stream relay stands between an edge and
each of its endpoints, and a datagram relay stands between the copies. The stand-in servers record which
writes they executed; the query parameter `w` names the write. `Deployment.write_events` holds the events that
the checker of queued writes judges."""

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
from dataclasses import dataclass, replace
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

TEST_TIMEOUT_S: Final = 60.0  # ends a test that hangs
LEDGER_TIMEOUT_S: Final = 50.0  # earlier, so that the test says what the copy answered last
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
CONSENSUS_SETTINGS: Final[dict[str, Any]] = {"heartbeat_ms": 50, "election_ms": 200}
# Recorded as the state of a write whose receipt is not found. The checker reports it as not final.
RECEIPT_NOT_FOUND: Final = "receipt not found"
# Pause between two requests to one node in `live_traffic`. No check depends on it.
LIVE_REQUEST_INTERVAL_S: Final = 0.05
OUTBOX_CLASSES: Final = [
    {"name": "put", "keep": "keyed", "window_s": 86_400},
    {"name": "pay", "keep": "unsafe"},
]


def run_with_timeout(test: Coroutine[Any, Any, None]) -> None:
    """Runs a test to its end; raises TimeoutError after `TEST_TIMEOUT_S`."""

    async def run_limited() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await test

    run(run_limited())


# --- Servers --------------------------------------------------------------------------------


class WriteBackend:
    """The request handler of all stand-in servers: records executed writes and injects faults.

    The servers share the set of idempotency keys that they have executed.
    """

    def __init__(self, write_events: list[QueuedWriteEvent]) -> None:
        self.write_events = write_events
        self.executed: list[str] = []  # names of the writes, in order of execution
        self.executed_keys: set[str] = set()
        self.delivery_counts: dict[str, int] = defaultdict(int)
        self._answers_to_lose: dict[str, int] = defaultdict(int)
        self._attempts_to_drop: dict[str, int] = defaultdict(int)
        self._held_answers: dict[str, asyncio.Event] = {}
        self._changed = asyncio.Condition()

    def lose_answers(self, write: str, times: int = 1) -> None:
        """The next `times` answers to the write are replaced by a connection reset, after its execution."""
        self._answers_to_lose[write] += times

    def drop_attempts(self, write: str, times: int = 1) -> None:
        """The next `times` attempts of the write get a connection reset and are not executed.

        A client cannot distinguish this from `lose_answers`.
        """
        self._attempts_to_drop[write] += times

    def hold_answer(self, write: str) -> None:
        """The write is executed, but its answer is withheld until `release_answer` is called."""
        self._held_answers.setdefault(write, asyncio.Event())

    def release_answer(self, write: str) -> None:
        if (held := self._held_answers.pop(write, None)) is not None:
            held.set()

    async def serve(self, endpoint: Endpoint, message: Message, writer: Writer) -> None:
        write = _write_name(message)
        key = message.headers.get("idempotency-key")
        if self._attempts_to_drop[write]:
            self._attempts_to_drop[write] -= 1
            reset_connection(writer)
            return
        if write:
            await self._execute(write, key, message.body)
        if (held := self._held_answers.get(write)) is not None:
            await held.wait()
        if self._answers_to_lose[write]:
            self._answers_to_lose[write] -= 1
            reset_connection(writer)
            return
        writer.write(answer(200, write.encode()))

    async def _execute(self, write: str, key: str | None, body: bytes) -> None:
        was_executed = key is None or key not in self.executed_keys
        self.write_events.append(WriteDelivered(now_us(), write, key, body, was_executed))
        self.delivery_counts[write] += 1
        if was_executed:
            self.executed.append(write)
        if key is not None:
            self.executed_keys.add(key)
        async with self._changed:
            self._changed.notify_all()

    async def wait_executed(self, *writes: str) -> None:
        await self._wait_condition(lambda: set(writes) <= set(self.executed), f"execution of {writes}")

    async def wait_executed_count(self, count: int) -> None:
        """Waits until at least `count` writes have been executed."""
        await self._wait_condition(lambda: len(self.executed) >= count, f"{count} executed writes")

    async def _wait_condition(self, condition: Callable[[], bool], description: str) -> None:
        try:
            async with asyncio.timeout(EVENT_TIMEOUT_S), self._changed:
                await self._changed.wait_for(condition)
        except TimeoutError:
            raise AssertionError(f"timed out waiting for {description}; executed: {self.executed}") from None


def _write_name(message: Message) -> str:
    request_line = message.start_line.split()
    _, _, query = request_line[1].partition("?")
    return "".join(parse_qs(query).get("w", [""]))


# --- Processes ------------------------------------------------------------------------------


@dataclass(eq=False)
class Node:
    """An edge or a copy: its process, the relays to its endpoints, and its stand-in for discovery."""

    program: ProgramRunner
    name: str
    links: list[StreamRelay]
    discovery: ProcessDiscovery

    @property
    def folder(self) -> Path:
        return self.program.folder

    @property
    def store(self) -> Path:
        return self.folder / "store"

    def refuse_connections(self, *link_numbers: int) -> None:
        """Takes links down: resets open connections and refuses new ones. No number means all links."""
        for number in link_numbers or range(len(self.links)):
            self.links[number].refuse()

    async def accept_connections(self, *link_numbers: int) -> None:
        """Brings links up again. No number means all links."""
        for number in link_numbers or range(len(self.links)):
            await self.links[number].accept()

    async def start(self) -> None:
        await self.program.start()
        await self.program.wait_ready()

    async def kill(self) -> None:
        await self.program.kill()

    async def query_state(self, target: str = "/api/outbox") -> Any:
        message = await self.program.query("GET", target)
        assert message.status == 200, (self.name, target, message.status, message.body)
        return json.loads(message.body)

    async def post(self, target: str) -> tuple[int, Any]:
        message = await self.program.query("POST", target)
        return message.status, json.loads(message.body)


@dataclass
class QueuedWrite:
    """A write that a client was told is queued, with its causal token, receipt path and write id."""

    name: str
    edge: str
    node: Node
    causal_token: str = ""
    receipt_path: str = ""
    write_id: str = ""

    def at(self, node: Node) -> QueuedWrite:
        """The same write, to be asked about at another process of its edge."""
        return replace(self, node=node)


class Client:
    """A client whose writes depend causally on its earlier ones.

    It sends the causal token of its last answer and the name of its session.
    """

    def __init__(self, deployment: Deployment, name: str) -> None:
        self.deployment = deployment
        self.name = name
        self.acknowledged_writes: list[str] = []  # names of its queued or served writes
        self.causal_token = ""
        self._bodies: dict[str, bytes] = {}
        self._causes: dict[str, frozenset[str]] = {}

    async def send_write(
        self,
        node: Node,
        name: str,
        class_name: str = "put",
        follows: Sequence[QueuedWrite] = (),
        object_name: str = "",
        padding_bytes: int = 0,
        uses_session: bool = True,
    ) -> Message | None:
        """Makes one attempt; returns None if the connection ended without an answer.

        A repeated `name` is another attempt of the same write, with the same key, body and causes. `follows`
        are further causes; `uses_session` is whether the write depends on this client's earlier writes.
        """
        deployment = self.deployment
        key = f"k-{name}" if class_name == "put" else None
        body = self._bodies.setdefault(name, name.encode() + bytes(padding_bytes))
        session_causes = (
            [write for write in self.acknowledged_writes if write != name] if uses_session else []
        )
        causes = self._causes.setdefault(
            name, frozenset((*session_causes, *(cause.name for cause in follows)))
        )
        tokens = [self.causal_token] if self.causal_token and uses_session else []
        headers = {
            "Host": "x", "X-Request-Id": (request_id := deployment.request_id(name)), "X-Class": class_name,
            "X-Deadline-Ms": DEADLINE_MS, "Content-Length": len(body),
            **({"Idempotency-Key": key} if key else {}),
            **({"X-Session": self.name} if uses_session else {}),
            **({"X-Causal-Token": ", ".join(tokens)} if tokens else {}),
            **({"X-Follows": ", ".join(cause.causal_token for cause in follows)} if follows else {}),
        }  # fmt: skip
        query = urlencode({"w": name, **({"obj": object_name} if object_name else {})})
        lines = "".join(f"{field}: {value}\r\n" for field, value in headers.items())
        raw = f"POST /{class_name}?{query} HTTP/1.1\r\n{lines}\r\n".encode() + body
        deployment.write_events.append(WriteAttempted(now_us(), name, key, body, causes))
        message = await deployment.send_request(node, request_id, "keyed" if key else "unsafe", key, raw)
        status = 0 if message is None else message.status
        if status == 202 and message is not None:
            acknowledgement = json.loads(message.body)
            deployment.write_events.append(WriteQueued(now_us(), name, node.name))
            deployment.queued_writes.append(
                QueuedWrite(name, node.name, node, message.headers["x-causal-token"],
                            message.headers["location"], acknowledgement["write"])
            )  # fmt: skip
        else:
            deployment.write_events.append(WriteAnswered(now_us(), name, status))
        if status in (200, 202) and message is not None:
            if uses_session:
                self.causal_token = message.headers.get("x-causal-token", self.causal_token)
            if name not in self.acknowledged_writes:
                self.acknowledged_writes.append(name)
        return message

    async def queue_write(
        self, node: Node, name: str, class_name: str = "put", **options: Any
    ) -> QueuedWrite:
        """Sends a write and requires that its first attempt is queued (202)."""
        message = await self.send_write(node, name, class_name, **options)
        assert message is not None and message.status == 202, (
            name, message and (message.status, message.headers, message.body),
            self.deployment.history.events[-3:], node.program.log_lines[-5:],
        )  # fmt: skip
        return self.deployment.queued_writes[-1]

    async def write_until_acknowledged(
        self, node: Node, name: str, class_name: str = "put", **options: Any
    ) -> int:
        """Repeats a write until it is queued or served, and returns the status.

        A keyed write is repeated after any outcome, an unsafe one only after a refusal (429, 503).
        """
        last_status: list[int] = []

        async def is_acknowledged() -> bool:
            message = await self.send_write(node, name, class_name, **options)
            last_status[:] = [0 if message is None else message.status]
            assert class_name == "put" or last_status[0] in (200, 202, 429, 503), (name, last_status)
            return last_status[0] in (200, 202)

        await wait_until(is_acknowledged, f"{name} queued or served at {node.name}")
        return last_status[0]


class Deployment:
    """Edges, the copies upstream of them, and the servers upstream of the copies.

    Without copies, the servers are the endpoints of the edges.
    """

    def __init__(
        self,
        folder: Path,
        edge_count: int = 3,
        copy_count: int = 3,
        server_count: int = 2,
        seed: int = 1,
        outbox_overrides: Mapping[str, Mapping[str, Any]] | None = None,
        command_prefixes: Mapping[str, Sequence[str]] | None = None,
    ) -> None:
        """Both mappings are keyed by node name.

        `outbox_overrides` changes entries of an edge's outbox table; `command_prefixes` gives the interpreter
        arguments that start another program in place of laurelstep.
        """
        self.folder = folder
        self.seed = seed
        self.rng = random.Random(f"{seed} chain")
        self.write_events: list[QueuedWriteEvent] = []
        self.history = History(now_us)
        self.backend = WriteBackend(self.write_events)
        self.servers = [Endpoint(self.backend.serve, records_requests=False) for _ in range(server_count)]
        self.edges: list[Node] = []
        self.copies: list[Node] = []
        self.queued_writes: list[QueuedWrite] = []
        self.datagram_relay: DatagramRelay | None = None
        self._node_counts = edge_count, copy_count
        self._outbox_overrides, self._command_prefixes = (
            dict(outbox_overrides or {}),
            dict(command_prefixes or {}),
        )
        self._exit_stack = contextlib.AsyncExitStack()
        self._attempt_counts: dict[str, int] = defaultdict(int)
        self._secret_file = folder / "secret"

    # --- Start and stop -----------------------------------------------------------------

    async def __aenter__(self) -> Deployment:
        async with self._exit_stack:
            await self._create_nodes()
            await asyncio.gather(*(node.start() for node in (*self.copies, *self.edges)))
            for copy in self.copies:
                await self.wait_ledger_ready(copy, True)  # all copies are needed to bootstrap the ledger
            self._exit_stack = self._exit_stack.pop_all()
        return self

    async def __aexit__(self, *_: object) -> None:
        await self._exit_stack.aclose()

    async def _create_nodes(self) -> None:
        self.folder.mkdir(exist_ok=True)
        # Concurrent test runs must not share a secret.
        self._secret_file.write_bytes(secrets.token_bytes(32))
        for server in self.servers:
            await self._exit_stack.enter_async_context(server)
        edge_count, copy_count = self._node_counts
        endpoints = [(server.port, f"s-{index}") for index, server in enumerate(self.servers)]
        if copy_count:
            self.datagram_relay = DatagramRelay(
                [(HOST, free_udp_port()) for _ in range(copy_count)], self.seed
            )
            self._exit_stack.callback(self.datagram_relay.close)
            await self.datagram_relay.start()
        for number in range(copy_count):
            self.copies.append(await self._create_node(f"copy-{number}", number, endpoints))
            self._write_copy_settings(self.copies[number])
        if copy_count:
            endpoints = [(node.program.listen[1], node.name) for node in self.copies]
        for number in range(edge_count):
            self.edges.append(await self._create_node(f"edge-{number}", copy_count + number, endpoints))
            self._write_edge_settings(self.edges[number])

    async def _create_node(self, name: str, number: int, endpoints: Sequence[tuple[int, str]]) -> Node:
        command_prefix = self._command_prefixes.get(name, ("-m", "laurelstep"))
        program = ProgramRunner(
            number, self.folder / name, self.history, self.seed, command_prefix=command_prefix
        )
        links, entries = [], []
        for index, (port, endpoint_name) in enumerate(endpoints):
            link = StreamRelay((HOST, port), self.seed * 1000 + number * 100 + index)
            self._exit_stack.callback(link.close)
            await link.start()
            links.append(link)
            entries.append(_discovery_entry(endpoint_name, link.address))
        discovery = ProcessDiscovery(lambda: list(entries), lambda read, at: None)
        self._exit_stack.callback(discovery.close)
        await discovery.open()
        self._exit_stack.push_async_callback(program.close)
        return Node(program, name, links, discovery)

    def _platform_settings(self, node: Node, settings: Mapping[str, Any]) -> dict[str, Any]:
        relay = node.discovery.relay
        assert relay is not None
        return {
            "listen": _address_text(node.program.listen),
            "management": _address_text(node.program.management),
            "discovery": relay.address,
            "limits": {"sockets": 1024},
            "settings": {**SETTINGS, **settings},
            "known": whole_list(*node.discovery.entries()),
        }

    def _write_copy_settings(self, node: Node) -> None:
        assert self.datagram_relay is not None
        number = node.program.number
        host, port = self.datagram_relay.peer_addresses[number]
        peers = {"peer_listen": f"{host}:{port}", "peers": self.datagram_relay.peers_of(number)}
        platform = self._platform_settings(node, {"me": number, "instances": self._node_counts[1]})
        outbox = {**self._outbox_table(node), "shared": True}
        accord = {
            **CONSENSUS_SETTINGS,
            "seats": self._node_counts[1],
            "store_path": str(node.folder / "accord"),
        }
        node.program.write({**platform, **peers}, {"accord": accord, "outbox": outbox})

    def _write_edge_settings(self, node: Node) -> None:
        upstream = {"upstream": "copies"} if self._node_counts[1] else {}
        table = {**self._outbox_table(node), **upstream, **self._outbox_overrides.get(node.name, {})}
        node.program.write(self._platform_settings(node, {}), {"outbox": table})

    def _outbox_table(self, node: Node) -> dict[str, Any]:
        return {
            "store_path": str(node.store), "edge": node.name, "secret_file": str(self._secret_file),
            "cut_ms": 100, "back_ms": 10, "classes": OUTBOX_CLASSES,
        }  # fmt: skip

    async def wait_ledger_ready(self, copy: Node, is_ready: bool) -> None:
        """Waits until the copy reports the shared ledger as ready or, if `is_ready` is false, as not ready.

        A call that this test process sends more than 2 s after it connected gets no answer; it is repeated.
        """
        last: list[object] = ["no answer"]

        async def is_reached() -> bool:
            try:
                state = await copy.query_state()
            except (OSError, asyncio.IncompleteReadError) as error:
                last[:] = [error]
                return False
            last[:] = [state]
            return bool(state["shared"]["ready"]) is is_ready

        description = f"{copy.name} with {'a ready' if is_ready else 'an unready'} shared ledger"
        try:
            await wait_until(is_reached, description, LEDGER_TIMEOUT_S)
        except AssertionError as error:
            raise AssertionError(f"{error}; last: {last[0]!r}; {self._last_log_lines()}") from None

    async def create_twin(self, edge: Node) -> Node:
        """Creates a second process on a copy of the edge's store, without starting it.

        The edge must be stopped, since its store must not be in use.
        """
        endpoints = [(node.program.listen[1], node.name) for node in self.copies]
        number = sum(self._node_counts) + len(self.edges)
        node = await self._create_node(f"twin-{number}", number, endpoints)
        node.program.folder.mkdir()
        shutil.copytree(edge.store, node.store)
        node.name = edge.name
        self._write_edge_settings(node)
        return node

    # --- Clients ----------------------------------------------------------------------

    def client(self, name: str) -> Client:
        return Client(self, name)

    def request_id(self, write: str) -> str:
        self._attempt_counts[write] += 1
        return f"{write}.{self._attempt_counts[write]}"

    async def send_request(
        self, node: Node, request_id: str, effect: Any, key: str | None, raw: bytes
    ) -> Message | None:
        """Sends a client's request and records it in `history`; returns None if the connection ended."""
        number, now = node.program.number, self.history.now_us
        self.history.add(RequestStarted(now(), number, request_id, effect, key, DEADLINE_MS * 1000))
        async with Caller(*node.program.listen) as caller:
            try:
                message = await caller.send(raw)
            except (OSError, asyncio.IncompleteReadError) as error:
                self.history.add(RequestFailed(now(), number, request_id, type(error).__name__))
                return None
        self.history.add(ResponseReceived(now(), number, request_id, message.status))
        return message

    async def read_receipt(self, write: QueuedWrite) -> Any:
        """Returns the write's receipt, or None while its edge cannot give it.

        The state of a receipt that is not found (404) is `RECEIPT_NOT_FOUND`.
        """
        try:
            reader, writer = await asyncio.open_connection(*write.node.program.listen)
        except OSError:
            return None
        try:
            writer.write(f"GET {write.receipt_path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            message = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError):
            return None
        finally:
            writer.close()
        assert message.status in (200, 404, 503), (write, message.status, message.body)
        if message.status == 404:
            return {"state": RECEIPT_NOT_FOUND}
        return json.loads(message.body) if message.status == 200 else None

    async def wait_state(self, write: QueuedWrite, *states: str) -> Any:
        """Waits until the write's receipt has one of `states`, and returns the receipt."""
        last_receipt: list[Any] = []

        async def is_reached() -> bool:
            last_receipt[:] = [await self.read_receipt(write)]
            return last_receipt[0] is not None and last_receipt[0]["state"] in states

        try:
            await wait_until(is_reached, f"{write.name} {' or '.join(states)}")
        except AssertionError as error:
            raise AssertionError(
                f"{error}; last receipt: {last_receipt}; {write.node.program.log_lines[-5:]}"
            ) from None
        return last_receipt[0]

    @contextlib.asynccontextmanager
    async def live_traffic(self) -> AsyncIterator[None]:
        """Other clients write to all serving nodes until the block ends, one attempt for each write."""
        stopped, numbers = asyncio.Event(), itertools.count()

        async def send_writes(node: Node) -> None:
            while not stopped.is_set():
                if node.program.serving.is_set():
                    number = next(numbers)
                    client, class_name = self.client(f"live-{number}"), ("put", "pay")[number % 2]
                    await client.send_write(node, client.name, class_name, uses_session=False)
                await asyncio.sleep(LIVE_REQUEST_INTERVAL_S)

        async with asyncio.TaskGroup() as group:
            for node in (*self.copies, *self.edges):
                group.create_task(send_writes(node))
            yield
            stopped.set()

    # --- Operators ----------------------------------------------------------------------

    async def resolve(
        self, write: QueuedWrite, resolution: str, parking: int, node: Node | None = None
    ) -> int:
        """Resolves a parked write as an operator, at `node` or else at its edge, and returns the status."""
        query = urlencode({"write": write.write_id, "parking": parking, "verdict": resolution})
        status, _ = await (node or write.node).post(f"/api/outbox/judge?{query}")
        if status in (200, 202):
            self.write_events.append(OperatorResolution(now_us(), write.name, resolution))
        return status

    async def declare_lost(self, edge: str, copy: Node) -> int:
        status, response = await copy.post(f"/api/outbox/lost?{urlencode({'edge': edge})}")
        assert status in (200, 202, 503), (status, response)
        if status != 503:
            self.write_events.append(EdgeDeclaredLost(now_us(), edge))
        return status

    # --- Faults among copies ------------------------------------------------------------

    def partition(self, first_group: Iterable[int], second_group: Iterable[int]) -> None:
        assert self.datagram_relay is not None
        self.datagram_relay.route_table.partition(first_group, second_group)

    def heal_partition(self) -> None:
        assert self.datagram_relay is not None
        self.datagram_relay.route_table.heal_partition()

    # --- Checks -------------------------------------------------------------------------

    async def wait_settled(
        self, lost_edges: Iterable[str] = (), serving: Node | None = None
    ) -> dict[str, str]:
        """Waits until all queued writes have settled; records their final states and returns them by name.

        Writes at `lost_edges` are left out. `serving`: of two processes on copies of a store, the one that
        was not fenced; it is asked about the writes of their edge.
        """
        remaining = [write for write in self.queued_writes if write.edge not in set(lost_edges)]
        receipts: dict[str, Any] = {}  # by write id: a write may be queued at two edges

        async def is_reached() -> bool:
            """Whether each write is in a final state, or waits for a parked one."""
            for write in remaining:
                if receipts.get(write.write_id, {}).get("state") not in ("done", "given_up"):
                    asked = write if serving is None or write.edge != serving.name else write.at(serving)
                    receipts[write.write_id] = await self.read_receipt(asked) or {
                        "state": "receipt unavailable"
                    }
            blocked = {write_id for write_id, receipt in receipts.items() if receipt["state"] == "parked"}
            while newly_blocked := {
                write_id for write_id, receipt in receipts.items()
                if write_id not in blocked and receipt["state"] == "kept" and receipt.get("behind") in blocked
            }:  # fmt: skip
                blocked |= newly_blocked
            return all(
                receipt["state"] in (*FINAL_STATES, RECEIPT_NOT_FOUND) or write_id in blocked
                for write_id, receipt in receipts.items()
            )

        try:
            await wait_until(is_reached, "all queued writes settled")
        except AssertionError as error:
            unsettled = {
                write_id: receipt
                for write_id, receipt in receipts.items()
                if receipt["state"] not in FINAL_STATES
            }
            raise AssertionError(f"{error}: {unsettled}; {self._last_log_lines()}") from None
        names = {write.write_id: write.name for write in remaining}
        for write_id, receipt in receipts.items():
            waits_for = names.get(receipt.get("behind"), "")
            self.write_events.append(
                FinalWriteStatus(names[write_id], receipt["state"], receipt.get("reason", ""), waits_for)
            )
        return {names[write_id]: receipt["state"] for write_id, receipt in receipts.items()}

    def _last_log_lines(self) -> str:
        return "\n".join(
            f"{node.name}: {node.program.log_lines[-5:]}" for node in (*self.copies, *self.edges)
        )

    def check_histories(self) -> None:
        """Checks queued writes and request history; raises an AssertionError that lists the violations."""
        violations = [
            *check_queued_writes(self.write_events),
            *check_history(self.history.events, CheckLimits(lateness_us=LATENESS_US)),
        ]
        if violations:
            shown = [str(violation) for violation in violations[:20]]
            raise AssertionError(
                "\n".join([f"{len(violations)} violations, seed {self.seed}", *shown, self._last_log_lines()])
            )


def _discovery_entry(name: str, address: str) -> Entry:
    return {
        "instanceId": name, "hostPort": address, "zone": "a", "machineType": "small", "cell": 1,
        "lifecycle": "ready", "weight": 1.0, "startedAtMs": 0,
    }  # fmt: skip


def _address_text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"
