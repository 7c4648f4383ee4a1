"""The state that the parts of an outbox's driver share: store, outbox, and requests in flight."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Mapping
from typing import TYPE_CHECKING, Any

from laurelstep.engine.call import Call
from laurelstep.engine.clock import LoopClock
from laurelstep.engine.engine import Engine
from laurelstep.engine.ports import Log
from laurelstep.outbox.background_replay import BackgroundReplay
from laurelstep.outbox.bodies import BodySpool
from laurelstep.outbox.causality_tokens import CausalityTokens
from laurelstep.outbox.cutoff import CutOffDetector, CutOffRule
from laurelstep.outbox.options import OutboxSettings
from laurelstep.outbox.outbox import Outbox
from laurelstep.outbox.queue_store import QueueStore
from laurelstep.outbox.replay_front import ReplayFront
from laurelstep.outbox.version_vector import StatusPublisher, WriteStatus
from laurelstep.outbox.write_ids import WriteId

if TYPE_CHECKING:
    from laurelstep.outbox.shared.asking import EdgeSharing


__all__ = ["DriverState"]


class DriverState:
    """The state of one `OutboxDriver`. Used only on the event loop on which it was made."""

    def __init__(
        self,
        store: QueueStore,
        outbox: Outbox,
        tokens: CausalityTokens,
        settings: OutboxSettings,
        classes: Mapping[str, int],
        tenants: Mapping[str, int],
        log: Log,
    ) -> None:
        self.loop = asyncio.get_running_loop()
        self.clock = LoopClock(self.loop)
        self.store = store
        self.outbox = outbox
        self.tokens = tokens
        self.settings = settings
        self.classes = {classes[name]: name for name in settings.classes}
        self.class_numbers = {name: classes[name] for name in settings.classes}
        self.tenants = dict(tenants)
        self.tenant_names = {number: name for name, number in tenants.items()}
        self.log = log
        rule = CutOffRule(cut_us=settings.cut_us, back_us=settings.back_us)
        self.cutoff = CutOffDetector(rule, 0, self.now())
        self.engine: Engine | None = None
        self.bodies: BodySpool
        self.sharing: EdgeSharing | None = None  # where upstream is copies of this program
        self._create_request_state()

    def _create_request_state(self) -> None:
        """Set up the writes in progress and the statuses still to be published."""
        version_vector = self.outbox.version_vector
        self.status_publisher = version_vector if isinstance(version_vector, StatusPublisher) else None
        self.storing: dict[WriteId, list[Call]] = {}  # calls that wait for a write to be stored
        self.in_flight: dict[WriteId, ReplayFront] = {}
        self.background_replay = BackgroundReplay()
        self.retried: set[WriteId] = set()  # replayed before, with unknown result
        self.parked: dict[WriteId, int] = {}  # values: the number of the parking
        # Finished writes whose status the version vector had no room for.
        self.unpublished: list[tuple[WriteId, WriteStatus]] = []
        # Writes whose status upstream knows because it answered their replay: not published again.
        self.applied_by_gate: set[WriteId] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.replay_timer: asyncio.Handle | None = None
        self.closing = False
        self.was_cut_off = False
        self.next_endpoint_check_at = 0

    def now(self) -> int:
        """Monotonic time in µs."""
        return self.clock.now()

    def wall(self) -> int:
        """The store's time in µs, which measures ages of writes across incarnations."""
        return self.store.time_us()

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` as a task that `close` waits for."""
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
