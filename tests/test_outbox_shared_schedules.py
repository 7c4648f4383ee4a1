"""Random schedules of the replicated ledger, one per seed, and tests that the checker detects faults.

Edges replay writes through gates that consult the ledger. Messages are lost, duplicated, delayed and
reordered. Gates die between an intent, the send, the effect and the record that the write was applied. Copies
restart from a snapshot or with an empty ledger, disks are copied and started twice, and operators resolve
parked writes, force leases and declare edges lost. The checker knows all effects and follows each committed
entry.

Invariants:

- once: an unsafe write takes effect at most once, a keyed write only under its own key.
- reported: a write that is reported as applied has taken effect, and the ledger agrees.
- order: a write takes effect after its dependencies.
- fenced: only the holder of a log is granted intents. A lease goes only to a process whose disk knew the
  holder, or for which an operator forced the lease.
- final: applied and abandoned statuses never change.
- limits: no limit of the ledger is exceeded, and its counters are right.
- step: copies that have applied the same entries have equal state, and no entry raises.
- progress: in the end each write is final or parked, or waits for one that is not applied.
"""

from __future__ import annotations

import copy
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

import msgspec
import pytest
from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.shared import ledger as ledger_module
from laurelstep.outbox.shared import ranges
from laurelstep.outbox.shared.entries import (
    EdgeLost,
    Intent,
    IntentWithdrawal,
    LedgerEntry,
    LogLease,
    StatusRecord,
    WriteApplied,
    pack,
    unpack,
)
from laurelstep.outbox.shared.ledger import ReplicatedLedger
from laurelstep.outbox.shared.messages import (
    IntentStatus,
    LeaseRequest,
    LeaseStatus,
    ReplayIdentity,
    ReplayQuery,
    StatusUpdate,
)
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId

STEP_COUNT = 160  # of a schedule
MAX_HEALING_ROUNDS = 40
FINAL_STATUSES = (WriteStatus.APPLIED, WriteStatus.ABANDONED)


class BrokenError(AssertionError):
    """A violation of the invariant `name`."""

    def __init__(self, name: str, text: str) -> None:
        super().__init__(f"{name}: {text}")
        self.name = name


@dataclass(eq=False)
class QueuedWrite:
    """A write on one disk. `state`: ready, out (sent), parked, never_ran (resolved so by an operator), done
    or given_up.
    """

    write_id: WriteId
    unsafe: bool
    dependencies: tuple[Dependency, ...]
    state: str = "ready"
    is_published: bool = True  # the ledger has this state, or does not need it
    parking_count: int = 0
    attempt: int = 0


@dataclass(eq=False)
class Disk:
    incarnations: list[int] = field(default_factory=list)
    writes: dict[WriteId, QueuedWrite] = field(default_factory=dict)


@dataclass(eq=False)
class Call:
    """A replay at a gate. `stage`: intent, sent, record (that the write was applied) or withdrawal (of the
    intent), after which `answer` is sent.
    """

    copy: Copy
    edge: Edge
    attempt: int
    identity: ReplayIdentity
    key: str
    intent_id: int
    stage: str = "intent"
    answer: str = ""


class Copy:
    """One copy upstream: its replica of the ledger, and its replay gate."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.ledger = world.make_ledger()
        self.applied_count = 0
        self.ready_at = 0  # the applied count from which the copy is ready
        self.has_leader_contact = True

    @property
    def is_ready(self) -> bool:
        return self.applied_count >= self.ready_at and self.has_leader_contact

    def apply_committed(self, count: int) -> None:
        log = self.world.committed
        for data in log[self.applied_count : self.applied_count + count]:
            self.applied_count += 1
            self.ledger.apply(self.applied_count, data)

    def restart(self) -> None:
        """Forget the calls of this copy, but not what it sent. Start from its own snapshot, from another
        copy's, or empty.
        """
        world = self.world
        for send in world.sends:
            if send.call is not None and send.call.copy is self:
                send.call = None
        world.calls = [call for call in world.calls if call.copy is not self]
        chance = world.rng.random()
        source = self if chance < 0.6 else world.rng.choice(world.copies)
        new = world.make_ledger()
        if chance < 0.9:
            raw = source.ledger.dump()
            new.load(raw)
            world.check_snapshot(source.ledger, new)
            self.applied_count = source.applied_count
        else:
            self.applied_count = 0
        self.ledger = new
        self.ready_at = len(world.committed)

    # --- Replay gate ------------------------------------------------------------------

    def replay(self, edge: Edge, attempt: int, identity: ReplayIdentity, key: str) -> None:
        world, write_id = self.world, identity.write_id
        call = Call(self, edge, attempt, identity, key, world.rng.getrandbits(63) or 1)
        if not self.is_ready:
            self.reply(call, "not run")
        elif self.ledger.write_status(Dependency(*write_id)) is WriteStatus.APPLIED:
            self.reply(call, "in")
        elif (
            self.ledger.holder(write_id.edge_log) != identity.incarnation
            or self.ledger.write_status(Dependency(*write_id)) is WriteStatus.ABANDONED
        ):
            self.reply(call, "fenced")
        else:
            world.calls.append(call)
            if identity.unsafe:
                self.advance(call)
            else:
                self.send(call)

    def send(self, call: Call) -> None:
        call.stage = "sent"
        self.world.sends.append(Send(call.identity.write_id, call.key, call.intent_id, call))

    def advance(self, call: Call) -> None:
        match call.stage:
            case "intent":
                self.request_intent(call)
            case "record":
                self.record_applied(call)
            case "withdrawal":
                self.continue_withdrawal(call)

    def request_intent(self, call: Call) -> None:
        identity, world = call.identity, self.world
        match self.ledger.intent_status(identity.write_id, identity.incarnation, call.intent_id):
            case IntentStatus.MINE:
                self.send(call)
            case IntentStatus.OTHERS:
                self.reply(call, "begun")
            case IntentStatus.APPLIED:
                self.reply(call, "in")
            case IntentStatus.FENCED:
                self.withdraw_intent(call, "fenced")
            case _ if world.rng.random() < world.timeout_probability:
                self.withdraw_intent(call, "not run")
            case _:
                world.send_to_leader(Intent(identity.write_id, identity.incarnation, call.intent_id))

    def withdraw_intent(self, call: Call, answer: str) -> None:
        call.stage, call.answer = "withdrawal", answer
        self.continue_withdrawal(call)

    def continue_withdrawal(self, call: Call) -> None:
        if (
            self.ledger.is_withdrawn(call.intent_id)
            or self.world.rng.random() < self.world.timeout_probability
        ):
            self.reply(call, call.answer)
        else:
            self.world.send_to_leader(IntentWithdrawal(call.identity.write_id, call.intent_id))

    def on_served(self, call: Call) -> None:
        call.stage = "record"
        self.record_applied(call)

    def record_applied(self, call: Call) -> None:
        write_status = self.ledger.write_status(Dependency(*call.identity.write_id))
        if write_status is WriteStatus.APPLIED:
            self.reply(call, "in")
        elif (
            write_status is WriteStatus.ABANDONED or self.world.rng.random() < self.world.timeout_probability
        ):
            self.reply(call, "may have run")
        else:
            self.world.send_to_leader(WriteApplied(call.identity.write_id))

    def on_unsent(self, call: Call) -> None:
        """The attempt was refused before any byte of it left."""
        if call.identity.unsafe:
            self.withdraw_intent(call, "not run")
        else:
            self.reply(call, "not run")

    def reply(self, call: Call, answer: str) -> None:
        world = self.world
        if call in world.calls:
            world.calls.remove(call)
        world.counts[answer] += 1
        if answer == "in":
            world.check_applied(Dependency(*call.identity.write_id), "a replay")
        world.messages.append(lambda: call.edge.on_reply(call.identity.write_id, call.attempt, answer))

    def on_query(self, edge: Edge, query: ReplayQuery) -> None:
        if not self.is_ready:
            return
        ledger, world = self.ledger, self.world
        write_statuses = tuple(ledger.write_status(dependency) for dependency in query.dependencies)
        for dependency, write_status in zip(query.dependencies, write_statuses, strict=True):
            if write_status is WriteStatus.APPLIED:
                world.check_applied(dependency, "a query")
        for entry in (
            *(ledger.lease_entry(request) for request in query.lease_requests),
            *(ledger.status_entry(update) for update in query.status_updates),
        ):
            if entry is not None:
                world.send_to_leader(entry)
        lease_statuses = tuple(ledger.lease_status(request) for request in query.lease_requests)
        agreements = tuple(ledger.agrees_with(update) for update in query.status_updates)
        world.messages.append(lambda: edge.on_query_reply(query, write_statuses, lease_statuses, agreements))


class Edge:
    """One process of an edge on one disk, from one start to its end."""

    def __init__(self, world: World, name: str, disk: Disk) -> None:
        self.world = world
        self.name = name
        self.disk = disk
        self.is_alive = True
        self.incarnation = world.rng.getrandbits(63) or 1
        self.known_incarnations = tuple(disk.incarnations)
        world.known_by_incarnation[self.incarnation] = frozenset(disk.incarnations)
        disk.incarnations.append(self.incarnation)  # stored durably before the first query
        self.edge_log = EdgeLog(name, self.incarnation)
        self.write_count = 0
        self.lease_statuses: dict[EdgeLog, LeaseStatus] = {self.edge_log: LeaseStatus.HELD}
        self.write_statuses: dict[Dependency, WriteStatus] = {}
        for write in disk.writes.values():
            self.lease_statuses.setdefault(write.write_id.edge_log, LeaseStatus.OPEN)
            write.attempt = 0
            if write.state == "out":
                self.mark_may_have_run(write)

    def mark_may_have_run(self, write: QueuedWrite) -> None:
        """The outcome of the attempt is unknown: park an unsafe write, send a keyed one again."""
        write.state, write.is_published = ("parked", False) if write.unsafe else ("ready", True)
        write.parking_count += write.unsafe

    def queue_write(self, unsafe: bool, dependencies: tuple[Dependency, ...]) -> WriteId:
        self.write_count += 1
        write_id = WriteId(*self.edge_log, self.write_count)
        self.disk.writes[write_id] = QueuedWrite(write_id, unsafe, dependencies)
        return write_id

    # --- Sending and querying ---------------------------------------------------------

    def is_applied(self, dependency: Dependency) -> bool:
        own_write = None if dependency.before else self.disk.writes.get(dependency.write_id)
        return (own_write is not None and own_write.state == "done") or self.write_statuses.get(
            dependency
        ) is WriteStatus.APPLIED

    def may_send(self, write: QueuedWrite) -> bool:
        is_held = self.lease_statuses[write.write_id.edge_log] is LeaseStatus.HELD
        return (
            is_held
            and write.state == "ready"
            and all(self.is_applied(dependency) for dependency in write.dependencies)
        )

    def step(self) -> None:
        sendable = [write for write in self.disk.writes.values() if self.may_send(write)]
        if sendable and self.world.rng.random() < 0.85:
            self.send(self.world.rng.choice(sendable))
        else:
            self.query()

    def send(self, write: QueuedWrite) -> None:
        world = self.world
        write.state = "out"  # stored durably before it is sent
        world.attempt_count += 1
        write.attempt = world.attempt_count
        identity, attempt, key = (
            ReplayIdentity(write.write_id, self.incarnation, write.unsafe),
            write.attempt,
            self.key(write),
        )

        def deliver() -> None:
            world.rng.choice(world.copies).replay(self, attempt, identity, key)

        world.replays[deliver] = write.write_id
        world.messages.append(deliver)

    def key(self, write: QueuedWrite) -> str:
        return str(write.write_id)

    def query(self) -> None:
        world = self.world
        write_statuses = {
            dependency
            for write in self.disk.writes.values()
            if write.state == "ready"
            for dependency in write.dependencies
            if not self.is_applied(dependency)
        }
        claims = tuple(
            LeaseRequest(
                edge_log,
                self.incarnation,
                self.known_incarnations,
                (edge_log, self.incarnation) in world.forced_leases,
            )
            for edge_log, lease_status in self.lease_statuses.items()
            if lease_status is LeaseStatus.OPEN
        )
        updates = [
            update for write in self.disk.writes.values() if (update := self.status_update(write)) is not None
        ]
        updates += [
            watermark
            for edge_log, lease_status in self.lease_statuses.items()
            if lease_status is LeaseStatus.HELD
            if (watermark := self.low_watermark(edge_log))
        ]
        if world.rng.random() < 0.5:
            updates = updates[:1]
        query = ReplayQuery(tuple(sorted(write_statuses)), claims, tuple(updates))
        if query != ReplayQuery():
            world.messages.append(lambda: world.rng.choice(world.copies).on_query(self, query))

    def status_update(self, write: QueuedWrite) -> StatusUpdate | None:
        if write.is_published or self.lease_statuses[write.write_id.edge_log] is not LeaseStatus.HELD:
            return None
        write_statuses = {
            "parked": WriteStatus.PARKED,
            "done": WriteStatus.APPLIED,
            "given_up": WriteStatus.ABANDONED,
        }
        write_status = write_statuses.get(write.state, WriteStatus.UNKNOWN)
        return StatusUpdate(
            write.write_id,
            write_status,
            self.incarnation,
            False,
            write.state == "never_ran",
            write.parking_count,
        )

    def low_watermark(self, edge_log: EdgeLog) -> StatusUpdate | None:
        number = 0
        while (write := self.disk.writes.get(WriteId(*edge_log, number + 1))) is not None and self.is_final(
            write
        ):
            number += 1
        return (
            StatusUpdate(WriteId(*edge_log, number), WriteStatus.APPLIED, self.incarnation, True)
            if number
            else None
        )

    def is_final(self, write: QueuedWrite) -> bool:
        return write.state == "done" or (write.state == "given_up" and write.is_published)

    # --- Replies ----------------------------------------------------------------------

    def on_reply(self, write_id: WriteId, attempt: int, answer: str) -> None:
        write = self.disk.writes[write_id]
        if not self.is_alive or write.state != "out" or write.attempt != attempt:
            return
        match answer:
            case "in":
                write.state = "done"
            case "not run":
                write.state = "ready"
            case "fenced":
                write.state = "ready"
                self.lease_statuses[write_id.edge_log] = LeaseStatus.FENCED
            case _:
                self.mark_may_have_run(write)

    def on_query_reply(
        self,
        query: ReplayQuery,
        write_statuses: tuple[WriteStatus, ...],
        lease_statuses: tuple[LeaseStatus, ...],
        agreements: tuple[bool, ...],
    ) -> None:
        if not self.is_alive:
            return
        for dependency, write_status in zip(query.dependencies, write_statuses, strict=True):
            if self.write_statuses.get(dependency) not in FINAL_STATUSES:
                self.write_statuses[dependency] = write_status
        for request, lease_status in zip(query.lease_requests, lease_statuses, strict=True):
            if self.lease_statuses[request.edge_log] is LeaseStatus.OPEN:
                self.lease_statuses[request.edge_log] = lease_status
        for update, is_agreed in zip(query.status_updates, agreements, strict=True):
            write = self.disk.writes[update.write_id]
            if (
                is_agreed
                and not update.before
                and not write.is_published
                and self.status_update(write) == update
            ):
                write.is_published = True
                if write.state == "never_ran":
                    write.state = "ready"


@dataclass(eq=False)
class Send:
    """One attempt between a gate and a server. `call` is None once the gate died."""

    write_id: WriteId
    key: str
    intent_id: int
    call: Call | None


class World:
    """The copies, edges, servers and checker of one seed. The types of its parts can be replaced by faulty
    ones.
    """

    def __init__(
        self,
        seed: int,
        make_ledger: Callable[[], ReplicatedLedger] = ReplicatedLedger,
        copy_type: type[Copy] = Copy,
        edge_type: type[Edge] = Edge,
    ) -> None:
        self.rng = random.Random(seed)
        self.is_healed_at_end = seed % 8 == 0  # only for some seeds, as healing takes most of the time
        self.make_ledger = make_ledger
        self.edge_type = edge_type
        self.is_calm = False
        self.timeout_probability = self.rng.choice((0.05, 0.15, 0.4))
        self.loss_probability = self.rng.choice((0.0, 0.1, 0.25))
        self.duplication_probability = self.rng.choice((0.1, 0.3, 0.5))
        self.is_single_write = self.rng.random() < 0.4  # one unsafe write at a time
        self.failure_probability = self.rng.choice((0.25, 0.7)) if self.is_single_write else 0.25
        if self.is_single_write:
            self.loss_probability, self.duplication_probability = (
                self.rng.choice((0.0, 0.05)),
                self.rng.choice((0.4, 0.6)),
            )
        self.max_writes = self.rng.choice((3, 12))
        self.committed: list[bytes] = []
        self.reference = make_ledger()
        self.messages: list[Callable[[], None]] = []
        self.delayed: list[Callable[[], None]] = []  # duplicates that are delivered much later
        self.replays: dict[Callable[[], None], WriteId] = {}  # the replays among the messages
        self.calls: list[Call] = []
        self.sends: list[Send] = []
        self.attempt_count = 0
        self.known_by_incarnation: dict[int, frozenset[int]] = {}
        self.forced_leases: set[tuple[EdgeLog, int]] = set()
        # State of the checker.
        self.writes: dict[WriteId, QueuedWrite] = {}  # as they were queued
        self.writes_by_log: dict[EdgeLog, list[WriteId]] = {}
        self.effects: dict[WriteId, set[str]] = {}
        self.executed_intents: set[int] = set()  # ids of intents under which a write took effect
        self.counts = Counter[str]()
        self.given_up: set[WriteId] = set()
        self.finals: dict[EdgeLog, dict[Dependency, WriteStatus]] = {}
        self.holders: dict[EdgeLog, int] = {}
        self.lost: set[str | EdgeLog] = set()
        names = ("ash",) if self.is_single_write or self.rng.random() < 0.3 else ("ash", "birch")
        self.copies = [copy_type(self) for _ in range(self.rng.randint(2, 3))]
        self.edges = [edge_type(self, name, Disk()) for name in names]

    def run(self) -> None:
        actions: tuple[tuple[Callable[[], None], int], ...] = (
            (self.queue_write, 4), (self.step_edges, 14), (self.deliver_messages, 30),
            (self.advance_gates, 12), (self.advance_copies, 14), (self.execute_send, 10),
            (self.resolve_parked, 5), (self.deliver_delayed, 4), (self.time_out_attempt, 2),
            (self.change_leader_contact, 1), (self.restart_copy, 1), (self.restart_edge, 1),
            (self.copy_disk, 1), (self.force_lease, 1), (self.declare_lost, 1),
        )  # fmt: skip
        # Each seed has its own weights, so that some actions are frequent under it and others rare.
        weights = [weight * self.rng.choice((0.2, 1, 1, 3)) for _, weight in actions]
        if self.is_single_write:
            weights[5:8] = [
                weight * 2 for weight in weights[5:8]
            ]  # execute_send, resolve_parked and deliver_delayed
            weights[-5:] = [weight * self.rng.choice((0, 0, 1)) for weight in weights[-5:]]
        for action, _ in self.rng.choices(actions, weights, k=STEP_COUNT):
            action()
        if self.is_healed_at_end:
            self.heal()
        self.check_copies()

    # --- Actions ------------------------------------------------------------------------

    def live_edges(self) -> list[Edge]:
        return [edge for edge in self.edges if edge.is_alive]

    def queue_write(self) -> None:
        edge, rng = self.rng.choice(self.live_edges()), self.rng
        if self.is_single_write:
            has_room = all(write.state in ("done", "given_up") for write in edge.disk.writes.values())
        else:
            has_room = len(self.writes) < self.max_writes
        if not has_room:
            return
        write_ids = list(self.writes)
        followed = rng.sample(write_ids, min(len(write_ids), rng.choice((0, 0, 0, 1, 1, 2))))
        dependencies = tuple(Dependency(*write_id, rng.random() < 0.25) for write_id in followed)
        write_id = edge.queue_write(self.is_single_write or rng.random() < 0.7, dependencies)
        self.writes[write_id] = QueuedWrite(write_id, edge.disk.writes[write_id].unsafe, dependencies)
        self.writes_by_log.setdefault(write_id.edge_log, []).append(write_id)

    def step_edges(self) -> None:
        for edge in self.live_edges():
            if self.rng.random() < 0.6:
                edge.step()

    def deliver_messages(self) -> None:
        for _ in range(1 if self.is_calm else self.rng.choice((1, 2, 4))):
            if self.messages:
                self.deliver_one()

    def deliver_one(self) -> None:
        """Deliver a random message: it may be lost, or delivered again."""
        deliver = self.messages.pop(self.rng.randrange(len(self.messages)))
        chance = 1.0 if self.is_calm else self.rng.random()
        if chance < self.loss_probability:
            return
        deliver()
        if chance < self.loss_probability + self.duplication_probability / (
            1 + 2 * (deliver in self.replays)
        ):
            # A replay has a deadline, so its duplicate is not delivered much later.
            self.rng.choice(
                (self.messages, self.messages if deliver in self.replays else self.delayed)
            ).append(deliver)
            if self.is_single_write:
                deliver()  # both at once, possibly at two gates

    def deliver_delayed(self) -> None:
        if self.delayed:
            self.delayed.pop(self.rng.randrange(len(self.delayed)))()

    def send_to_leader(self, entry: LedgerEntry) -> None:
        data = pack(entry)[1:]
        self.messages.append(lambda: self.commit(data))

    def advance_gates(self) -> None:
        for call in list(self.calls):
            if call.stage != "sent" and self.rng.random() < 0.6:
                call.copy.advance(call)

    def advance_copies(self) -> None:
        for replica in self.copies:
            replica.apply_committed(self.rng.choice((0, 1, 3, 100)))

    def execute_send(self) -> None:
        if not self.sends:
            return
        send = self.sends.pop(self.rng.randrange(len(self.sends)))
        call, chance = send.call, 1.0 if self.is_calm else self.rng.random()
        if chance < 0.6 * self.failure_probability:
            if call is not None:
                call.copy.on_unsent(call)
            return
        if chance >= self.failure_probability:
            self.take_effect(send)
        if call is not None:
            if chance < self.failure_probability + 0.15:
                call.copy.reply(call, "may have run")  # the attempt or its answer was lost
            else:
                call.copy.on_served(call)

    def resolve_parked(self) -> None:
        """Resolve a parked write correctly.

        An operator resolves a write as never run only where the log is held, and once no attempt is left in
        flight that could still run it.
        """
        edge = self.rng.choice(self.live_edges())
        parked = [write for write in edge.disk.writes.values() if write.state == "parked"]
        if not parked:
            return
        write = self.rng.choice(parked)
        if self.rng.random() < 0.12:
            write.state, write.is_published = "given_up", False
            self.given_up.add(write.write_id)
        elif write.write_id in self.effects:
            write.state, write.is_published = "done", False
        elif edge.lease_statuses[write.write_id.edge_log] is LeaseStatus.HELD and not self.has_attempt(
            write.write_id
        ):
            write.state, write.is_published = "never_ran", False

    def has_attempt(self, write_id: WriteId) -> bool:
        if any(attempt.write_id == write_id for attempt in self.sends) or any(
            attempt.identity.write_id == write_id for attempt in self.calls
        ):
            return True
        return any(self.replays.get(deliver) == write_id for deliver in self.messages)

    def time_out_attempt(self) -> None:
        """An attempt of an edge passes its deadline."""
        edge = self.rng.choice(self.live_edges())
        in_flight = [write for write in edge.disk.writes.values() if write.state == "out"]
        if in_flight:
            edge.mark_may_have_run(self.rng.choice(in_flight))

    def change_leader_contact(self) -> None:
        replica = self.rng.choice(self.copies)
        replica.has_leader_contact = self.rng.random() < 0.85

    def restart_copy(self) -> None:
        self.rng.choice(self.copies).restart()

    def restart_edge(self) -> None:
        edge = self.rng.choice(self.live_edges())
        edge.is_alive = False
        self.edges.append(self.edge_type(self, edge.name, edge.disk))

    def copy_disk(self) -> None:
        if len(self.live_edges()) < 4:
            edge = self.rng.choice(self.live_edges())
            self.edges.append(self.edge_type(self, edge.name, copy.deepcopy(edge.disk)))

    def force_lease(self) -> None:
        edge = self.rng.choice(self.live_edges())
        fenced = [
            edge_log
            for edge_log, lease_status in edge.lease_statuses.items()
            if lease_status is LeaseStatus.FENCED
        ]
        if fenced:
            edge_log = self.rng.choice(fenced)
            self.forced_leases.add((edge_log, edge.incarnation))
            edge.lease_statuses[edge_log] = LeaseStatus.OPEN

    def declare_lost(self) -> None:
        if self.writes_by_log and self.rng.random() < 0.15:
            edge_log = self.rng.choice(list(self.writes_by_log))
            self.send_to_leader(
                EdgeLost(edge_log.edge, edge_log.incarnation if self.rng.random() < 0.6 else 0)
            )

    # --- The checker --------------------------------------------------------------------

    def take_effect(self, send: Send) -> None:
        write, seen_keys = self.writes[send.write_id], self.effects.get(send.write_id, set())
        if seen_keys and (write.unsafe or send.key not in seen_keys):
            raise BrokenError("once", f"{send.write_id} took effect twice")
        if seen_keys:
            return  # the server knows the key
        for dependency in write.dependencies:
            for write_id in self.covered_writes(dependency):
                if not self.has_run(write_id) and not (dependency.before and self.is_given_up(write_id)):
                    raise BrokenError("order", f"{send.write_id} took effect before {write_id}")
        self.effects.setdefault(send.write_id, set()).add(send.key)
        self.counts["unsafe effect" if write.unsafe else "keyed effect"] += 1
        self.executed_intents.add(send.intent_id)

    def covered_writes(self, dependency: Dependency) -> list[WriteId]:
        if not dependency.before:
            return [dependency.write_id]
        return [
            write_id
            for write_id in self.writes_by_log[dependency.edge_log]
            if write_id.number <= dependency.number
        ]

    def has_run(self, write_id: WriteId) -> bool:
        return write_id in self.effects

    def is_given_up(self, write_id: WriteId) -> bool:
        return write_id in self.given_up

    def check_applied(self, dependency: Dependency, where: str) -> None:
        """Check that a write which is reported as applied was applied."""
        if self.reference.write_status(dependency) is not WriteStatus.APPLIED:
            raise BrokenError(
                "reported", f"{where} reports {dependency} as applied, but the ledger does not agree"
            )
        for write_id in self.covered_writes(dependency):
            if not self.has_run(write_id) and not (dependency.before and self.is_given_up(write_id)):
                raise BrokenError(
                    "reported", f"{where} reports {dependency} as applied, but {write_id} has not run"
                )

    def commit(self, data: bytes) -> None:
        """Commit the next entry, and check the ledger's state after it."""
        self.committed.append(data)
        entry = unpack(data)
        assert entry is not None
        previous_id = self.intent_id_of(entry)
        try:
            self.reference.apply(len(self.committed), data)
        except Exception as error:
            raise BrokenError("step", f"{entry}: {error!r}") from error
        if isinstance(entry, Intent):
            self.check_intent(entry, previous_id)
        if isinstance(entry, StatusRecord | IntentWithdrawal):
            self.check_withdrawal(entry, previous_id)
        if isinstance(entry, EdgeLost):
            self.lost.add(EdgeLog(entry.edge, entry.incarnation) if entry.incarnation else entry.edge)
        touched = [edge_log for edge_log in self.writes_by_log if edge_log.edge == edge_of(entry)]
        self.check_holders(entry, touched)
        self.check_finals(touched)
        self.check_limits()

    def check_intent(self, entry: Intent, previous_id: int) -> None:
        edge_log = entry.write_id.edge_log
        if (
            previous_id == entry.intent_id
            or self.reference._log_state(edge_log).intent_id(entry.write_id.number) != entry.intent_id
        ):
            return
        if entry.incarnation != self.holder(edge_log) or edge_log in self.lost or edge_log.edge in self.lost:
            raise BrokenError("fenced", f"{entry} was granted, but another process holds {edge_log}")

    def intent_id_of(self, entry: LedgerEntry) -> int:
        if isinstance(entry, Intent | StatusRecord | IntentWithdrawal):
            return self.reference._log_state(entry.write_id.edge_log).intent_id(entry.write_id.number)
        return 0

    def check_withdrawal(self, entry: StatusRecord | IntentWithdrawal, previous_id: int) -> None:
        """Check that an intent which ends has not run its write and never will, even if the entry arrives
        late.
        """
        if (
            not previous_id
            or self.intent_id_of(entry) == previous_id
            or self.reference.write_status(Dependency(*entry.write_id)) in FINAL_STATUSES
        ):
            return
        self.counts[f"withdrawn by {type(entry).__name__}"] += 1
        in_flight = any(call.intent_id == previous_id and call.stage != "withdrawal" for call in self.calls)
        if (
            in_flight
            or previous_id in self.executed_intents
            or any(send.intent_id == previous_id for send in self.sends)
        ):
            raise BrokenError("once", f"{entry} ends an intent whose write ran or may still run")

    def holder(self, edge_log: EdgeLog) -> int:
        return self.holders.get(edge_log, edge_log.incarnation)

    def check_holders(self, entry: LedgerEntry, touched: list[EdgeLog]) -> None:
        for edge_log in touched:
            holder, before = self.reference.holder(edge_log), self.holder(edge_log)
            if holder == before:
                continue
            if holder:
                is_requested = (
                    isinstance(entry, LogLease) and entry.edge_log == edge_log and entry.incarnation == holder
                )
                is_known = (
                    before in self.known_by_incarnation[holder] or (edge_log, holder) in self.forced_leases
                )
                if not is_requested or not is_known or before == 0:
                    raise BrokenError(
                        "fenced", f"the lease on {edge_log} went from {before} to {holder} by {entry}"
                    )
            elif edge_log not in self.lost and edge_log.edge not in self.lost:
                raise BrokenError("fenced", f"{edge_log} lost its holder by {entry}")
            self.holders[edge_log] = holder
            self.counts["leased" if holder else "lost"] += 1

    def check_finals(self, touched: list[EdgeLog]) -> None:
        for edge_log in touched:
            now, before = self.final_statuses(self.reference, edge_log), self.finals.get(edge_log, {})
            if not before.items() <= now.items():
                raise BrokenError("final", f"final statuses changed from {before} to {now}")
            self.finals[edge_log] = now

    def final_statuses(self, ledger: ReplicatedLedger, edge_log: EdgeLog) -> dict[Dependency, WriteStatus]:
        dependencies = [
            Dependency(*write_id, before)
            for write_id in self.writes_by_log[edge_log]
            for before in (False, True)
        ]
        dependencies.append(
            Dependency(edge_log.edge, 1 << 63, 1)
        )  # of an incarnation that does not exist yet
        return {
            dependency: write_status
            for dependency in dependencies
            if (write_status := ledger.write_status(dependency)) in FINAL_STATUSES
        }

    def check_limits(self) -> None:
        log_states = self.reference._log_states
        range_count = sum(log_state.range_count for log_state in log_states.values())
        intents = [
            (edge_log, intent[0])
            for edge_log, log_state in log_states.items()
            for intent in log_state.intents
        ]
        for name, count, limit in (
            ("lines", len(log_states), ledger_module.MAX_LINES),
            (
                "ranges",
                max(
                    (len(log_state.applied) + len(log_state.abandoned) for log_state in log_states.values()),
                    default=0,
                ),
                ledger_module.MAX_RANGES,
            ),
            (
                "parked",
                max((len(log_state.parked) for log_state in log_states.values()), default=0),
                ledger_module.MAX_PARKED,
            ),
            ("spans", range_count, ledger_module.MAX_SPANS),
            ("begun", len(intents), ledger_module.MAX_BEGUN),
            ("withdrawn", len(self.reference._withdrawn_intents), ledger_module.MAX_WITHDRAWN),
            ("lost", len(self.reference._lost_edges), ledger_module.MAX_LOST),
        ):
            if count > limit:
                raise BrokenError("limits", f"{count} {name}, {limit} at most")
        if (range_count, len(intents)) != (self.reference._range_count, self.reference._intent_count):
            raise BrokenError("limits", "the ledger's counters differ from its contents")
        for edge_log, number in intents:
            if self.reference.write_status(Dependency(*edge_log, number)) in FINAL_STATUSES:
                raise BrokenError("limits", f"write {number} of {edge_log} is final but still has an intent")

    def check_snapshot(self, old: ReplicatedLedger, new: ReplicatedLedger) -> None:
        for edge_log in self.writes_by_log:
            if not self.final_statuses(old, edge_log).items() <= self.final_statuses(new, edge_log).items():
                raise BrokenError("final", "a snapshot lost a final status")
        if old.dump() != new.dump():
            raise BrokenError("step", "a restored snapshot differs from the state that it was made of")

    def check_copies(self) -> None:
        self.catch_up_copies()
        for replica in self.copies:
            if replica.ledger.dump() != self.reference.dump():
                raise BrokenError("step", "copies that applied the same entries differ")

    # --- Healing ------------------------------------------------------------------------

    def heal(self) -> None:
        self.is_calm, self.timeout_probability = True, 0.0
        self.messages += self.delayed
        for replica in self.copies:
            replica.has_leader_contact = True
        self.catch_up_copies()
        for _ in range(MAX_HEALING_ROUNDS):
            if not self.run_round():
                break
        self.check_progress()

    def run_round(self) -> bool:
        """Do once all that can be done. True if anything but queries was done."""
        before = self.observed_state()
        is_idle = not self.messages and not self.calls and not self.sends
        for edge in self.live_edges():
            for write in list(edge.disk.writes.values()):
                if write.state == "out" and is_idle:
                    edge.mark_may_have_run(write)  # the answer was lost
                if edge.may_send(write):
                    edge.send(write)
            edge.query()
        while self.messages or self.sends:
            while self.messages:
                self.deliver_messages()
            self.catch_up_copies()
            while self.sends:
                self.execute_send()
        for call in list(self.calls):
            call.copy.advance(call)
        while self.messages:
            self.deliver_messages()
        self.catch_up_copies()
        return not is_idle or self.observed_state() != before

    def catch_up_copies(self) -> None:
        for replica in self.copies:
            replica.apply_committed(len(self.committed))

    def observed_state(self) -> list[object]:
        state: list[object] = [len(self.committed)]
        for edge in self.live_edges():
            state += [
                (write.write_id, write.state, write.is_published) for write in edge.disk.writes.values()
            ]
            state += [dict(edge.lease_statuses), dict(edge.write_statuses)]
        return state

    def check_progress(self) -> None:
        if sum(self.reference.refusal_counts.values()):
            return  # a refused change waits for an operator
        for edge in self.live_edges():
            for write in edge.disk.writes.values():
                if self.reference.holder(write.write_id.edge_log) != edge.incarnation or write.state in (
                    "done",
                    "given_up",
                    "parked",
                ):
                    continue
                is_free = all(
                    self.reference.write_status(dependency) is WriteStatus.APPLIED
                    for dependency in write.dependencies
                )
                if is_free and edge.lease_statuses[write.write_id.edge_log] is not LeaseStatus.FENCED:
                    raise BrokenError("progress", f"{write.write_id} is still {write.state} at the end")


def edge_of(entry: LedgerEntry) -> str:
    match entry:
        case LogLease():
            return entry.edge_log.edge
        case EdgeLost():
            return entry.edge
        case _:
            return entry.write_id.edge


def run_seeds(first: int, last: int, **types: Any) -> Counter[str]:
    """Run the schedules of the seeds first..last - 1, and count what happened in them."""
    counts = Counter[str]()
    for seed in range(first, last):
        world = World(seed, **types)
        try:
            world.run()
        except BrokenError as error:
            error.add_note(f"seed {seed}")
            raise
        counts += world.counts + Counter(
            {f"refused {name}": n for name, n in world.reference.refusal_counts.items()}
        )
    return counts


SMALL_LIMITS = {
    "lines": {"LINES": 3, "PARKED": 1, "WITHDRAWN": 2},
    "ranges": {"RANGES": 1, "SPANS": 2, "BEGUN": 1, "WITHDRAWN": 2},
}


def set_small_limits(monkeypatch: pytest.MonkeyPatch, limits: str) -> None:
    for name, limit in SMALL_LIMITS[limits].items():
        monkeypatch.setattr(ledger_module, f"MAX_{name}", limit)


@pytest.mark.parametrize("first", range(0, 10_000, 2_500))
def test_no_schedule_breaks_an_invariant(first: int) -> None:
    counts = run_seeds(first, first + 2_500)
    expected = {
        "unsafe effect",
        "keyed effect",
        "in",
        "begun",
        "fenced",
        "not run",
        "may have run",
        "leased",
        "lost",
    }
    assert all(counts[name] > 100 for name in expected), counts
    assert counts["withdrawn by IntentWithdrawal"] > 20 and counts["withdrawn by StatusRecord"] > 20, counts


@pytest.mark.parametrize("limits", SMALL_LIMITS)
def test_no_schedule_breaks_an_invariant_at_small_limits(
    limits: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    set_small_limits(monkeypatch, limits)
    counts = run_seeds(0, 700)
    assert all(counts[f"refused {name.lower()}"] for name in SMALL_LIMITS[limits] if name != "WITHDRAWN"), (
        counts
    )


# --- Faults that the checker must detect ---------------------------------------------------


class GrantsIntentTwice(ReplicatedLedger):
    """Grants an intent although the write has another one."""

    def _apply_intent(self, entry: Intent) -> None:
        log_state, number = self._log_state(entry.write_id.edge_log), entry.write_id.number
        if log_state.holder == entry.incarnation and log_state.write_status(number) not in FINAL_STATUSES:
            self._put(entry.write_id.edge_log, log_state.with_intent(number, entry.intent_id, 0))


class WithdrawsAnyIntent(ReplicatedLedger):
    """Withdraws the write's intent whatever its id."""

    def _apply_withdrawal(self, entry: IntentWithdrawal) -> None:
        number = entry.write_id.number
        self._put(
            entry.write_id.edge_log, self._log_state(entry.write_id.edge_log).without_intents(number, number)
        )
        self._remember_withdrawn(entry.intent_id)


class IgnoresHolder(ReplicatedLedger):
    """Grants an intent to a process that does not hold the log."""

    def _apply_intent(self, entry: Intent) -> None:
        super()._apply_intent(
            msgspec.structs.replace(entry, incarnation=self.holder(entry.write_id.edge_log))
        )


class LeasesToUnknown(ReplicatedLedger):
    """Grants a lease although the request does not name the holder."""

    def lease_status(self, request: LeaseRequest) -> LeaseStatus:
        return super().lease_status(msgspec.structs.replace(request, is_forced=True))


class IgnoresHolderChanges(ReplicatedLedger):
    """Grants a lease although the holder has changed since it was requested."""

    def _apply_lease(self, entry: LogLease) -> None:
        log_state = self._log_state(entry.edge_log)
        super()._apply_lease(
            msgspec.structs.replace(
                entry, holder_changes=log_state.holder_changes, previous_holder=log_state.holder
            )
        )


class LeasesLostLog(ReplicatedLedger):
    """Grants a lease on a lost log."""

    def _apply_lease(self, entry: LogLease) -> None:
        log_state = self._log_state(entry.edge_log)
        if log_state.holder == 0:
            self._log_states[entry.edge_log] = msgspec.structs.replace(log_state, holder=entry.incarnation)
        else:
            super()._apply_lease(entry)

    def lease_status(self, request: LeaseRequest) -> LeaseStatus:
        return LeaseStatus.OPEN if self.holder(request.edge_log) == 0 else super().lease_status(request)


class OmitsLostEdgesFromSnapshot(ReplicatedLedger):
    """Omits the lost edges from its snapshots."""

    def dump(self) -> bytes:
        lost, self._lost_edges = self._lost_edges, set()
        raw = super().dump()
        self._lost_edges = lost
        return raw


class OmitsIntentsFromSnapshot(ReplicatedLedger):
    """Forgets the intents when it loads a snapshot."""

    def load(self, raw: bytes) -> None:
        super().load(raw)
        for edge_log, log_state in self._log_states.items():
            self._log_states[edge_log] = msgspec.structs.replace(log_state, intents=())
        self._intent_count = 0


class RevertsAbandoned(ReplicatedLedger):
    """Makes an abandoned write applied when it runs after all."""

    def _set_status(self, write_id: WriteId, first: int, write_status: WriteStatus) -> None:
        log_state = self._log_state(write_id.edge_log)
        if write_status is WriteStatus.APPLIED and log_state.holder:
            self._range_count -= log_state.range_count
            log_state = msgspec.structs.replace(
                log_state, abandoned=ranges.remove(log_state.abandoned, first, write_id.number)
            )
            self._range_count += log_state.range_count
            self._log_states[write_id.edge_log] = log_state
        super()._set_status(write_id, first, write_status)


class RevertsApplied(ReplicatedLedger):
    """Takes an applied status back when the write is parked or abandoned."""

    def _set_status(self, write_id: WriteId, first: int, write_status: WriteStatus) -> None:
        log_state = self._log_state(write_id.edge_log)
        if (
            write_status is not WriteStatus.APPLIED
            and log_state.holder
            and log_state.low_watermark >= write_id.number
        ):
            self._log_states[write_id.edge_log] = msgspec.structs.replace(
                log_state, low_watermark=write_id.number - 1
            )
        super()._set_status(write_id, first, write_status)


class KeepsIntentsOfFinalWrites(ReplicatedLedger):
    """Keeps the intent of a write that is final."""

    def _set_status(self, write_id: WriteId, first: int, write_status: WriteStatus) -> None:
        intents = self._log_state(write_id.edge_log).intents
        super()._set_status(write_id, first, write_status)
        log_state = self._log_state(write_id.edge_log)
        if log_state.intents != intents:
            self._log_states[write_id.edge_log] = msgspec.structs.replace(log_state, intents=intents)
            self._intent_count += len(intents) - len(log_state.intents)


class ClearsIntentOnParking(ReplicatedLedger):
    """Removes the intent of a write that is parked."""

    def _set_status(self, write_id: WriteId, first: int, write_status: WriteStatus) -> None:
        if write_status is WriteStatus.PARKED:
            self._put(
                write_id.edge_log, self._log_state(write_id.edge_log).without_intents(first, write_id.number)
            )
        super()._set_status(write_id, first, write_status)


class AppliesEarlierWrites(ReplicatedLedger):
    """Takes all earlier writes of the log as applied when one write is."""

    def _set_status(self, write_id: WriteId, first: int, write_status: WriteStatus) -> None:
        super()._set_status(write_id, 1 if write_status is WriteStatus.APPLIED else first, write_status)


class IgnoresLimits(ReplicatedLedger):
    """Accepts entries beyond every limit."""

    def _exceeded_limit(self, *args: Any) -> None:
        return None


class EvictsRanges(ReplicatedLedger):
    """Evicts the first applied range of a log that has no room for another."""

    def _put(self, edge_log: EdgeLog, log_state: Any) -> bool:
        if len(log_state.applied) + len(log_state.abandoned) > ledger_module.MAX_RANGES and log_state.applied:
            log_state = msgspec.structs.replace(log_state, applied=log_state.applied[1:])
        return super()._put(edge_log, log_state)


class RaisesOnUnknownLog(ReplicatedLedger):
    """Raises when a log is declared lost that it does not know."""

    def _apply_lost(self, entry: EdgeLost) -> None:
        if entry.incarnation:
            self._log_states[EdgeLog(entry.edge, entry.incarnation)]
        super()._apply_lost(entry)


class ForgetsWithdrawals(ReplicatedLedger):
    """Does not remember withdrawn intent ids, so that a late intent is granted."""

    def _remember_withdrawn(self, intent_id: int) -> None:
        self._withdrawn_intents.pop(intent_id, None)


class ResolvesParkingAgain(ReplicatedLedger):
    """Accepts the resolution of a parking as never run each time that it arrives."""

    def agrees_with(self, update: StatusUpdate) -> bool:
        return super().agrees_with(msgspec.structs.replace(update, parking=0))

    def _apply_status_record(self, entry: StatusRecord) -> None:
        super()._apply_status_record(msgspec.structs.replace(entry, parking=0))


class RepliesBeforeAgreement(Copy):
    """Reports a write as applied before that is agreed."""

    def on_served(self, call: Call) -> None:
        self.world.send_to_leader(WriteApplied(call.identity.write_id))
        self.reply(call, "in")


class SendsBeforeIntent(Copy):
    """Sends an unsafe write before its intent is agreed."""

    def request_intent(self, call: Call) -> None:
        identity = call.identity
        if (
            self.ledger.intent_status(identity.write_id, identity.incarnation, call.intent_id)
            is IntentStatus.OPEN
        ):
            self.world.send_to_leader(Intent(identity.write_id, identity.incarnation, call.intent_id))
            self.send(call)
        else:
            super().request_intent(call)


class WithdrawsIntentOfSentWrite(Copy):
    """Withdraws the intent of a call whose answer is lost, as if nothing had been sent."""

    def reply(self, call: Call, answer: str) -> None:
        if answer == "may have run" and call.identity.unsafe:
            self.world.send_to_leader(IntentWithdrawal(call.identity.write_id, call.intent_id))
            answer = "not run"
        super().reply(call, answer)


class IgnoresDependencies(Edge):
    """Sends a write without waiting for its dependencies."""

    def is_applied(self, dependency: Dependency) -> bool:
        return True


class ChangesKeyPerAttempt(Edge):
    """Uses a new idempotency key for each attempt."""

    def key(self, write: QueuedWrite) -> str:
        return f"{write.write_id} {write.attempt}"


class CountsParkedAsFinal(Edge):
    """Counts parked writes as final for the low watermark."""

    def is_final(self, write: QueuedWrite) -> bool:
        return write.state == "parked" or super().is_final(write)


FAULTS: list[tuple[type[Any], str]] = [
    (GrantsIntentTwice, "once"),
    (WithdrawsAnyIntent, "once"),
    (IgnoresHolder, "fenced"),
    (LeasesToUnknown, "fenced"),
    (IgnoresHolderChanges, "fenced"),
    (LeasesLostLog, "fenced"),
    (OmitsLostEdgesFromSnapshot, "final"),
    (OmitsIntentsFromSnapshot, "step"),
    (RevertsAbandoned, "final"),
    (RevertsApplied, "final"),
    (KeepsIntentsOfFinalWrites, "limits"),
    (ClearsIntentOnParking, "once"),
    (AppliesEarlierWrites, "reported"),
    (RaisesOnUnknownLog, "step"),
    (RepliesBeforeAgreement, "reported"),
    (SendsBeforeIntent, "once"),
    (WithdrawsIntentOfSentWrite, "once"),
    (IgnoresDependencies, "order"),
    (ChangesKeyPerAttempt, "once"),
    (CountsParkedAsFinal, "reported"),
    (ForgetsWithdrawals, "progress"),
    (ResolvesParkingAgain, "once"),
]


def world_arguments(fault: type[Any]) -> dict[str, Any]:
    names = {ReplicatedLedger: "make_ledger", Copy: "copy_type", Edge: "edge_type"}
    return next({name: fault} for base, name in names.items() if issubclass(fault, base))


def is_found_by(invariant: str, fault: type[Any], seeds: int = 3_000) -> bool:
    """Whether a schedule of one of the seeds breaks this invariant under the fault."""
    for seed in range(seeds):
        try:
            World(seed, **world_arguments(fault)).run()
        except BrokenError as error:
            if error.name == invariant:
                return True
    return False


@pytest.mark.parametrize(("fault", "invariant"), FAULTS, ids=lambda value: getattr(value, "__name__", value))
def test_a_fault_is_found_by_its_invariant(fault: type[Any], invariant: str) -> None:
    assert is_found_by(invariant, fault)


@pytest.mark.parametrize(("fault", "invariant"), [(IgnoresLimits, "limits"), (EvictsRanges, "final")])
def test_a_fault_at_a_limit_is_found_by_its_invariant(
    fault: type[Any], invariant: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    set_small_limits(monkeypatch, "ranges")
    assert is_found_by(invariant, fault)
