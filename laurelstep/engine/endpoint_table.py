"""The endpoints that this copy was told of: entries read, starts dated, drains timed.

Rules that everything here serves:

1. A list is read whole before any of it is used; a bad entry loses nothing of the state.
2. An endpoint told draining or gone, or left out of a whole list, gets nothing new once
   the drain grace is over, counted from the first time it was told: a list that takes
   long to apply counts from when it came.
3. A new start or address inherits no connection of the old one.
4. A long list is applied in steps: `laurelstep.engine.list_updates`.
5. A start is told in wall time, and this machine's wall clock may have been stepped. It is dated by the
   least that this clock has shown against the monotonic one since the process began, so that a step ahead
   makes no endpoint look older. An endpoint that is listed with a later start than before can't have started
   before the earlier one was told; and none starts after it is told. Where these disagree with the wall
   clock, the younger age holds.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from hashlib import blake2b
from typing import Any, Final

from laurelstep.balancing.events import DRAINING, GONE, READY, Entry
from laurelstep.engine.names import NameTable
from laurelstep.engine.ports import Clock, Upstream

# The clocks are read one after the other, and a machine may be held up between the two: a difference up to
# this is no step.
CLOCK_TOLERANCE_US: Final = 500_000

# The process may be held up so long between reading its clock and writing: the drain grace covers it.
HELD_UP_US: Final = 150_000
PHASES: Final = {"ready": READY, "draining": DRAINING, "gone": GONE}


def endpoint_number(instance: str) -> int:
    """From the name alone, so that all sidecars sort and group alike, and do
    so after a restart; 64 bits, so that two hardly ever meet.
    """
    return int.from_bytes(blake2b(instance.encode(), digest_size=8).digest(), "big")


class ListedEndpoint:
    """What is kept of one listed endpoint. `seen_at`: when its present start was first told, µs."""

    __slots__ = ("address", "entry", "name", "seen_at", "started_ms", "withdrawn_at")

    def __init__(self, name: str, address: str, started_ms: int, entry: Entry, seen_at: int = 0) -> None:
        self.name = name
        self.address = address
        self.started_ms = started_ms
        self.entry = entry
        self.seen_at = seen_at
        self.withdrawn_at: int | None = None  # told draining or gone


def split_address(address: str) -> tuple[str, int]:
    """Host and port; ValueError if there are none."""
    host, _, port = address.rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f"no address: {address}")
    return host, int(port)


class StartDating:
    """Wall times of starts on the monotonic clock. See rule 5 in the head. Times in µs but `started_ms`."""

    def __init__(self, now: int, wall: int) -> None:
        self.least_offset = wall - now

    def boot(self, started_ms: int, earlier_seen_at: int | None, now: int, wall: int) -> int:
        """When it started by the monotonic clock; 0 for long ago. `earlier_seen_at`: when an earlier start
        of the same endpoint was told, None if none was.
        """
        if started_ms <= 0:
            return 0
        boot = started_ms * 1000 - self._wall_offset(now, wall)
        if earlier_seen_at is not None:
            boot = max(boot, earlier_seen_at)
        return min(boot, now) or 1  # 0 would mean long ago

    def _wall_offset(self, now: int, wall: int) -> int:
        """Wall time at the monotonic clock's zero."""
        offset = wall - now
        if offset < self.least_offset - CLOCK_TOLERANCE_US:
            self.least_offset = offset
        return self.least_offset if offset > self.least_offset + CLOCK_TOLERANCE_US else offset


class EndpointTable:
    """Listed endpoints by their number, those withdrawn among them while the drain grace lasts."""

    def __init__(self, clock: Clock, names: NameTable, upstream: Upstream, drain_grace_us: int) -> None:
        self.clock = clock
        self.start_dating = StartDating(clock.now(), clock.wall())
        self.names = names
        self.upstream = upstream
        self.drain_grace_us = drain_grace_us
        self.start_grace_us = drain_grace_us - HELD_UP_US  # an attempt may begin within this
        self.by_number: dict[int, ListedEndpoint] = {}
        self.draining: set[int] = set()  # listed, and wants nothing new
        self.withdrawals: deque[tuple[int, int]] = deque()  # when, and which; it may be back since

    def may_receive(self, endpoint: int, now: int) -> bool:
        """Whether an attempt may begin there at the time `now`, in us."""
        listed = self.by_number.get(endpoint)
        if listed is None:
            return False
        return listed.withdrawn_at is None or now < listed.withdrawn_at + self.start_grace_us

    def size(self) -> int:
        """How many endpoints the list holds, the draining ones among them."""
        return sum(1 for listed in self.by_number.values() if listed.withdrawn_at is None) + len(
            self.draining
        )

    def note_draining(self, endpoint: int, phase: int) -> None:
        """Count it among the draining ones, or no longer."""
        if phase == DRAINING:
            self.draining.add(endpoint)
        else:
            self.draining.discard(endpoint)

    def apply(self, whole: bool, raw: Sequence[Any]) -> list[Entry]:
        """Take a list in discovery's form and give its entries for the module;
        ValueError if it can't be read, with nothing changed.
        """
        read = [self.read_entry(one) for one in raw]
        now = self.clock.now()
        self.forget_withdrawn(now)
        if whole:  # it replaces: what it leaves out is gone
            named = {entry.endpoint for entry, _ in read}
            for number, listed in self.by_number.items():
                if number not in named:
                    self.withdraw(now, number, listed)
            self.draining &= named
        for entry, listed in read:
            self.apply_entry(now, entry, listed)
        return [entry for entry, _ in read]

    def is_unchanged(self, entry: Entry, listed: ListedEndpoint) -> bool:
        """Whether nothing changed: neither the module nor the upstream need hear of it."""
        old = self.by_number.get(entry.endpoint)
        return (
            old is not None
            and old.withdrawn_at is None
            and old.address == listed.address
            and old.entry == entry
        )

    def read_entry(self, raw: Any) -> tuple[Entry, ListedEndpoint]:
        """An entry in discovery's form; ValueError if it can't be read."""
        try:
            return self._entry(raw)
        except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
            raise ValueError(f"no entry: {error!r}") from None

    def forget_withdrawn(self, now: int) -> None:
        """Guards memory where endpoints come and go: past the grace nothing may start there."""
        while self.withdrawals and now >= self.withdrawals[0][0] + self.drain_grace_us:
            withdrawn_at, number = self.withdrawals.popleft()
            listed = self.by_number.get(number)
            if listed is not None and listed.withdrawn_at == withdrawn_at:
                del self.by_number[number]

    def _entry(self, raw: dict[str, Any]) -> tuple[Entry, ListedEndpoint]:
        name = raw["instanceId"]
        number = endpoint_number(name)
        phase = PHASES[raw["lifecycle"]]
        address = str(raw.get("hostPort", ""))
        started_ms = int(raw.get("startedAtMs", 0))
        if phase == READY:
            split_address(address)
        old = self.by_number.get(number)
        # Converted once: a clock that is set must not feign a restart.
        same = old is not None and old.started_ms == started_ms
        if old is not None and same:
            boot, seen_at = old.entry.boot, old.seen_at
        else:
            is_later = old is not None and 0 < old.started_ms < started_ms
            earlier_seen_at = old.seen_at if old is not None and is_later else None
            seen_at = self.clock.now()
            boot = self.start_dating.boot(started_ms, earlier_seen_at, seen_at, self.clock.wall())
        entry = Entry(
            endpoint=number,
            phase=phase,
            boot=boot,
            rating=float(raw.get("weight", 1.0)),
            cell=int(raw.get("cell", 0)),
            zone=self.names.zones.get(raw.get("zone", ""), 0),
            kind=self.names.kinds.get(raw.get("machineType", ""), 0),
        )
        return entry, ListedEndpoint(name, address, started_ms, entry, seen_at)

    def apply_entry(self, now: int, entry: Entry, listed: ListedEndpoint) -> None:
        """Take what a list says of one endpoint; another address or start is another process."""
        number = entry.endpoint
        old = self.by_number.get(number)
        self.note_draining(number, entry.phase)
        if entry.phase != READY:
            if old is not None:
                self.withdraw(now, number, old)
            return
        self.by_number[number] = listed
        same = old is not None and old.withdrawn_at is None
        if old is None or not same or (old.address, old.started_ms) != (listed.address, listed.started_ms):
            self.upstream.set_address(number, listed.address)

    def withdraw(self, now: int, number: int, listed: ListedEndpoint) -> None:
        """It was told draining or gone, or left out of a complete list; the first time counts."""
        if listed.withdrawn_at is None:
            listed.withdrawn_at = now
            self.withdrawals.append((now, number))
            self.upstream.remove(number)
