"""Which requests are kept, and what their clients are told.

A write is durable before its 202 leaves. One that could not be kept gets the answer it would have had; a
refusal only where no later life can find the write, and a failure that says it may have run otherwise.
"""

from __future__ import annotations

import asyncio
from typing import Final

import msgspec

from laurelstep.engine.call import Answer, Call, Ending
from laurelstep.engine.ports import CallHost
from laurelstep.outbox.call_fields import (
    SEALED,
    causality_tokens_of,
    forwarded_headers,
    object_of,
    session_of,
)
from laurelstep.outbox.errors import (
    CauseError,
    FullError,
    KeepError,
    OutboxError,
)
from laurelstep.outbox.outbox import (
    WriteOffer,
    WriteTicket,
)
from laurelstep.outbox.queue_store import FailedToKeepError
from laurelstep.outbox.records import QueuedWrite
from laurelstep.outbox.replay_driver import REPLAY_INTERVAL_US, ReplayDriver
from laurelstep.outbox.replay_front import ReplayFront
from laurelstep.outbox.write_ids import WriteId
from laurelstep.request_journal.records import key_conflict_answer, may_have_run_answer
from laurelstep.store import StoreError

JSON: Final = (b"content-type", b"application/json")
RECEIPTS: Final = b"/outbox/receipts/"


class WriteAdmission(ReplayDriver):
    """The engine's side of one driver: requests that may be kept."""

    def must_queue(self, call: Call) -> bool:
        """Whether a request is to be offered to the outbox before it is sent."""
        if self._passes(call):
            return False
        self.background_replay.live = True
        if call.request_class not in self.classes or self.closing:
            return False
        return self.cutoff.is_cut_off or self._follows_queued(call)

    def _passes(self, call: Call) -> bool:
        """It is no client's: a replay, an ask, or a replay of another edge."""
        if call.queued_write_fate is not None or isinstance(call.frontend, ReplayFront):
            return True
        return (
            self.settings.shared
            and len(call.causal_dependencies) > SEALED
            and bool(call.causal_dependencies[SEALED])
        )

    def _follows_queued(self, call: Call) -> bool:
        """Whether it follows what is not known to be in. One whose token can't be read is kept, or
        rather told so, by `enqueue`.
        """
        named, tenant = (
            causality_tokens_of(call),
            self.tenant_names.get(call.tenant, "") if call.tenant else "",
        )
        try:
            if named and self.outbox.must_queue(named):
                return True
        except OutboxError:
            return True
        session, obj = session_of(call), object_of(call)
        return bool(session or obj) and self.outbox.has_open(session, obj, tenant)

    def enqueue(self, call: Call, answer: Answer | None, engine: CallHost) -> bool:
        """Keep a request's write if that may be; True if the request is answered from here. `answer` is
        what it would get otherwise; None if it was not sent yet.
        """
        front = call.frontend
        if isinstance(front, ReplayFront):
            front.never_ran = True  # asked only where it can't have run
            return False
        if self._passes(call):
            return False
        now = self.now()
        if answer is not None and answer.ending is Ending.REFUSED:
            self.outbox.on_live_rejection(now)
        if call.request_class not in self.classes or self.closing or now >= call.expires_at:
            return False
        if self.bodies.size(call) > self.settings.body_bytes or not self.bodies.has_room(call):
            return self._refuse_overtaking(call, answer, engine)
        try:
            ticket = self.outbox.offer(self._offer(call), now, self.wall())
        except CauseError as error:
            engine.settle(call, Answer(Ending.FAILED, 400, (), f"{error}\n".encode()))
            return True
        except FullError as error:
            if answer is not None and answer.ending is Ending.REFUSED:
                answer.retry_after_us = max(answer.retry_after_us, error.retry_us)
            return self._refuse_overtaking(call, answer, engine, error.retry_us)
        except KeepError:
            return self._refuse_overtaking(call, answer, engine)
        self._take(call, ticket, answer, engine)
        return True

    def _refuse_overtaking(
        self, call: Call, answer: Answer | None, engine: CallHost, retry_us: int = REPLAY_INTERVAL_US
    ) -> bool:
        """It can't be kept: what would go past its causes is refused, and so in hand."""
        if answer is None and self._follows_queued(call):
            engine.settle(call, Answer(Ending.REFUSED, 503, retry_after_us=retry_us))
            return True
        return False

    def _offer(self, call: Call) -> WriteOffer:
        headers = forwarded_headers(call.header_lines)
        return WriteOffer(
            cls=self.classes[call.request_class],
            method_and_target=call.method_and_target,
            headers=headers,
            size=self.bodies.size(call),
            digest=b"" if call.upload is not None else self.bodies.digest(call),
            key=dict(headers).get(b"idempotency-key", b""),
            session=session_of(call),
            obj=object_of(call),
            tenant=self.tenant_names.get(call.tenant, "") if call.tenant else "",
            tokens=causality_tokens_of(call),
        )

    def _take(self, call: Call, ticket: WriteTicket, answer: Answer | None, engine: CallHost) -> None:
        write_id = ticket.write_id
        if call.upload is not None:
            self.bodies.take(call, call.upload, ticket, answer, engine)
        elif ticket.write is not None:
            self.storing[write_id] = [call]
            self.spawn(self._store(call, ticket.write, answer, engine))
        else:
            self.answer_repeat(call, write_id, engine)

    def answer_repeat(self, call: Call, write_id: WriteId, engine: CallHost) -> None:
        """Answer a call whose write has a number already, once its record is durable."""
        if write_id in self.storing:
            # Compared with the first try, once both are told.
            self.storing[write_id].append(call)
        else:
            self.spawn(self._known(call, write_id, engine))

    async def _known(self, call: Call, write_id: WriteId, engine: CallHost) -> None:
        """A key that a write has already: the same request gets the same receipt."""
        digest = self.bodies.digest(call)
        try:
            found = await self.store.head(write_id)
        except (StoreError, OutboxError) as error:
            self.log(f"outbox: {write_id}: can't be read: {error}")
            found = None
        if found is None:
            engine.settle(call, may_have_run_answer())
        elif found[0].digest != digest:
            engine.settle(call, key_conflict_answer())
        else:
            engine.settle(call, self._kept(write_id))

    def on_call_closed(self, call: Call) -> None:
        """Found by its being closed, once the store is through; of a body that is coming no more is taken."""
        self.bodies.left(call)

    async def _store(self, call: Call, write: QueuedWrite, answer: Answer | None, engine: CallHost) -> None:
        write_id, told = write.write_id, None
        is_known_absent = kept = True
        try:
            keeping = self.store.put_write(write, call.body)
            await asyncio.sleep(0)  # what follows is done while the disk works
            told = self._kept(write_id)
            await keeping
            if not any(one.is_open for one in self.storing[write_id]):
                kept = not await self.store.delete_write(write_id, write.size)
        except StoreError as error:
            self.log(f"outbox: not kept: {error}")
            kept, is_known_absent = False, isinstance(error, FailedToKeepError) and error.is_known_absent
        self.on_stored(write, kept, is_known_absent, answer, engine, told)

    def on_stored(
        self,
        write: QueuedWrite,
        kept: bool,
        is_known_absent: bool,
        answer: Answer | None,
        engine: CallHost,
        told: Answer | None = None,
    ) -> None:
        """All that wait for it are told; the first of them `told`, where that is worded already."""
        write_id = write.write_id
        waiting = self.storing.pop(write_id)
        if kept:
            self.outbox.on_stored(write_id, self.now())
            if not self.cutoff.is_cut_off:  # else nothing but the turn of each second goes out anyway
                self.wake()
        else:
            self.outbox.on_store_failed(write_id, self.now())
        for place, one in enumerate(waiting):
            if kept and told is not None and place == 0:
                engine.settle(one, told)
                continue
            digest = self.bodies.digest(one)
            if not kept:
                self.answer_unqueued(one, answer, is_known_absent, engine)
            elif digest != write.digest:
                engine.settle(one, key_conflict_answer())
            else:
                engine.settle(one, self._kept(write_id))

    def answer_unqueued(
        self, call: Call, answer: Answer | None, is_known_absent: bool, engine: CallHost
    ) -> None:
        """Answer a call whose write could not be kept. `is_known_absent`: no later life can find it."""
        if not call.is_open:
            return
        if not is_known_absent and (answer is None or answer.ending is Ending.REFUSED):
            engine.settle(call, may_have_run_answer())
        elif answer is not None:
            engine.settle(call, answer)
        elif (refused := self.bodies.refused(call)) is not None:
            engine.settle(call, refused)
        elif not self._refuse_overtaking(call, None, engine):
            engine.admit(call)

    def _kept(self, write_id: WriteId) -> Answer:
        token = self.tokens.receipt(write_id).encode()
        told = {"state": "kept", "write": str(write_id), "receipt": token.decode()}
        headers = (JSON, (b"location", RECEIPTS + token), (b"x-causal-token", token))
        return Answer(Ending.SERVED, 202, headers, msgspec.json.encode(told) + b"\n")
