"""What the parent decides: which process starts, which stops, and when.

Rules that everything here serves; times in µs, no I/O:

1. A slot is one copy's number. At most two processes hold it, and two only while the
   newer one takes over: the older one is told to stop once the newer one is ready.
2. A process that ends unasked is replaced, after a pause that doubles with each failure in
   a row up to `most_us`, and is `first_us` again once one has been ready for `most_us`.
3. A process that is not ready within `ready_us` is ended; what it was to replace serves on.
4. A restart takes over slot by slot: never are two copies in doubt at once.
5. After `stop` nothing starts, and `over` once no process is left.
"""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True)
class Start:
    """Start a process for the slot; `process` is its number, never used twice."""

    slot: int
    process: int


@dataclass(frozen=True)
class Stop:
    """Tell a process to finish and end."""

    process: int


@dataclass(frozen=True)
class End:
    """End a process at once."""

    process: int


Action = Start | Stop | End


class Slot:
    """One copy's number, and the processes that hold it."""

    def __init__(self) -> None:
        self.serving: int | None = None  # the one that is ready
        self.coming: int | None = None  # the one that is not ready yet
        self.since = 0  # of the state of these two
        self.failures = 0  # in a row
        self.start_at: int | None = 0  # nothing serves, and nothing starts before


class Plan:
    """`now` never goes back. Call `act` after each event, and at `wake`."""

    def __init__(self, processes: int, first_us: int, most_us: int, ready_us: int) -> None:
        self.first_us, self.most_us, self.ready_us = first_us, most_us, ready_us
        self.slots = [Slot() for _ in range(processes)]
        self.slot_of: dict[int, int] = {}  # of all processes that have not ended
        self.renewing: list[int] = []  # slots whose process is still to be replaced
        self.stopping = False
        self.started = 0
        self.restarts = 0  # processes that ended unasked

    @property
    def over(self) -> bool:
        return self.stopping and not self.slot_of

    def ready(self, now: int, process: int) -> list[Action]:
        slot = self._slot(process)
        if slot is None or slot.coming != process:
            return []
        older, slot.serving, slot.coming = slot.serving, process, None
        slot.since = now
        return [Stop(older)] if older is not None else []

    def ended(self, now: int, process: int) -> None:
        slot = self._slot(process)
        self.slot_of.pop(process, None)
        if slot is None or process not in (slot.serving, slot.coming):
            return  # it was told to
        if slot.serving == process:
            if now - slot.since >= self.most_us:
                slot.failures = 0
            slot.serving = None
        else:
            slot.coming = None
        self.restarts += 1
        if slot.serving is None and slot.coming is None:
            slot.start_at = now + min(self.most_us, self.first_us << min(slot.failures, 30))
        slot.failures += 1

    def renew(self) -> None:
        """Replace all processes, one after the other."""
        self.renewing = list(range(len(self.slots)))

    def stop(self) -> list[Action]:
        """Everything ends."""
        self.stopping = True
        self.renewing = []
        for slot in self.slots:
            slot.serving = slot.coming = slot.start_at = None
        return [Stop(process) for process in self.slot_of]

    def act(self, now: int) -> list[Action]:
        """What is due by now."""
        if self.stopping:
            return []
        actions: list[Action] = []
        for number, slot in enumerate(self.slots):
            if slot.coming is not None and now - slot.since >= self.ready_us:
                actions.append(End(slot.coming))
                self.ended(now, slot.coming)
            if slot.start_at is not None and slot.start_at <= now:
                actions.append(self._start(now, number))
        # One at a time, and only while nothing else is in doubt.
        while self.renewing and not any(slot.coming is not None for slot in self.slots):
            number = self.renewing.pop(0)
            if self.slots[number].serving is not None:
                actions.append(self._start(now, number))
        return actions

    def wake(self) -> int | None:
        """When `act` has something to do without a further event; None for never."""
        due = [slot.start_at for slot in self.slots if slot.start_at is not None]
        due += [slot.since + self.ready_us for slot in self.slots if slot.coming is not None]
        return min(due, default=None) if not self.stopping else None

    def _start(self, now: int, number: int) -> Start:
        slot = self.slots[number]
        self.started += 1
        slot.coming, slot.since, slot.start_at = self.started, now, None
        self.slot_of[self.started] = number
        return Start(number, self.started)

    def _slot(self, process: int) -> Slot | None:
        number = self.slot_of.get(process)
        return None if number is None else self.slots[number]
