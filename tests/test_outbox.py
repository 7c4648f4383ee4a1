"""The outbox's pure parts: names, tokens, states, what waits for what, pace, the cut-off rule, receipts."""

from __future__ import annotations

import asyncio
import base64
import json
import random
import tracemalloc

import pytest
from laurelstep.outbox.background_replay import BackgroundReplay
from laurelstep.outbox.causality_tokens import TOKEN_MOST, CausalityTokens
from laurelstep.outbox.cutoff import CutOffDetector, CutOffRule
from laurelstep.outbox.dependencies import MAX_DEPENDENCIES, Dependency, merge
from laurelstep.outbox.dependency_graph import DependencyGraph
from laurelstep.outbox.errors import (
    CycleError,
    FullError,
    FutureError,
    KeepError,
    KeptRecordError,
    LooseError,
    StepError,
    TokenError,
    UnknownWriteError,
    VerdictError,
)
from laurelstep.outbox.expiry_queue import ExpiryQueue
from laurelstep.outbox.outbox import Outbox, OutboxBounds, QueuedClass, ReplayResult, Transition, WriteOffer
from laurelstep.outbox.receipts import REASON_TEXTS, WriteReceipt, encode_receipt
from laurelstep.outbox.records import (
    TRANSITIONS,
    ParkingReason,
    QueuedWrite,
    Resolution,
    StateChange,
    WriteEvent,
    WriteState,
    decode_state_change,
    decode_write,
    encode,
    next_state,
)
from laurelstep.outbox.replay_queue import ReplayPacer, ReplayQueue
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId, check_edge, parse_write_id
from laurelstep.outbox.write_table import IntegerMap, PagedIntegerMap, short_hash

from tests.once import once

pytestmark = once


class PlayedVersionVector:
    """A `VersionVector` that knows what it was told. What is declared lost is gone, and never taken back;
    `IN` and `GONE` stay. All lines are its own."""

    def __init__(self) -> None:
        self.lost_edges: set[str] = set()
        self.lost_lines: set[EdgeLog] = set()
        self._told: dict[WriteId, WriteStatus] = {}

    def declare_lost(self, edge: str, incarnation: int | None = None) -> bool:
        """False if that was said before."""
        if incarnation is None:
            known = edge in self.lost_edges
            self.lost_edges.add(edge)
        else:
            known = EdgeLog(edge, incarnation) in self.lost_lines
            self.lost_lines.add(EdgeLog(edge, incarnation))
        return not known

    def publish(self, write_id: WriteId, write_status: WriteStatus) -> None:
        if self._told.get(write_id) not in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
            self._told[write_id] = write_status

    def write_status(self, dependency: Dependency) -> WriteStatus:
        told = (
            WriteStatus.UNKNOWN
            if dependency.before
            else self._told.get(dependency.write_id, WriteStatus.UNKNOWN)
        )
        if told is WriteStatus.APPLIED:
            return told
        gone = dependency.edge in self.lost_edges or dependency.edge_log in self.lost_lines
        return WriteStatus.ABANDONED if gone else told

    def holds(self, line: EdgeLog) -> bool:
        return True


SECOND = 1_000_000
HOUR = 3_600 * SECOND
YEAR = 365 * 24 * HOUR
WALL = 1_790_000_000 * SECOND
TOKENS = CausalityTokens(b"the secret of all edges")
CLASSES = {"album": QueuedClass("album", True, 10 * HOUR), "print": QueuedClass("print", False)}
ASH = EdgeLog("ash", 7)
ASH_LATER = EdgeLog("ash", 8)


class Known:
    """A version vector that knows what a test says."""

    def __init__(self) -> None:
        self.write_statuses: dict[Dependency, WriteStatus] = {}
        self.held = True

    def write_status(self, dependency: Dependency) -> WriteStatus:
        return self.write_statuses.get(dependency, WriteStatus.UNKNOWN)

    def holds(self, line: EdgeLog) -> bool:
        return self.held


class OutboxApi:
    """An outbox, and its driver with a disk that never fails."""

    def __init__(self, line: EdgeLog = ASH, bounds: OutboxBounds | None = None) -> None:
        self.known = Known()
        self.bounds = bounds or OutboxBounds(replay_most=1_000)
        self.outbox = Outbox(line, CLASSES, self.bounds, TOKENS, self.known)
        self.outbox.pace.limit = self.bounds.replay_most
        self.kept: dict[WriteId, QueuedWrite] = {}
        self.moved: dict[WriteId, StateChange] = {}
        self.now = 0

    def offer(self, cls: str = "print", follows: str = "", key: bytes = b"", **more: object) -> WriteOffer:
        named: dict[str, object] = {
            "method_and_target": b"POST /",
            "headers": (),
            "size": 10,
            "digest": b"",
            **more,
        }
        return WriteOffer(cls, key=key, tokens=follows, **named)  # type: ignore[arg-type]

    def keep(self, cls: str = "print", follows: str = "", key: bytes = b"", **more: object) -> WriteId:
        ticket = self.outbox.offer(self.offer(cls, follows, key, **more), self.now, WALL + self.now)
        assert ticket.write is not None
        self.kept[ticket.write_id] = decode_write(encode(ticket.write))
        self.outbox.on_stored(ticket.write_id, self.now)
        return ticket.write_id

    def apply(self, change: Transition | None) -> WriteId:
        assert change is not None
        self.moved[change.write_id] = decode_state_change(encode(change.state_change))
        assert self.outbox.apply(change, self.now)
        return change.write_id

    def due(self) -> list[WriteId]:
        """All that was due, applied; those that were sent come back."""
        changes = self.outbox.due(self.now)
        for change in changes:
            self.apply(change)
        return [change.write_id for change in changes if change.event is WriteEvent.SEND]

    def end(self, write_id: WriteId, end: ReplayResult = ReplayResult.ANSWERED) -> None:
        self.apply(self.outbox.on_replay_end(write_id, end, self.now, WALL + self.now, 200))

    def resolve(self, write_id: WriteId, parking: int, resolution: Resolution) -> Transition | None:
        change = self.outbox.resolve(write_id, parking, resolution, WALL + self.now)
        if change is not None:
            self.apply(change)
        return change

    def state(self, write_id: WriteId) -> WriteState:
        return self.outbox.receipt(write_id).state

    def park(self, write_id: WriteId) -> None:
        assert self.due() == [write_id]
        self.end(write_id, ReplayResult.DENIED)

    def again(self, wall: int, line: EdgeLog = ASH_LATER) -> OutboxApi:
        """Another life on the same disk."""
        other = OutboxApi(line, self.bounds)
        other.kept, other.moved = dict(self.kept), dict(self.moved)
        pairs = [(write, other.moved.get(write_id)) for write_id, write in other.kept.items()]
        for change in other.outbox.restore(pairs, {ASH: self.outbox.edge_logs()[ASH]}, 0, wall):
            other.apply(change)
        return other


# Names and tokens


def test_a_dot_is_read_as_it_is_told() -> None:
    write_id = WriteId("ash", 255, 3)
    assert str(write_id) == "ash/00000000000000ff/3" and parse_write_id(str(write_id)) == write_id
    for text in ("", "ash/ff/3", "ash/00000000000000ff/0", "Ash/00000000000000ff/3", str(write_id) + "\n"):
        with pytest.raises(TokenError):
            parse_write_id(text)
    for name in ("", "-a", "A", "a" * 33):
        with pytest.raises(ValueError, match="an edge's name"):
            check_edge(name)


def test_a_token_says_what_it_was_made_of() -> None:
    dependencies = merge(
        [
            Dependency("ash", 7, 3),
            Dependency("ash", 7, 1),
            Dependency("oak", 2, 9, True),
            Dependency("oak", 2, 4),
        ]
    )
    assert dependencies == (Dependency("ash", 7, 1), Dependency("ash", 7, 3), Dependency("oak", 2, 9, True))
    assert TOKENS.read(TOKENS.encode(dependencies)) == dependencies
    assert TOKENS.read("") == TOKENS.read(" , ") == ()
    many = merge([Dependency("ash", 7, number) for number in range(1, 6)])
    assert many == (Dependency("ash", 7, 5, True),)


def test_no_bit_of_a_token_can_be_changed() -> None:
    token = TOKENS.receipt(WriteId("ash", 7, 3))
    raw = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))
    for place in range(8 * len(raw)):
        forged = bytearray(raw)
        forged[place // 8] ^= 1 << place % 8
        with pytest.raises(TokenError):
            TOKENS.read(base64.urlsafe_b64encode(forged).decode())
    for text in (token[:-1], token + "A", "x", "é", "a" * (TOKEN_MOST + 1)):
        with pytest.raises(TokenError):
            TOKENS.read(text)
    with pytest.raises(TokenError):
        CausalityTokens(b"another secret, as long").read(token)
    with pytest.raises(ValueError, match="16 bytes"):
        CausalityTokens(b"short")


def test_what_is_signed_by_another_version_is_read_as_strictly() -> None:
    import msgspec

    for told in (
        (2, []),
        (1, [("A", 7, [1], 0)]),
        (1, [("ash", 7, [0], 0)]),
        (1, [("ash", -1, [1], 0)]),
        (1,),
    ):
        data = msgspec.msgpack.encode(told)
        with pytest.raises(TokenError, match="can't be read"):
            TOKENS.read(base64.urlsafe_b64encode(TOKENS._sign(data) + data).decode())


def test_six_lines_of_the_longest_names_fit_and_500_edges_get_a_name_of_their_own() -> None:
    longest = [Dependency("e" * 31 + str(one), (1 << 64) - 1, (1 << 63) - 1) for one in range(6)]
    assert len(TOKENS.encode(tuple(longest))) <= TOKEN_MOST
    edges = tuple(Dependency(f"edge{one}", one, 5) for one in range(500))
    with pytest.raises(LooseError):
        TOKENS.encode(edges)
    desk = OutboxApi()
    ticket = desk.outbox.join(edges, 0, WALL)
    assert ticket.write is not None and len(TOKENS.receipt(ticket.write_id)) <= TOKEN_MOST
    desk.outbox.on_stored(ticket.write_id, 0)
    follower = desk.keep(follows=TOKENS.receipt(ticket.write_id))
    for dependency in edges:
        assert desk.due() == []
        desk.known.write_statuses[dependency] = WriteStatus.APPLIED
        desk.outbox.on_remote_change(0)
    assert (
        desk.due() == [] and desk.state(ticket.write_id) is WriteState.DONE
    )  # the join has no effect of its own
    assert desk.due() == [follower]


def test_a_request_brings_no_more_than_so_many_names() -> None:
    tokens = [TOKENS.encode(tuple(Dependency(f"e{part}", one, 1) for one in range(6))) for part in range(100)]
    assert len(TOKENS.read(", ".join(tokens[:83]))) == 498
    for value in (", ".join(tokens), ",".join("a" * 200), "a" * 100_000):
        with pytest.raises(LooseError):
            TOKENS.read(value)
    with pytest.raises(LooseError):
        OutboxApi().outbox.join(
            tuple(Dependency(f"e{one}", one, 1) for one in range(MAX_DEPENDENCIES + 1)), 0, WALL
        )


def test_a_receipt_from_the_future_and_a_circle_are_refused_in_one_line() -> None:
    desk = OutboxApi()
    with pytest.raises(FutureError) as told:
        desk.keep(follows=TOKENS.receipt(WriteId(*ASH, 1)))
    assert "\n" not in str(told.value)
    first = desk.keep("album", key=b"k")
    second = desk.keep(follows=TOKENS.receipt(first))
    third = desk.keep(follows=TOKENS.receipt(second))
    for named in (first, second, third):
        with pytest.raises(CycleError) as circle:
            desk.outbox.offer(desk.offer("album", TOKENS.receipt(named), b"k"), 0, WALL)
        assert "\n" not in str(circle.value)
    ticket = desk.outbox.offer(desk.offer("album", "", b"k"), 0, WALL)
    assert ticket.is_known and ticket.write_id == first and desk.outbox.is_durable(first)
    assert desk.outbox.count == 3


# States


@pytest.mark.parametrize("state", WriteState)
@pytest.mark.parametrize("event", WriteEvent)
def test_only_the_table_moves_a_write(state: WriteState, event: WriteEvent) -> None:
    if (state, event) in TRANSITIONS:
        assert next_state(state, event) is TRANSITIONS[state, event]
    else:
        with pytest.raises(StepError, match=f"{event.name} is not allowed in state {state.name}"):
            next_state(state, event)


def test_each_step_of_the_table_is_taken() -> None:
    taken: set[tuple[WriteState, WriteEvent]] = set()

    def seen(desk: OutboxApi, change: Transition | None) -> WriteId:
        assert change is not None
        row = desk.outbox._row(change.write_id)
        taken.add((desk.outbox._rows.state_of(row), change.event))
        return desk.apply(change)

    desk = OutboxApi()
    for end in ReplayResult:
        last = desk.keep()
        for change in desk.outbox.due(desk.now):
            seen(desk, change)
        seen(desk, desk.outbox.on_replay_end(last, end, desk.now, WALL))
        desk.now += 2 * SECOND
    # NOT_RUN left one ready; MAY_HAVE_RUN and DENIED are parked.
    keyed = desk.keep("album", key=b"k")
    for change in desk.outbox.due(desk.now):
        seen(desk, change)
    seen(desk, desk.outbox.on_replay_end(keyed, ReplayResult.MAY_HAVE_RUN, desk.now, WALL))
    parked = [write_id for write_id in desk.kept if desk.state(write_id) is WriteState.PARKED]
    behind = desk.keep(follows=TOKENS.receipt(parked[0]))
    late = desk.keep(follows=TOKENS.receipt(parked[0]))
    taken.add((WriteState.KEPT, WriteEvent.DEPENDENCIES_FINAL))
    seen(desk, desk.outbox.resolve(behind, 1, Resolution.GIVE_UP, WALL))
    seen(desk, desk.outbox.resolve(parked[0], 1, Resolution.GIVE_UP, WALL))
    seen(desk, next(change for change in desk.outbox.due(desk.now) if change.event is WriteEvent.ORPHANED))
    seen(desk, desk.outbox.resolve(late, 1, Resolution.NEVER_RAN, WALL))
    seen(desk, desk.outbox.resolve(parked[1], 1, Resolution.RAN, WALL))
    waiting = desk.keep(follows=TOKENS.receipt(WriteId("oak", 1, 1)))
    desk.now += 8 * 24 * HOUR
    for change in desk.outbox.due(desk.now):
        seen(desk, change)
    assert desk.outbox.receipt(waiting).reason is ParkingReason.AGE
    join = desk.outbox.join((), desk.now, WALL)
    desk.outbox.on_stored(join.write_id, desk.now)
    seen(desk, next(change for change in desk.outbox.due(desk.now) if change.event is WriteEvent.JOINED))
    gone = desk.outbox.offer(desk.offer(), desk.now, WALL)
    desk.outbox.on_store_failed(gone.write_id, desk.now)
    taken.add((WriteState.KEPT, WriteEvent.STORE_FAILED))
    desk = OutboxApi()
    desk.bounds = OutboxBounds(replay_most=1)
    unsure, ready, held = desk.keep(), desk.keep(), desk.keep(follows=TOKENS.receipt(WriteId("oak", 1, 1)))
    desk.outbox.pace.limit = 1
    assert desk.due() == [unsure]
    desk.end(unsure, ReplayResult.MAY_HAVE_RUN)
    seen(desk, desk.outbox.on_found_applied(unsure, WALL))
    assert desk.state(unsure) is WriteState.DONE and desk.outbox.on_found_applied(unsure, WALL) is None
    desk.outbox.fence(ASH)
    for change in desk.outbox.due(desk.now):
        seen(desk, change)
    assert [desk.outbox.receipt(write_id).reason for write_id in (ready, held)] == [ParkingReason.FENCED] * 2
    with pytest.raises(KeepError):
        desk.keep()
    desk.outbox.unfence(ASH)
    for change in desk.outbox.due(desk.now):
        seen(desk, change)
    assert [desk.state(write_id) for write_id in (ready, held)] == [WriteState.READY, WriteState.KEPT]
    assert set(TRANSITIONS) - taken == set()


def test_no_record_is_read_of_which_a_byte_is_missing() -> None:
    desk = OutboxApi()
    write_id = desk.keep("album", key=b"k", session=b"s")
    desk.park(write_id)
    for data, decode in (
        (encode(desk.kept[write_id]), decode_write),
        (encode(desk.moved[write_id]), decode_state_change),
    ):
        assert encode(decode(data)) == data
        for cut in range(len(data)):
            with pytest.raises(KeptRecordError):
                decode(data[:cut])


def test_what_is_not_as_its_class_demands_is_not_kept() -> None:
    desk = OutboxApi()
    for offer in (desk.offer("view"), desk.offer("album")):
        with pytest.raises(KeepError):
            desk.outbox.offer(offer, 0, WALL)


def test_the_bounds_say_when_to_return() -> None:
    desk = OutboxApi(bounds=OutboxBounds(max_bytes=100, max_writes=4, tenant_share=0.5))
    desk.keep(tenant="a", size=50)
    with pytest.raises(FullError, match="tenant 'a'") as told:
        desk.keep(tenant="a", size=1)
    assert told.value.retry_us > 0
    desk.keep(tenant="b", size=50)
    with pytest.raises(FullError, match="bytes limit"):
        desk.keep(tenant="c", size=1)
    desk.keep(tenant="c", size=0)
    desk.keep(tenant="d", size=0)
    with pytest.raises(FullError, match="count limit"):
        desk.keep(tenant="e", size=0)
    for write_id in desk.due():
        desk.end(write_id)
    assert (desk.outbox.count, desk.outbox.size) == (0, 0)
    desk.keep(tenant="a", size=50)


# Order


def test_a_write_follows_its_session_its_object_and_what_it_names() -> None:
    desk = OutboxApi()
    first = desk.keep(session=b"s")
    second = desk.keep(session=b"s", obj=b"o")
    third = desk.keep(obj=b"o")
    alone = desk.keep(session=b"t")
    abroad = desk.keep(follows=TOKENS.receipt(WriteId("oak", 1, 4)))
    assert desk.due() == [first, alone]
    assert desk.outbox.receipt(third).behind == second
    desk.end(first)
    assert desk.due() == [second]
    desk.end(second)
    assert desk.due() == [third]
    assert desk.outbox.must_queue(TOKENS.receipt(abroad)) and not desk.outbox.must_queue(
        TOKENS.receipt(first)
    )
    desk.known.write_statuses[Dependency("oak", 1, 4)] = WriteStatus.APPLIED
    desk.outbox.on_remote_change(0)
    assert desk.due() == [abroad]


def test_a_parked_album_with_10_000_followers_is_one_walk() -> None:
    for chain in (False, True):
        desk = OutboxApi(bounds=OutboxBounds(replay_most=20_000, tenant_share=1.0))
        album = desk.keep()
        last = album
        for _ in range(10_000):
            last = desk.keep(follows=TOKENS.receipt(last if chain else album))
        free = desk.keep()
        assert desk.due() == [album, free]
        desk.end(album, ReplayResult.DENIED)
        assert desk.outbox._graph.arrows_visited == 10_000
        receipt = desk.outbox.receipt(last)
        assert (receipt.state, receipt.reason, receipt.behind) == (
            WriteState.PARKED,
            ParkingReason.FOLLOWS,
            album,
        )
        desk.end(free)
        desk.resolve(album, 1, Resolution.NEVER_RAN)
        assert desk.outbox._graph.arrows_visited == 20_000
        assert desk.due() == [album]
        desk.end(album)
        assert len(desk.due()) == (1 if chain else 10_000)


def test_a_write_waits_through_one_that_was_judged() -> None:
    """B is given up or judged to have run while A waits: C still follows A."""
    for resolution in (Resolution.RAN, Resolution.GIVE_UP):
        desk = OutboxApi(bounds=OutboxBounds(orphans="release"))
        first = desk.keep()
        second = desk.keep("album", TOKENS.receipt(first), b"k")
        third = desk.keep(follows=TOKENS.receipt(second))
        desk.park(first)
        desk.now = 11 * HOUR
        assert desk.due() == [] and desk.outbox.receipt(second).reason is ParkingReason.WINDOW
        desk.resolve(second, 1, resolution)
        assert desk.due() == [] and desk.state(third) is WriteState.PARKED
        assert desk.outbox.write_status(second) is WriteStatus.PARKED
        desk.resolve(first, 1, Resolution.RAN)
        assert desk.outbox.write_status(second) in (WriteStatus.APPLIED, WriteStatus.ABANDONED)
        assert desk.due() == [third]


@pytest.mark.parametrize("orphans", ["park", "release"])
def test_followers_of_a_lost_edge(orphans: str) -> None:
    desk = OutboxApi(bounds=OutboxBounds(orphans=orphans))  # type: ignore[arg-type]
    lost, write_id = Dependency("oak", 1, 4), WriteId("oak", 1, 4)
    follower = desk.keep(follows=TOKENS.receipt(write_id))
    desk.known.write_statuses[lost] = WriteStatus.ABANDONED
    desk.outbox.on_remote_change(0)
    if orphans == "release":
        assert desk.due() == [follower]
        assert desk.due() == [] and not desk.outbox.must_queue(TOKENS.receipt(write_id))
        return
    assert desk.due() == [] and desk.outbox.receipt(follower).reason is ParkingReason.ORPHANED
    again = desk.again(WALL)
    again.known.write_statuses[lost] = WriteStatus.ABANDONED
    assert again.due() == [] and again.outbox.receipt(follower).parking == 1
    again.resolve(follower, 1, Resolution.NEVER_RAN)
    third = again.again(WALL, EdgeLog("ash", 9))
    third.known.write_statuses[lost] = WriteStatus.ABANDONED
    third.outbox.on_remote_change(0)
    assert third.due() == [follower]  # it is not made an orphan twice


def test_a_cause_lost_in_a_crash_does_not_take_its_own_causes_along() -> None:
    desk = OutboxApi()
    first = desk.keep(session=b"s")
    lost = desk.outbox.offer(desk.offer(session=b"s", obj=b"o"), 0, WALL).write_id
    third = desk.keep(obj=b"o")
    assert lost not in desk.kept and desk.outbox.receipt(third).behind is not None
    other = desk.again(WALL)
    assert other.due() == [first]


# Verdicts


def test_a_verdict_given_twice_counts_once() -> None:
    desk = OutboxApi()
    write_id = desk.keep()
    desk.park(write_id)
    assert desk.resolve(write_id, 1, Resolution.NEVER_RAN) is not None
    assert desk.resolve(write_id, 1, Resolution.NEVER_RAN) is None
    desk.park(write_id)
    assert desk.resolve(write_id, 1, Resolution.NEVER_RAN) is None  # late: that was the parking before
    assert desk.state(write_id) is WriteState.PARKED
    for parking, resolution in ((1, Resolution.RAN), (3, Resolution.RAN)):
        with pytest.raises(VerdictError):
            desk.resolve(write_id, parking, resolution)
    assert desk.resolve(write_id, 2, Resolution.RAN) is not None
    assert desk.again(WALL).outbox.resolve(write_id, 2, Resolution.RAN, WALL) is None
    with pytest.raises(VerdictError, match="was judged ran"):
        desk.resolve(write_id, 2, Resolution.GIVE_UP)


def test_of_two_verdicts_at_once_the_first_stands() -> None:
    desk = OutboxApi()
    write_id = desk.keep()
    desk.park(write_id)
    first = desk.outbox.resolve(write_id, 1, Resolution.RAN, WALL)
    with pytest.raises(VerdictError, match="on its way"):
        desk.outbox.resolve(write_id, 1, Resolution.GIVE_UP, WALL)
    assert first is not None
    desk.outbox.undo(first, 0)  # its disk failed: it was never given
    assert desk.resolve(write_id, 1, Resolution.GIVE_UP) is not None
    assert desk.state(write_id) is WriteState.GIVEN_UP


def test_only_what_is_parked_is_judged() -> None:
    desk = OutboxApi()
    write_id = desk.keep()
    behind = desk.keep(follows=TOKENS.receipt(write_id))
    with pytest.raises(VerdictError, match="not parked"):
        desk.resolve(write_id, 1, Resolution.RAN)
    desk.park(write_id)
    with pytest.raises(VerdictError, match="judge what it follows"):
        desk.resolve(behind, 1, Resolution.NEVER_RAN)
    assert (
        desk.resolve(behind, 1, Resolution.GIVE_UP) is not None
        and desk.resolve(behind, 1, Resolution.GIVE_UP) is None
    )
    with pytest.raises(UnknownWriteError):
        desk.outbox.receipt(WriteId("oak", 1, 1))


# Restart


def test_what_was_out_at_a_crash_goes_again_only_under_its_key() -> None:
    desk = OutboxApi()
    keyed, unsafe = desk.keep("album", key=b"k"), desk.keep()
    assert desk.due() == [keyed, unsafe]
    other = desk.again(WALL + HOUR)
    assert other.due() == [keyed]
    assert other.outbox.receipt(unsafe).reason is ParkingReason.MAY_HAVE_RUN
    late = desk.again(WALL + 11 * HOUR)
    assert late.due() == [] and late.outbox.receipt(keyed).reason is ParkingReason.MAY_HAVE_RUN


def test_clocks_years_off() -> None:
    desk = OutboxApi()
    sent, fresh = (
        desk.keep("album", key=b"k"),
        desk.keep("album", key=b"l", follows=TOKENS.receipt(WriteId(*ASH, 1))),
    )
    assert desk.due() == [sent]
    back = desk.again(WALL - 3 * YEAR)
    assert back.outbox.receipt(sent).reason is ParkingReason.MAY_HAVE_RUN  # the window can't be known
    back.resolve(sent, 1, Resolution.RAN)
    assert back.due() == [fresh]  # never sent: nothing to double
    ahead = desk.again(WALL + 3 * YEAR)
    assert ahead.due() == []
    assert ahead.outbox.receipt(fresh).reason is ParkingReason.WINDOW
    ahead.resolve(sent, 1, Resolution.RAN)
    ahead.resolve(fresh, 1, Resolution.NEVER_RAN)
    assert ahead.due() == [fresh]  # the resolution begins its window anew


def test_a_copy_of_the_disk_started_twice_gives_no_name_twice_and_sends_nothing() -> None:
    desk = OutboxApi()
    old = desk.keep()
    one, two = desk.again(WALL, EdgeLog("ash", 8)), desk.again(WALL, EdgeLog("ash", 9))
    assert one.keep() != two.keep()
    two.known.held = False
    assert old in one.due() and two.due() == []
    two.known.held = True
    two.outbox.on_remote_change(0)
    assert len(two.due()) == 2


def test_a_write_whose_record_took_longer_than_its_window_is_not_sent() -> None:
    desk = OutboxApi()
    write_id = desk.keep("album", key=b"k")
    (change,) = desk.outbox.due(0)
    assert desk.outbox.apply(change, 10 * HOUR) is False
    desk.now = 10 * HOUR
    desk.end(write_id, ReplayResult.NOT_RUN)
    desk.now += SECOND
    assert desk.due() == [] and desk.outbox.receipt(write_id).reason is ParkingReason.WINDOW


def test_a_keyed_write_goes_out_while_a_whole_try_fits_in_its_window() -> None:
    for late in (0, 1):
        desk = OutboxApi()
        write_id = desk.keep("album", key=b"k")
        desk.now = 10 * HOUR - desk.bounds.send_us + late
        assert desk.due() == ([] if late else [write_id])
        if not late:
            desk.now += 1
            desk.end(write_id, ReplayResult.MAY_HAVE_RUN)
            assert desk.outbox.receipt(write_id).reason is ParkingReason.MAY_HAVE_RUN


def test_what_an_edge_knows_by_itself() -> None:
    desk, version_vector = OutboxApi(), PlayedVersionVector()
    desk.outbox.version_vector = version_vector
    dependency = Dependency("oak", 1, 4)
    assert version_vector.write_status(dependency) is WriteStatus.UNKNOWN and version_vector.holds(ASH)
    version_vector.publish(dependency.write_id, WriteStatus.PARKED)
    assert version_vector.write_status(dependency) is WriteStatus.PARKED
    version_vector.publish(dependency.write_id, WriteStatus.APPLIED)
    version_vector.publish(dependency.write_id, WriteStatus.PARKED)  # late
    assert version_vector.declare_lost("oak", 1) and not version_vector.declare_lost("oak", 1)
    assert (
        version_vector.write_status(dependency) is WriteStatus.APPLIED
        and version_vector.write_status(Dependency("oak", 1, 5)) is WriteStatus.ABANDONED
    )
    assert version_vector.write_status(Dependency("oak", 2, 1)) is WriteStatus.UNKNOWN
    assert version_vector.declare_lost("oak") and not version_vector.declare_lost("oak")
    assert version_vector.write_status(Dependency("oak", 2, 1, True)) is WriteStatus.ABANDONED


def test_one_key_at_two_edges_is_two_writes_under_one_key() -> None:
    """Upstream tells them apart by the key; each edge has one of them."""
    ash, oak = OutboxApi(), OutboxApi(EdgeLog("oak", 1))
    here, there = ash.keep("album", key=b"k"), oak.keep("album", key=b"k")
    assert here != there and ash.kept[here].key == oak.kept[there].key
    assert ash.due() == [here] and oak.due() == [there]


def test_receipts_are_kept_for_their_time_and_then_forgotten() -> None:
    desk = OutboxApi(bounds=OutboxBounds(receipt_us=HOUR, max_receipts=2))
    first = desk.keep("album", key=b"k")
    assert desk.due() == [first]
    desk.end(first)
    assert (
        desk.outbox.take_finished() == [(first, WriteStatus.APPLIED)] and desk.outbox.low_watermark(ASH) == 1
    )
    assert desk.outbox.expired_receipts(HOUR - 1) == []
    assert desk.outbox.offer(desk.offer("album", key=b"k"), 0, WALL).is_known
    assert desk.outbox.expired_receipts(HOUR) == [first]
    desk.outbox.forget(first)
    assert not desk.outbox.offer(desk.offer("album", key=b"k"), HOUR, WALL).is_known
    more = [desk.keep() for _ in range(3)]
    for write_id in desk.due():
        desk.end(write_id)
    assert desk.outbox.expired_receipts(0) == more[:1]  # too many


# Pace and cut-off


def test_thirty_edges_begin_with_thirty_writes() -> None:
    paces = [ReplayPacer(8, SECOND) for _ in range(30)]
    for pace in paces:
        while pace.may_send(0):
            pace.on_sent()
    assert sum(pace.in_flight for pace in paces) == 30


def test_the_pace_grows_by_answers_and_is_halved_by_refusals() -> None:
    pace = ReplayPacer(4, SECOND)
    for _ in range(9):
        pace.on_sent()
        pace.on_answer()
    assert pace.limit == 4
    pace.on_sent()
    pace.on_failure(0)
    pace.on_refusal(10)  # the same shortage
    assert pace.limit == 2 and not pace.may_send(SECOND) and pace.may_send(SECOND + 10)
    pace.on_refusal(3 * SECOND)
    pace.on_refusal(6 * SECOND)
    assert pace.limit == 1
    turns = ReplayQueue()
    for row in (1, 2):
        turns.add(row)
    turns.requeue(turns.next())
    assert (turns.next(), turns.next(), len(turns)) == (1, 2, 0)


def test_one_time_out_or_one_endpoint_is_no_cut() -> None:
    cut = CutOffDetector(CutOffRule(), 10, 0)
    for second in range(100):
        cut.on_failure(1, second * SECOND)
    assert not cut.is_cut_off and not cut.tick(1_000 * SECOND)
    moment = CutOffDetector(CutOffRule(), 10, 0)
    for endpoint in range(10):
        moment.on_failure(endpoint, 0)
    assert not moment.tick(HOUR)  # a moment's failures and a quiet hour
    moment.on_response(HOUR)
    moment.on_failure(1, HOUR)
    assert not moment.is_cut_off


def test_all_fail_for_a_while_and_the_edge_is_cut_off_until_the_way_holds() -> None:
    cut = CutOffDetector(
        CutOffRule(cut_us=5 * SECOND, min_endpoints=3, back_us=2 * SECOND, min_answers=3), 10, 0
    )
    for second in range(6):
        cut.on_failure(second, second * SECOND)
    assert cut.is_cut_off
    for second in range(6, 60):  # the link flaps each second
        cut.on_response(second * SECOND)
        for endpoint in range(3):
            cut.on_failure(endpoint, second * SECOND + SECOND // 2)
    assert cut.is_cut_off
    for second in (60, 61, 62):
        assert cut.is_cut_off
        cut.on_response(second * SECOND)
    assert not cut.is_cut_off


def test_an_edge_without_endpoints_is_cut_off_in_time() -> None:
    cut = CutOffDetector(CutOffRule(), 2, 0)
    cut.on_endpoint_count(0, SECOND)
    assert not cut.tick(2 * SECOND) and cut.tick(6 * SECOND)
    cut.on_endpoint_count(2, 7 * SECOND)
    for second in (8, 9, 10):
        cut.on_response(second * SECOND)
    assert not cut.is_cut_off
    cut.on_failure(0, 11 * SECOND)
    cut.on_failure(1, 16 * SECOND)  # both there are
    assert cut.is_cut_off


# Receipts, rows, graph


def test_a_receipt_tells_the_reason_and_what_can_be_said_of_it() -> None:
    desk = OutboxApi()
    write_id = desk.keep()
    behind = desk.keep(follows=TOKENS.receipt(write_id))
    assert json.loads(encode_receipt(desk.outbox.receipt(behind))) == {
        "write": str(behind),
        "state": "kept",
        "behind": str(write_id),
    }
    desk.park(write_id)
    told = json.loads(encode_receipt(desk.outbox.receipt(write_id)))
    assert told["reason"] == REASON_TEXTS[ParkingReason.DENIED] and told["verdicts"] == [
        "ran",
        "never_ran",
        "give_up",
    ]
    assert json.loads(encode_receipt(desk.outbox.receipt(behind)))["verdicts"] == ["give_up"]
    done = WriteReceipt(write_id, WriteState.DONE, status=201, headers=((b"a", b"b"),), body=b"\xff")
    assert json.loads(encode_receipt(done))["status"] == 201
    assert set(REASON_TEXTS) == set(ParkingReason) - {ParkingReason.NONE}


def test_places_are_found_after_any_order_of_changes() -> None:
    draw, places, real = random.Random(1), IntegerMap(), dict[int, int]()
    for _ in range(20_000):
        key = draw.randrange(1, 400)
        if draw.random() < 0.5:
            places.put(key, -key)
            real[key] = -key
        else:
            places.drop(key)
            real.pop(key, None)
    assert len(places) == len(real) and all(places.get(key) == real.get(key, -1) for key in range(400))
    assert short_hash(b"s", b"") == 0 != short_hash(b"s", b"a") != short_hash(b"o", b"a")


def test_the_graph_counts_what_sticks_as_a_walk_would() -> None:
    draw, graph = random.Random(2), DependencyGraph()
    nodes: list[int] = []
    for _ in range(1_000):
        deed = draw.random()
        if deed < 0.4 or not nodes:
            node = graph.add()
            for dependency in set(draw.sample(nodes, min(len(nodes), draw.randrange(4)))):
                graph.link(dependency, node)
            nodes.append(node)
        elif deed < 0.7:
            (graph.halt if deed < 0.55 else graph.resume)(draw.choice(nodes))
        elif ready := [node for node in nodes if graph.is_free(node)]:
            nodes.remove(done := draw.choice(ready))
            graph.finish(done)
        for node in nodes:
            assert graph.has_blocked_dependency(node) == any(
                graph.is_blocked(dependency) for dependency in graph.dependencies(node)
            )
            assert graph.is_free(node) == (graph.dependencies(node) == [])
    assert len(graph) == len(nodes)


def test_a_kept_write_takes_less_than_200_bytes() -> None:
    desk = OutboxApi(bounds=OutboxBounds(tenant_share=1.0))
    desk.keep()
    tracemalloc.start()
    try:
        count = 3_000
        for one in range(count):
            offer = desk.offer(
                "album", "", b"k%d" % one, session=b"s%d" % (one // 10), obj=b"o%d" % (one // 4)
            )
            desk.outbox.on_stored(desk.outbox.offer(offer, 0, WALL).write_id, 0)
        size = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert size / count < 200


def test_what_is_due_costs_by_what_is_due() -> None:
    looked: list[int] = []

    class Counted(Outbox):
        def _expired(self, row: int, now: int) -> ParkingReason:
            looked.append(row)
            return super()._expired(row, now)

    desk = OutboxApi(bounds=OutboxBounds(replay_most=1, tenant_share=1.0))
    desk.outbox = Counted(ASH, CLASSES, desk.bounds, TOKENS, desk.known)
    kept = [desk.keep("print" if number % 2 else "album", key=b"k%d" % number) for number in range(500)]
    looked.clear()
    assert len(desk.due()) == 1
    for _ in range(10):
        assert desk.due() == []
    assert len(looked) < 50
    desk.now = desk.bounds.age_us + 1
    rounds = 0
    while any(desk.outbox.receipt(write_id).state is not WriteState.PARKED for write_id in kept[1:]):
        desk.due()
        rounds += 1
    assert rounds <= 4 and desk.outbox.receipt(kept[0]).state is WriteState.OUT
    desk.end(kept[0], ReplayResult.NOT_RUN)
    desk.due()
    assert desk.outbox.receipt(kept[0]).state is WriteState.PARKED


def test_the_oldest_of_a_class_is_first_after_any_order_of_changes() -> None:
    draw, ages = random.Random(5), ExpiryQueue(2)
    model: list[list[int]] = [[], []]
    free = list(range(50))
    for _ in range(5_000):
        cls = draw.randrange(2)
        if draw.random() < 0.5 and free:
            row = free.pop(draw.randrange(len(free)))
            ages.add(cls, row)
            model[cls].append(row)
        elif model[cls]:
            row = model[cls].pop(draw.randrange(len(model[cls])))
            ages.drop(cls, row)
            ages.drop(cls, row)  # gone already
            free.append(row)
        assert [ages.first(one) for one in (0, 1)] == [(rows or [-1])[0] for rows in model]


def test_numbers_are_found_after_any_order_of_changes() -> None:
    draw, numbers, model = random.Random(6), PagedIntegerMap(), dict[int, int]()
    for step in range(10_000):
        name = draw.randrange(2) << 48 | draw.randrange(300)
        if draw.random() < 0.5:
            numbers.put(name, step)
            model[name] = step
        else:
            numbers.drop(name)
            model.pop(name, None)
        assert numbers.get(name) == model.get(name, -1)
    for name in model:
        numbers.drop(name)
    assert not numbers._pages


def test_sends_go_one_at_a_time_and_rest_while_live_requests_come() -> None:
    async def main() -> None:
        aside, loop, order = BackgroundReplay(), asyncio.get_running_loop(), list[str]()
        slept: list[float] = []
        loop.call_later = lambda delay, call: (slept.append(delay), loop.call_soon(call))  # type: ignore

        async def send(name: str) -> None:
            async with aside:
                order.append(name)
            loop.call_soon(order.append, "others")

        await asyncio.gather(*(send(name) for name in "ab"))
        assert order[:3] == ["a", "others", "b"] and not slept
        aside.live = True
        await send("c")
        await send("d")
        assert len(slept) == 1 and slept[0] > 0.0 and not aside.live

    asyncio.run(main())
