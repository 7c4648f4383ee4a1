"""Joins one core to a link, a store and a clock.

The rules:

1. A step's `keep` is durable before its `sends` leave, before it is told as a change, and before the
   next step. What comes meanwhile waits in its order, up to a bound; over it, it is dropped and counted.
2. The link is open before there is a core, and its address is one process's alone: of two processes
   with one number, one takes part. The other waits until the address is free.
3. A store that fails, or a core that does, ends this process's part, with one line for the operator.
   Nothing else of the process hears of it. Where the disk under the store fails, the part begins anew by
   itself, as after a crash, once the store can be opened again; else at the next start.
4. Once retired, nothing is sent. What is given up is one successor's; a process that begins again
   after that is another member, or goes on from its lasting store.
5. Callers are told of words and changes in a turn of their own, never in the midst of a step.
"""

from __future__ import annotations

import asyncio
import errno
import functools
import os
import random
import secrets
from collections import deque
from collections.abc import Awaitable, Callable, Mapping
from enum import StrEnum
from typing import Any, Final

from laurelstep.accord.core import Core
from laurelstep.accord.errors import (
    AccordError,
    BusyError,
    EntryError,
    KeptError,
    NotLeadingError,
    StoreFaultError,
)
from laurelstep.accord.options import AccordSettings, udp_address
from laurelstep.accord.ports import Link, Machine, Store
from laurelstep.accord.terms import ENTRY_MOST, NOWHERE, WORD_MOST, Effects, Era, Timing
from laurelstep.engine.ports import Clock, Handle, Log

# Steps that wait while one is being made durable.
WAITING_MOST: Final = 256
# Between two looks at an address that another process has.
RETRY_US: Final = 500_000
# A store whose disk fails is opened anew after this, then after twice as long each time, up to the most.
REOPEN_US: Final = 1_000_000
REOPEN_MOST_US: Final = 8_000_000
# A tick that is due at once is not due sooner than this: no core may keep the loop.
LEAST_US: Final = 1_000
# Without a leader for so many election times, a seat looks into founding.
FOUND_AFTER: Final = 4

MakeCore = Callable[[int, Mapping[bytes, bytes]], Core]
Step = Callable[[int], Effects]


class Stage(StrEnum):
    NEW = "new"
    WAITING = "waiting"  # for its address
    TAKES_PART = "takes part"
    RETIRED = "retired"
    FAILED = "failed"
    CLOSED = "closed"


def error_of(done: asyncio.Future[None]) -> BaseException | None:
    return OSError("what was to be kept was called off") if done.cancelled() else done.exception()


def nothing(*args: Any) -> None: ...


class Node:
    """One process's part in what the tier shares.

    `on_change()` is called after entries were applied, and when this process's part ends or begins anew;
    `heard(peer, incarnation, data)` for each word, where this process leads."""

    def __init__(
        self,
        make_core: MakeCore,
        make_link: Callable[[], Link],
        open_store: Callable[[], Awaitable[Store]],
        machine: Machine,
        clock: Clock,
        log: Log,
        me: int = 0,
        peers: int = 1,
    ) -> None:
        """`make_core` takes an incarnation for a start from nothing, and what was kept. `me` is this
        process's number of `peers`."""
        self.me = me
        self.peers = peers
        self.make_core = make_core
        self.make_link = make_link
        self.open_store = open_store
        self.machine = machine
        self.clock = clock
        self.log = log
        self.on_change: Callable[[], None] = nothing
        self.heard: Callable[[int, int, bytes], None] = nothing
        self.stage = Stage.NEW
        self.failure = ""  # why it takes no part, on one line
        self.counters = {"waited": 0, "dropped": 0, "refused": 0}
        self.core: Core | None = None
        self.link: Link | None = None
        self.store: Store | None = None
        self._turn = asyncio.Lock()  # one beginning or end at a time
        self._steps: deque[Step] = deque()
        self._in_step = False
        self._writing = False
        self._timer: Handle | None = None
        self._armed = 0  # when the timer is due
        self._telling = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._reopens = False  # failed, and the store is to be opened anew
        self._reopen_us = REOPEN_US
        self._ending: asyncio.Task[None] | None = None

    # --- For use ----------------------------------------------------------------------

    @property
    def takes_part(self) -> bool:
        return self.core is not None

    @property
    def leading(self) -> bool:
        return self.core is not None and self.core.role == "leader"

    @property
    def leader(self) -> int | None:
        return None if self.core is None else self.core.leader

    @property
    def incarnation(self) -> int:
        """0 while it takes no part."""
        return 0 if self.core is None else self.core.incarnation

    @property
    def era(self) -> Era:
        return NOWHERE if self.core is None else self.core.era

    @property
    def known(self) -> bool:
        """Whether this process has applied all that was agreed when it came."""
        return self.core is not None and self.core.known

    @property
    def in_touch(self) -> bool:
        """Whether it has heard lately of a leader that a majority follows."""
        return self.core is not None and self.core.in_touch(self.clock.now())

    def propose(self, data: bytes) -> None:
        """Put an entry in order, if this process still leads when its turn comes. NotLeadingError,
        BusyError; EntryError if it is too long."""
        core = self.core
        if len(data) > ENTRY_MOST:
            raise EntryError(f"an entry of {len(data)} bytes, at most {ENTRY_MOST} are agreed on")
        if core is None or core.role != "leader":
            raise NotLeadingError(None if core is None else core.leader)
        self._demand(lambda now: core.propose(now, data))

    def word(self, data: bytes) -> None:
        """Tell whoever leads; it may be lost. EntryError if it is too long; BusyError."""
        core = self.core
        if len(data) > WORD_MOST:
            raise EntryError(f"a word of {len(data)} bytes, at most {WORD_MOST} are told")
        if core is not None:
            era = core.era  # it may have to wait, and the record be another one then
            self._demand(lambda now: core.word(now, data, era))

    def status(self) -> dict[str, Any]:
        """For an operator, in JSON's types."""
        core, found = self.core, {"stage": self.stage.value, "failure": self.failure}
        if core is None:
            return found
        return {
            **found,
            "role": core.role,
            "leader": core.leader,
            "term": core.term,
            "era": {"generation": core.era.generation, "id": f"{core.era.id:016x}"},
            "incarnation": f"{core.incarnation:016x}",
            "committed": core.committed,
            "applied": core.applied,
            "known": core.known,
            "in_touch": self.in_touch,
            "lasting": self.store is not None and self.store.lasting,
            "counters": {**self.counters, **core.counters},
            "link": dict(getattr(self.link, "counters", {})),
        }

    # --- Beginnings and ends ------------------------------------------------------------

    async def start(self, kept: Mapping[bytes, bytes] | None = None) -> None:
        """Take part; wait, without holding the caller, while another process has the address. `kept`:
        what a process before this one gave up by `retire`; a lasting store goes before it. OSError if
        the address can't be had at all."""
        async with self._turn:
            if self.stage is Stage.NEW:
                await self._begin(kept)

    async def begin_again(self) -> None:
        """After `retire`, where nobody followed: as another member, or from the lasting store."""
        async with self._turn:
            if self.stage is Stage.RETIRED:
                self.machine.load(b"")
                try:
                    await self._begin(None)
                except OSError as error:
                    self._fail(error)

    async def retire(self) -> dict[bytes, bytes]:
        """Stop, for a successor that begins from what this gives; empty if there is nothing. The
        address and the store are free once this returns."""
        async with self._turn:
            if self._reopens:
                self._reopens = False
                self.stage = Stage.RETIRED
                await self._end()
                if self._ending is not None:
                    await self._ending
                return {}
            if self.stage not in (Stage.TAKES_PART, Stage.WAITING):
                return {}
            kept = {} if self.core is None else self.core.retire()
            self.stage = Stage.RETIRED
            await self._end()
            return kept

    async def close(self) -> None:
        async with self._turn:
            if self.core is not None:
                self.core.retire()
            self._reopens = False
            self.stage = Stage.CLOSED
            await self._end()
        if self._tasks:
            await asyncio.wait(self._tasks)

    async def _begin(self, kept: Mapping[bytes, bytes] | None) -> None:
        link = self.make_link()
        try:
            link.open(self._receive)
        except OSError as error:
            if error.errno != errno.EADDRINUSE:
                raise
            self._await_address(kept)
            return
        self.link = link
        try:
            self.store = await self.open_store()
            found = await self.store.load()
            core = self._core(found if self.store.lasting else kept or {})
        except Exception as error:  # whatever a store may raise, requests go on
            self._fail(error)
            return
        self.stage = Stage.TAKES_PART
        self.core = core
        core.heard = functools.partial(self._hear, core)
        self._enter(core.start)
        self._tell()

    def _core(self, kept: Mapping[bytes, bytes]) -> Core:
        incarnation = secrets.randbits(64) or 1
        try:
            return self.make_core(incarnation, kept)
        except KeptError as error:
            if self.store is not None and self.store.lasting:
                raise
            self.log(f"accord: begins from nothing, what the process before gave is of no use: {error}")
            self.machine.load(b"")
            return self.make_core(incarnation, {})

    def _await_address(self, kept: Mapping[bytes, bytes] | None) -> None:
        if self.stage is not Stage.WAITING:
            self.log("accord: another process has this one's address; waits until it is free")
        self.stage = Stage.WAITING
        self._timer = self.clock.at(self.clock.now() + RETRY_US, self._try, kept)

    def _try(self, kept: Mapping[bytes, bytes] | None) -> None:
        self._timer = None
        self._spawn(self._try_again(kept))

    async def _try_again(self, kept: Mapping[bytes, bytes] | None) -> None:
        async with self._turn:
            if self.stage is Stage.WAITING:
                try:
                    await self._begin(kept)
                except OSError as error:
                    self._fail(error)

    def _fail(self, error: BaseException) -> None:
        """Take no part any more. Says so once."""
        if self.stage in (Stage.FAILED, Stage.CLOSED):
            return
        text = " ".join(f"{type(error).__name__}: {error}".split())
        remedy = getattr(error, "remedy", "see that the disk and the network are well, and start it anew")
        if self._reopen_us == REOPEN_US:
            self.log(f"accord: this process takes no part any more, requests go on: {text}; {remedy}")
        self.failure = text
        self.stage = Stage.FAILED
        self._reopens = isinstance(error, StoreFaultError)
        if self.core is not None:
            self.core.retire()
        self._ending = self._spawn(self._end_and_reopen(self._end()))
        self._tell()

    async def _end_and_reopen(self, ending: Awaitable[None]) -> None:
        """The store is opened anew, after a while, only once it is closed."""
        await ending
        if self._reopens:
            self._timer = self.clock.at(self.clock.now() + self._reopen_us, self._reopen)
            self._reopen_us = min(2 * self._reopen_us, REOPEN_MOST_US)

    def _reopen(self) -> None:
        self._timer = None
        self._spawn(self._reopen_now())

    async def _reopen_now(self) -> None:
        """As a start after a crash: what the store kept is all that counts."""
        async with self._turn:
            if not self._reopens:
                return
            self._reopens = False
            self.stage = Stage.NEW
            self.machine.load(b"")
            try:
                await self._begin(None)
            except OSError as error:
                self._fail(error)
            if self.core is not None:
                self.failure = ""

    def _end(self) -> Awaitable[None]:
        """At once nothing is sent or received; then the store is closed, and only then the address is
        another's: who has the address finds the store free."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self.core = None
        self._steps.clear()
        self._in_step = self._writing = False
        store, link = self.store, self.link
        self.store = self.link = None
        return self._free(store, link)

    async def _free(self, store: Store | None, link: Link | None) -> None:
        try:
            if store is not None:
                await store.close()
        except Exception as error:  # it may fail as it has failed before
            self.log(f"accord: the store was not closed: {' '.join(str(error).split())}")
        finally:
            if link is not None:
                link.close()

    def _spawn(self, work: Awaitable[None]) -> asyncio.Task[None]:
        async def run() -> None:
            await work

        task = asyncio.get_running_loop().create_task(run())
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    # --- Steps ------------------------------------------------------------------------

    def _receive(self, peer: int, data: bytes) -> None:
        core = self.core
        if core is not None:
            self._enter(lambda now: core.receive(now, peer, data))

    def _tick(self) -> None:
        self._timer = None
        core = self.core
        if core is None:
            return
        if core.due > self.clock.now():
            self._arm(core)  # it was put off meanwhile
        else:
            self._enter(core.tick)

    @property
    def _is_busy(self) -> bool:
        return self._in_step or self._writing

    def _demand(self, step: Step) -> None:
        """A caller's step: at once, with its errors to the caller; or in its turn."""
        if not self._is_busy:
            try:
                self._run(step)
            finally:
                self._go_on()
        elif len(self._steps) >= WAITING_MOST:
            raise BusyError(f"{WAITING_MOST} steps wait until what is kept is durable")
        else:
            self.counters["waited"] += 1
            self._steps.append(step)

    def _enter(self, step: Step) -> None:
        """The link's or the clock's step: in its turn, or dropped."""
        if not self._is_busy:
            self._try_step(step)
            self._go_on()
        elif len(self._steps) >= WAITING_MOST:
            self.counters["dropped"] += 1
        else:
            self.counters["waited"] += 1
            self._steps.append(step)

    def _try_step(self, step: Step) -> None:
        try:
            self._run(step)
        except AccordError:
            # What was asked for in time, and is not possible any more: its caller asks again.
            self.counters["refused"] += 1

    def _run(self, step: Step) -> None:
        core, store = self.core, self.store
        assert core is not None and store is not None
        self._in_step = True
        try:
            effects = step(self.clock.now())
            done = store.write(effects.keep) if effects.keep else None
        except AccordError:
            raise
        except Exception as error:  # a fault here must not become one of requests
            self._fail(error)
            return
        finally:
            self._in_step = False
        if done is None or done.done():
            self._written(effects, None if done is None else error_of(done))
        else:
            self._writing = True
            done.add_done_callback(functools.partial(self._written_later, core, effects))

    def _written_later(self, core: Core, effects: Effects, done: asyncio.Future[None]) -> None:
        error = error_of(done)
        if self.core is not core:
            return  # retired, or failed: nothing is sent any more
        self._writing = False
        self._written(effects, error)
        self._go_on()

    def _written(self, effects: Effects, error: BaseException | None) -> None:
        """What is kept is durable, or will never be."""
        link = self.link
        assert link is not None
        try:
            if error is not None:
                raise error
            if effects.keep and self._reopen_us != REOPEN_US:
                self._reopen_us = REOPEN_US
                self.log("accord: the disk writes again: this process takes part")
            for peer, data in effects.sends:
                link.send(peer, data)
        except Exception as fault:
            self._fail(fault)
            return
        if effects.changed:
            self._tell()

    def _go_on(self) -> None:
        """What has waited, until there is something to write."""
        while self.core is not None and self._steps and not self._is_busy:
            self._try_step(self._steps.popleft())
        if self.core is not None and not self._is_busy:
            self._arm(self.core)

    def _arm(self, core: Core) -> None:
        if self._timer is not None:
            if self._armed <= core.due:
                return  # it looks again when it comes
            self._timer.cancel()
        self._armed = max(core.due, self.clock.now() + LEAST_US)
        self._timer = self.clock.at(self._armed, self._tick)

    # --- Telling ----------------------------------------------------------------------

    def _tell(self) -> None:
        if not self._telling:
            self._telling = True
            self.clock.at(self.clock.now(), self._tell_now)

    def _tell_now(self) -> None:
        self._telling = False
        if self.stage is not Stage.CLOSED:
            self.on_change()

    def _hear(self, core: Core, peer: int, incarnation: int, data: bytes) -> None:
        self.clock.at(self.clock.now(), self._hear_now, core, peer, incarnation, data)

    def _hear_now(self, core: Core, peer: int, incarnation: int, data: bytes) -> None:
        if self.core is core:
            self.heard(peer, incarnation, data)


# --- From settings ------------------------------------------------------------------------


def timing_of(settings: AccordSettings) -> Timing:
    return Timing(
        heartbeat_us=settings.heartbeat_us,
        election_us=settings.election_us,
        found_us=FOUND_AFTER * settings.election_us,
        drift=settings.drift,
    )


def check_folder(path: str) -> None:
    """OSError if a store can't be there; it is made if it is missing. An empty path: there is none."""
    if path:
        os.makedirs(path, exist_ok=True)
        if not os.access(path, os.W_OK | os.X_OK):
            raise PermissionError(errno.EACCES, os.strerror(errno.EACCES))


def node_of(
    settings: AccordSettings, machine: Machine, loop: asyncio.AbstractEventLoop, clock: Clock, log: Log
) -> Node:
    """The node that the settings describe, not yet started. ImportError where the store's library
    is missing; only here are the link and the store loaded."""
    timing, draw = timing_of(settings), random.Random(secrets.randbits(64))
    me, count = settings.me, len(settings.peers)

    def make_core(incarnation: int, kept: Mapping[bytes, bytes]) -> Core:
        return Core(me, count, settings.seats, incarnation, machine, timing, draw, kept)

    link, store = _linking(settings, loop), _storing(settings, log)
    return Node(make_core, link, store, machine, clock, log, me, count)


def _linking(settings: AccordSettings, loop: asyncio.AbstractEventLoop) -> Callable[[], Link]:
    if settings.link == "unix":
        from laurelstep.accord.links.unix import UnixLink

        return lambda: UnixLink(loop, settings.peers, settings.me)
    from laurelstep.accord.links.udp import UdpLink

    listen = udp_address(settings.listen)
    peers = [found for one in settings.peers if (found := udp_address(one)) is not None]
    assert listen is not None and len(peers) == len(settings.peers)
    return lambda: UdpLink(loop, listen, peers, settings.me)


def _storing(settings: AccordSettings, log: Log) -> Callable[[], Awaitable[Store]]:
    if not settings.store_path:
        from laurelstep.accord.stores.none import NoStore

        async def without() -> Store:
            return NoStore()

        return without
    from laurelstep.accord.stores.embedded import EmbeddedStore

    async def with_folder() -> Store:
        return await EmbeddedStore.open(settings.store_path, log)

    return with_folder
