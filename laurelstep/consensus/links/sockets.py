"""What the links on sockets have in common.

1. Only datagrams from listed peers' addresses are handed on, of at most 256 bytes; others are dropped and
   counted.
2. Sending never waits. What the network or the kernel does not take is dropped and counted, as if it had been
   lost on the way.
3. The event loop gets its turn after a bounded number of datagrams.
4. The bound address belongs to this process alone while the link is open.
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

# Datagrams received before the event loop gets its turn: about a millisecond's work.
MAX_DATAGRAMS_PER_TURN: Final = 64

ReceiveCallback = Callable[[int, bytes], None]


class SocketLink(ABC):
    """A `Link` on one datagram socket. `counters` has what it did and what it dropped."""

    def __init__(self, loop: asyncio.AbstractEventLoop, peers: Sequence[Any], replica_id: int) -> None:
        self.loop = loop
        self.peers = tuple(peers)
        self.replica_id = replica_id
        # Without this process: a datagram of its own that comes back is no peer's.
        self.peer_by_address = {address: n for n, address in enumerate(self.peers) if n != replica_id}
        self.counters = dict.fromkeys(
            ("sent", "sent_bytes", "unsent", "received", "received_bytes", "foreign", "oversize"), 0
        )
        self._socket: socket.socket | None = None
        self._receive: ReceiveCallback | None = None

    @abstractmethod
    def _bind(self) -> socket.socket:
        """Return a bound, non-blocking socket. Raises OSError."""

    def _normalize(self, address: Any) -> Any:
        """Return a sender's address as it is written in `peers`."""
        return address

    def open(self, receive: ReceiveCallback) -> None:
        """Start receiving. Raises OSError; EADDRINUSE while another process has the address."""
        self._socket = self._bind()
        self._receive = receive
        self.loop.add_reader(self._socket.fileno(), self._on_readable)

    def send(self, peer: int, data: bytes) -> None:
        """Send, or count as lost. Raises LinkError."""
        if not 0 <= peer < len(self.peers) or peer == self.replica_id:
            raise LinkError(f"no peer has the number {peer}")
        if len(data) > MAX_DATAGRAM_BYTES:
            raise LinkError(f"a datagram of {len(data)} bytes, at most {MAX_DATAGRAM_BYTES} are sent")
        if self._socket is None:
            self.counters["unsent"] += 1
            return
        try:
            self._socket.sendto(data, self.peers[peer])
        except OSError:
            # A full buffer, no route, nobody listening: to the receiver it is lost.
            self.counters["unsent"] += 1
        else:
            self.counters["sent"] += 1
            self.counters["sent_bytes"] += len(data)

    def _on_readable(self) -> None:
        for _ in range(MAX_DATAGRAMS_PER_TURN):
            if self._socket is None or self._receive is None:
                return  # a datagram that was handed on has closed the link
            try:
                data, address = self._socket.recvfrom(MAX_DATAGRAM_BYTES + 1)
            except BlockingIOError:
                return
            except OSError:
                # The error of an earlier send, reported here: the next call may succeed.
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
        """Stop receiving. May be called again."""
        if self._socket is not None:
            self.loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None
        self._receive = None
