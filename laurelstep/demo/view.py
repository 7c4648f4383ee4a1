"""The demo on a terminal."""

from __future__ import annotations

import asyncio

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from laurelstep.demo.world import Summary, World, part, play

STYLES = {"ready": "green", "stalled": "red", "draining": "yellow"}


def endpoints(world: World) -> Table:
    table = Table(title="endpoints")
    for name in ("endpoint", "speed", "state"):
        table.add_column(name)
    for name in ("in flight", "served"):
        table.add_column(name, justify="right")
    for one in world.workers:
        state = Text(one.state, STYLES[one.state])
        table.add_row(one.name, one.speed, state, str(one.held), str(one.served))
    return table


def totals(world: World) -> Table:
    rate, times = world.last_second()
    table = Table(title=f"{world.elapsed():.1f} of {world.seconds:.0f} s: {world.event}")
    for name in ("requests/s", "served", "refused", "failed", "p50 ms", "p99 ms"):
        table.add_column(name, justify="right")
    table.add_row(
        str(rate),
        *(str(world.totals[name]) for name in ("served", "refused", "failed")),
        f"{1000 * part(times, 0.5):.1f}",
        f"{1000 * part(times, 0.99):.1f}",
    )
    return table


def show(world: World) -> Summary:
    console = Console()
    with Live(console=console, refresh_per_second=10) as live:
        summary = asyncio.run(play(world, lambda: live.update(Group(totals(world), endpoints(world)))))
    console.print(
        f"{summary.asked} asked: {summary.served} served, {summary.refused} refused, "
        f"{summary.failed} failed, {summary.unanswered} unanswered; "
        f"p50 {summary.p50_ms} ms, p99 {summary.p99_ms} ms"
    )
    console.print(
        f"orders run twice: {summary.orders_run_twice}; "
        f"sends past the drain's grace: {summary.sends_past_the_grace}"
    )
    console.print("all promises kept" if summary.kept else "a promise was broken")
    return summary
