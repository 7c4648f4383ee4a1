"""Lines for the operator, on standard error."""

from __future__ import annotations

import contextlib
import os
import stat
import sys


def log(text: str) -> None:
    """Lines for the operator. Guards the process against a log that nobody reads: with
    `unblock_log` called, what finds no room there is lost and holds nothing up.
    """
    with contextlib.suppress(OSError, ValueError):
        os.write(sys.stderr.fileno(), f"laurelstep: {text}\n".encode())


def unblock_log() -> None:
    """Let no reader of the log hold the process up: see `log`."""
    with contextlib.suppress(OSError, ValueError):
        # Not for a terminal, which the shell behind it shares.
        if stat.S_ISFIFO(os.fstat(sys.stderr.fileno()).st_mode):
            os.set_blocking(sys.stderr.fileno(), False)
