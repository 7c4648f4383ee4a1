"""Requests from a call's parameters, their errors, and that each fits one log entry."""

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
    ("told", "error"),
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
def test_a_bad_request_has_an_error_of_its_own(
    told: dict[str, list[str]], error: type[MaintenanceError]
) -> None:
    with pytest.raises(error):
        parse_request(told, {})


def test_a_request_is_read() -> None:
    told = {
        "name": ["disk"], "id": ["m2", "m1", "m2"], "address": ["h:1"], "zone": ["a"], "cell": ["4"],
        "kind": ["small"], "out": ["2"], "per": ["zone"], "share": ["0.7"], "overdue_s": ["60"],
    }  # fmt: skip
    request = parse_request(told, {"h:1": "m9"})
    assert request == request_for(
        "disk", 2, "zone", 0.7, machine_ids=("m1", "m2", "m9"), zone="a", cell=4, kind="small", overdue_s=60
    )
    assert decode_entry(encode(OperatorCommand(1, 2, 3, "wish", request))[1:]) == OperatorCommand(
        1, 2, 3, "wish", request
    )


def test_every_error_says_its_cause_and_a_remedy() -> None:
    for error in (MaintenanceSnapshotError, *MaintenanceError.__subclasses__()):
        assert issubclass(error, LaurelstepError)
        assert {"cause", "remedy"} <= vars(error).keys(), error
        assert "\n" not in error.cause + error.remedy


def test_a_request_is_one_entry_and_a_confirmation_is_short() -> None:
    request: MaintenanceRequest = request_for(
        "n" * 24, 1000, "zone", 0.123456, zone="z" * 24, kind="k" * 24, cell=10**6
    )
    assert len(encode(OperatorCommand(255, 2**64 - 1, 10**6, "withdraw", request))) <= MAX_ENTRY_BYTES
    assert len(encode(DrainAcknowledgement(10**9))) < 16
