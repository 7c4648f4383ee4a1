"""What the arrays of a large outbox leave behind as they grow goes back to the system.

glibc raises the size from which a block has pages of its own as large blocks are freed, up to 32 MiB; growing
arrays then leave holes in its heap, half as large again as all that is kept. A size that is set stays.
"""

from __future__ import annotations

import contextlib
import ctypes
from typing import Final

_M_MMAP_THRESHOLD: Final = -3
_OWN_PAGES_BYTES: Final = 128 * 1024  # as glibc begins


def fix_mmap_threshold() -> None:
    """Of this process; nothing where the C library knows no such thing."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, _OWN_PAGES_BYTES)
