"""A tier of cores in memory, with made time, network and faults.

1. Time is true time in µs. Each process reads its own clock: off by hours, and too fast or slow by at most
   the stated drift.
2. A step's effects are carried out as a whole, or a crash comes in the midst of it: then nothing was kept and
   nothing sent, or all was kept and a part was sent.
3. A datagram is lost, doubled and delayed as `network` says, each drawn; it arrives unless the way is cut
   when it would.
4. A crashed process has forgotten all but what its store kept. A paused one gets its datagrams, in order,
   when it goes on.
"""

from __future__ import annotations

import dataclasses
import heapq
import random
from collections.abc import Callable, Iterable, Mapping

from laurelstep.accord.core import FAR, Core, Effects
from laurelstep.accord.errors import BusyError, NotLeadingError
from laurelstep.testing.schedules.checker import Checker
from laurelstep.testing.schedules.process import LEASES, TAPE, Made, Process

__all__ = ["Network", "World"]

# How many datagrams wait for a paused process: a socket's buffer.
INBOX_MOST = 200


@dataclasses.dataclass
class Network:
    """What the network does, drawn for each datagram."""

    loss: float = 0.0
    doubling: float = 0.0
    least_us: int = 1_000
    most_us: int = 5_000
    # Some are much later than others: the order turns.
    late: float = 0.0
    late_us: int = 1_500_000


class World:
    """See the rules."""

    def __init__(
        self, made: Made, seed: int, kept: Mapping[int, Mapping[bytes, bytes]] | None = None
    ) -> None:
        """`kept`: what each process starts from, as successors of an earlier tier's."""
        self.made = made
        self.seed = seed
        self.draw = random.Random(seed)
        self.time = 0
        self.network = Network()
        self.cut: set[tuple[int, int]] = set()
        self.steps = 0
        self.sent = 0
        # How many entries were proposed to see whether the tier goes on.
        self.probes = 0
        self._order = 0
        self._queue: list[tuple[int, int, Callable[..., None], tuple[object, ...]]] = []
        self.processes = [Process(me, made, self.draw) for me in range(made.peers)]
        self.checker = Checker(self.processes, made, seed)
        for process in self.processes:
            process.kept = dict((kept or {}).get(process.me, {}))
            self.start(process.me)
            if not made.lasting or process.me >= made.seats:
                process.kept = {}

    # Faults

    def start(self, me: int) -> None:
        process = self.processes[me]
        process.begin()
        assert process.core is not None
        process.core.heard = lambda peer, incarnation, data: self._heard(process, peer, incarnation, data)
        self.checker.born(process)
        self._step(process, lambda core, now: core.start(now))

    def crash(self, me: int, midst: bool = False) -> None:
        """End it: now, or in the midst of its next step (rule 2)."""
        process = self.processes[me]
        if midst and process.alive and not process.paused:
            process.doomed = True
        else:
            self._end(process)

    def _end(self, process: Process) -> None:
        process.core = None
        process.version += 1
        process.inbox = []
        if not self.made.lasting or process.me >= self.made.seats:
            process.kept = {}
            process.forgot += 1

    def restart(self, me: int) -> None:
        """End it, if it lives, and start it again: from nothing, unless its store lasts."""
        self._end(self.processes[me])
        self.start(me)

    def succeed(self, me: int) -> None:
        """A handover: a new version of it goes on as the same incarnation."""
        process = self.processes[me]
        if process.core is None or process.paused:
            return
        kept, stored, forgot = process.core.retire(), process.kept, process.forgot
        self._end(process)
        process.forgot = forgot
        process.kept = kept
        self.start(me)
        process.kept = stored

    def pause(self, me: int) -> None:
        self.processes[me].paused = True

    def resume(self, me: int) -> None:
        process = self.processes[me]
        if not process.paused:
            return
        process.paused = False
        inbox, process.inbox = process.inbox, []
        for peer, raw in inbox:
            self._arrive(process.me, peer, raw)
        self._plan(process)

    def part(self, *groups: Iterable[int]) -> None:
        """Cut all ways between the groups. A process in several groups hears all of them (a bridge)."""
        sides = [set(group) for group in groups]
        self.cut = {
            (a, b)
            for a in range(self.made.peers)
            for b in range(self.made.peers)
            if a != b and not any(a in side and b in side for side in sides)
        }

    def cut_one_way(self, sources: Iterable[int], targets: Iterable[int]) -> None:
        targets = list(targets)
        self.cut = {(a, b) for a in sources for b in targets if a != b}

    def heal(self) -> None:
        """All faults end, and all processes run."""
        self.cut = set()
        self.network = Network()
        for process in self.processes:
            process.doomed = False
            if process.paused:
                self.resume(process.me)
            if not process.alive:
                self.start(process.me)

    # Use

    def propose(self, me: int, data: bytes) -> bool:
        """Whether that process took the entry."""
        process = self.processes[me]
        if process.core is None or process.paused:
            return False
        try:
            self._step(process, lambda core, now: core.propose(now, TAPE + data))
        except (NotLeadingError, BusyError):
            return False
        return True

    def ask_lease(self, me: int, name: str = "lease", lease_us: int | None = None) -> None:
        process = self.processes[me]
        if process.core is None or process.paused:
            return
        lease_us = self.made.timing.lease_us if lease_us is None else lease_us
        word = process.leases.ask(process.local(self.time), process.core.incarnation, name, lease_us)
        self._step(process, lambda core, now: core.word(now, word))

    def give_back(self, me: int, name: str = "lease") -> None:
        process = self.processes[me]
        word = process.leases.give_back(name)
        if word is not None and process.alive and not process.paused:
            self._step(process, lambda core, now: core.word(now, word))

    def _heard(self, process: Process, peer: int, incarnation: int, data: bytes) -> None:
        # The core is in the midst of a step: what the leader answers is a step of its own.
        self.at(self.time, self._grant, process, process.core, peer, incarnation, data)

    def _grant(self, process: Process, core: Core, peer: int, incarnation: int, data: bytes) -> None:
        if process.core is not core or process.paused:
            return
        now = process.local(self.time)
        entry = process.leases.entry(now, core.era, peer, incarnation, data)
        if entry is None:
            return
        try:
            self._step(process, lambda core, now: core.propose(now, LEASES + entry))
        except (NotLeadingError, BusyError):
            return

    def leaders(self) -> list[Process]:
        return [one for one in self.processes if one.core is not None and one.core.role == "leader"]

    # Time

    def at(self, time: int, call: Callable[..., None], *args: object) -> None:
        self._order += 1
        heapq.heappush(self._queue, (time, self._order, call, args))

    def run(self, until: int, done: Callable[[], bool] | None = None) -> bool:
        """Go on until that true time, or until `done` after a step. Whether it was done."""
        queue = self._queue
        if done is not None and done():
            return True
        while queue and queue[0][0] <= until:
            time, _, call, args = heapq.heappop(queue)
            self.time = max(self.time, time)
            steps = self.steps
            call(*args)
            if done is not None and self.steps != steps and done():
                return True
        self.time = max(self.time, until)
        return False

    def run_for(self, us: int, done: Callable[[], bool] | None = None) -> bool:
        return self.run(self.time + us, done)

    def _plan(self, process: Process) -> None:
        process.version += 1
        core = process.core
        if core is not None and core.due < FAR:
            time = max(self.time, process.true(core.due))
            self.at(time, self._tick, process, process.version)

    def _tick(self, process: Process, version: int) -> None:
        if version != process.version or process.paused:
            return
        self._step(process, lambda core, now: core.tick(now))
        if process.core is not None:
            self.checker.ticked(process, self.time)

    def _arrive(self, me: int, peer: int, raw: bytes) -> None:
        if (peer, me) in self.cut:
            return
        process = self.processes[me]
        if process.paused:
            if len(process.inbox) < INBOX_MOST:
                process.inbox.append((peer, raw))
        elif process.core is not None:
            self._step(process, lambda core, now: core.receive(now, peer, raw))

    def _step(self, process: Process, step: Callable[[Core, int], Effects]) -> None:
        core = process.core
        if core is None:
            return
        now = process.local(self.time)
        effects = step(core, now)
        self.steps += 1
        sends = effects.sends
        if process.doomed:
            if self.draw.random() < 0.5:
                return self._end(process)
            sends = sends[: self.draw.randint(0, len(sends))]
        self._keep(process, effects.keep)
        for peer, raw in sends:
            self.checker.sent(process, raw)
            self._send(process.me, peer, raw)
        process.leases.observe(now, core.era)
        self.checker.stepped(process, self.time)
        if process.doomed:
            return self._end(process)
        self._plan(process)

    def _keep(self, process: Process, changes: Mapping[bytes, bytes | None]) -> None:
        if not self.made.lasting:
            return
        for key, value in changes.items():
            if value is None:
                process.kept.pop(key, None)
            else:
                process.kept[key] = value

    def _send(self, source: int, target: int, raw: bytes) -> None:
        network, draw = self.network, self.draw
        self.sent += 1
        if network.loss and draw.random() < network.loss:
            return
        times = 2 if network.doubling and draw.random() < network.doubling else 1
        for _ in range(times):
            delay = draw.randint(network.least_us, network.most_us)
            if network.late and draw.random() < network.late:
                delay += draw.randint(0, network.late_us)
            self.at(self.time + delay, self._arrive, target, source, raw)
