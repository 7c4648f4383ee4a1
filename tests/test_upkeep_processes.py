"""Upkeep in tiers of real processes, under load and faults. Endpoints and relays count what came of it:
no request lost, none run twice, none sent to a machine after any process said that it is clear.

Each test looks at all its processes all the time (`Watch`): the first that says clear is held to it.
Where a machine must stay in `leaving`, an endpoint holds its answers or a process is cut off: what a
test brings about then comes between leaving and clear however slow the machine is."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable
from typing import Any, Final
from urllib.parse import urlencode

import pytest

from laurelstep.testing.processes import Load, Tier, Weather, until
from laurelstep.testing.processes.history import SENT_AFTER_CLEAR
from laurelstep.testing.processes.program import LOOK_S
from laurelstep.testing.processes.tier import SETTINGS, name_of, number_of
from tests.sockets import run

TEST_S = 300.0  # for a test that hangs; nothing is measured by it
SHORT: Final[dict[str, Any]] = {
    "invariants": {"drain-grace-us": 200_000, "cold-share": 0.5, "cold-us": 200_000},
    # One that wins would call off what an endpoint holds.
    "ceilings": {**SETTINGS["ceilings"], "second-copies": False},
}
# Longer than any hold of a test: what is held is answered, and not given up.
DEADLINE_MS: Final = 15_000
OUT: Final = ("clear", "at work", "overdue")


def play(test: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(TEST_S):
            await test

    run(limited())


class Watch:
    """What each process says at its second address; the first that calls a machine clear is noted."""

    def __init__(self, tier: Tier) -> None:
        self.tier = tier
        self.load: Load
        self.seen: dict[int, dict[str, Any]] = {}  # by process: the last answer
        self.cleared: list[str] = []  # machines that were clear, in their order
        self.returned: set[tuple[str, str]] = set()  # wish and machine
        self._noted: set[tuple[str, str]] = set()
        self._tasks = [asyncio.create_task(self._follow(one.number)) for one in tier.programs]

    async def _follow(self, process: int) -> None:
        """Its answers, one after the other: one of a process that is paused comes when it goes on."""
        program = self.tier.programs[process]
        while True:
            if program.running:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    message = await program.ask("GET", "/api/upkeep")
                    if message.status == 200:
                        self._see(process, json.loads(message.body))
            else:
                self.seen.pop(process, None)
            await asyncio.sleep(LOOK_S)

    def _see(self, process: int, told: dict[str, Any]) -> None:
        self.seen[process] = told
        for one in told["machines"]:
            pair = one["wish"], one["id"]
            if one["state"] in OUT and pair not in self._noted | self.returned:
                self._noted.add(pair)
                self.cleared.append(one["id"])
                self.tier.note_clear(number_of(one["id"]))

    def back(self, wish: str, machine: str) -> None:
        """Somebody is about to say that it is done."""
        if (wish, machine) not in self.returned:
            self.returned.add((wish, machine))
            self.tier.note_back(number_of(machine))

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()

    # --- What they say ----------------------------------------------------------------

    def state(self, process: int, machine: str) -> str:
        """Of a machine that is out; empty if it is not."""
        told = self.seen.get(process, {}).get("machines", ())
        return next((one["state"] for one in told if one["id"] == machine), "")

    def missing(self, machine: str) -> list[int] | None:
        """Whose confirmation whoever leads says that it waits for."""
        for process, told in self.seen.items():
            if not told["leading"] or self.tier.programs[process].paused:
                continue
            for one in told["machines"]:
                if one["id"] == machine and one["missing"] is not None:
                    return list(one["missing"])
        return None

    def era(self, process: int) -> str:
        return str(self.seen[process]["accord"]["era"]["id"])

    async def until(self, look: Callable[[], object], what: str) -> None:
        async def seen() -> bool:
            return bool(look())

        try:
            await until(seen, what)
        except AssertionError as error:
            raise AssertionError(f"{error}; they say {self.seen}") from None

    async def until_state(self, machine: str, state: str, processes: Iterable[int]) -> None:
        named = list(processes)
        what = f"{machine} {state or 'not out'} at {named}"
        await self.until(lambda: all(self.state(one, machine) == state for one in named), what)

    async def until_led(self, *among: int) -> int:
        """One of these leads, and all of them follow it; which."""

        def led() -> bool:
            told = [self.seen[one] for one in among if one in self.seen]
            leaders = {one["accord"].get("leader") for one in told}
            return len(told) == len(among) and len(leaders) == 1 and leaders <= set(among)

        await self.until(led, f"a leader among {among}")
        return int(self.seen[among[0]]["accord"]["leader"])

    async def until_over(self, wish: str, processes: Iterable[int]) -> None:
        named = list(processes)

        def over() -> bool:
            return all(
                any(one["name"] == wish for one in self.seen.get(process, {}).get("past", ()))
                for process in named
            )

        await self.until(over, f"wish {wish} over at {named}")

    # --- Where they send --------------------------------------------------------------

    def used(self, *processes: int) -> str:
        """The machine that all of these send to most: one alone may be passed over for long."""
        sent, machines = self.tier.sent(), range(len(self.tier.endpoints))
        return name_of(max(machines, key=lambda at: min(sent[process, at] for process in processes)))

    async def until_used(self, machine: str, *processes: int) -> None:
        """Until one of these, or of all, has sent another request there."""
        since = len(self.tier.history.events)

        def used() -> bool:
            found = {process for process, at in self.tier.sent(since) if name_of(at) == machine}
            return bool(found & set(processes) if processes else found)

        await self.until(used, f"{machine} used by {processes or 'any'}")

    async def hold(self, *processes: int) -> str:
        """A machine that keeps what it gets, and has something from one of these."""
        machine = self.used(*processes)
        self.tier.hold(number_of(machine))
        await self.until_used(machine, *processes)
        return machine

    def let_go(self, machine: str) -> None:
        self.tier.let_go(number_of(machine))

    # --- What they are asked ----------------------------------------------------------

    async def call(self, process: int, verb: str, **query: Any) -> tuple[int, dict[str, Any]]:
        target = f"/api/upkeep/{verb}?{urlencode(query, doseq=True)}"
        message = await self.tier.call(process, "POST", target)
        return message.status, json.loads(message.body)

    async def ask(self, process: int, verb: str, **query: Any) -> None:
        """Until this process takes it: one that has no leader yet says so."""
        said: list[Any] = []

        async def taken() -> bool:
            said[:] = await self.call(process, verb, **query)
            assert said[0] in (200, 202, 503), f"{verb} {query} at {process}: {said}"
            return bool(said[0] != 503)

        await until(taken, f"{verb} {query} taken by {process}")

    async def wish(self, process: int, *machines: str, name: str = "disk", **limits: Any) -> None:
        await self.ask(process, "wish", name=name, id=machines, **limits)

    async def work(self, process: int, machine: str, wish: str = "disk") -> None:
        """The worker's night with one machine: clear, begin, done; all said at one process."""
        await self.until_state(machine, "clear", [process])
        await self.ask(process, "begin", machine=machine)
        await self.until_state(machine, "at work", [process])
        await self.finish(process, machine, wish)

    async def finish(self, process: int, machine: str, wish: str = "disk") -> None:
        self.back(wish, machine)
        await self.ask(process, "done", machine=machine)
        await self.until(lambda: self.state(process, machine) in ("returning", ""), f"{machine} back")


@contextlib.asynccontextmanager
async def watched(
    processes: int, seats: int, callers: int = 2, **more: Any
) -> AsyncIterator[tuple[Tier, Watch]]:
    """Under load, all of them following one leader; held against the rules at the end."""
    tables = {"accord": {"heartbeat_ms": 50, "election_ms": 200, "seats": seats}, "upkeep": {}}
    tier = Tier(processes, operator_tables=tables, settings=SHORT, **more)
    async with tier:
        watch = Watch(tier)
        try:
            async with tier.load(callers=callers, deadline_ms=DEADLINE_MS) as load:
                watch.load = load
                await load.more(20)
                await watch.until_led(*range(processes))
                yield tier, watch
        finally:
            watch.close()


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
            await watch.load.more(10)
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
            tier.cut(minority, majority)
            await watch.until(lambda: not any(watch.seen[one]["in_touch"] for one in minority), "cut off")
            status, told = await watch.call(minority[0], "wish", name="lost", id=second)
            assert status == 503 and told["error"] == "CutOffError" and told["remedy"]
            await watch.until_led(*majority)
            await watch.wish(majority[0], first)
            await watch.until(lambda: watch.missing(first) == sorted(minority), "the lesser part is missed")
            for one in minority:
                await watch.until_used(first, one)
            await watch.load.more(10)
            assert all(not watch.seen[one]["machines"] for one in minority) and watch.cleared == []
            tier.heal()
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
            tier.cut({cut}, {leader, other})
            await watch.wish(other, machine)
            await watch.until(lambda: watch.missing(machine) == [cut], "it is named")
            await watch.until_used(machine, cut)
            await watch.until(lambda: not watch.seen[cut]["in_touch"], "it says that it is cut off")
            assert watch.cleared == []
            tier.heal()
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
            tier.cut(*sides)
            await watch.until(
                lambda: not any(watch.seen[one]["in_touch"] for one in (0, 1, 2, 3)), "nobody leads"
            )
            for side in sides:
                status, told = await watch.call(side[0], "wish", name="disk", id="s-0")
                assert status == 503 and told["error"] == "CutOffError"
            await watch.load.more(10, *sides[0], *sides[1])
            tier.heal()
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
            tier.cut(most, rest)
            await watch.until_led(*most)
            await watch.until(lambda: not any(watch.seen[one]["in_touch"] for one in (3, 4)), "cut off")
            await watch.wish(2, machine)
            await watch.until(lambda: watch.missing(machine) == rest, "the others are missed")
            for one in rest:
                await watch.until_used(machine, one)
            assert watch.cleared == []
            tier.heal()
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
            tier.cut({deaf}, others, both=False)
            await watch.until_led(*others)
            await watch.until(lambda: not watch.seen[deaf]["leading"], "it gives way")
            await watch.wish(others[0], "s-0")
            await watch.until(lambda: watch.missing("s-0") == [deaf], "its word does not come")
            assert watch.cleared == []
            tier.heal()
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
            tier.cut({ends[0]}, {ends[1]})
            await watch.wish(bridge, machine)
            if leads:
                await watch.work(ends[1], machine)
            else:
                await watch.until(lambda: watch.missing(machine) == [other], "the third is missed")
                await watch.until_used(machine, other)
                assert watch.cleared == [] and watch.seen[bridge]["accord"]["leader"] == leader
                tier.heal()
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
            tier.change_weather(Weather(lose=0.1, double=0.1, turn=0.1, delay_us=(0, 20_000)))
            await watch.wish(0, "s-0", "s-1")
            await watch.work(1, "s-0")
            await watch.work(4, "s-1")
            await watch.until_over("disk", range(5))
            assert sum(one.lost for one in tier.datagrams.ways.by_pair.values()) > 0
        assert watch.cleared == ["s-0", "s-1"]
        tier.check()

    play(main())


# --- Faults as they are drawn -----------------------------------------------------------


class Worker:
    """Rolls one wish after the other, told by and calling whichever process answers."""

    def __init__(self, watch: Watch, machines: list[str]) -> None:
        self.watch = watch
        self.machines = machines
        self.rolled = 0
        self._task = asyncio.create_task(self._roll())

    async def _roll(self) -> None:
        while True:
            for process in list(self.watch.seen):
                with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                    async with asyncio.timeout(1.0):  # one that is paused does not answer
                        await self._turn(process, f"night-{self.rolled}")
            await asyncio.sleep(LOOK_S)

    async def _turn(self, process: int, name: str) -> None:
        told = self.watch.seen.get(process)
        if told is None or not told["in_touch"]:
            return
        if any(one["name"] == name for one in told["past"]):
            self.rolled += 1
        elif not any(one["name"] == name for one in told["wishes"]):
            await self.watch.call(process, "wish", name=name, id=self.machines)
        for one in told["machines"]:
            if one["wish"] == name and one["state"] == "clear":
                await self.watch.call(process, "begin", machine=one["id"])
            elif one["wish"] == name and one["state"] == "at work":
                self.watch.back(name, one["id"])
                await self.watch.call(process, "done", machine=one["id"])

    def close(self) -> None:
        self._task.cancel()
        if self._task.done() and not self._task.cancelled():
            self._task.result()


async def fault(tier: Tier, watch: Watch) -> None:
    """One, drawn, for some answers of those that are not hit; then none."""
    draw, numbers = tier.draw, range(len(tier.programs))
    what = draw.choice(["cut", "one way", "kill", "pause", "weather", "replace"])
    victim, answers = draw.choice(numbers), draw.randrange(60)
    some = set(draw.sample(numbers, draw.randrange(1, len(numbers))))
    spared = [one for one in numbers if one != victim]
    if what == "replace":
        assert await tier.replace(victim) == 0
    elif what == "kill":
        await tier.kill(victim)
    elif what == "pause":
        tier.pause(victim)
    elif what == "weather":
        tier.change_weather(Weather(lose=0.2, double=0.2, turn=0.2, delay_us=(0, 50_000)))
    else:
        tier.cut(some, set(numbers) - some, both=what == "cut")
    await watch.load.more(answers, *spared)
    tier.heal()
    tier.change_weather(Weather())
    if what == "kill":
        await tier.start(victim)
    elif what == "pause":
        tier.resume(victim)


@pytest.mark.parametrize("seed", [1, 2])
def test_rolls_go_on_through_faults_as_they_are_drawn(seed: int) -> None:
    """One at a time, so that a majority remembers. Once they end, two more wishes come to their end."""

    async def main() -> None:
        async with watched(3 if seed % 2 else 5, 3, callers=1, seed=seed) as (tier, watch):
            worker = Worker(watch, ["s-0", "s-1", "s-2"])
            try:
                for _ in range(5):
                    await fault(tier, watch)
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
from laurelstep.upkeep.plan import Confirmations
missing = Confirmations.missing
Confirmations.missing = lambda *given: missing(*given)[1:]
sys.exit(main(sys.argv[1:]))
"""
# Drains are not told to the module: it sends where it sent before.
UNTOLD: Final = """
import sys
from laurelstep.__main__ import main
from laurelstep.upkeep.shown import Shown
Shown.raw = lambda self, member: member.raw(member.phase, member.started_ms)
sys.exit(main(sys.argv[1:]))
"""


@pytest.mark.parametrize("fault", [EARLY, UNTOLD], ids=["clear one confirmation early", "drain not told"])
def test_a_program_with_a_fault_is_found(fault: str) -> None:
    async def main() -> None:
        async with watched(3, 3, begin=("-c", fault)) as (tier, watch):
            leader = await watch.until_led(*range(3))
            last = next(one for one in range(3) if one != leader)
            machine = watch.used(last)
            if fault is EARLY:
                tier.cut({last}, set(range(3)) - {last})
            await watch.wish(leader, machine)
            await watch.until(lambda: watch.cleared, "clear, which is untrue")
            await watch.until_used(machine, last)
        assert {one.name for one in tier.violations()} == {SENT_AFTER_CLEAR}
        with pytest.raises(AssertionError, match=f"{SENT_AFTER_CLEAR}: {machine} at process"):
            tier.check()

    play(main())
