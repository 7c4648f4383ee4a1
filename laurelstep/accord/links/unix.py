"""Unix datagram sockets between processes of one machine. Peers are whole paths, and a sender is
told by the path that its socket is bound to.

A lock beside the path says who is alive there: it goes with its process, however that ended,
and the socket file that it left is then taken away."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import fcntl
import os
import socket
from collections.abc import Sequence

from laurelstep.accord.links.sockets import SocketLink


class UnixLink(SocketLink):
    def __init__(self, loop: asyncio.AbstractEventLoop, peers: Sequence[str], me: int) -> None:
        super().__init__(loop, peers, me)
        self.path = self.peers[me]
        self._lock = -1

    def _bind(self) -> socket.socket:
        lock = os.open(self.path + ".lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        one = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        try:
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                raise OSError(errno.EADDRINUSE, "another process has the path") from None
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self.path)
            os.fchmod(one.fileno(), 0o600)  # before the bind: the file has this mode from the first
            one.bind(self.path)
            one.setblocking(False)
        except OSError:
            one.close()
            os.close(lock)
            raise
        self._lock = lock
        return one

    def close(self) -> None:
        if self._lock >= 0:
            with contextlib.suppress(OSError):
                os.unlink(self.path)
        super().close()
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1
