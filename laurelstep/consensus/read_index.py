"""How a replica that starts learns the commit index as of a time after its start. Pure. Dissertation 6.4.

1. It asks the leader, with a nonce, for the commit index.
2. The leader answers once a majority has answered a round of heartbeats that began after the question came,
   and an entry of its own term is committed: then no later leader had committed anything when the round
   began.
3. The replica is caught up when it has applied up to that index, in that epoch. In a later epoch it asks
   again.
4. A leader is caught up once an entry of its own term is committed.
5. One question of each peer is pending at a time: the last one.
"""

from __future__ import annotations

import dataclasses

from laurelstep.consensus.epoch import ClusterEpoch
from laurelstep.consensus.leader import Leader
from laurelstep.consensus.messages import ReadIndexRequest, ReadIndexResponse
from laurelstep.consensus.state import ReplicaState
from laurelstep.consensus.timing import NEVER_US

__all__ = ["ReadIndexTracker"]

RETRY_HEARTBEATS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRead:
    """A peer's question, and the round that must be answered first."""

    nonce: int
    required_round: int


@dataclasses.dataclass(frozen=True, slots=True)
class _ReadIndex:
    """The leader's answer: what must be applied."""

    epoch: ClusterEpoch
    index: int


class ReadIndexTracker:
    """Both sides: asks the leader, and answers as the leader. See the rules."""

    def __init__(self, state: ReplicaState, leader: Leader) -> None:
        self._state = state
        self._leader = leader
        # The leader's side, by peer.
        self._pending: dict[int, _PendingRead] = {}
        # The asking side.
        self._nonce: int | None = None
        self._target: _ReadIndex | None = None
        self._ask_at_us = 0

    def on_leadership(self) -> None:
        """Begin to answer: this replica leads from now on."""
        self._pending = {}

    def reset(self) -> None:
        """Ask anew: this replica continues as another incarnation."""
        self._nonce = self._target = None
        self._state.is_caught_up = False

    def due_us(self) -> int:
        """When `tick` has to be called, in µs."""
        state = self._state
        needs_index = not state.is_caught_up or state.is_epoch_in_doubt
        if not needs_index or state.leader_id is None or state.leader_id == state.replica_id:
            return NEVER_US
        return self._ask_at_us

    def tick(self) -> None:
        """Ask the leader, unless only entries are missing."""
        state = self._state
        if state.now_us < self.due_us():
            return
        self._ask_at_us = state.now_us + RETRY_HEARTBEATS * state.timing.heartbeat_us
        target = self._target
        if not state.is_epoch_in_doubt and target is not None and target.epoch == state.promised_epoch:
            return
        self._nonce = state.rng.getrandbits(64)
        assert state.leader_id is not None
        state.send(state.leader_id, ReadIndexRequest(state.incarnation, self._nonce))

    def on_request(self, peer: int, message: ReadIndexRequest) -> None:
        """Note a question, to be answered by `settle`."""
        if self._leader.is_leading:
            self._pending[peer] = _PendingRead(message.nonce, self._leader.heartbeat_round + 1)
            self.settle()

    def settle(self) -> None:
        """Answer the questions that are confirmed, and see whether this replica is caught up."""
        state = self._state
        if self._leader.has_committed_in_term:
            state.is_caught_up = True
            if self._pending:
                self._answer()
        elif not state.is_caught_up and self._target is not None:
            target = self._target
            is_target_epoch = state.log.epoch == target.epoch == state.promised_epoch
            state.is_caught_up = is_target_epoch and state.applied_index >= target.index

    def _answer(self) -> None:
        state = self._state
        confirmed_round = self.confirmed_round()
        for peer, pending in list(self._pending.items()):
            if pending.required_round <= confirmed_round:
                del self._pending[peer]
                response = ReadIndexResponse(state.log.epoch, pending.nonce, state.committed_index)
                state.send(peer, response)

    def confirmed_round(self) -> int:
        """Return the newest round that a majority answered."""
        return self._leader.confirmed_round()

    def on_response(self, peer: int, message: ReadIndexResponse) -> None:
        """Note what must be applied, and leave an epoch that is over."""
        if message.nonce != self._nonce:
            return
        self._nonce = None
        self._target = _ReadIndex(message.epoch, message.index)
        if self._state.is_epoch_in_doubt:
            self._state.is_epoch_in_doubt = False
            if message.epoch < self._state.log.epoch:
                self._state.discard_epoch()
        self.settle()
