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
    FaultySourceEnvironment,
    MemberSourceContract,
    PolledSourceContract,
    SourceEnvironment,
)

from tests.maintenance import GRACE_US
from tests.test_contracts import GivenEnvironment, OnDiscovery


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
    async def environment(self) -> AsyncIterator[SourceEnvironment]:
        given = StaticMembers()
        found = GivenEnvironment(given)
        found.source = around(given)
        yield found
        given.close()


class OnMaintenance(OnDiscovery):
    @contextlib.asynccontextmanager
    async def environment(self) -> AsyncIterator[FaultySourceEnvironment]:
        async with super().environment() as found:
            found.source = around(found.source)
            yield found


class TestMaintenanceOnPushedDiscovery(OnMaintenance, MemberSourceContract):
    pushed: ClassVar[bool] = True


class TestMaintenanceOnPolledDiscovery(OnMaintenance, PolledSourceContract):
    pushed: ClassVar[bool] = False
