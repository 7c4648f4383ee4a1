"""The engine's `Upstream`: attempts carried to endpoints, one outcome each."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from contextlib import AbstractAsyncContextManager
from enum import Enum
from typing import Protocol

from laurelstep.engine.call import Answer, Attempt, Call, Ending
from laurelstep.engine.ports import Upstream
from laurelstep.interface import ERROR, FULL, MOOT, NO_CONNECT, OK, RESET
from laurelstep.testing.contracts.base import Contract, turns

WAIT_US = 60_000_000
# The outcomes that an upstream may tell: the engine tells the others itself.
OUTCOMES = (OK, FULL, ERROR, RESET, NO_CONNECT, MOOT)


class Way(Enum):
    """What an endpoint does with the requests that come from now on."""

    SERVE = "runs it, and answers 200 with the body `ok`"
    TURN_AWAY = "does not run it, and says so"
    FAIL = "answers that it failed"
    DIE = "runs it, and its connection dies without an answer"
    HOLD = "runs it, and never answers"


class Stage(Protocol):
    """An upstream on the running loop, and what lies beyond it: two endpoints."""

    upstream: Upstream
    addresses: tuple[str, str]  # where each of them listens
    nowhere: str  # an address where nobody does

    def now(self) -> int:
        """The upstream's time, µs."""

    def script(self, way: Way) -> None:
        """For both endpoints."""

    async def play(self) -> None:
        """Called after each send. Done once the endpoints hold what was sent by `Way.HOLD`; for the
        others it may return at once, and the upstream tells the outcome when it comes."""

    async def noticed(self) -> None:
        """Until an endpoint has noticed that somebody no longer waits."""

    def ran(self, address: str) -> list[bytes]:
        """The names (`Call.name`) of what the endpoint there has run, in order."""


class Nobody:
    """A front that is never told: the contract is the attempts' owner."""

    def answered(self, call: Call, answer: Answer) -> None:
        raise AssertionError("an upstream has no answer for a front")


class Owner:
    """Stands where the engine does, for one attempt, and holds the upstream to its side."""

    def __init__(self, stage: Stage, name: str, endpoint: int = 1, may: bool = True) -> None:
        self.may = may
        self.steps: list[str] = []
        self.outcomes: list[tuple[int, Answer | None]] = []
        self.over = asyncio.Event()
        now = stage.now()
        head = b"Host: x\r\nX-Request-Id: %b\r\n" % name.encode()
        call = Call(0, now + WAIT_US, b"GET /page", head, b"", Nobody(), name.encode())
        self.attempt = Attempt(self, call, 0, endpoint, now, now + WAIT_US)

    def may_start(self, attempt: Attempt, now: int) -> bool:
        self.steps.append("asked")
        return self.may

    def written(self, attempt: Attempt) -> None:
        self.steps.append("written")

    def ended(self, attempt: Attempt, outcome: int, answer: Answer | None, load: bytes) -> None:
        assert attempt is self.attempt
        self.steps.append("ended")
        self.outcomes.append((outcome, answer))
        self.over.set()


class UpstreamContract(Contract, ABC):
    """The rules:

    1. An attempt has one outcome at most, and one exactly unless it was cancelled.
    2. `may_start` is asked before anything of it is written; where it says no the outcome is MOOT,
       and no endpoint hears of it.
    3. `written` is told once at most, after that question and before the outcome; an attempt that
       was answered was written. What never was connected is NO_CONNECT.
    4. An attempt is sent once: no failure makes the upstream send it again.
    5. A place that was removed or set anew gets nothing more by its old address.
    6. After `cancel` nothing is told, and the endpoint notices.
    """

    @abstractmethod
    def stage(self) -> AbstractAsyncContextManager[Stage]:
        """An upstream on the loop that runs, with two endpoints that follow `Way.SERVE`."""

    # --- Helpers ------------------------------------------------------------------------

    async def sent(self, stage: Stage, owner: Owner) -> int:
        """Its outcome, after the order of what was told has been judged."""
        stage.upstream.send(owner.attempt)
        await stage.play()
        return await self.outcome(owner)

    async def outcome(self, owner: Owner) -> int:
        await self.soon(owner.over.wait(), f"the outcome of {owner.attempt.call.name!r}")
        await turns()
        assert len(owner.outcomes) == 1, f"one outcome: {owner.steps}"
        assert owner.steps in (["ended"], ["asked", "ended"], ["asked", "written", "ended"]), owner.steps
        found, answer = owner.outcomes[0]
        assert found in OUTCOMES
        assert (answer is not None) == (found == OK)
        return found

    # --- One attempt --------------------------------------------------------------------

    def test_it_keeps_connections_for_a_time(self) -> None:
        async def main() -> None:
            async with self.stage() as stage:
                assert type(stage.upstream.idle_us) is int and stage.upstream.idle_us > 0

        self.run(main())

    def test_what_is_served_is_told_with_its_answer(self) -> None:
        async def main() -> None:
            async with self.stage() as stage:
                stage.upstream.place(1, stage.addresses[0])
                owner = Owner(stage, "one")
                assert await self.sent(stage, owner) == OK
                assert owner.steps == ["asked", "written", "ended"]
                answer = owner.outcomes[0][1]
                assert answer is not None
                assert (answer.ending, answer.status, answer.body) == (Ending.SERVED, 200, b"ok")
                assert (stage.ran(stage.addresses[0]), stage.ran(stage.addresses[1])) == ([b"one"], [])

        self.run(main())

    def test_each_way_to_fail_has_its_outcome_and_is_sent_once(self) -> None:
        async def main() -> None:
            for way, told in ((Way.TURN_AWAY, FULL), (Way.FAIL, ERROR), (Way.DIE, RESET)):
                async with self.stage() as stage:
                    stage.upstream.place(1, stage.addresses[0])
                    stage.upstream.place(2, stage.addresses[1])
                    stage.script(way)
                    owner = Owner(stage, "one")
                    assert await self.sent(stage, owner) == told, way
                    assert owner.steps == ["asked", "written", "ended"], way
                    ran = stage.ran(stage.addresses[0]) + stage.ran(stage.addresses[1])
                    assert ran == ([b"one"] if way is Way.DIE else []), way

        self.run(main())

    def test_where_nobody_listens_nothing_was_connected(self) -> None:
        async def main() -> None:
            async with self.stage() as stage:
                stage.upstream.place(1, stage.nowhere)
                owner = Owner(stage, "one")
                assert await self.sent(stage, owner) == NO_CONNECT
                assert "written" not in owner.steps

        self.run(main())

    def test_an_endpoint_without_a_place_is_not_connected(self) -> None:
        async def main() -> None:
            async with self.stage() as stage:
                assert await self.sent(stage, Owner(stage, "never")) == NO_CONNECT
                stage.upstream.place(1, stage.addresses[0])
                assert await self.sent(stage, Owner(stage, "there")) == OK
                stage.upstream.remove(1)
                stage.upstream.remove(1)
                assert await self.sent(stage, Owner(stage, "removed")) == NO_CONNECT
                assert stage.ran(stage.addresses[0]) == [b"there"]

        self.run(main())

    def test_what_may_not_start_any_more_is_moot(self) -> None:
        async def main() -> None:
            async with self.stage() as stage:
                stage.upstream.place(1, stage.addresses[0])
                for may in (False, True, False):  # on a new connection, and on one at rest
                    owner = Owner(stage, "may" if may else "may not", may=may)
                    assert await self.sent(stage, owner) == (OK if may else MOOT)
                    assert ("written" in owner.steps) == may
                assert stage.ran(stage.addresses[0]) == [b"may"]

        self.run(main())

    # --- Several ------------------------------------------------------------------------

    def test_one_after_the_other_and_many_at_once_each_run_once(self) -> None:
        async def main() -> None:
            async with self.stage() as stage:
                stage.upstream.place(1, stage.addresses[0])
                for n in range(5):
                    assert await self.sent(stage, Owner(stage, f"turn-{n}")) == OK
                many = [Owner(stage, f"once-{n}") for n in range(10)]
                for owner in many:
                    stage.upstream.send(owner.attempt)
                await stage.play()
                assert [await self.outcome(owner) for owner in many] == [OK] * 10
                ran = stage.ran(stage.addresses[0])
                assert ran[:5] == [b"turn-%d" % n for n in range(5)]
                assert sorted(ran[5:]) == [b"once-%d" % n for n in range(10)]

        self.run(main())

    def test_a_failure_does_no_harm_to_the_next(self) -> None:
        async def main() -> None:
            async with self.stage() as stage:
                stage.upstream.place(1, stage.addresses[0])
                for way in (Way.FAIL, Way.DIE, Way.TURN_AWAY):
                    stage.script(way)
                    await self.sent(stage, Owner(stage, way.name))
                    stage.script(Way.SERVE)
                    assert await self.sent(stage, Owner(stage, f"after {way.name}")) == OK

        self.run(main())

    def test_a_place_set_anew_gets_nothing_by_its_old_address(self) -> None:
        async def main() -> None:
            async with self.stage() as stage:
                old, new = stage.addresses
                stage.upstream.place(1, old)
                assert await self.sent(stage, Owner(stage, "one")) == OK
                stage.upstream.place(1, new)
                assert await self.sent(stage, Owner(stage, "two")) == OK
                stage.upstream.place(1, old)  # another process at the same address
                assert await self.sent(stage, Owner(stage, "three")) == OK
                assert (stage.ran(old), stage.ran(new)) == ([b"one", b"three"], [b"two"])

        self.run(main())

    def test_an_endpoint_freed_is_sent_to_as_before(self) -> None:
        async def main() -> None:
            async with self.stage() as stage:
                stage.upstream.free(7)  # never heard of
                stage.upstream.place(1, stage.addresses[0])
                for name in ("one", "two"):
                    assert await self.sent(stage, Owner(stage, name)) == OK
                    stage.upstream.free(1)
                assert stage.ran(stage.addresses[0]) == [b"one", b"two"]

        self.run(main())

    # --- Leaving ------------------------------------------------------------------------

    def test_after_cancel_nothing_is_told_and_the_endpoint_notices(self) -> None:
        async def main() -> None:
            async with self.stage() as stage:
                stage.upstream.place(1, stage.addresses[0])
                stage.script(Way.HOLD)
                owner = Owner(stage, "held")
                stage.upstream.send(owner.attempt)
                await stage.play()
                assert owner.steps == ["asked", "written"]
                stage.upstream.cancel(owner.attempt)
                await self.soon(stage.noticed(), "an endpoint that notices a cancelled attempt")
                await turns()
                assert owner.outcomes == []
                stage.upstream.cancel(owner.attempt)  # it is not out any more
                stage.script(Way.SERVE)
                assert await self.sent(stage, Owner(stage, "next")) == OK
                assert stage.ran(stage.addresses[0]) == [b"held", b"next"]

        self.run(main())

    def test_an_attempt_cancelled_at_once_is_never_told_of(self) -> None:
        async def main() -> None:
            async with self.stage() as stage:
                stage.upstream.place(1, stage.addresses[0])
                owner = Owner(stage, "left")
                stage.upstream.send(owner.attempt)
                stage.upstream.cancel(owner.attempt)
                assert await self.sent(stage, Owner(stage, "next")) == OK
                assert owner.outcomes == []
                assert stage.ran(stage.addresses[0]) in ([b"next"], [b"left", b"next"])

        self.run(main())

    def test_a_place_removed_lets_what_is_out_end(self) -> None:
        async def main() -> None:
            async with self.stage() as stage:
                stage.upstream.place(1, stage.addresses[0])
                owners = [Owner(stage, f"out-{n}") for n in range(3)]
                for owner in owners:
                    stage.upstream.send(owner.attempt)
                await stage.play()
                stage.upstream.remove(1)
                for owner in owners:
                    assert await self.outcome(owner) in (OK, RESET, NO_CONNECT)

        self.run(main())
