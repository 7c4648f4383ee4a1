"""A small embedded store: an append-only, segmented log of keys and values, with an index in memory.

What is reported as written survives the loss of power; damage is reported, never guessed around.
`log_format`, `manifest`, `index` and `clock` decide without I/O; `disk` does it; `store` is for use.
"""

from laurelstep.store.availability import StoreUnavailableError
from laurelstep.store.clock import SYSTEM_CLOCKS, StoreClocks
from laurelstep.store.disk import Disk, FolderDisk, StoreError
from laurelstep.store.log_format import LogError
from laurelstep.store.options import StoreOptions, StoreStats
from laurelstep.store.store import Store

__all__ = [
    "SYSTEM_CLOCKS",
    "Disk",
    "FolderDisk",
    "LogError",
    "Store",
    "StoreClocks",
    "StoreError",
    "StoreOptions",
    "StoreStats",
    "StoreUnavailableError",
]
