"""The settings of the operator's table `[upkeep]`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

StartAlone = Literal["wait", "serve"]


@dataclass(frozen=True)
class MaintenanceSettings:
    """How long a machine may be out of service, and how a process starts that can't get the replicated state.

    `overdue_us`: how long a machine may stay drained, or under work, before it is reported overdue, in µs.
    `start_alone`: "wait" until the state is known, or "serve" from discovery's list after `learn_us` (µs).
    """

    overdue_us: int = 14_400_000_000
    start_alone: StartAlone = "wait"
    learn_us: int = 5_000_000
