"""Decides which live requests are queued, and answers their clients.

A write is durable before its 202 is sent. A write that could not be stored gets the answer that it would have
had without the outbox. It is refused only if no later incarnation can find it; otherwise its client is told
that it may have run.
"""

from __future__ import annotations

import asyncio
from typing import Final

import msgspec

from laurelstep.engine.call import Answer, Call, Ending
from laurelstep.engine.ports import CallHost
from laurelstep.outbox.call_fields import (
    SEALED_INDEX,
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
    """The part of a driver that the engine calls for live requests which may be queued."""

    def must_queue(self, call: Call) -> bool:
        """Whether a request has to be offered to the outbox before it is sent upstream."""
        if self._is_replay(call):
            return False
        self.background_replay.had_live_request = True
        if call.request_class not in self.classes or self.closing:
            return False
        return self.cutoff.is_cut_off or self._follows_queued(call)

    def _is_replay(self, call: Call) -> bool:
        """Whether no client sent the call: a replay or a query of this outbox, or another edge's replay."""
        if call.queued_write_fate is not None or isinstance(call.frontend, ReplayFront):
            return True
        return (
            self.settings.shared
            and len(call.causal_dependencies) > SEALED_INDEX
            and bool(call.causal_dependencies[SEALED_INDEX])
        )

    def _follows_queued(self, call: Call) -> bool:
        """Whether a call causally depends on a write that is not known to be applied.

        True also for a token that can't be read: `enqueue` then answers the call with that error.
        """
        tokens, tenant = (
            causality_tokens_of(call),
            self.tenant_names.get(call.tenant, "") if call.tenant else "",
        )
        try:
            if tokens and self.outbox.must_queue(tokens):
                return True
        except OutboxError:
            return True
        session, obj = session_of(call), object_of(call)
        return bool(session or obj) and self.outbox.has_open(session, obj, tenant)

    def enqueue(self, call: Call, answer: Answer | None, engine: CallHost) -> bool:
        """Queue a request if that is allowed; True if the outbox answers the request.

        `answer`: what the client gets if it is not queued; None if the request was not sent yet.
        """
        front = call.frontend
        if isinstance(front, ReplayFront):
            front.never_ran = True  # the engine calls `enqueue` only if the request can't have run
            return False
        if self._is_replay(call):
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
        self._store_or_compare(call, ticket, answer, engine)
        return True

    def _refuse_overtaking(
        self, call: Call, answer: Answer | None, engine: CallHost, retry_us: int = REPLAY_INTERVAL_US
    ) -> bool:
        """Refuse a call that can't be queued if it would overtake a write that it depends on.

        True if it was refused. A call that was sent upstream already (`answer` is not None) is not refused.
        """
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

    def _store_or_compare(
        self, call: Call, ticket: WriteTicket, answer: Answer | None, engine: CallHost
    ) -> None:
        write_id = ticket.write_id
        if call.upload is not None:
            self.bodies.take(call, call.upload, ticket, answer, engine)
        elif ticket.write is not None:
            self.storing[write_id] = [call]
            self.spawn(self._store(call, ticket.write, answer, engine))
        else:
            self.answer_repeat(call, write_id, engine)

    def answer_repeat(self, call: Call, write_id: WriteId, engine: CallHost) -> None:
        """Answer a call whose idempotency key a queued write has already, once that write is durable."""
        if write_id in self.storing:
            # `on_stored` compares it with the first request.
            self.storing[write_id].append(call)
        else:
            self.spawn(self._answer_stored_repeat(call, write_id, engine))

    async def _answer_stored_repeat(self, call: Call, write_id: WriteId, engine: CallHost) -> None:
        """Answer a repeat of a stored write: the same receipt for the same request, else a conflict."""
        digest = self.bodies.digest(call)
        try:
            head = await self.store.head(write_id)
        except (StoreError, OutboxError) as error:
            self.log(f"outbox: {write_id}: can't be read: {error}")
            head = None
        if head is None:
            engine.settle(call, may_have_run_answer())
        elif head[0].digest != digest:
            engine.settle(call, key_conflict_answer())
        else:
            engine.settle(call, self._accepted_answer(write_id))

    def on_call_closed(self, call: Call) -> None:
        """Stop receiving the body of a call that its client closed.

        A write that is already being stored is deleted afterwards if no open call waits for it.
        """
        self.bodies.on_closed(call)

    async def _store(self, call: Call, write: QueuedWrite, answer: Answer | None, engine: CallHost) -> None:
        write_id, prepared_answer = write.write_id, None
        is_known_absent = is_stored = True
        try:
            storing = self.store.put_write(write, call.body)
            await asyncio.sleep(0)  # lets the store start; the answer is built while it writes
            prepared_answer = self._accepted_answer(write_id)
            await storing
            if not any(waiting.is_open for waiting in self.storing[write_id]):
                is_stored = not await self.store.delete_write(write_id, write.size)
        except StoreError as error:
            self.log(f"outbox: not kept: {error}")
            is_stored, is_known_absent = False, isinstance(error, FailedToKeepError) and error.is_known_absent
        self.on_stored(write, is_stored, is_known_absent, answer, engine, prepared_answer)

    def on_stored(
        self,
        write: QueuedWrite,
        is_stored: bool,
        is_known_absent: bool,
        answer: Answer | None,
        engine: CallHost,
        prepared_answer: Answer | None = None,
    ) -> None:
        """Answer all calls that wait for a write; the first of them with `prepared_answer`, if not None.

        `is_known_absent`: if the write was not stored, whether no later incarnation can find it.
        """
        write_id = write.write_id
        waiting = self.storing.pop(write_id)
        if is_stored:
            self.outbox.on_stored(write_id, self.now())
            if not self.cutoff.is_cut_off:  # while cut off, only the periodic pass replays
                self.wake()
        else:
            self.outbox.on_store_failed(write_id, self.now())
        for position, waiting_call in enumerate(waiting):
            if is_stored and prepared_answer is not None and position == 0:
                engine.settle(waiting_call, prepared_answer)
                continue
            digest = self.bodies.digest(waiting_call)
            if not is_stored:
                self.answer_unqueued(waiting_call, answer, is_known_absent, engine)
            elif digest != write.digest:
                engine.settle(waiting_call, key_conflict_answer())
            else:
                engine.settle(waiting_call, self._accepted_answer(write_id))

    def answer_unqueued(
        self, call: Call, answer: Answer | None, is_known_absent: bool, engine: CallHost
    ) -> None:
        """Answer a call whose write was not stored. `is_known_absent`: no later incarnation can find it."""
        if not call.is_open:
            return
        if not is_known_absent and (answer is None or answer.ending is Ending.REFUSED):
            engine.settle(call, may_have_run_answer())
        elif answer is not None:
            engine.settle(call, answer)
        elif (refusal := self.bodies.refusal_of(call)) is not None:
            engine.settle(call, refusal)
        elif not self._refuse_overtaking(call, None, engine):
            engine.admit(call)

    def _accepted_answer(self, write_id: WriteId) -> Answer:
        token = self.tokens.receipt(write_id).encode()
        receipt = {"state": "kept", "write": str(write_id), "receipt": token.decode()}
        headers = (JSON, (b"location", RECEIPTS + token), (b"x-causal-token", token))
        return Answer(Ending.SERVED, 202, headers, msgspec.json.encode(receipt) + b"\n")
