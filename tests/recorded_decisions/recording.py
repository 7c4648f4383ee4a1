"""The file of the recording, and the simulation of a scenario for it."""

from __future__ import annotations

from pathlib import Path

from tests.recorded_decisions.scenarios import SCENARIOS, Scenario
from tests.recorded_decisions.world import World

RECORDING_PATH = Path(__file__).parents[1] / "fixtures" / "recorded_decisions.json"
FIRST_SEED = 41


def simulate(scenario: Scenario) -> tuple[dict[str, int], list[str]]:
    """Simulate a scenario; returns the number of actions of each kind and the digests of all actions."""
    recording = World(scenario, FIRST_SEED + SCENARIOS.index(scenario)).play()
    return dict(sorted(recording.counts.items())), recording.digests
