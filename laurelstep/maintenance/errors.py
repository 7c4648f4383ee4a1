"""The errors of maintenance calls and snapshots, each with its cause and remedy."""

from __future__ import annotations

from enum import StrEnum
from http import HTTPStatus
from typing import ClassVar

from laurelstep.errors import LaurelstepError


class ErrorCode(StrEnum):
    """The names of errors in HTTP answers and in the replicated state. They never change."""

    INVALID_REQUEST = "WishError"
    INVALID_LIMIT = "LimitError"
    UNKNOWN_MACHINE = "UnknownMachineError"
    UNKNOWN_REQUEST = "UnknownWishError"
    UNKNOWN_PEER = "UnknownPeerError"
    CONFLICTING_REQUEST = "ContradictionError"
    UNSATISFIABLE_REQUEST = "NeverError"
    ENTRY_TOO_LARGE = "FitError"
    TOO_MANY_REQUESTS = "ManyError"
    INVALID_TRANSITION = "OrderError"
    LEADER_UNREACHABLE = "CutOffError"


class MaintenanceError(LaurelstepError):
    """The base class of errors that a maintenance call can raise.

    `code` is the error's name in the HTTP answer, `status` the answer's status.
    """

    code: ClassVar[str] = "UpkeepError"
    status: ClassVar[HTTPStatus] = HTTPStatus.BAD_REQUEST
    cause = "a maintenance call could not be carried out; nothing was changed"
    remedy = "see the type of the error"


class InvalidRequestError(MaintenanceError):
    """A call whose parameters are missing, unknown or malformed."""

    code = ErrorCode.INVALID_REQUEST
    cause = "the parameters of a maintenance call can't be read"
    remedy = "see docs/operators/maintenance.md for the parameters, and call again"


class InvalidLimitError(MaintenanceError):
    """A limit or a duration outside its range."""

    code = ErrorCode.INVALID_LIMIT
    cause = "a maintenance request's limit is out of range: out below 1, share outside 0 to 1, or no duration"
    remedy = "give out=1 or more, share from 0 to 1, overdue_s of 1 or more"


class UnknownMachineError(MaintenanceError):
    """A machine, zone, cell or kind that is not in this process's list from discovery."""

    code = ErrorCode.UNKNOWN_MACHINE
    cause = "discovery lists no machine like the one that a call names"
    remedy = "compare with discovery's list, or call a replica whose list is newer"


class UnknownRequestError(MaintenanceError):
    """A name that no open request has."""

    code = ErrorCode.UNKNOWN_REQUEST
    cause = "no maintenance request of this name is open"
    remedy = "GET /api/upkeep lists the open requests"


class UnknownPeerError(MaintenanceError):
    """A peer number outside the list, or this process's own."""

    code = ErrorCode.UNKNOWN_PEER
    cause = "a call names a replica that is none of accord's peers"
    remedy = "give the replica's number as it stands in accord's peers, from 0"


class ConflictingRequestError(MaintenanceError):
    """A request with the name of another open request."""

    code = ErrorCode.CONFLICTING_REQUEST
    cause = "another maintenance request of this name is open, with other parameters"
    remedy = "withdraw that one first, or take another name"


class UnsatisfiableRequestError(MaintenanceError):
    """A request whose limits allow none of its machines out of service, even with all others in service."""

    code = ErrorCode.UNSATISFIABLE_REQUEST
    cause = "a maintenance request can never be met: its own limits allow not even one machine out of service"
    remedy = "lower its share, or name machines that leave more capacity behind"


class EntryTooLargeError(MaintenanceError):
    """A request that does not fit one log entry, or that names too many machines."""

    code = ErrorCode.ENTRY_TOO_LARGE
    cause = "a maintenance request does not fit one log entry, or names too many machines"
    remedy = "name fewer machines in one request, or name them by zone, cell or kind"


class TooManyRequestsError(MaintenanceError):
    """The bound of open requests or of pending calls is reached."""

    code = ErrorCode.TOO_MANY_REQUESTS
    cause = "too many maintenance requests are open, or too many calls wait to be committed"
    remedy = "wait until one is over, or withdraw one"


class InvalidTransitionError(MaintenanceError):
    """A call that the machine's state does not allow."""

    code = ErrorCode.INVALID_TRANSITION
    cause = "the machine is not in the state that the call needs"
    remedy = "GET /api/upkeep shows its state: begin needs clear, done needs clear or at work"


class LeaderUnreachableError(MaintenanceError):
    """This process has no leader, so its replicated state may be outdated."""

    code = ErrorCode.LEADER_UNREACHABLE
    status = HTTPStatus.SERVICE_UNAVAILABLE
    cause = "this replica is not in touch with a leader"
    remedy = "call another replica, or wait until the replicas have a leader again"


class MaintenanceSnapshotError(LaurelstepError, ValueError):
    """A snapshot of the replicated state that can't be decoded."""

    cause = "a snapshot of the maintenance state can't be read"
    remedy = "run compatible versions on all replicas of the tier, then restart this one"
