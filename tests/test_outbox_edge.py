"""The edge's side of sharing a ledger with copies upstream: `RemoteVersionVector` with queries sent by hand,
and whole edges over loopback with a stand-in for a copy that has the real ledger.
"""

from __future__ import annotations

import asyncio
import contextlib
import dataclasses
import random
import shutil
from collections.abc import AsyncIterator, Callable
from pathlib import Path

import pytest
from laurelstep.engine.call import Answer, Call
from laurelstep.net.assembly import Assembly
from laurelstep.net.message import encode_headers
from laurelstep.outbox.causality_tokens import CausalityTokens
from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.driver import OutboxDriver
from laurelstep.outbox.errors import UnknownWriteError
from laurelstep.outbox.options import OutboxSettings, QueuedClass
from laurelstep.outbox.receipts import WriteReceipt
from laurelstep.outbox.records import ParkingReason, Resolution, WriteEvent, WriteState
from laurelstep.outbox.shared.edge import MAX_UPDATES, REPEAT_INTERVAL_US, RemoteVersionVector
from laurelstep.outbox.shared.entries import (
    Intent,
    IntentWithdrawal,
    LedgerEntry,
    LogLease,
    WriteApplied,
    pack,
)
from laurelstep.outbox.shared.ledger import ReplicatedLedger
from laurelstep.outbox.shared.message_seal import MessageSeal
from laurelstep.outbox.shared.messages import (
    MAX_QUERY_ITEMS,
    REPLAY_HEADER,
    SHARED_PATH,
    IntentStatus,
    LeaseRequest,
    LeaseStatus,
    QueryReply,
    ReplayIdentity,
    ReplayQuery,
    StatusUpdate,
)
from laurelstep.outbox.shared.query_round import (
    MAX_KNOWN_HOLDERS,
    MAX_PAUSE_US,
    MAX_ROUND_QUERIES,
    MIN_PAUSE_US,
    QueryOutcome,
)
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId
from laurelstep.settings import config_from
from laurelstep.testing import Endpoint, Message, Writer, answer
from laurelstep.testing.endpoints import reset_connection

from tests.sockets import TEST_TIMEOUT_S, run

OWN_LOG, EARLIER_LOG, FOREIGN_LOG = EdgeLog("ash", 7), EdgeLog("ash", 3), EdgeLog("oak", 9)
SECOND_US = 1_000_000


def always(dependency: Dependency) -> bool:
    return True


class ImmediateLedger(ReplicatedLedger):
    """A ledger whose entries are agreed at once."""

    def __init__(self) -> None:
        super().__init__()
        self.index = 0

    def agree(self, entry: LedgerEntry | None) -> None:
        if entry is not None:
            self.index += 1
            self.apply(self.index, pack(entry)[1:])

    def reply_to(self, query: ReplayQuery) -> QueryReply:
        for request in query.lease_requests:
            self.agree(self.lease_entry(request))
        for update in query.status_updates:
            self.agree(self.status_entry(update))
        return QueryReply(
            tuple(map(self.write_status, query.dependencies)),
            tuple(map(self.lease_status, query.lease_requests)),
            tuple(map(self.agrees_with, query.status_updates)),
        )


class QueryingEdge:
    """A `RemoteVersionVector` whose queries and time the test controls."""

    def __init__(self, ledger: ImmediateLedger | None = None, edge_log: EdgeLog = OWN_LOG) -> None:
        self.version_vector = RemoteVersionVector(edge_log, random.Random(1))
        self.ledger = ledger or ImmediateLedger()
        self.now = 0

    def next_query(self) -> ReplayQuery | None:
        return self.version_vector.next_query(self.now, always)

    def expect_query(self) -> ReplayQuery:
        query = self.next_query()
        assert query is not None
        return query

    def answer(self, query: ReplayQuery) -> QueryOutcome:
        return self.version_vector.on_reply(self.ledger.reply_to(query), self.now)

    def query_until_idle(self) -> QueryOutcome:
        """Exchange all queries that are due without a pause, and return the sum of their outcomes."""
        total = QueryOutcome()
        while (query := self.next_query()) is not None:
            outcome = self.answer(query)
            total.held_logs += outcome.held_logs
            total.fenced_logs += outcome.fenced_logs
            total.own_applied += outcome.own_applied
            total.withdrawn_intents += outcome.withdrawn_intents
        return total


# Pace of the queries


def test_urgent_items_are_queried_at_once_and_others_after_pauses_that_double() -> None:
    edge = QueryingEdge()
    assert edge.next_query() is None
    first = Dependency(*FOREIGN_LOG, 1)
    edge.version_vector.watch([first])
    query = edge.expect_query()
    assert query == ReplayQuery((first,)) and edge.next_query() is None  # one query is in flight at a time
    pauses = []
    for _ in range(6):
        edge.answer(query)
        pauses.append(edge.version_vector.query_delay_us(edge.now))
        edge.now += pauses[-1] - 1
        assert edge.next_query() is None
        edge.now += 1
        query = edge.expect_query()
    for pause, max_s in zip(pauses, (1, 2, 4, 8, 8, 8), strict=True):
        assert max_s * SECOND_US // 2 <= pause < max_s * SECOND_US
    edge.answer(query)
    assert edge.next_query() is None
    second = Dependency(*FOREIGN_LOG, 2)
    edge.version_vector.watch([second])
    assert edge.expect_query().dependencies == (second, first)
    edge.version_vector.on_query_failed(edge.now)
    assert edge.next_query() is None
    edge.version_vector.on_link_up(edge.now)
    assert edge.expect_query().dependencies == (second, first)


def test_a_change_resets_the_pause_and_a_final_status_ends_the_queries() -> None:
    edge = QueryingEdge()
    dependencies = [Dependency(*FOREIGN_LOG, 1), Dependency(*FOREIGN_LOG, 2)]
    edge.version_vector.watch(dependencies)
    for _ in range(5):
        edge.answer(edge.expect_query())
        edge.now += edge.version_vector.query_delay_us(edge.now)
    edge.ledger.agree(WriteApplied(dependencies[0].write_id))
    query = edge.expect_query()
    outcome = edge.answer(query)
    assert outcome.has_changes and edge.version_vector.write_status(dependencies[0]) is WriteStatus.APPLIED
    assert MIN_PAUSE_US // 2 <= edge.version_vector.query_delay_us(edge.now) < MIN_PAUSE_US
    edge.now += MIN_PAUSE_US
    assert edge.expect_query().dependencies == (dependencies[1],)
    # A later reply, from another ledger, does not change a final status.
    edge.version_vector.on_reply(QueryReply((WriteStatus.PARKED,)), edge.now)
    assert edge.version_vector.write_status(dependencies[1]) is WriteStatus.PARKED
    edge.version_vector.watch([dependencies[0]])
    edge.now += MAX_PAUSE_US
    assert edge.expect_query().dependencies == (dependencies[1],)
    edge.version_vector.on_reply(QueryReply((WriteStatus.UNKNOWN,)), edge.now)
    assert (
        edge.version_vector.write_status(dependencies[1]) is WriteStatus.UNKNOWN
        and edge.version_vector.write_status(dependencies[0]) is WriteStatus.APPLIED
    )


def test_every_item_is_queried_once_before_any_is_queried_again() -> None:
    edge = QueryingEdge()
    dependencies = [Dependency(*FOREIGN_LOG, number) for number in range(1, 5 * MAX_QUERY_ITEMS + 4)]
    edge.version_vector.watch(dependencies)
    seen: list[Dependency] = []
    while len(seen) < 2 * len(dependencies):
        query = edge.next_query()
        if query is None:
            edge.now += edge.version_vector.query_delay_us(edge.now)
            continue
        assert len(query.dependencies) <= MAX_QUERY_ITEMS
        seen += query.dependencies
        edge.answer(query)
    assert seen[: len(dependencies)] == dependencies and set(
        seen[len(dependencies) : 2 * len(dependencies)]
    ) == set(dependencies)


def test_a_round_has_a_limited_number_of_queries() -> None:
    edge = QueryingEdge()
    edge.version_vector.watch(
        Dependency(*FOREIGN_LOG, number) for number in range(1, 2 * MAX_ROUND_QUERIES * MAX_QUERY_ITEMS)
    )
    for _ in range(MAX_ROUND_QUERIES * 2):
        if (query := edge.next_query()) is not None:
            edge.answer(query)
    query_count = 0
    edge.now += edge.version_vector.query_delay_us(edge.now)
    while (query := edge.next_query()) is not None:
        query_count += 1
        edge.answer(query)
    assert query_count == MAX_ROUND_QUERIES and edge.version_vector.query_delay_us(edge.now) > 0


def test_a_status_that_is_no_longer_needed_is_not_queried() -> None:
    edge = QueryingEdge()
    edge.version_vector.watch([Dependency(*FOREIGN_LOG, 1), Dependency(*FOREIGN_LOG, 2)])
    query = edge.version_vector.next_query(0, lambda dependency: dependency.number == 2)
    assert query is not None and query.dependencies == (Dependency(*FOREIGN_LOG, 2),)


def test_while_cut_off_probes_keep_the_same_pace_and_a_reply_resets_it() -> None:
    edge = QueryingEdge()
    assert not edge.version_vector.has_pending_items
    edge.version_vector.watch([Dependency(*FOREIGN_LOG, 1)])
    assert edge.version_vector.has_pending_items
    pauses = []
    for _ in range(5):
        assert (
            edge.version_vector.next_probe(edge.now) == ReplayQuery()
            and edge.version_vector.next_probe(edge.now) is None
        )
        edge.version_vector.on_query_failed(edge.now)
        started_at = edge.now
        while edge.version_vector.next_probe(edge.now) is None:
            edge.now += SECOND_US // 10
        edge.version_vector.on_query_failed(edge.now)
        pauses.append(edge.now - started_at)
        edge.now += MAX_PAUSE_US
    assert pauses[0] <= SECOND_US and pauses[-1] >= MAX_PAUSE_US // 2
    query = edge.version_vector.next_probe(edge.now)
    assert query is not None
    edge.answer(query)
    edge.now += MIN_PAUSE_US
    assert edge.version_vector.next_probe(edge.now) == ReplayQuery()


# Leases on logs


def test_an_earlier_log_is_held_only_once_its_lease_is_granted() -> None:
    edge = QueryingEdge()
    assert (
        edge.version_vector.holds(OWN_LOG)
        and not edge.version_vector.holds(EARLIER_LOG)
        and not edge.version_vector.holds(FOREIGN_LOG)
    )
    edge.version_vector.request_lease(EARLIER_LOG, (EARLIER_LOG.incarnation, 5, OWN_LOG.incarnation))
    query = edge.expect_query()
    assert query.lease_requests == (LeaseRequest(EARLIER_LOG, 7, (3, 5)),) and not edge.version_vector.holds(
        EARLIER_LOG
    )
    edge.version_vector.on_reply(QueryReply((), (LeaseStatus.OPEN,)), edge.now)
    assert not edge.version_vector.holds(EARLIER_LOG)
    edge.now += MIN_PAUSE_US
    assert edge.answer(edge.expect_query()).held_logs == [EARLIER_LOG] and edge.version_vector.holds(
        EARLIER_LOG
    )
    assert edge.ledger.holder(EARLIER_LOG) == 7


def test_a_lease_request_names_a_bounded_number_of_holders_including_the_first() -> None:
    edge = QueryingEdge()
    incarnations = tuple(range(100, 200))
    edge.version_vector.request_lease(EARLIER_LOG, incarnations)
    holders = edge.expect_query().lease_requests[0].known_holders
    assert len(holders) == MAX_KNOWN_HOLDERS and holders == (100, 101, *incarnations[2 - MAX_KNOWN_HOLDERS :])


def test_of_two_copies_of_a_disk_the_second_stays_fenced_until_an_operator_forces_the_lease() -> None:
    ledger = ImmediateLedger()
    first, second = QueryingEdge(ledger, EdgeLog("ash", 7)), QueryingEdge(ledger, EdgeLog("ash", 8))
    first.version_vector.request_lease(EARLIER_LOG, (3, 7))
    second.version_vector.request_lease(EARLIER_LOG, (3, 8))
    assert first.query_until_idle().held_logs == [EARLIER_LOG]
    assert second.query_until_idle().fenced_logs == [EARLIER_LOG]
    assert not second.version_vector.holds(EARLIER_LOG) and second.version_vector.is_fenced(EARLIER_LOG)
    second.version_vector.request_lease(EARLIER_LOG, (3, 8))
    assert second.next_query() is None
    second.version_vector.request_lease(EARLIER_LOG, (3, 8), is_forced=True)
    assert second.query_until_idle().held_logs == [EARLIER_LOG] and ledger.holder(EARLIER_LOG) == 8
    # A gate reports the fencing to the first: it requests the lease once more, and is fenced.
    assert not first.version_vector.on_fencing_reported(EARLIER_LOG) and not first.version_vector.holds(
        EARLIER_LOG
    )
    assert first.query_until_idle().fenced_logs == [EARLIER_LOG]


def test_leases_are_requested_again_from_a_ledger_that_was_lost() -> None:
    edge = QueryingEdge()
    edge.version_vector.request_lease(EARLIER_LOG, (3, 7))
    edge.query_until_idle()
    edge.ledger = ImmediateLedger()
    assert not edge.version_vector.on_fencing_reported(EARLIER_LOG) and edge.query_until_idle().held_logs == [
        EARLIER_LOG
    ]
    edge.ledger = ImmediateLedger()
    edge.now += REPEAT_INTERVAL_US
    edge.query_until_idle()
    assert edge.ledger.holder(EARLIER_LOG) == 7
    # The log of the running incarnation needs no lease, so any other holder has taken it.
    assert edge.version_vector.on_fencing_reported(OWN_LOG) and not edge.version_vector.holds(OWN_LOG)


# Publishing updates


def test_abandoned_writes_are_published_before_the_low_watermark() -> None:
    edge = QueryingEdge()
    assert edge.version_vector.publish_low_watermark(OWN_LOG, 40)
    for number in range(1, 2 * MAX_QUERY_ITEMS):
        assert edge.version_vector.publish(WriteId(*OWN_LOG, number), WriteStatus.ABANDONED)
    lost = edge.expect_query()
    assert not any(update.before for update in lost.status_updates)
    edge.version_vector.on_query_failed(edge.now)
    edge.now += MAX_PAUSE_US
    edge.query_until_idle()
    edge.now += MAX_PAUSE_US
    edge.query_until_idle()
    assert (
        edge.ledger.write_status(Dependency(*OWN_LOG, 1)) is WriteStatus.ABANDONED
        and edge.ledger.write_status(Dependency(*OWN_LOG, 40)) is WriteStatus.APPLIED
    )
    assert edge.version_vector.publish(
        WriteId(*OWN_LOG, 40), WriteStatus.APPLIED
    )  # covered by the low watermark
    edge.now += MAX_PAUSE_US
    assert edge.next_query() is None


def test_updates_are_repeated_because_the_ledger_may_be_new() -> None:
    edge = QueryingEdge()
    edge.version_vector.publish(WriteId(*OWN_LOG, 1), WriteStatus.ABANDONED)
    edge.version_vector.publish(WriteId(*OWN_LOG, 3), WriteStatus.APPLIED)
    edge.version_vector.publish(WriteId(*OWN_LOG, 4), WriteStatus.PARKED)
    edge.version_vector.publish_low_watermark(OWN_LOG, 1)
    edge.query_until_idle()
    edge.now += MAX_PAUSE_US
    edge.query_until_idle()
    expected = edge.ledger.dump()
    edge.ledger = ImmediateLedger()
    edge.now += REPEAT_INTERVAL_US
    while edge.ledger.dump() != expected:
        edge.query_until_idle()
        edge.now += MAX_PAUSE_US
        assert edge.now < 10 * REPEAT_INTERVAL_US
    assert (
        edge.ledger.write_status(Dependency(*OWN_LOG, 1)) is WriteStatus.ABANDONED
        and edge.ledger.write_status(Dependency(*OWN_LOG, 3)) is WriteStatus.APPLIED
    )
    # A write that is no longer parked is reported once and not repeated.
    edge.version_vector.publish(WriteId(*OWN_LOG, 4), WriteStatus.UNKNOWN)
    edge.query_until_idle()
    assert edge.ledger.write_status(Dependency(*OWN_LOG, 4)) is WriteStatus.UNKNOWN


def test_an_intent_withdrawal_is_published_until_the_ledger_agrees() -> None:
    edge = QueryingEdge()
    write_id = WriteId(*OWN_LOG, 1)
    edge.ledger.agree(Intent(write_id, 7, 5))
    edge.version_vector.publish(write_id, WriteStatus.PARKED)
    edge.query_until_idle()
    edge.version_vector.withdraw_intent(write_id, 1)
    edge.version_vector.publish(write_id, WriteStatus.UNKNOWN)  # does not replace the withdrawal
    query = edge.expect_query()
    assert query.status_updates == (
        StatusUpdate(write_id, WriteStatus.UNKNOWN, 7, withdraw_intent=True, parking=1),
    )
    assert not edge.version_vector.on_reply(QueryReply((), (), (False,)), edge.now).withdrawn_intents
    edge.now += MAX_PAUSE_US
    assert edge.query_until_idle().withdrawn_intents == [write_id]
    assert edge.ledger.intent_status(write_id, 7, 6) is IntentStatus.OPEN


def test_an_intent_withdrawal_is_not_published_after_another_process_held_the_log() -> None:
    edge = QueryingEdge()
    write_id = WriteId(*OWN_LOG, 1)
    edge.version_vector.withdraw_intent(write_id, 1)
    edge.ledger.agree(edge.ledger.lease_entry(LeaseRequest(OWN_LOG, 8, (OWN_LOG.incarnation,))))
    edge.ledger.agree(Intent(write_id, 8, 5))  # by the other process, which sends the write
    assert edge.version_vector.on_fencing_reported(OWN_LOG)
    edge.version_vector.request_lease(OWN_LOG, (7, 8), is_forced=True)
    for _ in range(3):
        edge.query_until_idle()
        edge.now += REPEAT_INTERVAL_US
    assert (
        edge.version_vector.holds(OWN_LOG)
        and edge.ledger.intent_status(write_id, 7, 6) is IntentStatus.OTHERS
    )


def test_updates_on_a_log_wait_until_it_is_held() -> None:
    edge = QueryingEdge()
    edge.version_vector.publish(WriteId(*EARLIER_LOG, 1), WriteStatus.PARKED)
    assert edge.next_query() is None
    edge.version_vector.request_lease(EARLIER_LOG, (3, 7))
    edge.query_until_idle()
    edge.now += MIN_PAUSE_US
    edge.query_until_idle()
    assert edge.ledger.write_status(Dependency(*EARLIER_LOG, 1)) is WriteStatus.PARKED


def test_a_final_status_finds_room_or_is_refused() -> None:
    edge = QueryingEdge()
    for number in range(1, MAX_UPDATES + 1):
        assert edge.version_vector.publish(WriteId(*OWN_LOG, number), WriteStatus.PARKED)
    assert not edge.version_vector.publish(WriteId(*OWN_LOG, MAX_UPDATES + 1), WriteStatus.PARKED)
    for number in range(MAX_UPDATES + 1, 2 * MAX_UPDATES + 1):
        assert edge.version_vector.publish(WriteId(*OWN_LOG, number), WriteStatus.ABANDONED)
    last = WriteId(*OWN_LOG, 2 * MAX_UPDATES + 1)
    assert not edge.version_vector.publish(last, WriteStatus.ABANDONED)
    assert len(edge.version_vector._updates) == MAX_UPDATES
    edge.query_until_idle()
    # An update that the ledger knows is evicted.
    assert edge.version_vector.publish(last, WriteStatus.ABANDONED)


@pytest.mark.parametrize("seed", range(40))
def test_random_sequences_end_with_both_sides_up_to_date(seed: int) -> None:
    """Queries, replies and the ledger itself are lost at random; in the end both sides know everything."""
    rng = random.Random(seed)
    edge = QueryingEdge()
    version_vector = edge.version_vector
    reported: dict[WriteId, WriteStatus] = {}
    watched: set[Dependency] = set()
    previous_statuses: dict[Dependency, WriteStatus] = {}
    query_in_flight: ReplayQuery | None = None
    low_watermark = 0
    is_lease_requested = False
    for _ in range(300):
        edge.now += rng.randrange(SECOND_US)
        match rng.randrange(8):
            case 0:
                dependency = Dependency(*FOREIGN_LOG, rng.randrange(1, 60))
                edge.version_vector.watch([dependency])
                watched.add(dependency)
            case 1:
                edge.ledger.agree(WriteApplied(WriteId(*FOREIGN_LOG, rng.randrange(1, 60))))
            case 2:
                write_id = WriteId(*OWN_LOG, rng.randrange(low_watermark + 1, low_watermark + 30))
                write_status = rng.choice(
                    (WriteStatus.PARKED, WriteStatus.UNKNOWN, WriteStatus.ABANDONED, WriteStatus.APPLIED)
                )
                if reported.get(write_id) not in (
                    WriteStatus.APPLIED,
                    WriteStatus.ABANDONED,
                ) and edge.version_vector.publish(write_id, write_status):
                    reported[write_id] = write_status
            case 3 if rng.randrange(5) == 0:
                numbers = [
                    write_id.number
                    for write_id, write_status in reported.items()
                    if write_status in (WriteStatus.PARKED, WriteStatus.UNKNOWN)
                ]
                low_watermark = max(low_watermark, min([*numbers, low_watermark + 10]) - 1)
                edge.version_vector.publish_low_watermark(OWN_LOG, low_watermark)
            case 4 if not is_lease_requested:
                edge.version_vector.request_lease(EARLIER_LOG, (3, 7))
                is_lease_requested = True
            case 5 if rng.randrange(20) == 0 and not any(
                dependency.before for dependency in version_vector._unpublished
            ):
                edge.ledger = ImmediateLedger()
            case _ if query_in_flight is not None and rng.random() < 0.6:
                if rng.randrange(3):
                    edge.answer(query_in_flight)
                else:
                    edge.ledger.reply_to(query_in_flight)  # the reply is lost
                    edge.version_vector.on_query_failed(edge.now)
                query_in_flight = None
        query = edge.next_query()
        if query is not None:
            assert (
                query_in_flight is None
                and max(len(query.dependencies), len(query.lease_requests), len(query.status_updates))
                <= MAX_QUERY_ITEMS
            )
            assert all(
                update.write_status is not WriteStatus.APPLIED
                or not update.before
                or update.write_id.number <= low_watermark
                for update in query.status_updates
            )
            query_in_flight = query
        for dependency, write_status in previous_statuses.items():
            if write_status in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
                assert edge.version_vector.write_status(dependency) is write_status
        previous_statuses = {
            dependency: edge.version_vector.write_status(dependency) for dependency in watched
        }
        assert is_lease_requested or not edge.version_vector.holds(EARLIER_LOG)
    if query_in_flight is not None:
        edge.answer(query_in_flight)
    edge.now += REPEAT_INTERVAL_US
    for _ in range(50):
        edge.query_until_idle()
        edge.now += MAX_PAUSE_US
    for dependency in watched:
        known_status = edge.version_vector.write_status(dependency)
        assert (
            known_status is edge.ledger.write_status(dependency) or known_status is WriteStatus.APPLIED
        )  # reported by a ledger that was lost since
    for write_id, write_status in reported.items():
        expected = (
            WriteStatus.ABANDONED
            if write_status is WriteStatus.ABANDONED
            else WriteStatus.APPLIED
            if write_id.number <= low_watermark
            else write_status
        )
        assert edge.ledger.write_status(Dependency(*write_id)) is expected, write_id
    assert (
        edge.ledger.write_status(Dependency(*OWN_LOG, low_watermark, True)) is WriteStatus.APPLIED
        or not low_watermark
    )
    assert edge.version_vector.holds(EARLIER_LOG) is is_lease_requested


# Whole edges over loopback

SECRET = b"the secret of all edges and copies"
SETTINGS = {
    "classes": [
        {"name": "page", "aim-us": 500_000, "deadline-us": 5_000_000, "repeat": "retryable"},
        {
            "name": "put", "aim-us": 500_000, "deadline-us": 5_000_000, "repeat": "dedup",
            "dedup-scope": "all", "repeat-window-us": 5_000_000,
        },
        {"name": "pay", "aim-us": 500_000, "deadline-us": 5_000_000, "repeat": "fragile"},
    ],
    "ceilings": {"cancel": True, "max-attempts": 3, "max-streams": 1, "conn-idle-us": 10_000_000},
    "invariants": {"drain-grace-us": 500_000},
    "stage": 1,
}  # fmt: skip
REPLAY_HEADER_NAME = REPLAY_HEADER.decode()


class UpstreamCopy:
    """A copy upstream with the real ledger, whose entries are agreed at once, and the endpoint behind it."""

    def __init__(self) -> None:
        self.ledger = ImmediateLedger()
        self.seal = MessageSeal(SECRET)
        self.ran_writes: list[WriteId] = []
        self.received_replays: list[WriteId] = []  # every replay that arrived
        self.queries: list[ReplayQuery] = []
        self.lost_answers: set[WriteId] = set()  # writes whose answers are lost after the effect
        self.unrecorded_writes: set[WriteId] = set()  # the same, and not agreed to be applied
        self.refuses_queries = False  # with status 503
        self.refuses_replays = False  # with status 503
        self.last_intent_id = 0
        self.endpoint = Endpoint(handler=self.handle)

    async def handle(self, endpoint: Endpoint, message: Message, writer: Writer) -> None:
        target = message.start_line.split()[1]
        if target.startswith(SHARED_PATH.decode()):
            self._answer_query(target[len(SHARED_PATH) :], writer)
        elif self.refuses_replays:
            writer.write(answer(503, b"", "Retry-After: 1\r\n"))
        else:
            self._replay(self.seal.open_replay(message.headers[REPLAY_HEADER_NAME]), writer)

    def _answer_query(self, sealed: str, writer: Writer) -> None:
        query = self.seal.open_query(sealed)
        self.queries.append(query)
        if self.refuses_queries:
            writer.write(answer(503, b"", "Retry-After: 1\r\n"))
            return
        writer.write(answer(200, self.seal.seal_reply(self.ledger.reply_to(query), sealed).encode()))

    def _replay(self, identity: ReplayIdentity, writer: Writer) -> None:
        self.received_replays.append(identity.write_id)
        self.last_intent_id += 1
        intent_status = self.ledger.intent_status(
            identity.write_id, identity.incarnation, self.last_intent_id
        )
        if intent_status is IntentStatus.FENCED:
            writer.write(answer(503, b"", "X-Kept-Fate: fenced\r\nRetry-After: 1\r\n"))
        elif intent_status is IntentStatus.APPLIED:
            writer.write(answer(200, b"", "X-Kept-Fate: in\r\n"))
        elif intent_status is IntentStatus.OTHERS:
            writer.write(answer(502, b"", "X-Kept-Fate: begun\r\n"))
        else:
            self._run(identity, writer)

    def _run(self, identity: ReplayIdentity, writer: Writer) -> None:
        if identity.unsafe:
            self.ledger.agree(Intent(identity.write_id, identity.incarnation, self.last_intent_id))
        self.ran_writes.append(identity.write_id)
        if identity.write_id not in self.unrecorded_writes:
            self.ledger.agree(WriteApplied(identity.write_id))
        if identity.write_id in self.lost_answers | self.unrecorded_writes:
            reset_connection(writer)
        else:
            writer.write(answer(200, b"ran"))


class Frontend:
    def __init__(self) -> None:
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

    def on_answer(self, call: Call, answer: Answer) -> None:
        self.answer.set_result(answer)


class EdgeProcess:
    """An edge in this process, replaying to a copy over loopback. The test sets the link's state directly,
    because other tests cover its detection.
    """

    def __init__(
        self, assembly: Assembly, driver: OutboxDriver, log: list[str], upstream: UpstreamCopy
    ) -> None:
        self.assembly = assembly
        self.driver = driver
        self.log = log
        self.upstream = upstream
        self.number = self.list_generation = 0

    @classmethod
    async def open(cls, folder: Path, upstream: UpstreamCopy, edge: str = "ash") -> EdgeProcess:
        config = config_from({"seed": "1", "settings": SETTINGS}, "test")
        config.names.queueable_classes = frozenset((1, 2))
        log: list[str] = []
        assembly = Assembly(asyncio.get_running_loop(), config, log.append)
        assembly.start()
        secret = folder / "secret"
        secret.write_bytes(SECRET)
        classes = {"put": QueuedClass("keyed", 86_400 * SECOND_US), "pay": QueuedClass("unsafe")}
        settings = OutboxSettings(
            store_path=str(folder / "store"), edge=edge, classes=classes, secret_file=str(secret),
            cut_us=3_600 * SECOND_US, back_us=0, max_deadline_us=5 * SECOND_US, upstream="copies",
        )  # fmt: skip
        driver = await OutboxDriver.open(settings, config.names.classes, {}, log.append)
        driver.begin(assembly.engine)
        process = cls(assembly, driver, log, upstream)
        process.set_link(False)
        return process

    def set_link(self, is_up: bool) -> None:
        """Set the link's state. While it is down, the endpoint list is empty."""
        self.list_generation += 1
        self.assembly.engine.on_list(
            self.list_generation, True, [self.upstream.endpoint.entry("copy")] if is_up else []
        )
        self.driver.cutoff.is_cut_off = not is_up
        if self.driver.was_cut_off is is_up:
            self.driver._on_cutoff_change()

    async def close(self) -> None:
        await self.driver.close()
        self.assembly.close()

    async def write(self, class_name: str, dependency_token: bytes = b"") -> Answer:
        self.number += 1
        request_id = b"r%d" % self.number
        headers = [(b"host", b"x"), (b"x-request-id", request_id), (b"x-class", class_name.encode())]
        if class_name == "put":
            headers.append((b"idempotency-key", request_id))
        frontend, engine = Frontend(), self.assembly.engine
        call = Call(
            {"put": 1, "pay": 2}[class_name], engine.now() + 5 * SECOND_US, b"POST /" + class_name.encode(),
            encode_headers(headers), b"body", frontend, request_id,
        )  # fmt: skip
        call.causal_dependencies = (dependency_token, b"", b"")
        engine.take(call)
        return await frontend.answer

    async def queue_write(self, class_name: str, dependency_token: bytes = b"") -> WriteId:
        answer = await self.write(class_name, dependency_token)
        assert answer.status == 202, answer.body
        return CausalityTokens(SECRET).read(dict(answer.headers)[b"x-causal-token"].decode())[0].write_id

    def receipt(self, write_id: WriteId) -> WriteReceipt:
        return self.driver.outbox.receipt(write_id)

    async def wait_for_state(
        self, write_id: WriteId, state: WriteState, reason: ParkingReason | None = None
    ) -> None:
        while (receipt := self.receipt(write_id)).state is not state or receipt.reason is not (
            reason or receipt.reason
        ):
            await asyncio.sleep(0)

    def resolve(self, write_id: WriteId, resolution: Resolution) -> None:
        assert self.driver.resolve(str(write_id), self.receipt(write_id).parking, resolution)


def causality_token(write_id: WriteId) -> bytes:
    return CausalityTokens(SECRET).receipt(write_id).encode()


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def edge_process(
    folder: Path, edge: str = "ash", upstream: UpstreamCopy | None = None
) -> AsyncIterator[EdgeProcess]:
    async with contextlib.AsyncExitStack() as stack, asyncio.timeout(TEST_TIMEOUT_S):
        if upstream is None:
            upstream = UpstreamCopy()
            await stack.enter_async_context(upstream.endpoint)
        folder.mkdir(exist_ok=True)
        process = await EdgeProcess.open(folder, upstream, edge)
        stack.push_async_callback(process.close)
        yield process


def test_a_lost_answer_to_an_unsafe_write_is_recovered_from_the_ledger(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge_process(tmp_path) as edge:
            first = await edge.queue_write("pay")
            second = await edge.queue_write("pay", causality_token(first))
            assert not edge.upstream.queries and not edge.upstream.received_replays  # cut off
            edge.upstream.lost_answers.add(first)
            edge.set_link(True)
            await edge.wait_for_state(first, WriteState.DONE)
            await edge.wait_for_state(second, WriteState.DONE)
            assert edge.upstream.ran_writes == [first, second]
            assert any("upstream's record says that it is in" in text for text in edge.log)

    run(main())


def test_a_parked_write_is_done_once_the_ledger_shows_it_as_applied(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge_process(tmp_path) as edge:
            first = await edge.queue_write("pay")
            edge.upstream.unrecorded_writes.add(first)
            edge.set_link(True)
            await edge.wait_for_state(first, WriteState.PARKED, ParkingReason.MAY_HAVE_RUN)
            await wait_until(
                lambda: edge.upstream.ledger.write_status(Dependency(*first)) is WriteStatus.PARKED
            )
            edge.upstream.ledger.agree(WriteApplied(first))
            await edge.wait_for_state(first, WriteState.DONE)
            assert edge.upstream.received_replays == [first]

    run(main())


def test_a_write_with_another_intent_is_parked_and_sent_again_only_after_the_withdrawal(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with edge_process(tmp_path) as edge:
            first = await edge.queue_write("pay")
            edge.upstream.ledger.agree(Intent(first, first.incarnation, 99))
            edge.set_link(True)
            await edge.wait_for_state(first, WriteState.PARKED, ParkingReason.MAY_HAVE_RUN)
            assert not edge.upstream.ran_writes
            edge.upstream.refuses_queries = True
            assert edge.driver.sharing is not None
            parked_at = edge.driver.sharing.parked_at[first]
            edge.resolve(first, Resolution.NEVER_RAN)
            await edge.wait_for_state(first, WriteState.READY)
            query_count = len(edge.upstream.queries)
            await wait_until(lambda: len(edge.upstream.queries) > query_count + 1)
            assert edge.upstream.received_replays == [first] and edge.receipt(first).state is WriteState.READY
            edge.upstream.refuses_queries = False
            await edge.wait_for_state(first, WriteState.DONE)
            assert edge.upstream.received_replays == [first, first] and edge.upstream.ran_writes == [first]
            # Only after the last attempt's deadline: until then the attempt might still have run.
            assert edge.driver.clock.now() >= parked_at + edge.driver.settings.max_deadline_us

    run(main())


def test_a_pending_resolution_is_dropped_if_another_process_held_the_log(tmp_path: Path) -> None:
    """Guards against withdrawing an intent that the other process has recorded since."""

    async def main() -> None:
        async with edge_process(tmp_path) as edge:
            ledger, sharing = edge.upstream.ledger, edge.driver.sharing
            assert sharing is not None
            first = await edge.queue_write("pay")
            ledger.agree(Intent(first, first.incarnation, 99))
            edge.set_link(True)
            await edge.wait_for_state(first, WriteState.PARKED, ParkingReason.MAY_HAVE_RUN)
            # As if the attempt had been lost before it reached the gate.
            ledger.agree(IntentWithdrawal(first, 99))
            edge.resolve(first, Resolution.NEVER_RAN)
            await edge.wait_for_state(first, WriteState.READY)
            # The process on a copy of the disk sends the write; that it was applied is not agreed yet.
            ledger.agree(LogLease(first.edge_log, 5, first.incarnation, 0, True))
            ledger.agree(Intent(first, 5, 77))
            edge.set_link(False)
            other = await edge.queue_write("put")
            edge.set_link(True)
            await edge.wait_for_state(other, WriteState.PARKED, ParkingReason.FENCED)
            await edge.wait_for_state(first, WriteState.PARKED, ParkingReason.FENCED)
            assert edge.driver.claim(first.edge_log)
            await edge.wait_for_state(first, WriteState.PARKED, ParkingReason.MAY_HAVE_RUN)
            assert (
                not sharing.never_ran_resolutions
                and not sharing.resolution_timers
                and first not in edge.upstream.ran_writes
            )
            assert ledger.intent_status(first, first.incarnation, 1) is IntentStatus.OTHERS

    run(main())


def test_a_resolution_made_before_the_lease_is_published_once_the_log_is_held(tmp_path: Path) -> None:
    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            upstream = UpstreamCopy()
            await stack.enter_async_context(upstream.endpoint)
            async with edge_process(tmp_path, upstream=upstream) as edge:
                first = await edge.queue_write("pay")
                upstream.ledger.agree(Intent(first, first.incarnation, 99))
                edge.set_link(True)
                await edge.wait_for_state(first, WriteState.PARKED, ParkingReason.MAY_HAVE_RUN)
            async with edge_process(tmp_path, upstream=upstream) as edge:
                assert edge.driver.sharing is not None
                edge.driver.settings = dataclasses.replace(edge.driver.settings, max_deadline_us=0)
                edge.resolve(first, Resolution.NEVER_RAN)
                await edge.wait_for_state(first, WriteState.READY)
                assert first in edge.driver.sharing.never_ran_resolutions and not upstream.ran_writes
                edge.set_link(True)
                await edge.wait_for_state(first, WriteState.DONE)
                assert upstream.ran_writes == [first] and not edge.driver.sharing.never_ran_resolutions

    run(main())


def test_a_lease_granted_while_a_fencing_step_is_written_undoes_it(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge_process(tmp_path) as edge:
            first = await edge.queue_write("pay")
            outbox, now = edge.driver.outbox, edge.driver.clock.now()
            assert edge.driver.replay_timer is not None
            edge.driver.replay_timer.cancel()
            outbox.fence(first.edge_log)
            (change,) = [change for change in outbox.due(now) if change.write_id == first]
            outbox.unfence(first.edge_log)
            outbox.apply(change, now)
            assert edge.receipt(first).reason is ParkingReason.FENCED
            (change,) = outbox.due(now)
            assert change.event is WriteEvent.UNFENCED
            outbox.apply(change, now)
            assert edge.receipt(first).state is WriteState.READY

    run(main())


def test_a_write_resolved_while_fenced_is_scheduled_to_expire_once(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge_process(tmp_path) as edge:
            write_ids = [await edge.queue_write("pay") for _ in range(3)]
            outbox, now = edge.driver.outbox, edge.driver.clock.now()
            assert edge.driver.replay_timer is not None
            edge.driver.replay_timer.cancel()
            outbox.fence(write_ids[0].edge_log)
            for change in outbox.due(now):
                outbox.apply(change, now)
            resolved = outbox.resolve(
                write_ids[0], edge.receipt(write_ids[0]).parking, Resolution.NEVER_RAN, 1
            )
            assert resolved is not None
            outbox.apply(resolved, now)
            outbox.unfence(write_ids[0].edge_log)
            for change in outbox.due(now):
                outbox.apply(change, now)
            later = now + 1_000 * outbox.bounds.age_us
            expired = {change.write_id for change in outbox.due(later) if change.event is WriteEvent.EXPIRED}
            assert expired == set(write_ids[1:])  # the first write is in flight

    run(main())


def test_an_abandoned_write_is_not_forgotten_before_upstream_knows(tmp_path: Path) -> None:
    """Guards against a low watermark that shows an abandoned write as applied."""

    async def main() -> None:
        async with edge_process(tmp_path) as edge:
            outbox = edge.driver.outbox
            outbox.bounds = dataclasses.replace(outbox.bounds, receipt_us=0)
            first = await edge.queue_write("pay")
            expiry = outbox._begin_transition(
                outbox._require_row(first), WriteEvent.EXPIRED, ParkingReason.AGE
            )
            await edge.driver.take_step(expiry)
            edge.resolve(first, Resolution.GIVE_UP)
            await edge.wait_for_state(first, WriteState.GIVEN_UP)
            assert edge.driver.replay_timer is not None
            edge.driver.replay_timer.cancel()
            edge.driver._publish_finished()
            now = edge.driver.clock.now()
            assert not outbox.expired_receipts(now, edge.driver._is_unpublished)
            edge.set_link(True)
            await wait_until(
                lambda: edge.upstream.ledger.write_status(Dependency(*first)) is WriteStatus.ABANDONED
            )
            await wait_until(lambda: not edge.driver._is_unpublished(first))
            assert outbox.expired_receipts(edge.driver.clock.now(), edge.driver._is_unpublished) in (
                [first],
                [],
            )

    run(main())


def test_a_refusal_by_a_copy_shows_that_an_unsafe_write_has_not_run(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge_process(tmp_path) as edge:
            first = await edge.queue_write("pay")
            edge.upstream.refuses_replays = True
            edge.set_link(True)
            await edge.upstream.endpoint.arrived.acquire()
            while not edge.upstream.endpoint.requests[-1].start_line.startswith("POST"):
                await edge.upstream.endpoint.arrived.acquire()
            edge.upstream.refuses_replays = False
            await edge.wait_for_state(first, WriteState.DONE)
            assert edge.upstream.ran_writes == [first]

    run(main())


def test_a_fenced_edge_parks_its_writes_and_queues_no_new_ones(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge_process(tmp_path) as edge:
            first = await edge.queue_write("pay")
            second = await edge.queue_write("put", causality_token(first))
            edge_log = first.edge_log
            edge.upstream.ledger.agree(
                edge.upstream.ledger.lease_entry(LeaseRequest(edge_log, 5, (edge_log.incarnation,)))
            )
            edge.set_link(True)
            await edge.wait_for_state(first, WriteState.PARKED, ParkingReason.FENCED)
            await edge.wait_for_state(second, WriteState.PARKED, ParkingReason.FENCED)
            assert not edge.upstream.ran_writes and edge.upstream.received_replays == [first]
            assert sum("another process with a copy of this disk" in text for text in edge.log) == 1
            edge.set_link(False)
            assert (await edge.write("pay")).status in (502, 503)
            assert edge.driver.outbox.count == 2
            # A write that the other process replayed is done here too.
            edge.upstream.ledger.agree(WriteApplied(first))
            edge.set_link(True)
            await edge.wait_for_state(first, WriteState.DONE)
            assert edge.driver.claim(edge_log)
            await edge.wait_for_state(second, WriteState.DONE)
            assert edge.upstream.ran_writes == [second] and not edge.driver.claim(edge_log)
            with pytest.raises(UnknownWriteError):
                edge.driver.claim(FOREIGN_LOG)

    run(main())


def test_a_write_that_depends_on_another_edges_write_waits_for_it(tmp_path: Path) -> None:
    async def main() -> None:
        async with (
            edge_process(tmp_path / "ash") as ash,
            edge_process(tmp_path / "oak", "oak", ash.upstream) as oak,
        ):
            first = await ash.queue_write("pay")
            oak.set_link(True)
            # The link is up, but the write is queued: the first write's status is not known yet.
            second = await oak.queue_write("put", causality_token(first))
            query_count = len(ash.upstream.queries)
            await wait_until(lambda: len(ash.upstream.queries) > query_count)
            assert oak.receipt(second).state is WriteState.KEPT and oak.receipt(second).behind == first
            ash.upstream.unrecorded_writes.add(first)
            ash.set_link(True)
            await ash.wait_for_state(first, WriteState.PARKED, ParkingReason.MAY_HAVE_RUN)
            await oak.wait_for_state(second, WriteState.PARKED, ParkingReason.FOLLOWS)
            assert oak.receipt(second).behind == first
            ash.resolve(first, Resolution.RAN)
            await oak.wait_for_state(second, WriteState.DONE)
            assert ash.upstream.ran_writes == [first, second]

    run(main())


def test_a_write_that_depends_on_an_abandoned_write_is_orphaned(tmp_path: Path) -> None:
    async def main() -> None:
        async with (
            edge_process(tmp_path / "ash") as ash,
            edge_process(tmp_path / "oak", "oak", ash.upstream) as oak,
        ):
            first = await ash.queue_write("pay")
            ash.upstream.unrecorded_writes.add(first)
            ash.set_link(True)
            await ash.wait_for_state(first, WriteState.PARKED, ParkingReason.MAY_HAVE_RUN)
            oak.set_link(True)
            second = await oak.queue_write("pay", causality_token(first))
            await oak.wait_for_state(second, WriteState.PARKED, ParkingReason.FOLLOWS)
            ash.resolve(first, Resolution.GIVE_UP)
            await oak.wait_for_state(second, WriteState.PARKED, ParkingReason.ORPHANED)
            assert second not in ash.upstream.ran_writes

    run(main())


def test_a_restarted_edge_requests_the_lease_before_it_replays_and_is_a_durable_holder_before_that(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        upstream = UpstreamCopy()
        async with upstream.endpoint, asyncio.timeout(TEST_TIMEOUT_S):
            async with edge_process(tmp_path / "1", upstream=upstream) as edge:
                first = await edge.queue_write("pay")
                shutil.copytree(tmp_path / "1", tmp_path / "2")
            async with edge_process(tmp_path / "2", upstream=upstream) as restarted:
                edge_log, incarnation = first.edge_log, restarted.driver.store.incarnation
                assert not restarted.driver.outbox.version_vector.holds(edge_log)
                upstream.refuses_queries = True
                restarted.set_link(True)
                await wait_until(lambda: any(query.lease_requests for query in upstream.queries))
                # Killed during the request, when the disk already names this incarnation as a holder.
                shutil.copytree(tmp_path / "2", tmp_path / "3")
                request = next(query.lease_requests[0] for query in upstream.queries if query.lease_requests)
                assert (
                    request == LeaseRequest(edge_log, incarnation, (edge_log.incarnation,))
                    and not upstream.received_replays
                )
                upstream.refuses_queries = False
                upstream.refuses_replays = True
                await wait_until(lambda: upstream.ledger.holder(edge_log) == incarnation)
            upstream.refuses_replays = False
            async with edge_process(tmp_path / "3", upstream=upstream) as recovered:
                recovered.set_link(True)
                await recovered.wait_for_state(first, WriteState.DONE)
                assert upstream.ledger.holder(edge_log) == recovered.driver.store.incarnation
            assert upstream.ran_writes == [first]
            # The first disk names neither of the later incarnations: its edge is fenced and sends nothing.
            received_count = len(upstream.received_replays)
            async with edge_process(tmp_path / "1", upstream=upstream) as stale:
                stale.set_link(True)
                await wait_until(lambda: stale.receipt(first).state is not WriteState.KEPT)
                await wait_until(lambda: any("fenced" in text for text in stale.log))
                await stale.wait_for_state(first, WriteState.DONE)
            assert upstream.ran_writes == [first] and len(upstream.received_replays) == received_count

    run(main())


def test_an_incarnation_that_was_always_cut_off_is_not_named_as_a_holder(tmp_path: Path) -> None:
    async def main() -> None:
        upstream = UpstreamCopy()
        async with upstream.endpoint, asyncio.timeout(TEST_TIMEOUT_S):
            async with edge_process(tmp_path, upstream=upstream) as edge:
                first = await edge.queue_write("put")
            for _ in range(3):
                async with edge_process(tmp_path, upstream=upstream):
                    pass
            async with edge_process(tmp_path, upstream=upstream) as last:
                last.set_link(True)
                await last.wait_for_state(first, WriteState.DONE)
            requests = [query.lease_requests[0] for query in upstream.queries if query.lease_requests]
            assert {request.known_holders for request in requests} == {(first.incarnation,)}

    run(main())


def test_an_edge_with_only_waiting_writes_notices_that_its_link_is_back(tmp_path: Path) -> None:
    async def main() -> None:
        async with edge_process(tmp_path) as edge:
            dependency = WriteId(*FOREIGN_LOG, 1)
            write_id = await edge.queue_write("put", causality_token(dependency))
            edge.upstream.ledger.agree(WriteApplied(dependency))
            # The link is up, but the edge has not noticed.
            edge.list_generation += 1
            edge.assembly.engine.on_list(edge.list_generation, True, [edge.upstream.endpoint.entry("copy")])
            await wait_until(lambda: bool(edge.upstream.queries))
            assert edge.driver.cutoff.is_cut_off and edge.upstream.queries[0] == ReplayQuery()
            await edge.wait_for_state(write_id, WriteState.DONE)
            assert not edge.driver.cutoff.is_cut_off and edge.upstream.ran_writes == [write_id]

    run(main())


class StatusPublisher:
    """The version vector of a copy upstream, to which all writes of other logs are abandoned."""

    def __init__(self) -> None:
        self.write_statuses: list[tuple[WriteId, WriteStatus]] = []
        self.low_watermarks: dict[EdgeLog, int] = {}
        self.is_full = True

    def write_status(self, dependency: Dependency) -> WriteStatus:
        return WriteStatus.ABANDONED

    def holds(self, edge_log: EdgeLog) -> bool:
        return True

    def publish(self, write_id: WriteId, write_status: WriteStatus) -> bool:
        self.write_statuses.append((write_id, write_status))
        return not self.is_full

    def publish_low_watermark(self, edge_log: EdgeLog, number: int) -> bool:
        self.low_watermarks[edge_log] = number
        return True

    def is_unpublished(self, write_id: WriteId) -> bool:
        return self.is_full


def test_a_sharing_copy_queues_no_edges_replay_and_publishes_statuses_of_its_own_writes(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        config = config_from({"seed": "1", "settings": SETTINGS}, "test")
        (tmp_path / "secret").write_bytes(SECRET)
        settings = OutboxSettings(
            store_path=str(tmp_path / "store"),
            edge="up",
            classes={"pay": QueuedClass("unsafe")},
            shared=True,
            secret_file=str(tmp_path / "secret"),
        )
        status_publisher = StatusPublisher()
        assembly = Assembly(asyncio.get_running_loop(), config, lambda edge_log: None)
        assembly.start()
        driver = await OutboxDriver.open(
            settings, config.names.classes, {}, lambda edge_log: None, status_publisher
        )
        driver.begin(assembly.engine)
        driver.cutoff.is_cut_off = True

        async def send_write(*dependencies: bytes) -> Answer:
            frontend = Frontend()
            call = Call(2, assembly.engine.now() + 5 * SECOND_US, b"POST /pay", b"", b"x", frontend, b"r")
            call.causal_dependencies = dependencies
            assembly.engine.take(call)
            return await frontend.answer

        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert (await send_write(b"", b"", b"", b"sealed")).status == 503  # the edge keeps the write
            assert (await send_write(causality_token(WriteId(*FOREIGN_LOG, 1)), b"", b"", b"")).status == 202
            write_id = WriteId("up", driver.store.incarnation, 1)
            await wait_until(lambda: (write_id, WriteStatus.PARKED) in status_publisher.write_statuses)
            assert driver.resolve(str(write_id), 1, Resolution.GIVE_UP)
            await wait_until(lambda: (write_id, WriteStatus.ABANDONED) in status_publisher.write_statuses)
            assert not status_publisher.low_watermarks  # it would show the write as applied
            status_publisher.is_full = False
            await wait_until(lambda: status_publisher.low_watermarks == {write_id.edge_log: 1})
            assert not driver.unpublished and not driver.outbox.take_finished()
        await driver.close()
        assembly.close()

    run(main())
