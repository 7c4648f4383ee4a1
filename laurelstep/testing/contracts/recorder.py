"""Contract of the engine's `Recorder`, the durable record of requests and their answers."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from laurelstep.engine.call import Answer, Call, Ending
from laurelstep.engine.ports import Recorder
from laurelstep.testing.contracts.base import Contract, run_ready_callbacks


class RecorderIncarnations(Protocol):
    """Successive processes on one durable record, each with a recorder on the running loop."""

    recorder: Recorder

    def recorded_call(self, order: str) -> Call:
        """Create a call that is recorded under this order id."""

    def unrecorded_call(self) -> Call:
        """Create a call that is not recorded."""

    async def restart(self) -> None:
        """Stop the process cleanly, and start the next one with a new `recorder` on the same record."""

    def fail_writes(self) -> None:
        """Let all further writes of the record fail."""


class CallProgress:
    """The recorder's steps on one call."""

    def __init__(self, call: Call) -> None:
        self.call = call
        self.is_taken = self.is_admitted = False
        self.settled_answer: Answer | None = None
        self.delivered_answer: Answer | None = None
        self.changed = asyncio.Event()


class EngineStandIn:
    """Replaces the engine, and checks the order of the recorder's steps."""

    def __init__(self, incarnations: RecorderIncarnations) -> None:
        self.incarnations = incarnations
        self.calls: dict[Call, CallProgress] = {}

    # --- The recorder's calls ---------------------------------------------------------

    def admit(self, call: Call) -> None:
        """The recorder admits the call: it may be sent."""
        progress = self.calls[call]
        if call.is_open:
            assert not progress.is_admitted and progress.settled_answer is None, "admitted or settled twice"
            progress.is_admitted = True
            progress.changed.set()

    def settle(self, call: Call, answer: Answer) -> None:
        """The recorder answers the call, which is not sent."""
        progress = self.calls[call]
        if call.is_open:
            assert answer.stream is None, "a recorded answer can't be a stream"
            call.is_open = False
            progress.settled_answer = answer
            progress.changed.set()

    def deliver(self, call: Call, answer: Answer) -> None:
        """The recorder releases the answer of a finished call."""
        progress = self.calls[call]
        if call.is_answer_held:
            call.is_answer_held = False
            progress.delivered_answer = answer
            progress.changed.set()

    # --- The engine's events ------------------------------------------------------------

    def begin(self, call: Call) -> CallProgress:
        """Pass a new call to the recorder."""
        progress = self.calls[call] = CallProgress(call)
        call.is_recorded = True
        call.is_recorded = progress.is_taken = self.incarnations.recorder.begin(call, self)
        return progress

    def begin_recorded(self, order: str) -> CallProgress:
        """Pass a new call of this order to the recorder, which must take it."""
        progress = self.begin(self.incarnations.recorded_call(order))
        assert progress.is_taken
        return progress

    def finish(self, progress: CallProgress, answer: Answer) -> None:
        """Pass the final answer of a call to the recorder."""
        progress.call.is_open, progress.call.is_answer_held = False, True
        self.incarnations.recorder.finish(progress.call, answer, self)

    def disconnect(self, progress: CallProgress) -> None:
        """Disconnect the call's client."""
        if progress.call.is_open:
            progress.call.is_open = False
            self.incarnations.recorder.on_client_left(progress.call, self)


class RecorderContract(Contract, ABC):
    """The rules:

    1. A call that `begin` does not take gets no further step.
    2. Each call that it takes and whose client stays connected gets one of `admit` and `settle`, whatever
       happens to other calls of the same order, and also while writes fail.
    3. A call that was admitted and finished is delivered, with each ending, also while writes fail.
    4. Of the calls of one order, one at a time is admitted.
    5. An order that was delivered as served is not admitted again, in this process or the next; one that was
       delivered as refused may be.
    """

    # How a refused or failed call affects the next one of its order is not part of the contract.

    @abstractmethod
    def incarnations(self) -> AbstractAsyncContextManager[RecorderIncarnations]:
        """Create the first process, with an empty record, on the running loop."""

    # --- Helpers ------------------------------------------------------------------------

    async def wait_for_step(self, progress: CallProgress, what: str) -> None:
        """Wait for the recorder's next step on this call."""
        await self.wait_for(progress.changed.wait(), what)
        progress.changed.clear()

    async def wait_admitted(self, progress: CallProgress) -> bool:
        """Wait for `admit` or `settle`. True if it was `admit`."""
        assert progress.is_taken
        await self.wait_for_step(progress, "`admit` or `settle`")
        return progress.is_admitted

    async def finish_and_wait(self, engine: EngineStandIn, progress: CallProgress, answer: Answer) -> Answer:
        """Finish a call, and return the answer that is delivered."""
        engine.finish(progress, answer)
        await self.wait_for_step(progress, f"the delivery of {answer.ending}")
        assert progress.delivered_answer is not None
        return progress.delivered_answer

    # --- Tests --------------------------------------------------------------------------

    def test_a_call_not_taken_is_neither_admitted_nor_settled(self) -> None:
        """A call that the recorder does not take is neither admitted nor settled by it."""

        async def main() -> None:
            async with self.incarnations() as harness:
                engine = EngineStandIn(harness)
                progress = engine.begin(harness.unrecorded_call())
                assert not progress.is_taken
                other = engine.begin_recorded("o-1")
                assert await self.wait_admitted(other)
                await run_ready_callbacks()
                assert not progress.is_admitted and progress.settled_answer is None

        self.run(main())

    def test_each_ending_is_delivered(self) -> None:
        """Each kind of ending is delivered with its status and body."""

        async def main() -> None:
            async with self.incarnations() as harness:
                engine = EngineStandIn(harness)
                for n, answer in enumerate(
                    (
                        Answer(Ending.SERVED, 200, (), b"album"),
                        Answer(Ending.REFUSED, 503, retry_after_us=1_000),
                        Answer(Ending.FAILED, 502),
                    )
                ):
                    progress = engine.begin_recorded(f"o-{n}")
                    assert await self.wait_admitted(progress)
                    delivered = await self.finish_and_wait(engine, progress, answer)
                    assert (delivered.ending, delivered.status) == (answer.ending, answer.status)
                    assert delivered.body == answer.body

        self.run(main())

    def test_one_call_of_an_order_at_a_time_is_admitted(self) -> None:
        """Of concurrent calls of one order only one is admitted; the others get its answer."""

        async def main() -> None:
            async with self.incarnations() as harness:
                engine = EngineStandIn(harness)
                first, second, third = (engine.begin_recorded("o-1") for _ in range(3))
                assert await self.wait_admitted(first)
                await run_ready_callbacks()
                assert not second.is_admitted and not third.is_admitted
                await self.finish_and_wait(engine, first, Answer(Ending.SERVED, 200, (), b"album"))
                for progress in (second, third):
                    assert not await self.wait_admitted(progress), "sent twice"
                    assert progress.settled_answer is not None and progress.settled_answer.body == b"album"

        self.run(main())

    def test_a_served_order_is_not_admitted_again(self) -> None:
        """A served order gets its recorded answer and is not sent again, also after a restart."""

        async def main() -> None:
            async with self.incarnations() as harness:
                engine = EngineStandIn(harness)
                progress = engine.begin_recorded("o-1")
                assert await self.wait_admitted(progress)
                await self.finish_and_wait(engine, progress, Answer(Ending.SERVED, 200, (), b"album"))
                for _ in range(2):
                    again = engine.begin_recorded("o-1")
                    assert not await self.wait_admitted(again), "sent twice"
                    assert again.settled_answer is not None
                    assert (again.settled_answer.ending, again.settled_answer.body) == (
                        Ending.SERVED,
                        b"album",
                    )
                    await harness.restart()

        self.run(main())

    def test_an_unfinished_order_is_not_admitted_after_a_restart(self) -> None:
        """An order whose attempt may have run before a restart is settled as failed, and not sent again."""

        async def main() -> None:
            async with self.incarnations() as harness:
                engine = EngineStandIn(harness)
                interrupted = engine.begin_recorded("o-1")
                assert await self.wait_admitted(interrupted)
                interrupted.call.attempts_sent = 1  # an endpoint may be executing it
                await harness.restart()
                again = engine.begin_recorded("o-1")
                assert not await self.wait_admitted(again), "sent twice"
                assert again.settled_answer is not None and again.settled_answer.ending is Ending.FAILED

        self.run(main())

    def test_a_refused_order_is_admitted_again(self) -> None:
        """An order that was refused is admitted again after a restart."""

        async def main() -> None:
            async with self.incarnations() as harness:
                engine = EngineStandIn(harness)
                progress = engine.begin_recorded("o-1")
                assert await self.wait_admitted(progress)
                await self.finish_and_wait(engine, progress, Answer(Ending.REFUSED, 503))
                await harness.restart()
                assert await self.wait_admitted(engine.begin_recorded("o-1"))

        self.run(main())

    def test_waiting_calls_are_answered_if_the_first_client_disconnects(self) -> None:
        """Waiting calls are answered if the admitted one's client leaves; nothing is sent a second time."""

        async def main() -> None:
            for attempts_sent in (0, 1):
                async with self.incarnations() as harness:
                    engine = EngineStandIn(harness)
                    first = engine.begin_recorded("o-1")
                    second, third = (engine.begin_recorded("o-1") for _ in range(2))
                    assert await self.wait_admitted(first)
                    first.call.attempts_sent = attempts_sent
                    engine.disconnect(second)
                    engine.disconnect(first)
                    if await self.wait_admitted(third):
                        assert not attempts_sent, "sent twice"
                        await self.finish_and_wait(engine, third, Answer(Ending.SERVED, 200))
                    assert not second.is_admitted

        self.run(main())

    def test_a_client_that_disconnects_at_once_does_not_block_the_next(self) -> None:
        """A call whose client leaves before admission gets no step, and the next of its order is admitted."""

        async def main() -> None:
            async with self.incarnations() as harness:
                engine = EngineStandIn(harness)
                first = engine.begin_recorded("o-1")
                engine.disconnect(first)
                second = engine.begin_recorded("o-1")
                assert await self.wait_admitted(second)
                await self.finish_and_wait(engine, second, Answer(Ending.SERVED, 200))
                assert not first.is_admitted and first.settled_answer is None

        self.run(main())

    def test_every_call_is_answered_while_writes_fail(self) -> None:
        """While writes fail, every call is still answered."""

        async def main() -> None:
            async with self.incarnations() as harness:
                engine = EngineStandIn(harness)
                admitted = engine.begin_recorded("o-1")
                assert await self.wait_admitted(admitted)
                harness.fail_writes()
                calls = [engine.begin_recorded(order) for order in ("o-2", "o-2", "o-3")]
                await self.finish_and_wait(engine, admitted, Answer(Ending.SERVED, 200, (), b"album"))
                for progress in calls:
                    if await self.wait_admitted(progress):
                        await self.finish_and_wait(engine, progress, Answer(Ending.FAILED, 502))

        self.run(main())
