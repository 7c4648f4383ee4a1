"""The demo's tables on a terminal."""

from __future__ import annotations

import asyncio

from rich.console import Console, Group
from rich.live import Live
from rich.table import Table
from rich.text import Text

from laurelstep.demo.run import DemoRun
from laurelstep.demo.statistics import Summary, quantile

REFRESHES_PER_SECOND = 10
STATE_STYLES = {"ready": "green", "stalled": "red", "draining": "yellow"}


def endpoint_table(run: DemoRun) -> Table:
    """Return a table with a row per endpoint: its state, its open requests, and those it has served."""
    table = Table(title="endpoints")
    for name in ("endpoint", "speed", "state"):
        table.add_column(name)
    for name in ("in flight", "served"):
        table.add_column(name, justify="right")
    for endpoint in run.endpoints:
        state = Text(endpoint.state, STATE_STYLES[endpoint.state])
        table.add_row(endpoint.name, endpoint.speed, state, str(endpoint.in_flight), str(endpoint.served))
    return table


def totals_table(run: DemoRun) -> Table:
    """Return a table with the counts since the start, and the rate and durations of the last second."""
    recent = run.statistics.last_second()
    durations_s = [finished.duration_s for finished in recent if finished.outcome == "served"]
    table = Table(title=f"{run.elapsed_s():.1f} of {run.seconds:.0f} s: {run.event}")
    for name in ("requests/s", "served", "refused", "failed", "p50 ms", "p99 ms"):
        table.add_column(name, justify="right")
    table.add_row(
        str(len(recent)),
        *(str(run.statistics.counts[name]) for name in ("served", "refused", "failed")),
        f"{1000 * quantile(durations_s, 0.5):.1f}",
        f"{1000 * quantile(durations_s, 0.99):.1f}",
    )
    return table


def show(run: DemoRun) -> Summary:
    """Show the run on the terminal, then print its summary."""
    console = Console()
    with Live(console=console, refresh_per_second=REFRESHES_PER_SECOND) as live:

        def on_view() -> None:
            live.update(Group(totals_table(run), endpoint_table(run)))

        summary = asyncio.run(run.run(on_view))
    console.print(
        f"{summary.asked} requests: {summary.served} served, {summary.refused} refused, "
        f"{summary.failed} failed, {summary.unanswered} unanswered; "
        f"p50 {summary.p50_ms} ms, p99 {summary.p99_ms} ms"
    )
    console.print(
        f"orders run twice: {summary.orders_run_twice}; "
        f"sends after the drain grace: {summary.sends_past_the_grace}"
    )
    console.print("all guarantees held" if summary.all_guarantees_held else "a guarantee was violated")
    return summary
