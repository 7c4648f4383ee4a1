"""How a record begins: at the first start, and after a majority of memories is lost. Pure.

1. A seat that heard no leader for a while asks all seats, with a nonce, who they are. Unless all answer,
   nothing is founded: one that is merely cut off may hold what was agreed.
2. Nothing is founded while any of them is in touch with a leader, or while a majority of the newest config
   that any of them knows is there in the incarnations it names, free to vote: then an election is enough.
3. The one with the best log founds; of equals, the first. It draws an era of a higher generation than any
   promised, and asks each seat to leave its old era for good: to accept. Who accepts freezes: its log stays
   as it is, and it says how good that is.
4. A seat accepts an era greater than any it promised, in which it is named by its own incarnation, unless it
   is in touch with a leader. Its acceptance is kept before it is sent.
5. When all have accepted, all are asked once more, with a new nonce, whether they still stand by it. The era
   lives only when all have said yes to both. At the time of the second question then all processes that held
   a seat were frozen at once: nobody was left who could agree anything in an older era, not even one that had
   come again from nothing after its predecessor had accepted. (With one round alone, seats could accept, end,
   come again and be taken into the old era one after the other, while the founder still counted their
   predecessors.)
6. A founder whose log is not at least as good as every frozen one stands back, and the best one founds. The
   new era begins with the founder's whole log, applied, as its snapshot, and with all seats as they answered
   as its voters. So what was agreed is there, while one of the majority that agreed it remembers.
7. A founding that fails leaves seats frozen in an era that never lives. Greater eras free them; so does a
   leader of an older era, not older than the seat's log, that is heard later than a founding may take: the
   seat then comes again as another incarnation, with the log it has. To all others that is a crash and a new
   start, which rules 3 to 6 allow for.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from laurelstep.accord.messages import Accepted, Ask, Found, Here
from laurelstep.accord.state import FAR, LEADER, State
from laurelstep.accord.terms import NOWHERE, Era
from laurelstep.accord.voting import majority

__all__ = ["Founding"]


class Founding:
    """See the rules."""

    def __init__(self, state: State, lead: Callable[[], None]) -> None:
        self._state = state
        self._lead = lead
        self._begin_at = 0
        # The question under way: its nonce, when it goes again and when it is given up.
        self._nonce: int | None = None
        self._again_at = FAR
        self._until = FAR
        self._here: dict[int, Here] = {}
        # The founding under way: the era, whom it names, who accepted, and whether it is the second round.
        self._era: Era | None = None
        self._named: list[int] = []
        self._accepted: set[int] = set()
        self._second = False

    def due(self) -> int:
        state = self._state
        if not state.seated or state.role == LEADER:
            return FAR
        if self._nonce is not None:
            return min(self._again_at, self._until)
        return max(self._begin_at, state.heard_at + self._patience())

    def _patience(self) -> int:
        """One that has no record loses nothing by asking soon."""
        timing = self._state.timing
        return timing.election_us if self._state.log.era == NOWHERE else timing.found_us

    def tick(self) -> None:
        state = self._state
        if state.now < self.due():
            return
        if self._nonce is None:
            self._look()
        elif state.now >= self._until:
            self.stop()
        else:
            self._go_again()

    def stop(self) -> None:
        """Give up what is under way; look again later."""
        state = self._state
        self._nonce = self._era = None
        least = state.timing.election_us
        self._begin_at = state.now + least + state.draw.randrange(least)

    def _question(self, for_us: int) -> None:
        state = self._state
        self._nonce = state.draw.getrandbits(64)
        self._until = state.now + for_us
        self._go_again()

    def _go_again(self) -> None:
        """Ask those that have not answered."""
        state = self._state
        assert self._nonce is not None
        self._again_at = state.now + state.timing.heartbeat_us
        for seat in state.others:
            if self._era is None:
                if seat not in self._here:
                    state.send(seat, Ask(self._nonce))
            elif seat not in self._accepted:
                state.send(seat, Found(self._era, self._nonce, self._named))

    # Rules 1 and 2

    def _look(self) -> None:
        state = self._state
        self._era = None
        self._here = {state.me: self.here(0)}
        self._question(state.timing.election_us)
        self._judge()

    def here(self, nonce: int) -> Here:
        """Who this is."""
        state = self._state
        log = state.log
        config = log.config
        return Here(
            nonce,
            state.incarnation,
            state.promised,
            log.era,
            log.last_term,
            log.last,
            config.term,
            config.index,
            sorted(config.members.items()),
            state.in_touch(state.now),
        )

    def on_here(self, peer: int, message: Here) -> None:
        if self._era is not None or message.nonce != self._nonce or peer >= self._state.seats:
            return
        self._here[peer] = message
        self._judge()

    def _judge(self) -> None:
        if not self.all_of(self._here):
            return
        if self._in_vain() or self._first_of_best() != self._state.me:
            self.stop()
        else:
            self._found()

    def all_of(self, seats: Collection[int]) -> bool:
        """Whether every seat is among them."""
        return len(seats) == self._state.seats

    def _in_vain(self) -> bool:
        """Rule 2."""
        answers = self._here
        if any(here.in_touch for here in answers.values()):
            return True
        newest = max(answers.values(), key=lambda here: (here.log_era, here.config_term, here.config_index))
        members = dict(newest.members)
        free = {
            seat
            for seat, incarnation in members.items()
            if answers[seat].incarnation == incarnation and answers[seat].promised == newest.log_era
        }
        return bool(members) and majority(members, free)

    def _first_of_best(self) -> int:
        """Rule 3."""
        return max(self._here, key=lambda seat: (self._position(self._here[seat]), -seat))

    def _position(self, of: Here | Accepted) -> tuple[Era, int, int]:
        return (of.log_era, of.last_term, of.last)

    # Rules 3 to 6

    def _found(self) -> None:
        state = self._state
        generation = max(here.promised.generation for here in self._here.values()) + 1
        self._named = [self._here[seat].incarnation for seat in range(state.seats)]
        self._era = Era(generation, state.draw.getrandbits(64))
        state.counters["foundings"] += 1
        state.freeze(self._era)
        self._round(second=False)

    def _round(self, second: bool) -> None:
        self._second = second
        self._accepted = {self._state.me}
        self._question(self._state.timing.election_us)
        self._proceed()

    def on_found(self, peer: int, message: Found) -> None:
        """Rule 4."""
        state = self._state
        again = message.era == state.promised and not state.live
        if peer >= state.seats or not state.seated or not self._names_me(message):
            return
        if not again:
            if message.era <= state.promised or state.in_touch(state.now):
                return
            self.stop()
            state.freeze(message.era)
        log = state.log
        accepted = Accepted(message.era, message.nonce, state.incarnation, log.era, log.last_term, log.last)
        state.send(peer, accepted)

    def _names_me(self, message: Found) -> bool:
        state = self._state
        named = message.incarnations
        return len(named) == state.seats and named[state.me] == state.incarnation

    def on_accepted(self, peer: int, message: Accepted) -> None:
        state = self._state
        if self._era is None or (message.era, message.nonce) != (self._era, self._nonce):
            return
        if peer >= state.seats or message.incarnation != self._named[peer]:
            return
        if self._position(message) > state.log.position:
            self.stop()
            return
        self._accepted.add(peer)
        self._proceed()

    def _proceed(self) -> None:
        state = self._state
        if self._era is None or not self.all_of(self._accepted):
            return
        if not self._second:
            self._round(second=True)
            return
        era, self._nonce, self._era = self._era, None, None
        state.counters["founded"] += 1
        state.begin(era, dict(enumerate(self._named)))
        self._lead()
