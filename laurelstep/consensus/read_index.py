"""ReadIndex: a replica learns the commit index as of a time after its start. No I/O. Dissertation 6.4.

1. The replica requests the commit index from the leader, with a nonce.
2. The leader responds once a majority has answered a heartbeat round that began after the request arrived,
   and an entry of the leader's own term is committed. Then no later leader had committed anything when the
   round began.
3. The replica is caught up once it has applied all entries up to that index in that epoch. After a change to
   another epoch it requests the index again.
4. A leader is caught up once an entry of its own term is committed.
5. The leader keeps only the last request of each peer.
"""

from __future__ import annotations

import dataclasses

from laurelstep.consensus.epoch import ClusterEpoch
from laurelstep.consensus.leader import Leader
from laurelstep.consensus.messages import ReadIndexRequest, ReadIndexResponse
from laurelstep.consensus.state import ReplicaState
from laurelstep.consensus.timing import NEVER_US

__all__ = ["ReadIndexTracker"]

# A request without a response is repeated after this many heartbeat intervals.
RETRY_HEARTBEATS = 5


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRead:
    """A request of a peer, and the heartbeat round that a majority must answer before the response."""

    nonce: int
    required_round: int


@dataclasses.dataclass(frozen=True, slots=True)
class _ReadIndex:
    """The leader's response: the index up to which the replica must apply entries."""

    epoch: ClusterEpoch
    index: int


class ReadIndexTracker:
    """Requests the index from the leader, and answers requests as the leader. See the rules of the module."""

    def __init__(self, state: ReplicaState, leader: Leader) -> None:
        self._state = state
        self._leader = leader
        # As the leader: pending requests by peer.
        self._pending_reads: dict[int, _PendingRead] = {}
        # As a replica that is not caught up: the nonce of the request without a response, and the last
        # response.
        self._nonce: int | None = None
        self._target: _ReadIndex | None = None
        self._request_at_us = 0

    def on_leadership(self) -> None:
        """Discard pending requests of an earlier leadership. Called when this replica becomes the leader."""
        self._pending_reads = {}

    def reset(self) -> None:
        """Start over, because this replica continues as another incarnation."""
        self._nonce = self._target = None
        self._state.is_caught_up = False

    def due_us(self) -> int:
        """Return the time at which `tick` must be called, in µs; NEVER_US if not at all."""
        state = self._state
        needs_index = not state.is_caught_up or state.is_epoch_uncertain
        if not needs_index or state.leader_id is None or state.leader_id == state.replica_id:
            return NEVER_US
        return self._request_at_us

    def tick(self) -> None:
        """Request the index from the leader, unless it is known and only entries are missing."""
        state = self._state
        if state.now_us < self.due_us():
            return
        self._request_at_us = state.now_us + RETRY_HEARTBEATS * state.timing.heartbeat_us
        target = self._target
        if not state.is_epoch_uncertain and target is not None and target.epoch == state.promised_epoch:
            return
        self._nonce = state.rng.getrandbits(64)
        assert state.leader_id is not None
        state.send(state.leader_id, ReadIndexRequest(state.incarnation, self._nonce))

    def on_request(self, peer: int, message: ReadIndexRequest) -> None:
        """Store a peer's request, which `advance` answers. Ignored unless this replica leads."""
        if self._leader.is_leading:
            self._pending_reads[peer] = _PendingRead(message.nonce, self._leader.heartbeat_round + 1)
            self.advance()

    def advance(self) -> None:
        """Answer the requests that a majority has confirmed, and update whether this replica is caught up."""
        state = self._state
        if self._leader.has_committed_in_term:
            state.is_caught_up = True
            if self._pending_reads:
                self._answer_confirmed()
        elif not state.is_caught_up and self._target is not None:
            target = self._target
            is_target_epoch = state.log.epoch == target.epoch == state.promised_epoch
            state.is_caught_up = is_target_epoch and state.applied_index >= target.index

    def _answer_confirmed(self) -> None:
        state = self._state
        confirmed_round = self.confirmed_round()
        for peer, pending in list(self._pending_reads.items()):
            if pending.required_round <= confirmed_round:
                del self._pending_reads[peer]
                response = ReadIndexResponse(state.log.epoch, pending.nonce, state.committed_index)
                state.send(peer, response)

    def confirmed_round(self) -> int:
        """Return the newest heartbeat round that a majority answered."""
        return self._leader.confirmed_round()

    def on_response(self, peer: int, message: ReadIndexResponse) -> None:
        """Store the index that must be applied, and discard a log whose epoch has ended."""
        if message.nonce != self._nonce:
            return
        self._nonce = None
        self._target = _ReadIndex(message.epoch, message.index)
        if self._state.is_epoch_uncertain:
            self._state.is_epoch_uncertain = False
            if message.epoch < self._state.log.epoch:
                self._state.discard_epoch()
        self.advance()
