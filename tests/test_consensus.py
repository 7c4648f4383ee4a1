"""Replication, each hard case by name, in a made tier whose checker looks after every step."""

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
    SECOND,
    core_of,
    founded_world,
    is_applied,
    others,
    wait_for_settled_leader,
)
from tests.once import once

pytestmark = once

# Who leads


def test_after_a_crash_of_the_leader_the_others_commit_again_within_two_seconds() -> None:
    for seed in range(20):
        world = founded_world(5, seed=seed)
        first = wait_for_settled_leader(world, range(5)).peer
        world.crash(first)
        killed = world.time
        second = wait_for_settled_leader(world, others(world, first))
        assert world.propose(second.peer, b"again")
        assert is_applied(world, b"again", others(world, first))
        assert world.time - killed < 2 * SECOND


def test_the_leader_is_paused_longer_than_its_lease_and_resumed() -> None:
    world = founded_world(3, timing=dataclasses.replace(QUICK_TIMING, lease_us=SECOND))
    world.run_for(2 * SECOND)
    first = wait_for_settled_leader(world, range(3))
    world.request_lease(first.peer)
    assert world.run_for(SECOND, lambda: first.leases.holds(first.local_time_us(world.time), "lease"))
    world.pause(first.peer)
    second = wait_for_settled_leader(world, others(world, first.peer))
    other = world.processes[others(world, first.peer, second.peer)[0]]
    # Refused while the first may hold it, granted after.
    while not other.leases.holds(other.local_time_us(world.time), "lease"):
        assert world.time < 20 * SECOND
        world.request_lease(other.peer)
        world.run_for(SECOND // 5)
    assert not first.leases.holds(first.local_time_us(world.time), "lease")
    world.resume(first.peer)
    assert core_of(world, first.peer).role == "follower"
    run_until_progress(world)


def test_a_partitioned_voter_does_not_depose_the_leader_when_it_comes_back() -> None:
    world = founded_world(5)
    first = wait_for_settled_leader(world, range(5))
    term = core_of(world, first.peer).term
    alone = others(world, first.peer)[0]
    world.partition([alone], others(world, alone))
    world.run_for(10 * SECOND)
    assert core_of(world, alone).role == "candidate"
    world.heal()
    run_until_progress(world)
    assert core_of(world, first.peer).role == "leader"
    assert core_of(world, alone).term == term


# Partitions


def test_of_two_and_three_voters_the_three_continue() -> None:
    world = founded_world(5)
    first = wait_for_settled_leader(world, range(5)).peer
    few = [first, others(world, first)[0]]
    many = others(world, *few)
    world.partition(few, many)
    assert world.propose(first, b"few")
    second = wait_for_settled_leader(world, many).peer
    assert world.propose(second, b"many")
    assert is_applied(world, b"many", many)
    world.run_for(5 * SECOND)
    assert not any(b"few" in world.processes[me].recording.data for me in range(5))
    assert not any(
        core_of(world, me).has_leader_contact(world.processes[me].local_time_us(world.time)) for me in few
    )
    world.heal()
    run_until_progress(world)
    assert all(b"many" in one.recording.data and b"few" not in one.recording.data for one in world.processes)


def test_of_three_and_three_voters_neither_side_commits_or_bootstraps() -> None:
    world = founded_world(7)
    world.crash(6)
    epoch = core_of(world, 0).epoch
    halves = [0, 1, 2], [3, 4, 5]
    world.partition(*halves)
    world.run_for(SECOND // 10)
    for half in halves:
        for one in world.leaders():
            if one.peer in half:
                world.propose(one.peer, b"half")
    world.run_for(20 * SECOND)
    assert world.leaders() == []
    assert not any(b"half" in one.recording.data for one in world.processes)
    world.heal()
    run_until_progress(world)
    assert {core_of(world, me).epoch for me in range(7)} == {epoch}


@pytest.mark.parametrize("outwards", [True, False])
def test_a_leader_that_is_cut_off_one_way_is_replaced(outwards: bool) -> None:
    world = founded_world(3)
    first = wait_for_settled_leader(world, range(3)).peer
    rest = others(world, first)
    if outwards:
        world.partition_one_way([first], rest)
    else:
        world.partition_one_way(rest, [first])
    second = wait_for_settled_leader(world, rest, within_us=10 * SECOND)
    assert world.propose(second.peer, b"one way")
    assert is_applied(world, b"one way", rest)
    # It stays so: nobody who can't hear or be heard replaces the one that leads.
    world.run_for(10 * SECOND)
    assert [one.peer for one in world.leaders()] == [second.peer]
    world.heal()
    run_until_progress(world)


def test_with_a_bridge_between_two_ends_leadership_is_stable() -> None:
    world = founded_world(3)
    world.partition([0, 1], [1, 2])
    world.run_for(5 * SECOND)
    leader = wait_for_settled_leader(world, range(3))
    term = core_of(world, leader.peer).term
    assert world.propose(leader.peer, b"bridge")
    assert is_applied(world, b"bridge", [1])
    world.run_for(20 * SECOND)
    assert [one.peer for one in world.leaders()] == [leader.peer]
    assert core_of(world, leader.peer).term == term
    world.heal()
    run_until_progress(world)
    assert all(b"bridge" in one.recording.data for one in world.processes)


# Memory


def test_all_voters_that_crash_at_once_with_durable_stores_lose_nothing() -> None:
    world = founded_world(5, learners=1, lasting=True)
    epoch = core_of(world, 0).epoch
    leader = wait_for_settled_leader(world, range(5)).peer
    assert world.propose(leader, b"before")
    assert is_applied(world, b"before", range(6))
    incarnations = [one.incarnation for one in world.processes]
    for me in range(6):
        world.crash(me)
    world.heal()
    run_until_progress(world)
    assert core_of(world, 0).epoch == epoch
    assert all(b"before" in one.recording.data for one in world.processes)
    assert [one.incarnation for one in world.processes][:5] == incarnations[:5]
    # A learner keeps nothing, and is another.
    assert world.processes[5].incarnation != incarnations[5]


def test_all_voters_that_crash_at_once_without_stores_begin_an_empty_log_of_a_new_epoch() -> None:
    world = founded_world(3, learners=2)
    epoch = core_of(world, 0).epoch
    for me in range(3):
        world.crash(me)
    world.heal()
    run_until_progress(world)
    assert core_of(world, 0).epoch != epoch
    assert all(core_of(world, me).epoch == core_of(world, 0).epoch for me in range(5))
    assert all(
        b"probe0" not in one.recording.data or one.recording.applied[0][0] > 1 for one in world.processes
    )


def test_one_voter_that_remembers_is_enough_where_a_majority_lost_its_memory() -> None:
    for seed in range(20):
        world = founded_world(5, seed=seed)
        leader = wait_for_settled_leader(world, range(5)).peer
        assert world.propose(leader, b"kept")
        assert is_applied(world, b"kept", range(5))
        one = seed % 5
        for me in others(world, one):
            world.restart(me)
        run_until_progress(world)
        assert core_of(world, 0).epoch.generation == 2
        assert all(b"kept" in process.recording.data for process in world.processes)


def test_a_frozen_voter_reads_the_index_of_the_new_epoch_anew() -> None:
    world = founded_world(3)
    last, epoch = core_of(world, 2), core_of(world, 2).epoch
    assert last.is_caught_up
    world.restart(0)
    world.restart(1)
    assert world.run_for(10 * SECOND, lambda: last.role == "frozen" or last.epoch != epoch)
    # Until then it goes by the old one, and must not take that for the record.
    assert world.run_for(10 * SECOND, lambda: last.is_caught_up)
    assert last.role != "frozen" and last.epoch != epoch


def test_nothing_is_bootstrapped_while_a_voter_is_partitioned_though_a_majority_lost_its_memory() -> None:
    world = founded_world(3)
    leader = wait_for_settled_leader(world, range(3)).peer
    assert world.propose(leader, b"kept")
    assert is_applied(world, b"kept", range(3))
    rest = others(world, leader)
    world.partition([leader], rest)
    for me in rest:
        world.restart(me)
    world.run_for(20 * SECOND)
    assert {core_of(world, me).epoch for me in rest} == {NO_EPOCH}
    world.heal()
    run_until_progress(world)
    assert all(b"kept" in one.recording.data for one in world.processes)


def test_a_voter_that_restarts_during_an_election_does_not_vote_twice() -> None:
    world = founded_world(3)
    first = wait_for_settled_leader(world, range(3)).peer
    world.crash(first)
    voters: list[int] = []
    before = {one.peer: one.incarnation for one in world.processes}

    def voted() -> bool:
        voters[:] = [
            one.peer
            for one in world.processes
            if one.core and one.core._state.voted_for not in (None, (first, before[first]))
        ]
        return len(voters) == 2

    assert world.run_for(5 * SECOND, voted)
    voter = next(me for me in voters if core_of(world, me).role != "leader")
    world.restart(voter)
    again = core_of(world, voter)
    assert again.incarnation != before[voter]
    assert again._state.voted_for is None
    # The vote of the one that ended counts, and the new one's only once it is taken in.
    world.run_for(5 * SECOND)
    world.heal()
    run_until_progress(world)
    assert core_of(world, 0).members == {one.peer: one.incarnation for one in world.processes}


def test_a_restarted_voter_is_removed_and_added_in_single_changes() -> None:
    world = founded_world(3)
    leader = wait_for_settled_leader(world, range(3))
    again = others(world, leader.peer)[0]
    old = core_of(world, again).incarnation
    sizes = [3]
    world.restart(again)

    def watched() -> bool:
        members = core_of(world, leader.peer).members
        if len(members) != sizes[-1]:
            sizes.append(len(members))
        return members.get(again) == core_of(world, again).incarnation

    assert world.run_for(5 * SECOND, watched)
    assert sizes == [3, 2, 3]
    assert core_of(world, leader.peer).members[again] != old


def test_a_rolling_restart_keeps_the_epoch_and_its_entries() -> None:
    world = founded_world(5, learners=1)
    epoch = core_of(world, 0).epoch
    for me in range(6):
        leader = wait_for_settled_leader(world, range(5)).peer
        assert world.propose(leader, b"release%d" % me)
        world.restart(me)
        world.run_for(3 * SECOND)
    run_until_progress(world)
    assert core_of(world, 0).epoch == epoch
    assert all(b"release0" in one.recording.data for one in world.processes)


def test_a_successor_continues_as_the_same_incarnation() -> None:
    world = founded_world(3, learners=1)
    incarnations = [core_of(world, me).incarnation for me in range(4)]
    for me in range(4):
        world.hot_restart(me)
        world.run_for(SECOND)
    run_until_progress(world)
    assert [core_of(world, me).incarnation for me in range(4)] == incarnations
    assert core_of(world, 0).members == dict(enumerate(incarnations[:3]))


def test_a_retired_core_does_nothing_more() -> None:
    world = founded_world(3)
    core = core_of(world, 0)
    now = world.processes[0].local_time_us(world.time)
    core.retire()
    assert core.due_us == NEVER_US
    assert core.tick(now + SECOND).outgoing == []
    assert core.receive(now, 1, m.encode(m.IdentityRequest(1))).outgoing == []
    with pytest.raises(NotLeaderError):
        core.propose(now, b"late")


# Founding


def bootstrapping_world(lasting: bool = False) -> tuple[ConsensusSimulation, int]:
    """Three that have nothing; gives the initiator, at the time when it has begun to bootstrap."""
    world = ConsensusSimulation(SimulationOptions(3, 3, QUICK_TIMING, lasting), seed=3)
    assert world.run_for(5 * SECOND, lambda: any(core_of(world, me).role == "frozen" for me in range(3)))
    return world, next(me for me in range(3) if core_of(world, me).role == "frozen")


def test_a_bootstrap_needs_every_voter() -> None:
    world = ConsensusSimulation(SimulationOptions(3, 3, QUICK_TIMING), seed=3)
    world.crash(2)
    world.run_for(20 * SECOND)
    assert all(core_of(world, me).epoch == NO_EPOCH for me in range(2))
    world.heal()
    run_until_progress(world)


def test_a_voter_that_restarts_between_the_two_rounds_ends_the_bootstrap() -> None:
    world, initiator = bootstrapping_world()
    epoch = core_of(world, initiator)._state.promised_epoch
    last = others(world, initiator)[-1]
    first = others(world, initiator, last)[0]
    # One accepts; before the other does, the first has come again as another.
    world.partition_one_way([initiator], [last])
    assert world.run_for(SECOND, lambda: first in core_of(world, initiator)._bootstrap._accepted)
    world.restart(first)
    world.cut_routes = set()
    world.run_for(SECOND // 2)
    assert epoch not in {core_of(world, me).epoch for me in range(3)}
    run_until_progress(world)
    assert core_of(world, 0).epoch > epoch
    assert core_of(world, 0).members[first] == core_of(world, first).incarnation


def test_a_voter_frozen_by_a_failed_bootstrap_restarts_with_its_log() -> None:
    world = founded_world(3)
    leader = wait_for_settled_leader(world, range(3))
    frozen = others(world, leader.peer)[0]
    old, last = core_of(world, frozen).incarnation, core_of(world, frozen).applied_index
    # A late request of an initiator that gave up long ago, while the voter hears from no leader.
    world.partition([frozen], others(world, frozen))
    world.run_for(3 * SECOND)
    named = [core_of(world, me).incarnation for me in range(3)]
    call = m.encode(m.BootstrapRequest(ClusterEpoch(9, 9), 1, named))
    world._step(world.processes[frozen], lambda core, now: core.receive(now, leader.peer, call))
    assert core_of(world, frozen).role == "frozen"
    world.heal()
    assert world.run_for(10 * SECOND, lambda: core_of(world, frozen).role == "follower")
    assert core_of(world, frozen).counters["came_again"] == 1
    assert core_of(world, frozen).incarnation != old
    assert core_of(world, frozen).applied_index >= last

    def taken_in() -> bool:
        return core_of(world, leader.peer).members.get(frozen) == core_of(world, frozen).incarnation

    assert world.run_for(5 * SECOND, taken_in)
    assert core_of(world, leader.peer).role == "leader"
    run_until_progress(world)


def test_a_bootstrap_is_refused_by_a_voter_with_leader_contact_or_not_named() -> None:
    world = founded_world(3)
    now = [one.local_time_us(world.time) for one in world.processes]
    named = [core_of(world, me).incarnation for me in range(3)]
    call = m.encode(m.BootstrapRequest(ClusterEpoch(9, 9), 1, named))
    assert core_of(world, 1).receive(now[1], 0, call).outgoing == []
    lonely = ConsensusSimulation(SimulationOptions(3, 3, QUICK_TIMING), seed=1)
    call = m.encode(m.BootstrapRequest(ClusterEpoch(9, 9), 1, [1, 2, 3]))
    effects = core_of(lonely, 1).receive(lonely.processes[1].local_time_us(1), 0, call)
    assert effects.outgoing == [] and effects.persist == {}


# Learners and reads


def test_of_two_hundred_idle_replicas_each_takes_under_two_kilobytes_a_second() -> None:
    timing = ConsensusTiming(max_log_entries=64)
    world = ConsensusSimulation(SimulationOptions(5, 200, timing), seed=5)
    run_until_progress(world)
    leader = wait_for_settled_leader(world, range(5)).peer
    assert world.propose(leader, b"to all")
    assert is_applied(world, b"to all", range(200), within_us=2 * SECOND)
    world.run_for(5 * SECOND)
    taken = [0] * 200
    send = world._send

    def counted(source: int, target: int, raw: bytes) -> None:
        taken[source] += len(raw)
        taken[target] += len(raw)
        send(source, target, raw)

    world._send = counted  # type: ignore[method-assign]
    world.run_for(20 * SECOND)
    assert max(taken) / 20 < 2_000


def test_a_learner_that_is_cut_off_from_the_majority_does_not_catch_up() -> None:
    world = founded_world(5, learners=1)
    first = wait_for_settled_leader(world, range(5)).peer
    few = [first, others(world, first)[0], 5]
    world.partition(few, others(world, *few))
    world.restart(5)
    world.run_for(10 * SECOND)
    assert not core_of(world, 5).is_caught_up
    world.heal()
    run_until_progress(world)


def test_a_learner_of_a_lost_epoch_finds_the_one_that_lives() -> None:
    for seed in range(10):
        world = founded_world(3, learners=1, seed=seed)
        for me in range(3):
            world.restart(me)
        run_until_progress(world)
        assert core_of(world, 3).epoch == core_of(world, 0).epoch


def test_leader_messages_arrive_from_every_replica() -> None:
    world = founded_world(3, learners=1)
    leader = wait_for_settled_leader(world, range(3))
    received: list[tuple[int, int, bytes]] = []
    core_of(world, leader.peer).on_leader_message = lambda *message: received.append(message)
    for me in range(4):
        message = b"message%d" % me
        world._step(world.processes[me], lambda core, now, message=message: core.send_to_leader(now, message))  # type: ignore[misc]
    world.run_for(SECOND // 10)
    assert sorted(received) == [(me, core_of(world, me).incarnation, b"message%d" % me) for me in range(4)]


def test_a_leader_message_of_an_earlier_epoch_is_dropped_in_a_later_one() -> None:
    """A learner that has not heard of the new epoch yet speaks of indexes that have other entries there."""
    world = founded_world(3, learners=1)
    learner, epoch = core_of(world, 3), core_of(world, 3).epoch
    now = world.processes[3].local_time_us(world.time)
    ((_, early),) = learner.send_to_leader(now, b"early").outgoing
    for me in range(3):
        world.restart(me)
    run_until_progress(world)
    leader = core_of(world, wait_for_settled_leader(world, range(3)).peer)
    assert leader.epoch == learner.epoch != epoch
    received: list[bytes] = []
    leader.on_leader_message = lambda peer, incarnation, data: received.append(data)
    lost = leader.counters["words_lost"]
    leader.receive(world.processes[leader.replica_id].local_time_us(world.time), 3, early)
    assert not received and leader.counters["words_lost"] == lost + 1
    # Nor a message of it that had to wait until it was over.
    assert not learner.send_to_leader(world.processes[3].local_time_us(world.time), b"waited", epoch).outgoing
    ((_, late),) = learner.send_to_leader(
        world.processes[3].local_time_us(world.time), b"late", leader.epoch
    ).outgoing
    leader.receive(world.processes[leader.replica_id].local_time_us(world.time), 3, late)
    assert received == [b"late"]


# The checker


def test_the_checker_names_the_invariant_and_the_seed() -> None:
    world = founded_world(3, seed=42)
    tape = world.processes[1].recording
    tape.applied[-1] = (tape.applied[-1][0], 0)
    leader = wait_for_settled_leader(world, range(3)).peer
    with pytest.raises(BrokenError, match="one order: seed 42") as broken:
        world.propose(leader, b"x")
        world.run_for(SECOND)
    assert (broken.value.name, broken.value.seed) == ("one order", 42)
