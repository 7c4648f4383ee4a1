"""The effects of one step of the core, which the step runner carries out (step_runner.py)."""

from __future__ import annotations

import dataclasses

__all__ = ["StepEffects"]


@dataclasses.dataclass(slots=True)
class StepEffects:
    """The effects of one step.

    The core relies on their order: `persist` is made durable, then `outgoing` is sent, then the next step
    runs. If `persist` can't be made durable, the replica must stop.
    """

    # Datagrams to send: destination peer and bytes.
    outgoing: list[tuple[int, bytes]] = dataclasses.field(default_factory=list)
    # Records to store, by key; None deletes the record.
    persist: dict[bytes, bytes | None] = dataclasses.field(default_factory=dict)
    # The index of a proposed entry in the leader's log. The entry is committed once an entry with the same
    # data is applied at this index; another leader may have put another entry there.
    entry_index: int | None = None
    # Whether entries were applied or a snapshot was loaded.
    state_changed: bool = False
