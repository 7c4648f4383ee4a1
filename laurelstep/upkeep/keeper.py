"""What ties upkeep together in one process: the record, the list, the words of the copies, the time.

Rules that everything here serves:

1. It decides nothing: what is proposed comes of `plan`, what is shown of `shown`, what holds of `roll`.
2. Words are lost and come twice: each is told again until the record answers it, and none at rest.
3. What a call asks for is told for `ASK_US` at most; then it is forgotten, and said to be lost.
4. While a predecessor lives, this process confirms nothing: that one sends too.
"""

from __future__ import annotations

import contextlib
from collections import deque
from collections.abc import Callable
from typing import Final

from laurelstep.accord.errors import BusyError, NotLeadingError
from laurelstep.accord.parts import Accord
from laurelstep.engine.ports import Clock, Handle, Log
from laurelstep.upkeep.entries import Ask, Confirm, Entry, Here, Step, Word, pack, unpack_word
from laurelstep.upkeep.options import UpkeepSettings
from laurelstep.upkeep.plan import Ages, Confirmations, Sight, plan
from laurelstep.upkeep.roll import Roll
from laurelstep.upkeep.source import UpkeepSource
from laurelstep.upkeep.states import State
from laurelstep.upkeep.wishes import CutOffError, FitError, ManyError, Wish

# Between two looks: while something moves, and at rest.
BUSY_US: Final = 100_000
REST_US: Final = 1_000_000
# A word, or a proposal, is told again after this.
AGAIN_US: Final = 1_000_000
# A confirmation, each time twice as long up to this: one that is missing may be so for hours, and
# a new leader is told at once.
AGAIN_MOST_US: Final = 8_000_000
ASK_US: Final = 15_000_000
ASKS_MOST: Final = 16


class Asking:
    """What a call asked for, until the record has it."""

    __slots__ = ("number", "said", "told_at", "until", "verb", "what", "whose")

    def __init__(self, number: int, verb: str, what: Wish | str | int, whose: int, until: int) -> None:
        self.number = number
        self.verb = verb
        self.what = what
        self.whose = whose
        self.until = until
        self.told_at: int | None = None
        self.said = State.WISHED.value  # then: agreed, lost, or the name of an error


class Keeper:
    """Times in µs. `cold_share` and `cold_us` are the deployment's. `on_open` is called once, when
    this process may send: the record is known, or not waited for any more."""

    def __init__(
        self,
        accord: Accord,
        roll: Roll,
        source: UpkeepSource,
        clock: Clock,
        settings: UpkeepSettings,
        cold_share: float,
        cold_us: int,
        log: Log,
        on_open: Callable[[], None] = lambda: None,
    ) -> None:
        self.accord = accord
        self.roll = roll
        self.source = source
        self.clock = clock
        self.settings = settings
        self.cold_share = cold_share
        self.cold_us = cold_us
        self.log = log
        self.on_open = on_open
        self.may_confirm: Callable[[], bool] = lambda: True
        self.confirmations = Confirmations()
        self.ages = Ages()
        self.asked: deque[Asking] = deque(maxlen=ASKS_MOST)  # the last ones, pending or not
        self.asks = 0
        # The last confirmation: index, when it is told again, and how long that is after it was told.
        self.told: tuple[int, int, int] | None = None
        self.told_here: int | None = None  # when it last said that it is here
        self.settled: tuple[int, int] | None = None  # the basis for which nothing was found to leave
        self.proposed: dict[bytes, int] = {}
        self.reign: tuple[object, ...] = ()  # era, who led, and whether that was this one
        self.era: object = None  # in which the record was known last
        self.alone = False  # the record is not waited for any more
        self.timer: Handle | None = None
        self.soon: Handle | None = None
        self.closed = False

    def start(self) -> None:
        self.accord.heard = self.heard
        self.accord.on_change = self.come
        self.source.on_list = self.come
        self.source.knows = lambda: self.accord.known
        if self.settings.start_alone == "serve":
            self.clock.at(self.clock.now() + self.settings.learn_us, self._learn_no_more)
        self.look()

    def close(self) -> None:
        self.closed = True
        for handle in (self.timer, self.soon):
            if handle is not None:
                handle.cancel()

    def _learn_no_more(self) -> None:
        if not self.closed and not self.source.open:
            self.log(
                "upkeep: the record is not known; serves by discovery's list alone, a clear may be untrue"
            )
            self.alone = True
            self._open(False)
            self.come()

    def _open(self, learned: bool) -> None:
        was_open = self.source.open
        self.source.go_on(learned)
        if not was_open:
            self.on_open()

    # --- Its turns --------------------------------------------------------------------

    def come(self) -> None:
        """Something changed: look in the next turn, once for all that changes in this one."""
        if self.soon is None and not self.closed:
            self.soon = self.clock.at(self.clock.now(), self.look)

    def look(self) -> None:
        """Do what is to be done now. Harmless at any time."""
        if self.closed:
            return
        for handle in (self.timer, self.soon):
            if handle is not None:
                handle.cancel()
        self.soon = None
        moving = self._step(self.clock.now())
        self.timer = self.clock.at(self.clock.now() + (BUSY_US if moving else REST_US), self.look)

    def _step(self, now: int) -> bool:
        """Whether something moves."""
        accord, roll = self.accord, self.roll
        if accord.known and self.is_here and not self.source.learned:
            self._open(True)
        self._note_era()
        self.source.refresh()
        self.ages.follow(roll, now)
        self.confirmations.follow(roll)
        reign = accord.era, accord.leader, accord.leading
        if reign != self.reign:
            self.reign = reign
            self.confirmations.forget()
            self.proposed.clear()
            self.told = self.told_here = None
        self._come_in(now)
        self._confirm(now)
        self._ask(now)
        if accord.leading and accord.known:
            self._plan(now)
        pending = any(one.said == State.WISHED for one in self.asked) or (accord.known and not self.is_here)
        return pending or self.is_waited_for or self.source.telling or (accord.leading and bool(roll.wishes))

    def _say(self, word: Word) -> None:
        with contextlib.suppress(BusyError):  # as if it were lost: it is told again
            self.accord.word(pack(word))

    def _note_era(self) -> None:
        """A record that was founded anew without what this process holds back."""
        if not self.accord.known or self.accord.era == self.era:
            return
        lost = [id for id in self.source.shown.holds if id not in self.roll.machines]
        if self.era is not None and lost:
            self.log(f"upkeep: the record was founded anew and forgot what is out: {', '.join(lost[:8])}")
        self.era = self.accord.era

    @property
    def is_here(self) -> bool:
        """Whether the record has this incarnation, and nobody declares it absent."""
        me = self.accord.me
        return self.roll.here.get(me) == self.accord.incarnation and me not in self.roll.absent

    def _come_in(self, now: int) -> None:
        if not self.accord.known or self.is_here:
            self.told_here = None
        elif self.told_here is None or now >= self.told_here + AGAIN_US:
            self.told_here = now
            self._say(Here(self.accord.me, self.accord.incarnation))

    @property
    def is_waited_for(self) -> bool:
        """Whether somebody waits for this process's word."""
        if not self.source.learned:
            return self.alone
        return any(one.state == State.LEAVING for one in self.roll.machines.values())

    def _confirm(self, now: int) -> None:
        if not self.is_waited_for or not self.may_confirm():
            return
        quiet = self.source.quiet()
        again_us = AGAIN_US
        if self.told is not None and self.told[0] == quiet:
            if now < self.told[1]:
                return
            again_us = min(2 * self.told[2], AGAIN_MOST_US)
        self.told = quiet, now + again_us, again_us
        self._say(Confirm(quiet))

    # --- What calls ask for -----------------------------------------------------------

    def need_touch(self) -> None:
        """`CutOffError` where the roll may be an old one."""
        if not self.accord.in_touch or not self.accord.known:
            raise CutOffError("no leader is heard")

    def ask(self, verb: str, what: Wish | str | int) -> Asking:
        """Tell it until the record has it. `UpkeepError` if that can't be now."""
        self.need_touch()
        whose = self._whose(verb, what)
        for one in self.asked:
            if one.said == State.WISHED and (one.verb, one.what, one.whose) == (verb, what, whose):
                return one
        if sum(1 for one in self.asked if one.said == State.WISHED) >= ASKS_MOST:
            raise ManyError(f"{ASKS_MOST} calls wait to be agreed")
        # A version before this one may have asked as the same incarnation.
        number = max(self.asks, self._agreed()[0]) + 1
        one = Asking(number, verb, what, whose, self.clock.now() + ASK_US)
        pack(self._worded(one))  # FitError
        self.asks = number
        while len(self.asked) >= ASKS_MOST:
            self.asked.remove(next(old for old in self.asked if old.said != State.WISHED))
        self.asked.append(one)
        self.come()
        return one

    def _whose(self, verb: str, what: Wish | str | int) -> int:
        """For which life, wish or leaving it is meant: told late, it must not hit the next one."""
        if verb == "absent" and isinstance(what, int):
            return self.roll.here.get(what, 0)
        if verb == "withdraw" and isinstance(what, str):
            wish = self.roll.named(what)
            return 0 if wish is None else wish.number
        if verb in ("begin", "done") and isinstance(what, str):
            machine = self.roll.machines.get(what)
            return 0 if machine is None else machine.left
        return 0

    def _worded(self, one: Asking) -> Ask:
        return Ask(self.accord.me, self.accord.incarnation, one.number, one.verb, one.what, one.whose)

    def _agreed(self) -> tuple[int, str]:
        """The last asking of this incarnation that the record has, and its verdict."""
        last = self.roll.asked.get(self.accord.me)
        if last is None or last.incarnation != self.accord.incarnation:
            return 0, ""
        return last.number, last.verdict

    def _ask(self, now: int) -> None:
        """One at a time, in their order: the record takes each number once."""
        agreed, last_verdict = self._agreed()
        for one in self.asked:
            if one.said != State.WISHED:
                continue
            if one.number <= agreed:
                one.said = (last_verdict if one.number == agreed else "") or "agreed"
            elif now >= one.until:
                one.said = "lost"
                self.log(f"upkeep: {one.verb} was not agreed in {ASK_US // 1_000_000} s: ask again")
            else:
                if one.told_at is None or now >= one.told_at + AGAIN_US:
                    one.told_at = now
                    self._say(self._worded(one))
                return

    # --- Leading ----------------------------------------------------------------------

    def _plan(self, now: int) -> None:
        sight = self.sight(now)
        entries = plan(sight, self.settled == sight.basis)
        if not entries:
            self.settled = sight.basis
        self._propose(entries, now)

    def heard(self, peer: int, incarnation: int, data: bytes) -> None:
        """A word came to this process, which leads."""
        word = unpack_word(data)
        if isinstance(word, Confirm):
            self.confirmations.hear(peer, incarnation, word.quiet)
            if peer in self.roll.absent and self.roll.here.get(peer) == incarnation:
                self._propose([Here(peer, incarnation)], self.clock.now())
            self.come()
        elif word is not None and (word.peer, word.incarnation) == (peer, incarnation):
            self._propose([] if self._is_done(word) else [word], self.clock.now())

    def _is_done(self, word: Ask | Here) -> bool:
        if isinstance(word, Here):
            return self.roll.here.get(word.peer) == word.incarnation and word.peer not in self.roll.absent
        last = self.roll.asked.get(word.peer)
        return last is not None and last.incarnation == word.incarnation and last.number >= word.number

    def _propose(self, entries: list[Entry], now: int) -> None:
        for data, due in list(self.proposed.items()):
            if now >= due:
                del self.proposed[data]
        for entry in entries:
            try:
                data = pack(entry)
                if data not in self.proposed:
                    self.accord.propose(data)
                    self.proposed[data] = now + AGAIN_US
                    if isinstance(entry, Step) and entry.event in ("overdue", "drop", "spare"):
                        why = f" ({entry.why})" if entry.why else ""
                        self.log(f"upkeep: {entry.id}: {entry.event}{why}")
            except FitError as error:
                self.log(f"upkeep: {error}: {entry}")
            except (NotLeadingError, BusyError):
                return

    def sight(self, now: int) -> Sight:
        return Sight(
            self.roll, self.source.table, self.confirmations, self.ages, self.accord.peers,
            self.cold_share, self.cold_us, self.settings.overdue_us, now,
        )  # fmt: skip
