"""Contract of the engine's `Recorder`: what must be known of a request after a restart."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from contextlib import AbstractAsyncContextManager
from typing import Protocol

from laurelstep.engine.call import Answer, Call, Ending
from laurelstep.engine.ports import Recorder
from laurelstep.testing.contracts.base import Contract, run_ready_callbacks


class RecorderIncarnations(Protocol):
    """One process after another on one durable record, each with a recorder on the running loop."""

    recorder: Recorder

    def recorded_call(self, order: str) -> Call:
        """An open request that is recorded under this name."""

    def unrecorded_call(self) -> Call:
        """An open request that is not recorded."""

    async def restart(self) -> None:
        """End the process in order; the next one has a new `recorder` on the same record."""

    def fail_writes(self) -> None:
        """Let all writes of the record fail."""


class CallProgress:
    """How far one call has come."""

    def __init__(self, call: Call) -> None:
        self.call = call
        self.taken = self.admitted = False
        self.settled: Answer | None = None
        self.delivered: Answer | None = None
        self.changed = asyncio.Event()


class EngineStandIn:
    """Takes the engine's place, and checks the order of the recorder's steps."""

    def __init__(self, incarnations: RecorderIncarnations) -> None:
        self.incarnations = incarnations
        self.calls: dict[Call, CallProgress] = {}

    # --- The recorder's calls ---------------------------------------------------------

    def admit(self, call: Call) -> None:
        """The call may run."""
        progress = self.calls[call]
        if call.is_open:
            assert not progress.admitted and progress.settled is None, "admit and settle: one of them, once"
            progress.admitted = True
            progress.changed.set()

    def settle(self, call: Call, answer: Answer) -> None:
        """The call has this answer, and does not run."""
        progress = self.calls[call]
        if call.is_open:
            assert answer.stream is None, "an answer that is still coming can't be of a record"
            call.is_open = False
            progress.settled = answer
            progress.changed.set()

    def deliver(self, call: Call, answer: Answer) -> None:
        """The answer of a finished call may leave."""
        progress = self.calls[call]
        if call.is_answer_held:
            call.is_answer_held = False
            progress.delivered = answer
            progress.changed.set()

    # --- The engine's events ------------------------------------------------------------

    def begin(self, call: Call) -> CallProgress:
        """Offer a call to the recorder."""
        progress = self.calls[call] = CallProgress(call)
        call.is_recorded = True
        call.is_recorded = progress.taken = self.incarnations.recorder.begin(call, self)
        return progress

    def begin_recorded(self, name: str) -> CallProgress:
        """Offer an open request that is recorded under this name."""
        progress = self.begin(self.incarnations.recorded_call(name))
        assert progress.taken
        return progress

    def finish(self, progress: CallProgress, answer: Answer) -> None:
        """Pass on the final answer of a call."""
        progress.call.is_open, progress.call.is_answer_held = False, True
        self.incarnations.recorder.finish(progress.call, answer, self)

    def leave(self, progress: CallProgress) -> None:
        """Let the call's client disconnect."""
        if progress.call.is_open:
            progress.call.is_open = False
            self.incarnations.recorder.on_client_left(progress.call, self)


class RecorderContract(Contract, ABC):
    """The rules:

    1. A call that `begin` does not take gets no further step.
    2. Each call that it takes and whose client stays gets one of `admit` and `settle`, whatever becomes of
       others with the same name, and also while writes fail.
    3. A call that was admitted and finished is delivered, with each ending, also while writes fail.
    4. Of calls with one name, one at a time is admitted.
    5. What was delivered as served is not admitted again, in this process or the next; what was delivered as
       rejected may be.
    """

    # What a rejected or failed call leaves to the next one of its name is not part of the contract.

    @abstractmethod
    def incarnations(self) -> AbstractAsyncContextManager[RecorderIncarnations]:
        """A first process with an empty record, on the running loop."""

    # --- Helpers ------------------------------------------------------------------------

    async def wait_for_step(self, progress: CallProgress, what: str) -> None:
        """Wait for the recorder's next step on this call."""
        await self.wait_for(progress.changed.wait(), what)
        progress.changed.clear()

    async def wait_admitted(self, progress: CallProgress) -> bool:
        """Wait for `admit` or `settle`; whether it was `admit`."""
        assert progress.taken
        await self.wait_for_step(progress, "admit or settle")
        return progress.admitted

    async def finish_and_wait(self, engine: EngineStandIn, progress: CallProgress, answer: Answer) -> Answer:
        """Finish a call, and wait for the answer that is delivered."""
        engine.finish(progress, answer)
        await self.wait_for_step(progress, f"the delivery of {answer.ending}")
        assert progress.delivered is not None
        return progress.delivered

    # --- Tests --------------------------------------------------------------------------

    def test_what_it_does_not_take_is_never_heard_of(self) -> None:
        """A call that the recorder doesn't take is neither admitted nor settled by it."""

        async def main() -> None:
            async with self.incarnations() as life:
                engine = EngineStandIn(life)
                progress = engine.begin(life.unrecorded_call())
                assert not progress.taken
                other = engine.begin_recorded("o-1")
                assert await self.wait_admitted(other)
                await run_ready_callbacks()
                assert not progress.admitted and progress.settled is None

        self.run(main())

    def test_each_ending_is_delivered(self) -> None:
        """Each kind of ending is delivered with its status and body."""

        async def main() -> None:
            async with self.incarnations() as life:
                engine = EngineStandIn(life)
                for n, answer in enumerate(
                    (
                        Answer(Ending.SERVED, 200, (), b"album"),
                        Answer(Ending.REFUSED, 503, retry_after_us=1_000),
                        Answer(Ending.FAILED, 502),
                    )
                ):
                    progress = engine.begin_recorded(f"o-{n}")
                    assert await self.wait_admitted(progress)
                    told = await self.finish_and_wait(engine, progress, answer)
                    assert (told.ending, told.status) == (answer.ending, answer.status)
                    assert told.body == answer.body

        self.run(main())

    def test_of_one_order_one_at_a_time_is_admitted(self) -> None:
        """Of concurrent calls of one order only one is admitted; the others get its answer."""

        async def main() -> None:
            async with self.incarnations() as life:
                engine = EngineStandIn(life)
                first, second, third = (engine.begin_recorded("o-1") for _ in range(3))
                assert await self.wait_admitted(first)
                await run_ready_callbacks()
                assert not second.admitted and not third.admitted
                await self.finish_and_wait(engine, first, Answer(Ending.SERVED, 200, (), b"album"))
                for progress in (second, third):
                    assert not await self.wait_admitted(progress), "sent twice"
                    assert progress.settled is not None and progress.settled.body == b"album"

        self.run(main())

    def test_what_was_served_is_not_admitted_again_nor_after_a_restart(self) -> None:
        """A served order gets its recorded answer and isn't sent again, also after a restart."""

        async def main() -> None:
            async with self.incarnations() as life:
                engine = EngineStandIn(life)
                progress = engine.begin_recorded("o-1")
                assert await self.wait_admitted(progress)
                await self.finish_and_wait(engine, progress, Answer(Ending.SERVED, 200, (), b"album"))
                for _ in range(2):
                    again = engine.begin_recorded("o-1")
                    assert not await self.wait_admitted(again), "sent twice"
                    assert again.settled is not None
                    assert (again.settled.ending, again.settled.body) == (Ending.SERVED, b"album")
                    await life.restart()

        self.run(main())

    def test_what_was_admitted_and_not_finished_is_not_admitted_by_the_next_life(self) -> None:
        """An order whose attempt may have run before a restart is settled as failed, and not sent again."""

        async def main() -> None:
            async with self.incarnations() as life:
                engine = EngineStandIn(life)
                lost = engine.begin_recorded("o-1")
                assert await self.wait_admitted(lost)
                lost.call.attempts_sent = 1  # it may run somewhere
                await life.restart()
                again = engine.begin_recorded("o-1")
                assert not await self.wait_admitted(again), "sent twice"
                assert again.settled is not None and again.settled.ending is Ending.FAILED

        self.run(main())

    def test_what_was_refused_may_be_sent_again(self) -> None:
        """An order that was refused is admitted again, also after a restart."""

        async def main() -> None:
            async with self.incarnations() as life:
                engine = EngineStandIn(life)
                progress = engine.begin_recorded("o-1")
                assert await self.wait_admitted(progress)
                await self.finish_and_wait(engine, progress, Answer(Ending.REFUSED, 503))
                await life.restart()
                assert await self.wait_admitted(engine.begin_recorded("o-1"))

        self.run(main())

    def test_those_that_wait_hear_though_the_first_leaves(self) -> None:
        """Waiting calls are answered although the admitted client leaves; a tried order isn't sent again."""

        async def main() -> None:
            for tried in (0, 1):
                async with self.incarnations() as life:
                    engine = EngineStandIn(life)
                    first = engine.begin_recorded("o-1")
                    second, third = (engine.begin_recorded("o-1") for _ in range(2))
                    assert await self.wait_admitted(first)
                    first.call.attempts_sent = tried
                    engine.leave(second)
                    engine.leave(first)
                    if await self.wait_admitted(third):
                        assert not tried, "sent twice"
                        await self.finish_and_wait(engine, third, Answer(Ending.SERVED, 200))
                    assert not second.admitted

        self.run(main())

    def test_a_client_that_leaves_at_once_does_not_hold_up_the_next(self) -> None:
        """A call that leaves before its admission gets nothing, and the next of its order is admitted."""

        async def main() -> None:
            async with self.incarnations() as life:
                engine = EngineStandIn(life)
                first = engine.begin_recorded("o-1")
                engine.leave(first)
                second = engine.begin_recorded("o-1")
                assert await self.wait_admitted(second)
                await self.finish_and_wait(engine, second, Answer(Ending.SERVED, 200))
                assert not first.admitted and first.settled is None

        self.run(main())

    def test_where_nothing_can_be_kept_everybody_hears(self) -> None:
        """While writes fail, every call is still answered."""

        async def main() -> None:
            async with self.incarnations() as life:
                engine = EngineStandIn(life)
                known = engine.begin_recorded("o-1")
                assert await self.wait_admitted(known)
                life.fail_writes()
                calls = [engine.begin_recorded(order) for order in ("o-2", "o-2", "o-3")]
                await self.finish_and_wait(engine, known, Answer(Ending.SERVED, 200, (), b"album"))
                for progress in calls:
                    if await self.wait_admitted(progress):
                        await self.finish_and_wait(engine, progress, Answer(Ending.FAILED, 502))

        self.run(main())
