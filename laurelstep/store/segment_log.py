"""The segments of a store's log: appending to the active one, starting new ones, and updating the manifest.

If replacing the manifest failed, so that the old or the new one may be in place, no file that either lists is
deleted, and nothing is written to a segment that either seals, until a later manifest is durable.
"""

from __future__ import annotations

import asyncio
import contextlib
import secrets
from collections.abc import Sequence
from dataclasses import replace

from laurelstep.store.disk import Disk
from laurelstep.store.io_thread import IoThread
from laurelstep.store.log_format import SEGMENT_HEADER_BYTES, encode_frame
from laurelstep.store.manifest import Manifest, SegmentEntry, segment_name
from laurelstep.store.recovery import RecoveredStore, UnsureManifestError, create_segment, write_manifest


class SegmentLog:
    """A store's segments. `salts` and `sizes`, in bytes, are by segment number; `tail` is the offset of the
    next frame in the active segment, and all before it is durable.
    """

    def __init__(self, disk: Disk, io: IoThread, recovered: RecoveredStore, preallocated_bytes: int) -> None:
        self.disk = disk
        self.io = io
        self.manifest = recovered.manifest
        self.salts = recovered.salts
        self.sizes = recovered.sizes
        self.tail = recovered.tail
        self.appending = asyncio.Lock()  # no batch is written while the active segment changes
        self._preallocated_bytes = preallocated_bytes
        self._allocated_bytes = recovered.allocated_bytes  # the active segment's length on disk
        self._next_number = recovered.manifest.next_number
        self._replacing_manifest = asyncio.Lock()
        self._unsure_files: list[str] = []  # listed perhaps by an unsure manifest, but not by the current one

    @property
    def active(self) -> int:
        """The number of the segment that is written to."""
        return self.manifest.segments[-1].number

    @property
    def active_salt(self) -> int:
        """The salt of the active segment's frames."""
        return self.salts[self.active]

    @property
    def sealed(self) -> tuple[SegmentEntry, ...]:
        """The segments before the active one."""
        return self.manifest.segments[:-1]

    @property
    def total_bytes(self) -> int:
        """The size of all segments in bytes."""
        return sum(self.sizes.values())

    @property
    def has_frames(self) -> bool:
        """Whether the active segment has any frames."""
        return self.tail > SEGMENT_HEADER_BYTES

    @property
    def is_manifest_unsure(self) -> bool:
        """Whether the manifest on the disk may differ from the current one."""
        return bool(self._unsure_files)

    def allocate_number(self) -> int:
        """Return the number for a new segment; each is returned once."""
        self._next_number += 1
        return self._next_number - 1

    # --- Appending --------------------------------------------------------------------

    async def append(self, frame: bytes, highest_sequence: int, segment_bytes: int) -> OSError | None:
        """Append a frame durably, then a commit frame. Raises OSError if the frame can't be written; returns
        the error if only the commit frame can't: the batch is durable anyway.
        """
        commit_frame = encode_frame(self.active_salt, (), highest_sequence)
        end = self.tail + len(frame) + len(commit_frame)
        zeros_from, zeros_to = self._allocated_bytes, self._allocated_bytes
        if end > self._allocated_bytes:
            zeros_to = max(end, min(end + self._preallocated_bytes, segment_bytes))
        error = await self.io.run(
            self._append, segment_name(self.active), self.tail, frame, commit_frame, zeros_from, zeros_to
        )
        self._allocated_bytes = zeros_to
        self.tail += len(frame)
        self.sizes[self.active] = self.tail
        return error

    def _append(
        self, name: str, offset: int, frame: bytes, commit_frame: bytes, zeros_from: int, zeros_to: int
    ) -> OSError | None:
        """Runs on the thread. The commit frame needs no sync, and the next batch, which shows the same,
        overwrites it: in front of that batch, a lost commit frame would look like damage.
        """
        if zeros_to > zeros_from:
            self.disk.write(name, zeros_from, bytes(zeros_to - zeros_from))
        self.disk.write(name, offset, frame)
        self.disk.sync(name)
        try:
            self.disk.write(name, offset + len(frame), commit_frame)
        except OSError as error:
            return error
        return None

    # --- Changing the manifest --------------------------------------------------------

    async def roll(self) -> None:
        """Seal the active segment at its durable length and start a new one. Raises OSError if the disk
        fails. The caller holds `appending`.
        """
        async with self._replacing_manifest:
            number, salt = self.allocate_number(), secrets.randbits(32)
            manifest = self.manifest.with_new_segment(self.tail, number)
            sealed = segment_name(self.active)
            await self.io.run(self._create_and_switch, manifest, number, salt)
            self.manifest = manifest
            self.salts[number] = salt
            with contextlib.suppress(OSError):  # only saves space: the manifest has its length
                await self.io.run(self.disk.truncate, sealed, self.tail)
            self.tail = self._allocated_bytes = self.sizes[number] = SEGMENT_HEADER_BYTES
            await self._delete_unsure_files()

    def _create_and_switch(self, manifest: Manifest, number: int, salt: int) -> None:
        """Runs on the thread. After a failure no new file is left that no manifest can list."""
        name = segment_name(number)
        try:
            create_segment(self.disk, number, salt)
            write_manifest(self.disk, manifest)
        except UnsureManifestError:
            self._unsure_files.append(name)
            raise
        except OSError:
            with contextlib.suppress(OSError):
                self.disk.delete(name)
            raise

    async def rewrite_manifest(self) -> None:
        """Make the current manifest durable after an unsure one, before more changes depend on it."""
        async with self._replacing_manifest:
            manifest = replace(self.manifest, generation=self.manifest.generation + 1)
            await self.io.run(write_manifest, self.disk, manifest)
            self.manifest = manifest
            await self._delete_unsure_files()

    async def replace(self, old: Sequence[SegmentEntry], new: Sequence[SegmentEntry]) -> None:
        """Replace the log's beginning with compacted segments. Raises OSError if the disk fails."""
        async with self._replacing_manifest:
            manifest = self.manifest.with_compacted(old, new, self._next_number)
            await self.io.run(write_manifest, self.disk, manifest)
            self.manifest = manifest

    async def delete(self, segment: SegmentEntry) -> None:
        """Delete a segment that no manifest lists any more."""
        self.sizes.pop(segment.number, None)
        self.salts.pop(segment.number, None)
        with contextlib.suppress(OSError):
            await self.io.run(self.disk.delete, segment_name(segment.number))

    def mark_unsure(self, number: int) -> None:
        """Keep a new segment, which an unsure manifest may list, until a later manifest is durable."""
        self.salts.pop(number, None)
        self._unsure_files.append(segment_name(number))

    async def _delete_unsure_files(self) -> None:
        """Delete the files kept for an unsure manifest. The current one is durable and lists none of them."""
        names, self._unsure_files = self._unsure_files, []
        for name in names:
            with contextlib.suppress(OSError):
                await self.io.run(self.disk.delete, name)
