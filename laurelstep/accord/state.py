"""What one process holds of the record, and the few steps that change it. Pure.

1. `promised` is the era that this process takes part in; it only grows, but for founding.py, rule 7. `log`
   may still be of an older one: until the first snapshot of the new era is here whole, nothing of the old is
   given up.
2. `frozen`: an era was promised of which nobody has been heard to have begun it. A frozen process keeps its
   log as it is, neither votes nor stands, and takes nothing from any older era.
3. A vote is kept before it is sent; it is for one incarnation, in one term of one era.
4. What is agreed is applied in order, once; `applied` goes back only with a snapshot of a newer era.
5. The log is bounded: past `log_most` applied entries there is a snapshot, and a quarter of them stays.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Final

from laurelstep.accord import kept
from laurelstep.accord.errors import KeptError
from laurelstep.accord.log import DATA, Config, Entry, Log
from laurelstep.accord.messages import Message, encode
from laurelstep.accord.ports import Machine
from laurelstep.accord.snapshots import Snapshot
from laurelstep.accord.terms import NOWHERE, Effects, Era, Timing

__all__ = ["CANDIDATE", "FAR", "FOLLOWER", "FROZEN", "LEADER", "LEARNER", "State"]

LEADER: Final = "leader"
CANDIDATE: Final = "candidate"
FOLLOWER: Final = "follower"
FROZEN: Final = "frozen"
LEARNER: Final = "learner"

# A time that never comes, in µs.
FAR: Final = 1 << 62


def _unheard(peer: int, incarnation: int, data: bytes) -> None:
    """Words go nowhere until somebody listens."""


class State:
    """See the rules."""

    def __init__(
        self,
        me: int,
        peers: int,
        seats: int,
        incarnation: int,
        machine: Machine,
        timing: Timing,
        draw: random.Random,
    ) -> None:
        self.me = me
        self.peers = peers
        self.seats = seats
        self.incarnation = incarnation
        self.machine = machine
        self.timing = timing
        self.draw = draw

        self.promised: Era = NOWHERE
        self.live = True
        self.frozen_at = 0
        self.term = 0
        self.voted: tuple[int, int] | None = None
        self.log = Log()
        self.snapshot: Snapshot | None = None
        self.committed = 0
        self.applied = 0

        self.role = FOLLOWER if self.seated else LEARNER
        self.leader: int | None = None
        # When a leader of this era was last heard, and until when a follower waits for one.
        self.heard_at = 0
        self.patience = FAR
        # The record was read as of a time after this process began.
        self.known = False
        # A learner heard of a leader in an era that is not newer than its own: one of the two is over.
        self.doubt = False
        self.heard: Callable[[int, int, bytes], None] = _unheard

        self.now = 0
        self.effects = Effects()
        self.counters: Counter[str] = Counter()

    # What is sent and kept

    @property
    def seated(self) -> bool:
        return self.me < self.seats

    @property
    def others(self) -> list[int]:
        """The other seats."""
        return [seat for seat in range(self.seats) if seat != self.me]

    @property
    def whole(self) -> bool:
        """Whether the log is of the era that this process takes part in, and begun."""
        return self.live and self.log.era == self.promised != NOWHERE

    def in_touch(self, now: int) -> bool:
        """Whether a leader that a majority follows was heard lately: see `heard_at`."""
        if self.leader is None:
            return False
        patience = 2 * self.timing.election_us if self.seated else 3 * self.timing.rest_us
        return now - self.heard_at <= patience

    def send(self, peer: int, message: Message) -> None:
        self.effects.sends.append((peer, encode(message)))

    def keep_promise(self) -> None:
        promise = kept.Promise(self.promised, self.live, self.term, self.voted)
        self.effects.keep[kept.VOTE] = kept.raw(promise)

    def keep_me(self) -> None:
        self.effects.keep[kept.ME] = kept.raw(kept.Me(self.me, self.peers, self.seats, self.incarnation))

    def _keep_base(self) -> None:
        if self.snapshot is None:
            return
        floor = self.log.floor
        base = kept.Base(
            self.log.era,
            self.log.start,
            self.log.start_term,
            floor.index,
            floor.term,
            sorted(floor.members.items()),
            self.snapshot.index,
            self.snapshot.term,
            self.snapshot.raw,
        )
        self.effects.keep[kept.BASE] = kept.raw(base)

    def _forget(self, first: int, last: int) -> None:
        for index in range(first, last + 1):
            self.effects.keep[kept.entry_key(index)] = None

    # Eras, terms, roles

    def patient(self) -> None:
        """Wait for a leader: between once and twice the election time."""
        least = self.timing.election_us
        self.patience = self.now + least + self.draw.randrange(least)

    def follow(self, leader: int | None) -> None:
        """Be a follower, of that leader where one is heard."""
        self.role = FOLLOWER
        self.leader = leader
        if leader is not None:
            self.heard_at = self.now
        self.patient()

    def enter_term(self, term: int) -> None:
        """A later term of this era."""
        self.term, self.voted = term, None
        self.keep_promise()
        self.follow(None)

    def enter_era(self, era: Era) -> None:
        """An era that is known to live."""
        if era != self.promised:
            self.promised, self.term, self.voted = era, 0, None
            self.known = False
        self.live = True
        self.keep_promise()
        self.follow(None)

    def freeze(self, era: Era) -> None:
        """Promise an era that is not known to live (rule 2)."""
        self.promised, self.term, self.voted = era, 0, None
        self.live = False
        self.known = False  # of the new era nothing is: reading.py, rule 3
        self.frozen_at = self.now
        self.role = FROZEN
        self.leader = None
        self.patience = FAR
        self.keep_promise()

    # The log

    def append(self, kind: int, data: bytes) -> int:
        """Add an entry of this term; gives its place."""
        return self.take(Entry(self.term, kind, data))

    def take(self, entry: Entry) -> int:
        index = self.log.append(entry)
        self.effects.keep[kept.entry_key(index)] = kept.raw(entry)
        return index

    def cut(self, last: int) -> None:
        self._forget(last + 1, self.log.last)
        self.log.cut(last)

    def commit_to(self, index: int) -> None:
        """Apply what is agreed up to there."""
        index = min(index, self.log.last)
        if index <= self.committed:
            return
        self.committed = index
        self.apply_to(index)
        if self.applied - self.log.start >= self.timing.log_most:
            self.compact()

    def apply_to(self, index: int) -> None:
        while self.applied < index:
            self.applied += 1
            entry = self.log.entry(self.applied)
            if entry.kind == DATA:
                self.machine.apply(self.applied, entry.data)
        self.effects.changed = True

    def compact(self) -> None:
        """A snapshot of what is applied; rule 5."""
        term = self.log.term_at(self.applied)
        assert term is not None
        config = self.log.config_at(self.applied)
        self.snapshot = Snapshot.of(self.log.era, self.applied, term, config, self.machine.dump())
        before = self.log.start
        self.log.compact(max(before, self.applied - self.timing.log_most // 4))
        self._forget(before + 1, self.log.start)
        self._keep_base()

    def install(self, snapshot: Snapshot) -> None:
        """Take a snapshot from another. Raises msgspec.DecodeError, with nothing changed."""
        era = snapshot.era
        config, dump = snapshot.open()
        if era == self.log.era and self.log.term_at(snapshot.index) == snapshot.term:
            # What follows the snapshot in the log is the same log's.
            before = self.log.start
            self.log.compact(snapshot.index)
            self._forget(before + 1, self.log.start)
        else:
            self._forget(self.log.start + 1, self.log.last)
            self.log = Log(era, snapshot.index, snapshot.term, config)
        self._rest_on(snapshot, dump)

    def forget_era(self) -> None:
        """A learner: its era is over, and the one that lives is not greater (learning.py, rule 6)."""
        self.log = Log()
        self.promised, self.known = NOWHERE, False
        self.counters["eras_forgotten"] += 1

    def begin(self, era: Era, members: Mapping[int, int]) -> None:
        """The founder: the whole log, applied, is what the new era begins with (founding.py, rule 6)."""
        self.apply_to(self.log.last)
        config = Config(self.applied, 0, dict(members))
        self._forget(self.log.start + 1, self.log.last)
        self.log = Log(era, self.applied, 0, config)
        self.snapshot = Snapshot.of(self.log.era, self.applied, 0, config, self.machine.dump())
        self.committed = self.applied
        self.live = True
        self.term, self.voted = 1, (self.me, self.incarnation)
        self.known = False
        self.keep_promise()
        self._keep_base()

    def _rest_on(self, snapshot: Snapshot, dump: bytes) -> None:
        self.machine.load(dump)
        self.snapshot = snapshot
        self.applied = self.committed = snapshot.index
        self.effects.changed = True
        self._keep_base()

    # A start from what was kept

    def restore(self, found: Mapping[bytes, bytes]) -> None:
        """Raises KeptError."""
        me = kept.read(found, kept.ME, kept.Me)
        if me is None:
            return
        if (me.me, me.peers, me.seats) != (self.me, self.peers, self.seats):
            raise KeptError(
                f"kept by peer {me.me} of {me.peers} with {me.seats} seats, "
                f"not by peer {self.me} of {self.peers} with {self.seats}"
            )
        self.incarnation = me.incarnation
        promise = kept.read(found, kept.VOTE, kept.Promise)
        if promise is not None:
            self.promised, self.live = promise.era, promise.live
            self.term, self.voted = promise.term, promise.voted
        base = kept.read(found, kept.BASE, kept.Base)
        if base is not None:
            self.log, self.snapshot = kept.log_from(found, base)
            self.machine.load(self.snapshot.open()[1])
            self.applied = self.committed = self.snapshot.index
        if self.seated and not self.live:
            self.role = FROZEN

    def dump(self) -> dict[bytes, bytes]:
        """All that a successor of the same incarnation begins with."""
        self.effects = Effects()
        self.keep_me()
        self.keep_promise()
        if self.log.era != NOWHERE:
            if not self.seated:
                self.log = Log(self.log.era, self.applied, 0)
                self.snapshot = Snapshot.of(
                    self.log.era, self.applied, 0, self.log.config, self.machine.dump()
                )
            self._keep_base()
        for index in range(self.log.start + 1, self.log.last + 1):
            self.effects.keep[kept.entry_key(index)] = kept.raw(self.log.entry(index))
        return {key: value for key, value in self.effects.keep.items() if value is not None}
