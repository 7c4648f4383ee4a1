"""Consensus under generated schedules, and proof that the checker works: it detects each injected fault."""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Collection

import msgspec
import pytest
from laurelstep.consensus.bootstrap import Bootstrap
from laurelstep.consensus.core import ConsensusCore
from laurelstep.consensus.election import Election
from laurelstep.consensus.epoch import NO_EPOCH, ClusterEpoch
from laurelstep.consensus.follower import Follower
from laurelstep.consensus.leader import Leader
from laurelstep.consensus.leases import LeaseGrant, LeaseTable
from laurelstep.consensus.log import ClusterConfig, LogPosition, ReplicatedLog
from laurelstep.consensus.membership import MembershipManager
from laurelstep.consensus.messages import AppendEntriesRequest, IdentityResponse, RequestVoteRequest
from laurelstep.consensus.read_index import ReadIndexTracker
from laurelstep.consensus.snapshots import Snapshot
from laurelstep.consensus.state import ReplicaState
from laurelstep.testing.schedules import BrokenError, ScheduleShape, SimulationOptions, play_schedule
from laurelstep.testing.schedules.script import run_until_progress

from tests.consensus_worlds import bootstrapped_world, wait_for_leader
from tests.once import once

pytestmark = once

# 10,000 seeds in total: about two minutes on one core in plain Python.
SEEDS_PER_CHUNK = 250
CHUNK_COUNT = 40


@pytest.mark.parametrize("chunk", range(CHUNK_COUNT))
def test_invariants_hold_under_generated_schedules(chunk: int) -> None:
    for seed in range(chunk * SEEDS_PER_CHUNK, (chunk + 1) * SEEDS_PER_CHUNK):
        play_schedule(seed)


def test_equal_seeds_give_equal_schedules() -> None:
    first, second = play_schedule(11), play_schedule(11)
    assert (first.step_count, first.sent_count, first.time_us) == (
        second.step_count,
        second.sent_count,
        second.time_us,
    )
    assert [process.recording.applied for process in first.processes] == [
        process.recording.applied for process in second.processes
    ]


# Injected faults


class VotesWithoutMajority(Election):
    """Fault: a candidate is elected with one vote less than a majority."""

    def has_enough_votes(self, votes: Collection[int]) -> bool:
        return len(votes) >= len(self._state.log.config.members) // 2


class VotesForAnyLog(Election):
    """Fault: a voter votes for a candidate whose log is less up to date than its own."""

    def _is_up_to_date(self, message: RequestVoteRequest) -> bool:
        return True


class VotesSeveralTimes(Election):
    """Fault: a voter votes for every candidate of a term."""

    def _may_vote_for(self, peer: int, message: RequestVoteRequest) -> bool:
        return True


class CommitsEarlierTerms(Leader):
    """Fault: an entry of an earlier term is committed by counting the replicas that have it."""

    def may_commit(self, index: int) -> bool:
        return True


class CommitsBelowMajority(Leader):
    """Fault: an entry is committed if one member fewer than a majority has it."""

    def majority_match_index(self) -> int:
        members = self._state.log.config.members
        match_indexes = [
            self._state.log.last_index if voter_id == self._state.replica_id else -1 for voter_id in members
        ]
        match_indexes += [
            self.progress[voter_id].match_index for voter_id in members if self._tracks_member(voter_id)
        ]
        match_indexes.sort(reverse=True)
        return match_indexes[max(0, len(members) // 2 - 1)]


class RemovesSilentMembers(MembershipManager):
    """Fault: all members that do not answer for a while are removed in one change, without any check."""

    def on_heartbeat(self) -> None:
        super().on_heartbeat()
        members = self._state.log.config.members
        oldest_response_us = self._state.now_us - self._state.timing.election_timeout_us // 2
        silent = {
            voter_id
            for voter_id, progress in self._leader.progress.items()
            if progress.last_response_us < oldest_response_us
        }
        if self.may_change() and silent & set(members):
            self._leader.propose_config(
                {voter_id: incarnation for voter_id, incarnation in members.items() if voter_id not in silent}
            )


class BootstrapByMajority(Bootstrap):
    """Fault: a bootstrap needs only a majority of the voters."""

    def has_all_voters(self, voters: Collection[int]) -> bool:
        return 2 * len(voters) > self._state.voter_count

    def _evaluate(self) -> None:
        if self.has_all_voters(self._identities):
            for voter_id in range(self._state.voter_count):
                self._identities.setdefault(
                    voter_id, IdentityResponse(0, 0, NO_EPOCH, NO_EPOCH, 0, 0, 0, 0, [], False)
                )
        super()._evaluate()


class FirstVoterInitiates(Bootstrap):
    """Fault: the first voter bootstraps, even if others have a more up-to-date log."""

    def _best_candidate(self) -> int:
        return 0

    def _position(self, message: object) -> LogPosition:
        return LogPosition(NO_EPOCH, 0, 0)


class CaughtUpTooEarly(ReadIndexTracker):
    """Fault: a replica counts as caught up once it has applied any entry."""

    def advance(self) -> None:
        super().advance()
        self._state.is_caught_up |= self._state.applied_index > 0


class UnconfirmedReadIndex(ReadIndexTracker):
    """Fault: the leader answers a read index request without confirmation by a majority."""

    def confirmed_round(self) -> int:
        return self._leader.heartbeat_round + 1


class UncheckedAppend(Follower):
    """Fault: entries are appended without checking the entry before them."""

    def on_append_entries(self, peer: int, message: AppendEntriesRequest) -> None:
        log = self._state.log
        term = log.term_at(message.prev_log_index)
        if log.epoch == message.epoch and term is not None and message.term >= self._state.term:
            message = msgspec.structs.replace(message, prev_log_term=term)
        super().on_append_entries(peer, message)


class SnapshotWithoutLast(ReplicaState):
    """Fault: a snapshot lacks the last entry that it should cover."""

    def compact(self) -> None:
        super().compact()
        assert self.snapshot is not None
        index, term = self.applied_index, self.snapshot.term
        config = self.log.config_at(index)
        self.snapshot = Snapshot.create(self.log.epoch, index, term, config, self._dump_before_last)
        self._persist_log_base()

    _dump_before_last = b""

    def apply_to(self, index: int) -> None:
        if index > self.applied_index:
            super().apply_to(index - 1)
            self._dump_before_last = self.state_machine.dump()
        super().apply_to(index)


class DiscardsLogEarly(ReplicaState):
    """Fault: entering a newer epoch discards the log before the new epoch's snapshot is complete."""

    def enter_epoch(self, epoch: ClusterEpoch) -> None:
        super().enter_epoch(epoch)
        if self.log.epoch != epoch:
            self._delete_entries(self.log.base_index + 1, self.log.last_index)
            self.log = ReplicatedLog(epoch, 0, 0, ClusterConfig(0, 0, {}))
            self.state_machine.load(b"")
            self.applied_index = self.committed_index = 0


class UnpersistedHardState(ReplicaState):
    """Fault: the hard state is never persisted."""

    def persist_hard_state(self) -> None:
        pass


class CountsLeaseFromGrant(LeaseTable):
    """Fault: the holder counts its lease from the time it learned of the grant, not from its request."""

    def expires_at_us(self, grant: LeaseGrant) -> int:
        if super().expires_at_us(grant) == 0:
            return 0
        learned = self._learned.get(grant.name)
        return 0 if learned is None else learned.learned_at_us + grant.lease_us


class ShortGuard(LeaseTable):
    """Fault: other processes wait only for half of the lease."""

    def guard_us(self, lease_us: int) -> int:
        return lease_us // 2


def with_core_part(name: str, part_type: type) -> Callable[[SimulationOptions], SimulationOptions]:
    core = type("Faulty", (ConsensusCore,), {name: part_type})
    return lambda options: dataclasses.replace(options, core_type=core)


def with_lease_table(lease_table_type: type[LeaseTable]) -> Callable[[SimulationOptions], SimulationOptions]:
    return lambda options: dataclasses.replace(options, lease_table_type=lease_table_type)


def with_reused_incarnation(options: SimulationOptions) -> SimulationOptions:
    """Fault: a replica that restarts with an empty state keeps its incarnation."""
    return dataclasses.replace(options, reuses_incarnation=True)


PARTITIONS = ScheduleShape(
    voter_counts=(3, 5),
    bootstrapped_probability=1.0,
    fault_counts=(4, 6, 8),
    fault_kinds=("split", "isolate", "pause", "heal"),
)
DURABLE_RESTARTS = dataclasses.replace(
    PARTITIONS, durable_probability=1.0, fault_kinds=("crash", "split", "isolate", "heal", "restart")
)
RESTARTS_WITHOUT_STORE = dataclasses.replace(
    PARTITIONS,
    durable_probability=0.0,
    fault_kinds=("crash", "restart", "split", "isolate", "heal", "rolling restart", "crash majority"),
)
CONTENDED_LEASES = dataclasses.replace(
    PARTITIONS,
    lease_counts=(60,),
    loss_probabilities=(0.2,),
    late_probabilities=(0.0,),
    max_delays_us=(5_000,),
    fault_kinds=("isolate", "heal"),
    fault_counts=(2,),
)

# Handwritten schedules for cases that generated ones seldom reach


def figure_8(seed: int, inject_fault: Callable[[SimulationOptions], SimulationOptions]) -> None:
    """Raft's figure 8: an entry of an earlier term is overwritten although a majority has it."""
    world = bootstrapped_world(seed=seed, inject_fault=inject_fault, voter_count=5, is_durable=True)
    first = wait_for_leader(world, range(5)).peer
    second, third, fourth, fifth = (peer for peer in range(5) if peer != first)
    world.partition([first, second], [third, fourth, fifth])
    world.propose(first, b"e" * 155)
    world.run_for(100_000)
    world.crash(first)
    later_leader = wait_for_leader(world, (third, fourth, fifth)).peer
    rest = [peer for peer in (third, fourth, fifth) if peer != later_leader]
    # The messages that it sent after its election reach no other replica.
    world.partition([later_leader], [second, *rest])
    world.crash(later_leader)
    second_core = world.processes[second].core
    assert second_core is not None
    last_index = second_core._state.log.last_index

    def is_committed() -> bool:
        core = world.processes[second].core
        return core is not None and core.committed_index >= last_index

    assert world.run_for(20_000_000, is_committed)
    world.partition([second], [later_leader, *rest])
    world.crash(second)
    world.start(later_leader)
    world.run_for(3_000_000)
    world.heal()
    run_until_progress(world)


def read_at_old_leader(seed: int, inject_fault: Callable[[SimulationOptions], SimulationOptions]) -> None:
    """A restarted learner requests the index from a partitioned leader that has been replaced."""
    world = bootstrapped_world(seed=seed, inject_fault=inject_fault, voter_count=3, learner_count=1)
    old_leader = wait_for_leader(world, range(3)).peer
    others = [peer for peer in range(3) if peer != old_leader]
    world.partition([old_leader, 3], others)
    new_leader = wait_for_leader(world, others)
    world.propose(new_leader.peer, b"news")
    world.run_for(100_000, lambda: b"news" in new_leader.recording.data)
    # The restarted learner is connected only to the old leader.
    world.restart(3)
    world.run_for(400_000)
    world.heal()
    run_until_progress(world)


def initiator_dies(seed: int, inject_fault: Callable[[SimulationOptions], SimulationOptions]) -> None:
    """The initiator restarts when other voters have entered the new epoch but have no log of it yet."""
    world = bootstrapped_world(seed=seed, inject_fault=inject_fault, voter_count=5)
    unaffected = (3, 4)
    for peer in range(3):
        world.restart(peer)

    def is_announced() -> bool:
        states = [core._state for peer in unaffected if (core := world.processes[peer].core) is not None]
        return any(
            state.promised_epoch.generation > 1 and state.has_epoch_started and state.role == "follower"
            for state in states
        )

    assert world.run_for(20_000_000, is_announced)
    world.restart(wait_for_leader(world, range(5)).peer)
    world.heal()
    run_until_progress(world)


def generated(
    shape: ScheduleShape,
) -> Callable[[int, Callable[[SimulationOptions], SimulationOptions]], object]:
    return lambda seed, inject_fault: play_schedule(seed, shape, inject_fault)


NOTHING_LOST, ONE_ORDER, ONE_LEADER, ONE_VOTE = "nothing lost", "one order", "one leader", "one vote"
NO_STALE_READ, LEASES_APART = "no stale read", "leases apart"
# For each fault: how it is injected, the schedules that reveal it, and the invariants of which one is broken.
FAULTS = {
    "an election without a majority": (
        with_core_part("election_type", VotesWithoutMajority),
        generated(PARTITIONS),
        {ONE_LEADER, NOTHING_LOST, ONE_ORDER},
    ),
    "a vote for a log that is not up to date": (
        with_core_part("election_type", VotesForAnyLog),
        generated(PARTITIONS),
        {NOTHING_LOST, ONE_ORDER},
    ),
    "several votes in one term": (
        with_core_part("election_type", VotesSeveralTimes),
        generated(PARTITIONS),
        {ONE_VOTE},
    ),
    "a hard state that is not persisted": (
        with_core_part("state_type", UnpersistedHardState),
        generated(DURABLE_RESTARTS),
        {ONE_VOTE},
    ),
    "an incarnation that is reused after the state was lost": (
        with_reused_incarnation,
        generated(RESTARTS_WITHOUT_STORE),
        {ONE_VOTE, NOTHING_LOST},
    ),
    "an entry of an earlier term that is committed by counting replicas": (
        with_core_part("leader_type", CommitsEarlierTerms),
        figure_8,
        {NOTHING_LOST},
    ),
    "a commit by one fewer than a majority": (
        with_core_part("leader_type", CommitsBelowMajority),
        generated(PARTITIONS),
        {ONE_ORDER, NOTHING_LOST},
    ),
    "several members removed in one change": (
        with_core_part("membership_type", RemovesSilentMembers),
        generated(PARTITIONS),
        {ONE_LEADER, NOTHING_LOST, ONE_ORDER},
    ),
    "a bootstrap without all voters": (
        with_core_part("bootstrap_type", BootstrapByMajority),
        generated(RESTARTS_WITHOUT_STORE),
        {NOTHING_LOST, ONE_ORDER},
    ),
    "a bootstrap not by the voter with the best log": (
        with_core_part("bootstrap_type", FirstVoterInitiates),
        generated(RESTARTS_WITHOUT_STORE),
        {NOTHING_LOST},
    ),
    "an old log that is discarded too early": (
        with_core_part("state_type", DiscardsLogEarly),
        initiator_dies,
        {NOTHING_LOST},
    ),
    "a replica that counts as caught up too early": (
        with_core_part("read_index_type", CaughtUpTooEarly),
        generated(RESTARTS_WITHOUT_STORE),
        {NO_STALE_READ},
    ),
    "a read index that no majority confirmed": (
        with_core_part("read_index_type", UnconfirmedReadIndex),
        read_at_old_leader,
        {NO_STALE_READ},
    ),
    "entries that are appended without a matching previous entry": (
        with_core_part("follower_type", UncheckedAppend),
        generated(PARTITIONS),
        {ONE_ORDER},
    ),
    "a snapshot without the last entry": (
        with_core_part("state_type", SnapshotWithoutLast),
        generated(PARTITIONS),
        {ONE_ORDER},
    ),
    "a lease that is counted from the grant": (
        with_lease_table(CountsLeaseFromGrant),
        generated(CONTENDED_LEASES),
        {LEASES_APART},
    ),
    "a lease that other processes do not wait for": (
        with_lease_table(ShortGuard),
        generated(CONTENDED_LEASES),
        {LEASES_APART},
    ),
}
HANDWRITTEN_SCHEDULES = (figure_8, read_at_old_leader, initiator_dies)
MAX_SEEDS = 400


@pytest.mark.parametrize("fault", FAULTS)
def test_the_checker_detects_the_fault(fault: str) -> None:
    inject_fault, schedule, invariants = FAULTS[fault]
    for seed in range(MAX_SEEDS):
        try:
            schedule(seed, inject_fault)
        except BrokenError as broken:
            assert broken.seed == seed
            if broken.name in invariants:
                return
    pytest.fail(f"not detected: {fault}")


@pytest.mark.parametrize("schedule", HANDWRITTEN_SCHEDULES)
def test_invariants_hold_under_handwritten_schedules(
    schedule: Callable[[int, Callable[[SimulationOptions], SimulationOptions]], object],
) -> None:
    for seed in range(40):
        schedule(seed, lambda options: options)
