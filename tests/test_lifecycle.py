"""The phases of a daemon: every event in every phase, and what each phase means for clients."""

from __future__ import annotations

import pytest
from laurelstep.lifecycle import Lifecycle, Phase
from laurelstep.lifecycle.phases import IDLE_CLOSE_DELAY_S

EVENTS_TO = {
    Phase.STARTING: (),
    Phase.SERVING: ("serve",),
    Phase.DRAINING: ("serve", "evacuate"),
    Phase.DRAINED: ("serve", "evacuate", "drained"),
    Phase.STOPPING: ("serve", "stop"),
}


def lifecycle_in(phase: Phase) -> Lifecycle:
    lifecycle = Lifecycle()
    for event in EVENTS_TO[phase]:
        assert getattr(lifecycle, event)(0.0)
    assert lifecycle.phase == phase
    return lifecycle


@pytest.mark.parametrize(
    ("event", "next_phases"),
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
def test_each_event_has_its_specified_result_in_each_phase(
    event: str, next_phases: dict[Phase, Phase]
) -> None:
    for phase in Phase:
        lifecycle = lifecycle_in(phase)
        assert getattr(lifecycle, event)(1.0) is (phase in next_phases), phase
        assert lifecycle.phase == next_phases.get(phase, phase)


def test_only_while_serving_it_is_ready_and_keeps_connections() -> None:
    for phase in Phase:
        lifecycle = lifecycle_in(phase)
        assert lifecycle.is_ready == lifecycle.allows_keep_alive == (phase == Phase.SERVING)


def test_a_repeated_event_changes_nothing_and_notifies_no_observer() -> None:
    lifecycle, phases = lifecycle_in(Phase.SERVING), []
    lifecycle.observers.append(lambda: phases.append(lifecycle.phase))
    assert lifecycle.evacuate(10.0) and lifecycle.evacuate(11.0)
    assert lifecycle.since == 10.0, "a second call does not postpone the end of the drain"
    assert lifecycle.rejoin(12.0) and lifecycle.rejoin(13.0)
    assert phases == [Phase.DRAINING, Phase.SERVING]


def test_a_new_connection_has_a_short_timeout_once_idle_ones_are_closed() -> None:
    lifecycle = lifecycle_in(Phase.SERVING)
    assert not lifecycle.has_short_request_timeout(100.0)
    lifecycle.evacuate(100.0)
    assert not lifecycle.has_short_request_timeout(
        100.0 + IDLE_CLOSE_DELAY_S - 0.1
    ) and lifecycle.has_short_request_timeout(100.0 + IDLE_CLOSE_DELAY_S)
    lifecycle.drained(103.0)
    assert lifecycle.has_short_request_timeout(103.0)
    lifecycle.rejoin(104.0)
    assert not lifecycle.has_short_request_timeout(104.0)
