"""What the contracts share: running without pytest, and waiting that ends."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Coroutine, Iterator
from contextlib import contextmanager
from typing import Any, ClassVar, TypeVar

T = TypeVar("T")


class Contract:
    """Tests are the methods named `test_...`; each makes what it needs anew."""

    # How long a wait for something that was promised lasts before it counts as broken, seconds.
    patience_s: ClassVar[float] = 10.0

    def failures(self) -> dict[str, Exception]:
        """Run every test; what failed, by its name. Empty where the contract is kept."""
        found: dict[str, Exception] = {}
        for name in dir(self):
            if name.startswith("test_"):
                try:
                    getattr(self, name)()
                except Exception as error:
                    found[name] = error
        return found

    def new_loop(self) -> asyncio.AbstractEventLoop:
        """The loop that each test runs on; another kind where that matters."""
        return asyncio.new_event_loop()

    def run(self, test: Coroutine[Any, Any, None]) -> None:
        """A test that needs an event loop, on one of its own. Fails with what a callback raised, too:
        the loop would only log it."""
        raised: list[BaseException] = []

        def note(loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
            raised.append(context.get("exception") or AssertionError(context["message"]))

        async def limited() -> None:
            asyncio.get_running_loop().set_exception_handler(note)
            # The tests' own waits end first and say what they waited for.
            async with asyncio.timeout(3 * self.patience_s):
                await test

        with asyncio.Runner(loop_factory=self.new_loop) as runner:
            try:
                runner.run(limited())
            finally:
                if raised:
                    raise raised[0]

    async def soon(self, awaited: Awaitable[T], what: str) -> T:
        """What was promised, or AssertionError."""
        try:
            async with asyncio.timeout(self.patience_s):
                return await awaited
        except TimeoutError:
            raise AssertionError(f"never came: {what}") from None


@contextmanager
def raises(kind: type[BaseException] | tuple[type[BaseException], ...], what: str) -> Iterator[None]:
    """AssertionError unless the block ends with such an error."""
    try:
        yield
    except kind:
        return
    raise AssertionError(f"no error: {what}")


async def turns(count: int = 10) -> None:
    """Let what is ready on the loop run: for what must not happen, and needs no time to."""
    for _ in range(count):
        await asyncio.sleep(0)
