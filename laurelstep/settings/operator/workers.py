"""The table `[workers]`: several worker processes for one daemon."""

from __future__ import annotations

from typing import Annotated

import msgspec

from laurelstep.settings.operator.fields import OperatorTable, PositiveInt


class WorkersTable(OperatorTable, frozen=True, kw_only=True):
    """Several worker processes for one daemon, on machines with several cores. A worker that ends is
    restarted after `restart_first_ms`, then after longer delays up to `restart_most_ms`; it must be ready
    within `ready_ms`.
    """

    processes: Annotated[int, msgspec.Meta(ge=1, le=256)] = 1
    restart_first_ms: PositiveInt = 100
    restart_most_ms: PositiveInt = 10_000
    ready_ms: PositiveInt = 10_000
