"""A daemon's participation in consensus, at its start and across hot restarts."""

from __future__ import annotations

import asyncio
import json
import socket
from pathlib import Path
from typing import Any

import pytest
from laurelstep.consensus import messages
from laurelstep.consensus.links.udp import UdpLink
from laurelstep.hot_restart.rendezvous import RendezvousPoint
from laurelstep.hot_restart.state import MAX_REPLICA_BYTES, decode_replica, encode_replica
from laurelstep.hot_restart.successor import PredecessorHandle, take_over
from laurelstep.store import StoreError
from laurelstep.store.manifest import MANIFEST

from tests.datagrams import free_udp_ports
from tests.sockets import SETTINGS, Endpoint, request, run
from tests.upgrades import Deployment, Version, kill


def test_the_records_of_a_predecessor_are_handed_over_completely_or_not_at_all() -> None:
    records = {b"me": bytes(range(256)), b"e\x00\xff": b""}
    state = {name: json.loads(raw) for name, raw in encode_replica(records).items()}
    assert decode_replica(state) == records
    assert encode_replica({}) == {} and decode_replica({}) is None
    assert encode_replica({b"k": bytes(MAX_REPLICA_BYTES)}) == {}
    malformed_states: list[Any] = [[], {}, {"a": 1}, {"?": "eA=="}, {"eA==": "x"}, {"eA==": "\xe9"}, "eA=="]
    for malformed in malformed_states:
        assert decode_replica({"accord": malformed}) is None


class IdentityClient:
    """Peer 1 of a tier whose peer 0 is a daemon: requests the daemon's identity, as any voter may."""

    def __init__(self, ports: list[int]) -> None:
        peers = [("127.0.0.1", port) for port in ports]
        self.link = UdpLink(asyncio.get_running_loop(), peers[1], peers, 1)
        self.nonce = 0
        self.answered = asyncio.Event()
        self.incarnation = 0
        self.link.open(self._on_datagram)

    def _on_datagram(self, peer: int, data: bytes) -> None:
        message = messages.decode(data)
        if isinstance(message, messages.IdentityResponse) and message.nonce == self.nonce:
            self.incarnation = message.incarnation
            self.answered.set()

    async def request_incarnation(self) -> int:
        """Return the incarnation that the daemon currently answers with."""
        self.nonce += 1
        self.answered.clear()
        while True:
            self.link.send(0, messages.encode(messages.IdentityRequest(self.nonce)))
            try:
                await asyncio.wait_for(self.answered.wait(), 0.05)
                return self.incarnation
            except TimeoutError:
                continue

    async def wait_for_other_incarnation(self, previous: int) -> int:
        while (incarnation := await self.request_incarnation()) == previous:
            pass
        return incarnation


def tier_of_three(
    folder: Path, operator_toml: str = "[accord]\n"
) -> tuple[list[int], dict[str, Any], dict[str, str]]:
    ports = free_udp_ports(3)
    peers = [f"127.0.0.1:{port}" for port in ports]
    path = folder / "operator.toml"
    path.write_text(operator_toml)
    changes = {"peer_listen": peers[0], "peers": peers, "settings": {**SETTINGS, "me": 0, "instances": 3}}
    return ports, changes, {"LB_OPERATOR": str(path)}


@pytest.mark.parametrize("is_durable", [False, True])
def test_a_successor_is_the_same_member_and_a_restarted_process_only_with_a_store(
    is_durable: bool, tmp_path: Path
) -> None:
    async def main() -> None:
        operator_toml = f"[accord]\nstore_path = '{tmp_path}/store'\n" if is_durable else "[accord]\n"
        ports, changes, environ = tier_of_three(tmp_path, operator_toml)
        async with Deployment(tmp_path, **changes) as deployment:

            async def start_version() -> Version:
                version = await deployment.start(**environ)
                await version.wait_ready()
                return version

            client = IdentityClient(ports)
            old = await start_version()
            first_incarnation = await client.request_incarnation()
            new = await start_version()
            assert await client.request_incarnation() == first_incarnation, (
                "the successor must continue as the same incarnation"
            )
            assert b"accord" not in await old.stop()
            assert await client.request_incarnation() == first_incarnation
            kill(new)
            await new.process.wait()
            restarted = await start_version()
            assert (await client.request_incarnation() == first_incarnation) is is_durable
            assert not await restarted.stop()
            client.link.close()

    run(main())


def test_a_process_whose_successor_disconnects_continues_as_another_member(tmp_path: Path) -> None:
    async def main() -> None:
        ports, changes, environ = tier_of_three(tmp_path)
        async with Deployment(tmp_path, **changes) as deployment:
            old = await deployment.start(**environ)
            await old.wait_ready()
            client = IdentityClient(ports)
            first_incarnation = await client.request_incarnation()
            rendezvous = RendezvousPoint(("127.0.0.1", deployment.port), str(tmp_path))

            def connect() -> PredecessorHandle:
                return take_over(rendezvous, ("127.0.0.1", deployment.port))

            predecessor = await asyncio.to_thread(connect)
            records = decode_replica(predecessor.state)
            assert records is not None and len(records) >= 1
            # The member has no process now: the old process has retired, and its address is free.
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as probe:
                probe.bind(("127.0.0.1", ports[0]))
            predecessor.listener.close()
            predecessor.channel.close()
            assert await client.wait_for_other_incarnation(first_incarnation) not in (0, first_incarnation)
            client.link.close()
            assert not await old.stop()

    run(main())


def test_consensus_is_off_without_peers_and_logs_one_line(tmp_path: Path) -> None:
    async def main() -> None:
        _, changes, environ = tier_of_three(tmp_path, "[accord]\n[upkeep]\n")
        async with Deployment(tmp_path, **{**changes, "peers": None}) as deployment:
            daemon = await deployment.start(**environ)
            await daemon.wait_ready()
            lines = (await daemon.stop()).decode().splitlines()
            assert len([line for line in lines if "accord: off" in line]) == len(lines) == 1

    run(main())


@pytest.mark.parametrize(
    ("operator_toml", "listen", "expected"),
    [
        ("[accord]\nstore_path = '/proc/none'\n", "", "accord.store_path: /proc/none: "),
        ("[accord]\n", "192.0.2.1:7946", "accord.peer_listen: 192.0.2.1:7946: "),
    ],
)
def test_an_unusable_setting_at_the_start_gives_one_line_and_exit_code_2(
    operator_toml: str, listen: str, expected: str, tmp_path: Path
) -> None:
    async def main() -> None:
        _, changes, environ = tier_of_three(tmp_path, operator_toml)
        changes = {**changes, "peer_listen": listen or changes["peer_listen"]}
        async with Deployment(tmp_path, **changes) as deployment:
            daemon = await deployment.start(**environ)
            _, errors = await daemon.process.communicate()
            assert daemon.process.returncode == 2 and errors.count(b"\n") == 1
            assert expected.encode() in errors and b"operator.toml" in errors and b"expected" in errors

    run(main())


def test_requests_are_served_although_the_store_is_damaged(tmp_path: Path) -> None:
    async def main() -> None:
        folder = tmp_path / "store"
        folder.mkdir()
        (folder / MANIFEST).write_bytes(b"no manifest")
        _, changes, environ = tier_of_three(tmp_path, f"[accord]\nstore_path = '{folder}'\n")
        async with Deployment(tmp_path, Endpoint(), **changes) as deployment:
            daemon = await deployment.start(**environ)
            await daemon.wait_ready()
            assert (await deployment.send(request())).status == 200
            (line,) = (await daemon.stop()).decode().splitlines()
            assert "accord: this process no longer takes part, requests are still served" in line
            assert StoreError.remedy in line

    run(main())
