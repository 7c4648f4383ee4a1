"""Which segments make the store, and what a folder's files mean. No I/O.

The rules:

1. A segment exists, synced, before the manifest names it, and is deleted only after a durable
   manifest no longer does. What no manifest names is left over and may go.
2. A segment that it names and that is not there was deleted by hand: damage.
3. Without a manifest there is no store, unless files of one are there: then it is damage. Only
   an empty first segment is what a crash at the very first start leaves.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass, replace

from google_crc32c import value

from laurelstep.store.log import FORMAT, SEGMENT_SIZE, LogError

MANIFEST, ASIDE, LOCK = "MANIFEST", "MANIFEST.new", "LOCK"
_SEGMENT = re.compile(r"^(\d{10})\.seg$")


def segment_name(number: int) -> str:
    return f"{number:010d}.seg"


def segment_number(name: str) -> int | None:
    found = _SEGMENT.match(name)
    return int(found[1]) if found else None


@dataclass(frozen=True, slots=True)
class Segment:
    """A segment as the manifest names it; `sealed` is its durable length once it is closed."""

    number: int
    sealed: int | None = None


@dataclass(frozen=True, slots=True)
class Manifest:
    """The segments in the log's order: all but the last are sealed."""

    generation: int
    segments: tuple[Segment, ...]
    next_number: int

    def with_new(self, sealed_length: int, number: int) -> Manifest:
        """The last one sealed at its durable length, and a new one behind it."""
        *before, last = self.segments
        segments = (*before, replace(last, sealed=sealed_length), Segment(number))
        return Manifest(self.generation + 1, segments, number + 1)

    def compacted(self, old: Iterable[Segment], new: Iterable[Segment], next_number: int) -> Manifest:
        """The new segments in the place of the old ones, which are the log's beginning."""
        gone = tuple(old)
        if self.segments[: len(gone)] != gone:
            raise ValueError("what is compacted is not the log's beginning")
        return Manifest(self.generation + 1, (*new, *self.segments[len(gone) :]), next_number)


def encode_manifest(manifest: Manifest) -> bytes:
    told = {
        "format": FORMAT,
        "generation": manifest.generation,
        "next": manifest.next_number,
        "segments": [[one.number, one.sealed] for one in manifest.segments],
    }
    line = json.dumps(told).encode()
    return line + b"\n%08x\n" % value(line)


def decode_manifest(data: bytes) -> Manifest:
    """`LogError` for one that is damaged, or of a format that is not known."""
    line, _, crc = data.partition(b"\n")
    if crc != b"%08x\n" % value(line):
        raise LogError("the manifest is damaged")
    told = json.loads(line)
    if told.get("format") != FORMAT:
        raise LogError(f"format {told.get('format')!r} is unknown; this program knows {FORMAT}")
    segments = tuple(Segment(number, sealed) for number, sealed in told["segments"])
    return Manifest(told["generation"], segments, told["next"])


@dataclass(frozen=True, slots=True)
class Found:
    """What a folder holds: the store's manifest, None for a new store, and what is left over."""

    manifest: Manifest | None
    leftover: tuple[str, ...]


def judge(files: dict[str, int], manifest: bytes | None) -> Found:
    """From the folder's files with their sizes; `LogError` for damage."""
    numbers = {number: name for name in files if (number := segment_number(name)) is not None}
    if manifest is None:
        if set(numbers) - {1} or files.get(segment_name(1), 0) > SEGMENT_SIZE:
            raise LogError(f"{MANIFEST} is missing, and {min(numbers.values())} is there")
        return Found(None, tuple(name for name in files if name == ASIDE or name in numbers.values()))
    read = decode_manifest(manifest)
    for one in read.segments:
        if one.number not in numbers:
            raise LogError(f"{segment_name(one.number)} is missing")
    named = {segment_name(one.number) for one in read.segments}
    leftover = {name for name in numbers.values() if name not in named}
    if ASIDE in files:
        leftover.add(ASIDE)
    return Found(read, tuple(sorted(leftover)))
