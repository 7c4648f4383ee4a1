"""The manifest, which lists a store's segments, and the interpretation of a folder's files. No I/O.

The rules:

1. A segment is created and synced before the manifest lists it, and deleted only after a durable manifest no
   longer does. Segments that no manifest lists are left over and may be deleted.
2. A listed segment that is missing was deleted by hand: damage.
3. A folder without a manifest holds no store. If it has segments, that is damage, except for an empty first
   segment, which a crash at the very first start leaves.
"""

from __future__ import annotations

import json
import re
from collections.abc import Iterable
from dataclasses import dataclass, replace

from google_crc32c import value

from laurelstep.store.log_format import FORMAT, SEGMENT_HEADER_BYTES, LogError

MANIFEST = "MANIFEST"
NEW_MANIFEST = "MANIFEST.new"  # renamed to MANIFEST once it is complete
LOCK = "LOCK"
_SEGMENT_NAME = re.compile(r"^(\d{10})\.seg$")


def segment_name(number: int) -> str:
    """Return the file name of a segment."""
    return f"{number:010d}.seg"


def segment_number(name: str) -> int | None:
    """Return the segment number in a file name, or None if it is not that of a segment."""
    match = _SEGMENT_NAME.match(name)
    return int(match[1]) if match else None


@dataclass(frozen=True, slots=True)
class SegmentEntry:
    """A segment in the manifest. `sealed_bytes`: its durable length once it is sealed, None before."""

    number: int
    sealed_bytes: int | None = None


@dataclass(frozen=True, slots=True)
class Manifest:
    """The segments in the log's order. All but the last, the active one, are sealed."""

    generation: int
    segments: tuple[SegmentEntry, ...]
    next_number: int

    def with_new_segment(self, sealed_bytes: int, number: int) -> Manifest:
        """Return a manifest with the active segment sealed at its durable length and a new one after it."""
        *before, last = self.segments
        segments = (*before, replace(last, sealed_bytes=sealed_bytes), SegmentEntry(number))
        return Manifest(self.generation + 1, segments, number + 1)

    def with_compacted(
        self, old: Iterable[SegmentEntry], new: Iterable[SegmentEntry], next_number: int
    ) -> Manifest:
        """Return a manifest with `new` for `old`. Raises ValueError if `old` is not the log's beginning."""
        replaced = tuple(old)
        if self.segments[: len(replaced)] != replaced:
            raise ValueError("the compacted segments are not the log's beginning")
        return Manifest(self.generation + 1, (*new, *self.segments[len(replaced) :]), next_number)


def encode_manifest(manifest: Manifest) -> bytes:
    """Encode the manifest's file: a JSON line and its checksum."""
    fields = {
        "format": FORMAT,
        "generation": manifest.generation,
        "next": manifest.next_number,
        "segments": [[segment.number, segment.sealed_bytes] for segment in manifest.segments],
    }
    line = json.dumps(fields).encode()
    return line + b"\n%08x\n" % value(line)


def decode_manifest(data: bytes) -> Manifest:
    """Decode a manifest's file. Raises LogError if it is damaged or of an unknown format."""
    line, _, crc = data.partition(b"\n")
    if crc != b"%08x\n" % value(line):
        raise LogError("the manifest is damaged")
    fields = json.loads(line)
    if fields.get("format") != FORMAT:
        raise LogError(f"format {fields.get('format')!r} is unknown; this program supports {FORMAT}")
    segments = tuple(SegmentEntry(number, sealed_bytes) for number, sealed_bytes in fields["segments"])
    return Manifest(fields["generation"], segments, fields["next"])


@dataclass(frozen=True, slots=True)
class FolderContents:
    """A folder's content: the manifest, None for a new store, and leftover files that it doesn't list."""

    manifest: Manifest | None
    leftover: tuple[str, ...]


def inspect_files(files: dict[str, int], manifest: bytes | None) -> FolderContents:
    """Interpret a folder by its files' sizes in bytes and its manifest. Raises LogError for damage."""
    numbers = {number: name for name in files if (number := segment_number(name)) is not None}
    if manifest is None:
        if set(numbers) - {1} or files.get(segment_name(1), 0) > SEGMENT_HEADER_BYTES:
            raise LogError(f"{MANIFEST} is missing, but {min(numbers.values())} exists")
        leftover = {name for name in files if name == NEW_MANIFEST or name in numbers.values()}
        return FolderContents(None, tuple(sorted(leftover)))
    decoded = decode_manifest(manifest)
    for segment in decoded.segments:
        if segment.number not in numbers:
            raise LogError(f"{segment_name(segment.number)} is missing")
    listed = {segment_name(segment.number) for segment in decoded.segments}
    leftover = set(numbers.values()) - listed
    if NEW_MANIFEST in files:
        leftover.add(NEW_MANIFEST)
    return FolderContents(decoded, tuple(sorted(leftover)))
