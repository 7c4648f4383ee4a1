"""A tier of copies with upkeep, without sockets: a record in perfect order, and copies that may
be behind, cut off, late or dead. Real keepers, sources and rolls; the engine is played."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from typing import Any

from laurelstep.accord.errors import NotLeadingError
from laurelstep.accord.machines import Machines
from laurelstep.engine.members import endpoint_number
from laurelstep.engine.ports import MemberSink
from laurelstep.upkeep.desk import UpkeepDesk
from laurelstep.upkeep.entries import KIND, unpack_word
from laurelstep.upkeep.keeper import Keeper
from laurelstep.upkeep.options import UpkeepSettings
from laurelstep.upkeep.roll import Roll
from laurelstep.upkeep.source import UpkeepSource
from laurelstep.upkeep.wishes import Limits, Wish
from tests.fakes import ManualClock

SECOND = 1_000_000
GRACE_US = 500_000
COLD_US = 2 * SECOND
NUMBERS: dict[str, int] = {}


def number_of(id: str) -> int:
    if id not in NUMBERS:
        NUMBERS[id] = endpoint_number(id)
    return NUMBERS[id]


def line(
    id: str, zone: str = "a", phase: str = "ready", started_ms: int = 1000, **more: Any
) -> dict[str, Any]:
    return {
        "instanceId": id, "hostPort": f"127.0.0.1:{9000 + number_of(id) % 999}", "zone": zone,
        "machineType": "small", "cell": 1, "lifecycle": phase, "weight": 1.0,
        "startedAtMs": started_ms, **more,
    }  # fmt: skip


def wish_of(name: str = "w", out: int = 1, per: str = "tier", share: float = 0.0, **more: Any) -> Wish:
    return Wish(name, Limits(out, per, share), **more)  # type: ignore[arg-type]


class PlayedEngine:
    """The engine's list, and what is out at each machine."""

    def __init__(self, clock: ManualClock) -> None:
        self.clock = clock
        self.ready: dict[str, int] = {}  # with the start that was told
        self.left: dict[str, int] = {}
        self.out: Counter[str] = Counter()
        self.lists = 0

    def now(self) -> int:
        return self.clock.now()

    def list_failed(self) -> None: ...

    def listed(self, version: int, whole: bool, entries: Sequence[Any]) -> None:
        self.lists += 1
        named = {raw["instanceId"]: raw for raw in entries}
        if whole:
            for id in [id for id in self.ready if id not in named]:
                self._leave(id)
        for id, raw in named.items():
            if raw["lifecycle"] == "ready":
                self.ready[id] = raw["startedAtMs"]
                self.left.pop(id, None)
            elif id in self.ready:
                self._leave(id)

    def list_in_steps(self, whole: bool, entries: list[Any], told_at: int) -> Iterator[None]:
        for _ in entries:
            yield
        self.listed(0, whole, entries)

    def _leave(self, id: str) -> None:
        del self.ready[id]
        self.left[id] = self.clock.now()

    def may_send(self, id: str) -> bool:
        return id in self.ready or (id in self.left and self.clock.now() < self.left[id] + GRACE_US)

    def is_out(self, id: str) -> bool:
        return self.may_send(id) or self.out[id] > 0

    def out_at(self, endpoint: int) -> int:
        return sum(count for id, count in self.out.items() if number_of(id) == endpoint)


class Inner:
    """Discovery, as the source wraps it."""

    def start(self, sink: MemberSink, generation: int) -> None: ...
    def watch(self, on: bool) -> None: ...
    def fetch(self) -> None: ...


class Copy:
    """One process of the tier, from one start on. It is its keeper's accord."""

    def __init__(self, tier: Tier, me: int, incarnation: int) -> None:
        self.tier, self.me, self.incarnation = tier, me, incarnation
        self.roll = Roll()
        self.machines = Machines({KIND[0]: self.roll})
        self.applied = 0
        self.known = False
        self.cut = False
        self.learns = True  # it can ask those who decide
        self.dead = False
        self.heard: Callable[[int, int, bytes], None] = lambda peer, incarnation, data: None
        self.on_change: Callable[[], None] = lambda: None
        self.list_version = -1
        self.engine = PlayedEngine(tier.clock)
        self.logged: list[str] = []
        self.source = UpkeepSource(
            Inner(), self.roll, tier.clock, GRACE_US, self.run_steps, self.logged.append
        )
        self.source.out_at = self.engine.out_at
        self.source.start(self.engine, 0)
        self.opened = 0
        self.keeper = Keeper(
            self,
            self.roll,
            self.source,
            tier.clock,
            tier.settings,
            0.2,
            COLD_US,
            self.logged.append,
            self._open,
        )
        self.desk = UpkeepDesk(self.keeper)
        self.keeper.start()

    def _open(self) -> None:
        self.opened += 1

    def run_steps(self, steps: Iterator[None], ended: Callable[[Exception | None], None]) -> None:
        for _ in steps:
            pass
        ended(None)

    # --- As accord --------------------------------------------------------------------

    @property
    def peers(self) -> int:
        return self.tier.count

    @property
    def era(self) -> object:
        return self.tier.era

    @property
    def leading(self) -> bool:
        return self.me in self.tier.leaders and not self.dead

    @property
    def leader(self) -> int | None:
        return min(self.tier.leaders, default=None)

    @property
    def in_touch(self) -> bool:
        return not self.cut

    def propose(self, data: bytes) -> None:
        if not self.leading:
            raise NotLeadingError(None)
        self.tier.proposed(self, data)

    def word(self, data: bytes) -> None:
        if not self.cut:
            self.tier.words.append((self.me, self.incarnation, data))

    def status(self) -> dict[str, Any]:
        return {"role": "leader" if self.leading else "follower"}

    # --- What happens to it -------------------------------------------------------------

    def catch_up(self, upto: int | None = None) -> None:
        """Apply what is agreed."""
        log = self.tier.log
        upto = len(log) if upto is None else upto
        while self.applied < upto:
            self.applied += 1
            self.machines.apply(self.applied, log[self.applied - 1])
        self.on_change()

    def jump(self) -> None:
        """Get a snapshot in place of entries."""
        self.machines.load(self.tier.machines.dump())
        self.applied = len(self.tier.log)
        self.on_change()

    def hear(self) -> None:
        """Discovery's list, as it is now."""
        if self.list_version < self.tier.list_version:
            self.list_version = self.tier.list_version
            self.source.listed(self.list_version, True, list(self.tier.list.values()))

    def die(self) -> None:
        self.dead = True
        self.keeper.close()
        self.tier.leaders.discard(self.me)


class Tier:
    """All copies, the record and discovery. `settle` lets everything happen that is due."""

    def __init__(
        self, count: int, machines: Sequence[dict[str, Any]] = (), settings: UpkeepSettings | None = None
    ) -> None:
        self.clock = ManualClock()
        self.settings = settings or UpkeepSettings()
        self.count = count
        self.era: object = 1
        self.log: list[bytes] = []
        self.roll = Roll()  # all that is agreed, applied
        self.machines = Machines({KIND[0]: self.roll})
        self.words: list[tuple[int, int, bytes]] = []
        self.list = {raw["instanceId"]: raw for raw in machines}
        self.list_version = 0
        self.incarnations = 100
        self.copies: list[Copy] = []
        self.leaders = {0}
        for me in range(count):
            self.copies.append(self.made(me))

    def made(self, me: int) -> Copy:
        self.incarnations += 1
        return Copy(self, me, self.incarnations)

    def proposed(self, by: Copy, data: bytes) -> None:
        self.append(data)

    def append(self, data: bytes) -> None:
        self.log.append(data)
        self.machines.apply(len(self.log), data)

    def list_as(self, *raws: dict[str, Any]) -> None:
        for raw in raws:
            if raw["lifecycle"] == "gone":
                self.list.pop(raw["instanceId"], None)
            else:
                self.list[raw["instanceId"]] = raw
        self.list_version += 1

    @property
    def alive(self) -> list[Copy]:
        return [one for one in self.copies if not one.dead]

    def restart(self, me: int) -> Copy:
        """From nothing."""
        if not self.copies[me].dead:
            self.copies[me].die()
        self.copies[me] = self.made(me)
        return self.copies[me]

    def carry_words(self) -> None:
        words, self.words = self.words, []
        for peer, incarnation, data in words:
            assert unpack_word(data) is not None
            for one in self.alive:
                if one.leading and not one.cut:
                    one.heard(peer, incarnation, data)

    def turn(self) -> None:
        """What is agreed and told gets where it can; every copy that is alive looks."""
        for one in self.alive:
            if not one.cut:
                one.hear()
            if not one.cut and one.learns:
                one.catch_up()
                one.known = True
            one.keeper.look()
        self.carry_words()

    def settle(self, seconds: float = 3.0) -> None:
        for _ in range(int(seconds * 10)):
            self.turn()
            self.clock.advance(SECOND // 10)
        self.turn()

    # --- What is asked ----------------------------------------------------------------

    def state(self, id: str) -> str:
        machine = self.roll.machines.get(id)
        return "" if machine is None else machine.state.value

    def states(self) -> dict[str, str]:
        return {id: one.state.value for id, one in self.roll.machines.items()}
