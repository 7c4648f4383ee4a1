"""The node: the replica of one process and its lifecycle.

1. Steps and their effects are ordered as rule 1 of step_runner.py requires.
2. The link is opened before the core is created. Its address belongs to one process, so of two processes with
   the same peer number only one takes part. The other one waits until the address is free.
3. If the store or the core fails, this process stops taking part in consensus and logs one line. The rest of
   the process is not affected. If the disk under the store failed, the node restarts automatically, as after
   a crash, once the store can be opened again. After any other failure it stays off until the next start.
4. A retired node sends nothing. The records that `retire` returns are for one successor. A node that restarts
   after that is another incarnation, or continues from its durable store.
5. Callbacks for leader messages and changes run in their own iteration of the event loop, never within a
   step.
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

# Delay between attempts to bind an address that another process holds.
BIND_RETRY_US: Final = 500_000
# Delay before a store is reopened after its disk failed. It doubles with each attempt.
MIN_REOPEN_DELAY_US: Final = 1_000_000
MAX_REOPEN_DELAY_US: Final = 8_000_000
# Errors that binding an address may raise temporarily: another process holds the address, or the machine has
# no resources for a socket.
TRANSIENT_BIND_ERRNOS: Final = frozenset(
    (errno.EADDRINUSE, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM)
)
DEFAULT_REMEDY: Final = "check the disk and the network, and restart the process"

CoreFactory = Callable[[int, Mapping[bytes, bytes]], ConsensusCore]


class NodeStage(StrEnum):
    """The lifecycle stage of a node. The values are shown to operators."""

    NEW = "new"
    WAITING = "waiting"  # until its address can be bound
    RUNNING = "takes part"
    RETIRED = "retired"
    FAILED = "failed"
    CLOSED = "closed"


def _ignore(*args: Any) -> None:
    """Do nothing: used until the owner sets its callback."""


def _one_line(text: object) -> str:
    return " ".join(str(text).split())


class ConsensusNode:
    """Replicates a state machine among the processes of the tier.

    `on_change()` is called after entries were applied, and when this process starts or stops taking part.
    `on_leader_message(peer, incarnation, data)` is called for each leader message while this process leads.
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
        """`make_core` takes the incarnation to use if there is no stored state, and the stored records."""
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
        self.failure = ""  # why the node is off, on one line; empty unless it failed
        self.counters = {"waited": 0, "dropped": 0, "refused": 0}
        self.runner: StepRunner | None = None
        self.link: Link | None = None
        self.store: Store | None = None
        self._lifecycle_lock = asyncio.Lock()  # held during a start or stop
        self._retry_timer: Handle | None = None  # the next attempt to bind the address or to reopen the store
        self._is_reopen_due = False  # the disk failed, and the store is to be reopened
        self._reopen_delay_us = MIN_REOPEN_DELAY_US
        # Closes the store and the link after the last failure.
        self._release_task: asyncio.Task[None] | None = None
        self._is_notification_due = False
        self._tasks: set[asyncio.Task[None]] = set()

    # Status and requests

    @property
    def core(self) -> ConsensusCore | None:
        """The running core; None while this process does not take part."""
        return None if self.runner is None else self.runner.core

    @property
    def is_running(self) -> bool:
        """Whether this process takes part in consensus."""
        return self.core is not None

    @property
    def is_leader(self) -> bool:
        """Whether this process leads."""
        return self.core is not None and self.core.role == ReplicaRole.LEADER

    @property
    def leader_id(self) -> int | None:
        """The peer number of the leader, None if unknown."""
        return None if self.core is None else self.core.leader_id

    @property
    def incarnation(self) -> int:
        """The incarnation of this process's replica; 0 while this process does not take part."""
        return 0 if self.core is None else self.core.incarnation

    @property
    def epoch(self) -> ClusterEpoch:
        """The epoch of the replicated log; NO_EPOCH while this process does not take part."""
        return NO_EPOCH if self.core is None else self.core.epoch

    @property
    def is_caught_up(self) -> bool:
        """Whether this process has applied all that was committed before it started."""
        return self.core is not None and self.core.is_caught_up

    @property
    def has_leader_contact(self) -> bool:
        """Whether this process has heard recently from a leader that a majority follows."""
        return self.core is not None and self.core.has_leader_contact(self.clock.now())

    def propose(self, data: bytes) -> None:
        """Append an entry. It is dropped if this process no longer leads when its queued step runs.

        Raises NotLeaderError, BusyError; EntryError if it is too long.
        """
        runner = self.runner
        if len(data) > MAX_ENTRY_BYTES:
            raise EntryError(f"an entry of {len(data)} bytes, the limit is {MAX_ENTRY_BYTES}")
        if runner is None or not self.is_leader:
            raise NotLeaderError(self.leader_id)
        core = runner.core
        runner.submit(lambda now_us: core.propose(now_us, data))

    def send_to_leader(self, data: bytes) -> None:
        """Send a message to the leader. It may be lost. Raises BusyError, or EntryError if it is too long."""
        runner = self.runner
        if len(data) > MAX_LEADER_MESSAGE_BYTES:
            raise EntryError(f"a message of {len(data)} bytes, the limit is {MAX_LEADER_MESSAGE_BYTES}")
        if runner is not None:
            core = runner.core
            epoch = core.epoch  # read now: the epoch may have changed when the queued step runs
            runner.submit(lambda now_us: core.send_to_leader(now_us, data, epoch))

    def status(self) -> dict[str, Any]:
        """Return the status for an operator, in JSON types."""
        core, status = self.core, {"stage": self.stage.value, "failure": self.failure}
        if core is None:
            return status
        return {
            **status,
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

    # Lifecycle

    async def start(self, records: Mapping[bytes, bytes] | None = None) -> None:
        """Start taking part. If another process holds the address, return and retry in the background.

        `records` are those that the predecessor's `retire` returned; the records of a durable store take
        precedence. Raises OSError if binding the address fails for a reason that is not temporary.
        """
        async with self._lifecycle_lock:
            if self.stage is NodeStage.NEW:
                await self._start(records)

    async def restart(self) -> None:
        """Take part again after `retire`, as another incarnation or with the state of the durable store."""
        async with self._lifecycle_lock:
            if self.stage is NodeStage.RETIRED:
                self.state_machine.load(b"")
                await self._start_or_fail(None)

    async def retire(self) -> dict[bytes, bytes]:
        """Stop, and return the records for a successor, empty if there are none.

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
        """Stop permanently, and release the store and the address."""
        async with self._lifecycle_lock:
            if self.core is not None:
                self.core.retire()
            self._is_reopen_due = False
            self.stage = NodeStage.CLOSED
            await self._stop()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _retire_failed(self) -> None:
        """Stop trying to reopen the store. Its folder and the address are free afterwards."""
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
            if error.errno not in TRANSIENT_BIND_ERRNOS:
                raise
            self._await_address(records, error)
            return
        self.link = link
        try:
            store = self.store = await self.open_store()
            stored = await store.load()
            core = self._make_core(store, stored if store.is_durable else records or {})
        except Exception as error:  # no error of a store may stop the process from serving requests
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
            self._log_recovery,
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
            self.log(f"accord: starting with an empty state, the predecessor's can't be used: {error}")
            self.state_machine.load(b"")
            return self.make_core(incarnation, {})

    def _await_address(self, records: Mapping[bytes, bytes] | None, error: OSError) -> None:
        if self.stage is not NodeStage.WAITING and error.errno == errno.EADDRINUSE:
            self.log("accord: another process holds this process's address; waiting until it is free")
        elif self.stage is not NodeStage.WAITING:
            self.log(f"accord: can't create a socket now ({error.strerror}); retrying until it succeeds")
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
        """Stop taking part because of an error, and log it once."""
        if self.stage in (NodeStage.FAILED, NodeStage.CLOSED):
            return
        text = _one_line(f"{type(error).__name__}: {error}")
        remedy = getattr(error, "remedy", DEFAULT_REMEDY)
        is_repeated = isinstance(error, StoreFaultError) and self._reopen_delay_us != MIN_REOPEN_DELAY_US
        if not is_repeated:
            self.log(
                f"accord: this process no longer takes part, requests are still served: {text}; {remedy}"
            )
        self.failure = text
        self.stage = NodeStage.FAILED
        self._is_reopen_due = isinstance(error, StoreFaultError)
        if self.core is not None:
            self.core.retire()
        self._release_task = self._spawn(self._schedule_reopen(self._stop()))
        self._notify_change()

    async def _schedule_reopen(self, release: Awaitable[None]) -> None:
        """Once the store is closed, set the timer for reopening it, if it is to be reopened."""
        await release
        if self._is_reopen_due:
            reopen_at_us = self.clock.now() + self._reopen_delay_us
            self._retry_timer = self.clock.at(reopen_at_us, self._retry_open)
            self._reopen_delay_us = min(2 * self._reopen_delay_us, MAX_REOPEN_DELAY_US)

    def _retry_open(self) -> None:
        self._retry_timer = None
        self._spawn(self._reopen())

    async def _reopen(self) -> None:
        """Start as after a crash, with the state in the store alone."""
        async with self._lifecycle_lock:
            if not self._is_reopen_due:
                return
            self._is_reopen_due = False
            self.stage = NodeStage.NEW
            self.state_machine.load(b"")
            await self._start_or_fail(None)

    def _log_recovery(self) -> None:
        """Log the first successful write after disk failures, and reset the delay before a reopening."""
        if self._reopen_delay_us != MIN_REOPEN_DELAY_US:
            self._reopen_delay_us = MIN_REOPEN_DELAY_US
            self.log("accord: the disk accepts writes again; this process takes part")

    def _stop(self) -> Awaitable[None]:
        """Stop sending and receiving now. The returned awaitable closes the store, then frees the address.

        So a process that can bind the address can also open the store.
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
        except Exception as error:  # a store that failed before may also fail to close
            self.log(f"accord: the store was not closed: {_one_line(error)}")
        finally:
            if link is not None:
                link.close()

    def _spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        async def run() -> None:
            """Wrap the awaitable: a task can be created only from a coroutine."""
            await work

        task = asyncio.get_running_loop().create_task(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _receive(self, peer: int, data: bytes) -> None:
        if self.runner is not None:
            self.runner.receive(peer, data)

    # Notifications

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
