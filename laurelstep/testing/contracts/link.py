"""Contract of consensus' `Link`: datagrams to numbered peers, which may be lost."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from laurelstep.consensus.errors import LinkError
from laurelstep.consensus.ports import MAX_DATAGRAM_BYTES, Link
from laurelstep.testing.contracts.base import Contract, raises, run_ready_callbacks

# Datagrams sent at once: more than a socket's buffer holds.
BURST_DATAGRAMS = 1_000


class ConnectedLinks(Protocol):
    """The links of three peers, numbered 0 to 2, on a network that simulates no losses."""

    links: Sequence[Link]  # not opened yet

    def restart(self, number: int) -> Link:
        """Return the link of a new process with this number; the earlier link is closed."""

    async def wait_delivery(self) -> None:
        """Wait briefly, until datagrams sent so far can have arrived."""


class ExposedLinks(ConnectedLinks, Protocol):
    """Connected links that senders other than the peers can reach."""

    def send_from_unlisted_address(self, number: int, data: bytes) -> None:
        """Send to this number's link from an address that is not a peer's."""


class LinkRecorder:
    """Opens a link and records received datagrams, as (peer, data)."""

    def __init__(self, link: Link) -> None:
        self.received: list[tuple[int, bytes]] = []
        self.link = link
        link.open(self.receive)

    def receive(self, peer: int, data: bytes) -> None:
        """Record one datagram."""
        self.received.append((peer, data))


class LinkContract(Contract, ABC):
    """The rules:

    1. A received datagram was sent to this link by the named peer, and is complete. It may arrive twice,
       late or never; one that is sent repeatedly arrives.
    2. For a datagram over `MAX_DATAGRAM_BYTES` and for an unknown peer `send` raises LinkError, and nothing
       is sent. It raises nothing else, whether or not the peer is open and however much is sent.
    3. After `close` nothing is received, datagrams in flight included.
    4. A new process with a peer's number sends and receives under that number.
    """

    @abstractmethod
    def connected_links(self) -> AbstractAsyncContextManager[ConnectedLinks]:
        """Create the links of three peers on the running loop."""

    async def send_until_received(
        self, peers: ConnectedLinks, recorder: LinkRecorder, peer: int, send: Callable[[], None], data: bytes
    ) -> None:
        """Repeat `send` until the recorder has received the datagram."""

        async def wait() -> None:
            while (peer, data) not in recorder.received:
                send()
                await peers.wait_delivery()
                await asyncio.sleep(0)

        await self.wait_for(wait(), f"{len(data)} bytes from peer {peer}, sent repeatedly")

    def test_each_pair_exchanges_complete_datagrams(self) -> None:
        """For each pair of peers, datagrams of all sizes arrive complete, with the sender's number."""

        async def main() -> None:
            async with self.connected_links() as peers:
                recorders = [LinkRecorder(link) for link in peers.links]
                sent: dict[int, set[tuple[int, bytes]]] = {0: set(), 1: set(), 2: set()}
                for size in (1, 2, 100, MAX_DATAGRAM_BYTES):
                    for sender, receiver in ((0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)):
                        data = bytes((sender, receiver) * MAX_DATAGRAM_BYTES)[:size]
                        sent[receiver].add((sender, data))

                        def send(sender: int = sender, receiver: int = receiver, data: bytes = data) -> None:
                            peers.links[sender].send(receiver, data)

                        await self.send_until_received(peers, recorders[receiver], sender, send, data)
                assert [set(recorder.received) for recorder in recorders] == [sent[n] for n in range(3)]
                assert all(type(data) is bytes for recorder in recorders for _, data in recorder.received)

        self.run(main())

    def test_an_oversized_datagram_or_unknown_peer_raises_and_sends_nothing(self) -> None:
        """`send` raises LinkError for an oversized datagram or an unknown peer, and sends nothing."""

        async def main() -> None:
            async with self.connected_links() as peers:
                recorders = [LinkRecorder(link) for link in peers.links]
                with raises(LinkError, "an oversized datagram"):
                    peers.links[0].send(1, bytes(MAX_DATAGRAM_BYTES + 1))
                for number in (-1, 3, 1_000_000):
                    with raises(LinkError, f"a datagram to number {number}"):
                        peers.links[0].send(number, b"lost")
                await self.send_until_received(
                    peers, recorders[1], 0, lambda: peers.links[0].send(1, b"after"), b"after"
                )
                await self.send_until_received(
                    peers, recorders[2], 0, lambda: peers.links[0].send(2, b"after"), b"after"
                )
                assert {data for recorder in recorders for _, data in recorder.received} == {b"after"}

        self.run(main())

    def test_sending_to_an_unopened_or_closed_peer_raises_nothing(self) -> None:
        """Sending to a peer that is not open yet, or is closed, raises nothing."""

        async def main() -> None:
            async with self.connected_links() as peers:
                recorders = [LinkRecorder(peers.links[0]), LinkRecorder(peers.links[1])]
                for _ in range(3):
                    peers.links[0].send(2, b"never opened")
                    await peers.wait_delivery()
                recorders[1].link.close()
                for _ in range(3):
                    peers.links[0].send(1, b"closed")
                    await peers.wait_delivery()
                await run_ready_callbacks()
                assert recorders[0].received == [] == recorders[1].received

        self.run(main())

    def test_a_burst_may_lose_datagrams_but_raises_nothing(self) -> None:
        """A burst may lose datagrams, but raises nothing and corrupts none; the link works after it."""

        async def main() -> None:
            async with self.connected_links() as peers:
                recorders = [LinkRecorder(link) for link in peers.links]
                sent = {n.to_bytes(2) * 50 for n in range(BURST_DATAGRAMS)}
                for data in sent:
                    peers.links[0].send(1, data)
                await peers.wait_delivery()
                await self.send_until_received(
                    peers, recorders[1], 2, lambda: peers.links[2].send(1, b"after"), b"after"
                )
                await self.send_until_received(
                    peers, recorders[1], 0, lambda: peers.links[0].send(1, b"after"), b"after"
                )
                assert {data for _, data in recorders[1].received} <= sent | {b"after"}
                assert recorders[2].received == []

        self.run(main())

    def test_after_close_nothing_is_received(self) -> None:
        """A closed link receives nothing, datagrams in flight included; other links keep working."""

        async def main() -> None:
            async with self.connected_links() as peers:
                recorders = [LinkRecorder(link) for link in peers.links]
                await self.send_until_received(
                    peers, recorders[1], 0, lambda: peers.links[0].send(1, b"before"), b"before"
                )
                peers.links[0].send(1, b"under way")
                peers.links[1].close()
                before = list(recorders[1].received)
                peers.links[0].send(1, b"after")
                peers.links[2].send(1, b"after")
                await self.send_until_received(
                    peers, recorders[2], 0, lambda: peers.links[0].send(2, b"goes on"), b"goes on"
                )
                await peers.wait_delivery()
                assert recorders[1].received == before

        self.run(main())

    def test_a_restarted_peer_keeps_its_number(self) -> None:
        """A restarted peer sends and receives under the same number."""

        async def main() -> None:
            async with self.connected_links() as peers:
                recorders = [LinkRecorder(link) for link in peers.links]
                peers.links[1].close()
                restarted = LinkRecorder(peers.restart(1))
                await self.send_until_received(
                    peers, recorders[0], 1, lambda: restarted.link.send(0, b"here again"), b"here again"
                )
                await self.send_until_received(
                    peers, restarted, 0, lambda: peers.links[0].send(1, b"heard"), b"heard"
                )
                assert recorders[1].received == []
                restarted.link.close()

        self.run(main())


class ReachableLinkContract(LinkContract, ABC):
    """Further, for a link that others can reach: datagrams of senders outside the peer list are dropped."""

    @abstractmethod
    def connected_links(self) -> AbstractAsyncContextManager[ExposedLinks]:
        """Create the links of three peers on the running loop, which unlisted senders can reach."""

    def test_datagrams_from_unlisted_senders_are_dropped(self) -> None:
        """Datagrams of any size from an unlisted sender are dropped, and those of peers still received."""

        async def main() -> None:
            async with self.connected_links() as peers:
                recorders = [LinkRecorder(link) for link in peers.links]
                for data in (b"stray", b"", bytes(MAX_DATAGRAM_BYTES + 1), bytes(2_000)):
                    peers.send_from_unlisted_address(1, data)
                for number in (0, 2):

                    def send(number: int = number) -> None:
                        peers.links[number].send(1, b"listed")

                    await self.send_until_received(peers, recorders[1], number, send, b"listed")
                assert set(recorders[1].received) == {(0, b"listed"), (2, b"listed")}

        self.run(main())
