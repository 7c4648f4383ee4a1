"""A small embedded store: an append-only, segmented log of keys and values, with an index in
memory. What is reported as written survives the loss of power; damage is told, never guessed
around. `log`, `manifest` and `index` decide without I/O; `disk` does it; `store` is for use."""

from laurelstep.store.disk import Disk, FolderDisk, StoreError
from laurelstep.store.log import LogError
from laurelstep.store.store import Options, Stats, Store, StoreUnavailableError

__all__ = [
    "Disk",
    "FolderDisk",
    "LogError",
    "Options",
    "Stats",
    "Store",
    "StoreError",
    "StoreUnavailableError",
]
