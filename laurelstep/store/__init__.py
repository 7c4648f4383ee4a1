"""A small embedded store: an append-only, segmented log of keys and values, with an index in memory.

Writes that were reported as done survive a power loss. Damage is reported, never repaired by guessing.
`log_format`, `manifest`, `index` and `clock` do no I/O; `disk` does; `store` is the interface for users.
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
