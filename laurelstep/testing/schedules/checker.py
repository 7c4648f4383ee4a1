"""The invariants of consensus, by name, which are checked after every step of a simulation.

- "one order": any two processes have applied the same entries up to an index of an epoch.
- "nothing lost": a new leader has all entries committed in earlier terms of its epoch. A process that
  bootstraps an epoch has all entries committed in older epochs that a running voter still has. There is such
  a voter while a majority of those that committed an entry keep it.
- "one leader": at most one incarnation leads in a term of an epoch.
- "one vote": an incarnation votes for at most one candidate in a term of an epoch.
- "leases apart": no two running processes hold a lease at the same true time, each by its own clock; a paused
  process counts as running.
- "no stale read": a process that has just caught up has applied all entries that were committed in its epoch
  when it started.
- "bounded": the log and the datagrams do not exceed their limits, and after a tick no tick is due.
- "progress": once faults end, all processes apply a new entry within `script.PROGRESS_US`.

The checker reads the public state of a process, the datagrams that it sends, and its log.
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

# Offset of a message's tag in bytes, after the version and the array header.
TAG_OFFSET = 2


class BrokenError(LaurelstepError, AssertionError):
    """The invariant `name` does not hold under the schedule of `seed`."""

    cause = "an invariant of consensus does not hold under a generated schedule"
    remedy = "report the seed in the message, which reproduces the schedule: this is a defect of the program"

    def __init__(self, name: str, seed: int, detail: str) -> None:
        super().__init__(f"{name}: seed {seed}: {detail}")
        self.name = name
        self.seed = seed


class CommittedEntry(NamedTuple):
    """The newest committed data entry of an epoch; its digest also covers all entries before it."""

    log_index: int
    digest: int


class InvariantChecker:
    """Checks the invariants at the head of the module. Each method raises BrokenError."""

    def __init__(self, processes: Sequence[SimulatedProcess], options: SimulationOptions, seed: int) -> None:
        self._processes = processes
        self._options = options
        self._seed = seed
        # By epoch and index: the digest of all entries up to this index.
        self._digests: dict[tuple[ClusterEpoch, int], int] = {}
        self._base_indices: dict[ClusterEpoch, int] = {}
        self.committed: dict[ClusterEpoch, CommittedEntry] = {}
        # Voters that had the entry when it was committed, as peer and count of state losses.
        self._holders: dict[ClusterEpoch, set[tuple[int, int]]] = {}
        # By epoch and by the term in which the entry was committed.
        self._committed_by_term: dict[ClusterEpoch, dict[int, CommittedEntry]] = {}
        self._leaders: dict[tuple[ClusterEpoch, int], tuple[int, int]] = {}
        self._votes: dict[tuple[ClusterEpoch, int, int], int] = {}
        # By peer: the newest committed entry when it started; whether it has caught up; and the state checked
        # last, as the counts of entries and of loads, the epoch and the applied index.
        self._committed_at_start: dict[int, tuple[ClusterEpoch, CommittedEntry] | None] = {}
        self._was_caught_up: dict[int, bool] = {}
        self._last_checked: dict[int, tuple[int, int, ClusterEpoch, int]] = {}

    def violation(self, name: str, detail: str) -> BrokenError:
        """Return the error for a violated invariant."""
        return BrokenError(name, self._seed, detail)

    def on_start(self, process: SimulatedProcess) -> None:
        """Record the start of a process, before its first step."""
        newest = max(self.committed, default=None)
        self._committed_at_start[process.peer] = None if newest is None else (newest, self.committed[newest])
        self._was_caught_up[process.peer] = False
        self._last_checked.pop(process.peer, None)

    # --- After a step -------------------------------------------------------------

    def on_step(self, process: SimulatedProcess, true_time_us: int) -> None:
        """Check the state after a step of a process."""
        core = process.core
        assert core is not None
        epoch = core.epoch
        if epoch != NO_EPOCH and epoch not in self._base_indices:
            self._check_bootstrap(process, epoch)
        current = (len(process.recording.applied), process.recording.load_count, epoch, core.applied_index)
        # Without an epoch a process may still have the state of an earlier one.
        if epoch != NO_EPOCH and current != self._last_checked.get(process.peer):
            self._check_applied(process, epoch, core.applied_index)
            self._last_checked[process.peer] = current
        if core.role == "leader":
            self._check_leader(process, epoch, core.term)
        if core.is_caught_up != self._was_caught_up[process.peer]:
            self._was_caught_up[process.peer] = core.is_caught_up
            if core.is_caught_up:
                self._check_caught_up(process, epoch)
        if process.leases.holds(process.local_time_us(true_time_us), "lease"):
            self._check_leases(process, true_time_us)
        if core.log_entry_count > self._options.timing.max_log_entries + 2 * MAX_PENDING_PROPOSALS:
            raise self.violation("bounded", f"{core.log_entry_count} entries in the log of {process.peer}")

    def on_tick(self, process: SimulatedProcess, true_time_us: int) -> None:
        """Check that no tick is due after a tick."""
        core = process.core
        if core is not None and core.due_us <= process.local_time_us(true_time_us):
            raise self.violation("bounded", f"a tick of {process.peer} ({core.role}) left another tick due")

    def _check_applied(self, process: SimulatedProcess, epoch: ClusterEpoch, applied_index: int) -> None:
        entries = process.recording.applied
        last_checked = self._last_checked.get(process.peer)
        digest = entries[-1][1] if entries else 0
        unchecked = [(applied_index, digest)]
        if last_checked is not None and last_checked[1:3] == (process.recording.load_count, epoch):
            unchecked = [*entries[last_checked[0] :], *unchecked]
        for index, value in unchecked:
            if self._digests.setdefault((epoch, index), value) != value:
                raise self.violation(
                    "one order", f"index {index} of epoch {epoch.generation} differs at {process.peer}"
                )
        if entries and applied_index > self._base_indices.get(epoch, applied_index):
            last = self.committed.get(epoch)
            if last is None or entries[-1][0] > last.log_index:
                self._record_committed(process, epoch, CommittedEntry(*entries[-1]))

    def _record_committed(
        self, process: SimulatedProcess, epoch: ClusterEpoch, committed: CommittedEntry
    ) -> None:
        """Record a committed entry; the first process to apply it is the leader or was notified by it."""
        assert process.core is not None
        self.committed[epoch] = committed
        self._holders[epoch] = {
            (voter.peer, voter.state_loss_count)
            for voter in self._processes[: self._options.voter_count]
            if self._has_entry(voter, committed)
        }
        by_term = self._committed_by_term.setdefault(epoch, {})
        by_term[max(process.core.term, *by_term, 0)] = committed

    def _has_entry(self, process: SimulatedProcess, committed: CommittedEntry) -> bool:
        """Whether a process has applied the entry or has it in its log."""
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
        self._base_indices[epoch] = process.core._state.log.base_index
        for older_epoch, committed in self.committed.items():
            if older_epoch > epoch or self._has_entry(process, committed):
                continue
            for other in self._processes[: self._options.voter_count]:
                if other is process or not other.is_alive:
                    continue
                is_holder = (other.peer, other.state_loss_count) in self._holders[older_epoch]
                if is_holder or self._has_entry(other, committed):
                    detail = (
                        f"{process.peer} bootstrapped without {committed.log_index}, held by {other.peer}"
                    )
                    raise self.violation("nothing lost", detail)

    def _check_leader(self, process: SimulatedProcess, epoch: ClusterEpoch, term: int) -> None:
        assert process.core is not None
        leader = (process.peer, process.core.incarnation)
        first_leader = self._leaders.get((epoch, term))
        if first_leader is None:
            self._leaders[epoch, term] = leader
            by_term = self._committed_by_term.get(epoch, {})
            last_term = max((other for other in by_term if other < term), default=None)
            committed = None if last_term is None else by_term[last_term]
            if committed is not None and not self._has_entry(process, committed):
                raise self.violation(
                    "nothing lost", f"{process.peer} leads term {term} without index {committed.log_index}"
                )
        elif first_leader != leader:
            raise self.violation("one leader", f"{first_leader[0]} and {process.peer} lead in term {term}")

    def _check_caught_up(self, process: SimulatedProcess, epoch: ClusterEpoch) -> None:
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
                raise self.violation("leases apart", f"{process.peer} and {other.peer} hold the lease")

    # --- Datagrams ----------------------------------------------------------------

    def on_send(self, process: SimulatedProcess, raw: bytes) -> None:
        """Check a datagram that a process sends."""
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
