"""The follower's side of replication. No I/O. Raft, sections 5.3 and 7.

1. A message of an earlier term changes nothing; the response carries the current term.
2. Entries are appended if the entry before them matches. Entries that conflict with them are truncated;
   committed entries never conflict.
3. The leader's commit index is accepted only up to the index at which this log is known to match.
4. A log of another epoch is kept until the first snapshot of this epoch is complete, which then replaces it.
"""

from __future__ import annotations

import msgspec

from laurelstep.consensus.counters import ReplicaCounter
from laurelstep.consensus.messages import (
    NEEDS_SNAPSHOT,
    AppendEntriesRequest,
    AppendEntriesResponse,
    InstallSnapshotRequest,
    InstallSnapshotResponse,
)
from laurelstep.consensus.snapshots import SnapshotAssembly
from laurelstep.consensus.state import ReplicaState

__all__ = ["Follower"]


class Follower:
    """Accepts entries and snapshots from the leader. See the rules of the module."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._assembly = SnapshotAssembly()

    def on_append_entries(self, peer: int, message: AppendEntriesRequest) -> None:
        """Append entries and respond. The caller has checked that the message is of this replica's epoch."""
        state = self._state
        if not self._accept_leader(peer, message):
            return
        log = state.log
        if log.epoch != message.epoch:
            self._respond(peer, message, success=False, match_index=NEEDS_SNAPSHOT)
        elif message.prev_log_index < log.base_index:
            # Compacted here, hence committed: the leader can continue after this log's commit index.
            self._respond(peer, message, success=False, match_index=state.committed_index)
        elif log.term_at(message.prev_log_index) != message.prev_log_term:
            match_index = min(log.last_index, max(state.committed_index, message.prev_log_index - 1))
            self._respond(peer, message, success=False, match_index=match_index)
        else:
            match_index = self._append_missing(message)
            state.commit_to(min(message.leader_commit, match_index))
            self._respond(peer, message, success=True, match_index=match_index)

    def _append_missing(self, message: AppendEntriesRequest) -> int:
        """Append the missing entries (rule 2), and return the last index that matches the leader's log."""
        state = self._state
        index = message.prev_log_index
        for entry in message.entries:
            index += 1
            term = state.log.term_at(index)
            if term == entry.term:
                continue
            if term is not None:
                state.truncate_after(index - 1)
            state.append_entry(entry)
        return index

    def on_install_snapshot(self, peer: int, message: InstallSnapshotRequest) -> None:
        """Add a snapshot chunk, and install the snapshot once it is complete."""
        state = self._state
        if not self._accept_leader(peer, message):
            return
        if state.log.epoch == message.epoch and message.snapshot_index <= state.committed_index:
            self._respond(peer, message, success=True, match_index=message.snapshot_index)
            return
        received_bytes = self._assembly.add(message)
        snapshot = self._assembly.take_complete()
        if snapshot is None:
            self._request_chunk(peer, message, received_bytes)
            return
        try:
            state.install_snapshot(snapshot)
        except msgspec.DecodeError:
            state.counters[ReplicaCounter.UNREADABLE] += 1
            return
        self._respond(peer, message, success=True, match_index=snapshot.index)

    def _request_chunk(self, peer: int, message: InstallSnapshotRequest, received_bytes: int) -> None:
        """Request the next chunk.

        If the checksum of the complete snapshot did not match, request the first one.
        """
        state = self._state
        response = InstallSnapshotResponse(
            message.epoch,
            state.incarnation,
            state.term,
            message.snapshot_index,
            message.checksum,
            received_bytes if received_bytes < message.total_bytes else 0,
            message.heartbeat_round,
        )
        state.send(peer, response)

    def _accept_leader(self, peer: int, message: AppendEntriesRequest | InstallSnapshotRequest) -> bool:
        """Follow the sender, unless its term is earlier than this replica's (rule 1)."""
        state = self._state
        if message.term < state.term:
            self._respond(peer, message, success=False, match_index=0)
            return False
        if message.term > state.term:
            state.enter_term(message.term)
        state.become_follower(peer)
        return True

    def _respond(
        self,
        peer: int,
        message: AppendEntriesRequest | InstallSnapshotRequest,
        success: bool,
        match_index: int,
    ) -> None:
        state = self._state
        response = AppendEntriesResponse(
            state.promised_epoch,
            state.incarnation,
            state.term,
            success,
            match_index,
            message.heartbeat_round,
        )
        state.send(peer, response)
