"""Runs the outbox under random schedules, one per seed, and shows that the checker finds faulty outboxes.

A schedule has disks that fail, crashes before and after each durable step, links that flap, replies lost
after the effect, clients that move between edges with their tokens, operators that repeat resolutions, and
edges that are lost. The checker knows which writes each client knew of when it wrote, and which took effect
upstream.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import pytest
from laurelstep.outbox.causality_tokens import CausalityTokens
from laurelstep.outbox.dependencies import Dependencies, Dependency
from laurelstep.outbox.dependency_tracker import NUMBER_BITS
from laurelstep.outbox.errors import FullError, StepError, UnknownWriteError, VerdictError
from laurelstep.outbox.outbox import Outbox, OutboxBounds, QueuedClass, ReplayResult, Transition, WriteOffer
from laurelstep.outbox.records import (
    FINAL,
    ParkingReason,
    QueuedWrite,
    Resolution,
    StateChange,
    WriteEvent,
    WriteState,
    decode_state_change,
    decode_write,
    encode,
)
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId
from laurelstep.outbox.write_table import BUSY, CLOSED, DURABLE, ORPHAN

from tests.once import once

pytestmark = once

SECOND_US = 1_000_000
SEND_US = 10 * SECOND_US
STEPS = 110
TOKENS = CausalityTokens(b"the secret of all edges")


class InvariantError(AssertionError):
    """An invariant of the queued writes is violated. Contains its name and the seed."""

    def __init__(self, name: str, text: str) -> None:
        super().__init__(f"{name}: {text}")
        self.name = name


@dataclass(eq=False)
class ClientWrite:
    """A client's write, as the checker tracks it. `after`: the names of the writes that it depends on."""

    name: bytes
    keyed: bool
    client: int
    after: set[bytes]
    join: bool = False
    write_id: WriteId | None = None
    is_acknowledged: bool = False  # its client got the 202
    durable: bool = False
    lost: bool = False  # together with its edge
    given_up: bool = False
    effects: int = 0


@dataclass
class Client:
    number: int
    tokens: list[tuple[str, bytes]] = field(default_factory=list)  # each with the name of its write


@dataclass(eq=False)
class Attempt:
    """An attempt in flight. `edge` is None once the edge has crashed and nobody waits for the answer."""

    write_id: WriteId
    name: bytes
    edge: Edge | None
    deadline: int


class SharedOutbox:
    """The statuses that the copies upstream share. Edges receive them with a delay."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.write_statuses: dict[WriteId, WriteStatus] = {}
        self.low_watermarks: dict[EdgeLog, int] = {}
        self.first_unfinished: dict[EdgeLog, WriteStatus] = {}  # status of each log's first unfinished write
        self.lost_edges: set[str] = set()

    def write_status(self, dependency: Dependency) -> WriteStatus:
        if dependency.edge in self.lost_edges:
            return WriteStatus.ABANDONED
        if not dependency.before:
            return self.write_statuses.get(dependency.write_id, WriteStatus.UNKNOWN)
        low = self.low_watermarks.get(dependency.edge_log, 0)
        if low >= dependency.number:
            return WriteStatus.APPLIED
        return self.first_unfinished.get(dependency.edge_log, WriteStatus.UNKNOWN)

    def collect_statuses(self) -> None:
        """Collect the statuses of finished writes from each edge."""
        for edge in self.world.surviving():
            self.write_statuses.update(edge.outbox.take_finished())
            for edge_log, high in edge.outbox.edge_logs().items():
                self.low_watermarks[edge_log] = low = edge.outbox.low_watermark(edge_log)
                self.first_unfinished[edge_log] = (
                    edge.outbox.write_status(WriteId(*edge_log, low + 1))
                    if low < high
                    else WriteStatus.UNKNOWN
                )
            for write_id in edge.queued:
                if self.write_statuses.get(write_id) not in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
                    self.write_statuses[write_id] = edge.outbox.write_status(write_id)

    def holds(self, edge_log: EdgeLog) -> bool:
        return True


class Edge:
    """One edge: its disk, and the driver between the outbox and the disk."""

    def __init__(self, world: World, name: str) -> None:
        self.world = world
        self.name = name
        self.queued: dict[WriteId, bytes] = {}
        self.state_changes: dict[WriteId, bytes] = {}
        self.highest_numbers: dict[EdgeLog, int] = {}
        self.pending: list[tuple[str, Any]] = []  # disk writes in progress
        self.is_linked = True
        self.lost = False
        self.clock_skew = 0
        self.start()

    def start(self) -> None:
        world = self.world
        edge_log = EdgeLog(self.name, world.draw.getrandbits(63) or 1)
        self.outbox = world.make(edge_log, world.classes, world.bounds, TOKENS, world.shared)
        self.pending = []
        pairs = [
            (
                decode_write(data),
                decode_state_change(self.state_changes[write_id]) if write_id in self.state_changes else None,
            )
            for write_id, data in self.queued.items()
        ]
        changes = self.outbox.restore(pairs, self.highest_numbers, world.now, self.wall)
        self.highest_numbers = {**self.highest_numbers, **self.outbox.edge_logs()}
        self.highest_numbers.pop(edge_log)
        self.push(changes)

    @property
    def wall(self) -> int:
        return 1_700_000_000 * SECOND_US + self.world.now + self.clock_skew

    def push(self, changes: list[Transition]) -> None:
        self.pending += [("transition", change) for change in changes]

    def crash(self) -> None:
        """Crash and restart. Each disk write in progress may or may not have become durable."""
        for kind, item in self.pending:
            if self.world.draw.random() < 0.5:
                self.persist(kind, item)
        for attempt in self.world.attempts:
            if attempt.edge is self:
                attempt.edge = None
        self.start()

    def persist(self, kind: str, item: Any) -> None:
        world = self.world
        if kind == "write":
            self.queued[item.write_id] = encode(item)
            world.client_writes[world.names[item.write_id]].durable = True
            return
        write_id, state_change = item.write_id, item.state_change
        if (
            write_id in self.state_changes
            and decode_state_change(self.state_changes[write_id]).state in FINAL
        ):
            raise InvariantError("final", f"{write_id} changed after its final state")
        self.state_changes[write_id] = encode(state_change)
        client_write = world.client_writes[world.names[write_id]]
        if state_change.state is WriteState.GIVEN_UP:
            client_write.given_up = True

    def finish_disk_write(self) -> None:
        """Finish a random disk write."""
        world = self.world
        kind, item = self.pending.pop(world.draw.randrange(len(self.pending)))
        fails = not world.is_calm and world.draw.random() < 0.08
        if not fails:
            self.persist(kind, item)
        if kind == "write":
            self.on_record_stored(item, fails)
        elif fails:
            self.outbox.undo(item, world.now)
            if item.event not in (
                WriteEvent.SEND,
                WriteEvent.EXPIRED,
                WriteEvent.ORPHANED,
                WriteEvent.JOINED,
            ) and (item.event not in (WriteEvent.RAN, WriteEvent.NEVER_RAN, WriteEvent.GIVE_UP)):
                self.outbox._rows.set(self.outbox._row(item.write_id), BUSY)
                self.pending.append((kind, item))  # the driver retries results
        elif not self.outbox.apply(item, world.now):
            self.push([self.outbox.on_replay_end(item.write_id, ReplayResult.NOT_RUN, world.now, self.wall)])
        elif item.event is WriteEvent.SEND:
            world.send(self, item.write_id)

    def on_record_stored(self, write: QueuedWrite, fails: bool) -> None:
        world = self.world
        name = world.names[write.write_id]
        client_write = world.client_writes[name]
        if fails:
            self.outbox.on_store_failed(write.write_id, world.now)
            return
        self.outbox.on_stored(write.write_id, world.now)
        if not self.outbox.is_durable(write.write_id):
            raise InvariantError("reported", f"{write.write_id} is stored and not durable")
        client_write.is_acknowledged = True
        token = TOKENS.receipt(write.write_id)
        client = world.clients[client_write.client]
        if world.draw.random() < 0.1:
            token = TOKENS.encode((Dependency(*write.write_id, True),))  # names more than the write
        earlier_tokens = client.tokens[-3:] if world.draw.random() < 0.3 else []
        client.tokens = [*earlier_tokens, (token, name)]
        if not client_write.join:
            world.by_session_and_object.setdefault((self.name, b"s", write.session), []).append(name)
            world.by_session_and_object.setdefault((self.name, b"o", write.obj), []).append(name)


class World:
    """The world of one seed. `make` constructs an outbox."""

    def __init__(self, seed: int, make: Callable[..., Outbox]) -> None:
        self.draw = random.Random(seed)
        self.make = make
        self.now = 1_000 * SECOND_US
        self.is_calm = False
        self.bounds = OutboxBounds(
            max_bytes=2_000,
            max_writes=self.draw.choice((6, 40)),
            tenant_share=0.75,
            age_us=2_000 * SECOND_US,
            replay_most=self.draw.choice((1, 3, 8)),
            send_us=SEND_US,
            hold_us=SECOND_US,
            orphans=self.draw.choice(("park", "release")),
        )
        self.window = self.draw.choice((60, 250, 900)) * SECOND_US
        self.classes = {
            "album": QueuedClass("album", True, self.window),
            "print": QueuedClass("print", False),
        }
        self.client_writes: dict[bytes, ClientWrite] = {}
        self.names: dict[WriteId, bytes] = {}
        self.by_session_and_object: dict[tuple[str, bytes, bytes], list[bytes]] = {}
        self.attempts: list[Attempt] = []
        self.first_seen_at: dict[
            bytes, int
        ] = {}  # the keys that upstream remembers, with the time of their first use
        self.shared = SharedOutbox(self)
        self.clients = [Client(number) for number in range(4)]
        self.edges = [Edge(self, name) for name in ("ash", "birch", "cedar")[: self.draw.randint(1, 3)]]
        self.given_resolutions: list[tuple[Edge, WriteId, int, Resolution]] = []

    # Events.

    def play(self) -> None:
        actions = (
            [self.client] * 7
            + [self.finish_disk_write] * 12
            + [self.take_due] * 5
            + [self.arrive] * 8
            + [self.pass_time, self.resolve, self.repeat_resolution] * 2
            + [self.flap_link, self.crash, self.lose_edge, self.exchange_statuses, self.join]
        )
        for _ in range(STEPS):
            self.draw.choice(actions)()
            self.check()
        self.heal()

    def surviving(self) -> list[Edge]:
        return [edge for edge in self.edges if not edge.lost]

    def client(self) -> None:
        client, edge = self.draw.choice(self.clients), self.draw.choice(self.surviving())
        keyed = self.draw.random() < 0.6
        name = b"%d" % len(self.client_writes)
        session, obj = b"s%d" % client.number, b"o%d" % self.draw.randrange(4)
        after = {cause for _, cause in client.tokens}
        for kind, value in ((b"s", session), (b"o", obj)):
            after.update(self.by_session_and_object.get((edge.name, kind, value), ()))
        cls = "album" if keyed else "print"
        offer = WriteOffer(
            cls,
            name,
            (),
            self.draw.randrange(200),
            b"",
            name if keyed else b"",
            session,
            obj,
            f"t{client.number % 2}",
            ", ".join(token for token, _ in client.tokens),
        )
        try:
            ticket = edge.outbox.offer(offer, self.now, edge.wall)
        except FullError as error:
            if error.retry_us <= 0:
                raise InvariantError("bounds", "a full outbox gives no time for a retry") from None
            return
        if ticket.write is None:
            raise InvariantError("invented", f"{ticket.write_id} is reported as known, but its key is new")
        self.record(edge, ticket.write, ClientWrite(name, keyed, client.number, after))
        if keyed and edge.outbox.offer(offer, self.now, edge.wall).write_id != ticket.write_id:
            raise InvariantError("once", f"the key of {ticket.write_id} has two write ids")

    def record(self, edge: Edge, write: QueuedWrite, client_write: ClientWrite) -> None:
        client_write.write_id = write.write_id
        self.client_writes[client_write.name] = client_write
        self.names[write.write_id] = client_write.name
        edge.pending.append(("write", write))

    def join(self) -> None:
        """A client replaces its tokens by the token of a join."""
        client, edge = self.draw.choice(self.clients), self.draw.choice(self.surviving())
        if len(client.tokens) < 2:
            return
        dependencies = TOKENS.read(", ".join(token for token, _ in client.tokens))
        after = {cause for _, cause in client.tokens}
        try:
            ticket = edge.outbox.join(dependencies, self.now, edge.wall)
        except FullError:
            return
        assert ticket.write is not None
        self.record(
            edge,
            ticket.write,
            ClientWrite(b"%d" % len(self.client_writes), False, client.number, after, True),
        )

    def finish_disk_write(self) -> None:
        edges = [edge for edge in self.surviving() if edge.pending]
        if edges:
            self.draw.choice(edges).finish_disk_write()

    def take_due(self) -> None:
        edge = self.draw.choice(self.surviving())
        edge.push(edge.outbox.due(self.now))

    def send(self, edge: Edge, write_id: WriteId) -> None:
        self.attempts.append(Attempt(write_id, self.names[write_id], edge, self.now + SEND_US))

    def arrive(self) -> None:
        """Finish a random attempt, possibly one whose edge has crashed."""
        if not self.attempts:
            return
        attempt = self.attempts.pop(self.draw.randrange(len(self.attempts)))
        edge, chance = attempt.edge, self.draw.random()
        up = edge is None or edge.is_linked
        if not self.is_calm and chance < 0.12:
            self.finish_attempt(edge, attempt, ReplayResult.MAY_HAVE_RUN)  # the request was lost
        elif not up or (not self.is_calm and chance < 0.2):
            self.finish_attempt(edge, attempt, ReplayResult.NOT_RUN)
        elif chance > 0.95:
            self.finish_attempt(edge, attempt, ReplayResult.DENIED)
        else:
            self.apply_effect(attempt.name)
            lost = not self.is_calm and chance < 0.35
            self.finish_attempt(edge, attempt, ReplayResult.MAY_HAVE_RUN if lost else ReplayResult.ANSWERED)

    def finish_attempt(self, edge: Edge | None, attempt: Attempt, result: ReplayResult) -> None:
        if edge is not None and not edge.lost:
            edge.push(
                [edge.outbox.on_replay_end(attempt.write_id, result, self.now, edge.wall, 200, (), b"told")]
            )

    def apply_effect(self, name: bytes) -> None:
        client_write = self.client_writes[name]
        if client_write.keyed and self.now - self.first_seen_at.get(name, -self.window) < self.window:
            return
        self.first_seen_at[name] = self.now
        client_write.effects += 1
        if client_write.effects > 1:
            raise InvariantError("once", f"{client_write.write_id} took effect twice")
        if not client_write.durable:
            raise InvariantError("invented", f"{client_write.write_id} took effect and is on no disk")
        self.check_order(client_write)

    def check_order(self, client_write: ClientWrite) -> None:
        work, seen = list(client_write.after), set[bytes]()
        while work:
            name = work.pop()
            if name in seen:
                continue
            seen.add(name)
            cause = self.client_writes[name]
            if not (cause.effects or cause.given_up or cause.lost or cause.join):
                raise InvariantError("order", f"{client_write.write_id} took effect before {cause.write_id}")
            if not cause.lost:  # the causes of a lost write are not checked
                work += cause.after

    def pass_time(self) -> None:
        self.advance_time(
            self.draw.choice((SECOND_US // 10, SECOND_US, SEND_US, 30 * SECOND_US, 100 * SECOND_US))
        )

    def advance_time(self, step: int) -> None:
        """Advance the time. No attempt is in flight for longer than `send_us`."""
        end = self.now + step
        overdue = sorted(
            (attempt for attempt in self.attempts if attempt.deadline <= end), key=lambda late: late.deadline
        )
        for attempt in overdue:
            self.attempts.remove(attempt)
            if self.draw.random() < 0.5:
                self.now = max(self.now, attempt.deadline)  # the write ran at its deadline
                self.apply_effect(attempt.name)
        self.now = end
        for attempt in overdue:
            self.finish_attempt(attempt.edge, attempt, ReplayResult.MAY_HAVE_RUN)

    def flap_link(self) -> None:
        edge = self.draw.choice(self.surviving())
        edge.is_linked = not edge.is_linked
        if not edge.is_linked:
            edge.outbox.on_live_rejection(self.now)

    def crash(self) -> None:
        edge = self.draw.choice(self.surviving())
        if self.draw.random() < 0.3:
            edge.clock_skew += self.draw.choice((-3_600, 100, 500)) * SECOND_US
        edge.crash()

    def exchange_statuses(self) -> None:
        self.shared.collect_statuses()
        for edge in self.surviving():
            edge.outbox.on_remote_change(self.now)

    def lose_edge(self) -> None:
        if self.draw.random() < 0.15 and len(self.surviving()) > 1:
            edge = self.draw.choice(self.surviving())
            edge.lost = True
            self.shared.lost_edges.add(edge.name)
            self.attempts = [
                attempt
                for attempt in self.attempts
                if attempt.edge is not edge and attempt.write_id.edge != edge.name
            ]
            for client_write in self.client_writes.values():
                if client_write.write_id is not None and client_write.write_id.edge == edge.name:
                    client_write.lost = True
            self.exchange_statuses()

    # Operators.

    def parked(self) -> list[tuple[Edge, WriteId]]:
        parked = []
        for edge in self.surviving():
            for write_id in edge.queued:
                if (
                    write_id in edge.state_changes
                    and decode_state_change(edge.state_changes[write_id]).state in FINAL
                ):
                    continue
                if edge.outbox.receipt(write_id).state is WriteState.PARKED:
                    parked.append((edge, write_id))
        return parked

    def resolve(self) -> None:
        parked = self.parked()
        if parked:
            self.resolve_truthfully(*self.draw.choice(parked))

    def resolve_truthfully(self, edge: Edge, write_id: WriteId) -> None:
        """Give the true resolution, once no attempt of the write is in flight."""
        if any(attempt.write_id == write_id for attempt in self.attempts):
            return
        receipt = edge.outbox.receipt(write_id)
        client_write = self.client_writes[self.names[write_id]]
        resolution = (
            Resolution.RAN
            if client_write.effects or client_write.join
            else self.draw.choice((Resolution.NEVER_RAN, Resolution.GIVE_UP))
        )
        if resolution.name.lower() not in receipt.resolutions:
            return
        self.give_resolution(edge, write_id, receipt.parking, resolution)
        self.given_resolutions.append((edge, write_id, receipt.parking, resolution))

    def repeat_resolution(self) -> None:
        """Repeat an earlier resolution."""
        if self.given_resolutions:
            edge, write_id, parking, resolution = self.draw.choice(self.given_resolutions[-3:])
            if not edge.lost and write_id in edge.queued:
                self.give_resolution(edge, write_id, parking, resolution)

    def give_resolution(self, edge: Edge, write_id: WriteId, parking: int, resolution: Resolution) -> None:
        try:
            change = edge.outbox.resolve(write_id, parking, resolution, edge.wall)
        except VerdictError:
            return
        if change is not None:
            edge.push([change])

    # Invariants.

    def check(self) -> None:
        for edge in self.surviving():
            outbox = edge.outbox
            if outbox.count > self.bounds.max_writes + len(edge.highest_numbers) * self.bounds.max_writes:
                raise InvariantError("bounds", f"{edge.name} has {outbox.count} queued")
            if not 0 <= outbox.pace.in_flight <= self.bounds.replay_most:
                raise InvariantError("bounds", f"{edge.name} has {outbox.pace.in_flight} in flight")
        edge = self.draw.choice(self.surviving())
        if edge.queued:
            self.check_receipt(edge, self.draw.choice(list(edge.queued)))

    def check_receipt(self, edge: Edge, write_id: WriteId) -> None:
        """Check that a receipt agrees with the disk."""
        receipt = edge.outbox.receipt(write_id)
        stored = decode_state_change(edge.state_changes[write_id]) if write_id in edge.state_changes else None
        final = stored is not None and stored.state in FINAL
        if receipt.state in FINAL and (stored is None or stored.state is not receipt.state):
            raise InvariantError(
                "reported", f"{write_id} is {receipt.state.name} in its receipt, but not on the disk"
            )
        waiting = any(kind == "transition" and item.write_id == write_id for kind, item in edge.pending)
        if final and receipt.state not in FINAL and not waiting:
            raise InvariantError(
                "reported", f"{write_id} was final, but is {receipt.state.name} in its receipt"
            )
        if receipt.state is WriteState.PARKED and receipt.reason is ParkingReason.NONE:
            raise InvariantError("reported", f"{write_id} is parked without a reason")

    def heal(self) -> None:
        """Faults end. Each queued write takes effect, or is parked with a reason and resolved."""
        self.is_calm = True
        for edge in self.surviving():
            edge.is_linked = True
        self.settle()
        for _ in range(60):
            parked = self.parked()
            if not parked:
                break
            for edge, write_id in parked:
                self.resolve_truthfully(edge, write_id)
            self.settle()
        for edge, write_id in self.parked():
            raise InvariantError(
                "progress", f"{write_id} stays parked: {edge.outbox.receipt(write_id).reason.name}"
            )

    def settle(self) -> None:
        for _ in range(400):
            self.advance_time(SECOND_US)
            busy = False
            self.exchange_statuses()
            for edge in self.surviving():
                edge.push(edge.outbox.due(self.now))
                while edge.pending:
                    busy = True
                    edge.finish_disk_write()
            while self.attempts:
                busy = True
                self.arrive()
            if not busy and not self.open_writes():
                break
        self.check()
        for edge, write_id in self.open_writes():
            raise InvariantError("progress", f"{write_id} stays {edge.outbox.receipt(write_id).state.name}")
        self.check_end()

    def open_writes(self) -> list[tuple[Edge, WriteId]]:
        return [
            (edge, write_id)
            for edge in self.surviving()
            for write_id in edge.queued
            if edge.outbox.receipt(write_id).state not in (*FINAL, WriteState.PARKED)
        ]

    def check_end(self) -> None:
        for client_write in self.client_writes.values():
            edge = next(
                edge
                for edge in self.edges
                if client_write.write_id is not None and edge.name == client_write.write_id.edge
            )
            if (
                edge.lost
                or client_write.join
                or not client_write.is_acknowledged
                or client_write.write_id is None
            ):
                continue
            receipt = edge.outbox.receipt(client_write.write_id)
            if client_write.write_id not in edge.queued:
                raise InvariantError(
                    "reported", f"{client_write.write_id} was acknowledged and is on no disk"
                )
            if receipt.state is WriteState.DONE and client_write.effects != 1:
                raise InvariantError(
                    "once", f"{client_write.write_id} is done with {client_write.effects} effects"
                )


def play(seed: int, make: Callable[..., Outbox] = Outbox) -> World:
    world = World(seed, make)
    try:
        world.play()
    except (InvariantError, StepError, UnknownWriteError) as error:
        name = error.name if isinstance(error, InvariantError) else "step"
        raise InvariantError(name, f"seed {seed}: {error}") from error
    return world


# 5,000 seeds take about a minute on one core in plain Python.
SEEDS_PER_CHUNK = 100
CHUNKS = 50


@pytest.mark.parametrize("chunk", range(CHUNKS))
def test_random_schedules_keep_all_invariants(chunk: int) -> None:
    for seed in range(chunk * SEEDS_PER_CHUNK, (chunk + 1) * SEEDS_PER_CHUNK):
        play(seed)


def test_a_seed_always_gives_the_same_schedule() -> None:
    first, second = play(11), play(11)
    assert first.now == second.now and list(first.client_writes) == list(second.client_writes)
    assert [edge.state_changes for edge in first.edges] == [edge.state_changes for edge in second.edges]


# Faults that the checker has to find.


class ResendsUnsafe(Outbox):
    """An unsafe write whose answer was lost is sent again."""

    def _event_of_result(self, row: int, result: ReplayResult, now: int) -> tuple[WriteEvent, ParkingReason]:
        event, reason = super()._event_of_result(row, result, now)
        return (WriteEvent.RETRY, ParkingReason.NONE) if event is WriteEvent.UNCERTAIN else (event, reason)


class IgnoresWindow(Outbox):
    """A keyed write is sent even after its window."""

    def _expiry_reason(self, row: int, now: int) -> ParkingReason:
        return ParkingReason.NONE


class SendsAfterSlowRecord(Outbox):
    """A write is sent although its window ended while its record was being stored."""

    def apply(self, change: Transition, now: int) -> bool:
        return super().apply(change, now) or True


class IgnoresSession(Outbox):
    """A write does not depend on the last one of its session or of its object."""

    def _add_row(
        self, write: QueuedWrite, edge_log: int, key: int, session: int, obj: int, since: int
    ) -> int:
        return super()._add_row(write, edge_log, key, 0, 0, since)


class IgnoresForeignWrites(Outbox):
    """No write waits for writes queued at another edge."""

    def _foreign_row(self, row: int, dependency: Dependency) -> int:
        return -1


class IgnoresBarriers(Outbox):
    """A dependency on all writes up to a number only covers the write with that number."""

    def _barrier(self, log_index: int, upto: int) -> int:
        return self._open_rows.get(log_index << NUMBER_BITS | upto)


class ForgetsSends(Outbox):
    """A write that is OUT after a restart is treated as never sent."""

    def _restore_out(self, row: int, now: int, is_window_unknown: bool) -> Transition:
        return self._begin_transition(row, WriteEvent.NOT_RUN)


class TrustsClock(Outbox):
    """A clock that was set back is trusted."""

    def _restore_states(
        self,
        rows: list[int],
        state_changes: list[StateChange | None],
        now: int,
        wall: int,
        is_window_unknown: bool,
    ) -> list[Transition]:
        return super()._restore_states(rows, state_changes, now, wall, False)


class SendsBeforeDurable(Outbox):
    """A write is sent before its record is durable."""

    def _link(self, row: int, dependencies: Dependencies, barriers: Any = None) -> None:
        super()._link(row, dependencies, barriers)
        self._rows.set(row, DURABLE)
        self._make_ready_if_free(row)


class SkipsUndurable(Outbox):
    """A write does not take over the dependencies of one that may never become durable."""

    def _with_undurable_dependencies(self, dependencies: Dependencies) -> Dependencies:
        return dependencies


class FinishesEarly(Outbox):
    """A final write is finished even while its dependencies are not."""

    def _retire(self, row: int) -> None:
        graph = self._graph
        while (arrow := graph._first_in[row]) >= 0:
            dependency = graph._source[arrow]
            if graph._first_out[dependency] == arrow:
                graph._first_out[dependency] = graph._next_out[arrow]
            else:
                before = graph._first_out[dependency]
                while graph._next_out[before] != arrow:
                    before = graph._next_out[before]
                graph._next_out[before] = graph._next_out[arrow]
            graph._blocked_count[row] -= graph.is_blocked(dependency)
            graph._unlink_in(row, arrow)
        super()._retire(row)


class IgnoresParkingNumber(Outbox):
    """A resolution applies to any parking of the write."""

    def resolve(
        self, write_id: WriteId, parking: int, resolution: Resolution, wall: int
    ) -> Transition | None:
        row = self._row(write_id)
        if row >= 0 and not self._rows.has(row, CLOSED) and self._rows.state[row] == WriteState.PARKED:
            parking = self._rows.parking[row]
        return super().resolve(write_id, parking, resolution, wall)


class NeverParksOrphans(Outbox):
    """An orphan is blocked and never parked."""

    def _due_orphans(self) -> list[Transition]:
        return []


class DropsRefusedSend(Outbox):
    """A send whose record could not be stored is not retried."""

    def undo(self, change: Transition, now: int) -> None:
        row = self._row(change.write_id)
        if change.event is not WriteEvent.SEND:
            super().undo(change, now)
        else:
            self.pace.on_send_cancelled()
            self._rows.set(row, BUSY | ORPHAN, False)


class LeaksPace(Outbox):
    """A replay result does not lower the number of writes in flight."""

    def on_replay_end(
        self, write_id: WriteId, result: ReplayResult, now: int, wall: int, *answer: Any
    ) -> Transition:
        change = super().on_replay_end(write_id, result, now, wall, *answer)
        self.pace.in_flight += 1
        return change


class IgnoresCount(Outbox):
    """The number of queued writes has no bound."""

    def _check_bounds(self, offer: WriteOffer) -> None:
        return None


class AnswersBeforeDurable(Outbox):
    """A final answer shows in the receipt before it is durable."""

    def on_replay_end(
        self, write_id: WriteId, result: ReplayResult, now: int, wall: int, *answer: Any
    ) -> Transition:
        change = super().on_replay_end(write_id, result, now, wall, *answer)
        if change.event is WriteEvent.ANSWERED:
            self._rows.state[self._row(write_id)] = WriteState.DONE
        return change


# The seed at which the search begins, for faults that the first seeds do not show.
FIRST_SEEDS: dict[type[Outbox], int] = {
    SendsAfterSlowRecord: 120,
    TrustsClock: 680,
    IgnoresParkingNumber: 1_125,
}
FAULTS: list[tuple[type[Outbox], set[str]]] = [
    (ResendsUnsafe, {"once"}),
    (IgnoresWindow, {"once"}),
    (SendsAfterSlowRecord, {"once"}),
    (IgnoresSession, {"order"}),
    (IgnoresForeignWrites, {"order"}),
    (IgnoresBarriers, {"order"}),
    (ForgetsSends, {"once"}),
    (TrustsClock, {"once"}),
    (SendsBeforeDurable, {"invented", "step"}),
    (SkipsUndurable, {"order"}),
    (FinishesEarly, {"order"}),
    (IgnoresParkingNumber, {"once", "order"}),
    (NeverParksOrphans, {"progress"}),
    (DropsRefusedSend, {"progress"}),
    (LeaksPace, {"bounds", "progress"}),
    (IgnoresCount, {"bounds"}),
    (AnswersBeforeDurable, {"reported", "step"}),
]


@pytest.mark.parametrize(("fault", "names"), FAULTS, ids=[fault.__name__ for fault, _ in FAULTS])
def test_each_fault_is_found(fault: type[Outbox], names: set[str]) -> None:
    for seed in range(FIRST_SEEDS.get(fault, 0), 3_000):
        try:
            play(seed, fault)
        except InvariantError as error:
            assert error.name in names
            return
    pytest.fail(f"{fault.__name__} was not found")
