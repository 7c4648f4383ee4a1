"""Maintenance under random schedules, one for each seed. The consensus log has a total order. All else is
unreliable: messages and proposals are lost, late or repeated, lists are outdated, replicas are cut off or
crash, and deposed leaders continue to propose.

The invariants are checked after every event. At the end of a schedule the faults stop, and every request
must then be completed. Mutants show that violations are found."""

from __future__ import annotations

import pytest
from laurelstep.maintenance import planner as planner_module
from laurelstep.maintenance.acknowledgements import DrainAcknowledgements
from laurelstep.maintenance.entries import (
    DrainAcknowledgement,
    decode_message,
    encode,
)

from tests.maintenance_checker import InvariantError
from tests.maintenance_mutants import MUTANTS, Mutant
from tests.maintenance_world import World
from tests.once import schedule_count

SEED_COUNT = schedule_count(3000)
# Schedules that are run for a mutant: the first ones find it, or none does.
MUTANT_SEED_COUNT = 600


def run_schedule(seed: int) -> None:
    World(seed).run()


def first_violation(seeds: range) -> str:
    """The first violation, with its seed; empty if all invariants hold."""
    for seed in seeds:
        try:
            run_schedule(seed)
        except InvariantError as error:
            return f"{error} (seed {seed})"
    return ""


@pytest.mark.parametrize("part", range(6))
def test_no_schedule_breaks_an_invariant(part: int) -> None:
    assert first_violation(range(part * SEED_COUNT // 6, (part + 1) * SEED_COUNT // 6)) == ""


# --- The checker --------------------------------------------------------------------------


@pytest.mark.parametrize("mutant", MUTANTS, ids=lambda mutant: mutant.__name__)
def test_a_mutant_is_found(mutant: Mutant, monkeypatch: pytest.MonkeyPatch) -> None:
    mutant(monkeypatch)
    violation = first_violation(range(MUTANT_SEED_COUNT))
    assert violation.startswith(MUTANTS[mutant]) and violation, violation or "no violation was found"


def test_the_world_decodes_messages_and_the_mutants_patch_the_planner() -> None:
    """The world decodes messages as a process does, and the planner uses the class that mutants patch."""
    assert decode_message(encode(DrainAcknowledgement(7))) == DrainAcknowledgement(7)
    assert vars(planner_module)["DrainAcknowledgements"] is DrainAcknowledgements
