"""Consensus in a simulated tier: one test for each difficult case.

Invariants are checked after every step.
"""

from __future__ import annotations

import dataclasses

import pytest
from laurelstep.consensus import messages as m
from laurelstep.consensus.epoch import NO_EPOCH, ClusterEpoch
from laurelstep.consensus.errors import NotLeaderError
from laurelstep.consensus.timing import NEVER_US, ConsensusTiming
from laurelstep.testing.schedules import BrokenError, ConsensusSimulation, SimulationOptions
from laurelstep.testing.schedules.script import QUICK_TIMING, run_until_progress

from tests.consensus_worlds import (
    SECOND_US,
    bootstrapped_world,
    core_of,
    other_peers,
    wait_for_ready_leader,
    wait_until_applied,
)
from tests.once import once

pytestmark = once

# Leadership


def test_after_a_crash_of_the_leader_the_others_commit_again_within_two_seconds() -> None:
    for seed in range(20):
        world = bootstrapped_world(5, seed=seed)
        first = wait_for_ready_leader(world, range(5)).peer
        world.crash(first)
        crash_time_us = world.time_us
        second = wait_for_ready_leader(world, other_peers(world, first))
        assert world.propose(second.peer, b"again")
        assert wait_until_applied(world, b"again", other_peers(world, first))
        assert world.time_us - crash_time_us < 2 * SECOND_US


def test_a_lease_of_a_paused_leader_is_granted_to_another_only_after_it_expired() -> None:
    world = bootstrapped_world(3, timing=dataclasses.replace(QUICK_TIMING, lease_us=SECOND_US))
    world.run_for(2 * SECOND_US)
    first = wait_for_ready_leader(world, range(3))
    world.request_lease(first.peer)
    assert world.run_for(SECOND_US, lambda: first.leases.holds(first.local_time_us(world.time_us), "lease"))
    world.pause(first.peer)
    second = wait_for_ready_leader(world, other_peers(world, first.peer))
    other = world.processes[other_peers(world, first.peer, second.peer)[0]]
    # Requests are refused while the first leader may still hold the lease, and granted afterwards.
    while not other.leases.holds(other.local_time_us(world.time_us), "lease"):
        assert world.time_us < 20 * SECOND_US
        world.request_lease(other.peer)
        world.run_for(SECOND_US // 5)
    assert not first.leases.holds(first.local_time_us(world.time_us), "lease")
    world.resume(first.peer)
    assert core_of(world, first.peer).role == "follower"
    run_until_progress(world)


def test_a_partitioned_voter_does_not_depose_the_leader_when_it_comes_back() -> None:
    world = bootstrapped_world(5)
    first = wait_for_ready_leader(world, range(5))
    term = core_of(world, first.peer).term
    partitioned_voter = other_peers(world, first.peer)[0]
    world.partition([partitioned_voter], other_peers(world, partitioned_voter))
    world.run_for(10 * SECOND_US)
    assert core_of(world, partitioned_voter).role == "candidate"
    world.heal()
    run_until_progress(world)
    assert core_of(world, first.peer).role == "leader"
    assert core_of(world, partitioned_voter).term == term


# Partitions


def test_in_a_partition_of_five_voters_the_side_with_three_continues() -> None:
    world = bootstrapped_world(5)
    first = wait_for_ready_leader(world, range(5)).peer
    minority = [first, other_peers(world, first)[0]]
    majority = other_peers(world, *minority)
    world.partition(minority, majority)
    assert world.propose(first, b"few")
    second = wait_for_ready_leader(world, majority).peer
    assert world.propose(second, b"many")
    assert wait_until_applied(world, b"many", majority)
    world.run_for(5 * SECOND_US)
    assert not any(b"few" in world.processes[peer].recording.data for peer in range(5))
    assert not any(
        core_of(world, peer).has_leader_contact(world.processes[peer].local_time_us(world.time_us))
        for peer in minority
    )
    world.heal()
    run_until_progress(world)
    assert all(
        b"many" in process.recording.data and b"few" not in process.recording.data
        for process in world.processes
    )


def test_in_a_partition_without_majority_neither_side_commits_or_bootstraps() -> None:
    world = bootstrapped_world(7)
    world.crash(6)
    epoch = core_of(world, 0).epoch
    halves = [0, 1, 2], [3, 4, 5]
    world.partition(*halves)
    world.run_for(SECOND_US // 10)
    for half in halves:
        for leader in world.leaders():
            if leader.peer in half:
                world.propose(leader.peer, b"half")
    world.run_for(20 * SECOND_US)
    assert world.leaders() == []
    assert not any(b"half" in process.recording.data for process in world.processes)
    world.heal()
    run_until_progress(world)
    assert {core_of(world, peer).epoch for peer in range(7)} == {epoch}


@pytest.mark.parametrize("outwards", [True, False])
def test_a_leader_that_is_partitioned_in_one_direction_is_replaced(outwards: bool) -> None:
    world = bootstrapped_world(3)
    first = wait_for_ready_leader(world, range(3)).peer
    rest = other_peers(world, first)
    if outwards:
        world.partition_one_way([first], rest)
    else:
        world.partition_one_way(rest, [first])
    second = wait_for_ready_leader(world, rest, within_us=10 * SECOND_US)
    assert world.propose(second.peer, b"one way")
    assert wait_until_applied(world, b"one way", rest)
    # The new leader stays: the replica partitioned in one direction must not depose it.
    world.run_for(10 * SECOND_US)
    assert [process.peer for process in world.leaders()] == [second.peer]
    world.heal()
    run_until_progress(world)


def test_leadership_is_stable_if_two_voters_are_connected_only_through_a_third() -> None:
    world = bootstrapped_world(3)
    world.partition([0, 1], [1, 2])
    world.run_for(5 * SECOND_US)
    leader = wait_for_ready_leader(world, range(3))
    term = core_of(world, leader.peer).term
    assert world.propose(leader.peer, b"bridge")
    assert wait_until_applied(world, b"bridge", [1])
    world.run_for(20 * SECOND_US)
    assert [process.peer for process in world.leaders()] == [leader.peer]
    assert core_of(world, leader.peer).term == term
    world.heal()
    run_until_progress(world)
    assert all(b"bridge" in process.recording.data for process in world.processes)


# Lost state


def test_nothing_is_lost_if_all_voters_with_durable_stores_crash_at_once() -> None:
    world = bootstrapped_world(5, learner_count=1, is_durable=True)
    epoch = core_of(world, 0).epoch
    leader = wait_for_ready_leader(world, range(5)).peer
    assert world.propose(leader, b"before")
    assert wait_until_applied(world, b"before", range(6))
    incarnations = [process.incarnation for process in world.processes]
    for peer in range(6):
        world.crash(peer)
    world.heal()
    run_until_progress(world)
    assert core_of(world, 0).epoch == epoch
    assert all(b"before" in process.recording.data for process in world.processes)
    assert [process.incarnation for process in world.processes][:5] == incarnations[:5]
    # A learner stores nothing, and restarts as another incarnation.
    assert world.processes[5].incarnation != incarnations[5]


def test_voters_without_stores_that_all_crash_at_once_start_a_new_epoch_with_an_empty_log() -> None:
    world = bootstrapped_world(3, learner_count=2)
    epoch = core_of(world, 0).epoch
    for peer in range(3):
        world.crash(peer)
    world.heal()
    run_until_progress(world)
    assert core_of(world, 0).epoch != epoch
    assert all(core_of(world, peer).epoch == core_of(world, 0).epoch for peer in range(5))
    assert all(
        b"probe0" not in process.recording.data or process.recording.applied[0][0] > 1
        for process in world.processes
    )


def test_committed_entries_survive_if_one_voter_keeps_its_state_when_a_majority_loses_it() -> None:
    for seed in range(20):
        world = bootstrapped_world(5, seed=seed)
        leader = wait_for_ready_leader(world, range(5)).peer
        assert world.propose(leader, b"kept")
        assert wait_until_applied(world, b"kept", range(5))
        unaffected = seed % 5
        for peer in other_peers(world, unaffected):
            world.restart(peer)
        run_until_progress(world)
        assert core_of(world, 0).epoch.generation == 2
        assert all(b"kept" in process.recording.data for process in world.processes)


def test_a_frozen_voter_requests_the_read_index_again_in_the_new_epoch() -> None:
    world = bootstrapped_world(3)
    voter, epoch = core_of(world, 2), core_of(world, 2).epoch
    assert voter.is_caught_up
    world.restart(0)
    world.restart(1)
    assert world.run_for(10 * SECOND_US, lambda: voter.role == "frozen" or voter.epoch != epoch)
    # While frozen it has only the state of the old epoch, which must not count as caught up.
    assert world.run_for(10 * SECOND_US, lambda: voter.is_caught_up)
    assert voter.role != "frozen" and voter.epoch != epoch


def test_there_is_no_bootstrap_while_a_voter_is_partitioned_even_if_a_majority_lost_its_state() -> None:
    world = bootstrapped_world(3)
    leader = wait_for_ready_leader(world, range(3)).peer
    assert world.propose(leader, b"kept")
    assert wait_until_applied(world, b"kept", range(3))
    rest = other_peers(world, leader)
    world.partition([leader], rest)
    for peer in rest:
        world.restart(peer)
    world.run_for(20 * SECOND_US)
    assert {core_of(world, peer).epoch for peer in rest} == {NO_EPOCH}
    world.heal()
    run_until_progress(world)
    assert all(b"kept" in process.recording.data for process in world.processes)


def test_a_voter_that_restarts_during_an_election_does_not_vote_twice() -> None:
    world = bootstrapped_world(3)
    first = wait_for_ready_leader(world, range(3)).peer
    world.crash(first)
    voters: list[int] = []
    incarnations_before = {process.peer: process.incarnation for process in world.processes}

    def have_both_voted() -> bool:
        voters[:] = [
            process.peer
            for process in world.processes
            if process.core
            and process.core._state.voted_for not in (None, (first, incarnations_before[first]))
        ]
        return len(voters) == 2

    assert world.run_for(5 * SECOND_US, have_both_voted)
    voter = next(peer for peer in voters if core_of(world, peer).role != "leader")
    world.restart(voter)
    restarted = core_of(world, voter)
    assert restarted.incarnation != incarnations_before[voter]
    assert restarted._state.voted_for is None
    # The vote of the previous incarnation counts. The new one votes only once it is a member.
    world.run_for(5 * SECOND_US)
    world.heal()
    run_until_progress(world)
    assert core_of(world, 0).members == {process.peer: process.incarnation for process in world.processes}


def test_a_restarted_voter_is_removed_and_added_in_single_changes() -> None:
    world = bootstrapped_world(3)
    leader = wait_for_ready_leader(world, range(3))
    restarted = other_peers(world, leader.peer)[0]
    old_incarnation = core_of(world, restarted).incarnation
    sizes = [3]
    world.restart(restarted)

    def is_readmitted() -> bool:
        members = core_of(world, leader.peer).members
        if len(members) != sizes[-1]:
            sizes.append(len(members))
        return members.get(restarted) == core_of(world, restarted).incarnation

    assert world.run_for(5 * SECOND_US, is_readmitted)
    assert sizes == [3, 2, 3]
    assert core_of(world, leader.peer).members[restarted] != old_incarnation


def test_a_rolling_restart_keeps_the_epoch_and_its_entries() -> None:
    world = bootstrapped_world(5, learner_count=1)
    epoch = core_of(world, 0).epoch
    for peer in range(6):
        leader = wait_for_ready_leader(world, range(5)).peer
        assert world.propose(leader, b"release%d" % peer)
        world.restart(peer)
        world.run_for(3 * SECOND_US)
    run_until_progress(world)
    assert core_of(world, 0).epoch == epoch
    assert all(b"release0" in process.recording.data for process in world.processes)


def test_a_successor_continues_as_the_same_incarnation() -> None:
    world = bootstrapped_world(3, learner_count=1)
    incarnations = [core_of(world, peer).incarnation for peer in range(4)]
    for peer in range(4):
        world.hot_restart(peer)
        world.run_for(SECOND_US)
    run_until_progress(world)
    assert [core_of(world, peer).incarnation for peer in range(4)] == incarnations
    assert core_of(world, 0).members == dict(enumerate(incarnations[:3]))


def test_a_retired_core_ignores_all_further_steps() -> None:
    world = bootstrapped_world(3)
    core = core_of(world, 0)
    now_us = world.processes[0].local_time_us(world.time_us)
    core.retire()
    assert core.due_us == NEVER_US
    assert core.tick(now_us + SECOND_US).outgoing == []
    assert core.receive(now_us, 1, m.encode(m.IdentityRequest(1))).outgoing == []
    with pytest.raises(NotLeaderError):
        core.propose(now_us, b"late")


# Bootstrap


def bootstrapping_world(is_durable: bool = False) -> tuple[ConsensusSimulation, int]:
    """Return a tier of three empty voters in which a bootstrap has just begun, and the initiator's number."""
    world = ConsensusSimulation(SimulationOptions(3, 3, QUICK_TIMING, is_durable), seed=3)
    assert world.run_for(
        5 * SECOND_US, lambda: any(core_of(world, peer).role == "frozen" for peer in range(3))
    )
    return world, next(peer for peer in range(3) if core_of(world, peer).role == "frozen")


def test_a_bootstrap_needs_every_voter() -> None:
    world = ConsensusSimulation(SimulationOptions(3, 3, QUICK_TIMING), seed=3)
    world.crash(2)
    world.run_for(20 * SECOND_US)
    assert all(core_of(world, peer).epoch == NO_EPOCH for peer in range(2))
    world.heal()
    run_until_progress(world)


def test_a_voter_that_restarts_between_the_two_rounds_ends_the_bootstrap() -> None:
    world, initiator = bootstrapping_world()
    epoch = core_of(world, initiator)._state.promised_epoch
    last = other_peers(world, initiator)[-1]
    first = other_peers(world, initiator, last)[0]
    # The first voter accepts, and restarts as another incarnation before the last one accepts.
    world.partition_one_way([initiator], [last])
    assert world.run_for(SECOND_US, lambda: first in core_of(world, initiator)._bootstrap._accepted)
    world.restart(first)
    world.cut_routes = set()
    world.run_for(SECOND_US // 2)
    assert epoch not in {core_of(world, peer).epoch for peer in range(3)}
    run_until_progress(world)
    assert core_of(world, 0).epoch > epoch
    assert core_of(world, 0).members[first] == core_of(world, first).incarnation


def test_a_voter_frozen_by_a_failed_bootstrap_restarts_with_its_log() -> None:
    world = bootstrapped_world(3)
    leader = wait_for_ready_leader(world, range(3))
    frozen = other_peers(world, leader.peer)[0]
    old_incarnation, old_applied_index = (
        core_of(world, frozen).incarnation,
        core_of(world, frozen).applied_index,
    )
    # A delayed request of a bootstrap that was cancelled long ago, while the voter has no contact with a
    # leader.
    world.partition([frozen], other_peers(world, frozen))
    world.run_for(3 * SECOND_US)
    incarnations = [core_of(world, peer).incarnation for peer in range(3)]
    request = m.encode(m.BootstrapRequest(ClusterEpoch(9, 9), 1, incarnations))
    world._step(world.processes[frozen], lambda core, now_us: core.receive(now_us, leader.peer, request))
    assert core_of(world, frozen).role == "frozen"
    world.heal()
    assert world.run_for(10 * SECOND_US, lambda: core_of(world, frozen).role == "follower")
    assert core_of(world, frozen).counters["came_again"] == 1
    assert core_of(world, frozen).incarnation != old_incarnation
    assert core_of(world, frozen).applied_index >= old_applied_index

    def is_readmitted() -> bool:
        return core_of(world, leader.peer).members.get(frozen) == core_of(world, frozen).incarnation

    assert world.run_for(5 * SECOND_US, is_readmitted)
    assert core_of(world, leader.peer).role == "leader"
    run_until_progress(world)


def test_a_voter_refuses_a_bootstrap_while_it_has_leader_contact_or_if_it_is_not_named() -> None:
    world = bootstrapped_world(3)
    now_us = [process.local_time_us(world.time_us) for process in world.processes]
    incarnations = [core_of(world, peer).incarnation for peer in range(3)]
    request = m.encode(m.BootstrapRequest(ClusterEpoch(9, 9), 1, incarnations))
    assert core_of(world, 1).receive(now_us[1], 0, request).outgoing == []
    empty_world = ConsensusSimulation(SimulationOptions(3, 3, QUICK_TIMING), seed=1)
    request = m.encode(m.BootstrapRequest(ClusterEpoch(9, 9), 1, [1, 2, 3]))
    effects = core_of(empty_world, 1).receive(empty_world.processes[1].local_time_us(1), 0, request)
    assert effects.outgoing == [] and effects.persist == {}


# Learners and leader messages


def test_each_of_two_hundred_idle_replicas_uses_less_than_two_kilobytes_per_second() -> None:
    timing = ConsensusTiming(max_log_entries=64)
    world = ConsensusSimulation(SimulationOptions(5, 200, timing), seed=5)
    run_until_progress(world)
    leader = wait_for_ready_leader(world, range(5)).peer
    assert world.propose(leader, b"to all")
    assert wait_until_applied(world, b"to all", range(200), within_us=2 * SECOND_US)
    world.run_for(5 * SECOND_US)
    transferred_bytes = [0] * 200
    send = world._send

    def count_and_send(source: int, target: int, raw: bytes) -> None:
        transferred_bytes[source] += len(raw)
        transferred_bytes[target] += len(raw)
        send(source, target, raw)

    world._send = count_and_send  # type: ignore[method-assign]
    world.run_for(20 * SECOND_US)
    assert max(transferred_bytes) / 20 < 2_000


def test_a_learner_that_is_partitioned_from_the_majority_does_not_catch_up() -> None:
    world = bootstrapped_world(5, learner_count=1)
    first = wait_for_ready_leader(world, range(5)).peer
    minority = [first, other_peers(world, first)[0], 5]
    world.partition(minority, other_peers(world, *minority))
    world.restart(5)
    world.run_for(10 * SECOND_US)
    assert not core_of(world, 5).is_caught_up
    world.heal()
    run_until_progress(world)


def test_a_learner_of_a_lost_epoch_moves_to_the_current_epoch() -> None:
    for seed in range(10):
        world = bootstrapped_world(3, learner_count=1, seed=seed)
        for peer in range(3):
            world.restart(peer)
        run_until_progress(world)
        assert core_of(world, 3).epoch == core_of(world, 0).epoch


def test_leader_messages_arrive_from_every_replica() -> None:
    world = bootstrapped_world(3, learner_count=1)
    leader = wait_for_ready_leader(world, range(3))
    received: list[tuple[int, int, bytes]] = []
    core_of(world, leader.peer).on_leader_message = lambda *message: received.append(message)
    for peer in range(4):
        data = b"message%d" % peer
        world._step(world.processes[peer], lambda core, now_us, data=data: core.send_to_leader(now_us, data))  # type: ignore[misc]
    world.run_for(SECOND_US // 10)
    assert sorted(received) == [
        (peer, core_of(world, peer).incarnation, b"message%d" % peer) for peer in range(4)
    ]


def test_a_leader_message_of_an_earlier_epoch_is_dropped_in_a_later_one() -> None:
    """A learner that does not know the new epoch yet refers to indexes that hold other entries in it."""
    world = bootstrapped_world(3, learner_count=1)
    learner, epoch = core_of(world, 3), core_of(world, 3).epoch
    now_us = world.processes[3].local_time_us(world.time_us)
    ((_, early_datagram),) = learner.send_to_leader(now_us, b"early").outgoing
    for peer in range(3):
        world.restart(peer)
    run_until_progress(world)
    leader = core_of(world, wait_for_ready_leader(world, range(3)).peer)
    assert leader.epoch == learner.epoch != epoch
    received: list[bytes] = []
    leader.on_leader_message = lambda peer, incarnation, data: received.append(data)
    lost_before = leader.counters["words_lost"]
    leader.receive(world.processes[leader.replica_id].local_time_us(world.time_us), 3, early_datagram)
    assert not received and leader.counters["words_lost"] == lost_before + 1
    # A message of the old epoch that was queued until the epoch had ended is dropped too.
    assert not learner.send_to_leader(
        world.processes[3].local_time_us(world.time_us), b"waited", epoch
    ).outgoing
    ((_, late_datagram),) = learner.send_to_leader(
        world.processes[3].local_time_us(world.time_us), b"late", leader.epoch
    ).outgoing
    leader.receive(world.processes[leader.replica_id].local_time_us(world.time_us), 3, late_datagram)
    assert received == [b"late"]


# Invariant checker


def test_the_checker_reports_the_broken_invariant_and_the_seed() -> None:
    world = bootstrapped_world(3, seed=42)
    recording = world.processes[1].recording
    recording.applied[-1] = (recording.applied[-1][0], 0)
    leader = wait_for_ready_leader(world, range(3)).peer
    with pytest.raises(BrokenError, match="one order: seed 42") as broken:
        world.propose(leader, b"x")
        world.run_for(SECOND_US)
    assert (broken.value.name, broken.value.seed) == ("one order", 42)
