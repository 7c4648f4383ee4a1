"""The lifecycle of a node: durability before sending, failing stores, addresses in use, successors."""

from __future__ import annotations

import asyncio
import errno
import os
import random
from collections.abc import Callable, Mapping
from typing import Any

import pytest
from laurelstep.consensus.core import ConsensusCore
from laurelstep.consensus.effects import StepEffects
from laurelstep.consensus.epoch import NO_EPOCH, ClusterEpoch
from laurelstep.consensus.errors import BusyError, EntryError, LinkError, NotLeaderError, StoredStateError
from laurelstep.consensus.limits import MAX_PENDING_PROPOSALS
from laurelstep.consensus.links.memory import MemoryLink
from laurelstep.consensus.node import BIND_RETRY_US, NodeStage
from laurelstep.consensus.ports import Store
from laurelstep.consensus.state import ReplicaRole
from laurelstep.consensus.step_runner import MAX_QUEUED_STEPS, MIN_TICK_DELAY_US
from laurelstep.consensus.stores.embedded import EmbeddedStore
from laurelstep.consensus.stores.none import NoStore
from laurelstep.store import StoreError
from laurelstep.testing.disk import SimulatedDisk

from tests.consensus_nodes import (
    SEND_AND_NOTIFY,
    ControlledStore,
    NodeHarness,
    ScriptedCore,
    run_ready_callbacks,
)
from tests.sockets import TEST_TIMEOUT_S, run

# Steps


def test_the_datagrams_of_a_step_are_sent_immediately_if_nothing_is_persisted() -> None:
    async def main() -> None:
        harness = NodeHarness()
        assert (
            not harness.node.is_running
            and not harness.node.is_caught_up
            and not harness.node.has_leader_contact
        )
        await harness.node.start()
        assert harness.take_delivered() == [(1, b"hello")] and harness.change_count == 1
        harness.core.answers["receive"] = SEND_AND_NOTIFY
        harness.receive(b"x", peer=2)
        assert harness.take_delivered() == [(1, b"said")] and harness.change_count == 2
        assert harness.core.steps == [("receive", 2, b"x")]
        assert harness.node.is_running and harness.node.is_caught_up and harness.node.has_leader_contact
        await harness.node.close()
        assert harness.core.is_retired and not harness.node.is_running
        harness.peers[0].send(0, b"late")
        harness.clock.advance(10_000_000)
        assert len(harness.core.steps) == 1

    run(main())


def test_records_are_durable_before_datagrams_are_sent_and_before_the_next_step() -> None:
    async def main() -> None:
        store = ControlledStore()
        harness = NodeHarness(store)
        await harness.node.start()
        assert [changes for changes, _ in store.writes] == [{b"i": harness.core.incarnation.to_bytes(8)}]
        harness.receive(b"one")
        harness.receive(b"two")
        assert not harness.take_delivered() and not harness.core.steps
        harness.core.answers["receive"] = StepEffects(
            persist={b"k": b"1", b"gone": None}, outgoing=SEND_AND_NOTIFY.outgoing, state_changed=True
        )
        await store.finish_write()
        assert harness.take_delivered() == [(1, b"hello")] and harness.core.steps == [("receive", 1, b"one")]
        assert store.writes[0][0] == {b"k": b"1", b"gone": None} and harness.change_count == 1
        await store.finish_write()
        assert harness.take_delivered() == [(1, b"said")] and harness.change_count == 2
        assert [step[2] for step in harness.core.steps] == [b"one", b"two"]
        await harness.node.close()
        assert store.is_closed
        # The write completes only after the node is closed, so nothing is sent.
        await store.finish_write()
        assert not harness.take_delivered()

    run(main())


def test_a_write_of_a_step_before_a_restart_sends_nothing_after_the_restart() -> None:
    async def main() -> None:
        store = ControlledStore()
        harness = NodeHarness(store)
        await harness.node.start()
        _, write_before_restart = store.writes.pop()
        await harness.node.retire()
        await harness.node.restart()
        harness.receive(b"it waits for the new life's write")
        write_before_restart.set_result(None)
        await run_ready_callbacks()
        assert not harness.take_delivered() and not harness.core.steps
        await store.finish_write()
        assert harness.take_delivered() == [(1, b"hello")] and len(harness.core.steps) == 1
        await harness.node.close()

    run(main())


def test_the_queue_of_steps_that_wait_for_the_store_is_bounded() -> None:
    async def main() -> None:
        store = ControlledStore()
        harness = NodeHarness(store)
        await harness.node.start()
        harness.core.role = ReplicaRole.LEADER
        harness.node.propose(b"in its turn")
        for n in range(MAX_QUEUED_STEPS + 9):
            harness.receive(n.to_bytes(2))
        with pytest.raises(BusyError):
            harness.node.propose(b"one too many")
        with pytest.raises(BusyError):
            harness.node.send_to_leader(b"one too many")
        harness.clock.advance(0)
        assert harness.node.counters == {"waited": MAX_QUEUED_STEPS, "dropped": 10, "refused": 0}
        # The node has lost the leadership when the queued proposal runs.
        harness.core.answers["propose"] = NotLeaderError(2)
        await store.finish_write()
        assert len(harness.core.steps) == MAX_QUEUED_STEPS and harness.core.steps[0] == (
            "propose",
            b"in its turn",
        )
        assert harness.node.counters["refused"] == 1
        await harness.node.close()

    run(main())


def test_a_queued_leader_message_keeps_the_epoch_of_its_call() -> None:
    async def main() -> None:
        store = ControlledStore()
        harness = NodeHarness(store)
        await harness.node.start()  # its first step has records to write
        harness.core.epoch = ClusterEpoch(1, 7)
        harness.node.send_to_leader(b"of the first")
        harness.core.epoch = ClusterEpoch(2, 5)
        await store.finish_write()
        assert harness.core.steps == [("send_to_leader", b"of the first", ClusterEpoch(1, 7))]
        await harness.node.close()

    run(main())


def test_the_timer_follows_the_due_time_of_the_core() -> None:
    async def main() -> None:
        harness = NodeHarness()
        await harness.node.start()
        now, core = harness.clock.now(), harness.core
        core.due_us = now + 5_000
        harness.receive(b"x")
        core.due_us = now + 9_000  # later: the running timer is set again when it fires
        harness.receive(b"x")
        harness.clock.advance(8_999)
        assert ("tick", now + 9_000) not in core.steps
        harness.clock.advance(1)
        assert core.steps[-1] == ("tick", now + 9_000)
        core.due_us = now + 9_001  # earlier than the time that the timer is set to
        harness.receive(b"x")
        core.answers["tick"] = StepEffects()
        harness.clock.advance(MIN_TICK_DELAY_US)
        assert core.steps[-1] == ("tick", now + 9_000 + MIN_TICK_DELAY_US)
        ticks = sum(step[0] == "tick" for step in core.steps)
        harness.clock.advance(999_999)
        assert sum(step[0] == "tick" for step in core.steps) == ticks
        await harness.node.close()

    run(main())


def test_a_core_that_is_always_due_does_not_occupy_the_event_loop() -> None:
    async def main() -> None:
        harness = NodeHarness()
        await harness.node.start()

        class AlwaysDueCore(ScriptedCore):
            def tick(self, now: int) -> StepEffects:
                return self._step("tick", now)

        core = AlwaysDueCore(1, {})
        assert harness.node.runner is not None
        harness.node.runner.core = core
        core.due_us = 0
        harness.receive(b"x")
        harness.clock.advance(10 * MIN_TICK_DELAY_US)
        assert sum(step[0] == "tick" for step in core.steps) == 10
        await harness.node.close()

    run(main())


def test_errors_of_a_step_are_raised_to_its_caller() -> None:
    async def main() -> None:
        harness = NodeHarness()
        with pytest.raises(NotLeaderError, match="no leader is known"):
            harness.node.propose(b"x")
        harness.node.send_to_leader(b"nobody takes part: it is lost")
        await harness.node.start()
        with pytest.raises(NotLeaderError, match="peer 2 is the leader"):
            harness.node.propose(b"x")
        harness.core.role = ReplicaRole.LEADER
        assert harness.node.is_leader and harness.node.leader_id == 2
        harness.core.answers["propose"] = BusyError(f"{MAX_PENDING_PROPOSALS} wait")
        with pytest.raises(BusyError):
            harness.node.propose(b"x")
        for call in (harness.node.propose, harness.node.send_to_leader):
            with pytest.raises(EntryError):
                call(b"x" * 161)
        harness.core.answers["propose"] = SEND_AND_NOTIFY
        harness.node.propose(b"x" * 160)
        harness.node.send_to_leader(b"w")
        assert harness.core.steps[-2:] == [("propose", b"x" * 160), ("send_to_leader", b"w", NO_EPOCH)]
        assert (1, b"said") in harness.take_delivered()
        await harness.node.close()

    run(main())


def test_leader_messages_and_changes_are_notified_outside_of_steps() -> None:
    async def main() -> None:
        harness = NodeHarness()
        await harness.node.start()
        harness.clock.advance(0)
        notifications: list[Any] = []

        def on_leader_message(peer: int, incarnation: int, data: bytes) -> None:
            assert harness.node.runner is not None
            notifications.append((peer, incarnation, data, harness.node.runner.is_busy))
            harness.node.propose(b"upon it")

        harness.node.on_leader_message = on_leader_message
        harness.core.role = ReplicaRole.LEADER
        harness.core.on_leader_message(1, 7, b"word")
        harness.core.answers["receive"] = StepEffects(state_changed=True)
        for _ in range(3):
            harness.receive(b"x")
        assert not notifications and harness.change_count == 1
        harness.clock.advance(0)
        assert notifications == [(1, 7, b"word", False)] and harness.change_count == 2, (
            "several changes in one iteration of the event loop are notified once"
        )
        harness.core.on_leader_message(1, 7, b"late")
        await harness.node.close()
        harness.clock.advance(0)
        assert len(notifications) == 1

    run(main())


def test_a_request_made_within_a_step_is_queued() -> None:
    async def main() -> None:
        harness = NodeHarness()
        await harness.node.start()
        node, core = harness.node, harness.core
        core.role = ReplicaRole.LEADER

        class ProposingAnswers(dict[str, Any]):
            def get(self, name: str, default: Any = None) -> Any:
                if name == "receive":
                    node.propose(b"from within")
                    assert [step[0] for step in core.steps] == ["receive"]
                    raise NotLeaderError(None)
                return default

        core.answers = ProposingAnswers()
        harness.receive(b"x")
        assert [step[0] for step in core.steps] == ["receive", "propose"]
        await node.close()

    run(main())


# Failures


@pytest.mark.parametrize("failing_at", ["open", "load", "start", "later"])
def test_a_failing_store_ends_the_participation_with_one_log_line(failing_at: str) -> None:
    async def main() -> None:
        class FailingStore(ControlledStore):
            async def load(self) -> dict[bytes, bytes]:
                if failing_at == "load":
                    raise StoreError("can't be\nread")
                return await super().load()

        store = FailingStore()
        harness = NodeHarness(store)
        if failing_at == "open":

            async def open_store() -> Store:
                raise StoreError("the store can't be opened: damaged")

            harness.node.open_store = open_store
        await harness.node.start()
        if failing_at == "later":
            await store.finish_write()
            harness.core.answers["receive"] = StepEffects(
                persist={b"k": b"1"}, outgoing=SEND_AND_NOTIFY.outgoing
            )
            harness.receive(b"x")
        if failing_at in ("start", "later"):
            assert harness.node.is_running
            harness.take_delivered()
            await store.finish_write(StoreError("the disk fails: No space left on device"))
        await run_ready_callbacks()
        harness.clock.advance(0)
        assert (
            harness.node.stage is NodeStage.FAILED
            and not harness.node.is_running
            and harness.change_count >= 1
        )
        assert not harness.take_delivered(), "datagrams of a step that was not persisted must not be sent"
        assert (
            len(harness.log_lines) == 1
            and "\n" not in harness.log_lines[0]
            and StoreError.remedy in harness.log_lines[0]
        )
        assert harness.node.status()["failure"] == harness.node.failure != ""
        assert 0 not in harness.network.open_links, "the address must be free"
        if failing_at != "open":
            assert store.is_closed
        with pytest.raises(NotLeaderError):
            harness.node.propose(b"x")
        assert await harness.node.retire() == {}
        await harness.node.restart()
        assert harness.node.stage is NodeStage.FAILED
        await harness.node.close()

    run(main())


@pytest.mark.parametrize(
    "answer",
    [RuntimeError("a fault"), StepEffects(outgoing=[(9, b"x")]), StepEffects(outgoing=[(1, b"x" * 257)])],
)
def test_a_failing_core_does_not_stop_the_process(answer: StepEffects | Exception) -> None:
    async def main() -> None:
        harness = NodeHarness()
        await harness.node.start()
        harness.core.answers["receive"] = answer
        harness.receive(b"x")
        await run_ready_callbacks()
        assert harness.node.stage is NodeStage.FAILED and len(harness.log_lines) == 1
        assert 0 not in harness.network.open_links
        if isinstance(answer, StepEffects):
            assert LinkError.remedy in harness.log_lines[0]
        await harness.node.close()

    run(main())


def test_a_store_that_can_not_be_closed_is_logged_and_abandoned() -> None:
    async def main() -> None:
        class UncloseableStore(ControlledStore):
            async def close(self) -> None:
                raise OSError("the disk is gone")

        harness = NodeHarness(UncloseableStore())
        await harness.node.start()
        await harness.node.close()
        assert harness.log_lines == ["accord: the store was not closed: the disk is gone"]
        assert 0 not in harness.network.open_links

    run(main())


# Addresses


def test_a_node_waits_for_an_address_that_another_process_holds() -> None:
    async def main() -> None:
        harness = NodeHarness()

        class ContestedLink(MemoryLink):
            def open(self, receive: Callable[[int, bytes], None]) -> None:
                if 0 in harness.network.open_links:
                    raise OSError(errno.EADDRINUSE, "taken")
                super().open(receive)

        first, second = harness.node, harness.make_node(lambda: ContestedLink(harness.network, 0))
        await first.start()
        await second.start()
        assert second.stage is NodeStage.WAITING and len(harness.cores) == 1
        for _ in range(3):
            harness.clock.advance(BIND_RETRY_US)
            await run_ready_callbacks()
        assert len(harness.log_lines) == 1 and second.stage is NodeStage.WAITING
        await first.close()
        harness.clock.advance(BIND_RETRY_US)
        await run_ready_callbacks()
        assert second.is_running and harness.cores[0].incarnation != harness.cores[1].incarnation
        await second.close()
        third = harness.make_node(lambda: ContestedLink(harness.network, 0))
        await first.restart()
        assert first.stage is NodeStage.CLOSED
        blocking_link = harness.network.link(0)
        blocking_link.open(lambda peer, data: None)
        await third.start()
        await third.close()
        blocking_link.close()
        harness.clock.advance(BIND_RETRY_US)
        await run_ready_callbacks()
        assert not third.is_running and not harness.network.open_links.get(0)

    run(main())


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_a_node_waits_if_the_machine_has_no_resources_for_a_socket(error: int) -> None:
    """Both at the start, and at a restart after no successor took over."""

    async def main() -> None:
        harness = NodeHarness()
        is_failing = [True]

        class FailingLink(MemoryLink):
            def open(self, receive: Callable[[int, bytes], None]) -> None:
                if is_failing[0]:
                    raise OSError(error, os.strerror(error))
                super().open(receive)

        async def assert_waits_then_runs() -> None:
            assert node.stage is NodeStage.WAITING
            harness.clock.advance(BIND_RETRY_US)
            await run_ready_callbacks()
            assert node.stage is NodeStage.WAITING
            is_failing[0] = False
            harness.clock.advance(BIND_RETRY_US)
            await run_ready_callbacks()
            assert node.is_running

        node = harness.make_node(lambda: FailingLink(harness.network, 0))
        await node.start()
        await assert_waits_then_runs()
        await node.retire()
        is_failing[0] = True
        await node.restart()
        await assert_waits_then_runs()
        assert len(harness.log_lines) == 2 and os.strerror(error) in harness.log_lines[0]
        await node.close()

    run(main())


def test_an_address_that_can_never_be_bound_raises_to_the_caller() -> None:
    async def main() -> None:
        class UnbindableLink(MemoryLink):
            def open(self, receive: Callable[[int, bytes], None]) -> None:
                raise OSError(errno.EADDRNOTAVAIL, "no such address here")

        harness = NodeHarness()
        node = harness.make_node(lambda: UnbindableLink(harness.network, 0))
        with pytest.raises(OSError, match="no such address here"):
            await node.start()
        await node.close()

    run(main())


# Successors and restarts


def test_a_successor_starts_from_the_retired_node_s_records() -> None:
    async def main() -> None:
        harness = NodeHarness()
        await harness.node.start()
        harness.core.answers["receive"] = StepEffects(persist={b"log": b"1"})
        harness.receive(b"x")
        records = await harness.node.retire()
        assert (
            records == harness.cores[0].records
            and harness.cores[0].is_retired
            and not harness.node.is_running
        )
        assert await harness.node.retire() == {}
        successor = harness.make_node()
        await successor.start(records)
        assert (
            harness.cores[1].incarnation == harness.cores[0].incarnation
            and harness.cores[1].records[b"log"] == b"1"
        )
        await successor.close()
        # The successor ended before it took over: the old node continues as another member.
        await harness.node.restart()
        assert harness.node.is_running and harness.cores[2].incarnation != harness.cores[0].incarnation
        assert harness.state_machine.loaded == [b""], (
            "the state must be learned again from the other replicas"
        )
        await harness.node.restart()
        assert len(harness.cores) == 3
        await harness.node.close()

    run(main())


def test_a_durable_store_takes_precedence_over_a_predecessor_s_records() -> None:
    async def main() -> None:
        harness = NodeHarness(ControlledStore({b"i": (5).to_bytes(8), b"newer": b"1"}))
        await harness.node.start({b"i": (6).to_bytes(8)})
        assert harness.core.incarnation == 5 and b"newer" in harness.core.records
        await harness.node.close()

    run(main())


def test_unreadable_records_of_a_predecessor_are_discarded() -> None:
    async def main() -> None:
        for store in (NoStore(), ControlledStore({b"i": b"?"})):
            harness = NodeHarness(store)

            def make_core(
                incarnation: int, records: Mapping[bytes, bytes], harness: NodeHarness = harness
            ) -> ConsensusCore:
                if records:
                    raise StoredStateError("of another list of peers")
                harness.cores.append(ScriptedCore(incarnation, records))
                return harness.cores[-1]

            harness.node.make_core = make_core
            await harness.node.start({b"i": b"?"})
            assert harness.node.is_running is not store.is_durable and len(harness.log_lines) == 1
            if store.is_durable:
                # An operator must decide: the store may hold the only copy of committed entries.
                assert StoredStateError.remedy in harness.log_lines[0]
            await harness.node.close()

    run(main())


def test_a_restart_with_a_durable_store_keeps_the_incarnation() -> None:
    async def main() -> None:
        disk, incarnations = SimulatedDisk(), list[int]()
        for _ in range(3):
            harness = NodeHarness()

            async def open_store(disk: SimulatedDisk = disk) -> Store:
                return await EmbeddedStore.open(disk)

            harness.node.open_store = open_store
            await harness.node.start()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while not harness.take_delivered():  # sent only once the records are durable
                    await asyncio.sleep(0)
            incarnations.append(harness.core.incarnation)
            await harness.node.close()
            disk = disk.lose_power(random.Random(1))
        assert len(set(incarnations)) == 1

    run(main())


def test_the_status_has_the_documented_keys_and_values() -> None:
    async def main() -> None:
        harness = NodeHarness()
        assert harness.node.status() == {"stage": "new", "failure": ""}
        await harness.node.start()
        status = harness.node.status()
        assert status["role"] == "follower" and status["era"] == {"generation": 0, "id": "0" * 16}
        assert status["incarnation"] == f"{harness.core.incarnation:016x}" and not status["lasting"]
        assert status["link"]["sent"] == 1 and status["counters"]["foreign"] == 0
        await harness.node.close()

    run(main())
