"""What the supervisor decides: which worker starts, which stops, and when. Pure.

Times are in µs.

1. A slot is one replica's number. At most two processes hold it, and two only while the newer one takes over:
   the older one is told to stop once the newer one is ready.
2. A process that exits unexpectedly is replaced after a backoff that doubles with each failure in a row up to
   `max_backoff_us`, and is `initial_backoff_us` again once one has been ready for `max_backoff_us`.
3. A process that is not ready within `ready_timeout_us` is killed; the one that it was to replace serves on.
4. A rolling restart goes slot by slot: never are two replicas in doubt at once.
5. After `stop` nothing starts, and the plan is complete once no process is left.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# More doublings than any backoff has.
MAX_DOUBLINGS: Final = 30


@dataclass(frozen=True)
class StartWorker:
    """Start a process for the slot; `process` is its number, never used twice."""

    slot: int
    process: int


@dataclass(frozen=True)
class StopWorker:
    """Tell a process to drain and exit."""

    process: int


@dataclass(frozen=True)
class KillWorker:
    """End a process at once."""

    process: int


SupervisorAction = StartWorker | StopWorker | KillWorker


class SlotState:
    """The processes that hold one slot."""

    def __init__(self) -> None:
        self.serving: int | None = None  # the process that is ready
        self.starting: int | None = None  # the one that is not ready yet
        self.since_us = 0  # of the state of these two
        self.failures = 0  # in a row
        self.start_due_us: int | None = 0  # nothing serves, and nothing starts before


class SupervisorPlan:
    """The state of all slots. `now_us` never goes back; call `advance` after each event, and at
    `next_due_us`.
    """

    def __init__(
        self, processes: int, initial_backoff_us: int, max_backoff_us: int, ready_timeout_us: int
    ) -> None:
        self.initial_backoff_us = initial_backoff_us
        self.max_backoff_us = max_backoff_us
        self.ready_timeout_us = ready_timeout_us
        self.slots = [SlotState() for _ in range(processes)]
        self.slot_of: dict[int, int] = {}  # of all processes that have not exited
        self.restart_queue: list[int] = []  # slots whose process is still to be replaced
        self.is_stopping = False
        self.started_count = 0
        self.failure_count = 0  # processes that exited unexpectedly

    @property
    def is_complete(self) -> bool:
        """Whether all has been stopped."""
        return self.is_stopping and not self.slot_of

    def on_ready(self, now_us: int, process: int) -> list[SupervisorAction]:
        """A process serves: the one that it replaces is to stop."""
        slot = self._slot(process)
        if slot is None or slot.starting != process:
            return []
        replaced = slot.serving
        slot.serving = process
        slot.starting = None
        slot.since_us = now_us
        return [StopWorker(replaced)] if replaced is not None else []

    def on_exit(self, now_us: int, process: int) -> None:
        """A process has exited, or is as good as that."""
        slot = self._slot(process)
        self.slot_of.pop(process, None)
        if slot is None or process not in (slot.serving, slot.starting):
            return  # it was told to
        if slot.serving == process:
            if now_us - slot.since_us >= self.max_backoff_us:
                slot.failures = 0
            slot.serving = None
        else:
            slot.starting = None
        self.failure_count += 1
        if slot.serving is None and slot.starting is None:
            backoff_us = self.initial_backoff_us << min(slot.failures, MAX_DOUBLINGS)
            slot.start_due_us = now_us + min(self.max_backoff_us, backoff_us)
        slot.failures += 1

    def restart_all(self) -> None:
        """Replace all processes, one after the other."""
        self.restart_queue = list(range(len(self.slots)))

    def stop(self) -> list[SupervisorAction]:
        """Stop all processes, for good."""
        self.is_stopping = True
        self.restart_queue = []
        for slot in self.slots:
            slot.serving = slot.starting = slot.start_due_us = None
        return [StopWorker(process) for process in self.slot_of]

    def advance(self, now_us: int) -> list[SupervisorAction]:
        """What is due by now."""
        if self.is_stopping:
            return []
        actions: list[SupervisorAction] = []
        for number, slot in enumerate(self.slots):
            if slot.starting is not None and now_us - slot.since_us >= self.ready_timeout_us:
                actions.append(KillWorker(slot.starting))
                self.on_exit(now_us, slot.starting)
            if slot.start_due_us is not None and slot.start_due_us <= now_us:
                actions.append(self._start(now_us, number))
        # One at a time, and only while nothing else is in doubt.
        while self.restart_queue and not any(slot.starting is not None for slot in self.slots):
            number = self.restart_queue.pop(0)
            if self.slots[number].serving is not None:
                actions.append(self._start(now_us, number))
        return actions

    def next_due_us(self) -> int | None:
        """When `advance` has something to do without a further event; None for never."""
        if self.is_stopping:
            return None
        starts = [slot.start_due_us for slot in self.slots if slot.start_due_us is not None]
        timeouts = [slot.since_us + self.ready_timeout_us for slot in self.slots if slot.starting is not None]
        return min(starts + timeouts, default=None)

    def _start(self, now_us: int, number: int) -> StartWorker:
        self.started_count += 1
        process = self.started_count
        slot = self.slots[number]
        slot.starting = process
        slot.since_us = now_us
        slot.start_due_us = None
        self.slot_of[process] = number
        return StartWorker(number, process)

    def _slot(self, process: int) -> SlotState | None:
        number = self.slot_of.get(process)
        return None if number is None else self.slots[number]
