"""`laurelstep store verify|dump|compact|stats PATH`: a store, looked at from outside.

`verify`, `dump` and `stats` never write. A store that is in use is not touched by `compact`;
the others say so, as what they see may be half a batch."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from collections.abc import Sequence

from laurelstep.store.disk import FolderDisk, StoreError
from laurelstep.store.log import LogError
from laurelstep.store.recovery import Opened, look, read_all, record_at
from laurelstep.store.store import Store

BAR = 30


def bar(done: int, whole: int) -> None:
    """Progress, on a terminal only."""
    if sys.stderr.isatty():
        filled = BAR * done // max(1, whole)
        end = "\n" if done == whole else ""
        sys.stderr.write(f"\r[{'#' * filled}{'.' * (BAR - filled)}] {done}/{whole} segments{end}")
        sys.stderr.flush()


def in_use(disk: FolderDisk) -> bool:
    try:
        disk.lock()
    except StoreError:
        return True
    return False


def read(disk: FolderDisk) -> tuple[Opened, tuple[str, ...]]:
    """All of it, with what is left over; `StoreError` if there is no store."""
    found = look(disk)
    if found.manifest is None:
        raise StoreError(f"{disk.folder}: there is no store")
    return read_all(disk, found.manifest, bar), found.leftover


def verify(disk: FolderDisk) -> None:
    opened, leftover = read(disk)
    for where in opened.index.where.values():
        record_at(disk, where)
    print(f"ok: {len(opened.index)} keys in {len(opened.manifest.segments)} segments")
    if opened.torn:
        print(f"{opened.torn} bytes of a batch that was never reported; the next start cuts them off")
    for name in leftover:
        print(f"{name} is left over; the next start deletes it")


def dump(disk: FolderDisk) -> None:
    """One JSON object a line for each key."""
    opened, _ = read(disk)
    for key, where in opened.index.where.items():
        record = record_at(disk, where)
        told = {
            "key": key.decode("utf-8", "backslashreplace"),
            "value": record.value.decode("utf-8", "backslashreplace"),
            "seq": record.seq,
            "expires_ms": record.expires,
        }
        print(json.dumps(told))


def stats(disk: FolderDisk) -> None:
    opened, leftover = read(disk)
    usage = opened.index.usage.values()
    told = {
        "keys": len(opened.index),
        "records": sum(one.records for one in usage),
        "bytes": sum(opened.sizes.values()),
        "segments": len(opened.manifest.segments),
        "generation": opened.manifest.generation,
        "highest_seq": opened.index.highest,
        "torn_bytes": opened.torn,
        "leftover": list(leftover),
    }
    print(json.dumps(told))


async def compact(path: str) -> None:
    async with await Store.open(FolderDisk(path), progress=bar) as store:
        before = store.size
        await store.compact()
        print(f"{before} bytes before, {store.size} after, {len(store)} keys")


def main(arguments: Sequence[str]) -> int:
    """0, or 2 with one line where something is wrong."""
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
            if in_use(disk):
                sys.stderr.write("laurelstep: the store is in use: its last batch may be half there\n")
            {"verify": verify, "dump": dump, "stats": stats}[given.what](disk)
        finally:
            disk.close()
    except (LogError, StoreError, OSError) as error:
        sys.stderr.write(f"laurelstep: {given.path}: {error}\n")
        return 2
    return 0
