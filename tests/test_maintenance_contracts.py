"""Maintenance's source under the contract of all sources of members: around one that is given, and around
discovery. Where nothing is held, it is not to be seen."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import ClassVar

from laurelstep.engine import LoopClock
from laurelstep.engine.ports import MemberSource
from laurelstep.engine.static_members import StaticMembers
from laurelstep.maintenance.source import MaintenanceSource
from laurelstep.maintenance.state import MaintenanceState
from laurelstep.net.cooperative_task import CooperativeTask
from laurelstep.testing.contracts.members import (
    AskedSourceContract,
    Beyond,
    BreakableBeyond,
    MemberSourceContract,
)
from tests.maintenance import GRACE_US
from tests.test_contracts import GivenBeyond, OnDiscovery


def around(inner: MemberSource) -> MaintenanceSource:
    """A source that knows the record, in which nothing is out."""
    loop = asyncio.get_running_loop()
    source = MaintenanceSource(
        inner, MaintenanceState(), LoopClock(loop), GRACE_US, CooperativeTask(loop).run, lambda line: None
    )
    source.start_forwarding(True)
    return source


class TestMaintenanceOnGivenMembers(MemberSourceContract):
    @contextlib.asynccontextmanager
    async def beyond(self) -> AsyncIterator[Beyond]:
        given = StaticMembers()
        found = GivenBeyond(given)
        found.source = around(given)
        yield found
        given.close()


class OnMaintenance(OnDiscovery):
    @contextlib.asynccontextmanager
    async def beyond(self) -> AsyncIterator[BreakableBeyond]:
        async with super().beyond() as found:
            found.source = around(found.source)
            yield found


class TestMaintenanceOnPushedDiscovery(OnMaintenance, MemberSourceContract):
    pushed: ClassVar[bool] = True


class TestMaintenanceOnAskedDiscovery(OnMaintenance, AskedSourceContract):
    pushed: ClassVar[bool] = False
