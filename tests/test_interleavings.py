"""Random interleavings of arrivals, answers, cancellations, drains and closes.

First the engine on a manual clock, then the client on real sockets. After each run, every request has one
final answer, no unsafe effect happened twice, nothing was sent later than 500 ms after a drain was listed,
and nothing is left open."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import hypothesis.strategies as st
from hypothesis import HealthCheck, given, settings
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from laurelstep.balancing.events import ERROR, FULL, KEYED, OK, RESET, UNSAFE
from laurelstep.engine import Call, Ending, Engine
from laurelstep.engine.body_stream import BodyStream
from laurelstep.engine.static_members import StaticMembers
from laurelstep.library import Client, Member, Reply, Request
from laurelstep.library.client import ClientState
from laurelstep.settings import config_from
from laurelstep.testing import Effects, Endpoint, Message, Writer, answer
from laurelstep.testing.endpoints import reset_connection

from tests.fakes import FakeUpstream, ManualClock, RecordingFrontend, entry, number
from tests.sockets import SETTINGS, TEST_TIMEOUT_S
from tests.test_library import is_idle, member

GRACE_US = 500_000
NAMES = [f"s-{n}" for n in range(4)]
CLASSES = ("page", "put", "pay")


class IgnoringSource:
    """The source of an upload, which ignores all flow control."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...

    def on_abandoned(self) -> None: ...


class Interleaving(RuleBasedStateMachine):
    """One engine and four endpoints in two cells, to which any event can happen in any order."""

    def __init__(self) -> None:
        super().__init__()
        config = config_from({"seed": "7", "settings": SETTINGS}, "test")
        self.clock = ManualClock()
        self.upstream = FakeUpstream(self.clock)
        self.front = RecordingFrontend()
        self.logged: list[str] = []
        self.source = StaticMembers()
        self.engine = Engine(
            self.clock,
            config.seed,
            config.settings,
            config.names,
            self.upstream,
            self.source,
            config.drain_grace_us,
            self.logged.append,
        )
        self.engine.start()
        self.listed = dict.fromkeys(NAMES, "ready")
        self.drained_at: dict[int, int] = {}  # when an endpoint was listed as draining or gone
        self.calls: list[Call] = []
        self.cancelled: set[Call] = set()
        self._give_list()

    def _give_list(self) -> None:
        entries = [
            entry(name, lifecycle=phase, cell=index // 2)
            for index, (name, phase) in enumerate(self.listed.items())
            if phase != "gone"
        ]
        self.source.replace_list(entries)

    @rule(cls=st.integers(0, 2), deadline_ms=st.integers(0, 3_000))
    def arrive(self, cls: int, deadline_ms: int) -> None:
        name = b"r%d" % len(self.calls)
        expires = self.clock.now() + deadline_ms * 1000
        call = Call(cls, expires, b"POST /x", b"", b"", self.front, name)
        self.calls.append(call)
        self.engine.take(call)

    @rule(cls=st.integers(1, 2), span_ms=st.integers(1, 3_000))
    def arrive_as_upload(self, cls: int, span_ms: int) -> None:
        """An upload: its deadline counts from its last byte, which may never arrive."""
        name = b"r%d" % len(self.calls)
        call = Call(cls, self.clock.now() + 8_000_000, b"POST /x", b"", b"", self.front, name)
        call.upload, call.time_after_upload_us = BodyStream(IgnoringSource(), -1), span_ms * 1000
        self.calls.append(call)
        self.engine.take(call)

    def _uploading(self) -> list[Call]:
        return [call for call in self.calls if call.is_open and call.upload and not call.upload.is_closed]

    @precondition(lambda self: self._uploading())
    @rule(index=st.integers(0, 1_000), span_ms=st.sampled_from([0, 700, 2_900]))
    def end_upload(self, index: int, span_ms: int) -> None:
        self.clock.advance(span_ms * 1000)
        if uploading := self._uploading():
            call = uploading[index % len(uploading)]
            assert call.upload is not None
            call.upload.finish(True)
            self.engine.on_upload_complete(call)

    @precondition(lambda self: self.upstream.in_flight)
    @rule(index=st.integers(0, 1_000), runs=st.booleans())
    def write(self, index: int, runs: bool) -> None:
        waiting = list(self.upstream.in_flight.values())
        self.upstream.write(waiting[index % len(waiting)], runs)

    @precondition(lambda self: self.upstream.in_flight)
    @rule(index=st.integers(0, 1_000), outcome=st.sampled_from([OK, OK, ERROR, FULL, RESET]))
    def answer(self, index: int, outcome: int) -> None:
        waiting = list(self.upstream.in_flight.values())
        self.upstream.answer(waiting[index % len(waiting)], outcome)

    @precondition(lambda self: self.calls)
    @rule(index=st.integers(0, 1_000))
    def cancel(self, index: int) -> None:
        call = self.calls[index % len(self.calls)]
        if call.is_open:
            self.cancelled.add(call)
        self.engine.on_client_left(call)

    @rule(name=st.sampled_from(NAMES), phase=st.sampled_from(["draining", "gone", "ready"]))
    def relist(self, name: str, phase: str) -> None:
        if phase == "ready":
            self.drained_at.pop(number(name), None)
        elif self.listed[name] == "ready":
            self.drained_at[number(name)] = self.clock.now()
        self.listed[name] = phase
        self._give_list()

    @precondition(lambda self: self.upstream.in_flight)
    @rule(index=st.integers(0, 1_000), span_ms=st.sampled_from([1, 499, 500, 501]))
    def drain_while_connecting(self, index: int, span_ms: int) -> None:
        """The connection is established at about the end of the drain grace."""
        waiting = list(self.upstream.in_flight.values())
        sent = waiting[index % len(waiting)]
        (name,) = [listed for listed in NAMES if number(listed) == sent.attempt.endpoint]
        self.relist(name, "draining")
        self.clock.advance(span_ms * 1000)
        if sent.attempt in self.upstream.in_flight:
            self.upstream.write(sent, True)

    @rule(span_ms=st.sampled_from([1, 40, 100, 499, 500, 501, 1_200]))
    def wait(self, span_ms: int) -> None:
        self.clock.advance(span_ms * 1000)

    @invariant()
    def no_attempt_starts_after_the_drain_grace(self) -> None:
        if self.upstream.writes:
            written_at, endpoint, _ = self.upstream.writes[-1]
            drained_at = self.drained_at.get(endpoint)
            assert drained_at is None or written_at < drained_at + GRACE_US or written_at < drained_at

    @invariant()
    def each_call_has_at_most_one_answer_and_in_time(self) -> None:
        names = [call.client_request_id for call, _ in self.front.answers]
        assert len(set(names)) == len(names)
        for call in self.calls:
            assert not call.is_open or self.clock.now() <= call.expires_at

    @invariant()
    def every_accepted_request_is_counted_once(self) -> None:
        check_counters(self.engine)
        assert self.engine.open_request_count() == sum(call.is_open for call in self.calls)
        assert self.engine.counters.sends == len(self.upstream.writes)
        assert self.engine.endpoints.size() == sum(phase != "gone" for phase in self.listed.values())

    @invariant()
    def the_balancer_counts_complete_requests_in_flight(self) -> None:
        """Each complete request in flight counts once, at its endpoint; an incomplete upload does not."""
        balancer = self.engine.balancer
        held = [*balancer.requests.values(), *balancer.request_table.awaiting_outcomes.values()]
        in_flight = [attempt for request in held for attempt in request.attempts if attempt.is_outstanding]
        for endpoint in balancer.endpoints.values():
            assert endpoint.in_flight == sum(
                attempt.endpoint is endpoint and not attempt.has_pending_body for attempt in in_flight
            )
        pending = [request for request in balancer.requests.values() if request.has_pending_body]
        assert balancer.request_table.uploading_count == len(pending)
        uploading = {call.id for call in self._uploading()}
        assert {request.id for request in pending} == uploading

    def teardown(self) -> None:
        self.clock.advance(9_000_000)
        for sent in list(self.upstream.in_flight.values()):
            self.upstream.answer(sent, RESET)
        self.clock.advance(6_000_000)
        answered = {call for call, _ in self.front.answers}
        assert answered | self.cancelled == set(self.calls) and not answered & self.cancelled
        for call, given_answer in self.front.answers:
            self._check_effects(call, given_answer.ending)
        for call in self.cancelled:
            self._check_effects(call, None)
        assert not (self.engine.calls or self.engine.open_request_ids or self.engine.balancer.requests)
        assert not any(endpoint.in_flight for endpoint in self.engine.balancer.endpoints.values())
        assert not self.logged, "the balancer raised no exception"

    def _check_effects(self, call: Call, ending: Ending | None) -> None:
        effect = self.engine.settings.classes[call.request_class].effect
        ran = self.upstream.executions.get(call.client_request_id, [])
        if effect == UNSAFE:
            assert len(ran) <= 1, "an unsafe effect happened twice"
            assert ending is not Ending.REFUSED or not ran, "a refused request ran"
        if effect == KEYED:
            cells = {
                index // 2 for index, name in enumerate(NAMES) for endpoint in ran if endpoint == number(name)
            }
            assert len(cells) <= 1, "a keyed effect outside its scope"
            assert ending is not Ending.REFUSED or not ran
        if ending is Ending.SERVED:
            assert ran


def check_counters(engine: Engine) -> None:
    """For each class: taken = answered + deferred + errored + abandoned + current."""
    counters = engine.counters
    for cls, taken in enumerate(counters.taken):
        ended = (counters.answered, counters.deferred, counters.errored, counters.abandoned)
        open_count = sum(
            call.request_class == cls and (call.is_open or call.is_answer_held)
            for call in engine.calls.values()
        )
        assert taken == sum(counts[cls] for counts in ended) + open_count


TestEngine = Interleaving.TestCase
TestEngine.settings = settings(max_examples=80, stateful_step_count=50, deadline=None)


def test_an_upload_is_counted_at_the_endpoint_that_it_was_sent_to() -> None:
    """Its endpoint leaves the list and is listed again before the last byte of the upload has arrived. The
    attempt must still count at the old entry, also when it ends, and not at the new one."""
    state = Interleaving()
    state.arrive(cls=0, deadline_ms=1)
    state.answer(index=0, outcome=OK)
    state.answer(index=0, outcome=OK)
    state.arrive_as_upload(cls=1, span_ms=1)
    upload = state.calls[1].attempts[0].endpoint
    (name,) = [listed for listed in NAMES if number(listed) == upload]
    state.relist(name, "draining")
    state.relist(name, "ready")
    state.arrive(cls=0, deadline_ms=1)
    assert state.calls[2].attempts[0].endpoint == upload, "another request is sent to it meanwhile"
    state.end_upload(index=0, span_ms=0)
    state.cancel(index=1)
    state.the_balancer_counts_complete_requests_in_flight()
    state.teardown()


# --- On sockets --------------------------------------------------------------------------


class HeldEndpoints:
    """Endpoints that hold every request until the test decides how it ends."""

    def __init__(self) -> None:
        self.effects = Effects()
        self.held: list[tuple[Message, asyncio.Future[str]]] = []
        self.arrived: list[tuple[str, str]] = []  # request id, endpoint name
        self.endpoints = [Endpoint(self.handler, effects=self.effects) for _ in range(3)]

    async def handler(self, endpoint: Endpoint, message: Message, writer: Writer) -> None:
        name = f"s-{self.endpoints.index(endpoint)}"
        self.arrived.append((message.headers["x-request-id"], name))
        decision: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.held.append((message, decision))
        ending = await decision
        if ending != "refuse":
            self.effects.execute(message)
        if ending == "serve":
            writer.write(answer())
        elif ending == "refuse":
            writer.write(answer(503, headers="X-Not-Run: 1\r\n"))
        elif ending == "error":
            writer.write(answer(500))
        else:
            reset_connection(writer)

    def end(self, index: int, ending: str) -> None:
        waiting = [decision for _, decision in self.held if not decision.done()]
        if waiting:
            waiting[index % len(waiting)].set_result(ending)

    def end_all(self) -> None:
        for _, decision in self.held:
            if not decision.done():
                decision.set_result("serve")


STEPS = st.one_of(
    st.tuples(st.just("send"), st.integers(0, 2)),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(["serve", "refuse", "error", "reset"])),
    st.tuples(st.just("cancel"), st.integers(0, 50)),
    st.tuples(st.just("drain"), st.integers(0, 2)),
    st.tuples(st.just("yield"), st.integers(1, 30)),
)


class ClientRun:
    """A client on sockets, driven by a list of steps."""

    def __init__(self, client: Client, held_endpoints: HeldEndpoints) -> None:
        self.client = client
        self.held_endpoints = held_endpoints
        self.requests: list[asyncio.Task[Reply]] = []
        # By endpoint name: how many requests had arrived anywhere, and which were on their way to it.
        self.drained: dict[str, tuple[int, set[str]]] = {}

    async def step(self, step: tuple[Any, ...]) -> None:
        match step:
            case ("send", cls):
                name = CLASSES[cls]
                method = "GET" if cls == 0 else "POST"
                key = f"k{len(self.requests)}" if cls == 1 else None
                request = Request(name, f"/{name}", method, key=key, id=f"r{len(self.requests)}")
                self.requests.append(asyncio.create_task(self.client.send(request)))
            case ("end", index, ending):
                self.held_endpoints.end(index, ending)
            case ("cancel", index) if self.requests:
                self.requests[index % len(self.requests)].cancel()
            case ("drain", index):
                self.drain(f"s-{index}")
            case ("yield", iterations):
                for _ in range(iterations):
                    await asyncio.sleep(0)

    def drain(self, name: str) -> None:
        """List an endpoint as draining with its grace already over: nothing may be sent there afterwards."""
        if name in self.drained:
            return
        members = []
        for index, endpoint in enumerate(self.held_endpoints.endpoints):
            draining = f"s-{index}" == name or f"s-{index}" in self.drained
            members.append(Member(f"s-{index}", f"127.0.0.1:{endpoint.port}", cell=1, draining=draining))
        self.client.members(members)
        places = self.client.engine.endpoints.by_number
        place = places[number(name)]
        assert place.withdrawn_at is not None
        place.withdrawn_at -= GRACE_US
        # Only requests that are already written may still arrive.
        written = {
            attempt.call.client_request_id.decode()
            for attempt, connection in self.client._assembly.upstream.connections_by_attempt.items()
            if attempt.endpoint == number(name) and connection.transport is not None
        }
        self.drained[name] = len(self.held_endpoints.arrived), written

    async def finish(self) -> None:
        """Close the client while requests are open, and let the endpoints answer."""
        closing = asyncio.create_task(self.client.close())
        while not closing.done():
            self.held_endpoints.end_all()
            await asyncio.sleep(0)
        await closing


async def run_steps(steps: list[tuple[Any, ...]]) -> None:
    held_endpoints = HeldEndpoints()
    async with contextlib.AsyncExitStack() as stack, asyncio.timeout(TEST_TIMEOUT_S):
        for endpoint in held_endpoints.endpoints:
            await stack.enter_async_context(endpoint)
        members = [member(endpoint, f"s-{n}") for n, endpoint in enumerate(held_endpoints.endpoints)]
        raw = {"seed": "3", "settings": SETTINGS, "limits": {"sockets": 1024}}
        client = Client.open(raw, members)
        await client.start()
        run = ClientRun(client, held_endpoints)
        for step in steps:
            await run.step(step)
        await run.finish()
        assert client.state is ClientState.CLOSED and is_idle(client)
        assert (
            not client._assembly.upstream.connections and not client._assembly.upstream.connections_by_attempt
        )
        results = await asyncio.gather(*run.requests, return_exceptions=True)
        replies = [result for result in results if isinstance(result, Reply)]
        check_counters(client.engine)
        counters = client.engine.counters
        assert sum(counters.answered) == sum(reply.outcome is Ending.SERVED for reply in replies)
        assert sum(counters.deferred) == sum(reply.outcome is Ending.REFUSED for reply in replies)
        assert sum(counters.errored) == sum(reply.outcome is Ending.FAILED for reply in replies)
        assert counters.sends >= len(held_endpoints.held)
        errors = [result for result in results if not isinstance(result, Reply)]
        assert all(isinstance(error, asyncio.CancelledError | Exception) for error in errors)
        assert all(type(error).__name__ in ("CancelledError", "ClientError") for error in errors)
        assert len(replies) + len(errors) == len(run.requests)
        check_run(run, held_endpoints, results)


def check_run(run: ClientRun, held_endpoints: HeldEndpoints, results: list[Any]) -> None:
    assert not [rid for rid in held_endpoints.effects.executed_twice() if is_unsafe(run, rid)], (
        "an unsafe request ran twice"
    )
    for index, reply in enumerate(results):
        ran = held_endpoints.effects.by_id[f"r{index}"]
        if isinstance(reply, Reply) and reply.outcome is Ending.SERVED:
            assert ran or reply.status == 200
        if isinstance(reply, Reply) and reply.outcome is Ending.REFUSED and is_unsafe(run, f"r{index}"):
            assert not ran, "a refused request ran"
    for name, (before, written) in run.drained.items():
        late = [rid for rid, endpoint in held_endpoints.arrived[before:] if endpoint == name]
        assert set(late) <= written and len(late) == len(set(late)), "sent after the drain grace"


def is_unsafe(run: ClientRun, rid: str) -> bool:
    return any(
        message.headers["x-request-id"] == rid and message.headers["x-class"] == "pay"
        for message, _ in run.held_endpoints.held
    )


@given(st.lists(STEPS, max_size=40))
@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.too_slow])
def test_a_client_on_sockets_upholds_its_guarantees(steps: list[tuple[Any, ...]]) -> None:
    asyncio.run(run_steps(steps))
