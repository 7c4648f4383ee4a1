"""The table of claimed request ids in a file that the processes of one address share.

Rules of this module:

1. The file lies in the folder of the rendezvous and is named after the clients' address. It outlives its
   processes, so that a process that is started again knows what the one before it has sent.
2. It never shrinks, as another process may have mapped it. Its space is allocated before it is used: a write
   to a mapped file on a full disk would end the process.
3. A file that nobody has used for `MAX_AGE_S` is cleared.
4. What can't be used (another user's file, a folder that can't be written) is an OSError; the process then
   keeps a table of its own.
"""

from __future__ import annotations

import contextlib
import fcntl
import mmap
import os
import stat
import struct
import time
from collections.abc import Callable
from typing import Final

from laurelstep.engine.request_ids import KEY_BYTES, TABLE_BYTES, RequestIdTable
from laurelstep.hot_restart.rendezvous import shared_name

MAX_AGE_S: Final = 600.0
# Magic number with the version of the format, key, wall-clock time of the last use in s, number of openings.
_HEADER: Final = struct.Struct(f"<8s{KEY_BYTES}sdQ")
_MAGIC: Final = b"LSIDS\x00\x00\x01"
_HEADER_BYTES: Final = mmap.PAGESIZE
_FILE_BYTES: Final = _HEADER_BYTES + TABLE_BYTES
_SUFFIX: Final = ".ids"
_LOCK_ATTEMPTS: Final = 50
_LOCK_PAUSE_S: Final = 0.01
_LAST_USE: Final = struct.Struct("<d")
_LAST_USE_OFFSET: Final = 8 + KEY_BYTES


class SharedRequestIds(RequestIdTable):
    """The shared table. Open it with `open_shared_ids`."""

    def __init__(self, mapped: mmap.mmap, lane: int, key: bytes, wall_s: Callable[[], float]) -> None:
        super().__init__(memoryview(mapped)[_HEADER_BYTES:], lane, key)
        self.mapped = mapped
        self.wall_s = wall_s

    def claim(self, request_id: bytes) -> bool:
        """See `RequestIdTable.claim`."""
        _LAST_USE.pack_into(self.mapped, _LAST_USE_OFFSET, self.wall_s())
        return super().claim(request_id)


def open_shared_ids(
    listen: tuple[str, int], folder: str, wall_s: Callable[[], float] = time.time
) -> SharedRequestIds:
    """Open the table of an address, or create it. OSError if it can't be used. `wall_s`: Unix time, s."""
    path = os.path.join(folder, shared_name(listen) + _SUFFIX)
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW, 0o600)
    try:
        _require_own_file(descriptor)
        _lock(descriptor)
        os.posix_fallocate(descriptor, 0, _FILE_BYTES)
        mapped = mmap.mmap(descriptor, _FILE_BYTES)
        lane, key = _register(mapped, wall_s())
    finally:
        # Not by closing the descriptor alone: the mapping keeps a duplicate of it, and with it the lock.
        fcntl.flock(descriptor, fcntl.LOCK_UN)
        os.close(descriptor)
    return SharedRequestIds(mapped, lane, key, wall_s)


def _lock(descriptor: int) -> None:
    """Lock the file while the header is read and written. BlockingIOError if another process holds it, as one
    that is suspended may do for long.
    """
    for _ in range(_LOCK_ATTEMPTS):
        with contextlib.suppress(BlockingIOError):
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            return
        time.sleep(_LOCK_PAUSE_S)
    raise BlockingIOError("another process holds the file of request ids")


def _require_own_file(descriptor: int) -> None:
    status = os.fstat(descriptor)
    if not stat.S_ISREG(status.st_mode) or status.st_uid != os.geteuid():
        raise PermissionError("the file of request ids belongs to another user")


def _register(mapped: mmap.mmap, now_s: float) -> tuple[int, bytes]:
    """Count this opening, and clear a table that is new or too old. Returns its lane and the key."""
    magic, key, last_use_s, openings = _HEADER.unpack_from(mapped)
    if magic != _MAGIC or not 0.0 <= now_s - last_use_s <= MAX_AGE_S:
        mapped[_HEADER_BYTES:] = bytes(TABLE_BYTES)
        key, openings = os.urandom(KEY_BYTES), 0
    _HEADER.pack_into(mapped, 0, _MAGIC, key, now_s, openings + 1)
    return openings, key
