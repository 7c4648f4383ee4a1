"""The files by which predecessor and successor find each other: a lock held while alive, and a socket.

Both are named after the clients' address and lie in `$TMPDIR`, which the two processes share. The kernel
releases the lock when its process ends, however that happens. A socket file may be stale: connecting to it
then fails.
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
# Size of `struct ucred`: process, user and group, 4 bytes each.
_CREDENTIALS_BYTES: Final = 12


def shared_name(listen: tuple[str, int]) -> str:
    """The name, without a suffix, of the files that the processes of one address share."""
    host = "".join(char if char.isalnum() or char in ".-" else "_" for char in listen[0])
    return f"laurelstep-{host}-{listen[1]}"


class RendezvousPoint:
    """Where the processes that serve at one address find each other. Raises OSError if the folder
    can't be used.
    """

    def __init__(self, listen: tuple[str, int], folder: str) -> None:
        self.folder = folder
        self.name = shared_name(listen)
        self._socket_inode: int | None = None  # of the socket file that this process created
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC
        self._lock = os.open(self._path(_LOCK_SUFFIX), flags, 0o600)

    def _path(self, suffix: str) -> str:
        return os.path.join(self.folder, self.name + suffix)

    @contextlib.contextmanager
    def _short_path(self, suffix: str) -> Iterator[str]:
        """Yield the file's path by the folder's descriptor: a socket's path has at most 107 bytes."""
        folder = os.open(self.folder, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            yield f"/proc/self/fd/{folder}/{self.name}{suffix}"
        finally:
            os.close(folder)

    def register(self) -> bool:
        """Register this process until it ends; return whether another one is registered."""
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            has_others = True
        else:
            has_others = False
        fcntl.flock(self._lock, fcntl.LOCK_SH)
        return has_others

    def connect(self, timeout_s: float) -> socket.socket:
        """Connect to the process that listens here. OSError if there is none, or it is another user's."""
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
        """Return a listening socket for successors; its file replaces an older one. Raises OSError."""
        listener = socket.socket(socket.AF_UNIX)
        temporary = f"{_SOCKET_SUFFIX}.{os.getpid()}"
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self._path(temporary))
            with self._short_path(temporary) as path:
                listener.bind(path)
            os.chmod(self._path(temporary), 0o600)
            listener.listen(_BACKLOG)
            listener.setblocking(False)
            self._socket_inode = os.stat(self._path(temporary)).st_ino
            os.rename(self._path(temporary), self._path(_SOCKET_SUFFIX))
        except OSError:
            listener.close()
            raise
        return listener

    def leave(self) -> None:
        """Remove the socket file, unless another process has replaced it, and release the lock."""
        with contextlib.suppress(OSError):
            if os.stat(self._path(_SOCKET_SUFFIX)).st_ino == self._socket_inode:
                os.unlink(self._path(_SOCKET_SUFFIX))
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1


def require_same_user(connection: socket.socket) -> None:
    """Raise PermissionError if the process at the other end of a Unix socket is another user's."""
    credentials = connection.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, _CREDENTIALS_BYTES)
    if int.from_bytes(credentials[4:8], "little") != os.geteuid():
        raise PermissionError("the other process belongs to another user")
