"""Whether a machine may leave service beside those that are out: the check of disruption limits. Pure."""

from __future__ import annotations

from collections.abc import Sequence
from math import isfinite
from typing import Final

from laurelstep.maintenance.bounds import MAX_MACHINES_PER_REQUEST
from laurelstep.maintenance.entries import DrainedCounts, DrainMachine
from laurelstep.maintenance.records import MachineRecord
from laurelstep.maintenance.requests import DisruptionLimits
from laurelstep.maintenance.states import MachineState

# Shares are sums of floats: a smaller difference is none.
ROUNDING: Final = 1e-9
NONE_DRAINED: Final = DrainedCounts(0, 0, 0)


def are_in_range(limits: DisruptionLimits) -> bool:
    """Whether limits that came in a log entry are ones that a request may have."""
    return 1 <= limits.max_unavailable <= MAX_MACHINES_PER_REQUEST and 0.0 <= limits.min_capacity_share <= 1.0


def has_finite_facts(entry: DrainMachine) -> bool:
    """Whether the weights and counts of an entry can be reckoned with."""
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
    """Which limit would not hold with the entry's machine out beside the others, in words; None if all hold.

    `ignore_others`: as if discovery drained no machine and all listed ones were ready.
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
        where = f"zone {entry.zone}"
    elif limits.scope == "cell":
        count = drained.cell + sum(1 for machine in out_of_service if machine.cell == entry.cell)
        where = f"cell {entry.cell}"
    else:
        count = drained.tier + len(out_of_service)
        where = "the tier"
    if count < limits.max_unavailable:
        return None
    return f"out {limits.max_unavailable} per {limits.scope}: {count} out in {where}"


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
