"""What the links on sockets have in common.

The rules:

1. Only datagrams from listed peers' addresses are handed on, of at most 256 bytes; others are
   dropped and counted.
2. Sending never waits. What the network or the kernel does not take is dropped and counted, as
   if it had been lost on the way.
3. The loop gets its turn after a bounded number of datagrams.
4. Where it listens is this process's alone while the link is open.
"""

from __future__ import annotations

import asyncio
import socket
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from typing import Any, Final

from laurelstep.accord.errors import LinkError
from laurelstep.accord.ports import DATAGRAM_MOST

# Datagrams taken before the loop gets its turn: about a millisecond's work.
TURN_MOST: Final = 64

Receive = Callable[[int, bytes], None]


class SocketLink(ABC):
    """A `Link` on one datagram socket. `counters` tells what it did and what it dropped."""

    def __init__(self, loop: asyncio.AbstractEventLoop, peers: Sequence[Any], me: int) -> None:
        self.loop = loop
        self.peers = tuple(peers)
        self.me = me
        # An own datagram that comes back is nobody's.
        self.numbers = {address: n for n, address in enumerate(self.peers) if n != me}
        self.counters = dict.fromkeys(
            ("sent", "sent_bytes", "unsent", "received", "received_bytes", "foreign", "oversize"), 0
        )
        self._socket: socket.socket | None = None
        self._receive: Receive | None = None

    @abstractmethod
    def _bind(self) -> socket.socket:
        """A socket that listens, and does not block. OSError if it can't be."""

    def _sender(self, address: Any) -> Any:
        """The sender's address as `peers` would have it."""
        return address

    def open(self, receive: Receive) -> None:
        """OSError if the address can't be had, EADDRINUSE while another process has it."""
        self._socket = self._bind()
        self._receive = receive
        self.loop.add_reader(self._socket.fileno(), self._readable)

    def send(self, peer: int, data: bytes) -> None:
        if not 0 <= peer < len(self.peers) or peer == self.me:
            raise LinkError(f"no peer has the number {peer}")
        if len(data) > DATAGRAM_MOST:
            raise LinkError(f"a datagram of {len(data)} bytes, at most {DATAGRAM_MOST} are sent")
        if self._socket is None:
            self.counters["unsent"] += 1
            return
        try:
            self._socket.sendto(data, self.peers[peer])
        except OSError:
            # A full buffer, no route, nobody there: to the receiver it is lost.
            self.counters["unsent"] += 1
        else:
            self.counters["sent"] += 1
            self.counters["sent_bytes"] += len(data)

    def _readable(self) -> None:
        for _ in range(TURN_MOST):
            if self._socket is None or self._receive is None:
                return  # what was received has closed it
            try:
                data, address = self._socket.recvfrom(DATAGRAM_MOST + 1)
            except BlockingIOError:
                return
            except OSError:
                # The error of an earlier send, told here: the next call may succeed.
                self.counters["unsent"] += 1
                continue
            self._take(data, address)

    def _take(self, data: bytes, address: Any) -> None:
        assert self._receive is not None
        peer = self.numbers.get(self._sender(address))
        if peer is None:
            self.counters["foreign"] += 1
        elif len(data) > DATAGRAM_MOST:
            self.counters["oversize"] += 1
        else:
            self.counters["received"] += 1
            self.counters["received_bytes"] += len(data)
            self._receive(peer, data)

    def close(self) -> None:
        """May be called again."""
        if self._socket is not None:
            self.loop.remove_reader(self._socket.fileno())
            self._socket.close()
            self._socket = None
        self._receive = None
