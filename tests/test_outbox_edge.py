"""What an edge shares with copies upstream: what it asks, tells and learns, by made sequences, and over
loopback against a stand-in for a copy that has the real record."""

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
from laurelstep.outbox.shared.edge import AGAIN_US, SAID_MOST, RemoteVersionVector
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
    KEPT_HEADER,
    QUERIED_MOST,
    SHARED_PATH,
    IntentStatus,
    LeaseRequest,
    LeaseStatus,
    QueryReply,
    ReplayIdentity,
    ReplayQuery,
    StatusUpdate,
)
from laurelstep.outbox.shared.query_round import KNOWN_MOST, LEAST_US, MOST_US, ROUND_MOST, QueryOutcome
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId
from laurelstep.settings import config_from
from laurelstep.testing import Endpoint, Message, Writer, answer
from laurelstep.testing.endpoints import reset_connection

from tests.sockets import TEST_TIMEOUT_S, run

OWN, FORMER, OTHER = EdgeLog("ash", 7), EdgeLog("ash", 3), EdgeLog("oak", 9)
SECOND = 1_000_000


def always(dependency: Dependency) -> bool:
    return True


class Agreed(ReplicatedLedger):
    """A record whose entries are agreed at once."""

    def __init__(self) -> None:
        super().__init__()
        self.index = 0

    def agree(self, entry: LedgerEntry | None) -> None:
        if entry is not None:
            self.index += 1
            self.apply(self.index, pack(entry)[1:])

    def answer(self, ask: ReplayQuery) -> QueryReply:
        for claim in ask.lease_requests:
            self.agree(self.lease_entry(claim))
        for told in ask.status_updates:
            self.agree(self.status_entry(told))
        return QueryReply(
            tuple(map(self.write_status, ask.dependencies)),
            tuple(map(self.lease_status, ask.lease_requests)),
            tuple(map(self.agrees_with, ask.status_updates)),
        )


class Asker:
    """A version vector, and its driver by hand."""

    def __init__(self, record: Agreed | None = None, line: EdgeLog = OWN) -> None:
        self.remote = RemoteVersionVector(line, random.Random(1))
        self.record = record or Agreed()
        self.now = 0

    def next(self) -> ReplayQuery | None:
        return self.remote.next(self.now, always)

    def must(self) -> ReplayQuery:
        ask = self.next()
        assert ask is not None
        return ask

    def answer(self, ask: ReplayQuery) -> QueryOutcome:
        return self.remote.on_reply(self.record.answer(ask), self.now)

    def until_still(self) -> QueryOutcome:
        """All that is to be asked without a pause."""
        found = QueryOutcome()
        while (ask := self.next()) is not None:
            news = self.answer(ask)
            found.held += news.held
            found.fenced += news.fenced
            found.own_applied += news.own_applied
            found.withdrawn += news.withdrawn
        return found


# Pace


def test_what_is_new_is_asked_at_once_and_the_rest_after_pauses_that_double() -> None:
    one = Asker()
    assert one.next() is None
    first = Dependency(*OTHER, 1)
    one.remote.watch([first])
    ask = one.must()
    assert ask == ReplayQuery((first,)) and one.next() is None  # one is out at a time
    pauses = []
    for _ in range(6):
        one.answer(ask)
        pauses.append(one.remote.wait(one.now))
        one.now += pauses[-1] - 1
        assert one.next() is None
        one.now += 1
        ask = one.must()
    for pause, most in zip(pauses, (1, 2, 4, 8, 8, 8), strict=True):
        assert most * SECOND // 2 <= pause < most * SECOND
    one.answer(ask)
    assert one.next() is None
    second = Dependency(*OTHER, 2)
    one.remote.watch([second])
    assert one.must().dependencies == (second, first)
    one.remote.on_query_failed(one.now)
    assert one.next() is None
    one.remote.on_link_up(one.now)
    assert one.must().dependencies == (second, first)


def test_a_change_makes_the_pause_short_again_and_a_final_fate_ends_the_asking() -> None:
    one = Asker()
    dependencies = [Dependency(*OTHER, 1), Dependency(*OTHER, 2)]
    one.remote.watch(dependencies)
    for _ in range(5):
        one.answer(one.must())
        one.now += one.remote.wait(one.now)
    one.record.agree(WriteApplied(dependencies[0].write_id))
    ask = one.must()
    news = one.answer(ask)
    assert news.changed and one.remote.write_status(dependencies[0]) is WriteStatus.APPLIED
    assert LEAST_US // 2 <= one.remote.wait(one.now) < LEAST_US
    one.now += LEAST_US
    assert one.must().dependencies == (dependencies[1],)
    # A later answer, of another record, takes nothing back.
    one.remote.on_reply(QueryReply((WriteStatus.PARKED,)), one.now)
    assert one.remote.write_status(dependencies[1]) is WriteStatus.PARKED
    one.remote.watch([dependencies[0]])
    one.now += MOST_US
    assert one.must().dependencies == (dependencies[1],)
    one.remote.on_reply(QueryReply((WriteStatus.UNKNOWN,)), one.now)
    assert (
        one.remote.write_status(dependencies[1]) is WriteStatus.UNKNOWN
        and one.remote.write_status(dependencies[0]) is WriteStatus.APPLIED
    )


def test_all_come_round_and_none_twice_before() -> None:
    one = Asker()
    dependencies = [Dependency(*OTHER, number) for number in range(1, 5 * QUERIED_MOST + 4)]
    one.remote.watch(dependencies)
    seen: list[Dependency] = []
    while len(seen) < 2 * len(dependencies):
        ask = one.next()
        if ask is None:
            one.now += one.remote.wait(one.now)
            continue
        assert len(ask.dependencies) <= QUERIED_MOST
        seen += ask.dependencies
        one.answer(ask)
    assert seen[: len(dependencies)] == dependencies and set(
        seen[len(dependencies) : 2 * len(dependencies)]
    ) == set(dependencies)


def test_a_round_has_an_end() -> None:
    one = Asker()
    one.remote.watch(Dependency(*OTHER, number) for number in range(1, 2 * ROUND_MOST * QUERIED_MOST))
    for _ in range(ROUND_MOST * 2):
        if (ask := one.next()) is not None:
            one.answer(ask)
    asked = 0
    one.now += one.remote.wait(one.now)
    while (ask := one.next()) is not None:
        asked += 1
        one.answer(ask)
    assert asked == ROUND_MOST and one.remote.wait(one.now) > 0


def test_what_is_of_no_use_any_more_is_not_asked() -> None:
    one = Asker()
    one.remote.watch([Dependency(*OTHER, 1), Dependency(*OTHER, 2)])
    ask = one.remote.next(0, lambda dependency: dependency.number == 2)
    assert ask is not None and ask.dependencies == (Dependency(*OTHER, 2),)


def test_while_cut_off_a_probe_goes_at_the_same_pace_and_an_answer_makes_it_quick() -> None:
    one = Asker()
    assert not one.remote.waits
    one.remote.watch([Dependency(*OTHER, 1)])
    assert one.remote.waits
    pauses = []
    for _ in range(5):
        assert one.remote.probe(one.now) == ReplayQuery() and one.remote.probe(one.now) is None
        one.remote.on_query_failed(one.now)
        before = one.now
        while one.remote.probe(one.now) is None:
            one.now += SECOND // 10
        one.remote.on_query_failed(one.now)
        pauses.append(one.now - before)
        one.now += MOST_US
    assert pauses[0] <= SECOND and pauses[-1] >= MOST_US // 2
    ask = one.remote.probe(one.now)
    assert ask is not None
    one.answer(ask)
    one.now += LEAST_US
    assert one.remote.probe(one.now) == ReplayQuery()


# Lines


def test_a_former_line_is_held_only_once_its_claim_is() -> None:
    one = Asker()
    assert one.remote.holds(OWN) and not one.remote.holds(FORMER) and not one.remote.holds(OTHER)
    one.remote.request_lease(FORMER, (FORMER.incarnation, 5, OWN.incarnation))
    ask = one.must()
    assert ask.lease_requests == (LeaseRequest(FORMER, 7, (3, 5)),) and not one.remote.holds(FORMER)
    one.remote.on_reply(QueryReply((), (LeaseStatus.OPEN,)), one.now)
    assert not one.remote.holds(FORMER)
    one.now += LEAST_US
    assert one.answer(one.must()).held == [FORMER] and one.remote.holds(FORMER)
    assert one.record.holder(FORMER) == 7


def test_a_claim_names_a_bounded_number_the_first_among_them() -> None:
    one = Asker()
    incarnations = tuple(range(100, 200))
    one.remote.request_lease(FORMER, incarnations)
    known = one.must().lease_requests[0].known_holders
    assert len(known) == KNOWN_MOST and known == (100, 101, *incarnations[2 - KNOWN_MOST :])


def test_of_two_copies_of_a_disk_the_second_is_fenced_for_good_unless_it_is_told_otherwise() -> None:
    record = Agreed()
    first, second = Asker(record, EdgeLog("ash", 7)), Asker(record, EdgeLog("ash", 8))
    first.remote.request_lease(FORMER, (3, 7))
    second.remote.request_lease(FORMER, (3, 8))
    assert first.until_still().held == [FORMER]
    assert second.until_still().fenced == [FORMER]
    assert not second.remote.holds(FORMER) and second.remote.fenced(FORMER)
    second.remote.request_lease(FORMER, (3, 8))
    assert second.next() is None
    second.remote.request_lease(FORMER, (3, 8), is_forced=True)
    assert second.until_still().held == [FORMER] and record.holder(FORMER) == 8
    # The first hears it from a gate: it asks once more, and is fenced.
    assert not first.remote.on_fencing_reported(FORMER) and not first.remote.holds(FORMER)
    assert first.until_still().fenced == [FORMER]


def test_a_record_that_was_lost_is_told_the_claims_again() -> None:
    one = Asker()
    one.remote.request_lease(FORMER, (3, 7))
    one.until_still()
    one.record = Agreed()
    assert not one.remote.on_fencing_reported(FORMER) and one.until_still().held == [FORMER]
    one.record = Agreed()
    one.now += AGAIN_US
    one.until_still()
    assert one.record.holder(FORMER) == 7
    # Its own running line needs no claim: whoever has that instead took it.
    assert one.remote.on_fencing_reported(OWN) and not one.remote.holds(OWN)


# Telling


def test_what_is_given_up_is_told_before_the_number_below_which_all_are_over() -> None:
    one = Asker()
    assert one.remote.publish_low_watermark(OWN, 40)
    for number in range(1, 2 * QUERIED_MOST):
        assert one.remote.publish(WriteId(*OWN, number), WriteStatus.ABANDONED)
    lost = one.must()
    assert not any(told.before for told in lost.status_updates)
    one.remote.on_query_failed(one.now)
    one.now += MOST_US
    one.until_still()
    one.now += MOST_US
    one.until_still()
    assert (
        one.record.write_status(Dependency(*OWN, 1)) is WriteStatus.ABANDONED
        and one.record.write_status(Dependency(*OWN, 40)) is WriteStatus.APPLIED
    )
    assert one.remote.publish(WriteId(*OWN, 40), WriteStatus.APPLIED)  # the number says so
    one.now += MOST_US
    assert one.next() is None


def test_all_is_told_again_to_a_record_that_may_be_new() -> None:
    one = Asker()
    one.remote.publish(WriteId(*OWN, 1), WriteStatus.ABANDONED)
    one.remote.publish(WriteId(*OWN, 3), WriteStatus.APPLIED)
    one.remote.publish(WriteId(*OWN, 4), WriteStatus.PARKED)
    one.remote.publish_low_watermark(OWN, 1)
    one.until_still()
    one.now += MOST_US
    one.until_still()
    before = one.record.dump()
    one.record = Agreed()
    one.now += AGAIN_US
    while one.record.dump() != before:
        one.until_still()
        one.now += MOST_US
        assert one.now < 10 * AGAIN_US
    assert (
        one.record.write_status(Dependency(*OWN, 1)) is WriteStatus.ABANDONED
        and one.record.write_status(Dependency(*OWN, 3)) is WriteStatus.APPLIED
    )
    # Parked no more: told once, and then no more.
    one.remote.publish(WriteId(*OWN, 4), WriteStatus.UNKNOWN)
    one.until_still()
    assert one.record.write_status(Dependency(*OWN, 4)) is WriteStatus.UNKNOWN


def test_that_it_never_ran_is_told_until_the_record_says_so() -> None:
    one = Asker()
    write_id = WriteId(*OWN, 1)
    one.record.agree(Intent(write_id, 7, 5))
    one.remote.publish(write_id, WriteStatus.PARKED)
    one.until_still()
    one.remote.withdraw_intent(write_id, 1)
    one.remote.publish(write_id, WriteStatus.UNKNOWN)  # says less
    ask = one.must()
    assert ask.status_updates == (
        StatusUpdate(write_id, WriteStatus.UNKNOWN, 7, withdraw_intent=True, parking=1),
    )
    assert not one.remote.on_reply(QueryReply((), (), (False,)), one.now).withdrawn
    one.now += MOST_US
    assert one.until_still().withdrawn == [write_id]
    assert one.record.intent_status(write_id, 7, 6) is IntentStatus.OPEN


def test_that_it_never_ran_is_not_told_once_the_line_was_anothers() -> None:
    one = Asker()
    write_id = WriteId(*OWN, 1)
    one.remote.withdraw_intent(write_id, 1)
    one.record.agree(one.record.lease_entry(LeaseRequest(OWN, 8, (OWN.incarnation,))))
    one.record.agree(Intent(write_id, 8, 5))  # the other process sends it
    assert one.remote.on_fencing_reported(OWN)
    one.remote.request_lease(OWN, (7, 8), is_forced=True)
    for _ in range(3):
        one.until_still()
        one.now += AGAIN_US
    assert one.remote.holds(OWN) and one.record.intent_status(write_id, 7, 6) is IntentStatus.OTHERS


def test_what_is_said_of_a_line_waits_until_it_is_held() -> None:
    one = Asker()
    one.remote.publish(WriteId(*FORMER, 1), WriteStatus.PARKED)
    assert one.next() is None
    one.remote.request_lease(FORMER, (3, 7))
    one.until_still()
    one.now += LEAST_US
    one.until_still()
    assert one.record.write_status(Dependency(*FORMER, 1)) is WriteStatus.PARKED


def test_what_others_wait_for_finds_room_or_is_given_back() -> None:
    one = Asker()
    for number in range(1, SAID_MOST + 1):
        assert one.remote.publish(WriteId(*OWN, number), WriteStatus.PARKED)
    assert not one.remote.publish(WriteId(*OWN, SAID_MOST + 1), WriteStatus.PARKED)
    for number in range(SAID_MOST + 1, 2 * SAID_MOST + 1):
        assert one.remote.publish(WriteId(*OWN, number), WriteStatus.ABANDONED)
    last = WriteId(*OWN, 2 * SAID_MOST + 1)
    assert not one.remote.publish(last, WriteStatus.ABANDONED)
    assert len(one.remote._said) == SAID_MOST
    one.until_still()
    assert one.remote.publish(last, WriteStatus.ABANDONED)  # what the record knows makes room


@pytest.mark.parametrize("seed", range(40))
def test_made_sequences_end_with_all_known_and_told(seed: int) -> None:
    """Asks and answers are lost, and so is the record; in the end all is known on both sides."""
    rng = random.Random(seed)
    one = Asker()
    version_vector = one.remote
    truth: dict[WriteId, WriteStatus] = {}
    asked: set[Dependency] = set()
    before: dict[Dependency, WriteStatus] = {}
    out: ReplayQuery | None = None
    low = 0
    claimed = False
    for _ in range(300):
        one.now += rng.randrange(SECOND)
        match rng.randrange(8):
            case 0:
                dependency = Dependency(*OTHER, rng.randrange(1, 60))
                one.remote.watch([dependency])
                asked.add(dependency)
            case 1:
                one.record.agree(WriteApplied(WriteId(*OTHER, rng.randrange(1, 60))))
            case 2:
                write_id = WriteId(*OWN, rng.randrange(low + 1, low + 30))
                write_status = rng.choice(
                    (WriteStatus.PARKED, WriteStatus.UNKNOWN, WriteStatus.ABANDONED, WriteStatus.APPLIED)
                )
                if truth.get(write_id) not in (
                    WriteStatus.APPLIED,
                    WriteStatus.ABANDONED,
                ) and one.remote.publish(write_id, write_status):
                    truth[write_id] = write_status
            case 3 if rng.randrange(5) == 0:
                numbers = [
                    write_id.number
                    for write_id, write_status in truth.items()
                    if write_status in (WriteStatus.PARKED, WriteStatus.UNKNOWN)
                ]
                low = max(low, min([*numbers, low + 10]) - 1)
                one.remote.publish_low_watermark(OWN, low)
            case 4 if not claimed:
                one.remote.request_lease(FORMER, (3, 7))
                claimed = True
            case 5 if rng.randrange(20) == 0 and not any(one.before for one in version_vector._untold):
                one.record = Agreed()
            case _ if out is not None and rng.random() < 0.6:
                if rng.randrange(3):
                    one.answer(out)
                else:
                    one.record.answer(out)  # the answer is lost
                    one.remote.on_query_failed(one.now)
                out = None
        ask = one.next()
        if ask is not None:
            assert (
                out is None
                and max(len(ask.dependencies), len(ask.lease_requests), len(ask.status_updates))
                <= QUERIED_MOST
            )
            assert all(
                told.write_status is not WriteStatus.APPLIED or not told.before or told.write_id.number <= low
                for told in ask.status_updates
            )
            out = ask
        for dependency, write_status in before.items():
            if write_status in (WriteStatus.APPLIED, WriteStatus.ABANDONED):
                assert one.remote.write_status(dependency) is write_status
        before = {dependency: one.remote.write_status(dependency) for dependency in asked}
        assert claimed or not one.remote.holds(FORMER)
    if out is not None:
        one.answer(out)
    one.now += AGAIN_US
    for _ in range(50):
        one.until_still()
        one.now += MOST_US
    for dependency in asked:
        known = one.remote.write_status(dependency)
        assert (
            known is one.record.write_status(dependency) or known is WriteStatus.APPLIED
        )  # in a record that was lost
    for write_id, write_status in truth.items():
        expected = (
            WriteStatus.ABANDONED
            if write_status is WriteStatus.ABANDONED
            else WriteStatus.APPLIED
            if write_id.number <= low
            else write_status
        )
        assert one.record.write_status(Dependency(*write_id)) is expected, write_id
    assert one.record.write_status(Dependency(*OWN, low, True)) is WriteStatus.APPLIED or not low
    assert one.remote.holds(FORMER) is claimed


# Over loopback

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
KEPT = KEPT_HEADER.decode()


class Copies:
    """A copy upstream with the real record, agreed at once, and the servers behind it."""

    def __init__(self) -> None:
        self.record = Agreed()
        self.seal = MessageSeal(SECRET)
        self.ran: list[WriteId] = []
        self.sent: list[WriteId] = []  # every replay that came
        self.asks: list[ReplayQuery] = []
        self.lost: set[WriteId] = set()  # answers that are lost after the effect
        self.late: set[WriteId] = set()  # the same, and nobody has agreed on IN yet
        self.silent = False  # asks get no answer
        self.refuses = False  # replays are refused
        self.asked = 0
        self.endpoint = Endpoint(handler=self.handle)

    async def handle(self, endpoint: Endpoint, message: Message, writer: Writer) -> None:
        target = message.start.split()[1]
        if target.startswith(SHARED_PATH.decode()):
            self._ask(target[len(SHARED_PATH) :], writer)
        elif self.refuses:
            writer.write(answer(503, b"", "Retry-After: 1\r\n"))
        else:
            self._replay(self.seal.open_replayed(message.headers[KEPT]), writer)

    def _ask(self, sealed: str, writer: Writer) -> None:
        ask = self.seal.open_ask(sealed)
        self.asks.append(ask)
        if self.silent:
            writer.write(answer(503, b"", "Retry-After: 1\r\n"))
            return
        writer.write(answer(200, self.seal.answered(self.record.answer(ask), sealed).encode()))

    def _replay(self, one: ReplayIdentity, writer: Writer) -> None:
        self.sent.append(one.write_id)
        self.asked += 1
        found = self.record.intent_status(one.write_id, one.incarnation, self.asked)
        if found is IntentStatus.FENCED:
            writer.write(answer(503, b"", "X-Kept-Fate: fenced\r\nRetry-After: 1\r\n"))
        elif found is IntentStatus.APPLIED:
            writer.write(answer(200, b"", "X-Kept-Fate: in\r\n"))
        elif found is IntentStatus.OTHERS:
            writer.write(answer(502, b"", "X-Kept-Fate: begun\r\n"))
        else:
            self._run(one, writer)

    def _run(self, one: ReplayIdentity, writer: Writer) -> None:
        if one.unsafe:
            self.record.agree(Intent(one.write_id, one.incarnation, self.asked))
        self.ran.append(one.write_id)
        if one.write_id not in self.late:
            self.record.agree(WriteApplied(one.write_id))
        if one.write_id in self.lost | self.late:
            reset_connection(writer)
        else:
            writer.write(answer(200, b"ran"))


class Frontend:
    def __init__(self) -> None:
        self.answer: asyncio.Future[Answer] = asyncio.get_running_loop().create_future()

    def on_answer(self, call: Call, answer: Answer) -> None:
        self.answer.set_result(answer)


class Studio:
    """An edge over its copies. Its link is set, not found out: that is tested elsewhere."""

    def __init__(self, parts: Assembly, driver: OutboxDriver, log: list[str], copies: Copies) -> None:
        self.parts = parts
        self.driver = driver
        self.log = log
        self.copies = copies
        self.number = self.lists = 0

    @classmethod
    async def open(cls, folder: Path, copies: Copies, edge: str = "ash") -> Studio:
        config = config_from({"seed": "1", "settings": SETTINGS}, "test")
        config.names.queueable_classes = frozenset((1, 2))
        log: list[str] = []
        parts = Assembly(asyncio.get_running_loop(), config, log.append)
        parts.start()
        secret = folder / "secret"
        secret.write_bytes(SECRET)
        classes = {"put": QueuedClass("keyed", 86_400 * SECOND), "pay": QueuedClass("unsafe")}
        settings = OutboxSettings(
            store_path=str(folder / "store"), edge=edge, classes=classes, secret_file=str(secret),
            cut_us=3_600 * SECOND, back_us=0, send_us=5 * SECOND, upstream="copies",
        )  # fmt: skip
        driver = await OutboxDriver.open(settings, config.names.classes, {}, log.append)
        driver.begin(parts.engine)
        found = cls(parts, driver, log, copies)
        found.link(False)
        return found

    def link(self, on: bool) -> None:
        """Without it there is nowhere to go."""
        self.lists += 1
        self.parts.engine.on_list(self.lists, True, [self.copies.endpoint.entry("copy")] if on else [])
        self.driver.cutoff.is_cut_off = not on
        if self.driver.was_cut_off is on:
            self.driver._on_cutoff_change()

    async def close(self) -> None:
        await self.driver.close()
        self.parts.close()

    async def write(self, cls: str, follows: bytes = b"") -> Answer:
        self.number += 1
        name = b"r%d" % self.number
        headers = [(b"host", b"x"), (b"x-request-id", name), (b"x-class", cls.encode())]
        if cls == "put":
            headers.append((b"idempotency-key", name))
        front, engine = Frontend(), self.parts.engine
        call = Call(
            {"put": 1, "pay": 2}[cls], engine.now() + 5 * SECOND, b"POST /" + cls.encode(),
            encode_headers(headers), b"body", front, name,
        )  # fmt: skip
        call.causal_dependencies = (follows, b"", b"")
        engine.take(call)
        return await front.answer

    async def keep(self, cls: str, follows: bytes = b"") -> WriteId:
        told = await self.write(cls, follows)
        assert told.status == 202, told.body
        return CausalityTokens(SECRET).read(dict(told.headers)[b"x-causal-token"].decode())[0].write_id

    def receipt(self, write_id: WriteId) -> WriteReceipt:
        return self.driver.outbox.receipt(write_id)

    async def until(self, write_id: WriteId, state: WriteState, reason: ParkingReason | None = None) -> None:
        while (found := self.receipt(write_id)).state is not state or found.reason is not (
            reason or found.reason
        ):
            await asyncio.sleep(0)

    def resolve(self, write_id: WriteId, resolution: Resolution) -> None:
        assert self.driver.resolve(str(write_id), self.receipt(write_id).parking, resolution)


def token(write_id: WriteId) -> bytes:
    return CausalityTokens(SECRET).receipt(write_id).encode()


async def until(condition: Callable[[], bool]) -> None:
    while not condition():
        await asyncio.sleep(0)


@contextlib.asynccontextmanager
async def studio(folder: Path, edge: str = "ash", copies: Copies | None = None) -> AsyncIterator[Studio]:
    async with contextlib.AsyncExitStack() as stack, asyncio.timeout(TEST_TIMEOUT_S):
        if copies is None:
            copies = Copies()
            await stack.enter_async_context(copies.endpoint)
        folder.mkdir(exist_ok=True)
        found = await Studio.open(folder, copies, edge)
        stack.push_async_callback(found.close)
        yield found


def test_a_lost_answer_to_an_unsafe_write_is_made_good_by_the_record(tmp_path: Path) -> None:
    async def main() -> None:
        async with studio(tmp_path) as one:
            first = await one.keep("pay")
            second = await one.keep("pay", token(first))
            assert not one.copies.asks and not one.copies.sent  # cut off
            one.copies.lost.add(first)
            one.link(True)
            await one.until(first, WriteState.DONE)
            await one.until(second, WriteState.DONE)
            assert one.copies.ran == [first, second]
            assert any("upstream's record says that it is in" in line for line in one.log)

    run(main())


def test_one_that_is_in_later_is_done_later(tmp_path: Path) -> None:
    async def main() -> None:
        async with studio(tmp_path) as one:
            first = await one.keep("pay")
            one.copies.late.add(first)
            one.link(True)
            await one.until(first, WriteState.PARKED, ParkingReason.MAY_HAVE_RUN)
            await until(lambda: one.copies.record.write_status(Dependency(*first)) is WriteStatus.PARKED)
            one.copies.record.agree(WriteApplied(first))
            await one.until(first, WriteState.DONE)
            assert one.copies.sent == [first]

    run(main())


def test_one_that_another_ask_began_is_parked_and_goes_again_only_after_the_record_was_told(
    tmp_path: Path,
) -> None:
    async def main() -> None:
        async with studio(tmp_path) as one:
            first = await one.keep("pay")
            one.copies.record.agree(Intent(first, first.incarnation, 99))
            one.link(True)
            await one.until(first, WriteState.PARKED, ParkingReason.MAY_HAVE_RUN)
            assert not one.copies.ran
            one.copies.silent = True
            assert one.driver.sharing is not None
            parked_at = one.driver.sharing.parked_at[first]
            one.resolve(first, Resolution.NEVER_RAN)
            await one.until(first, WriteState.READY)
            asked = len(one.copies.asks)
            await until(lambda: len(one.copies.asks) > asked + 1)
            assert one.copies.sent == [first] and one.receipt(first).state is WriteState.READY
            one.copies.silent = False
            await one.until(first, WriteState.DONE)
            assert one.copies.sent == [first, first] and one.copies.ran == [first]
            # Not before the last try's time was over: it might have run yet.
            assert one.driver.clock.now() >= parked_at + one.driver.settings.send_us

    run(main())


def test_a_word_that_waits_is_dropped_where_the_line_was_anothers(tmp_path: Path) -> None:
    """Guards against taking back what the other process has begun since."""

    async def main() -> None:
        async with studio(tmp_path) as one:
            record, sharing = one.copies.record, one.driver.sharing
            assert sharing is not None
            first = await one.keep("pay")
            record.agree(Intent(first, first.incarnation, 99))
            one.link(True)
            await one.until(first, WriteState.PARKED, ParkingReason.MAY_HAVE_RUN)
            record.agree(IntentWithdrawal(first, 99))  # as if its try had been lost before the gate
            one.resolve(first, Resolution.NEVER_RAN)
            await one.until(first, WriteState.READY)
            # The process on a copy of the disk sends it; the answer is not agreed yet.
            record.agree(LogLease(first.edge_log, 5, first.incarnation, 0, True))
            record.agree(Intent(first, 5, 77))
            one.link(False)
            other = await one.keep("put")
            one.link(True)
            await one.until(other, WriteState.PARKED, ParkingReason.FENCED)
            await one.until(first, WriteState.PARKED, ParkingReason.FENCED)
            assert one.driver.claim(first.edge_log)
            await one.until(first, WriteState.PARKED, ParkingReason.MAY_HAVE_RUN)
            assert not sharing.words and not sharing.timers and first not in one.copies.ran
            assert record.intent_status(first, first.incarnation, 1) is IntentStatus.OTHERS

    run(main())


def test_a_word_given_before_the_line_is_claimed_is_told_once_it_is_held(tmp_path: Path) -> None:
    async def main() -> None:
        async with contextlib.AsyncExitStack() as stack:
            copies = Copies()
            await stack.enter_async_context(copies.endpoint)
            async with studio(tmp_path, copies=copies) as one:
                first = await one.keep("pay")
                copies.record.agree(Intent(first, first.incarnation, 99))
                one.link(True)
                await one.until(first, WriteState.PARKED, ParkingReason.MAY_HAVE_RUN)
            async with studio(tmp_path, copies=copies) as one:
                assert one.driver.sharing is not None
                one.driver.settings = dataclasses.replace(one.driver.settings, send_us=0)
                one.resolve(first, Resolution.NEVER_RAN)
                await one.until(first, WriteState.READY)
                assert first in one.driver.sharing.words and not copies.ran
                one.link(True)
                await one.until(first, WriteState.DONE)
                assert copies.ran == [first] and not one.driver.sharing.words

    run(main())


def test_a_claim_that_holds_while_a_fence_is_being_written_undoes_it(tmp_path: Path) -> None:
    async def main() -> None:
        async with studio(tmp_path) as one:
            first = await one.keep("pay")
            outbox, now = one.driver.outbox, one.driver.clock.now()
            assert one.driver.turning is not None
            one.driver.turning.cancel()
            outbox.fence(first.edge_log)
            (change,) = [change for change in outbox.due(now) if change.write_id == first]
            outbox.unfence(first.edge_log)
            outbox.apply(change, now)
            assert one.receipt(first).reason is ParkingReason.FENCED
            (change,) = outbox.due(now)
            assert change.event is WriteEvent.CLAIMED
            outbox.apply(change, now)
            assert one.receipt(first).state is WriteState.READY

    run(main())


def test_what_was_judged_while_it_was_fenced_has_one_age(tmp_path: Path) -> None:
    async def main() -> None:
        async with studio(tmp_path) as one:
            write_ids = [await one.keep("pay") for _ in range(3)]
            outbox, now = one.driver.outbox, one.driver.clock.now()
            assert one.driver.turning is not None
            one.driver.turning.cancel()
            outbox.fence(write_ids[0].edge_log)
            for change in outbox.due(now):
                outbox.apply(change, now)
            resolved = outbox.resolve(
                write_ids[0], one.receipt(write_ids[0]).parking, Resolution.NEVER_RAN, 1
            )
            assert resolved is not None
            outbox.apply(resolved, now)
            outbox.unfence(write_ids[0].edge_log)
            for change in outbox.due(now):
                outbox.apply(change, now)
            later = now + 1_000 * outbox.bounds.age_us
            expired = {change.write_id for change in outbox.due(later) if change.event is WriteEvent.EXPIRED}
            assert expired == set(write_ids[1:])  # the first is out

    run(main())


def test_what_was_given_up_is_not_forgotten_before_upstream_knows(tmp_path: Path) -> None:
    """Guards against a number that says of it that it is in."""

    async def main() -> None:
        async with studio(tmp_path) as one:
            outbox = one.driver.outbox
            outbox.bounds = dataclasses.replace(outbox.bounds, receipt_us=0)
            first = await one.keep("pay")
            parked = outbox._change(outbox._must_row(first), WriteEvent.EXPIRED, ParkingReason.AGE)
            await one.driver.take_step(parked)
            one.resolve(first, Resolution.GIVE_UP)
            await one.until(first, WriteState.GIVEN_UP)
            assert one.driver.turning is not None
            one.driver.turning.cancel()
            one.driver._publish_finished()
            now = one.driver.clock.now()
            assert not outbox.expired_receipts(now, one.driver._is_unpublished)
            one.link(True)
            await until(lambda: one.copies.record.write_status(Dependency(*first)) is WriteStatus.ABANDONED)
            await until(lambda: not one.driver._is_unpublished(first))
            assert outbox.expired_receipts(one.driver.clock.now(), one.driver._is_unpublished) in (
                [first],
                [],
            )

    run(main())


def test_a_refusal_by_a_copy_says_that_an_unsafe_write_has_not_run(tmp_path: Path) -> None:
    async def main() -> None:
        async with studio(tmp_path) as one:
            first = await one.keep("pay")
            one.copies.refuses = True
            one.link(True)
            await one.copies.endpoint.arrived.acquire()
            while not one.copies.endpoint.got[-1].start.startswith("POST"):
                await one.copies.endpoint.arrived.acquire()
            one.copies.refuses = False
            await one.until(first, WriteState.DONE)
            assert one.copies.ran == [first]

    run(main())


def test_a_fenced_edge_parks_what_it_has_and_keeps_nothing_new(tmp_path: Path) -> None:
    async def main() -> None:
        async with studio(tmp_path) as one:
            first = await one.keep("pay")
            second = await one.keep("put", token(first))
            line = first.edge_log
            one.copies.record.agree(one.copies.record.lease_entry(LeaseRequest(line, 5, (line.incarnation,))))
            one.link(True)
            await one.until(first, WriteState.PARKED, ParkingReason.FENCED)
            await one.until(second, WriteState.PARKED, ParkingReason.FENCED)
            assert not one.copies.ran and one.copies.sent == [first]
            assert sum("another process with a copy of this disk" in text for text in one.log) == 1
            one.link(False)
            assert (await one.write("pay")).status in (502, 503)
            assert one.driver.outbox.count == 2
            # What the other process brought upstream is done here too.
            one.copies.record.agree(WriteApplied(first))
            one.link(True)
            await one.until(first, WriteState.DONE)
            assert one.driver.claim(line)
            await one.until(second, WriteState.DONE)
            assert one.copies.ran == [second] and not one.driver.claim(line)
            with pytest.raises(UnknownWriteError):
                one.driver.claim(OTHER)

    run(main())


def test_a_write_that_follows_another_edges_waits_for_it(tmp_path: Path) -> None:
    async def main() -> None:
        async with studio(tmp_path / "ash") as ash, studio(tmp_path / "oak", "oak", ash.copies) as oak:
            first = await ash.keep("pay")
            oak.link(True)
            # The link is well, and it is kept all the same: nobody knows of the other yet.
            second = await oak.keep("put", token(first))
            asked = len(ash.copies.asks)
            await until(lambda: len(ash.copies.asks) > asked)
            assert oak.receipt(second).state is WriteState.KEPT and oak.receipt(second).behind == first
            ash.copies.late.add(first)
            ash.link(True)
            await ash.until(first, WriteState.PARKED, ParkingReason.MAY_HAVE_RUN)
            await oak.until(second, WriteState.PARKED, ParkingReason.FOLLOWS)
            assert oak.receipt(second).behind == first
            ash.resolve(first, Resolution.RAN)
            await oak.until(second, WriteState.DONE)
            assert ash.copies.ran == [first, second]

    run(main())


def test_what_follows_a_write_that_was_given_up_elsewhere_is_an_orphan(tmp_path: Path) -> None:
    async def main() -> None:
        async with studio(tmp_path / "ash") as ash, studio(tmp_path / "oak", "oak", ash.copies) as oak:
            first = await ash.keep("pay")
            ash.copies.late.add(first)
            ash.link(True)
            await ash.until(first, WriteState.PARKED, ParkingReason.MAY_HAVE_RUN)
            oak.link(True)
            second = await oak.keep("pay", token(first))
            await oak.until(second, WriteState.PARKED, ParkingReason.FOLLOWS)
            ash.resolve(first, Resolution.GIVE_UP)
            await oak.until(second, WriteState.PARKED, ParkingReason.ORPHANED)
            assert second not in ash.copies.ran

    run(main())


def test_a_new_life_claims_before_it_replays_and_its_name_is_durable_before(tmp_path: Path) -> None:
    async def main() -> None:
        copies = Copies()
        async with copies.endpoint, asyncio.timeout(TEST_TIMEOUT_S):
            async with studio(tmp_path / "1", copies=copies) as one:
                first = await one.keep("pay")
                shutil.copytree(tmp_path / "1", tmp_path / "2")
            async with studio(tmp_path / "2", copies=copies) as two:
                line, incarnation = first.edge_log, two.driver.store.incarnation
                assert not two.driver.outbox.version_vector.holds(line)
                copies.silent = True
                two.link(True)
                await until(lambda: any(ask.lease_requests for ask in copies.asks))
                # Killed as it asks: what the disk has by then names it.
                shutil.copytree(tmp_path / "2", tmp_path / "3")
                claim = next(ask.lease_requests[0] for ask in copies.asks if ask.lease_requests)
                assert claim == LeaseRequest(line, incarnation, (line.incarnation,)) and not copies.sent
                copies.silent = False
                copies.refuses = True
                await until(lambda: copies.record.holder(line) == incarnation)
            copies.refuses = False
            async with studio(tmp_path / "3", copies=copies) as three:
                three.link(True)
                await three.until(first, WriteState.DONE)
                assert copies.record.holder(line) == three.driver.store.incarnation
            assert copies.ran == [first]
            # The disk of the first life knows neither: it is fenced, and sends nothing.
            sent = len(copies.sent)
            async with studio(tmp_path / "1", copies=copies) as again:
                again.link(True)
                await until(lambda: again.receipt(first).state is not WriteState.KEPT)
                await until(lambda: any("fenced" in text for text in again.log))
                await again.until(first, WriteState.DONE)
            assert copies.ran == [first] and len(copies.sent) == sent

    run(main())


def test_a_life_that_was_cut_off_all_the_time_is_not_named(tmp_path: Path) -> None:
    async def main() -> None:
        copies = Copies()
        async with copies.endpoint, asyncio.timeout(TEST_TIMEOUT_S):
            async with studio(tmp_path, copies=copies) as one:
                first = await one.keep("put")
            for _ in range(3):
                async with studio(tmp_path, copies=copies):
                    pass
            async with studio(tmp_path, copies=copies) as last:
                last.link(True)
                await last.until(first, WriteState.DONE)
            claims = [ask.lease_requests[0] for ask in copies.asks if ask.lease_requests]
            assert {claim.known_holders for claim in claims} == {(first.incarnation,)}

    run(main())


def test_an_edge_that_only_waits_sees_its_link_come_back(tmp_path: Path) -> None:
    async def main() -> None:
        async with studio(tmp_path) as one:
            dependency = WriteId(*OTHER, 1)
            kept = await one.keep("put", token(dependency))
            one.copies.record.agree(WriteApplied(dependency))
            # The way is there; the edge does not know.
            one.lists += 1
            one.parts.engine.on_list(one.lists, True, [one.copies.endpoint.entry("copy")])
            await until(lambda: bool(one.copies.asks))
            assert one.driver.cutoff.is_cut_off and one.copies.asks[0] == ReplayQuery()
            await one.until(kept, WriteState.DONE)
            assert not one.driver.cutoff.is_cut_off and one.copies.ran == [kept]

    run(main())


class StatusPublisher:
    """A version vector as a copy upstream has one. All that others kept is gone."""

    def __init__(self) -> None:
        self.write_statuses: list[tuple[WriteId, WriteStatus]] = []
        self.lows: dict[EdgeLog, int] = {}
        self.full = True

    def write_status(self, dependency: Dependency) -> WriteStatus:
        return WriteStatus.ABANDONED

    def holds(self, line: EdgeLog) -> bool:
        return True

    def publish(self, write_id: WriteId, write_status: WriteStatus) -> bool:
        self.write_statuses.append((write_id, write_status))
        return not self.full

    def publish_low_watermark(self, line: EdgeLog, number: int) -> bool:
        self.lows[line] = number
        return True

    def is_unpublished(self, write_id: WriteId) -> bool:
        return self.full


def test_a_copy_that_shares_keeps_no_other_edges_replay_and_tells_what_becomes_of_its_own(
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
        parts = Assembly(asyncio.get_running_loop(), config, lambda line: None)
        parts.start()
        driver = await OutboxDriver.open(
            settings, config.names.classes, {}, lambda line: None, status_publisher
        )
        driver.begin(parts.engine)
        driver.cutoff.is_cut_off = True

        async def ask(*dependencies: bytes) -> Answer:
            front = Frontend()
            call = Call(2, parts.engine.now() + 5 * SECOND, b"POST /pay", b"", b"x", front, b"r")
            call.causal_dependencies = dependencies
            parts.engine.take(call)
            return await front.answer

        async with asyncio.timeout(TEST_TIMEOUT_S):
            assert (await ask(b"", b"", b"", b"sealed")).status == 503  # its edge has it
            assert (await ask(token(WriteId(*OTHER, 1)), b"", b"", b"")).status == 202
            write_id = WriteId("up", driver.store.incarnation, 1)
            await until(lambda: (write_id, WriteStatus.PARKED) in status_publisher.write_statuses)
            assert driver.resolve(str(write_id), 1, Resolution.GIVE_UP)
            await until(lambda: (write_id, WriteStatus.ABANDONED) in status_publisher.write_statuses)
            assert not status_publisher.lows  # it would say that the write is in
            status_publisher.full = False
            await until(lambda: status_publisher.lows == {write_id.edge_log: 1})
            assert not driver.unpublished and not driver.outbox.take_finished()
        await driver.close()
        parts.close()

    run(main())
