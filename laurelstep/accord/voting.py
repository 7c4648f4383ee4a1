"""Who leads: elections within one era. Pure. Raft, section 5.2 and 5.4.1; dissertation 9.6 (PreVote).

1. Only a seat whose incarnation is among the voters of its own log stands, and never a frozen one.
2. It first asks who would vote for it; only with a majority of yeses does it begin a term. So one that was
   cut off brings no new term when it comes back.
3. A seat would vote for a log that is as good as its own, for a later term, and where no leader was heard for
   an election time.
4. A seat votes for one incarnation in one term, for a log that is as good as its own. Its vote is kept before
   it is sent.
5. A yes counts only from the incarnation that the candidate's newest config names; a majority of that config
   leads. A process that comes again from nothing is another incarnation, so what it forgot can't be voted
   twice.
6. A seat with no log of this era yet has an empty one: any log is as good.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Mapping

from laurelstep.accord.messages import Stand, Vote, short
from laurelstep.accord.state import CANDIDATE, FAR, FOLLOWER, LEADER, State

__all__ = ["Voting", "majority"]


def majority(members: Mapping[int, int], seats: Collection[int]) -> bool:
    """Whether those seats are a majority of the voters."""
    return 2 * sum(1 for seat in members if seat in seats) > len(members)


class Voting:
    """See the rules."""

    def __init__(self, state: State, lead: Callable[[], None]) -> None:
        self._state = state
        self._lead = lead
        self._pre = True
        self._votes: set[int] = set()

    def may_stand(self) -> bool:
        state = self._state
        return state.whole and state.log.config.members.get(state.me) == state.incarnation

    def due(self) -> int:
        state = self._state
        if state.role in (FOLLOWER, CANDIDATE) and self.may_stand():
            return state.patience
        return FAR

    def tick(self) -> None:
        if self._state.now >= self.due():
            self._canvass(pre=True)

    def _canvass(self, pre: bool) -> None:
        state = self._state
        state.role, state.leader = CANDIDATE, None
        state.patient()
        self._pre, self._votes = pre, {state.me}
        if not pre:
            state.term += 1
            state.voted = (state.me, state.incarnation)
            state.keep_promise()
        term = state.term + 1 if pre else state.term
        _, last_term, last = state.log.position
        for seat, incarnation in state.log.config.members.items():
            if seat != state.me:
                to = short(incarnation)
                state.send(seat, Stand(state.promised, to, state.incarnation, term, last_term, last, pre))
        self._count()

    def _count(self) -> None:
        if not self.enough(self._votes):
            return
        if self._pre:
            self._canvass(pre=False)
        else:
            self._lead()

    def enough(self, votes: Collection[int]) -> bool:
        return majority(self._state.log.config.members, votes)

    def on_stand(self, peer: int, message: Stand) -> None:
        """The era is this process's own: the core saw to it."""
        state = self._state
        if message.pre:
            granted = message.term > state.term and self._good(message) and not self._led()
            term = message.term if granted else state.term
        else:
            if message.term > state.term:
                state.enter_term(message.term)
            granted = message.term == state.term and self._free(peer, message) and self._good(message)
            term = state.term
            if granted:
                state.voted = (peer, message.incarnation)
                state.keep_promise()
                state.patient()
        answer = Vote(state.promised, state.incarnation, message.incarnation, term, granted, message.pre)
        state.send(peer, answer)

    def _free(self, peer: int, message: Stand) -> bool:
        return self._state.voted in (None, (peer, message.incarnation))

    def _good(self, message: Stand) -> bool:
        log = self._state.log
        if log.era != message.era:
            return True
        return (message.last_term, message.last) >= (log.last_term, log.last)

    def _led(self) -> bool:
        """Rule 3: a leader was heard lately."""
        state = self._state
        if state.role == LEADER:
            return True
        return state.leader is not None and state.now - state.heard_at < state.timing.election_us

    def on_vote(self, peer: int, message: Vote) -> None:
        state = self._state
        if message.era != state.promised or message.to != state.incarnation:
            return
        if not message.granted:
            if message.term > state.term:
                state.enter_term(message.term)
            return
        asked = state.term + 1 if self._pre else state.term
        if state.role != CANDIDATE or message.pre != self._pre or message.term != asked:
            return
        if state.log.config.members.get(peer) == message.incarnation:
            self._votes.add(peer)
            self._count()
