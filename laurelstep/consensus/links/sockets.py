"""Base class of the links on datagram sockets.

1. Only datagrams of at most 256 bytes from configured peer addresses are delivered. Others are dropped and
   counted.
2. Sending never blocks. A datagram that the kernel or the network rejects is dropped and counted, as if it
   had been lost in transit.
3. The number of datagrams handled in one iteration of the event loop is bounded.
4. While the link is open, its bound address belongs to this process alone.
"""

from __future__ import annotations

import asyncio
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import Any, Final

from laurelstep.consensus.errors import LinkError
from laurelstep.consensus.ports import MAX_DATAGRAM_BYTES

__all__ = ["MAX_DATAGRAMS_PER_TURN", "ReceiveCallback", "SocketLink"]

# Datagrams received in one iteration of the event loop: about a millisecond of work.
MAX_DATAGRAMS_PER_TURN: Final = 64

ReceiveCallback = Callable[[int, bytes], None]


class SocketLink(ABC):
    """A `Link` on one datagram socket. `counters` counts sent, received and dropped datagrams and bytes."""

    def __init__(self, loop: asyncio.AbstractEventLoop, peers: Sequence[Any], replica_id: int) -> None:
        self.loop = loop
        self.peers = tuple(peers)
        self.replica_id = replica_id
        # Excludes this process: a datagram from its own address does not come from a peer.
        self.peer_by_address = {
            address: peer for peer, address in enumerate(self.peers) if peer != replica_id
        }
        self.counters = dict.fromkeys(
            ("sent", "sent_bytes", "unsent", "received", "received_bytes", "foreign", "oversize"), 0
        )
        self._socket: socket.socket | None = None
        self._receive: ReceiveCallback | None = None

    @abstractmethod
    def _bind(self) -> socket.socket:
        """Return a bound, non-blocking socket. Raises OSError, with EADDRINUSE if the address is taken."""

    def _normalize(self, address: Any) -> Any:
        """Return a sender's address in the form used in `peers`."""
        return address

    def open(self, receive: ReceiveCallback) -> None:
        """Start receiving. Raises OSError, with EADDRINUSE while another process holds the address."""
        self._socket = self._bind()
        self._receive = receive
        self.loop.add_reader(self._socket.fileno(), self._on_readable)

    def send(self, peer: int, data: bytes) -> None:
        """Send a datagram, or count it as unsent.

        Raises LinkError if the peer does not exist or the datagram is too long.
        """
        if not 0 <= peer < len(self.peers) or peer == self.replica_id:
            raise LinkError(f"there is no other peer with the number {peer}")
        if len(data) > MAX_DATAGRAM_BYTES:
            raise LinkError(f"a datagram of {len(data)} bytes, the limit is {MAX_DATAGRAM_BYTES}")
        if self._socket is None:
            self.counters["unsent"] += 1
            return
        try:
            self._socket.sendto(data, self.peers[peer])
        except OSError:
            # Full buffer, no route or no listener: the same as a datagram lost in transit.
            self.counters["unsent"] += 1
        else:
            self.counters["sent"] += 1
            self.counters["sent_bytes"] += len(data)

    def _on_readable(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            if self._socket is None or self._receive is None:
                return  # the receiver of the previous datagram has closed the link
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:
                # The kernel reports the error of an earlier send here. The next call may succeed.
                self.counters["unsent"] += 1
                continue
            self._deliver(data, address)

    def _deliver(self, data: bytes, address: Any) -> None:
        assert self._receive is not None
        peer = self.peer_by_address.get(self._normalize(address))
        if peer is None:
            self.counters["foreign"] += 1
        elif len(data) > MAX_DATAGRAM_BYTES:
            self.counters["oversize"] += 1
        else:
            self.counters["received"] += 1
            self.counters["received_bytes"] += len(data)
            self._receive(peer, data)

    def close(self) -> None:
        """Stop receiving. May be called more than once."""
        if self._socket is not None:
            self.loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None
        self._receive = None
