"""Maintenance in tiers of real processes, under load and faults. Endpoints and relays count what came of it:
no request lost, none run twice, none sent to a machine after any process said that it is clear.

Each test looks at all its processes all the time (`StatusWatch`): the first that says clear is held to it.
Where a machine must stay in `leaving`, an endpoint holds its answers or a process is cut off: what a
test brings about then comes between leaving and clear however slow the machine is."""

from __future__ import annotations

import asyncio
from typing import Final

import pytest
from laurelstep.testing.processes import NetworkFaults
from laurelstep.testing.processes.history_checks import SENT_AFTER_DRAINED

from tests.maintenance_processes import (
    OperatorAtWork,
    inject_fault,
    play,
    watched,
)

# --- A night without faults -------------------------------------------------------------


def test_three_machines_are_rolled_one_after_the_other() -> None:
    async def main() -> None:
        async with watched(3, 3) as (tier, watch):
            machines = ["s-0", "s-2", "s-1"]  # by their zones
            await watch.wish(0, *machines, out=1, share=0.5)
            for process, machine in enumerate(machines):
                await watch.work(process, machine)
                await watch.until_used(machine)
            await watch.until_over("disk", range(3))
            await watch.load.wait_for_answers(10)
        assert watch.cleared == machines
        tier.check()

    play(main())


# --- One that leads, and is not there ---------------------------------------------------


def test_the_one_that_leads_is_killed_while_a_machine_leaves() -> None:
    async def main() -> None:
        async with watched(3, 3) as (tier, watch):
            leader = await watch.until_led(*range(3))
            others = [one for one in range(3) if one != leader]
            machine = await watch.hold(*others)
            await watch.wish(others[0], machine)
            await watch.until_state(machine, "leaving", others)
            await tier.kill(leader)
            await watch.until_led(*others)
            assert watch.cleared == []
            await tier.restart(leader)
            watch.let_go(machine)
            await watch.work(leader, machine)
            await watch.until_over("disk", range(3))
            await watch.until_used(machine)
        assert watch.cleared == [machine]
        tier.check()

    play(main())


def test_the_one_that_leads_is_paused_while_a_machine_leaves() -> None:
    """For longer than the others wait for it. It sends there still, for all they know: not clear."""

    async def main() -> None:
        async with watched(3, 3) as (tier, watch):
            leader = await watch.until_led(*range(3))
            others = [one for one in range(3) if one != leader]
            machine = await watch.hold(*others)
            await watch.wish(others[0], machine)
            await watch.until_state(machine, "leaving", range(3))
            tier.pause(leader)
            await watch.until_led(*others)
            watch.let_go(machine)
            await watch.until(lambda: watch.missing(machine) == [leader], "the paused one is missed")
            assert watch.cleared == []
            tier.resume(leader)
            await watch.until_led(*range(3))
            await watch.work(leader, machine)
            await watch.until_over("disk", range(3))
            await watch.until_used(machine, leader)
        assert watch.cleared == [machine]
        tier.check()

    play(main())


# --- Cut off ----------------------------------------------------------------------------


def test_the_lesser_part_serves_on_and_takes_nobody_out() -> None:
    async def main() -> None:
        async with watched(5, 5, callers=1) as (tier, watch):
            leader = await watch.until_led(*range(5))
            minority = [leader, (leader + 1) % 5]
            majority = [one for one in range(5) if one not in minority]
            first = watch.used(*minority)
            second = next(name for name in ("s-0", "s-1") if name != first)
            tier.partition(minority, majority)
            await watch.until(lambda: not any(watch.seen[one]["in_touch"] for one in minority), "cut off")
            status, told = await watch.call(minority[0], "wish", name="lost", id=second)
            assert status == 503 and told["error"] == "CutOffError" and told["remedy"]
            await watch.until_led(*majority)
            await watch.wish(majority[0], first)
            await watch.until(lambda: watch.missing(first) == sorted(minority), "the lesser part is missed")
            for one in minority:
                await watch.until_used(first, one)
            await watch.load.wait_for_answers(10)
            assert all(not watch.seen[one]["machines"] for one in minority) and watch.cleared == []
            tier.heal_partition()
            await watch.until_led(*range(5))
            await watch.wish(minority[0], second, name="lost")
            await watch.work(minority[1], first)
            await watch.work(minority[0], second, "lost")
            await watch.until_over("lost", range(5))
        assert watch.cleared == [first, second]
        tier.check()

    play(main())


def test_one_that_was_cut_off_before_the_wish_keeps_clear_from_being_said() -> None:
    async def main() -> None:
        async with watched(3, 3) as (tier, watch):
            leader = await watch.until_led(*range(3))
            cut, other = (one for one in range(3) if one != leader)
            machine = watch.used(cut)
            tier.partition({cut}, {leader, other})
            await watch.wish(other, machine)
            await watch.until(lambda: watch.missing(machine) == [cut], "it is named")
            await watch.until_used(machine, cut)
            await watch.until(lambda: not watch.seen[cut]["in_touch"], "it says that it is cut off")
            assert watch.cleared == []
            tier.heal_partition()
            await watch.work(cut, machine)
            await watch.until_used(machine, cut)
        assert watch.cleared == [machine]
        tier.check()

    play(main())


# --- All at once ------------------------------------------------------------------------


def test_all_are_killed_between_leaving_and_clear() -> None:
    async def main() -> None:
        async with watched(3, 3) as (tier, watch):
            before = watch.era(0)
            machine = await watch.hold(0, 1, 2)
            await watch.wish(0, machine)
            await watch.until_state(machine, "leaving", range(3))
            await asyncio.gather(*(tier.kill(one) for one in range(3)))
            watch.let_go(machine)
            await asyncio.gather(*(tier.start(one) for one in range(3)))
            await watch.until_led(*range(3))
            assert before not in [watch.era(one) for one in range(3)] and watch.cleared == []
            await watch.until_used(machine)
            await watch.wish(1, machine, name="again")
            await watch.work(2, machine, "again")
            await watch.until_over("again", range(3))
        assert watch.cleared == [machine]
        tier.check()

    play(main())


# --- Parts without a majority, one way, and a bridge ------------------------------------


def test_seven_in_halves_agree_nothing_and_serve_on() -> None:
    """Five of them decide, one of these is dead: two on each side."""

    async def main() -> None:
        async with watched(7, 5, callers=1) as (tier, watch):
            await tier.kill(4)
            sides = ([0, 1, 5], [2, 3, 6])
            tier.partition(*sides)
            await watch.until(
                lambda: not any(watch.seen[one]["in_touch"] for one in (0, 1, 2, 3)), "nobody leads"
            )
            for side in sides:
                status, told = await watch.call(side[0], "wish", name="disk", id="s-0")
                assert status == 503 and told["error"] == "CutOffError"
            await watch.load.wait_for_answers(10, *sides[0], *sides[1])
            tier.heal_partition()
            await watch.until_led(0, 1, 2, 3)
            await watch.wish(1, "s-0")
            await watch.until_state("s-0", "leaving", (0, 1, 2, 3, 5, 6))
            await watch.until(lambda: watch.missing("s-0") == [4], "the dead one is named")
            assert watch.cleared == []
            await tier.restart(4)
            await watch.work(4, "s-0")
            await watch.until_over("disk", range(7))
        assert watch.cleared == ["s-0"]
        tier.check()

    play(main())


def test_six_in_halves_go_on_where_most_of_the_five_are() -> None:
    async def main() -> None:
        async with watched(6, 5, callers=1) as (tier, watch):
            most, rest = [0, 1, 2], [3, 4, 5]
            machine = watch.used(*rest)
            tier.partition(most, rest)
            await watch.until_led(*most)
            await watch.until(lambda: not any(watch.seen[one]["in_touch"] for one in (3, 4)), "cut off")
            await watch.wish(2, machine)
            await watch.until(lambda: watch.missing(machine) == rest, "the others are missed")
            for one in rest:
                await watch.until_used(machine, one)
            assert watch.cleared == []
            tier.heal_partition()
            await watch.work(5, machine)
            await watch.until_over("disk", range(6))
        assert watch.cleared == [machine]
        tier.check()

    play(main())


def test_one_that_leads_and_is_not_heard_gives_way() -> None:
    """It hears the others; they do not hear it."""

    async def main() -> None:
        async with watched(3, 3) as (tier, watch):
            deaf = await watch.until_led(*range(3))
            others = [one for one in range(3) if one != deaf]
            tier.partition({deaf}, others, both_ways=False)
            await watch.until_led(*others)
            await watch.until(lambda: not watch.seen[deaf]["leading"], "it gives way")
            await watch.wish(others[0], "s-0")
            await watch.until(lambda: watch.missing("s-0") == [deaf], "its word does not come")
            assert watch.cleared == []
            tier.heal_partition()
            await watch.work(deaf, "s-0")
            await watch.until_over("disk", range(3))
        assert watch.cleared == ["s-0"]
        tier.check()

    play(main())


@pytest.mark.parametrize("leads", [True, False])
def test_a_bridge(leads: bool) -> None:
    """One hears both others, who do not hear each other. If it leads, all goes on; if not, it stays
    with the one that leads, and the third is as one that is cut off."""

    async def main() -> None:
        async with watched(3, 3) as (tier, watch):
            leader = await watch.until_led(*range(3))
            one, other = (n for n in range(3) if n != leader)
            bridge, ends = (leader, (one, other)) if leads else (one, (leader, other))
            machine = watch.used(other)
            tier.partition({ends[0]}, {ends[1]})
            await watch.wish(bridge, machine)
            if leads:
                await watch.work(ends[1], machine)
            else:
                await watch.until(lambda: watch.missing(machine) == [other], "the third is missed")
                await watch.until_used(machine, other)
                assert watch.cleared == [] and watch.seen[bridge]["accord"]["leader"] == leader
                tier.heal_partition()
                await watch.work(other, machine)
            await watch.until_over("disk", range(3))
        assert watch.cleared == [machine]
        tier.check()

    play(main())


# --- A release, and bad weather ---------------------------------------------------------


def test_a_release_replaces_all_while_three_wishes_are_under_way() -> None:
    async def main() -> None:
        async with watched(3, 3) as (tier, watch):
            for name, machine in (("disk", "s-0"), ("kernel", "s-1"), ("board", "s-2")):
                await watch.wish(0, machine, name=name, out=2)
            await watch.until_state("s-0", "clear", range(3))
            await watch.ask(0, "begin", machine="s-0")
            await watch.until_state("s-0", "at work", range(3))
            for process in range(3):
                assert await tier.replace(process) == 0
                await watch.until_led(*range(3))
            await watch.finish(1, "s-0", "disk")
            await watch.work(2, "s-1", "kernel")
            await watch.work(0, "s-2", "board")
            await watch.until_over("board", range(3))
            await watch.until_used("s-0")
        assert sorted(watch.cleared) == ["s-0", "s-1", "s-2"]
        tier.check()

    play(main())


def test_a_roll_through_bad_weather() -> None:
    """A tenth of all datagrams is lost, a tenth comes twice, and they overtake each other."""

    async def main() -> None:
        async with watched(5, 5, callers=1) as (tier, watch):
            tier.set_network_faults(
                NetworkFaults(
                    loss_probability=0.1,
                    duplicate_probability=0.1,
                    reorder_probability=0.1,
                    delay_us=(0, 20_000),
                )
            )
            await watch.wish(0, "s-0", "s-1")
            await watch.work(1, "s-0")
            await watch.work(4, "s-1")
            await watch.until_over("disk", range(5))
            assert sum(one.lost_count for one in tier.datagrams.route_table.routes.values()) > 0
        assert watch.cleared == ["s-0", "s-1"]
        tier.check()

    play(main())


# --- Faults as they are drawn -----------------------------------------------------------


@pytest.mark.parametrize("seed", [1, 2])
def test_rolls_go_on_through_faults_as_they_are_drawn(seed: int) -> None:
    """One at a time, so that a majority remembers. Once they end, two more wishes come to their end."""

    async def main() -> None:
        async with watched(3 if seed % 2 else 5, 3, callers=1, seed=seed) as (tier, watch):
            worker = OperatorAtWork(watch, ["s-0", "s-1", "s-2"])
            try:
                for _ in range(5):
                    await inject_fault(tier, watch)
                rolled = worker.rolled
                await watch.until(lambda: worker.rolled > rolled + 1, "progress once faults end")
            finally:
                worker.close()
        assert len(watch.cleared) >= 3
        tier.check()

    play(main())


# --- A faulty program -------------------------------------------------------------------

# Clear as soon as all have confirmed but one.
EARLY: Final = """
import sys
from laurelstep.__main__ import main
from laurelstep.maintenance.acknowledgements import DrainAcknowledgements
missing_peers = DrainAcknowledgements.missing_peers
DrainAcknowledgements.missing_peers = lambda *given: missing_peers(*given)[1:]
sys.exit(main(sys.argv[1:]))
"""
# Drains are not told to the module: it sends where it sent before.
UNTOLD: Final = """
import sys
from laurelstep.__main__ import main
from laurelstep.maintenance.overlay import EndpointOverlay
EndpointOverlay.overlaid_entry = lambda self, machine: machine.to_entry(machine.phase, machine.started_ms)
sys.exit(main(sys.argv[1:]))
"""


@pytest.mark.parametrize("fault", [EARLY, UNTOLD], ids=["clear one confirmation early", "drain not told"])
def test_a_program_with_a_fault_is_found(fault: str) -> None:
    async def main() -> None:
        async with watched(3, 3, command_prefix=("-c", fault)) as (tier, watch):
            leader = await watch.until_led(*range(3))
            last = next(one for one in range(3) if one != leader)
            machine = watch.used(last)
            if fault is EARLY:
                tier.partition({last}, set(range(3)) - {last})
            await watch.wish(leader, machine)
            await watch.until(lambda: watch.cleared, "clear, which is untrue")
            await watch.until_used(machine, last)
        assert {one.rule for one in tier.violations()} == {SENT_AFTER_DRAINED}
        with pytest.raises(AssertionError, match=f"{SENT_AFTER_DRAINED}: {machine} at process"):
            tier.check()

    play(main())
