"""Consensus under made schedules, and that the checker can fail: each injected fault is found."""

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

from tests.consensus_worlds import founded_world, wait_for_leader
from tests.once import once

pytestmark = once

# 10,000 seeds: about two minutes on one core in plain Python.
PER_CHUNK = 250
CHUNKS = 40


@pytest.mark.parametrize("chunk", range(CHUNKS))
def test_made_schedules(chunk: int) -> None:
    for seed in range(chunk * PER_CHUNK, (chunk + 1) * PER_CHUNK):
        play_schedule(seed)


def test_a_seed_is_one_schedule() -> None:
    first, second = play_schedule(11), play_schedule(11)
    assert (first.step_count, first.sent_count, first.time) == (
        second.step_count,
        second.sent_count,
        second.time,
    )
    assert [one.recording.applied for one in first.processes] == [
        one.recording.applied for one in second.processes
    ]


# Faults


class VotesWithoutMajority(Election):
    """A vote without a majority."""

    def has_enough_votes(self, votes: Collection[int]) -> bool:
        return len(votes) >= len(self._state.log.config.members) // 2


class AnyLog(Election):
    """A vote for a log that is worse than the voter's."""

    def _is_up_to_date(self, message: RequestVoteRequest) -> bool:
        return True


class TwoVotesInATerm(Election):
    """A vote for each that asks."""

    def _may_vote_for(self, peer: int, message: RequestVoteRequest) -> bool:
        return True


class CommitsEarlierTerms(Leader):
    """An entry of an earlier term is committed by counting who has it."""

    def may_commit(self, index: int) -> bool:
        return True


class OneFewerThanMajority(Leader):
    """Committed by one fewer than a majority."""

    def majority_match_index(self) -> int:
        members = self._state.log.config.members
        marks = [
            self._state.log.last_index if voter_id == self._state.replica_id else -1 for voter_id in members
        ]
        marks += [
            self.progress[voter_id].match_index for voter_id in members if self._tracks_member(voter_id)
        ]
        marks.sort(reverse=True)
        return marks[max(0, len(members) // 2 - 1)]


class RemovesSilentMembers(MembershipManager):
    """All that are silent for a while are taken out at once: more than one at a time, without a question."""

    def on_heartbeat(self) -> None:
        super().on_heartbeat()
        members = self._state.log.config.members
        quiet = self._state.now_us - self._state.timing.election_timeout_us // 2
        silent = {voter_id for voter_id, one in self._leader.progress.items() if one.last_response_us < quiet}
        if self.may_change() and silent & set(members):
            self._leader.propose_config(
                {voter_id: who for voter_id, who in members.items() if voter_id not in silent}
            )


class BootstrapByMajority(Bootstrap):
    """A bootstrap by a majority of the voters."""

    def has_all_voters(self, voters: Collection[int]) -> bool:
        return 2 * len(voters) > self._state.voter_count

    def _evaluate(self) -> None:
        if self.has_all_voters(self._identities):
            for voter_id in range(self._state.voter_count):
                self._identities.setdefault(
                    voter_id, IdentityResponse(0, 0, NO_EPOCH, NO_EPOCH, 0, 0, 0, 0, [], False)
                )
        super()._evaluate()


class AnyInitiator(Bootstrap):
    """The first voter bootstraps, whatever others remember."""

    def _best_candidate(self) -> int:
        return 0

    def _position(self, message: object) -> LogPosition:
        return LogPosition(NO_EPOCH, 0, 0)


class CaughtUpAtOnce(ReadIndexTracker):
    """A process takes the first that it hears for the record as it is."""

    def advance(self) -> None:
        super().advance()
        self._state.is_caught_up |= self._state.applied_index > 0


class Unconfirmed(ReadIndexTracker):
    """The leader answers a read at once, by what it has."""

    def confirmed_round(self) -> int:
        return self._leader.heartbeat_round + 1


class UncheckedAppend(Follower):
    """Entries are taken without a look at what they follow."""

    def on_append_entries(self, peer: int, message: AppendEntriesRequest) -> None:
        log = self._state.log
        term = log.term_at(message.prev_log_index)
        if log.epoch == message.epoch and term is not None and message.term >= self._state.term:
            message = msgspec.structs.replace(message, prev_log_term=term)
        super().on_append_entries(peer, message)


class SnapshotWithoutLast(ReplicaState):
    """A snapshot without the last entry that it stands for."""

    def compact(self) -> None:
        super().compact()
        assert self.snapshot is not None
        index, term = self.applied_index, self.snapshot.term
        config = self.log.config_at(index)
        self.snapshot = Snapshot.create(self.log.epoch, index, term, config, self._before)
        self._persist_log_base()

    _before = b""

    def apply_to(self, index: int) -> None:
        if index > self.applied_index:
            super().apply_to(index - 1)
            self._before = self.state_machine.dump()
        super().apply_to(index)


class EarlyReplacement(ReplicaState):
    """A newer epoch takes the log at once, before its snapshot is here."""

    def enter_epoch(self, epoch: ClusterEpoch) -> None:
        super().enter_epoch(epoch)
        if self.log.epoch != epoch:
            self._delete_entries(self.log.base_index + 1, self.log.last_index)
            self.log = ReplicatedLog(epoch, 0, 0, ClusterConfig(0, 0, {}))
            self.state_machine.load(b"")
            self.applied_index = self.committed_index = 0


class Unpersisted(ReplicaState):
    """A hard state is sent, but not persisted."""

    def persist_hard_state(self) -> None:
        pass


class CountsFromLearning(LeaseTable):
    """The holder counts from when it learned, not from when it asked."""

    def expires_at_us(self, grant: LeaseGrant) -> int:
        if super().expires_at_us(grant) == 0:
            return 0
        learned = self._learned.get(grant.name)
        return 0 if learned is None else learned.learned_at_us + grant.lease_us


class ShortGuard(LeaseTable):
    """The others wait for a part of the lease."""

    def guard_us(self, lease_us: int) -> int:
        return lease_us // 2


def faulty(name: str, part: type) -> Callable[[SimulationOptions], SimulationOptions]:
    core = type("Faulty", (ConsensusCore,), {name: part})
    return lambda made: dataclasses.replace(made, core_type=core)


def leasing(kind: type[LeaseTable]) -> Callable[[SimulationOptions], SimulationOptions]:
    return lambda made: dataclasses.replace(made, lease_table_type=kind)


def forgetful(made: SimulationOptions) -> SimulationOptions:
    return dataclasses.replace(made, reuses_incarnation=True)


CUTS = ScheduleShape(
    voter_counts=(3, 5),
    bootstrapped_probability=1.0,
    fault_counts=(4, 6, 8),
    fault_kinds=("halves", "alone", "pause", "mend"),
)
LASTING = dataclasses.replace(
    CUTS, durable_probability=1.0, fault_kinds=("crash", "halves", "alone", "mend", "come again")
)
AMNESIA = dataclasses.replace(
    CUTS,
    durable_probability=0.0,
    fault_kinds=("crash", "come again", "halves", "alone", "mend", "roll", "majority"),
)
LEASES = dataclasses.replace(
    CUTS,
    lease_counts=(60,),
    loss_probabilities=(0.2,),
    late_probabilities=(0.0,),
    max_delays_us=(5_000,),
    fault_kinds=("alone", "mend"),
    fault_counts=(2,),
)

# Schedules by hand, for what drawn ones seldom meet


def figure_8(seed: int, made: Callable[[SimulationOptions], SimulationOptions]) -> None:
    """Raft's figure 8: an entry of an earlier term on a majority, and a later one elsewhere that wins."""
    world = founded_world(seed=seed, made=made, seats=5, lasting=True)
    first = wait_for_leader(world, range(5)).peer
    second, third, fourth, fifth = (me for me in range(5) if me != first)
    world.partition([first, second], [third, fourth, fifth])
    world.propose(first, b"e" * 155)
    world.run_for(100_000)
    world.crash(first)
    late = wait_for_leader(world, (third, fourth, fifth)).peer
    rest = [me for me in (third, fourth, fifth) if me != late]
    # What it sent at its election arrives nowhere.
    world.partition([late], [second, *rest])
    world.crash(late)
    place = world.processes[second].core
    assert place is not None
    last = place._state.log.last_index

    def is_committed() -> bool:
        core = world.processes[second].core
        return core is not None and core.committed_index >= last

    assert world.run_for(20_000_000, is_committed)
    world.partition([second], [late, *rest])
    world.crash(second)
    world.start(late)
    world.run_for(3_000_000)
    world.heal()
    run_until_progress(world)


def read_at_old_leader(seed: int, made: Callable[[SimulationOptions], SimulationOptions]) -> None:
    """One that was cut off still leads, by its own account, when a new process asks it."""
    world = founded_world(seed=seed, made=made, seats=3, learners=1)
    old = wait_for_leader(world, range(3)).peer
    others = [me for me in range(3) if me != old]
    world.partition([old, 3], others)
    new = wait_for_leader(world, others)
    world.propose(new.peer, b"news")
    world.run_for(100_000, lambda: b"news" in new.recording.data)
    # The learner hears both, and happens to ask the old one.
    world.restart(3)
    world.run_for(400_000)
    world.heal()
    run_until_progress(world)


def initiator_dies(seed: int, made: Callable[[SimulationOptions], SimulationOptions]) -> None:
    """An initiator ends when others have heard of the new epoch, but have no log of it yet."""
    world = founded_world(seed=seed, made=made, seats=5)
    keepers = (3, 4)
    for me in range(3):
        world.restart(me)

    def is_announced() -> bool:
        states = [core._state for me in keepers if (core := world.processes[me].core) is not None]
        return any(
            state.promised_epoch.generation > 1 and state.has_epoch_started and state.role == "follower"
            for state in states
        )

    assert world.run_for(20_000_000, is_announced)
    world.restart(wait_for_leader(world, range(5)).peer)
    world.heal()
    run_until_progress(world)


def drawn(shape: ScheduleShape) -> Callable[[int, Callable[[SimulationOptions], SimulationOptions]], object]:
    return lambda seed, made: play_schedule(seed, shape, made)


LOST, ORDER, LEADER, VOTE = "nothing lost", "one order", "one leader", "one vote"
READ, APART = "no stale read", "leases apart"
# The fault, the schedules that look for it, and the invariants of which one breaks.
FAULTS = {
    "a vote without a majority": (
        faulty("election_type", VotesWithoutMajority),
        drawn(CUTS),
        {LEADER, LOST, ORDER},
    ),
    "a vote for any log": (faulty("election_type", AnyLog), drawn(CUTS), {LOST, ORDER}),
    "two votes in a term": (faulty("election_type", TwoVotesInATerm), drawn(CUTS), {VOTE}),
    "a promise that is not persisted": (faulty("state_type", Unpersisted), drawn(LASTING), {VOTE}),
    "amnesia forgotten": (forgetful, drawn(AMNESIA), {VOTE, LOST}),
    "an earlier term committed by counting": (faulty("leader_type", CommitsEarlierTerms), figure_8, {LOST}),
    "committed by one fewer than a majority": (
        faulty("leader_type", OneFewerThanMajority),
        drawn(CUTS),
        {ORDER, LOST},
    ),
    "many changes of the configuration at a time": (
        faulty("membership_type", RemovesSilentMembers),
        drawn(CUTS),
        {LEADER, LOST, ORDER},
    ),
    "a bootstrap without all": (faulty("bootstrap_type", BootstrapByMajority), drawn(AMNESIA), {LOST, ORDER}),
    "a bootstrap without the best log": (faulty("bootstrap_type", AnyInitiator), drawn(AMNESIA), {LOST}),
    "an old log given up too soon": (faulty("state_type", EarlyReplacement), initiator_dies, {LOST}),
    "a read of what comes first": (faulty("read_index_type", CaughtUpAtOnce), drawn(AMNESIA), {READ}),
    "a read that no majority confirmed": (faulty("read_index_type", Unconfirmed), read_at_old_leader, {READ}),
    "entries that do not follow": (faulty("follower_type", UncheckedAppend), drawn(CUTS), {ORDER}),
    "a snapshot that drops the last entry": (faulty("state_type", SnapshotWithoutLast), drawn(CUTS), {ORDER}),
    "a lease by the wrong clock": (leasing(CountsFromLearning), drawn(LEASES), {APART}),
    "a lease that others do not wait for": (leasing(ShortGuard), drawn(LEASES), {APART}),
}
BY_HAND = (figure_8, read_at_old_leader, initiator_dies)
SEEDS_MOST = 400


@pytest.mark.parametrize("fault", FAULTS)
def test_the_checker_finds(fault: str) -> None:
    made, schedule, names = FAULTS[fault]
    for seed in range(SEEDS_MOST):
        try:
            schedule(seed, made)
        except BrokenError as broken:
            assert broken.seed == seed
            if broken.name in names:
                return
    pytest.fail(f"not found: {fault}")


@pytest.mark.parametrize("schedule", BY_HAND)
def test_schedules_by_hand(
    schedule: Callable[[int, Callable[[SimulationOptions], SimulationOptions]], object],
) -> None:
    for seed in range(40):
        schedule(seed, lambda made: made)
