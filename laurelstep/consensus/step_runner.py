"""Runs the steps of one core one at a time, and carries out their effects in order.

1. The records of a step are durable before its datagrams are sent, its change is reported and the next step
   runs. Meanwhile, further steps are queued in order, up to a limit. Beyond it, a datagram or tick is dropped
   and counted, and a caller gets BusyError.
2. If the store or the core fails, the failure is reported and the runner is stopped. A stopped runner sends
   nothing.
"""

from __future__ import annotations

import asyncio
import functools
from collections import deque
from collections.abc import Callable
from typing import Final

from laurelstep.consensus.core import ConsensusCore
from laurelstep.consensus.effects import StepEffects
from laurelstep.consensus.errors import BusyError, ConsensusError
from laurelstep.consensus.ports import Link, Store
from laurelstep.engine.ports import Clock, Handle

__all__ = ["MAX_QUEUED_STEPS", "MIN_TICK_DELAY_US", "Step", "StepRunner"]

# The maximum number of steps queued while the records of a step are being made durable.
MAX_QUEUED_STEPS: Final = 256
# The minimum delay of a tick, so that a core that is always due can't occupy the event loop.
MIN_TICK_DELAY_US: Final = 1_000

Step = Callable[[int], StepEffects]


def _write_error(write: asyncio.Future[None]) -> BaseException | None:
    return OSError("the write was cancelled") if write.cancelled() else write.exception()


class StepRunner:
    """Connects one core to its link, store and clock, until stopped. See the rules of the module."""

    def __init__(
        self,
        core: ConsensusCore,
        link: Link,
        store: Store,
        clock: Clock,
        counters: dict[str, int],
        on_change: Callable[[], None],
        on_durable: Callable[[], None],
        on_failure: Callable[[BaseException], None],
    ) -> None:
        """`counters` must have the keys `waited`, `dropped` and `refused`.

        `on_change()` is called after a step that changed the state, `on_durable()` once the records of a step
        are durable, before its datagrams are sent. `on_failure(error)` must stop the runner.
        """
        self.core = core
        self.is_stopped = False
        self._link = link
        self._store = store
        self._clock = clock
        self._counters = counters
        self._on_change = on_change
        self._on_durable = on_durable
        self._on_failure = on_failure
        self._queue: deque[Step] = deque()
        self._is_in_step = False
        self._is_writing = False
        self._timer: Handle | None = None
        self._timer_due_us = 0

    @property
    def is_busy(self) -> bool:
        """Whether a step is running, or its records are being made durable."""
        return self._is_in_step or self._is_writing

    def start(self) -> None:
        """Run the core's first step."""
        self._run_or_queue(self.core.start)

    def receive(self, peer: int, data: bytes) -> None:
        """Handle a datagram after the queued steps, or drop it if the queue is full."""
        self._run_or_queue(lambda now_us: self.core.receive(now_us, peer, data))

    def submit(self, step: Step) -> None:
        """Run a step for a caller.

        It runs immediately, raising its errors, or is queued behind the step in progress. Raises BusyError if
        the queue is full.
        """
        if not self.is_busy:
            try:
                self._run(step)
            finally:
                self._run_queued()
        elif len(self._queue) >= MAX_QUEUED_STEPS:
            raise BusyError(f"{MAX_QUEUED_STEPS} steps are queued")
        else:
            self._counters["waited"] += 1
            self._queue.append(step)

    def stop(self) -> None:
        """Stop permanently: run no further step, and send nothing."""
        self.is_stopped = True
        self._queue.clear()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _run_or_queue(self, step: Step) -> None:
        """Run a step of the link or the clock, queue it, or drop it if the queue is full."""
        if self.is_stopped:
            return
        if not self.is_busy:
            self._run_unattended(step)
            self._run_queued()
        elif len(self._queue) >= MAX_QUEUED_STEPS:
            self._counters["dropped"] += 1
        else:
            self._counters["waited"] += 1
            self._queue.append(step)

    def _run_unattended(self, step: Step) -> None:
        try:
            self._run(step)
        except ConsensusError:
            # A queued proposal or message can't be carried out any longer. Its caller retries.
            self._counters["refused"] += 1

    def _run(self, step: Step) -> None:
        self._is_in_step = True
        try:
            effects = step(self._clock.now())
            write = self._store.write(effects.persist) if effects.persist else None
        except ConsensusError:
            raise
        except Exception as error:  # a fault of consensus must not fail requests
            self._on_failure(error)
            return
        finally:
            self._is_in_step = False
        if write is None or write.done():
            self._finish(effects, None if write is None else _write_error(write))
        else:
            self._is_writing = True
            write.add_done_callback(functools.partial(self._on_written, effects))

    def _on_written(self, effects: StepEffects, write: asyncio.Future[None]) -> None:
        error = _write_error(write)
        if self.is_stopped:
            return
        self._is_writing = False
        self._finish(effects, error)
        self._run_queued()

    def _finish(self, effects: StepEffects, error: BaseException | None) -> None:
        """Send the datagrams and report the change, or report the error of the write."""
        try:
            if error is not None:
                raise error
            if effects.persist:
                self._on_durable()
            for peer, data in effects.outgoing:
                self._link.send(peer, data)
        except Exception as failure:
            self._on_failure(failure)
            return
        if effects.state_changed:
            self._on_change()

    def _run_queued(self) -> None:
        """Run the queued steps until one of them has records to write."""
        while not self.is_stopped and self._queue and not self.is_busy:
            self._run_unattended(self._queue.popleft())
        if not self.is_stopped and not self.is_busy:
            self._set_timer()

    def _set_timer(self) -> None:
        due_us = self.core.due_us
        if self._timer is not None:
            if self._timer_due_us <= due_us:
                return  # `_tick` sets it again
            self._timer.cancel()
        self._timer_due_us = max(due_us, self._clock.now() + MIN_TICK_DELAY_US)
        self._timer = self._clock.at(self._timer_due_us, self._tick)

    def _tick(self) -> None:
        self._timer = None
        if self.is_stopped:
            return
        if self.core.due_us > self._clock.now():
            self._set_timer()  # the tick was postponed since the timer was set
        else:
            self._run_or_queue(self.core.tick)
