"""UDP link between sidecars. Datagrams are sent to the receiver's address in `peers`, and must arrive at
`peer_listen` from the sender's address in `peers`.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence

from laurelstep.consensus.links.sockets import SocketLink

__all__ = ["UdpAddress", "UdpLink"]

UdpAddress = tuple[str, int]


class UdpLink(SocketLink):
    """A link over UDP. `listen` and `peers` are IP addresses with ports, all of one family."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        listen: UdpAddress,
        peers: Sequence[UdpAddress],
        replica_id: int,
    ) -> None:
        super().__init__(loop, peers, replica_id)
        self.listen = listen

    def _bind(self) -> socket.socket:
        family = socket.AF_INET6 if ":" in self.listen[0] else socket.AF_INET
        sock = socket.socket(family, socket.SOCK_DGRAM)
        try:
            # SO_REUSEADDR and SO_REUSEPORT stay off: a second process must not get part of the datagrams.
            sock.bind(self.listen)
            sock.setblocking(False)
        except OSError:
            sock.close()
            raise
        return sock

    def _normalize(self, address: tuple[str, int, int, int] | UdpAddress) -> UdpAddress:
        return address[0], address[1]
