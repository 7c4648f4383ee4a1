"""Nodes of one tier over real sockets, with the real core."""

from __future__ import annotations

import asyncio
import errno
import random
from pathlib import Path

import pytest
from laurelstep.consensus import messages
from laurelstep.consensus.links.udp import UdpLink
from laurelstep.consensus.node import NodeStage
from laurelstep.consensus.stores.embedded import EmbeddedStore

from tests.consensus_tiers import Tier
from tests.datagrams import ReceivedDatagrams
from tests.sockets import run


@pytest.mark.parametrize("unix", [False, True])
def test_processes_replicate_over_sockets(unix: bool, tmp_path: Path) -> None:
    async def main() -> None:
        tier = Tier(4, 3, tmp_path, unix)
        for me in range(4):
            await tier.start(me)
        for n in range(5):
            await tier.replicate(b"entry %d" % n)
        orders = {tuple(one.applied) for one in tier.state_machines.values()}
        assert len(orders) == 1
        status = tier.nodes[3].status()
        assert status["role"] == "learner" and status["known"] and status["link"]["received"]
        # The leader gets a message of a learner.
        messages_received: list[tuple[int, int, bytes]] = []
        leader = await tier.wait_for_leader()
        leader.on_leader_message = lambda *one: (messages_received.append(one), tier.changed.set())[0]  # type: ignore[func-returns-value]
        tier.nodes[3].send_to_leader(b"a message")
        await tier.wait_until(lambda: bool(messages_received))
        assert messages_received[0] == (3, tier.nodes[3].incarnation, b"a message")
        await tier.stop()
        assert not tier.log_lines

    run(main())


def test_a_process_that_restarts_with_an_empty_state_is_another_and_catches_up() -> None:
    async def main() -> None:
        tier = Tier(3, 3)
        for me in range(3):
            await tier.start(me)
        await tier.replicate(b"before")
        first = tier.nodes[1].incarnation
        await tier.stop(1)
        await tier.replicate(b"meanwhile")
        await tier.start(1)
        await tier.replicate(b"after")
        assert tier.nodes[1].incarnation != first
        assert tier.state_machines[1].applied[-1] == b"after" and tier.nodes[1].is_caught_up
        await tier.stop()

    run(main())


def test_with_durable_stores_all_restart_as_the_same_and_nothing_is_lost(tmp_path: Path) -> None:
    async def main() -> None:
        tier = Tier(3, 3, tmp_path)
        for me in range(3):
            await tier.start(me, durable=True)
        await tier.replicate(b"before")
        first = {me: node.incarnation for me, node in tier.nodes.items()}
        epoch = tier.nodes[0].epoch
        await tier.stop()
        for me in range(3):
            await tier.start(me, durable=True)
        await tier.replicate(b"after")
        assert {me: node.incarnation for me, node in tier.nodes.items()} == first
        assert tier.nodes[0].epoch == epoch and tier.nodes[0].status()["lasting"]
        assert all(b"before" in one.applied for one in tier.state_machines.values())
        await tier.stop()
        assert not tier.log_lines

    run(main())


def test_a_store_that_fails_in_service_does_not_stop_the_others(tmp_path: Path) -> None:
    async def main() -> None:
        tier = Tier(3, 3, tmp_path)
        for me in range(3):
            await tier.start(me, durable=True)
        await tier.replicate(b"before")
        failing = tier.nodes[2].store
        assert isinstance(failing, EmbeddedStore)

        def full(name: str, offset: int, data: bytes) -> None:
            raise OSError(errno.ENOSPC, "No space left on device")

        failing.store.disk.write = full  # type: ignore[method-assign]
        leader = next(node for node in tier.nodes.values() if node.is_leader)
        leader.propose(b"one it can't keep")
        await tier.wait_until(lambda: tier.nodes[2].stage is NodeStage.FAILED)
        assert sum("takes no part any more" in line for line in tier.log_lines) == 1
        assert not tier.nodes[2].is_caught_up and tier.nodes[2].status()["failure"]
        await tier.stop(2)
        await tier.replicate(b"after")
        await tier.stop()

    run(main())


def test_garbage_and_future_versions_are_dropped_counted_and_harm_nothing() -> None:
    async def main() -> None:
        tier = Tier(3, 3)
        for me in range(3):
            await tier.start(me)
        await tier.replicate(b"before")
        await tier.stop(2)
        host, port = "127.0.0.1", [int(one.rpartition(":")[2]) for one in tier.peers]
        peer = UdpLink(tier.loop, (host, port[2]), [(host, one) for one in port], 2)
        peer.open(ReceivedDatagrams())
        draw = random.Random(3)
        good = messages.encode(messages.IdentityRequest(7))
        junk = [
            b"",
            b"\x00",
            good[:-1],
            good + b"x",
            *(draw.randbytes(draw.randint(1, 256)) for _ in range(200)),
        ]
        junk = [bytes((messages.PROTOCOL_VERSION,)) + one[1:] for one in junk]
        future = [bytes((messages.PROTOCOL_VERSION + 1,)) + good[1:], bytes((255,)) + bytes(255)]
        for number in (0, 1):
            for one in (*junk, *future):
                peer.send(number, one)
                await asyncio.sleep(0)
        node = tier.nodes[0]

        def counted() -> bool:
            found = node.status()["counters"]
            return bool(found["future"] >= len(future) and found["unreadable"] >= 4)

        await tier.wait_until(counted)
        peer.close()
        await tier.replicate(b"after")
        assert not tier.log_lines
        await tier.stop()

    run(main())
