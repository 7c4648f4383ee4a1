"""`laurelstep demo`: a daemon on loopback under load, while one endpoint stalls and another drains.

It runs a daemon in a separate process, and discovery, eight endpoints of three speeds and clients, all on
sockets. It ends by itself with a summary.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from collections.abc import Sequence

from laurelstep.demo.run import DemoRun
from laurelstep.demo.statistics import Summary

DEFAULT_SECONDS, MIN_SECONDS, MAX_SECONDS = 15.0, 1.0, 3600.0
DEFAULT_RATE, MIN_RATE, MAX_RATE = 200.0, 1.0, 2000.0


def main(arguments: Sequence[str]) -> int:
    """Run the demo; return exit status 0 if every guarantee held, else 1."""
    parser = argparse.ArgumentParser(prog="laurelstep demo", description=__doc__)
    parser.add_argument("--seconds", type=float, default=DEFAULT_SECONDS, help="duration of the run (15)")
    parser.add_argument("--rate", type=float, default=DEFAULT_RATE, help="requests a second (200)")
    parser.add_argument("--seed", type=int, default=1, help="seed of work and arrival times (1)")
    parser.add_argument("--json", action="store_true", help="print one JSON object at the end, no table")
    options = parser.parse_args(arguments)
    is_in_range = MIN_SECONDS <= options.seconds <= MAX_SECONDS and MIN_RATE <= options.rate <= MAX_RATE
    if not is_in_range:
        parser.error("expected 1 to 3600 seconds and a rate of 1 to 2000")
    run = DemoRun(options.seconds, options.rate, options.seed)
    if options.json:
        summary = asyncio.run(run.run())
        print(json.dumps(summary.as_dict()))
    else:
        summary = _show(run)
    return 0 if summary.all_guarantees_held else 1


def _show(run: DemoRun) -> Summary:
    try:
        from laurelstep.demo.view import show
    except ImportError:
        sys.exit("laurelstep: the table needs rich: pip install 'laurelstep[demo]', or use --json")
    return show(run)
