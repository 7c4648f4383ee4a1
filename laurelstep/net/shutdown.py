"""How clients are let go: at a drain, which the process outlives, and at its graceful shutdown.

Rules that everything here serves:

1. What was taken is answered, and its answer ends the connection; none is closed before.
2. What has come when a connection is to end is read first, and served. What comes behind its end is
   dropped there and never sent on: its client sends it once more.
3. Of a half-sent request nothing was sent on. In the end it is refused, not left: its last byte may be
   on its way.
4. A stop waits for no request past 0.7 s after SIGTERM: of later ones SIGKILL may find one unanswered.
   From then on one that is not whole is refused, though its bytes still come, and an upload too.
5. The listener closes once nothing waits there that the system has accepted. Where another process has
   it too, that one accepts what waits.
6. A stop is over when no connection is left; what joins after that is cut, unread.

`STEPS` says what is done when; the steps are methods of `GracefulShutdown`.
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
# New connections come for this long after SIGTERM, and a last one gets this
# long to bring its request.
ACCEPT_S, LAST_S = 0.4, 0.15
# Where another process takes the clients: so long their next answer ends their connections,
# then they are closed. Not longer: a request may come until the last moment, and what is open
# at the end of a stop is lost unless it came within 0.7 s.
LEAVE_S: Final = 0.5
# So many pauses of the listener are waited for where no descriptor can be had at the end: rule 4.
SHORTAGE_PAUSES: Final = 6


class ClosePolicy(StrEnum):
    """Why clients are let go, which says how."""

    DRAIN = "drain"  # by a call: the process stays
    STOP = "stop"  # SIGTERM
    SUCCEEDED = "succeeded"  # the same, and another process takes the clients


# For each way: so many s after it began, the step. The end of a drain calls off what is to come of it.
STEPS: Final = {
    ClosePolicy.DRAIN: ((IDLE_CLOSE_DELAY_S, "close_idle_and_silent"), (DRAIN_S, "finish_drain")),
    ClosePolicy.STOP: ((0.0, "close_idle"), (ACCEPT_S + LAST_S, "stop_listening")),
    ClosePolicy.SUCCEEDED: ((0.0, "close_listener"), (LEAVE_S, "close_all_unforwarded")),
}


class Connection(Protocol):
    """A client's."""

    def is_silent(self) -> bool:
        """Nothing of a request was read."""

    def has_nothing_forwarded(self) -> bool:
        """It waits for a request, or for the rest of one, of which nothing was sent on."""

    def close_if_idle(self) -> None:
        """Close it, unless a request has come that was not read yet."""

    def close_unforwarded(self) -> None:
        """End it though a request is half here: that is rejected."""

    def reject_upload(self) -> None:
        """Reject a request that is streamed and not complete."""

    def reject(self, error: BadRequestError) -> None:
        """Answer by the error's status, and close behind it."""


class Connections(Protocol):
    """The server's."""

    listener: Acceptor | None

    @property
    def connections(self) -> Collection[Connection]:
        """All that are open."""

    @property
    def idle(self) -> DeadlineSweeper[Any]:
        """Those between requests."""

    @property
    def awaiting_request(self) -> DeadlineSweeper[Any]:
        """Those that owe a request, or the rest of one."""


class GracefulShutdown:
    """`on_stop` is called when a stop begins."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        lifecycle: Lifecycle,
        server: Connections,
        on_stop: Callable[[], None] | None,
    ) -> None:
        self.loop = loop
        self.lifecycle = lifecycle
        self.server = server
        self.on_stop = on_stop
        self.on_end: Callable[[], None] = lambda: None
        self.has_successor: Callable[[], bool] = lambda: False  # whether another process takes clients
        self.pending: list[asyncio.TimerHandle] = []  # the steps to come
        self.refuses_partial = False  # a request that is not whole is not waited for any more
        self.is_listener_closed = False  # the listener is, and what it had accepted has joined
        self.is_finished = False  # the process ends
        lifecycle.observers.append(self._moved)

    def stop(self, on_end: Callable[[], None]) -> None:
        """SIGTERM: serve what comes while it comes, then finish and end. A second changes nothing."""
        if not self.lifecycle.stop(self.loop.time()):
            return
        self.on_end = on_end
        if self.on_stop is not None:
            self.on_stop()
        self._begin(ClosePolicy.SUCCEEDED if self.has_successor() else ClosePolicy.STOP)

    def _moved(self) -> None:
        """The daemon's phase is another."""
        for handle in self.pending:
            handle.cancel()
        self.pending.clear()
        if self.lifecycle.phase == Phase.DRAINING:
            self._begin(ClosePolicy.DRAIN)

    def _begin(self, way: ClosePolicy) -> None:
        for seconds, name in STEPS[way]:
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
        """Clients that ask now and then have heard that their connection ends; others have not."""
        self.close_idle()
        for connection in list(self.server.awaiting_request.waiting_since):
            if connection.is_silent():
                connection.close_if_idle()

    def finish_drain(self) -> None:
        """What is half here would still be open when all have to be gone."""
        for connection in list(self.server.awaiting_request.waiting_since):
            connection.reject(BadRequestError(503, "this sidecar is being drained"))
        self.lifecycle.drained(self.loop.time())

    def stop_listening(self, turns: int = BACKLOG) -> None:
        """Guards a connection that the system has accepted, and this process not yet: it would be reset.
        A turn of the loop accepts one at least, so all that are there now are accepted in so many.
        """
        listener = self.server.listener
        if listener is None:
            return
        if turns > 0 and has_event(listener.sockets[0].fileno(), select.POLLIN, True):
            if listener.is_short:
                self.loop.call_later(
                    SHORTAGE_PAUSE_S, self.stop_listening, turns - BACKLOG // SHORTAGE_PAUSES
                )
            else:
                self.loop.call_soon(self.stop_listening, turns - 1)
            return
        self.close_listener()
        self.close_all_unforwarded()

    def close_listener(self) -> None:
        """Accept nothing more."""
        listener, self.server.listener = self.server.listener, None
        assert listener is not None
        listener.close()
        # Guards a request accepted in this very turn: its connection joins in a later one.
        self.loop.call_soon(self._listener_closed, listener)

    def _listener_closed(self, listener: Acceptor) -> None:
        if listener.connecting:
            self.loop.call_soon(self._listener_closed, listener)
            return
        self.is_listener_closed = True
        self.finish_if_done()

    def close_all_unforwarded(self) -> None:
        """No request begins any more: half-sent ones and silent clients keep nothing up. Asked again until
        all have gone: the last to join, and those of which something had come, have their turn so.
        """
        for connection in list(self.server.connections):
            if connection.has_nothing_forwarded():
                connection.close_unforwarded()
        self.finish_if_done()
        if not self.is_finished:
            self.loop.call_later(LAST_S, self.refuse_partial)

    def refuse_partial(self) -> None:
        """Guards against a request whose last byte comes later than 0.7 s after SIGTERM: with short
        deadlines SIGKILL comes before its answer.
        """
        self.refuses_partial = True
        for connection in list(self.server.connections):
            connection.reject_upload()
        self.close_all_unforwarded()

    def finish_if_done(self) -> None:
        """The shutdown is over if no connection is left."""
        if self.is_listener_closed and not self.server.connections and not self.is_finished:
            self.is_finished = True
            self.on_end()
