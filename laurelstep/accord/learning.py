"""Processes without a seat: they learn what is agreed, and a seat tells them. Pure.

1. A learner asks one seat, spread by its number: at rest now and then, at once after entries came. A seat
   that does not answer, or is not in touch with a leader, is left for the next.
2. A seat remembers who asked for three times that long, and pushes what is newly agreed: one batch under way
   to each, again after two heartbeats without an answer.
3. Only agreed entries go to learners, each with its place; a learner applies what follows on what it has.
4. A learner of an older era, or too far behind, gets the snapshot. An older era's never replaces a newer
   one's.
5. Learners vote on nothing and keep nothing.
6. When all seats have forgotten all, the era they found may not be greater than one that a learner remembers.
   A learner that hears of a leader in an era before its own reads the record (reading.py): what a majority
   confirms after the question is the era that lives, and the learner takes its snapshot.
"""

from __future__ import annotations

import dataclasses

import msgspec

from laurelstep.accord.log import DATA
from laurelstep.accord.messages import Chunk, Chunked, Feed, Follow, short
from laurelstep.accord.snapshots import Assembly, Snapshot
from laurelstep.accord.state import FAR, State
from laurelstep.accord.terms import Era

__all__ = ["Learner", "Serving"]


@dataclasses.dataclass(slots=True)
class _Asker:
    """What a seat knows of one learner."""

    incarnation: int
    era: Era
    applied: int
    until: int
    # When a batch left that is not answered yet.
    sent_at: int | None = None
    snapshot: Snapshot | None = None
    offset: int = 0


class Serving:
    """A seat's side."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._askers: dict[int, _Asker] = {}
        self._sweep_at = FAR

    def due(self) -> int:
        return self._sweep_at

    def on_follow(self, peer: int, message: Follow) -> None:
        state = self._state
        until = state.now + 3 * state.timing.rest_us
        asker = self._askers.get(peer)
        if asker is None or (asker.incarnation, asker.era) != (message.incarnation, message.era):
            asker = _Asker(message.incarnation, message.era, message.applied, until)
            self._askers[peer] = asker
        elif asker.sent_at is not None and message.applied == asker.applied:
            asker.until = until
            if state.now - asker.sent_at < state.timing.heartbeat_us:
                # Doubled, or crossed with what is under way.
                return
        asker.applied, asker.until, asker.sent_at = message.applied, until, None
        self._tell(peer, asker)

    def _tell(self, peer: int, asker: _Asker) -> None:
        state = self._state
        log = state.log
        if state.whole and asker.era <= log.era and not self._has(asker):
            self._send_part(peer, asker)
            return
        entries = []
        if state.whole and asker.era == log.era:
            entries = log.batch(asker.applied + 1, state.committed)
        if entries:
            self._under_way(asker)
        asker.snapshot = None
        leader = -1 if state.leader is None or not state.whole else state.leader
        in_touch = leader >= 0 and state.in_touch(state.now)
        state.send(peer, Feed(log.era, short(asker.incarnation), leader, in_touch, asker.applied, entries))

    def _has(self, asker: _Asker) -> bool:
        log = self._state.log
        return asker.era == log.era and asker.applied >= log.start

    def _send_part(self, peer: int, asker: _Asker) -> None:
        state = self._state
        last = asker.snapshot
        if last is None or last.era != state.log.era or self._past(asker, last):
            asker.snapshot, asker.offset = state.snapshot, 0
        if asker.snapshot is not None:
            self._under_way(asker)
            state.send(peer, asker.snapshot.part(short(asker.incarnation), state.term, asker.offset, 0))

    @staticmethod
    def _past(asker: _Asker, snapshot: Snapshot) -> bool:
        return (asker.era, asker.applied) >= (snapshot.era, snapshot.index)

    def _under_way(self, asker: _Asker) -> None:
        state = self._state
        asker.sent_at = state.now
        self._sweep_at = min(self._sweep_at, state.now + 2 * state.timing.heartbeat_us)

    def on_chunked(self, peer: int, message: Chunked) -> None:
        asker = self._askers.get(peer)
        if asker is None or asker.snapshot is None or asker.incarnation != message.incarnation:
            return
        if (message.index, message.crc) != (asker.snapshot.index, asker.snapshot.crc):
            return
        if message.got > asker.offset or self._late(asker):
            asker.offset = message.got
            self._send_part(peer, asker)

    def _late(self, asker: _Asker) -> bool:
        state = self._state
        return asker.sent_at is not None and state.now - asker.sent_at >= state.timing.heartbeat_us

    def push(self) -> None:
        """Something was agreed."""
        state = self._state
        for peer, asker in list(self._askers.items()):
            if asker.until < state.now:
                del self._askers[peer]
            elif asker.sent_at is None and self._behind(asker):
                self._tell(peer, asker)

    def _behind(self, asker: _Asker) -> bool:
        state = self._state
        return (asker.era, asker.applied) < (state.log.era, state.committed)

    def sweep(self) -> None:
        """What was not answered goes again."""
        state = self._state
        if state.now < self._sweep_at:
            return
        self._sweep_at = FAR
        again = 2 * state.timing.heartbeat_us
        for peer, asker in list(self._askers.items()):
            if asker.sent_at is None or asker.until < state.now:
                continue
            if state.now - asker.sent_at >= again:
                self._tell(peer, asker)
            else:
                self._sweep_at = min(self._sweep_at, asker.sent_at + again)


class Learner:
    """A learner's side."""

    def __init__(self, state: State) -> None:
        self._state = state
        self._seat = state.me % state.seats
        self._ask_at = FAR if state.seated else 0
        self._waits = False
        self._assembly = Assembly()

    def due(self) -> int:
        return self._ask_at

    def tick(self) -> None:
        state = self._state
        if state.now < self._ask_at:
            return
        if self._waits:
            self._seat = (self._seat + 1) % state.seats
        self._waits = True
        self._ask_at = state.now + 5 * state.timing.heartbeat_us
        self._ask(self._seat)

    def _ask(self, seat: int) -> None:
        state = self._state
        state.send(seat, Follow(state.log.era, state.incarnation, state.applied))

    def on_feed(self, peer: int, message: Feed) -> None:
        state = self._state
        if message.in_touch:
            state.leader = message.leader
            if message.era < state.log.era:
                state.doubt = True
            else:
                state.heard_at = state.now
        self._answered(peer, message.in_touch)
        if message.era != state.log.era:
            return
        if message.entries:
            self._apply(message)
            self._ask(peer)

    def _answered(self, peer: int, in_touch: bool) -> None:
        state = self._state
        if peer != self._seat:
            return
        # Not in touch: the next seat is asked, a little later.
        self._waits = not in_touch
        rest = state.timing.rest_us if in_touch else 5 * state.timing.heartbeat_us
        self._ask_at = state.now + rest - state.draw.randrange(rest // 10 + 1)

    def _apply(self, message: Feed) -> None:
        """Rule 3."""
        state = self._state
        index = message.previous
        for entry in message.entries:
            index += 1
            if index != state.applied + 1:
                continue
            state.applied = state.committed = index
            state.effects.changed = True
            if entry.kind == DATA:
                state.machine.apply(index, entry.data)

    def on_chunk(self, peer: int, message: Chunk) -> None:
        state = self._state
        self._answered(peer, in_touch=True)
        if message.era < state.log.era or (message.era == state.log.era and message.index <= state.applied):
            self._ask(peer)
            return
        got = self._assembly.add(message)
        snapshot = self._assembly.whole()
        if snapshot is not None:
            self._install(snapshot)
            self._ask(peer)
            return
        got = got if got < message.total else 0
        chunked = Chunked(message.era, state.incarnation, 0, message.index, message.crc, got, 0)
        state.send(peer, chunked)

    def _install(self, snapshot: Snapshot) -> None:
        state = self._state
        newer = snapshot.era != state.log.era
        try:
            state.install(snapshot)
        except msgspec.DecodeError:
            state.counters["unreadable"] += 1
            return
        if newer:
            state.promised, state.known = snapshot.era, False
