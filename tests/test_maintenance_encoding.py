"""The encodings that other versions and tools read: log entries, messages, snapshots, HTTP answers, and the
endpoint list that a hot restart passes to the successor.

The bytes were recorded with the code of 9af0195; they must not change."""

from __future__ import annotations

import json

import pytest
from laurelstep.maintenance.entries import (
    SUBSYSTEM_TAG,
    CommandVerb,
    CompleteRequest,
    DrainAcknowledgement,
    DrainedCounts,
    DrainMachine,
    MachineTransition,
    MaintenanceEntry,
    OperatorCommand,
    ReplicaStarted,
    decode_entry,
    decode_message,
    encode,
)
from laurelstep.maintenance.errors import ErrorCode, MaintenanceError
from laurelstep.maintenance.requests import DisruptionLimits, MaintenanceRequest
from laurelstep.maintenance.routes import METHODS, handle_call
from laurelstep.maintenance.state import MaintenanceState

from tests.maintenance import Tier, listed_entry, request_for

REQUEST = MaintenanceRequest("disk", DisruptionLimits(2, "zone", 0.75), ("m1", "m2"), "a", 4, "small", 60)
ENTRIES: dict[str, MaintenanceEntry] = {
    "wish": OperatorCommand(1, 2**63 + 5, 3, "wish", REQUEST),
    "withdraw": OperatorCommand(1, 7, 4, "withdraw", "disk", 11),
    "begin": OperatorCommand(0, 7, 5, "begin", "m1", 12),
    "done": OperatorCommand(0, 7, 6, "done", "m1", 12),
    "absent": OperatorCommand(2, 7, 8, "absent", 1, 9),
    "leave": DrainMachine(
        12, 11, "m1", "a", 4, 1.5, 1_700_000_000_123, 6, 6.0, 7.5, DrainedCounts(1, 2, 3), 0.25
    ),
    "step": MachineTransition("m1", 13, "clear"),
    "drop": MachineTransition("m1", 13, "drop", "replaced"),
    "end": CompleteRequest(14, 11),
    "here": ReplicaStarted(2, 2**64 - 1),
}
ENTRY_BYTES = {
    "wish": "75970101cf800000000000000503a47769736897a46469736b9302a47a6f6e65cb3fe800000000000092a26d31a26d32"
    "a16104a5736d616c6c3c00",
    "withdraw": "759701010704a87769746864726177a46469736b0b",
    "begin": "759701000705a5626567696ea26d310c",
    "done": "759701000706a4646f6e65a26d310c",
    "absent": "759701020708a6616273656e740109",
    "leave": "759d020c0ba26d31a16104cb3ff8000000000000cf0000018bcfe5687b06cb4018000000000000cb401e00000000"
    "000093010203cb3fd0000000000000",
    "step": "759503a26d310da5636c656172a0",
    "drop": "759503a26d310da464726f70a87265706c61636564",
    "end": "7593040e0b",
    "here": "75930502cfffffffffffffffff",
}
MESSAGES: dict[str, DrainAcknowledgement] = {
    "confirm": DrainAcknowledgement(300),
    "unknown": DrainAcknowledgement(-1),
}
MESSAGE_BYTES = {"confirm": "759206cd012c", "unknown": "759206ff"}

# Of a state with an open and a closed request, two machines in different states, verdicts and an absent peer.
SNAPSHOT = (
    "98131391950497a66b65726e656c9309a474696572cb000000000000000093a26d31a26d32a26d33c0c0c000c291cfc2"
    "031297350190909192a26d32a87265706c61636564929aa26d3104a7617420776f726b050ba16104cb3ff80000000000"
    "0011cb3fd00000000000009aa26d3304a76c656176696e670707a16104cb3ff800000000000011cb3fd0000000000000"
    "919603a46469736bc2029192a26d35a4676f6e6592cf569de7aaf34a1c71cfd7425a3c0e696965939200930503a09201"
    "930801b0556e6b6e6f776e576973684572726f729202930602a09102929200059202cfffffffffffffffff"
)
STATUS = (
    '{"copy":0,"copies":3,"leading":true,"known":true,"in_touch":true,"serving_alone":false,"index":1'
    '6,"wishes":[{"name":"disk","out":2,"per":"tier","share":0.0,"state":"waiting","waiting":0,"next"'
    ':[],"done":1,"dropped":[],"kept_by":"","never":false}],"machines":[{"id":"m0","wish":"disk","sta'
    'te":"at work","for_s":8,"missing":null,"quiet_here":true},{"id":"m4","wish":"disk","state":"leav'
    'ing","for_s":5,"missing":[1],"quiet_here":true}],"absent":[],"unheard":[],"past":[{"name":"kerne'
    'l","machines":0,"withdrawn":true,"dropped":[]}],"asked":[{"verb":"wish","what":"disk","state":"a'
    'greed"},{"verb":"begin","what":"m0","state":"agreed"},{"verb":"done","what":"m2","state":"agreed'
    '"},{"verb":"wish","what":"kernel","state":"agreed"},{"verb":"absent","what":2,"state":"agreed"},'
    '{"verb":"withdraw","what":"kernel","state":"agreed"},{"verb":"wish","what":"last","state":"wishe'
    'd"}],"accord":{"role":"leader"}}\n'
)
SUCCESSOR_LIST = (
    '{"generation":41,"reset":true,"instances":[{"instanceId": "m0", "hostPort": "127.0.0.1:9656", "z'
    'one": "a", "machineType": "small", "cell": 1, "lifecycle": "ready", "weight": 1.0, "startedAtMs"'
    ': 1000},{"instanceId": "m1", "hostPort": "127.0.0.1:9215", "zone": "b", "machineType": "small", '
    '"cell": 1, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 1000},{"instanceId": "m2", "hostP'
    'ort": "127.0.0.1:9084", "zone": "a", "machineType": "small", "cell": 1, "lifecycle": "ready", "w'
    'eight": 1.0, "startedAtMs": 1000},{"instanceId": "m3", "hostPort": "127.0.0.1:9179", "zone": "b"'
    ', "machineType": "small", "cell": 1, "lifecycle": "ready", "weight": 1.0, "startedAtMs": 1000},{'
    '"instanceId": "m4", "hostPort": "127.0.0.1:9627", "zone": "a", "machineType": "small", "cell": 1'
    ', "lifecycle": "ready", "weight": 1.0, "startedAtMs": 1000},{"instanceId": "m5", "hostPort": "12'
    '7.0.0.1:9094", "zone": "b", "machineType": "small", "cell": 1, "lifecycle": "ready", "weight": 1'
    '.0, "startedAtMs": 1000}]}'
)
ANSWERS = (
    '[["/wish", 400, "WishError", ["error", "what", "cause", "remedy"]], ["/wish?name=w&zone=a&out=0"'
    ', 400, "LimitError", ["error", "what", "cause", "remedy"]], ["/wish?name=w&id=nobody", 400, "Unk'
    'nownMachineError", ["error", "what", "cause", "remedy"]], ["/withdraw?name=w", 400, "UnknownWish'
    'Error", ["error", "what", "cause", "remedy"]], ["/absent?peer=9", 400, "UnknownPeerError", ["err'
    'or", "what", "cause", "remedy"]], ["/wish?name=last&zone=a", 202, "wished", ["state", "asked"]],'
    ' ["/wish?name=w&zone=a&share=1", 400, "NeverError", ["error", "what", "cause", "remedy"]], ["/wi'
    'sh?name=w&id=m0&zone=a&kind=small&cel", 400, "NeverError", ["error", "what", "cause", "remedy"]]'
    ', ["/begin?machine=m1", 400, "OrderError", ["error", "what", "cause", "remedy"]], ["/begin?machi'
    'ne=m0", 200, "agreed", ["state"]], ["/withdraw?name=disk", 202, "wished", ["state", "asked"]]]'
)


@pytest.mark.parametrize("name", ENTRIES)
def test_an_entry_has_the_recorded_bytes(name: str) -> None:
    data = bytes.fromhex(ENTRY_BYTES[name])
    assert data[:1] == SUBSYSTEM_TAG == b"u"
    assert encode(ENTRIES[name]) == data and decode_entry(data[1:]) == ENTRIES[name]


@pytest.mark.parametrize("name", MESSAGES)
def test_a_message_has_the_recorded_bytes(name: str) -> None:
    data = bytes.fromhex(MESSAGE_BYTES[name])
    assert encode(MESSAGES[name]) == data and decode_message(data) == MESSAGES[name]


def snapshot() -> bytes:
    state = MaintenanceState()

    def drain(machine_id: str, request_number: int, weight: float) -> DrainMachine:
        return DrainMachine(
            state.changed_index,
            request_number,
            machine_id,
            "a",
            4,
            weight,
            17,
            9,
            9.0,
            12.5,
            DrainedCounts(0, 0, 0),
            0.25,
        )

    def apply(
        entry: MaintenanceEntry,
    ) -> None:
        state.apply(state.index + 1, encode(entry)[1:])

    apply(ReplicaStarted(0, 5))
    apply(ReplicaStarted(2, 2**64 - 1))
    apply(
        OperatorCommand(
            0,
            5,
            1,
            "wish",
            MaintenanceRequest("disk", DisruptionLimits(9, "zone", 0.125), (), "a", 4, "small", 60),
        )
    )
    apply(
        OperatorCommand(
            0,
            5,
            2,
            "wish",
            MaintenanceRequest("kernel", DisruptionLimits(9, "tier", 0.0), ("m1", "m2", "m3")),
        )
    )
    for machine_id, number in (("m1", 4), ("m2", 4), ("m3", 4), ("m4", 3), ("m5", 3)):
        apply(drain(machine_id, number, 1.5))
    apply(MachineTransition("m1", state.machines["m1"].since_index, "clear"))
    apply(OperatorCommand(2, 6, 1, "begin", "m1", state.machines["m1"].drain_index))
    apply(MachineTransition("m2", state.machines["m2"].since_index, "drop", "replaced"))
    apply(MachineTransition("m4", state.machines["m4"].since_index, "clear"))
    apply(OperatorCommand(2, 6, 2, "done", "m4"))
    apply(MachineTransition("m5", state.machines["m5"].since_index, "drop", "gone"))
    apply(MachineTransition("m4", state.machines["m4"].since_index, "back"))
    apply(CompleteRequest(state.changed_index, 3))
    apply(OperatorCommand(1, 8, 1, "withdraw", "nothing"))
    apply(OperatorCommand(0, 5, 3, "absent", 2, 2**64 - 1))
    return state.dump()


def test_a_snapshot_has_the_recorded_bytes() -> None:
    assert snapshot().hex() == SNAPSHOT
    state = MaintenanceState()
    state.load(bytes.fromhex(SNAPSHOT))
    assert state.dump().hex() == SNAPSHOT
    assert {machine_id: machine.state.value for machine_id, machine in state.machines.items()} == {
        "m1": "at work",
        "m3": "leaving",
    }


def tier_with_history() -> Tier:
    """A tier with a machine at work, a draining one, and a request that was only submitted."""
    tier = Tier(3, [listed_entry(f"m{n}", "ab"[n % 2]) for n in range(6)])
    tier.settle(2)
    tier.replicas[0].api.submit_request(request_for("disk", 2, zone="a"))
    tier.settle()
    tier.replicas[0].api.report_work(CommandVerb.BEGIN_WORK, "m0")
    tier.settle(1)
    tier.replicas[1].engine.in_flight["m4"] = 1
    tier.replicas[0].api.report_work(CommandVerb.FINISH_WORK, "m2")
    tier.settle(6)
    tier.replicas[0].api.submit_request(request_for("kernel", 1, zone="b"))
    tier.replicas[0].api.declare_absent(2)
    tier.settle(1)
    tier.replicas[0].api.withdraw_request("kernel")
    tier.settle(1)
    tier.replicas[0].api.submit_request(request_for("last", 1, zone="b"))
    return tier


def test_the_status_has_the_recorded_bytes() -> None:
    reply = handle_call(b"GET", b"/api/upkeep", tier_with_history().replicas[0].api)
    assert reply is not None and reply.status == 200 and reply.content_type == b"application/json"
    assert reply.body.decode() == STATUS


def test_the_list_for_a_successor_has_the_recorded_bytes() -> None:
    output: list[bytes] = []
    for _ in tier_with_history().replicas[0].source.dump_in_steps(41, output):
        pass
    assert output[0].decode() == SUCCESSOR_LIST


TARGETS = (
    b"/wish",
    b"/wish?name=w&zone=a&out=0",
    b"/wish?name=w&id=nobody",
    b"/withdraw?name=w",
    b"/absent?peer=9",
    b"/wish?name=last&zone=a",
    b"/wish?name=w&zone=a&share=1",
    b"/wish?name=w&" + b"&".join(b"id=m%d&zone=a" % n for n in range(1)) + b"&kind=small&cell=1&share=0.99",
    b"/begin?machine=m1",
    b"/begin?machine=m0",
    b"/withdraw?name=disk",
)


def test_the_answers_to_calls_have_the_recorded_form() -> None:
    tier = tier_with_history()
    answers = []
    for target in TARGETS:
        reply = handle_call(b"POST", b"/api/upkeep" + target, tier.replicas[0].api)
        assert reply is not None
        answer = json.loads(reply.body)
        answers.append(
            [target.decode()[:40], reply.status, answer.get("error", answer.get("state")), list(answer)]
        )
    assert answers == json.loads(ANSWERS)


def test_paths_and_error_names_are_the_recorded_ones() -> None:
    assert {path.decode(): method.decode() for path, method in METHODS.items()} == {
        "/api/upkeep": "GET",
        "/api/upkeep/wish": "POST",
        "/api/upkeep/withdraw": "POST",
        "/api/upkeep/begin": "POST",
        "/api/upkeep/done": "POST",
        "/api/upkeep/absent": "POST",
    }
    assert {error.code for error in MaintenanceError.__subclasses__()} == set(ErrorCode)
    assert set(ErrorCode) == {
        "WishError", "LimitError", "UnknownMachineError", "UnknownWishError", "UnknownPeerError",
        "ContradictionError", "NeverError", "FitError", "ManyError", "OrderError", "CutOffError",
    }  # fmt: skip
