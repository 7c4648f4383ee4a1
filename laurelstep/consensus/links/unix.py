"""Unix datagram link between processes on one machine. Peers are absolute paths, and a sender is identified
by the path that its socket is bound to.

A locked file next to the path shows that a live process uses it. The kernel releases the lock when the
process ends in any way. The next process to lock the file removes the socket file that was left behind.
"""

from __future__ import annotations

import asyncio
import contextlib
import errno
import fcntl
import os
import socket
from collections.abc import Sequence
from typing import Final

from laurelstep.consensus.links.sockets import SocketLink

__all__ = ["UnixLink"]

# The lock's descriptor while the link is not open.
NO_LOCK_FD: Final = -1


class UnixLink(SocketLink):
    """A link over a Unix socket. While open, it also holds the lock file next to its path."""

    def __init__(self, loop: asyncio.AbstractEventLoop, peers: Sequence[str], replica_id: int) -> None:
        super().__init__(loop, peers, replica_id)
        self.path = self.peers[replica_id]
        self._lock_fd = NO_LOCK_FD

    def _bind(self) -> socket.socket:
        lock_fd = os.open(self.path + ".lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        try:
            try:
                fcntl.flock(lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                raise OSError(errno.EADDRINUSE, "another process uses the path") from None
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self.path)
            os.fchmod(sock.fileno(), 0o600)  # before the bind, so that the file never has another mode
            sock.bind(self.path)
            sock.setblocking(False)
        except OSError:
            sock.close()
            os.close(lock_fd)
            raise
        self._lock_fd = lock_fd
        return sock

    def close(self) -> None:
        """Stop receiving, and free the path. May be called more than once."""
        if self._lock_fd != NO_LOCK_FD:
            with contextlib.suppress(OSError):
                os.unlink(self.path)
        super().close()
        if self._lock_fd != NO_LOCK_FD:
            os.close(self._lock_fd)
            self._lock_fd = NO_LOCK_FD
