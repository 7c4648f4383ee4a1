"""The lifecycle of a node: records before datagrams, failing stores, addresses in use, successors."""

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

# --- Steps ------------------------------------------------------------------------------


def test_a_step_s_datagrams_leave_at_once_where_nothing_is_persisted() -> None:
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
        assert harness.core.retired and not harness.node.is_running
        harness.peers[0].send(0, b"late")
        harness.clock.advance(10_000_000)
        assert len(harness.core.steps) == 1

    run(main())


def test_records_are_durable_before_datagrams_leave_and_before_the_next_step() -> None:
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
        await store.end()
        assert harness.take_delivered() == [(1, b"hello")] and harness.core.steps == [("receive", 1, b"one")]
        assert store.writes[0][0] == {b"k": b"1", b"gone": None} and harness.change_count == 1
        await store.end()
        assert harness.take_delivered() == [(1, b"said")] and harness.change_count == 2
        assert [one[2] for one in harness.core.steps] == [b"one", b"two"]
        await harness.node.close()
        assert store.closed
        # Its write ends after the end of this process's part: nothing leaves.
        await store.end()
        assert not harness.take_delivered()

    run(main())


def test_a_write_from_before_a_restart_sends_nothing_after_it() -> None:
    async def main() -> None:
        store = ControlledStore()
        harness = NodeHarness(store)
        await harness.node.start()
        _, former = store.writes.pop()
        await harness.node.retire()
        await harness.node.restart()
        harness.receive(b"it waits for the new life's write")
        former.set_result(None)
        await run_ready_callbacks()
        assert not harness.take_delivered() and not harness.core.steps
        await store.end()
        assert harness.take_delivered() == [(1, b"hello")] and len(harness.core.steps) == 1
        await harness.node.close()

    run(main())


def test_steps_that_wait_for_the_store_are_bounded() -> None:
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
        # It has lost the lead meanwhile, as an entry's turn comes.
        harness.core.answers["propose"] = NotLeaderError(2)
        await store.end()
        assert len(harness.core.steps) == MAX_QUEUED_STEPS and harness.core.steps[0] == (
            "propose",
            b"in its turn",
        )
        assert harness.node.counters["refused"] == 1
        await harness.node.close()

    run(main())


def test_a_queued_leader_message_keeps_the_epoch_it_speaks_of() -> None:
    async def main() -> None:
        store = ControlledStore()
        harness = NodeHarness(store)
        await harness.node.start()  # begins with a write
        harness.core.epoch = ClusterEpoch(1, 7)
        harness.node.send_to_leader(b"of the first")
        harness.core.epoch = ClusterEpoch(2, 5)
        await store.end()
        assert harness.core.steps == [("send_to_leader", b"of the first", ClusterEpoch(1, 7))]
        await harness.node.close()

    run(main())


def test_one_timer_follows_the_core() -> None:
    async def main() -> None:
        harness = NodeHarness()
        await harness.node.start()
        now, core = harness.clock.now(), harness.core
        core.due_us = now + 5_000
        harness.receive(b"x")
        core.due_us = now + 9_000  # put off: the timer looks again
        harness.receive(b"x")
        harness.clock.advance(8_999)
        assert ("tick", now + 9_000) not in core.steps
        harness.clock.advance(1)
        assert core.steps[-1] == ("tick", now + 9_000)
        core.due_us = now + 9_001  # sooner than what the timer stands at
        harness.receive(b"x")
        core.answers["tick"] = StepEffects()
        harness.clock.advance(MIN_TICK_DELAY_US)
        assert core.steps[-1] == ("tick", now + 9_000 + MIN_TICK_DELAY_US)
        ticks = sum(one[0] == "tick" for one in core.steps)
        harness.clock.advance(999_999)
        assert sum(one[0] == "tick" for one in core.steps) == ticks
        await harness.node.close()

    run(main())


def test_a_core_that_is_always_due_does_not_occupy_the_event_loop() -> None:
    async def main() -> None:
        harness = NodeHarness()
        await harness.node.start()

        class Eager(ScriptedCore):
            def tick(self, now: int) -> StepEffects:
                return self._step("tick", now)

        core = Eager(1, {})
        assert harness.node.runner is not None
        harness.node.runner.core = core
        core.due_us = 0
        harness.receive(b"x")
        harness.clock.advance(10 * MIN_TICK_DELAY_US)
        assert sum(one[0] == "tick" for one in core.steps) == 10
        await harness.node.close()

    run(main())


def test_callers_get_the_errors_of_their_steps() -> None:
    async def main() -> None:
        harness = NodeHarness()
        with pytest.raises(NotLeaderError, match="no process leads"):
            harness.node.propose(b"x")
        harness.node.send_to_leader(b"nobody takes part: it is lost")
        await harness.node.start()
        with pytest.raises(NotLeaderError, match="peer 2 leads"):
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


def test_leader_messages_and_changes_are_notified_in_a_turn_of_their_own() -> None:
    async def main() -> None:
        harness = NodeHarness()
        await harness.node.start()
        harness.clock.advance(0)
        notified: list[Any] = []

        def hears(peer: int, incarnation: int, data: bytes) -> None:
            assert harness.node.runner is not None
            notified.append((peer, incarnation, data, harness.node.runner.is_busy))
            harness.node.propose(b"upon it")

        harness.node.on_leader_message = hears
        harness.core.role = ReplicaRole.LEADER
        harness.core.on_leader_message(1, 7, b"word")
        harness.core.answers["receive"] = StepEffects(state_changed=True)
        for _ in range(3):
            harness.receive(b"x")
        assert not notified and harness.change_count == 1
        harness.clock.advance(0)
        assert notified == [(1, 7, b"word", False)] and harness.change_count == 2, (
            "changes at one time are notified once"
        )
        harness.core.on_leader_message(1, 7, b"late")
        await harness.node.close()
        harness.clock.advance(0)
        assert len(notified) == 1

    run(main())


def test_a_caller_within_a_step_waits_for_its_turn() -> None:
    async def main() -> None:
        harness = NodeHarness()
        await harness.node.start()
        node, core = harness.node, harness.core
        core.role = ReplicaRole.LEADER

        class Within(dict[str, Any]):
            def get(self, name: str, default: Any = None) -> Any:
                if name == "receive":
                    node.propose(b"from within")
                    assert [one[0] for one in core.steps] == ["receive"]
                    raise NotLeaderError(None)
                return default

        core.answers = Within()
        harness.receive(b"x")
        assert [one[0] for one in core.steps] == ["receive", "propose"]
        await node.close()

    run(main())


# --- Failing ----------------------------------------------------------------------------


@pytest.mark.parametrize("at", ["open", "load", "start", "later"])
def test_a_failing_store_ends_the_participation_with_one_line(at: str) -> None:
    async def main() -> None:
        class Failing(ControlledStore):
            async def load(self) -> dict[bytes, bytes]:
                if at == "load":
                    raise StoreError("can't be\nread")
                return await super().load()

        store = Failing()
        harness = NodeHarness(store)
        if at == "open":

            async def open_store() -> Store:
                raise StoreError("the store can't be opened: damaged")

            harness.node.open_store = open_store
        await harness.node.start()
        if at == "later":
            await store.end()
            harness.core.answers["receive"] = StepEffects(
                persist={b"k": b"1"}, outgoing=SEND_AND_NOTIFY.outgoing
            )
            harness.receive(b"x")
        if at in ("start", "later"):
            assert harness.node.is_running
            harness.take_delivered()
            await store.end(StoreError("the disk fails: No space left on device"))
        await run_ready_callbacks()
        harness.clock.advance(0)
        assert (
            harness.node.stage is NodeStage.FAILED
            and not harness.node.is_running
            and harness.change_count >= 1
        )
        assert not harness.take_delivered(), "what was not persisted was not sent"
        assert (
            len(harness.log_lines) == 1
            and "\n" not in harness.log_lines[0]
            and StoreError.remedy in harness.log_lines[0]
        )
        assert harness.node.status()["failure"] == harness.node.failure != ""
        assert 0 not in harness.network.open_links, "the address is free"
        if at != "open":
            assert store.closed
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
def test_a_failing_core_does_not_harm_the_process(answer: StepEffects | Exception) -> None:
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


def test_a_store_that_can_not_be_closed_is_reported_and_left() -> None:
    async def main() -> None:
        class Stuck(ControlledStore):
            async def close(self) -> None:
                raise OSError("the disk is gone")

        harness = NodeHarness(Stuck())
        await harness.node.start()
        await harness.node.close()
        assert harness.log_lines == ["accord: the store was not closed: the disk is gone"]
        assert 0 not in harness.network.open_links

    run(main())


# --- Addresses --------------------------------------------------------------------------


def test_it_waits_for_an_address_that_another_process_has() -> None:
    async def main() -> None:
        harness = NodeHarness()

        class Taken(MemoryLink):
            def open(self, receive: Callable[[int, bytes], None]) -> None:
                if 0 in harness.network.open_links:
                    raise OSError(errno.EADDRINUSE, "taken")
                super().open(receive)

        first, second = harness.node, harness.make_node(lambda: Taken(harness.network, 0))
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
        third = harness.make_node(lambda: Taken(harness.network, 0))
        await first.restart()
        assert first.stage is NodeStage.CLOSED
        blocker = harness.network.link(0)
        blocker.open(lambda peer, data: None)
        await third.start()
        await third.close()
        blocker.close()
        harness.clock.advance(BIND_RETRY_US)
        await run_ready_callbacks()
        assert not third.is_running and not harness.network.open_links.get(0)

    run(main())


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_it_waits_for_a_socket_that_the_machine_has_not_just_now(error: int) -> None:
    """At the start, and where it restarts because nobody took over."""

    async def main() -> None:
        harness = NodeHarness()
        failing = [True]

        class Short(MemoryLink):
            def open(self, receive: Callable[[int, bytes], None]) -> None:
                if failing[0]:
                    raise OSError(error, os.strerror(error))
                super().open(receive)

        async def comes_back() -> None:
            assert node.stage is NodeStage.WAITING
            harness.clock.advance(BIND_RETRY_US)
            await run_ready_callbacks()
            assert node.stage is NodeStage.WAITING
            failing[0] = False
            harness.clock.advance(BIND_RETRY_US)
            await run_ready_callbacks()
            assert node.is_running

        node = harness.make_node(lambda: Short(harness.network, 0))
        await node.start()
        await comes_back()
        await node.retire()
        failing[0] = True
        await node.restart()
        await comes_back()
        assert len(harness.log_lines) == 2 and os.strerror(error) in harness.log_lines[0]
        await node.close()

    run(main())


def test_an_address_that_can_not_be_bound_at_all_is_the_caller_s_error() -> None:
    async def main() -> None:
        class Nowhere(MemoryLink):
            def open(self, receive: Callable[[int, bytes], None]) -> None:
                raise OSError(errno.EADDRNOTAVAIL, "no such address here")

        harness = NodeHarness()
        node = harness.make_node(lambda: Nowhere(harness.network, 0))
        with pytest.raises(OSError, match="no such address here"):
            await node.start()
        await node.close()

    run(main())


# --- Handing on -------------------------------------------------------------------------


def test_a_successor_starts_from_the_retired_node_s_records() -> None:
    async def main() -> None:
        harness = NodeHarness()
        await harness.node.start()
        harness.core.answers["receive"] = StepEffects(persist={b"log": b"1"})
        harness.receive(b"x")
        records = await harness.node.retire()
        assert (
            records == harness.cores[0].records and harness.cores[0].retired and not harness.node.is_running
        )
        assert await harness.node.retire() == {}
        successor = harness.make_node()
        await successor.start(records)
        assert (
            harness.cores[1].incarnation == harness.cores[0].incarnation
            and harness.cores[1].records[b"log"] == b"1"
        )
        await successor.close()
        # It died before it took over: the old one is another member from now on.
        await harness.node.restart()
        assert harness.node.is_running and harness.cores[2].incarnation != harness.cores[0].incarnation
        assert harness.state_machine.loaded == [b""], "the record is learned anew"
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


def test_unreadable_records_of_a_predecessor_are_dropped() -> None:
    async def main() -> None:
        for store in (NoStore(), ControlledStore({b"i": b"?"})):
            harness = NodeHarness(store)

            def refuse(
                incarnation: int, records: Mapping[bytes, bytes], harness: NodeHarness = harness
            ) -> ConsensusCore:
                if records:
                    raise StoredStateError("of another list of peers")
                harness.cores.append(ScriptedCore(incarnation, records))
                return harness.cores[-1]

            harness.node.make_core = refuse
            await harness.node.start({b"i": b"?"})
            assert harness.node.is_running is not store.is_durable and len(harness.log_lines) == 1
            if store.is_durable:
                # The operator's to decide: it may hold the only copy of what was committed.
                assert StoredStateError.remedy in harness.log_lines[0]
            await harness.node.close()

    run(main())


def test_a_restart_with_a_durable_store_keeps_the_incarnation() -> None:
    async def main() -> None:
        disk, found = SimulatedDisk(), list[int]()
        for _ in range(3):
            harness = NodeHarness()

            async def open_store(disk: SimulatedDisk = disk) -> Store:
                return await EmbeddedStore.open(disk)

            harness.node.open_store = open_store
            await harness.node.start()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while not harness.take_delivered():  # said once it is durable
                    await asyncio.sleep(0)
            found.append(harness.core.incarnation)
            await harness.node.close()
            disk = disk.lose_power(random.Random(1))
        assert len(set(found)) == 1

    run(main())


def test_status_is_plain() -> None:
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
