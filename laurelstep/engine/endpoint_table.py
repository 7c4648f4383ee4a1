"""The table of listed endpoints: parses list entries, dates endpoint starts and times drains.

Rules of this module:

1. A list is parsed completely before any of it is applied, so that a malformed entry changes nothing.
2. An endpoint that is listed as draining or gone, or missing from a full list, gets no new request once the
   drain grace is over. The grace counts from the first list that says so; for a list that takes long to
   apply, from when it was received.
3. A new start time or address means a new process: no connection to the old one is used again. An address
   belongs to the instance that started there last: another one that is listed with it has gone, and gets
   nothing more, whatever lists still say of it.
4. A long list is applied in steps by `laurelstep.engine.list_updates`.
5. Start times are given in wall-clock time, and the wall clock of this machine may have been stepped. They
   are converted with the smallest offset between the wall clock and the monotonic clock since this process
   began, so that a forward step makes no endpoint look older. An endpoint that is listed with a later start
   than before can't have started before the earlier start was listed, and no endpoint starts after it is
   listed. Where these bounds contradict the wall clock, the younger age applies.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Sequence
from hashlib import blake2b
from typing import Any, Final

from laurelstep.balancing.events import DRAINING, GONE, READY, Entry
from laurelstep.engine.names import NameTable
from laurelstep.engine.ports import Clock, Upstream

# The two clocks are read one after the other, and the process may be suspended in between: a smaller change
# of their offset does not count as a step.
CLOCK_TOLERANCE_US: Final = 500_000

# The process may be suspended this long between reading its clock and writing a request, so no attempt begins
# in this last part of the drain grace.
MAX_WRITE_DELAY_US: Final = 150_000
PHASES: Final = {"ready": READY, "draining": DRAINING, "gone": GONE}


def endpoint_number(instance: str) -> int:
    """The number of an endpoint, derived from its instance id alone, so that all sidecars order and group
    endpoints alike, also after a restart. 64 bits, so that collisions are very unlikely.
    """
    return int.from_bytes(blake2b(instance.encode(), digest_size=8).digest(), "big")


class ListedEndpoint:
    """One listed endpoint. `started_ms`: its start in Unix time as listed, 0 if not given. `seen_at`: when
    that start was first listed, in µs on the engine's clock.
    """

    __slots__ = ("address", "entry", "name", "seen_at", "started_ms", "withdrawn_at")

    def __init__(self, name: str, address: str, started_ms: int, entry: Entry, seen_at: int = 0) -> None:
        self.name = name
        self.address = address
        self.started_ms = started_ms
        self.entry = entry
        self.seen_at = seen_at
        self.withdrawn_at: int | None = None  # when it was first listed as draining or gone, or was left out


def gone_entry(entry: Entry) -> Entry:
    """The entry of the same endpoint as gone."""
    return Entry(entry.endpoint, GONE, entry.boot, entry.rating, entry.cell, entry.zone, entry.kind)


def split_address(address: str) -> tuple[str, int]:
    """Host and port of a `host:port` address; ValueError if it is malformed."""
    host, _, port = address.rpartition(":")
    if not host or not 0 < int(port) < 65536:
        raise ValueError(f"malformed address, expected host:port: {address}")
    return host, int(port)


class StartDating:
    """Converts start times of endpoints from wall-clock to monotonic time by rule 5 of this module. Times
    are in µs, except `started_ms`.
    """

    def __init__(self, now: int, wall: int) -> None:
        self.min_offset = wall - now

    def boot(self, started_ms: int, earlier_seen_at: int | None, now: int, wall: int) -> int:
        """When an endpoint started, on the monotonic clock; 0 for long ago. `started_ms`: its start as
        listed, Unix time in ms, 0 or less if unknown. `earlier_seen_at`: when an earlier start of the same
        endpoint was first listed, None if there was none.
        """
        if started_ms <= 0:
            return 0
        boot = started_ms * 1000 - self._wall_offset(now, wall)
        if earlier_seen_at is not None:
            boot = max(boot, earlier_seen_at)
        return min(boot, now) or 1  # 0 would mean long ago

    def _wall_offset(self, now: int, wall: int) -> int:
        """The wall-clock time at the zero of the monotonic clock."""
        offset = wall - now
        if offset < self.min_offset - CLOCK_TOLERANCE_US:
            self.min_offset = offset
        return self.min_offset if offset > self.min_offset + CLOCK_TOLERANCE_US else offset


class EndpointTable:
    """Listed endpoints by their number. A withdrawn endpoint stays until the drain grace is over."""

    def __init__(self, clock: Clock, names: NameTable, upstream: Upstream, drain_grace_us: int) -> None:
        self.clock = clock
        self.start_dating = StartDating(clock.now(), clock.wall())
        self.names = names
        self.upstream = upstream
        self.drain_grace_us = drain_grace_us
        self.start_grace_us = (
            drain_grace_us - MAX_WRITE_DELAY_US
        )  # how long after its withdrawal an attempt may begin
        self.by_number: dict[int, ListedEndpoint] = {}
        self.number_by_address: dict[str, int] = {}  # the instance that started last at each address
        self.superseded: list[Entry] = []  # as gone, not told to the balancer yet
        self.draining: set[int] = set()  # numbers of the endpoints that are listed as draining
        # Time and endpoint number of each withdrawal, in order. The endpoint may be listed again by now.
        self.withdrawals: deque[tuple[int, int]] = deque()

    def may_receive(self, endpoint: int, now: int) -> bool:
        """Whether an attempt may begin at an endpoint at the time `now`, in µs."""
        listed = self.by_number.get(endpoint)
        if listed is None or self.is_superseded(endpoint, listed):
            return False
        return listed.withdrawn_at is None or now < listed.withdrawn_at + self.start_grace_us

    def is_superseded(self, endpoint: int, listed: ListedEndpoint) -> bool:
        """Whether another instance has started at the address of an endpoint since, so that a connection to
        the address would reach that one.
        """
        owner = self.number_by_address.get(listed.address, endpoint)
        if owner == endpoint:
            return False
        other = self.by_number.get(owner)
        return other is not None and other.address == listed.address and other.started_ms > listed.started_ms

    def _note_address(self, number: int, listed: ListedEndpoint) -> None:
        """Note which instance started last at the address of a listed one."""
        owner_number = self.number_by_address.get(listed.address, number)
        owner = self.by_number.get(owner_number)
        if owner is not None and owner.address == listed.address and owner.started_ms > listed.started_ms:
            return
        self.number_by_address[listed.address] = number
        if owner is not None and self.is_superseded(owner_number, owner):
            self.superseded.append(gone_entry(owner.entry))
            self.upstream.remove(owner_number)

    def reported(self, entry: Entry) -> Entry:
        """An entry as the balancer is told it: an instance that another one has superseded is gone."""
        listed = self.by_number.get(entry.endpoint)
        is_gone = entry.phase == READY and listed is not None and self.is_superseded(entry.endpoint, listed)
        return gone_entry(entry) if is_gone else entry

    def take_superseded(self) -> list[Entry]:
        """The instances that were superseded since the last call, as gone."""
        taken, self.superseded = self.superseded, []
        return taken

    def _forget_address(self, number: int, listed: ListedEndpoint) -> None:
        if self.number_by_address.get(listed.address) == number:
            del self.number_by_address[listed.address]

    def size(self) -> int:
        """How many endpoints are listed, draining ones included."""
        return sum(1 for listed in self.by_number.values() if listed.withdrawn_at is None) + len(
            self.draining
        )

    def note_draining(self, endpoint: int, phase: int) -> None:
        """Add an endpoint to `draining`, or remove it, by the phase in which it is listed."""
        if phase == DRAINING:
            self.draining.add(endpoint)
        else:
            self.draining.discard(endpoint)

    def apply(self, is_full: bool, raw: Sequence[Any]) -> list[Entry]:
        """Apply a list in the format of discovery, full or of changes, and return its entries for the
        balancer. ValueError, with nothing changed, if an entry is malformed.
        """
        parsed = [self.read_entry(raw_entry) for raw_entry in raw]
        now = self.clock.now()
        self.forget_withdrawn(now)
        if is_full:  # an endpoint that it leaves out is gone
            listed_numbers = {entry.endpoint for entry, _ in parsed}
            for number, listed in self.by_number.items():
                if number not in listed_numbers:
                    self.withdraw(now, number, listed)
            self.draining &= listed_numbers
        for entry, listed in parsed:
            self.apply_entry(now, entry, listed)
        return [self.reported(entry) for entry, _ in parsed] + self.take_superseded()

    def is_unchanged(self, entry: Entry, listed: ListedEndpoint) -> bool:
        """Whether an entry is the same as before, so that neither the balancer nor the upstream needs it."""
        old = self.by_number.get(entry.endpoint)
        return (
            old is not None
            and old.withdrawn_at is None
            and old.address == listed.address
            and old.entry == entry
        )

    def read_entry(self, raw: Any) -> tuple[Entry, ListedEndpoint]:
        """Parse an entry in the format of discovery; ValueError if it is malformed."""
        try:
            return self._parse_entry(raw)
        except (KeyError, TypeError, AttributeError, ValueError, OverflowError) as error:
            raise ValueError(f"malformed entry: {error!r}") from None

    def forget_withdrawn(self, now: int) -> None:
        """Remove withdrawn endpoints whose drain grace is over. Guards against a table that grows as
        endpoints come and go.
        """
        while self.withdrawals and now >= self.withdrawals[0][0] + self.drain_grace_us:
            withdrawn_at, number = self.withdrawals.popleft()
            listed = self.by_number.get(number)
            if listed is not None and listed.withdrawn_at == withdrawn_at:
                del self.by_number[number]
                self._forget_address(number, listed)

    def _parse_entry(self, raw: dict[str, Any]) -> tuple[Entry, ListedEndpoint]:
        name = raw["instanceId"]
        number = endpoint_number(name)
        phase = PHASES[raw["lifecycle"]]
        address = str(raw.get("hostPort", ""))
        started_ms = int(raw.get("startedAtMs", 0))
        if phase == READY:
            split_address(address)
        old = self.by_number.get(number)
        # Each start is converted once: setting the clock must not look like a restart of the endpoint.
        is_same_start = old is not None and old.started_ms == started_ms
        if old is not None and is_same_start:
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
        """Apply the entry of one endpoint. Another address or start time means another process."""
        number = entry.endpoint
        old = self.by_number.get(number)
        self.note_draining(number, entry.phase)
        if entry.phase != READY:
            if old is not None:
                self.withdraw(now, number, old)
            return
        if old is not None and old.address != listed.address:
            self._forget_address(number, old)
        self.by_number[number] = listed
        self._note_address(number, listed)
        was_listed = old is not None and old.withdrawn_at is None
        if (
            old is None
            or not was_listed
            or (old.address, old.started_ms) != (listed.address, listed.started_ms)
        ):
            self.upstream.set_address(number, listed.address)

    def withdraw(self, now: int, number: int, listed: ListedEndpoint) -> None:
        """Withdraw an endpoint that was listed as draining or gone, or left out of a full list. Only the
        first time counts.
        """
        if listed.withdrawn_at is None:
            listed.withdrawn_at = now
            self.withdrawals.append((now, number))
            self.upstream.remove(number)
