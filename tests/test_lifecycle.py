"""The phases of a daemon: every question in every phase, and what each phase means."""

from __future__ import annotations

import pytest
from laurelstep.lifecycle import Lifecycle, Phase
from laurelstep.lifecycle.phases import IDLE_CLOSE_DELAY_S

WAYS = {
    Phase.STARTING: (),
    Phase.SERVING: ("serve",),
    Phase.DRAINING: ("serve", "evacuate"),
    Phase.DRAINED: ("serve", "evacuate", "drained"),
    Phase.STOPPING: ("serve", "stop"),
}


def led_to(phase: Phase) -> Lifecycle:
    one = Lifecycle()
    for asked in WAYS[phase]:
        assert getattr(one, asked)(0.0)
    assert one.phase == phase
    return one


@pytest.mark.parametrize(
    ("asked", "becomes"),
    [
        ("serve", {Phase.STARTING: Phase.SERVING}),
        (
            "evacuate",
            {
                Phase.SERVING: Phase.DRAINING,
                Phase.DRAINING: Phase.DRAINING,
                Phase.DRAINED: Phase.DRAINED,
                Phase.STOPPING: Phase.STOPPING,
            },
        ),
        (
            "rejoin",
            {Phase.SERVING: Phase.SERVING, Phase.DRAINING: Phase.SERVING, Phase.DRAINED: Phase.SERVING},
        ),
        ("drained", {Phase.DRAINING: Phase.DRAINED}),
        ("stop", {phase: Phase.STOPPING for phase in Phase if phase != Phase.STOPPING}),
    ],
)
def test_each_question_has_one_stated_result_in_each_phase(asked: str, becomes: dict[Phase, Phase]) -> None:
    for phase in Phase:
        one = led_to(phase)
        assert getattr(one, asked)(1.0) is (phase in becomes), phase
        assert one.phase == becomes.get(phase, phase)


def test_ready_is_said_and_connections_are_kept_while_serving_alone() -> None:
    for phase in Phase:
        one = led_to(phase)
        assert one.is_ready == one.allows_keep_alive == (phase == Phase.SERVING)


def test_what_is_asked_twice_changes_nothing_and_is_told_to_nobody() -> None:
    one, heard = led_to(Phase.SERVING), []
    one.observers.append(lambda: heard.append(one.phase))
    assert one.evacuate(10.0) and one.evacuate(11.0)
    assert one.since == 10.0, "a second call does not put the drain off"
    assert one.rejoin(12.0) and one.rejoin(13.0)
    assert heard == [Phase.DRAINING, Phase.SERVING]


def test_a_connection_is_late_once_those_at_rest_are_gone() -> None:
    one = led_to(Phase.SERVING)
    assert not one.has_short_request_timeout(100.0)
    one.evacuate(100.0)
    assert not one.has_short_request_timeout(
        100.0 + IDLE_CLOSE_DELAY_S - 0.1
    ) and one.has_short_request_timeout(100.0 + IDLE_CLOSE_DELAY_S)
    one.drained(103.0)
    assert one.has_short_request_timeout(103.0)
    one.rejoin(104.0)
    assert not one.has_short_request_timeout(104.0)
