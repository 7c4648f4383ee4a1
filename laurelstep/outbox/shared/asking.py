"""Lets an edge's outbox replay to copies upstream: marks its replays, sends its queries, and acts on replies.

These rules add to those of `edge`:

1. A query is an engine call of a queued class, limited to `QUERY_TIMEOUT_US`. A reply counts only if it was
   sealed for this very query.
2. The lease on an earlier incarnation's log is requested only after the store names this incarnation among
   the log's known holders.
3. An operator's resolution that a write never ran is published before the write is sent again. Only the
   incarnation that received the resolution publishes it, once it holds the log, because on a copy of the disk
   another process may have sent the write since. So a later incarnation does not repeat a resolution that was
   not agreed, nor is one published after another process held the log: the next replay then finds that the
   write may have run.
4. A write that may have run is parked at once, so that it is parked after a crash too, and its status is
   queried. If upstream says that it was applied, it is done.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import Final

from laurelstep.engine.call import Answer, Call, Ending, Handle
from laurelstep.net.message import encode_headers
from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.errors import OutboxError
from laurelstep.outbox.messages import ReplayResult, Transition
from laurelstep.outbox.ports import OutboxHost
from laurelstep.outbox.queue_store import LoadedWrites
from laurelstep.outbox.records import QueuedWrite, WriteEvent, WriteState
from laurelstep.outbox.replay_front import ReplayFront
from laurelstep.outbox.shared.edge import RemoteVersionVector
from laurelstep.outbox.shared.message_seal import MessageSeal
from laurelstep.outbox.shared.messages import REPLAY_HEADER, SHARED_PATH, ReplayIdentity, ReplayQuery
from laurelstep.outbox.shared.query_round import QueryOutcome, bounded_holders
from laurelstep.outbox.write_ids import EdgeLog, WriteId
from laurelstep.store import StoreError

__all__ = ["EdgeSharing"]

QUERY_TIMEOUT_US: Final = 2_000_000
REMEDY: Final = "stop one of the two processes, and claim the line on the other one"


@dataclass(eq=False)
class QueryFront:
    """The frontend of a query's call: `answer` is the engine's final answer."""

    answer: asyncio.Future[Answer] = field(default_factory=lambda: asyncio.get_running_loop().create_future())

    def on_answer(self, call: Call, answer: Answer) -> None:
        """Resolve `answer`, unless it was cancelled."""
        if not self.answer.done():
            self.answer.set_result(answer)


class EdgeSharing:
    """Connects one `OutboxHost` to the copies upstream that keep the ledger."""

    def __init__(self, host: OutboxHost, secret: bytes) -> None:
        assert isinstance(host.outbox.version_vector, RemoteVersionVector)
        self.host = host
        self.outbox = host.outbox
        self.version_vector = host.outbox.version_vector
        self.seal = MessageSeal(secret)
        queued_classes = host.settings.classes
        # A keyed class, whose calls may be retried, if there is one.
        self.request_class = min(
            host.classes, key=lambda cls: (queued_classes[host.classes[cls]].effect != "keyed", cls)
        )
        self.holders: dict[EdgeLog, tuple[int, ...]] = {
            self.version_vector.edge_log: (self.version_vector.incarnation,)
        }
        self.leases_to_request: dict[EdgeLog, bool] = {}  # by log: whether an operator forces it
        self.is_requesting_leases = False
        self.parked_at: dict[WriteId, int] = {}  # monotonic µs, by parked write
        # By write that was resolved as never run: its parking, and when the withdrawal may be published.
        self.never_ran_resolutions: dict[WriteId, tuple[int, int]] = {}
        self.resolution_timers: dict[WriteId, Handle] = {}
        self.reply_future: asyncio.Future[Answer] | None = None
        self.query_count = 0

    # --- Start and leases ---------------------------------------------------------------

    def restore(self, loaded: LoadedWrites) -> None:
        """Take over the writes that the store held when it was opened. Called before any other method."""
        for write, state_change in loaded.writes:
            edge_log = write.write_id.edge_log
            if edge_log not in self.holders:
                self.holders[edge_log] = loaded.holders.get(edge_log, (edge_log.incarnation,))
                self.leases_to_request[edge_log] = False
            if state_change is None:
                continue
            if state_change.state is WriteState.DONE and state_change.status:
                self.host.applied_by_gate.add(write.write_id)
            elif state_change.state is WriteState.PARKED:
                self.parked_at[write.write_id] = self.host.clock.now()
                self._watch_own_write(write.write_id)

    def _watch_own_write(self, write_id: WriteId) -> None:
        dependency = Dependency(*write_id)
        if self.outbox.needs_status(dependency):
            self.version_vector.watch((dependency,))

    def force_lease(self, edge_log: EdgeLog) -> bool:
        """Request the lease on a log with an operator's force. False if this process holds it already."""
        if self.version_vector.holds(edge_log):
            return False
        self.holders.setdefault(edge_log, (edge_log.incarnation,))
        self.leases_to_request[edge_log] = True
        self._drop_resolutions(edge_log)
        self.outbox.release_log(edge_log)  # rule 3
        self.host.wake()
        return True

    async def _request_leases(self) -> None:
        """Store this incarnation among the known holders of each log, then request the leases, by rule 2."""
        incarnation = self.version_vector.incarnation
        try:
            for edge_log, is_forced in list(self.leases_to_request.items()):
                holders = self.holders[edge_log]
                if incarnation not in holders:
                    holders = tuple(bounded_holders((*holders, incarnation)))
                    await self.host.store.put_holders(edge_log, holders)
                    self.holders[edge_log] = holders
                del self.leases_to_request[edge_log]
                self.version_vector.request_lease(edge_log, holders, is_forced)
        except StoreError as error:
            self.host.log(f"outbox: the holders of a log are not stored: {error}")
            return  # tried again with the next query
        finally:
            self.is_requesting_leases = False
        self.host.wake()

    # --- Transitions and replays --------------------------------------------------------

    def on_step_durable(self, change: Transition) -> None:
        """A transition is durable and is about to be applied to the outbox."""
        if change.event is WriteEvent.NEVER_RAN and self.outbox.is_unsafe(change.write_id):
            self.outbox.withhold(change.write_id)
            self._schedule_intent_withdrawal(change.write_id, change.state_change.resolved_parking)
        elif change.event in (WriteEvent.ANSWERED, WriteEvent.FOUND_APPLIED):
            self.host.applied_by_gate.add(change.write_id)

    def on_step_applied(self, change: Transition) -> None:
        """A transition was applied to the outbox."""
        if change.state_change.state is WriteState.PARKED:
            self.parked_at[change.write_id] = self.host.clock.now()
            self._watch_own_write(change.write_id)
        else:
            self.parked_at.pop(change.write_id, None)

    def _schedule_intent_withdrawal(self, write_id: WriteId, parking: int) -> None:
        """Withdraw the write's intent once the last attempt's deadline has passed and the log is held. An
        attempt in flight may still run the write, and the ledger would not show it.
        """
        now = self.host.clock.now()
        due_at = self.parked_at.get(write_id, now) + self.host.settings.max_deadline_us
        self.never_ran_resolutions[write_id] = parking, due_at
        self.resolution_timers[write_id] = self.host.clock.at(due_at, self._withdraw_due_intents)

    def _withdraw_due_intents(self) -> None:
        now = self.host.clock.now()
        for write_id, (parking, due_at) in list(self.never_ran_resolutions.items()):
            if due_at <= now and self.version_vector.holds(write_id.edge_log):
                self._drop_resolution(write_id)
                self.version_vector.withdraw_intent(write_id, parking)
                self.host.wake()

    def _drop_resolutions(self, edge_log: EdgeLog) -> None:
        """Drop a log's resolutions: another process may have sent the writes since."""
        for write_id in [
            write_id for write_id in self.never_ran_resolutions if write_id.edge_log == edge_log
        ]:
            self._drop_resolution(write_id)

    def _drop_resolution(self, write_id: WriteId) -> None:
        del self.never_ran_resolutions[write_id]
        self.resolution_timers.pop(write_id).cancel()

    def mark_as_replay(self, call: Call, write: QueuedWrite) -> None:
        """Add the header with the sealed replay identity to a call."""
        sealed = self.seal.seal_replay(
            ReplayIdentity(write.write_id, self.version_vector.incarnation, not write.keyed)
        )
        call.header_lines = encode_headers((*write.headers, (REPLAY_HEADER, sealed.encode())))
        call.queued_write_fate = b""

    def replay_result(self, call: Call, replay: ReplayFront, answer: Answer) -> ReplayResult:
        """What a copy's final answer to a replay shows about the write."""
        if answer.ending is Ending.SERVED:
            return ReplayResult.ANSWERED
        edge_log = replay.write_id.edge_log
        is_fenced = call.queued_write_fate == b"fenced" and self._on_fencing_reported(edge_log)
        if call.queued_write_fate == b"begun":
            return ReplayResult.MAY_HAVE_RUN
        if not self._has_not_run(call, replay, answer):
            return ReplayResult.MAY_HAVE_RUN
        return ReplayResult.FENCED if is_fenced else ReplayResult.NOT_RUN

    def _has_not_run(self, call: Call, replay: ReplayFront, answer: Answer) -> bool:
        """Whether no attempt can have run the write. `queued_write_fate` is that of the last attempt only; an
        unsafe write had no earlier attempt that may have run.
        """
        if answer.ending is Ending.REFUSED or replay.never_ran:
            return True
        is_refused = call.queued_write_fate in (b"fenced", b"refused")
        return is_refused and (call.attempts_sent <= 1 or self.outbox.is_unsafe(replay.write_id))

    def _on_fencing_reported(self, edge_log: EdgeLog) -> bool:
        """A gate refused a write because another incarnation holds its log. True if the log is fenced now."""
        if not self.version_vector.on_fencing_reported(edge_log):
            return False
        self._fence(edge_log)
        return True

    def _fence(self, edge_log: EdgeLog) -> None:
        self._drop_resolutions(edge_log)
        self.outbox.fence(edge_log)
        if edge_log in self.holders:
            name = f"{edge_log.edge}/{edge_log.incarnation:016x}"
            self.host.log(
                f"outbox: {name}: fenced: another process with a copy of this disk replays it; {REMEDY}"
            )

    # --- Queries ------------------------------------------------------------------------

    def send_due_query(self) -> None:
        """Send the next query, if one is due. Called once a second and after each change."""
        host = self.host
        if host.closing or host.engine is None:
            return
        if host.cutoff.is_cut_off:
            if self.leases_to_request or self.version_vector.has_pending_items:
                self._start_query(self.version_vector.next_probe(host.now()))
            return
        if self.leases_to_request and not self.is_requesting_leases:
            self.is_requesting_leases = True
            host.spawn(self._request_leases())
        self._start_query(self.version_vector.next_query(host.now(), self.outbox.needs_status))

    def _start_query(self, query: ReplayQuery | None) -> None:
        if query is not None:
            self.host.spawn(self._query(query))

    def close(self) -> None:
        """Cancel the timers and the query in flight."""
        for handle in self.resolution_timers.values():
            handle.cancel()
        if self.reply_future is not None:
            self.reply_future.cancel()

    async def _query(self, query: ReplayQuery) -> None:
        host, sealed = self.host, self.seal.seal_query(query)
        answer = await self._exchange(sealed)
        if host.closing:
            return
        now = host.now()
        try:
            if answer.ending is not Ending.SERVED:
                raise ValueError("no reply")
            reply = self.seal.open_reply(answer.body.decode("ascii"), sealed)
        except (OutboxError, ValueError) as error:
            if answer.ending is Ending.SERVED:
                host.log(f"outbox: upstream's reply to a query is not valid: {error}")
            self.version_vector.on_query_failed(now)
            return
        self._apply_outcome(self.version_vector.on_reply(reply, now))

    async def _exchange(self, sealed: str) -> Answer:
        engine = self.host.engine
        assert engine is not None
        frontend = QueryFront()
        self.query_count += 1
        request_id = b"outbox ask %x/%d" % (self.version_vector.incarnation, self.query_count)
        timeout_us = min(QUERY_TIMEOUT_US, engine.settings.classes[self.request_class].deadline_us)
        call = Call(
            self.request_class,
            engine.now() + timeout_us,
            b"GET " + SHARED_PATH + sealed.encode(),
            encode_headers(((b"host", b"outbox"),)),
            b"",
            frontend,
            request_id,
        )
        call.queued_write_fate, call.claims_id = b"", False
        self.reply_future = frontend.answer
        engine.take(call)
        try:
            return await frontend.answer
        finally:
            self.reply_future = None

    def _apply_outcome(self, outcome: QueryOutcome) -> None:
        host = self.host
        for edge_log in outcome.fenced_logs:
            self._fence(edge_log)
        for edge_log in outcome.held_logs:
            self.outbox.unfence(edge_log)
            # A later incarnation on this disk takes the log over from this one.
            self.holders[edge_log] = (edge_log.incarnation, self.version_vector.incarnation)
            host.spawn(self._store_holders(edge_log))
        if outcome.held_logs:
            self._withdraw_due_intents()
        for write_id in outcome.withdrawn_intents:
            self.outbox.release(write_id)
        for write_id in outcome.own_applied:
            change = self.outbox.on_found_applied(write_id, host.wall())
            if change is not None:
                host.spawn(host.take_step(change))
        if outcome.has_changes:
            self.outbox.on_remote_change(host.now())
        host.wake()

    async def _store_holders(self, edge_log: EdgeLog) -> None:
        try:
            await self.host.store.put_holders(edge_log, self.holders[edge_log])
        except StoreError as error:
            # The store still has the former list, which is as good: it names these incarnations too.
            self.host.log(f"outbox: the holders of a log are not stored: {error}")
