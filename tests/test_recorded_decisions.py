"""The module's actions on recorded event sequences are the same, action by action.

The recording was made from the module while it was one file; each digest covers all actions up
to it, so the first that differs tells within a hundred actions where a decision changed."""

from __future__ import annotations

import json

import pytest

from tests.recorded_decisions.recording import RECORDED, played
from tests.recorded_decisions.scenarios import SCENARIOS, Scenario

EXPECTED = json.loads(RECORDED.read_text())


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda scenario: str(scenario.name))
def test_recorded_events_give_the_recorded_actions(scenario: Scenario) -> None:
    counts, digests = played(scenario)
    expected_counts, expected = EXPECTED[scenario.name]
    differs = next((at for at, pair in enumerate(zip(digests, expected)) if pair[0] != pair[1]), None)  # noqa: B905
    assert differs is None, f"the first other action is within the hundred before {differs * 100 + 100}"
    assert (counts, digests) == (expected_counts, expected)


def test_the_recording_has_every_scenario_and_every_kind_of_action() -> None:
    assert list(EXPECTED) == [scenario.name for scenario in SCENARIOS]
    assert set().union(*(counts for counts, _ in EXPECTED.values())) == set("STRFCXWJ")
