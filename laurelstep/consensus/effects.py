"""What a step of the core asks its driver to do."""

from __future__ import annotations

import dataclasses

__all__ = ["StepEffects"]


@dataclasses.dataclass(slots=True)
class StepEffects:
    """The effects of one step: first `persist` is made durable, then `outgoing` is sent, then the next step.

    The core relies on that order. If `persist` can't be made durable, the replica must stop.
    """

    # Peer and datagram.
    outgoing: list[tuple[int, bytes]] = dataclasses.field(default_factory=list)
    # Stored records by key; None deletes.
    persist: dict[bytes, bytes | None] = dataclasses.field(default_factory=dict)
    # The index of a proposal in the leader's log. It is committed once it is applied at this index with the
    # same data; another leader may put another entry there.
    entry_index: int | None = None
    # Entries were applied, or a snapshot was loaded.
    state_changed: bool = False
