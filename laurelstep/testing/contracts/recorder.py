"""The engine's `Recorder`: what must be known of a request after a restart."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from laurelstep.engine.call import Answer, Call, Ending
from laurelstep.engine.ports import Recorder
from laurelstep.testing.contracts.base import Contract, turns


class Life(Protocol):
    """A recorder on the running loop, and the requests that it is for."""

    recorder: Recorder

    def recorded(self, order: str) -> Call:
        """An open request that is recorded by this name."""

    def plain(self) -> Call:
        """An open one that is not."""

    async def restart(self) -> None:
        """The process ends in order and comes again, with a new `recorder` on what is kept."""

    def break_(self) -> None:
        """From now on nothing can be kept."""


class Seen:
    """What became of one call."""

    def __init__(self, call: Call) -> None:
        self.call = call
        self.taken = self.admitted = False
        self.settled: Answer | None = None
        self.delivered: Answer | None = None
        self.news = asyncio.Event()


class Stand:
    """Stands where the engine does, and holds a recorder to the order of its steps."""

    def __init__(self, life: Life) -> None:
        self.life = life
        self.calls: dict[Call, Seen] = {}

    # --- As the recorder knows it -----------------------------------------------------

    def admit(self, call: Call) -> None:
        seen = self.calls[call]
        if call.open:
            assert not seen.admitted and seen.settled is None, "admit and settle: one of them, once"
            seen.admitted = True
            seen.news.set()

    def settle(self, call: Call, answer: Answer) -> None:
        seen = self.calls[call]
        if call.open:
            assert answer.flow is None, "an answer that is still coming can't be of a record"
            call.open = False
            seen.settled = answer
            seen.news.set()

    def deliver(self, call: Call, answer: Answer) -> None:
        seen = self.calls[call]
        if call.held:
            call.held = False
            seen.delivered = answer
            seen.news.set()

    # --- What happens to calls ----------------------------------------------------------

    def take(self, call: Call) -> Seen:
        seen = self.calls[call] = Seen(call)
        call.recorded = True
        call.recorded = seen.taken = self.life.recorder.begin(call, self)
        return seen

    def order(self, name: str) -> Seen:
        seen = self.take(self.life.recorded(name))
        assert seen.taken
        return seen

    def finish(self, seen: Seen, answer: Answer) -> None:
        """The module's answer, on its way out."""
        seen.call.open, seen.call.held = False, True
        self.life.recorder.finish(seen.call, answer, self)

    def leave(self, seen: Seen) -> None:
        """Its client leaves."""
        if seen.call.open:
            seen.call.open = False
            self.life.recorder.gone(seen.call, self)


class RecorderContract(Contract, ABC):
    """The rules:

    1. What `begin` does not take is never heard of again.
    2. Of `admit` and `settle` one comes for each call that it takes and whose client stays, whatever
       becomes of the others that name the same order, and also where nothing can be kept.
    3. A call that was admitted and finished is delivered, with each ending, also where nothing can be kept.
    4. Of those that name one order, one at a time is admitted.
    5. What was delivered as served is not admitted again, in this life or the next; what was
       delivered as refused may be.
    """

    # What is left of a refused or failed order for the one that follows is not laid down here.

    @abstractmethod
    def life(self) -> AbstractAsyncContextManager[Life]:
        """A recorder on the loop that runs, with nothing kept."""

    # --- Helpers ------------------------------------------------------------------------

    async def until(self, seen: Seen, what: str) -> None:
        await self.soon(seen.news.wait(), what)
        seen.news.clear()

    async def told(self, seen: Seen) -> bool:
        """Whether it was admitted; else it was settled."""
        assert seen.taken
        await self.until(seen, "admit or settle")
        return seen.admitted

    async def finished(self, stand: Stand, seen: Seen, answer: Answer) -> Answer:
        stand.finish(seen, answer)
        await self.until(seen, f"the delivery of {answer.ending}")
        assert seen.delivered is not None
        return seen.delivered

    # --- Tests --------------------------------------------------------------------------

    def test_what_it_does_not_take_is_never_heard_of(self) -> None:
        async def main() -> None:
            async with self.life() as life:
                stand = Stand(life)
                seen = stand.take(life.plain())
                assert not seen.taken
                other = stand.order("o-1")
                assert await self.told(other)
                await turns()
                assert not seen.admitted and seen.settled is None

        self.run(main())

    def test_each_ending_is_delivered(self) -> None:
        async def main() -> None:
            async with self.life() as life:
                stand = Stand(life)
                for n, answer in enumerate(
                    (
                        Answer(Ending.SERVED, 200, (), b"album"),
                        Answer(Ending.REFUSED, 503, retry_after_us=1_000),
                        Answer(Ending.FAILED, 502),
                    )
                ):
                    seen = stand.order(f"o-{n}")
                    assert await self.told(seen)
                    told = await self.finished(stand, seen, answer)
                    assert (told.ending, told.status) == (answer.ending, answer.status)
                    assert told.body == answer.body

        self.run(main())

    def test_of_one_order_one_at_a_time_is_admitted(self) -> None:
        async def main() -> None:
            async with self.life() as life:
                stand = Stand(life)
                first, second, third = (stand.order("o-1") for _ in range(3))
                assert await self.told(first)
                await turns()
                assert not second.admitted and not third.admitted
                await self.finished(stand, first, Answer(Ending.SERVED, 200, (), b"album"))
                for seen in (second, third):
                    assert not await self.told(seen), "sent twice"
                    assert seen.settled is not None and seen.settled.body == b"album"

        self.run(main())

    def test_what_was_served_is_not_admitted_again_nor_after_a_restart(self) -> None:
        async def main() -> None:
            async with self.life() as life:
                stand = Stand(life)
                seen = stand.order("o-1")
                assert await self.told(seen)
                await self.finished(stand, seen, Answer(Ending.SERVED, 200, (), b"album"))
                for _ in range(2):
                    again = stand.order("o-1")
                    assert not await self.told(again), "sent twice"
                    assert again.settled is not None
                    assert (again.settled.ending, again.settled.body) == (Ending.SERVED, b"album")
                    await life.restart()

        self.run(main())

    def test_what_was_admitted_and_not_finished_is_not_admitted_by_the_next_life(self) -> None:
        async def main() -> None:
            async with self.life() as life:
                stand = Stand(life)
                lost = stand.order("o-1")
                assert await self.told(lost)
                lost.call.tried = 1  # it may run somewhere
                await life.restart()
                again = stand.order("o-1")
                assert not await self.told(again), "sent twice"
                assert again.settled is not None and again.settled.ending is Ending.FAILED

        self.run(main())

    def test_what_was_refused_may_be_sent_again(self) -> None:
        async def main() -> None:
            async with self.life() as life:
                stand = Stand(life)
                seen = stand.order("o-1")
                assert await self.told(seen)
                await self.finished(stand, seen, Answer(Ending.REFUSED, 503))
                await life.restart()
                assert await self.told(stand.order("o-1"))

        self.run(main())

    def test_those_that_wait_hear_though_the_first_leaves(self) -> None:
        async def main() -> None:
            for tried in (0, 1):
                async with self.life() as life:
                    stand = Stand(life)
                    first = stand.order("o-1")
                    second, third = (stand.order("o-1") for _ in range(2))
                    assert await self.told(first)
                    first.call.tried = tried
                    stand.leave(second)
                    stand.leave(first)
                    if await self.told(third):
                        assert not tried, "sent twice"
                        await self.finished(stand, third, Answer(Ending.SERVED, 200))
                    assert not second.admitted

        self.run(main())

    def test_a_client_that_leaves_at_once_does_not_hold_up_the_next(self) -> None:
        async def main() -> None:
            async with self.life() as life:
                stand = Stand(life)
                first = stand.order("o-1")
                stand.leave(first)
                second = stand.order("o-1")
                assert await self.told(second)
                await self.finished(stand, second, Answer(Ending.SERVED, 200))
                assert not first.admitted and first.settled is None

        self.run(main())

    def test_where_nothing_can_be_kept_everybody_hears(self) -> None:
        async def main() -> None:
            async with self.life() as life:
                stand = Stand(life)
                known = stand.order("o-1")
                assert await self.told(known)
                life.break_()
                calls = [stand.order(order) for order in ("o-2", "o-2", "o-3")]
                await self.finished(stand, known, Answer(Ending.SERVED, 200, (), b"album"))
                for seen in calls:
                    if await self.told(seen):
                        await self.finished(stand, seen, Answer(Ending.FAILED, 502))

        self.run(main())
