"""Plays one plan and checks it."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Final

from laurelstep.testing.soak.checks import Violation, violations
from laurelstep.testing.soak.plan import RUN_S, SIGNALS_BEGIN_S, RunPlan, Signal, draw_plan
from laurelstep.testing.soak.records import RunRecord
from laurelstep.testing.soak.scenarios import MEMORY_SCENARIOS, OTHER_SCENARIOS, SCENARIOS, plain
from laurelstep.testing.soak.world import SoakWorld

MEMORY_MB: Final = 48
# During an upgrade two processes run; the platform's limit then covers both.
UPGRADE_MEMORY_MB: Final = 96
KILL_PAUSE_S: Final = 1.0
SETTLE_S: Final = 1.0


@dataclass(frozen=True, slots=True)
class RunResult:
    """What one run showed."""

    plan: RunPlan
    violations: list[Violation]
    peak_mb: float
    requests: int
    slowest_s: float
    log_lines: list[str]  # of the requests that the violations name


async def play(plan: RunPlan, run_s: float = RUN_S) -> RunResult:
    """Play a plan on a new world."""
    has_upgrade = any(timed.signal is Signal.UPGRADE for timed in plan.signals)
    memory_mb = UPGRADE_MEMORY_MB if has_upgrade else MEMORY_MB
    shares_descriptors = has_upgrade or "crowd" in plan.scenarios
    async with SoakWorld(plan.seed, memory_mb, shares_descriptors) as world:
        until = world.loop.time() + run_s
        async with asyncio.TaskGroup() as group:
            for name in plan.scenarios:
                scenario = plain if name == "plain" else SCENARIOS[name]
                rng = random.Random(f"{plan.seed} {name}")
                group.create_task(scenario(world, rng, until))  # type: ignore[arg-type]
            group.create_task(_send_signals(world, plan))
        await asyncio.sleep(SETTLE_S)
    return _result(plan, world.record, memory_mb, world.program.log_lines)


def _result(plan: RunPlan, record: RunRecord, memory_mb: float, log_lines: Sequence[str]) -> RunResult:
    found = violations(record, memory_mb)
    ids = {word.rstrip(":") for item in found for word in item.detail.split() if word.startswith("s")}
    return RunResult(
        plan,
        found,
        max((sample.megabytes for sample in record.memory), default=0.0),
        len(record.exchanges),
        max(record.latencies, default=0.0),
        [line for line in log_lines if any(f"id={request_id} " in line for request_id in ids)],
    )


async def _send_signals(world: SoakWorld, plan: RunPlan) -> None:
    await asyncio.sleep(SIGNALS_BEGIN_S)
    for timed in plan.signals:
        await asyncio.sleep(timed.pause_s)
        match timed.signal:
            case Signal.UPGRADE:
                await world.upgrade()
            case Signal.RESTART:
                await world.restart()
            case Signal.KILL:
                await world.kill(KILL_PAUSE_S)
            case Signal.RELOAD:
                world.reload()


def plan_of(seed: int, only: Sequence[str] = ()) -> RunPlan:
    """The plan of a seed; with `only`, of these scenarios beside plain service, and without signals."""
    if only:
        return RunPlan(seed, ("plain", *only), ())
    return draw_plan(seed, list(MEMORY_SCENARIOS), list(OTHER_SCENARIOS))
