"""Cluster epochs: identify the bootstrap of the replicated log that a message or record belongs to."""

from __future__ import annotations

from typing import Final, NamedTuple

__all__ = ["NO_EPOCH", "ClusterEpoch"]


class ClusterEpoch(NamedTuple):
    """Identifies one bootstrap of the replicated log. Ordered by generation, then by the random id."""

    generation: int
    id: int


# The epoch of a replica that has no log.
NO_EPOCH: Final = ClusterEpoch(0, 0)
