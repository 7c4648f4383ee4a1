"""Where the recording is stored, and how a scenario is played for it."""

from __future__ import annotations

from pathlib import Path

from tests.recorded_decisions.scenarios import SCENARIOS, Scenario
from tests.recorded_decisions.world import World

RECORDED = Path(__file__).parents[1] / "fixtures" / "recorded_decisions.json"
FIRST_SEED = 41


def played(scenario: Scenario) -> tuple[dict[str, int], list[str]]:
    """How many actions of each kind the scenario gives, and the digests of all of them in order."""
    recording = World(scenario, FIRST_SEED + SCENARIOS.index(scenario)).play()
    return dict(sorted(recording.counts.items())), recording.digests
