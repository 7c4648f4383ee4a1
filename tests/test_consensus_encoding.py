"""Messages, stored records and snapshots of consensus are encoded exactly as by earlier versions.

The expected bytes were recorded from an earlier version. During an upgrade a tier runs mixed versions, and a
store is read by later versions: a changed encoding would break both.
"""

from __future__ import annotations

import random

import pytest
from laurelstep.consensus import messages as m
from laurelstep.consensus import stored_state
from laurelstep.consensus.epoch import ClusterEpoch
from laurelstep.consensus.leases import LeaseTable
from laurelstep.consensus.log import ClusterConfig, decode_members, encode_members
from laurelstep.consensus.snapshots import Snapshot
from laurelstep.consensus.state_machines import CompositeStateMachine

from tests.once import once

pytestmark = once

NEWER, OLDER = ClusterEpoch(3, 0x0123456789ABCDEF), ClusterEpoch(2, 7)
LARGE = 1 << 63
MEMBERS = {2: LARGE, 0: 11}
DATA_ENTRY = m.LogEntry(4, m.EntryKind.DATA, b"\0data")
CONFIG_ENTRY = m.LogEntry(4, m.EntryKind.CONFIG, encode_members(MEMBERS))

MESSAGES: list[tuple[m.Message, str]] = [
    (m.IdentityRequest(LARGE), "019201cf8000000000000000"),
    (
        m.IdentityResponse(1, 2, NEWER, OLDER, 5, 6, 7, 8, [(0, 11), (2, LARGE)], True),
        "019b0201029203cf0123456789abcdef920207050607089292000b9202cf8000000000000000c3",
    ),
    (m.BootstrapRequest(NEWER, 9, [1, 2, 3]), "0194039203cf0123456789abcdef0993010203"),
    (m.BootstrapResponse(NEWER, 9, 2, OLDER, 5, 6), "0197049203cf0123456789abcdef09029202070506"),
    (m.RequestVoteRequest(NEWER, 1, 2, 3, 4, 5, True), "0198059203cf0123456789abcdef0102030405c3"),
    (m.RequestVoteResponse(NEWER, 2, 1, 3, True, False), "0197069203cf0123456789abcdef020103c3c2"),
    (
        m.AppendEntriesRequest(NEWER, 1, 2, 3, 4, 5, 6, [DATA_ENTRY, CONFIG_ENTRY]),
        "0199079203cf0123456789abcdef01020304050692930401c4050064617461"
        "930402c40f9292000b9202cf8000000000000000",
    ),
    (m.AppendEntriesResponse(NEWER, 2, 3, False, -1, 6), "0197089203cf0123456789abcdef0203c2ff06"),
    (
        m.InstallSnapshotRequest(NEWER, 1, 2, 3, 4, 500, 0xDEADBEEF, 160, 6, b"part"),
        "019b099203cf0123456789abcdef01020304cd01f4cedeadbeefcca006c40470617274",
    ),
    (
        m.InstallSnapshotResponse(NEWER, 2, 3, 4, 0xDEADBEEF, 160, 6),
        "01980a9203cf0123456789abcdef020304cedeadbeefcca006",
    ),
    (m.LearnerPoll(NEWER, 2, 9), "01940b9203cf0123456789abcdef0209"),
    (
        m.LearnerUpdate(NEWER, 1, -1, False, 9, [DATA_ENTRY]),
        "01970c9203cf0123456789abcdef01ffc20991930401c4050064617461",
    ),
    (m.ReadIndexRequest(2, 10), "01930d020a"),
    (m.ReadIndexResponse(NEWER, 10, 11), "01940e9203cf0123456789abcdef0a0b"),
    (m.LeaderMessage(NEWER, 2, b"\1word"), "01940f9203cf0123456789abcdef02c40501776f7264"),
]
SNAPSHOT_BYTES = "9408039292000b9202cf8000000000000000c40464756d70"


@pytest.mark.parametrize(("message", "encoded"), MESSAGES, ids=[type(case[0]).__name__ for case in MESSAGES])
def test_a_message_is_encoded_as_by_earlier_versions(message: m.Message, encoded: str) -> None:
    raw = bytes.fromhex(encoded)
    assert m.encode(message) == raw
    assert m.decode(raw) == message


def test_each_message_type_has_a_recorded_encoding() -> None:
    assert {type(message) for message, _ in MESSAGES} == set(m.Message.__args__)


def test_the_stored_records_are_encoded_as_by_earlier_versions() -> None:
    snapshot = Snapshot.create(OLDER, 9, 4, ClusterConfig(8, 3, MEMBERS), b"dump")
    assert (snapshot.payload.hex(), snapshot.checksum) == (SNAPSHOT_BYTES, 0x547E4444)
    identity = stored_state.ReplicaIdentity(1, 3, 3, LARGE)
    voted = stored_state.HardState(NEWER, True, 4, (2, LARGE))
    frozen = stored_state.HardState(NEWER, False, 0, None)
    base = stored_state.LogBase(OLDER, 5, 3, 8, 3, [(0, 11), (2, LARGE)], 9, 4, snapshot.payload)
    expected = [
        (identity, stored_state.IDENTITY_KEY, b"me", "94010303cf8000000000000000"),
        (voted, stored_state.HARD_STATE_KEY, b"vote", "949203cf0123456789abcdefc3049202cf8000000000000000"),
        (frozen, stored_state.HARD_STATE_KEY, b"vote", "949203cf0123456789abcdefc200c0"),
        (
            base,
            stored_state.LOG_BASE_KEY,
            b"base",
            f"99920207050308039292000b9202cf80000000000000000904c418{SNAPSHOT_BYTES}",
        ),
        (
            DATA_ENTRY,
            stored_state.entry_key(258),
            bytes.fromhex("650000000000000102"),
            "930401c4050064617461",
        ),
    ]
    for record, key, recorded_key, encoded in expected:
        raw = bytes.fromhex(encoded)
        assert key == recorded_key
        assert stored_state.encode_record(record) == raw
        assert stored_state.read_record({key: raw}, key, type(record)) == record


def test_a_config_entry_is_encoded_as_by_earlier_versions() -> None:
    raw = bytes.fromhex("9292000b9202cf8000000000000000")
    assert encode_members(MEMBERS) == raw
    assert decode_members(raw) == MEMBERS


def test_leases_and_composite_state_machines_are_encoded_as_by_earlier_versions() -> None:
    holder = LeaseTable(1, 0.01, 1_000_000, random.Random(1))
    leader = LeaseTable(0, 0.01, 1_000_000, random.Random(2))
    leader.observe(0, NEWER)
    request = holder.request(0, 7, "name", 500_000)
    grant = bytes.fromhex("9701a46e616d65000107cf91b7584a2265b1f5ce0007a120")
    assert request == grant
    assert leader.entry_for(2_000_000, NEWER, 1, 7, request) == grant
    for leases in (holder, leader):
        leases.apply(12, grant)
    renewal = leader.entry_for(2_000_001, NEWER, 1, 7, request)
    assert renewal == bytes.fromhex("9701a46e616d650c0107cf91b7584a2265b1f5ce0007a120")
    dump = "81a46e616d65920c9701a46e616d65000107cf91b7584a2265b1f5ce0007a120"
    assert holder.dump().hex() == dump
    composite = CompositeStateMachine({7: holder, 1: leader})
    assert composite.dump().hex() == f"8201c420{dump}07c420{dump}"
    assert holder.release("name") == bytes.fromhex("9302a46e616d650c")
