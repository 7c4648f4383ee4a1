"""Shared by the store's tests: a machine with clocks under control, an open store, and a disk's content."""

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
    """The clocks of one machine, which advance only when a test says so."""

    monotonic_ms: int = 5_000_000
    wall_ms: int = 1_800_000_000_000
    boot: bytes = b"boot-1"

    @property
    def monotonic_s(self) -> float:
        """The monotonic clock in seconds; setting it leaves the wall clock as it is."""
        return self.monotonic_ms / 1000

    @monotonic_s.setter
    def monotonic_s(self, value: float) -> None:
        self.monotonic_ms = round(value * 1000)

    def advance(self, ms: int) -> None:
        """Advance both clocks, as real time does."""
        self.monotonic_ms += ms
        self.wall_ms += ms

    def step_wall_clock(self, ms: int) -> None:
        """Step the wall clock only, forward or back."""
        self.wall_ms += ms

    def reboot(self, down_ms: int) -> None:
        """Restart after `down_ms` off: a new boot identity, and the monotonic clock starts over."""
        self.wall_ms += down_ms
        self.monotonic_ms, self.boot = 10_000, self.boot + b"+"

    def clocks(self) -> StoreClocks:
        """The clocks in the form a store takes."""
        return StoreClocks(lambda: self.monotonic_s, lambda: self.wall_ms, lambda: self.boot)


@contextlib.asynccontextmanager
async def open_store(
    disk: Any, options: StoreOptions = SMALL, machine: Machine | None = None
) -> AsyncIterator[Store]:
    """Open a store for the `async with` block, which may take 60 s; `log_lines` returns what it logs."""
    lines: list[str] = []
    store = await Store.open(disk, options, lines.append, (machine or Machine()).clocks())
    vars(store)["log_lines"] = lines
    async with asyncio.timeout(60), store:
        yield store


def log_lines(store: Store) -> list[str]:
    """The lines logged by a store from `open_store`."""
    lines: list[str] = vars(store)["log_lines"]
    return lines


def recovered_state(disk: SimulatedDisk) -> State:
    """Keys and values after recovery, verified by their checksums; LogError if the disk is damaged."""
    recovered = recover_store(disk, 77)
    state = {}
    for key, location in recovered.index.locations.items():
        segment, offset = unpack_location(location)
        record = read_record(disk.read(segment_name(segment), offset), "test")
        assert record.key == key
        state[key] = record.value
    return state
