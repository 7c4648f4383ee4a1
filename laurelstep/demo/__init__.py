"""`laurelstep demo`: a small world on loopback, in which one endpoint stalls and one drains.

Everything in it is real: a daemon in a process of its own, discovery, eight endpoints of
three speeds and clients on sockets. It ends by itself with a summary."""

from __future__ import annotations

import argparse
import asyncio
import json
import sys
from collections.abc import Sequence

from laurelstep.demo.world import Summary, World, play


def main(arguments: Sequence[str]) -> int:
    parser = argparse.ArgumentParser(prog="laurelstep demo", description=__doc__)
    parser.add_argument("--seconds", type=float, default=15.0, help="how long it runs (15)")
    parser.add_argument("--rate", type=float, default=200.0, help="requests a second (200)")
    parser.add_argument("--seed", type=int, default=1, help="for the draws of work and arrivals (1)")
    parser.add_argument("--json", action="store_true", help="no table: one JSON object at the end")
    given = parser.parse_args(arguments)
    if not 1.0 <= given.seconds <= 3600.0 or not 1.0 <= given.rate <= 2000.0:
        parser.error("expected 1 to 3600 seconds and a rate of 1 to 2000")
    world = World(given.seconds, given.rate, given.seed)
    if given.json:
        summary = asyncio.run(play(world))
        print(json.dumps(summary.as_dict()))
    else:
        summary = _shown(world)
    return 0 if summary.kept else 1


def _shown(world: World) -> Summary:
    try:
        from laurelstep.demo.view import show
    except ImportError:
        sys.exit("laurelstep: the table needs rich: pip install 'laurelstep[demo]', or use --json")
    return show(world)
