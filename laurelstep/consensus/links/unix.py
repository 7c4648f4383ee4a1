"""Unix datagram sockets between processes of one machine. Peers are absolute paths, and a sender is
recognized by the path that its socket is bound to.

A lock beside the path says which process is alive there: it goes with its process, however that ended, and
the socket file that it left is then removed.
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

NO_LOCK: Final = -1


class UnixLink(SocketLink):
    """A link by Unix sockets, which also owns the lock beside its path."""

    def __init__(self, loop: asyncio.AbstractEventLoop, peers: Sequence[str], replica_id: int) -> None:
        super().__init__(loop, peers, replica_id)
        self.path = self.peers[replica_id]
        self._lock = NO_LOCK

    def _bind(self) -> socket.socket:
        lock = os.open(self.path + ".lock", os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)
        bound = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        try:
            try:
                fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
            except BlockingIOError:
                raise OSError(errno.EADDRINUSE, "another process has the path") from None
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self.path)
            os.fchmod(bound.fileno(), 0o600)  # before the bind: the file has this mode from the first
            bound.bind(self.path)
            bound.setblocking(False)
        except OSError:
            bound.close()
            os.close(lock)
            raise
        self._lock = lock
        return bound

    def close(self) -> None:
        """Stop receiving, and free the path. May be called again."""
        if self._lock != NO_LOCK:
            with contextlib.suppress(OSError):
                os.unlink(self.path)
        super().close()
        if self._lock != NO_LOCK:
            os.close(self._lock)
            self._lock = NO_LOCK
