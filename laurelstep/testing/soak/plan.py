"""Draws what one run of the soak does, from its seed. Pure."""

from __future__ import annotations

import random
from collections.abc import Sequence
from dataclasses import dataclass
from enum import StrEnum
from typing import Final

# The length of a run, and when its signals come, in s.
RUN_S: Final = 12.0
SIGNALS_BEGIN_S: Final = 2.0
SIGNAL_PAUSES_S: Final = (0.3, 2.0)
MAX_SIGNALS: Final = 3
# SIGKILL comes no sooner than this after SIGTERM: the longest deadline, and 0.7 s.
LONGEST_WAIT_S: Final = 2.5
KILL_AFTER_STOP_S: Final = LONGEST_WAIT_S + 0.7
CROWD_SHARE: Final = 0.3
FAULTY_PATHS_SHARE: Final = 0.25


class Signal(StrEnum):
    """What happens to the process."""

    UPGRADE = "upgrade"
    RESTART = "restart"  # SIGTERM, and SIGKILL at the earliest time
    KILL = "kill"
    RELOAD = "reload"


@dataclass(frozen=True, slots=True)
class TimedSignal:
    """A signal, and the pause before it in s."""

    pause_s: float
    signal: Signal


@dataclass(frozen=True, slots=True)
class RunPlan:
    """What one run does."""

    seed: int
    scenarios: tuple[str, ...]
    signals: tuple[TimedSignal, ...]


def draw_plan(seed: int, memory: Sequence[str], other: Sequence[str]) -> RunPlan:
    """The plan of a seed, from the names of scenarios that hold memory and of others."""
    rng = random.Random(f"{seed} plan")
    scenarios = ["plain", rng.choice(memory), *rng.sample(list(other), 2)]
    if rng.random() < CROWD_SHARE:
        scenarios.append("crowd")
    has_faulty_paths = rng.random() < FAULTY_PATHS_SHARE
    sound = [name for name in scenarios if name not in ("late_bodies", "steady_bodies")]
    if has_faulty_paths:  # under which no answer is sound
        scenarios = [*sound, "faulty_paths"]
    return RunPlan(seed, tuple(scenarios), _draw_signals(rng))


def _draw_signals(rng: random.Random) -> tuple[TimedSignal, ...]:
    """A series of one kind, or a mixed one, or none."""
    kinds = rng.choice([[], [Signal.KILL], [Signal.UPGRADE], [Signal.RESTART], list(Signal)])
    if not kinds:
        return ()
    count = rng.randint(1, MAX_SIGNALS)
    return tuple(TimedSignal(rng.uniform(*SIGNAL_PAUSES_S), rng.choice(kinds)) for _ in range(count))
