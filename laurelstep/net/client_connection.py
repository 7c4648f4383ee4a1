"""One connection of a client: writes final answers, and says how the connection ends.

`net.shutdown` says when connections end.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
from http import HTTPStatus
from typing import Any, Final, cast

from laurelstep.engine.body_stream import BodyStream
from laurelstep.engine.call import Answer, Call
from laurelstep.net.errors import BadRequestError
from laurelstep.net.message import encode_headers
from laurelstep.net.request_receiver import STOPS, RequestReceiver
from laurelstep.net.server_state import ServerState

REASONS: Final = {status.value: status.phrase.encode() for status in HTTPStatus}
START_LINES: Final = {status: b"HTTP/1.1 %d %b\r\n" % (status, reason) for status, reason in REASONS.items()}


def rejection(error: BadRequestError) -> bytes:
    """The whole answer that says so, and ends the connection."""
    text = f"{error}\n".encode()
    return (
        b"HTTP/1.1 %d %b\r\nContent-Type: text/plain\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%b"
        % (error.status, REASONS[error.status], len(text), text)
    )


class ClientConnection(RequestReceiver):
    """One connection of a client; one request is read, and answered, at a time.

    An `asyncio.Protocol` in all but the base class: compiled, one with a base that is
    not compiled would lose its fixed layout.
    """

    def __init__(self, server: ServerState[Any]) -> None:
        super().__init__(server)
        self.chunked = False  # the answer goes out in chunks

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio: the client has connected."""
        self.transport = cast(asyncio.Transport, transport)
        self.server.on_connect(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio: the connection is closed; what was owed on it is given up."""
        self.closing = True
        self.parser = None  # it holds this object's methods: the cycle ends here
        self.parsed = None  # a call that was not complete holds this object, too
        self._abandon()
        answer, self.answer = self.answer, None
        if answer is not None:
            answer.abandon()
        self.server.on_disconnect(self)

    def eof_received(self) -> None:
        """The client has ended its side, so it has gone: the protocol knows no client that waits on for its
        answer. The transport closes, but tells so a turn later, behind timers that may send the request.
        """
        self.closing = True
        self._abandon()

    def pause_writing(self) -> None:
        """asyncio: the client does not read its answer."""
        self.server.write_stalled.add(self)
        if self.answer is not None:
            self.answer.pause()

    def resume_writing(self) -> None:
        """asyncio: the client reads again."""
        if not self.closing:  # an end that waits for this keeps its bound
            self.server.write_stalled.discard(self)
        if self.answer is not None:
            self.answer.resume()

    # --- Writing --------------------------------------------------------------------

    def on_answer(self, call: Call, answer: Answer) -> None:
        """The final answer to the call in hand, as `engine.call.Frontend` has it."""
        self.call = None
        unread = self.upload is not None
        self._release_body()
        if answer.stream is not None:
            self._stream_answer(answer, answer.stream, unread)
        else:
            self.write_answer(answer, unread)

    def write_answer(self, answer: Answer, unread: bool = False) -> None:
        """`unread`: more of the request may come, and is not waited for."""
        if self.transport is None or self.transport.is_closing():
            return
        keep = self.keep_alive and self.server.lifecycle.allows_keep_alive and not unread
        head = encode_headers(answer.headers)
        if answer.retry_after_us > 0:
            head = b"%bRetry-After: %.3f\r\n" % (head, answer.retry_after_us / 1e6)
        close = b"" if keep else b"Connection: close\r\n"
        self.transport.write(
            b"%bContent-Length: %d\r\n%b%b\r\n%b"
            % (START_LINES[answer.status], len(answer.body), head, close, answer.body)
        )
        if keep:
            self.server.idle.add(self)
        else:
            self.close()

    # --- Streaming ---------------------------------------------------------------------

    def _stream_answer(self, answer: Answer, flow: BodyStream, unread: bool) -> None:
        if self.transport is None or self.transport.is_closing():
            return
        self.chunked = flow.length < 0 and self.parser.get_http_version() == "1.1"
        self.keep_alive = self.keep_alive and self.server.lifecycle.allows_keep_alive and not unread
        self.keep_alive = self.keep_alive and (self.chunked or flow.length >= 0)
        framing = b"Transfer-Encoding: chunked\r\n" if self.chunked else b""
        if flow.length >= 0:
            framing = b"Content-Length: %d\r\n" % flow.length
        close = b"" if self.keep_alive else b"Connection: close\r\n"
        self.answer = flow
        self.transport.write(
            b"%b%b%b%b\r\n" % (START_LINES[answer.status], framing, encode_headers(answer.headers), close)
        )
        flow.attach(self)

    def on_data(self, data: bytes) -> None:
        """A part of an answer that is streamed, as `engine.body_stream.BodySink` has it."""
        if self.transport is None or self.transport.is_closing():
            return
        if self.chunked:
            self.transport.write(b"%x\r\n%b\r\n" % (len(data), data))
        else:
            self.transport.write(data)

    def on_end(self, complete: bool) -> None:
        """The end of an answer that is streamed."""
        self.answer = None
        self.server.paused.discard(self)
        if self.transport is None or self.transport.is_closing():
            return
        if complete and self.chunked:
            self.transport.write(b"0\r\n\r\n")
        if complete and self.keep_alive:
            self.server.idle.add(self)
            if self.pipelined and self.has_left():  # its end lay behind what was not read
                self.close()
            elif self.pipelined:
                self._resume_pipelined()
            elif not self.server.lifecycle.allows_keep_alive:  # it did when the answer's head was written
                self.close_if_idle()
        elif complete or self.chunked or self.keep_alive:
            # What has been given is still read; that it is not complete shows in its framing.
            self.close()
        else:
            self.abort()

    def reject(self, error: BadRequestError) -> None:
        """A plain 4xx, then the end."""
        self.closing = True
        self._abandon()
        if self.transport is None or self.transport.is_closing():
            return
        self.transport.write(rejection(error))
        self.close()

    def close(self) -> None:
        """A lingering close: this side ends behind what is written, what still comes is dropped, and the
        client's own end closes the connection.
        """
        self.closing = True
        if self.transport is None or self.transport.is_closing():
            return
        self.server.on_closing(self)
        self.transport.write_eof()
        self.transport.resume_reading()

    def on_linger_timeout(self) -> None:
        """A client that still takes its answer has as long as any that reads slowly."""
        if self.has_written():
            self.abort()
        else:
            self.server.write_stalled.add(self)

    def evict(self) -> None:
        """Its descriptor is freed at once. The last byte of a half-sent request may be on its way: it is
        refused past the transport, which would keep the bytes until the turn ends.
        """
        if self.received and self.call is None and not self.closing and self.transport is not None:
            with contextlib.suppress(OSError):
                refusal = rejection(BadRequestError(503, "too many connections"))
                os.write(self.transport.get_extra_info("socket").fileno(), refusal)
        self.abort()

    def abort(self) -> None:
        """Close it at once; what is not with the system yet is lost."""
        self.closing = True
        if self.transport is not None:
            self.transport.abort()

    def close_if_idle(self) -> None:
        """Guards a request that crosses the end of its connection: one that has come is
        served; what comes behind the close is sent once more by its connection.
        """
        if not self.has_unread():
            self.close()

    def is_silent(self) -> bool:
        """Whether nothing of a request has come."""
        return not self.received

    def has_nothing_forwarded(self) -> bool:
        """Whether it waits for a request, or for the rest of one, of which no endpoint had anything."""
        return self.call is None and self.answer is None and not self.closing

    def close_unforwarded(self) -> None:
        """The process stops. What has come is read first. Of a half-sent request the last byte may be on its
        way: it is refused, as nothing of it was sent on.
        """
        if self.received and not self.has_unread():
            self.reject(BadRequestError(503, STOPS))
        else:
            self.close_if_idle()

    def reject_upload(self) -> None:
        """The process stops. No endpoint has the last byte of an upload that is not whole: it is refused,
        and its attempt ends.
        """
        if self.upload is not None:
            self.reject(BadRequestError(503, STOPS))

    def on_request_timeout(self) -> None:
        """The request did not come in time; a client that sent none is just left."""
        if self.received:
            self.reject(BadRequestError(408, "the request came too slowly"))
        else:
            self.close_if_idle()
