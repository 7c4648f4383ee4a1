"""The core: one process's share of the agreed record. Pure: time and datagrams in, datagrams and what is to
be kept out.

Raft (Ongaro and Ousterhout 2014; Ongaro's dissertation 2014) among identities that carry an incarnation. The
rules stand at the heads of the parts: `log`, `state`, `voting`, `leading`, `following`, `membership`,
`founding`, `snapshots`, `reading`, `learning`.

1. Every call is one step. Its effects are carried out before the next step, `keep` before `sends`.
2. A message is read by its era. An older one than promised is dropped; but it frees a seat that is frozen for
   too long (founding.py, rule 7). A newer one that only a begun era can send (an append, a part of a
   snapshot, a call for a vote) takes this seat into that era.
3. Nothing that a peer sends raises, and nothing of it is kept without a bound.

What holds after every step, by name; `laurelstep.testing.schedules` checks it:

- one order: what two processes apply at a place of one era is the same;
- nothing lost: what was agreed is in every later era's record, while a majority of the voters that agreed it
  remembers;
- one leader: in a term of an era at most one process leads;
- one vote: an incarnation votes for at most one candidate in a term of an era;
- leases apart: no two processes hold a lease at once, while clocks drift within the bound;
- no stale read: who knows the record has applied all that was agreed before it began;
- progress: once faults end, what is proposed is agreed, and known to all.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from laurelstep.accord import messages as m
from laurelstep.accord.errors import EntryError
from laurelstep.accord.following import Following
from laurelstep.accord.founding import Founding
from laurelstep.accord.leading import Leading
from laurelstep.accord.learning import Learner, Serving
from laurelstep.accord.membership import Membership
from laurelstep.accord.ports import Machine
from laurelstep.accord.reading import Reading
from laurelstep.accord.state import FAR, FROZEN, LEADER, State
from laurelstep.accord.terms import NOWHERE, WORD_MOST, Effects, Era, Timing
from laurelstep.accord.voting import Voting

__all__ = ["FAR", "Core", "Effects", "Timing"]


class Core:
    """One process. Every method is a step: it takes the time in µs and gives what is to be done.

    `due` is the time of the next `tick`, and changes with every step (FAR: never). `incarnation` changes too,
    where a process has to come again as another one (founding.py, rule 7): read it, don't keep it.
    """

    # The parts, so that a test can put a faulty one in.
    State = State
    Voting = Voting
    Leading = Leading
    Following = Following
    Membership = Membership
    Founding = Founding
    Reading = Reading
    Serving = Serving
    Learner = Learner

    def __init__(
        self,
        me: int,
        peers: int,
        seats: int,
        incarnation: int,
        machine: Machine,
        timing: Timing,
        draw: random.Random,
        kept: Mapping[bytes, bytes] | None = None,
    ) -> None:
        """`incarnation`: 64 random bits, for a start from nothing; what is `kept` has its own.

        Incarnations, eras and nonces are drawn from `draw`: in service one seeded by the system.
        Raises KeptError.
        """
        self._state = self.State(me, peers, seats, incarnation, machine, timing, draw)
        self._state.restore(kept or {})
        self._leading = self.Leading(self._state)
        self._following = self.Following(self._state)
        self._membership = self.Membership(self._state, self._leading)
        self._reading = self.Reading(self._state, self._leading)
        self._voting = self.Voting(self._state, self._lead)
        self._founding = self.Founding(self._state, self._lead)
        self._serving = self.Serving(self._state)
        self._learner = self.Learner(self._state)
        self._retired = False
        self.due = FAR
        self._by_kind: dict[type, Callable[[int, Any], None]] = {
            m.Ask: self._on_ask,
            m.Here: self._on_here,
            m.Found: self._founding.on_found,
            m.Accepted: self._founding.on_accepted,
            m.Stand: self._on_seat,
            m.Vote: self._voting.on_vote,
            m.Append: self._on_seat,
            m.Ack: self._on_ack,
            m.Chunk: self._on_chunk,
            m.Chunked: self._on_chunked,
            m.Follow: self._on_follow,
            m.Feed: self._on_feed,
            m.Read: self._reading.on_read,
            m.ReadAt: self._reading.on_read_at,
            m.Word: self._on_word,
        }

    # What can be seen

    @property
    def me(self) -> int:
        return self._state.me

    @property
    def role(self) -> str:
        """`leader`, `candidate`, `follower`, `frozen` or `learner`."""
        return self._state.role

    @property
    def leader(self) -> int | None:
        """The number of the process that leads, as far as this one heard."""
        return self._state.leader

    @property
    def term(self) -> int:
        return self._state.term

    @property
    def era(self) -> Era:
        """The founding that the record here comes from.

        NOWHERE with something applied: a learner's record is of an era that is over, and the new one is on
        its way.
        """
        return self._state.log.era

    @property
    def committed(self) -> int:
        return self._state.committed

    @property
    def applied(self) -> int:
        return self._state.applied

    @property
    def known(self) -> bool:
        """Whether all that was agreed before this process began is applied here (reading.py)."""
        return self._state.known

    @property
    def incarnation(self) -> int:
        return self._state.incarnation

    @property
    def members(self) -> dict[int, int]:
        """Who votes: seat to incarnation."""
        return dict(self._state.log.config.members)

    @property
    def log_size(self) -> int:
        """Entries that are held beside the snapshot."""
        return len(self._state.log.entries)

    @property
    def counters(self) -> Counter[str]:
        return self._state.counters

    @property
    def heard(self) -> Callable[[int, int, bytes], None]:
        """Where words go when this process leads: peer, incarnation, data.

        It is called in the midst of a step, as is the machine: what it leads to is a later step.
        """
        return self._state.heard

    @heard.setter
    def heard(self, heard: Callable[[int, int, bytes], None]) -> None:
        self._state.heard = heard

    def in_touch(self, now: int) -> bool:
        """Whether this process heard lately of a leader that a majority follows."""
        return not self._retired and self._state.in_touch(now)

    # Steps

    def start(self, now: int) -> Effects:
        """Once, before any other step."""
        self._begin(now)
        state = self._state
        state.heard_at = state.frozen_at = now
        if state.seated:
            state.keep_me()
            if state.role != FROZEN:
                state.patient()
        return self._end()

    def receive(self, now: int, peer: int, raw: bytes) -> Effects:
        """Take a datagram. Never raises for any bytes: what is no message is dropped and counted."""
        self._begin(now)
        state = self._state
        message = m.decode(raw)
        if self._retired:
            pass
        elif not 0 <= peer < state.peers or peer == state.me:
            state.counters["foreign"] += 1
        elif message is None:
            state.counters["unreadable" if raw[:1] <= bytes((m.VERSION,)) else "future"] += 1
        else:
            self._by_kind[type(message)](peer, message)
        return self._end()

    def tick(self, now: int) -> Effects:
        """Do what is due. Harmless at any time."""
        self._begin(now)
        if self._retired:
            return self._end()
        if self._state.now >= self._leading.due():
            self._leading.beat()
            self._membership.beat()
        self._voting.tick()
        self._founding.tick()
        self._reading.tick()
        self._serving.sweep()
        self._learner.tick()
        return self._end()

    def propose(self, now: int, data: bytes) -> Effects:
        """Put an entry in order. Raises NotLeadingError, BusyError, EntryError (over ENTRY_MOST bytes)."""
        self._begin(now)
        index = self._leading.propose(data)
        effects = self._end()
        effects.index = index
        return effects

    def word(self, now: int, data: bytes, era: Era | None = None) -> Effects:
        """A small message to whoever leads, perhaps lost. EntryError if too long.

        `era`: of the record that it speaks of, the present one unless told. It reaches nobody who leads
        another one: places there have other entries.
        """
        if len(data) > WORD_MOST:
            raise EntryError(f"{len(data)} bytes, of {WORD_MOST} at most")
        self._begin(now)
        state = self._state
        if era is not None and era != state.log.era:
            state.counters["words_lost"] += 1
        elif state.role == LEADER:
            state.heard(state.me, state.incarnation, data)
        elif state.leader is not None:
            state.send(state.leader, m.Word(state.log.era, state.incarnation, data))
        else:
            state.counters["words_lost"] += 1
        return self._end()

    def retire(self) -> dict[bytes, bytes]:
        """Stop for good: later steps do nothing. Gives what its successor, the same incarnation, gets."""
        self._retired = True
        self.due = FAR
        state = self._state
        if state.role == LEADER:
            state.follow(None)
        return state.dump()

    def _begin(self, now: int) -> None:
        state = self._state
        state.now = max(state.now, now)
        state.effects = Effects()

    def _end(self) -> Effects:
        state = self._state
        if self._retired:
            return Effects()
        self._reading.settle()
        if state.effects.changed and state.seated:
            if state.role == LEADER:
                self._leading.tell()
            self._serving.push()
        self.due = min(
            self._leading.due(),
            self._voting.due(),
            self._founding.due(),
            self._reading.due(),
            self._serving.due(),
            self._learner.due(),
        )
        return state.effects

    def _lead(self) -> None:
        self._founding.stop()
        self._reading.begin()
        self._membership.begin()
        self._leading.begin()

    # Messages, by kind

    def _on_ask(self, peer: int, message: m.Ask) -> None:
        if self._state.seated and peer < self._state.seats:
            self._state.send(peer, self._founding.here(message.nonce))

    def _on_here(self, peer: int, message: m.Here) -> None:
        if self._state.role == LEADER:
            self._membership.on_here(peer, message)
        else:
            self._founding.on_here(peer, message)

    def _on_seat(self, peer: int, message: m.Stand | m.Append) -> None:
        if not self._enter(peer, message):
            return
        if isinstance(message, m.Append):
            self._following.on_append(peer, message)
        else:
            self._voting.on_stand(peer, message)

    def _on_chunk(self, peer: int, message: m.Chunk) -> None:
        if not self._state.seated:
            if self._for_me(message):
                self._learner.on_chunk(peer, message)
        elif self._enter(peer, message):
            self._following.on_chunk(peer, message)

    def _on_ack(self, peer: int, message: m.Ack) -> None:
        if message.era == self._state.promised:
            self._leading.on_ack(peer, message)

    def _on_chunked(self, peer: int, message: m.Chunked) -> None:
        if peer >= self._state.seats:
            self._serving.on_chunked(peer, message)
        elif message.era == self._state.promised:
            self._leading.on_chunked(peer, message)

    def _on_follow(self, peer: int, message: m.Follow) -> None:
        if self._state.seated and peer >= self._state.seats:
            self._serving.on_follow(peer, message)

    def _on_feed(self, peer: int, message: m.Feed) -> None:
        if not self._state.seated and peer < self._state.seats and self._for_me(message):
            self._learner.on_feed(peer, message)

    def _on_word(self, peer: int, message: m.Word) -> None:
        state = self._state
        if state.role == LEADER and message.era in (NOWHERE, state.log.era):
            state.heard(peer, message.incarnation, message.data)
        else:
            state.counters["words_lost"] += 1

    def _enter(self, peer: int, message: m.Stand | m.Append | m.Chunk) -> bool:
        """Rule 2: whether the message is of this process's era, or has brought it there."""
        state = self._state
        if peer >= state.seats or not state.seated:
            state.counters["foreign"] += 1
            return False
        if not self._for_me(message):
            if isinstance(message, m.Append):
                # So that a leader learns early who is here.
                ack = m.Ack(message.era, state.incarnation, 0, False, -1, message.round)
                state.send(peer, ack)
            return False
        if message.era == NOWHERE or (message.era < state.promised and not self._come_again(message)):
            state.counters["past"] += 1
            return False
        if message.era != state.promised or not state.live:
            self._founding.stop()
            state.enter_era(message.era)
        return True

    def _for_me(self, message: m.Stand | m.Append | m.Chunk | m.Feed) -> bool:
        """messages.py, rule 4."""
        if message.to == m.short(self._state.incarnation):
            return True
        self._state.counters["past"] += 1
        return False

    def _come_again(self, message: m.Stand | m.Append | m.Chunk) -> bool:
        """founding.py, rule 7."""
        state = self._state
        if state.live or isinstance(message, m.Stand) or message.era < state.log.era:
            return False
        if state.now - state.frozen_at <= state.timing.found_us:
            return False
        state.counters["came_again"] += 1
        state.incarnation = state.draw.getrandbits(64)
        state.keep_me()
        self._reading.forget()
        return True
