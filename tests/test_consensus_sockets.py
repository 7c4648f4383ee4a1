"""Nodes of one tier with the real core, connected by real sockets."""

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


@pytest.mark.parametrize("uses_unix_sockets", [False, True])
def test_processes_replicate_over_sockets(uses_unix_sockets: bool, tmp_path: Path) -> None:
    async def main() -> None:
        tier = Tier(4, 3, tmp_path, uses_unix_sockets)
        for replica_id in range(4):
            await tier.start(replica_id)
        for n in range(5):
            await tier.replicate(b"entry %d" % n)
        applied_sequences = {tuple(state_machine.applied) for state_machine in tier.state_machines.values()}
        assert len(applied_sequences) == 1
        status = tier.nodes[3].status()
        assert status["role"] == "learner" and status["known"] and status["link"]["received"]
        # A leader message from a learner reaches the leader.
        messages_received: list[tuple[int, int, bytes]] = []
        leader = await tier.wait_for_leader()
        leader.on_leader_message = lambda *message: (messages_received.append(message), tier.changed.set())[0]  # type: ignore[func-returns-value]
        tier.nodes[3].send_to_leader(b"a message")
        await tier.wait_until(lambda: bool(messages_received))
        assert messages_received[0] == (3, tier.nodes[3].incarnation, b"a message")
        await tier.stop()
        assert not tier.log_lines

    run(main())


def test_a_process_that_restarts_with_an_empty_state_is_a_new_incarnation_and_catches_up() -> None:
    async def main() -> None:
        tier = Tier(3, 3)
        for replica_id in range(3):
            await tier.start(replica_id)
        await tier.replicate(b"before")
        incarnation_before = tier.nodes[1].incarnation
        await tier.stop(1)
        await tier.replicate(b"meanwhile")
        await tier.start(1)
        await tier.replicate(b"after")
        assert tier.nodes[1].incarnation != incarnation_before
        assert tier.state_machines[1].applied[-1] == b"after" and tier.nodes[1].is_caught_up
        await tier.stop()

    run(main())


def test_processes_with_durable_stores_restart_as_the_same_incarnations_without_loss(tmp_path: Path) -> None:
    async def main() -> None:
        tier = Tier(3, 3, tmp_path)
        for replica_id in range(3):
            await tier.start(replica_id, durable=True)
        await tier.replicate(b"before")
        incarnation_before = {replica_id: node.incarnation for replica_id, node in tier.nodes.items()}
        epoch = tier.nodes[0].epoch
        await tier.stop()
        for replica_id in range(3):
            await tier.start(replica_id, durable=True)
        await tier.replicate(b"after")
        assert {replica_id: node.incarnation for replica_id, node in tier.nodes.items()} == incarnation_before
        assert tier.nodes[0].epoch == epoch and tier.nodes[0].status()["lasting"]
        assert all(b"before" in state_machine.applied for state_machine in tier.state_machines.values())
        await tier.stop()
        assert not tier.log_lines

    run(main())


def test_a_store_that_fails_in_service_does_not_stop_the_others(tmp_path: Path) -> None:
    async def main() -> None:
        tier = Tier(3, 3, tmp_path)
        for replica_id in range(3):
            await tier.start(replica_id, durable=True)
        await tier.replicate(b"before")
        failing_store = tier.nodes[2].store
        assert isinstance(failing_store, EmbeddedStore)

        def write_to_full_disk(name: str, offset: int, data: bytes) -> None:
            raise OSError(errno.ENOSPC, "No space left on device")

        failing_store.store.disk.write = write_to_full_disk  # type: ignore[method-assign]
        leader = next(node for node in tier.nodes.values() if node.is_leader)
        leader.propose(b"one it can't keep")
        await tier.wait_until(lambda: tier.nodes[2].stage is NodeStage.FAILED)
        assert sum("no longer takes part" in line for line in tier.log_lines) == 1
        assert not tier.nodes[2].is_caught_up and tier.nodes[2].status()["failure"]
        await tier.stop(2)
        await tier.replicate(b"after")
        await tier.stop()

    run(main())


def test_garbage_and_future_versions_are_dropped_and_counted_without_other_effects() -> None:
    async def main() -> None:
        tier = Tier(3, 3)
        for replica_id in range(3):
            await tier.start(replica_id)
        await tier.replicate(b"before")
        await tier.stop(2)
        host, ports = "127.0.0.1", [int(address.rpartition(":")[2]) for address in tier.peers]
        peer = UdpLink(tier.loop, (host, ports[2]), [(host, number) for number in ports], 2)
        peer.open(ReceivedDatagrams())
        rng = random.Random(3)
        valid = messages.encode(messages.IdentityRequest(7))
        junk = [
            b"",
            b"\x00",
            valid[:-1],
            valid + b"x",
            *(rng.randbytes(rng.randint(1, 256)) for _ in range(200)),
        ]
        junk = [bytes((messages.PROTOCOL_VERSION,)) + data[1:] for data in junk]
        future = [bytes((messages.PROTOCOL_VERSION + 1,)) + valid[1:], bytes((255,)) + bytes(255)]
        for number in (0, 1):
            for data in (*junk, *future):
                peer.send(number, data)
                await asyncio.sleep(0)
        node = tier.nodes[0]

        def are_all_counted() -> bool:
            counters = node.status()["counters"]
            return bool(counters["future"] >= len(future) and counters["unreadable"] >= 4)

        await tier.wait_until(are_all_counted)
        peer.close()
        await tier.replicate(b"after")
        assert not tier.log_lines
        await tier.stop()

    run(main())
