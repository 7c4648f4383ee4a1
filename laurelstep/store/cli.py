"""`laurelstep store verify|dump|compact|stats PATH`: inspects or compacts a store.

`verify`, `dump` and `stats` never write. `compact` refuses a store that is in use; the others warn,
because the last batch that they read may be incomplete.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from collections.abc import Sequence

from laurelstep.store.disk import FolderDisk, StoreError
from laurelstep.store.log_format import LogError
from laurelstep.store.reader import read_record_at
from laurelstep.store.recovery import RecoveredStore, inspect_folder, read_store
from laurelstep.store.store import Store

PROGRESS_BAR_WIDTH = 30


def print_progress(done: int, total: int) -> None:
    """Draw a progress bar of the segments read, on a terminal only."""
    if sys.stderr.isatty():
        filled = PROGRESS_BAR_WIDTH * done // max(1, total)
        bar = ("#" * filled).ljust(PROGRESS_BAR_WIDTH, ".")
        end = "\n" if done == total else ""
        sys.stderr.write(f"\r[{bar}] {done}/{total} segments{end}")
        sys.stderr.flush()


def is_in_use(disk: FolderDisk) -> bool:
    """Whether another process has the store open."""
    try:
        disk.lock()
    except StoreError:
        return True
    return False


def read_folder(disk: FolderDisk) -> tuple[RecoveredStore, tuple[str, ...]]:
    """Return the store and its leftover files. Raises StoreError if there is no store."""
    contents = inspect_folder(disk)
    if contents.manifest is None:
        raise StoreError(f"{disk.folder}: there is no store")
    return read_store(disk, contents.manifest, print_progress), contents.leftover


def verify(disk: FolderDisk) -> None:
    """Read every record, and print what the next start would clean up. Raises LogError for damage."""
    store, leftover = read_folder(disk)
    for location in store.index.locations.values():
        read_record_at(disk, location)
    print(f"ok: {len(store.index)} keys in {len(store.manifest.segments)} segments")
    if store.torn_bytes:
        print(f"{store.torn_bytes} bytes of a batch that was never reported; the next start cuts them off")
    for name in leftover:
        print(f"{name} is left over; the next start deletes it")


def dump(disk: FolderDisk) -> None:
    """Print a line with a JSON object for each key."""
    store, _ = read_folder(disk)
    for key, location in store.index.locations.items():
        record = read_record_at(disk, location)
        fields = {
            "key": key.decode("utf-8", "backslashreplace"),
            "value": record.value.decode("utf-8", "backslashreplace"),
            "seq": record.sequence,
            "expires_ms": record.expires_ms,
        }
        print(json.dumps(fields))


def stats(disk: FolderDisk) -> None:
    """Print the store's statistics as one JSON object."""
    store, leftover = read_folder(disk)
    usage = store.index.usage.values()
    fields = {
        "keys": len(store.index),
        "records": sum(segment.records for segment in usage),
        "bytes": sum(store.sizes.values()),
        "segments": len(store.manifest.segments),
        "generation": store.manifest.generation,
        "highest_seq": store.index.highest_sequence,
        "torn_bytes": store.torn_bytes,
        "leftover": list(leftover),
    }
    print(json.dumps(fields))


async def compact(path: str) -> None:
    """Compact a store that no process has open. Raises StoreError otherwise."""
    async with await Store.open(FolderDisk(path), progress=print_progress) as store:
        before = store.size
        await store.compact()
        print(f"{before} bytes before, {store.size} after, {len(store)} keys")


def main(arguments: Sequence[str]) -> int:
    """Run one command. Returns the exit status: 0, or 2 after an error, which is printed on one line."""
    parser = argparse.ArgumentParser(prog="laurelstep store", description=__doc__)
    parser.add_argument("what", choices=("verify", "dump", "compact", "stats"))
    parser.add_argument("path", help="the store's folder")
    options = parser.parse_args(arguments)
    try:
        if options.what == "compact":
            asyncio.run(compact(options.path))
            return 0
        disk = FolderDisk(options.path, write=False)
        try:
            if is_in_use(disk):
                sys.stderr.write("laurelstep: the store is in use: its last batch may be incomplete\n")
            {"verify": verify, "dump": dump, "stats": stats}[options.what](disk)
        finally:
            disk.close()
    except (LogError, StoreError, OSError) as error:
        sys.stderr.write(f"laurelstep: {options.path}: {error}\n")
        return 2
    return 0
