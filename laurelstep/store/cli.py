"""`laurelstep store verify|dump|compact|stats PATH`: a store, looked at from outside.

`verify`, `dump` and `stats` never write. A store that is in use is not touched by `compact`;
the others say so, as what they see may be half a batch.
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
    """Draw how many segments of how many have been read, on a terminal only."""
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


def read(disk: FolderDisk) -> tuple[RecoveredStore, tuple[str, ...]]:
    """The store, and the files that nothing names; `StoreError` if there is no store."""
    contents = inspect_folder(disk)
    if contents.manifest is None:
        raise StoreError(f"{disk.folder}: there is no store")
    return read_store(disk, contents.manifest, print_progress), contents.leftover


def verify(disk: FolderDisk) -> None:
    """Read every record, and print what the next start would clean up. `LogError` for damage."""
    store, leftover = read(disk)
    for location in store.index.locations.values():
        read_record_at(disk, location)
    print(f"ok: {len(store.index)} keys in {len(store.manifest.segments)} segments")
    if store.torn_bytes:
        print(f"{store.torn_bytes} bytes of a batch that was never reported; the next start cuts them off")
    for name in leftover:
        print(f"{name} is left over; the next start deletes it")


def dump(disk: FolderDisk) -> None:
    """Print one JSON object a line for each key."""
    store, _ = read(disk)
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
    """Print the store's figures as one JSON object."""
    store, leftover = read(disk)
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
    """Compact a store that no process has open."""
    async with await Store.open(FolderDisk(path), progress=print_progress) as store:
        before = store.size
        await store.compact()
        print(f"{before} bytes before, {store.size} after, {len(store)} keys")


def main(arguments: Sequence[str]) -> int:
    """Run one command; the exit status is 0, or 2 with one line where something is wrong."""
    parser = argparse.ArgumentParser(prog="laurelstep store", description=__doc__)
    parser.add_argument("what", choices=("verify", "dump", "compact", "stats"))
    parser.add_argument("path", help="the store's folder")
    given = parser.parse_args(arguments)
    try:
        if given.what == "compact":
            asyncio.run(compact(given.path))
            return 0
        disk = FolderDisk(given.path, write=False)
        try:
            if is_in_use(disk):
                sys.stderr.write("laurelstep: the store is in use: its last batch may be half there\n")
            {"verify": verify, "dump": dump, "stats": stats}[given.what](disk)
        finally:
            disk.close()
    except (LogError, StoreError, OSError) as error:
        sys.stderr.write(f"laurelstep: {given.path}: {error}\n")
        return 2
    return 0
