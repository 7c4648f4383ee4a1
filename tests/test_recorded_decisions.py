"""The balancer's actions on recorded event sequences are unchanged.

The recording was made when the balancing package was a single module. Each digest covers all actions
before it, so the first one that differs locates a changed decision within a hundred actions.
"""

from __future__ import annotations

import json

import pytest

from tests.recorded_decisions.recording import RECORDING_PATH, simulate
from tests.recorded_decisions.scenarios import SCENARIOS, Scenario

EXPECTED = json.loads(RECORDING_PATH.read_text())


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: str(scenario.name))
def test_recorded_events_give_the_recorded_actions(scenario: Scenario) -> None:
    counts, digests = simulate(scenario)
    expected_counts, expected = EXPECTED[scenario.name]
    differing = next((index for index, pair in enumerate(zip(digests, expected)) if pair[0] != pair[1]), None)  # noqa: B905
    assert differing is None, (
        f"the first different action is among the hundred before {differing * 100 + 100}"
    )
    assert (counts, digests) == (expected_counts, expected)


def test_the_recording_has_every_scenario_and_every_kind_of_action() -> None:
    assert list(EXPECTED) == [scenario.name for scenario in SCENARIOS]
    assert set().union(*(counts for counts, _ in EXPECTED.values())) == set("STRFCXWJ")
