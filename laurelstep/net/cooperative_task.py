"""Runs long work on the event loop in short slices, so that other callbacks run in between."""

from __future__ import annotations

import time
from asyncio import AbstractEventLoop
from collections.abc import Callable, Iterator


class CooperativeTask:
    """Advances an iterator in slices of `slice_s` seconds, at least one step each.

    The next slice begins in a later iteration of the event loop.
    """

    def __init__(self, loop: AbstractEventLoop, slice_s: float = 0.001) -> None:
        self.loop = loop
        self.slice_s = slice_s
        self.is_closed = False

    def run(self, steps: Iterator[None], on_end: Callable[[Exception | None], None]) -> None:
        """Run all steps, then call `on_end` with the exception raised or None; neither after `close`."""
        if self.is_closed:
            return
        end = time.monotonic() + self.slice_s
        try:
            for _ in steps:
                if time.monotonic() >= end:
                    self.loop.call_soon(self.run, steps, on_end)
                    return
        except Exception as error:
            on_end(error)
        else:
            on_end(None)

    def close(self) -> None:
        """Run no further steps."""
        self.is_closed = True
