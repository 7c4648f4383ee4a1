"""The leader's side of replication: sends entries to the voters and advances the commit index. No I/O. Raft,
sections 5.3 and 5.4.2.

1. A new leader appends an empty entry of its own term. Committing it also commits the earlier entries in its
   log (5.4.2).
2. An entry is committed once a majority of the newest configuration's members has it and it is of the
   leader's own term; all earlier entries are committed with it. Responses count only from the incarnation
   that the configuration names.
3. At most one batch is in flight to a voter. A lost batch is sent again with the next heartbeat.
4. A voter that needs entries that are no longer in the log is sent the snapshot.
5. A leader that got no response from a majority for an election timeout becomes a follower (CheckQuorum,
   dissertation 6.2), so that clients do not wait for a partitioned leader.
6. Heartbeat rounds are numbered, and responses repeat the number. If a majority answered a round, no later
   leader existed when the round began (dissertation 6.4; see read_index.py).
7. At most MAX_PENDING_PROPOSALS entries are uncommitted.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable

from laurelstep.consensus.counters import ReplicaCounter
from laurelstep.consensus.election import has_majority
from laurelstep.consensus.errors import BusyError, EntryError, NotLeaderError
from laurelstep.consensus.limits import MAX_ENTRY_BYTES, MAX_PENDING_PROPOSALS
from laurelstep.consensus.log import encode_members
from laurelstep.consensus.messages import (
    AppendEntriesRequest,
    AppendEntriesResponse,
    EntryKind,
    InstallSnapshotResponse,
    short_incarnation,
)
from laurelstep.consensus.snapshots import Snapshot
from laurelstep.consensus.state import ReplicaRole, ReplicaState
from laurelstep.consensus.timing import NEVER_US

__all__ = ["Leader", "VoterProgress"]

UNKNOWN_INDEX = -1


@dataclasses.dataclass(slots=True)
class VoterProgress:
    """The replication progress of one incarnation of a voter. Times in µs."""

    incarnation: int
    # The next index to send.
    next_index: int
    # The last index that is known to match; unknown before the first successful response.
    match_index: int = UNKNOWN_INDEX
    # When the last response arrived.
    last_response_us: int = 0
    # The newest heartbeat round that the voter answered.
    acked_round: int = 0
    # The commit index that was last sent to the voter.
    notified_commit_index: int = UNKNOWN_INDEX
    has_batch_in_flight: bool = False
    # The snapshot that is being sent, and how many bytes of it have arrived.
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0
    # The heartbeat round in which `snapshot_offset` last decreased.
    rewind_round: int = 0

    def is_behind(self, last_index: int, committed_index: int) -> bool:
        """Whether there are entries or a commit index to send to the voter."""
        return self.next_index <= last_index or self.notified_commit_index < committed_index


class Leader:
    """Replicates the log to the voters while this replica leads. See the rules of the module."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._heartbeat_due_us = 0
        self.heartbeat_round = 0
        # The index of the first entry of this leader's term.
        self.term_start_index = 0
        self.progress: dict[int, VoterProgress] = {}
        # Voters that answered as another incarnation than the tracked one.
        self.unexpected_voters: set[int] = set()

    @property
    def is_leading(self) -> bool:
        """Whether this replica leads."""
        return self._state.role == ReplicaRole.LEADER

    @property
    def has_committed_in_term(self) -> bool:
        """Whether this leader has committed an entry of its own term, and with it all earlier entries."""
        return self.is_leading and self._state.committed_index >= self.term_start_index

    def assume_leadership(self) -> None:
        """Become the leader, after a won election or the start of an epoch."""
        state = self._state
        state.role, state.leader_id = ReplicaRole.LEADER, state.replica_id
        state.last_leader_contact_us = state.now_us
        self.progress = {}
        self.unexpected_voters = set()
        for voter_id, incarnation in state.log.config.members.items():
            if voter_id != state.replica_id:
                self.track(voter_id, incarnation)
        self.term_start_index = state.append_new(EntryKind.NOOP, b"")
        self.heartbeat()
        self._advance_commit()

    def track(self, voter_id: int, incarnation: int) -> None:
        """Start replicating to an incarnation of a voter, from the end of the log."""
        state = self._state
        next_index = state.log.last_index + 1
        self.progress[voter_id] = VoterProgress(incarnation, next_index, last_response_us=state.now_us)

    def due_us(self) -> int:
        """Return the time at which `heartbeat` must be called, in µs; NEVER_US if not at all."""
        return self._heartbeat_due_us if self.is_leading else NEVER_US

    def heartbeat(self) -> None:
        """Send a round of heartbeats, or step down without contact to a majority (rule 5)."""
        state = self._state
        if not self._has_quorum_contact():
            state.counters[ReplicaCounter.STEPPED_DOWN] += 1
            state.become_follower(None)
            state.last_leader_contact_us = state.now_us
            return
        state.last_leader_contact_us = state.now_us
        self.heartbeat_round += 1
        self._heartbeat_due_us = state.now_us + state.timing.heartbeat_us
        for voter_id, progress in self.progress.items():
            self._replicate(voter_id, progress)

    def _has_quorum_contact(self) -> bool:
        """Whether a majority answered within the last election timeout."""
        state = self._state
        since_us = state.now_us - state.timing.election_timeout_us
        members = state.log.config.members
        responsive_voters = {
            voter_id
            for voter_id in members
            if self._tracks_member(voter_id) and self.progress[voter_id].last_response_us >= since_us
        }
        return has_majority(members, responsive_voters | {state.replica_id})

    def _tracks_member(self, voter_id: int) -> bool:
        """Whether the tracked incarnation of a voter is the one that is a member."""
        progress = self.progress.get(voter_id)
        member = self._state.log.config.members.get(voter_id)
        return progress is not None and progress.incarnation == member

    def _replicate(self, voter_id: int, progress: VoterProgress) -> None:
        """Send a batch of entries, which may be empty, or a chunk of the snapshot (rule 4)."""
        state = self._state
        log = state.log
        prev_log_index = progress.next_index - 1
        prev_log_term = log.term_at(prev_log_index)
        if prev_log_term is None:
            self._send_chunk(voter_id, progress)
            return
        entries = log.batch(progress.next_index, log.last_index)
        progress.has_batch_in_flight = bool(entries)
        progress.snapshot = None
        progress.notified_commit_index = state.committed_index
        request = AppendEntriesRequest(
            log.epoch,
            short_incarnation(progress.incarnation),
            state.term,
            prev_log_index,
            prev_log_term,
            state.committed_index,
            self.heartbeat_round,
            entries,
        )
        state.send(voter_id, request)

    def _send_chunk(self, voter_id: int, progress: VoterProgress) -> None:
        state = self._state
        if progress.snapshot is None:
            progress.snapshot, progress.snapshot_offset = state.snapshot, 0
        assert progress.snapshot is not None
        progress.has_batch_in_flight = True
        recipient = short_incarnation(progress.incarnation)
        offset = progress.snapshot_offset
        state.send(voter_id, progress.snapshot.chunk(recipient, state.term, offset, self.heartbeat_round))

    def replicate_pending(self) -> None:
        """Send new entries and the commit index to each voter that has no batch in flight (rule 3)."""
        for voter_id, progress in self.progress.items():
            if not progress.has_batch_in_flight and self._is_behind(progress):
                self._replicate(voter_id, progress)

    def _is_behind(self, progress: VoterProgress) -> bool:
        return progress.is_behind(self._state.log.last_index, self._state.committed_index)

    def propose(self, data: bytes) -> int:
        """Append an entry and return its index. Raises NotLeaderError, BusyError, EntryError."""
        state = self._state
        if len(data) > MAX_ENTRY_BYTES:
            raise EntryError(f"an entry of {len(data)} bytes, the limit is {MAX_ENTRY_BYTES}")
        if not self.is_leading:
            raise NotLeaderError(state.leader_id)
        if state.log.last_index - state.committed_index >= MAX_PENDING_PROPOSALS:
            raise BusyError(f"{MAX_PENDING_PROPOSALS} proposals are pending")
        return self._append(EntryKind.DATA, data)

    def propose_config(self, members: dict[int, int]) -> None:
        """Append a configuration entry.

        The caller has checked that a change is allowed (membership.py, rule 5).
        """
        self._append(EntryKind.CONFIG, encode_members(members))

    def _append(self, kind: EntryKind, data: bytes) -> int:
        index = self._state.append_new(kind, data)
        self.replicate_pending()
        self._advance_commit()
        return index

    def on_append_response(self, peer: int, message: AppendEntriesResponse) -> None:
        """Advance the voter's progress, or after a mismatch continue at the index that it requests."""
        progress = self._record_response(peer, message)
        if progress is None:
            return
        if message.success:
            if message.match_index <= progress.match_index:
                return
            progress.match_index = message.match_index
            progress.next_index = max(progress.next_index, message.match_index + 1)
            progress.has_batch_in_flight = False
            progress.snapshot = None
            self._advance_commit()
        elif message.match_index < progress.match_index or message.match_index + 1 == progress.next_index:
            return
        else:
            progress.next_index = message.match_index + 1
        if self.is_leading and (not message.success or self._is_behind(progress)):
            self._replicate(peer, progress)

    def on_snapshot_response(self, peer: int, message: InstallSnapshotResponse) -> None:
        """Send the next chunk.

        If the receiver has fewer bytes than before, go back to its offset, but only once per heartbeat round.
        """
        progress = self._record_response(peer, message)
        if progress is None or progress.snapshot is None:
            return
        snapshot = progress.snapshot
        if (message.snapshot_index, message.checksum) != (snapshot.index, snapshot.checksum):
            return
        if (
            message.received_bytes < progress.snapshot_offset
            and message.heartbeat_round > progress.rewind_round
        ):
            progress.rewind_round = message.heartbeat_round
        elif message.received_bytes <= progress.snapshot_offset:
            return
        progress.snapshot_offset = message.received_bytes
        self._send_chunk(peer, progress)

    def _record_response(
        self, peer: int, message: AppendEntriesResponse | InstallSnapshotResponse
    ) -> VoterProgress | None:
        """Record a response, and return the sender's progress.

        Returns None if the sender is not the tracked incarnation, or this replica does not lead in the
        response's term.
        """
        state = self._state
        progress = self.progress.get(peer)
        if progress is None or progress.incarnation != message.incarnation:
            self.unexpected_voters.add(peer)
            return None
        if message.term > state.term:
            state.enter_term(message.term)
        if not self.is_leading or message.term != state.term:
            return None
        progress.last_response_us = state.now_us
        progress.acked_round = max(progress.acked_round, message.heartbeat_round)
        return progress

    def _advance_commit(self) -> None:
        """Commit the entries that a majority of the members has (rule 2)."""
        state = self._state
        index = self.majority_match_index()
        if index > state.committed_index and self.may_commit(index):
            state.commit_to(index)

    def majority_match_index(self) -> int:
        """Return the last index that a majority of the members has."""
        return self._majority_value(self._state.log.last_index, lambda progress: progress.match_index)

    def may_commit(self, index: int) -> bool:
        """Whether the entry is of this term.

        Earlier terms' entries are committed only with it (Raft, figure 8).
        """
        return self._state.log.term_at(index) == self._state.term

    def confirmed_round(self) -> int:
        """Return the newest heartbeat round that a majority answered."""
        return self._majority_value(self.heartbeat_round, lambda progress: progress.acked_round)

    def _majority_value(self, own_value: int, value_of: Callable[[VoterProgress], int]) -> int:
        """Return the greatest value that a majority of the members has reached."""
        values = []
        for voter_id in self._state.log.config.members:
            if voter_id == self._state.replica_id:
                values.append(own_value)
            else:
                is_counted = self._tracks_member(voter_id)
                values.append(value_of(self.progress[voter_id]) if is_counted else UNKNOWN_INDEX)
        values.sort(reverse=True)
        return values[len(values) // 2]
