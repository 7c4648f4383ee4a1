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
    SAY,
    ControlledStore,
    NodeBench,
    ScriptedCore,
    loop_turns,
)
from tests.sockets import TEST_TIMEOUT_S, run

# --- Steps ------------------------------------------------------------------------------


def test_a_step_s_datagrams_leave_at_once_where_nothing_is_persisted() -> None:
    async def main() -> None:
        bench = NodeBench()
        assert not bench.node.is_running and not bench.node.is_caught_up and not bench.node.has_leader_contact
        await bench.node.start()
        assert bench.arrive() == [(1, b"hello")] and bench.changes == 1
        bench.core.answers["receive"] = SAY
        bench.receive(b"x", peer=2)
        assert bench.arrive() == [(1, b"said")] and bench.changes == 2
        assert bench.core.steps == [("receive", 2, b"x")]
        assert bench.node.is_running and bench.node.is_caught_up and bench.node.has_leader_contact
        await bench.node.close()
        assert bench.core.retired and not bench.node.is_running
        bench.peers[0].send(0, b"late")
        bench.clock.advance(10_000_000)
        assert len(bench.core.steps) == 1

    run(main())


def test_records_are_durable_before_datagrams_leave_and_before_the_next_step() -> None:
    async def main() -> None:
        store = ControlledStore()
        bench = NodeBench(store)
        await bench.node.start()
        assert [changes for changes, _ in store.writes] == [{b"i": bench.core.incarnation.to_bytes(8)}]
        bench.receive(b"one")
        bench.receive(b"two")
        assert not bench.arrive() and not bench.core.steps
        bench.core.answers["receive"] = StepEffects(
            persist={b"k": b"1", b"gone": None}, outgoing=SAY.outgoing, state_changed=True
        )
        await store.end()
        assert bench.arrive() == [(1, b"hello")] and bench.core.steps == [("receive", 1, b"one")]
        assert store.writes[0][0] == {b"k": b"1", b"gone": None} and bench.changes == 1
        await store.end()
        assert bench.arrive() == [(1, b"said")] and bench.changes == 2
        assert [one[2] for one in bench.core.steps] == [b"one", b"two"]
        await bench.node.close()
        assert store.closed
        # Its write ends after the end of this process's part: nothing leaves.
        await store.end()
        assert not bench.arrive()

    run(main())


def test_a_write_from_before_a_restart_sends_nothing_after_it() -> None:
    async def main() -> None:
        store = ControlledStore()
        bench = NodeBench(store)
        await bench.node.start()
        _, former = store.writes.pop()
        await bench.node.retire()
        await bench.node.restart()
        bench.receive(b"it waits for the new life's write")
        former.set_result(None)
        await loop_turns()
        assert not bench.arrive() and not bench.core.steps
        await store.end()
        assert bench.arrive() == [(1, b"hello")] and len(bench.core.steps) == 1
        await bench.node.close()

    run(main())


def test_steps_that_wait_for_the_store_are_bounded() -> None:
    async def main() -> None:
        store = ControlledStore()
        bench = NodeBench(store)
        await bench.node.start()
        bench.core.role = ReplicaRole.LEADER
        bench.node.propose(b"in its turn")
        for n in range(MAX_QUEUED_STEPS + 9):
            bench.receive(n.to_bytes(2))
        with pytest.raises(BusyError):
            bench.node.propose(b"one too many")
        with pytest.raises(BusyError):
            bench.node.send_to_leader(b"one too many")
        bench.clock.advance(0)
        assert bench.node.counters == {"waited": MAX_QUEUED_STEPS, "dropped": 10, "refused": 0}
        # It has lost the lead meanwhile, as an entry's turn comes.
        bench.core.answers["propose"] = NotLeaderError(2)
        await store.end()
        assert len(bench.core.steps) == MAX_QUEUED_STEPS and bench.core.steps[0] == (
            "propose",
            b"in its turn",
        )
        assert bench.node.counters["refused"] == 1
        await bench.node.close()

    run(main())


def test_a_queued_leader_message_keeps_the_epoch_it_speaks_of() -> None:
    async def main() -> None:
        store = ControlledStore()
        bench = NodeBench(store)
        await bench.node.start()  # begins with a write
        bench.core.epoch = ClusterEpoch(1, 7)
        bench.node.send_to_leader(b"of the first")
        bench.core.epoch = ClusterEpoch(2, 5)
        await store.end()
        assert bench.core.steps == [("send_to_leader", b"of the first", ClusterEpoch(1, 7))]
        await bench.node.close()

    run(main())


def test_one_timer_follows_the_core() -> None:
    async def main() -> None:
        bench = NodeBench()
        await bench.node.start()
        now, core = bench.clock.now(), bench.core
        core.due_us = now + 5_000
        bench.receive(b"x")
        core.due_us = now + 9_000  # put off: the timer looks again
        bench.receive(b"x")
        bench.clock.advance(8_999)
        assert ("tick", now + 9_000) not in core.steps
        bench.clock.advance(1)
        assert core.steps[-1] == ("tick", now + 9_000)
        core.due_us = now + 9_001  # sooner than what the timer stands at
        bench.receive(b"x")
        core.answers["tick"] = StepEffects()
        bench.clock.advance(MIN_TICK_DELAY_US)
        assert core.steps[-1] == ("tick", now + 9_000 + MIN_TICK_DELAY_US)
        ticks = sum(one[0] == "tick" for one in core.steps)
        bench.clock.advance(999_999)
        assert sum(one[0] == "tick" for one in core.steps) == ticks
        await bench.node.close()

    run(main())


def test_a_core_that_is_always_due_does_not_occupy_the_event_loop() -> None:
    async def main() -> None:
        bench = NodeBench()
        await bench.node.start()

        class Eager(ScriptedCore):
            def tick(self, now: int) -> StepEffects:
                return self._step("tick", now)

        core = Eager(1, {})
        assert bench.node.runner is not None
        bench.node.runner.core = core
        core.due_us = 0
        bench.receive(b"x")
        bench.clock.advance(10 * MIN_TICK_DELAY_US)
        assert sum(one[0] == "tick" for one in core.steps) == 10
        await bench.node.close()

    run(main())


def test_callers_get_the_errors_of_their_steps() -> None:
    async def main() -> None:
        bench = NodeBench()
        with pytest.raises(NotLeaderError, match="no process leads"):
            bench.node.propose(b"x")
        bench.node.send_to_leader(b"nobody takes part: it is lost")
        await bench.node.start()
        with pytest.raises(NotLeaderError, match="peer 2 leads"):
            bench.node.propose(b"x")
        bench.core.role = ReplicaRole.LEADER
        assert bench.node.is_leader and bench.node.leader_id == 2
        bench.core.answers["propose"] = BusyError(f"{MAX_PENDING_PROPOSALS} wait")
        with pytest.raises(BusyError):
            bench.node.propose(b"x")
        for call in (bench.node.propose, bench.node.send_to_leader):
            with pytest.raises(EntryError):
                call(b"x" * 161)
        bench.core.answers["propose"] = SAY
        bench.node.propose(b"x" * 160)
        bench.node.send_to_leader(b"w")
        assert bench.core.steps[-2:] == [("propose", b"x" * 160), ("send_to_leader", b"w", NO_EPOCH)]
        assert (1, b"said") in bench.arrive()
        await bench.node.close()

    run(main())


def test_leader_messages_and_changes_are_notified_in_a_turn_of_their_own() -> None:
    async def main() -> None:
        bench = NodeBench()
        await bench.node.start()
        bench.clock.advance(0)
        notified: list[Any] = []

        def hears(peer: int, incarnation: int, data: bytes) -> None:
            assert bench.node.runner is not None
            notified.append((peer, incarnation, data, bench.node.runner.is_busy))
            bench.node.propose(b"upon it")

        bench.node.on_leader_message = hears
        bench.core.role = ReplicaRole.LEADER
        bench.core.on_leader_message(1, 7, b"word")
        bench.core.answers["receive"] = StepEffects(state_changed=True)
        for _ in range(3):
            bench.receive(b"x")
        assert not notified and bench.changes == 1
        bench.clock.advance(0)
        assert notified == [(1, 7, b"word", False)] and bench.changes == 2, (
            "changes at one time are notified once"
        )
        bench.core.on_leader_message(1, 7, b"late")
        await bench.node.close()
        bench.clock.advance(0)
        assert len(notified) == 1

    run(main())


def test_a_caller_within_a_step_waits_for_its_turn() -> None:
    async def main() -> None:
        bench = NodeBench()
        await bench.node.start()
        node, core = bench.node, bench.core
        core.role = ReplicaRole.LEADER

        class Within(dict[str, Any]):
            def get(self, name: str, default: Any = None) -> Any:
                if name == "receive":
                    node.propose(b"from within")
                    assert [one[0] for one in core.steps] == ["receive"]
                    raise NotLeaderError(None)
                return default

        core.answers = Within()
        bench.receive(b"x")
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
        bench = NodeBench(store)
        if at == "open":

            async def open_store() -> Store:
                raise StoreError("the store can't be opened: damaged")

            bench.node.open_store = open_store
        await bench.node.start()
        if at == "later":
            await store.end()
            bench.core.answers["receive"] = StepEffects(persist={b"k": b"1"}, outgoing=SAY.outgoing)
            bench.receive(b"x")
        if at in ("start", "later"):
            assert bench.node.is_running
            bench.arrive()
            await store.end(StoreError("the disk fails: No space left on device"))
        await loop_turns()
        bench.clock.advance(0)
        assert bench.node.stage is NodeStage.FAILED and not bench.node.is_running and bench.changes >= 1
        assert not bench.arrive(), "what was not persisted was not sent"
        assert len(bench.lines) == 1 and "\n" not in bench.lines[0] and StoreError.remedy in bench.lines[0]
        assert bench.node.status()["failure"] == bench.node.failure != ""
        assert 0 not in bench.network.open_links, "the address is free"
        if at != "open":
            assert store.closed
        with pytest.raises(NotLeaderError):
            bench.node.propose(b"x")
        assert await bench.node.retire() == {}
        await bench.node.restart()
        assert bench.node.stage is NodeStage.FAILED
        await bench.node.close()

    run(main())


@pytest.mark.parametrize(
    "answer",
    [RuntimeError("a fault"), StepEffects(outgoing=[(9, b"x")]), StepEffects(outgoing=[(1, b"x" * 257)])],
)
def test_a_failing_core_does_not_harm_the_process(answer: StepEffects | Exception) -> None:
    async def main() -> None:
        bench = NodeBench()
        await bench.node.start()
        bench.core.answers["receive"] = answer
        bench.receive(b"x")
        await loop_turns()
        assert bench.node.stage is NodeStage.FAILED and len(bench.lines) == 1
        assert 0 not in bench.network.open_links
        if isinstance(answer, StepEffects):
            assert LinkError.remedy in bench.lines[0]
        await bench.node.close()

    run(main())


def test_a_store_that_can_not_be_closed_is_reported_and_left() -> None:
    async def main() -> None:
        class Stuck(ControlledStore):
            async def close(self) -> None:
                raise OSError("the disk is gone")

        bench = NodeBench(Stuck())
        await bench.node.start()
        await bench.node.close()
        assert bench.lines == ["accord: the store was not closed: the disk is gone"]
        assert 0 not in bench.network.open_links

    run(main())


# --- Addresses --------------------------------------------------------------------------


def test_it_waits_for_an_address_that_another_process_has() -> None:
    async def main() -> None:
        bench = NodeBench()

        class Taken(MemoryLink):
            def open(self, receive: Callable[[int, bytes], None]) -> None:
                if 0 in bench.network.open_links:
                    raise OSError(errno.EADDRINUSE, "taken")
                super().open(receive)

        first, second = bench.node, bench.make(lambda: Taken(bench.network, 0))
        await first.start()
        await second.start()
        assert second.stage is NodeStage.WAITING and len(bench.cores) == 1
        for _ in range(3):
            bench.clock.advance(BIND_RETRY_US)
            await loop_turns()
        assert len(bench.lines) == 1 and second.stage is NodeStage.WAITING
        await first.close()
        bench.clock.advance(BIND_RETRY_US)
        await loop_turns()
        assert second.is_running and bench.cores[0].incarnation != bench.cores[1].incarnation
        await second.close()
        third = bench.make(lambda: Taken(bench.network, 0))
        await first.restart()
        assert first.stage is NodeStage.CLOSED
        blocker = bench.network.link(0)
        blocker.open(lambda peer, data: None)
        await third.start()
        await third.close()
        blocker.close()
        bench.clock.advance(BIND_RETRY_US)
        await loop_turns()
        assert not third.is_running and not bench.network.open_links.get(0)

    run(main())


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM])
def test_it_waits_for_a_socket_that_the_machine_has_not_just_now(error: int) -> None:
    """At the start, and where it restarts because nobody took over."""

    async def main() -> None:
        bench = NodeBench()
        failing = [True]

        class Short(MemoryLink):
            def open(self, receive: Callable[[int, bytes], None]) -> None:
                if failing[0]:
                    raise OSError(error, os.strerror(error))
                super().open(receive)

        async def comes_back() -> None:
            assert node.stage is NodeStage.WAITING
            bench.clock.advance(BIND_RETRY_US)
            await loop_turns()
            assert node.stage is NodeStage.WAITING
            failing[0] = False
            bench.clock.advance(BIND_RETRY_US)
            await loop_turns()
            assert node.is_running

        node = bench.make(lambda: Short(bench.network, 0))
        await node.start()
        await comes_back()
        await node.retire()
        failing[0] = True
        await node.restart()
        await comes_back()
        assert len(bench.lines) == 2 and os.strerror(error) in bench.lines[0]
        await node.close()

    run(main())


def test_an_address_that_can_not_be_bound_at_all_is_the_caller_s_error() -> None:
    async def main() -> None:
        class Nowhere(MemoryLink):
            def open(self, receive: Callable[[int, bytes], None]) -> None:
                raise OSError(errno.EADDRNOTAVAIL, "no such address here")

        bench = NodeBench()
        node = bench.make(lambda: Nowhere(bench.network, 0))
        with pytest.raises(OSError, match="no such address here"):
            await node.start()
        await node.close()

    run(main())


# --- Handing on -------------------------------------------------------------------------


def test_a_successor_starts_from_the_retired_node_s_records() -> None:
    async def main() -> None:
        bench = NodeBench()
        await bench.node.start()
        bench.core.answers["receive"] = StepEffects(persist={b"log": b"1"})
        bench.receive(b"x")
        records = await bench.node.retire()
        assert records == bench.cores[0].records and bench.cores[0].retired and not bench.node.is_running
        assert await bench.node.retire() == {}
        successor = bench.make()
        await successor.start(records)
        assert (
            bench.cores[1].incarnation == bench.cores[0].incarnation
            and bench.cores[1].records[b"log"] == b"1"
        )
        await successor.close()
        # It died before it took over: the old one is another member from now on.
        await bench.node.restart()
        assert bench.node.is_running and bench.cores[2].incarnation != bench.cores[0].incarnation
        assert bench.machine.loaded == [b""], "the record is learned anew"
        await bench.node.restart()
        assert len(bench.cores) == 3
        await bench.node.close()

    run(main())


def test_a_durable_store_takes_precedence_over_a_predecessor_s_records() -> None:
    async def main() -> None:
        bench = NodeBench(ControlledStore({b"i": (5).to_bytes(8), b"newer": b"1"}))
        await bench.node.start({b"i": (6).to_bytes(8)})
        assert bench.core.incarnation == 5 and b"newer" in bench.core.records
        await bench.node.close()

    run(main())


def test_unreadable_records_of_a_predecessor_are_dropped() -> None:
    async def main() -> None:
        for store in (NoStore(), ControlledStore({b"i": b"?"})):
            bench = NodeBench(store)

            def refuse(
                incarnation: int, records: Mapping[bytes, bytes], bench: NodeBench = bench
            ) -> ConsensusCore:
                if records:
                    raise StoredStateError("of another list of peers")
                bench.cores.append(ScriptedCore(incarnation, records))
                return bench.cores[-1]

            bench.node.make_core = refuse
            await bench.node.start({b"i": b"?"})
            assert bench.node.is_running is not store.is_durable and len(bench.lines) == 1
            if store.is_durable:
                # The operator's to decide: it may hold the only copy of what was committed.
                assert StoredStateError.remedy in bench.lines[0]
            await bench.node.close()

    run(main())


def test_a_restart_with_a_durable_store_keeps_the_incarnation() -> None:
    async def main() -> None:
        disk, found = SimulatedDisk(), list[int]()
        for _ in range(3):
            bench = NodeBench()

            async def open_store(disk: SimulatedDisk = disk) -> Store:
                return await EmbeddedStore.open(disk)

            bench.node.open_store = open_store
            await bench.node.start()
            async with asyncio.timeout(TEST_TIMEOUT_S):
                while not bench.arrive():  # said once it is durable
                    await asyncio.sleep(0)
            found.append(bench.core.incarnation)
            await bench.node.close()
            disk = disk.lose_power(random.Random(1))
        assert len(set(found)) == 1

    run(main())


def test_status_is_plain() -> None:
    async def main() -> None:
        bench = NodeBench()
        assert bench.node.status() == {"stage": "new", "failure": ""}
        await bench.node.start()
        status = bench.node.status()
        assert status["role"] == "follower" and status["era"] == {"generation": 0, "id": "0" * 16}
        assert status["incarnation"] == f"{bench.core.incarnation:016x}" and not status["lasting"]
        assert status["link"]["sent"] == 1 and status["counters"]["foreign"] == 0
        await bench.node.close()

    run(main())
