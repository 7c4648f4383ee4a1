"""Maintenance under made schedules: one seed is one schedule. The record has a perfect order; everything
else is lossy, late, doubled, stale, cut off, killed, or proposed by one that does not lead any more.

After every step the rules are checked, by name, against what is true of all replicas at once; then
faults end, and all that was requested has to come to an end. Deliberate faults show that each rule
can fail."""

from __future__ import annotations

import pytest
from laurelstep.maintenance import planner as planner_module
from laurelstep.maintenance.acknowledgements import DrainAcknowledgements
from laurelstep.maintenance.entries import (
    DrainAcknowledgement,
    decode_message,
    encode,
)

from tests.maintenance_checker import BrokenError
from tests.maintenance_mutants import FAULTS, Fault
from tests.maintenance_world import World
from tests.once import schedule_count

SEEDS = schedule_count(3000)
# Of one deliberate fault: found by the first schedules, or not at all.
FAULT_SEEDS = 600


def play(seed: int) -> None:
    World(seed).run()


def first_broken(seeds: range) -> str:
    """The rule that the first schedule breaks, and its seed; nothing if all hold."""
    for seed in seeds:
        try:
            play(seed)
        except BrokenError as error:
            return f"{error} (seed {seed})"
    return ""


@pytest.mark.parametrize("part", range(6))
def test_no_schedule_breaks_a_rule(part: int) -> None:
    assert first_broken(range(part * SEEDS // 6, (part + 1) * SEEDS // 6)) == ""


# --- The checker can fail -----------------------------------------------------------------


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
def test_a_deliberate_fault_is_found(fault: Fault, monkeypatch: pytest.MonkeyPatch) -> None:
    fault(monkeypatch)
    found = first_broken(range(FAULT_SEEDS))
    assert found.startswith(FAULTS[fault]) and found, found or "not found"


def test_messages_and_entries_are_what_they_say() -> None:
    """What the world carries is read as it is on a real link."""
    assert decode_message(encode(DrainAcknowledgement(7))) == DrainAcknowledgement(7)
    assert vars(planner_module)["DrainAcknowledgements"] is DrainAcknowledgements
