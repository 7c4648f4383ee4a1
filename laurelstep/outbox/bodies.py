"""Large bodies of queued writes: stored as they arrive, and streamed from the store when replayed.

The rules:

1. A write whose body is still arriving holds a write id, a queue entry and bytes of the outbox's bounds from
   the first part on: the declared length, or for a chunked body the largest size allowed. The write's own
   record is written last.
2. Until that record is durable the write is not queued: a body that breaks off, is too large, or meets a full
   disk leaves nothing behind. Its parts are deleted, after a crash when the store is opened. Nothing was sent
   upstream, so the client is refused; if a later incarnation might still find the write, the client is told
   that it may have run.
3. One write buffers at most `MAX_BUFFERED_BYTES_PER_WRITE` plus what one read brings. At the start it may
   buffer more: the data that arrived before the body turned out to be too large to hold. At most
   `MAX_RECEIVING` bodies are received at a time, and no further one starts while `MAX_BUFFERED_BYTES_IN_ALL`
   are buffered. `MAX_WAITING` more wait for that, without being read from their clients.
4. The body of a repeated idempotency key is read to its end and compared; nothing of it is stored.
5. A replay of more than `MAX_UNSTREAMED_BYTES` is sent as an upload, one part at a time. Once an endpoint has
   received the beginning, the engine does not retry it: the write is replayed again or parked, as its class
   requires. The replay ends within the window of its idempotency key.
"""

from __future__ import annotations

import asyncio
from collections import deque
from hashlib import blake2b
from typing import Final

import msgspec

from laurelstep.engine.body_stream import BodyStream
from laurelstep.engine.call import Answer, Call, Ending
from laurelstep.engine.ports import CallHost
from laurelstep.outbox.errors import OutboxError
from laurelstep.outbox.intake import RETRY_US
from laurelstep.outbox.messages import WriteTicket
from laurelstep.outbox.options import BODY_PART_BYTES
from laurelstep.outbox.ports import OutboxHost
from laurelstep.outbox.queue_store import FailedToKeepError
from laurelstep.outbox.records import QueuedWrite
from laurelstep.outbox.replay_front import ReplayFront
from laurelstep.outbox.write_ids import WriteId
from laurelstep.request_journal.records import DIGEST_BYTES, key_conflict_answer, request_digest
from laurelstep.store import StoreError

# Parts of one write that are on their way to the disk at a time.
PUT_MOST: Final = 2
# At this many buffered bytes reading from the write's client pauses; at `RESUME_BUFFERED_BYTES` it resumes.
MAX_BUFFERED_BYTES_PER_WRITE: Final = (PUT_MOST + 1) * BODY_PART_BYTES
RESUME_BUFFERED_BYTES: Final = 2 * BODY_PART_BYTES
MAX_BUFFERED_BYTES_IN_ALL: Final = 2 << 20
MAX_RECEIVING: Final = 8
MAX_WAITING: Final = 16
# Up to this a body is read whole for its replay.
MAX_UNSTREAMED_BYTES: Final = 256 * 1024
# A replay's provisional time, as that of a caller's upload: it counts from the last byte, once that is out.
MAX_REPLAY_UPLOAD_US: Final = 600_000_000
# What could not be deleted is tried again after this.
DELETION_RETRY_S: Final = 1.0


class IncomingBody:
    """One that is coming: the sink of its stream. `stores`: else it is only compared."""

    def __init__(self, bodies: BodySpool, call: Call, upload: BodyStream, stores: bool) -> None:
        self.bodies = bodies
        self.call = call
        self.upload = upload
        self.stores = stores
        self.came = 0
        self.held = 0
        self.first = b""  # stands behind the record, which is written last
        self.rest = bytearray()
        self.next = 1  # the part that is written next
        self.begun = self.over = self.whole = self.paused = False
        self.kept: bool | None = None
        self.is_known_absent = True
        self.news = asyncio.Event()
        self._digest = blake2b(call.method_and_target + b"\n", digest_size=DIGEST_BYTES)

    @property
    def digest(self) -> bytes:
        """As `request_digest` of a call that has its body."""
        return self._digest.digest()

    @property
    def fits(self) -> bool:
        """Not longer than a kept body may be."""
        return self.came <= self.bodies.most

    def begin(self) -> None:
        """Take what comes from now on."""
        self.begun = True
        self.upload.attach(self)
        if not self.paused:
            self.upload.resume()

    def on_data(self, data: bytes) -> None:
        """A part of it came."""
        if self.over:
            return
        self.came += len(data)
        if not self.fits:
            self.end(False)
            return
        self._digest.update(data)
        if not self.stores:
            return
        self.rest += data
        self._hold(len(data))
        if not self.first and len(self.rest) >= BODY_PART_BYTES:
            self._take_first()
        if self.held >= MAX_BUFFERED_BYTES_PER_WRITE and not self.paused:
            self.paused = True
            self.upload.pause()
        self.news.set()

    def on_end(self, complete: bool) -> None:
        """No more comes; `whole` if that is all of it."""
        self.end(complete)

    def end(self, whole: bool) -> None:
        """It is whole, or nothing more of it is wanted."""
        if not self.over:
            self.over, self.whole = True, whole
            if whole and not self.first:
                self._take_first()
            self.news.set()

    def _take_first(self) -> None:
        self.first = bytes(self.rest[:BODY_PART_BYTES])
        del self.rest[:BODY_PART_BYTES]

    def _hold(self, more: int) -> None:
        self.held += more
        self.bodies.held += more

    def _take(self) -> list[bytes]:
        """The parts that are written next; none until there are more."""
        found: list[bytes] = []
        while (
            self.first
            and len(found) < PUT_MOST
            and (len(self.rest) >= BODY_PART_BYTES or (self.whole and self.rest))
        ):
            found.append(bytes(self.rest[:BODY_PART_BYTES]))
            del self.rest[:BODY_PART_BYTES]
        return found

    async def store(self, write_id: WriteId) -> bool:
        """All of it but the first part; False if it is not whole. `FailedToKeepError`."""
        while True:
            if self.over and not self.whole:
                return False
            if parts := self._take():
                await self.bodies.driver.store.put_parts(write_id, self.next, parts)
                self.next += len(parts)
                self._hold(-sum(map(len, parts)))
                self.bodies._begin()
                if self.paused and self.held <= RESUME_BUFFERED_BYTES:
                    self.paused = False
                    self.upload.resume()
            elif self.over:
                return True
            else:
                self.news.clear()
                await self.news.wait()

    async def ended(self) -> None:
        """Wait until no more comes."""
        while not self.over:
            self.news.clear()
            await self.news.wait()

    def close(self) -> None:
        """Nothing of it is held any more."""
        self.over = True
        self.rest = bytearray()
        self.first = b""
        self._hold(-self.held)


class BodySpool:
    """The large bodies of one driver."""

    def __init__(self, driver: OutboxHost) -> None:
        self.driver = driver
        self.most = driver.settings.body_bytes
        self.held = 0
        self.coming: dict[Call, IncomingBody] = {}
        self.waiting: deque[IncomingBody] = deque()
        self.stored: dict[WriteId, IncomingBody] = {}  # those that are coming and are no repeats
        self.digests: dict[Call, bytes] = {}  # of repeats that came whole

    # --- Keeping ----------------------------------------------------------------------

    def size(self, call: Call) -> int:
        """Of its body; of one that comes in chunks, the most that it may have."""
        if call.upload is None:
            return len(call.body)
        return call.upload.length if call.upload.length >= 0 else self.most

    def has_room(self, call: Call) -> bool:
        """Whether a call with a body that is still to come may be taken."""
        return call.upload is None or len(self.coming) < MAX_RECEIVING + MAX_WAITING

    def digest(self, call: Call) -> bytes:
        """Asked once for each."""
        return self.digests.pop(call, None) or request_digest(call)

    def take(
        self, call: Call, upload: BodyStream, ticket: WriteTicket, answer: Answer | None, engine: CallHost
    ) -> None:
        """A write that has a number, while its body comes."""
        body = self.coming[call] = IncomingBody(self, call, upload, ticket.write is not None)
        if ticket.write is not None:
            self.stored[ticket.write_id] = body
            self.driver.storing[ticket.write_id] = [call]
            self.driver.spawn(self._store(body, ticket.write, answer, engine))
        else:
            self.driver.spawn(self._compare(body, ticket.write_id, answer, engine))
        self.waiting.append(body)
        self._begin()

    def _begin(self) -> None:
        """Those that wait, while there is room."""
        while self.waiting:
            taken = sum(1 for one in self.coming.values() if one.begun)
            if taken and (taken >= MAX_RECEIVING or self.held >= MAX_BUFFERED_BYTES_IN_ALL):
                return
            body = self.waiting.popleft()
            if not body.over:
                body.begin()

    def left(self, call: Call) -> None:
        """It is not open any more."""
        if (body := self.coming.get(call)) is not None:
            body.end(False)

    async def _store(
        self, body: IncomingBody, write: QueuedWrite, answer: Answer | None, engine: CallHost
    ) -> None:
        driver, write_id = self.driver, write.write_id
        kept = False
        try:
            if await body.store(write_id):
                write = msgspec.structs.replace(write, size=body.came, digest=body.digest)
                driver.outbox.on_size_known(write_id, body.came)
                await driver.store.put_head(write, body.first)
                kept = any(
                    one.is_open for one in driver.storing[write_id]
                ) or not await driver.store.delete_write(write_id, body.came)
            elif not body.fits:
                driver.log(f"outbox: not kept: a body of more than {self.most} bytes")
        except StoreError as error:
            driver.log(f"outbox: not kept: {error}")
            body.is_known_absent = isinstance(error, FailedToKeepError) and error.is_known_absent
        finally:
            came = body.next * BODY_PART_BYTES  # the parts that may be there
            self._close(body)
            del self.stored[write_id]
        body.kept = kept
        self.digests[body.call] = write.digest
        driver.on_stored(write, kept, body.is_known_absent, answer, engine)
        if not kept:
            await self._clear(write_id, came + PUT_MOST * BODY_PART_BYTES)

    def _close(self, body: IncomingBody) -> None:
        del self.coming[body.call]
        body.close()
        self._begin()

    async def _clear(self, write_id: WriteId, size: int) -> None:
        """Its parts. On a disk that fails, once that writes again; at the latest as the store is opened."""
        while not await self.driver.store.delete_write(write_id, size) and not self.driver.closing:
            await asyncio.sleep(DELETION_RETRY_S)

    async def _compare(
        self, body: IncomingBody, write_id: WriteId, answer: Answer | None, engine: CallHost
    ) -> None:
        first = self.stored.get(write_id)
        try:
            await body.ended()
        finally:
            self._close(body)
        call = body.call
        if not body.fits:
            engine.settle(call, key_conflict_answer())
        elif not body.whole or not call.is_open:
            return
        elif first is not None and first.kept is False:
            self.driver.answer_unqueued(call, answer, first.is_known_absent, engine)
        else:
            self.digests[call] = body.digest
            self.driver.answer_repeat(call, write_id, engine)

    def refused(self, call: Call) -> Answer | None:
        """Of one that is not kept, and of which nothing was sent; None if it can still be."""
        if call.upload is None or not call.upload.was_attached:
            return None
        return Answer(Ending.REFUSED, 503, retry_after_us=RETRY_US)

    # --- Replay -----------------------------------------------------------------------

    async def load_call(self, write_id: WriteId, replay: ReplayFront) -> Call | None:
        """A queued write as the engine's call; None if it can't be read."""
        store = self.driver.store
        try:
            found = await store.head(write_id)
            if found is None:
                return None
            write, first = found
            if write.size <= MAX_UNSTREAMED_BYTES:
                parts = [
                    first,
                    *[await store.part(write_id, at) for at in range(1, -(-write.size // BODY_PART_BYTES))],
                ]
                return self.driver.replay_call(write, b"".join(parts), replay)
        except (StoreError, OutboxError) as error:
            self.driver.log(f"outbox: {write_id}: can't be read: {error}")
            return None
        call = self.driver.replay_call(write, b"", replay)
        now = self.driver.now()
        call.time_after_upload_us = call.expires_at - now
        call.expires_at = now + min(
            MAX_REPLAY_UPLOAD_US + call.time_after_upload_us, self.driver.outbox.window_left(write_id, now)
        )
        call.upload = BodyStream(BodyReplay(self, call, write, first), write.size)
        return call


class BodyReplay:
    """The source of a body that is read from the store. It begins once its stream has a sink."""

    def __init__(self, bodies: BodySpool, call: Call, write: QueuedWrite, first: bytes) -> None:
        self.bodies = bodies
        self.call = call
        self.write = write
        self.first = first
        self.task: asyncio.Task[None] | None = None
        self.free = asyncio.Event()

    def pause(self) -> None:
        """The sink wants no more for now."""
        self.free.clear()

    def resume(self) -> None:
        """The sink wants more."""
        self.free.set()
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self._play())

    def on_abandoned(self) -> None:
        """The sink is gone."""
        if self.task is not None:
            self.task.cancel()

    async def _play(self) -> None:
        upload, write_id = self.call.upload, self.write.write_id
        assert upload is not None
        try:
            for at in range(-(-self.write.size // BODY_PART_BYTES)):
                part = await self.bodies.driver.store.part(write_id, at) if at else self.first
                await self.free.wait()
                upload.feed(part)
        except StoreError as error:
            self.bodies.driver.log(f"outbox: {write_id}: can't be read: {error}")
            upload.finish(False)
            return
        upload.finish(True)
        engine = self.bodies.driver.engine
        if engine is not None:
            engine.on_upload_complete(self.call)
