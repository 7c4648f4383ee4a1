"""Learners: replicas that do not vote, and apply committed entries. No I/O.

1. A learner polls one voter, which it chooses by its replica id to spread the load. It polls at the learner
   poll interval while idle, and immediately after it received entries. If the voter does not answer or has no
   contact with a leader, the learner switches to the next voter.
2. A voter remembers a learner for three poll intervals after a poll, and pushes newly committed entries to it
   (learner_publisher.py).
3. Learners are sent only committed entries, with their indexes. A learner applies an entry only if it
   directly follows the last applied one.
4. A learner of an older epoch, or one that is too far behind, is sent the snapshot. A snapshot of an older
   epoch never replaces the state of a newer one.
5. Learners do not vote, and store nothing.
6. When all voters have lost their state, the epoch that they bootstrap is not necessarily greater than one
   that a learner still has. A learner that hears of a leader in an epoch older than its own requests the read
   index (read_index.py). The epoch that a majority confirms after the request is the current one, and the
   learner installs its snapshot.
"""

from __future__ import annotations

import msgspec

from laurelstep.consensus.counters import ReplicaCounter
from laurelstep.consensus.messages import (
    EntryKind,
    InstallSnapshotRequest,
    InstallSnapshotResponse,
    LearnerPoll,
    LearnerUpdate,
)
from laurelstep.consensus.snapshots import Snapshot, SnapshotAssembly
from laurelstep.consensus.state import ReplicaState
from laurelstep.consensus.timing import NEVER_US

__all__ = ["Learner"]

# A poll without an answer, or answered by a voter without a leader, is repeated after this many heartbeat
# intervals.
RETRY_HEARTBEATS = 5


class Learner:
    """Polls a voter, and applies its updates. See the rules of the module."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._voter_id = state.replica_id % state.voter_count
        self._poll_at_us = NEVER_US if state.is_voter else 0
        # Whether the voter did not answer the last poll, or answered that it has no contact with a leader.
        self._should_switch_voter = False
        self._assembly = SnapshotAssembly()

    def due_us(self) -> int:
        """Return the time at which `tick` must be called, in µs; NEVER_US for a voter."""
        return self._poll_at_us

    def tick(self) -> None:
        """Poll the voter, or the next one if the last poll got no useful answer."""
        state = self._state
        if state.now_us < self._poll_at_us:
            return
        if self._should_switch_voter:
            self._voter_id = (self._voter_id + 1) % state.voter_count
        self._should_switch_voter = True
        self._poll_at_us = state.now_us + RETRY_HEARTBEATS * state.timing.heartbeat_us
        self._poll(self._voter_id)

    def _poll(self, voter_id: int) -> None:
        state = self._state
        state.send(voter_id, LearnerPoll(state.log.epoch, state.incarnation, state.applied_index))

    def on_update(self, peer: int, message: LearnerUpdate) -> None:
        """Record the leader, apply the entries, and poll for more."""
        state = self._state
        if message.has_leader_contact:
            state.leader_id = message.leader_id
            if message.epoch < state.log.epoch:
                state.is_epoch_uncertain = True
            else:
                state.last_leader_contact_us = state.now_us
        self._schedule_poll(peer, message.has_leader_contact)
        if message.epoch != state.log.epoch:
            return
        if message.entries:
            self._apply(message)
            self._poll(peer)

    def _schedule_poll(self, peer: int, has_leader_contact: bool) -> None:
        """Schedule the next poll after an answer; it comes sooner if the voter has no leader."""
        state = self._state
        if peer != self._voter_id:
            return
        self._should_switch_voter = not has_leader_contact
        retry_us = RETRY_HEARTBEATS * state.timing.heartbeat_us
        delay_us = state.timing.learner_poll_us if has_leader_contact else retry_us
        self._poll_at_us = state.now_us + delay_us - state.rng.randrange(delay_us // 10 + 1)

    def _apply(self, message: LearnerUpdate) -> None:
        """Apply the entries that directly follow the last applied one (rule 3)."""
        state = self._state
        index = message.prev_index
        for entry in message.entries:
            index += 1
            if index != state.applied_index + 1:
                continue
            state.applied_index = state.committed_index = index
            state.effects.state_changed = True
            if entry.kind == EntryKind.DATA:
                state.state_machine.apply(index, entry.data)

    def on_install_snapshot(self, peer: int, message: InstallSnapshotRequest) -> None:
        """Add a snapshot chunk, and install the snapshot once it is complete."""
        state = self._state
        self._schedule_poll(peer, has_leader_contact=True)
        if not self._is_newer(message):
            self._poll(peer)
            return
        received_bytes = self._assembly.add(message)
        snapshot = self._assembly.take_complete()
        if snapshot is not None:
            self._install(snapshot)
            self._poll(peer)
            return
        response = InstallSnapshotResponse(
            message.epoch,
            state.incarnation,
            0,
            message.snapshot_index,
            message.checksum,
            received_bytes if received_bytes < message.total_bytes else 0,
            0,
        )
        state.send(peer, response)

    def _is_newer(self, message: InstallSnapshotRequest) -> bool:
        """Whether the snapshot is newer than the applied state (rule 4)."""
        state = self._state
        if message.epoch == state.log.epoch:
            return message.snapshot_index > state.applied_index
        return message.epoch > state.log.epoch

    def _install(self, snapshot: Snapshot) -> None:
        state = self._state
        is_new_epoch = snapshot.epoch != state.log.epoch
        try:
            state.install_snapshot(snapshot)
        except msgspec.DecodeError:
            state.counters[ReplicaCounter.UNREADABLE] += 1
            return
        if is_new_epoch:
            state.promised_epoch, state.is_caught_up = snapshot.epoch, False
