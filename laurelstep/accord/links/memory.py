"""Datagrams in memory, under a made schedule: what becomes of each is a function's word, and time
is the clock's that is passed in. One schedule, one course of events.

Datagrams that are due at the same time arrive in the order in which they were sent."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Final

from laurelstep.accord.errors import LinkError
from laurelstep.accord.ports import DATAGRAM_MOST
from laurelstep.engine.ports import Clock

# From, to, datagram: after how many µs each copy of it arrives. None at all: it is lost.
Schedule = Callable[[int, int, bytes], Sequence[int]]

LATENCY_US: Final = 500


def steady(sender: int, receiver: int, data: bytes) -> Sequence[int]:
    """Nothing is lost, and all takes as long."""
    return (LATENCY_US,)


class Faulty:
    """A schedule drawn from one seed: loss, doubling and delay, which also turns the order; and
    directions that are cut."""

    def __init__(
        self,
        draw: random.Random,
        loss: float = 0.0,
        double: float = 0.0,
        delay_us: tuple[int, int] = (LATENCY_US, LATENCY_US),
    ) -> None:
        self.draw = draw
        self.loss = loss
        self.double = double
        self.delay_us = delay_us
        self.cut: set[tuple[int, int]] = set()  # from, to

    def part(self, *groups: Sequence[int]) -> None:
        """Cut both ways between any two groups."""
        self.cut.update(
            (a, b) for one in groups for other in groups if other is not one for a in one for b in other
        )

    def heal(self) -> None:
        self.cut.clear()

    def __call__(self, sender: int, receiver: int, data: bytes) -> Sequence[int]:
        if (sender, receiver) in self.cut or self.draw.random() < self.loss:
            return ()
        copies = 2 if self.draw.random() < self.double else 1
        return [self.draw.randint(*self.delay_us) for _ in range(copies)]


class MemoryNetwork:
    """Joins the links of `count` processes. `schedule` may be changed at any time."""

    def __init__(self, clock: Clock, count: int, schedule: Schedule = steady) -> None:
        self.clock = clock
        self.count = count
        self.schedule = schedule
        self.open: dict[int, MemoryLink] = {}

    def link(self, me: int) -> MemoryLink:
        """A process's own; it may be made anew once the one before is closed."""
        if not 0 <= me < self.count:
            raise LinkError(f"no peer has the number {me}")
        return MemoryLink(self, me)

    def arrive(self, sender: int, receiver: int, data: bytes) -> None:
        if (link := self.open.get(receiver)) is not None:
            link.take(sender, data)


class MemoryLink:
    def __init__(self, network: MemoryNetwork, me: int) -> None:
        self.network = network
        self.me = me
        self.counters = dict.fromkeys(("sent", "sent_bytes", "unsent", "received", "received_bytes"), 0)
        self._receive: Callable[[int, bytes], None] | None = None

    def open(self, receive: Callable[[int, bytes], None]) -> None:
        """OSError while another link has this number."""
        if self.me in self.network.open:
            raise OSError(f"peer {self.me} is open")
        self.network.open[self.me] = self
        self._receive = receive

    def send(self, peer: int, data: bytes) -> None:
        if not 0 <= peer < self.network.count or peer == self.me:
            raise LinkError(f"no peer has the number {peer}")
        if len(data) > DATAGRAM_MOST:
            raise LinkError(f"a datagram of {len(data)} bytes, at most {DATAGRAM_MOST} are sent")
        if self._receive is None:
            self.counters["unsent"] += 1
            return
        self.counters["sent"] += 1
        self.counters["sent_bytes"] += len(data)
        network = self.network
        for delay_us in network.schedule(self.me, peer, data):
            network.clock.at(network.clock.now() + delay_us, network.arrive, self.me, peer, data)

    def take(self, sender: int, data: bytes) -> None:
        if self._receive is not None:
            self.counters["received"] += 1
            self.counters["received_bytes"] += len(data)
            self._receive(sender, data)

    def close(self) -> None:
        """May be called again."""
        if self._receive is not None:
            del self.network.open[self.me]
            self._receive = None
