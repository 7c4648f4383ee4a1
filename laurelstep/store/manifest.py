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

from laurelstep.store.log_format import FORMAT, SEGMENT_HEADER_BYTES, LogError

MANIFEST = "MANIFEST"
NEW_MANIFEST = "MANIFEST.new"  # until it is complete and takes the place of the other
LOCK = "LOCK"
_SEGMENT_NAME = re.compile(r"^(\d{10})\.seg$")


def segment_name(number: int) -> str:
    """The file's name of a segment."""
    return f"{number:010d}.seg"


def segment_number(name: str) -> int | None:
    """The number of the segment that a file's name stands for; None if it is no segment's."""
    found = _SEGMENT_NAME.match(name)
    return int(found[1]) if found else None


@dataclass(frozen=True, slots=True)
class SegmentEntry:
    """A segment as the manifest names it; `sealed_bytes` is its durable length once it is closed."""

    number: int
    sealed_bytes: int | None = None


@dataclass(frozen=True, slots=True)
class Manifest:
    """The segments in the log's order: all but the last, the active one, are sealed."""

    generation: int
    segments: tuple[SegmentEntry, ...]
    next_number: int

    def with_new_segment(self, sealed_bytes: int, number: int) -> Manifest:
        """With the active segment sealed at its durable length, and a new one after it."""
        *before, last = self.segments
        segments = (*before, replace(last, sealed_bytes=sealed_bytes), SegmentEntry(number))
        return Manifest(self.generation + 1, segments, number + 1)

    def with_compacted(
        self, old: Iterable[SegmentEntry], new: Iterable[SegmentEntry], next_number: int
    ) -> Manifest:
        """With the new segments in place of the old ones. ValueError if those are not the log's beginning."""
        replaced = tuple(old)
        if self.segments[: len(replaced)] != replaced:
            raise ValueError("what is compacted is not the log's beginning")
        return Manifest(self.generation + 1, (*new, *self.segments[len(replaced) :]), next_number)


def encode_manifest(manifest: Manifest) -> bytes:
    """The manifest's file: a JSON line and its checksum."""
    fields = {
        "format": FORMAT,
        "generation": manifest.generation,
        "next": manifest.next_number,
        "segments": [[segment.number, segment.sealed_bytes] for segment in manifest.segments],
    }
    line = json.dumps(fields).encode()
    return line + b"\n%08x\n" % value(line)


def decode_manifest(data: bytes) -> Manifest:
    """Read a manifest's file. `LogError` if it is damaged, or of an unknown format."""
    line, _, crc = data.partition(b"\n")
    if crc != b"%08x\n" % value(line):
        raise LogError("the manifest is damaged")
    fields = json.loads(line)
    if fields.get("format") != FORMAT:
        raise LogError(f"format {fields.get('format')!r} is unknown; this program knows {FORMAT}")
    segments = tuple(SegmentEntry(number, sealed_bytes) for number, sealed_bytes in fields["segments"])
    return Manifest(fields["generation"], segments, fields["next"])


@dataclass(frozen=True, slots=True)
class FolderContents:
    """What a folder holds: the store's manifest, None for a new store, and files that nothing names."""

    manifest: Manifest | None
    leftover: tuple[str, ...]


def inspect_files(files: dict[str, int], manifest: bytes | None) -> FolderContents:
    """Judge a folder by its files, with their sizes in bytes, and its manifest. `LogError` for damage."""
    numbers = {number: name for name in files if (number := segment_number(name)) is not None}
    if manifest is None:
        if set(numbers) - {1} or files.get(segment_name(1), 0) > SEGMENT_HEADER_BYTES:
            raise LogError(f"{MANIFEST} is missing, and {min(numbers.values())} is there")
        leftover = {name for name in files if name == NEW_MANIFEST or name in numbers.values()}
        return FolderContents(None, tuple(sorted(leftover)))
    decoded = decode_manifest(manifest)
    for segment in decoded.segments:
        if segment.number not in numbers:
            raise LogError(f"{segment_name(segment.number)} is missing")
    named = {segment_name(segment.number) for segment in decoded.segments}
    leftover = set(numbers.values()) - named
    if NEW_MANIFEST in files:
        leftover.add(NEW_MANIFEST)
    return FolderContents(decoded, tuple(sorted(leftover)))
