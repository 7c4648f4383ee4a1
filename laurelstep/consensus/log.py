"""The replicated log of one epoch, as one replica holds it. Pure.

1. Indexes are numbered from 1 and continue through all epochs that grew from each other. The log holds the
   entries from `base_index` + 1 to `last_index`; a snapshot stands for those before.
2. Entries of equal epoch, index and term are equal, and so are all before them (Raft, figure 3, Log
   Matching).
3. The voters are those of the newest configuration in the log, committed or not (dissertation 4.1).
   Truncation brings the one before back.
4. A configuration names for each voter the incarnation that votes.
5. Logs are compared by epoch, then the term of the last entry, then its index: the greatest of a majority
   holds all that a majority has committed.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from laurelstep.consensus.epoch import NO_EPOCH, ClusterEpoch
from laurelstep.consensus.messages import MAX_BATCH_BYTES, EntryKind, LogEntry, VoterId, max_encoded_bytes

__all__ = ["ClusterConfig", "LogPosition", "ReplicatedLog", "decode_members", "encode_members"]


class LogPosition(NamedTuple):
    """How up to date a log is (rule 5)."""

    epoch: ClusterEpoch
    last_term: int
    last_index: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterConfig:
    """The members that vote, as voter to incarnation, and the entry that made them so."""

    index: int
    term: int
    members: Mapping[int, int]


_members_decoder: msgspec.msgpack.Decoder[list[tuple[int, int]]] = msgspec.msgpack.Decoder(
    list[tuple[VoterId, int]]
)


def encode_members(members: Mapping[int, int]) -> bytes:
    """Encode a configuration entry's data."""
    return msgspec.msgpack.encode(sorted(members.items()))


def decode_members(raw: bytes) -> dict[int, int] | None:
    """Decode a configuration entry's data; None where it can't be read."""
    try:
        return dict(_members_decoder.decode(raw))
    except msgspec.DecodeError:
        return None


class ReplicatedLog:
    """The entries after a base, and the configurations that they make."""

    def __init__(
        self,
        epoch: ClusterEpoch = NO_EPOCH,
        base_index: int = 0,
        base_term: int = 0,
        config: ClusterConfig | None = None,
    ) -> None:
        """`config` is the one as of `base_index`."""
        self.epoch = epoch
        self.base_index = base_index
        self.base_term = base_term
        self.entries: list[LogEntry] = []
        self._configs = [config or ClusterConfig(0, 0, {})]

    @property
    def last_index(self) -> int:
        """The index of the last entry, or of the base."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or of the base."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def config(self) -> ClusterConfig:
        """The newest configuration (rule 3)."""
        return self._configs[-1]

    @property
    def base_config(self) -> ClusterConfig:
        """The oldest configuration that is still known: the one at `base_index`."""
        return self._configs[0]

    @property
    def position(self) -> LogPosition:
        """How up to date the log is (rule 5)."""
        return LogPosition(self.epoch, self.last_term, self.last_index)

    def config_at(self, index: int) -> ClusterConfig:
        """Return the configuration as of an index, which is not before `base_index`."""
        found = self._configs[0]
        for config in self._configs:
            if config.index <= index:
                found = config
        return found

    def term_at(self, index: int) -> int | None:
        """Return the term of an index; None where the log does not hold it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry(self, index: int) -> LogEntry:
        """Return the entry at an index that the log holds."""
        return self.entries[index - self.base_index - 1]

    def append(self, entry: LogEntry) -> int:
        """Append an entry and return its index."""
        self.entries.append(entry)
        if entry.kind == EntryKind.CONFIG:
            members = decode_members(entry.data)
            if members is not None:
                self._configs.append(ClusterConfig(self.last_index, entry.term, members))
        return self.last_index

    def truncate_after(self, index: int) -> None:
        """Remove all entries after an index."""
        del self.entries[index - self.base_index :]
        while self._configs[-1].index > index:
            self._configs.pop()

    def compact_to(self, index: int) -> None:
        """Remove all entries up to an index, which a snapshot stands for. No effect where it is not held."""
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        base_config = self.config_at(index)
        del self.entries[: index - self.base_index]
        self.base_index, self.base_term = index, term
        newer = (config for config in self._configs if config.index > base_config.index)
        self._configs = [base_config, *newer]

    def batch(self, first: int, last: int) -> list[LogEntry]:
        """Return the entries from `first`, up to `last`, that fit in one message."""
        remaining_bytes = MAX_BATCH_BYTES
        batch: list[LogEntry] = []
        for entry in self.entries[first - self.base_index - 1 : last - self.base_index]:
            remaining_bytes -= max_encoded_bytes(entry)
            if remaining_bytes < 0:
                break
            batch.append(entry)
        return batch
