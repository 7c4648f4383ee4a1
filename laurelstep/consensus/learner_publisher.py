"""The voter's side of replication to learners: answers polls and pushes newly committed entries. No I/O.

The rules are in the docstring of learner.py. At most one batch is in flight to each learner. It is sent again
after two heartbeat intervals without an answer.
"""

from __future__ import annotations

import dataclasses

from laurelstep.consensus.epoch import ClusterEpoch
from laurelstep.consensus.messages import (
    NO_LEADER,
    InstallSnapshotResponse,
    LearnerPoll,
    LearnerUpdate,
    short_incarnation,
)
from laurelstep.consensus.snapshots import Snapshot
from laurelstep.consensus.state import ReplicaState
from laurelstep.consensus.timing import NEVER_US

__all__ = ["LearnerPublisher"]

# A batch without an answer is sent again after this many heartbeat intervals.
RESEND_HEARTBEATS = 2
# A learner is forgotten this many poll intervals after its last poll.
FORGET_POLL_INTERVALS = 3


@dataclasses.dataclass(slots=True)
class _LearnerProgress:
    """The replication progress of one learner. Times in µs."""

    incarnation: int
    epoch: ClusterEpoch
    applied_index: int
    forget_at_us: int
    # When the batch in flight was sent, None if there is none.
    sent_at_us: int | None = None
    snapshot: Snapshot | None = None
    snapshot_offset: int = 0

    def has_applied(self, epoch: ClusterEpoch, index: int) -> bool:
        """Whether the learner has applied all entries up to an index of an epoch."""
        return (self.epoch, self.applied_index) >= (epoch, index)


class LearnerPublisher:
    """Sends committed entries and snapshots to the learners that poll this voter."""

    def __init__(self, state: ReplicaState) -> None:
        self._state = state
        self._learners: dict[int, _LearnerProgress] = {}
        self._resend_at_us = NEVER_US

    def due_us(self) -> int:
        """Return the time at which `resend` must be called, in µs; NEVER_US if not at all."""
        return self._resend_at_us

    def on_poll(self, peer: int, message: LearnerPoll) -> None:
        """Answer a learner's poll, and remember the learner."""
        state = self._state
        forget_at_us = state.now_us + FORGET_POLL_INTERVALS * state.timing.learner_poll_us
        learner = self._learners.get(peer)
        if learner is None or (learner.incarnation, learner.epoch) != (message.incarnation, message.epoch):
            learner = _LearnerProgress(
                message.incarnation, message.epoch, message.applied_index, forget_at_us
            )
            self._learners[peer] = learner
        elif learner.sent_at_us is not None and message.applied_index == learner.applied_index:
            learner.forget_at_us = forget_at_us
            if state.now_us - learner.sent_at_us < state.timing.heartbeat_us:
                # A duplicate, or a poll that was sent before the batch in flight arrived.
                return
        learner.applied_index, learner.forget_at_us = message.applied_index, forget_at_us
        learner.sent_at_us = None
        self._update(peer, learner)

    def _update(self, peer: int, learner: _LearnerProgress) -> None:
        """Send the entries after those that the learner has applied, or a chunk of the snapshot."""
        state = self._state
        log = state.log
        has_entries = learner.epoch == log.epoch and learner.applied_index >= log.base_index
        if state.has_current_log and learner.epoch <= log.epoch and not has_entries:
            self._send_chunk(peer, learner)
            return
        entries = []
        if state.has_current_log and learner.epoch == log.epoch:
            entries = log.batch(learner.applied_index + 1, state.committed_index)
        if entries:
            self._mark_sent(learner)
        learner.snapshot = None
        leader_id = state.leader_id if state.has_current_log else None
        update = LearnerUpdate(
            log.epoch,
            short_incarnation(learner.incarnation),
            NO_LEADER if leader_id is None else leader_id,
            leader_id is not None and state.has_leader_contact(state.now_us),
            learner.applied_index,
            entries,
        )
        state.send(peer, update)

    def _send_chunk(self, peer: int, learner: _LearnerProgress) -> None:
        state = self._state
        last = learner.snapshot
        if last is None or last.epoch != state.log.epoch or learner.has_applied(last.epoch, last.index):
            learner.snapshot, learner.snapshot_offset = state.snapshot, 0
        if learner.snapshot is not None:
            self._mark_sent(learner)
            recipient = short_incarnation(learner.incarnation)
            state.send(peer, learner.snapshot.chunk(recipient, state.term, learner.snapshot_offset, 0))

    def _mark_sent(self, learner: _LearnerProgress) -> None:
        state = self._state
        learner.sent_at_us = state.now_us
        self._resend_at_us = min(self._resend_at_us, state.now_us + self._resend_after_us())

    def _resend_after_us(self) -> int:
        return RESEND_HEARTBEATS * self._state.timing.heartbeat_us

    def on_snapshot_response(self, peer: int, message: InstallSnapshotResponse) -> None:
        """Send the next chunk of the snapshot."""
        learner = self._learners.get(peer)
        if learner is None or learner.snapshot is None or learner.incarnation != message.incarnation:
            return
        snapshot = learner.snapshot
        if (message.snapshot_index, message.checksum) != (snapshot.index, snapshot.checksum):
            return
        if message.received_bytes > learner.snapshot_offset or self._is_answer_overdue(learner):
            learner.snapshot_offset = message.received_bytes
            self._send_chunk(peer, learner)

    def _is_answer_overdue(self, learner: _LearnerProgress) -> bool:
        state = self._state
        sent_at_us = learner.sent_at_us
        return sent_at_us is not None and state.now_us - sent_at_us >= state.timing.heartbeat_us

    def push(self) -> None:
        """Send newly committed entries to all learners that have no batch in flight."""
        state = self._state
        for peer, learner in list(self._learners.items()):
            if learner.forget_at_us < state.now_us:
                del self._learners[peer]
            elif learner.sent_at_us is None and not learner.has_applied(
                state.log.epoch, state.committed_index
            ):
                self._update(peer, learner)

    def resend(self) -> None:
        """Send the batches again that were not answered in time."""
        state = self._state
        if state.now_us < self._resend_at_us:
            return
        self._resend_at_us = NEVER_US
        after_us = self._resend_after_us()
        for peer, learner in list(self._learners.items()):
            if learner.sent_at_us is None or learner.forget_at_us < state.now_us:
                continue
            if state.now_us - learner.sent_at_us >= after_us:
                self._update(peer, learner)
            else:
                self._resend_at_us = min(self._resend_at_us, learner.sent_at_us + after_us)
