"""How an epoch begins: at the first start, and after a majority lost its memory. Pure.

1. A voter that heard from no leader for a while asks all voters, with a nonce, who they are. Unless all
   answer, nothing is bootstrapped: one that is merely partitioned may hold committed entries.
2. Nothing is bootstrapped while any voter is in contact with a leader, or while a majority of the newest
   configuration that any of them knows is there in the incarnations it names, free to vote: then an election
   is enough.
3. The voter with the best log bootstraps; of equals, the first. It draws an epoch of a higher generation than
   any promised, and asks each voter to leave its old epoch for good. A voter that accepts freezes: its log
   stays as it is, and it says how good that is.
4. A voter accepts an epoch greater than any it promised, in which it is named by its own incarnation, unless
   it is in contact with a leader. Its promise is persisted before it is sent.
5. When all have accepted, all are asked once more, with a new nonce, whether they still do. The epoch starts
   only when all have said yes to both. At the time of the second question then all voter processes were
   frozen at once: nobody was left who could commit anything in an older epoch, not even a process that had
   restarted with an empty state after its predecessor had accepted. (With one round alone, voters could
   accept, end, restart and be taken into the old epoch one after the other, while the initiator still
   counted their predecessors.)
6. An initiator whose log is not at least as good as every frozen one gives up, and the best one bootstraps.
   The new epoch begins with the initiator's whole log, applied, as its snapshot, and with all voters as they
   answered as its members. So committed entries are there, while one of the majority that committed them
   remembers.
7. A bootstrap that fails leaves voters frozen in an epoch that never starts. Greater epochs free them; so
   does a leader of an older epoch, not older than the voter's log, that is heard from later than a bootstrap
   may take: the voter then restarts as another incarnation, with the log it has. To all others that is a
   crash and a restart, which rules 3 to 6 allow for.
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
    """Starts a new epoch where no election can be won. See the rules."""

    def __init__(self, state: ReplicaState, on_started: Callable[[], None]) -> None:
        """`on_started` is called when this replica has started an epoch, to lead it."""
        self._state = state
        self._on_started = on_started
        self._probe_not_before_us = 0
        # The question in progress: its nonce, when it is sent again and when it is given up.
        self._nonce: int | None = None
        self._resend_at_us = NEVER_US
        self._give_up_at_us = NEVER_US
        self._identities: dict[int, IdentityResponse] = {}
        # The bootstrap in progress: the epoch, its members by voter, who accepted, and which round it is.
        self._epoch: ClusterEpoch | None = None
        self._incarnations: list[int] = []
        self._accepted: set[int] = set()
        self._is_second_round = False

    def due_us(self) -> int:
        """When `tick` has to be called, in µs."""
        state = self._state
        if not state.is_voter or state.role == ReplicaRole.LEADER:
            return NEVER_US
        if self._nonce is not None:
            return min(self._resend_at_us, self._give_up_at_us)
        return max(self._probe_not_before_us, state.last_leader_contact_us + self._probe_delay_us())

    def _probe_delay_us(self) -> int:
        """A replica without a log loses nothing by asking soon."""
        timing = self._state.timing
        has_log = self._state.log.epoch != NO_EPOCH
        return timing.bootstrap_timeout_us if has_log else timing.election_timeout_us

    def tick(self) -> None:
        """Probe the voters, ask again or give up, whatever is due."""
        state = self._state
        if state.now_us < self.due_us():
            return
        if self._nonce is None:
            self._probe()
        elif state.now_us >= self._give_up_at_us:
            self.cancel()
        else:
            self._resend()

    def cancel(self) -> None:
        """Give up what is in progress, and probe again later."""
        state = self._state
        self._nonce = self._epoch = None
        delay_us = state.timing.election_timeout_us
        self._probe_not_before_us = state.now_us + delay_us + state.rng.randrange(delay_us)

    def _ask_all(self) -> None:
        """Ask all voters a new question, for an election timeout at most."""
        state = self._state
        self._nonce = state.rng.getrandbits(64)
        self._give_up_at_us = state.now_us + state.timing.election_timeout_us
        self._resend()

    def _resend(self) -> None:
        """Ask the voters that have not answered."""
        state = self._state
        assert self._nonce is not None
        self._resend_at_us = state.now_us + state.timing.heartbeat_us
        for voter_id in state.other_voters:
            if self._epoch is None:
                if voter_id not in self._identities:
                    state.send(voter_id, IdentityRequest(self._nonce))
            elif voter_id not in self._accepted:
                state.send(voter_id, BootstrapRequest(self._epoch, self._nonce, self._incarnations))

    # Rules 1 and 2

    def _probe(self) -> None:
        state = self._state
        self._epoch = None
        self._identities = {state.replica_id: self.identity(0)}
        self._ask_all()
        self._evaluate()

    def identity(self, nonce: int) -> IdentityResponse:
        """Return who this replica is, as the answer to a question with that nonce."""
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
        """Note who a voter is, and bootstrap once all are known."""
        is_awaited = self._epoch is None and message.nonce == self._nonce
        if not is_awaited or peer >= self._state.voter_count:
            return
        self._identities[peer] = message
        self._evaluate()

    def _evaluate(self) -> None:
        if not self.has_all_voters(self._identities):
            return
        if self._is_unnecessary() or self._best_candidate() != self._state.replica_id:
            self.cancel()
        else:
            self._initiate()

    def has_all_voters(self, voters: Collection[int]) -> bool:
        """Whether every voter is among them."""
        return len(voters) == self._state.voter_count

    def _is_unnecessary(self) -> bool:
        """Whether there is a leader, or an election is enough (rule 2)."""
        identities = self._identities
        if any(identity.has_leader_contact for identity in identities.values()):
            return True
        newest = max(
            identities.values(),
            key=lambda identity: (identity.log_epoch, identity.config_term, identity.config_index),
        )
        members = dict(newest.members)
        free_to_vote = {
            voter_id
            for voter_id, incarnation in members.items()
            if identities[voter_id].incarnation == incarnation
            and identities[voter_id].promised_epoch == newest.log_epoch
        }
        return bool(members) and has_majority(members, free_to_vote)

    def _best_candidate(self) -> int:
        """Return the voter that bootstraps (rule 3)."""
        identities = self._identities
        return max(identities, key=lambda voter_id: (self._position(identities[voter_id]), -voter_id))

    def _position(self, message: IdentityResponse | BootstrapResponse) -> LogPosition:
        """Return how up to date the sender's log is."""
        return LogPosition(message.log_epoch, message.last_log_term, message.last_log_index)

    # Rules 3 to 6

    def _initiate(self) -> None:
        """Freeze, and ask all voters to accept a new epoch."""
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
        self._ask_all()
        self._advance()

    def on_bootstrap_request(self, peer: int, message: BootstrapRequest) -> None:
        """Accept the epoch, where rule 4 allows it."""
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
        """Whether the request names this replica by its own incarnation."""
        state = self._state
        incarnations = message.incarnations
        if len(incarnations) != state.voter_count:
            return False
        return incarnations[state.replica_id] == state.incarnation

    def on_bootstrap_response(self, peer: int, message: BootstrapResponse) -> None:
        """Count an acceptance, or give up where the sender's log is better (rule 6)."""
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
        """Go on to the second round, or start the epoch, once all have accepted (rule 5)."""
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
