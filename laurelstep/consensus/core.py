"""The consensus core: one replica of the log. No I/O: it takes the time and received datagrams, and returns
the datagrams to send and the records to persist.

It implements Raft (Ongaro and Ousterhout 2014; Ongaro's dissertation 2014) among voters that are identified
by their number and an incarnation. The rules are in the docstrings of the modules `log`, `state`, `election`,
`leader`, `follower`, `membership`, `bootstrap`, `snapshots`, `read_index` and `learner`.

1. Every call is one step. Its effects are carried out before the next step, `persist` before `outgoing`.
2. A message is handled according to its epoch. A message of an epoch older than the promised one is dropped,
   unless it releases a voter that has been frozen for too long (bootstrap.py, rule 7). A message of a newer
   epoch that is sent only in a started epoch (an append, a snapshot chunk or a vote request) moves this voter
   into that epoch.
3. No message from a peer raises an exception, and all state that is stored because of messages is bounded.

These invariants hold after every step. `laurelstep.testing.schedules` checks them under these names:

- one order: replicas apply the same entry at the same index of an epoch;
- nothing lost: committed entries are in the log of every later epoch, while a majority of the members that
  committed them keeps its state;
- one leader: at most one replica leads in a term of an epoch;
- one vote: an incarnation votes for at most one candidate in a term of an epoch;
- leases apart: no two processes hold the same lease at once, while clocks drift within the bound;
- no stale read: a replica that is caught up has applied all that was committed before it started;
- progress: once faults end, proposals are committed, and all replicas catch up.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Mapping
from typing import Any

from laurelstep.consensus import messages as m
from laurelstep.consensus.bootstrap import Bootstrap
from laurelstep.consensus.counters import ReplicaCounter
from laurelstep.consensus.effects import StepEffects
from laurelstep.consensus.election import Election
from laurelstep.consensus.epoch import NO_EPOCH, ClusterEpoch
from laurelstep.consensus.epoch_gate import EpochGate
from laurelstep.consensus.errors import EntryError
from laurelstep.consensus.follower import Follower
from laurelstep.consensus.leader import Leader
from laurelstep.consensus.learner import Learner
from laurelstep.consensus.learner_publisher import LearnerPublisher
from laurelstep.consensus.limits import MAX_LEADER_MESSAGE_BYTES
from laurelstep.consensus.membership import MembershipManager
from laurelstep.consensus.ports import StateMachine
from laurelstep.consensus.read_index import ReadIndexTracker
from laurelstep.consensus.state import ReplicaRole, ReplicaState
from laurelstep.consensus.stored_state import ReplicaIdentity
from laurelstep.consensus.timing import NEVER_US, ConsensusTiming

__all__ = ["ConsensusCore"]


class ConsensusCore:
    """One replica. Every step takes the time in µs and returns the effects to carry out.

    `due_us` is the time at which `tick` must be called next (NEVER_US: not at all); it changes with every
    step. `incarnation` may change too, if the replica continues as another one (bootstrap.py, rule 7), so
    callers must read it each time.
    """

    # The classes of the parts. Tests replace them to inject faults.
    state_type = ReplicaState
    election_type = Election
    leader_type = Leader
    follower_type = Follower
    membership_type = MembershipManager
    bootstrap_type = Bootstrap
    read_index_type = ReadIndexTracker
    publisher_type = LearnerPublisher
    learner_type = Learner

    def __init__(
        self,
        replica_id: int,
        peer_count: int,
        voter_count: int,
        incarnation: int,
        state_machine: StateMachine,
        timing: ConsensusTiming,
        rng: random.Random,
        records: Mapping[bytes, bytes] | None = None,
    ) -> None:
        """Replicas with an id below `voter_count` are voters, the others are learners.

        `incarnation`: 64 random bits for a start with an empty state; if `records` holds stored state, its
        incarnation is used instead. `rng` supplies incarnations, epoch ids and nonces; in production its seed
        comes from the operating system. Raises StoredStateError.
        """
        identity = ReplicaIdentity(replica_id, peer_count, voter_count, incarnation)
        self._state = self.state_type(identity, state_machine, timing, rng)
        self._state.restore(records or {})
        self._leader = self.leader_type(self._state)
        self._follower = self.follower_type(self._state)
        self._membership = self.membership_type(self._state, self._leader)
        self._read_index = self.read_index_type(self._state, self._leader)
        self._election = self.election_type(self._state, self._assume_leadership)
        self._bootstrap = self.bootstrap_type(self._state, self._assume_leadership)
        self._publisher = self.publisher_type(self._state)
        self._learner = self.learner_type(self._state)
        self._epoch_gate = EpochGate(self._state, self._bootstrap, self._read_index)
        self._is_retired = False
        self.due_us = NEVER_US
        self._handlers = self._handlers_by_type()

    def _handlers_by_type(self) -> dict[type, Callable[[int, Any], None]]:
        return {
            m.IdentityRequest: self._on_identity_request,
            m.IdentityResponse: self._on_identity_response,
            m.BootstrapRequest: self._bootstrap.on_bootstrap_request,
            m.BootstrapResponse: self._bootstrap.on_bootstrap_response,
            m.RequestVoteRequest: self._on_request_vote,
            m.RequestVoteResponse: self._election.on_vote_response,
            m.AppendEntriesRequest: self._on_append_entries,
            m.AppendEntriesResponse: self._on_append_response,
            m.InstallSnapshotRequest: self._on_install_snapshot,
            m.InstallSnapshotResponse: self._on_snapshot_response,
            m.LearnerPoll: self._on_learner_poll,
            m.LearnerUpdate: self._on_learner_update,
            m.ReadIndexRequest: self._read_index.on_request,
            m.ReadIndexResponse: self._read_index.on_response,
            m.LeaderMessage: self._on_leader_message,
        }

    # Status

    @property
    def replica_id(self) -> int:
        """The number of this replica in the list of peers."""
        return self._state.replica_id

    @property
    def role(self) -> ReplicaRole:
        """The role of this replica in its epoch."""
        return self._state.role

    @property
    def leader_id(self) -> int | None:
        """The replica id of the leader, None if unknown."""
        return self._state.leader_id

    @property
    def term(self) -> int:
        """The current term in the promised epoch."""
        return self._state.term

    @property
    def epoch(self) -> ClusterEpoch:
        """The epoch of this replica's log.

        It is NO_EPOCH although entries are applied if a learner has discarded the log of an epoch that has
        ended and has not received that of the new epoch yet.
        """
        return self._state.log.epoch

    @property
    def committed_index(self) -> int:
        """The highest index that this replica knows to be committed."""
        return self._state.committed_index

    @property
    def applied_index(self) -> int:
        """The highest index that this replica has applied."""
        return self._state.applied_index

    @property
    def is_caught_up(self) -> bool:
        """Whether this replica has applied all that was committed before it started (read_index.py)."""
        return self._state.is_caught_up

    @property
    def incarnation(self) -> int:
        """The random number that identifies this replica since it last started with an empty state."""
        return self._state.incarnation

    @property
    def members(self) -> dict[int, int]:
        """The voting members, as voter id to incarnation."""
        return dict(self._state.log.config.members)

    @property
    def log_entry_count(self) -> int:
        """The number of entries in the log, not counting those that only the snapshot covers."""
        return len(self._state.log.entries)

    @property
    def counters(self) -> Counter[str]:
        """The event counters (counters.py), for operators."""
        return self._state.counters

    @property
    def on_leader_message(self) -> Callable[[int, int, bytes], None]:
        """Called with each leader message while this replica leads: peer, incarnation, data.

        Like the state machine, it is called within a step, so it must not start another step itself.
        """
        return self._state.on_leader_message

    @on_leader_message.setter
    def on_leader_message(self, callback: Callable[[int, int, bytes], None]) -> None:
        """Replace the callback for leader messages."""
        self._state.on_leader_message = callback

    def has_leader_contact(self, now_us: int) -> bool:
        """Whether a leader that a majority follows was heard from recently. False once retired."""
        return not self._is_retired and self._state.has_leader_contact(now_us)

    # Steps

    def start(self, now_us: int) -> StepEffects:
        """Start the replica. Called once, before any other step."""
        self._begin_step(now_us)
        state = self._state
        state.last_leader_contact_us = state.frozen_at_us = now_us
        if state.is_voter:
            state.persist_identity()
            if state.role != ReplicaRole.FROZEN:
                state.reset_election_timer()
        return self._end_step()

    def receive(self, now_us: int, peer: int, raw: bytes) -> StepEffects:
        """Handle a datagram. Never raises: datagrams that are not valid messages are dropped and counted."""
        self._begin_step(now_us)
        state = self._state
        message = m.decode(raw)
        if self._is_retired:
            pass
        elif not 0 <= peer < state.peer_count or peer == state.replica_id:
            state.counters[ReplicaCounter.FOREIGN_SENDER] += 1
        elif message is None:
            is_known_version = raw[:1] <= bytes((m.PROTOCOL_VERSION,))
            drop_counter = ReplicaCounter.UNREADABLE if is_known_version else ReplicaCounter.FUTURE_VERSION
            state.counters[drop_counter] += 1
        else:
            self._handlers[type(message)](peer, message)
        return self._end_step()

    def tick(self, now_us: int) -> StepEffects:
        """Do the timed work that is due. Calling it early has no effect."""
        self._begin_step(now_us)
        if self._is_retired:
            return self._end_step()
        if self._state.now_us >= self._leader.due_us():
            self._leader.heartbeat()
            self._membership.on_heartbeat()
        self._election.tick()
        self._bootstrap.tick()
        self._read_index.tick()
        self._publisher.resend()
        self._learner.tick()
        return self._end_step()

    def propose(self, now_us: int, data: bytes) -> StepEffects:
        """Append an entry, as the leader.

        Raises NotLeaderError, BusyError, or EntryError if it is too long.
        """
        self._begin_step(now_us)
        index = self._leader.propose(data)
        effects = self._end_step()
        effects.entry_index = index
        return effects

    def send_to_leader(self, now_us: int, data: bytes, epoch: ClusterEpoch | None = None) -> StepEffects:
        """Send a small message to the current leader; it may be lost. Raises EntryError if it is too long.

        `epoch`: the epoch of the log that the message refers to, by default the current one. A leader of
        another epoch does not receive the message, because its log has other entries at the same indexes.
        """
        if len(data) > MAX_LEADER_MESSAGE_BYTES:
            raise EntryError(f"a message of {len(data)} bytes, the limit is {MAX_LEADER_MESSAGE_BYTES}")
        self._begin_step(now_us)
        state = self._state
        if epoch is not None and epoch != state.log.epoch:
            state.counters[ReplicaCounter.LEADER_MESSAGES_LOST] += 1
        elif state.role == ReplicaRole.LEADER:
            state.on_leader_message(state.replica_id, state.incarnation, data)
        elif state.leader_id is not None:
            state.send(state.leader_id, m.LeaderMessage(state.log.epoch, state.incarnation, data))
        else:
            state.counters[ReplicaCounter.LEADER_MESSAGES_LOST] += 1
        return self._end_step()

    def retire(self) -> dict[bytes, bytes]:
        """Stop permanently: later steps do nothing.

        Returns the records for a successor that continues as the same incarnation.
        """
        self._is_retired = True
        self.due_us = NEVER_US
        state = self._state
        if state.role == ReplicaRole.LEADER:
            state.become_follower(None)
        return state.dump_records()

    def _begin_step(self, now_us: int) -> None:
        state = self._state
        state.now_us = max(state.now_us, now_us)
        state.effects = StepEffects()

    def _end_step(self) -> StepEffects:
        state = self._state
        if self._is_retired:
            return StepEffects()
        self._read_index.advance()
        if state.effects.state_changed and state.is_voter:
            if state.role == ReplicaRole.LEADER:
                self._leader.replicate_pending()
            self._publisher.push()
        self.due_us = min(
            self._leader.due_us(),
            self._election.due_us(),
            self._bootstrap.due_us(),
            self._read_index.due_us(),
            self._publisher.due_us(),
            self._learner.due_us(),
        )
        return state.effects

    def _assume_leadership(self) -> None:
        self._bootstrap.cancel()
        self._read_index.on_leadership()
        self._membership.reset()
        self._leader.assume_leadership()

    # Message handlers

    def _on_identity_request(self, peer: int, message: m.IdentityRequest) -> None:
        if self._state.is_voter and peer < self._state.voter_count:
            self._state.send(peer, self._bootstrap.identity(message.nonce))

    def _on_identity_response(self, peer: int, message: m.IdentityResponse) -> None:
        if self._state.role == ReplicaRole.LEADER:
            self._membership.on_identity_response(peer, message)
        else:
            self._bootstrap.on_identity_response(peer, message)

    def _on_request_vote(self, peer: int, message: m.RequestVoteRequest) -> None:
        if self._epoch_gate.admit(peer, message):
            self._election.on_vote_request(peer, message)

    def _on_append_entries(self, peer: int, message: m.AppendEntriesRequest) -> None:
        if self._epoch_gate.admit(peer, message):
            self._follower.on_append_entries(peer, message)

    def _on_install_snapshot(self, peer: int, message: m.InstallSnapshotRequest) -> None:
        if not self._state.is_voter:
            if self._epoch_gate.is_recipient(message):
                self._learner.on_install_snapshot(peer, message)
        elif self._epoch_gate.admit(peer, message):
            self._follower.on_install_snapshot(peer, message)

    def _on_append_response(self, peer: int, message: m.AppendEntriesResponse) -> None:
        if message.epoch == self._state.promised_epoch:
            self._leader.on_append_response(peer, message)

    def _on_snapshot_response(self, peer: int, message: m.InstallSnapshotResponse) -> None:
        if peer >= self._state.voter_count:
            self._publisher.on_snapshot_response(peer, message)
        elif message.epoch == self._state.promised_epoch:
            self._leader.on_snapshot_response(peer, message)

    def _on_learner_poll(self, peer: int, message: m.LearnerPoll) -> None:
        if self._state.is_voter and peer >= self._state.voter_count:
            self._publisher.on_poll(peer, message)

    def _on_learner_update(self, peer: int, message: m.LearnerUpdate) -> None:
        state = self._state
        if not state.is_voter and peer < state.voter_count and self._epoch_gate.is_recipient(message):
            self._learner.on_update(peer, message)

    def _on_leader_message(self, peer: int, message: m.LeaderMessage) -> None:
        state = self._state
        if state.role == ReplicaRole.LEADER and message.epoch in (NO_EPOCH, state.log.epoch):
            state.on_leader_message(peer, message.incarnation, message.data)
        else:
            state.counters[ReplicaCounter.LEADER_MESSAGES_LOST] += 1
