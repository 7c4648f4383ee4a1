"""One replica's copy of the replicated log of one epoch. No I/O.

1. Indexes start at 1 and continue from an epoch to the epochs bootstrapped from it. The log holds the entries
   from `base_index` + 1 to `last_index`; a snapshot replaces the earlier ones.
2. Entries with equal epoch, index and term are equal, and so are all entries before them (Raft, figure 3, Log
   Matching).
3. The newest configuration in the log is in effect, committed or not (dissertation 4.1). Truncating it
   restores the previous one.
4. A configuration names the voters that are members, and for each the incarnation that may vote.
5. Logs are compared by epoch, then by the term of the last entry, then by its index. The greatest log of any
   majority contains all committed entries.
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
    """A log's position for comparing which of two logs is more up to date (rule 5)."""

    epoch: ClusterEpoch
    last_term: int
    last_index: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClusterConfig:
    """The voting members, as voter id to incarnation, and the index and term of the configuration entry."""

    index: int
    term: int
    members: Mapping[int, int]


_members_decoder: msgspec.msgpack.Decoder[list[tuple[int, int]]] = msgspec.msgpack.Decoder(
    list[tuple[VoterId, int]]
)


def encode_members(members: Mapping[int, int]) -> bytes:
    """Encode the data of a configuration entry."""
    return msgspec.msgpack.encode(sorted(members.items()))


def decode_members(raw: bytes) -> dict[int, int] | None:
    """Decode the data of a configuration entry; None if it is malformed."""
    try:
        return dict(_members_decoder.decode(raw))
    except msgspec.DecodeError:
        return None


class ReplicatedLog:
    """The entries after a base index, and the configurations that they define."""

    def __init__(
        self,
        epoch: ClusterEpoch = NO_EPOCH,
        base_index: int = 0,
        base_term: int = 0,
        config: ClusterConfig | None = None,
    ) -> None:
        """`config` is the configuration in effect at `base_index`; by default it has no members."""
        self.epoch = epoch
        self.base_index = base_index
        self.base_term = base_term
        self.entries: list[LogEntry] = []
        self._configs = [config or ClusterConfig(0, 0, {})]

    @property
    def last_index(self) -> int:
        """The index of the last entry, or `base_index` if there are no entries."""
        return self.base_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """The term of the last entry, or `base_term` if there are no entries."""
        return self.entries[-1].term if self.entries else self.base_term

    @property
    def config(self) -> ClusterConfig:
        """The newest configuration (rule 3)."""
        return self._configs[-1]

    @property
    def base_config(self) -> ClusterConfig:
        """The configuration in effect at `base_index`, the oldest that is still known."""
        return self._configs[0]

    @property
    def position(self) -> LogPosition:
        """The position of the log, for comparison with other logs (rule 5)."""
        return LogPosition(self.epoch, self.last_term, self.last_index)

    def config_at(self, index: int) -> ClusterConfig:
        """Return the configuration in effect at an index that is not before `base_index`."""
        result = self._configs[0]
        for config in self._configs:
            if config.index <= index:
                result = config
        return result

    def term_at(self, index: int) -> int | None:
        """Return the term of the entry at an index, None if the log does not hold it."""
        if index == self.base_index:
            return self.base_term
        if self.base_index < index <= self.last_index:
            return self.entries[index - self.base_index - 1].term
        return None

    def entry(self, index: int) -> LogEntry:
        """Return the entry at an index. The log must hold it."""
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
        """Remove the entries up to an index that a snapshot covers.

        No effect if the log does not hold the index.
        """
        term = self.term_at(index)
        if term is None or index <= self.base_index:
            return
        base_config = self.config_at(index)
        del self.entries[: index - self.base_index]
        self.base_index, self.base_term = index, term
        newer_configs = (config for config in self._configs if config.index > base_config.index)
        self._configs = [base_config, *newer_configs]

    def batch(self, first_index: int, last_index: int) -> list[LogEntry]:
        """Return the entries from `first_index` to at most `last_index` that fit into one message."""
        remaining_bytes = MAX_BATCH_BYTES
        batch: list[LogEntry] = []
        for entry in self.entries[first_index - self.base_index - 1 : last_index - self.base_index]:
            remaining_bytes -= max_encoded_bytes(entry)
            if remaining_bytes < 0:
                break
            batch.append(entry)
        return batch
