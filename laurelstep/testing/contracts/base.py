"""Base class of the contracts: runs tests without pytest, and waits with a timeout."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any, ClassVar, TypeVar

T = TypeVar("T")


class Contract:
    """The methods named `test_...` are the tests; each sets up its own environment."""

    # How long a test waits for an event that a rule promises before it fails.
    timeout_s: ClassVar[float] = 10.0

    def failures(self) -> dict[str, Exception]:
        """Run every test. Return the errors by test name; empty if all tests pass."""
        errors: dict[str, Exception] = {}
        for name in dir(self):
            if name.startswith("test_"):
                try:
                    getattr(self, name)()
                except Exception as error:
                    errors[name] = error
        return errors

    def new_loop(self) -> asyncio.AbstractEventLoop:
        """Create the event loop of a test. Override it for another kind of loop."""
        return asyncio.new_event_loop()

    def run(self, test: Coroutine[Any, Any, None]) -> None:
        """Run a test on a new event loop. It also fails on an error in a callback, which a loop only logs."""
        raised: list[BaseException] = []

        def record_error(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
            raised.append(context.get("exception") or AssertionError(context["message"]))

        async def run_with_timeout() -> None:
            asyncio.get_running_loop().set_exception_handler(record_error)
            # Longer than `wait_for`, so that a test fails with the description of its wait.
            async with asyncio.timeout(3 * self.timeout_s):
                await test

        with asyncio.Runner(loop_factory=self.new_loop) as runner:
            try:
                runner.run(run_with_timeout())
            finally:
                if raised:
                    raise raised[0]

    async def wait_for(self, awaitable: Awaitable[T], what: str) -> T:
        """Return the result of `awaitable`. AssertionError with `what` after `timeout_s`."""
        try:
            async with asyncio.timeout(self.timeout_s):
                return await awaitable
        except TimeoutError:
            raise AssertionError(f"timed out waiting for {what}") from None


@contextmanager
def raises(error_type: type[BaseException] | tuple[type[BaseException], ...], what: str) -> Iterator[None]:
    """AssertionError unless the block raises an error of this type."""
    try:
        yield
    except error_type:
        return
    raise AssertionError(f"no error raised by {what}")


async def run_ready_callbacks(count: int = 10) -> None:
    """Let the loop run `count` iterations, before a check that something did not happen."""
    for _ in range(count):
        await asyncio.sleep(0)
