"""Base of the contracts: running without pytest, and waits that end."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any, ClassVar, TypeVar

T = TypeVar("T")


class Contract:
    """Tests are the methods named `test_...`; each sets up what it needs anew."""

    # How long a test waits for what a rule promises before it counts as broken.
    timeout_s: ClassVar[float] = 10.0

    def failures(self) -> dict[str, Exception]:
        """Run every test; the errors by test name. Empty where the contract holds."""
        found: dict[str, Exception] = {}
        for name in dir(self):
            if name.startswith("test_"):
                try:
                    getattr(self, name)()
                except Exception as error:
                    found[name] = error
        return found

    def new_loop(self) -> asyncio.AbstractEventLoop:
        """The loop that each test runs on. Override it for another kind of loop."""
        return asyncio.new_event_loop()

    def run(self, test: Coroutine[Any, Any, None]) -> None:
        """Run a test on an event loop of its own. An error in a callback, which a loop would only log, fails
        it too.
        """
        raised: list[BaseException] = []

        def note(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
            raised.append(context.get("exception") or AssertionError(context["message"]))

        async def limited() -> None:
            asyncio.get_running_loop().set_exception_handler(note)
            # The tests' own waits end first, and name what they waited for.
            async with asyncio.timeout(3 * self.timeout_s):
                await test

        with asyncio.Runner(loop_factory=self.new_loop) as runner:
            try:
                runner.run(limited())
            finally:
                if raised:
                    raise raised[0]

    async def wait_for(self, awaitable: Awaitable[T], what: str) -> T:
        """The result of `awaitable`; AssertionError that names it if it takes longer than `timeout_s`."""
        try:
            async with asyncio.timeout(self.timeout_s):
                return await awaitable
        except TimeoutError:
            raise AssertionError(f"never came: {what}") from None


@contextmanager
def raises(kind: type[BaseException] | tuple[type[BaseException], ...], what: str) -> Iterator[None]:
    """AssertionError unless the block ends with an error of this kind."""
    try:
        yield
    except kind:
        return
    raise AssertionError(f"no error: {what}")


async def run_ready_callbacks(count: int = 10) -> None:
    """Give the loop `count` turns, before a check that something did not happen."""
    for _ in range(count):
        await asyncio.sleep(0)
