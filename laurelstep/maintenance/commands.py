"""Operators' commands at one replica, from submission until they are committed.

1. Messages to the leader may be lost, repeated and reordered: a command is sent again until the replicated
   state has applied it.
2. Commands are sent one at a time and in order, since the state applies each sequence number once and skips
   lower ones.
3. A command that is not committed within `COMMAND_TIMEOUT_US` is reported lost.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Final

from laurelstep.consensus.multiplexer import ConsensusClient
from laurelstep.engine.ports import Clock, Log
from laurelstep.maintenance.entries import (
    CommandArgument,
    CommandVerb,
    LeaderMessage,
    OperatorCommand,
    encode,
)
from laurelstep.maintenance.errors import LeaderUnreachableError, TooManyRequestsError
from laurelstep.maintenance.state import ACCEPTED, MaintenanceState
from laurelstep.maintenance.states import MachineState

RESEND_INTERVAL_US: Final = 1_000_000
COMMAND_TIMEOUT_US: Final = 15_000_000
# Limit for pending commands, and for all commands that are kept.
MAX_COMMANDS: Final = 16

# The status of a command as operators see it; a rejected one has an `ErrorCode` instead.
SUBMITTED: Final[str] = MachineState.REQUESTED.value
COMMITTED: Final = "agreed"
LOST: Final = "lost"


class PendingCommand:
    """A submitted command and its status. Times are in µs."""

    __slots__ = (
        "argument", "expected_version", "expires_at_us", "sent_at_us", "sequence_number", "status", "verb",
    )  # fmt: skip

    def __init__(
        self,
        sequence_number: int,
        verb: CommandVerb,
        argument: CommandArgument,
        expected_version: int,
        expires_at_us: int,
    ) -> None:
        self.sequence_number = sequence_number
        self.verb = verb
        self.argument = argument
        self.expected_version = expected_version
        self.expires_at_us = expires_at_us
        self.sent_at_us: int | None = None  # when it was sent last
        self.status = SUBMITTED  # then COMMITTED, LOST or an `ErrorCode`

    @property
    def is_pending(self) -> bool:
        """Whether it is neither committed nor lost yet."""
        return self.status == SUBMITTED

    def matches(self, verb: str, argument: CommandArgument, expected_version: int) -> bool:
        """Whether it is the same command, apart from its sequence number."""
        return (self.verb, self.argument, self.expected_version) == (verb, argument, expected_version)


class CommandQueue:
    """The commands of one process. `send` sends a message to the leader, `on_submitted` is called after each
    submission.
    """

    def __init__(
        self,
        consensus: ConsensusClient,
        state: MaintenanceState,
        clock: Clock,
        log: Log,
        send: Callable[[LeaderMessage], None],
        on_submitted: Callable[[], None],
    ) -> None:
        self.consensus = consensus
        self.state = state
        self.clock = clock
        self.log = log
        self.send = send
        self.on_submitted = on_submitted
        self.commands: deque[PendingCommand] = deque(maxlen=MAX_COMMANDS)  # the last ones, pending or not
        self.last_sequence_number = 0

    @property
    def pending(self) -> list[PendingCommand]:
        """The commands that are neither committed nor lost yet, oldest first."""
        return [command for command in self.commands if command.is_pending]

    def require_leader(self) -> None:
        """Raise `LeaderUnreachableError` if the state of this process may be outdated."""
        if not self.consensus.has_leader_contact or not self.consensus.is_caught_up:
            raise LeaderUnreachableError("no leader is heard")

    def submit(self, verb: CommandVerb, argument: CommandArgument) -> PendingCommand:
        """Queue a command, which is sent until the state has applied it. Returns the pending command if the
        same one was submitted before.

        Raises `LeaderUnreachableError`, `TooManyRequestsError` or `EntryTooLargeError`.
        """
        self.require_leader()
        expected_version = self._expected_version(verb, argument)
        pending = self.pending
        for command in pending:
            if command.matches(verb, argument, expected_version):
                return command
        if len(pending) >= MAX_COMMANDS:
            raise TooManyRequestsError(f"{MAX_COMMANDS} calls wait to be committed")
        # The predecessor of a hot restart may have sent commands in the same incarnation.
        sequence_number = max(self.last_sequence_number, self._last_committed()[0]) + 1
        expires_at_us = self.clock.now() + COMMAND_TIMEOUT_US
        command = PendingCommand(sequence_number, verb, argument, expected_version, expires_at_us)
        encode(self._message(command))  # raises EntryTooLargeError
        self.last_sequence_number = sequence_number
        self._append(command)
        self.on_submitted()
        return command

    def _append(self, command: PendingCommand) -> None:
        """Append a command, and drop the oldest ones that are not pending if there is no room: the deque
        itself would drop the oldest, pending or not.
        """
        while len(self.commands) >= MAX_COMMANDS:
            self.commands.remove(next(old for old in self.commands if not old.is_pending))
        self.commands.append(command)

    def _expected_version(self, verb: CommandVerb, argument: CommandArgument) -> int:
        """The incarnation, request number or drain index that a command is meant for, so that a late command
        does not affect the next one. 0 if there is none.
        """
        if verb == CommandVerb.DECLARE_ABSENT and isinstance(argument, int):
            return self.state.incarnations.get(argument, 0)
        if verb == CommandVerb.WITHDRAW and isinstance(argument, str):
            request = self.state.find_request(argument)
            return 0 if request is None else request.number
        if verb in (CommandVerb.BEGIN_WORK, CommandVerb.FINISH_WORK) and isinstance(argument, str):
            machine = self.state.machines.get(argument)
            return 0 if machine is None else machine.drain_index
        return 0

    def _message(self, command: PendingCommand) -> OperatorCommand:
        return OperatorCommand(
            peer=self.consensus.replica_id,
            incarnation=self.consensus.incarnation,
            sequence_number=command.sequence_number,
            verb=command.verb,
            argument=command.argument,
            expected_version=command.expected_version,
        )

    def _last_committed(self) -> tuple[int, str]:
        """Sequence number and verdict of this incarnation's last committed command; number 0 if none."""
        last = self.state.last_commands.get(self.consensus.replica_id)
        if last is None or last.incarnation != self.consensus.incarnation:
            return 0, ACCEPTED
        return last.sequence_number, last.verdict

    def advance(self, now_us: int) -> None:
        """Set the status of commands that were committed or have expired; send the next one if it is due."""
        committed_number, verdict = self._last_committed()
        for command in self.pending:
            if command.sequence_number <= committed_number:
                is_last = command.sequence_number == committed_number
                command.status = (verdict if is_last else ACCEPTED) or COMMITTED
            elif now_us >= command.expires_at_us:
                command.status = LOST
                seconds = COMMAND_TIMEOUT_US // 1_000_000
                self.log(f"maintenance: {command.verb} was not committed within {seconds} s: call again")
            else:
                self._send_if_due(command, now_us)
                return

    def _send_if_due(self, command: PendingCommand, now_us: int) -> None:
        if command.sent_at_us is None or now_us >= command.sent_at_us + RESEND_INTERVAL_US:
            command.sent_at_us = now_us
            self.send(self._message(command))
