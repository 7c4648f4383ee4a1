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

# Parts of one write that are submitted to the store together.
MAX_PARTS_PER_PUT: Final = 2
# At this many buffered bytes reading from the write's client pauses; at `RESUME_BUFFERED_BYTES` it resumes.
MAX_BUFFERED_BYTES_PER_WRITE: Final = (MAX_PARTS_PER_PUT + 1) * BODY_PART_BYTES
RESUME_BUFFERED_BYTES: Final = 2 * BODY_PART_BYTES
MAX_BUFFERED_BYTES_IN_ALL: Final = 2 << 20
MAX_RECEIVING: Final = 8
MAX_WAITING: Final = 16
# Up to this size a body is read into memory for its replay; a larger one is streamed.
MAX_UNSTREAMED_BYTES: Final = 256 * 1024
# Time for the upload of a replayed body. The class's deadline counts from its last byte, as for a client's.
MAX_REPLAY_UPLOAD_US: Final = 600_000_000
# Delay before another try to delete parts that could not be deleted.
DELETION_RETRY_S: Final = 1.0


class IncomingBody:
    """A body that is still arriving: the sink of its stream.

    `is_to_store`: false for a repeat, whose body is only compared.
    """

    def __init__(self, bodies: BodySpool, call: Call, upload: BodyStream, is_to_store: bool) -> None:
        self.bodies = bodies
        self.call = call
        self.upload = upload
        self.is_to_store = is_to_store
        self.received_bytes = 0
        self.buffered_bytes = 0
        self.first_part = b""  # stored in the write's own record, which is written last
        self.buffer = bytearray()
        self.next_part = 1  # number of the part that is stored next
        self.is_receiving = self.has_ended = self.is_complete = self.is_paused = False
        self.is_stored: bool | None = None
        self.is_known_absent = True
        self.changed = asyncio.Event()
        self._digest = blake2b(call.method_and_target + b"\n", digest_size=DIGEST_BYTES)

    @property
    def digest(self) -> bytes:
        """The digest that `request_digest` gives for a call that holds its body."""
        return self._digest.digest()

    @property
    def is_within_bound(self) -> bool:
        """Whether the body is not yet larger than a queued body may be."""
        return self.received_bytes <= self.bodies.max_body_bytes

    def begin(self) -> None:
        """Start receiving from the stream."""
        self.is_receiving = True
        self.upload.attach(self)
        if not self.is_paused:
            self.upload.resume()

    def on_data(self, data: bytes) -> None:
        """Buffer data of the stream; pause the stream when too much is buffered."""
        if self.has_ended:
            return
        self.received_bytes += len(data)
        if not self.is_within_bound:
            self.end(False)
            return
        self._digest.update(data)
        if not self.is_to_store:
            return
        self.buffer += data
        self._add_buffered(len(data))
        if not self.first_part and len(self.buffer) >= BODY_PART_BYTES:
            self._cut_first_part()
        if self.buffered_bytes >= MAX_BUFFERED_BYTES_PER_WRITE and not self.is_paused:
            self.is_paused = True
            self.upload.pause()
        self.changed.set()

    def on_end(self, complete: bool) -> None:
        """The stream ended; `complete` if the whole body arrived."""
        self.end(complete)

    def end(self, is_complete: bool) -> None:
        """Stop receiving: the body is complete, or its remainder is not wanted."""
        if not self.has_ended:
            self.has_ended, self.is_complete = True, is_complete
            if is_complete and not self.first_part:
                self._cut_first_part()
            self.changed.set()

    def _cut_first_part(self) -> None:
        self.first_part = bytes(self.buffer[:BODY_PART_BYTES])
        del self.buffer[:BODY_PART_BYTES]

    def _add_buffered(self, size_change: int) -> None:
        self.buffered_bytes += size_change
        self.bodies.buffered_bytes += size_change

    def _take_parts(self) -> list[bytes]:
        """Take the parts to store next from the buffer; empty if no full part is buffered."""
        parts: list[bytes] = []
        while (
            self.first_part
            and len(parts) < MAX_PARTS_PER_PUT
            and (len(self.buffer) >= BODY_PART_BYTES or (self.is_complete and self.buffer))
        ):
            parts.append(bytes(self.buffer[:BODY_PART_BYTES]))
            del self.buffer[:BODY_PART_BYTES]
        return parts

    async def store(self, write_id: WriteId) -> bool:
        """Store all parts but the first as they arrive.

        False if the body ended incomplete. `FailedToKeepError` if a part could not be stored.
        """
        while True:
            if self.has_ended and not self.is_complete:
                return False
            if parts := self._take_parts():
                await self.bodies.driver.store.put_parts(write_id, self.next_part, parts)
                self.next_part += len(parts)
                self._add_buffered(-sum(map(len, parts)))
                self.bodies._start_waiting()
                if self.is_paused and self.buffered_bytes <= RESUME_BUFFERED_BYTES:
                    self.is_paused = False
                    self.upload.resume()
            elif self.has_ended:
                return True
            else:
                self.changed.clear()
                await self.changed.wait()

    async def wait_ended(self) -> None:
        """Wait until the body is complete or abandoned."""
        while not self.has_ended:
            self.changed.clear()
            await self.changed.wait()

    def close(self) -> None:
        """Drop all buffered data."""
        self.has_ended = True
        self.buffer = bytearray()
        self.first_part = b""
        self._add_buffered(-self.buffered_bytes)


class BodySpool:
    """Receives and replays the large bodies of one driver."""

    def __init__(self, driver: OutboxHost) -> None:
        self.driver = driver
        self.max_body_bytes = driver.settings.body_bytes
        self.buffered_bytes = 0
        self.receiving: dict[Call, IncomingBody] = {}
        self.waiting: deque[IncomingBody] = deque()
        # The bodies that are being stored, with which repeats are compared.
        self.first_bodies: dict[WriteId, IncomingBody] = {}
        self.digests: dict[Call, bytes] = {}  # of calls whose streamed body has ended

    # --- Receiving --------------------------------------------------------------------

    def size(self, call: Call) -> int:
        """Size of a call's body in bytes; for a chunked one, the largest size that it may have."""
        if call.upload is None:
            return len(call.body)
        return call.upload.length if call.upload.length >= 0 else self.max_body_bytes

    def has_room(self, call: Call) -> bool:
        """Whether a call may be queued now; always true if its body has already arrived."""
        return call.upload is None or len(self.receiving) < MAX_RECEIVING + MAX_WAITING

    def digest(self, call: Call) -> bytes:
        """The digest of a call's request. Called once for each call: a streamed body's digest is removed."""
        return self.digests.pop(call, None) or request_digest(call)

    def take(
        self, call: Call, upload: BodyStream, ticket: WriteTicket, answer: Answer | None, engine: CallHost
    ) -> None:
        """Receive the body of a write to which `ticket` gives its id, and store it unless it is a repeat."""
        body = self.receiving[call] = IncomingBody(self, call, upload, ticket.write is not None)
        if ticket.write is not None:
            self.first_bodies[ticket.write_id] = body
            self.driver.storing[ticket.write_id] = [call]
            self.driver.spawn(self._store(body, ticket.write, answer, engine))
        else:
            self.driver.spawn(self._compare(body, ticket.write_id, answer, engine))
        self.waiting.append(body)
        self._start_waiting()

    def _start_waiting(self) -> None:
        """Start to receive waiting bodies, as long as the bounds allow."""
        while self.waiting:
            taken = sum(1 for incoming in self.receiving.values() if incoming.is_receiving)
            if taken and (taken >= MAX_RECEIVING or self.buffered_bytes >= MAX_BUFFERED_BYTES_IN_ALL):
                return
            body = self.waiting.popleft()
            if not body.has_ended:
                body.begin()

    def on_closed(self, call: Call) -> None:
        """A call was closed by its client: stop receiving its body."""
        if (body := self.receiving.get(call)) is not None:
            body.end(False)

    async def _store(
        self, body: IncomingBody, write: QueuedWrite, answer: Answer | None, engine: CallHost
    ) -> None:
        driver, write_id = self.driver, write.write_id
        is_stored = False
        try:
            if await body.store(write_id):
                write = msgspec.structs.replace(write, size=body.received_bytes, digest=body.digest)
                driver.outbox.on_size_known(write_id, body.received_bytes)
                await driver.store.put_head(write, body.first_part)
                is_stored = any(
                    waiting.is_open for waiting in driver.storing[write_id]
                ) or not await driver.store.delete_write(write_id, body.received_bytes)
            elif not body.is_within_bound:
                driver.log(f"outbox: not kept: a body of more than {self.max_body_bytes} bytes")
        except StoreError as error:
            driver.log(f"outbox: not kept: {error}")
            body.is_known_absent = isinstance(error, FailedToKeepError) and error.is_known_absent
        finally:
            stored_bytes = body.next_part * BODY_PART_BYTES  # of parts that may have been stored
            self._close(body)
            del self.first_bodies[write_id]
        body.is_stored = is_stored
        self.digests[body.call] = write.digest
        driver.on_stored(write, is_stored, body.is_known_absent, answer, engine)
        if not is_stored:
            await self._delete_parts(write_id, stored_bytes + MAX_PARTS_PER_PUT * BODY_PART_BYTES)

    def _close(self, body: IncomingBody) -> None:
        del self.receiving[body.call]
        body.close()
        self._start_waiting()

    async def _delete_parts(self, write_id: WriteId, size: int) -> None:
        """Delete the parts of a write that is not kept, retrying while the disk fails.

        Any that are left are deleted when the store is next opened.
        """
        while not await self.driver.store.delete_write(write_id, size) and not self.driver.closing:
            await asyncio.sleep(DELETION_RETRY_S)

    async def _compare(
        self, body: IncomingBody, write_id: WriteId, answer: Answer | None, engine: CallHost
    ) -> None:
        first = self.first_bodies.get(write_id)
        try:
            await body.wait_ended()
        finally:
            self._close(body)
        call = body.call
        if not body.is_within_bound:
            engine.settle(call, key_conflict_answer())
        elif not body.is_complete or not call.is_open:
            return
        elif first is not None and first.is_stored is False:
            self.driver.answer_unqueued(call, answer, first.is_known_absent, engine)
        else:
            self.digests[call] = body.digest
            self.driver.answer_repeat(call, write_id, engine)

    def refusal_of(self, call: Call) -> Answer | None:
        """The refusal of a call that was not queued; None if it can still be sent upstream.

        It can't be sent once part of its body was received here.
        """
        if call.upload is None or not call.upload.was_attached:
            return None
        return Answer(Ending.REFUSED, 503, retry_after_us=RETRY_US)

    # --- Replay -----------------------------------------------------------------------

    async def load_call(self, write_id: WriteId, replay: ReplayFront) -> Call | None:
        """Load a queued write as a call to the engine; None if it can't be read."""
        store = self.driver.store
        try:
            head = await store.head(write_id)
            if head is None:
                return None
            write, first_part = head
            if write.size <= MAX_UNSTREAMED_BYTES:
                parts = [
                    first_part,
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
        call.upload = BodyStream(BodyReplay(self, call, write, first_part), write.size)
        return call


class BodyReplay:
    """Source of a body stream that reads from the store. Starts once the stream has a sink."""

    def __init__(self, bodies: BodySpool, call: Call, write: QueuedWrite, first_part: bytes) -> None:
        self.bodies = bodies
        self.call = call
        self.write = write
        self.first_part = first_part
        self.task: asyncio.Task[None] | None = None
        self.resumed = asyncio.Event()

    def pause(self) -> None:
        """Stop feeding the stream until `resume`."""
        self.resumed.clear()

    def resume(self) -> None:
        """Feed the stream; the first call starts reading."""
        self.resumed.set()
        if self.task is None:
            self.task = asyncio.get_running_loop().create_task(self._read_parts())

    def on_abandoned(self) -> None:
        """Stop reading: the sink abandoned the stream."""
        if self.task is not None:
            self.task.cancel()

    async def _read_parts(self) -> None:
        upload, write_id = self.call.upload, self.write.write_id
        assert upload is not None
        try:
            for number in range(-(-self.write.size // BODY_PART_BYTES)):
                part = await self.bodies.driver.store.part(write_id, number) if number else self.first_part
                await self.resumed.wait()
                upload.feed(part)
        except StoreError as error:
            self.bodies.driver.log(f"outbox: {write_id}: can't be read: {error}")
            upload.finish(False)
            return
        upload.finish(True)
        engine = self.bodies.driver.engine
        if engine is not None:
            engine.on_upload_complete(self.call)
