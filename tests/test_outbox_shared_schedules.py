"""The agreed record of kept writes under made schedules, one seed one schedule, and that the checker can
fail.

Edges replay through gates that ask the record; what is told is lost, doubled, late and out of order. Gates
die between BEGIN, send, effect and IN, copies begin anew from a snapshot or from nothing, disks are copied
and started twice, operators judge, force and declare lost. The checker knows the effects, and follows each
agreed entry.

Invariants: once (an unsafe write takes effect at most once, a keyed one under its key alone), told (what is
said to be in has taken effect, and is agreed), order (a cause before its effects), fenced (who does not hold
a line gets no BEGIN and no line), final (in and gone are never taken back), bounds, step (copies at the same
place are the same), progress (at the end each write is in, parked, or waits for one that is)."""

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

STEPS = 160
ROUNDS = 40
OVER = (WriteStatus.APPLIED, WriteStatus.ABANDONED)


class BrokenError(AssertionError):
    """An invariant of the shared record, by name."""

    def __init__(self, name: str, text: str) -> None:
        super().__init__(f"{name}: {text}")
        self.name = name


@dataclass(eq=False)
class Kept:
    """A write on one disk. `state`: ready, out, parked, clearing, done, gone."""

    write_id: WriteId
    unsafe: bool
    dependencies: tuple[Dependency, ...]
    state: str = "ready"
    said: bool = True  # the record was told of this state
    parkings: int = 0
    attempt: int = 0


@dataclass(eq=False)
class Disk:
    lives: list[int] = field(default_factory=list)
    kept: dict[WriteId, Kept] = field(default_factory=dict)


@dataclass(eq=False)
class Call:
    """A replay at a gate. `stage`: begin, sent, in, undo; `answer` is what is said once undone."""

    copy: Copy
    edge: Edge
    attempt: int
    replayed: ReplayIdentity
    key: str
    ask: int
    stage: str = "begin"
    answer: str = ""


class Copy:
    """One copy upstream: its record, and the gate's rule."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.ledger = world.make()
        self.place = 0  # how many entries it has applied
        self.known_at = 0
        self.in_touch = True

    @property
    def ready(self) -> bool:
        return self.place >= self.known_at and self.in_touch

    def follow(self, count: int) -> None:
        log = self.world.log
        for data in log[self.place : self.place + count]:
            self.place += 1
            self.ledger.apply(self.place, data)

    def restart(self) -> None:
        """Its calls are gone, what it sent is not. It begins from its own snapshot, another's, or nothing."""
        world = self.world
        for send in world.sends:
            if send.call is not None and send.call.copy is self:
                send.call = None
        world.calls = [call for call in world.calls if call.copy is not self]
        luck = world.draw.random()
        source = self if luck < 0.6 else world.draw.choice(world.copies)
        new = world.make()
        if luck < 0.9:
            raw = source.ledger.dump()
            new.load(raw)
            world.check_same(source.ledger, new)
            self.place = source.place
        else:
            self.place = 0
        self.ledger = new
        self.known_at = len(world.log)

    # --- The gate ---------------------------------------------------------------------

    def replay(self, edge: Edge, attempt: int, replayed: ReplayIdentity, key: str) -> None:
        world, write_id = self.world, replayed.write_id
        call = Call(self, edge, attempt, replayed, key, world.draw.getrandbits(63) or 1)
        if not self.ready:
            self.reply(call, "not run")
        elif self.ledger.write_status(Dependency(*write_id)) is WriteStatus.APPLIED:
            self.reply(call, "in")
        elif (
            self.ledger.holder(write_id.edge_log) != replayed.life
            or self.ledger.write_status(Dependency(*write_id)) is WriteStatus.ABANDONED
        ):
            self.reply(call, "fenced")
        else:
            world.calls.append(call)
            if replayed.unsafe:
                self.work(call)
            else:
                self.send(call)

    def send(self, call: Call) -> None:
        call.stage = "sent"
        self.world.sends.append(Send(call.replayed.write_id, call.key, call.ask, call))

    def work(self, call: Call) -> None:
        match call.stage:
            case "begin":
                self.begin(call)
            case "in":
                self.bring_in(call)
            case "undo":
                self.undo(call)

    def begin(self, call: Call) -> None:
        replayed, world = call.replayed, self.world
        match self.ledger.intent_status(replayed.write_id, replayed.life, call.ask):
            case IntentStatus.MINE:
                self.send(call)
            case IntentStatus.OTHERS:
                self.reply(call, "begun")
            case IntentStatus.APPLIED:
                self.reply(call, "in")
            case IntentStatus.FENCED:
                self.take_back(call, "fenced")
            case _ if world.draw.random() < world.impatience:
                self.take_back(call, "not run")
            case _:
                world.word(Intent(replayed.write_id, replayed.life, call.ask))

    def take_back(self, call: Call, answer: str) -> None:
        call.stage, call.answer = "undo", answer
        self.undo(call)

    def undo(self, call: Call) -> None:
        if self.ledger.is_withdrawn(call.ask) or self.world.draw.random() < self.world.impatience:
            self.reply(call, call.answer)
        else:
            self.world.word(IntentWithdrawal(call.replayed.write_id, call.ask))

    def served(self, call: Call) -> None:
        call.stage = "in"
        self.bring_in(call)

    def bring_in(self, call: Call) -> None:
        write_status = self.ledger.write_status(Dependency(*call.replayed.write_id))
        if write_status is WriteStatus.APPLIED:
            self.reply(call, "in")
        elif write_status is WriteStatus.ABANDONED or self.world.draw.random() < self.world.impatience:
            self.reply(call, "may")
        else:
            self.world.word(WriteApplied(call.replayed.write_id))

    def unsent(self, call: Call) -> None:
        """Refused before a byte of it left."""
        if call.replayed.unsafe:
            self.take_back(call, "not run")
        else:
            self.reply(call, "not run")

    def reply(self, call: Call, answer: str) -> None:
        world = self.world
        if call in world.calls:
            world.calls.remove(call)
        world.seen[answer] += 1
        if answer == "in":
            world.check_in(Dependency(*call.replayed.write_id), "a replay")
        world.mail.append(lambda: call.edge.answered(call.replayed.write_id, call.attempt, answer))

    def asked(self, edge: Edge, ask: ReplayQuery) -> None:
        if not self.ready:
            return
        ledger, world = self.ledger, self.world
        write_statuses = tuple(ledger.write_status(dependency) for dependency in ask.write_statuses)
        for dependency, write_status in zip(ask.write_statuses, write_statuses, strict=True):
            if write_status is WriteStatus.APPLIED:
                world.check_in(dependency, "an ask")
        for entry in (
            *(ledger.lease_entry(claim) for claim in ask.claims),
            *(ledger.status_entry(told) for told in ask.told),
        ):
            if entry is not None:
                world.word(entry)
        claims = tuple(ledger.lease_status(claim) for claim in ask.claims)
        told = tuple(ledger.agrees_with(told) for told in ask.told)
        world.mail.append(lambda: edge.heard(ask, write_statuses, claims, told))


class Edge:
    """One process on one disk, from one start on."""

    def __init__(self, world: World, name: str, disk: Disk) -> None:
        self.world = world
        self.name = name
        self.disk = disk
        self.alive = True
        self.life = world.draw.getrandbits(63) or 1
        self.known = tuple(disk.lives)
        world.knowns[self.life] = frozenset(disk.lives)
        disk.lives.append(self.life)  # durable before it asks
        self.edge_log = EdgeLog(name, self.life)
        self.count = 0
        self.claims: dict[EdgeLog, LeaseStatus] = {self.edge_log: LeaseStatus.HELD}
        self.write_statuses: dict[Dependency, WriteStatus] = {}
        for one in disk.kept.values():
            self.claims.setdefault(one.write_id.edge_log, LeaseStatus.OPEN)
            one.attempt = 0
            if one.state == "out":
                self.found_out(one)

    def found_out(self, one: Kept) -> None:
        """It may have run."""
        one.state, one.said = ("parked", False) if one.unsafe else ("ready", True)
        one.parkings += one.unsafe

    def keep(self, unsafe: bool, dependencies: tuple[Dependency, ...]) -> WriteId:
        self.count += 1
        write_id = WriteId(*self.edge_log, self.count)
        self.disk.kept[write_id] = Kept(write_id, unsafe, dependencies)
        return write_id

    # --- What it does -----------------------------------------------------------------

    def is_in(self, dependency: Dependency) -> bool:
        own = None if dependency.before else self.disk.kept.get(dependency.write_id)
        return (own is not None and own.state == "done") or self.write_statuses.get(
            dependency
        ) is WriteStatus.APPLIED

    def may_send(self, one: Kept) -> bool:
        held = self.claims[one.write_id.edge_log] is LeaseStatus.HELD
        return (
            held and one.state == "ready" and all(self.is_in(dependency) for dependency in one.dependencies)
        )

    def work(self) -> None:
        due = [one for one in self.disk.kept.values() if self.may_send(one)]
        if due and self.world.draw.random() < 0.85:
            self.send(self.world.draw.choice(due))
        else:
            self.ask()

    def send(self, one: Kept) -> None:
        world = self.world
        one.state = "out"  # durable, then sent
        world.attempts += 1
        one.attempt = world.attempts
        replayed, attempt, key = (
            ReplayIdentity(one.write_id, self.life, one.unsafe),
            one.attempt,
            self.key(one),
        )

        def arrive() -> None:
            world.draw.choice(world.copies).replay(self, attempt, replayed, key)

        world.replays[arrive] = one.write_id
        world.mail.append(arrive)

    def key(self, one: Kept) -> str:
        return str(one.write_id)

    def ask(self) -> None:
        world = self.world
        write_statuses = {
            dependency
            for one in self.disk.kept.values()
            if one.state == "ready"
            for dependency in one.dependencies
            if not self.is_in(dependency)
        }
        claims = tuple(
            LeaseRequest(edge_log, self.life, self.known, (edge_log, self.life) in world.forced)
            for edge_log, claimed in self.claims.items()
            if claimed is LeaseStatus.OPEN
        )
        told = [said for one in self.disk.kept.values() if (said := self.to_say(one)) is not None]
        told += [
            low
            for edge_log, claimed in self.claims.items()
            if claimed is LeaseStatus.HELD
            if (low := self.low_watermark(edge_log))
        ]
        if world.draw.random() < 0.5:
            told = told[:1]
        ask = ReplayQuery(tuple(sorted(write_statuses)), claims, tuple(told))
        if ask != ReplayQuery():
            world.mail.append(lambda: world.draw.choice(world.copies).asked(self, ask))

    def to_say(self, one: Kept) -> StatusUpdate | None:
        if one.said or self.claims[one.write_id.edge_log] is not LeaseStatus.HELD:
            return None
        write_statuses = {
            "parked": WriteStatus.PARKED,
            "done": WriteStatus.APPLIED,
            "gone": WriteStatus.ABANDONED,
        }
        write_status = write_statuses.get(one.state, WriteStatus.UNKNOWN)
        return StatusUpdate(
            one.write_id, write_status, self.life, False, one.state == "clearing", one.parkings
        )

    def low_watermark(self, edge_log: EdgeLog) -> StatusUpdate | None:
        number = 0
        while (one := self.disk.kept.get(WriteId(*edge_log, number + 1))) is not None and self.is_over(one):
            number += 1
        return (
            StatusUpdate(WriteId(*edge_log, number), WriteStatus.APPLIED, self.life, True) if number else None
        )

    def is_over(self, one: Kept) -> bool:
        return one.state == "done" or (one.state == "gone" and one.said)

    # --- What it hears ----------------------------------------------------------------

    def answered(self, write_id: WriteId, attempt: int, answer: str) -> None:
        one = self.disk.kept[write_id]
        if not self.alive or one.state != "out" or one.attempt != attempt:
            return
        match answer:
            case "in":
                one.state = "done"
            case "not run":
                one.state = "ready"
            case "fenced":
                one.state = "ready"
                self.claims[write_id.edge_log] = LeaseStatus.FENCED
            case _:
                self.found_out(one)

    def heard(
        self,
        ask: ReplayQuery,
        write_statuses: tuple[WriteStatus, ...],
        claims: tuple[LeaseStatus, ...],
        told: tuple[bool, ...],
    ) -> None:
        if not self.alive:
            return
        for dependency, write_status in zip(ask.write_statuses, write_statuses, strict=True):
            if self.write_statuses.get(dependency) not in OVER:
                self.write_statuses[dependency] = write_status
        for claim, claimed in zip(ask.claims, claims, strict=True):
            if self.claims[claim.edge_log] is LeaseStatus.OPEN:
                self.claims[claim.edge_log] = claimed
        for one, says in zip(ask.told, told, strict=True):
            kept = self.disk.kept[one.write_id]
            if says and not one.before and not kept.said and self.to_say(kept) == one:
                kept.said = True
                if kept.state == "clearing":
                    kept.state = "ready"


@dataclass(eq=False)
class Send:
    """One attempt between a gate and a server. `call` is None once its gate died."""

    write_id: WriteId
    key: str
    ask: int
    call: Call | None


class World:
    """One seed's world; a fault is put in by other classes."""

    def __init__(
        self,
        seed: int,
        make: Callable[[], ReplicatedLedger] = ReplicatedLedger,
        copy_type: type[Copy] = Copy,
        edge_type: type[Edge] = Edge,
    ) -> None:
        self.draw = random.Random(seed)
        self.heals = seed % 8 == 0  # that takes most of the time
        self.make = make
        self.edge_type = edge_type
        self.calm = False
        self.impatience = self.draw.choice((0.05, 0.15, 0.4))
        self.loss = self.draw.choice((0.0, 0.1, 0.25))
        self.double = self.draw.choice((0.1, 0.3, 0.5))
        self.narrow = self.draw.random() < 0.4  # one unsafe write at a time
        self.failing = self.draw.choice((0.25, 0.7)) if self.narrow else 0.25
        if self.narrow:
            self.loss, self.double = self.draw.choice((0.0, 0.05)), self.draw.choice((0.4, 0.6))
        self.writes_most = self.draw.choice((3, 12))
        self.log: list[bytes] = []
        self.truth = make()
        self.mail: list[Callable[[], None]] = []
        self.late: list[Callable[[], None]] = []  # what comes again, long after
        self.replays: dict[Callable[[], None], WriteId] = {}  # of the mail
        self.calls: list[Call] = []
        self.sends: list[Send] = []
        self.attempts = 0
        self.knowns: dict[int, frozenset[int]] = {}
        self.forced: set[tuple[EdgeLog, int]] = set()
        # What the checker knows.
        self.writes: dict[WriteId, Kept] = {}  # as they were kept
        self.lines: dict[EdgeLog, list[WriteId]] = {}
        self.effects: dict[WriteId, set[str]] = {}
        self.ran: set[int] = set()  # asks
        self.seen = Counter[str]()
        self.given_up: set[WriteId] = set()
        self.finals: dict[EdgeLog, dict[Dependency, WriteStatus]] = {}
        self.holders: dict[EdgeLog, int] = {}
        self.lost: set[str | EdgeLog] = set()
        names = ("ash",) if self.narrow or self.draw.random() < 0.3 else ("ash", "birch")
        self.copies = [copy_type(self) for _ in range(self.draw.randint(2, 3))]
        self.edges = [edge_type(self, name, Disk()) for name in names]

    def play(self) -> None:
        deeds: tuple[tuple[Callable[[], None], int], ...] = (
            (self.keep, 4), (self.work, 14), (self.deliver, 30), (self.gates, 12), (self.follow, 14),
            (self.serve, 10), (self.resolve, 5), (self.come_late, 4), (self.give_in, 2), (self.touch, 1),
            (self.restart_copy, 1), (self.restart_edge, 1), (self.copy_disk, 1), (self.force, 1),
            (self.declare, 1),
        )  # fmt: skip
        # Each seed has its own share of each deed: some have much of one and little of another.
        weights = [weight * self.draw.choice((0.2, 1, 1, 3)) for _, weight in deeds]
        if self.narrow:
            weights[5:8] = [weight * 2 for weight in weights[5:8]]  # what goes wrong, and what is said of it
            weights[-5:] = [weight * self.draw.choice((0, 0, 1)) for weight in weights[-5:]]
        for deed, _ in self.draw.choices(deeds, weights, k=STEPS):
            deed()
        if self.heals:
            self.heal()
        self.check_copies()

    # --- What befalls it ----------------------------------------------------------------

    def living(self) -> list[Edge]:
        return [edge for edge in self.edges if edge.alive]

    def keep(self) -> None:
        edge, draw = self.draw.choice(self.living()), self.draw
        if self.narrow:
            room = all(one.state in ("done", "gone") for one in edge.disk.kept.values())
        else:
            room = len(self.writes) < self.writes_most
        if not room:
            return
        write_ids = list(self.writes)
        named = draw.sample(write_ids, min(len(write_ids), draw.choice((0, 0, 0, 1, 1, 2))))
        dependencies = tuple(Dependency(*write_id, draw.random() < 0.25) for write_id in named)
        write_id = edge.keep(self.narrow or draw.random() < 0.7, dependencies)
        self.writes[write_id] = Kept(write_id, edge.disk.kept[write_id].unsafe, dependencies)
        self.lines.setdefault(write_id.edge_log, []).append(write_id)

    def work(self) -> None:
        for edge in self.living():
            if self.draw.random() < 0.6:
                edge.work()

    def deliver(self) -> None:
        for _ in range(1 if self.calm else self.draw.choice((1, 2, 4))):
            if self.mail:
                self.deliver_one()

    def deliver_one(self) -> None:
        """Out of order; lost, or one that comes again."""
        act = self.mail.pop(self.draw.randrange(len(self.mail)))
        luck = 1.0 if self.calm else self.draw.random()
        if luck < self.loss:
            return
        act()
        if luck < self.loss + self.double / (1 + 2 * (act in self.replays)):
            # A replay has a deadline, so it does not come long after.
            self.draw.choice((self.mail, self.mail if act in self.replays else self.late)).append(act)
            if self.narrow:
                act()  # both at once, at two gates maybe

    def come_late(self) -> None:
        if self.late:
            self.late.pop(self.draw.randrange(len(self.late)))()

    def word(self, entry: LedgerEntry) -> None:
        data = pack(entry)[1:]
        self.mail.append(lambda: self.agree(data))

    def gates(self) -> None:
        for call in list(self.calls):
            if call.stage != "sent" and self.draw.random() < 0.6:
                call.copy.work(call)

    def follow(self) -> None:
        for one in self.copies:
            one.follow(self.draw.choice((0, 1, 3, 100)))

    def serve(self) -> None:
        if not self.sends:
            return
        send = self.sends.pop(self.draw.randrange(len(self.sends)))
        call, luck = send.call, 1.0 if self.calm else self.draw.random()
        if luck < 0.6 * self.failing:
            if call is not None:
                call.copy.unsent(call)
            return
        if luck >= self.failing:
            self.effect(send)
        if call is not None:
            if luck < self.failing + 0.15:
                call.copy.reply(call, "may")  # lost on its way there, or back
            else:
                call.copy.served(call)

    def resolve(self) -> None:
        """Operators are right. That it never ran they say where the line is held, once all tries are over:
        one that is on its way could still run."""
        edge = self.draw.choice(self.living())
        parked = [one for one in edge.disk.kept.values() if one.state == "parked"]
        if not parked:
            return
        one = self.draw.choice(parked)
        if self.draw.random() < 0.12:
            one.state, one.said = "gone", False
            self.given_up.add(one.write_id)
        elif one.write_id in self.effects:
            one.state, one.said = "done", False
        elif edge.claims[one.write_id.edge_log] is LeaseStatus.HELD and not self.is_tried(one.write_id):
            one.state, one.said = "clearing", False

    def is_tried(self, write_id: WriteId) -> bool:
        if any(one.write_id == write_id for one in self.sends) or any(
            one.replayed.write_id == write_id for one in self.calls
        ):
            return True
        return any(self.replays.get(act) == write_id for act in self.mail)

    def give_in(self) -> None:
        """An edge's attempt has no more time."""
        edge = self.draw.choice(self.living())
        out = [one for one in edge.disk.kept.values() if one.state == "out"]
        if out:
            edge.found_out(self.draw.choice(out))

    def touch(self) -> None:
        one = self.draw.choice(self.copies)
        one.in_touch = self.draw.random() < 0.85

    def restart_copy(self) -> None:
        self.draw.choice(self.copies).restart()

    def restart_edge(self) -> None:
        edge = self.draw.choice(self.living())
        edge.alive = False
        self.edges.append(self.edge_type(self, edge.name, edge.disk))

    def copy_disk(self) -> None:
        if len(self.living()) < 4:
            edge = self.draw.choice(self.living())
            self.edges.append(self.edge_type(self, edge.name, copy.deepcopy(edge.disk)))

    def force(self) -> None:
        edge = self.draw.choice(self.living())
        fenced = [edge_log for edge_log, claimed in edge.claims.items() if claimed is LeaseStatus.FENCED]
        if fenced:
            edge_log = self.draw.choice(fenced)
            self.forced.add((edge_log, edge.life))
            edge.claims[edge_log] = LeaseStatus.OPEN

    def declare(self) -> None:
        if self.lines and self.draw.random() < 0.15:
            edge_log = self.draw.choice(list(self.lines))
            self.word(EdgeLost(edge_log.edge, edge_log.incarnation if self.draw.random() < 0.6 else 0))

    # --- The checker --------------------------------------------------------------------

    def effect(self, send: Send) -> None:
        kept, keys = self.writes[send.write_id], self.effects.get(send.write_id, set())
        if keys and (kept.unsafe or send.key not in keys):
            raise BrokenError("once", f"{send.write_id} took effect twice")
        if keys:
            return  # the server knows the key
        for dependency in kept.dependencies:
            for write_id in self.meant(dependency):
                if not self.has_run(write_id) and not (dependency.before and self.is_given_up(write_id)):
                    raise BrokenError("order", f"{send.write_id} took effect before {write_id}")
        self.effects.setdefault(send.write_id, set()).add(send.key)
        self.seen["unsafe effect" if kept.unsafe else "keyed effect"] += 1
        self.ran.add(send.ask)

    def meant(self, dependency: Dependency) -> list[WriteId]:
        if not dependency.before:
            return [dependency.write_id]
        return [
            write_id for write_id in self.lines[dependency.edge_log] if write_id.number <= dependency.number
        ]

    def has_run(self, write_id: WriteId) -> bool:
        return write_id in self.effects

    def is_given_up(self, write_id: WriteId) -> bool:
        return write_id in self.given_up

    def check_in(self, dependency: Dependency, where: str) -> None:
        """Somebody is told that this is in."""
        if self.truth.write_status(dependency) is not WriteStatus.APPLIED:
            raise BrokenError("told", f"{where} says that {dependency} is in, that is not agreed")
        for write_id in self.meant(dependency):
            if not self.has_run(write_id) and not (dependency.before and self.is_given_up(write_id)):
                raise BrokenError("told", f"{where} says that {dependency} is in, {write_id} is not")

    def agree(self, data: bytes) -> None:
        """The next entry in order."""
        self.log.append(data)
        entry = unpack(data)
        assert entry is not None
        begun = self.intent_id_of(entry)
        try:
            self.truth.apply(len(self.log), data)
        except Exception as error:
            raise BrokenError("step", f"{entry}: {error!r}") from error
        if isinstance(entry, Intent):
            self.check_begun(entry, begun)
        if isinstance(entry, StatusRecord | IntentWithdrawal):
            self.check_taken_back(entry, begun)
        if isinstance(entry, EdgeLost):
            self.lost.add(EdgeLog(entry.edge, entry.incarnation) if entry.incarnation else entry.edge)
        touched = [edge_log for edge_log in self.lines if edge_log.edge == edge_of(entry)]
        self.check_holders(entry, touched)
        self.check_finals(touched)
        self.check_bounds()

    def check_begun(self, entry: Intent, before: int) -> None:
        edge_log = entry.write_id.edge_log
        if (
            before == entry.intent_id
            or self.truth._log_state(edge_log).intent_id(entry.write_id.number) != entry.intent_id
        ):
            return
        if entry.incarnation != self.holder(edge_log) or edge_log in self.lost or edge_log.edge in self.lost:
            raise BrokenError("fenced", f"{entry} was granted, {edge_log} is another's")

    def intent_id_of(self, entry: LedgerEntry) -> int:
        if isinstance(entry, Intent | StatusRecord | IntentWithdrawal):
            return self.truth._log_state(entry.write_id.edge_log).intent_id(entry.write_id.number)
        return 0

    def check_taken_back(self, entry: StatusRecord | IntentWithdrawal, before: int) -> None:
        """What is taken back has not run, and won't: also where the entry comes late."""
        if (
            not before
            or self.intent_id_of(entry) == before
            or self.truth.write_status(Dependency(*entry.write_id)) in OVER
        ):
            return
        self.seen[f"taken back by {type(entry).__name__}"] += 1
        out = any(call.ask == before and call.stage != "undo" for call in self.calls)
        if out or before in self.ran or any(send.ask == before for send in self.sends):
            raise BrokenError("once", f"{entry} takes back what may run, or ran")

    def holder(self, edge_log: EdgeLog) -> int:
        return self.holders.get(edge_log, edge_log.incarnation)

    def check_holders(self, entry: LedgerEntry, touched: list[EdgeLog]) -> None:
        for edge_log in touched:
            holder, before = self.truth.holder(edge_log), self.holder(edge_log)
            if holder == before:
                continue
            if holder:
                asked = (
                    isinstance(entry, LogLease) and entry.edge_log == edge_log and entry.incarnation == holder
                )
                known = before in self.knowns[holder] or (edge_log, holder) in self.forced
                if not asked or not known or before == 0:
                    raise BrokenError("fenced", f"{edge_log} went from {before} to {holder} by {entry}")
            elif edge_log not in self.lost and edge_log.edge not in self.lost:
                raise BrokenError("fenced", f"{edge_log} is nobody's by {entry}")
            self.holders[edge_log] = holder
            self.seen["claimed" if holder else "lost"] += 1

    def check_finals(self, touched: list[EdgeLog]) -> None:
        for edge_log in touched:
            now, before = self.final_in(self.truth, edge_log), self.finals.get(edge_log, {})
            if not before.items() <= now.items():
                raise BrokenError("final", f"{before} are {now}")
            self.finals[edge_log] = now

    def final_in(self, ledger: ReplicatedLedger, edge_log: EdgeLog) -> dict[Dependency, WriteStatus]:
        asked = [
            Dependency(*write_id, before) for write_id in self.lines[edge_log] for before in (False, True)
        ]
        asked.append(Dependency(edge_log.edge, 1 << 63, 1))  # of a life to come
        return {
            dependency: write_status
            for dependency in asked
            if (write_status := ledger.write_status(dependency)) in OVER
        }

    def check_bounds(self) -> None:
        rows = self.truth._log_states
        ranges = sum(row.range_count for row in rows.values())
        begun = [(edge_log, one[0]) for edge_log, row in rows.items() for one in row.intents]
        for name, found, most in (
            ("lines", len(rows), ledger_module.MAX_LINES),
            (
                "ranges",
                max((len(row.applied) + len(row.abandoned) for row in rows.values()), default=0),
                ledger_module.MAX_RANGES,
            ),
            ("parked", max((len(row.parked) for row in rows.values()), default=0), ledger_module.MAX_PARKED),
            ("spans", ranges, ledger_module.MAX_SPANS),
            ("begun", len(begun), ledger_module.MAX_BEGUN),
            ("undone", len(self.truth._withdrawn_intents), ledger_module.MAX_WITHDRAWN),
            ("lost", len(self.truth._lost_edges), ledger_module.MAX_LOST),
        ):
            if found > most:
                raise BrokenError("bounds", f"{found} {name}, {most} at most")
        if (ranges, len(begun)) != (self.truth._range_count, self.truth._intent_count):
            raise BrokenError("bounds", "what is counted is not what there is")
        for edge_log, number in begun:
            if self.truth.write_status(Dependency(*edge_log, number)) in OVER:
                raise BrokenError("bounds", f"{number} of {edge_log} is over and still begun")

    def check_same(self, old: ReplicatedLedger, new: ReplicatedLedger) -> None:
        for edge_log in self.lines:
            if not self.final_in(old, edge_log).items() <= self.final_in(new, edge_log).items():
                raise BrokenError("final", "a snapshot forgot what was in or gone")
        if old.dump() != new.dump():
            raise BrokenError("step", "a snapshot does not give back what it was made of")

    def check_copies(self) -> None:
        self.all_follow()
        for one in self.copies:
            if one.ledger.dump() != self.truth.dump():
                raise BrokenError("step", "copies at the same place are not the same")

    # --- The end ------------------------------------------------------------------------

    def heal(self) -> None:
        self.calm, self.impatience = True, 0.0
        self.mail += self.late
        for one in self.copies:
            one.in_touch = True
        self.all_follow()
        for _ in range(ROUNDS):
            if not self.round():
                break
        self.check_progress()

    def round(self) -> bool:
        """All that there is to do is done once. Whether anything but asking was done."""
        before = self.state()
        idle = not self.mail and not self.calls and not self.sends
        for edge in self.living():
            for one in list(edge.disk.kept.values()):
                if one.state == "out" and idle:
                    edge.found_out(one)  # its answer was lost
                if edge.may_send(one):
                    edge.send(one)
            edge.ask()
        while self.mail or self.sends:
            while self.mail:
                self.deliver()
            self.all_follow()
            while self.sends:
                self.serve()
        for call in list(self.calls):
            call.copy.work(call)
        while self.mail:
            self.deliver()
        self.all_follow()
        return not idle or self.state() != before

    def all_follow(self) -> None:
        for one in self.copies:
            one.follow(len(self.log))

    def state(self) -> list[object]:
        found: list[object] = [len(self.log)]
        for edge in self.living():
            found += [(one.write_id, one.state, one.said) for one in edge.disk.kept.values()]
            found += [dict(edge.claims), dict(edge.write_statuses)]
        return found

    def check_progress(self) -> None:
        if sum(self.truth.refusal_counts.values()):
            return  # what does not fit waits for an operator
        for edge in self.living():
            for one in edge.disk.kept.values():
                if self.truth.holder(one.write_id.edge_log) != edge.life or one.state in (
                    "done",
                    "gone",
                    "parked",
                ):
                    continue
                free = all(
                    self.truth.write_status(dependency) is WriteStatus.APPLIED
                    for dependency in one.dependencies
                )
                if free and edge.claims[one.write_id.edge_log] is not LeaseStatus.FENCED:
                    raise BrokenError("progress", f"{one.write_id} is {one.state} at the end")


def edge_of(entry: LedgerEntry) -> str:
    match entry:
        case LogLease():
            return entry.edge_log.edge
        case EdgeLost():
            return entry.edge
        case _:
            return entry.write_id.edge


def play(first: int, last: int, **types: Any) -> Counter[str]:
    """What they brought about."""
    seen = Counter[str]()
    for seed in range(first, last):
        world = World(seed, **types)
        try:
            world.play()
        except BrokenError as error:
            error.add_note(f"seed {seed}")
            raise
        seen += world.seen + Counter({f"refused {name}": n for name, n in world.truth.refusal_counts.items()})
    return seen


TIGHT = {
    "lines": {"LINES": 3, "PARKED": 1, "WITHDRAWN": 2},
    "ranges": {"RANGES": 1, "SPANS": 2, "BEGUN": 1, "WITHDRAWN": 2},
}


def tighten(monkeypatch: pytest.MonkeyPatch, bounds: str) -> None:
    for name, most in TIGHT[bounds].items():
        monkeypatch.setattr(ledger_module, f"MAX_{name}", most)


@pytest.mark.parametrize("first", range(0, 10_000, 2_500))
def test_no_schedule_breaks_an_invariant(first: int) -> None:
    seen = play(first, first + 2_500)
    deeds = {"unsafe effect", "keyed effect", "in", "begun", "fenced", "not run", "may", "claimed", "lost"}
    assert all(seen[name] > 100 for name in deeds), seen
    assert seen["taken back by IntentWithdrawal"] > 20 and seen["taken back by StatusRecord"] > 20, seen


@pytest.mark.parametrize("bounds", TIGHT)
def test_none_does_where_bounds_are_reached(bounds: str, monkeypatch: pytest.MonkeyPatch) -> None:
    tighten(monkeypatch, bounds)
    seen = play(0, 700)
    assert all(seen[f"refused {name.lower()}"] for name in TIGHT[bounds] if name != "WITHDRAWN"), seen


# --- That the checker can fail ------------------------------------------------------------


class BegunTwice(ReplicatedLedger):
    """A BEGIN is granted whoever began before."""

    def _apply_intent(self, entry: Intent) -> None:
        row, number = self._log_state(entry.write_id.edge_log), entry.write_id.number
        if row.holder == entry.incarnation and row.write_status(number) not in OVER:
            self._put(entry.write_id.edge_log, row.with_intent(number, entry.intent_id, 0))


class UnbegunByAny(ReplicatedLedger):
    """An UNBEGIN takes back whoever's BEGIN there is."""

    def _apply_withdrawal(self, entry: IntentWithdrawal) -> None:
        number = entry.write_id.number
        self._put(
            entry.write_id.edge_log, self._log_state(entry.write_id.edge_log).without_intents(number, number)
        )
        self._remember_withdrawn(entry.intent_id)


class HolderUnchecked(ReplicatedLedger):
    """Whoever asks gets a BEGIN."""

    def _apply_intent(self, entry: Intent) -> None:
        super()._apply_intent(
            msgspec.structs.replace(entry, incarnation=self.holder(entry.write_id.edge_log))
        )


class ClaimedUnknown(ReplicatedLedger):
    """A claim need not name the holder."""

    def lease_status(self, claim: LeaseRequest) -> LeaseStatus:
        return super().lease_status(msgspec.structs.replace(claim, force=True))


class HeldByTheLast(ReplicatedLedger):
    """A claim holds whatever became of the line since it was asked."""

    def _apply_lease(self, entry: LogLease) -> None:
        row = self._log_state(entry.edge_log)
        super()._apply_lease(
            msgspec.structs.replace(entry, holder_changes=row.holder_changes, previous_holder=row.holder)
        )


class HeldWhenLost(ReplicatedLedger):
    """A line that is lost can be claimed."""

    def _apply_lease(self, entry: LogLease) -> None:
        row = self._log_state(entry.edge_log)
        if row.holder == 0:
            self._log_states[entry.edge_log] = msgspec.structs.replace(row, holder=entry.incarnation)
        else:
            super()._apply_lease(entry)

    def lease_status(self, claim: LeaseRequest) -> LeaseStatus:
        return LeaseStatus.OPEN if self.holder(claim.edge_log) == 0 else super().lease_status(claim)


class LostForgotten(ReplicatedLedger):
    """A snapshot does not say which edges are lost."""

    def dump(self) -> bytes:
        lost, self._lost_edges = self._lost_edges, set()
        raw = super().dump()
        self._lost_edges = lost
        return raw


class BegunForgotten(ReplicatedLedger):
    """A snapshot does not say what was begun."""

    def load(self, raw: bytes) -> None:
        super().load(raw)
        for edge_log, row in self._log_states.items():
            self._log_states[edge_log] = msgspec.structs.replace(row, intents=())
        self._intent_count = 0


class GoneTakenBack(ReplicatedLedger):
    """What runs after all is gone no more."""

    def _set_status(self, write_id: WriteId, first: int, write_status: WriteStatus) -> None:
        row = self._log_state(write_id.edge_log)
        if write_status is WriteStatus.APPLIED and row.holder:
            self._range_count -= row.range_count
            row = msgspec.structs.replace(row, abandoned=ranges.remove(row.abandoned, first, write_id.number))
            self._range_count += row.range_count
            self._log_states[write_id.edge_log] = row
        super()._set_status(write_id, first, write_status)


class InTakenBack(ReplicatedLedger):
    """What is parked is not in, whatever was said before."""

    def _set_status(self, write_id: WriteId, first: int, write_status: WriteStatus) -> None:
        row = self._log_state(write_id.edge_log)
        if write_status is not WriteStatus.APPLIED and row.holder and row.low_watermark >= write_id.number:
            self._log_states[write_id.edge_log] = msgspec.structs.replace(
                row, low_watermark=write_id.number - 1
            )
        super()._set_status(write_id, first, write_status)


class BegunKept(ReplicatedLedger):
    """What is over stays begun."""

    def _set_status(self, write_id: WriteId, first: int, write_status: WriteStatus) -> None:
        begun = self._log_state(write_id.edge_log).intents
        super()._set_status(write_id, first, write_status)
        row = self._log_state(write_id.edge_log)
        if row.intents != begun:
            self._log_states[write_id.edge_log] = msgspec.structs.replace(row, intents=begun)
            self._intent_count += len(begun) - len(row.intents)


class BegunClearedEarly(ReplicatedLedger):
    """A write that is parked counts as not begun."""

    def _set_status(self, write_id: WriteId, first: int, write_status: WriteStatus) -> None:
        if write_status is WriteStatus.PARKED:
            self._put(
                write_id.edge_log, self._log_state(write_id.edge_log).without_intents(first, write_id.number)
            )
        super()._set_status(write_id, first, write_status)


class LowOverGaps(ReplicatedLedger):
    """One that is in means that all before it are over."""

    def _set_status(self, write_id: WriteId, first: int, write_status: WriteStatus) -> None:
        super()._set_status(write_id, 1 if write_status is WriteStatus.APPLIED else first, write_status)


class BoundIgnored(ReplicatedLedger):
    """Whatever comes is kept."""

    def _exceeded_limit(self, *args: Any) -> None:
        return None


class ForgetsForRoom(ReplicatedLedger):
    """Where a line has no more room for ranges, the first of them goes."""

    def _put(self, edge_log: EdgeLog, row: Any) -> bool:
        if len(row.applied) + len(row.abandoned) > ledger_module.MAX_RANGES and row.applied:
            row = msgspec.structs.replace(row, applied=row.applied[1:])
        return super()._put(edge_log, row)


class LostRaises(ReplicatedLedger):
    """What it does not expect, it raises at."""

    def _apply_lost(self, entry: EdgeLost) -> None:
        if entry.incarnation:
            self._log_states[EdgeLog(entry.edge, entry.incarnation)]
        super()._apply_lost(entry)


class LateBegun(ReplicatedLedger):
    """An ask that was taken back can begin again."""

    def _remember_withdrawn(self, ask: int) -> None:
        self._withdrawn_intents.pop(ask, None)


class JudgedAgain(ReplicatedLedger):
    """A word that it never ran is heard as often as it comes."""

    def agrees_with(self, told: StatusUpdate) -> bool:
        return super().agrees_with(msgspec.structs.replace(told, parking=0))

    def _apply_status_record(self, entry: StatusRecord) -> None:
        super()._apply_status_record(msgspec.structs.replace(entry, parking=0))


class TellsEarly(Copy):
    """IN is told before it is agreed."""

    def served(self, call: Call) -> None:
        self.world.word(WriteApplied(call.replayed.write_id))
        self.reply(call, "in")


class SendsEarly(Copy):
    """An unsafe write is sent before its BEGIN is agreed."""

    def begin(self, call: Call) -> None:
        replayed = call.replayed
        if self.ledger.intent_status(replayed.write_id, replayed.life, call.ask) is IntentStatus.OPEN:
            self.world.word(Intent(replayed.write_id, replayed.life, call.ask))
            self.send(call)
        else:
            super().begin(call)


class UnbeginsSent(Copy):
    """A call whose answer is lost is taken back as if it had not been sent."""

    def reply(self, call: Call, answer: str) -> None:
        if answer == "may" and call.replayed.unsafe:
            self.world.word(IntentWithdrawal(call.replayed.write_id, call.ask))
            answer = "not run"
        super().reply(call, answer)


class SendsBefore(Edge):
    """A write does not wait for what it follows."""

    def is_in(self, dependency: Dependency) -> bool:
        return True


class NewKeys(Edge):
    """Each try has a key of its own."""

    def key(self, one: Kept) -> str:
        return f"{one.write_id} {one.attempt}"


class LowOverParked(Edge):
    """What is parked counts as over."""

    def is_over(self, one: Kept) -> bool:
        return one.state == "parked" or super().is_over(one)


FAULTS: list[tuple[type[Any], str]] = [
    (BegunTwice, "once"),
    (UnbegunByAny, "once"),
    (HolderUnchecked, "fenced"),
    (ClaimedUnknown, "fenced"),
    (HeldByTheLast, "fenced"),
    (HeldWhenLost, "fenced"),
    (LostForgotten, "final"),
    (BegunForgotten, "step"),
    (GoneTakenBack, "final"),
    (InTakenBack, "final"),
    (BegunKept, "bounds"),
    (BegunClearedEarly, "once"),
    (LowOverGaps, "told"),
    (LostRaises, "step"),
    (TellsEarly, "told"),
    (SendsEarly, "once"),
    (UnbeginsSent, "once"),
    (SendsBefore, "order"),
    (NewKeys, "once"),
    (LowOverParked, "told"),
    (LateBegun, "progress"),
    (JudgedAgain, "once"),
]


def types_of(fault: type[Any]) -> dict[str, Any]:
    names = {ReplicatedLedger: "make", Copy: "copy_type", Edge: "edge_type"}
    return next({name: fault} for base, name in names.items() if issubclass(fault, base))


def found_by(name: str, fault: type[Any], seeds: int = 3_000) -> bool:
    """Whether the invariant of this name finds it."""
    for seed in range(seeds):
        try:
            World(seed, **types_of(fault)).play()
        except BrokenError as error:
            if error.name == name:
                return True
    return False


@pytest.mark.parametrize(("fault", "name"), FAULTS, ids=lambda one: getattr(one, "__name__", one))
def test_a_fault_is_found_by_its_invariant(fault: type[Any], name: str) -> None:
    assert found_by(name, fault)


@pytest.mark.parametrize(("fault", "name"), [(BoundIgnored, "bounds"), (ForgetsForRoom, "final")])
def test_a_fault_at_a_bound_is_found(fault: type[Any], name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    tighten(monkeypatch, "ranges")
    assert found_by(name, fault)
