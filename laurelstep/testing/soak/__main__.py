"""Plays seeds of the soak and prints one line of JSON for each; exits with 1 if a rule was broken."""

from __future__ import annotations

import argparse
import json
import subprocess
import sys
from collections.abc import Sequence
from concurrent.futures import ThreadPoolExecutor

import uvloop

from laurelstep.testing.soak.plan import RUN_S
from laurelstep.testing.soak.run import RunResult, plan_of, play


def parse_seeds(text: str) -> list[int]:
    """The seeds of a list of numbers and ranges, such as `1-50,77`. ValueError if it is malformed."""
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return seeds


def line_of(result: RunResult) -> str:
    """A result as one line of JSON."""
    return json.dumps(
        {
            "seed": result.plan.seed,
            "scenarios": result.plan.scenarios,
            "signals": [timed.signal.value for timed in result.plan.signals],
            "peak_mb": round(result.peak_mb, 1),
            "requests": result.requests,
            "slowest_plain_s": round(result.slowest_s, 2),
            "violations": [f"{item.rule}: {item.detail}" for item in result.violations[:5]],
            "violation_count": len(result.violations),
            "log": result.log_lines[:10],
        }
    )


def play_elsewhere(seed: int, arguments: Sequence[str]) -> bool:
    """Play one seed in a process of its own; return whether it kept the rules."""
    command = [sys.executable, "-m", "laurelstep.testing.soak", "--seeds", str(seed), *arguments]
    done = subprocess.run(command, stdout=subprocess.PIPE, text=True, check=False)
    print(done.stdout.strip() or f"seed {seed}: exit status {done.returncode}", flush=True)
    return done.returncode == 0


def main() -> int:
    """Run the command; return its exit status."""
    parser = argparse.ArgumentParser(prog="python -m laurelstep.testing.soak", description=__doc__)
    parser.add_argument("--seeds", default="1-3", help="numbers and ranges, such as 1-50,77")
    parser.add_argument("--only", default="", help="names of scenarios, without signals")
    parser.add_argument("--seconds", type=float, default=RUN_S, help="length of each run")
    parser.add_argument("--jobs", type=int, default=2, help="seeds that are played side by side")
    arguments = parser.parse_args()
    seeds, only = parse_seeds(arguments.seeds), [name for name in arguments.only.split(",") if name]
    if len(seeds) == 1:
        result = uvloop.run(play(plan_of(seeds[0], only), arguments.seconds))
        print(line_of(result))
        return 1 if result.violations else 0
    options = ["--only", arguments.only, "--seconds", str(arguments.seconds)]
    with ThreadPoolExecutor(arguments.jobs) as executor:
        kept = list(executor.map(lambda seed: play_elsewhere(seed, options), seeds))
    print(f"{sum(kept)} of {len(seeds)} seeds kept the rules")
    return 0 if all(kept) else 1


if __name__ == "__main__":
    sys.exit(main())
