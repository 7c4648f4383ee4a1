"""Random interleavings of arrivals, answers, cancels, drains and closes.

First the engine on a clock that is moved by hand, then the client on real sockets. After
each: one final answer for each request, no unsafe effect twice, nothing sent later than
500 ms after a drain was told, nothing left open."""

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

from tests.fakes import Answers, ManualClock, PlayedUpstream, entry, number
from tests.sockets import SETTINGS, TEST_TIMEOUT_S
from tests.test_library import member, nothing_held

GRACE_US = 500_000
NAMES = [f"s-{n}" for n in range(4)]
CLASSES = ("page", "put", "pay")


class Pace:
    """Where an upload comes from: it does not mind."""

    def pause(self) -> None: ...

    def resume(self) -> None: ...

    def on_abandoned(self) -> None: ...


class Interleaving(RuleBasedStateMachine):
    """One engine, four endpoints in two cells, and a world that does what it likes."""

    def __init__(self) -> None:
        super().__init__()
        config = config_from({"seed": "7", "settings": SETTINGS}, "test")
        self.clock = ManualClock()
        self.upstream = PlayedUpstream(self.clock)
        self.front = Answers()
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
        self.told_at: dict[int, int] = {}  # since when an endpoint may get nothing new
        self.calls: list[Call] = []
        self.left: set[Call] = set()
        self._tell()

    def _tell(self) -> None:
        entries = [
            entry(name, lifecycle=phase, cell=at // 2)
            for at, (name, phase) in enumerate(self.listed.items())
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
    def arrive_while_it_comes(self, cls: int, span_ms: int) -> None:
        """An upload: its time counts from its last byte, which may never come."""
        name = b"r%d" % len(self.calls)
        call = Call(cls, self.clock.now() + 8_000_000, b"POST /x", b"", b"", self.front, name)
        call.upload, call.time_after_upload_us = BodyStream(Pace(), -1), span_ms * 1000
        self.calls.append(call)
        self.engine.take(call)

    def _coming(self) -> list[Call]:
        return [call for call in self.calls if call.is_open and call.upload and not call.upload.is_closed]

    @precondition(lambda self: self._coming())
    @rule(at=st.integers(0, 1_000), span_ms=st.sampled_from([0, 700, 2_900]))
    def end_upload(self, at: int, span_ms: int) -> None:
        self.clock.advance(span_ms * 1000)
        if coming := self._coming():
            call = coming[at % len(coming)]
            assert call.upload is not None
            call.upload.finish(True)
            self.engine.on_upload_complete(call)

    @precondition(lambda self: self.upstream.out)
    @rule(at=st.integers(0, 1_000), runs=st.booleans())
    def write(self, at: int, runs: bool) -> None:
        waiting = list(self.upstream.out.values())
        self.upstream.write(waiting[at % len(waiting)], runs)

    @precondition(lambda self: self.upstream.out)
    @rule(at=st.integers(0, 1_000), outcome=st.sampled_from([OK, OK, ERROR, FULL, RESET]))
    def answer(self, at: int, outcome: int) -> None:
        waiting = list(self.upstream.out.values())
        self.upstream.answer(waiting[at % len(waiting)], outcome)

    @precondition(lambda self: self.calls)
    @rule(at=st.integers(0, 1_000))
    def cancel(self, at: int) -> None:
        call = self.calls[at % len(self.calls)]
        if call.is_open:
            self.left.add(call)
        self.engine.on_client_left(call)

    @rule(name=st.sampled_from(NAMES), phase=st.sampled_from(["draining", "gone", "ready"]))
    def relist(self, name: str, phase: str) -> None:
        if phase == "ready":
            self.told_at.pop(number(name), None)
        elif self.listed[name] == "ready":
            self.told_at[number(name)] = self.clock.now()
        self.listed[name] = phase
        self._tell()

    @precondition(lambda self: self.upstream.out)
    @rule(at=st.integers(0, 1_000), span_ms=st.sampled_from([1, 499, 500, 501]))
    def drain_while_connecting(self, at: int, span_ms: int) -> None:
        """The connection comes up about when the drain's grace ends."""
        waiting = list(self.upstream.out.values())
        sent = waiting[at % len(waiting)]
        (name,) = [one for one in NAMES if number(one) == sent.attempt.endpoint]
        self.relist(name, "draining")
        self.clock.advance(span_ms * 1000)
        if sent.attempt in self.upstream.out:
            self.upstream.write(sent, True)

    @rule(span_ms=st.sampled_from([1, 40, 100, 499, 500, 501, 1_200]))
    def wait(self, span_ms: int) -> None:
        self.clock.advance(span_ms * 1000)

    @invariant()
    def nothing_new_goes_past_a_drains_grace(self) -> None:
        if self.upstream.writes:
            when, where, _ = self.upstream.writes[-1]
            told = self.told_at.get(where)
            assert told is None or when < told + GRACE_US or when < told

    @invariant()
    def one_answer_at_most_and_in_time(self) -> None:
        names = [call.client_request_id for call, _ in self.front.given]
        assert len(set(names)) == len(names)
        for call in self.calls:
            assert not call.is_open or self.clock.now() <= call.expires_at

    @invariant()
    def every_request_taken_is_counted_once(self) -> None:
        accounted(self.engine)
        assert self.engine.open_request_count() == sum(call.is_open for call in self.calls)
        assert self.engine.counters.sends == len(self.upstream.writes)
        assert self.engine.endpoints.size() == sum(phase != "gone" for phase in self.listed.values())

    @invariant()
    def the_module_counts_what_endpoints_have_whole(self) -> None:
        """Each call that is out and whole counts at its endpoint, once; an upload on its way
        counts nowhere."""
        balancer = self.engine.balancer
        held = [*balancer.requests.values(), *balancer.request_table.awaiting_outcomes.values()]
        out = [one for request in held for one in request.attempts if one.is_outstanding]
        for endpoint in balancer.endpoints.values():
            assert endpoint.in_flight == sum(
                one.endpoint is endpoint and not one.has_pending_body for one in out
            )
        pending = [request for request in balancer.requests.values() if request.has_pending_body]
        assert balancer.request_table.uploading_count == len(pending)
        coming = {call.id for call in self._coming()}
        assert {request.id for request in pending} == coming

    def teardown(self) -> None:
        self.clock.advance(9_000_000)
        for sent in list(self.upstream.out.values()):
            self.upstream.answer(sent, RESET)
        self.clock.advance(6_000_000)
        answered = {call for call, _ in self.front.given}
        assert answered | self.left == set(self.calls) and not answered & self.left
        for call, given_answer in self.front.given:
            self._check_effects(call, given_answer.ending)
        for call in self.left:
            self._check_effects(call, None)
        assert not (self.engine.calls or self.engine.open_request_ids or self.engine.balancer.requests)
        assert not any(one.in_flight for one in self.engine.balancer.endpoints.values())
        assert not self.logged, "no fault of the module"

    def _check_effects(self, call: Call, ending: Ending | None) -> None:
        effect = self.engine.settings.classes[call.request_class].effect
        ran = self.upstream.ran.get(call.client_request_id, [])
        if effect == UNSAFE:
            assert len(ran) <= 1, "an unsafe effect twice"
            assert ending is not Ending.REFUSED or not ran, "refused, and it ran"
        if effect == KEYED:
            cells = {at // 2 for at, name in enumerate(NAMES) for where in ran if where == number(name)}
            assert len(cells) <= 1, "a keyed effect outside its scope"
            assert ending is not Ending.REFUSED or not ran
        if ending is Ending.SERVED:
            assert ran


def accounted(engine: Engine) -> None:
    """Taken = answered + deferred + errored + abandoned + current, class by class."""
    counters = engine.counters
    for cls, taken in enumerate(counters.taken):
        ended = (counters.answered, counters.deferred, counters.errored, counters.abandoned)
        still = sum(
            call.request_class == cls and (call.is_open or call.is_answer_held)
            for call in engine.calls.values()
        )
        assert taken == sum(counts[cls] for counts in ended) + still


TestEngine = Interleaving.TestCase
TestEngine.settings = settings(max_examples=80, stateful_step_count=50, deadline=None)


def test_an_upload_that_outlives_its_endpoints_entry_is_not_counted_at_the_next() -> None:
    """Its endpoint leaves the list and is listed anew before the upload's last byte has come: the attempt
    then counts at the endpoint that it was sent to, also when it ends."""
    state = Interleaving()
    state.arrive(cls=0, deadline_ms=1)
    state.answer(at=0, outcome=OK)
    state.answer(at=0, outcome=OK)
    state.arrive_while_it_comes(cls=1, span_ms=1)
    upload = state.calls[1].attempts[0].endpoint
    (name,) = [one for one in NAMES if number(one) == upload]
    state.relist(name, "draining")
    state.relist(name, "ready")
    state.arrive(cls=0, deadline_ms=1)
    assert state.calls[2].attempts[0].endpoint == upload, "another request is sent to it meanwhile"
    state.end_upload(at=0, span_ms=0)
    state.cancel(at=1)
    state.the_module_counts_what_endpoints_have_whole()
    state.teardown()


# --- On sockets --------------------------------------------------------------------------


class Gates:
    """Endpoints that hold every request until the test says how it ends."""

    def __init__(self) -> None:
        self.effects = Effects()
        self.held: list[tuple[Message, asyncio.Future[str]]] = []
        self.arrived: list[tuple[str, str]] = []  # request id, endpoint's name
        self.endpoints = [Endpoint(self.handler, effects=self.effects) for _ in range(3)]

    async def handler(self, endpoint: Endpoint, message: Message, writer: Writer) -> None:
        name = f"s-{self.endpoints.index(endpoint)}"
        self.arrived.append((message.headers["x-request-id"], name))
        ends: asyncio.Future[str] = asyncio.get_running_loop().create_future()
        self.held.append((message, ends))
        how = await ends
        if how != "refuse":
            self.effects.execute(message)
        if how == "serve":
            writer.write(answer())
        elif how == "refuse":
            writer.write(answer(503, headers="X-Not-Run: 1\r\n"))
        elif how == "error":
            writer.write(answer(500))
        else:
            reset_connection(writer)

    def end(self, at: int, how: str) -> None:
        waiting = [ends for _, ends in self.held if not ends.done()]
        if waiting:
            waiting[at % len(waiting)].set_result(how)

    def end_all(self) -> None:
        for _, ends in self.held:
            if not ends.done():
                ends.set_result("serve")


STEPS = st.one_of(
    st.tuples(st.just("ask"), st.integers(0, 2)),
    st.tuples(st.just("end"), st.integers(0, 50), st.sampled_from(["serve", "refuse", "error", "reset"])),
    st.tuples(st.just("cancel"), st.integers(0, 50)),
    st.tuples(st.just("drain"), st.integers(0, 2)),
    st.tuples(st.just("turns"), st.integers(1, 30)),
)


class Played:
    """One client on sockets, driven by a list of steps."""

    def __init__(self, client: Client, gates: Gates) -> None:
        self.client = client
        self.gates = gates
        self.asked: list[asyncio.Task[Reply]] = []
        # By name: how many had arrived anywhere, and what was on its way there.
        self.drained: dict[str, tuple[int, set[str]]] = {}

    async def step(self, words: tuple[Any, ...]) -> None:
        match words:
            case ("ask", cls):
                name = CLASSES[cls]
                method = "GET" if cls == 0 else "POST"
                key = f"k{len(self.asked)}" if cls == 1 else None
                request = Request(name, f"/{name}", method, key=key, id=f"r{len(self.asked)}")
                self.asked.append(asyncio.create_task(self.client.send(request)))
            case ("end", at, how):
                self.gates.end(at, how)
            case ("cancel", at) if self.asked:
                self.asked[at % len(self.asked)].cancel()
            case ("drain", at):
                self.drain(f"s-{at}")
            case ("turns", turns):
                for _ in range(turns):
                    await asyncio.sleep(0)

    def drain(self, name: str) -> None:
        """Told, and at once past its grace: nothing at all may go there from now on."""
        if name in self.drained:
            return
        members = []
        for at, one in enumerate(self.gates.endpoints):
            draining = f"s-{at}" == name or f"s-{at}" in self.drained
            members.append(Member(f"s-{at}", f"127.0.0.1:{one.port}", cell=1, draining=draining))
        self.client.members(members)
        places = self.client.engine.endpoints.by_number
        place = places[number(name)]
        assert place.withdrawn_at is not None
        place.withdrawn_at -= GRACE_US
        # Only what is written already may still arrive.
        written = {
            attempt.call.client_request_id.decode()
            for attempt, link in self.client._parts.upstream.by_attempt.items()
            if attempt.endpoint == number(name) and link.transport is not None
        }
        self.drained[name] = len(self.gates.arrived), written

    async def finish(self) -> None:
        """Close while requests are open, and let the endpoints answer."""
        closing = asyncio.create_task(self.client.close())
        while not closing.done():
            self.gates.end_all()
            await asyncio.sleep(0)
        await closing


async def play(steps: list[tuple[Any, ...]]) -> None:
    gates = Gates()
    async with contextlib.AsyncExitStack() as stack, asyncio.timeout(TEST_TIMEOUT_S):
        for endpoint in gates.endpoints:
            await stack.enter_async_context(endpoint)
        members = [member(one, f"s-{n}") for n, one in enumerate(gates.endpoints)]
        raw = {"seed": "3", "settings": SETTINGS, "limits": {"sockets": 1024}}
        client = Client.open(raw, members)
        await client.start()
        played = Played(client, gates)
        for words in steps:
            await played.step(words)
        await played.finish()
        assert client.state is ClientState.CLOSED and nothing_held(client)
        assert not client._parts.upstream.connections and not client._parts.upstream.by_attempt
        found = await asyncio.gather(*played.asked, return_exceptions=True)
        replies = [one for one in found if isinstance(one, Reply)]
        accounted(client.engine)
        counters = client.engine.counters
        assert sum(counters.answered) == sum(one.outcome is Ending.SERVED for one in replies)
        assert sum(counters.deferred) == sum(one.outcome is Ending.REFUSED for one in replies)
        assert sum(counters.errored) == sum(one.outcome is Ending.FAILED for one in replies)
        assert counters.sends >= len(gates.held)
        others = [one for one in found if not isinstance(one, Reply)]
        assert all(isinstance(one, asyncio.CancelledError | Exception) for one in others)
        assert all(type(one).__name__ in ("CancelledError", "ClientError") for one in others)
        assert len(replies) + len(others) == len(played.asked)
        check(played, gates, found)


def check(played: Played, gates: Gates, found: list[Any]) -> None:
    assert not [rid for rid in gates.effects.twice() if is_order(played, rid)], "an order ran twice"
    for at, reply in enumerate(found):
        ran = gates.effects.by_id[f"r{at}"]
        if isinstance(reply, Reply) and reply.outcome is Ending.SERVED:
            assert ran or reply.status == 200
        if isinstance(reply, Reply) and reply.outcome is Ending.REFUSED and is_order(played, f"r{at}"):
            assert not ran, "refused, and it ran"
    for name, (before, written) in played.drained.items():
        late = [rid for rid, where in gates.arrived[before:] if where == name]
        assert set(late) <= written and len(late) == len(set(late)), "sent past the drain's grace"


def is_order(played: Played, rid: str) -> bool:
    return any(
        message.headers["x-request-id"] == rid and message.headers["x-class"] == "pay"
        for message, _ in played.gates.held
    )


@given(st.lists(STEPS, max_size=40))
@settings(max_examples=60, deadline=None, suppress_health_check=[HealthCheck.too_slow])
def test_a_client_on_sockets_keeps_its_promises(steps: list[tuple[Any, ...]]) -> None:
    asyncio.run(play(steps))
