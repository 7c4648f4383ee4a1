"""Durations are measured in real time despite steps of the wall clock. See docs/design/clocks.md."""

from __future__ import annotations

import asyncio
import contextlib
import shutil
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from laurelstep.library import Client
from laurelstep.outbox.causality_tokens import CausalityTokens
from laurelstep.outbox.outbox import Outbox, OutboxBounds, QueuedClass, ReplayResult, WriteOffer
from laurelstep.outbox.queue_store import QueueStore
from laurelstep.outbox.records import ParkingReason, WriteEvent
from laurelstep.outbox.version_vector import LocalVersionVector
from laurelstep.outbox.write_ids import EdgeLog, WriteId
from laurelstep.request_journal.journal import RequestJournal
from laurelstep.request_journal.records import answer_from_record, store_key
from laurelstep.store import FolderDisk, Store
from laurelstep.store.clock import (
    CHECKPOINT_INTERVAL_MS,
    MAX_STEP_MS,
    ClockCheckpoint,
    StoreClock,
    StoreClocks,
    boot_identity,
)
from laurelstep.testing import Endpoint
from laurelstep.testing.disk import SimulatedDisk

from tests.journals import FROM_RECORD, ORDER_CLASS, SERVED, client_with_journal, pay_request, summary
from tests.stores import SMALL, Machine, open_store

HOUR_MS = 3_600_000
STEPS = [-HOUR_MS, -1_000, 0, 1_000, HOUR_MS]
# Written by commit 9af0195: twelve requests recorded for 60 s from FIXTURE_WRITTEN_MS on, and a record that
# never expires.
FIXTURE = Path(__file__).parent / "fixtures" / "store-9af0195"
FIXTURE_WRITTEN_MS = 1_800_000_000_000
FIXTURE_RETENTION_MS = 60_000
FIXTURE_DIGEST = bytes(range(16))
WINDOW_MS = 10 * HOUR_MS
ALBUM = QueuedClass("album", True, WINDOW_MS * 1000)


def run(work: Any) -> None:
    asyncio.run(work)


# --- Records of the store --------------------------------------------------------------------


@pytest.mark.parametrize("step_ms", STEPS)
def test_a_record_expires_after_its_ttl_despite_wall_clock_steps(step_ms: int) -> None:
    async def main() -> None:
        machine = Machine()
        async with open_store(SimulatedDisk(), machine=machine) as store:
            await store.put(b"order", b"answer", ttl_ms=60_000)
            machine.step_wall_clock(step_ms)
            machine.advance(59_999)
            await store.compact()
            assert await store.get(b"order") == b"answer"
            assert [key async for key, _ in store.scan(b"o")] == [b"order"]
            machine.advance(1)
            assert await store.get(b"order") is None
            await store.compact()
            assert len(store) == 0

    run(main())


@pytest.mark.parametrize("step_ms", STEPS)
def test_a_record_expires_after_its_ttl_across_restarts_in_one_boot(step_ms: int) -> None:
    async def main() -> None:
        machine, disk = Machine(), SimulatedDisk()
        async with open_store(disk, machine=machine) as store:
            await store.put(b"order", b"answer", ttl_ms=60_000)
        machine.step_wall_clock(step_ms)
        machine.advance(30_000)
        async with open_store(disk, machine=machine) as store:
            await store.put(b"second", b"answer", ttl_ms=60_000)
            machine.advance(29_999)
            assert await store.get(b"order") == b"answer"
        async with open_store(disk, machine=machine) as store:
            machine.advance(1)
            assert await store.get(b"order") is None and await store.get(b"second") == b"answer"
            machine.advance(30_000)
            assert await store.get(b"second") is None

    run(main())


@pytest.mark.parametrize("step_ms", STEPS)
def test_a_record_never_expires_early_after_a_reboot(step_ms: int) -> None:
    async def main() -> None:
        machine, disk = Machine(), SimulatedDisk()
        async with open_store(disk, machine=machine) as store:
            await store.put(b"order", b"answer", ttl_ms=60_000)
            machine.advance(20_000)
        machine.step_wall_clock(step_ms)
        machine.reboot(down_ms=10_000_000)
        async with open_store(disk, machine=machine) as store:
            assert await store.get(b"order") == b"answer"
            machine.advance(59_999)
            assert await store.get(b"order") == b"answer", (
                "expires late by at most the time since the last checkpoint"
            )
            machine.advance(1)
            assert await store.get(b"order") is None

    run(main())


def test_checkpoints_are_renewed_while_records_are_written() -> None:
    async def main() -> None:
        machine, disk = Machine(), SimulatedDisk()
        async with open_store(disk, machine=machine) as store:
            await store.put(b"order", b"answer", ttl_ms=10 * CHECKPOINT_INTERVAL_MS)
            first = store.index.clock_checkpoint
            await store.put(b"other", b"answer")
            assert store.index.clock_checkpoint == first, "one checkpoint a minute"
            machine.advance(CHECKPOINT_INTERVAL_MS)
            await store.put(b"other", b"answer")
            assert ClockCheckpoint.decode(store.index.clock_checkpoint).monotonic_ms == machine.monotonic_ms
            await store.compact()
            assert len(store) == 2
        machine.reboot(down_ms=0)
        async with open_store(disk, machine=machine) as store:
            assert store.index.clock_checkpoint != first
            machine.advance(9 * CHECKPOINT_INTERVAL_MS - 1)
            assert await store.get(b"order") == b"answer"
            machine.advance(1)
            assert await store.get(b"order") is None

    run(main())


def test_compaction_keeps_only_the_newest_checkpoint() -> None:
    async def main() -> None:
        machine, disk = Machine(), SimulatedDisk()
        async with open_store(disk, machine=machine) as store:
            for number in range(20):
                await store.put(b"key-%d" % number, b"value", ttl_ms=40 * CHECKPOINT_INTERVAL_MS)
                machine.advance(CHECKPOINT_INTERVAL_MS)
            checkpoint, before = store.index.clock_checkpoint, store.size
            await store.compact()
            assert store.index.clock_checkpoint == checkpoint and store.size < before
        machine.step_wall_clock(HOUR_MS)
        async with open_store(disk, machine=machine) as store:
            assert store.index.clock_checkpoint == checkpoint and len(store) == 20
            machine.advance(20 * CHECKPOINT_INTERVAL_MS - 1)
            assert await store.get(b"key-0") == b"value"
            machine.advance(1)
            assert await store.get(b"key-0") is None and await store.get(b"key-1") == b"value"

    run(main())


def test_a_checkpoint_that_failed_is_written_with_the_next_batch() -> None:
    async def main() -> None:
        machine, disk = Machine(), SimulatedDisk()
        async with open_store(disk, machine=machine) as store:
            disk.fail("sync", OSError(5, "Input/output error"))
            with pytest.raises(OSError, match="the disk fails"):
                try:
                    await store.put(b"order", b"answer", ttl_ms=60_000)
                except Exception as error:
                    raise OSError(str(error)) from None
            assert store.index.clock_checkpoint == b""
            machine.advance(60_000)
            await store.put(b"order", b"answer", ttl_ms=60_000)
            assert ClockCheckpoint.decode(store.index.clock_checkpoint).monotonic_ms == machine.monotonic_ms

    run(main())


def test_a_boot_identity_is_stable_and_an_unknown_one_matches_none() -> None:
    assert boot_identity() == boot_identity()
    checkpoint = ClockCheckpoint(50, 60, 1_000, 70, b"")
    assert ClockCheckpoint.decode(checkpoint.encode()) == checkpoint
    unknown = StoreClock(checkpoint, False, StoreClocks(lambda: 2.0, lambda: 1_070, lambda: b""))
    assert unknown.now_ms() == 50 and unknown.upper_ms() == 60 + 1_000 + MAX_STEP_MS
    same = StoreClock(
        replace(checkpoint, boot=b"b"), False, StoreClocks(lambda: 2.0, lambda: 7, lambda: b"b")
    )
    assert (same.now_ms(), same.upper_ms(), same.opening_uncertainty_ms) == (1_050, 1_060, 0)
    earlier = StoreClock(
        replace(checkpoint, boot=b"b"), False, StoreClocks(lambda: 0.5, lambda: 1_070, lambda: b"b")
    )
    assert earlier.now_ms() == 50, "a monotonic clock behind the checkpoint is from another boot"
    with pytest.raises(ValueError, match="not a clock checkpoint"):
        ClockCheckpoint.decode(b"\0clock")


# --- The request journal ---------------------------------------------------------------------


@pytest.mark.parametrize("step_ms", STEPS)
@pytest.mark.parametrize("restarts", [False, True])
def test_a_repeated_request_is_not_sent_within_its_retention_time(
    tmp_path: Path, step_ms: int, restarts: bool
) -> None:
    async def main() -> None:
        machine, disk, settings = Machine(), SimulatedDisk(), replace(ORDER_CLASS, retention_ms=60_000)
        async with Endpoint() as endpoint:
            async with client_with_journal(tmp_path, endpoint, settings=settings) as client:
                await use_store(client, machine, disk)
                assert summary(await client.send(pay_request())) == SERVED
                machine.step_wall_clock(step_ms)
                machine.advance(59_999)
                if not restarts:
                    assert summary(await client.send(pay_request())) == FROM_RECORD
                    machine.advance(1)
                    assert summary(await client.send(pay_request())) == SERVED, "its retention time is over"
            if restarts:
                async with client_with_journal(tmp_path, endpoint, settings=settings) as client:
                    await use_store(client, machine, disk)
                    assert summary(await client.send(pay_request())) == FROM_RECORD
                    machine.advance(1)
                    assert summary(await client.send(pay_request())) == SERVED
            assert len(endpoint.requests) == 2

    run(main())


async def use_store(client: Client, machine: Machine, disk: SimulatedDisk) -> None:
    """Replace the store that the client opened."""
    recorder = client.engine.recorder
    assert isinstance(recorder, RequestJournal)
    await recorder.store.close()
    recorder.store = await Store.open(disk, SMALL, clocks=machine.clocks())


# --- Stores written before checkpoints -------------------------------------------------------


def copy_fixture(tmp_path: Path) -> FolderDisk:
    shutil.copytree(FIXTURE, tmp_path / "store")
    return FolderDisk(tmp_path / "store")


def test_a_store_without_checkpoints_can_be_read_and_written(tmp_path: Path) -> None:
    async def main() -> None:
        machine = Machine()
        machine.advance(30_000)
        async with open_store(copy_fixture(tmp_path), machine=machine) as store:
            assert len(store) == 12 and await store.get(b"forever") == b"kept"
            record = await store.get(store_key("print-order", b"old-1"))
            assert record is not None and answer_from_record(record, FIXTURE_DIGEST).body == b"printed\n"
            record = await store.get(store_key("print-order", b"old-3"))
            assert record is not None and answer_from_record(record, FIXTURE_DIGEST).status == 502
            await store.put(b"new", b"value", ttl_ms=60_000)
            await store.compact()
        async with open_store(FolderDisk(tmp_path / "store"), machine=machine) as store:
            assert len(store) == 13
            machine.advance(59_999)
            assert await store.get(b"new") == b"value"
            machine.advance(1)
            assert await store.get(b"new") is None

    run(main())


@pytest.mark.parametrize("step_ms", STEPS)
def test_a_record_of_a_store_without_checkpoints_is_kept_an_hour_longer(tmp_path: Path, step_ms: int) -> None:
    async def main() -> None:
        machine, key = Machine(), store_key("print-order", b"old-1")
        machine.step_wall_clock(step_ms)
        async with open_store(copy_fixture(tmp_path), machine=machine) as store:
            machine.advance(FIXTURE_RETENTION_MS - 1)
            assert await store.get(key) is not None, "never expires early"
            machine.advance(1 + MAX_STEP_MS - step_ms)
            assert await store.get(key) is None

    run(main())


# --- The outbox ------------------------------------------------------------------------------


@contextlib.asynccontextmanager
async def open_queue(machine: Machine, disk: SimulatedDisk) -> AsyncIterator[QueueStore]:
    store = await QueueStore.open(disk, 1 << 20, clocks=machine.clocks())
    try:
        yield store
    finally:
        await store.close()


@pytest.mark.parametrize("step_ms", STEPS)
def test_the_age_of_a_queued_write_is_exact_across_restarts_in_one_boot(step_ms: int) -> None:
    async def main() -> None:
        machine, disk = Machine(), SimulatedDisk()
        async with open_queue(machine, disk) as store:
            await store.secret()
            before = store.time_us()
            assert before == machine.wall_ms * 1000
        machine.step_wall_clock(step_ms)
        machine.advance(30_000)
        async with open_queue(machine, disk) as store:
            assert store.time_us() - before == 30_000_000
            assert store.is_elapsed_known and store.opening_uncertainty_us == 0

    run(main())


@pytest.mark.parametrize("step_ms", STEPS)
def test_the_age_of_a_queued_write_is_not_underestimated_after_a_reboot(step_ms: int) -> None:
    async def main() -> None:
        machine, disk = Machine(), SimulatedDisk()
        async with open_queue(machine, disk) as store:
            await store.secret()
            before = store.time_us()
        machine.step_wall_clock(step_ms)
        machine.reboot(down_ms=30_000)
        async with open_queue(machine, disk) as store:
            elapsed_us = store.time_us() - before
            assert elapsed_us >= 30_000_000 or not store.is_elapsed_known
            assert elapsed_us - store.opening_uncertainty_us <= 30_000_000
            assert store.is_elapsed_known is (step_ms >= -30_000)

    run(main())


class RestartedEdge:
    """The outbox of one edge, restarted on one disk. Keyed writes may be repeated for ten hours."""

    def __init__(self) -> None:
        self.machine, self.disk = Machine(), SimulatedDisk()

    @contextlib.asynccontextmanager
    async def process(self, incarnation: int) -> AsyncIterator[tuple[QueueStore, Outbox]]:
        async with open_queue(self.machine, self.disk) as store:
            bounds = OutboxBounds(replay_most=1_000)
            edge_log = EdgeLog("ash", incarnation)
            outbox = Outbox(
                edge_log,
                {"album": ALBUM},
                bounds,
                CausalityTokens(b"the secret of all edges"),
                LocalVersionVector("ash"),
            )
            loaded = await store.load()
            changes = outbox.restore(
                loaded.writes,
                loaded.edge_logs,
                self.now_us(),
                store.time_us(),
                is_elapsed_known=store.is_elapsed_known,
                uncertainty_us=store.opening_uncertainty_us,
            )
            for change in changes:
                await store.put_state(change.state_change)
                outbox.apply(change, self.now_us())
            yield store, outbox

    def now_us(self) -> int:
        return self.machine.monotonic_ms * 1000

    async def queue_and_send(self) -> WriteId:
        """Queue and send a keyed write, whose answer is lost with the process."""
        async with self.process(1) as (store, outbox):
            offer = WriteOffer("album", b"POST /", (), 0, b"", b"key")
            ticket = outbox.offer(offer, self.now_us(), store.time_us())
            assert ticket.write is not None
            await store.put_write(ticket.write, b"")
            outbox.on_stored(ticket.write_id, self.now_us())
            (change,) = outbox.due(self.now_us())
            await store.put_state(change.state_change)
            return ticket.write_id

    def sends(self, outbox: Outbox) -> list[WriteId]:
        return [change.write_id for change in outbox.due(self.now_us()) if change.event is WriteEvent.SEND]


@pytest.mark.parametrize("step_ms", STEPS)
def test_a_keyed_write_is_sent_again_only_within_its_real_window(step_ms: int) -> None:
    async def main() -> None:
        for elapsed_ms, is_within in ((WINDOW_MS - HOUR_MS, True), (WINDOW_MS + 500, False)):
            edge = RestartedEdge()
            write_id = await edge.queue_and_send()
            edge.machine.step_wall_clock(step_ms)
            edge.machine.advance(elapsed_ms)
            async with edge.process(2) as (_, outbox):
                assert edge.sends(outbox) == ([write_id] if is_within else [])
                if not is_within:
                    assert outbox.receipt(write_id).reason is ParkingReason.MAY_HAVE_RUN

    run(main())


@pytest.mark.parametrize("step_ms", STEPS)
def test_after_a_reboot_a_keyed_write_is_sent_again_only_if_surely_in_its_window(step_ms: int) -> None:
    async def main() -> None:
        for elapsed_ms in (HOUR_MS, WINDOW_MS - HOUR_MS // 2, WINDOW_MS + 500):
            edge = RestartedEdge()
            write_id = await edge.queue_and_send()
            edge.machine.step_wall_clock(step_ms)
            edge.machine.reboot(down_ms=elapsed_ms)
            async with edge.process(2) as (_, outbox):
                # The wall clock may have been stepped back by an hour, so the window's last hour is not used.
                is_sent = elapsed_ms + step_ms + MAX_STEP_MS < WINDOW_MS
                assert not is_sent or elapsed_ms < WINDOW_MS
                assert edge.sends(outbox) == ([write_id] if is_sent else [])
                assert is_sent or outbox.receipt(write_id).reason is ParkingReason.MAY_HAVE_RUN
        edge = RestartedEdge()
        write_id = await edge.queue_and_send()
        edge.machine.step_wall_clock(-HOUR_MS)
        edge.machine.reboot(down_ms=HOUR_MS - 1)
        async with edge.process(2) as (_, outbox):
            assert edge.sends(outbox) == [] and outbox.receipt(write_id).reason is ParkingReason.MAY_HAVE_RUN

    run(main())


@pytest.mark.parametrize("step_ms", STEPS)
def test_a_receipt_is_kept_for_its_retention_time_after_a_reboot(step_ms: int) -> None:
    """As long as it is kept, a repeat with its key gets the receipt and is not queued as a new write."""

    async def main() -> None:
        edge = RestartedEdge()
        write_id = await edge.queue_and_send()
        async with edge.process(2) as (store, outbox):
            (change,) = outbox.due(edge.now_us())
            assert change.event is WriteEvent.SEND and outbox.apply(change, edge.now_us())
            change = outbox.on_replay_end(
                write_id, ReplayResult.ANSWERED, edge.now_us(), store.time_us(), 200
            )
            await store.put_state(change.state_change)
        edge.machine.step_wall_clock(step_ms)
        edge.machine.reboot(down_ms=30_000)
        async with edge.process(3) as (_, outbox):
            edge.machine.advance(outbox.bounds.receipt_us // 1000 - 30_001)
            assert outbox.expired_receipts(edge.now_us()) == []
            edge.machine.advance(30_001 + MAX_STEP_MS)
            assert outbox.expired_receipts(edge.now_us()) == [write_id]

    run(main())
