"""A body that is forwarded while it is received: a request's to an endpoint, a response's to a client.

Rules that everything here serves:

1. A stream closes once: complete, broken at its source, or abandoned by its sink. Nothing of it is
   forwarded after that.
2. What is received before there is a sink is buffered, in order, and given to the first sink. There is
   no second one: what has been forwarded is not buffered any more.
3. A sink without capacity pauses the source, so nothing between the two grows without bound.
"""

from __future__ import annotations

from typing import Protocol


class BodySource(Protocol):
    """The connection that a body is read from."""

    def pause(self) -> None:
        """Read no more until `resume`."""

    def resume(self) -> None:
        """Read on."""

    def on_abandoned(self) -> None:
        """The rest is not wanted."""


class BodySink(Protocol):
    """The connection that a body is written to."""

    def on_data(self, data: bytes) -> None:
        """The next part."""

    def on_end(self, complete: bool) -> None:
        """The end, told once; not `complete` where the source broke."""


class StreamObserver(Protocol):
    """Learns how a stream ended."""

    def on_stream_closed(self, stream: BodyStream) -> None:
        """It is closed: complete, abandoned, or neither where its source broke."""


class BodyStream:
    """The pipe between one source and one sink. `length` is that of the whole body in bytes; -1 where it
    is not known ahead.
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
        self.buffered: list[bytes] = []
        self.was_attached = False  # a sink was given what came first
        self.is_closed = False
        self.is_complete = False
        self.is_abandoned = False

    # --- The source's side ------------------------------------------------------------

    def feed(self, data: bytes) -> None:
        """The next part was received. Ignored once the stream is closed."""
        if self.is_closed:
            return
        if self.sink is None:
            self.buffered.append(data)
        else:
            self.sink.on_data(data)

    def finish(self, complete: bool) -> None:
        """The last part was received, or the source broke. Only the first call counts."""
        if self.is_closed:
            return
        self.is_closed, self.is_complete = True, complete
        self.source = None
        sink, self.sink = self.sink, None
        if sink is not None:
            sink.on_end(complete)
        self._notify_observer()

    # --- The sink's side --------------------------------------------------------------

    def attach(self, sink: BodySink) -> None:
        """Give the sink all that was buffered; what follows is given as it is received."""
        self.was_attached = True
        buffered, self.buffered = self.buffered, []
        self.sink = sink
        for part in buffered:
            sink.on_data(part)
        if self.is_closed:
            self.sink = None
            sink.on_end(self.is_complete)

    def pause(self) -> None:
        """The sink has no capacity: the source is paused."""
        if self.source is not None:
            self.source.pause()

    def resume(self) -> None:
        """The sink has capacity again."""
        if self.source is not None:
            self.source.resume()

    def abandon(self) -> None:
        """No sink wants the rest. Ignored once the stream is closed."""
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
