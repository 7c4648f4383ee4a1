"""Snapshots: what stands in the place of the oldest entries, and how it travels. Pure.

1. A snapshot is the machine as of an agreed place, the place's term, and the voters as of it.
2. It travels in parts, each sent when the one before has arrived, from one sender at a time.
3. What arrives is used only when it is whole and its checksum holds; until then nothing is given up for it.
"""

from __future__ import annotations

import dataclasses
import zlib

import msgspec

from laurelstep.accord.log import Config
from laurelstep.accord.messages import CHUNK_MOST, Chunk, Seat
from laurelstep.accord.terms import Era

__all__ = ["SNAPSHOT_MOST", "Assembly", "Snapshot"]

# The longest snapshot that is taken in, in bytes: a thousand machines' worth of a roll is far below.
SNAPSHOT_MOST = 1 << 20


class _Body(msgspec.Struct, array_like=True):
    config_index: int
    config_term: int
    members: list[tuple[Seat, int]]
    dump: bytes


_body: msgspec.msgpack.Decoder[_Body] = msgspec.msgpack.Decoder(_Body)


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Rule 1. `raw` holds the voters and the machine."""

    era: Era
    index: int
    term: int
    raw: bytes
    crc: int

    @classmethod
    def of(cls, era: Era, index: int, term: int, config: Config, dump: bytes) -> Snapshot:
        body = _Body(config.index, config.term, sorted(config.members.items()), dump)
        return cls.having(era, index, term, msgspec.msgpack.encode(body))

    @classmethod
    def having(cls, era: Era, index: int, term: int, raw: bytes) -> Snapshot:
        return cls(era, index, term, raw, zlib.crc32(raw))

    def open(self) -> tuple[Config, bytes]:
        """The voters and the machine's dump. Raises msgspec.DecodeError."""
        body = _body.decode(self.raw)
        return Config(body.config_index, body.config_term, dict(body.members)), body.dump

    def part(self, to: int, term: int, offset: int, heartbeats: int) -> Chunk:
        data = self.raw[offset : offset + CHUNK_MOST]
        return Chunk(
            self.era, to, term, self.index, self.term, len(self.raw), self.crc, offset, heartbeats, data
        )


class Assembly:
    """What has arrived of one snapshot."""

    def __init__(self) -> None:
        self._of: tuple[Era, int, int, int, int] | None = None
        self._parts = bytearray()

    def add(self, chunk: Chunk) -> int:
        """How much of it is here after this part."""
        of = (chunk.era, chunk.index, chunk.index_term, chunk.total, chunk.crc)
        if chunk.total > SNAPSHOT_MOST:
            return 0
        if of != self._of:
            self._of = of
            self._parts.clear()
        if chunk.offset == len(self._parts) and len(self._parts) + len(chunk.data) <= chunk.total:
            self._parts += chunk.data
        return len(self._parts)

    def whole(self) -> Snapshot | None:
        """The snapshot, once; None while parts are missing, or where the checksum does not hold."""
        if self._of is None or len(self._parts) < self._of[3]:
            return None
        era, index, term, _, crc = self._of
        raw = bytes(self._parts)
        self._of = None
        self._parts.clear()
        snapshot = Snapshot.having(era, index, term, raw)
        return snapshot if snapshot.crc == crc else None
