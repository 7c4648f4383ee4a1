"""The interface of an outbox's driver to the parts around it."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, Protocol

from laurelstep.engine.call import Answer, Call
from laurelstep.engine.clock import LoopClock
from laurelstep.engine.engine import Engine
from laurelstep.engine.ports import CallHost, Log
from laurelstep.outbox.cutoff import CutOffDetector
from laurelstep.outbox.messages import Transition
from laurelstep.outbox.options import OutboxSettings
from laurelstep.outbox.outbox import Outbox
from laurelstep.outbox.queue_store import QueueStore
from laurelstep.outbox.records import QueuedWrite
from laurelstep.outbox.replay_front import ReplayFront
from laurelstep.outbox.write_ids import WriteId

__all__ = ["OutboxHost"]


class OutboxHost(Protocol):
    """The driver of an outbox, as the body spool and the edge's exchange with upstream use it."""

    loop: asyncio.AbstractEventLoop
    clock: LoopClock
    store: QueueStore
    outbox: Outbox
    settings: OutboxSettings
    classes: dict[int, str]
    log: Log
    cutoff: CutOffDetector
    engine: Engine | None
    storing: dict[WriteId, list[Call]]
    applied_by_gate: set[WriteId]
    closing: bool

    def now(self) -> int:
        """Monotonic time in µs."""

    def wall(self) -> int:
        """The store's time in µs."""

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` as a task that `close` waits for."""

    def wake(self) -> None:
        """Process due transitions at once, without waiting for the next tick."""

    async def take_step(self, change: Transition) -> None:
        """Make a transition durable, then take the step that it announces."""

    def replay_call(self, write: QueuedWrite, body: bytes, replay: ReplayFront) -> Call:
        """Build the engine call that replays a queued write."""

    def on_stored(
        self,
        write: QueuedWrite,
        is_stored: bool,
        is_known_absent: bool,
        answer: Answer | None,
        engine: CallHost,
        prepared_answer: Answer | None = None,
    ) -> None:
        """Answer all calls that wait for a write, according to whether it was stored."""

    def answer_unqueued(
        self, call: Call, answer: Answer | None, is_known_absent: bool, engine: CallHost
    ) -> None:
        """Answer a call whose write was not stored. `is_known_absent`: no later incarnation can find it."""

    def answer_repeat(self, call: Call, write_id: WriteId, engine: CallHost) -> None:
        """Answer a call whose write was offered before."""
