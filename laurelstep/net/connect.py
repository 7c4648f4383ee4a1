"""Opening a connection: the one coroutine of a request's way, in a module of its own.

It stays plain Python where the rest is compiled: a compiled coroutine and its frame hold
each other, so that each connection would be left to the collector.
"""

from __future__ import annotations

import asyncio
import errno
from typing import Final, Protocol, cast

# What this machine has too few of: ports, buffers, descriptors. They tell nothing of the endpoint.
LOCAL_FAULTS: Final = frozenset(
    (errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENFILE, errno.EMFILE, errno.ENOMEM, errno.EAGAIN)
)


class ConnectHandler(Protocol):
    """A protocol of asyncio that is told when its connection does not come up."""

    def on_connect_failed(self, is_local_fault: bool) -> None:
        """`is_local_fault`: for a want of this machine's, and none of the endpoint's."""

    def on_connect_ended(self) -> None:
        """The attempt to connect is over, however it ended."""


def is_local_fault(error: BaseException | None) -> bool:
    """Whether a call failed for a want of this machine's."""
    return isinstance(error, OSError) and error.errno in LOCAL_FAULTS


async def open_connection(loop: asyncio.AbstractEventLoop, one: ConnectHandler, host: str, port: int) -> None:
    """It knows no time-out: who waits cancels it, and only before the connection is up. One that
    came due in the turn in which the connection was made closed that behind its protocol's back.
    """
    failure: Exception | None = None
    try:
        await loop.create_connection(lambda: cast(asyncio.Protocol, one), host, port)
    except (OSError, ValueError) as error:  # ValueError: a host that no name can have
        failure = error
    finally:
        one.on_connect_ended()
    if failure is not None:
        one.on_connect_failed(is_local_fault(failure))
