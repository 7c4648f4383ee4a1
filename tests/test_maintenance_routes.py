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
    COLD_US,
    SECOND,
    Tier,
    started_tier,
)


def call(one: Tier, method: bytes, target: bytes) -> tuple[int, Any]:
    reply = handle_call(method, target, one.replicas[1].api)
    assert reply is not None
    return reply.status, json.loads(reply.body) if reply.status != 405 else reply.allow


def test_calls_from_request_to_back() -> None:
    one = started_tier()
    target = b"/api/upkeep/wish?name=disk&zone=a&out=1&per=zone&share=0.5"
    assert call(one, b"POST", target) == (202, {"state": "wished", "asked": 1})
    one.settle()
    assert call(one, b"POST", target) == (200, {"state": "agreed"})
    status, told = call(one, b"GET", b"/api/upkeep")
    assert status == 200 and told["machines"][0]["state"] == "clear" and told["copies"] == 3
    assert told["wishes"][0]["name"] == "disk" and told["asked"][0]["state"] == "agreed"
    assert call(one, b"POST", b"/api/upkeep/begin?machine=m0")[0] == 202
    one.settle(1)
    assert call(one, b"POST", b"/api/upkeep/begin?machine=m0")[0] == 200
    assert call(one, b"POST", b"/api/upkeep/done?machine=m0")[0] == 202
    assert call(one, b"POST", b"/api/upkeep/withdraw?name=disk")[0] == 202
    one.settle(COLD_US / SECOND + 2)
    assert call(one, b"GET", b"/api/upkeep")[1]["past"][0]["name"] == "disk"
    address = one.list["m1"]["hostPort"].encode()
    assert call(one, b"POST", b"/api/upkeep/wish?name=x&address=" + address)[0] == 202
    assert call(one, b"POST", b"/api/upkeep/absent?peer=2")[0] == 202


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
def test_a_bad_call_is_told_its_error_and_changes_nothing(target: bytes, error: str) -> None:
    one = started_tier()
    before = one.state.dump()
    status, told = call(one, b"POST", b"/api/upkeep" + target)
    assert status == 400 and told["error"] == error and told["cause"] and told["remedy"]
    one.settle(1)
    assert one.state.dump() == before


def test_a_replica_out_of_touch_says_503_and_the_rest_is_none_of_maintenance() -> None:
    one = started_tier()
    one.replicas[1].is_cut_off = True
    assert call(one, b"POST", b"/api/upkeep/wish?name=w&zone=a")[0] == 503
    for path, expected in METHODS.items():
        other = b"POST" if expected == b"GET" else b"GET"
        assert call(one, other, path) == (405, expected)
    assert handle_call(b"GET", b"/api/upkeep/nothing", one.replicas[1].api) is None


def test_the_second_address_asks_maintenance_only_where_it_is_on() -> None:
    one = started_tier()
    api: MaintenanceApi = one.replicas[1].api

    def more(method: bytes, target: bytes) -> Reply | None:
        return handle_call(method, target, api)

    def reply(target: bytes, on: bool) -> Reply:
        return reply_to(b"GET", target, Lifecycle(), 0.0, str, more if on else None)

    assert reply(b"/api/upkeep", False).status == 404
    assert reply(b"/api/upkeep", True).status == 200
    assert reply(b"/api/upkeep/nothing", True).status == 404
    assert reply(b"/api/telemetry?x=1", True).status == 200
