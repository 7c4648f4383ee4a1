"""What the operator's file says of upkeep. Pure; times in µs."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

# What a process does from its start on, until it knows the record.
StartAlone = Literal["wait", "serve"]


@dataclass(frozen=True, slots=True)
class UpkeepSettings:
    """`overdue_us`: after how long at work a machine is told overdue, where its wish says nothing.
    `start_alone`: `wait` is not ready and sends nothing until the record is known; `serve` goes by
    discovery's list after `learn_us`, at the price that a clear may then be untrue."""

    overdue_us: int = 14_400_000_000
    start_alone: StartAlone = "wait"
    learn_us: int = 5_000_000
