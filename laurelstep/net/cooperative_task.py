"""Long work on the loop, in slices with a turn of the loop after each."""

from __future__ import annotations

import time
from asyncio import AbstractEventLoop
from collections.abc import Callable, Iterator


class CooperativeTask:
    """Runs one iterator at a time: its steps go on until a slice is used up, and the next
    slice begins once the loop has served what was ready. A slice is a step at least.
    """

    def __init__(self, loop: AbstractEventLoop, slice_s: float = 0.001) -> None:
        self.loop = loop
        self.slice_s = slice_s
        self.closed = False

    def run(self, steps: Iterator[None], on_end: Callable[[Exception | None], None]) -> None:
        """`on_end` is called once, with what the steps raised; not after `close`."""
        if self.closed:
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
        """Run no further step."""
        self.closed = True
