"""Contract of the engine's `Upstream`: it sends attempts to endpoints, and reports one outcome for each."""

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

ATTEMPT_TIMEOUT_US = 60_000_000
# The outcomes that an upstream may report; the engine reports the others itself.
OUTCOMES = (OK, FULL, ERROR, RESET, NO_CONNECT, NOT_SENT)


class EndpointBehaviour(Enum):
    """What an endpoint does with a request."""

    SERVE = "executes it, and answers 200 with the body `ok`"
    REJECT = "does not execute it, and says so"
    FAIL = "answers that it failed"
    RESET = "executes it, and resets the connection without an answer"
    HOLD = "executes it, and never answers"


class UpstreamEnvironment(Protocol):
    """An upstream on the running loop, and control of two endpoints."""

    upstream: Upstream
    addresses: tuple[str, str]  # of the two endpoints
    closed_address: str  # an address that refuses connections

    def now(self) -> int:
        """Return the time on the upstream's clock, µs."""

    def set_behaviour(self, behaviour: EndpointBehaviour) -> None:
        """Set the behaviour of both endpoints for further requests."""

    async def wait_sent(self) -> None:
        """Wait, after a send, until the endpoints have received the requests that they hold (`HOLD`).

        For other behaviours it may return immediately, before the upstream reports the outcome.
        """

    async def wait_cancel_noticed(self) -> None:
        """Wait until an endpoint has detected that a held request was cancelled."""

    def executed(self, address: str) -> list[bytes]:
        """Return the `Call.client_request_id`s of the requests executed at this address, in order."""


class UnusedFrontend:
    """A frontend that must get no answer: `AttemptOwner` receives the outcomes."""

    def on_answer(self, call: Call, answer: Answer) -> None:
        """Raise AssertionError: only the engine answers a frontend."""
        raise AssertionError("the upstream answered a frontend")


class AttemptOwner:
    """Replaces the engine for one attempt, and records the upstream's steps."""

    def __init__(
        self, environment: UpstreamEnvironment, request_id: str, endpoint: int = 1, may_send: bool = True
    ) -> None:
        self.may_send = may_send
        self.steps: list[str] = []
        self.outcomes: list[tuple[int, Answer | None]] = []
        self.ended = asyncio.Event()
        now = environment.now()
        head = b"Host: x\r\nX-Request-Id: %b\r\n" % request_id.encode()
        call = Call(
            0, now + ATTEMPT_TIMEOUT_US, b"GET /page", head, b"", UnusedFrontend(), request_id.encode()
        )
        self.attempt = Attempt(self, call, 0, endpoint, now, now + ATTEMPT_TIMEOUT_US)

    def may_start(self, attempt: Attempt, now: int) -> bool:
        """Return whether the attempt may still be sent, as set by the test."""
        self.steps.append("asked")
        return self.may_send

    def on_written(self, attempt: Attempt) -> None:
        """Record that the attempt's last byte was written."""
        self.steps.append("written")

    def on_ended(self, attempt: Attempt, outcome: int, answer: Answer | None, load: bytes) -> None:
        """Record the outcome of the attempt."""
        assert attempt is self.attempt
        self.steps.append("ended")
        self.outcomes.append((outcome, answer))
        self.ended.set()


class UpstreamContract(Contract, ABC):
    """The rules:

    1. An attempt has exactly one outcome, or at most one if it was cancelled.
    2. `may_start` is called before any byte is written. If it returns False the outcome is NOT_SENT, and
       nothing is written.
    3. `on_written` is called at most once, after `may_start` and before the outcome; an attempt that was
       answered was written. An attempt without a connection has the outcome NO_CONNECT.
    4. The upstream never sends an attempt again, whatever its failure.
    5. An endpoint that was removed, or has a new address, gets no more attempts at its old address.
    6. After `cancel` nothing is reported, and the endpoint detects that the request was cancelled.
    """

    @abstractmethod
    def environment(self) -> AbstractAsyncContextManager[UpstreamEnvironment]:
        """Create an upstream on the running loop, and two endpoints with the behaviour `SERVE`."""

    # --- Helpers ------------------------------------------------------------------------

    async def send_and_wait(self, environment: UpstreamEnvironment, owner: AttemptOwner) -> int:
        """Send the attempt, check the order of its steps, and return its outcome."""
        environment.upstream.send(owner.attempt)
        await environment.wait_sent()
        return await self.wait_outcome(owner)

    async def wait_outcome(self, owner: AttemptOwner) -> int:
        """Wait for the outcome of an attempt, check the order of its steps, and return the outcome."""
        await self.wait_for(owner.ended.wait(), f"the outcome of {owner.attempt.call.client_request_id!r}")
        await run_ready_callbacks()
        assert len(owner.outcomes) == 1, f"more than one outcome: {owner.steps}"
        assert owner.steps in (["ended"], ["asked", "ended"], ["asked", "written", "ended"]), owner.steps
        outcome, answer = owner.outcomes[0]
        assert outcome in OUTCOMES
        assert (answer is not None) == (outcome == OK)
        return outcome

    # --- One attempt --------------------------------------------------------------------

    def test_idle_us_is_a_positive_number(self) -> None:
        """`idle_us` is a positive whole number of µs."""

        async def main() -> None:
            async with self.environment() as environment:
                assert type(environment.upstream.idle_us) is int and environment.upstream.idle_us > 0

        self.run(main())

    def test_a_served_attempt_ends_with_its_answer(self) -> None:
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

    def test_each_failure_has_its_outcome_and_is_sent_once(self) -> None:
        """A rejection, an error and a reset each have their outcome, and the attempt is not sent again."""

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
                    executed = environment.executed(environment.addresses[0]) + environment.executed(
                        environment.addresses[1]
                    )
                    assert executed == ([b"one"] if behaviour is EndpointBehaviour.RESET else []), behaviour

        self.run(main())

    def test_a_closed_port_ends_as_no_connect(self) -> None:
        """An attempt to a closed port ends as NO_CONNECT, with nothing written."""

        async def main() -> None:
            async with self.environment() as environment:
                environment.upstream.set_address(1, environment.closed_address)
                owner = AttemptOwner(environment, "one")
                assert await self.send_and_wait(environment, owner) == NO_CONNECT
                assert "written" not in owner.steps

        self.run(main())

    def test_an_endpoint_without_an_address_ends_as_no_connect(self) -> None:
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

    def test_an_attempt_that_may_not_start_is_not_sent(self) -> None:
        """An attempt that may not start ends as NOT_SENT and writes nothing, also on an idle connection."""

        async def main() -> None:
            async with self.environment() as environment:
                environment.upstream.set_address(1, environment.addresses[0])
                for may_send in (False, True, False):  # on a new connection, and on an idle one
                    owner = AttemptOwner(environment, "may" if may_send else "may not", may_send=may_send)
                    assert await self.send_and_wait(environment, owner) == (OK if may_send else NOT_SENT)
                    assert ("written" in owner.steps) == may_send
                assert environment.executed(environment.addresses[0]) == [b"may"]

        self.run(main())

    # --- Several attempts ---------------------------------------------------------------

    def test_sequential_and_concurrent_attempts_each_run_once(self) -> None:
        """Sequential and concurrent attempts are each executed exactly once; sequential ones in order."""

        async def main() -> None:
            async with self.environment() as environment:
                environment.upstream.set_address(1, environment.addresses[0])
                for n in range(5):
                    assert await self.send_and_wait(environment, AttemptOwner(environment, f"turn-{n}")) == OK
                owners = [AttemptOwner(environment, f"once-{n}") for n in range(10)]
                for owner in owners:
                    environment.upstream.send(owner.attempt)
                await environment.wait_sent()
                assert [await self.wait_outcome(owner) for owner in owners] == [OK] * 10
                executed = environment.executed(environment.addresses[0])
                assert executed[:5] == [b"turn-%d" % n for n in range(5)]
                assert sorted(executed[5:]) == [b"once-%d" % n for n in range(10)]

        self.run(main())

    def test_an_attempt_after_a_failure_succeeds(self) -> None:
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

    def test_a_moved_endpoint_gets_nothing_at_its_old_address(self) -> None:
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

    def test_close_idle_leaves_an_endpoint_usable(self) -> None:
        """`close_idle` leaves an endpoint usable, and does nothing for an unknown one."""

        async def main() -> None:
            async with self.environment() as environment:
                environment.upstream.close_idle(7)  # an unknown endpoint
                environment.upstream.set_address(1, environment.addresses[0])
                for name in ("one", "two"):
                    assert await self.send_and_wait(environment, AttemptOwner(environment, name)) == OK
                    environment.upstream.close_idle(1)
                assert environment.executed(environment.addresses[0]) == [b"one", b"two"]

        self.run(main())

    # --- Cancellation and removal -------------------------------------------------------

    def test_a_cancelled_attempt_has_no_outcome_and_the_endpoint_notices(self) -> None:
        """A cancelled attempt has no outcome, its endpoint detects it, and the next attempt succeeds."""

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
                    environment.wait_cancel_noticed(), "the endpoint to detect a cancelled attempt"
                )
                await run_ready_callbacks()
                assert owner.outcomes == []
                environment.upstream.cancel(owner.attempt)  # no effect: it is no longer in flight
                environment.set_behaviour(EndpointBehaviour.SERVE)
                assert await self.send_and_wait(environment, AttemptOwner(environment, "next")) == OK
                assert environment.executed(environment.addresses[0]) == [b"held", b"next"]

        self.run(main())

    def test_an_attempt_cancelled_right_after_send_has_no_outcome(self) -> None:
        """An attempt cancelled right after `send` has no outcome, and is executed at most once."""

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

    def test_attempts_in_flight_at_a_removed_endpoint_end(self) -> None:
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
                    assert await self.wait_outcome(owner) in (OK, RESET, NO_CONNECT)

        self.run(main())
