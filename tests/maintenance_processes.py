"""A tier of real processes with maintenance, watched at their management addresses all the time."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import AsyncIterator, Callable, Coroutine, Iterable
from typing import Any, Final
from urllib.parse import urlencode

from laurelstep.testing.processes import LoadGenerator, NetworkFaults, ProcessTier, wait_until
from laurelstep.testing.processes.program import POLL_INTERVAL_S
from laurelstep.testing.processes.tier_settings import SETTINGS, endpoint_index, endpoint_name

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


class StatusWatch:
    """What each process says at its second address; the first that calls a machine clear is noted."""

    def __init__(self, tier: ProcessTier) -> None:
        self.tier = tier
        self.load: LoadGenerator
        self.seen: dict[int, dict[str, Any]] = {}  # by process: the last answer
        self.cleared: list[str] = []  # machines that were clear, in their order
        self.returned: set[tuple[str, str]] = set()  # wish and machine
        self._noted: set[tuple[str, str]] = set()
        self._tasks = [asyncio.create_task(self._follow(one.number)) for one in tier.programs]

    async def _follow(self, process: int) -> None:
        """Its answers, one after the other: one of a process that is paused comes when it goes on."""
        program = self.tier.programs[process]
        while True:
            if program.is_running:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    message = await program.query("GET", "/api/upkeep")
                    if message.status == 200:
                        self._see(process, json.loads(message.body))
            else:
                self.seen.pop(process, None)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _see(self, process: int, told: dict[str, Any]) -> None:
        self.seen[process] = told
        for one in told["machines"]:
            pair = one["wish"], one["id"]
            if one["state"] in OUT and pair not in self._noted | self.returned:
                self._noted.add(pair)
                self.cleared.append(one["id"])
                self.tier.record_drained(endpoint_index(one["id"]))

    def back(self, wish: str, machine: str) -> None:
        """Somebody is about to say that it is done."""
        if (wish, machine) not in self.returned:
            self.returned.add((wish, machine))
            self.tier.record_restored(endpoint_index(machine))

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
            if not told["leading"] or self.tier.programs[process].is_paused:
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
            await wait_until(seen, what)
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
        sent, machines = self.tier.forwarded_counts(), range(len(self.tier.endpoints))
        return endpoint_name(max(machines, key=lambda at: min(sent[process, at] for process in processes)))

    async def until_used(self, machine: str, *processes: int) -> None:
        """Until one of these, or of all, has sent another request there."""
        since = len(self.tier.history.events)

        def used() -> bool:
            found = {
                process for process, at in self.tier.forwarded_counts(since) if endpoint_name(at) == machine
            }
            return bool(found & set(processes) if processes else found)

        await self.until(used, f"{machine} used by {processes or 'any'}")

    async def hold(self, *processes: int) -> str:
        """A machine that keeps what it gets, and has something from one of these."""
        machine = self.used(*processes)
        self.tier.hold_answers(endpoint_index(machine))
        await self.until_used(machine, *processes)
        return machine

    def let_go(self, machine: str) -> None:
        self.tier.release_answers(endpoint_index(machine))

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

        await wait_until(taken, f"{verb} {query} taken by {process}")

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
) -> AsyncIterator[tuple[ProcessTier, StatusWatch]]:
    """Under load, all of them following one leader; held against the rules at the end."""
    tables = {"accord": {"heartbeat_ms": 50, "election_ms": 200, "seats": seats}, "upkeep": {}}
    tier = ProcessTier(processes, operator_tables=tables, settings=SHORT, **more)
    async with tier:
        watch = StatusWatch(tier)
        try:
            async with tier.load(clients=callers, deadline_ms=DEADLINE_MS) as load:
                watch.load = load
                await load.wait_for_answers(20)
                await watch.until_led(*range(processes))
                yield tier, watch
        finally:
            watch.close()


class OperatorAtWork:
    """Rolls one wish after the other, told by and calling whichever process answers."""

    def __init__(self, watch: StatusWatch, machines: list[str]) -> None:
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
            await asyncio.sleep(POLL_INTERVAL_S)

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


async def inject_fault(tier: ProcessTier, watch: StatusWatch) -> None:
    """One, drawn, for some answers of those that are not hit; then none."""
    draw, numbers = tier.rng, range(len(tier.programs))
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
        tier.set_network_faults(
            NetworkFaults(
                loss_probability=0.2, duplicate_probability=0.2, reorder_probability=0.2, delay_us=(0, 50_000)
            )
        )
    else:
        tier.partition(some, set(numbers) - some, both_ways=what == "cut")
    await watch.load.wait_for_answers(answers, *spared)
    tier.heal_partition()
    tier.set_network_faults(NetworkFaults())
    if what == "kill":
        await tier.start(victim)
    elif what == "pause":
        tier.resume(victim)
