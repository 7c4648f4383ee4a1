"""A daemon's participation in consensus, from one version to the next."""

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
from tests.upgrades import Site, Version, kill


def test_a_predecessor_s_records_cross_complete_or_not_at_all() -> None:
    kept = {b"me": bytes(range(256)), b"e\x00\xff": b""}
    state = {name: json.loads(raw) for name, raw in encode_replica(kept).items()}
    assert decode_replica(state) == kept
    assert encode_replica({}) == {} and decode_replica({}) is None
    assert encode_replica({b"k": bytes(MAX_REPLICA_BYTES)}) == {}
    all_spoilt: list[Any] = [[], {}, {"a": 1}, {"?": "eA=="}, {"eA==": "x"}, {"eA==": "\xe9"}, "eA=="]
    for spoilt in all_spoilt:
        assert decode_replica({"accord": spoilt}) is None


class Watcher:
    """Peer 1 of a tier whose peer 0 is a daemon: asks it who it is, as a voter may."""

    def __init__(self, ports: list[int]) -> None:
        peers = [("127.0.0.1", port) for port in ports]
        self.link = UdpLink(asyncio.get_running_loop(), peers[1], peers, 1)
        self.nonce = 0
        self.answered = asyncio.Event()
        self.incarnation = 0
        self.link.open(self._hear)

    def _hear(self, peer: int, data: bytes) -> None:
        message = messages.decode(data)
        if isinstance(message, messages.IdentityResponse) and message.nonce == self.nonce:
            self.incarnation = message.incarnation
            self.answered.set()

    async def ask(self) -> int:
        """The incarnation that answers now."""
        self.nonce += 1
        self.answered.clear()
        while True:
            self.link.send(0, messages.encode(messages.IdentityRequest(self.nonce)))
            try:
                await asyncio.wait_for(self.answered.wait(), 0.05)
                return self.incarnation
            except TimeoutError:
                continue

    async def until_other(self, than: int) -> int:
        while (found := await self.ask()) == than:
            pass
        return found


def tier_of_three(folder: Path, text: str = "[accord]\n") -> tuple[list[int], dict[str, Any], dict[str, str]]:
    ports = free_udp_ports(3)
    peers = [f"127.0.0.1:{port}" for port in ports]
    path = folder / "operator.toml"
    path.write_text(text)
    changes = {"peer_listen": peers[0], "peers": peers, "settings": {**SETTINGS, "me": 0, "instances": 3}}
    return ports, changes, {"LB_OPERATOR": str(path)}


@pytest.mark.parametrize("lasting", [False, True])
def test_a_next_version_is_the_same_member_and_a_next_process_another(lasting: bool, tmp_path: Path) -> None:
    async def main() -> None:
        text = f"[accord]\nstore_path = '{tmp_path}/store'\n" if lasting else "[accord]\n"
        ports, changes, environ = tier_of_three(tmp_path, text)
        async with Site(tmp_path, **changes) as site:

            async def version() -> Version:
                one = await site.start(**environ)
                await one.until_ready()
                return one

            watcher = Watcher(ports)
            old = await version()
            first = await watcher.ask()
            new = await version()
            assert await watcher.ask() == first, "the next version goes on as the same"
            assert b"accord" not in await old.stop()
            assert await watcher.ask() == first
            kill(new)
            await new.process.wait()
            again = await version()
            assert (await watcher.ask() == first) is lasting
            assert not await again.stop()
            watcher.link.close()

    run(main())


def test_a_successor_that_goes_away_leaves_the_old_process_as_another_member(tmp_path: Path) -> None:
    async def main() -> None:
        ports, changes, environ = tier_of_three(tmp_path)
        async with Site(tmp_path, **changes) as site:
            old = await site.start(**environ)
            await old.until_ready()
            watcher = Watcher(ports)
            first = await watcher.ask()
            rendezvous = RendezvousPoint(("127.0.0.1", site.port), str(tmp_path))

            def connect() -> PredecessorHandle:
                return take_over(rendezvous, ("127.0.0.1", site.port))

            predecessor = await asyncio.to_thread(connect)
            kept = decode_replica(predecessor.state)
            assert kept is not None and len(kept) >= 1
            # Now nobody is this member: the old one has ceased, and its address is free.
            with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as free:
                free.bind(("127.0.0.1", ports[0]))
            predecessor.listener.close()
            predecessor.channel.close()
            assert await watcher.until_other(first) not in (0, first)
            watcher.link.close()
            assert not await old.stop()

    run(main())


def test_with_no_peers_it_is_off_with_one_line(tmp_path: Path) -> None:
    async def main() -> None:
        _, changes, environ = tier_of_three(tmp_path, "[accord]\n[upkeep]\n")
        async with Site(tmp_path, **{**changes, "peers": None}) as site:
            one = await site.start(**environ)
            await one.until_ready()
            lines = (await one.stop()).decode().splitlines()
            assert len([line for line in lines if "accord: off" in line]) == len(lines) == 1

    run(main())


@pytest.mark.parametrize(
    ("text", "listen", "expected"),
    [
        ("[accord]\nstore_path = '/proc/none'\n", "", "accord.store_path: /proc/none: "),
        ("[accord]\n", "192.0.2.1:7946", "accord.peer_listen: 192.0.2.1:7946: "),
    ],
)
def test_what_can_not_be_at_the_start_is_one_line_and_exit_2(
    text: str, listen: str, expected: str, tmp_path: Path
) -> None:
    async def main() -> None:
        _, changes, environ = tier_of_three(tmp_path, text)
        changes = {**changes, "peer_listen": listen or changes["peer_listen"]}
        async with Site(tmp_path, **changes) as site:
            one = await site.start(**environ)
            _, errors = await one.process.communicate()
            assert one.process.returncode == 2 and errors.count(b"\n") == 1
            assert expected.encode() in errors and b"operator.toml" in errors and b"expected" in errors

    run(main())


def test_requests_go_on_where_the_store_is_damaged(tmp_path: Path) -> None:
    async def main() -> None:
        folder = tmp_path / "store"
        folder.mkdir()
        (folder / MANIFEST).write_bytes(b"no manifest")
        _, changes, environ = tier_of_three(tmp_path, f"[accord]\nstore_path = '{folder}'\n")
        async with Site(tmp_path, Endpoint(), **changes) as site:
            one = await site.start(**environ)
            await one.until_ready()
            assert (await site.ask(request())).status == 200
            (line,) = (await one.stop()).decode().splitlines()
            assert "accord: this process no longer takes part, requests are still served" in line
            assert StoreError.remedy in line

    run(main())
