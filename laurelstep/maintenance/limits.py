"""The check of disruption limits: whether another machine may go out of service. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from math import isfinite
from typing import Final

from laurelstep.maintenance.bounds import MAX_MACHINES_PER_REQUEST
from laurelstep.maintenance.entries import DrainedCounts, DrainMachine
from laurelstep.maintenance.records import MachineRecord
from laurelstep.maintenance.requests import DisruptionLimits
from laurelstep.maintenance.states import MachineState

# Tolerance for rounding errors in sums of shares.
ROUNDING: Final = 1e-9
NONE_DRAINED: Final = DrainedCounts(0, 0, 0)


def are_in_range(limits: DisruptionLimits) -> bool:
    """Whether limits from a log entry are within the range that requests may have."""
    return 1 <= limits.max_unavailable <= MAX_MACHINES_PER_REQUEST and 0.0 <= limits.min_capacity_share <= 1.0


def has_valid_numbers(entry: DrainMachine) -> bool:
    """Whether the weights and counts of an entry are finite and not negative."""
    weights = (entry.weight, entry.ready_weight, entry.listed_weight, entry.slow_start_share)
    drained = entry.drained_by_discovery
    return (
        all(isfinite(weight) and weight >= 0.0 for weight in weights)
        and min(drained.zone, drained.cell, drained.tier) >= 0
    )


def violated_limit(
    limits: DisruptionLimits,
    entry: DrainMachine,
    out_of_service: Sequence[MachineRecord],
    ignore_others: bool = False,
) -> str | None:
    """A description of the limit that would be exceeded with the entry's machine out of service too; None if
    all limits would hold.

    `ignore_others`: assume that discovery drains no machine and that all listed ones are ready.
    """
    return _violated_count(limits, entry, out_of_service, ignore_others) or _violated_share(
        limits, entry, out_of_service, ignore_others
    )


def _violated_count(
    limits: DisruptionLimits,
    entry: DrainMachine,
    out_of_service: Sequence[MachineRecord],
    ignore_others: bool,
) -> str | None:
    drained = NONE_DRAINED if ignore_others else entry.drained_by_discovery
    if limits.scope == "zone":
        count = drained.zone + sum(1 for machine in out_of_service if machine.zone == entry.zone)
        location = f"zone {entry.zone}"
    elif limits.scope == "cell":
        count = drained.cell + sum(1 for machine in out_of_service if machine.cell == entry.cell)
        location = f"cell {entry.cell}"
    else:
        count = drained.tier + len(out_of_service)
        location = "the tier"
    if count < limits.max_unavailable:
        return None
    return f"out {limits.max_unavailable} per {limits.scope}: {count} out in {location}"


def _violated_share(
    limits: DisruptionLimits,
    entry: DrainMachine,
    out_of_service: Sequence[MachineRecord],
    ignore_others: bool,
) -> str | None:
    warming_up = sum(
        machine.weight * machine.slow_start_share
        for machine in out_of_service
        if machine.state == MachineState.WARMING_UP
    )
    total = entry.listed_weight + sum(machine.weight for machine in out_of_service)
    in_service = entry.listed_weight if ignore_others else entry.ready_weight
    remaining = in_service - entry.weight + warming_up
    if remaining >= (limits.min_capacity_share - ROUNDING) * total:
        return None
    share = max(0.0, remaining / total) if total else 0.0
    return f"share {limits.min_capacity_share:g}: {share:.3f} would stay"
