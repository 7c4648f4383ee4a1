"""The files of a handover: a lock that says who is alive, and a socket to meet at.

Both are named after the callers' address and lie in `$TMPDIR`, which the two processes share.
The lock is the kernel's: it goes with the process that held it, however that ended. A socket
file may be stale: nobody answers there then."""

from __future__ import annotations

import contextlib
import fcntl
import os
import socket
from collections.abc import Iterator


class Place:
    """OSError where the folder can't be used."""

    def __init__(self, listen: tuple[str, int], folder: str) -> None:
        self.folder = folder
        host = "".join(one if one.isalnum() or one in ".-" else "_" for one in listen[0])
        self.name = f"laurelstep-{host}-{listen[1]}"
        self._inode: int | None = None  # of the socket file, while it is this process's
        self._lock = os.open(self._path(".lock"), os.O_RDWR | os.O_CREAT | os.O_CLOEXEC, 0o600)

    def _path(self, suffix: str) -> str:
        return os.path.join(self.folder, self.name + suffix)

    @contextlib.contextmanager
    def _short(self, suffix: str) -> Iterator[str]:
        """The file's path for a socket, which may have 107 bytes: by the folder's descriptor."""
        folder = os.open(self.folder, os.O_PATH | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            yield f"/proc/self/fd/{folder}/{self.name}{suffix}"
        finally:
            os.close(folder)

    def enter(self) -> bool:
        """Be among those alive here, until this process ends. True if another one is."""
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            others = True
        else:
            others = False
        fcntl.flock(self._lock, fcntl.LOCK_SH)
        return others

    def connect(self, seconds: float) -> socket.socket:
        """To who listens at the socket. OSError if there is nobody, of this user's."""
        one = socket.socket(socket.AF_UNIX)
        try:
            one.settimeout(seconds)
            with self._short(".sock") as path:
                one.connect(path)
            check_user(one)
        except OSError:
            one.close()
            raise
        return one

    def listen(self) -> socket.socket:
        """The socket that a process to come finds; in the place of an older one's."""
        one = socket.socket(socket.AF_UNIX)
        fresh = f".sock.{os.getpid()}"
        try:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(self._path(fresh))
            with self._short(fresh) as path:
                one.bind(path)
            os.chmod(self._path(fresh), 0o600)
            one.listen(8)
            one.setblocking(False)
            self._inode = os.stat(self._path(fresh)).st_ino
            os.rename(self._path(fresh), self._path(".sock"))
        except OSError:
            one.close()
            raise
        return one

    def leave(self) -> None:
        """Take the socket file away, unless it is another process's by now."""
        with contextlib.suppress(OSError):
            if os.stat(self._path(".sock")).st_ino == self._inode:
                os.unlink(self._path(".sock"))
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1


def check_user(one: socket.socket) -> None:
    """PermissionError if at the other end of a Unix socket is somebody else's process."""
    raw = one.getsockopt(socket.SOL_SOCKET, socket.SO_PEERCRED, 12)
    if int.from_bytes(raw[4:8], "little") != os.geteuid():
        raise PermissionError("the other process is another user's")
