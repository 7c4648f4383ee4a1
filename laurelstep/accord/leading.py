"""The leader's side: entries to the seats, and what is agreed. Pure. Raft, section 5.3 and 5.4.2.

1. A leader begins with an entry of its own term that says nothing: what it finds is agreed with that (5.4.2).
2. An entry is agreed when a majority of the voters of the newest config has it, and it is of the leader's own
   term; all before it is agreed with it. Acks count only from the incarnation that the config names.
3. One batch is under way to a seat; what is lost goes again with the next heartbeat.
4. A seat that needs what the log no longer has gets the snapshot.
5. A leader that no majority answered for an election time follows (CheckQuorum, dissertation 6.2): nobody
   waits on one that is cut off.
6. Each heartbeat has a number, and acks give it back: a majority of acks of a round says that at its start
   there was no later leader (dissertation 6.4; see reading.py).
7. At most PENDING_MOST entries wait for agreement.
"""

from __future__ import annotations

import dataclasses

from laurelstep.accord.errors import BusyError, EntryError, NotLeadingError
from laurelstep.accord.log import CONFIG, DATA, NOTHING, members_raw
from laurelstep.accord.messages import Ack, Append, Chunked, short
from laurelstep.accord.snapshots import Snapshot
from laurelstep.accord.state import FAR, LEADER, State
from laurelstep.accord.terms import ENTRY_MOST, PENDING_MOST
from laurelstep.accord.voting import majority

__all__ = ["Leading", "Progress"]


@dataclasses.dataclass(slots=True)
class Progress:
    """How far one incarnation at a seat is."""

    incarnation: int
    # The next place to send, and the last one it surely has: -1 before its first yes.
    next: int
    match: int = -1
    # When it last answered, and the newest round it answered.
    heard_at: int = 0
    round: int = 0
    # What it was told to be agreed.
    told: int = -1
    # A batch is under way.
    flight: bool = False
    # The snapshot that goes to it, how much has arrived, and the round in which that last fell back.
    snapshot: Snapshot | None = None
    offset: int = 0
    fell: int = 0


class Leading:
    """See the rules."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._beat_at = 0
        self.round = 0
        # The first place of the leader's own term.
        self.own = 0
        self.progress: dict[int, Progress] = {}
        # Acks came from an incarnation that is not expected there.
        self.strangers: set[int] = set()

    @property
    def leads(self) -> bool:
        return self._state.role == LEADER

    @property
    def settled(self) -> bool:
        """An entry of this term is agreed, and so is all that came before it."""
        return self.leads and self._state.committed >= self.own

    def begin(self) -> None:
        """The election is won."""
        state = self._state
        state.role, state.leader, state.heard_at = LEADER, state.me, state.now
        self.progress = {}
        self.strangers = set()
        for seat, incarnation in state.log.config.members.items():
            if seat != state.me:
                self.meet(seat, incarnation)
        self.own = state.append(NOTHING, b"")
        self.beat()
        self._agree()

    def meet(self, seat: int, incarnation: int) -> None:
        """Go on with that incarnation at the seat, from where the log ends."""
        state = self._state
        self.progress[seat] = Progress(incarnation, state.log.last + 1, heard_at=state.now)

    def due(self) -> int:
        return self._beat_at if self.leads else FAR

    def beat(self) -> None:
        """A round of heartbeats; rule 5."""
        state = self._state
        if not self._answered():
            state.counters["stepped_down"] += 1
            state.follow(None)
            state.heard_at = state.now
            return
        state.heard_at = state.now
        self.round += 1
        self._beat_at = state.now + state.timing.heartbeat_us
        for seat, progress in self.progress.items():
            self._send(seat, progress)

    def _answered(self) -> bool:
        state = self._state
        since = state.now - state.timing.election_us
        members = state.log.config.members
        heard = {seat for seat in members if self._voter(seat) and self.progress[seat].heard_at >= since}
        return majority(members, heard | {state.me})

    def _voter(self, seat: int) -> bool:
        """Whether the incarnation we speak to at the seat is the one that votes."""
        progress = self.progress.get(seat)
        return progress is not None and progress.incarnation == self._state.log.config.members.get(seat)

    def _send(self, seat: int, progress: Progress) -> None:
        state = self._state
        log = state.log
        previous = progress.next - 1
        previous_term = log.term_at(previous)
        if previous_term is None:
            self._send_part(seat, progress)
            return
        entries = log.batch(progress.next, log.last)
        progress.flight = bool(entries)
        progress.snapshot = None
        progress.told = state.committed
        to = short(progress.incarnation)
        state.send(
            seat,
            Append(log.era, to, state.term, previous, previous_term, state.committed, self.round, entries),
        )

    def _send_part(self, seat: int, progress: Progress) -> None:
        state = self._state
        if progress.snapshot is None:
            progress.snapshot, progress.offset = state.snapshot, 0
        assert progress.snapshot is not None
        progress.flight = True
        part = progress.snapshot.part(short(progress.incarnation), state.term, progress.offset, self.round)
        state.send(seat, part)

    def tell(self) -> None:
        """What is new, to each seat that has nothing under way."""
        for seat, progress in self.progress.items():
            if not progress.flight and self._has_news(progress):
                self._send(seat, progress)

    def _has_news(self, progress: Progress) -> bool:
        return progress.next <= self._state.log.last or progress.told < self._state.committed

    def propose(self, data: bytes) -> int:
        """Raises NotLeadingError, BusyError, EntryError."""
        state = self._state
        if len(data) > ENTRY_MOST:
            raise EntryError(f"{len(data)} bytes, of {ENTRY_MOST} at most")
        if not self.leads:
            raise NotLeadingError(state.leader)
        if state.log.last - state.committed >= PENDING_MOST:
            raise BusyError(f"{PENDING_MOST} proposals wait")
        return self._add(DATA, data)

    def change(self, members: dict[int, int]) -> None:
        """Put new voters in order; membership.py says when that is allowed."""
        self._add(CONFIG, members_raw(members))

    def _add(self, kind: int, data: bytes) -> int:
        index = self._state.append(kind, data)
        self.tell()
        self._agree()
        return index

    def on_ack(self, peer: int, message: Ack) -> None:
        progress = self._heard(peer, message.incarnation, message.term, message.round)
        if progress is None:
            return
        if message.ok:
            if message.match <= progress.match:
                return
            progress.match = message.match
            progress.next = max(progress.next, message.match + 1)
            progress.flight = False
            progress.snapshot = None
            self._agree()
        elif message.match < progress.match or message.match + 1 == progress.next:
            return
        else:
            progress.next = message.match + 1
        if self.leads and (not message.ok or self._has_news(progress)):
            self._send(peer, progress)

    def on_chunked(self, peer: int, message: Chunked) -> None:
        progress = self._heard(peer, message.incarnation, message.term, message.round)
        if progress is None or progress.snapshot is None:
            return
        if (message.index, message.crc) != (progress.snapshot.index, progress.snapshot.crc):
            return
        if message.got < progress.offset and message.round > progress.fell:
            progress.fell = message.round
        elif message.got <= progress.offset:
            return
        progress.offset = message.got
        self._send_part(peer, progress)

    def _heard(self, peer: int, incarnation: int, term: int, heartbeats: int) -> Progress | None:
        """The progress of the one that answered, if it is who we speak to, in this term."""
        state = self._state
        progress = self.progress.get(peer)
        if progress is None or progress.incarnation != incarnation:
            self.strangers.add(peer)
            return None
        if term > state.term:
            state.enter_term(term)
        if not self.leads or term != state.term:
            return None
        progress.heard_at = state.now
        progress.round = max(progress.round, heartbeats)
        return progress

    def _agree(self) -> None:
        """Rule 2."""
        state = self._state
        index = self.held_by_majority()
        if index > state.committed and self.may_count(index):
            state.commit_to(index)

    def held_by_majority(self) -> int:
        """The last place that a majority of the voters has."""
        return self._median(own=self._state.log.last, of="match")

    def may_count(self, index: int) -> bool:
        """An earlier term's entry is agreed only with one of this term (Raft, figure 8)."""
        return self._state.log.term_at(index) == self._state.term

    def confirmed_round(self) -> int:
        """The newest round that a majority answered."""
        return self._median(own=self.round, of="round")

    def _median(self, own: int, of: str) -> int:
        members = self._state.log.config.members
        marks = []
        for seat in members:
            if seat == self._state.me:
                marks.append(own)
            else:
                marks.append(getattr(self.progress[seat], of) if self._voter(seat) else -1)
        marks.sort(reverse=True)
        return marks[len(marks) // 2]
