"""Tests of the outbox's pure parts: write ids, tokens, states, dependencies, replay, cut-off, receipts."""

from __future__ import annotations

import asyncio
import base64
import json
import random
import tracemalloc

import pytest
from laurelstep.outbox.background_replay import BackgroundReplay
from laurelstep.outbox.causality_tokens import MAX_TOKEN_LENGTH, CausalityTokens
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


class RecordingVersionVector:
    """A `VersionVector` that records published statuses. A declared loss is permanent, and so are APPLIED and
    ABANDONED. It holds the leases on all logs.
    """

    def __init__(self) -> None:
        self.lost_edges: set[str] = set()
        self.lost_logs: set[EdgeLog] = set()
        self._published: dict[WriteId, WriteStatus] = {}

    def declare_lost(self, edge: str, incarnation: int | None = None) -> bool:
        """Returns False if the loss was declared before."""
        if incarnation is None:
            was_lost = edge in self.lost_edges
            self.lost_edges.add(edge)
        else:
            was_lost = EdgeLog(edge, incarnation) in self.lost_logs
            self.lost_logs.add(EdgeLog(edge, incarnation))
        return not was_lost

    def publish(self, write_id: WriteId, write_status: WriteStatus) -> None:
        if self._published.get(write_id) not in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
            self._published[write_id] = write_status

    def write_status(self, dependency: Dependency) -> WriteStatus:
        published = (
            WriteStatus.UNKNOWN
            if dependency.before
            else self._published.get(dependency.write_id, WriteStatus.UNKNOWN)
        )
        if published is WriteStatus.APPLIED:
            return published
        is_lost = dependency.edge in self.lost_edges or dependency.edge_log in self.lost_logs
        return WriteStatus.ABANDONED if is_lost else published

    def holds(self, edge_log: EdgeLog) -> bool:
        return True


SECOND = 1_000_000
HOUR = 3_600 * SECOND
YEAR = 365 * 24 * HOUR
WALL = 1_790_000_000 * SECOND
TOKENS = CausalityTokens(b"the secret of all edges")
CLASSES = {"album": QueuedClass("album", True, 10 * HOUR), "print": QueuedClass("print", False)}
ASH = EdgeLog("ash", 7)
ASH_LATER = EdgeLog("ash", 8)


class SettableVersionVector:
    """A version vector whose statuses and leases a test sets."""

    def __init__(self) -> None:
        self.write_statuses: dict[Dependency, WriteStatus] = {}
        self.held = True

    def write_status(self, dependency: Dependency) -> WriteStatus:
        return self.write_statuses.get(dependency, WriteStatus.UNKNOWN)

    def holds(self, edge_log: EdgeLog) -> bool:
        return self.held


class OutboxHarness:
    """An outbox and a driver for it, whose disk never fails."""

    def __init__(self, edge_log: EdgeLog = ASH, bounds: OutboxBounds | None = None) -> None:
        self.version_vector = SettableVersionVector()
        self.bounds = bounds or OutboxBounds(replay_most=1_000)
        self.outbox = Outbox(edge_log, CLASSES, self.bounds, TOKENS, self.version_vector)
        self.outbox.pace.limit = self.bounds.replay_most
        self.queued: dict[WriteId, QueuedWrite] = {}
        self.state_changes: dict[WriteId, StateChange] = {}
        self.now = 0

    def offer(self, cls: str = "print", follows: str = "", key: bytes = b"", **more: object) -> WriteOffer:
        fields: dict[str, object] = {
            "method_and_target": b"POST /",
            "headers": (),
            "size": 10,
            "digest": b"",
            **more,
        }
        return WriteOffer(cls, key=key, tokens=follows, **fields)  # type: ignore[arg-type]

    def queue(self, cls: str = "print", follows: str = "", key: bytes = b"", **more: object) -> WriteId:
        ticket = self.outbox.offer(self.offer(cls, follows, key, **more), self.now, WALL + self.now)
        assert ticket.write is not None
        self.queued[ticket.write_id] = decode_write(encode(ticket.write))
        self.outbox.on_stored(ticket.write_id, self.now)
        return ticket.write_id

    def apply(self, change: Transition | None) -> WriteId:
        assert change is not None
        self.state_changes[change.write_id] = decode_state_change(encode(change.state_change))
        assert self.outbox.apply(change, self.now)
        return change.write_id

    def due(self) -> list[WriteId]:
        """Apply all due transitions. Returns the writes that were sent."""
        changes = self.outbox.due(self.now)
        for change in changes:
            self.apply(change)
        return [change.write_id for change in changes if change.event is WriteEvent.SEND]

    def finish(self, write_id: WriteId, result: ReplayResult = ReplayResult.ANSWERED) -> None:
        self.apply(self.outbox.on_replay_end(write_id, result, self.now, WALL + self.now, 200))

    def resolve(self, write_id: WriteId, parking: int, resolution: Resolution) -> Transition | None:
        change = self.outbox.resolve(write_id, parking, resolution, WALL + self.now)
        if change is not None:
            self.apply(change)
        return change

    def state(self, write_id: WriteId) -> WriteState:
        return self.outbox.receipt(write_id).state

    def park(self, write_id: WriteId) -> None:
        assert self.due() == [write_id]
        self.finish(write_id, ReplayResult.DENIED)

    def restart(self, wall: int, edge_log: EdgeLog = ASH_LATER) -> OutboxHarness:
        """Start another incarnation on the same disk."""
        other = OutboxHarness(edge_log, self.bounds)
        other.queued, other.state_changes = dict(self.queued), dict(self.state_changes)
        pairs = [(write, other.state_changes.get(write_id)) for write_id, write in other.queued.items()]
        for change in other.outbox.restore(pairs, {ASH: self.outbox.edge_logs()[ASH]}, 0, wall):
            other.apply(change)
        return other


# Write ids and tokens.


def test_a_write_id_round_trips_through_its_text() -> None:
    write_id = WriteId("ash", 255, 3)
    assert str(write_id) == "ash/00000000000000ff/3" and parse_write_id(str(write_id)) == write_id
    for text in ("", "ash/ff/3", "ash/00000000000000ff/0", "Ash/00000000000000ff/3", str(write_id) + "\n"):
        with pytest.raises(TokenError):
            parse_write_id(text)
    for name in ("", "-a", "A", "a" * 33):
        with pytest.raises(ValueError, match="an edge's name"):
            check_edge(name)


def test_a_token_round_trips_the_merged_dependencies() -> None:
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


def test_a_token_with_any_changed_bit_is_rejected() -> None:
    token = TOKENS.receipt(WriteId("ash", 7, 3))
    raw = base64.urlsafe_b64decode(token + "=" * (-len(token) % 4))
    for place in range(8 * len(raw)):
        forged = bytearray(raw)
        forged[place // 8] ^= 1 << place % 8
        with pytest.raises(TokenError):
            TOKENS.read(base64.urlsafe_b64encode(forged).decode())
    for text in (token[:-1], token + "A", "x", "é", "a" * (MAX_TOKEN_LENGTH + 1)):
        with pytest.raises(TokenError):
            TOKENS.read(text)
    with pytest.raises(TokenError):
        CausalityTokens(b"another secret, as long").read(token)
    with pytest.raises(ValueError, match="16 bytes"):
        CausalityTokens(b"short")


def test_signed_tokens_with_unknown_or_invalid_content_are_rejected() -> None:
    import msgspec

    for content in (
        (2, []),
        (1, [("A", 7, [1], 0)]),
        (1, [("ash", 7, [0], 0)]),
        (1, [("ash", -1, [1], 0)]),
        (1,),
    ):
        data = msgspec.msgpack.encode(content)
        with pytest.raises(TokenError, match="can't be read"):
            TOKENS.read(base64.urlsafe_b64encode(TOKENS._sign(data) + data).decode())


def test_six_longest_dependencies_fit_in_a_token_and_500_edges_need_a_join() -> None:
    longest = [Dependency("e" * 31 + str(index), (1 << 64) - 1, (1 << 63) - 1) for index in range(6)]
    assert len(TOKENS.encode(tuple(longest))) <= MAX_TOKEN_LENGTH
    edges = tuple(Dependency(f"edge{index}", index, 5) for index in range(500))
    with pytest.raises(LooseError):
        TOKENS.encode(edges)
    harness = OutboxHarness()
    ticket = harness.outbox.join(edges, 0, WALL)
    assert ticket.write is not None and len(TOKENS.receipt(ticket.write_id)) <= MAX_TOKEN_LENGTH
    harness.outbox.on_stored(ticket.write_id, 0)
    follower = harness.queue(follows=TOKENS.receipt(ticket.write_id))
    for dependency in edges:
        assert harness.due() == []
        harness.version_vector.write_statuses[dependency] = WriteStatus.APPLIED
        harness.outbox.on_remote_change(0)
    assert (
        harness.due() == [] and harness.state(ticket.write_id) is WriteState.DONE
    )  # a join is not sent itself
    assert harness.due() == [follower]


def test_the_number_of_dependencies_of_a_request_is_bounded() -> None:
    tokens = [
        TOKENS.encode(tuple(Dependency(f"e{part}", index, 1) for index in range(6))) for part in range(100)
    ]
    assert len(TOKENS.read(", ".join(tokens[:83]))) == 498
    for value in (", ".join(tokens), ",".join("a" * 200), "a" * 100_000):
        with pytest.raises(LooseError):
            TOKENS.read(value)
    with pytest.raises(LooseError):
        OutboxHarness().outbox.join(
            tuple(Dependency(f"e{index}", index, 1) for index in range(MAX_DEPENDENCIES + 1)), 0, WALL
        )


def test_unassigned_numbers_and_cycles_are_rejected_with_one_line_messages() -> None:
    harness = OutboxHarness()
    with pytest.raises(FutureError) as raised:
        harness.queue(follows=TOKENS.receipt(WriteId(*ASH, 1)))
    assert "\n" not in str(raised.value)
    first = harness.queue("album", key=b"k")
    second = harness.queue(follows=TOKENS.receipt(first))
    third = harness.queue(follows=TOKENS.receipt(second))
    for named in (first, second, third):
        with pytest.raises(CycleError) as cycle:
            harness.outbox.offer(harness.offer("album", TOKENS.receipt(named), b"k"), 0, WALL)
        assert "\n" not in str(cycle.value)
    ticket = harness.outbox.offer(harness.offer("album", "", b"k"), 0, WALL)
    assert ticket.is_known and ticket.write_id == first and harness.outbox.is_durable(first)
    assert harness.outbox.count == 3


# States.


@pytest.mark.parametrize("state", WriteState)
@pytest.mark.parametrize("event", WriteEvent)
def test_only_listed_transitions_change_the_state(state: WriteState, event: WriteEvent) -> None:
    if (state, event) in TRANSITIONS:
        assert next_state(state, event) is TRANSITIONS[state, event]
    else:
        with pytest.raises(StepError, match=f"{event.name} is not allowed in state {state.name}"):
            next_state(state, event)


def test_the_outbox_takes_every_listed_transition() -> None:
    taken: set[tuple[WriteState, WriteEvent]] = set()

    def seen(harness: OutboxHarness, change: Transition | None) -> WriteId:
        assert change is not None
        row = harness.outbox._row(change.write_id)
        taken.add((harness.outbox._rows.state_of(row), change.event))
        return harness.apply(change)

    harness = OutboxHarness()
    for end in ReplayResult:
        last = harness.queue()
        for change in harness.outbox.due(harness.now):
            seen(harness, change)
        seen(harness, harness.outbox.on_replay_end(last, end, harness.now, WALL))
        harness.now += 2 * SECOND
    # The write that ended as NOT_RUN is ready; those that ended as MAY_HAVE_RUN and DENIED are parked.
    keyed = harness.queue("album", key=b"k")
    for change in harness.outbox.due(harness.now):
        seen(harness, change)
    seen(harness, harness.outbox.on_replay_end(keyed, ReplayResult.MAY_HAVE_RUN, harness.now, WALL))
    parked = [write_id for write_id in harness.queued if harness.state(write_id) is WriteState.PARKED]
    behind = harness.queue(follows=TOKENS.receipt(parked[0]))
    late = harness.queue(follows=TOKENS.receipt(parked[0]))
    taken.add((WriteState.KEPT, WriteEvent.DEPENDENCIES_FINAL))
    seen(harness, harness.outbox.resolve(behind, 1, Resolution.GIVE_UP, WALL))
    seen(harness, harness.outbox.resolve(parked[0], 1, Resolution.GIVE_UP, WALL))
    seen(
        harness,
        next(change for change in harness.outbox.due(harness.now) if change.event is WriteEvent.ORPHANED),
    )
    seen(harness, harness.outbox.resolve(late, 1, Resolution.NEVER_RAN, WALL))
    seen(harness, harness.outbox.resolve(parked[1], 1, Resolution.RAN, WALL))
    waiting = harness.queue(follows=TOKENS.receipt(WriteId("oak", 1, 1)))
    harness.now += 8 * 24 * HOUR
    for change in harness.outbox.due(harness.now):
        seen(harness, change)
    assert harness.outbox.receipt(waiting).reason is ParkingReason.AGE
    join = harness.outbox.join((), harness.now, WALL)
    harness.outbox.on_stored(join.write_id, harness.now)
    seen(
        harness,
        next(change for change in harness.outbox.due(harness.now) if change.event is WriteEvent.JOINED),
    )
    gone = harness.outbox.offer(harness.offer(), harness.now, WALL)
    harness.outbox.on_store_failed(gone.write_id, harness.now)
    taken.add((WriteState.KEPT, WriteEvent.STORE_FAILED))
    harness = OutboxHarness()
    harness.bounds = OutboxBounds(replay_most=1)
    unsure, ready, held = (
        harness.queue(),
        harness.queue(),
        harness.queue(follows=TOKENS.receipt(WriteId("oak", 1, 1))),
    )
    harness.outbox.pace.limit = 1
    assert harness.due() == [unsure]
    harness.finish(unsure, ReplayResult.MAY_HAVE_RUN)
    seen(harness, harness.outbox.on_found_applied(unsure, WALL))
    assert harness.state(unsure) is WriteState.DONE and harness.outbox.on_found_applied(unsure, WALL) is None
    harness.outbox.fence(ASH)
    for change in harness.outbox.due(harness.now):
        seen(harness, change)
    assert [harness.outbox.receipt(write_id).reason for write_id in (ready, held)] == [
        ParkingReason.FENCED
    ] * 2
    with pytest.raises(KeepError):
        harness.queue()
    harness.outbox.unfence(ASH)
    for change in harness.outbox.due(harness.now):
        seen(harness, change)
    assert [harness.state(write_id) for write_id in (ready, held)] == [WriteState.READY, WriteState.KEPT]
    assert set(TRANSITIONS) - taken == set()


def test_truncated_records_are_rejected() -> None:
    harness = OutboxHarness()
    write_id = harness.queue("album", key=b"k", session=b"s")
    harness.park(write_id)
    for data, decode in (
        (encode(harness.queued[write_id]), decode_write),
        (encode(harness.state_changes[write_id]), decode_state_change),
    ):
        assert encode(decode(data)) == data
        for cut in range(len(data)):
            with pytest.raises(KeptRecordError):
                decode(data[:cut])


def test_writes_of_unqueued_classes_or_without_their_key_are_rejected() -> None:
    harness = OutboxHarness()
    for offer in (harness.offer("view"), harness.offer("album")):
        with pytest.raises(KeepError):
            harness.outbox.offer(offer, 0, WALL)


def test_a_full_outbox_rejects_writes_with_a_retry_time() -> None:
    harness = OutboxHarness(bounds=OutboxBounds(max_bytes=100, max_writes=4, tenant_share=0.5))
    harness.queue(tenant="a", size=50)
    with pytest.raises(FullError, match="tenant 'a'") as raised:
        harness.queue(tenant="a", size=1)
    assert raised.value.retry_us > 0
    harness.queue(tenant="b", size=50)
    with pytest.raises(FullError, match="bytes limit"):
        harness.queue(tenant="c", size=1)
    harness.queue(tenant="c", size=0)
    harness.queue(tenant="d", size=0)
    with pytest.raises(FullError, match="count limit"):
        harness.queue(tenant="e", size=0)
    for write_id in harness.due():
        harness.finish(write_id)
    assert (harness.outbox.count, harness.outbox.size) == (0, 0)
    harness.queue(tenant="a", size=50)


# Order.


def test_a_write_depends_on_its_session_its_object_and_its_tokens() -> None:
    harness = OutboxHarness()
    first = harness.queue(session=b"s")
    second = harness.queue(session=b"s", obj=b"o")
    third = harness.queue(obj=b"o")
    alone = harness.queue(session=b"t")
    abroad = harness.queue(follows=TOKENS.receipt(WriteId("oak", 1, 4)))
    assert harness.due() == [first, alone]
    assert harness.outbox.receipt(third).behind == second
    harness.finish(first)
    assert harness.due() == [second]
    harness.finish(second)
    assert harness.due() == [third]
    assert harness.outbox.must_queue(TOKENS.receipt(abroad)) and not harness.outbox.must_queue(
        TOKENS.receipt(first)
    )
    harness.version_vector.write_statuses[Dependency("oak", 1, 4)] = WriteStatus.APPLIED
    harness.outbox.on_remote_change(0)
    assert harness.due() == [abroad]


def test_parking_a_write_visits_each_of_10_000_arrows_once() -> None:
    for chain in (False, True):
        harness = OutboxHarness(bounds=OutboxBounds(replay_most=20_000, tenant_share=1.0))
        album = harness.queue()
        last = album
        for _ in range(10_000):
            last = harness.queue(follows=TOKENS.receipt(last if chain else album))
        free = harness.queue()
        assert harness.due() == [album, free]
        harness.finish(album, ReplayResult.DENIED)
        assert harness.outbox._graph.arrows_visited == 10_000
        receipt = harness.outbox.receipt(last)
        assert (receipt.state, receipt.reason, receipt.behind) == (
            WriteState.PARKED,
            ParkingReason.FOLLOWS,
            album,
        )
        harness.finish(free)
        harness.resolve(album, 1, Resolution.NEVER_RAN)
        assert harness.outbox._graph.arrows_visited == 20_000
        assert harness.due() == [album]
        harness.finish(album)
        assert len(harness.due()) == (1 if chain else 10_000)


def test_a_write_waits_for_the_dependencies_of_a_resolved_write() -> None:
    """B depends on A, and C on B. If B is resolved while A waits, C still waits for A."""
    for resolution in (Resolution.RAN, Resolution.GIVE_UP):
        harness = OutboxHarness(bounds=OutboxBounds(orphans="release"))
        first = harness.queue()
        second = harness.queue("album", TOKENS.receipt(first), b"k")
        third = harness.queue(follows=TOKENS.receipt(second))
        harness.park(first)
        harness.now = 11 * HOUR
        assert harness.due() == [] and harness.outbox.receipt(second).reason is ParkingReason.WINDOW
        harness.resolve(second, 1, resolution)
        assert harness.due() == [] and harness.state(third) is WriteState.PARKED
        assert harness.outbox.write_status(second) is WriteStatus.PARKED
        harness.resolve(first, 1, Resolution.RAN)
        assert harness.outbox.write_status(second) in (WriteStatus.APPLIED, WriteStatus.ABANDONED)
        assert harness.due() == [third]


@pytest.mark.parametrize("orphans", ["park", "release"])
def test_followers_of_a_lost_edge(orphans: str) -> None:
    harness = OutboxHarness(bounds=OutboxBounds(orphans=orphans))  # type: ignore[arg-type]
    lost, write_id = Dependency("oak", 1, 4), WriteId("oak", 1, 4)
    follower = harness.queue(follows=TOKENS.receipt(write_id))
    harness.version_vector.write_statuses[lost] = WriteStatus.ABANDONED
    harness.outbox.on_remote_change(0)
    if orphans == "release":
        assert harness.due() == [follower]
        assert harness.due() == [] and not harness.outbox.must_queue(TOKENS.receipt(write_id))
        return
    assert harness.due() == [] and harness.outbox.receipt(follower).reason is ParkingReason.ORPHANED
    restarted = harness.restart(WALL)
    restarted.version_vector.write_statuses[lost] = WriteStatus.ABANDONED
    assert restarted.due() == [] and restarted.outbox.receipt(follower).parking == 1
    restarted.resolve(follower, 1, Resolution.NEVER_RAN)
    third = restarted.restart(WALL, EdgeLog("ash", 9))
    third.version_vector.write_statuses[lost] = WriteStatus.ABANDONED
    third.outbox.on_remote_change(0)
    assert third.due() == [follower]  # it is not parked as an orphan twice


def test_a_restart_finds_the_dependencies_of_a_write_that_was_never_stored() -> None:
    harness = OutboxHarness()
    first = harness.queue(session=b"s")
    lost = harness.outbox.offer(harness.offer(session=b"s", obj=b"o"), 0, WALL).write_id
    third = harness.queue(obj=b"o")
    assert lost not in harness.queued and harness.outbox.receipt(third).behind is not None
    other = harness.restart(WALL)
    assert other.due() == [first]


# Resolutions.


def test_a_repeated_resolution_counts_once() -> None:
    harness = OutboxHarness()
    write_id = harness.queue()
    harness.park(write_id)
    assert harness.resolve(write_id, 1, Resolution.NEVER_RAN) is not None
    assert harness.resolve(write_id, 1, Resolution.NEVER_RAN) is None
    harness.park(write_id)
    assert (
        harness.resolve(write_id, 1, Resolution.NEVER_RAN) is None
    )  # a late repeat, for the previous parking
    assert harness.state(write_id) is WriteState.PARKED
    for parking, resolution in ((1, Resolution.RAN), (3, Resolution.RAN)):
        with pytest.raises(VerdictError):
            harness.resolve(write_id, parking, resolution)
    assert harness.resolve(write_id, 2, Resolution.RAN) is not None
    assert harness.restart(WALL).outbox.resolve(write_id, 2, Resolution.RAN, WALL) is None
    with pytest.raises(VerdictError, match="was judged ran"):
        harness.resolve(write_id, 2, Resolution.GIVE_UP)


def test_the_first_of_two_concurrent_resolutions_counts() -> None:
    harness = OutboxHarness()
    write_id = harness.queue()
    harness.park(write_id)
    first = harness.outbox.resolve(write_id, 1, Resolution.RAN, WALL)
    with pytest.raises(VerdictError, match="on its way"):
        harness.outbox.resolve(write_id, 1, Resolution.GIVE_UP, WALL)
    assert first is not None
    harness.outbox.undo(first, 0)  # the resolution could not be stored, so it does not count
    assert harness.resolve(write_id, 1, Resolution.GIVE_UP) is not None
    assert harness.state(write_id) is WriteState.GIVEN_UP


def test_only_parked_writes_can_be_resolved() -> None:
    harness = OutboxHarness()
    write_id = harness.queue()
    behind = harness.queue(follows=TOKENS.receipt(write_id))
    with pytest.raises(VerdictError, match="not parked"):
        harness.resolve(write_id, 1, Resolution.RAN)
    harness.park(write_id)
    with pytest.raises(VerdictError, match="judge what it follows"):
        harness.resolve(behind, 1, Resolution.NEVER_RAN)
    assert (
        harness.resolve(behind, 1, Resolution.GIVE_UP) is not None
        and harness.resolve(behind, 1, Resolution.GIVE_UP) is None
    )
    with pytest.raises(UnknownWriteError):
        harness.outbox.receipt(WriteId("oak", 1, 1))


# Restart.


def test_only_keyed_writes_are_sent_again_after_a_crash() -> None:
    harness = OutboxHarness()
    keyed, unsafe = harness.queue("album", key=b"k"), harness.queue()
    assert harness.due() == [keyed, unsafe]
    other = harness.restart(WALL + HOUR)
    assert other.due() == [keyed]
    assert other.outbox.receipt(unsafe).reason is ParkingReason.MAY_HAVE_RUN
    late = harness.restart(WALL + 11 * HOUR)
    assert late.due() == [] and late.outbox.receipt(keyed).reason is ParkingReason.MAY_HAVE_RUN


def test_a_restart_with_a_clock_that_is_years_off() -> None:
    harness = OutboxHarness()
    sent, fresh = (
        harness.queue("album", key=b"k"),
        harness.queue("album", key=b"l", follows=TOKENS.receipt(WriteId(*ASH, 1))),
    )
    assert harness.due() == [sent]
    back = harness.restart(WALL - 3 * YEAR)
    assert (
        back.outbox.receipt(sent).reason is ParkingReason.MAY_HAVE_RUN
    )  # what is left of the window is unknown
    back.resolve(sent, 1, Resolution.RAN)
    assert back.due() == [fresh]  # it was never sent, so it can't take effect twice
    ahead = harness.restart(WALL + 3 * YEAR)
    assert ahead.due() == []
    assert ahead.outbox.receipt(fresh).reason is ParkingReason.WINDOW
    ahead.resolve(sent, 1, Resolution.RAN)
    ahead.resolve(fresh, 1, Resolution.NEVER_RAN)
    assert ahead.due() == [fresh]  # the resolution starts its window again


def test_two_processes_on_copies_of_a_disk_share_no_write_id_and_only_the_holder_sends() -> None:
    harness = OutboxHarness()
    old = harness.queue()
    first, second = harness.restart(WALL, EdgeLog("ash", 8)), harness.restart(WALL, EdgeLog("ash", 9))
    assert first.queue() != second.queue()
    second.version_vector.held = False
    assert old in first.due() and second.due() == []
    second.version_vector.held = True
    second.outbox.on_remote_change(0)
    assert len(second.due()) == 2


def test_a_write_whose_window_ends_while_its_record_is_stored_is_not_sent() -> None:
    harness = OutboxHarness()
    write_id = harness.queue("album", key=b"k")
    (change,) = harness.outbox.due(0)
    assert harness.outbox.apply(change, 10 * HOUR) is False
    harness.now = 10 * HOUR
    harness.finish(write_id, ReplayResult.NOT_RUN)
    harness.now += SECOND
    assert harness.due() == [] and harness.outbox.receipt(write_id).reason is ParkingReason.WINDOW


def test_a_keyed_write_is_sent_only_while_a_whole_try_fits_in_its_window() -> None:
    for late in (0, 1):
        harness = OutboxHarness()
        write_id = harness.queue("album", key=b"k")
        harness.now = 10 * HOUR - harness.bounds.send_us + late
        assert harness.due() == ([] if late else [write_id])
        if not late:
            harness.now += 1
            harness.finish(write_id, ReplayResult.MAY_HAVE_RUN)
            assert harness.outbox.receipt(write_id).reason is ParkingReason.MAY_HAVE_RUN


def test_the_recording_version_vector_keeps_final_statuses() -> None:
    harness, version_vector = OutboxHarness(), RecordingVersionVector()
    harness.outbox.version_vector = version_vector
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


def test_two_edges_may_queue_a_write_under_the_same_key() -> None:
    """Each edge queues one write. Upstream recognizes the repeat by the key."""
    ash, oak = OutboxHarness(), OutboxHarness(EdgeLog("oak", 1))
    here, there = ash.queue("album", key=b"k"), oak.queue("album", key=b"k")
    assert here != there and ash.queued[here].key == oak.queued[there].key
    assert ash.due() == [here] and oak.due() == [there]


def test_receipts_expire_by_age_and_by_number() -> None:
    harness = OutboxHarness(bounds=OutboxBounds(receipt_us=HOUR, max_receipts=2))
    first = harness.queue("album", key=b"k")
    assert harness.due() == [first]
    harness.finish(first)
    assert (
        harness.outbox.take_finished() == [(first, WriteStatus.APPLIED)]
        and harness.outbox.low_watermark(ASH) == 1
    )
    assert harness.outbox.expired_receipts(HOUR - 1) == []
    assert harness.outbox.offer(harness.offer("album", key=b"k"), 0, WALL).is_known
    assert harness.outbox.expired_receipts(HOUR) == [first]
    harness.outbox.forget(first)
    assert not harness.outbox.offer(harness.offer("album", key=b"k"), HOUR, WALL).is_known
    more = [harness.queue() for _ in range(3)]
    for write_id in harness.due():
        harness.finish(write_id)
    assert harness.outbox.expired_receipts(0) == more[:1]  # more than `max_receipts`


# Replay pace and cut-off detection.


def test_thirty_edges_begin_with_thirty_writes() -> None:
    pacers = [ReplayPacer(8, SECOND) for _ in range(30)]
    for pacer in pacers:
        while pacer.may_send(0):
            pacer.on_sent()
    assert sum(pacer.in_flight for pacer in pacers) == 30


def test_the_pace_grows_with_answers_and_is_halved_by_refusals() -> None:
    pacer = ReplayPacer(4, SECOND)
    for _ in range(9):
        pacer.on_sent()
        pacer.on_answer()
    assert pacer.limit == 4
    pacer.on_sent()
    pacer.on_failure(0)
    pacer.on_refusal(10)  # within the same pause
    assert pacer.limit == 2 and not pacer.may_send(SECOND) and pacer.may_send(SECOND + 10)
    pacer.on_refusal(3 * SECOND)
    pacer.on_refusal(6 * SECOND)
    assert pacer.limit == 1
    queue = ReplayQueue()
    for row in (1, 2):
        queue.add(row)
    queue.requeue(queue.next())
    assert (queue.next(), queue.next(), len(queue)) == (1, 2, 0)


def test_a_failing_endpoint_or_a_short_burst_does_not_cut_off_the_edge() -> None:
    detector = CutOffDetector(CutOffRule(), 10, 0)
    for second in range(100):
        detector.on_failure(1, second * SECOND)
    assert not detector.is_cut_off and not detector.tick(1_000 * SECOND)
    burst = CutOffDetector(CutOffRule(), 10, 0)
    for endpoint in range(10):
        burst.on_failure(endpoint, 0)
    assert not burst.tick(HOUR)  # a burst of failures and then a quiet hour
    burst.on_response(HOUR)
    burst.on_failure(1, HOUR)
    assert not burst.is_cut_off


def test_an_edge_stays_cut_off_until_the_link_is_stable() -> None:
    detector = CutOffDetector(
        CutOffRule(cut_us=5 * SECOND, min_endpoints=3, back_us=2 * SECOND, min_answers=3), 10, 0
    )
    for second in range(6):
        detector.on_failure(second, second * SECOND)
    assert detector.is_cut_off
    for second in range(6, 60):  # the link flaps each second
        detector.on_response(second * SECOND)
        for endpoint in range(3):
            detector.on_failure(endpoint, second * SECOND + SECOND // 2)
    assert detector.is_cut_off
    for second in (60, 61, 62):
        assert detector.is_cut_off
        detector.on_response(second * SECOND)
    assert not detector.is_cut_off


def test_an_edge_without_endpoints_is_cut_off_after_cut_us() -> None:
    detector = CutOffDetector(CutOffRule(), 2, 0)
    detector.on_endpoint_count(0, SECOND)
    assert not detector.tick(2 * SECOND) and detector.tick(6 * SECOND)
    detector.on_endpoint_count(2, 7 * SECOND)
    for second in (8, 9, 10):
        detector.on_response(second * SECOND)
    assert not detector.is_cut_off
    detector.on_failure(0, 11 * SECOND)
    detector.on_failure(1, 16 * SECOND)  # all listed endpoints have failed
    assert detector.is_cut_off


# Receipts, tables and the graph.


def test_a_receipt_contains_the_reason_and_the_possible_resolutions() -> None:
    harness = OutboxHarness()
    write_id = harness.queue()
    behind = harness.queue(follows=TOKENS.receipt(write_id))
    assert json.loads(encode_receipt(harness.outbox.receipt(behind))) == {
        "write": str(behind),
        "state": "kept",
        "behind": str(write_id),
    }
    harness.park(write_id)
    document = json.loads(encode_receipt(harness.outbox.receipt(write_id)))
    assert document["reason"] == REASON_TEXTS[ParkingReason.DENIED] and document["verdicts"] == [
        "ran",
        "never_ran",
        "give_up",
    ]
    assert json.loads(encode_receipt(harness.outbox.receipt(behind)))["verdicts"] == ["give_up"]
    done = WriteReceipt(write_id, WriteState.DONE, status=201, headers=((b"a", b"b"),), body=b"\xff")
    assert json.loads(encode_receipt(done))["status"] == 201
    assert set(REASON_TEXTS) == set(ParkingReason) - {ParkingReason.NONE}


def test_an_integer_map_matches_a_dict_under_random_changes() -> None:
    draw, integer_map, expected = random.Random(1), IntegerMap(), dict[int, int]()
    for _ in range(20_000):
        key = draw.randrange(1, 400)
        if draw.random() < 0.5:
            integer_map.put(key, -key)
            expected[key] = -key
        else:
            integer_map.drop(key)
            expected.pop(key, None)
    assert len(integer_map) == len(expected) and all(
        integer_map.get(key) == expected.get(key, -1) for key in range(400)
    )
    assert short_hash(b"s", b"") == 0 != short_hash(b"s", b"a") != short_hash(b"o", b"a")


def test_blocked_counts_of_the_graph_match_a_full_walk() -> None:
    draw, graph = random.Random(2), DependencyGraph()
    nodes: list[int] = []
    for _ in range(1_000):
        choice = draw.random()
        if choice < 0.4 or not nodes:
            node = graph.add()
            for dependency in set(draw.sample(nodes, min(len(nodes), draw.randrange(4)))):
                graph.link(dependency, node)
            nodes.append(node)
        elif choice < 0.7:
            (graph.halt if choice < 0.55 else graph.resume)(draw.choice(nodes))
        elif ready := [node for node in nodes if graph.is_free(node)]:
            nodes.remove(done := draw.choice(ready))
            graph.finish(done)
        for node in nodes:
            assert graph.has_blocked_dependency(node) == any(
                graph.is_blocked(dependency) for dependency in graph.dependencies(node)
            )
            assert graph.is_free(node) == (graph.dependencies(node) == [])
    assert len(graph) == len(nodes)


def test_a_queued_write_takes_less_than_200_bytes_of_memory() -> None:
    harness = OutboxHarness(bounds=OutboxBounds(tenant_share=1.0))
    harness.queue()
    tracemalloc.start()
    try:
        count = 3_000
        for index in range(count):
            offer = harness.offer(
                "album", "", b"k%d" % index, session=b"s%d" % (index // 10), obj=b"o%d" % (index // 4)
            )
            harness.outbox.on_stored(harness.outbox.offer(offer, 0, WALL).write_id, 0)
        size = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    assert size / count < 200


def test_the_cost_of_due_depends_on_the_number_of_due_writes() -> None:
    checked_rows: list[int] = []

    class CountingOutbox(Outbox):
        def _expiry_reason(self, row: int, now: int) -> ParkingReason:
            checked_rows.append(row)
            return super()._expiry_reason(row, now)

    harness = OutboxHarness(bounds=OutboxBounds(replay_most=1, tenant_share=1.0))
    harness.outbox = CountingOutbox(ASH, CLASSES, harness.bounds, TOKENS, harness.version_vector)
    kept = [harness.queue("print" if number % 2 else "album", key=b"k%d" % number) for number in range(500)]
    checked_rows.clear()
    assert len(harness.due()) == 1
    for _ in range(10):
        assert harness.due() == []
    assert len(checked_rows) < 50
    harness.now = harness.bounds.age_us + 1
    rounds = 0
    while any(harness.outbox.receipt(write_id).state is not WriteState.PARKED for write_id in kept[1:]):
        harness.due()
        rounds += 1
    assert rounds <= 4 and harness.outbox.receipt(kept[0]).state is WriteState.OUT
    harness.finish(kept[0], ReplayResult.NOT_RUN)
    harness.due()
    assert harness.outbox.receipt(kept[0]).state is WriteState.PARKED


def test_the_expiry_queue_matches_lists_under_random_changes() -> None:
    draw, queue = random.Random(5), ExpiryQueue(2)
    model: list[list[int]] = [[], []]
    free = list(range(50))
    for _ in range(5_000):
        cls = draw.randrange(2)
        if draw.random() < 0.5 and free:
            row = free.pop(draw.randrange(len(free)))
            queue.add(cls, row)
            model[cls].append(row)
        elif model[cls]:
            row = model[cls].pop(draw.randrange(len(model[cls])))
            queue.drop(cls, row)
            queue.drop(cls, row)  # a second removal does nothing
            free.append(row)
        assert [queue.first(class_index) for class_index in (0, 1)] == [(rows or [-1])[0] for rows in model]


def test_a_paged_integer_map_matches_a_dict_under_random_changes() -> None:
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


def test_replays_start_one_at_a_time_and_pause_for_live_requests() -> None:
    async def main() -> None:
        background, loop, order = BackgroundReplay(), asyncio.get_running_loop(), list[str]()
        slept: list[float] = []
        loop.call_later = lambda delay, call: (slept.append(delay), loop.call_soon(call))  # type: ignore

        async def send(name: str) -> None:
            async with background:
                order.append(name)
            loop.call_soon(order.append, "others")

        await asyncio.gather(*(send(name) for name in "ab"))
        assert order[:3] == ["a", "others", "b"] and not slept
        background.had_live_request = True
        await send("c")
        await send("d")
        assert len(slept) == 1 and slept[0] > 0.0 and not background.had_live_request

    asyncio.run(main())
