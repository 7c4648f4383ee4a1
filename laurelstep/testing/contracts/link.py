"""accord's `Link`: datagrams to a named peer, which may be lost."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable, Sequence
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from laurelstep.accord.errors import LinkError
from laurelstep.accord.ports import DATAGRAM_MOST, Link
from laurelstep.testing.contracts.base import Contract, raises, turns

# Datagrams in one go: more than a socket takes without being read.
BURST = 1_000


class Joined(Protocol):
    """Three processes on the running loop, with the numbers 0 to 2. The network loses nothing on purpose."""

    links: Sequence[Link]  # not yet open

    def again(self, number: int) -> Link:
        """The link of a process that comes anew with this number: the one before is closed."""

    async def carry(self) -> None:
        """Returns when what was sent may have arrived. Waits a moment at most."""


class ReachableJoined(Joined, Protocol):
    def stray(self, number: int, data: bytes) -> None:
        """Sent to this number's link by somebody whom no list names."""


class Heard:
    """What one link received."""

    def __init__(self, link: Link) -> None:
        self.all: list[tuple[int, bytes]] = []
        self.link = link
        link.open(self.receive)

    def receive(self, peer: int, data: bytes) -> None:
        self.all.append((peer, data))


class LinkContract(Contract, ABC):
    """The rules:

    1. What is received was sent by the peer that is named, to this one, and is whole. It may come twice,
       late or never; what is sent again and again comes.
    2. Over `DATAGRAM_MOST` bytes, and for a number that is no peer's, `send` raises LinkError and nothing
       leaves. It raises nothing else, whoever is there or not, and however much is sent.
    3. After `close` nothing is received, also of what was under way.
    4. A process that comes anew with a number is heard under that number, and hears.
    """

    @abstractmethod
    def joined(self) -> AbstractAsyncContextManager[Joined]:
        """The links of three processes, on the loop that runs."""

    async def comes(
        self, joined: Joined, heard: Heard, sender: int, send: Callable[[], None], data: bytes
    ) -> None:
        """Sent until it has come."""

        async def wait() -> None:
            while (sender, data) not in heard.all:
                send()
                await joined.carry()
                await asyncio.sleep(0)

        await self.soon(wait(), f"{len(data)} bytes from {sender}, sent again and again")

    def test_each_hears_each_by_its_number_and_whole(self) -> None:
        async def main() -> None:
            async with self.joined() as joined:
                heard = [Heard(link) for link in joined.links]
                sent: dict[int, set[tuple[int, bytes]]] = {0: set(), 1: set(), 2: set()}
                for size in (1, 2, 100, DATAGRAM_MOST):
                    for sender, receiver in ((0, 1), (1, 0), (0, 2), (2, 0), (1, 2), (2, 1)):
                        data = bytes((sender, receiver) * DATAGRAM_MOST)[:size]
                        sent[receiver].add((sender, data))

                        def send(sender: int = sender, receiver: int = receiver, data: bytes = data) -> None:
                            joined.links[sender].send(receiver, data)

                        await self.comes(joined, heard[receiver], sender, send, data)
                assert [set(one.all) for one in heard] == [sent[n] for n in range(3)]
                assert all(type(data) is bytes for one in heard for _, data in one.all)

        self.run(main())

    def test_what_is_too_long_or_for_nobody_is_an_error_and_does_not_leave(self) -> None:
        async def main() -> None:
            async with self.joined() as joined:
                heard = [Heard(link) for link in joined.links]
                with raises(LinkError, "a datagram that is too long"):
                    joined.links[0].send(1, bytes(DATAGRAM_MOST + 1))
                for nobody in (-1, 3, 1_000_000):
                    with raises(LinkError, f"a datagram to number {nobody}"):
                        joined.links[0].send(nobody, b"lost")
                await self.comes(joined, heard[1], 0, lambda: joined.links[0].send(1, b"after"), b"after")
                await self.comes(joined, heard[2], 0, lambda: joined.links[0].send(2, b"after"), b"after")
                assert {data for one in heard for _, data in one.all} == {b"after"}

        self.run(main())

    def test_sending_to_nobody_there_is_no_error(self) -> None:
        async def main() -> None:
            async with self.joined() as joined:
                heard = [Heard(joined.links[0]), Heard(joined.links[1])]
                for _ in range(3):
                    joined.links[0].send(2, b"never opened")
                    await joined.carry()
                heard[1].link.close()
                for _ in range(3):
                    joined.links[0].send(1, b"closed")
                    await joined.carry()
                await turns()
                assert heard[0].all == [] == heard[1].all

        self.run(main())

    def test_more_than_is_read_is_lost_and_no_error(self) -> None:
        async def main() -> None:
            async with self.joined() as joined:
                heard = [Heard(link) for link in joined.links]
                sent = {n.to_bytes(2) * 50 for n in range(BURST)}
                for data in sent:
                    joined.links[0].send(1, data)
                await joined.carry()
                await self.comes(joined, heard[1], 2, lambda: joined.links[2].send(1, b"after"), b"after")
                await self.comes(joined, heard[1], 0, lambda: joined.links[0].send(1, b"after"), b"after")
                assert {data for _, data in heard[1].all} <= sent | {b"after"}
                assert heard[2].all == []

        self.run(main())

    def test_after_close_nothing_is_received(self) -> None:
        async def main() -> None:
            async with self.joined() as joined:
                heard = [Heard(link) for link in joined.links]
                await self.comes(joined, heard[1], 0, lambda: joined.links[0].send(1, b"before"), b"before")
                joined.links[0].send(1, b"under way")
                joined.links[1].close()
                before = list(heard[1].all)
                joined.links[0].send(1, b"after")
                joined.links[2].send(1, b"after")
                await self.comes(joined, heard[2], 0, lambda: joined.links[0].send(2, b"goes on"), b"goes on")
                await joined.carry()
                assert heard[1].all == before

        self.run(main())

    def test_a_process_that_comes_anew_has_its_number(self) -> None:
        async def main() -> None:
            async with self.joined() as joined:
                heard = [Heard(link) for link in joined.links]
                joined.links[1].close()
                anew = Heard(joined.again(1))
                await self.comes(joined, heard[0], 1, lambda: anew.link.send(0, b"here again"), b"here again")
                await self.comes(joined, anew, 0, lambda: joined.links[0].send(1, b"heard"), b"heard")
                assert heard[1].all == []
                anew.link.close()

        self.run(main())


class ReachableLinkContract(LinkContract, ABC):
    """Further, for a link that others can reach: datagrams of somebody whom no list names are not
    received."""

    @abstractmethod
    def joined(self) -> AbstractAsyncContextManager[ReachableJoined]: ...

    def test_what_no_listed_peer_sent_is_not_received(self) -> None:
        async def main() -> None:
            async with self.joined() as joined:
                heard = [Heard(link) for link in joined.links]
                for data in (b"stray", b"", bytes(DATAGRAM_MOST + 1), bytes(2_000)):
                    joined.stray(1, data)
                for number in (0, 2):

                    def send(number: int = number) -> None:
                        joined.links[number].send(1, b"listed")

                    await self.comes(joined, heard[1], number, send, b"listed")
                assert set(heard[1].all) == {(0, b"listed"), (2, b"listed")}

        self.run(main())
