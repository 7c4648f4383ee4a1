"""Contract of the engine's `Upstream`: attempts carried to endpoints, one outcome each."""

from __future__ import annotations

import asyncio
from abc import ABC, abstractmethod
from contextlib import AbstractAsyncContextManager
from enum import Enum
from typing import Protocol

from laurelstep.balancing.events import ERROR, FULL, NO_CONNECT, NOT_SENT, OK, RESET
from laurelstep.engine.call import Answer, Attempt, Call, Ending
from laurelstep.engine.ports import Upstream
from laurelstep.testing.contracts.base import Contract, run_ready_callbacks

WAIT_US = 60_000_000
# The outcomes that an upstream may report; the engine reports the others itself.
OUTCOMES = (OK, FULL, ERROR, RESET, NO_CONNECT, NOT_SENT)


class EndpointBehaviour(Enum):
    """What an endpoint does with requests."""

    SERVE = "executes it, and answers 200 with the body `ok`"
    REJECT = "does not execute it, and says so"
    FAIL = "answers that it failed"
    RESET = "executes it, and resets the connection without an answer"
    HOLD = "executes it, and never answers"


class UpstreamEnvironment(Protocol):
    """An upstream on the running loop, and two endpoints."""

    upstream: Upstream
    addresses: tuple[str, str]  # of the two endpoints
    closed_address: str  # an address where nobody listens

    def now(self) -> int:
        """The upstream's time, µs."""

    def set_behaviour(self, behaviour: EndpointBehaviour) -> None:
        """Let both endpoints do this from now on."""

    async def wait_sent(self) -> None:
        """Wait, after a send, until the endpoints have what they hold by `EndpointBehaviour.HOLD`.

        For other behaviours it may return at once; the upstream reports the outcome when it comes.
        """

    async def wait_noticed(self) -> None:
        """Wait until an endpoint has noticed that nobody waits for an answer any more."""

    def executed(self, address: str) -> list[bytes]:
        """The names (`Call.name`) of what the endpoint at this address has executed, in order."""


class UnusedFrontend:
    """A frontend that gets no answer: the contract owns the attempts."""

    def on_answer(self, call: Call, answer: Answer) -> None:
        """Fail: only the engine answers a frontend."""
        raise AssertionError("an upstream has no answer for a frontend")


class AttemptOwner:
    """Takes the engine's place for one attempt, and records the upstream's steps."""

    def __init__(
        self, environment: UpstreamEnvironment, name: str, endpoint: int = 1, may_send: bool = True
    ) -> None:
        self.may_send = may_send
        self.steps: list[str] = []
        self.outcomes: list[tuple[int, Answer | None]] = []
        self.over = asyncio.Event()
        now = environment.now()
        head = b"Host: x\r\nX-Request-Id: %b\r\n" % name.encode()
        call = Call(0, now + WAIT_US, b"GET /page", head, b"", UnusedFrontend(), name.encode())
        self.attempt = Attempt(self, call, 0, endpoint, now, now + WAIT_US)

    def may_start(self, attempt: Attempt, now: int) -> bool:
        """Whether the attempt may still be sent."""
        self.steps.append("asked")
        return self.may_send

    def on_written(self, attempt: Attempt) -> None:
        """The attempt's last byte was written."""
        self.steps.append("written")

    def on_ended(self, attempt: Attempt, outcome: int, answer: Answer | None, load: bytes) -> None:
        """The attempt has this outcome."""
        assert attempt is self.attempt
        self.steps.append("ended")
        self.outcomes.append((outcome, answer))
        self.over.set()


class UpstreamContract(Contract, ABC):
    """The rules:

    1. An attempt has one outcome at most, and one exactly unless it was cancelled.
    2. `may_start` is called before any byte is written; where it gives False the outcome is NOT_SENT, and
       nothing is written.
    3. `on_written` is called once at most, after `may_start` and before the outcome; an attempt that was
       answered was written. An attempt that was never connected has the outcome NO_CONNECT.
    4. An attempt is sent once: no failure makes the upstream send it again.
    5. An endpoint that was removed, or placed at another address, gets nothing more at its old one.
    6. After `cancel` nothing is reported, and the endpoint notices.
    """

    @abstractmethod
    def environment(self) -> AbstractAsyncContextManager[UpstreamEnvironment]:
        """An upstream on the running loop, with two endpoints that do `EndpointBehaviour.SERVE`."""

    # --- Helpers ------------------------------------------------------------------------

    async def send_and_wait(self, environment: UpstreamEnvironment, owner: AttemptOwner) -> int:
        """Send the attempt; its outcome, once the order of the steps was checked."""
        environment.upstream.send(owner.attempt)
        await environment.wait_sent()
        return await self.outcome(owner)

    async def outcome(self, owner: AttemptOwner) -> int:
        """Wait for the outcome of an attempt, and check the order of its steps."""
        await self.wait_for(owner.over.wait(), f"the outcome of {owner.attempt.call.client_request_id!r}")
        await run_ready_callbacks()
        assert len(owner.outcomes) == 1, f"one outcome: {owner.steps}"
        assert owner.steps in (["ended"], ["asked", "ended"], ["asked", "written", "ended"]), owner.steps
        found, answer = owner.outcomes[0]
        assert found in OUTCOMES
        assert (answer is not None) == (found == OK)
        return found

    # --- One attempt --------------------------------------------------------------------

    def test_it_keeps_connections_for_a_time(self) -> None:
        """`idle_us` is a positive whole number of µs."""

        async def main() -> None:
            async with self.environment() as environment:
                assert type(environment.upstream.idle_us) is int and environment.upstream.idle_us > 0

        self.run(main())

    def test_what_is_served_is_told_with_its_answer(self) -> None:
        """A served attempt ends as OK with its answer, and runs once, at its endpoint only."""

        async def main() -> None:
            async with self.environment() as environment:
                environment.upstream.set_address(1, environment.addresses[0])
                owner = AttemptOwner(environment, "one")
                assert await self.send_and_wait(environment, owner) == OK
                assert owner.steps == ["asked", "written", "ended"]
                answer = owner.outcomes[0][1]
                assert answer is not None
                assert (answer.ending, answer.status, answer.body) == (Ending.SERVED, 200, b"ok")
                assert (
                    environment.executed(environment.addresses[0]),
                    environment.executed(environment.addresses[1]),
                ) == (
                    [b"one"],
                    [],
                )

        self.run(main())

    def test_each_way_to_fail_has_its_outcome_and_is_sent_once(self) -> None:
        """A rejection, an error and a reset have an outcome each, and the attempt isn't sent again."""

        async def main() -> None:
            for behaviour, expected in (
                (EndpointBehaviour.REJECT, FULL),
                (EndpointBehaviour.FAIL, ERROR),
                (EndpointBehaviour.RESET, RESET),
            ):
                async with self.environment() as environment:
                    environment.upstream.set_address(1, environment.addresses[0])
                    environment.upstream.set_address(2, environment.addresses[1])
                    environment.set_behaviour(behaviour)
                    owner = AttemptOwner(environment, "one")
                    assert await self.send_and_wait(environment, owner) == expected, behaviour
                    assert owner.steps == ["asked", "written", "ended"], behaviour
                    ran = environment.executed(environment.addresses[0]) + environment.executed(
                        environment.addresses[1]
                    )
                    assert ran == ([b"one"] if behaviour is EndpointBehaviour.RESET else []), behaviour

        self.run(main())

    def test_where_nobody_listens_nothing_was_connected(self) -> None:
        """An attempt to a closed port ends as NO_CONNECT, with nothing written."""

        async def main() -> None:
            async with self.environment() as environment:
                environment.upstream.set_address(1, environment.closed_address)
                owner = AttemptOwner(environment, "one")
                assert await self.send_and_wait(environment, owner) == NO_CONNECT
                assert "written" not in owner.steps

        self.run(main())

    def test_an_endpoint_without_a_place_is_not_connected(self) -> None:
        """An endpoint without an address, never set or removed, ends as NO_CONNECT."""

        async def main() -> None:
            async with self.environment() as environment:
                assert await self.send_and_wait(environment, AttemptOwner(environment, "never")) == NO_CONNECT
                environment.upstream.set_address(1, environment.addresses[0])
                assert await self.send_and_wait(environment, AttemptOwner(environment, "there")) == OK
                environment.upstream.remove(1)
                environment.upstream.remove(1)
                assert (
                    await self.send_and_wait(environment, AttemptOwner(environment, "removed")) == NO_CONNECT
                )
                assert environment.executed(environment.addresses[0]) == [b"there"]

        self.run(main())

    def test_what_may_not_start_any_more_is_moot(self) -> None:
        """An attempt that may not be sent any more ends as NOT_SENT and writes nothing, also on an idle
        connection.
        """

        async def main() -> None:
            async with self.environment() as environment:
                environment.upstream.set_address(1, environment.addresses[0])
                for may in (False, True, False):  # on a new connection, and on one at rest
                    owner = AttemptOwner(environment, "may" if may else "may not", may_send=may)
                    assert await self.send_and_wait(environment, owner) == (OK if may else NOT_SENT)
                    assert ("written" in owner.steps) == may
                assert environment.executed(environment.addresses[0]) == [b"may"]

        self.run(main())

    # --- Several ------------------------------------------------------------------------

    def test_one_after_the_other_and_many_at_once_each_run_once(self) -> None:
        """Sequential and concurrent attempts each run exactly once; sequential ones in order."""

        async def main() -> None:
            async with self.environment() as environment:
                environment.upstream.set_address(1, environment.addresses[0])
                for n in range(5):
                    assert await self.send_and_wait(environment, AttemptOwner(environment, f"turn-{n}")) == OK
                many = [AttemptOwner(environment, f"once-{n}") for n in range(10)]
                for owner in many:
                    environment.upstream.send(owner.attempt)
                await environment.wait_sent()
                assert [await self.outcome(owner) for owner in many] == [OK] * 10
                ran = environment.executed(environment.addresses[0])
                assert ran[:5] == [b"turn-%d" % n for n in range(5)]
                assert sorted(ran[5:]) == [b"once-%d" % n for n in range(10)]

        self.run(main())

    def test_a_failure_does_no_harm_to_the_next(self) -> None:
        """After each kind of failure the next attempt succeeds."""

        async def main() -> None:
            async with self.environment() as environment:
                environment.upstream.set_address(1, environment.addresses[0])
                for behaviour in (EndpointBehaviour.FAIL, EndpointBehaviour.RESET, EndpointBehaviour.REJECT):
                    environment.set_behaviour(behaviour)
                    await self.send_and_wait(environment, AttemptOwner(environment, behaviour.name))
                    environment.set_behaviour(EndpointBehaviour.SERVE)
                    assert (
                        await self.send_and_wait(
                            environment, AttemptOwner(environment, f"after {behaviour.name}")
                        )
                        == OK
                    )

        self.run(main())

    def test_a_place_set_anew_gets_nothing_by_its_old_address(self) -> None:
        """After `set_address` with another address, attempts go to that address only."""

        async def main() -> None:
            async with self.environment() as environment:
                old, new = environment.addresses
                environment.upstream.set_address(1, old)
                assert await self.send_and_wait(environment, AttemptOwner(environment, "one")) == OK
                environment.upstream.set_address(1, new)
                assert await self.send_and_wait(environment, AttemptOwner(environment, "two")) == OK
                environment.upstream.set_address(1, old)  # another process at the same address
                assert await self.send_and_wait(environment, AttemptOwner(environment, "three")) == OK
                assert (environment.executed(old), environment.executed(new)) == (
                    [b"one", b"three"],
                    [b"two"],
                )

        self.run(main())

    def test_an_endpoint_freed_is_sent_to_as_before(self) -> None:
        """`close_idle` leaves an endpoint usable, and does nothing for an unknown one."""

        async def main() -> None:
            async with self.environment() as environment:
                environment.upstream.close_idle(7)  # never heard of
                environment.upstream.set_address(1, environment.addresses[0])
                for name in ("one", "two"):
                    assert await self.send_and_wait(environment, AttemptOwner(environment, name)) == OK
                    environment.upstream.close_idle(1)
                assert environment.executed(environment.addresses[0]) == [b"one", b"two"]

        self.run(main())

    # --- Leaving ------------------------------------------------------------------------

    def test_after_cancel_nothing_is_told_and_the_endpoint_notices(self) -> None:
        """A cancelled attempt has no outcome, its endpoint notices, and the next attempt succeeds."""

        async def main() -> None:
            async with self.environment() as environment:
                environment.upstream.set_address(1, environment.addresses[0])
                environment.set_behaviour(EndpointBehaviour.HOLD)
                owner = AttemptOwner(environment, "held")
                environment.upstream.send(owner.attempt)
                await environment.wait_sent()
                assert owner.steps == ["asked", "written"]
                environment.upstream.cancel(owner.attempt)
                await self.wait_for(
                    environment.wait_noticed(), "an endpoint that notices a cancelled attempt"
                )
                await run_ready_callbacks()
                assert owner.outcomes == []
                environment.upstream.cancel(owner.attempt)  # it is not out any more
                environment.set_behaviour(EndpointBehaviour.SERVE)
                assert await self.send_and_wait(environment, AttemptOwner(environment, "next")) == OK
                assert environment.executed(environment.addresses[0]) == [b"held", b"next"]

        self.run(main())

    def test_an_attempt_cancelled_at_once_is_never_told_of(self) -> None:
        """An attempt cancelled right after `send` has no outcome, and runs once at most."""

        async def main() -> None:
            async with self.environment() as environment:
                environment.upstream.set_address(1, environment.addresses[0])
                owner = AttemptOwner(environment, "left")
                environment.upstream.send(owner.attempt)
                environment.upstream.cancel(owner.attempt)
                assert await self.send_and_wait(environment, AttemptOwner(environment, "next")) == OK
                assert owner.outcomes == []
                assert environment.executed(environment.addresses[0]) in ([b"next"], [b"left", b"next"])

        self.run(main())

    def test_a_place_removed_lets_what_is_out_end(self) -> None:
        """Attempts in flight at a removed endpoint each end with one outcome."""

        async def main() -> None:
            async with self.environment() as environment:
                environment.upstream.set_address(1, environment.addresses[0])
                owners = [AttemptOwner(environment, f"out-{n}") for n in range(3)]
                for owner in owners:
                    environment.upstream.send(owner.attempt)
                await environment.wait_sent()
                environment.upstream.remove(1)
                for owner in owners:
                    assert await self.outcome(owner) in (OK, RESET, NO_CONNECT)

        self.run(main())
