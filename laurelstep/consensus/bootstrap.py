"""Bootstrap: starts an epoch at the first start, and after a majority of the voters lost their state. No I/O.

1. A voter that has heard from no leader for a while requests the identity of all voters, with a nonce. There
   is no bootstrap unless all of them answer, because a voter that is merely partitioned may hold committed
   entries.
2. There is no bootstrap while any voter is in contact with a leader. Nor is there one while a majority of the
   newest configuration known to any voter still runs as the incarnations that this configuration names, and
   may vote: then an election is enough.
3. The voter with the most up-to-date log initiates the bootstrap; among equals, the one with the lowest
   replica id. It draws an epoch of a higher generation than any promised one, and asks each voter to leave
   its old epoch permanently. A voter that accepts freezes: it keeps its log unchanged, and reports the log's
   position.
4. A voter accepts an epoch if it is greater than any epoch that it has promised, the request names the
   voter's own incarnation, and the voter is not in contact with a leader. The promise is persisted before it
   is sent.
5. Once all have accepted, the initiator asks all of them again, with a new nonce. The epoch starts only if
   all accept in both rounds. Then all voter processes were frozen together at the start of the second round,
   so none could commit anything in an older epoch, not even a process that had restarted with an empty state
   after its predecessor accepted. (With a single round, voters could one after the other accept, end, restart
   and be added to the old epoch, while the initiator still counted the acceptances of their predecessors.)
6. An initiator whose log is not at least as up to date as every frozen voter's log cancels, and the voter
   with the best log initiates the next bootstrap. The new epoch starts with the initiator's complete log,
   applied, as its snapshot. Its members are all voters, as the incarnations that answered. So committed
   entries are kept as long as one member of the majority that committed them keeps its state.
7. A failed bootstrap leaves voters frozen in an epoch that never starts. A greater epoch releases them. So
   does a leader of an older epoch, not older than the voter's log, if the voter hears from it after the
   longest time that a bootstrap may take. The voter then restarts as another incarnation with its existing
   log. For the other replicas this is a crash and a restart, which rules 3 to 6 allow for.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from laurelstep.consensus.counters import ReplicaCounter
from laurelstep.consensus.election import has_majority
from laurelstep.consensus.epoch import NO_EPOCH, ClusterEpoch
from laurelstep.consensus.log import LogPosition
from laurelstep.consensus.messages import (
    BootstrapRequest,
    BootstrapResponse,
    IdentityRequest,
    IdentityResponse,
)
from laurelstep.consensus.state import ReplicaRole, ReplicaState
from laurelstep.consensus.timing import NEVER_US

__all__ = ["Bootstrap"]


class Bootstrap:
    """Starts a new epoch if no election can succeed. See the rules of the module."""

    def __init__(self, state: ReplicaState, on_started: Callable[[], None]) -> None:
        """`on_started` is called when this replica has started an epoch, which it then leads."""
        self._state = state
        self._on_started = on_started
        self._earliest_probe_at_us = 0
        # The request to all voters that is in progress: its nonce, when it is repeated and when it is
        # abandoned.
        self._nonce: int | None = None
        self._resend_at_us = NEVER_US
        self._abandon_at_us = NEVER_US
        self._identities: dict[int, IdentityResponse] = {}
        # The bootstrap in progress: the epoch, the voters' incarnations, the voters that accepted in this
        # round, and which round it is.
        self._epoch: ClusterEpoch | None = None
        self._incarnations: list[int] = []
        self._accepted: set[int] = set()
        self._is_second_round = False

    def due_us(self) -> int:
        """Return the time at which `tick` must be called, in µs; NEVER_US if not at all."""
        state = self._state
        if not state.is_voter or state.role == ReplicaRole.LEADER:
            return NEVER_US
        if self._nonce is not None:
            return min(self._resend_at_us, self._abandon_at_us)
        return max(self._earliest_probe_at_us, state.last_leader_contact_us + self._probe_delay_us())

    def _probe_delay_us(self) -> int:
        """Return how long to wait for a leader before probing, in µs.

        The wait is shorter for a replica without a log, which can't lose entries by a bootstrap.
        """
        timing = self._state.timing
        has_log = self._state.log.epoch != NO_EPOCH
        return timing.bootstrap_timeout_us if has_log else timing.election_timeout_us

    def tick(self) -> None:
        """Probe the voters, repeat the request or cancel the bootstrap, whichever is due."""
        state = self._state
        if state.now_us < self.due_us():
            return
        if self._nonce is None:
            self._probe()
        elif state.now_us >= self._abandon_at_us:
            self.cancel()
        else:
            self._resend()

    def cancel(self) -> None:
        """Cancel the probe or bootstrap in progress, and probe again after a random delay."""
        state = self._state
        self._nonce = self._epoch = None
        delay_us = state.timing.election_timeout_us
        self._earliest_probe_at_us = state.now_us + delay_us + state.rng.randrange(delay_us)

    def _start_request(self) -> None:
        """Send a new request to all voters, which is abandoned after an election timeout."""
        state = self._state
        self._nonce = state.rng.getrandbits(64)
        self._abandon_at_us = state.now_us + state.timing.election_timeout_us
        self._resend()

    def _resend(self) -> None:
        """Send the request to the voters that have not answered it."""
        state = self._state
        assert self._nonce is not None
        self._resend_at_us = state.now_us + state.timing.heartbeat_us
        for voter_id in state.other_voters:
            if self._epoch is None:
                if voter_id not in self._identities:
                    state.send(voter_id, IdentityRequest(self._nonce))
            elif voter_id not in self._accepted:
                state.send(voter_id, BootstrapRequest(self._epoch, self._nonce, self._incarnations))

    # Probing the voters (rules 1 and 2)

    def _probe(self) -> None:
        state = self._state
        self._epoch = None
        self._identities = {state.replica_id: self.identity(0)}
        self._start_request()
        self._evaluate()

    def identity(self, nonce: int) -> IdentityResponse:
        """Return this replica's identity, as the response to a request with that nonce."""
        state = self._state
        log = state.log
        return IdentityResponse(
            nonce,
            state.incarnation,
            state.promised_epoch,
            log.epoch,
            log.last_term,
            log.last_index,
            log.config.term,
            log.config.index,
            sorted(log.config.members.items()),
            state.has_leader_contact(state.now_us),
        )

    def on_identity_response(self, peer: int, message: IdentityResponse) -> None:
        """Store the identity of a voter, and decide on a bootstrap once all are known."""
        is_awaited = self._epoch is None and message.nonce == self._nonce
        if not is_awaited or peer >= self._state.voter_count:
            return
        self._identities[peer] = message
        self._evaluate()

    def _evaluate(self) -> None:
        if not self.has_all_voters(self._identities):
            return
        if self._is_bootstrap_unnecessary() or self._best_candidate() != self._state.replica_id:
            self.cancel()
        else:
            self._initiate()

    def has_all_voters(self, voters: Collection[int]) -> bool:
        """Whether `voters` contains every voter."""
        return len(voters) == self._state.voter_count

    def _is_bootstrap_unnecessary(self) -> bool:
        """Whether there is a leader, or an election can succeed (rule 2)."""
        identities = self._identities
        if any(identity.has_leader_contact for identity in identities.values()):
            return True
        newest = max(
            identities.values(),
            key=lambda identity: (identity.log_epoch, identity.config_term, identity.config_index),
        )
        members = dict(newest.members)
        available_voters = {
            voter_id
            for voter_id, incarnation in members.items()
            if identities[voter_id].incarnation == incarnation
            and identities[voter_id].promised_epoch == newest.log_epoch
        }
        return bool(members) and has_majority(members, available_voters)

    def _best_candidate(self) -> int:
        """Return the voter that must initiate the bootstrap (rule 3)."""
        identities = self._identities
        return max(identities, key=lambda voter_id: (self._position(identities[voter_id]), -voter_id))

    def _position(self, message: IdentityResponse | BootstrapResponse) -> LogPosition:
        """Return the position of the sender's log."""
        return LogPosition(message.log_epoch, message.last_log_term, message.last_log_index)

    # Starting the epoch (rules 3 to 6)

    def _initiate(self) -> None:
        """Freeze this replica, and ask all voters to accept a new epoch."""
        state = self._state
        identities = self._identities
        generation = max(identity.promised_epoch.generation for identity in identities.values()) + 1
        self._incarnations = [identities[voter_id].incarnation for voter_id in range(state.voter_count)]
        self._epoch = ClusterEpoch(generation, state.rng.getrandbits(64))
        state.counters[ReplicaCounter.BOOTSTRAPS_INITIATED] += 1
        state.freeze(self._epoch)
        self._start_round(is_second=False)

    def _start_round(self, is_second: bool) -> None:
        self._is_second_round = is_second
        self._accepted = {self._state.replica_id}
        self._start_request()
        self._advance()

    def on_bootstrap_request(self, peer: int, message: BootstrapRequest) -> None:
        """Accept the epoch if rule 4 allows it."""
        state = self._state
        has_accepted = message.epoch == state.promised_epoch and not state.has_epoch_started
        if peer >= state.voter_count or not state.is_voter or not self._is_named_in(message):
            return
        if not has_accepted:
            if message.epoch <= state.promised_epoch or state.has_leader_contact(state.now_us):
                return
            self.cancel()
            state.freeze(message.epoch)
        log = state.log
        response = BootstrapResponse(
            message.epoch, message.nonce, state.incarnation, log.epoch, log.last_term, log.last_index
        )
        state.send(peer, response)

    def _is_named_in(self, message: BootstrapRequest) -> bool:
        """Whether the request names this replica's current incarnation."""
        state = self._state
        incarnations = message.incarnations
        if len(incarnations) != state.voter_count:
            return False
        return incarnations[state.replica_id] == state.incarnation

    def on_bootstrap_response(self, peer: int, message: BootstrapResponse) -> None:
        """Count an acceptance, or cancel if the sender's log is more up to date (rule 6)."""
        state = self._state
        if self._epoch is None or (message.epoch, message.nonce) != (self._epoch, self._nonce):
            return
        if peer >= state.voter_count or message.incarnation != self._incarnations[peer]:
            return
        if self._position(message) > state.log.position:
            self.cancel()
            return
        self._accepted.add(peer)
        self._advance()

    def _advance(self) -> None:
        """Once all have accepted, begin the second round, or start the epoch after it (rule 5)."""
        state = self._state
        if self._epoch is None or not self.has_all_voters(self._accepted):
            return
        if not self._is_second_round:
            self._start_round(is_second=True)
            return
        epoch, self._nonce, self._epoch = self._epoch, None, None
        state.counters[ReplicaCounter.EPOCHS_STARTED] += 1
        state.start_epoch(epoch, dict(enumerate(self._incarnations)))
        self._on_started()
