"""Gets ledger entries agreed: from any copy, through the copy that leads consensus.

1. The copy that leads proposes an entry; any other copy sends it to the leader as a message. The copy submits
   the entry again after `RESUBMIT_MIN_US`, and then after twice as long each time, up to `RESUBMIT_MAX_US`,
   until the ledger shows the entry's effect or the caller's deadline passes.
2. Only the ledger shows that an entry is agreed. That consensus accepted a proposal does not.
3. An entry whose proposal is in flight is not proposed again, whoever submits it, until the entry is applied,
   the leadership changes, or `PROPOSAL_TIMEOUT_US` pass.
4. At most `MAX_WAITERS` calls of `agree` wait at a time. A further call gets False at once, as does every
   call after `close`.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Final

from laurelstep.consensus.errors import BusyError, NotLeaderError
from laurelstep.consensus.multiplexer import ProposalClient
from laurelstep.engine.ports import Clock, Handle
from laurelstep.outbox.shared.entries import KIND, LedgerEntry, pack, unpack_message
from laurelstep.outbox.shared.ledger import ReplicatedLedger

__all__ = ["MAX_WAITERS", "PROPOSAL_TIMEOUT_US", "RESUBMIT_MAX_US", "RESUBMIT_MIN_US", "AgreementDriver"]

RESUBMIT_MIN_US: Final = 100_000
RESUBMIT_MAX_US: Final = 800_000
PROPOSAL_TIMEOUT_US: Final = 1_000_000
MAX_WAITERS: Final = 512
_MAX_PROPOSALS: Final = 1_024


class _PendingEntry:
    """An entry that at least one caller on this copy waits for."""

    __slots__ = ("data", "resubmit_at", "resubmit_delay_us", "timer", "waiters")

    def __init__(self, data: bytes) -> None:
        self.data = data
        self.resubmit_delay_us = RESUBMIT_MIN_US
        self.resubmit_at = 0
        self.timer: Handle | None = None
        self.waiters: list[_Waiter] = []


class _Waiter:
    __slots__ = ("deadline", "future", "is_agreed")

    def __init__(self, is_agreed: Callable[[], bool], deadline: int, future: asyncio.Future[bool]) -> None:
        self.is_agreed = is_agreed
        self.deadline = deadline
        self.future = future


class AgreementDriver:
    """Submits entries by the rules at the head of the module and reports which ones the ledger shows.

    It sets `on_leader_message` and `on_change` of the consensus client and `on_applied` of the ledger. It
    calls `on_change` after entries were applied, and when this copy has caught up, the leader has changed,
    or contact with the leader was lost or regained.
    """

    def __init__(self, consensus: ProposalClient, ledger: ReplicatedLedger, clock: Clock) -> None:
        self.consensus = consensus
        self.ledger = ledger
        self.clock = clock
        self.on_change: Callable[[], None] = lambda: None
        self.counters = {"agreed": 0, "late": 0, "full": 0, "told": 0, "proposed": 0, "unread": 0}
        self._pending: dict[bytes, _PendingEntry] = {}
        self._waiter_count = 0
        self._proposals: dict[bytes, int] = {}  # in flight, and the time in µs at which each counts as lost
        self._leadership: tuple[object, ...] = ()
        self._is_closed = False
        consensus.on_leader_message = self._on_leader_message
        consensus.on_change = self._on_consensus_change
        ledger.on_applied = self._on_applied

    @property
    def is_ready(self) -> bool:
        """Whether this copy has all entries that were committed when it joined, and is in contact with a
        leader that a majority follows.
        """
        return not self._is_closed and self.consensus.is_caught_up and self.consensus.has_leader_contact

    def agree(self, entry: LedgerEntry, is_agreed: Callable[[], bool], deadline: int) -> asyncio.Future[bool]:
        """Submit an entry. The future is True once `is_agreed` holds on the ledger, False if it does not by
        `deadline`, in µs of the clock. The entry is submitted even before the future is awaited; cancelling
        the future stops that. `EntryError` for an invalid entry.
        """
        data = pack(entry)
        future = asyncio.get_running_loop().create_future()
        if is_agreed():
            self.counters["agreed"] += 1
            future.set_result(True)
        elif self._is_closed or deadline <= self.clock.now():
            future.set_result(False)
        elif self._waiter_count >= MAX_WAITERS:
            self.counters["full"] += 1
            future.set_result(False)
        else:
            self._add_waiter(data, _Waiter(is_agreed, deadline, future))
        return future

    def close(self) -> None:
        """Resolve all futures that still wait to False, and submit nothing more."""
        self._is_closed = True
        for pending in list(self._pending.values()):
            for waiter in list(pending.waiters):
                self._finish(pending, waiter, False)
        self._proposals.clear()

    # --- Waiters ----------------------------------------------------------------------

    def _add_waiter(self, data: bytes, waiter: _Waiter) -> None:
        pending = self._pending.get(data)
        is_new = pending is None
        if pending is None:
            pending = self._pending[data] = _PendingEntry(data)
        pending.waiters.append(waiter)
        self._waiter_count += 1
        waiter.future.add_done_callback(lambda future: self._on_future_done(pending, waiter))
        if is_new:
            pending.resubmit_at = self.clock.now() + pending.resubmit_delay_us
            self._submit(data)
        if pending.waiters:
            self._set_timer(pending)

    def _on_future_done(self, pending: _PendingEntry, waiter: _Waiter) -> None:
        if waiter in pending.waiters:  # the caller cancelled the future
            self._finish(pending, waiter, False)

    def _finish(self, pending: _PendingEntry, waiter: _Waiter, result: bool) -> None:
        pending.waiters.remove(waiter)
        self._waiter_count -= 1
        if not pending.waiters:
            del self._pending[pending.data]
            if pending.timer is not None:
                pending.timer.cancel()
        if not waiter.future.done():
            self.counters["agreed" if result else "late"] += 1
            waiter.future.set_result(result)

    def _set_timer(self, pending: _PendingEntry) -> None:
        if pending.timer is not None:
            pending.timer.cancel()
        due = min(pending.resubmit_at, *(waiter.deadline for waiter in pending.waiters))
        pending.timer = self.clock.at(due, self._on_timer, pending)

    def _on_timer(self, pending: _PendingEntry) -> None:
        """Finish the waiters that are agreed or late, and submit the entry again if that is due. An effect
        that the ledger already shows counts even at the deadline.
        """
        pending.timer = None
        now = self.clock.now()
        self._check_waiters(pending, now)
        if not pending.waiters:
            return
        if now >= pending.resubmit_at:
            pending.resubmit_delay_us = min(2 * pending.resubmit_delay_us, RESUBMIT_MAX_US)
            pending.resubmit_at = now + pending.resubmit_delay_us
            self._submit(pending.data)
        if pending.waiters:
            self._set_timer(pending)

    def _check_waiters(self, pending: _PendingEntry, now: int) -> None:
        for waiter in list(pending.waiters):
            if waiter.is_agreed():
                self._finish(pending, waiter, True)
            elif now >= waiter.deadline:
                self._finish(pending, waiter, False)

    def _on_consensus_change(self) -> None:
        now = self.clock.now()
        for pending in list(self._pending.values()):
            self._check_waiters(pending, now)
        self._check_leadership()
        self.on_change()

    # --- Proposals in flight ------------------------------------------------------------

    def _submit(self, data: bytes) -> None:
        self.counters["told"] += 1
        if self.consensus.is_leader:
            self._propose(data)
            return
        try:
            self.consensus.send_to_leader(data)
        except BusyError:
            return  # the same as a lost message: the entry is submitted again

    def _on_leader_message(self, peer: int, incarnation: int, data: bytes) -> None:
        """Propose an entry that another copy sent to this one, which leads."""
        if unpack_message(data) is None:
            self.counters["unread"] += 1
        else:
            self._propose(data)

    def _propose(self, data: bytes) -> None:
        self._check_leadership()
        now = self.clock.now()
        if self._is_closed or self._proposals.get(data, now) > now:
            return
        if len(self._proposals) >= _MAX_PROPOSALS:
            self._proposals = {
                proposed: lost_at for proposed, lost_at in self._proposals.items() if lost_at > now
            }
            if len(self._proposals) >= _MAX_PROPOSALS:
                return
        self._proposals[data] = (
            now + PROPOSAL_TIMEOUT_US
        )  # before `propose`, which may apply the entry at once
        try:
            self.consensus.propose(data)
        except (NotLeaderError, BusyError):
            self._proposals.pop(data, None)  # its caller submits it again
        else:
            self.counters["proposed"] += 1

    def _on_applied(self, data: bytes) -> None:
        self._proposals.pop(KIND + data, None)

    def _check_leadership(self) -> None:
        """Forget the proposals in flight if the leadership changed: they may be lost."""
        leadership = self.consensus.epoch, self.consensus.leader_id, self.consensus.is_leader
        if leadership != self._leadership:
            self._leadership = leadership
            self._proposals.clear()
