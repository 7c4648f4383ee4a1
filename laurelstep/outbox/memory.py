"""Makes glibc return to the system the memory that a large outbox's arrays free as they grow.

As large blocks are freed, glibc raises the size from which a block gets its own memory mapping, up to 32 MiB.
Growing arrays then leave holes in its heap, half as large again as all the data that is kept. A threshold
that has been set explicitly stays fixed.
"""

from __future__ import annotations

import contextlib
import ctypes
from typing import Final

_M_MMAP_THRESHOLD: Final = -3
_MMAP_THRESHOLD_BYTES: Final = 128 * 1024  # glibc's initial threshold


def fix_mmap_threshold() -> None:
    """Fix the threshold for this process. Does nothing where the C library has no `mallopt`."""
    with contextlib.suppress(OSError, AttributeError):
        ctypes.CDLL(None).mallopt(_M_MMAP_THRESHOLD, _MMAP_THRESHOLD_BYTES)
