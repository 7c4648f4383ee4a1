"""Which replicas have acknowledged a drain, as the leader has heard them. Pure.

A replica that is missing keeps a machine from being reported drained. No time-out stands in for an
acknowledgement.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from laurelstep.maintenance.entries import UNKNOWN_STATE
from laurelstep.maintenance.state import MaintenanceState

# Of one peer, superseded incarnations that are remembered.
MAX_SUPERSEDED: Final = 4


class PeerAcknowledgement(NamedTuple):
    """The incarnation that a peer was heard in last, and the highest drain index that it acknowledged."""

    incarnation: int
    drained_index: int


class DrainAcknowledgements:
    """Up to which index each replica has drained, in the incarnation that was heard last."""

    def __init__(self) -> None:
        self.by_peer: dict[int, PeerAcknowledgement] = {}
        self.incarnations: dict[int, int] = {}  # by peer, as the replicated state has them
        self.superseded: dict[int, list[int]] = {}  # by peer: incarnations that the state had before

    def update(self, state: MaintenanceState) -> None:
        """Take over the current incarnations: messages of a superseded one were long on their way."""
        for peer, incarnation in state.incarnations.items():
            previous = self.incarnations.get(peer)
            if previous == incarnation:
                continue
            superseded = [one for one in self.superseded.get(peer, ()) if one != incarnation]
            if previous is not None:
                superseded.append(previous)
            self.superseded[peer] = superseded[-MAX_SUPERSEDED:]
            self.incarnations[peer] = incarnation
            last = self.by_peer.get(peer)
            if last is not None and last.incarnation in self.superseded[peer]:
                del self.by_peer[peer]

    def reset(self) -> None:
        """Discard what was heard in another term, except from replicas that serve without the state."""
        self.by_peer = {
            peer: last
            for peer, last in self.by_peer.items()
            if last.drained_index <= UNKNOWN_STATE and last.incarnation != self.incarnations.get(peer)
        }

    def record(self, peer: int, incarnation: int, drained_index: int) -> None:
        """An acknowledgement was received. Of one incarnation the highest counts, as messages are
        reordered.
        """
        if incarnation in self.superseded.get(peer, ()):
            return
        last = self.by_peer.get(peer)
        if last is not None and last.incarnation == incarnation:
            drained_index = max(last.drained_index, drained_index)
        self.by_peer[peer] = PeerAcknowledgement(incarnation, drained_index)

    def missing_peers(self, drain_index: int, state: MaintenanceState, peer_count: int) -> list[int]:
        """The replicas that have not acknowledged the drain of this index.

        It counts in the incarnation that the state has: what an earlier one acknowledged binds a process that
        is no more. A later one that was heard serves without the state, and is missing although an
        operator declared the earlier one absent.
        """
        missing = []
        for peer in range(peer_count):
            current = state.incarnations.get(peer, 0)
            heard, drained_index = self.by_peer.get(peer, PeerAcknowledgement(current, UNKNOWN_STATE))
            is_absent = peer in state.absent_peers and heard == current
            has_acknowledged = current != 0 and heard == current and drained_index >= drain_index
            if not is_absent and not has_acknowledged:
                missing.append(peer)
        return missing
