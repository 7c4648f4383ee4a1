"""Cluster epochs: which bootstrap of the replicated log a message or a record belongs to."""

from __future__ import annotations

from typing import Final, NamedTuple

__all__ = ["NO_EPOCH", "ClusterEpoch"]


class ClusterEpoch(NamedTuple):
    """One bootstrap of the replicated log. Compared by generation, then by its random id."""

    generation: int
    id: int


# The epoch of a replica that has no log.
NO_EPOCH: Final = ClusterEpoch(0, 0)
