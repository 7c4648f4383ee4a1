"""The replicated log, snapshot transfer in chunks, and stored records."""

from __future__ import annotations

import dataclasses
import random

import hypothesis.strategies as st
import pytest
from hypothesis import given, settings
from laurelstep.consensus import messages as m
from laurelstep.consensus import stored_state
from laurelstep.consensus.core import ConsensusCore
from laurelstep.consensus.epoch import ClusterEpoch
from laurelstep.consensus.errors import StoredStateError
from laurelstep.consensus.log import ReplicatedLog, encode_members
from laurelstep.consensus.snapshots import Snapshot, SnapshotAssembly
from laurelstep.consensus.state_machines import CompositeStateMachine
from laurelstep.testing.schedules import RecordingStateMachine
from laurelstep.testing.schedules.script import QUICK_TIMING

from tests.consensus_worlds import (
    bootstrapped_world,
    core_of,
    wait_for_ready_leader,
)
from tests.once import once

pytestmark = once


@settings(deadline=None)
@given(
    st.lists(
        st.tuples(st.sampled_from(["append", "config", "truncate", "compact"]), st.integers(0, 30)),
        max_size=40,
    )
)
def test_the_log_behaves_like_a_list_whose_beginning_is_compacted(steps: list[tuple[str, int]]) -> None:
    log, model = ReplicatedLog(ClusterEpoch(1, 1)), [m.LogEntry(0, m.EntryKind.DATA, b"")]
    for step, number in steps:
        if step == "append":
            entry = m.LogEntry(number, m.EntryKind.DATA, b"%d" % number)
            model.append(entry)
            log.append(entry)
        elif step == "config":
            entry = m.LogEntry(number, m.EntryKind.CONFIG, encode_members({number % 7: number}))
            model.append(entry)
            log.append(entry)
        elif step == "truncate":
            last = max(log.base_index, len(model) - 1 - number)
            del model[last + 1 :]
            log.truncate_after(last)
        else:
            log.compact_to(min(log.last_index, log.base_index + number))
        assert log.last_index == len(model) - 1
        assert all(log.term_at(index) == model[index].term for index in range(log.base_index, len(model)))
        assert log.term_at(log.base_index - 1) is None and log.term_at(log.last_index + 1) is None
        configs = [index for index, entry in enumerate(model) if entry.kind == m.EntryKind.CONFIG]
        assert log.config.index == (configs[-1] if configs else 0)


def test_a_snapshot_is_returned_only_once_all_chunks_are_there_and_the_checksum_matches() -> None:
    epoch = ClusterEpoch(1, 1)
    snapshot = Snapshot.create(epoch, 9, 2, ReplicatedLog().config, bytes(500))
    other_snapshot = Snapshot.create(epoch, 9, 2, ReplicatedLog().config, b"\1" * 500)
    assembly = SnapshotAssembly()
    received_bytes = 0
    while received_bytes < len(snapshot.payload):
        assert assembly.take_complete() is None
        assert assembly.add(other_snapshot.chunk(1, 1, received_bytes + 1, 1)) == 0
        chunk = snapshot.chunk(1, 1, received_bytes, 1)
        if received_bytes:
            for offset in range(0, received_bytes, m.MAX_CHUNK_BYTES):
                assembly.add(snapshot.chunk(1, 1, offset, 1))
        received_bytes = assembly.add(chunk)
        assert assembly.add(chunk) == received_bytes
    assert assembly.take_complete() == snapshot
    assert assembly.take_complete() is None
    corrupt = dataclasses.replace(snapshot, checksum=1)
    for offset in range(0, len(snapshot.payload), m.MAX_CHUNK_BYTES):
        assembly.add(corrupt.chunk(1, 1, offset, 1))
    assert assembly.take_complete() is None


def test_stored_records_must_be_complete_and_belong_to_the_replica() -> None:
    world = bootstrapped_world(3, is_durable=True)
    wait_for_ready_leader(world, range(3))
    complete_records = dict(world.processes[1].stored)

    def start_core(records: dict[bytes, bytes], replica_id: int = 1) -> ConsensusCore:
        return ConsensusCore(
            replica_id,
            3,
            3,
            0,
            CompositeStateMachine({0: RecordingStateMachine()}),
            QUICK_TIMING,
            random.Random(1),
            records,
        )

    assert start_core(complete_records).incarnation == core_of(world, 1).incarnation
    with pytest.raises(StoredStateError, match="peer 1 of 3"):
        start_core(complete_records, replica_id=2)
    for key in (stored_state.IDENTITY_KEY, stored_state.HARD_STATE_KEY, stored_state.LOG_BASE_KEY):
        with pytest.raises(StoredStateError):
            start_core(complete_records | {key: b"\xc1"})
    entry_keys = sorted(key for key in complete_records if key[:1] == b"e")
    assert len(entry_keys) > 1
    with pytest.raises(StoredStateError, match="missing"):
        start_core({key: value for key, value in complete_records.items() if key != entry_keys[0]})
