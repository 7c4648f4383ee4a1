"""Several subsystems of one process on one node: each gets its own leader messages, and all hear of changes.
Pure.

1. A leader message's first byte names its subsystem, as an entry's does its state machine
   (`laurelstep.consensus.state_machines`). A message for no subsystem here is counted and dropped.
2. Each subsystem is notified of each change, in the order in which they joined.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final, Protocol

__all__ = ["ConsensusChannel", "ConsensusClient", "ConsensusMultiplexer", "ProposalClient"]


class ProposalClient(Protocol):
    """Consensus as a subsystem needs it that only proposes entries."""

    # Called on the leader with each leader message: peer, incarnation, data.
    on_leader_message: Callable[[int, int, bytes], None]
    # Called after entries were applied, and when another one of the properties below changed with them.
    on_change: Callable[[], None]

    @property
    def epoch(self) -> object:
        """The bootstrap that the replicated log comes from."""

    @property
    def is_leader(self) -> bool:
        """Whether this process leads."""

    @property
    def leader_id(self) -> int | None:
        """The number of the process that leads, as far as known."""

    @property
    def is_caught_up(self) -> bool:
        """Whether all that was committed before this process started is applied here."""

    @property
    def has_leader_contact(self) -> bool:
        """Whether a leader that a majority follows was heard from lately."""

    def propose(self, data: bytes) -> None:
        """Append an entry, as the leader. Raises NotLeaderError, BusyError."""

    def send_to_leader(self, data: bytes) -> None:
        """Send to whoever leads, also if that is this process; it may be lost. Raises BusyError."""


class ConsensusClient(ProposalClient, Protocol):
    """The same with who is who: a node (`laurelstep.consensus.node`), or a subsystem's channel to it."""

    @property
    def replica_id(self) -> int:
        """The number of this process among its peers."""

    @property
    def peer_count(self) -> int:
        """How many processes the tier has."""

    @property
    def incarnation(self) -> int:
        """The random number of this process's memory; 0 while it takes no part."""

    def status(self) -> dict[str, Any]:
        """Return the state for an operator, in JSON's types."""


def _ignore(*args: Any) -> None:
    """Do nothing, until a subsystem sets its callback."""


class ConsensusChannel:
    """The node as one subsystem sees it: all is the node's, but the callbacks are the subsystem's own."""

    def __init__(self, node: ConsensusClient) -> None:
        self._node: Final = node
        self.on_leader_message: Callable[[int, int, bytes], None] = _ignore
        self.on_change: Callable[[], None] = _ignore

    @property
    def replica_id(self) -> int:
        """The number of this process among its peers."""
        return self._node.replica_id

    @property
    def peer_count(self) -> int:
        """How many processes the tier has."""
        return self._node.peer_count

    @property
    def incarnation(self) -> int:
        """The random number of this process's memory; 0 while it takes no part."""
        return self._node.incarnation

    @property
    def epoch(self) -> object:
        """The bootstrap that the replicated log comes from."""
        return self._node.epoch

    @property
    def is_leader(self) -> bool:
        """Whether this process leads."""
        return self._node.is_leader

    @property
    def leader_id(self) -> int | None:
        """The number of the process that leads, as far as known."""
        return self._node.leader_id

    @property
    def is_caught_up(self) -> bool:
        """Whether all that was committed before this process started is applied here."""
        return self._node.is_caught_up

    @property
    def has_leader_contact(self) -> bool:
        """Whether a leader that a majority follows was heard from lately."""
        return self._node.has_leader_contact

    def propose(self, data: bytes) -> None:
        """Append an entry, as the leader. Raises NotLeaderError, BusyError."""
        self._node.propose(data)

    def send_to_leader(self, data: bytes) -> None:
        """Send to whoever leads; it may be lost. Raises BusyError."""
        self._node.send_to_leader(data)

    def status(self) -> dict[str, Any]:
        """Return the state for an operator, in JSON's types."""
        return self._node.status()


class ConsensusMultiplexer:
    """Hands the node's callbacks on to the subsystems' channels. See the rules."""

    def __init__(self, node: ConsensusClient) -> None:
        """Takes the node's `on_leader_message` and `on_change`."""
        self._node = node
        self._channels: dict[int, ConsensusChannel] = {}
        self.ignored_count = 0
        node.on_leader_message = self._dispatch
        node.on_change = self._notify

    def channel(self, kind: bytes) -> ConsensusChannel:
        """Return the channel of a subsystem's byte; it is made when it is first asked for."""
        return self._channels.setdefault(kind[0], ConsensusChannel(self._node))

    def _dispatch(self, peer: int, incarnation: int, data: bytes) -> None:
        channel = self._channels.get(data[0]) if data else None
        if channel is None:
            self.ignored_count += 1
        else:
            channel.on_leader_message(peer, incarnation, data)

    def _notify(self) -> None:
        for channel in tuple(self._channels.values()):
            channel.on_change()
