"""The agreed record under made schedules, and that the checker can fail: each fault put in is found."""

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
from laurelstep.testing.schedules import BrokenError, Made, Process, Shape, World, play
from laurelstep.testing.schedules.script import QUICK, founded, settle
from tests.once import once

pytestmark = once

# 10,000 seeds: about two minutes on one core in plain Python.
PER_CHUNK = 250
CHUNKS = 40


@pytest.mark.parametrize("chunk", range(CHUNKS))
def test_made_schedules(chunk: int) -> None:
    for seed in range(chunk * PER_CHUNK, (chunk + 1) * PER_CHUNK):
        play(seed)


def test_a_seed_is_one_schedule() -> None:
    first, second = play(11), play(11)
    assert (first.steps, first.sent, first.time) == (second.steps, second.sent, second.time)
    assert [one.tape.places for one in first.processes] == [one.tape.places for one in second.processes]


# Faults


class FewVotes(Election):
    """A vote without a majority."""

    def has_enough_votes(self, votes: Collection[int]) -> bool:
        return len(votes) >= len(self._state.log.config.members) // 2


class AnyLog(Election):
    """A vote for a log that is worse than the voter's."""

    def _is_up_to_date(self, message: RequestVoteRequest) -> bool:
        return True


class TwoVotes(Election):
    """A vote for each that asks."""

    def _may_vote_for(self, peer: int, message: RequestVoteRequest) -> bool:
        return True


class Counting(Leader):
    """An entry of an earlier term is agreed by counting who has it."""

    def may_commit(self, index: int) -> bool:
        return True


class OneShort(Leader):
    """Agreed by one fewer than a majority."""

    def majority_match_index(self) -> int:
        members = self._state.log.config.members
        marks = [self._state.log.last_index if seat == self._state.replica_id else -1 for seat in members]
        marks += [self.progress[seat].match_index for seat in members if self._tracks_member(seat)]
        marks.sort(reverse=True)
        return marks[max(0, len(members) // 2 - 1)]


class BySilence(MembershipManager):
    """All that are silent for a while are taken out at once: more than one at a time, without a question."""

    def on_heartbeat(self) -> None:
        super().on_heartbeat()
        members = self._state.log.config.members
        quiet = self._state.now_us - self._state.timing.election_timeout_us // 2
        silent = {seat for seat, one in self._leader.progress.items() if one.last_response_us < quiet}
        if self.may_change() and silent & set(members):
            self._leader.propose_config({seat: who for seat, who in members.items() if seat not in silent})


class NotAll(Bootstrap):
    """A founding by a majority of the seats."""

    def has_all_voters(self, voters: Collection[int]) -> bool:
        return 2 * len(voters) > self._state.voter_count

    def _evaluate(self) -> None:
        if self.has_all_voters(self._identities):
            for seat in range(self._state.voter_count):
                self._identities.setdefault(
                    seat, IdentityResponse(0, 0, NO_EPOCH, NO_EPOCH, 0, 0, 0, 0, [], False)
                )
        super()._evaluate()


class AnyFounder(Bootstrap):
    """The first seat founds, whatever others remember."""

    def _best_candidate(self) -> int:
        return 0

    def _position(self, message: object) -> LogPosition:
        return LogPosition(NO_EPOCH, 0, 0)


class FirstHeard(ReadIndexTracker):
    """A process takes the first that it hears for the record as it is."""

    def settle(self) -> None:
        super().settle()
        self._state.is_caught_up |= self._state.applied_index > 0


class Unconfirmed(ReadIndexTracker):
    """The leader answers a read at once, by what it has."""

    def confirmed_round(self) -> int:
        return self._leader.heartbeat_round + 1


class Blind(Follower):
    """Entries are taken without a look at what they follow."""

    def on_append_entries(self, peer: int, message: AppendEntriesRequest) -> None:
        log = self._state.log
        term = log.term_at(message.prev_log_index)
        if log.epoch == message.epoch and term is not None and message.term >= self._state.term:
            message = msgspec.structs.replace(message, prev_log_term=term)
        super().on_append_entries(peer, message)


class DropsLast(ReplicaState):
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


class Hasty(ReplicaState):
    """A newer era takes the log at once, before its snapshot is here."""

    def enter_epoch(self, epoch: ClusterEpoch) -> None:
        super().enter_epoch(epoch)
        if self.log.epoch != epoch:
            self._delete_entries(self.log.base_index + 1, self.log.last_index)
            self.log = ReplicatedLog(epoch, 0, 0, ClusterConfig(0, 0, {}))
            self.state_machine.load(b"")
            self.applied_index = self.committed_index = 0


class Unkept(ReplicaState):
    """A promise is sent, but not kept."""

    def persist_hard_state(self) -> None:
        pass


class FromLearning(LeaseTable):
    """The holder counts from when it learned, not from when it asked."""

    def expires_at_us(self, grant: LeaseGrant) -> int:
        if super().expires_at_us(grant) == 0:
            return 0
        learned = self._learned.get(grant.name)
        return 0 if learned is None else learned.learned_at_us + grant.lease_us


class Impatient(LeaseTable):
    """The others wait for a part of the lease."""

    def guard_us(self, lease_us: int) -> int:
        return lease_us // 2


def faulty(name: str, part: type) -> Callable[[Made], Made]:
    core = type("Faulty", (ConsensusCore,), {name: part})
    return lambda made: dataclasses.replace(made, core=core)


def leasing(kind: type[LeaseTable]) -> Callable[[Made], Made]:
    return lambda made: dataclasses.replace(made, leases=kind)


def forgetful(made: Made) -> Made:
    return dataclasses.replace(made, forgets_amnesia=True)


CUTS = Shape(seats=(3, 5), founded=1.0, faults=(4, 6, 8), kinds=("halves", "alone", "pause", "mend"))
LASTING = dataclasses.replace(CUTS, lasting=1.0, kinds=("crash", "halves", "alone", "mend", "come again"))
AMNESIA = dataclasses.replace(
    CUTS, lasting=0.0, kinds=("crash", "come again", "halves", "alone", "mend", "roll", "majority")
)
LEASES = dataclasses.replace(
    CUTS, leases=(60,), loss=(0.2,), late=(0.0,), delay_us=(5_000,), kinds=("alone", "mend"), faults=(2,)
)

# Schedules by hand, for what drawn ones seldom meet


def tier(
    seed: int, made: Callable[[Made], Made], seats: int, learners: int = 0, lasting: bool = False
) -> World:
    """A tier that has founded its record, with a leader and an entry."""
    plain = Made(seats, seats + learners, QUICK, lasting)
    world = World(made(plain), seed, founded(seats, seats + learners, QUICK.max_log_entries))
    settle(world)
    return world


def leader(world: World, among: Collection[int]) -> Process | None:
    return next((one for one in world.leaders() if one.me in among), None)


def until_led(world: World, among: Collection[int]) -> Process:
    assert world.run_for(20_000_000, lambda: leader(world, among) is not None)
    found = leader(world, among)
    assert found is not None
    return found


def figure_8(seed: int, made: Callable[[Made], Made]) -> None:
    """Raft's figure 8: an entry of an earlier term on a majority, and a later one elsewhere that wins."""
    world = tier(seed, made, seats=5, lasting=True)
    first = until_led(world, range(5)).me
    second, third, fourth, fifth = (me for me in range(5) if me != first)
    world.part([first, second], [third, fourth, fifth])
    world.propose(first, b"e" * 155)
    world.run_for(100_000)
    world.crash(first)
    late = until_led(world, (third, fourth, fifth)).me
    rest = [me for me in (third, fourth, fifth) if me != late]
    # What it sent at its election arrives nowhere.
    world.part([late], [second, *rest])
    world.crash(late)
    place = world.processes[second].core
    assert place is not None
    last = place._state.log.last_index

    def agreed() -> bool:
        core = world.processes[second].core
        return core is not None and core.committed_index >= last

    assert world.run_for(20_000_000, agreed)
    world.part([second], [late, *rest])
    world.crash(second)
    world.start(late)
    world.run_for(3_000_000)
    world.heal()
    settle(world)


def read_at_old_leader(seed: int, made: Callable[[Made], Made]) -> None:
    """One that was cut off still leads, by its own account, when a new process asks it."""
    world = tier(seed, made, seats=3, learners=1)
    old = until_led(world, range(3)).me
    others = [me for me in range(3) if me != old]
    world.part([old, 3], others)
    new = until_led(world, others)
    world.propose(new.me, b"news")
    world.run_for(100_000, lambda: b"news" in new.tape.data)
    # The learner hears both, and happens to ask the old one.
    world.restart(3)
    world.run_for(400_000)
    world.heal()
    settle(world)


def founder_dies(seed: int, made: Callable[[Made], Made]) -> None:
    """A founder ends when others have heard of the new era, but have no record of it yet."""
    world = tier(seed, made, seats=5)
    keepers = (3, 4)
    for me in range(3):
        world.restart(me)

    def heard() -> bool:
        states = [core._state for me in keepers if (core := world.processes[me].core) is not None]
        return any(
            state.promised_epoch.generation > 1 and state.has_epoch_started and state.role == "follower"
            for state in states
        )

    assert world.run_for(20_000_000, heard)
    world.restart(until_led(world, range(5)).me)
    world.heal()
    settle(world)


def drawn(shape: Shape) -> Callable[[int, Callable[[Made], Made]], object]:
    return lambda seed, made: play(seed, shape, made)


LOST, ORDER, LEADER, VOTE = "nothing lost", "one order", "one leader", "one vote"
READ, APART = "no stale read", "leases apart"
# The fault, the schedules that look for it, and the invariants of which one breaks.
FAULTS = {
    "a vote without a majority": (faulty("election_type", FewVotes), drawn(CUTS), {LEADER, LOST, ORDER}),
    "a vote for any log": (faulty("election_type", AnyLog), drawn(CUTS), {LOST, ORDER}),
    "two votes in a term": (faulty("election_type", TwoVotes), drawn(CUTS), {VOTE}),
    "a promise that is not kept": (faulty("state_type", Unkept), drawn(LASTING), {VOTE}),
    "amnesia forgotten": (forgetful, drawn(AMNESIA), {VOTE, LOST}),
    "an earlier term agreed by counting": (faulty("leader_type", Counting), figure_8, {LOST}),
    "agreed by one fewer than a majority": (faulty("leader_type", OneShort), drawn(CUTS), {ORDER, LOST}),
    "many changes of the config at a time": (
        faulty("membership_type", BySilence),
        drawn(CUTS),
        {LEADER, LOST, ORDER},
    ),
    "a founding without all": (faulty("bootstrap_type", NotAll), drawn(AMNESIA), {LOST, ORDER}),
    "a founding without the best log": (faulty("bootstrap_type", AnyFounder), drawn(AMNESIA), {LOST}),
    "an old log given up too soon": (faulty("state_type", Hasty), founder_dies, {LOST}),
    "a read of what comes first": (faulty("read_index_type", FirstHeard), drawn(AMNESIA), {READ}),
    "a read that no majority confirmed": (faulty("read_index_type", Unconfirmed), read_at_old_leader, {READ}),
    "entries that do not follow": (faulty("follower_type", Blind), drawn(CUTS), {ORDER}),
    "a snapshot that drops the last entry": (faulty("state_type", DropsLast), drawn(CUTS), {ORDER}),
    "a lease by the wrong clock": (leasing(FromLearning), drawn(LEASES), {APART}),
    "a lease that others do not wait for": (leasing(Impatient), drawn(LEASES), {APART}),
}
BY_HAND = (figure_8, read_at_old_leader, founder_dies)
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
def test_schedules_by_hand(schedule: Callable[[int, Callable[[Made], Made]], object]) -> None:
    for seed in range(40):
        schedule(seed, lambda made: made)
