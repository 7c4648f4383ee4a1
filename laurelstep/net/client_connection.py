"""One connection of a client: writes final answers and closes the connection.

`net.shutdown` decides when connections are closed at a drain or a shutdown.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from http import HTTPStatus
from typing import Any, Final, cast

from laurelstep.engine.body_stream import BodyStream
from laurelstep.engine.call import Answer, Call
from laurelstep.engine.event_log import EventKind
from laurelstep.flow_control.buffer_budget import UNCOUNTED_BYTES
from laurelstep.net.errors import BadRequestError
from laurelstep.net.message import encode_headers
from laurelstep.net.receive_queue import has_open_window
from laurelstep.net.request_receiver import STOPPING_MESSAGE
from laurelstep.net.server_state import ServerState
from laurelstep.net.upload_receiver import UploadReceiver
from laurelstep.net.write_backlog import WriteBacklog

REASON_PHRASES: Final = {status.value: status.phrase.encode() for status in HTTPStatus}
STATUS_LINES: Final = {
    status: b"HTTP/1.1 %d %b\r\n" % (status, reason) for status, reason in REASON_PHRASES.items()
}


def encode_rejection(error: BadRequestError) -> bytes:
    """The encoded answer for a rejected request, which also announces that the connection is closed."""
    text = f"{error}\n".encode()
    return (
        b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b"
        % (error.status, REASON_PHRASES[error.status], len(text), text)
    )


class ClientConnection(UploadReceiver):
    """One connection of a client, which reads and answers one request at a time.

    It has the methods of an `asyncio.Protocol` but not the base class: mypyc cannot give a class with a base
    that is not compiled a fixed layout.
    """

    def __init__(self, server: ServerState[Any]) -> None:
        super().__init__(server)
        self.is_answer_chunked = False  # the answer being streamed uses chunked framing
        self.backlog = WriteBacklog(server.answer_budget, server.write_stalled)

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio: the client has connected."""
        self.transport = cast(asyncio.Transport, transport)
        # `pause_writing` is called as soon as more is buffered than a message may hold uncounted.
        self.transport.set_write_buffer_limits(high=UNCOUNTED_BYTES, low=0)
        self.server.on_connect(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio: the connection is closed. Abandons its request and its answer."""
        self.is_closing = True
        self.parser = None  # breaks the reference cycle: the parser holds bound methods of this object
        self.parsed = None  # the call of an incomplete request refers to this object, too
        self._abandon()
        self.backlog.resume()
        answer, self.answer = self.answer, None
        if answer is not None:
            answer.abandon()
        self.server.on_disconnect(self)

    def eof_received(self) -> None:
        """asyncio: the client has closed its side. Clients that do so no longer wait for an answer.

        Abandons the request now: asyncio calls `connection_lost` an event loop iteration later, after timers
        that might send the request.
        """
        self.is_closing = True
        self._abandon()

    def pause_writing(self) -> None:
        """asyncio: the kernel's send buffer is full, as the client does not read its answer."""
        if self.transport is not None:
            self.backlog.pause(self.transport)
            self.backlog.await_progress(self, self.transport)
        if self.answer is not None:
            self.answer.pause()

    def resume_writing(self) -> None:
        """asyncio: the kernel has taken all bytes written so far."""
        self.backlog.resume()
        if not self.is_closing:  # a closing connection keeps its timeout
            self.server.write_stalled.discard(self)
        if self.answer is not None:
            self.answer.resume()

    def on_write_timeout(self) -> None:
        """Abort the connection if its client has read too little of its answer since the last check."""
        if self.transport is not None and self.backlog.has_progress(self.transport):
            self.server.write_stalled.add(self)
        else:
            self.record_close("answer is not read")
            self.abort()

    # --- Writing --------------------------------------------------------------------

    def on_answer(self, call: Call, answer: Answer) -> None:
        """`Frontend`: write the final answer of the current call."""
        self.call = None
        is_incomplete = self.upload is not None
        self._release_body()
        if answer.stream is not None:
            self._stream_answer(answer, answer.stream, is_incomplete)
        else:
            self.write_answer(answer, is_incomplete)

    def write_answer(self, answer: Answer, is_incomplete: bool = False) -> None:
        """Write an answer. `is_incomplete`: the request is incomplete, and the rest of it is not read."""
        if self.transport is None or self.transport.is_closing():
            return
        keep_alive = self.keep_alive and self.server.lifecycle.allows_keep_alive and not is_incomplete
        head = encode_headers(answer.headers)
        if answer.retry_after_us > 0:
            head = b"%bRetry-After: %.3f\r\n" % (head, answer.retry_after_us / 1e6)
        close = b"" if keep_alive else b"Connection: close\r\n"
        self.transport.write(
            b"%bContent-Length: %d\r\n%b%b\r\n%b"
            % (STATUS_LINES[answer.status], len(answer.body), head, close, answer.body)
        )
        if keep_alive:
            self.server.idle.add(self)
        else:
            self.close()

    # --- Streaming ---------------------------------------------------------------------

    def _stream_answer(self, answer: Answer, body: BodyStream, is_incomplete: bool) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.is_answer_chunked = body.length < 0 and self.parser.get_http_version() == "1.1"
        self.keep_alive = self.keep_alive and self.server.lifecycle.allows_keep_alive and not is_incomplete
        self.keep_alive = self.keep_alive and (self.is_answer_chunked or body.length >= 0)
        framing = b"Transfer-Encoding: chunked\r\n" if self.is_answer_chunked else b""
        if body.length >= 0:
            framing = b"Content-Length: %d\r\n" % body.length
        close = b"" if self.keep_alive else b"Connection: close\r\n"
        self.answer = body
        self.transport.write(
            b"%b%b%b%b\r\n" % (STATUS_LINES[answer.status], framing, encode_headers(answer.headers), close)
        )
        body.attach(self)

    def on_data(self, data: bytes) -> None:
        """`BodySink`: write a part of the streamed answer."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.is_answer_chunked:
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self.transport.write(data)
        self.backlog.count(self.transport)

    def on_end(self, is_complete: bool) -> None:
        """`BodySink`: the streamed answer has ended; `is_complete` if all of it has arrived."""
        self.answer = None
        self.server.paused.discard(self)
        if self.transport is None or self.transport.is_closing():
            return
        if is_complete and self.is_answer_chunked:
            self.transport.write(b"0\r\n\r\n")
        if is_complete and self.keep_alive:
            self.server.idle.add(self)
            if self.pipelined and self.has_left():  # the client has closed its side after unread bytes
                self.close()
            elif self.pipelined and not has_open_window(self.transport):
                # The client may have closed its side behind bytes that have not arrived.
                self.reject(BadRequestError(503, "too much was sent behind a request"))
            elif self.pipelined:
                self._resume_pipelined()
            elif not self.server.lifecycle.allows_keep_alive:
                # A drain or a shutdown began after the answer's head was written.
                self.close_if_idle()
        elif is_complete or self.is_answer_chunked or self.keep_alive:
            # The client can still read what was written, and its framing shows whether it is complete.
            self.close()
        else:
            self.abort()

    def reject(self, error: BadRequestError) -> None:
        """Answer a rejected request with the error's status, and close the connection."""
        self.record_close(f"status {error.status}: {error}")
        self.is_closing = True
        self._abandon()
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(encode_rejection(error))
        self.close()

    def close(self) -> None:
        """Close this side after the bytes already written, and discard what still arrives until the client
        closes its side (a lingering close).
        """
        self.is_closing = True
        if self.transport is None or self.transport.is_closing():
            return
        self.server.on_closing(self)
        self.transport.write_eof()
        self.transport.resume_reading()

    def on_linger_timeout(self) -> None:
        """The client has not closed its side in time. If it is still reading its answer, allow more time."""
        if self.has_written():
            self.server.engine.event_log.count(EventKind.CLIENT_CLOSED, "not closed by the client")
            self.abort()
        elif self.transport is not None:
            self.backlog.await_progress(self, self.transport)

    def evict(self) -> None:
        """Close the connection at once to free its descriptor, and refuse an incomplete request.

        Its last byte may be on its way. The refusal is written to the socket directly, as the transport would
        buffer it until the event loop iteration ends.
        """
        self.record_close("too many connections")
        if self.received_bytes and self.call is None and not self.is_closing and self.transport is not None:
            with contextlib.suppress(OSError):
                refusal = encode_rejection(BadRequestError(503, "too many connections"))
                os.write(self.transport.get_extra_info("socket").fileno(), refusal)
        self.abort()

    def abort(self) -> None:
        """Close the connection at once. Bytes that the kernel has not taken yet are lost."""
        self.is_closing = True
        if self.transport is not None:
            self.transport.abort()

    def record_close(self, reason: str) -> None:
        """Log why this side closes the connection."""
        event_log = self.server.engine.event_log
        if event_log.admits(EventKind.CLIENT_CLOSED, reason):
            request_id = b"" if self.call is None else self.call.client_request_id
            detail = f"received={self.received_bytes}"
            event_log.write_line(EventKind.CLIENT_CLOSED, reason, request_id, detail)

    def close_if_idle(self) -> None:
        """Close the connection unless unread bytes have arrived.

        Guards a request that crosses the close: one that has arrived is served; one that arrives later is
        discarded unread, and its client sends it again on another connection.
        """
        if not self.has_unread():
            self.close()

    def is_silent(self) -> bool:
        """Whether no byte of a request has been read."""
        return not self.received_bytes

    def has_nothing_forwarded(self) -> bool:
        """Whether it waits for a request, or for the rest of a request of which no part was forwarded."""
        return self.call is None and self.answer is None and not self.is_closing

    def close_unforwarded(self) -> None:
        """Close the connection because the process stops; unread bytes that have arrived are read first.

        An incomplete request is refused: its last byte may be on its way, and no part of it was forwarded.
        """
        if self.received_bytes and not self.has_unread():
            self.reject(BadRequestError(503, STOPPING_MESSAGE))
        else:
            self.close_if_idle()

    def reject_upload(self) -> None:
        """Refuse an incomplete upload because the process stops, which also ends its attempt.

        No endpoint has received its last byte.
        """
        if self.upload is not None:
            self.reject(BadRequestError(503, STOPPING_MESSAGE))

    def on_request_timeout(self) -> None:
        """The request has not arrived in time: reject it, or close the connection if it has not begun."""
        if self.received_bytes:
            self.reject(BadRequestError(408, "the request came too slowly"))
        else:
            self.close_if_idle()
