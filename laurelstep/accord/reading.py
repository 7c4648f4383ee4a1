"""How a process that begins gets to know the record as of a time after it began. Pure. Dissertation 6.4.

1. It asks the leader, with a nonce, how far the record is agreed.
2. The leader answers once a majority has answered a round of heartbeats that began after the question came,
   and an entry of its own term is agreed: then no later leader had agreed anything when the round began.
3. The process knows the record when it has applied that far, in that era. In a later era it asks anew.
4. A leader knows the record once an entry of its own term is agreed.
5. One question for each peer waits at a time: the last one.
"""

from __future__ import annotations

from laurelstep.accord.leading import Leading
from laurelstep.accord.messages import Read, ReadAt
from laurelstep.accord.state import FAR, State
from laurelstep.accord.terms import Era

__all__ = ["Reading"]


class Reading:
    """Both sides of it."""

    def __init__(self, state: State, leading: Leading) -> None:
        self._state = state
        self._leading = leading
        # The leader's: peer, its nonce, and the round that must be answered.
        self._asked: dict[int, tuple[int, int]] = {}
        # The asking side's.
        self._nonce: int | None = None
        self._goal: tuple[Era, int] | None = None
        self._ask_at = 0

    def begin(self) -> None:
        """This process leads from now on."""
        self._asked = {}

    def forget(self) -> None:
        """This process has come again as another."""
        self._nonce = self._goal = None
        self._state.known = False

    def due(self) -> int:
        state = self._state
        if (state.known and not state.doubt) or state.leader is None or state.leader == state.me:
            return FAR
        return self._ask_at

    def tick(self) -> None:
        state = self._state
        if state.now < self.due():
            return
        self._ask_at = state.now + 5 * state.timing.heartbeat_us
        if not state.doubt and self._goal is not None and self._goal[0] == state.promised:
            # Answered already: it is the entries that are not here.
            return
        self._nonce = state.draw.getrandbits(64)
        assert state.leader is not None
        state.send(state.leader, Read(state.incarnation, self._nonce))

    def on_read(self, peer: int, message: Read) -> None:
        if self._leading.leads:
            self._asked[peer] = (message.nonce, self._leading.round + 1)
            self.settle()

    def settle(self) -> None:
        """Answer what is confirmed; rule 2. Know, rules 3 and 4."""
        state = self._state
        if self._leading.settled:
            state.known = True
            if self._asked:
                self._answer()
        elif not state.known and self._goal is not None:
            era, index = self._goal
            state.known = state.log.era == era == state.promised and state.applied >= index

    def _answer(self) -> None:
        state = self._state
        confirmed = self.confirmed()
        for peer, (nonce, needed) in list(self._asked.items()):
            if needed <= confirmed:
                del self._asked[peer]
                state.send(peer, ReadAt(state.log.era, nonce, state.committed))

    def confirmed(self) -> int:
        return self._leading.confirmed_round()

    def on_read_at(self, peer: int, message: ReadAt) -> None:
        if message.nonce != self._nonce:
            return
        self._nonce = None
        self._goal = (message.era, message.index)
        if self._state.doubt:
            self._state.doubt = False
            if message.era < self._state.log.era:
                self._state.forget_era()
        self.settle()
