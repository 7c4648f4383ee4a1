"""Closes client connections at a drain, after which the process goes on, and at a graceful shutdown.

The rules:

1. Every request that was accepted is answered. Its connection is closed after the answer, not before.
2. Bytes that have arrived when a connection is to be closed are read first, and their request is served.
   Bytes that arrive after the close are discarded and never forwarded: the client sends its request again.
3. No part of an incomplete buffered request was forwarded. At the end it is refused instead of abandoned, as
   its last byte may be on its way.
4. A shutdown waits for no request longer than 0.7 s after SIGTERM, as SIGKILL could come before the answer to
   a later one. From then on, incomplete requests and uploads are refused even if their bytes still arrive.
5. The listener is closed once its backlog is empty. If another process listens on it, too, that process
   accepts the connections in the backlog.
6. A shutdown ends when no connection is left. A connection set up after that is aborted without being read.

`STEPS` lists the steps and their times; the steps are methods of `GracefulShutdown`.
"""

from __future__ import annotations

import asyncio
import select
from collections.abc import Callable, Collection
from enum import StrEnum
from typing import Any, Final, Protocol

from laurelstep.lifecycle import Lifecycle, Phase
from laurelstep.lifecycle.phases import DRAIN_S, IDLE_CLOSE_DELAY_S
from laurelstep.net.acceptor import SHORTAGE_PAUSE_S, Acceptor
from laurelstep.net.deadline_sweeper import DeadlineSweeper
from laurelstep.net.errors import BadRequestError
from laurelstep.net.message import has_event

BACKLOG: Final = 1024
# New connections are accepted for ACCEPT_AFTER_STOP_S after SIGTERM, and the last ones get LAST_REQUEST_S to
# send their request.
ACCEPT_AFTER_STOP_S, LAST_REQUEST_S = 0.4, 0.15
# If a successor process takes over the clients, connections are closed after their next answer for this long,
# then all of them. Not longer, as a request may arrive until the last moment, and one that is open at the end
# of a shutdown is lost unless it arrived within 0.7 s after SIGTERM.
SUCCESSOR_GRACE_S: Final = 0.5
# Number of pauses of the listener to wait for if no descriptor is available at the end: see rule 4.
MAX_SHORTAGE_PAUSES: Final = 6


class ClosePolicy(StrEnum):
    """Why client connections are closed, which determines the steps."""

    DRAIN = "drain"  # an operator's drain: the process goes on
    STOP = "stop"  # SIGTERM
    SUCCEEDED = "succeeded"  # SIGTERM, and a successor process takes over the clients


# For each policy, its steps: seconds after the beginning, and a method name. The end of a drain cancels the
# steps that are still to come.
STEPS: Final = {
    ClosePolicy.DRAIN: ((IDLE_CLOSE_DELAY_S, "close_idle_and_silent"), (DRAIN_S, "finish_drain")),
    ClosePolicy.STOP: ((0.0, "close_idle"), (ACCEPT_AFTER_STOP_S + LAST_REQUEST_S, "stop_listening")),
    ClosePolicy.SUCCEEDED: ((0.0, "close_listener"), (SUCCESSOR_GRACE_S, "close_all_unforwarded")),
}


class Connection(Protocol):
    """A client connection as the shutdown uses it."""

    def is_silent(self) -> bool:
        """Whether no byte of a request has been read."""

    def has_nothing_forwarded(self) -> bool:
        """Whether it waits for a request, or for the rest of a request of which no part was forwarded."""

    def close_if_idle(self) -> None:
        """Close the connection unless unread bytes have arrived."""

    def close_unforwarded(self) -> None:
        """Close the connection, but read unread bytes first; an incomplete request is rejected."""

    def reject_upload(self) -> None:
        """Reject an incomplete upload, if there is one."""

    def reject(self, error: BadRequestError) -> None:
        """Answer with the error's status, and close the connection."""


class ConnectionHolder(Protocol):
    """The server's listener and connections as the shutdown uses them."""

    listener: Acceptor | None

    @property
    def connections(self) -> Collection[Connection]:
        """All open connections."""

    @property
    def idle(self) -> DeadlineSweeper[Any]:
        """Connections between two requests."""

    @property
    def awaiting_request(self) -> DeadlineSweeper[Any]:
        """Connections without a complete request, except those with an upload."""


class GracefulShutdown:
    """Runs the steps of a drain or a shutdown. `on_stop` is called when a shutdown begins."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        lifecycle: Lifecycle,
        server: ConnectionHolder,
        on_stop: Callable[[], None] | None,
    ) -> None:
        self.loop = loop
        self.lifecycle = lifecycle
        self.server = server
        self.on_stop = on_stop
        self.on_end: Callable[[], None] = lambda: None
        # Whether a successor process accepts the clients.
        self.has_successor: Callable[[], bool] = lambda: False
        self.pending: list[asyncio.TimerHandle] = []  # timers of the steps to come
        self.refuses_incomplete = False  # incomplete requests are refused from now on
        self.is_listener_closed = False  # the listener is closed, and all connections it accepted are set up
        self.is_finished = False  # no connection is left: the process ends
        lifecycle.observers.append(self._on_phase_change)

    def stop(self, on_end: Callable[[], None]) -> None:
        """Begin a shutdown at SIGTERM and call `on_end` when it has finished. A second call does nothing."""
        if not self.lifecycle.stop(self.loop.time()):
            return
        self.on_end = on_end
        if self.on_stop is not None:
            self.on_stop()
        self._begin(ClosePolicy.SUCCEEDED if self.has_successor() else ClosePolicy.STOP)

    def _on_phase_change(self) -> None:
        """The lifecycle's phase has changed: cancel the pending steps, and begin a drain if it is one."""
        for handle in self.pending:
            handle.cancel()
        self.pending.clear()
        if self.lifecycle.phase == Phase.DRAINING:
            self._begin(ClosePolicy.DRAIN)

    def _begin(self, policy: ClosePolicy) -> None:
        for seconds, name in STEPS[policy]:
            step: Callable[[], None] = getattr(self, name)
            if seconds:
                self.pending.append(self.loop.call_later(seconds, step))
            else:
                step()

    # --- Steps ------------------------------------------------------------------------

    def close_idle(self) -> None:
        """Close the idle connections."""
        for connection in list(self.server.idle.waiting_since):
            connection.close_if_idle()

    def close_idle_and_silent(self) -> None:
        """Close the connections that are idle or have sent nothing.

        Clients that send requests now and then have already been told by an answer to close; these have not.
        """
        self.close_idle()
        for connection in list(self.server.awaiting_request.waiting_since):
            if connection.is_silent():
                connection.close_if_idle()

    def finish_drain(self) -> None:
        """End a drain: reject incomplete requests, which would keep their connections open past its end."""
        for connection in list(self.server.awaiting_request.waiting_since):
            connection.reject(BadRequestError(503, "this sidecar is being drained"))
        self.lifecycle.drained(self.loop.time())

    def stop_listening(self, iterations: int = BACKLOG) -> None:
        """Close the listener once its backlog is empty; a connection left in it would be reset.

        Each event loop iteration accepts at least one connection, so all that are waiting now are accepted
        within `iterations` of them.
        """
        listener = self.server.listener
        if listener is None:
            return
        if iterations > 0 and has_event(listener.sockets[0].fileno(), select.POLLIN, True):
            if listener.is_short:
                self.loop.call_later(
                    SHORTAGE_PAUSE_S, self.stop_listening, iterations - BACKLOG // MAX_SHORTAGE_PAUSES
                )
            else:
                self.loop.call_soon(self.stop_listening, iterations - 1)
            return
        self.close_listener()
        self.close_all_unforwarded()

    def close_listener(self) -> None:
        """Stop accepting connections."""
        listener, self.server.listener = self.server.listener, None
        assert listener is not None
        listener.close()
        # A connection accepted in this event loop iteration is set up in a later one: wait for it.
        self.loop.call_soon(self._listener_closed, listener)

    def _listener_closed(self, listener: Acceptor) -> None:
        if listener.setup_tasks:
            self.loop.call_soon(self._listener_closed, listener)
            return
        self.is_listener_closed = True
        self.finish_if_done()

    def close_all_unforwarded(self) -> None:
        """Close every connection that has no complete request, and repeat until no connection is left.

        The repetition covers connections that are set up last, and those with unread bytes.
        """
        for connection in list(self.server.connections):
            if connection.has_nothing_forwarded():
                connection.close_unforwarded()
        self.finish_if_done()
        if not self.is_finished:
            self.loop.call_later(LAST_REQUEST_S, self.refuse_incomplete)

    def refuse_incomplete(self) -> None:
        """Refuse incomplete requests and uploads from now on.

        Guards against a request whose last byte arrives later than 0.7 s after SIGTERM: with short deadlines,
        SIGKILL comes before its answer.
        """
        self.refuses_incomplete = True
        for connection in list(self.server.connections):
            connection.reject_upload()
        self.close_all_unforwarded()

    def finish_if_done(self) -> None:
        """Finish the shutdown if the listener is closed and no connection is left."""
        if self.is_listener_closed and not self.server.connections and not self.is_finished:
            self.is_finished = True
            self.on_end()
