"""Hard cases: replicas that die, lists of different age, discovery in between, all replicas killed."""

from __future__ import annotations

import pytest
from laurelstep.maintenance.entries import (
    CommandVerb,
)
from laurelstep.maintenance.errors import (
    UnsatisfiableRequestError,
)
from laurelstep.maintenance.records import DroppedMachine

from tests.maintenance import (
    LISTED_MACHINES,
    SECOND,
    SLOW_START_US,
    Tier,
    drained_machines,
    listed_entry,
    request_for,
    started_tier,
    tier_with_request,
)


def test_the_sidecar_of_a_machine_dies_while_it_is_at_work() -> None:
    """Its replica comes again from nothing, and sends nothing to it."""
    one = started_tier()
    one.replicas[2].api.submit_request(request_for(zone="a"))
    one.settle()
    one.replicas[2].api.report_work(CommandVerb.BEGIN_WORK, "m0")
    one.settle(1)
    one.replicas[2].crash()
    one.settle(1)
    back = one.restart(2)
    assert not back.engine.ready
    one.settle()
    assert one.state_of("m0") == "at work" and "m0" not in back.engine.ready and len(back.engine.ready) == 5
    back.api.report_work(CommandVerb.FINISH_WORK, "m0")
    one.settle(1)
    assert one.state_of("m0") == "returning" and "m0" in back.engine.ready


def test_a_request_withdrawn_while_half_have_confirmed() -> None:
    one = started_tier(4)
    for replica in one.replicas[2:]:
        replica.engine.in_flight["m0"] = 1
    one.replicas[0].api.submit_request(request_for(zone="a"))
    one.settle()
    missing = one.replicas[0].controller.acknowledgements.missing_peers(
        one.state.machines["m0"].drain_index, one.state, 4
    )
    assert missing == [2, 3]
    one.replicas[3].api.withdraw_request("w")
    one.settle()
    assert not one.state.open_requests and not one.state.machines
    for replica in one.replicas:
        assert replica.engine.ready["m0"] == 1000, "as it was: it never stopped"
    assert one.replicas[1].api.withdraw_request("w") is None, "asked twice, it says yes twice"


def test_a_withdrawn_request_waits_for_who_is_at_work() -> None:
    one = tier_with_request(zone="a", out=2)
    one.replicas[0].api.report_work(CommandVerb.BEGIN_WORK, "m0")
    one.settle(1)
    one.replicas[0].api.withdraw_request("w")
    one.settle()
    assert one.states() == {"m0": "at work"} and "m2" in one.replicas[1].engine.ready
    assert one.replicas[0].api.status()["wishes"][0]["state"] == "withdrawn"
    one.replicas[0].api.report_work(CommandVerb.FINISH_WORK, "m0")
    one.settle(SLOW_START_US / SECOND + 2)
    assert not one.state.open_requests and one.replicas[0].api.status()["past"][0]["withdrawn"]


@pytest.mark.parametrize(
    ("phase", "started_ms", "why"),
    [("gone", 1000, "gone"), ("draining", 1000, "drained by discovery"), ("ready", 9000, "replaced")],
)
def test_discovery_takes_the_machine_that_leaves(phase: str, started_ms: int, why: str) -> None:
    one = started_tier()
    one.replicas[1].engine.in_flight["m0"] = 1
    one.replicas[0].api.submit_request(request_for(zone="a"))
    one.settle(1)
    assert one.state_of("m0") == "leaving"
    one.update_list(listed_entry("m0", "a", phase, started_ms))
    one.settle(4)
    assert "m0" not in one.state.machines
    assert one.state.open_requests and next(iter(one.state.open_requests.values())).dropped == [
        DroppedMachine("m0", why)
    ]
    for replica in one.replicas:
        assert ("m0" in replica.engine.ready) == (phase == "ready"), "discovery wins"
    if phase == "draining":  # it is out as well, by discovery's message
        assert not one.states()
    else:
        assert drained_machines(one) == ["m2"], "the next goes"


@pytest.mark.parametrize("phase", ["gone", "draining", "replaced"])
def test_a_machine_at_work_may_go_and_come_and_stays_out(phase: str) -> None:
    one = tier_with_request(zone="a")
    one.replicas[0].api.report_work(CommandVerb.BEGIN_WORK, "m0")
    one.settle(1)
    one.update_list(listed_entry("m0", "a", "ready" if phase == "replaced" else phase, 9000))
    one.settle(2)
    assert one.state_of("m0") == "at work"
    one.update_list(listed_entry("m0", "a", started_ms=9000))
    one.settle(1)
    assert all("m0" not in replica.engine.ready for replica in one.replicas)
    one.replicas[0].api.report_work(CommandVerb.FINISH_WORK, "m0")
    one.settle(1)
    assert all("m0" in replica.engine.ready for replica in one.replicas)


def test_two_zones_requested_at_once_with_room_for_one() -> None:
    one = started_tier()
    one.replicas[1].api.submit_request(request_for("b-first", 1, "tier", zone="b"))
    one.replicas[2].api.submit_request(request_for("a-then", 1, "tier", zone="a"))
    one.settle()
    (id,) = drained_machines(one)
    first = min(one.state.open_requests.values(), key=lambda request: request.number)
    assert first.request.zone == one.listed[id]["zone"], "the order of the record"
    told = one.replicas[0].api.status()["wishes"]
    assert all("out 1 per tier: 1 out in the tier" in request["kept_by"] for request in told)
    assert not any(request["never"] for request in told)
    done: list[str] = []
    for _ in range(6):
        (id,) = drained_machines(one)
        done.append(id)
        one.replicas[0].api.report_work(CommandVerb.FINISH_WORK, id)
        one.settle(SLOW_START_US / SECOND + 3)
    zones = [one.listed[id]["zone"] for id in done]
    assert sorted(zones, key=zones.index) == zones and not one.state.open_requests


def test_a_request_that_can_never_hold_is_told_with_the_constraint() -> None:
    one = started_tier()
    with pytest.raises(UnsatisfiableRequestError, match=r"share 0\.9: 0\.833 would stay"):
        one.replicas[1].api.submit_request(request_for(share=0.9, zone="a"))
    one.replicas[1].api.submit_request(request_for("strict", share=0.8, zone="b"))
    one.replicas[1].api.submit_request(request_for("wide", out=3, share=0.2, zone="a"))
    one.settle()
    one.update_list(
        listed_entry("m5", "b", "gone"), listed_entry("m4", "a", "gone")
    )  # four are left: a quarter each
    one.settle(2)
    (id,) = drained_machines(one)
    one.replicas[0].api.report_work(CommandVerb.FINISH_WORK, id)
    one.settle(SLOW_START_US / SECOND + 2)
    told = {request["name"]: request for request in one.replicas[0].api.status()["wishes"]}
    assert told["strict"]["never"] and "share 0.8" in told["strict"]["kept_by"]
    assert told["wide"]["never"] and "(wish strict)" in told["wide"]["kept_by"]
    one.replicas[0].api.withdraw_request("strict")
    one.settle()
    assert len(drained_machines(one, 2)) == 2


def test_a_release_replaces_all_sidecars_while_three_requests_are_under_way() -> None:
    one = started_tier(4)
    for name, zone in (("disk", "a"), ("kernel", "b")):
        one.replicas[0].api.submit_request(request_for(name, 2, zone=zone))
    one.replicas[0].api.submit_request(request_for("release", 2, kind="small"))
    one.settle()
    first, second = drained_machines(one, 2)
    one.replicas[0].api.report_work(CommandVerb.BEGIN_WORK, first)
    for me in (3, 2, 1, 0):
        one.settle(1)
        old = set(one.replicas[me].engine.ready)
        one.leaders = {(me + 1) % 4}
        new = one.restart(me)
        assert not new.engine.ready
        one.settle(2)
        assert new.engine.ready.keys() == old, "what is out stays out"
    assert one.states() == {first: "at work", second: "clear"}
    one.leaders = {0}
    finish_all_work(one)
    assert [past.machine_count for past in sorted(one.state.past_requests, key=lambda past: past.name)] == [
        3,
        3,
        6,
    ]


def finish_all_work(one: Tier, rounds: int = 60) -> None:
    """Staff works until all requests are over."""
    for _ in range(rounds):
        for id, state in one.states().items():
            if state in ("clear", "at work", "overdue"):
                one.live_replicas[0].api.report_work(CommandVerb.FINISH_WORK, id)
        one.settle(SLOW_START_US / SECOND + 1)
        if not one.state.open_requests:
            return
    raise AssertionError(one.states())


def test_lists_of_different_age_at_the_replicas() -> None:
    """One does not know the machine, one has it draining, one would be left with none."""
    one = Tier(4, LISTED_MACHINES)
    one.replicas[1].source.on_list(1, True, LISTED_MACHINES[1:])
    one.replicas[2].source.on_list(1, True, [listed_entry("m0", "a", "draining"), *LISTED_MACHINES[1:]])
    one.replicas[3].source.on_list(1, True, [LISTED_MACHINES[0]])
    for replica in one.replicas[1:]:
        replica.list_version = 10**6
    one.settle(2)
    one.replicas[0].api.submit_request(request_for(machine_ids=("m0",)))
    one.settle()
    assert one.state_of("m0") == "leaving" and one.replicas[3].engine.ready.keys() == {"m0"}
    assert one.replicas[0].api.status()["machines"][0]["missing"] == [3], "the last one is never taken"
    for replica in one.replicas[1:]:
        replica.list_version = -1
    one.settle()
    assert drained_machines(one) == ["m0"] and all(
        "m0" not in replica.engine.ready for replica in one.replicas
    )


def test_whoever_leads_with_an_older_list_ends_no_request() -> None:
    one = started_tier()
    one.replicas[0].list_version = 10**6
    one.update_list(listed_entry("m9", "z"), listed_entry("m8", "y"))
    one.settle(1)
    one.replicas[1].api.submit_request(request_for("by-id", machine_ids=("m9",)))
    one.replicas[1].api.submit_request(request_for("by-zone", out=2, zone="y"))
    one.settle()
    told = {request["name"]: request["kept_by"] for request in one.replicas[0].api.status()["wishes"]}
    assert told == {"by-id": "m9: not listed", "by-zone": "no machine that is listed"}
    one.replicas[0].list_version = -1
    one.settle()
    assert drained_machines(one) == ["m9"]


def test_a_new_leader_with_an_older_list_drops_nothing_at_once() -> None:
    one = started_tier()
    one.replicas[1].engine.in_flight["m0"] = 1
    one.replicas[0].api.submit_request(request_for(zone="a"))
    one.settle(1)
    one.update_list(listed_entry("m0", phase="gone"))
    one.restart(2)
    one.leaders = {2}
    one.settle(1)
    one.update_list(listed_entry("m0"))
    one.settle(4)
    assert one.states() == {"m0": "leaving"}


def test_a_status_looks_once_at_what_is_out_at_each_machine() -> None:
    one = started_tier(1, [listed_entry(f"m{n}") for n in range(40)])
    replica = one.replicas[0]
    replica.engine.in_flight.update(f"m{n}" for n in range(40))
    replica.api.submit_request(request_for(out=30, kind="small", zone="a"))
    one.settle(6.0)
    assert len(one.state.machines) == 30
    looks: list[int] = []
    replica.source.in_flight_at = lambda endpoint: looks.append(endpoint) or 1  # type: ignore[func-returns-value]
    assert not any(told["quiet_here"] for told in replica.api.status()["machines"])
    assert len(looks) == 30


def test_two_hundred_replicas() -> None:
    one = Tier(200, [listed_entry(f"m{n}", "ab"[n % 2]) for n in range(10)])
    one.settle(1)
    assert len(one.state.incarnations) == 200
    one.messages.clear()
    one.settle(1)
    assert not one.messages, "none at rest"
    one.replicas[150].api.submit_request(request_for(out=2, per="zone", zone="a"))
    one.settle(2)
    assert drained_machines(one, 2) == ["m0", "m2"]
    assert (
        one.replicas[0].controller.acknowledgements.missing_peers(
            one.state.machines["m2"].drain_index, one.state, 200
        )
        == []
    )


def test_a_machine_that_never_comes_back_is_overdue_and_counts() -> None:
    one = started_tier(overdue_us=10 * SECOND)
    one.replicas[0].api.submit_request(request_for("one", 1, zone="a"))
    one.settle()
    one.replicas[0].api.report_work(CommandVerb.BEGIN_WORK, "m0")
    one.settle(12)
    assert one.states() == {"m0": "overdue"}, "the next does not go: one is out"
    assert one.replicas[0].log_lines == ["maintenance: m0: overdue"]
    one.replicas[0].api.withdraw_request("one")
    one.settle(1)
    one.replicas[0].api.submit_request(request_for("two", 2, machine_ids=("m2", "m4")))
    one.settle(2)
    assert one.states() == {"m0": "overdue", "m2": "clear"}, "with room for two the next goes"
    one.replicas[0].api.report_work(CommandVerb.FINISH_WORK, "m0")
    one.settle(SLOW_START_US / SECOND + 2)
    assert "m0" not in one.states()


def test_a_request_has_its_own_time_until_overdue() -> None:
    one = started_tier(overdue_us=3600 * SECOND)
    one.replicas[0].api.submit_request(request_for(zone="a", overdue_s=5))
    one.settle(9)
    assert one.states() == {"m0": "overdue"}, "clear, and nobody began"


def test_all_processes_killed_between_leaving_and_clear() -> None:
    """With a lasting record it goes on; without, nothing is out and nothing was clear."""
    for lasting in (True, False):
        one = started_tier()
        one.replicas[1].engine.in_flight["m0"] = 1
        one.replicas[0].api.submit_request(request_for(zone="a"))
        one.settle(1)
        assert one.state_of("m0") == "leaving"
        for replica in one.replicas:
            replica.crash()
        if not lasting:
            one.log.clear()
            one.state_machines.load(b"")
            one.epoch = 2
        for me in range(3):
            one.restart(me)
        one.leaders = {1}
        one.settle()
        assert one.states() == ({"m0": "clear"} if lasting else {})
        assert all(("m0" in replica.engine.ready) is not lasting for replica in one.replicas)


def test_a_record_founded_anew_says_what_it_forgot() -> None:
    """One without a seat lives on, and held back what those that decided have all forgotten."""
    one = tier_with_request(zone="a")
    last = one.replicas[2]
    one.log.clear()
    one.state_machines.load(b"")
    one.epoch, last.applied_count = 2, 0
    for me in range(2):
        one.restart(me)
    one.leaders = {0}
    last.state.load(b"")
    one.settle()
    assert last.log_lines == ["maintenance: the cluster was bootstrapped again and lost the drains of m0"]
    assert "m0" in last.engine.ready


def test_the_last_ready_machines_stay() -> None:
    one = started_tier(machines=[listed_entry("m0"), listed_entry("m1")])
    one.replicas[0].api.submit_request(request_for(out=2, zone="a"))
    one.settle()
    assert drained_machines(one) == ["m0"]
    assert one.replicas[0].api.status()["wishes"][0]["kept_by"] == "m1: last: 1 ready in the tier"


def test_a_machine_that_leaves_is_spared_when_all_others_go() -> None:
    one = started_tier(machines=[listed_entry("m0"), listed_entry("m1")])
    one.replicas[1].engine.in_flight["m0"] = 1
    one.replicas[0].api.submit_request(request_for(zone="a"))
    one.settle(1)
    assert one.state_of("m0") == "leaving"
    one.update_list(listed_entry("m1", phase="gone"))
    one.settle(2)
    assert not one.states() and all(replica.engine.ready.keys() == {"m0"} for replica in one.replicas)
    assert one.state.open_requests, "its turn comes again"


def test_what_discovery_drains_counts_as_out() -> None:
    one = started_tier()
    one.update_list(listed_entry("m2", "a", "draining"))
    one.settle(1)
    one.replicas[0].api.submit_request(request_for(per="zone", zone="a"))
    one.settle()
    assert not one.states()
    assert "out 1 per zone: 1 out in zone a" in one.replicas[0].api.status()["wishes"][0]["kept_by"]


def test_cells_and_cold_ones_count() -> None:
    machines = [listed_entry(f"m{n}", "a", cell=n // 2) for n in range(4)]
    one = started_tier(machines=machines)
    one.replicas[0].api.submit_request(request_for(per="cell", share=0.5, zone="a"))
    one.settle()
    assert set(drained_machines(one, 2)) == {"m0", "m2"}, "one of each cell"
    one.replicas[0].api.report_work(CommandVerb.FINISH_WORK, "m0")
    one.settle(1)
    assert "m1" not in one.states(), "the one that is back is cold"
    assert one.replicas[0].api.status()["wishes"][0]["kept_by"].startswith("m1: ")
