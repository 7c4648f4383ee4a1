"""A body that is forwarded while it is received: a request's to an endpoint, a response's to a client.

Rules of this module:

1. A stream closes once: complete, broken at its source, or abandoned by its sink. Nothing is forwarded
   after that.
2. Data that is received before a sink is attached is buffered in one piece, and given to that sink. There
   can be no second sink, because data that was forwarded is no longer buffered.
3. A sink without capacity pauses the source, so that no buffer between the two grows without bound.
"""

from __future__ import annotations

from typing import Protocol


class BodySource(Protocol):
    """The connection that a body is read from."""

    def pause(self) -> None:
        """Stop reading until `resume`."""

    def resume(self) -> None:
        """Continue reading."""

    def on_abandoned(self) -> None:
        """The sink does not want the rest of the body. Called at most once."""


class BodySink(Protocol):
    """The connection that a body is written to."""

    def on_data(self, data: bytes) -> None:
        """The next part of the body was received."""

    def on_end(self, is_complete: bool) -> None:
        """The body has ended; not `is_complete` if its source broke. Called once."""


class StreamObserver(Protocol):
    """Is notified when a stream closes."""

    def on_stream_closed(self, stream: BodyStream) -> None:
        """The stream is closed: complete, abandoned, or neither of them if its source broke."""


class BodyStream:
    """Forwards a body from one source to one sink. `length`: bytes of the whole body; -1 if it is not known
    in advance.
    """

    __slots__ = (
        "buffered",
        "is_abandoned",
        "is_closed",
        "is_complete",
        "length",
        "observer",
        "sink",
        "source",
        "was_attached",
    )  # fmt: skip

    def __init__(self, source: BodySource, length: int) -> None:
        self.source: BodySource | None = source
        self.length = length
        self.sink: BodySink | None = None
        self.observer: StreamObserver | None = None
        self.buffered: list[bytearray] = []  # one item at most
        self.was_attached = False  # a sink has received the beginning of the body
        self.is_closed = False
        self.is_complete = False
        self.is_abandoned = False

    # Called by the source

    def feed(self, data: bytes) -> None:
        """Forward or buffer the next part of the body. Ignored once the stream is closed."""
        if self.is_closed:
            return
        if self.sink is None:
            self._buffer(data)
        else:
            self.sink.on_data(data)

    def _buffer(self, data: bytes) -> None:
        if self.buffered:
            self.buffered[0].extend(data)
        else:
            self.buffered.append(bytearray(data))

    def finish(self, is_complete: bool) -> None:
        """Close the stream, because its last part was received or its source broke. Only the first call
        counts.
        """
        if self.is_closed:
            return
        self.is_closed, self.is_complete = True, is_complete
        self.source = None
        sink, self.sink = self.sink, None
        if sink is not None:
            sink.on_end(is_complete)
        self._notify_observer()

    # Called by the sink

    def attach(self, sink: BodySink) -> None:
        """Give the sink all buffered data, and later data as it is received. Called at most once."""
        self.was_attached = True
        buffered, self.buffered = self.buffered, []
        self.sink = sink
        for part in buffered:
            sink.on_data(bytes(part))
        if self.is_closed:
            self.sink = None
            sink.on_end(self.is_complete)

    def pause(self) -> None:
        """Pause the source, because the sink has no capacity."""
        if self.source is not None:
            self.source.pause()

    def resume(self) -> None:
        """Resume the source, because the sink has capacity again."""
        if self.source is not None:
            self.source.resume()

    def abandon(self) -> None:
        """Close the stream without its rest. Ignored once the stream is closed."""
        if self.is_closed:
            return
        self.is_closed = self.is_abandoned = True
        source, self.source, self.sink = self.source, None, None
        self.buffered = []
        if source is not None:
            source.on_abandoned()
        self._notify_observer()

    def _notify_observer(self) -> None:
        observer, self.observer = self.observer, None
        if observer is not None:
            observer.on_stream_closed(self)
