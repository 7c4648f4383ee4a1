"""A tier of real processes with maintenance, whose status is polled throughout a test."""

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

TEST_TIMEOUT_S = 300.0  # ends a test that hangs
TIER_SETTINGS: Final[dict[str, Any]] = {
    "invariants": {"drain-grace-us": 200_000, "cold-share": 0.5, "cold-us": 200_000},
    # A hedged copy that wins would cancel the request whose answer an endpoint holds.
    "ceilings": {**SETTINGS["ceilings"], "second-copies": False},
}
# Longer than endpoints hold answers in any test, so that no held request ends at its deadline.
DEADLINE_MS: Final = 15_000
DRAINED_STATES: Final = ("clear", "at work", "overdue")


def run_with_timeout(test: Coroutine[Any, Any, None]) -> None:
    async def limited() -> None:
        async with asyncio.timeout(TEST_TIMEOUT_S):
            await test

    run(limited())


class StatusWatch:
    """Polls the status of each process, and calls the processes' maintenance API.

    The first answer that reports a machine as clear is recorded in the tier's history: nothing may be sent to
    the machine until its work is reported finished.
    """

    def __init__(self, tier: ProcessTier) -> None:
        self.tier = tier
        self.load: LoadGenerator
        self.statuses: dict[int, dict[str, Any]] = {}  # by process: its last answer
        self.drained: list[str] = []  # machines that were reported clear, in this order
        self.finished: set[tuple[str, str]] = set()  # requests and machines whose work is finished
        self._recorded: set[tuple[str, str]] = set()  # requests and machines that were recorded as drained
        self._tasks = [asyncio.create_task(self._poll(program.number)) for program in tier.programs]

    async def _poll(self, process: int) -> None:
        """Poll the status of a process. While it is paused, this waits for its answer."""
        program = self.tier.programs[process]
        while True:
            if program.is_running:
                with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                    message = await program.query("GET", "/api/upkeep")
                    if message.status == 200:
                        self._on_status(process, json.loads(message.body))
            else:
                self.statuses.pop(process, None)
            await asyncio.sleep(POLL_INTERVAL_S)

    def _on_status(self, process: int, status: dict[str, Any]) -> None:
        self.statuses[process] = status
        for machine in status["machines"]:
            drain = machine["wish"], machine["id"]
            if machine["state"] in DRAINED_STATES and drain not in self._recorded | self.finished:
                self._recorded.add(drain)
                self.drained.append(machine["id"])
                self.tier.record_drained(endpoint_index(machine["id"]))

    def record_finished(self, request: str, machine: str) -> None:
        """Record that the work on a machine is about to be reported finished."""
        if (request, machine) not in self.finished:
            self.finished.add((request, machine))
            self.tier.record_restored(endpoint_index(machine))

    def close(self) -> None:
        for task in self._tasks:
            task.cancel()

    # --- Status -----------------------------------------------------------------------

    def state(self, process: int, machine: str) -> str:
        """The state of a machine that is out of service; empty for any other."""
        machines = self.statuses.get(process, {}).get("machines", ())
        return next((status["state"] for status in machines if status["id"] == machine), "")

    def missing_peers(self, machine: str) -> list[int] | None:
        """The peers whose drain acknowledgement the leader waits for; None if no leader reports them."""
        for process, status in self.statuses.items():
            if not status["leading"] or self.tier.programs[process].is_paused:
                continue
            for machine_status in status["machines"]:
                if machine_status["id"] == machine and machine_status["missing"] is not None:
                    return list(machine_status["missing"])
        return None

    def epoch_id(self, process: int) -> str:
        return str(self.statuses[process]["accord"]["era"]["id"])

    async def wait_for(self, condition: Callable[[], object], description: str) -> None:
        """Wait until a condition holds. Raises AssertionError with all statuses if it takes too long."""

        async def holds() -> bool:
            return bool(condition())

        try:
            await wait_until(holds, description)
        except AssertionError as error:
            raise AssertionError(f"{error}; statuses: {self.statuses}") from None

    async def wait_for_state(self, machine: str, state: str, processes: Iterable[int]) -> None:
        expected = list(processes)
        description = f"{machine} {state or 'in service'} at {expected}"
        await self.wait_for(lambda: all(self.state(n, machine) == state for n in expected), description)

    async def wait_for_leader(self, *processes: int) -> int:
        """Wait until all of these processes have the same one of them as their leader. Returns its number."""

        def has_leader() -> bool:
            statuses = [self.statuses[process] for process in processes if process in self.statuses]
            leaders = {status["accord"].get("leader") for status in statuses}
            return len(statuses) == len(processes) and len(leaders) == 1 and leaders <= set(processes)

        await self.wait_for(has_leader, f"a leader among {processes}")
        return int(self.statuses[processes[0]]["accord"]["leader"])

    async def wait_for_completion(self, request: str, processes: Iterable[int]) -> None:
        """Wait until these processes report a request as closed."""
        expected = list(processes)

        def is_closed() -> bool:
            return all(
                any(past["name"] == request for past in self.statuses.get(process, {}).get("past", ()))
                for process in expected
            )

        await self.wait_for(is_closed, f"request {request} closed at {expected}")

    # --- Forwarded requests -----------------------------------------------------------

    def most_used_machine(self, *processes: int) -> str:
        """The machine with the highest minimum of requests from these processes: a single process may leave
        some machines unused for long.
        """
        sent, machines = self.tier.forwarded_counts(), range(len(self.tier.endpoints))
        return endpoint_name(max(machines, key=lambda n: min(sent[process, n] for process in processes)))

    async def wait_for_use(self, machine: str, *processes: int) -> None:
        """Wait until one of these processes, or any, has forwarded another request to a machine."""
        first_event = len(self.tier.history.events)

        def is_used() -> bool:
            users = {
                process
                for process, endpoint in self.tier.forwarded_counts(first_event)
                if endpoint_name(endpoint) == machine
            }
            return bool(users & set(processes) if processes else users)

        await self.wait_for(is_used, f"{machine} used by {processes or 'any'}")

    async def hold_answers(self, *processes: int) -> str:
        """Hold the answers of the most used machine, and wait until one of these processes has a request in
        flight there. Returns the machine.
        """
        machine = self.most_used_machine(*processes)
        self.tier.hold_answers(endpoint_index(machine))
        await self.wait_for_use(machine, *processes)
        return machine

    def release_answers(self, machine: str) -> None:
        self.tier.release_answers(endpoint_index(machine))

    # --- Operators' calls -------------------------------------------------------------

    async def call(self, process: int, verb: str, **query: Any) -> tuple[int, dict[str, Any]]:
        target = f"/api/upkeep/{verb}?{urlencode(query, doseq=True)}"
        message = await self.tier.call(process, "POST", target)
        return message.status, json.loads(message.body)

    async def submit(self, process: int, verb: str, **query: Any) -> None:
        """Repeat a call until the process accepts it. A process without a leader answers 503."""
        answer: list[Any] = []

        async def is_accepted() -> bool:
            answer[:] = await self.call(process, verb, **query)
            assert answer[0] in (200, 202, 503), f"{verb} {query} at {process}: {answer}"
            return bool(answer[0] != 503)

        await wait_until(is_accepted, f"{verb} {query} accepted by {process}")

    async def submit_request(self, process: int, *machines: str, name: str = "disk", **limits: Any) -> None:
        await self.submit(process, "wish", name=name, id=machines, **limits)

    async def do_work(self, process: int, machine: str, request: str = "disk") -> None:
        """Wait until a machine is clear, then begin and finish its work, with all calls at one process."""
        await self.wait_for_state(machine, "clear", [process])
        await self.submit(process, "begin", machine=machine)
        await self.wait_for_state(machine, "at work", [process])
        await self.finish_work(process, machine, request)

    async def finish_work(self, process: int, machine: str, request: str = "disk") -> None:
        self.record_finished(request, machine)
        await self.submit(process, "done", machine=machine)
        await self.wait_for(lambda: self.state(process, machine) in ("returning", ""), f"{machine} back")


@contextlib.asynccontextmanager
async def watched_tier(
    process_count: int, voter_count: int, clients: int = 2, **options: Any
) -> AsyncIterator[tuple[ProcessTier, StatusWatch]]:
    """A tier under load, with a leader that all processes follow. The load ends with the block; the test then
    calls `ProcessTier.check`.
    """
    tables = {"accord": {"heartbeat_ms": 50, "election_ms": 200, "seats": voter_count}, "upkeep": {}}
    tier = ProcessTier(process_count, operator_tables=tables, settings=TIER_SETTINGS, **options)
    async with tier:
        watch = StatusWatch(tier)
        try:
            async with tier.load(clients=clients, deadline_ms=DEADLINE_MS) as load:
                watch.load = load
                await load.wait_for_answers(20)
                await watch.wait_for_leader(*range(process_count))
                yield tier, watch
        finally:
            watch.close()


class RollingOperator:
    """Submits one request after the other for the same machines, and does their work. Each call is made at
    the process whose status shows that it is due.
    """

    def __init__(self, watch: StatusWatch, machines: list[str]) -> None:
        self.watch = watch
        self.machines = machines
        self.completed_count = 0
        self._task = asyncio.create_task(self._run())

    async def _run(self) -> None:
        while True:
            for process in list(self.watch.statuses):
                with contextlib.suppress(OSError, asyncio.IncompleteReadError, TimeoutError):
                    async with asyncio.timeout(1.0):  # a paused process does not answer
                        await self._advance(process, f"night-{self.completed_count}")
            await asyncio.sleep(POLL_INTERVAL_S)

    async def _advance(self, process: int, name: str) -> None:
        """Make the calls that are due for the request of this name, by the status of a process."""
        status = self.watch.statuses.get(process)
        if status is None or not status["in_touch"]:
            return
        if any(request["name"] == name for request in status["past"]):
            self.completed_count += 1
        elif not any(request["name"] == name for request in status["wishes"]):
            await self.watch.call(process, "wish", name=name, id=self.machines)
        for machine in status["machines"]:
            if machine["wish"] == name and machine["state"] == "clear":
                await self.watch.call(process, "begin", machine=machine["id"])
            elif machine["wish"] == name and machine["state"] == "at work":
                self.watch.record_finished(name, machine["id"])
                await self.watch.call(process, "done", machine=machine["id"])

    def close(self) -> None:
        self._task.cancel()
        if self._task.done() and not self._task.cancelled():
            self._task.result()


async def inject_fault(tier: ProcessTier, watch: StatusWatch) -> None:
    """Inject a random fault, and end it once all processes but its victim have given some more answers."""
    rng, numbers = tier.rng, range(len(tier.programs))
    fault = rng.choice(["partition", "one-way partition", "kill", "pause", "network faults", "replace"])
    victim, answer_count = rng.choice(numbers), rng.randrange(60)
    group = set(rng.sample(numbers, rng.randrange(1, len(numbers))))
    others = [number for number in numbers if number != victim]
    if fault == "replace":
        assert await tier.replace(victim) == 0
    elif fault == "kill":
        await tier.kill(victim)
    elif fault == "pause":
        tier.pause(victim)
    elif fault == "network faults":
        tier.set_network_faults(
            NetworkFaults(
                loss_probability=0.2, duplicate_probability=0.2, reorder_probability=0.2, delay_us=(0, 50_000)
            )
        )
    else:
        tier.partition(group, set(numbers) - group, both_ways=fault == "partition")
    await watch.load.wait_for_answers(answer_count, *others)
    tier.heal_partition()
    tier.set_network_faults(NetworkFaults())
    if fault == "kill":
        await tier.start(victim)
    elif fault == "pause":
        tier.resume(victim)
