"""Learners: replicas that do not vote, and apply what is committed. Pure.

1. A learner polls one voter, chosen by its number to spread the load: now and then while idle, at once after
   entries came. A voter that does not answer, or is not in contact with a leader, is left for the next one.
2. A voter remembers who polled for three times that long, and pushes what is newly committed
   (learner_publisher.py).
3. Only committed entries go to learners, each with its index; a learner applies those that follow on what it
   has.
4. A learner of an older epoch, or too far behind, gets the snapshot. An older epoch's never replaces a newer
   one's.
5. Learners vote on nothing and store nothing.
6. When all voters have lost their memory, the epoch that they bootstrap may not be greater than one that a
   learner remembers. A learner that hears of a leader in an epoch before its own reads the index
   (read_index.py): what a majority confirms after the question is the epoch that lives, and the learner takes
   its snapshot.
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

# A poll that was not answered, or by a voter without a leader, is repeated after so many heartbeats.
RETRY_HEARTBEATS = 5


class Learner:
    """Polls a voter, and applies its updates. See the rules."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._voter_id = state.replica_id % state.voter_count
        self._poll_at_us = NEVER_US if state.is_voter else 0
        # The voter has not answered the last poll, or has no leader.
        self._is_voter_unhelpful = False
        self._assembly = SnapshotAssembly()

    def due_us(self) -> int:
        """When `tick` has to be called, in µs."""
        return self._poll_at_us

    def tick(self) -> None:
        """Poll a voter: the next one, where the last gave no useful answer."""
        state = self._state
        if state.now_us < self._poll_at_us:
            return
        if self._is_voter_unhelpful:
            self._voter_id = (self._voter_id + 1) % state.voter_count
        self._is_voter_unhelpful = True
        self._poll_at_us = state.now_us + RETRY_HEARTBEATS * state.timing.heartbeat_us
        self._poll(self._voter_id)

    def _poll(self, voter_id: int) -> None:
        state = self._state
        state.send(voter_id, LearnerPoll(state.log.epoch, state.incarnation, state.applied_index))

    def on_update(self, peer: int, message: LearnerUpdate) -> None:
        """Note who leads, apply the entries, and poll for more."""
        state = self._state
        if message.has_leader_contact:
            state.leader_id = message.leader_id
            if message.epoch < state.log.epoch:
                state.is_epoch_in_doubt = True
            else:
                state.last_leader_contact_us = state.now_us
        self._schedule_poll(peer, message.has_leader_contact)
        if message.epoch != state.log.epoch:
            return
        if message.entries:
            self._apply(message)
            self._poll(peer)

    def _schedule_poll(self, peer: int, has_leader_contact: bool) -> None:
        """The polled voter has answered: poll again when idle, or the next voter sooner."""
        state = self._state
        if peer != self._voter_id:
            return
        self._is_voter_unhelpful = not has_leader_contact
        retry_us = RETRY_HEARTBEATS * state.timing.heartbeat_us
        delay_us = state.timing.learner_poll_us if has_leader_contact else retry_us
        self._poll_at_us = state.now_us + delay_us - state.rng.randrange(delay_us // 10 + 1)

    def _apply(self, message: LearnerUpdate) -> None:
        """Apply the entries that follow on what is applied (rule 3)."""
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
        """Take a chunk, and install the snapshot once it is complete."""
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
        """Whether the snapshot is past what is applied here (rule 4)."""
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
