"""What edges and upstream's copies seal for each other."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.errors import OutboxError
from laurelstep.outbox.shared.message_seal import SEALED_MOST, MessageSeal, SealedLengthError, SealError
from laurelstep.outbox.shared.messages import (
    QUERIED_MOST,
    LeaseRequest,
    LeaseStatus,
    QueryReply,
    ReplayIdentity,
    ReplayQuery,
    StatusUpdate,
)
from laurelstep.outbox.version_vector import WriteStatus
from laurelstep.outbox.write_ids import EdgeLog, WriteId

SECRET = b"of the edges and of the copies"
SEAL = MessageSeal(SECRET)
ALPHABET = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"

edges = st.from_regex(r"[a-z0-9][a-z0-9.-]{0,31}", fullmatch=True)
incarnations = st.integers(0, (1 << 64) - 1)
numbers = st.integers(1, (1 << 63) - 1)
lines = st.builds(EdgeLog, edges, incarnations)
write_ids = st.builds(WriteId, edges, incarnations, numbers)
replays = st.builds(ReplayIdentity, write_ids, incarnations, st.booleans())
dependencies = st.builds(Dependency, edges, incarnations, numbers, st.booleans())
claims = st.builds(
    LeaseRequest, lines, incarnations, st.lists(incarnations, max_size=4).map(tuple), st.booleans()
)
tellings = st.builds(
    StatusUpdate, write_ids, st.sampled_from(WriteStatus), incarnations, st.booleans(), st.booleans()
)


def several(one: st.SearchStrategy[object]) -> st.SearchStrategy[tuple[object, ...]]:
    return st.lists(one, max_size=3).map(tuple)


asks = st.builds(ReplayQuery, several(dependencies), several(claims), several(tellings))
answers = st.builds(
    QueryReply,
    several(st.sampled_from(WriteStatus)),
    several(st.sampled_from(LeaseStatus)),
    several(st.booleans()),
)
DOT = WriteId("edge-1", 7, 3)
REPLAYED = ReplayIdentity(DOT, 7, True)


@given(replays, asks, answers)
def test_what_is_sealed_is_read_as_it_was(
    replay: ReplayIdentity, ask: ReplayQuery, answer: QueryReply
) -> None:
    assert SEAL.open_replayed(SEAL.replayed(replay)) == replay
    sealed = SEAL.ask(ask)
    assert SEAL.open_ask(sealed) == ask
    assert SEAL.open_answered(SEAL.answered(answer, sealed), sealed) == answer


@given(replays, st.data())
def test_no_bit_of_a_seal_can_be_changed(replay: ReplayIdentity, data: st.DataObject) -> None:
    text = SEAL.replayed(replay)
    at = data.draw(st.integers(0, len(text) - 1))
    other = data.draw(st.sampled_from([one for one in ALPHABET + "+/=~ " if one != text[at]]))
    with pytest.raises(SealError):
        SEAL.open_replayed(text[:at] + other + text[at + 1 :])


def test_each_other_last_character_is_another_text() -> None:
    """Of its bits, those that base64 leaves over are told by no byte."""
    for number in range(1, 400):  # lengths of all three remainders
        text = SEAL.replayed(ReplayIdentity(WriteId("e" * (1 + number % 3), 7, number), 7, False))
        for other in ALPHABET:
            if other != text[-1]:
                with pytest.raises(SealError):
                    SEAL.open_replayed(text[:-1] + other)


@given(asks, st.data())
def test_a_text_cut_or_longer_is_none(ask: ReplayQuery, data: st.DataObject) -> None:
    text = SEAL.ask(ask)
    for other in (text[: data.draw(st.integers(0, len(text) - 1))], text + "A", text + "AAAA", text + "="):
        with pytest.raises(SealError):
            SEAL.open_ask(other)


def test_one_use_is_no_other() -> None:
    replay, ask = SEAL.replayed(REPLAYED), SEAL.ask(ReplayQuery())
    answer = SEAL.answered(QueryReply(), ask)
    for text in (ask, answer):
        with pytest.raises(SealError):
            SEAL.open_replayed(text)
    for text in (replay, answer):
        with pytest.raises(SealError):
            SEAL.open_ask(text)
    for text in (replay, ask):
        with pytest.raises(SealError):
            SEAL.open_answered(text, ask)


def test_an_answer_is_to_its_ask_alone() -> None:
    mine = SEAL.ask(ReplayQuery(dependencies=(Dependency("edge-1", 7, 3),)))
    others = SEAL.ask(ReplayQuery(dependencies=(Dependency("edge-1", 7, 4),)))
    answer = SEAL.answered(QueryReply(write_statuses=(WriteStatus.APPLIED,)), others)
    with pytest.raises(SealError):
        SEAL.open_answered(answer, mine)
    assert SEAL.open_answered(answer, others).write_statuses == (WriteStatus.APPLIED,)


def test_another_secret_opens_nothing() -> None:
    other = MessageSeal(SECRET + b"!")
    with pytest.raises(SealError):
        other.open_replayed(SEAL.replayed(REPLAYED))
    with pytest.raises(ValueError, match="shorter than 16"):
        MessageSeal(b"too short")


@pytest.mark.parametrize(
    "value",
    [
        ReplayIdentity(WriteId("Edge", 7, 3), 7, False),
        ReplayIdentity(WriteId("edge", 7, 0), 7, False),
        ReplayIdentity(WriteId("edge", -1, 3), 7, False),
        ReplayIdentity(WriteId("edge", 7, 3), -1, False),
    ],
)
def test_what_no_edge_could_say_is_refused_though_it_is_sealed(value: ReplayIdentity) -> None:
    with pytest.raises(SealError, match="can't be read"):
        SEAL.open_replayed(SEAL.replayed(value))


@pytest.mark.parametrize(
    "ask",
    [
        ReplayQuery(dependencies=(Dependency("edge", 7, 0),)),
        ReplayQuery(lease_requests=(LeaseRequest(EdgeLog("edge", 7), 8, (-1,)),)),
        ReplayQuery(status_updates=(StatusUpdate(DOT, WriteStatus.APPLIED, -1),)),
        ReplayQuery(
            status_updates=(StatusUpdate(DOT, WriteStatus.UNKNOWN, 7, withdraw_intent=True, parking=-1),)
        ),
    ],
)
def test_an_ask_that_no_edge_could_make_is_refused_though_it_is_sealed(ask: ReplayQuery) -> None:
    with pytest.raises(SealError, match="can't be read"):
        SEAL.open_ask(SEAL.ask(ask))


def test_more_than_may_be_asked_at_once_is_refused_though_it_is_sealed() -> None:
    dependency = Dependency("e", 1, 1)
    assert (
        len(SEAL.open_ask(SEAL.ask(ReplayQuery(dependencies=(dependency,) * QUERIED_MOST))).dependencies)
        == QUERIED_MOST
    )
    with pytest.raises(SealError, match="more than"):
        SEAL.open_ask(SEAL.ask(ReplayQuery(dependencies=(dependency,) * (QUERIED_MOST + 1))))


def test_a_full_ask_fits_and_what_does_not_is_not_sealed() -> None:
    edge, last = "e" * 32, (1 << 64) - 1
    claim = LeaseRequest(EdgeLog(edge, last), last, (last,) * 32, True)
    told = StatusUpdate(WriteId(edge, last, (1 << 63) - 1), WriteStatus.PARKED, last, True, True)
    full = ReplayQuery((Dependency(edge, last, (1 << 63) - 1, True),) * 16, (claim,) * 16, (told,) * 16)
    assert len(SEAL.ask(full)) <= SEALED_MOST
    with pytest.raises(SealedLengthError):
        SEAL.ask(ReplayQuery(lease_requests=(LeaseRequest(EdgeLog(edge, last), last, (last,) * 2000),)))
    with pytest.raises(SealError, match="longer"):
        SEAL.open_ask("A" * (SEALED_MOST + 1))


def test_the_faults_are_the_outboxs() -> None:
    assert issubclass(SealError, OutboxError)
    assert issubclass(SealedLengthError, OutboxError)
