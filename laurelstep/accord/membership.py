"""Which incarnations vote: the leader's changes to the config. Pure. Dissertation 4.1 (one server at a time),
4.2.1 (catching up).

1. A voter is an incarnation at a seat. Seats never move; a process that comes again from nothing is a new
   incarnation, and votes once the config names it.
2. The leader asks a seat who is there, with a nonce: where the seat does not vote, where no answer came for
   an election time, and where another incarnation answered than the expected one.
3. The answer of another incarnation than the config's says that the config's is gone for good: it was alive
   before the nonce was made, the other one after, and a seat's address has one owner at a time. It counts
   only while the config names the same as when the nonce was made.
4. A dead incarnation is taken out; the new one is sent the log, and taken in once it has all that is agreed.
   Never one for the other at once, and never two changes at a time: any two majorities of neighbouring
   configs meet.
5. A change is put in order only when an entry of the leader's own term is agreed (Ongaro's correction of
   2015), and the last change is.
"""

from __future__ import annotations

import dataclasses

from laurelstep.accord.leading import Leading
from laurelstep.accord.messages import Ask, Here
from laurelstep.accord.state import State

__all__ = ["Membership"]


@dataclasses.dataclass(slots=True)
class _Question:
    nonce: int
    # Whom the config named when it was asked.
    voter: int | None
    asked_at: int


class Membership:
    """See the rules."""

    def __init__(self, state: State, leading: Leading) -> None:
        self._state = state
        self._leading = leading
        self._questions: dict[int, _Question] = {}

    def begin(self) -> None:
        self._questions = {}

    def beat(self) -> None:
        """With each heartbeat of a leader."""
        if not self._leading.leads:
            return
        for seat in self._state.others:
            if self._unsure(seat):
                self._ask(seat)
        self._leading.strangers.clear()
        self._take_in()

    def _unsure(self, seat: int) -> bool:
        """Rule 2."""
        state = self._state
        if seat in self._leading.strangers:
            return True
        progress = self._leading.progress.get(seat)
        return progress is None or state.now - progress.heard_at > state.timing.election_us

    def _ask(self, seat: int) -> None:
        state = self._state
        last = self._questions.get(seat)
        if last is not None and state.now - last.asked_at < state.timing.election_us:
            return
        nonce = state.draw.getrandbits(64)
        self._questions[seat] = _Question(nonce, state.log.config.members.get(seat), state.now)
        state.send(seat, Ask(nonce))

    def on_here(self, peer: int, message: Here) -> None:
        question = self._questions.get(peer)
        if not self._leading.leads or question is None or question.nonce != message.nonce:
            return
        del self._questions[peer]
        voter = self._state.log.config.members.get(peer)
        if voter != question.voter:
            return
        if voter is None:
            progress = self._leading.progress.get(peer)
            if progress is None or progress.incarnation != message.incarnation:
                self._leading.meet(peer, message.incarnation)
        elif voter != message.incarnation and self.may_change():
            self._take_out(peer)
            # It is here already: no need to ask again.
            self._leading.meet(peer, message.incarnation)

    def may_change(self) -> bool:
        """Rule 5."""
        state = self._state
        return self._leading.settled and state.log.config.index <= state.committed

    def _take_out(self, seat: int) -> None:
        members = dict(self._state.log.config.members)
        del members[seat]
        self._state.counters["taken_out"] += 1
        self._leading.change(members)

    def _take_in(self) -> None:
        """Rule 4: the first new one that has caught up."""
        state = self._state
        for seat, progress in self._leading.progress.items():
            if not self.may_change():
                return
            if seat in state.log.config.members or progress.match < state.committed:
                continue
            if state.now - progress.heard_at > state.timing.election_us:
                continue
            state.counters["taken_in"] += 1
            self._leading.change({**state.log.config.members, seat: progress.incarnation})
            return
