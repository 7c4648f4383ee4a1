"""Brings entries of the record to agreement: from whichever copy, through whoever leads.

1. An entry is proposed where this process leads, else told to the leader as a word; again after `AGAIN_US`,
   each time twice as long up to `AGAIN_MOST_US`: until the record says so, or the asker's time is over.
2. What is agreed is seen in the record alone: a proposal that was taken says nothing.
3. An entry that is on its way is not proposed again, whoever tells it: until it is applied, another leads, or
   `FLIGHT_US` are over.
4. `WAITS_MOST` wait at a time; one more hears False at once. So do all, once this is closed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from laurelstep.consensus.errors import BusyError, NotLeaderError
from laurelstep.consensus.multiplexer import ProposalClient
from laurelstep.engine.ports import Clock, Handle
from laurelstep.outbox.shared.entries import KIND, LedgerEntry, pack, unpack_word
from laurelstep.outbox.shared.ledger import ReplicatedLedger

__all__ = ["AGAIN_MOST_US", "AGAIN_US", "FLIGHT_US", "WAITS_MOST", "AgreementDriver"]

AGAIN_US: Final = 100_000
AGAIN_MOST_US: Final = 800_000
FLIGHT_US: Final = 1_000_000
WAITS_MOST: Final = 512
_FLIGHTS_MOST: Final = 1_024


class _PendingWord:
    """One entry that somebody here waits for."""

    __slots__ = ("again_us", "data", "due", "timer", "waits")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.again_us = AGAIN_US
        self.due = 0  # when it is told again
        self.timer: Handle | None = None
        self.waits: list[_PendingEntry] = []


class _PendingEntry:
    __slots__ = ("done", "future", "until")

    def __init__(self, done: Callable[[], bool], until: int, future: asyncio.Future[bool]) -> None:
        self.done = done
        self.until = until
        self.future = future


class AgreementDriver:
    """See the rules. Takes the client's `on_leader_message` and `on_change`, and the record's `applied`.

    `on_change` of its own is called after entries were applied, and when it is known, led or in touch
    otherwise.
    """

    def __init__(self, accord: ProposalClient, record: ReplicatedLedger, clock: Clock) -> None:
        self.accord = accord
        self.record = record
        self.clock = clock
        self.on_change: Callable[[], None] = lambda: None
        self.counters = {"agreed": 0, "late": 0, "full": 0, "told": 0, "proposed": 0, "unread": 0}
        self._tellings: dict[bytes, _PendingWord] = {}
        self._count = 0  # of waits
        self._flights: dict[bytes, int] = {}  # until when each counts as on its way
        self._reign: tuple[object, ...] = ()
        self._closed = False
        accord.on_leader_message = self._hear
        accord.on_change = self._change
        record.applied = self._landed

    @property
    def is_ready(self) -> bool:
        """All that was agreed when this copy came is known here, and a leader with a majority is heard."""
        return not self._closed and self.accord.is_caught_up and self.accord.has_leader_contact

    def agree(self, entry: LedgerEntry, done: Callable[[], bool], until: int) -> asyncio.Future[bool]:
        """Whether `done()` holds on the record by `until`. Told from now on, also if nobody awaits it yet;
        cancel it to tell no more. `EntryError` for what is no entry.
        """
        data = pack(entry)
        future = asyncio.get_running_loop().create_future()
        if done():
            self.counters["agreed"] += 1
            future.set_result(True)
        elif self._closed or until <= self.clock.now():
            future.set_result(False)
        elif self._count >= WAITS_MOST:
            self.counters["full"] += 1
            future.set_result(False)
        else:
            self._await(data, _PendingEntry(done, until, future))
        return future

    def close(self) -> None:
        """All that waits hears False."""
        self._closed = True
        for is_unpublished in list(self._tellings.values()):
            for wait in list(is_unpublished.waits):
                self._end(is_unpublished, wait, False)
        self._flights.clear()

    # --- What waits -------------------------------------------------------------------

    def _await(self, data: bytes, wait: _PendingEntry) -> None:
        is_unpublished = self._tellings.get(data)
        is_new = is_unpublished is None
        if is_unpublished is None:
            is_unpublished = self._tellings[data] = _PendingWord(data)
        is_unpublished.waits.append(wait)
        self._count += 1
        wait.future.add_done_callback(lambda future: self._called_off(is_unpublished, wait))
        if is_new:
            is_unpublished.due = self.clock.now() + is_unpublished.again_us
            self._tell(data)
        if is_unpublished.waits:
            self._arm(is_unpublished)

    def _called_off(self, is_unpublished: _PendingWord, wait: _PendingEntry) -> None:
        if wait in is_unpublished.waits:  # its asker cancelled it
            self._end(is_unpublished, wait, False)

    def _end(self, is_unpublished: _PendingWord, wait: _PendingEntry, resolution: bool) -> None:
        is_unpublished.waits.remove(wait)
        self._count -= 1
        if not is_unpublished.waits:
            del self._tellings[is_unpublished.data]
            if is_unpublished.timer is not None:
                is_unpublished.timer.cancel()
        if not wait.future.done():
            self.counters["agreed" if resolution else "late"] += 1
            wait.future.set_result(resolution)

    def _arm(self, is_unpublished: _PendingWord) -> None:
        if is_unpublished.timer is not None:
            is_unpublished.timer.cancel()
        due = min(is_unpublished.due, *(wait.until for wait in is_unpublished.waits))
        is_unpublished.timer = self.clock.at(due, self._wake, is_unpublished)

    def _wake(self, is_unpublished: _PendingWord) -> None:
        """Told again, or too late. What became true meanwhile is true."""
        is_unpublished.timer = None
        now = self.clock.now()
        self._judge(is_unpublished, now)
        if not is_unpublished.waits:
            return
        if now >= is_unpublished.due:
            is_unpublished.again_us = min(2 * is_unpublished.again_us, AGAIN_MOST_US)
            is_unpublished.due = now + is_unpublished.again_us
            self._tell(is_unpublished.data)
        if is_unpublished.waits:
            self._arm(is_unpublished)

    def _judge(self, is_unpublished: _PendingWord, now: int) -> None:
        for wait in list(is_unpublished.waits):
            if wait.done():
                self._end(is_unpublished, wait, True)
            elif now >= wait.until:
                self._end(is_unpublished, wait, False)

    def _change(self) -> None:
        now = self.clock.now()
        for is_unpublished in list(self._tellings.values()):
            self._judge(is_unpublished, now)
        self._look_who_leads()
        self.on_change()

    # --- On its way -------------------------------------------------------------------

    def _tell(self, data: bytes) -> None:
        self.counters["told"] += 1
        if self.accord.is_leader:
            self._propose(data)
            return
        try:
            self.accord.send_to_leader(data)
        except BusyError:
            return  # as if it were lost

    def _hear(self, peer: int, incarnation: int, data: bytes) -> None:
        """A word came to this process, which leads."""
        if unpack_word(data) is None:
            self.counters["unread"] += 1
        else:
            self._propose(data)

    def _propose(self, data: bytes) -> None:
        self._look_who_leads()
        now = self.clock.now()
        if self._closed or self._flights.get(data, now) > now:
            return
        if len(self._flights) >= _FLIGHTS_MOST:
            self._flights = {one: until for one, until in self._flights.items() if until > now}
            if len(self._flights) >= _FLIGHTS_MOST:
                return
        self._flights[data] = now + FLIGHT_US  # it may land at once
        try:
            self.accord.propose(data)
        except (NotLeaderError, BusyError):
            self._flights.pop(data, None)  # its asker tells it again
        else:
            self.counters["proposed"] += 1

    def _landed(self, data: bytes) -> None:
        self._flights.pop(KIND + data, None)

    def _look_who_leads(self) -> None:
        """What was on its way under another leader may be lost."""
        reign = self.accord.epoch, self.accord.leader_id, self.accord.is_leader
        if reign != self._reign:
            self._reign = reign
            self._flights.clear()
