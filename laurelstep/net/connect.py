"""Opens a connection to an endpoint: the only coroutine on the path of a request.

This module is not compiled with mypyc: a compiled coroutine and its frame refer to each other, so each
connection would stay in memory until the garbage collector runs.
"""

from __future__ import annotations

import asyncio
import errno
from typing import Final, Protocol, cast

# Errors for lack of local ports, buffers or descriptors. They say nothing about the endpoint.
LOCAL_FAULTS: Final = frozenset(
    (errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENFILE, errno.EMFILE, errno.ENOMEM, errno.EAGAIN)
)


class ConnectHandler(Protocol):
    """An asyncio protocol that is notified when its connection cannot be established."""

    def on_connect_failed(self, is_local_fault: bool) -> None:
        """The connection was not established. `is_local_fault`: for lack of a local resource."""

    def on_connect_ended(self) -> None:
        """The attempt to connect has ended, successfully or not."""


def is_local_fault(error: BaseException | None) -> bool:
    """Whether a system call failed for lack of a local resource."""
    return isinstance(error, OSError) and error.errno in LOCAL_FAULTS


async def open_connection(
    loop: asyncio.AbstractEventLoop, protocol: ConnectHandler, host: str, port: int
) -> None:
    """Connect, and report the end of the attempt to `protocol`.

    There is no timeout here: the caller cancels the task, and only before the connection is established.
    A timeout that expired in the event loop iteration in which the connection was made would close the
    transport without notifying the protocol.
    """
    failure: Exception | None = None
    try:
        await loop.create_connection(lambda: cast(asyncio.Protocol, protocol), host, port)
    except (OSError, ValueError) as error:  # ValueError: not a valid host name
        failure = error
    finally:
        protocol.on_connect_ended()
    if failure is not None:
        protocol.on_connect_failed(is_local_fault(failure))
