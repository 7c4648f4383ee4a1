"""The settings of the operator's table `[upkeep]`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

StartAlone = Literal["wait", "serve"]


@dataclass(frozen=True)
class MaintenanceSettings:
    """How long a machine may be out, and what a process does that can't learn the replicated state at its
    start.

    `overdue_us`: after this time out of service a machine is reported overdue, in µs.
    `start_alone`: "wait" until the state is known, or "serve" by the discovery list after `learn_us` (µs).
    """

    overdue_us: int = 14_400_000_000
    start_alone: StartAlone = "wait"
    learn_us: int = 5_000_000
