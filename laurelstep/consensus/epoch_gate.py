"""Decides whether a voter accepts a message from a leader or candidate, by the message's epoch. No I/O.

It implements rule 2 of core.py, rule 4 of messages.py and rule 7 of bootstrap.py.
"""

from __future__ import annotations

from laurelstep.consensus.bootstrap import Bootstrap
from laurelstep.consensus.counters import ReplicaCounter
from laurelstep.consensus.epoch import NO_EPOCH
from laurelstep.consensus.messages import (
    NEEDS_SNAPSHOT,
    AppendEntriesRequest,
    AppendEntriesResponse,
    InstallSnapshotRequest,
    LearnerUpdate,
    RequestVoteRequest,
    short_incarnation,
)
from laurelstep.consensus.read_index import ReadIndexTracker
from laurelstep.consensus.state import ReplicaState

__all__ = ["EpochGate"]

EpochMessage = RequestVoteRequest | AppendEntriesRequest | InstallSnapshotRequest


class EpochGate:
    """Drops messages of older epochs, and moves the voter into the epoch of newer messages."""

    def __init__(self, state: ReplicaState, bootstrap: Bootstrap, read_index: ReadIndexTracker) -> None:
        self._state = state
        self._bootstrap = bootstrap
        self._read_index = read_index

    def admit(self, peer: int, message: EpochMessage) -> bool:
        """Move the voter into the epoch of a newer message. Returns whether the message is to be handled."""
        state = self._state
        if peer >= state.voter_count or not state.is_voter:
            state.counters[ReplicaCounter.FOREIGN_SENDER] += 1
            return False
        if not self.is_recipient(message):
            if isinstance(message, AppendEntriesRequest):
                self._reject_append(peer, message)
            return False
        is_older_epoch = message.epoch < state.promised_epoch
        if message.epoch == NO_EPOCH or (is_older_epoch and not self._restart_frozen(message)):
            state.counters[ReplicaCounter.STALE] += 1
            return False
        if message.epoch != state.promised_epoch or not state.has_epoch_started:
            self._bootstrap.cancel()
            state.enter_epoch(message.epoch)
        return True

    def is_recipient(self, message: EpochMessage | LearnerUpdate) -> bool:
        """Whether the message is addressed to this incarnation. If not, it is counted as stale."""
        if message.recipient == short_incarnation(self._state.incarnation):
            return True
        self._state.counters[ReplicaCounter.STALE] += 1
        return False

    def _reject_append(self, peer: int, message: AppendEntriesRequest) -> None:
        """Inform a leader without delay that another incarnation runs here."""
        state = self._state
        response = AppendEntriesResponse(
            message.epoch, state.incarnation, 0, False, NEEDS_SNAPSHOT, message.heartbeat_round
        )
        state.send(peer, response)

    def _restart_frozen(self, message: EpochMessage) -> bool:
        """Continue as another incarnation if this one has been frozen for too long.

        Returns whether it did.
        """
        state = self._state
        if state.has_epoch_started or isinstance(message, RequestVoteRequest):
            return False
        if message.epoch < state.log.epoch:
            return False
        if state.now_us - state.frozen_at_us <= state.timing.bootstrap_timeout_us:
            return False
        state.counters[ReplicaCounter.FROZEN_RESTARTS] += 1
        state.incarnation = state.rng.getrandbits(64)
        state.persist_identity()
        self._read_index.reset()
        return True
