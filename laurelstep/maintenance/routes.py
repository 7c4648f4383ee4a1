"""The HTTP calls of maintenance at the management address, and their answers. Pure.

1. Calls have query parameters; answers are JSON objects.
2. 200: the effect is in place already. 202: the command was submitted; `GET /api/upkeep` shows its status.
   400 and 503: nothing was changed; the answer has the error's code, cause and remedy.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import Any, Final, Protocol
from urllib.parse import parse_qs

import msgspec

from laurelstep.errors import LaurelstepError
from laurelstep.maintenance.commands import COMMITTED
from laurelstep.maintenance.entries import CommandVerb
from laurelstep.maintenance.errors import InvalidRequestError, MaintenanceError
from laurelstep.maintenance.requests import MaintenanceRequest, Parameters, parse_request
from laurelstep.management.calls import Reply

ROOT: Final = b"/api/upkeep"
JSON_TYPE: Final = b"application/json"
METHODS: Final = {ROOT: b"GET"} | {b"%b/%b" % (ROOT, verb.encode()): b"POST" for verb in CommandVerb}
MAX_PARAMETERS: Final = 128
MAX_PEER_DIGITS: Final = 6


class SubmittedCommand(Protocol):
    """The fields of a submitted command that its answer contains."""

    sequence_number: int
    status: str


class MaintenanceOperations(Protocol):
    """The operations behind the calls; see `api.MaintenanceApi`.

    A command returns None if its effect is in place already, and raises `MaintenanceError` if it is invalid
    or can't be submitted.
    """

    def status(self) -> dict[str, Any]:
        """The status of maintenance as this replica sees it, for JSON."""

    def ids_by_address(self) -> dict[str, str]:
        """The ids of all listed machines by address."""

    def submit_request(self, request: MaintenanceRequest) -> SubmittedCommand | None:
        """Submit a request to take machines out of service."""

    def withdraw_request(self, name: str) -> SubmittedCommand | None:
        """Withdraw a request."""

    def report_work(self, verb: CommandVerb, machine_id: str) -> SubmittedCommand | None:
        """Report that work on a machine begins or is finished."""

    def declare_absent(self, peer: int) -> SubmittedCommand | None:
        """Declare that a replica's process has ended."""


def handle_call(method: bytes, target: bytes, operations: MaintenanceOperations) -> Reply | None:
    """The reply to a call; None if it is not a maintenance call."""
    path, _, query = target.partition(b"?")
    expected_method = METHODS.get(path)
    if expected_method is None:
        return None
    if method != expected_method:
        text = f"call it with {expected_method.decode()}\n"
        return Reply(HTTPStatus.METHOD_NOT_ALLOWED, text, allow=expected_method)
    if path == ROOT:
        return _json_reply(HTTPStatus.OK, operations.status())
    verb = CommandVerb(path[len(ROOT) + 1 :].decode())
    try:
        command = _submit(verb, _parse_query(query), operations)
    except LaurelstepError as error:
        status = error.status if isinstance(error, MaintenanceError) else HTTPStatus.BAD_REQUEST
        return _json_reply(status, describe_error(error))
    if command is None:
        return _json_reply(HTTPStatus.OK, {"state": COMMITTED})
    return _json_reply(HTTPStatus.ACCEPTED, {"state": command.status, "asked": command.sequence_number})


def describe_error(error: LaurelstepError) -> dict[str, str]:
    """The JSON object of an error answer."""
    return {
        "error": error.code if isinstance(error, MaintenanceError) else type(error).__name__,
        "what": str(error),
        "cause": error.cause,
        "remedy": error.remedy,
    }


def _json_reply(status: HTTPStatus, value: Any) -> Reply:
    return Reply(status, msgspec.json.encode(value).decode() + "\n", JSON_TYPE)


def _parse_query(query: bytes) -> Parameters:
    try:
        return parse_qs(
            query.decode("ascii"),
            keep_blank_values=True,
            strict_parsing=bool(query),
            errors="strict",
            max_num_fields=MAX_PARAMETERS,
        )
    except ValueError as error:
        raise InvalidRequestError(f"the query can't be read: {error}") from None


def _submit(
    verb: CommandVerb, parameters: Parameters, operations: MaintenanceOperations
) -> SubmittedCommand | None:
    match verb:
        case CommandVerb.REQUEST:
            ids_by_address = operations.ids_by_address() if "address" in parameters else {}
            return operations.submit_request(parse_request(parameters, ids_by_address))
        case CommandVerb.WITHDRAW:
            return operations.withdraw_request(_only_parameter(parameters, "name"))
        case CommandVerb.DECLARE_ABSENT:
            return operations.declare_absent(_parse_peer(_only_parameter(parameters, "peer")))
        case CommandVerb.BEGIN_WORK | CommandVerb.FINISH_WORK:
            return operations.report_work(verb, _only_parameter(parameters, "machine"))


def _parse_peer(text: str) -> int:
    if not text.isdecimal() or not text.isascii() or len(text) > MAX_PEER_DIGITS:
        raise InvalidRequestError(f"peer: expected a number, got {text[:40]}")
    return int(text)


def _only_parameter(parameters: Parameters, key: str) -> str:
    """The value of the only parameter of a call. Raises `InvalidRequestError` for any other parameters."""
    if list(parameters) != [key] or len(parameters[key]) != 1:
        raise InvalidRequestError(f"expected {key}, once, and nothing else")
    return parameters[key][0]
