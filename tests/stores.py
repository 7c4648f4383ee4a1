"""What tests of the store share: a machine whose clocks they move, an opened store, and what a disk holds."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator
from dataclasses import dataclass
from typing import Any

from laurelstep.store import Store, StoreClocks, StoreOptions
from laurelstep.store.index import unpack_location
from laurelstep.store.log_format import read_record
from laurelstep.store.manifest import segment_name
from laurelstep.store.recovery import recover_store
from laurelstep.testing.disk import SimulatedDisk

State = dict[bytes, bytes]
SMALL = StoreOptions(segment_bytes=400, batch_records=4, preallocated_bytes=100)


@dataclass
class Machine:
    """The clocks of one machine, moved by a test."""

    monotonic_ms: int = 5_000_000
    wall_ms: int = 1_800_000_000_000
    boot: bytes = b"boot-1"

    @property
    def seconds(self) -> float:
        """Of the monotonic clock, which alone a test sets with it."""
        return self.monotonic_ms / 1000

    @seconds.setter
    def seconds(self, value: float) -> None:
        self.monotonic_ms = round(value * 1000)

    def passes(self, ms: int) -> None:
        """Real time goes on."""
        self.monotonic_ms += ms
        self.wall_ms += ms

    def steps(self, ms: int) -> None:
        """The wall clock alone."""
        self.wall_ms += ms

    def reboots(self, down_ms: int) -> None:
        """It is off for a while, and its monotonic clock begins anew."""
        self.wall_ms += down_ms
        self.monotonic_ms, self.boot = 10_000, self.boot + b"+"

    def clocks(self) -> StoreClocks:
        """As a store reads them."""
        return StoreClocks(lambda: self.seconds, lambda: self.wall_ms, lambda: self.boot)


@contextlib.asynccontextmanager
async def opened(
    disk: Any, options: StoreOptions = SMALL, machine: Machine | None = None
) -> AsyncIterator[Store]:
    """A store; `logged` has its lines."""
    lines: list[str] = []
    store = await Store.open(disk, options, lines.append, (machine or Machine()).clocks())
    vars(store)["logged"] = lines
    async with asyncio.timeout(60), store:
        yield store


def logged(store: Store) -> list[str]:
    """The lines for an operator of a store that `opened` gave."""
    lines: list[str] = vars(store)["logged"]
    return lines


def state_of(disk: SimulatedDisk) -> State:
    """What a start finds; `LogError` for damage. Every value is read back by its own checksum."""
    found = recover_store(disk, 77)
    state = {}
    for key, where in found.index.locations.items():
        segment, offset = unpack_location(where)
        record = read_record(disk.read(segment_name(segment), offset), "test")
        assert record.key == key
        state[key] = record.value
    return state
