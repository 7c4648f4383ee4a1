"""Connects the maintenance modules of one process to the consensus log, the endpoint list and the clock.

1. It makes no decisions: the planner chooses what is proposed, the overlay what the engine gets, and the
   state which entries are valid.
2. Messages may be lost and repeated: each is sent again until the state shows its effect; none is sent while
   idle.
3. While the predecessor of a hot restart runs, this process acknowledges no drain, since the predecessor may
   still send requests.
"""

from __future__ import annotations

import contextlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Final

from laurelstep.consensus.errors import BusyError, NotLeaderError
from laurelstep.consensus.multiplexer import ConsensusClient
from laurelstep.engine.ports import Clock, Handle, Log
from laurelstep.maintenance.acknowledgements import DrainAcknowledgements
from laurelstep.maintenance.ages import StateAges
from laurelstep.maintenance.commands import RESEND_INTERVAL_US, CommandQueue
from laurelstep.maintenance.entries import (
    DrainAcknowledgement,
    LeaderMessage,
    MachineTransition,
    MaintenanceEntry,
    OperatorCommand,
    ReplicaStarted,
    decode_message,
    encode,
)
from laurelstep.maintenance.errors import EntryTooLargeError
from laurelstep.maintenance.planner import PlannerInput, plan_entries
from laurelstep.maintenance.settings import MaintenanceSettings
from laurelstep.maintenance.source import MaintenanceSource
from laurelstep.maintenance.state import MaintenanceState
from laurelstep.maintenance.states import MachineEvent, MachineState

# Between two steps: while something is in progress, and while idle.
ACTIVE_INTERVAL_US: Final = 100_000
IDLE_INTERVAL_US: Final = 1_000_000
# The interval at which an acknowledgement is repeated doubles up to this value: another replica's may be
# missing for hours. A new leader gets one at once.
MAX_ACKNOWLEDGEMENT_INTERVAL_US: Final = 8_000_000
# Machines that one log line names.
MAX_LOGGED_MACHINES: Final = 8
# Transitions that an operator should see in the log.
_LOGGED_EVENTS: Final = frozenset((MachineEvent.EXCEED_TIME, MachineEvent.DROP, MachineEvent.KEEP_LAST))


@dataclass(frozen=True, slots=True)
class SentAcknowledgement:
    """The last acknowledgement that was sent, when it is repeated, and the interval between the two."""

    drained_index: int
    resend_at_us: int
    interval_us: int


@dataclass(frozen=True, slots=True)
class LeadershipView:
    """The leadership as this process sees it. When it changes, messages are sent again."""

    epoch: object
    leader: int | None
    is_leading: bool


class MaintenanceController:
    """Runs maintenance in steps on the clock.

    `slow_start_share` and `slow_start_us` come from the deployment's configuration. `on_serving` is called
    once, when this process may send requests: the replicated state is known, or the wait for it has timed
    out. `may_acknowledge` returns whether the predecessor of a hot restart, if any, has stopped sending.
    """

    def __init__(
        self,
        consensus: ConsensusClient,
        state: MaintenanceState,
        source: MaintenanceSource,
        clock: Clock,
        settings: MaintenanceSettings,
        slow_start_share: float,
        slow_start_us: int,
        log: Log,
        on_serving: Callable[[], None] = lambda: None,
    ) -> None:
        self.consensus = consensus
        self.state = state
        self.source = source
        self.clock = clock
        self.settings = settings
        self.slow_start_share = slow_start_share
        self.slow_start_us = slow_start_us
        self.log = log
        self.on_serving = on_serving
        self.may_acknowledge: Callable[[], bool] = lambda: True
        self.commands = CommandQueue(consensus, state, clock, log, self._send, self.schedule_step)
        self.acknowledgements = DrainAcknowledgements()
        self.ages = StateAges()
        self.sent_acknowledgement: SentAcknowledgement | None = None
        self.sent_started_us: int | None = None  # when `ReplicaStarted` was sent last
        self.idle_basis: tuple[int, int] | None = None  # basis of the last plan without entries
        self.proposed: dict[bytes, int] = {}  # by encoded entry: when it may be proposed again, µs
        self.leadership: LeadershipView | None = None
        self.last_epoch: object = None  # the cluster epoch when the state was last known
        self.serves_without_state = False
        self.step_timer: Handle | None = None
        self.scheduled_step: Handle | None = None
        self.is_closed = False

    def start(self) -> None:
        """Start to follow the log and the endpoint list, and run the first step."""
        self.consensus.on_leader_message = self.on_message
        self.consensus.on_change = self.schedule_step
        self.source.on_list_changed = self.schedule_step
        self.source.is_state_known = lambda: self.consensus.is_caught_up
        if self.settings.start_alone == "serve":
            self.clock.at(self.clock.now() + self.settings.learn_us, self._on_learn_timeout)
        self.run_step()

    def close(self) -> None:
        """Stop permanently: cancel the timers; later steps do nothing."""
        self.is_closed = True
        self.cancel_timers()

    def cancel_timers(self) -> None:
        """Run no more steps until `run_step` or `schedule_step` is called."""
        for handle in (self.step_timer, self.scheduled_step):
            if handle is not None:
                handle.cancel()

    def _on_learn_timeout(self) -> None:
        if self.is_closed or self.source.is_forwarding:
            return
        self.log(
            "maintenance: the replicated state is not known; serving by discovery's list alone, "
            "so a machine reported as clear may still get requests from here"
        )
        self.serves_without_state = True
        self._start_serving(has_learned_state=False)
        self.schedule_step()

    def _start_serving(self, has_learned_state: bool) -> None:
        was_forwarding = self.source.is_forwarding
        self.source.start_forwarding(has_learned_state)
        if not was_forwarding:
            self.on_serving()

    # --- Steps ------------------------------------------------------------------------

    def schedule_step(self) -> None:
        """Run a step in the next turn of the loop: a single one for all changes of this turn."""
        if self.scheduled_step is None and not self.is_closed:
            self.scheduled_step = self.clock.at(self.clock.now(), self.run_step)

    def run_step(self) -> None:
        """Do the work that is due, and schedule the next step. May be called at any time."""
        if self.is_closed:
            return
        self.cancel_timers()
        self.scheduled_step = None
        now_us = self.clock.now()
        self._observe_state(now_us)
        self._observe_leadership()
        self._announce_start(now_us)
        self._acknowledge_drains(now_us)
        self.commands.advance(now_us)
        if self.consensus.is_leader and self.consensus.is_caught_up:
            self._plan(now_us)
        interval_us = ACTIVE_INTERVAL_US if self.is_active else IDLE_INTERVAL_US
        self.step_timer = self.clock.at(self.clock.now() + interval_us, self.run_step)

    @property
    def is_active(self) -> bool:
        """Whether something is in progress that needs steps every `ACTIVE_INTERVAL_US`."""
        is_start_due = self.consensus.is_caught_up and not self.is_registered
        is_planning = self.consensus.is_leader and bool(self.state.open_requests)
        return (
            bool(self.commands.pending)
            or is_start_due
            or self.is_acknowledgement_awaited
            or self.source.is_publishing
            or is_planning
        )

    def _observe_state(self, now_us: int) -> None:
        if self.consensus.is_caught_up and self.is_registered and not self.source.has_learned_state:
            self._start_serving(has_learned_state=True)
        self._check_epoch()
        self.source.refresh()
        self.ages.update(self.state, now_us)
        self.acknowledgements.update(self.state)

    def _check_epoch(self) -> None:
        """Log the cordoned machines that the state of a new cluster epoch lacks: they return to service."""
        if not self.consensus.is_caught_up or self.consensus.epoch == self.last_epoch:
            return
        lost = [
            machine_id for machine_id in self.source.overlay.cordons if machine_id not in self.state.machines
        ]
        if self.last_epoch is not None and lost:
            names = ", ".join(lost[:MAX_LOGGED_MACHINES])
            self.log(f"maintenance: the cluster was bootstrapped again and lost the drains of {names}")
        self.last_epoch = self.consensus.epoch

    def _observe_leadership(self) -> None:
        leadership = LeadershipView(self.consensus.epoch, self.consensus.leader_id, self.consensus.is_leader)
        if leadership == self.leadership:
            return
        self.leadership = leadership
        self.acknowledgements.reset()
        self.proposed.clear()
        self.sent_acknowledgement = None
        self.sent_started_us = None

    # --- Messages to the leader -------------------------------------------------------

    def _send(self, message: LeaderMessage) -> None:
        with contextlib.suppress(BusyError):  # treated as lost: it is sent again
            self.consensus.send_to_leader(encode(message))

    @property
    def is_registered(self) -> bool:
        """Whether the state has this incarnation and it is not declared absent."""
        return self.state.is_registered(self.consensus.replica_id, self.consensus.incarnation)

    def _announce_start(self, now_us: int) -> None:
        if not self.consensus.is_caught_up or self.is_registered:
            self.sent_started_us = None
        elif self.sent_started_us is None or now_us >= self.sent_started_us + RESEND_INTERVAL_US:
            self.sent_started_us = now_us
            self._send(ReplicaStarted(self.consensus.replica_id, self.consensus.incarnation))

    @property
    def is_acknowledgement_awaited(self) -> bool:
        """Whether the leader may be waiting for an acknowledgement of this process."""
        if not self.source.has_learned_state:
            return self.serves_without_state
        return any(machine.state == MachineState.DRAINING for machine in self.state.machines.values())

    def _acknowledge_drains(self, now_us: int) -> None:
        if not self.is_acknowledgement_awaited or not self.may_acknowledge():
            return
        drained_index = self.source.drained_index()
        interval_us = RESEND_INTERVAL_US
        last = self.sent_acknowledgement
        if last is not None and last.drained_index == drained_index:
            if now_us < last.resend_at_us:
                return
            interval_us = min(2 * last.interval_us, MAX_ACKNOWLEDGEMENT_INTERVAL_US)
        self.sent_acknowledgement = SentAcknowledgement(drained_index, now_us + interval_us, interval_us)
        self._send(DrainAcknowledgement(drained_index))

    # --- As the leader ----------------------------------------------------------------

    def planner_input(self, now_us: int) -> PlannerInput:
        """The planner's input, from the state and list of this process."""
        return PlannerInput(
            state=self.state,
            table=self.source.table,
            acknowledgements=self.acknowledgements,
            ages=self.ages,
            peer_count=self.consensus.peer_count,
            slow_start_share=self.slow_start_share,
            slow_start_us=self.slow_start_us,
            overdue_us=self.settings.overdue_us,
            now_us=now_us,
        )

    def _plan(self, now_us: int) -> None:
        inputs = self.planner_input(now_us)
        entries = plan_entries(inputs, self.idle_basis == inputs.basis)
        if not entries:
            self.idle_basis = inputs.basis
        self._propose(entries, now_us)

    def on_message(self, peer: int, incarnation: int, data: bytes) -> None:
        """Called on the leader when a replica's message was received."""
        message = decode_message(data)
        now_us = self.clock.now()
        match message:
            case DrainAcknowledgement():
                self._on_acknowledgement(peer, incarnation, message, now_us)
            case OperatorCommand():
                is_from_sender = (message.peer, message.incarnation) == (peer, incarnation)
                if is_from_sender and not self.state.has_applied(message):
                    self._propose([message], now_us)
            case ReplicaStarted():
                is_from_sender = (message.peer, message.incarnation) == (peer, incarnation)
                if is_from_sender and not self.state.is_registered(peer, incarnation):
                    self._propose([message], now_us)

    def _on_acknowledgement(
        self, peer: int, incarnation: int, message: DrainAcknowledgement, now_us: int
    ) -> None:
        self.acknowledgements.record(peer, incarnation, message.drained_index)
        is_current = self.state.incarnations.get(peer) == incarnation
        if is_current and peer in self.state.absent_peers:
            self._propose([ReplicaStarted(peer, incarnation)], now_us)  # it runs, so it is not absent
        self.schedule_step()

    def _propose(self, entries: Sequence[MaintenanceEntry], now_us: int) -> None:
        for data, retry_at_us in list(self.proposed.items()):
            if now_us >= retry_at_us:
                del self.proposed[data]
        for entry in entries:
            try:
                data = encode(entry)
                if data not in self.proposed:
                    self.consensus.propose(data)
                    self.proposed[data] = now_us + RESEND_INTERVAL_US
                    self._log_transition(entry)
            except EntryTooLargeError as error:
                self.log(f"maintenance: {error}: {entry}")
            except (NotLeaderError, BusyError):
                return

    def _log_transition(self, entry: MaintenanceEntry) -> None:
        if isinstance(entry, MachineTransition) and entry.event in _LOGGED_EVENTS:
            reason = f" ({entry.reason})" if entry.reason else ""
            self.log(f"maintenance: {entry.machine_id}: {entry.event}{reason}")
