"""The settings of `[upkeep]`."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

StartAlone = Literal["wait", "serve"]


@dataclass(frozen=True)
class UpkeepSettings:
    """Times in µs. `start_alone`: what a process does with requests that has come from nothing
    and can't learn what was agreed: wait for it, or serve by discovery's list after `learn_us`."""

    overdue_us: int = 14_400_000_000
    start_alone: StartAlone = "wait"
    learn_us: int = 5_000_000
