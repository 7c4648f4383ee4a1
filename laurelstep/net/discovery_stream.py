"""One HTTP response of discovery, a watch or one full list: reads its objects and detects when it stalls."""

from __future__ import annotations

import asyncio
from typing import Final, Protocol, cast

import httptools

from laurelstep.engine.ports import MemberSink
from laurelstep.net.json_stream import JsonStreamDecoder

MAX_OBJECT_BYTES: Final = 64 * 1024 * 1024  # a list of some 300,000 endpoints
# An object that arrives more slowly counts as stalled. This is a few entries a second; an object that
# trickles in for ever would hold up the changes behind it.
MIN_RATE_BYTES_PER_S: Final = 1024


class StreamOwner(Protocol):
    """The part of the interface of `Discovery` that its streams use. Durations in s."""

    loop: asyncio.AbstractEventLoop
    address: str
    generation: int
    response_timeout_s: float
    stall_timeout_s: float
    is_applying_list: bool
    sink: MemberSink | None
    streams: set[DiscoveryStream]

    def on_object(self, raw: bytearray, stream: DiscoveryStream, received_at: int | None) -> None:
        """A complete object has arrived. `received_at`: when reading was paused before it, in µs on the
        engine's clock; None if it was not. ValueError, with nothing applied, if it is no list.
        """

    def on_stream_lost(self, stream: DiscoveryStream, is_stalled: bool) -> None:
        """The stream failed or ended before `stop`; `is_stalled` if it stalled."""

    def log_limited(self, text: str) -> None:
        """Log a line for the operator, with a limit on the rate of lines."""


class DiscoveryStream(asyncio.Protocol):
    """One HTTP response of discovery: a watch, or one full list. Times in s on the loop's clock."""

    def __init__(self, owner: StreamOwner, target: str, is_watch: bool, is_renewal: bool = False) -> None:
        self.owner, self.target, self.is_watch = owner, target, is_watch
        self.address = owner.address
        self.is_renewal = is_renewal  # it replaces a stream that stalled
        self.parser = httptools.HttpResponseParser(self)
        self.decoder = JsonStreamDecoder(MAX_OBJECT_BYTES)
        self.paused_at: int | None = None  # when reading was paused, in µs on the engine's clock
        self.transport: asyncio.Transport | None = None
        self.is_closed = False  # complete, stopped or failed: a later end is not reported
        self.is_malformed = False  # it held data that can't be parsed
        self.has_head = False  # the head of the response has arrived
        self.is_complete = False  # the last byte has arrived
        self.next_read: asyncio.Handle | None = None
        self.is_current = (
            is_watch and owner.generation > 0
        )  # a list is known, so no full list has to arrive first
        self.last_progress_at = owner.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Called by asyncio: the connection is established; send the request."""
        self.transport = cast(asyncio.Transport, transport)
        if self.is_closed:
            self.transport.abort()
            return
        self.transport.write(f"GET {self.target} HTTP/1.1\r\nHost: {self.address}\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """Called by asyncio: bytes of the response have arrived."""
        if self.is_closed:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.reject(error)
        else:
            if self.next_read is None:
                self.read_objects()

    def reject(self, error: Exception) -> None:
        """Log that the response can't be parsed, and fail the stream."""
        self.owner.log_limited(f"bad line from discovery: {error}")
        self.is_malformed = True
        self.fail()

    def on_headers_complete(self) -> None:
        """Called by the parser: a head has arrived."""
        if self.parser.get_status_code() < 200:
            return  # an interim response (RFC 9110, section 15.2): the final one follows
        self.has_head = True
        self.last_progress_at = self.owner.loop.time()

    def on_body(self, data: bytes) -> None:
        """Called by the parser: bytes of the body have arrived."""
        now = self.owner.loop.time()
        if not data.isspace():
            progress_at = (
                self.last_progress_at + len(data) / MIN_RATE_BYTES_PER_S
                if self.decoder.has_partial_object
                else now
            )
            self.last_progress_at = min(progress_at, now)
        elif self.is_current and not self.decoder.has_partial_object and b"\n" in data:
            # An empty line is a heartbeat, but no progress on a list that has to arrive.
            self.last_progress_at = now
        self.decoder.feed(data)

    def on_message_complete(self) -> None:
        """Called by the parser: the last byte has arrived."""
        self.is_complete = self.has_head

    @property
    def stalls_at(self) -> float:
        """When the stream counts as stalled if nothing more arrives, in s on the loop's clock."""
        return self.last_progress_at + (
            self.owner.stall_timeout_s if self.has_head else self.owner.response_timeout_s
        )

    def read_objects(self) -> None:
        """Process the complete objects, up to one so long that the next has to wait until it is applied."""
        self.next_read = None
        if self.has_head and self.parser.get_status_code() != 200:
            self.fail()
            return
        while not self.is_closed:
            if self.owner.is_applying_list:
                if self.decoder.has_partial_object:
                    self.pause()
                return
            try:
                raw_object = self.decoder.next_object()
            except ValueError as error:
                self.reject(error)
                return
            if raw_object is not None:
                self._process(raw_object)
            elif self.decoder.has_more:  # let other callbacks of the loop run first
                self.next_read = self.owner.loop.call_soon(self.read_objects)
                return
            else:
                break
        if self.is_complete and not self.is_closed:
            self._on_truncated()

    def _on_truncated(self) -> None:
        """Guards against a response that ends without the list that was requested: its connection may stay
        open without any more data.
        """
        if self.decoder.has_partial_object:
            self.reject(ValueError("the response ends within a JSON object"))
        else:
            self.fail()

    def _process(self, raw: bytearray) -> None:
        received_at, self.paused_at = self.paused_at, None
        self.last_progress_at = self.owner.loop.time()
        try:
            self.owner.on_object(raw, self, received_at)
        except ValueError as error:
            self.reject(error)
        else:
            self.is_current = self.is_watch
            if not self.is_watch and not self.owner.is_applying_list:
                self.stop()

    def pause(self) -> None:
        """Stop reading, so that the buffered data is bounded. The next object counts as received now.
        Therefore a stream is paused only once it has data: otherwise its next list would count as received at
        the pause, however late it arrives.
        """
        if self.transport is not None and self.owner.sink is not None:
            if self.paused_at is None:
                self.paused_at = self.owner.sink.now()
            self.transport.pause_reading()

    def resume(self) -> None:
        """Continue reading, because the long list is applied."""
        if self.is_closed or self.transport is None:
            return
        self.last_progress_at = self.owner.loop.time()
        if self.paused_at is not None and not self.transport.is_closing():
            self.transport.resume_reading()
        if self.next_read is None:
            self.read_objects()

    def stop(self) -> None:
        """Close the stream without notifying its owner."""
        self.is_closed = True
        self.owner.streams.discard(self)
        if self.next_read is not None:
            self.next_read.cancel()
        if self.transport is not None:
            self.transport.abort()

    def fail(self, is_stalled: bool = False) -> None:
        """Close the stream and notify its owner, `is_stalled` if it stalled. Does nothing once closed."""
        if not self.is_closed:
            if is_stalled and self.decoder.has_partial_object:
                self.owner.log_limited("bad line from discovery: it stalled within a JSON object")
            self.stop()
            self.owner.on_stream_lost(self, is_stalled)

    def connection_lost(self, exc: Exception | None) -> None:
        """Called by asyncio: the connection is closed."""
        if self.is_watch or not self.is_complete:
            self.fail()  # a complete response to a fetch is processed even after its connection has closed
