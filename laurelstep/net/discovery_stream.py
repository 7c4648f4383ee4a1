"""One answer of discovery, a watch or one whole list: reads its objects and judges its silence."""

from __future__ import annotations

import asyncio
from typing import Final, Protocol, cast

import httptools

from laurelstep.engine.ports import MemberSink
from laurelstep.net.json_stream import JsonStreamDecoder

MAX_OBJECT: Final = 64 * 1024 * 1024  # of some 300,000 endpoints
# An object under way counts as silent while less than this comes of it, bytes/s: some entries a second.
# What trickles for ever would starve the changes behind it.
MIN_RATE_BYTES_PER_S: Final = 1024


class StreamOwner(Protocol):
    """`Discovery`, as its streams know it. Spans in s."""

    loop: asyncio.AbstractEventLoop
    address: str
    generation: int
    answer_s: float
    silent_s: float
    busy: bool
    sink: MemberSink | None
    streams: set[DiscoveryStream]

    def on_object(self, raw: bytearray, stream: DiscoveryStream, told_at: int | None) -> None:
        """One object has come; ValueError if it is no list, before any of it is used."""

    def on_lost(self, stream: DiscoveryStream, silent: bool) -> None:
        """The stream ended, or fell silent, before it was closed from here."""

    def log_rarely(self, text: str) -> None:
        """A line for the operator, now and then."""


class DiscoveryStream(asyncio.Protocol):
    """One answer of discovery: a watch, or one whole list."""

    def __init__(self, owner: StreamOwner, target: str, watch: bool, is_renewal: bool = False) -> None:
        self.owner, self.target, self.watch = owner, target, watch
        self.address = owner.address
        self.is_renewal = is_renewal  # it was asked because the one before fell silent
        self.parser = httptools.HttpResponseParser(self)
        self.decoder = JsonStreamDecoder(MAX_OBJECT)
        self.paused_at: int | None = None  # on the engine's clock; objects since then wait
        self.transport: asyncio.Transport | None = None
        self.is_closed = False  # whole, or given up: its end says nothing
        self.is_malformed = False  # it held what can't be read
        self.answered = False  # its head has come
        self.complete = False  # its last byte has come
        self.reading: asyncio.Handle | None = None
        self.is_current = watch and owner.generation > 0  # the whole list is not owed
        self.heard_at = owner.loop.time()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """asyncio: discovery has accepted; ask it."""
        self.transport = cast(asyncio.Transport, transport)
        if self.is_closed:
            self.transport.abort()
            return
        self.transport.write(f"GET {self.target} HTTP/1.1\r\nHost: {self.address}\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """asyncio: bytes of the answer."""
        if self.is_closed:
            return
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self.reject(error)
        else:
            if self.reading is None:
                self.read()

    def reject(self, error: Exception) -> None:
        """What came can't be read: log it, and give the stream up."""
        self.owner.log_rarely(f"bad line from discovery: {error}")
        self.is_malformed = True
        self.fail()

    def on_headers_complete(self) -> None:
        """The parser: a head has come."""
        if self.parser.get_status_code() < 200:
            return  # an interim head says nothing of the answer (RFC 9110, section 15.2)
        self.answered = True
        self.heard_at = self.owner.loop.time()

    def on_body(self, data: bytes) -> None:
        """The parser: bytes of the body."""
        now = self.owner.loop.time()
        if not data.isspace():
            began = (
                self.heard_at + len(data) / MIN_RATE_BYTES_PER_S if self.decoder.has_partial_object else now
            )
            self.heard_at = min(began, now)
        elif self.is_current and not self.decoder.has_partial_object and b"\n" in data:
            self.heard_at = now  # empty lines say that a watch lives, but not that something owed still comes
        self.decoder.feed(data)

    def on_message_complete(self) -> None:
        """The parser: the last byte has come."""
        self.complete = self.answered

    @property
    def silent_at(self) -> float:
        """When it is taken for dead, should nothing more come: time of the loop, s."""
        return self.heard_at + (self.owner.silent_s if self.answered else self.owner.answer_s)

    def read(self) -> None:
        """The objects that are whole, until one is so long that the next must wait."""
        self.reading = None
        if self.answered and self.parser.get_status_code() != 200:
            self.fail()
            return
        while not self.is_closed:
            if self.owner.busy:
                if self.decoder.has_partial_object:
                    self.pause()
                return
            try:
                found = self.decoder.next_object()
            except ValueError as error:
                self.reject(error)
                return
            if found is not None:
                self._take(found)
            elif self.decoder.has_more:  # a turn of the loop for what else is ready
                self.reading = self.owner.loop.call_soon(self.read)
                return
            else:
                break
        if self.complete and not self.is_closed:
            self._on_truncated()

    def _on_truncated(self) -> None:
        """Guards against an answer that is over without what was asked for: its connection may
        stay open, and say nothing.
        """
        if self.decoder.has_partial_object:
            self.reject(ValueError("an object that stops short"))
        else:
            self.fail()

    def _take(self, raw: bytearray) -> None:
        told_at, self.paused_at = self.paused_at, None
        self.heard_at = self.owner.loop.time()
        try:
            self.owner.on_object(raw, self, told_at)
        except ValueError as error:
            self.reject(error)
        else:
            self.is_current = self.watch
            if not self.watch and not self.owner.busy:
                self.stop()

    def pause(self) -> None:
        """Read no more, so that what waits is bounded. It counts as told from now on: so nothing is
        paused before there is something, or the next list would count from then, however late it comes.
        """
        if self.transport is not None and self.owner.sink is not None:
            if self.paused_at is None:
                self.paused_at = self.owner.sink.now()
            self.transport.pause_reading()

    def resume(self) -> None:
        """Read on, once the list in hand is applied."""
        if self.is_closed or self.transport is None:
            return
        self.heard_at = self.owner.loop.time()
        if self.paused_at is not None and not self.transport.is_closing():
            self.transport.resume_reading()
        if self.reading is None:
            self.read()

    def stop(self) -> None:
        """Close it; its owner hears no more of it."""
        self.is_closed = True
        self.owner.streams.discard(self)
        if self.reading is not None:
            self.reading.cancel()
        if self.transport is not None:
            self.transport.abort()

    def fail(self, silent: bool = False) -> None:
        """Close it, and tell its owner."""
        if not self.is_closed:
            if silent and self.decoder.has_partial_object:
                self.owner.log_rarely("bad line from discovery: silent in the middle of an object")
            self.stop()
            self.owner.on_lost(self, silent)

    def connection_lost(self, exc: Exception | None) -> None:
        """asyncio: the connection is closed."""
        if self.watch or not self.complete:
            self.fail()  # a fetched list that is whole is read though its connection is over
