"""Joins the pure outbox with its store and the engine: keeps, answers, replays, tells.

The rules:

1. A write is durable before its 202 leaves. One that could not be kept gets the answer it would have had; a
   refusal only where no later life can find the write, and a failure that says it may have run otherwise.
2. A client that left before its 202 was ready has nothing kept for it.
3. Each change of a write is durable before the step that it announces: OUT before it is sent, DONE before
   its receipt says so. An end that can't be written is written again until it is; until then the write is
   out, and a life that follows finds that it may have run.
4. A replay is a request of its own to the engine, with its class's rules and its own deadline.
5. A live write that follows what is kept is kept too, or refused: it never overtakes.
6. Where upstream is copies of this program, `shared.asking` adds what goes between them. A kept write of
   another edge that comes here as at a copy upstream is not kept again: its edge keeps it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Mapping
from dataclasses import dataclass, field, replace
from random import Random
from typing import TYPE_CHECKING, Any, Final

import msgspec

from laurelstep.engine.call import Answer, Call, Ending
from laurelstep.engine.clock import LoopClock
from laurelstep.engine.engine import Engine
from laurelstep.engine.ports import Log, Recorded
from laurelstep.interface import ERROR, FULL, NO_CONNECT, OK, RESET, TIMEOUT
from laurelstep.net.message import lines as lines_of
from laurelstep.net.request import hint, key_of
from laurelstep.orders.book import another_body, may_have_run
from laurelstep.outbox.background_replay import BackgroundReplay
from laurelstep.outbox.bodies import BodySpool
from laurelstep.outbox.cutoff import CutOffDetector, CutOffRule
from laurelstep.outbox.dependencies import CausalityTokens, Dependencies, VersionVector, WriteStatus
from laurelstep.outbox.errors import (
    CauseError,
    FullError,
    KeepError,
    OutboxError,
    TokenError,
    UnknownWriteError,
)
from laurelstep.outbox.memory import keep_blocks_apart
from laurelstep.outbox.options import OutboxSettings
from laurelstep.outbox.outbox import (
    Outbox,
    OutboxBounds,
    QueuedClass,
    ReplayResult,
    Transition,
    WriteOffer,
    WriteTicket,
)
from laurelstep.outbox.queue_store import FailedToKeepError, LoadedWrites, QueueStore
from laurelstep.outbox.receipts import WriteReceipt, show
from laurelstep.outbox.records import FINAL, QueuedWrite, Resolution, WriteEvent, WriteState
from laurelstep.outbox.version_vector import LocalVersionVector, StatusPublisher
from laurelstep.outbox.write_ids import EdgeLog, WriteId, parse_write_id
from laurelstep.settings.config import ConfigError
from laurelstep.store import StoreError

if TYPE_CHECKING:
    from laurelstep.outbox.shared.asking import EdgeSharing

JSON: Final = (b"content-type", b"application/json")
RECEIPTS: Final = b"/outbox/receipts/"
# How an attempt ended where there is a way to its endpoint, and where none is known.
ANSWERED: Final = frozenset((OK, ERROR, FULL))
UNANSWERED: Final = frozenset((TIMEOUT, NO_CONNECT, RESET))
# Of an answer that is told with its receipt, bytes.
ANSWER_MOST: Final = 64 * 1024
TURN_US: Final = 1_000_000
# An end that could not be written is tried again after this.
AGAIN_S: Final = 1.0
# What is out as the process ends is waited for so long.
LAST_S: Final = 5.0
# Where the name of another edge's kept write is among a call's causes.
SEALED: Final = 3
UNPARKED: Final = (WriteEvent.NEVER_RAN, WriteEvent.CLAIMED)
# Parked writes that an operator sees at once.
SHOWN_MOST: Final = 100


@dataclass(eq=False)
class ReplayFront:
    """A kept write on its way upstream: the front of its call."""

    driver: OutboxDriver
    write_id: WriteId
    never_ran: bool = False
    over: asyncio.Future[Answer] = field(default_factory=lambda: asyncio.get_running_loop().create_future())

    def answered(self, call: Call, answer: Answer) -> None:
        if not self.over.done():
            self.over.set_result(answer)


class OutboxDriver:
    """The engine's `Keeper`. Made by `open`, then `begin` with the engine; `close` at the end."""

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
        self.numbers = {name: classes[name] for name in settings.classes}
        self.tenants = dict(tenants)
        self.tenant_names = {number: name for name, number in tenants.items()}
        self.log = log
        rule = CutOffRule(cut_us=settings.cut_us, back_us=settings.back_us)
        self.cutoff = CutOffDetector(rule, 0, self._now())
        self.engine: Engine | None = None
        self.bodies = BodySpool(self)
        self.storing: dict[WriteId, list[Call]] = {}  # requests that wait for a write to be durable
        self.out: dict[WriteId, ReplayFront] = {}
        self.aside = BackgroundReplay()
        self.again: set[WriteId] = set()  # sent before, without a known end
        self.parked: dict[WriteId, int] = {}  # the number of the parking
        self.sharing: EdgeSharing | None = None  # where upstream is copies of this program
        self.teller = outbox.version_vector if isinstance(outbox.version_vector, StatusPublisher) else None
        self.untold: list[tuple[WriteId, WriteStatus]] = []  # over, and the version vector had no room for it
        self.by_gate: set[WriteId] = set()  # done by an answer: upstream knows, and need not be told
        self.tasks: set[asyncio.Task[None]] = set()
        self.turning: asyncio.Handle | None = None
        self.closing = False
        self.was_off = False
        self.look_at = 0

    @classmethod
    async def open(
        cls,
        settings: OutboxSettings,
        classes: Mapping[str, int],
        tenants: Mapping[str, int],
        log: Log,
        version_vector: VersionVector | None = None,
    ) -> OutboxDriver:
        """With all that earlier lives kept. `StoreError` or `OutboxError` if that can't be read, OSError
        or ValueError if the secret can't be. `version vector`: that of a copy upstream which shares."""
        keep_blocks_apart()
        store = await QueueStore.open(settings.store_path, settings.max_bytes, log)
        try:
            secret = await store.secret() if not settings.secret_file else _read_secret(settings.secret_file)
            tokens = CausalityTokens(secret)
            bounds = OutboxBounds(
                bytes_most=settings.max_bytes,
                count_most=settings.most,
                tenant_share=settings.share,
                age_us=settings.age_us,
                receipt_us=settings.receipt_us,
                replay_most=settings.replay_most,
                send_us=settings.send_us,
                orphans=settings.lost,
            )
            kept = {
                name: QueuedClass(name, one.how == "keyed", one.window_us)
                for name, one in settings.classes.items()
            }
            line = EdgeLog(settings.edge, store.incarnation)
            asks = settings.upstream == "copies" and version_vector is None
            if asks:
                from laurelstep.outbox.shared.edge import RemoteVersionVector

                version_vector = RemoteVersionVector(line, Random())
            outbox = Outbox(line, kept, bounds, tokens, version_vector or LocalVersionVector(settings.edge))
            self = cls(store, outbox, tokens, settings, classes, tenants, log)
            if asks:
                from laurelstep.outbox.shared.asking import EdgeSharing

                self.sharing = EdgeSharing(self, secret)
            await self._restore()
        except BaseException:
            await store.close()
            raise
        return self

    async def _restore(self) -> None:
        loaded = await self.store.load()
        changes = self.outbox.restore(
            loaded.writes,
            loaded.lines,
            self._now(),
            self.wall(),
            is_elapsed_known=self.store.is_elapsed_known,
            doubt_us=self.store.opening_doubt_us,
        )
        await self.store.put_lines(self.outbox.lines())
        for write, moved in loaded.writes:
            if moved is not None and moved.state is WriteState.PARKED:
                self.parked[write.write_id] = moved.parking
        self._restore_shared(loaded)
        for change in changes:
            await self.store.move(change.moved)
            self._apply(change)
        if loaded.writes:
            self.log(f"outbox: {len(loaded.writes)} writes of earlier lives, {len(self.parked)} parked")

    def _restore_shared(self, loaded: LoadedWrites) -> None:
        if self.sharing is not None:
            self.sharing.restored(loaded)
        if self.teller is not None:
            for write_id in self.parked:
                self.teller.tell(write_id, WriteStatus.PARKED)

    def begin(self, engine: Engine) -> None:
        self.engine = engine
        engine.keeper = self
        self._look()
        self._wake()

    def _now(self) -> int:
        return self.clock.now()

    def wall(self) -> int:
        """The store's time in µs, as `Outbox` takes it."""
        return self.store.time_us()

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = self.loop.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def close(self) -> None:
        """What is being written is finished first; what is out gets a moment for its answer."""
        self.closing = True
        if self.turning is not None:
            self.turning.cancel()
        if self.sharing is not None:
            self.sharing.close()
        if self.engine is not None:
            self.engine.keeper = None
        if self.tasks:
            await asyncio.wait(set(self.tasks), timeout=LAST_S)
        for task in set(self.tasks):
            task.cancel()
        if self.tasks:
            await asyncio.wait(set(self.tasks))
        try:
            await self.store.put_lines(self.outbox.lines())
        except StoreError as error:
            self.log(f"outbox: not written at the end: {error}")
        await self.store.close()

    # --- The engine's step ------------------------------------------------------------

    def heard(self, endpoint: int, outcome: int) -> None:
        if outcome in ANSWERED:
            self.cutoff.answered(self._now())
        elif outcome in UNANSWERED:
            self.cutoff.failed(endpoint, self._now())
        if self.cutoff.off != self.was_off:
            self._turned()

    def _turned(self) -> None:
        self.was_off = self.cutoff.off
        self.log("outbox: cut off: writes are kept" if self.was_off else "outbox: back: writes go upstream")
        if self.sharing is not None and not self.was_off:
            self.sharing.remote.back(self._now())
        self._wake()

    def _look(self) -> None:
        """What the list says, and the time. Looks at all endpoints: once in a while is enough."""
        assert self.engine is not None
        now = self._now()
        if now < self.look_at:
            return
        self.look_at = now + TURN_US // 2
        places = self.engine.members.places.values()
        self.cutoff.listed(sum(1 for place in places if place.left_at is None), now)
        if self.cutoff.off != self.was_off:
            self._turned()

    def comes_first(self, call: Call) -> bool:
        if self._passes(call):
            return False
        self.aside.live = True
        if call.cls not in self.classes or self.closing:
            return False
        return self.cutoff.off or self._follows(call)

    def _passes(self, call: Call) -> bool:
        """It is no client's: a replay, an ask, or a replay of another edge."""
        if call.fate is not None or isinstance(call.front, ReplayFront):
            return True
        return self.settings.shared and len(call.causes) > SEALED and bool(call.causes[SEALED])

    def _follows(self, call: Call) -> bool:
        """Whether it follows what is not known to be in. One whose token can't be read is kept, or
        rather told so, by `keep`."""
        named, tenant = _named(call), self.tenant_names.get(call.tenant, "") if call.tenant else ""
        try:
            if named and self.outbox.must_keep(named):
                return True
        except OutboxError:
            return True
        session, obj = _session(call), _object(call)
        return bool(session or obj) and self.outbox.has_open(session, obj, tenant)

    def keep(self, call: Call, answer: Answer | None, engine: Recorded) -> bool:
        front = call.front
        if isinstance(front, ReplayFront):
            front.never_ran = True  # asked only where it can't have run
            return False
        if self._passes(call):
            return False
        now = self._now()
        if answer is not None and answer.ending is Ending.REFUSED:
            self.outbox.live_refused(now)
        if call.cls not in self.classes or self.closing or now >= call.expires:
            return False
        if self.bodies.size(call) > self.settings.body_bytes or not self.bodies.has_room(call):
            return self._overtakes(call, answer, engine)
        try:
            ticket = self.outbox.offer(self._offer(call), now, self.wall())
        except CauseError as error:
            engine.settle(call, Answer(Ending.FAILED, 400, (), f"{error}\n".encode()))
            return True
        except FullError as error:
            if answer is not None and answer.ending is Ending.REFUSED:
                answer.retry_after_us = max(answer.retry_after_us, error.retry_us)
            return self._overtakes(call, answer, engine, error.retry_us)
        except KeepError:
            return self._overtakes(call, answer, engine)
        self._take(call, ticket, answer, engine)
        return True

    def _overtakes(
        self, call: Call, answer: Answer | None, engine: Recorded, retry_us: int = TURN_US
    ) -> bool:
        """It can't be kept: what would go past its causes is refused, and so in hand."""
        if answer is None and self._follows(call):
            engine.settle(call, Answer(Ending.REFUSED, 503, retry_after_us=retry_us))
            return True
        return False

    def _offer(self, call: Call) -> WriteOffer:
        headers = _headers(call.head)
        return WriteOffer(
            cls=self.classes[call.cls],
            start=call.start,
            headers=headers,
            size=self.bodies.size(call),
            digest=b"" if call.upload is not None else self.bodies.digest(call),
            key=dict(headers).get(b"idempotency-key", b""),
            session=_session(call),
            obj=_object(call),
            tenant=self.tenant_names.get(call.tenant, "") if call.tenant else "",
            named=_named(call),
        )

    def _take(self, call: Call, ticket: WriteTicket, answer: Answer | None, engine: Recorded) -> None:
        write_id = ticket.write_id
        if call.upload is not None:
            self.bodies.take(call, call.upload, ticket, answer, engine)
        elif ticket.write is not None:
            self.storing[write_id] = [call]
            self._spawn(self._store(call, ticket.write, answer, engine))
        else:
            self._repeat(call, write_id, engine)

    def _repeat(self, call: Call, write_id: WriteId, engine: Recorded) -> None:
        if write_id in self.storing:
            # Compared with the first try, once both are told.
            self.storing[write_id].append(call)
        else:
            self._spawn(self._known(call, write_id, engine))

    async def _known(self, call: Call, write_id: WriteId, engine: Recorded) -> None:
        """A key that a write has already: the same request gets the same receipt."""
        digest = self.bodies.digest(call)
        try:
            found = await self.store.head(write_id)
        except (StoreError, OutboxError) as error:
            self.log(f"outbox: {write_id}: can't be read: {error}")
            found = None
        if found is None:
            engine.settle(call, may_have_run())
        elif found[0].digest != digest:
            engine.settle(call, another_body())
        else:
            engine.settle(call, self._kept(write_id))

    def left(self, call: Call) -> None:
        """Found by its being closed, once the store is through; of a body that is coming no more is taken."""
        self.bodies.left(call)

    async def _store(self, call: Call, write: QueuedWrite, answer: Answer | None, engine: Recorded) -> None:
        write_id, told = write.write_id, None
        certain = kept = True
        try:
            keeping = self.store.keep(write, call.body)
            await asyncio.sleep(0)  # what follows is done while the disk works
            told = self._kept(write_id)
            await keeping
            if not any(one.open for one in self.storing[write_id]):
                kept = not await self.store.forget(write_id, write.size)
        except StoreError as error:
            self.log(f"outbox: not kept: {error}")
            kept, certain = False, isinstance(error, FailedToKeepError) and error.certain
        self._stored(write, kept, certain, answer, engine, told)

    def _stored(
        self,
        write: QueuedWrite,
        kept: bool,
        certain: bool,
        answer: Answer | None,
        engine: Recorded,
        told: Answer | None = None,
    ) -> None:
        """All that wait for it are told; the first of them `told`, where that is worded already."""
        write_id = write.write_id
        waiting = self.storing.pop(write_id)
        if kept:
            self.outbox.stored(write_id, self._now())
            if not self.cutoff.off:  # else nothing but the turn of each second goes out anyway
                self._wake()
        else:
            self.outbox.unstored(write_id, self._now())
        for place, one in enumerate(waiting):
            if kept and told is not None and place == 0:
                engine.settle(one, told)
                continue
            digest = self.bodies.digest(one)
            if not kept:
                self._not_kept(one, answer, certain, engine)
            elif digest != write.digest:
                engine.settle(one, another_body())
            else:
                engine.settle(one, self._kept(write_id))

    def _not_kept(self, call: Call, answer: Answer | None, certain: bool, engine: Recorded) -> None:
        if not call.open:
            return
        if not certain and (answer is None or answer.ending is Ending.REFUSED):
            engine.settle(call, may_have_run())
        elif answer is not None:
            engine.settle(call, answer)
        elif (refused := self.bodies.refused(call)) is not None:
            engine.settle(call, refused)
        elif not self._overtakes(call, None, engine):
            engine.admit(call)

    def _kept(self, write_id: WriteId) -> Answer:
        token = self.tokens.receipt(write_id).encode()
        told = {"state": "kept", "write": str(write_id), "receipt": token.decode()}
        headers = (JSON, (b"location", RECEIPTS + token), (b"x-causal-token", token))
        return Answer(Ending.SERVED, 202, headers, msgspec.json.encode(told) + b"\n")

    # --- Replay -----------------------------------------------------------------------

    def _wake(self) -> None:
        if self.closing or self.engine is None:
            return
        if self.turning is not None:
            self.turning.cancel()
        self.turning = self.loop.call_soon(self._turn)

    def _turn(self) -> None:
        self.turning = self.loop.call_later(TURN_US / 1e6, self._turn)
        if self.closing:
            return
        self._look()
        for change in self.outbox.due(self._now()):
            self._spawn(self._step(change))
        self._tell_over()
        followed = self.outbox.followed()
        if self.sharing is not None:
            self.sharing.remote.follow(followed)
            self.sharing.turn()
        if forgettable := self.outbox.forgettable(self._now(), self._telling):
            self._spawn(self._forget(forgettable))

    def _tell_over(self) -> None:
        """What is over, to those who may wait for it: given up before all, since a number tells the rest."""
        over, self.untold = self.untold + self.outbox.over(), []
        teller = self.teller
        if teller is None or not over:
            self.by_gate.clear()  # what is over later is told once more than it need be
            return
        gone = [one for one in over if one[1] is WriteStatus.ABANDONED]
        self.untold = [
            (write_id, write_status)
            for write_id, write_status in gone
            if teller.tell(write_id, write_status) is False
        ]
        if not self.untold:
            for line in {write_id.line for write_id, _ in over}:
                if number := self.outbox.low(line):
                    teller.low(line, number)
        for write_id, write_status in over:
            if write_status is WriteStatus.ABANDONED:
                continue
            if write_id in self.by_gate:
                self.by_gate.discard(write_id)
            elif teller.tell(write_id, write_status) is False:
                self.untold.append((write_id, write_status))

    def _telling(self, write_id: WriteId) -> bool:
        """Others are still to hear that it was given up."""
        return self.teller is not None and (
            self.teller.telling(write_id) or any(one == write_id for one, _ in self.untold)
        )

    async def _forget(self, write_ids: list[WriteId]) -> None:
        """Numbers first: what is forgotten must not look as if it were still to come."""
        try:
            await self.store.put_lines(self.outbox.lines())
        except StoreError:
            return
        for write_id in write_ids:
            if await self.store.forget(write_id, 0):
                self.outbox.forget(write_id)

    async def _step(self, change: Transition) -> None:
        try:
            await self.store.move(change.moved)
        except StoreError as error:
            self.log(f"outbox: {change.write_id}: not written: {error}")
            self.outbox.undo(change, self._now())
            return
        goes = self._apply(change)
        if change.event is WriteEvent.SEND and goes:
            await self._send(change.write_id)
        elif change.event is WriteEvent.SEND:  # the disk took longer than its window
            await self._end(change.write_id, ReplayResult.NOT_RUN, Answer(Ending.FAILED, 502))
        self._wake()

    def _apply(self, change: Transition) -> bool:
        """False as `Outbox.apply`."""
        if self.sharing is not None:
            self.sharing.before(change)
        goes = self.outbox.apply(change, self._now())
        state = change.moved.state
        if self.teller is not None and (state is WriteState.PARKED or change.event in UNPARKED):
            self.teller.tell(
                change.write_id, WriteStatus.PARKED if state is WriteState.PARKED else WriteStatus.UNKNOWN
            )
        if change.event is WriteEvent.FOUND_IN:
            self.log(f"outbox: {change.write_id}: upstream's record says that it is in: done")
        if state is WriteState.PARKED:
            self.parked[change.write_id] = change.moved.parking
            self.log(f"outbox: {change.write_id}: parked: {change.moved.reason.name.lower()}")
        else:
            self.parked.pop(change.write_id, None)
        if state in FINAL:
            self.again.discard(change.write_id)
        if self.sharing is not None:
            self.sharing.applied(change)
        return goes

    async def _send(self, write_id: WriteId) -> None:
        """Upstream with it, and its end written down."""
        replay = ReplayFront(self, write_id)
        call = await self.bodies.call(write_id, replay)
        if call is None:
            await self._end(write_id, ReplayResult.NOT_RUN, Answer(Ending.FAILED, 502))
            return
        self.out[write_id] = replay
        try:
            async with self.aside:
                assert self.engine is not None
                self.engine.take(call)
            answer = await replay.over
        finally:
            del self.out[write_id]
            if call.upload is not None:
                call.upload.leave()
        if self.sharing is not None:
            end = self.sharing.end_of(call, replay, answer)
        elif answer.ending is Ending.SERVED:
            end = ReplayResult.ANSWERED
        elif answer.ending is Ending.REFUSED or replay.never_ran:
            end = ReplayResult.NOT_RUN
        else:
            end = ReplayResult.MAY_HAVE_RUN
        await self._end(write_id, end, answer)

    def _call(self, write: QueuedWrite, body: bytes, replay: ReplayFront) -> Call:
        assert self.engine is not None
        cls = self.numbers[write.cls]
        fields = dict(write.headers)
        call = Call(
            cls=cls,
            expires=self.engine.now() + self.engine.settings.classes[cls].deadline_us,
            start=write.start,
            head=lines_of(write.headers),
            body=body,
            front=replay,
            name=b"outbox "
            + str(write.write_id).encode(),  # its client may come again under the name that it has
            tenant=self.tenants.get(write.tenant, 0),
            key=key_of(write.start.partition(b"?")[2]),
            work_us=hint(fields.get(b"x-cost-hint", b"")),
            repeated=write.write_id in self.again,
        )
        if self.sharing is not None:
            self.sharing.name(call, write)
        return call

    async def _end(self, write_id: WriteId, end: ReplayResult, answer: Answer) -> None:
        if end is ReplayResult.MAY_HAVE_RUN:
            self.again.add(write_id)
        status, headers, body = answer.status, tuple(answer.headers), answer.body
        if end is not ReplayResult.ANSWERED:
            status, headers, body = 0, (), b""
        change = self.outbox.ended(
            write_id,
            end,
            self._now(),
            self.wall(),
            status,
            headers,
            body if len(body) <= ANSWER_MOST else b"",
        )
        while True:
            try:
                await self.store.move(change.moved)
                break
            except StoreError as error:
                self.log(f"outbox: {write_id}: its end is not written: {error}")
                if self.closing:
                    return
                await asyncio.sleep(AGAIN_S)
        self._apply(change)

    # --- Asking -----------------------------------------------------------------------

    def ask(self, call: Call) -> None:
        """A client asks for a receipt: `call.start` is its token."""
        self._spawn(self._tell(call))

    async def _tell(self, call: Call) -> None:
        try:
            receipt = await self.receipt(_one(self.tokens.read(call.start.decode("ascii"))))
            answer = Answer(Ending.SERVED, 200, (JSON,), show(receipt))
        except UnknownWriteError as error:
            answer = Answer(Ending.FAILED, 404, (), f"{error}\n".encode())
        except (CauseError, UnicodeDecodeError) as error:
            answer = Answer(Ending.FAILED, 400, (), f"{error}\n".encode())
        except (StoreError, OutboxError) as error:
            answer = Answer(Ending.FAILED, 503, (), f"{error}\n".encode())
        call.front.answered(call, answer)

    async def receipt(self, write_id: WriteId) -> WriteReceipt:
        """With the final answer, where there is one. `UnknownWriteError`, `StoreError`."""
        receipt = self.outbox.receipt(write_id)
        if receipt.state in FINAL and (moved := await self.store.moved(write_id)) is not None:
            receipt = replace(receipt, status=moved.status, headers=moved.headers, body=moved.body)
        return receipt

    def resolve(self, text: str, parking: int, resolution: Resolution) -> bool:
        """An operator's word on a parked write; False if it was given already. `OutboxError`."""
        change = self.outbox.resolve(parse_write_id(text), parking, resolution, self.wall())
        if change is None:
            return False
        self._spawn(self._step(change))
        return True

    def claim(self, line: EdgeLog) -> bool:
        """An operator's word: of the processes that have copies of this disk, this one replays that line.
        False if it does. `UnknownWriteError`."""
        if self.sharing is None or line not in self.outbox.lines():
            raise UnknownWriteError(f"no line {line.edge}/{line.incarnation:016x} that others could have")
        return self.sharing.force(line)

    def status(self) -> dict[str, Any]:
        """For an operator."""
        shown = list(self.parked)[:SHOWN_MOST]
        return {
            "edge": self.settings.edge,
            "cut_off": self.cutoff.off,
            "kept": self.outbox.count,
            "bytes": self.outbox.size,
            "out": len(self.out),
            "parked": len(self.parked),
            "disk_bytes": self.store.size,
            "writes": [msgspec.json.decode(show(self.outbox.receipt(write_id))) for write_id in shown],
        }


def _read_secret(path: str) -> bytes:
    with open(path, "rb") as file:
        return file.read(4096).strip()


def _headers(head: bytes) -> tuple[tuple[bytes, bytes], ...]:
    """Of the lines that are passed on."""
    found = []
    for line in head.split(b"\r\n"):
        name, colon, value = line.partition(b":")
        if colon:
            found.append((name.lower(), value.strip()))
    return tuple(found)


def _named(call: Call) -> str:
    """Receipts and tokens alike: each is a token."""
    return ",".join(part.decode("latin-1") for part in call.causes[:2] if part)


def _session(call: Call) -> bytes:
    return call.causes[2] if call.causes else b""


def _object(call: Call) -> bytes:
    query = call.start.partition(b"?")[2]
    return next((part[4:] for part in query.split(b"&") if part.startswith(b"obj=")), b"")


def _one(dependencies: Dependencies) -> WriteId:
    if len(dependencies) != 1 or dependencies[0].before:
        raise TokenError("not the receipt of one write")
    return dependencies[0].write_id


async def open_driver(
    settings: OutboxSettings,
    classes: Mapping[str, int],
    tenants: Mapping[str, int],
    log: Log,
    file: str = "",
    version_vector: VersionVector | None = None,
) -> OutboxDriver:
    """As `OutboxDriver.open`; `ConfigError` with the key, `file` before it, if that can't be."""
    if settings.secret_file:
        try:
            _read_secret(settings.secret_file)
        except OSError as error:
            problem = f"{error.strerror}: expected a file that this user may read"
            raise ConfigError(f"{file}outbox.secret_file: {settings.secret_file}: {problem}") from None
    try:
        return await OutboxDriver.open(settings, classes, tenants, log, version_vector)
    except ValueError as error:
        if isinstance(error, OutboxError):
            raise ConfigError(f"{file}outbox.store_path: {settings.store_path}: {error}") from None
        raise ConfigError(f"{file}outbox.secret_file: {settings.secret_file}: {error}") from None
    except (StoreError, OutboxError, OSError) as error:
        raise ConfigError(f"{file}outbox.store_path: {settings.store_path}: {error}") from None
