"""Upkeep's source under the contract of all sources of members: around one that is given, and around
discovery. Where nothing is held, it is not to be seen."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from typing import ClassVar

from laurelstep.engine import LoopClock
from laurelstep.engine.given import GivenMembers
from laurelstep.engine.ports import MemberSource
from laurelstep.net.slices import Slices
from laurelstep.testing.contracts.members import (
    AskedSourceContract,
    Beyond,
    BreakableBeyond,
    MemberSourceContract,
)
from laurelstep.upkeep.roll import Roll
from laurelstep.upkeep.source import UpkeepSource
from tests.test_contracts import GivenBeyond, OnDiscovery
from tests.upkeeping import GRACE_US


def around(inner: MemberSource) -> UpkeepSource:
    """A source that knows the record, in which nothing is out."""
    loop = asyncio.get_running_loop()
    source = UpkeepSource(inner, Roll(), LoopClock(loop), GRACE_US, Slices(loop).run, lambda line: None)
    source.go_on(True)
    return source


class TestUpkeepOnGivenMembers(MemberSourceContract):
    @contextlib.asynccontextmanager
    async def beyond(self) -> AsyncIterator[Beyond]:
        given = GivenMembers()
        found = GivenBeyond(given)
        found.source = around(given)
        yield found
        given.close()


class OnUpkeep(OnDiscovery):
    @contextlib.asynccontextmanager
    async def beyond(self) -> AsyncIterator[BreakableBeyond]:
        async with super().beyond() as found:
            found.source = around(found.source)
            yield found


class TestUpkeepOnPushedDiscovery(OnUpkeep, MemberSourceContract):
    pushed: ClassVar[bool] = True


class TestUpkeepOnAskedDiscovery(OnUpkeep, AskedSourceContract):
    pushed: ClassVar[bool] = False
