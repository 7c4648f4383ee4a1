"""The HTTP calls of maintenance and their answers."""

from __future__ import annotations

import json
from typing import Any

import pytest
from laurelstep.lifecycle import Lifecycle
from laurelstep.maintenance.api import MaintenanceApi
from laurelstep.maintenance.routes import METHODS, handle_call
from laurelstep.management.calls import Reply, reply_to

from tests.maintenance import (
    SECOND,
    SLOW_START_US,
    Tier,
    started_tier,
)


def call(tier: Tier, method: bytes, target: bytes) -> tuple[int, Any]:
    reply = handle_call(method, target, tier.replicas[1].api)
    assert reply is not None
    return reply.status, json.loads(reply.body) if reply.status != 405 else reply.allow


def test_calls_from_a_request_until_the_machine_is_back() -> None:
    tier = started_tier()
    target = b"/api/upkeep/wish?name=disk&zone=a&out=1&per=zone&share=0.5"
    assert call(tier, b"POST", target) == (202, {"state": "wished", "asked": 1})
    tier.settle()
    assert call(tier, b"POST", target) == (200, {"state": "agreed"})
    status, answer = call(tier, b"GET", b"/api/upkeep")
    assert status == 200 and answer["machines"][0]["state"] == "clear" and answer["copies"] == 3
    assert answer["wishes"][0]["name"] == "disk" and answer["asked"][0]["state"] == "agreed"
    assert call(tier, b"POST", b"/api/upkeep/begin?machine=m0")[0] == 202
    tier.settle(1)
    assert call(tier, b"POST", b"/api/upkeep/begin?machine=m0")[0] == 200
    assert call(tier, b"POST", b"/api/upkeep/done?machine=m0")[0] == 202
    assert call(tier, b"POST", b"/api/upkeep/withdraw?name=disk")[0] == 202
    tier.settle(SLOW_START_US / SECOND + 2)
    assert call(tier, b"GET", b"/api/upkeep")[1]["past"][0]["name"] == "disk"
    address = tier.listed["m1"]["hostPort"].encode()
    assert call(tier, b"POST", b"/api/upkeep/wish?name=x&address=" + address)[0] == 202
    assert call(tier, b"POST", b"/api/upkeep/absent?peer=2")[0] == 202


@pytest.mark.parametrize(
    ("target", "error"),
    [
        (b"/wish", "WishError"),
        (b"/wish?name=w&zone=nowhere", "UnknownMachineError"),
        (b"/wish?name=w&id=nobody", "UnknownMachineError"),
        (b"/wish?name=w&zone=a&out=0", "LimitError"),
        (b"/wish?name=w&zone=a&share=1.2", "LimitError"),
        (b"/wish?name=w&zone=a&share=1", "NeverError"),
        (b"/wish?name=w&zone=a&what", "WishError"),
        (b"/wish?name=\xff&zone=a", "WishError"),
        (b"/wish?name=%FF&zone=a", "WishError"),
        (b"/wish?" + b"&".join(b"id=m%d" % n for n in range(500)), "WishError"),
        (b"/withdraw?name=w", "UnknownWishError"),
        (b"/withdraw?name=w&name=v", "WishError"),
        (b"/begin?machine=m0", "OrderError"),
        (b"/done?machine=m0", "OrderError"),
        (b"/done?name=m0", "WishError"),
        (b"/absent?peer=9", "UnknownPeerError"),
        (b"/absent?peer=x", "WishError"),
    ],
)
def test_an_invalid_call_is_answered_with_its_error_and_changes_nothing(target: bytes, error: str) -> None:
    tier = started_tier()
    snapshot = tier.state.dump()
    status, answer = call(tier, b"POST", b"/api/upkeep" + target)
    assert status == 400 and answer["error"] == error and answer["cause"] and answer["remedy"]
    tier.settle(1)
    assert tier.state.dump() == snapshot


def test_answers_without_a_leader_to_wrong_methods_and_to_other_paths() -> None:
    tier = started_tier()
    tier.replicas[1].is_cut_off = True
    assert call(tier, b"POST", b"/api/upkeep/wish?name=w&zone=a")[0] == 503
    for path, expected_method in METHODS.items():
        wrong_method = b"POST" if expected_method == b"GET" else b"GET"
        assert call(tier, wrong_method, path) == (405, expected_method)
    assert handle_call(b"GET", b"/api/upkeep/nothing", tier.replicas[1].api) is None


def test_the_management_address_serves_maintenance_only_if_it_is_on() -> None:
    tier = started_tier()
    api: MaintenanceApi = tier.replicas[1].api

    def handle_other(method: bytes, target: bytes) -> Reply | None:
        return handle_call(method, target, api)

    def reply(target: bytes, is_on: bool) -> Reply:
        return reply_to(b"GET", target, Lifecycle(), 0.0, str, handle_other if is_on else None)

    assert reply(b"/api/upkeep", False).status == 404
    assert reply(b"/api/upkeep", True).status == 200
    assert reply(b"/api/upkeep/nothing", True).status == 404
    assert reply(b"/api/telemetry?x=1", True).status == 200
