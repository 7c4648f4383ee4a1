"""Parsing of requests from query parameters, their errors, and the size of their log entries."""

from __future__ import annotations

import pytest
from laurelstep.errors import LaurelstepError
from laurelstep.maintenance.bounds import MAX_ENTRY_BYTES
from laurelstep.maintenance.entries import (
    DrainAcknowledgement,
    OperatorCommand,
    decode_entry,
    encode,
)
from laurelstep.maintenance.errors import (
    InvalidLimitError,
    InvalidRequestError,
    MaintenanceError,
    MaintenanceSnapshotError,
    UnknownMachineError,
)
from laurelstep.maintenance.requests import MaintenanceRequest, parse_request

from tests.maintenance import (
    request_for,
)


@pytest.mark.parametrize(
    ("parameters", "error_type"),
    [
        ({}, InvalidRequestError),
        ({"name": ["w"]}, InvalidRequestError),
        ({"name": ["a b"], "zone": ["a"]}, InvalidRequestError),
        ({"name": ["w" * 25], "zone": ["a"]}, InvalidRequestError),
        ({"name": ["w", "v"], "zone": ["a"]}, InvalidRequestError),
        ({"name": ["w"], "zone": ["a"], "oout": ["1"]}, InvalidRequestError),
        ({"name": ["w"], "zone": ["a"], "per": ["rack"]}, InvalidRequestError),
        ({"name": ["w"], "cell": ["x"]}, InvalidRequestError),
        ({"name": ["w"], "zone": ["a"], "out": ["0"]}, InvalidLimitError),
        ({"name": ["w"], "zone": ["a"], "out": ["-3"]}, InvalidLimitError),
        ({"name": ["w"], "zone": ["a"], "out": ["many"]}, InvalidLimitError),
        ({"name": ["w"], "zone": ["a"], "share": ["1.01"]}, InvalidLimitError),
        ({"name": ["w"], "zone": ["a"], "share": ["nan"]}, InvalidLimitError),
        ({"name": ["w"], "zone": ["a"], "share": ["half"]}, InvalidLimitError),
        ({"name": ["w"], "zone": ["a"], "overdue_s": ["0"]}, InvalidLimitError),
        ({"name": ["w"], "address": ["127.0.0.1:1"]}, UnknownMachineError),
    ],
)
def test_an_invalid_request_raises_its_type_of_error(
    parameters: dict[str, list[str]], error_type: type[MaintenanceError]
) -> None:
    with pytest.raises(error_type):
        parse_request(parameters, {})


def test_a_request_is_parsed_from_query_parameters() -> None:
    parameters = {
        "name": ["disk"], "id": ["m2", "m1", "m2"], "address": ["h:1"], "zone": ["a"], "cell": ["4"],
        "kind": ["small"], "out": ["2"], "per": ["zone"], "share": ["0.7"], "overdue_s": ["60"],
    }  # fmt: skip
    request = parse_request(parameters, {"h:1": "m9"})
    assert request == request_for(
        "disk", 2, "zone", 0.7, machine_ids=("m1", "m2", "m9"), zone="a", cell=4, kind="small", overdue_s=60
    )
    assert decode_entry(encode(OperatorCommand(1, 2, 3, "wish", request))[1:]) == OperatorCommand(
        1, 2, 3, "wish", request
    )


def test_every_error_has_a_cause_and_a_remedy() -> None:
    for error_type in (MaintenanceSnapshotError, *MaintenanceError.__subclasses__()):
        assert issubclass(error_type, LaurelstepError)
        assert {"cause", "remedy"} <= vars(error_type).keys(), error_type
        assert "\n" not in error_type.cause + error_type.remedy


def test_a_long_request_fits_one_entry_and_an_acknowledgement_is_short() -> None:
    request: MaintenanceRequest = request_for(
        "n" * 24, 1000, "zone", 0.123456, zone="z" * 24, kind="k" * 24, cell=10**6
    )
    assert len(encode(OperatorCommand(255, 2**64 - 1, 10**6, "withdraw", request))) <= MAX_ENTRY_BYTES
    assert len(encode(DrainAcknowledgement(10**9))) < 16
