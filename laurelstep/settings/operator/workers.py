"""`[workers]`: several processes of one daemon."""

from __future__ import annotations

from typing import Annotated

import msgspec

from laurelstep.settings.operator.fields import Count, OperatorTable


class WorkersTable(OperatorTable, frozen=True, kw_only=True):
    """Several processes of one daemon, for machines with more cores than one."""

    processes: Annotated[int, msgspec.Meta(ge=1, le=256)] = 1
    restart_first_ms: Count = 100
    restart_most_ms: Count = 10_000
    ready_ms: Count = 10_000
