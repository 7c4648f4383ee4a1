"""Connects the engine and the store: records the intent before sending, the answer before delivering it.

The rules:

1. One request per idempotency key is in progress at a time; others with that key wait for its answer.
2. Nothing is sent before the intent is durable. A served or rejected answer is delivered only once the record
   agrees with it. A failure promises nothing and is delivered at once.
3. If the store fails, the settings decide whether the request fails with nothing sent, or is sent unrecorded.
"""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine, Mapping
from dataclasses import dataclass, field

from laurelstep.engine.call import Answer, Call, Ending
from laurelstep.engine.ports import CallHost, Log
from laurelstep.request_journal.records import (
    IntentRecord,
    ResponseRecord,
    answer_from_record,
    idempotency_key,
    key_conflict_answer,
    may_have_run_answer,
    request_digest,
    store_key,
)
from laurelstep.request_journal.settings import JournalClass, JournalSettings
from laurelstep.store import FolderDisk, Store, StoreError, StoreOptions

# Requests that wait for the answer of one key; bounds memory if a client repeats endlessly.
MAX_FOLLOWERS = 32


@dataclass(eq=False)
class JournaledRequest:
    """An idempotency key in progress: `leader` is the call that is sent, `followers` wait for its answer."""

    store_key: bytes
    digest: bytes
    retention_ms: int
    leader: Call
    followers: list[Call] = field(default_factory=list)
    is_admitted: bool = False


class RequestJournal:
    """The engine's `Recorder` on a `Store`. Belongs to the event loop that opened the store."""

    def __init__(
        self, store: Store, settings: JournalSettings, class_numbers: Mapping[str, int], log: Log
    ) -> None:
        self.store = store
        self.passes_unrecorded = settings.unavailable == "pass"
        self.log = log
        self.classes: dict[int, tuple[str, JournalClass]] = {
            class_numbers[name]: (name, journal_class) for name, journal_class in settings.classes.items()
        }
        self.in_progress: dict[bytes, JournaledRequest] = {}
        self.by_leader: dict[Call, JournaledRequest] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    @classmethod
    async def open(
        cls, settings: JournalSettings, class_numbers: Mapping[str, int], log: Log
    ) -> RequestJournal:
        """Open a journal on the store at `settings.store_path`. Raises StoreError if that fails."""
        options = StoreOptions(max_bytes=settings.max_bytes)
        store = await Store.open(FolderDisk(settings.store_path), options, log)
        return cls(store, settings, class_numbers, log)

    async def close(self) -> None:
        """Finish the writes in progress, then close the store."""
        while self.tasks:
            await asyncio.wait(set(self.tasks))
        await self.store.close()

    def _spawn(self, work: Coroutine[None, None, None]) -> None:
        task = asyncio.get_running_loop().create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # --- Before the request is sent ---------------------------------------------------

    def begin(self, call: Call, engine: CallHost) -> bool:
        """Take over a call of a journaled class; False if it has no idempotency key. See `Recorder`."""
        entry = self.classes.get(call.request_class)
        if entry is None:
            return False
        class_name, journal_class = entry
        key = idempotency_key(journal_class, call.order_id, call.body)
        if key is None:
            return False
        self._register(call, store_key(class_name, key), journal_class.retention_ms, engine)
        return True

    def _register(self, call: Call, key: bytes, retention_ms: int, engine: CallHost) -> None:
        """Add a call as the leader of its key, or as a follower if one is in progress."""
        digest = request_digest(call)
        request = self.in_progress.get(key)
        if request is None:
            request = JournaledRequest(key, digest, retention_ms, call)
            self.in_progress[key] = self.by_leader[call] = request
            self._spawn(self._begin(request, engine))
        elif request.digest != digest:
            engine.settle(call, key_conflict_answer())
        elif len(request.followers) >= MAX_FOLLOWERS:
            engine.settle(call, may_have_run_answer())
        else:
            request.followers.append(call)

    async def _begin(self, request: JournaledRequest, engine: CallHost) -> None:
        """Answer from the record if there is one; else admit the request once the intent is durable."""
        try:
            data = await self.store.get(request.store_key)
            if data is not None:
                self._settle_all(request, answer_from_record(data, request.digest), engine)
                return
            intent = IntentRecord(request.digest)
            await self.store.put(request.store_key, intent.encode(), request.retention_ms)
        except (StoreError, ValueError):
            if not self.passes_unrecorded:
                # Not a rejection: an earlier process may have sent the request.
                self._settle_all(request, may_have_run_answer(), engine)
                return
        await self._admit(request, engine)

    async def _admit(self, request: JournaledRequest, engine: CallHost) -> None:
        """Admit the first call that is still open; the intent is durable. Withdraw the intent if none is."""
        while not request.leader.is_open:
            self.by_leader.pop(request.leader, None)
            if not request.followers:
                await self._withdraw_intent(request)
                return
            request.leader = request.followers.pop(0)
            self.by_leader[request.leader] = request
        request.is_admitted = True
        engine.admit(request.leader)

    async def _withdraw_intent(self, request: JournaledRequest) -> None:
        """Delete the intent of a request that was not sent, so that the key counts as unused."""
        try:
            await self.store.delete(request.store_key)
        except StoreError:
            self.log("orders: an unused intent could not be deleted")
        finally:
            self._drop(request)

    # --- Before the final answer is delivered -----------------------------------------

    def finish(self, call: Call, answer: Answer, engine: CallHost) -> None:
        """Record a final answer, then deliver it. See `Recorder`."""
        request = self.by_leader.get(call)
        if request is None or not request.is_admitted:
            engine.deliver(call, answer)  # it was waiting for its leader's answer, or for the store
            return
        if answer.ending is Ending.FAILED:
            engine.deliver(call, answer)
        self._spawn(self._finish(request, answer, engine))

    async def _finish(self, request: JournaledRequest, answer: Answer, engine: CallHost) -> None:
        final = answer
        try:
            if answer.ending is Ending.REFUSED:
                await self.store.delete(request.store_key)
            else:
                response = ResponseRecord(request.digest, answer)
                await self.store.put(request.store_key, response.encode(), request.retention_ms)
        except StoreError:
            # A later process finds only the intent, and answers accordingly.
            final = answer if self.passes_unrecorded else may_have_run_answer()
        engine.deliver(request.leader, final)
        self._settle_all(request, final, engine)

    # --- Calls that end early ---------------------------------------------------------

    def on_client_left(self, call: Call, engine: CallHost) -> None:
        """The client of a recorded call disconnected. See `Recorder`."""
        request = self.by_leader.get(call)
        if request is None:
            self._remove_follower(call)
        elif request.is_admitted and call.attempts_sent:
            self._settle_all(request, may_have_run_answer(), engine)
        elif request.is_admitted:
            request.is_admitted = False
            self._spawn(self._admit(request, engine))

    def _remove_follower(self, call: Call) -> None:
        for request in self.in_progress.values():
            if call in request.followers:
                request.followers.remove(call)
                return

    def _settle_all(self, request: JournaledRequest, answer: Answer, engine: CallHost) -> None:
        """Settle all calls of a request with this answer; its key is no longer in progress."""
        followers, request.followers = request.followers, []
        self._drop(request)
        for call in (request.leader, *followers):
            engine.settle(call, answer)

    def _drop(self, request: JournaledRequest) -> None:
        self.by_leader.pop(request.leader, None)
        if self.in_progress.get(request.store_key) is request:
            del self.in_progress[request.store_key]
