"""The edge's driver towards copies upstream: names its replays, asks, and acts on what it hears.

The rules, beside those of `edge`:

1. An ask is a request of its own through the engine, of a class that is kept, with `ASK_US` at most. Its
   answer counts only if it was sealed as the answer to this very ask.
2. A log of a former life is claimed only once the store has this life among those that its disk has known.
3. An operator's "it never ran" is told upstream before the write is sent again, by the life that it was
   given to, once the log is held. Of a disk that was copied, another may have sent it since: so a later
   life does not tell one that was not heard, nor one whose log was another's; the write comes back as one
   that may have run.
4. A write that may have run is parked at once, so that a crash finds it so, and its fate is asked; where that
   is in, it is done.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Final

from laurelstep.engine.call import Answer, Call, Ending, Handle
from laurelstep.net.message import encode_headers as lines_of
from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.errors import OutboxError
from laurelstep.outbox.messages import ReplayResult, Transition
from laurelstep.outbox.ports import OutboxHost
from laurelstep.outbox.queue_store import LoadedWrites
from laurelstep.outbox.records import QueuedWrite, WriteEvent, WriteState
from laurelstep.outbox.replay_front import ReplayFront
from laurelstep.outbox.shared.edge import RemoteVersionVector
from laurelstep.outbox.shared.message_seal import MessageSeal
from laurelstep.outbox.shared.messages import KEPT_HEADER, SHARED_PATH, ReplayIdentity, ReplayQuery
from laurelstep.outbox.shared.query_round import QueryOutcome, bounded
from laurelstep.outbox.write_ids import EdgeLog, WriteId
from laurelstep.store import StoreError

__all__ = ["EdgeSharing"]

ASK_US: Final = 2_000_000
REMEDY: Final = "stop one of the two; on the one that is to go on, claim the line"


@dataclass(eq=False)
class QueryFront:
    """The front of an ask's call."""

    over: asyncio.Future[Answer] = field(default_factory=lambda: asyncio.get_running_loop().create_future())

    def on_answer(self, call: Call, answer: Answer) -> None:
        """The engine's final answer to the query."""
        if not self.over.done():
            self.over.set_result(answer)


class EdgeSharing:
    """Of one `OutboxHost` whose upstream is copies of this program."""

    def __init__(self, driver: OutboxHost, secret: bytes) -> None:
        assert isinstance(driver.outbox.version_vector, RemoteVersionVector)
        self.driver = driver
        self.outbox = driver.outbox
        self.version_vector = driver.outbox.version_vector
        self.seal = MessageSeal(secret)
        kept = driver.settings.classes
        # One whose attempts may be tried again, if there is any.
        self.cls = min(driver.classes, key=lambda cls: (kept[driver.classes[cls]].how != "keyed", cls))
        self.holders: dict[EdgeLog, tuple[int, ...]] = {
            self.version_vector.edge_log: (self.version_vector.incarnation,)
        }
        self.unnamed: dict[EdgeLog, bool] = {}  # logs to be claimed, with force or without
        self.naming = False
        self.parked_at: dict[WriteId, int] = {}  # those that are parked, since when
        # "It never ran": of which parking, and from when on it may be told.
        self.words: dict[WriteId, tuple[int, int]] = {}
        self.timers: dict[WriteId, Handle] = {}
        self.asking: asyncio.Future[Answer] | None = None
        self.asked = 0

    # --- A life's beginning -----------------------------------------------------------

    def restore(self, loaded: LoadedWrites) -> None:
        """Before anything else is done."""
        for write, moved in loaded.writes:
            edge_log = write.write_id.edge_log
            if edge_log not in self.holders:
                self.holders[edge_log] = loaded.holders.get(edge_log, (edge_log.incarnation,))
                self.unnamed[edge_log] = False
            if moved is None:
                continue
            if moved.state is WriteState.DONE and moved.status:
                self.driver.applied_by_gate.add(write.write_id)
            elif moved.state is WriteState.PARKED:
                self.parked_at[write.write_id] = self.driver.clock.now()
                self._follow_own(write.write_id)

    def _follow_own(self, write_id: WriteId) -> None:
        dependency = Dependency(*write_id)
        if self.outbox.needs_status(dependency):
            self.version_vector.watch((dependency,))

    def force_lease(self, edge_log: EdgeLog) -> bool:
        """An operator's word: this process has the log. False if it holds it already."""
        if self.version_vector.holds(edge_log):
            return False
        self.holders.setdefault(edge_log, (edge_log.incarnation,))
        self.unnamed[edge_log] = True
        self._drop_words(edge_log)
        self.outbox.release_log(edge_log)  # rule 3
        self.driver.wake()
        return True

    async def _name(self) -> None:
        """Rule 2."""
        incarnation = self.version_vector.incarnation
        try:
            for edge_log, is_forced in list(self.unnamed.items()):
                incarnations = self.holders[edge_log]
                if incarnation not in incarnations:
                    incarnations = tuple(bounded((*incarnations, incarnation)))
                    await self.driver.store.put_holders(edge_log, incarnations)
                    self.holders[edge_log] = incarnations
                del self.unnamed[edge_log]
                self.version_vector.request_lease(edge_log, incarnations, is_forced)
        except StoreError as error:
            self.driver.log(f"outbox: a claim is not written: {error}")
            return  # at the next turn
        finally:
            self.naming = False
        self.driver.wake()

    # --- Steps ------------------------------------------------------------------------

    def on_step_durable(self, change: Transition) -> None:
        """A change is durable, and not applied yet."""
        if change.event is WriteEvent.NEVER_RAN and self.outbox.is_unsafe(change.write_id):
            self.outbox.withhold(change.write_id)
            self._take_back(change.write_id, change.moved.resolved)
        elif change.event in (WriteEvent.ANSWERED, WriteEvent.FOUND_IN):
            self.driver.applied_by_gate.add(change.write_id)

    def on_step_applied(self, change: Transition) -> None:
        """A change was applied."""
        if change.moved.state is WriteState.PARKED:
            self.parked_at[change.write_id] = self.driver.clock.now()
            self._follow_own(change.write_id)
        else:
            self.parked_at.pop(change.write_id, None)

    def _take_back(self, write_id: WriteId, parking: int) -> None:
        """Told once the last try's time is over: one still on its way may run, and no record sees it. And
        once the log is held.
        """
        now = self.driver.clock.now()
        due = self.parked_at.get(write_id, now) + self.driver.settings.send_us
        self.words[write_id] = parking, due
        self.timers[write_id] = self.driver.clock.at(due, self._tell_words)

    def _tell_words(self) -> None:
        now = self.driver.clock.now()
        for write_id, (parking, due) in list(self.words.items()):
            if due <= now and self.version_vector.holds(write_id.edge_log):
                self._drop_word(write_id)
                self.version_vector.withdraw_intent(write_id, parking)
                self.driver.wake()

    def _drop_words(self, edge_log: EdgeLog) -> None:
        """Another process may have sent them since."""
        for write_id in [write_id for write_id in self.words if write_id.edge_log == edge_log]:
            self._drop_word(write_id)

    def _drop_word(self, write_id: WriteId) -> None:
        del self.words[write_id]
        self.timers.pop(write_id).cancel()

    def mark_as_replay(self, call: Call, write: QueuedWrite) -> None:
        """Make it a replay to a copy upstream."""
        sealed = self.seal.replayed(
            ReplayIdentity(write.write_id, self.version_vector.incarnation, not write.keyed)
        )
        call.header_lines = lines_of((*write.headers, (KEPT_HEADER, sealed.encode())))
        call.queued_write_fate = b""

    def replay_result(self, call: Call, replay: ReplayFront, answer: Answer) -> ReplayResult:
        """What a copy's answer to a replay means."""
        if answer.ending is Ending.SERVED:
            return ReplayResult.ANSWERED
        edge_log = replay.write_id.edge_log
        fenced = call.queued_write_fate == b"fenced" and self._lost(edge_log)
        if call.queued_write_fate == b"begun":
            return ReplayResult.MAY_HAVE_RUN
        if not self._not_run(call, replay, answer):
            return ReplayResult.MAY_HAVE_RUN
        return ReplayResult.FENCED if fenced else ReplayResult.NOT_RUN

    def _not_run(self, call: Call, replay: ReplayFront, answer: Answer) -> bool:
        """`fate` is of the last attempt. Of an unsafe write there was none before it that may have run."""
        if answer.ending is Ending.REFUSED or replay.never_ran:
            return True
        refused = call.queued_write_fate in (b"fenced", b"refused")
        return refused and (call.attempts_sent <= 1 or self.outbox.is_unsafe(replay.write_id))

    def _lost(self, edge_log: EdgeLog) -> bool:
        """A gate says that another life has it."""
        if not self.version_vector.on_fencing_reported(edge_log):
            return False
        self._fence(edge_log)
        return True

    def _fence(self, edge_log: EdgeLog) -> None:
        self._drop_words(edge_log)
        self.outbox.fence(edge_log)
        if edge_log in self.holders:
            name = f"{edge_log.edge}/{edge_log.incarnation:016x}"
            self.driver.log(
                f"outbox: {name}: fenced: another process with a copy of this disk replays it; {REMEDY}"
            )

    # --- Asking -----------------------------------------------------------------------

    def send_due_query(self) -> None:
        """Once a second, and when something has happened."""
        driver = self.driver
        if driver.closing or driver.engine is None:
            return
        if driver.cutoff.is_cut_off:
            if self.unnamed or self.version_vector.waits:
                self._begin(self.version_vector.probe(driver.now()))
            return
        if self.unnamed and not self.naming:
            self.naming = True
            driver.spawn(self._name())
        self._begin(self.version_vector.next(driver.now(), self.outbox.needs_status))

    def _begin(self, ask: ReplayQuery | None) -> None:
        if ask is not None:
            self.driver.spawn(self._ask(ask))

    def close(self) -> None:
        """Ask and tell nothing any more."""
        for handle in self.timers.values():
            handle.cancel()
        if self.asking is not None:
            self.asking.cancel()

    async def _ask(self, ask: ReplayQuery) -> None:
        driver, sealed = self.driver, self.seal.ask(ask)
        answer = await self._answer(sealed)
        if driver.closing:
            return
        now = driver.now()
        try:
            if answer.ending is not Ending.SERVED:
                raise ValueError("no answer")
            told = self.seal.open_answered(answer.body.decode("ascii"), sealed)
        except (OutboxError, ValueError) as error:
            if answer.ending is Ending.SERVED:
                driver.log(f"outbox: upstream's answer can't be used: {error}")
            self.version_vector.on_query_failed(now)
            return
        self._act(self.version_vector.on_reply(told, now))

    async def _answer(self, sealed: str) -> Answer:
        engine = self.driver.engine
        assert engine is not None
        asking = QueryFront()
        self.asked += 1
        name = b"outbox ask %x/%d" % (self.version_vector.incarnation, self.asked)
        wait = min(ASK_US, engine.settings.classes[self.cls].deadline_us)
        call = Call(
            self.cls,
            engine.now() + wait,
            b"GET " + SHARED_PATH + sealed.encode(),
            lines_of(((b"host", b"outbox"),)),
            b"",
            asking,
            name,
        )
        call.queued_write_fate = b""
        self.asking = asking.over
        engine.take(call)
        try:
            return await asking.over
        finally:
            self.asking = None

    def _act(self, news: QueryOutcome) -> None:
        driver = self.driver
        for edge_log in news.fenced:
            self._fence(edge_log)
        for edge_log in news.held:
            self.outbox.unfence(edge_log)
            # Whoever comes after on this disk comes after this life.
            self.holders[edge_log] = (edge_log.incarnation, self.version_vector.incarnation)
            driver.spawn(self._held(edge_log))
        if news.held:
            self._tell_words()
        for write_id in news.withdrawn:
            self.outbox.release(write_id)
        for write_id in news.own_applied:
            change = self.outbox.on_found_applied(write_id, driver.wall())
            if change is not None:
                driver.spawn(driver.take_step(change))
        if news.changed:
            self.outbox.on_remote_change(driver.now())
        driver.wake()

    async def _held(self, edge_log: EdgeLog) -> None:
        try:
            await self.driver.store.put_holders(edge_log, self.holders[edge_log])
        except StoreError as error:
            self.driver.log(f"outbox: a claim is not written: {error}")  # the longer list is as good
