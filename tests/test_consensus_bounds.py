"""Consensus bounds what it accepts from callers and peers, and no received bytes raise an exception."""

from __future__ import annotations

import dataclasses
import random

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings
from laurelstep.consensus import messages as m
from laurelstep.consensus.core import ConsensusCore
from laurelstep.consensus.epoch import NO_EPOCH, ClusterEpoch
from laurelstep.consensus.errors import BusyError, EntryError, NotLeaderError
from laurelstep.consensus.limits import MAX_ENTRY_BYTES, MAX_LEADER_MESSAGE_BYTES, MAX_PENDING_PROPOSALS
from laurelstep.consensus.log import ReplicatedLog
from laurelstep.consensus.ports import MAX_DATAGRAM_BYTES
from laurelstep.testing.schedules import RecordingStateMachine
from laurelstep.testing.schedules.script import QUICK_TIMING

from tests.consensus_worlds import (
    bootstrapped_world,
    core_of,
    other_peers,
    wait_for_ready_leader,
)
from tests.once import once

pytestmark = once


def test_proposals_and_leader_messages_are_bounded() -> None:
    world = bootstrapped_world(3, timing=dataclasses.replace(QUICK_TIMING, max_log_entries=512))
    leader = wait_for_ready_leader(world, range(3)).peer
    world.partition([leader], other_peers(world, leader))
    core, now_us = core_of(world, leader), world.processes[leader].local_time_us(world.time_us)
    with pytest.raises(EntryError):
        core.propose(now_us, bytes(MAX_ENTRY_BYTES + 1))
    with pytest.raises(EntryError):
        core.send_to_leader(now_us, bytes(MAX_LEADER_MESSAGE_BYTES + 1))
    for count in range(MAX_PENDING_PROPOSALS):
        assert core.propose(now_us, b"%d" % count).entry_index is not None
    with pytest.raises(BusyError):
        core.propose(now_us, b"one more")
    with pytest.raises(NotLeaderError) as error:
        follower = other_peers(world, leader)[0]
        core_of(world, follower).propose(world.processes[follower].local_time_us(world.time_us), b"x")
    assert error.value.leader_id == leader


def test_the_longest_messages_fit_in_a_datagram() -> None:
    epoch = ClusterEpoch((1 << 32) - 1, (1 << 64) - 1)
    max_uint64, count, max_uint32 = (1 << 64) - 1, (1 << 48) - 1, (1 << 32) - 1
    members = [(voter_id, max_uint64) for voter_id in range(7)]
    log = ReplicatedLog(epoch)
    for length in (0, 1, 20, MAX_ENTRY_BYTES):
        while len(log.batch(1, log.last_index)) == len(log.entries):
            log.append(m.LogEntry(count, m.EntryKind.DATA, bytes(length)))
        entries = log.batch(1, log.last_index)
        assert entries
        append = m.AppendEntriesRequest(epoch, max_uint32, count, count, count, count, count, entries)
        assert len(m.encode(append)) <= MAX_DATAGRAM_BYTES
        assert (
            len(m.encode(m.LearnerUpdate(epoch, max_uint32, count, True, count, entries)))
            <= MAX_DATAGRAM_BYTES
        )
        log = ReplicatedLog(epoch)
    longest: list[m.Message] = [
        m.IdentityResponse(max_uint64, max_uint64, epoch, epoch, count, count, count, count, members, True),
        m.BootstrapRequest(epoch, max_uint64, [max_uint64] * 7),
        m.BootstrapResponse(epoch, max_uint64, max_uint64, epoch, count, count),
        m.RequestVoteRequest(epoch, max_uint32, max_uint64, count, count, count, False),
        m.RequestVoteResponse(epoch, max_uint64, max_uint64, count, True, False),
        m.InstallSnapshotRequest(
            epoch,
            max_uint32,
            count,
            count,
            count,
            max_uint32,
            max_uint32,
            max_uint32,
            count,
            bytes(m.MAX_CHUNK_BYTES),
        ),
        m.InstallSnapshotResponse(epoch, max_uint64, count, count, max_uint32, max_uint32, count),
        m.LeaderMessage(epoch, max_uint64, bytes(MAX_LEADER_MESSAGE_BYTES)),
    ]
    for message in longest:
        raw = m.encode(message)
        assert len(raw) <= MAX_DATAGRAM_BYTES
        assert m.decode(raw) == message


@settings(max_examples=300, deadline=None)
@given(st.binary(max_size=300), st.integers(-1, 9))
def test_no_received_bytes_raise(raw: bytes, peer: int) -> None:
    core = ConsensusCore(0, 5, 3, 7, RecordingStateMachine(), QUICK_TIMING, random.Random(1))
    core.start(0)
    for data in (raw, bytes((m.PROTOCOL_VERSION,)) + raw):
        core.receive(1, peer, data)


@settings(max_examples=300, deadline=None)
@given(st.data())
def test_no_valid_message_raises_or_changes_a_replica_that_it_is_not_addressed_to(
    data: st.DataObject,
) -> None:
    world = bootstrapped_world(3, learner_count=1)
    receiver = data.draw(st.integers(0, 3))
    core, now_us = core_of(world, receiver), world.processes[receiver].local_time_us(world.time_us)
    number = st.integers(0, (1 << 48) - 1) | st.integers(0, 9)
    epochs = st.sampled_from(
        [core.epoch, NO_EPOCH, ClusterEpoch(0, 1), ClusterEpoch((1 << 32) - 1, (1 << 64) - 1)]
    )
    message_type = data.draw(
        st.sampled_from(
            [
                m.AppendEntriesRequest,
                m.RequestVoteRequest,
                m.InstallSnapshotRequest,
                m.LearnerUpdate,
                m.AppendEntriesResponse,
                m.RequestVoteResponse,
                m.BootstrapRequest,
                m.BootstrapResponse,
            ]
        )
    )
    other_incarnation = m.short_incarnation(core.incarnation) + 1 & 0xFFFFFFFF
    fields = {
        "epoch": epochs,
        "recipient": st.just(other_incarnation),
        "candidate": st.just(other_incarnation),
        "log_epoch": epochs,
        "entries": st.just([m.LogEntry(1, m.EntryKind.DATA, b"x"), m.LogEntry(1, m.EntryKind.CONFIG, b"x")]),
        "incarnations": st.just([1, 2, 3]),
        "is_pre_vote": st.booleans(),
        "success": st.booleans(),
        "granted": st.booleans(),
        "has_leader_contact": st.booleans(),
        "data": st.binary(max_size=m.MAX_CHUNK_BYTES),
        "total_bytes": st.integers(0, 300),
        "offset": st.integers(0, 300),
        "checksum": st.integers(0, (1 << 32) - 1),
    }
    message = message_type(
        **{name: data.draw(fields.get(name, number)) for name in message_type.__struct_fields__}
    )
    state_before = (core.epoch, core.term, core.role, core.applied_index, core.members)
    core.receive(now_us, data.draw(st.integers(0, 3)), m.encode(message))
    assert (core.epoch, core.term, core.role, core.applied_index, core.members) == state_before


def test_datagrams_of_future_versions_and_unknown_senders_are_counted() -> None:
    core = ConsensusCore(0, 3, 3, 7, RecordingStateMachine(), QUICK_TIMING, random.Random(1))
    core.start(0)
    valid = m.encode(m.IdentityRequest(1))
    core.receive(1, 1, bytes((m.PROTOCOL_VERSION + 1,)) + valid[1:])
    core.receive(1, 3, valid)
    core.receive(1, 0, valid)
    core.receive(1, 1, valid[:-1])
    assert core.counters == {"future": 1, "foreign": 2, "unreadable": 1}
