"""Maintenance under faults: crashes of replicas, outdated lists, and changes by discovery during a drain."""

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


def test_a_replica_that_crashes_while_a_machine_is_at_work_sends_nothing_there_after_its_restart() -> None:
    """The restarted replica has no state until it has caught up."""
    tier = started_tier()
    tier.replicas[2].api.submit_request(request_for(zone="a"))
    tier.settle()
    tier.replicas[2].api.report_work(CommandVerb.BEGIN_WORK, "m0")
    tier.settle(1)
    tier.replicas[2].crash()
    tier.settle(1)
    restarted = tier.restart(2)
    assert not restarted.engine.ready
    tier.settle()
    assert (
        tier.state_of("m0") == "at work"
        and "m0" not in restarted.engine.ready
        and len(restarted.engine.ready) == 5
    )
    restarted.api.report_work(CommandVerb.FINISH_WORK, "m0")
    tier.settle(1)
    assert tier.state_of("m0") == "returning" and "m0" in restarted.engine.ready


def test_a_request_is_withdrawn_when_half_of_the_replicas_have_acknowledged_its_drain() -> None:
    tier = started_tier(4)
    for replica in tier.replicas[2:]:
        replica.engine.in_flight["m0"] = 1
    tier.replicas[0].api.submit_request(request_for(zone="a"))
    tier.settle()
    missing = tier.replicas[0].controller.acknowledgements.missing_peers(
        tier.state.machines["m0"].drain_index, tier.state, 4
    )
    assert missing == [2, 3]
    tier.replicas[3].api.withdraw_request("w")
    tier.settle()
    assert not tier.state.open_requests and not tier.state.machines
    for replica in tier.replicas:
        assert replica.engine.ready["m0"] == 1000, "the start time is unchanged: it never stopped"
    assert tier.replicas[1].api.withdraw_request("w") is None, "a repeated call succeeds"


def test_a_withdrawn_request_stays_open_until_work_in_progress_is_finished() -> None:
    tier = tier_with_request(zone="a", out=2)
    tier.replicas[0].api.report_work(CommandVerb.BEGIN_WORK, "m0")
    tier.settle(1)
    tier.replicas[0].api.withdraw_request("w")
    tier.settle()
    assert tier.states() == {"m0": "at work"} and "m2" in tier.replicas[1].engine.ready
    assert tier.replicas[0].api.status()["wishes"][0]["state"] == "withdrawn"
    tier.replicas[0].api.report_work(CommandVerb.FINISH_WORK, "m0")
    tier.settle(SLOW_START_US / SECOND + 2)
    assert not tier.state.open_requests and tier.replicas[0].api.status()["past"][0]["withdrawn"]


@pytest.mark.parametrize(
    ("phase", "started_ms", "reason"),
    [("gone", 1000, "gone"), ("draining", 1000, "drained by discovery"), ("ready", 9000, "replaced")],
)
def test_a_draining_machine_changed_by_discovery_is_dropped(phase: str, started_ms: int, reason: str) -> None:
    tier = started_tier()
    tier.replicas[1].engine.in_flight["m0"] = 1
    tier.replicas[0].api.submit_request(request_for(zone="a"))
    tier.settle(1)
    assert tier.state_of("m0") == "leaving"
    tier.update_list(listed_entry("m0", "a", phase, started_ms))
    tier.settle(4)
    assert "m0" not in tier.state.machines
    assert tier.state.open_requests and next(iter(tier.state.open_requests.values())).dropped == [
        DroppedMachine("m0", reason)
    ]
    for replica in tier.replicas:
        assert ("m0" in replica.engine.ready) == (phase == "ready"), "discovery has precedence"
    if phase == "draining":  # the machine counts as out of service, so no other drains
        assert not tier.states()
    else:
        assert drained_machines(tier) == ["m2"], "the next machine drains"


@pytest.mark.parametrize("phase", ["gone", "draining", "replaced"])
def test_a_machine_at_work_stays_out_of_service_when_discovery_removes_and_lists_it_again(phase: str) -> None:
    tier = tier_with_request(zone="a")
    tier.replicas[0].api.report_work(CommandVerb.BEGIN_WORK, "m0")
    tier.settle(1)
    tier.update_list(listed_entry("m0", "a", "ready" if phase == "replaced" else phase, 9000))
    tier.settle(2)
    assert tier.state_of("m0") == "at work"
    tier.update_list(listed_entry("m0", "a", started_ms=9000))
    tier.settle(1)
    assert all("m0" not in replica.engine.ready for replica in tier.replicas)
    tier.replicas[0].api.report_work(CommandVerb.FINISH_WORK, "m0")
    tier.settle(1)
    assert all("m0" in replica.engine.ready for replica in tier.replicas)


def test_two_requests_that_allow_one_machine_out_are_served_in_the_order_of_the_log() -> None:
    tier = started_tier()
    tier.replicas[1].api.submit_request(request_for("b-first", 1, "tier", zone="b"))
    tier.replicas[2].api.submit_request(request_for("a-then", 1, "tier", zone="a"))
    tier.settle()
    (machine_id,) = drained_machines(tier)
    first = min(tier.state.open_requests.values(), key=lambda request: request.number)
    assert first.request.zone == tier.listed[machine_id]["zone"], "the order of the log"
    requests = tier.replicas[0].api.status()["wishes"]
    assert all("out 1 per tier: 1 out in the tier" in request["kept_by"] for request in requests)
    assert not any(request["never"] for request in requests)
    finished: list[str] = []
    for _ in range(6):
        (machine_id,) = drained_machines(tier)
        finished.append(machine_id)
        tier.replicas[0].api.report_work(CommandVerb.FINISH_WORK, machine_id)
        tier.settle(SLOW_START_US / SECOND + 3)
    zones = [tier.listed[machine_id]["zone"] for machine_id in finished]
    assert sorted(zones, key=zones.index) == zones and not tier.state.open_requests


def test_a_request_that_cannot_be_satisfied_is_reported_with_the_violated_limit() -> None:
    tier = started_tier()
    with pytest.raises(UnsatisfiableRequestError, match=r"share 0\.9: 0\.833 would stay"):
        tier.replicas[1].api.submit_request(request_for(share=0.9, zone="a"))
    tier.replicas[1].api.submit_request(request_for("strict", share=0.8, zone="b"))
    tier.replicas[1].api.submit_request(request_for("wide", out=3, share=0.2, zone="a"))
    tier.settle()
    tier.update_list(
        listed_entry("m5", "b", "gone"), listed_entry("m4", "a", "gone")
    )  # four are left, each with a quarter of the capacity
    tier.settle(2)
    (machine_id,) = drained_machines(tier)
    tier.replicas[0].api.report_work(CommandVerb.FINISH_WORK, machine_id)
    tier.settle(SLOW_START_US / SECOND + 2)
    requests = {request["name"]: request for request in tier.replicas[0].api.status()["wishes"]}
    assert requests["strict"]["never"] and "share 0.8" in requests["strict"]["kept_by"]
    assert requests["wide"]["never"] and "(wish strict)" in requests["wide"]["kept_by"]
    tier.replicas[0].api.withdraw_request("strict")
    tier.settle()
    assert len(drained_machines(tier, 2)) == 2


def test_all_replicas_are_replaced_while_three_requests_are_open() -> None:
    tier = started_tier(4)
    for name, zone in (("disk", "a"), ("kernel", "b")):
        tier.replicas[0].api.submit_request(request_for(name, 2, zone=zone))
    tier.replicas[0].api.submit_request(request_for("release", 2, kind="small"))
    tier.settle()
    first, second = drained_machines(tier, 2)
    tier.replicas[0].api.report_work(CommandVerb.BEGIN_WORK, first)
    for index in (3, 2, 1, 0):
        tier.settle(1)
        ready_before = set(tier.replicas[index].engine.ready)
        tier.leaders = {(index + 1) % 4}
        restarted = tier.restart(index)
        assert not restarted.engine.ready
        tier.settle(2)
        assert restarted.engine.ready.keys() == ready_before, "machines out of service stay out"
    assert tier.states() == {first: "at work", second: "clear"}
    tier.leaders = {0}
    finish_all_work(tier)
    assert [past.machine_count for past in sorted(tier.state.past_requests, key=lambda past: past.name)] == [
        3,
        3,
        6,
    ]


def finish_all_work(tier: Tier, round_count: int = 60) -> None:
    """Report work finished until all requests are closed."""
    for _ in range(round_count):
        for machine_id, state in tier.states().items():
            if state in ("clear", "at work", "overdue"):
                tier.live_replicas[0].api.report_work(CommandVerb.FINISH_WORK, machine_id)
        tier.settle(SLOW_START_US / SECOND + 1)
        if not tier.state.open_requests:
            return
    raise AssertionError(tier.states())


def test_replicas_with_different_lists_drain_a_machine() -> None:
    """One list lacks the machine, one has it draining, and one has no other machine."""
    tier = Tier(4, LISTED_MACHINES)
    tier.replicas[1].source.on_list(1, True, LISTED_MACHINES[1:])
    tier.replicas[2].source.on_list(1, True, [listed_entry("m0", "a", "draining"), *LISTED_MACHINES[1:]])
    tier.replicas[3].source.on_list(1, True, [LISTED_MACHINES[0]])
    for replica in tier.replicas[1:]:
        replica.list_version = 10**6
    tier.settle(2)
    tier.replicas[0].api.submit_request(request_for(machine_ids=("m0",)))
    tier.settle()
    assert tier.state_of("m0") == "leaving" and tier.replicas[3].engine.ready.keys() == {"m0"}
    assert tier.replicas[0].api.status()["machines"][0]["missing"] == [3], "its last ready machine stays"
    for replica in tier.replicas[1:]:
        replica.list_version = -1
    tier.settle()
    assert drained_machines(tier) == ["m0"] and all(
        "m0" not in replica.engine.ready for replica in tier.replicas
    )


def test_a_leader_with_an_outdated_list_completes_no_request() -> None:
    tier = started_tier()
    tier.replicas[0].list_version = 10**6
    tier.update_list(listed_entry("m9", "z"), listed_entry("m8", "y"))
    tier.settle(1)
    tier.replicas[1].api.submit_request(request_for("by-id", machine_ids=("m9",)))
    tier.replicas[1].api.submit_request(request_for("by-zone", out=2, zone="y"))
    tier.settle()
    reasons = {request["name"]: request["kept_by"] for request in tier.replicas[0].api.status()["wishes"]}
    assert reasons == {"by-id": "m9: not listed", "by-zone": "no machine that is listed"}
    tier.replicas[0].list_version = -1
    tier.settle()
    assert drained_machines(tier) == ["m9"]


def test_a_new_leader_with_an_outdated_list_does_not_drop_a_draining_machine_at_once() -> None:
    tier = started_tier()
    tier.replicas[1].engine.in_flight["m0"] = 1
    tier.replicas[0].api.submit_request(request_for(zone="a"))
    tier.settle(1)
    tier.update_list(listed_entry("m0", phase="gone"))
    tier.restart(2)
    tier.leaders = {2}
    tier.settle(1)
    tier.update_list(listed_entry("m0"))
    tier.settle(4)
    assert tier.states() == {"m0": "leaving"}


def test_a_status_counts_the_requests_in_flight_of_each_machine_once() -> None:
    tier = started_tier(1, [listed_entry(f"m{n}") for n in range(40)])
    replica = tier.replicas[0]
    replica.engine.in_flight.update(f"m{n}" for n in range(40))
    replica.api.submit_request(request_for(out=30, kind="small", zone="a"))
    tier.settle(6.0)
    assert len(tier.state.machines) == 30
    counted: list[int] = []
    replica.source.in_flight_at = lambda endpoint: counted.append(endpoint) or 1  # type: ignore[func-returns-value]
    assert not any(machine["quiet_here"] for machine in replica.api.status()["machines"])
    assert len(counted) == 30


def test_two_hundred_replicas_drain_machines_and_send_nothing_while_idle() -> None:
    tier = Tier(200, [listed_entry(f"m{n}", "ab"[n % 2]) for n in range(10)])
    tier.settle(1)
    assert len(tier.state.incarnations) == 200
    tier.messages.clear()
    tier.settle(1)
    assert not tier.messages, "no messages while idle"
    tier.replicas[150].api.submit_request(request_for(out=2, per="zone", zone="a"))
    tier.settle(2)
    assert drained_machines(tier, 2) == ["m0", "m2"]
    assert (
        tier.replicas[0].controller.acknowledgements.missing_peers(
            tier.state.machines["m2"].drain_index, tier.state, 200
        )
        == []
    )


def test_a_machine_whose_work_is_not_finished_becomes_overdue_and_counts_as_out() -> None:
    tier = started_tier(overdue_us=10 * SECOND)
    tier.replicas[0].api.submit_request(request_for("one", 1, zone="a"))
    tier.settle()
    tier.replicas[0].api.report_work(CommandVerb.BEGIN_WORK, "m0")
    tier.settle(12)
    assert tier.states() == {"m0": "overdue"}, "the next does not drain: one is out of service"
    assert tier.replicas[0].log_lines == ["maintenance: m0: overdue"]
    tier.replicas[0].api.withdraw_request("one")
    tier.settle(1)
    tier.replicas[0].api.submit_request(request_for("two", 2, machine_ids=("m2", "m4")))
    tier.settle(2)
    assert tier.states() == {"m0": "overdue", "m2": "clear"}, "the next drains if two may be out of service"
    tier.replicas[0].api.report_work(CommandVerb.FINISH_WORK, "m0")
    tier.settle(SLOW_START_US / SECOND + 2)
    assert "m0" not in tier.states()


def test_a_request_may_set_the_time_until_its_machines_are_overdue() -> None:
    tier = started_tier(overdue_us=3600 * SECOND)
    tier.replicas[0].api.submit_request(request_for(zone="a", overdue_s=5))
    tier.settle(9)
    assert tier.states() == {"m0": "overdue"}, "drained, and no work has begun"


def test_all_replicas_crash_during_a_drain() -> None:
    """With a durable log the drain continues. Without, no machine is out of service, and none was reported
    clear.
    """
    for is_durable in (True, False):
        tier = started_tier()
        tier.replicas[1].engine.in_flight["m0"] = 1
        tier.replicas[0].api.submit_request(request_for(zone="a"))
        tier.settle(1)
        assert tier.state_of("m0") == "leaving"
        for replica in tier.replicas:
            replica.crash()
        if not is_durable:
            tier.log.clear()
            tier.state_machines.load(b"")
            tier.epoch = 2
        for index in range(3):
            tier.restart(index)
        tier.leaders = {1}
        tier.settle()
        assert tier.states() == ({"m0": "clear"} if is_durable else {})
        assert all(("m0" in replica.engine.ready) is not is_durable for replica in tier.replicas)


def test_the_drains_that_a_new_bootstrap_lost_are_logged() -> None:
    """A replica that is no voter survives with a cordon, while all voters have lost their state."""
    tier = tier_with_request(zone="a")
    last = tier.replicas[2]
    tier.log.clear()
    tier.state_machines.load(b"")
    tier.epoch, last.applied_count = 2, 0
    for index in range(2):
        tier.restart(index)
    tier.leaders = {0}
    last.state.load(b"")
    tier.settle()
    assert last.log_lines == ["maintenance: the cluster was bootstrapped again and lost the drains of m0"]
    assert "m0" in last.engine.ready


def test_the_last_ready_machine_is_not_drained() -> None:
    tier = started_tier(machines=[listed_entry("m0"), listed_entry("m1")])
    tier.replicas[0].api.submit_request(request_for(out=2, zone="a"))
    tier.settle()
    assert drained_machines(tier) == ["m0"]
    assert tier.replicas[0].api.status()["wishes"][0]["kept_by"] == "m1: last: 1 ready in the tier"


def test_a_draining_machine_stays_in_service_when_all_others_are_gone() -> None:
    tier = started_tier(machines=[listed_entry("m0"), listed_entry("m1")])
    tier.replicas[1].engine.in_flight["m0"] = 1
    tier.replicas[0].api.submit_request(request_for(zone="a"))
    tier.settle(1)
    assert tier.state_of("m0") == "leaving"
    tier.update_list(listed_entry("m1", phase="gone"))
    tier.settle(2)
    assert not tier.states() and all(replica.engine.ready.keys() == {"m0"} for replica in tier.replicas)
    assert tier.state.open_requests, "it will be drained later"


def test_machines_that_discovery_drains_count_as_out_of_service() -> None:
    tier = started_tier()
    tier.update_list(listed_entry("m2", "a", "draining"))
    tier.settle(1)
    tier.replicas[0].api.submit_request(request_for(per="zone", zone="a"))
    tier.settle()
    assert not tier.states()
    assert "out 1 per zone: 1 out in zone a" in tier.replicas[0].api.status()["wishes"][0]["kept_by"]


def test_limits_per_cell_and_of_capacity_with_a_machine_that_warms_up() -> None:
    machines = [listed_entry(f"m{n}", "a", cell=n // 2) for n in range(4)]
    tier = started_tier(machines=machines)
    tier.replicas[0].api.submit_request(request_for(per="cell", share=0.5, zone="a"))
    tier.settle()
    assert set(drained_machines(tier, 2)) == {"m0", "m2"}, "one machine of each cell"
    tier.replicas[0].api.report_work(CommandVerb.FINISH_WORK, "m0")
    tier.settle(1)
    assert "m1" not in tier.states(), "the machine that has returned warms up"
    assert tier.replicas[0].api.status()["wishes"][0]["kept_by"].startswith("m1: ")
