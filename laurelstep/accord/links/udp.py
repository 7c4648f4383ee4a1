"""UDP, as the protocol page has it between sidecars: datagrams to an address of `peers`, which
arrive at `peer_listen` from the sender's address in `peers`."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Sequence

from laurelstep.accord.links.sockets import SocketLink

Address = tuple[str, int]


class UdpLink(SocketLink):
    """`listen` and `peers` are IP addresses with ports, all of one kind."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, listen: Address, peers: Sequence[Address], me: int
    ) -> None:
        super().__init__(loop, peers, me)
        self.listen = listen

    def _bind(self) -> socket.socket:
        one = socket.socket(socket.AF_INET6 if ":" in self.listen[0] else socket.AF_INET, socket.SOCK_DGRAM)
        try:
            # Without SO_REUSEADDR and SO_REUSEPORT: a second process must not get a part of it.
            one.bind(self.listen)
            one.setblocking(False)
        except OSError:
            one.close()
            raise
        return one

    def _sender(self, address: tuple[str, int, int, int] | Address) -> Address:
        return address[0], address[1]
