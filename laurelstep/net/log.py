"""The operator's log on standard error."""

from __future__ import annotations

import contextlib
import os
import stat
import sys


def log(text: str) -> None:
    """Write a line to standard error.

    Guards the process against a log pipe that nobody reads: after `unblock_log`, a line that does not fit
    into the pipe is lost instead of blocking the process.
    """
    with contextlib.suppress(OSError, ValueError):
        os.write(sys.stderr.fileno(), f"laurelstep: {text}\n".encode())


def unblock_log() -> None:
    """Make standard error non-blocking if it is a pipe: see `log`."""
    with contextlib.suppress(OSError, ValueError):
        # Not for a terminal: the shell shares the open file, and would become non-blocking, too.
        if stat.S_ISFIFO(os.fstat(sys.stderr.fileno()).st_mode):
            os.set_blocking(sys.stderr.fileno(), False)
