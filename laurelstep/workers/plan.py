"""Decides which worker processes start and stop, and when. Pure.

Times are in µs.

1. A slot is one replica's number. At most two processes hold it, and two only while the newer one takes over:
   the older one is stopped once the newer one is ready.
2. A process that exits unexpectedly is replaced after a backoff. It doubles with each consecutive failure up
   to `max_backoff_us`, and is `initial_backoff_us` again after a process was ready for `max_backoff_us`.
3. A process that is not ready within `ready_timeout_us` is killed; the one that it was to replace keeps
   serving.
4. A rolling restart replaces one process at a time, and none while another is starting: no two replicas are
   at risk at once.
5. After `stop` no process starts, and the plan is complete once all have exited.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Final

# Bounds the shift; no configured backoff doubles this often.
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
    """Kill a process."""

    process: int


SupervisorAction = StartWorker | StopWorker | KillWorker


class SlotState:
    """The processes that hold one slot."""

    def __init__(self) -> None:
        self.serving: int | None = None  # the process that is ready
        self.starting: int | None = None  # the process that is not ready yet
        self.changed_us = 0  # when one of these two was last set
        self.consecutive_failures = 0
        self.start_due_us: int | None = 0  # None while a process serves or starts, and after `stop`


class SupervisorPlan:
    """The state of all slots. `now_us` must never decrease; call `advance` after each event, and at
    `next_due_us`.
    """

    def __init__(
        self, processes: int, initial_backoff_us: int, max_backoff_us: int, ready_timeout_us: int
    ) -> None:
        self.initial_backoff_us = initial_backoff_us
        self.max_backoff_us = max_backoff_us
        self.ready_timeout_us = ready_timeout_us
        self.slots = [SlotState() for _ in range(processes)]
        self.slot_of: dict[int, int] = {}  # for all processes that have not exited
        self.restart_queue: list[int] = []  # slots that a rolling restart has yet to reach
        self.is_stopping = False
        self.started_count = 0
        self.failure_count = 0  # processes that exited unexpectedly

    @property
    def is_complete(self) -> bool:
        """Whether the plan was stopped and all processes have exited."""
        return self.is_stopping and not self.slot_of

    def on_ready(self, now_us: int, process: int) -> list[SupervisorAction]:
        """Record that a process is ready; the one that it replaces is to stop."""
        slot = self._slot(process)
        if slot is None or slot.starting != process:
            return []
        replaced = slot.serving
        slot.serving = process
        slot.starting = None
        slot.changed_us = now_us
        return [StopWorker(replaced)] if replaced is not None else []

    def on_exit(self, now_us: int, process: int) -> None:
        """Record that a process has exited, or is about to be killed."""
        slot = self._slot(process)
        self.slot_of.pop(process, None)
        if slot is None or process not in (slot.serving, slot.starting):
            return  # expected: it was stopped or killed
        if slot.serving == process:
            if now_us - slot.changed_us >= self.max_backoff_us:
                slot.consecutive_failures = 0
            slot.serving = None
        else:
            slot.starting = None
        self.failure_count += 1
        if slot.serving is None and slot.starting is None:
            backoff_us = self.initial_backoff_us << min(slot.consecutive_failures, MAX_DOUBLINGS)
            slot.start_due_us = now_us + min(self.max_backoff_us, backoff_us)
        slot.consecutive_failures += 1

    def restart_all(self) -> None:
        """Replace all processes, one after the other."""
        self.restart_queue = list(range(len(self.slots)))

    def stop(self) -> list[SupervisorAction]:
        """Stop all processes; none starts afterwards."""
        self.is_stopping = True
        self.restart_queue = []
        for slot in self.slots:
            slot.serving = slot.starting = slot.start_due_us = None
        return [StopWorker(process) for process in self.slot_of]

    def advance(self, now_us: int) -> list[SupervisorAction]:
        """Return the actions that are due."""
        if self.is_stopping:
            return []
        actions: list[SupervisorAction] = []
        for number, slot in enumerate(self.slots):
            if slot.starting is not None and now_us - slot.changed_us >= self.ready_timeout_us:
                actions.append(KillWorker(slot.starting))
                self.on_exit(now_us, slot.starting)
            if slot.start_due_us is not None and slot.start_due_us <= now_us:
                actions.append(self._start(now_us, number))
        # One at a time, and only while no other process is starting.
        while self.restart_queue and not any(slot.starting is not None for slot in self.slots):
            number = self.restart_queue.pop(0)
            if self.slots[number].serving is not None:
                actions.append(self._start(now_us, number))
        return actions

    def next_due_us(self) -> int | None:
        """Return when `advance` is due if no event comes before; None for never."""
        if self.is_stopping:
            return None
        starts = [slot.start_due_us for slot in self.slots if slot.start_due_us is not None]
        timeouts = [
            slot.changed_us + self.ready_timeout_us for slot in self.slots if slot.starting is not None
        ]
        return min(starts + timeouts, default=None)

    def _start(self, now_us: int, number: int) -> StartWorker:
        self.started_count += 1
        process = self.started_count
        slot = self.slots[number]
        slot.starting = process
        slot.changed_us = now_us
        slot.start_due_us = None
        self.slot_of[process] = number
        return StartWorker(number, process)

    def _slot(self, process: int) -> SlotState | None:
        number = self.slot_of.get(process)
        return None if number is None else self.slots[number]
