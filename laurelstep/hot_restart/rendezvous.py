"""The files where predecessor and successor meet: a lock that says who is alive, and a socket.

Both are named after the clients' address and lie in `$TMPDIR`, which the two processes share. The lock is the
kernel's: it goes with the process that held it, however that ended. A socket file may be stale: nobody
answers there then.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import socket
from collections.abc import Iterator
from typing import Final

_LOCK_SUFFIX: Final = ".lock"
_SOCKET_SUFFIX: Final = ".sock"
_BACKLOG: Final = 8
# Of `struct ucred`: process, user and group, each 4 bytes.
_CREDENTIALS_BYTES: Final = 12


class RendezvousPoint:
    """Where the processes that serve at one address find each other. OSError where the folder can't be
    used.
    """

    def __init__(self, listen: tuple[str, int], folder: str) -> None:
        self.folder = folder
        host = "".join(char if char.isalnum() or char in ".-" else "_" for char in listen[0])
        self.name = f"laurelstep-{host}-{listen[1]}"
        self._socket_inode: int | None = None  # of the socket file, while it is this process's
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        self._lock = os.open(self._path(_LOCK_SUFFIX), flags, 0o600)

    def _path(self, suffix: str) -> str:
        return os.path.join(self.folder, self.name + suffix)

    @contextlib.contextmanager
    def _short_path(self, suffix: str) -> Iterator[str]:
        """The file's path for a socket, which may have 107 bytes: by the folder's descriptor."""
        folder = os.open(self.folder, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            yield f"/proc/self/fd/{folder}/{self.name}{suffix}"
        finally:
            os.close(folder)

    def register(self) -> bool:
        """Be among the processes alive here, until this one ends. Whether another one is."""
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            has_others = True
        else:
            has_others = False
        fcntl.flock(self._lock, fcntl.LOCK_SH)
        return has_others

    def connect(self, timeout_s: float) -> socket.socket:
        """A connection to who listens here. OSError if there is nobody, of this user's."""
        connection = socket.socket(socket.AF_UNIX)
        try:
            connection.settimeout(timeout_s)
            with self._short_path(_SOCKET_SUFFIX) as path:
                connection.connect(path)
            require_same_user(connection)
        except OSError:
            connection.close()
            raise
        return connection

    def listen(self) -> socket.socket:
        """The socket that a successor finds; in the place of an older one's. OSError."""
        listener = socket.socket(socket.AF_UNIX)
        fresh = f"{_SOCKET_SUFFIX}.{os.getpid()}"
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self._path(fresh))
            with self._short_path(fresh) as path:
                listener.bind(path)
            os.chmod(self._path(fresh), 0o600)
            listener.listen(_BACKLOG)
            listener.setblocking(False)
            self._socket_inode = os.stat(self._path(fresh)).st_ino
            os.rename(self._path(fresh), self._path(_SOCKET_SUFFIX))
        except OSError:
            listener.close()
            raise
        return listener

    def leave(self) -> None:
        """Remove the socket file, unless it is another process's by now, and give up the lock."""
        with contextlib.suppress(OSError):
            if os.stat(self._path(_SOCKET_SUFFIX)).st_ino == self._socket_inode:
                os.unlink(self._path(_SOCKET_SUFFIX))
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1


def require_same_user(connection: socket.socket) -> None:
    """PermissionError if at the other end of a Unix socket is another user's process."""
    credentials = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS_BYTES)
    if int.from_bytes(credentials[4:8], "little") != os.geteuid():
        raise PermissionError("the other process is another user's")
