"""The drain acknowledgements that the leader has received, by replica. Pure.

A machine is not reported drained while an acknowledgement is missing: no time-out replaces one.
"""

from __future__ import annotations

from typing import Final, NamedTuple

from laurelstep.maintenance.entries import UNKNOWN_STATE
from laurelstep.maintenance.state import MaintenanceState

# Limit for the superseded incarnations that are kept for each peer.
MAX_SUPERSEDED: Final = 4


class PeerAcknowledgement(NamedTuple):
    """The incarnation of a peer's last acknowledgement, and the highest drain index it acknowledged in it."""

    incarnation: int
    drained_index: int


class DrainAcknowledgements:
    """The index up to which each replica has drained, in the incarnation of its last acknowledgement."""

    def __init__(self) -> None:
        self.by_peer: dict[int, PeerAcknowledgement] = {}
        self.incarnations: dict[int, int] = {}  # by peer: the current ones of the replicated state
        self.superseded: dict[int, list[int]] = {}  # by peer: earlier ones of the state

    def update(self, state: MaintenanceState) -> None:
        """Copy the current incarnations from the state. Later messages of superseded ones are ignored."""
        for peer, incarnation in state.incarnations.items():
            previous = self.incarnations.get(peer)
            if previous == incarnation:
                continue
            superseded = [old for old in self.superseded.get(peer, ()) if old != incarnation]
            if previous is not None:
                superseded.append(previous)
            self.superseded[peer] = superseded[-MAX_SUPERSEDED:]
            self.incarnations[peer] = incarnation
            last = self.by_peer.get(peer)
            if last is not None and last.incarnation in self.superseded[peer]:
                del self.by_peer[peer]

    def reset(self) -> None:
        """Discard the acknowledgements of another term, except those of replicas that serve without the
        state.
        """
        self.by_peer = {
            peer: last
            for peer, last in self.by_peer.items()
            if last.drained_index <= UNKNOWN_STATE and last.incarnation != self.incarnations.get(peer)
        }

    def record(self, peer: int, incarnation: int, drained_index: int) -> None:
        """Record a received acknowledgement. The highest index of an incarnation counts, since messages may
        be reordered.
        """
        if incarnation in self.superseded.get(peer, ()):
            return
        last = self.by_peer.get(peer)
        if last is not None and last.incarnation == incarnation:
            drained_index = max(last.drained_index, drained_index)
        self.by_peer[peer] = PeerAcknowledgement(incarnation, drained_index)

    def missing_peers(self, drain_index: int, state: MaintenanceState, peer_count: int) -> list[int]:
        """The replicas that have not acknowledged the drain of this index.

        Only an acknowledgement of the current incarnation counts: an earlier one belongs to a process that
        has ended. A replica whose last message came from an incarnation that the state lacks serves without
        the state: it is missing even if an operator declared the earlier incarnation absent.
        """
        missing = []
        for peer in range(peer_count):
            current = state.incarnations.get(peer, 0)
            incarnation, drained_index = self.by_peer.get(peer, PeerAcknowledgement(current, UNKNOWN_STATE))
            is_absent = peer in state.absent_peers and incarnation == current
            has_acknowledged = current != 0 and incarnation == current and drained_index >= drain_index
            if not is_absent and not has_acknowledged:
                missing.append(peer)
        return missing
