"""The replicated state machine: the open requests, and the machines out of service with their states. Pure.

1. The same entries in the same order give the same state on every replica: the result of an entry depends
   only on the entry and the state, not on a clock, an endpoint list or randomness.
2. Every limit is checked when an entry is applied. Its proposer may have been stale, paused or wrong: an
   entry that violates a limit is ignored, on every replica alike.
3. A machine out of service counts against the limits of all open requests, also of those that do not select
   it: limits say what must stay in service in the tier.
4. `DrainMachine` and `CompleteRequest` are valid only for the state that their proposer had.
5. A machine's state changes according to `states.TRANSITIONS`, and a `MachineTransition` applies only to the
   state that it was made for.
6. An entry that can't be decoded is counted and skipped. Applying an entry never raises.
7. A command for an earlier request, or for an earlier drain of a machine, does not affect the present one.
8. Everything is bounded (`bounds`): open requests, machines out of service, and what is kept of closed
   requests.
"""

from __future__ import annotations

from laurelstep.engine.endpoint_table import endpoint_number
from laurelstep.maintenance.bounds import (
    MAX_DROP_REASON_LENGTH,
    MAX_DROPPED_MACHINES,
    MAX_MACHINES_OUT,
    MAX_MACHINES_PER_REQUEST,
    MAX_OPEN_REQUESTS,
    MAX_PAST_REQUESTS,
    MAX_PEERS,
)
from laurelstep.maintenance.entries import (
    CommandVerb,
    CompleteRequest,
    DrainMachine,
    MachineTransition,
    MaintenanceEntry,
    OperatorCommand,
    ReplicaStarted,
    decode_entry,
)
from laurelstep.maintenance.errors import ErrorCode
from laurelstep.maintenance.limits import are_in_range, has_valid_numbers, violated_limit
from laurelstep.maintenance.records import (
    DroppedMachine,
    LastCommand,
    MachineRecord,
    OpenRequest,
    PastRequest,
    StateSnapshot,
    decode_snapshot,
    encode_snapshot,
)
from laurelstep.maintenance.requests import MaintenanceRequest
from laurelstep.maintenance.states import CORDONED_STATES, MachineEvent, MachineState, next_state

# The verdict on a command that took effect.
ACCEPTED = ""
# Events that are valid as operators' commands only, not in a leader's `MachineTransition`.
_COMMAND_EVENTS = frozenset((MachineEvent.BEGIN_WORK, MachineEvent.FINISH_WORK, MachineEvent.WITHDRAW))


class MaintenanceState:
    """The maintenance state machine of the consensus log."""

    def __init__(self) -> None:
        self.index = 0  # of the last applied entry
        self.changed_index = 0  # of the last entry that changed the state
        self.open_requests: dict[int, OpenRequest] = {}  # by number
        self.machines: dict[str, MachineRecord] = {}  # out of service, by id
        self.past_requests: list[PastRequest] = []
        self.last_commands: dict[int, LastCommand] = {}  # by peer
        self.incarnations: dict[int, int] = {}  # by peer: the current one
        self.absent_peers: set[int] = set()  # declared absent by an operator
        self.undecoded_count = 0  # entries that could not be decoded
        self.ignored_count = 0  # entries that were invalid for the state

    # --- As the consensus log's state machine -----------------------------------------

    def apply(self, index: int, data: bytes) -> None:
        """Apply a committed entry. Never raises."""
        self.index = max(self.index, index)
        entry = decode_entry(data)
        if entry is None:
            self.undecoded_count += 1
        elif self._apply_entry(index, entry):
            self.changed_index = index
        else:
            self.ignored_count += 1

    def dump(self) -> bytes:
        """Encode a snapshot of the state; equal states give equal bytes."""
        return encode_snapshot(
            StateSnapshot(
                index=self.index,
                changed_index=self.changed_index,
                open_requests=list(self.open_requests.values()),
                machines=list(self.machines.values()),
                past_requests=self.past_requests,
                last_commands=sorted(self.last_commands.items()),
                absent_peers=sorted(self.absent_peers),
                incarnations=sorted(self.incarnations.items()),
            )
        )

    def load(self, raw: bytes) -> None:
        """Replace the state with that of a snapshot; empty bytes stand for the initial state.

        Raises `MaintenanceSnapshotError`, with nothing changed, if it can't be decoded.
        """
        snapshot = decode_snapshot(raw)
        self.index = snapshot.index
        self.changed_index = snapshot.changed_index
        self.open_requests = {request.number: request for request in snapshot.open_requests}
        self.machines = {machine.machine_id: machine for machine in snapshot.machines}
        self.past_requests = snapshot.past_requests
        self.last_commands = dict(snapshot.last_commands)
        self.absent_peers = set(snapshot.absent_peers)
        self.incarnations = dict(snapshot.incarnations)

    # --- Entries; each method returns whether it changed the state --------------------

    def _apply_entry(self, index: int, entry: MaintenanceEntry) -> bool:
        match entry:
            case OperatorCommand():
                return self._apply_command(index, entry)
            case DrainMachine():
                return self._drain_machine(index, entry)
            case MachineTransition():
                return self._apply_transition(index, entry)
            case CompleteRequest():
                return self._complete_request(entry)
            case ReplicaStarted():
                return self._register_replica(entry)

    def _register_replica(self, entry: ReplicaStarted) -> bool:
        if not 0 <= entry.peer < MAX_PEERS or self.is_registered(entry.peer, entry.incarnation):
            return False
        self.incarnations[entry.peer] = entry.incarnation
        self.absent_peers.discard(entry.peer)
        return True

    def _apply_command(self, index: int, command: OperatorCommand) -> bool:
        if not 0 <= command.peer < MAX_PEERS or self.has_applied(command):
            return False
        verdict = self._execute_command(index, command)
        self.last_commands[command.peer] = LastCommand(command.incarnation, command.sequence_number, verdict)
        return True

    def _execute_command(self, index: int, command: OperatorCommand) -> str:
        """Execute a command. Returns `ACCEPTED`, or the code of the error if it was rejected."""
        verb, argument, version = command.verb, command.argument, command.expected_version
        if verb == CommandVerb.REQUEST and isinstance(argument, MaintenanceRequest):
            return self._open_request(index, argument)
        if verb == CommandVerb.WITHDRAW and isinstance(argument, str):
            return self._withdraw_request(argument, version)
        if verb in (CommandVerb.BEGIN_WORK, CommandVerb.FINISH_WORK) and isinstance(argument, str):
            return self._report_work(index, verb, argument, version)
        if verb == CommandVerb.DECLARE_ABSENT and type(argument) is int and 0 <= argument < MAX_PEERS:
            return self._declare_absent(argument, version)
        return ErrorCode.INVALID_REQUEST

    def _open_request(self, index: int, request: MaintenanceRequest) -> str:
        same_name = self.find_request(request.name)
        if same_name is not None:
            is_repeated = same_name.request == request and not same_name.is_withdrawn
            return ACCEPTED if is_repeated else ErrorCode.CONFLICTING_REQUEST
        if len(self.open_requests) >= MAX_OPEN_REQUESTS:
            return ErrorCode.TOO_MANY_REQUESTS
        if not are_in_range(request.limits):
            return ErrorCode.INVALID_LIMIT
        self.open_requests[index] = OpenRequest(index, request)
        return ACCEPTED

    def _withdraw_request(self, name: str, number: int) -> str:
        request = self.find_request(name)
        if request is None or number not in (0, request.number):
            return ErrorCode.UNKNOWN_REQUEST
        request.is_withdrawn = True
        for machine in self._machines_of(request):
            if next_state(MachineEvent.WITHDRAW, machine.state) == MachineState.WITHDRAWN:
                del self.machines[machine.machine_id]
        self._close_if_withdrawn(request)
        return ACCEPTED

    def _report_work(self, index: int, event: str, machine_id: str, drain_index: int) -> str:
        machine = self.machines.get(machine_id)
        if machine is None or drain_index not in (0, machine.drain_index):
            return ErrorCode.INVALID_TRANSITION
        state = next_state(event, machine.state)
        if state is None:
            return ErrorCode.INVALID_TRANSITION
        if state != machine.state:
            machine.state = state
            machine.since_index = index
        return ACCEPTED

    def _declare_absent(self, peer: int, incarnation: int) -> str:
        if self.incarnations.get(peer, 0) != incarnation:
            return ErrorCode.INVALID_TRANSITION  # it has started again
        self.absent_peers.add(peer)
        return ACCEPTED

    def _drain_machine(self, index: int, entry: DrainMachine) -> bool:
        request = self.open_requests.get(entry.request_number)
        if entry.base_index != self.changed_index or request is None or request.is_withdrawn:
            return False
        if entry.machine_id in self.machines or endpoint_number(entry.machine_id) in request.finished:
            return False
        if self.blocking_limit(entry) is not None:
            return False
        self.machines[entry.machine_id] = MachineRecord(
            machine_id=entry.machine_id,
            request_number=entry.request_number,
            state=MachineState.DRAINING,
            drain_index=index,
            since_index=index,
            zone=entry.zone,
            cell=entry.cell,
            weight=entry.weight,
            started_ms=entry.started_ms,
            slow_start_share=entry.slow_start_share,
        )
        return True

    def _apply_transition(self, index: int, entry: MachineTransition) -> bool:
        machine = self.machines.get(entry.machine_id)
        if machine is None or machine.since_index != entry.since_index or entry.event in _COMMAND_EVENTS:
            return False
        state = next_state(entry.event, machine.state)
        if state is None or state == machine.state:
            return False
        machine.state = state
        machine.since_index = index
        if state not in CORDONED_STATES and state != MachineState.WARMING_UP:
            self._return_to_service(machine, entry.reason)
        return True

    def _return_to_service(self, machine: MachineRecord, reason: str) -> None:
        """Remove a machine from those out of service. Unless it is WAITING again, it is done or dropped."""
        del self.machines[machine.machine_id]
        request = self.open_requests.get(machine.request_number)
        if request is None or machine.state == MachineState.WAITING:
            return
        request.finished.add(endpoint_number(machine.machine_id))
        if machine.state == MachineState.WITHDRAWN:
            dropped = DroppedMachine(machine.machine_id, reason[:MAX_DROP_REASON_LENGTH])
            request.dropped = [*request.dropped, dropped][-MAX_DROPPED_MACHINES:]
        self._close_if_withdrawn(request)

    def _complete_request(self, entry: CompleteRequest) -> bool:
        request = self.open_requests.get(entry.request_number)
        if request is None or entry.base_index != self.changed_index or self._machines_of(request):
            return False
        self._close(request)
        return True

    def _close_if_withdrawn(self, request: OpenRequest) -> None:
        """Close a withdrawn request that has no machine out of service."""
        if request.is_withdrawn and not self._machines_of(request):
            self._close(request)

    def _close(self, request: OpenRequest) -> None:
        del self.open_requests[request.number]
        past = PastRequest(
            number=request.number,
            name=request.request.name,
            is_withdrawn=request.is_withdrawn,
            machine_count=len(request.finished),
            dropped=request.dropped,
            finished=request.finished,
        )
        self.past_requests = [*self.past_requests, past][-MAX_PAST_REQUESTS:]

    # --- Queries ----------------------------------------------------------------------

    def _machines_of(self, request: OpenRequest) -> list[MachineRecord]:
        return [machine for machine in self.machines.values() if machine.request_number == request.number]

    def is_registered(self, peer: int, incarnation: int) -> bool:
        """Whether this incarnation of a replica is the current one and not declared absent."""
        return self.incarnations.get(peer) == incarnation and peer not in self.absent_peers

    def has_applied(self, command: OperatorCommand) -> bool:
        """Whether this command, or a later one of the same incarnation, was applied."""
        last = self.last_commands.get(command.peer)
        return (
            last is not None
            and last.incarnation == command.incarnation
            and last.sequence_number >= command.sequence_number
        )

    def find_request(self, name: str) -> OpenRequest | None:
        """The open request of this name; None if there is none."""
        return next(
            (request for request in self.open_requests.values() if request.request.name == name), None
        )

    def was_finished(self, machine_id: str) -> bool:
        """Whether a machine is done or dropped in an open request, or in a closed one that is kept."""
        number = endpoint_number(machine_id)
        if any(number in request.finished for request in self.open_requests.values()):
            return True
        return any(number in request.finished for request in self.past_requests)

    def blocking_limit(self, entry: DrainMachine, ignore_others: bool = False) -> str | None:
        """A description of the limit that forbids draining the entry's machine, with the name of the request
        that sets it; None if all limits hold.

        `ignore_others`: assume that no other machine is out of service.
        """
        if not has_valid_numbers(entry):
            return "its weights and counts are not finite"
        if entry.ready_count < 2:
            return f"last: {entry.ready_count} ready in the tier"
        if not ignore_others and self._is_at_capacity(entry.request_number):
            return "size: as many as the state holds"
        out_of_service = [] if ignore_others else list(self.machines.values())
        for other in self.open_requests.values():
            if other.is_withdrawn:
                continue
            reason = violated_limit(other.request.limits, entry, out_of_service, ignore_others)
            if reason is not None:
                return f"{reason} (wish {other.request.name})"
        return None

    def _is_at_capacity(self, request_number: int) -> bool:
        request = self.open_requests.get(request_number)
        return (
            len(self.machines) >= MAX_MACHINES_OUT
            or request is None
            or len(request.finished) >= MAX_MACHINES_PER_REQUEST
        )
