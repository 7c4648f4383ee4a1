"""The state of one replica, and the operations that change it. No I/O.

1. `promised_epoch` is the epoch that this replica takes part in. It only grows, except by rule 7 of
   bootstrap.py. `log` may still belong to an older epoch: it is kept until the first snapshot of the new
   epoch is complete.
2. A replica is frozen while its promised epoch is not known to have started. A frozen replica leaves its log
   unchanged, neither votes nor campaigns, and accepts nothing from older epochs.
3. A vote is persisted before it is sent. It is given to one incarnation, in one term of one epoch.
4. Committed entries are applied in order and once. `applied_index` decreases only when a snapshot of a newer
   epoch is installed.
5. The log is bounded: after `max_log_entries` applied entries a snapshot is taken, and only a quarter of them
   is kept.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping
from enum import StrEnum

from laurelstep.consensus import stored_state
from laurelstep.consensus.counters import ReplicaCounter
from laurelstep.consensus.effects import StepEffects
from laurelstep.consensus.epoch import NO_EPOCH, ClusterEpoch
from laurelstep.consensus.errors import StoredStateError
from laurelstep.consensus.log import ClusterConfig, ReplicatedLog
from laurelstep.consensus.messages import EntryKind, LogEntry, Message, encode
from laurelstep.consensus.ports import StateMachine
from laurelstep.consensus.snapshots import Snapshot
from laurelstep.consensus.stored_state import HardState, LogBase, ReplicaIdentity
from laurelstep.consensus.timing import NEVER_US, ConsensusTiming

__all__ = ["ReplicaRole", "ReplicaState"]


class ReplicaRole(StrEnum):
    """The role of a replica in its epoch. The values are shown to operators."""

    LEADER = "leader"
    CANDIDATE = "candidate"
    FOLLOWER = "follower"
    FROZEN = "frozen"
    LEARNER = "learner"


def _ignore_leader_message(peer: int, incarnation: int, data: bytes) -> None:
    """Drop a leader message: used until a callback is set."""


class ReplicaState:
    """The state that the parts of the core share. See the rules of the module."""

    def __init__(
        self,
        identity: ReplicaIdentity,
        state_machine: StateMachine,
        timing: ConsensusTiming,
        rng: random.Random,
    ) -> None:
        """Replicas whose id is below the identity's `voter_count` are voters, the others are learners."""
        self.replica_id = identity.replica_id
        self.peer_count = identity.peer_count
        self.voter_count = identity.voter_count
        self.incarnation = identity.incarnation
        self.state_machine = state_machine
        self.timing = timing
        self.rng = rng

        self.promised_epoch: ClusterEpoch = NO_EPOCH
        self.has_epoch_started = True
        self.frozen_at_us = 0
        self.term = 0
        self.voted_for: tuple[int, int] | None = None
        self.log = ReplicatedLog()
        self.snapshot: Snapshot | None = None
        self.committed_index = 0
        self.applied_index = 0

        self.role = ReplicaRole.FOLLOWER if self.is_voter else ReplicaRole.LEARNER
        self.leader_id: int | None = None
        # When the last message of a leader of this epoch arrived.
        self.last_leader_contact_us = 0
        # When a follower or candidate that has no leader starts an election.
        self.election_deadline_us = NEVER_US
        # Whether all that was committed before this replica started is applied (read_index.py).
        self.is_caught_up = False
        # Whether a learner heard of a leader in an older epoch than its own, so that one of the two has
        # ended.
        self.is_epoch_uncertain = False
        self.on_leader_message: Callable[[int, int, bytes], None] = _ignore_leader_message

        self.now_us = 0
        self.effects = StepEffects()
        self.counters: Counter[str] = Counter()

    # Identity

    @property
    def is_voter(self) -> bool:
        """Whether this replica is a voter.

        It votes only while the configuration has its incarnation as a member.
        """
        return self.replica_id < self.voter_count

    @property
    def other_voters(self) -> list[int]:
        """The replica ids of the other voters."""
        return [voter_id for voter_id in range(self.voter_count) if voter_id != self.replica_id]

    @property
    def has_current_log(self) -> bool:
        """Whether the log belongs to the promised epoch, and that epoch has started."""
        return self.has_epoch_started and self.log.epoch == self.promised_epoch != NO_EPOCH

    def has_leader_contact(self, now_us: int) -> bool:
        """Whether a leader that a majority follows was heard from recently."""
        if self.leader_id is None:
            return False
        timing = self.timing
        limit_us = 2 * timing.election_timeout_us if self.is_voter else 3 * timing.learner_poll_us
        return now_us - self.last_leader_contact_us <= limit_us

    # Effects

    def send(self, peer: int, message: Message) -> None:
        """Queue a message, to be sent once this step's records are durable."""
        self.effects.outgoing.append((peer, encode(message)))

    def _persist(self, key: bytes, record: HardState | ReplicaIdentity | LogBase | LogEntry) -> None:
        self.effects.persist[key] = stored_state.encode_record(record)

    def persist_hard_state(self) -> None:
        """Persist the promised epoch, the term and the vote."""
        hard_state = HardState(self.promised_epoch, self.has_epoch_started, self.term, self.voted_for)
        self._persist(stored_state.HARD_STATE_KEY, hard_state)

    def persist_identity(self) -> None:
        """Persist the identity of the replica that the records belong to."""
        identity = ReplicaIdentity(self.replica_id, self.peer_count, self.voter_count, self.incarnation)
        self._persist(stored_state.IDENTITY_KEY, identity)

    def _persist_log_base(self) -> None:
        if self.snapshot is None:
            return
        config = self.log.base_config
        base = LogBase(
            self.log.epoch,
            self.log.base_index,
            self.log.base_term,
            config.index,
            config.term,
            sorted(config.members.items()),
            self.snapshot.index,
            self.snapshot.term,
            self.snapshot.payload,
        )
        self._persist(stored_state.LOG_BASE_KEY, base)

    def _delete_entries(self, first_index: int, last_index: int) -> None:
        for index in range(first_index, last_index + 1):
            self.effects.persist[stored_state.entry_key(index)] = None

    # Epochs, terms and roles

    def reset_election_timer(self) -> None:
        """Restart the election timer with a random duration of one to two election timeouts."""
        timeout_us = self.timing.election_timeout_us
        self.election_deadline_us = self.now_us + timeout_us + self.rng.randrange(timeout_us)

    def become_follower(self, leader_id: int | None) -> None:
        """Follow a leader that was heard from, or wait for one if `leader_id` is None."""
        self.role = ReplicaRole.FOLLOWER
        self.leader_id = leader_id
        if leader_id is not None:
            self.last_leader_contact_us = self.now_us
        self.reset_election_timer()

    def enter_term(self, term: int) -> None:
        """Enter a later term of this epoch, without a vote or a leader."""
        self.term, self.voted_for = term, None
        self.persist_hard_state()
        self.become_follower(None)

    def enter_epoch(self, epoch: ClusterEpoch) -> None:
        """Enter an epoch that is known to have started."""
        if epoch != self.promised_epoch:
            self.promised_epoch, self.term, self.voted_for = epoch, 0, None
            self.is_caught_up = False
        self.has_epoch_started = True
        self.persist_hard_state()
        self.become_follower(None)

    def freeze(self, epoch: ClusterEpoch) -> None:
        """Promise an epoch that is not known to have started (rule 2)."""
        self.promised_epoch, self.term, self.voted_for = epoch, 0, None
        self.has_epoch_started = False
        self.is_caught_up = False  # must catch up again in the new epoch: read_index.py, rule 3
        self.frozen_at_us = self.now_us
        self.role = ReplicaRole.FROZEN
        self.leader_id = None
        self.election_deadline_us = NEVER_US
        self.persist_hard_state()

    # Log

    def append_new(self, kind: EntryKind, data: bytes) -> int:
        """Append an entry with the current term, and return its index."""
        return self.append_entry(LogEntry(self.term, kind, data))

    def append_entry(self, entry: LogEntry) -> int:
        """Append and persist an entry, and return its index."""
        index = self.log.append(entry)
        self._persist(stored_state.entry_key(index), entry)
        return index

    def truncate_after(self, index: int) -> None:
        """Remove all entries after an index."""
        self._delete_entries(index + 1, self.log.last_index)
        self.log.truncate_after(index)

    def commit_to(self, index: int) -> None:
        """Mark the entries up to an index as committed and apply them; compact the log if it is too long."""
        index = min(index, self.log.last_index)
        if index <= self.committed_index:
            return
        self.committed_index = index
        self.apply_to(index)
        if self.applied_index - self.log.base_index >= self.timing.max_log_entries:
            self.compact()

    def apply_to(self, index: int) -> None:
        """Apply the log's entries up to an index."""
        while self.applied_index < index:
            self.applied_index += 1
            entry = self.log.entry(self.applied_index)
            if entry.kind == EntryKind.DATA:
                self.state_machine.apply(self.applied_index, entry.data)
        self.effects.state_changed = True

    def compact(self) -> None:
        """Take a snapshot of the applied state, and drop most of the entries that it covers (rule 5)."""
        term = self.log.term_at(self.applied_index)
        assert term is not None
        config = self.log.config_at(self.applied_index)
        dump = self.state_machine.dump()
        self.snapshot = Snapshot.create(self.log.epoch, self.applied_index, term, config, dump)
        old_base = self.log.base_index
        self.log.compact_to(max(old_base, self.applied_index - self.timing.max_log_entries // 4))
        self._delete_entries(old_base + 1, self.log.base_index)
        self._persist_log_base()

    def install_snapshot(self, snapshot: Snapshot) -> None:
        """Replace the state with a received snapshot. Raises msgspec.DecodeError and then changes nothing."""
        epoch = snapshot.epoch
        config, dump = snapshot.decode()
        if epoch == self.log.epoch and self.log.term_at(snapshot.index) == snapshot.term:
            # The entries after the snapshot's index belong to the same log and are kept.
            old_base = self.log.base_index
            self.log.compact_to(snapshot.index)
            self._delete_entries(old_base + 1, self.log.base_index)
        else:
            self._delete_entries(self.log.base_index + 1, self.log.last_index)
            self.log = ReplicatedLog(epoch, snapshot.index, snapshot.term, config)
        self.state_machine.load(dump)
        self.snapshot = snapshot
        self.applied_index = self.committed_index = snapshot.index
        self.effects.state_changed = True
        self._persist_log_base()

    def discard_epoch(self) -> None:
        """Leave an ended epoch as a learner, although no greater epoch exists (learner.py, rule 6)."""
        self.log = ReplicatedLog()
        self.promised_epoch, self.is_caught_up = NO_EPOCH, False
        self.counters[ReplicaCounter.EPOCHS_DISCARDED] += 1

    def start_epoch(self, epoch: ClusterEpoch, members: Mapping[int, int]) -> None:
        """Start a new epoch.

        Its first snapshot is the state with the complete log applied (bootstrap.py, rule 6).
        """
        self.apply_to(self.log.last_index)
        index = self.applied_index
        config = ClusterConfig(index, 0, dict(members))
        self._delete_entries(self.log.base_index + 1, self.log.last_index)
        self.log = ReplicatedLog(epoch, index, 0, config)
        self.snapshot = Snapshot.create(epoch, index, 0, config, self.state_machine.dump())
        self.committed_index = index
        self.has_epoch_started = True
        self.term, self.voted_for = 1, (self.replica_id, self.incarnation)
        self.is_caught_up = False
        self.persist_hard_state()
        self._persist_log_base()

    # Stored state

    def restore(self, records: Mapping[bytes, bytes]) -> None:
        """Continue from stored records, if there are any.

        Raises StoredStateError if they are malformed or belong to another replica.
        """
        identity = stored_state.read_record(records, stored_state.IDENTITY_KEY, ReplicaIdentity)
        if identity is None:
            return
        self._check_owner(identity)
        self.incarnation = identity.incarnation
        hard_state = stored_state.read_record(records, stored_state.HARD_STATE_KEY, HardState)
        if hard_state is not None:
            self.promised_epoch, self.term = hard_state.promised_epoch, hard_state.term
            self.has_epoch_started, self.voted_for = hard_state.has_epoch_started, hard_state.voted_for
        base = stored_state.read_record(records, stored_state.LOG_BASE_KEY, LogBase)
        if base is not None:
            self.log, self.snapshot = stored_state.load_log(records, base)
            self.state_machine.load(self.snapshot.decode()[1])
            self.applied_index = self.committed_index = self.snapshot.index
        if self.is_voter and not self.has_epoch_started:
            self.role = ReplicaRole.FROZEN

    def _check_owner(self, identity: ReplicaIdentity) -> None:
        owner = (identity.replica_id, identity.peer_count, identity.voter_count)
        if owner != (self.replica_id, self.peer_count, self.voter_count):
            raise StoredStateError(
                f"stored by peer {owner[0]} of {owner[1]} with {owner[2]} voters, "
                f"not by peer {self.replica_id} of {self.peer_count} with {self.voter_count}"
            )

    def dump_records(self) -> dict[bytes, bytes]:
        """Return all records, for a successor that continues as the same incarnation."""
        self.effects = StepEffects()
        self.persist_identity()
        self.persist_hard_state()
        if self.log.epoch != NO_EPOCH:
            if not self.is_voter:
                self._snapshot_for_learner()
            self._persist_log_base()
        for index in range(self.log.base_index + 1, self.log.last_index + 1):
            self._persist(stored_state.entry_key(index), self.log.entry(index))
        return {key: value for key, value in self.effects.persist.items() if value is not None}

    def _snapshot_for_learner(self) -> None:
        """Replace the log with a snapshot, since a learner applies entries without logging them."""
        index = self.applied_index
        self.log = ReplicatedLog(self.log.epoch, index, 0)
        self.snapshot = Snapshot.create(self.log.epoch, index, 0, self.log.config, self.state_machine.dump())
