"""Shares one node among several subsystems of a process: each gets its own leader messages, and all are
notified of changes. No I/O.

1. The first byte of a leader message selects its subsystem, as the first byte of an entry selects its state
   machine (`laurelstep.consensus.state_machines`). A message for an unknown subsystem is counted and dropped.
2. Every subsystem is notified of every change, in the order in which the channels were created.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Final, Protocol

__all__ = ["ConsensusChannel", "ConsensusClient", "ConsensusMultiplexer", "ProposalClient"]


class ProposalClient(Protocol):
    """The interface to consensus for a subsystem that only proposes entries."""

    # Called on the leader with each leader message: peer, incarnation, data.
    on_leader_message: Callable[[int, int, bytes], None]
    # Called after entries were applied, or when this process starts or stops taking part in consensus.
    on_change: Callable[[], None]

    @property
    def epoch(self) -> object:
        """The epoch of the replicated log."""

    @property
    def is_leader(self) -> bool:
        """Whether this process leads."""

    @property
    def leader_id(self) -> int | None:
        """The peer number of the leader, None if unknown."""

    @property
    def is_caught_up(self) -> bool:
        """Whether this process has applied all that was committed before it started."""

    @property
    def has_leader_contact(self) -> bool:
        """Whether a leader that a majority follows was heard from recently."""

    def propose(self, data: bytes) -> None:
        """Append an entry, as the leader. Raises NotLeaderError, BusyError."""

    def send_to_leader(self, data: bytes) -> None:
        """Send a message to the leader, which may be this process. It may be lost. Raises BusyError."""


class ConsensusClient(ProposalClient, Protocol):
    """The complete interface of a node (`laurelstep.consensus.node`), or of a subsystem's channel to it."""

    @property
    def replica_id(self) -> int:
        """The peer number of this process."""

    @property
    def peer_count(self) -> int:
        """The number of processes of the tier."""

    @property
    def incarnation(self) -> int:
        """The incarnation of this process's replica; 0 while this process does not take part."""

    def status(self) -> dict[str, Any]:
        """Return the status for an operator, in JSON types."""


def _ignore(*args: Any) -> None:
    """Do nothing: used until a subsystem sets its callback."""


class ConsensusChannel:
    """A subsystem's access to the node: forwards calls to the node, and has its own callbacks."""

    def __init__(self, node: ConsensusClient) -> None:
        self._node: Final = node
        self.on_leader_message: Callable[[int, int, bytes], None] = _ignore
        self.on_change: Callable[[], None] = _ignore

    @property
    def replica_id(self) -> int:
        """The peer number of this process."""
        return self._node.replica_id

    @property
    def peer_count(self) -> int:
        """The number of processes of the tier."""
        return self._node.peer_count

    @property
    def incarnation(self) -> int:
        """The incarnation of this process's replica; 0 while this process does not take part."""
        return self._node.incarnation

    @property
    def epoch(self) -> object:
        """The epoch of the replicated log."""
        return self._node.epoch

    @property
    def is_leader(self) -> bool:
        """Whether this process leads."""
        return self._node.is_leader

    @property
    def leader_id(self) -> int | None:
        """The peer number of the leader, None if unknown."""
        return self._node.leader_id

    @property
    def is_caught_up(self) -> bool:
        """Whether this process has applied all that was committed before it started."""
        return self._node.is_caught_up

    @property
    def has_leader_contact(self) -> bool:
        """Whether a leader that a majority follows was heard from recently."""
        return self._node.has_leader_contact

    def propose(self, data: bytes) -> None:
        """Append an entry, as the leader. Raises NotLeaderError, BusyError."""
        self._node.propose(data)

    def send_to_leader(self, data: bytes) -> None:
        """Send a message to the leader. It may be lost. Raises BusyError."""
        self._node.send_to_leader(data)

    def status(self) -> dict[str, Any]:
        """Return the status for an operator, in JSON types."""
        return self._node.status()


class ConsensusMultiplexer:
    """Forwards the node's callbacks to the channels of the subsystems. See the rules of the module."""

    def __init__(self, node: ConsensusClient) -> None:
        """Sets `on_leader_message` and `on_change` of the node."""
        self._node = node
        self._channels: dict[int, ConsensusChannel] = {}
        self.ignored_count = 0
        node.on_leader_message = self._dispatch
        node.on_change = self._notify

    def channel(self, subsystem: bytes) -> ConsensusChannel:
        """Return the channel of the subsystem that a byte selects, creating it on first use."""
        return self._channels.setdefault(subsystem[0], ConsensusChannel(self._node))

    def _dispatch(self, peer: int, incarnation: int, data: bytes) -> None:
        channel = self._channels.get(data[0]) if data else None
        if channel is None:
            self.ignored_count += 1
        else:
            channel.on_leader_message(peer, incarnation, data)

    def _notify(self) -> None:
        for channel in tuple(self._channels.values()):
            channel.on_change()
