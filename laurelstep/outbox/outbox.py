"""The writes kept at one edge: what is taken, what goes out next, what is told. Pure.

The interface; a driver does the rest:

    ticket = outbox.offer(offer, now, wall)     # FullError, CauseError, KeepError: not kept
    # body, then journal.encode(ticket.write), made durable; then
    outbox.stored(write id, now)                     # and only now the 202; or outbox.unstored(write id, now)
    for change in outbox.due(now): ...          # what goes out, expires, or is orphaned
    change = outbox.ended(write id, end, ...)        # of a write that was sent
    change = outbox.judge(write id, parking, resolution)
    # each change: journal.encode(change.moved) made durable in place of the last one; then
    outbox.apply(change, now)                   # only now the step that it announces, if True; or outbox.undo

1. Between a change and its `apply` or `undo` its write takes no other.
2. All times are µs: `now` monotonic, `wall` the store's time, which runs on from life to life: it never stays
   behind the time that has truly passed (docs/design/clocks.md).
3. A write follows what its tokens name, and the last write kept before it of its session and of its object.
4. A write that is final while its causes are not (judged, or given up) stays in the graph until they are:
   what follows it still waits for them.
5. With `orphans` = "park", those that follow a write given up or lost are parked, each with a change of its
   own, and halted until then. A write that could not be stored was never kept: nothing is parked for it.
6. A keyed write goes out only while `send_us` is left of its window, counted from when it was kept. An
   operator's "it never ran" begins age and window anew.
7. After a restart the time that passed is told by `wall`, and never less than none. Where the store does not
   know how much that was, or `wall` stands before what was written by it, a keyed write that may have run is
   parked: its window can't be known.
8. Of a line that is another process's nothing is sent and nothing new is kept; what was to be sent is parked.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from typing import Final

import msgspec

from laurelstep.outbox.dependencies import DEPENDENCIES_MOST, Dependencies, Dependency, WriteStatus, merge
from laurelstep.outbox.dependency_tracker import NUMBER_MASK, NUMBERS, DependencyTracker
from laurelstep.outbox.errors import (
    CycleError,
    FullError,
    FutureError,
    KeepError,
    LooseError,
    UnknownWriteError,
    VerdictError,
)
from laurelstep.outbox.messages import (
    OutboxBounds,
    QueuedClass,
    ReplayResult,
    Transition,
    WriteOffer,
    WriteTicket,
)
from laurelstep.outbox.receipts import WriteReceipt
from laurelstep.outbox.records import (
    FINAL,
    ParkingReason,
    QueuedWrite,
    Resolution,
    StateChange,
    WriteEvent,
    WriteState,
    next_state,
)
from laurelstep.outbox.write_ids import EdgeLog, WriteId
from laurelstep.outbox.write_table import (
    BARRIER,
    BUSY,
    CLOSED,
    DURABLE,
    FOREIGN,
    JOIN,
    ORPHAN,
    SENT,
    short_hash,
)

__all__ = ["Outbox", "OutboxBounds", "QueuedClass", "ReplayResult", "Transition", "WriteOffer", "WriteTicket"]


# Changes of one kind that one call of `due` gives: guards the loop's time.
SWEEP: Final = 256
# When a client should come again to an outbox that is full.
RETRY_US: Final = 30_000_000
# Writes of other lines that ours follow, and causes looked through for a circle: guard memory and time.
FOREIGN_MOST: Final = 10_000
CIRCLE_MOST: Final = 4_096


class Outbox(DependencyTracker):
    """See the head."""

    # Keeping

    def offer(self, offer: WriteOffer, now: int, wall: int) -> WriteTicket:
        """A number for it, its causes found and its bytes counted; see the errors in the head."""
        cls = self.classes.get(offer.cls)
        if cls is None:
            raise KeepError(f"class {offer.cls!r} is not kept")
        if cls.keyed and not offer.key:
            raise KeepError(f"a write of class {offer.cls!r} came without its key")
        named = self.tokens.read(offer.named) if offer.named else ()
        key = short_hash(cls.name.encode(), offer.tenant.encode(), offer.key) if cls.keyed else 0
        known = self._keys.get(key) if key else -1
        if known >= 0:
            self._check_circle(known, named)
            return WriteTicket(WriteId(*self._lines[known >> NUMBERS], known & NUMBER_MASK), None, True)
        return self._keep(offer, cls, named, key, now, wall)

    def join(self, dependencies: Dependencies, now: int, wall: int) -> WriteTicket:
        """A name for a set that no token tells (causes.py, rule 3): kept as any write, without a body."""
        return self._keep(WriteOffer("", b"", (), 0, b""), QueuedClass("", False), dependencies, 0, now, wall)

    def _keep(
        self, offer: WriteOffer, cls: QueuedClass, named: Dependencies, key: int, now: int, wall: int
    ) -> WriteTicket:
        if 0 in self._fenced:
            raise KeepError("another process with a copy of this disk has this edge's line")
        session, obj = short_hash(b"s", offer.session), short_hash(b"o", offer.obj)
        by_rule = [
            Dependency(*self._write_id_of(row))
            for row in (self._sessions.get(session), self._objects.get(obj))
            if row >= 0
        ]
        dependencies = self._through(merge(named, by_rule))
        self._check(dependencies)
        self._check_bounds(offer)
        self._high[0] += 1
        write_id = WriteId(*self._lines[0], self._high[0])
        write = QueuedWrite(
            write_id,
            cls.name,
            offer.start,
            offer.headers,
            offer.size,
            offer.digest,
            cls.keyed,
            offer.key,
            offer.session,
            offer.obj,
            offer.tenant,
            dependencies,
            wall,
            cls.window_us,
            self._life,
        )
        row = self._enter(write, 0, key, session, obj, now)
        if write.cls:
            self._ages.add(self._rows.cls[row], row)
        self._unsure[row] = dependencies
        self._link(row, dependencies)
        return WriteTicket(write_id, write)

    def _check(self, dependencies: Dependencies) -> None:
        if len(dependencies) > DEPENDENCIES_MOST:
            raise LooseError(f"{len(dependencies)} writes before one, {DEPENDENCIES_MOST} are the most")
        line, high = self._lines[0], self._high[0]
        for dependency in dependencies:
            if dependency.line == line and dependency.number > high:
                raise FutureError(f"{dependency.write_id} was not given out")
        if len(self._foreign) + len(dependencies) > FOREIGN_MOST:
            raise FullError("too many writes of other edges are waited for", RETRY_US)

    def _check_bounds(self, offer: WriteOffer) -> None:
        bounds = self.bounds
        count, size = self._usage.get(self._tenants.get(offer.tenant, -1), (0, 0))
        for name, used, most, share in (
            ("count", self.count + 1, bounds.count_most, count + 1),
            ("bytes", self.size + offer.size, bounds.bytes_most, size + offer.size),
        ):
            if used > most:
                raise FullError(f"outbox.{name}_most {most} is reached", RETRY_US)
            if offer.cls and share > most * bounds.tenant_share:
                raise FullError(f"tenant {offer.tenant!r} has its share of outbox.{name}_most", RETRY_US)

    def _check_circle(self, known: int, named: Dependencies) -> None:
        """A repeat names its first try, or what follows that."""
        work = [packed for dependency in named if (packed := self._pack(dependency)) >= 0]
        if known in work:
            raise CycleError("a write is said to follow itself")
        target, seen = self._open.get(known), set[int]()
        rows = [row for packed in work if (row := self._open.get(packed)) >= 0]
        while target >= 0 and rows and len(seen) < CIRCLE_MOST:
            row = rows.pop()
            if row == target:
                raise CycleError(f"{self._write_id_of(target)} is said to follow a write that follows it")
            if row not in seen:
                seen.add(row)
                rows += self._graph.dependencies(row)

    def must_keep(self, named: str) -> bool:
        """A write that names these tokens follows one that may not be in yet: it is kept although the link
        is well. `CauseError`."""
        dependencies = self.tokens.read(named)
        self._check(dependencies)
        return any(self._is_open(dependency) for dependency in dependencies)

    def has_open(self, session: bytes, obj: bytes, tenant: str) -> bool:
        """An earlier write of the session or the object is still open: by rule 3 the next one follows it,
        and is kept although the link is well."""
        own = (
            self._sessions.get(short_hash(b"s", session)),
            self._objects.get(short_hash(b"o", tenant.encode(), obj)),
        )
        return max(own) >= 0

    def _is_open(self, dependency: Dependency) -> bool:
        place = self._line_places.get(dependency[:2], -1)
        if place >= 0 and dependency.number <= self._high[place]:
            if dependency.before:
                return self._barrier(place, self._high[place]) >= 0
            packed = place << NUMBERS | dependency.number
            return self._open.get(packed) >= 0 or (packed in self._given_up and self.bounds.orphans == "park")
        write_status = self.version_vector.write_status(dependency)
        return write_status is not WriteStatus.IN and not (
            write_status is WriteStatus.GONE and self.bounds.orphans == "release"
        )

    def stored(self, write_id: WriteId, now: int) -> None:
        """Its record is durable: it counts, and may be told."""
        row = self._must_row(write_id)
        self._rows.set(row, DURABLE)
        self._unsure.pop(row, None)
        self._wake(row)

    def sized(self, write_id: WriteId, size: int) -> None:
        """What its body has, of which only the most was known when it was offered."""
        row = self._must_row(write_id)
        less = self._rows.size[row] - size
        self._rows.size[row] = size
        self._usage[self._rows.tenant[row]][1] -= less
        self.size -= less

    def unstored(self, write_id: WriteId, now: int) -> None:
        """Its record could not be made durable: as if it had not been offered."""
        row = self._must_row(write_id)
        next_state(self._rows.state_of(row), WriteEvent.LOST)
        key = self._rows.key[row]
        if key and self._keys.get(key) == self._pack(write_id):
            self._keys.drop(key)
        self._retire(row)

    # Replay

    def due(self, now: int) -> list[Transition]:
        """What is to be done next, `SEND` among it: apply, then send. Asked after events and each second."""
        return [
            *self._due_orphans(),
            *self._due_joins(),
            *self._due_fences(),
            *self._due_late(now),
            *self._due_sends(now),
        ]

    def _change(self, row: int, event: WriteEvent, reason: ParkingReason = ParkingReason.NONE) -> Transition:
        """A step of this row, as a record without an answer. The row is busy from here."""
        rows = self._rows
        before = rows.state_of(row)
        after = next_state(before, event)
        parked = after is WriteState.PARKED
        write_id, parking = self._write_id_of(row), rows.parking[row] + parked
        resolved, resolution, resolved_at = self._resolutions.get(self._pack(write_id), (0, 0, 0))
        rows.set(row, BUSY)
        moved = StateChange(
            write_id, after, reason, parking, resolution, resolved, resolved_at, rows.has(row, SENT)
        )
        return Transition(write_id, event, moved)

    def _due_orphans(self) -> list[Transition]:
        found: list[Transition] = []
        while self._orphans and len(found) < SWEEP:
            row = self._orphans.popleft()
            if (
                self._rows.state[row] != WriteState.KEPT
                or self._rows.flags[row] & (ORPHAN | CLOSED) != ORPHAN
            ):
                continue
            if self._rows.has(row, DURABLE) and not self._rows.has(row, BUSY):
                found.append(self._change(row, WriteEvent.ORPHANED, ParkingReason.ORPHANED))
            else:
                self._orphans.append(row)
                break
        return found

    def _due_joins(self) -> list[Transition]:
        count = min(SWEEP, len(self._joins))
        rows = [self._joins.popleft() for _ in range(count)]
        return [self._change(row, WriteEvent.JOINED) for row in rows if self._can_go(row)]

    def _due_fences(self) -> list[Transition]:
        """What is to be parked as its line is another's, and what is not to be any more."""
        found: list[Transition] = []
        for rows, states, event, reason in (
            (self._to_fence, (WriteState.KEPT, WriteState.READY), WriteEvent.FENCED, ParkingReason.FENCED),
            (self._to_claim, (WriteState.PARKED,), WriteEvent.CLAIMED, ParkingReason.NONE),
        ):
            for _ in range(min(SWEEP, len(rows))):
                row = rows.popleft()
                if not self._is_fenced(row, event is WriteEvent.FENCED, states):
                    continue
                if self._rows.flags[row] & (BUSY | DURABLE) == DURABLE:
                    found.append(self._change(row, event, reason))
                else:
                    rows.append(row)
        return found

    def _is_fenced(self, row: int, fenced: bool, states: tuple[WriteState, ...]) -> bool:
        """Still to be parked, or not any more, for its line: a place in a queue may be older than that."""
        rows = self._rows
        if rows.flags[row] & (FOREIGN | BARRIER | JOIN | CLOSED) or rows.state_of(row) not in states:
            return False
        return (rows.line[row] in self._fenced) is fenced and (
            fenced or rows.reason[row] == ParkingReason.FENCED
        )

    def _due_late(self, now: int) -> list[Transition]:
        """What is too old, or past its window. One that is busy or out is looked at again."""
        for cls in range(len(self._names)):
            while len(self._late) < SWEEP and (row := self._ages.first(cls)) >= 0 and self._expired(row, now):
                self._ages.drop(cls, row)
                self._late.append(row)
        found: list[Transition] = []
        rows = self._rows
        for _ in range(len(self._late)):
            row = self._late.popleft()
            flags, state = rows.flags[row], rows.state[row]
            if flags & (FOREIGN | BARRIER | JOIN | CLOSED | ORPHAN) or not self._expired(row, now):
                continue  # over, used again, or to be parked as an orphan
            if state in (WriteState.KEPT, WriteState.READY) and flags & (BUSY | DURABLE) == DURABLE:
                found.append(self._change(row, WriteEvent.EXPIRED, self._expired(row, now)))
            if state != WriteState.PARKED:
                self._late.append(row)
        return found

    def _expired(self, row: int, now: int) -> ParkingReason:
        age = now - self._rows.since[row]
        cls = self.classes.get(self._names[self._rows.cls[row]])
        if cls is not None and cls.keyed and age + self.bounds.send_us > cls.window_us:
            return ParkingReason.MAY_HAVE_RUN if self._rows.has(row, SENT) else ParkingReason.WINDOW
        return ParkingReason.AGE if age > self.bounds.age_us else ParkingReason.NONE

    def left(self, write_id: WriteId, now: int) -> int:
        """How much of its window is left; an unsafe one has none, and so all the time there is."""
        row = self._must_row(write_id)
        cls = self.classes.get(self._names[self._rows.cls[row]])
        if cls is None or not cls.keyed:
            return self.bounds.age_us
        return self._rows.since[row] + cls.window_us - now

    def _can_go(self, row: int) -> bool:
        """Ready still: a place in the queue may be older than the row's use."""
        return self._rows.state[row] == WriteState.READY and not self._rows.flags[row] & (BUSY | CLOSED)

    def _due_sends(self, now: int) -> list[Transition]:
        found: list[Transition] = []
        while len(self._turns) and self.pace.may_send(now):
            row = self._turns.next()
            if not self._can_go(row):
                continue
            if reason := self._expired(row, now):
                found.append(self._change(row, WriteEvent.EXPIRED, reason))
            elif self._rows.line[row] in self._fenced:
                self._to_fence.append(row)
            elif not self._may_go(row):
                self._turns.set_aside(row)
            else:
                self.pace.sent()
                found.append(self._change(row, WriteEvent.SEND))
        return found

    def _may_go(self, row: int) -> bool:
        packed = self._rows.line[row] << NUMBERS | self._rows.number[row]
        return packed not in self._withheld and self.version_vector.holds(self._lines[self._rows.line[row]])

    def live_refused(self, now: int) -> None:
        """The module refused a live request: kept ones stand back."""
        self.pace.refused(now)

    def ended(
        self,
        write_id: WriteId,
        end: ReplayResult,
        now: int,
        wall: int,
        status: int = 0,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        body: bytes = b"",
    ) -> Transition:
        """What its end means, by its class."""
        row = self._must_row(write_id)
        event, reason = self._meaning(row, end, now)
        next_state(self._rows.state_of(row), event)
        if end in (ReplayResult.ANSWERED, ReplayResult.DENIED):
            self.pace.answered()
        elif end is ReplayResult.FENCED:
            self.pace.unsent()
        else:
            self.pace.failed(now)
        if end is ReplayResult.MAY_HAVE_RUN:
            self._rows.set(row, SENT)
        moved = self._change(row, event, reason).moved
        told = msgspec.structs.replace(moved, status=status, headers=headers, body=body, wall=wall)
        return Transition(write_id, event, told)

    def _meaning(self, row: int, end: ReplayResult, now: int) -> tuple[WriteEvent, ParkingReason]:
        if end is ReplayResult.ANSWERED:
            return WriteEvent.ANSWERED, ParkingReason.NONE
        if end is ReplayResult.DENIED:
            return WriteEvent.DENIED, ParkingReason.DENIED
        if end is ReplayResult.NOT_RUN:
            return WriteEvent.NOT_RUN, ParkingReason.NONE
        if end is ReplayResult.FENCED:
            return WriteEvent.FENCED, ParkingReason.FENCED
        cls = self.classes.get(self._names[self._rows.cls[row]])
        if cls is not None and cls.keyed and not self._expired(row, now):
            return WriteEvent.AGAIN, ParkingReason.NONE
        return WriteEvent.UNSURE, ParkingReason.MAY_HAVE_RUN

    def apply(self, change: Transition, now: int) -> bool:
        """The change is durable. False for a `SEND` that took so long that its window is over: it is not
        sent, but `ended` as `NOT_RUN`."""
        row = self._must_row(change.write_id)
        rows, event = self._rows, change.event
        rows.state[row] = next_state(rows.state_of(row), event)
        rows.reason[row], rows.parking[row] = change.moved.reason, change.moved.parking
        rows.set(row, BUSY | ORPHAN, False)
        state = rows.state_of(row)
        moved = change.moved
        if moved.resolved:
            self._resolutions[self._pack(change.write_id)] = (
                moved.resolved,
                Resolution(moved.resolution),
                moved.resolved_at,
            )
        if state is WriteState.PARKED:
            if event is not WriteEvent.FENCED:  # one that is claimed goes on with the age that it has
                self._ages.drop(rows.cls[row], row)
            elif rows.line[row] not in self._fenced:  # claimed while this was being written
                self._to_claim.append(row)
            self._graph.halt(row)
        elif state in FINAL:
            self._close(row, now)
        elif event in (WriteEvent.NOT_RUN, WriteEvent.AGAIN):
            self._turns.again(row)
        elif event is WriteEvent.NEVER_RAN:
            rows.since[row] = now
            rows.set(row, SENT, False)
            self._ages.drop(rows.cls[row], row)  # it may be there with the age that it had
            if not rows.has(row, JOIN):
                self._ages.add(rows.cls[row], row)
            if moved.reason is ParkingReason.ORPHANED:
                self._excused.add(row)
            self._graph.resume(row)
            self._wake(row)
        elif event is WriteEvent.CLAIMED:
            if self._expired(row, now):  # found too old while it was parked, and passed over
                self._late.append(row)
            self._graph.resume(row)
            self._wake(row)
        return event is not WriteEvent.SEND or not self._expired(row, now)

    def undo(self, change: Transition, now: int) -> None:
        """The change could not be made durable: it is found again by `due`, but for a resolution or an end,
        which the driver tries again."""
        row = self._must_row(change.write_id)
        rows = self._rows
        rows.set(row, BUSY, False)
        if change.event is WriteEvent.SEND:
            self.pace.unsent()
        if change.event is WriteEvent.ORPHANED:
            self._orphans.append(row)
        elif change.event is WriteEvent.FENCED:
            self._to_fence.append(row)
        elif change.event is WriteEvent.CLAIMED:
            self._to_claim.append(row)
        elif rows.state[row] == WriteState.READY:
            (self._joins.append if rows.has(row, JOIN) else self._turns.again)(row)
        else:
            self._wake(row)

    def _close(self, row: int, now: int) -> None:
        """It is final: its followers need not wait for it, or are orphans."""
        packed = self._pack(self._write_id_of(row))
        if self._rows.state[row] == WriteState.GIVEN_UP:
            self._given_up.add(packed)
            for follower in self._graph.followers(row):
                self._orphan(follower)
        self._closed.append((packed, now + self.bounds.receipt_us, self._rows.key[row]))
        self._retire(row)

    def _retire(self, row: int) -> None:
        self._uncount(row)
        self._ages.drop(self._rows.cls[row], row)
        self._rows.set(row, CLOSED)
        self._graph.resume(row)
        if self._graph.free(row):
            self._over(row)

    # Others and operators

    def heard(self, now: int) -> None:
        """The version vector has learned something."""
        self._turns.bring_back()
        for dependency, row in list(self._foreign.items()):
            write_status = self.version_vector.write_status(dependency)
            if write_status is WriteStatus.GONE:
                for follower in self._graph.followers(row):
                    self._orphan(follower)
            if write_status in (WriteStatus.IN, WriteStatus.GONE):
                self._over(row)
            elif write_status is WriteStatus.PARKED:
                self._graph.halt(row)
            else:
                self._graph.resume(row)

    def followed(self) -> list[Dependency]:
        """Writes of other lines that are waited for since the last call."""
        found, self._followed = self._followed, []
        return found

    def wonders(self, dependency: Dependency) -> bool:
        """Whether its fate is of use: an open write follows it, or it is an own one that is parked as it may
        have run, here or at the process that has its line."""
        if dependency in self._foreign:
            return True
        row = -1 if dependency.before else self._row(dependency.write_id)
        if row < 0 or self._rows.has(row, CLOSED) or self._rows.state[row] != WriteState.PARKED:
            return False
        return self._rows.reason[row] in (ParkingReason.MAY_HAVE_RUN, ParkingReason.FENCED)

    def found_in(self, write_id: WriteId, wall: int) -> Transition | None:
        """The record says that it is in: None if that changes nothing now."""
        row = self._row(write_id)
        if row < 0 or not self.wonders(Dependency(*write_id)) or self._rows.has(row, BUSY):
            return None
        change = self._change(row, WriteEvent.FOUND_IN)
        return Transition(write_id, change.event, msgspec.structs.replace(change.moved, wall=wall))

    def fence(self, line: EdgeLog) -> None:
        """Another process has this line."""
        place = self._line_places.get(line, -1)
        if place >= 0 and place not in self._fenced:
            self._fenced.add(place)
            self.release_line(line)
            self._to_fence.extend(self._rows_of(place, (WriteState.KEPT, WriteState.READY)))

    def unfence(self, line: EdgeLog) -> None:
        """This process has it; so what was parked as it had not goes on, also from before a restart."""
        place = self._line_places.get(line, -1)
        if place >= 0:
            self._fenced.discard(place)
            self._to_claim.extend(self._rows_of(place, (WriteState.PARKED,)))

    def _rows_of(self, place: int, states: tuple[WriteState, ...]) -> list[int]:
        """Looks at all rows."""
        line, fenced = self._rows.line, place in self._fenced
        return [
            row
            for row in range(len(self._rows))
            if line[row] == place and self._is_fenced(row, fenced, states)
        ]

    def withhold(self, write_id: WriteId) -> None:
        """It is not sent until `release`. Called before the step that would bring it its turn."""
        self._withheld.add(self._pack(write_id))

    def release(self, write_id: WriteId) -> None:
        """`heard` is to follow."""
        self._withheld.discard(self._pack(write_id))

    def release_line(self, line: EdgeLog) -> None:
        place = self._line_places.get(line, -1)
        self._withheld = {packed for packed in self._withheld if packed >> NUMBERS != place}

    def unsafe(self, write_id: WriteId) -> bool:
        """It may be sent once, ever."""
        row = self._row(write_id)
        cls = self.classes.get(self._names[self._rows.cls[row]]) if row >= 0 else None
        return cls is None or not cls.keyed

    def over(self) -> list[tuple[WriteId, WriteStatus]]:
        """Own writes, since the last call, that are over with all that they follow: what the version
        vector may tell others as in or gone. After a restart those that still have a record are named
        again."""
        told, self._over_now = self._over_now, []
        return told

    def write_status(self, write_id: WriteId) -> WriteStatus:
        """What the version vector may tell others of an own write. `UnknownWriteError`."""
        row = self._row(write_id)
        if row >= 0:
            return WriteStatus.PARKED if self._graph.sticks(row) else WriteStatus.UNKNOWN
        return WriteStatus.GONE if self.receipt(write_id).state is WriteState.GIVEN_UP else WriteStatus.IN

    def low(self, line: EdgeLog) -> int:
        """Up to which number all of an own line are over, those that were never kept among them."""
        place = self._line_places[line]
        while self._low[place] < self._high[place] and (
            self._open.get(place << NUMBERS | self._low[place] + 1) < 0
        ):
            self._low[place] += 1
        return self._low[place]

    def resolve(
        self, write_id: WriteId, parking: int, resolution: Resolution, wall: int
    ) -> Transition | None:
        """An operator's resolution on a parking; None if this one was given already. `VerdictError`,
        `UnknownWriteError`."""
        before = self._resolutions.get(self._pack(write_id))
        if before is not None and before[:2] == (parking, resolution):
            return None
        if before is not None and parking <= before[0]:
            raise VerdictError(f"{write_id}: parking {before[0]} was judged {before[1].name.lower()}")
        row = self._must_row(write_id)
        self._check_resolution(row, parking, resolution)
        event = {
            Resolution.RAN: WriteEvent.RAN,
            Resolution.NEVER_RAN: WriteEvent.NEVER_RAN,
            Resolution.GIVE_UP: WriteEvent.GIVE_UP,
        }[resolution]
        moved = self._change(row, event, self._rows.reason_of(row)).moved
        sent = moved.sent and resolution is not Resolution.NEVER_RAN
        told = msgspec.structs.replace(
            moved,
            parking=parking,
            resolution=resolution,
            resolved=parking,
            resolved_at=wall,
            sent=sent,
            wall=wall,
        )
        return Transition(write_id, event, told)

    def _check_resolution(self, row: int, parking: int, resolution: Resolution) -> None:
        rows, write_id = self._rows, self._write_id_of(row)
        if rows.has(row, BUSY):
            raise VerdictError(f"{write_id}: another change of it is on its way to the disk")
        behind = rows.state[row] == WriteState.KEPT and self._graph.behind(row)
        number = rows.parking[row] + behind
        if not (rows.state[row] == WriteState.PARKED or (behind and resolution is Resolution.GIVE_UP)):
            raise VerdictError(
                f"{write_id} is not parked" + (" itself: judge what it follows" if behind else "")
            )
        if parking != number:
            raise VerdictError(f"{write_id}: the parking is number {number}")

    # Telling

    def receipt(self, write_id: WriteId) -> WriteReceipt:
        """Its state; `status` and body are in its record. Of one that is over, only that it is: where it has
        no record, it is unknown. `UnknownWriteError`."""
        packed, row = self._pack(write_id), self._row(write_id)
        if row < 0 or self._rows.has(row, CLOSED):
            if packed in self._given_up:
                return WriteReceipt(write_id, WriteState.GIVEN_UP)
            if packed < 0 or write_id.number > self._high[packed >> NUMBERS]:
                raise UnknownWriteError(f"{write_id} is not known here")
            return WriteReceipt(write_id, WriteState.DONE)
        rows = self._rows
        state, reason, parking = rows.state_of(row), rows.reason_of(row), rows.parking[row]
        if state is not WriteState.KEPT:
            return WriteReceipt(write_id, state, reason, parking)
        holder = self._named_holder(row)
        behind = None if holder < 0 else self._write_id_of(holder)
        if self._graph.behind(row):
            return WriteReceipt(write_id, WriteState.PARKED, ParkingReason.FOLLOWS, parking + 1, behind)
        return WriteReceipt(write_id, state, ParkingReason.NONE, parking, behind)

    def _named_holder(self, row: int) -> int:
        """A write that holds this one up, through barriers."""
        holder = self._graph.holder(row)
        while holder >= 0 and self._rows.has(holder, BARRIER):
            holder = self._graph.holder(holder)
        return holder

    def durable(self, write_id: WriteId) -> bool:
        """`stored` was called for it. `UnknownWriteError`."""
        row = self._row(write_id)
        return self._rows.has(row, DURABLE) if row >= 0 else self.receipt(write_id).state in FINAL

    def forgettable(
        self, now: int, telling: Callable[[WriteId], bool] = lambda write_id: False
    ) -> list[WriteId]:
        """Those whose receipt's time is over: make `lines` durable, delete their records, `forget` them.
        Nothing that was given up while `telling` says that others do not know of it: a later life would
        have only its number, which says that it is in."""
        found: list[WriteId] = []
        for _ in range(min(SWEEP, len(self._closed))):
            packed, until, key = self._closed[0]
            if until > now and len(self._closed) <= self.bounds.receipts_most:
                break
            self._closed.popleft()
            write_id = WriteId(*self._lines[packed >> NUMBERS], packed & NUMBER_MASK)
            # Its followers still wait for its causes, or others are to hear of it.
            if self._open.get(packed) >= 0 or (packed in self._given_up and telling(write_id)):
                self._closed.append((packed, now + self.bounds.receipt_us, key))
                continue
            if key and self._keys.get(key) == packed:
                self._keys.drop(key)
            found.append(write_id)
        return found

    def forget(self, write_id: WriteId) -> None:
        packed = self._pack(write_id)
        self._given_up.discard(packed)
        self._resolutions.pop(packed, None)

    # After a restart

    def restore(
        self,
        kept: Iterable[tuple[QueuedWrite, StateChange | None]],
        lines: Mapping[EdgeLog, int],
        now: int,
        wall: int,
        *,
        is_elapsed_known: bool = True,
        doubt_us: int = 0,
    ) -> list[Transition]:
        """All records of the store, once, before anything else. `lines`: the highest number found of each
        former life. `is_elapsed_known`: whether `wall` tells how much time passed between the lives;
        `doubt_us`: by how much it may tell too much. What comes back is to be made durable and applied."""
        records = sorted(kept, key=lambda pair: (pair[0].life, pair[0].write_id))
        self._life = max((write.life for write, _ in records), default=-1) + 1
        for line in sorted({*lines, *(write.write_id.line for write, _ in records)} - {self._lines[0]}):
            self._line_places[line] = len(self._lines)
            self._lines.append(line)
            self._high.append(lines.get(line, 0))
            self._low.append(0)
        known = {*(write.wall for write, _ in records), *(moved.wall for _, moved in records if moved)}
        clock_back = not is_elapsed_known or wall < max(known, default=wall)
        entered = [self._restore_one(write, moved, now, wall) for write, moved in records]
        self._excused = {
            row
            for row, (_, moved) in zip(entered, records, strict=True)
            if moved is not None and _went_on(moved)
        }
        barriers = self._restore_barriers([write for write, _ in records])
        for row, (write, _) in zip(entered, records, strict=True):
            self._link(row, tuple(Dependency(*dependency) for dependency in write.dependencies), barriers)
        changes = self._restore_states(
            entered, [moved for _, moved in records], now, wall - doubt_us, clock_back
        )
        self._excused = {
            row for row in self._excused if self._rows.state[row] in (WriteState.KEPT, WriteState.READY)
        }
        return changes

    def _restore_one(self, write: QueuedWrite, moved: StateChange | None, now: int, wall: int) -> int:
        place = self._line_places[write.write_id.line]
        self._high[place] = max(self._high[place], write.write_id.number)
        anew = moved is not None and moved.resolution == Resolution.NEVER_RAN
        began = moved.resolved_at if anew and moved is not None else write.wall
        key = short_hash(write.cls.encode(), write.tenant.encode(), write.key) if write.keyed else 0
        session, obj = short_hash(b"s", write.session), short_hash(b"o", write.obj)
        row = self._enter(write, place, key, session, obj, now - max(0, wall - began))
        self._rows.set(row, DURABLE)
        if moved is not None:
            self._rows.reason[row], self._rows.parking[row] = moved.reason, moved.parking
            self._rows.set(row, SENT, moved.sent)
            if moved.resolved:
                self._resolutions[self._pack(write.write_id)] = (
                    moved.resolved,
                    Resolution(moved.resolution),
                    moved.resolved_at,
                )
            if moved.state is WriteState.GIVEN_UP:
                self._given_up.add(self._pack(write.write_id))
        return row

    def _restore_barriers(self, writes: list[QueuedWrite]) -> dict[tuple[int, int], int]:
        """All that the writes name, each exactly as far as named: later ones of its line may follow it."""
        named = {
            (place, number)
            for write in writes
            for edge, incarnation, number, before in write.dependencies
            if before and (place := self._line_places.get(EdgeLog(edge, incarnation), -1)) >= 0
        }
        return {one: self._barrier(*one) for one in sorted(named) if one[1] <= self._high[one[0]]}

    def _restore_states(
        self, entered: list[int], moves: list[StateChange | None], now: int, wall: int, clock_back: bool
    ) -> list[Transition]:
        changes: list[Transition] = []
        for row, moved in zip(entered, moves, strict=True):
            state = WriteState.KEPT if moved is None or moved.state is WriteState.READY else moved.state
            self._rows.state[row] = state
            if state is WriteState.PARKED:
                self._graph.halt(row)
            elif state is WriteState.OUT:
                changes.append(self._restore_out(row, now, clock_back))
        for row, moved in zip(entered, moves, strict=True):
            if moved is not None and moved.state in FINAL:
                until = now + self.bounds.receipt_us - max(0, wall - moved.wall)
                self._closed.append((self._pack(self._write_id_of(row)), until, self._rows.key[row]))
                if moved.state is WriteState.GIVEN_UP:
                    for follower in self._graph.followers(row):
                        self._orphan(follower)
                self._retire(row)
        for row in sorted(entered, key=self._rows.since.__getitem__):
            parked = (
                self._rows.state[row] == WriteState.PARKED
                and self._rows.reason_of(row) is not ParkingReason.FENCED
            )
            if not parked and not self._rows.flags[row] & (JOIN | CLOSED):
                self._ages.add(self._rows.cls[row], row)
        for row in entered:
            if clock_back and self._rows.has(row, SENT) and self._rows.state[row] == WriteState.KEPT:
                changes.append(self._change(row, WriteEvent.EXPIRED, ParkingReason.MAY_HAVE_RUN))
            elif not self._rows.has(row, CLOSED):
                self._wake(row)
        return changes

    def _restore_out(self, row: int, now: int, clock_back: bool) -> Transition:
        """It may have run before the restart."""
        self._rows.set(row, SENT)
        event, reason = self._meaning(row, ReplayResult.MAY_HAVE_RUN, now)
        if clock_back:
            event, reason = WriteEvent.UNSURE, ParkingReason.MAY_HAVE_RUN
        return self._change(row, event, reason)

    def lines(self) -> dict[EdgeLog, int]:
        """The highest number known of each own line: durable before a life begins."""
        return dict(zip(self._lines, self._high, strict=True))


def _went_on(moved: StateChange) -> bool:
    """It is no more to be parked for a cause that was given up: it has been, or has left that behind."""
    return moved.state is not WriteState.KEPT or moved.reason is ParkingReason.ORPHANED
