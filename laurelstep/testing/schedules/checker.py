"""The invariants of consensus, checked after every step of a simulation, by name.

- "one order": what two processes have applied up to an index of one epoch is the same.
- "nothing lost": a new leader has all that was committed in earlier terms of its epoch; a process that
  bootstraps an epoch has all that was committed in older ones and that a living voter remembers. While a
  majority of those that committed it remember, one of them is such a voter.
- "one leader": at most one incarnation leads in a term of an epoch.
- "one vote": an incarnation votes for at most one candidate in a term of an epoch.
- "leases apart": no two living processes hold a lease at one true time, also by a paused one's own clock.
- "no stale read": a process that has just caught up has applied all that was committed in its epoch when it
  started.
- "bounded": the log keeps to its bound, a datagram to its length, and a tick leaves no tick due.
- "progress": once faults end, an entry is committed and applied by all (`script.py` says when).

The checker reads what a process shows and what it sends; of its log only indices and terms.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from laurelstep.consensus import messages as m
from laurelstep.consensus.epoch import NO_EPOCH, ClusterEpoch
from laurelstep.consensus.limits import MAX_PENDING_PROPOSALS
from laurelstep.consensus.ports import MAX_DATAGRAM_BYTES
from laurelstep.errors import LaurelstepError
from laurelstep.testing.schedules.process import (
    RECORDING_TAG,
    SimulatedProcess,
    SimulationOptions,
    next_digest,
)

__all__ = ["BrokenError", "CommittedEntry", "InvariantChecker"]

# Offset of a message's tag in bytes: after the version and the header of the array.
TAG_OFFSET = 2


class BrokenError(LaurelstepError, AssertionError):
    """An invariant does not hold: `name` says which, `seed` under which schedule."""

    cause = "an invariant of the agreed record does not hold under a made schedule"
    remedy = "play the seed that the text names again, and report it: the fault is in the program"

    def __init__(self, name: str, seed: int, seen: str) -> None:
        super().__init__(f"{name}: seed {seed}: {seen}")
        self.name = name
        self.seed = seed


class CommittedEntry(NamedTuple):
    """The newest committed entry with data of an epoch; its digest covers all entries before it."""

    log_index: int
    digest: int


class InvariantChecker:
    """Checks the invariants at the head of the module. Each method raises BrokenError."""

    def __init__(self, processes: Sequence[SimulatedProcess], options: SimulationOptions, seed: int) -> None:
        self._processes = processes
        self._options = options
        self._seed = seed
        # By epoch and index: the digest of all entries up to there.
        self._orders: dict[tuple[ClusterEpoch, int], int] = {}
        self._bases: dict[ClusterEpoch, int] = {}
        self.committed: dict[ClusterEpoch, CommittedEntry] = {}
        # Who held it when it was committed: peer and count of state losses. They may have lost it since.
        self._holders: dict[ClusterEpoch, set[tuple[int, int]]] = {}
        # By epoch and the term in which it was committed.
        self._committed_by_term: dict[ClusterEpoch, dict[int, CommittedEntry]] = {}
        self._leaders: dict[tuple[ClusterEpoch, int], tuple[int, int]] = {}
        self._votes: dict[tuple[ClusterEpoch, int, int], int] = {}
        # By process: what was committed when it started; whether it had caught up; and what was checked
        # last: count of entries and of loads, epoch, and applied index.
        self._committed_at_start: dict[int, tuple[ClusterEpoch, CommittedEntry] | None] = {}
        self._was_caught_up: dict[int, bool] = {}
        self._last_seen: dict[int, tuple[int, int, ClusterEpoch, int]] = {}

    def violation(self, name: str, detail: str) -> BrokenError:
        """The error for a broken invariant."""
        return BrokenError(name, self._seed, detail)

    def on_start(self, process: SimulatedProcess) -> None:
        """A process has started."""
        newest = max(self.committed, default=None)
        self._committed_at_start[process.peer] = None if newest is None else (newest, self.committed[newest])
        self._was_caught_up[process.peer] = False
        self._last_seen.pop(process.peer, None)

    # --- After a step -------------------------------------------------------------

    def on_step(self, process: SimulatedProcess, true_time_us: int) -> None:
        """Check the state that a step has left."""
        core = process.core
        assert core is not None
        epoch = core.epoch
        if epoch != NO_EPOCH and epoch not in self._bases:
            self._check_bootstrap(process, epoch)
        current = (len(process.recording.applied), process.recording.load_count, epoch, core.applied_index)
        # Without an epoch a process may hold the state of a past one, until it gets that of the current one.
        if epoch != NO_EPOCH and current != self._last_seen.get(process.peer):
            self._check_applied(process, epoch, core.applied_index)
            self._last_seen[process.peer] = current
        if core.role == "leader":
            self._check_leader(process, epoch, core.term)
        if core.is_caught_up != self._was_caught_up[process.peer]:
            self._was_caught_up[process.peer] = core.is_caught_up
            if core.is_caught_up:
                self._check_read(process, epoch)
        if process.leases.holds(process.local_time_us(true_time_us), "lease"):
            self._check_leases(process, true_time_us)
        if core.log_entry_count > self._options.timing.max_log_entries + 2 * MAX_PENDING_PROPOSALS:
            raise self.violation("bounded", f"{core.log_entry_count} entries in the log of {process.peer}")

    def on_tick(self, process: SimulatedProcess, true_time_us: int) -> None:
        """Check that a tick has left no tick due."""
        core = process.core
        if core is not None and core.due_us <= process.local_time_us(true_time_us):
            raise self.violation("bounded", f"a tick of {process.peer}, {core.role}, left a tick due")

    def _check_applied(self, process: SimulatedProcess, epoch: ClusterEpoch, applied: int) -> None:
        entries = process.recording.applied
        seen = self._last_seen.get(process.peer)
        digest = entries[-1][1] if entries else 0
        fresh = [(applied, digest)]
        if seen is not None and seen[1:3] == (process.recording.load_count, epoch):
            fresh = [*entries[seen[0] :], *fresh]
        for index, value in fresh:
            if self._orders.setdefault((epoch, index), value) != value:
                raise self.violation(
                    "one order", f"at index {index} of epoch {epoch.generation}, by {process.peer}"
                )
        if entries and applied > self._bases.get(epoch, applied):
            last = self.committed.get(epoch)
            if last is None or entries[-1][0] > last.log_index:
                self._record_committed(process, epoch, CommittedEntry(*entries[-1]))

    def _record_committed(
        self, process: SimulatedProcess, epoch: ClusterEpoch, committed: CommittedEntry
    ) -> None:
        """Record an entry; the first process to apply it is the leader of its term, or was notified by it."""
        assert process.core is not None
        self.committed[epoch] = committed
        self._holders[epoch] = {
            (one.peer, one.state_loss_count)
            for one in self._processes[: self._options.voter_count]
            if self._remembers(one, committed)
        }
        by_term = self._committed_by_term.setdefault(epoch, {})
        by_term[max(process.core.term, *by_term, 0)] = committed

    def _remembers(self, process: SimulatedProcess, committed: CommittedEntry) -> bool:
        """Whether a process has applied the entry, or will once it applies what its log holds."""
        core = process.core
        if core is None:
            return False
        entries = process.recording.applied
        if committed in entries:
            return True
        log = core._state.log
        digest = entries[-1][1] if entries else 0
        for index in range(core.applied_index + 1, min(log.last_index, committed.log_index) + 1):
            entry = log.entry(index)
            if entry.kind == m.EntryKind.DATA and entry.data[:1] == RECORDING_TAG:
                digest = next_digest(digest, index, entry.data[1:])
                if (index, digest) == committed:
                    return True
        return False

    def _check_bootstrap(self, process: SimulatedProcess, epoch: ClusterEpoch) -> None:
        assert process.core is not None
        self._bases[epoch] = process.core._state.log.base_index
        for older, committed in self.committed.items():
            if older > epoch or self._remembers(process, committed):
                continue
            for other in self._processes[: self._options.voter_count]:
                if other is process or not other.is_alive:
                    continue
                is_holder = (other.peer, other.state_loss_count) in self._holders[older]
                if is_holder or self._remembers(other, committed):
                    detail = (
                        f"{process.peer} bootstrapped without {committed.log_index}, held by {other.peer}"
                    )
                    raise self.violation("nothing lost", detail)

    def _check_leader(self, process: SimulatedProcess, epoch: ClusterEpoch, term: int) -> None:
        assert process.core is not None
        who = (process.peer, process.core.incarnation)
        first = self._leaders.get((epoch, term))
        if first is None:
            self._leaders[epoch, term] = who
            by_term = self._committed_by_term.get(epoch, {})
            earlier = max((one for one in by_term if one < term), default=None)
            committed = None if earlier is None else by_term[earlier]
            if committed is not None and not self._remembers(process, committed):
                raise self.violation(
                    "nothing lost", f"{process.peer} leads term {term} without index {committed.log_index}"
                )
        elif first != who:
            raise self.violation("one leader", f"{first[0]} and {process.peer} in term {term}")

    def _check_read(self, process: SimulatedProcess, epoch: ClusterEpoch) -> None:
        at_start = self._committed_at_start[process.peer]
        if at_start is None or at_start[0] != epoch:
            return
        if at_start[1] not in process.recording.applied:
            detail = f"{process.peer} has caught up without index {at_start[1].log_index}"
            raise self.violation("no stale read", detail)

    def _check_leases(self, process: SimulatedProcess, true_time_us: int) -> None:
        for other in self._processes:
            if other is process or not other.is_alive:
                continue
            if other.leases.holds(other.local_time_us(true_time_us), "lease"):
                raise self.violation("leases apart", f"{process.peer} and {other.peer} hold it")

    # --- Datagrams ----------------------------------------------------------------

    def on_send(self, process: SimulatedProcess, raw: bytes) -> None:
        """Check a datagram that leaves a process."""
        if len(raw) > MAX_DATAGRAM_BYTES:
            raise self.violation("bounded", f"a datagram of {len(raw)} bytes")
        if raw[TAG_OFFSET] not in (m.MessageTag.REQUEST_VOTE_REQUEST, m.MessageTag.REQUEST_VOTE_RESPONSE):
            return
        message = m.decode(raw)
        if isinstance(message, m.RequestVoteRequest) and not message.is_pre_vote:
            self._check_vote(process, message.epoch, message.term, message.incarnation, message.incarnation)
        elif isinstance(message, m.RequestVoteResponse) and message.granted and not message.is_pre_vote:
            self._check_vote(process, message.epoch, message.term, message.incarnation, message.candidate)

    def _check_vote(
        self, process: SimulatedProcess, epoch: ClusterEpoch, term: int, voter: int, candidate: int
    ) -> None:
        if self._votes.setdefault((epoch, term, voter), candidate) != candidate:
            raise self.violation("one vote", f"{process.peer} voted twice in term {term}")
