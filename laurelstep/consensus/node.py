"""One process's replica: its lifecycle from the first bind to the last close.

1. Steps and their effects are in the order of step_runner.py, rule 1.
2. The link is open before there is a core, and its address belongs to one process: of two processes with one
   number, one takes part. The other waits until the address is free.
3. A store or a core that fails ends this process's participation, with one line for the operator. Nothing
   else of the process notices. Where the disk under the store fails, the node restarts by itself, as after a
   crash, once the store can be opened again; otherwise at the next start.
4. Once retired, nothing is sent. The records that `retire` returns are one successor's; a process that starts
   again after that is another member, or continues from its durable store.
5. Callers are notified of leader messages and changes in a loop iteration of their own, never within a step.
"""

from __future__ import annotations

import asyncio
import errno
import functools
import secrets
from collections.abc import Awaitable, Callable, Mapping
from enum import StrEnum
from typing import Any, Final

from laurelstep.consensus.core import ConsensusCore
from laurelstep.consensus.epoch import NO_EPOCH, ClusterEpoch
from laurelstep.consensus.errors import EntryError, NotLeaderError, StoredStateError, StoreFaultError
from laurelstep.consensus.limits import MAX_ENTRY_BYTES, MAX_LEADER_MESSAGE_BYTES
from laurelstep.consensus.ports import Link, StateMachine, Store
from laurelstep.consensus.state import ReplicaRole
from laurelstep.consensus.step_runner import StepRunner
from laurelstep.engine.ports import Clock, Handle, Log

__all__ = [
    "BIND_RETRY_US",
    "MAX_REOPEN_DELAY_US",
    "MIN_REOPEN_DELAY_US",
    "ConsensusNode",
    "CoreFactory",
    "NodeStage",
]

# Between two attempts to bind an address that another process has.
BIND_RETRY_US: Final = 500_000
# Before a store whose disk fails is opened anew; the delay doubles with each attempt.
MIN_REOPEN_DELAY_US: Final = 1_000_000
MAX_REOPEN_DELAY_US: Final = 8_000_000
# Why an address can't be bound for a while: another process has it, or the machine has no socket to give.
PASSING_FAULTS: Final = frozenset((errno.EADDRINUSE, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM))
DEFAULT_REMEDY: Final = "see that the disk and the network are well, and restart the process"

CoreFactory = Callable[[int, Mapping[bytes, bytes]], ConsensusCore]


class NodeStage(StrEnum):
    """Where a node is in its lifecycle. The values are shown to operators."""

    NEW = "new"
    WAITING = "waiting"  # for its address
    RUNNING = "takes part"
    RETIRED = "retired"
    FAILED = "failed"
    CLOSED = "closed"


def _ignore(*args: Any) -> None:
    """Do nothing, until the owner sets its callback."""


def _one_line(text: object) -> str:
    return " ".join(str(text).split())


class ConsensusNode:
    """Replicates a state machine with the other processes of the tier.

    `on_change()` is called after entries were applied, and when this process's participation begins or ends;
    `on_leader_message(peer, incarnation, data)` for each leader message, while this process leads.
    """

    def __init__(
        self,
        make_core: CoreFactory,
        make_link: Callable[[], Link],
        open_store: Callable[[], Awaitable[Store]],
        state_machine: StateMachine,
        clock: Clock,
        log: Log,
        replica_id: int = 0,
        peer_count: int = 1,
    ) -> None:
        """`make_core` takes an incarnation for a start with an empty state, and the stored records."""
        self.replica_id = replica_id
        self.peer_count = peer_count
        self.make_core = make_core
        self.make_link = make_link
        self.open_store = open_store
        self.state_machine = state_machine
        self.clock = clock
        self.log = log
        self.on_change: Callable[[], None] = _ignore
        self.on_leader_message: Callable[[int, int, bytes], None] = _ignore
        self.stage = NodeStage.NEW
        self.failure = ""  # why it failed, on one line
        self.counters = {"waited": 0, "dropped": 0, "refused": 0}
        self.runner: StepRunner | None = None
        self.link: Link | None = None
        self.store: Store | None = None
        self._lifecycle_lock = asyncio.Lock()  # one start or stop at a time
        self._retry_timer: Handle | None = None  # to the next attempt to bind, or to open the store
        self._is_reopen_due = False  # failed, and the store is to be opened anew
        self._reopen_delay_us = MIN_REOPEN_DELAY_US
        self._release_task: asyncio.Task[None] | None = None  # of the last failure
        self._is_notification_due = False
        self._tasks: set[asyncio.Task[None]] = set()

    # --- For use ----------------------------------------------------------------------

    @property
    def core(self) -> ConsensusCore | None:
        """The running core; None while this process takes no part."""
        return None if self.runner is None else self.runner.core

    @property
    def is_running(self) -> bool:
        """Whether this process takes part."""
        return self.core is not None

    @property
    def is_leader(self) -> bool:
        """Whether this process leads."""
        return self.core is not None and self.core.role == ReplicaRole.LEADER

    @property
    def leader_id(self) -> int | None:
        """The number of the process that leads, as far as known."""
        return None if self.core is None else self.core.leader_id

    @property
    def incarnation(self) -> int:
        """The random number of this process's memory; 0 while it takes no part."""
        return 0 if self.core is None else self.core.incarnation

    @property
    def epoch(self) -> ClusterEpoch:
        """The bootstrap that the replicated log comes from."""
        return NO_EPOCH if self.core is None else self.core.epoch

    @property
    def is_caught_up(self) -> bool:
        """Whether this process has applied all that was committed when it started."""
        return self.core is not None and self.core.is_caught_up

    @property
    def has_leader_contact(self) -> bool:
        """Whether it has heard lately from a leader that a majority follows."""
        return self.core is not None and self.core.has_leader_contact(self.clock.now())

    def propose(self, data: bytes) -> None:
        """Append an entry, if this process still leads when its turn comes.

        Raises NotLeaderError, BusyError; EntryError if it is too long.
        """
        runner = self.runner
        if len(data) > MAX_ENTRY_BYTES:
            raise EntryError(f"an entry of {len(data)} bytes, of {MAX_ENTRY_BYTES} at most")
        if runner is None or not self.is_leader:
            raise NotLeaderError(self.leader_id)
        core = runner.core
        runner.demand(lambda now_us: core.propose(now_us, data))

    def send_to_leader(self, data: bytes) -> None:
        """Send to whoever leads; it may be lost. Raises EntryError if it is too long; BusyError."""
        runner = self.runner
        if len(data) > MAX_LEADER_MESSAGE_BYTES:
            raise EntryError(f"a message of {len(data)} bytes, of {MAX_LEADER_MESSAGE_BYTES} at most")
        if runner is not None:
            core = runner.core
            epoch = core.epoch  # it may have to wait, and the epoch be another one then
            runner.demand(lambda now_us: core.send_to_leader(now_us, data, epoch))

    def status(self) -> dict[str, Any]:
        """Return the state for an operator, in JSON's types."""
        core, found = self.core, {"stage": self.stage.value, "failure": self.failure}
        if core is None:
            return found
        return {
            **found,
            "role": core.role,
            "leader": core.leader_id,
            "term": core.term,
            "era": {"generation": core.epoch.generation, "id": f"{core.epoch.id:016x}"},
            "incarnation": f"{core.incarnation:016x}",
            "committed": core.committed_index,
            "applied": core.applied_index,
            "known": core.is_caught_up,
            "in_touch": self.has_leader_contact,
            "lasting": self.store is not None and self.store.is_durable,
            "counters": {**self.counters, **core.counters},
            "link": dict(getattr(self.link, "counters", {})),
        }

    # --- Lifecycle ----------------------------------------------------------------------

    async def start(self, records: Mapping[bytes, bytes] | None = None) -> None:
        """Take part; wait, without holding the caller, while another process has the address.

        `records`: what a process before this one returned from `retire`; those of a durable store take
        precedence. Raises OSError if the address can't be bound at all.
        """
        async with self._lifecycle_lock:
            if self.stage is NodeStage.NEW:
                await self._start(records)

    async def restart(self) -> None:
        """Take part again after `retire`, as another member, or from the durable store."""
        async with self._lifecycle_lock:
            if self.stage is NodeStage.RETIRED:
                self.state_machine.load(b"")
                await self._start_or_fail(None)

    async def retire(self) -> dict[bytes, bytes]:
        """Stop, and return the records that a successor starts from; none if there are none.

        The address and the store are free once this returns.
        """
        async with self._lifecycle_lock:
            if self._is_reopen_due:
                await self._retire_failed()
                return {}
            if self.stage not in (NodeStage.RUNNING, NodeStage.WAITING):
                return {}
            records = {} if self.core is None else self.core.retire()
            self.stage = NodeStage.RETIRED
            await self._stop()
            return records

    async def close(self) -> None:
        """Stop for good."""
        async with self._lifecycle_lock:
            if self.core is not None:
                self.core.retire()
            self._is_reopen_due = False
            self.stage = NodeStage.CLOSED
            await self._stop()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _retire_failed(self) -> None:
        """Give up the attempts to open the store; its folder and the address are free afterwards."""
        self._is_reopen_due = False
        self.stage = NodeStage.RETIRED
        await self._stop()
        if self._release_task is not None:
            await self._release_task

    async def _start(self, records: Mapping[bytes, bytes] | None) -> None:
        link = self.make_link()
        try:
            link.open(self._receive)
        except OSError as error:
            if error.errno not in PASSING_FAULTS:
                raise
            self._await_address(records, error)
            return
        self.link = link
        try:
            store = self.store = await self.open_store()
            stored = await store.load()
            core = self._make_core(store, stored if store.is_durable else records or {})
        except Exception as error:  # whatever a store may raise, requests go on
            self._fail(error)
            return
        self.stage, self.failure = NodeStage.RUNNING, ""
        core.on_leader_message = functools.partial(self._notify_leader_message, core)
        self.runner = StepRunner(
            core,
            link,
            store,
            self.clock,
            self.counters,
            self._notify_change,
            self._note_durable,
            self._fail,
        )
        self.runner.start()
        self._notify_change()

    async def _start_or_fail(self, records: Mapping[bytes, bytes] | None) -> None:
        try:
            await self._start(records)
        except OSError as error:
            self._fail(error)

    def _make_core(self, store: Store, records: Mapping[bytes, bytes]) -> ConsensusCore:
        incarnation = secrets.randbits(64) or 1
        try:
            return self.make_core(incarnation, records)
        except StoredStateError as error:
            if store.is_durable:
                raise
            self.log(f"accord: starts with an empty state, the predecessor's can't be used: {error}")
            self.state_machine.load(b"")
            return self.make_core(incarnation, {})

    def _await_address(self, records: Mapping[bytes, bytes] | None, error: OSError) -> None:
        if self.stage is not NodeStage.WAITING and error.errno == errno.EADDRINUSE:
            self.log("accord: another process has this one's address; waits until it is free")
        elif self.stage is not NodeStage.WAITING:
            self.log(f"accord: no socket for its address ({error.strerror}); waits until there is one")
        self.stage = NodeStage.WAITING
        retry_at_us = self.clock.now() + BIND_RETRY_US
        self._retry_timer = self.clock.at(retry_at_us, self._retry_bind, records)

    def _retry_bind(self, records: Mapping[bytes, bytes] | None) -> None:
        self._retry_timer = None
        self._spawn(self._start_waiting(records))

    async def _start_waiting(self, records: Mapping[bytes, bytes] | None) -> None:
        async with self._lifecycle_lock:
            if self.stage is NodeStage.WAITING:
                await self._start_or_fail(records)

    def _fail(self, error: BaseException) -> None:
        """End the participation, and say so once."""
        if self.stage in (NodeStage.FAILED, NodeStage.CLOSED):
            return
        text = _one_line(f"{type(error).__name__}: {error}")
        remedy = getattr(error, "remedy", DEFAULT_REMEDY)
        is_repeated = isinstance(error, StoreFaultError) and self._reopen_delay_us != MIN_REOPEN_DELAY_US
        if not is_repeated:
            self.log(f"accord: this process takes no part any more, requests go on: {text}; {remedy}")
        self.failure = text
        self.stage = NodeStage.FAILED
        self._is_reopen_due = isinstance(error, StoreFaultError)
        if self.core is not None:
            self.core.retire()
        self._release_task = self._spawn(self._schedule_reopen(self._stop()))
        self._notify_change()

    async def _schedule_reopen(self, release: Awaitable[None]) -> None:
        """Once the store is closed, wait before it is opened anew, if it is to be."""
        await release
        if self._is_reopen_due:
            reopen_at_us = self.clock.now() + self._reopen_delay_us
            self._retry_timer = self.clock.at(reopen_at_us, self._retry_open)
            self._reopen_delay_us = min(2 * self._reopen_delay_us, MAX_REOPEN_DELAY_US)

    def _retry_open(self) -> None:
        self._retry_timer = None
        self._spawn(self._reopen())

    async def _reopen(self) -> None:
        """Start as after a crash: only what the store kept counts."""
        async with self._lifecycle_lock:
            if not self._is_reopen_due:
                return
            self._is_reopen_due = False
            self.stage = NodeStage.NEW
            self.state_machine.load(b"")
            await self._start_or_fail(None)

    def _note_durable(self) -> None:
        """Say, after failures of the disk, that it writes again."""
        if self._reopen_delay_us != MIN_REOPEN_DELAY_US:
            self._reopen_delay_us = MIN_REOPEN_DELAY_US
            self.log("accord: the disk writes again: this process takes part")

    def _stop(self) -> Awaitable[None]:
        """Send and receive nothing from now on; the awaitable frees the store, then the address.

        Whoever binds the address finds the store free.
        """
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        if self.runner is not None:
            self.runner.stop()
            self.runner = None
        store, link = self.store, self.link
        self.store = self.link = None
        return self._release(store, link)

    async def _release(self, store: Store | None, link: Link | None) -> None:
        try:
            if store is not None:
                await store.close()
        except Exception as error:  # it may fail as it has failed before
            self.log(f"accord: the store was not closed: {_one_line(error)}")
        finally:
            if link is not None:
                link.close()

    def _spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        async def run() -> None:
            """A task takes a coroutine, not any awaitable."""
            await work

        task = asyncio.get_running_loop().create_task(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _receive(self, peer: int, data: bytes) -> None:
        if self.runner is not None:
            self.runner.receive(peer, data)

    # --- Notifications ------------------------------------------------------------------

    def _notify_change(self) -> None:
        if not self._is_notification_due:
            self._is_notification_due = True
            self.clock.at(self.clock.now(), self._notify_change_now)

    def _notify_change_now(self) -> None:
        self._is_notification_due = False
        if self.stage is not NodeStage.CLOSED:
            self.on_change()

    def _notify_leader_message(self, core: ConsensusCore, peer: int, incarnation: int, data: bytes) -> None:
        self.clock.at(self.clock.now(), self._notify_leader_message_now, core, peer, incarnation, data)

    def _notify_leader_message_now(
        self, core: ConsensusCore, peer: int, incarnation: int, data: bytes
    ) -> None:
        if self.core is core:
            self.on_leader_message(peer, incarnation, data)
