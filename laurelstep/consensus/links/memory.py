"""In-memory link for tests. A schedule function decides when each datagram arrives and whether it is lost or
duplicated; time is that of the network's clock. The same schedule always gives the same sequence of events.

Datagrams that are due at the same time arrive in the order in which they were sent.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from typing import Final

from laurelstep.consensus.errors import LinkError
from laurelstep.consensus.ports import MAX_DATAGRAM_BYTES
from laurelstep.engine.ports import Clock

__all__ = ["LATENCY_US", "FaultSchedule", "MemoryLink", "MemoryNetwork", "Schedule", "constant_latency"]

# Takes sender, receiver and datagram. Returns the delay of each delivered copy in µs; empty if it is lost.
Schedule = Callable[[int, int, bytes], Sequence[int]]

LATENCY_US: Final = 500


def constant_latency(sender: int, receiver: int, data: bytes) -> Sequence[int]:
    """Deliver each datagram once, after LATENCY_US."""
    return (LATENCY_US,)


class FaultSchedule:
    """A random schedule with loss, duplication, delays (and so reordering) and partitions."""

    def __init__(
        self,
        rng: random.Random,
        loss: float = 0.0,
        duplication: float = 0.0,
        delay_us: tuple[int, int] = (LATENCY_US, LATENCY_US),
    ) -> None:
        """`loss` and `duplication` are probabilities, `delay_us` the minimum and maximum delay."""
        self.rng = rng
        self.loss = loss
        self.duplication = duplication
        self.delay_us = delay_us
        self.cut_routes: set[tuple[int, int]] = set()  # blocked routes: sender, receiver

    def partition(self, *groups: Sequence[int]) -> None:
        """Block both directions between any two groups."""
        self.cut_routes.update(
            (sender, receiver)
            for group in groups
            for other in groups
            if other is not group
            for sender in group
            for receiver in other
        )

    def heal(self) -> None:
        """End all partitions."""
        self.cut_routes.clear()

    def __call__(self, sender: int, receiver: int, data: bytes) -> Sequence[int]:
        """Return the delay of each delivered copy of a datagram, in µs; empty if it is lost."""
        if (sender, receiver) in self.cut_routes or self.rng.random() < self.loss:
            return ()
        copies = 2 if self.rng.random() < self.duplication else 1
        return [self.rng.randint(*self.delay_us) for _ in range(copies)]


class MemoryNetwork:
    """Connects the links of `peer_count` processes. `schedule` may be replaced at any time."""

    def __init__(self, clock: Clock, peer_count: int, schedule: Schedule = constant_latency) -> None:
        self.clock = clock
        self.peer_count = peer_count
        self.schedule = schedule
        self.open_links: dict[int, MemoryLink] = {}

    def link(self, replica_id: int) -> MemoryLink:
        """Return a new link for a process. It can be opened once the previous one is closed."""
        if not 0 <= replica_id < self.peer_count:
            raise LinkError(f"there is no peer with the number {replica_id}")
        return MemoryLink(self, replica_id)

    def deliver(self, sender: int, receiver: int, data: bytes) -> None:
        """Deliver a datagram to the receiver's link, if one is open."""
        if (link := self.open_links.get(receiver)) is not None:
            link.deliver(sender, data)


class MemoryLink:
    """A `Link` on a MemoryNetwork."""

    def __init__(self, network: MemoryNetwork, replica_id: int) -> None:
        self.network = network
        self.replica_id = replica_id
        self.counters = dict.fromkeys(("sent", "sent_bytes", "unsent", "received", "received_bytes"), 0)
        self._receive: Callable[[int, bytes], None] | None = None

    def open(self, receive: Callable[[int, bytes], None]) -> None:
        """Start receiving. Raises OSError while another link of this process is open."""
        if self.replica_id in self.network.open_links:
            raise OSError(f"another link of peer {self.replica_id} is open")
        self.network.open_links[self.replica_id] = self
        self._receive = receive

    def send(self, peer: int, data: bytes) -> None:
        """Send a datagram according to the schedule.

        Raises LinkError if the peer does not exist or the datagram is too long.
        """
        if not 0 <= peer < self.network.peer_count or peer == self.replica_id:
            raise LinkError(f"there is no other peer with the number {peer}")
        if len(data) > MAX_DATAGRAM_BYTES:
            raise LinkError(f"a datagram of {len(data)} bytes, the limit is {MAX_DATAGRAM_BYTES}")
        if self._receive is None:
            self.counters["unsent"] += 1
            return
        self.counters["sent"] += 1
        self.counters["sent_bytes"] += len(data)
        network = self.network
        for delay_us in network.schedule(self.replica_id, peer, data):
            due_us = network.clock.now() + delay_us
            network.clock.at(due_us, network.deliver, self.replica_id, peer, data)

    def deliver(self, sender: int, data: bytes) -> None:
        """Pass a datagram to the receive callback, if the link is open."""
        if self._receive is not None:
            self.counters["received"] += 1
            self.counters["received_bytes"] += len(data)
            self._receive(sender, data)

    def close(self) -> None:
        """Stop receiving. May be called more than once."""
        if self._receive is not None:
            del self.network.open_links[self.replica_id]
            self._receive = None
