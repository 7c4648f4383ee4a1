"""The streaming of a client's large body: its first attempt forwards it as it arrives.

Rules of this module:

1. While no attempt reads the body, it is read on within the buffer budget, and paused beyond that.
2. No attempt begins for a client that has left. A body that waits for an attempt is refused where reading is
   paused and the client's close could not be seen.
3. Reading goes on when the body has ended, whatever paused it.
4. The time for the answer counts from the last moment at which the client's last byte was known not to be
   written. That moment passes while the body is not read: its end may be among the bytes that wait.
"""

from __future__ import annotations

from typing import Final

from laurelstep.engine.body_stream import BodyStream
from laurelstep.engine.call import Call
from laurelstep.net.errors import BadRequestError
from laurelstep.net.message import declared_length
from laurelstep.net.receive_queue import MAX_SEND_BUFFER_BYTES, exceeds_buffers, may_hide_close, unread_bytes
from laurelstep.net.request_receiver import RequestReceiver

# Provisional limit for an upload, until its last byte has arrived and its deadline starts.
MAX_UPLOAD_US: Final = 600_000_000
# How long nothing may arrive before it is concluded that the client has written no more. Longer than TCP's
# first persist timer, 0.2 s, after which a peer finds out that the window is open again.
DRAIN_CONFIRM_S: Final = 0.25
# A part that comes after such a pause, and is no larger, was written then.
SLOW_PAUSE_S: Final = 0.01
SLOW_PART_BYTES: Final = 32 * 1024


class UploadReceiver(RequestReceiver):
    """Streams one body at a time; the source of its stream."""

    def begin_upload(self) -> None:
        """Stream the body, as it is too large to be buffered: the first attempt forwards it as it arrives."""
        server, parsed = self.server, self.parsed
        if not isinstance(parsed, Call):
            self.reject(BadRequestError(413, "the body is too large"))
            return
        if server.engine.is_duplicate(parsed):
            self.reject(BadRequestError(409, "X-Request-Id is that of an earlier request"))
            return
        upload = BodyStream(self, declared_length(self.headers))
        if self.body:
            upload.feed(bytes(self.body))  # stays reserved until the receiver of the upload has taken it
            self.body = bytearray()
        self.upload = parsed.upload = upload
        parsed.time_after_upload_us = parsed.expires_at
        parsed.expires_at += server.engine.now() + MAX_UPLOAD_US
        self.upload_expires_at, self.is_backlogged = parsed.expires_at, False
        parsed.can_stream_answer = True
        self.call = parsed
        server.awaiting_request.discard(self)
        server.uploading.add(self)
        server.engine.take(parsed)
        # `self.upload` is not read again here: mypyc would assume the value that was assigned above.
        if not upload.is_closed and not upload.was_attached:
            self.hold_waiting_upload()

    def hold_waiting_upload(self) -> None:
        """Read on while no attempt reads the upload, within the buffer budget, else pause.

        Only reading shows that the client has left: the end of its connection stands behind its data.
        """
        reserved = self.server.request_budget.reserve_waiting(self.body_byte_count, self.reserved_bytes)
        if reserved >= 0:
            self.reserved_bytes = reserved
        else:
            self.upload_paused_at = self.server.loop.time()
            self.pause()

    def end_upload(self) -> None:
        """The last byte of the body has arrived: its deadline starts."""
        upload, self.upload, call = self.upload, None, self.call
        self.is_backlogged = False
        self.server.uploading.discard(self)
        self._reset()
        if upload is not None:
            upload.finish(True)
        # The last part may have paused reading, and a stream that is closed does not resume its source.
        self._resume_reading()
        if call is not None:
            self.server.engine.on_upload_complete(call)

    def pause(self) -> None:
        """The receiver of the upload has no room: stop reading."""
        self.server.uploading.discard(self)
        if self.upload is not None and self.upload.was_attached:
            self._release_budget()  # the receiver counts what it buffers
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
            self.server.paused.add(self)
        if self.upload is not None and not self.is_backlogged:
            self._count_time(self.server.engine.now())

    def check_backlog(self) -> None:
        """A part of the upload was read after reading had been paused: decide whether the time for the answer
        still counts from then. It does until the client is known not to have written the last byte.
        """
        if self.upload is None or self.transport is None:
            return
        if exceeds_buffers(self.transport, self._awaited_bytes()):
            self._count_time(self.server.engine.now())
        elif self.received_bytes > self.checkpoint_bytes:
            # More has come than the kernels held at the checkpoint, so the last byte was not written then.
            self._count_time(self.checkpoint_at)
        elif unread_bytes(self.transport) == 0:
            self._on_drained()

    def _on_drained(self) -> None:
        """All that has arrived of the upload is read. What the client's kernel held back may still be on its
        way: it comes soon, and in large parts. Small parts with pauses are those of a client that writes.
        """
        loop = self.server.loop
        pause_s, part_bytes = loop.time() - self.drained_at, self.received_bytes - self.drained_bytes
        is_written_slowly = pause_s >= SLOW_PAUSE_S and part_bytes < SLOW_PART_BYTES and self.drained_at > 0.0
        self.drained_at, self.drained_bytes = loop.time(), self.received_bytes
        if is_written_slowly:
            self._confirm_drained(self.received_bytes)
        else:
            loop.call_later(DRAIN_CONFIRM_S, self._confirm_drained, self.received_bytes)

    def _confirm_drained(self, received_bytes: int) -> None:
        """If nothing has arrived since all was read, the client has not written the rest."""
        is_paused = self in self.server.paused.waiting_since
        if self.is_backlogged and not is_paused and self.received_bytes == received_bytes:
            self.is_backlogged = False
            if self.call is not None:
                self.server.engine.limit_upload(self.call, self.upload_expires_at)

    def _count_time(self, since: int) -> None:
        """Let the time for the answer count from `since`, in µs, and set the next checkpoint."""
        engine, call = self.server.engine, self.call
        self.is_backlogged, self.drained_at = True, 0.0
        self.checkpoint_at, unread = engine.now(), 0
        if self.transport is not None:
            unread = unread_bytes(self.transport)
        self.checkpoint_bytes = self.received_bytes + unread + MAX_SEND_BUFFER_BYTES
        if call is not None:
            engine.limit_upload(call, since + call.time_after_upload_us)

    def _awaited_bytes(self) -> int:
        """What is not read yet of the upload; -1 if that is not known."""
        upload = self.upload
        return upload.length - self.body_byte_count if upload is not None and upload.length >= 0 else -1

    def resume(self) -> None:
        """The receiver of the upload has room again: go on reading."""
        self._release_budget()
        if self.transport is not None and not self.transport.is_closing() and self.upload is not None:
            self.server.uploading.add(self)
            self._resume_reading()

    def _resume_reading(self) -> None:
        """Read again, whatever paused it. Does nothing if reading is not paused."""
        self.server.paused.discard(self)
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def check_hangup(self) -> None:
        """Abort the connection if the client has closed it, which reading does not show while it is paused.

        Reading is paused for an upload whose receiver has no room, for one that no attempt reads and that is
        too large to be held, and for pipelined bytes while an answer is streamed. No attempt may begin for
        a client that has left, so an upload that waits for one is refused if that can't be told. While one is
        connecting, that is decided when it is about to begin.
        """
        if self.has_left():
            self._abandon()
            self.abort()
            return
        self.server.paused.add(self)
        call = self.call
        if call is None or not self.may_hide_close():
            return
        if not any([attempt.is_in_flight for attempt in call.attempts]):
            self.server.engine.refuse(call)

    def may_hide_close(self) -> bool:
        """Whether the client may have closed the connection behind bytes of a waiting upload that have not
        arrived here, longer ago than an attempt may begin after a close.
        """
        upload, transport = self.upload, self.transport
        if upload is None or upload.was_attached or transport is None:
            return False
        if self not in self.server.paused.waiting_since:
            return False  # it is being read
        if self.server.loop.time() - self.upload_paused_at < self.server.unseen_limit_s:
            return False
        return may_hide_close(transport, self._awaited_bytes())

    def on_abandoned(self) -> None:
        """The receiver needs no more of the upload. The final answer follows and closes the connection."""
