"""The seals of messages between edges and copies upstream."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from laurelstep.outbox.dependencies import Dependency
from laurelstep.outbox.errors import OutboxError
from laurelstep.outbox.shared.message_seal import MAX_SEALED_CHARS, MessageSeal, SealedLengthError, SealError
from laurelstep.outbox.shared.messages import (
    MAX_QUERY_ITEMS,
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
edge_logs = st.builds(EdgeLog, edges, incarnations)
write_ids = st.builds(WriteId, edges, incarnations, numbers)
identities = st.builds(ReplayIdentity, write_ids, incarnations, st.booleans())
dependencies = st.builds(Dependency, edges, incarnations, numbers, st.booleans())
lease_requests = st.builds(
    LeaseRequest, edge_logs, incarnations, st.lists(incarnations, max_size=4).map(tuple), st.booleans()
)
status_updates = st.builds(
    StatusUpdate, write_ids, st.sampled_from(WriteStatus), incarnations, st.booleans(), st.booleans()
)


def up_to_three(item: st.SearchStrategy[object]) -> st.SearchStrategy[tuple[object, ...]]:
    return st.lists(item, max_size=3).map(tuple)


queries = st.builds(
    ReplayQuery, up_to_three(dependencies), up_to_three(lease_requests), up_to_three(status_updates)
)
replies = st.builds(
    QueryReply,
    up_to_three(st.sampled_from(WriteStatus)),
    up_to_three(st.sampled_from(LeaseStatus)),
    up_to_three(st.booleans()),
)
WRITE_ID = WriteId("edge-1", 7, 3)
IDENTITY = ReplayIdentity(WRITE_ID, 7, True)


@given(identities, queries, replies)
def test_a_sealed_message_opens_unchanged(
    identity: ReplayIdentity, query: ReplayQuery, reply: QueryReply
) -> None:
    assert SEAL.open_replay(SEAL.seal_replay(identity)) == identity
    sealed = SEAL.seal_query(query)
    assert SEAL.open_query(sealed) == query
    assert SEAL.open_reply(SEAL.seal_reply(reply, sealed), sealed) == reply


@given(identities, st.data())
def test_a_changed_character_invalidates_a_seal(identity: ReplayIdentity, data: st.DataObject) -> None:
    text = SEAL.seal_replay(identity)
    index = data.draw(st.integers(0, len(text) - 1))
    other = data.draw(
        st.sampled_from([character for character in ALPHABET + "+/=~ " if character != text[index]])
    )
    with pytest.raises(SealError):
        SEAL.open_replay(text[:index] + other + text[index + 1 :])


def test_a_changed_last_character_invalidates_a_seal() -> None:
    """Guards against accepting several texts for one message: some bits of the last base64 character encode
    nothing.
    """
    for number in range(1, 400):  # lengths of all three remainders
        text = SEAL.seal_replay(ReplayIdentity(WriteId("e" * (1 + number % 3), 7, number), 7, False))
        for other in ALPHABET:
            if other != text[-1]:
                with pytest.raises(SealError):
                    SEAL.open_replay(text[:-1] + other)


@given(queries, st.data())
def test_a_shortened_or_extended_text_is_refused(query: ReplayQuery, data: st.DataObject) -> None:
    text = SEAL.seal_query(query)
    for other in (text[: data.draw(st.integers(0, len(text) - 1))], text + "A", text + "AAAA", text + "="):
        with pytest.raises(SealError):
            SEAL.open_query(other)


def test_a_seal_is_valid_for_one_kind_of_message_only() -> None:
    identity, query = SEAL.seal_replay(IDENTITY), SEAL.seal_query(ReplayQuery())
    reply = SEAL.seal_reply(QueryReply(), query)
    for text in (query, reply):
        with pytest.raises(SealError):
            SEAL.open_replay(text)
    for text in (identity, reply):
        with pytest.raises(SealError):
            SEAL.open_query(text)
    for text in (identity, query):
        with pytest.raises(SealError):
            SEAL.open_reply(text, query)


def test_a_reply_is_valid_for_its_own_query_only() -> None:
    own_query = SEAL.seal_query(ReplayQuery(dependencies=(Dependency("edge-1", 7, 3),)))
    other_query = SEAL.seal_query(ReplayQuery(dependencies=(Dependency("edge-1", 7, 4),)))
    reply = SEAL.seal_reply(QueryReply(write_statuses=(WriteStatus.APPLIED,)), other_query)
    with pytest.raises(SealError):
        SEAL.open_reply(reply, own_query)
    assert SEAL.open_reply(reply, other_query).write_statuses == (WriteStatus.APPLIED,)


def test_a_seal_made_with_another_secret_is_refused() -> None:
    other = MessageSeal(SECRET + b"!")
    with pytest.raises(SealError):
        other.open_replay(SEAL.seal_replay(IDENTITY))
    with pytest.raises(ValueError, match="shorter than 16"):
        MessageSeal(b"too short")


@pytest.mark.parametrize(
    "identity",
    [
        ReplayIdentity(WriteId("Edge", 7, 3), 7, False),
        ReplayIdentity(WriteId("edge", 7, 0), 7, False),
        ReplayIdentity(WriteId("edge", -1, 3), 7, False),
        ReplayIdentity(WriteId("edge", 7, 3), -1, False),
    ],
)
def test_an_identity_with_invalid_content_is_refused_although_sealed(identity: ReplayIdentity) -> None:
    with pytest.raises(SealError, match="can't be read"):
        SEAL.open_replay(SEAL.seal_replay(identity))


@pytest.mark.parametrize(
    "query",
    [
        ReplayQuery(dependencies=(Dependency("edge", 7, 0),)),
        ReplayQuery(lease_requests=(LeaseRequest(EdgeLog("edge", 7), 8, (-1,)),)),
        ReplayQuery(status_updates=(StatusUpdate(WRITE_ID, WriteStatus.APPLIED, -1),)),
        ReplayQuery(
            status_updates=(StatusUpdate(WRITE_ID, WriteStatus.UNKNOWN, 7, withdraw_intent=True, parking=-1),)
        ),
    ],
)
def test_a_query_with_invalid_content_is_refused_although_sealed(query: ReplayQuery) -> None:
    with pytest.raises(SealError, match="can't be read"):
        SEAL.open_query(SEAL.seal_query(query))


def test_a_query_with_too_many_items_is_refused_although_sealed() -> None:
    dependency = Dependency("e", 1, 1)
    assert (
        len(
            SEAL.open_query(
                SEAL.seal_query(ReplayQuery(dependencies=(dependency,) * MAX_QUERY_ITEMS))
            ).dependencies
        )
        == MAX_QUERY_ITEMS
    )
    with pytest.raises(SealError, match="more than"):
        SEAL.open_query(SEAL.seal_query(ReplayQuery(dependencies=(dependency,) * (MAX_QUERY_ITEMS + 1))))


def test_a_full_query_fits_and_a_longer_one_is_not_sealed() -> None:
    edge, last = "e" * 32, (1 << 64) - 1
    request = LeaseRequest(EdgeLog(edge, last), last, (last,) * 32, True)
    update = StatusUpdate(WriteId(edge, last, (1 << 63) - 1), WriteStatus.PARKED, last, True, True)
    full_query = ReplayQuery(
        (Dependency(edge, last, (1 << 63) - 1, True),) * 16, (request,) * 16, (update,) * 16
    )
    assert len(SEAL.seal_query(full_query)) <= MAX_SEALED_CHARS
    with pytest.raises(SealedLengthError):
        SEAL.seal_query(
            ReplayQuery(lease_requests=(LeaseRequest(EdgeLog(edge, last), last, (last,) * 2000),))
        )
    with pytest.raises(SealError, match="longer"):
        SEAL.open_query("A" * (MAX_SEALED_CHARS + 1))


def test_seal_errors_are_outbox_errors() -> None:
    assert issubclass(SealError, OutboxError)
    assert issubclass(SealedLengthError, OutboxError)
