"""The `Link` of consensus: datagrams to a named peer, which may be lost."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from laurelstep.consensus.errors import LinkError
from laurelstep.consensus.ports import MAX_DATAGRAM_BYTES, Link
from laurelstep.testing.contracts.base import Contract, raises, run_ready_callbacks

# Datagrams sent at once: more than a socket holds while nobody reads.
BURST_DATAGRAMS = 1_000


class ConnectedLinks(Protocol):
    """The links of three peers, with the numbers 0 to 2, on a network that loses nothing on purpose."""

    links: Sequence[Link]  # not opened yet

    def restart(self, number: int) -> Link:
        """The link of a new process with this number; the earlier one is closed."""

    async def wait_delivery(self) -> None:
        """Wait, a moment at most, until what was sent may have arrived."""


class ExposedLinks(ConnectedLinks, Protocol):
    """The same where others can send to the links too."""

    def send_from_stranger(self, number: int, data: bytes) -> None:
        """Send to this number's link from an address that is no peer's."""


class LinkRecorder:
    """Opens a link and records what it receives, as (peer, data)."""

    def __init__(self, link: Link) -> None:
        self.received: list[tuple[int, bytes]] = []
        self.link = link
        link.open(self.receive)

    def receive(self, peer: int, data: bytes) -> None:
        """Record one datagram."""
        self.received.append((peer, data))


class LinkContract(Contract, ABC):
    """The rules:

    1. What is received was sent to this link by the named peer, and is complete. It may come twice, late or
       never; what is sent again and again comes.
    2. Over `MAX_DATAGRAM_BYTES`, and for a number that is no peer's, `send` raises LinkError and nothing
       leaves. It raises nothing else, whoever is there or not, and however much is sent.
    3. After `close` nothing is received, datagrams in flight included.
    4. A new process with a peer's number sends and receives under that number.
    """

    @abstractmethod
    def connected_links(self) -> AbstractAsyncContextManager[ConnectedLinks]:
        """The links of three peers on the running loop."""

    async def send_until_received(
        self, joined: ConnectedLinks, heard: LinkRecorder, sender: int, send: Callable[[], None], data: bytes
    ) -> None:
        """Send again and again until the recorder has it."""

        async def wait() -> None:
            while (sender, data) not in heard.received:
                send()
                await joined.wait_delivery()
                await asyncio.sleep(0)

        await self.wait_for(wait(), f"{len(data)} bytes from {sender}, sent again and again")

    def test_each_hears_each_by_its_number_and_whole(self) -> None:
        """Datagrams of every size arrive as complete `bytes` under the sender's number, for each pair of
        peers.
        """

        async def main() -> None:
            async with self.connected_links() as joined:
                heard = [LinkRecorder(link) for link in joined.links]
                sent: dict[int, set[tuple[int, bytes]]] = {0: set(), 1: set(), 2: set()}
                for size in (1, 2, 100, MAX_DATAGRAM_BYTES):
                    for sender, receiver in ((0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)):
                        data = bytes((sender, receiver) * MAX_DATAGRAM_BYTES)[:size]
                        sent[receiver].add((sender, data))

                        def send(sender: int = sender, receiver: int = receiver, data: bytes = data) -> None:
                            joined.links[sender].send(receiver, data)

                        await self.send_until_received(joined, heard[receiver], sender, send, data)
                assert [set(one.received) for one in heard] == [sent[n] for n in range(3)]
                assert all(type(data) is bytes for one in heard for _, data in one.received)

        self.run(main())

    def test_what_is_too_long_or_for_nobody_is_an_error_and_does_not_leave(self) -> None:
        """`send` raises LinkError for an oversized datagram or an unknown peer, and sends nothing."""

        async def main() -> None:
            async with self.connected_links() as joined:
                heard = [LinkRecorder(link) for link in joined.links]
                with raises(LinkError, "a datagram that is too long"):
                    joined.links[0].send(1, bytes(MAX_DATAGRAM_BYTES + 1))
                for nobody in (-1, 3, 1_000_000):
                    with raises(LinkError, f"a datagram to number {nobody}"):
                        joined.links[0].send(nobody, b"lost")
                await self.send_until_received(
                    joined, heard[1], 0, lambda: joined.links[0].send(1, b"after"), b"after"
                )
                await self.send_until_received(
                    joined, heard[2], 0, lambda: joined.links[0].send(2, b"after"), b"after"
                )
                assert {data for one in heard for _, data in one.received} == {b"after"}

        self.run(main())

    def test_sending_to_nobody_there_is_no_error(self) -> None:
        """Sending to a peer that was never opened, or is closed, raises nothing."""

        async def main() -> None:
            async with self.connected_links() as joined:
                heard = [LinkRecorder(joined.links[0]), LinkRecorder(joined.links[1])]
                for _ in range(3):
                    joined.links[0].send(2, b"never opened")
                    await joined.wait_delivery()
                heard[1].link.close()
                for _ in range(3):
                    joined.links[0].send(1, b"closed")
                    await joined.wait_delivery()
                await run_ready_callbacks()
                assert heard[0].received == [] == heard[1].received

        self.run(main())

    def test_more_than_is_read_is_lost_and_no_error(self) -> None:
        """A burst may lose datagrams, but raises nothing and corrupts none; the link works after it."""

        async def main() -> None:
            async with self.connected_links() as joined:
                heard = [LinkRecorder(link) for link in joined.links]
                sent = {n.to_bytes(2) * 50 for n in range(BURST_DATAGRAMS)}
                for data in sent:
                    joined.links[0].send(1, data)
                await joined.wait_delivery()
                await self.send_until_received(
                    joined, heard[1], 2, lambda: joined.links[2].send(1, b"after"), b"after"
                )
                await self.send_until_received(
                    joined, heard[1], 0, lambda: joined.links[0].send(1, b"after"), b"after"
                )
                assert {data for _, data in heard[1].received} <= sent | {b"after"}
                assert heard[2].received == []

        self.run(main())

    def test_after_close_nothing_is_received(self) -> None:
        """A closed link receives nothing, datagrams in flight included; other links go on."""

        async def main() -> None:
            async with self.connected_links() as joined:
                heard = [LinkRecorder(link) for link in joined.links]
                await self.send_until_received(
                    joined, heard[1], 0, lambda: joined.links[0].send(1, b"before"), b"before"
                )
                joined.links[0].send(1, b"under way")
                joined.links[1].close()
                before = list(heard[1].received)
                joined.links[0].send(1, b"after")
                joined.links[2].send(1, b"after")
                await self.send_until_received(
                    joined, heard[2], 0, lambda: joined.links[0].send(2, b"goes on"), b"goes on"
                )
                await joined.wait_delivery()
                assert heard[1].received == before

        self.run(main())

    def test_a_process_that_comes_anew_has_its_number(self) -> None:
        """A restarted peer sends and receives under the number that it had."""

        async def main() -> None:
            async with self.connected_links() as joined:
                heard = [LinkRecorder(link) for link in joined.links]
                joined.links[1].close()
                anew = LinkRecorder(joined.restart(1))
                await self.send_until_received(
                    joined, heard[0], 1, lambda: anew.link.send(0, b"here again"), b"here again"
                )
                await self.send_until_received(
                    joined, anew, 0, lambda: joined.links[0].send(1, b"heard"), b"heard"
                )
                assert heard[1].received == []
                anew.link.close()

        self.run(main())


class ReachableLinkContract(LinkContract, ABC):
    """Further, for a link that others can reach: datagrams of somebody whom no list names are not
    received.
    """

    @abstractmethod
    def connected_links(self) -> AbstractAsyncContextManager[ExposedLinks]:
        """The links of three peers on the running loop, which a stranger can reach."""

    def test_what_no_listed_peer_sent_is_not_received(self) -> None:
        """Datagrams from a sender outside the list are dropped, whatever their size; peers are still
        received.
        """

        async def main() -> None:
            async with self.connected_links() as joined:
                heard = [LinkRecorder(link) for link in joined.links]
                for data in (b"stray", b"", bytes(MAX_DATAGRAM_BYTES + 1), bytes(2_000)):
                    joined.send_from_stranger(1, data)
                for number in (0, 2):

                    def send(number: int = number) -> None:
                        joined.links[number].send(1, b"listed")

                    await self.send_until_received(joined, heard[1], number, send, b"listed")
                assert set(heard[1].received) == {(0, b"listed"), (2, b"listed")}

        self.run(main())
