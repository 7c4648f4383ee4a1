"""A tier of processes before stand-in endpoints, with faults between them all."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import random
import tempfile
from collections import Counter
from collections.abc import AsyncIterator, Iterable, Mapping, Sequence
from functools import partial
from pathlib import Path
from types import TracebackType
from typing import Any, Self

from laurelstep.testing.endpoints import Effects, Endpoint, Handler
from laurelstep.testing.messages import Message, Writer, answer, free_udp_port
from laurelstep.testing.processes.discovery import Entry, ProcessDiscovery
from laurelstep.testing.processes.faults import NetworkFaults
from laurelstep.testing.processes.history import (
    EndpointDrained,
    EndpointRestored,
    EndpointUpdateRead,
    History,
    RequestExecuted,
    RequestForwarded,
)
from laurelstep.testing.processes.history_checks import (
    CheckLimits,
    Violation,
    check_history,
)
from laurelstep.testing.processes.load import LoadGenerator
from laurelstep.testing.processes.program import PROGRAM_ARGUMENTS, ProgramRunner, wait_until
from laurelstep.testing.processes.relays import HOST, DatagramRelay, Direction, StreamRelay, now_us
from laurelstep.testing.processes.tier_settings import (
    CELLS,
    LATENESS_US,
    SETTINGS,
    Tables,
    address_text,
    endpoint_index,
    endpoint_name,
    substitute,
)


class ProcessTier:
    """Runs processes before stand-in endpoints, records what happens, and checks it.

    `programs`, `endpoints`, `paths[process][endpoint]`, `discoveries[process].relay` and `datagrams` are
    there for what has no method here. Waits end with an AssertionError that names what did not come.
    """

    def __init__(
        self,
        processes: int = 3,
        endpoints: int = 4,
        operator_tables: Tables | None = None,
        *,
        process_tables: Mapping[int, Tables] | None = None,
        platform: Mapping[str, Any] | None = None,
        settings: Mapping[str, Any] | None = None,
        zones: Sequence[str] = ("a", "b"),
        seed: int = 1,
        with_clocks: bool = False,
        folder: Path | None = None,
        limits: CheckLimits | None = None,
        command_prefix: Sequence[str] = PROGRAM_ARGUMENTS,
    ) -> None:
        """`operator_tables` hold for all processes, `process_tables` for single ones beside them; in their
        texts `{process}` and `{folder}` stand for its number and a folder of its own that stays.
        `platform` and `settings` replace keys of the platform's JSON and of its settings. With
        `with_clocks` each process has a wall clock that can be stepped. `command_prefix` starts another
        program instead: a faulty one that the checker must find; not with `with_clocks`.
        """
        assert not with_clocks or command_prefix == PROGRAM_ARGUMENTS, "a clock needs the prefix itself"
        self.operator_tables, self.process_tables = operator_tables or {}, process_tables or {}
        self.platform, self.settings = platform or {}, settings or {}
        self.zones = tuple(zones)
        self.seed = seed
        self.rng = random.Random(f"{seed} tier")
        self.limits = limits or CheckLimits(lateness_us=LATENESS_US)
        self.history = History(now_us)
        self._stack = contextlib.AsyncExitStack()
        self._folder, self._processes = folder, processes
        self._with_clocks, self._command_prefix = with_clocks, command_prefix
        self.effects = [Effects() for _ in range(CELLS)]
        self.answer_gates = [asyncio.Event() for _ in range(endpoints)]  # cleared while answers are held
        self.endpoints = [
            Endpoint(self._handler(number), records_requests=False) for number in range(endpoints)
        ]
        self.programs: list[ProgramRunner] = []
        self.paths: list[list[StreamRelay]] = []
        self.discoveries: list[ProcessDiscovery] = []
        self.lifecycles_read: dict[tuple[int, int], str] = {}  # by process and endpoint
        self._views: list[list[Entry]] = []

    # --- Life -----------------------------------------------------------------------

    async def __aenter__(self) -> Self:
        """Start all processes, until they are ready and have read the endpoint list."""
        async with self._stack:
            await self._build()
            await asyncio.gather(*(self.start(number) for number in range(self._processes)))
            self._stack = self._stack.pop_all()
        return self

    async def __aexit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        await self._stack.aclose()

    async def _build(self) -> None:
        folder = self._folder
        if folder is None:
            folder = Path(self._stack.enter_context(tempfile.TemporaryDirectory(prefix="tier-")))
        for endpoint in self.endpoints:
            await self._stack.enter_async_context(endpoint)
        options = (self.history, self.seed, self._with_clocks, self._command_prefix)
        for number in range(self._processes):
            self.programs.append(ProgramRunner(number, folder / f"p{number}", *options))
            self.paths.append([await self._start_path(number, at) for at in range(len(self.endpoints))])
            self._views.append([self._entry(number, at) for at in range(len(self.endpoints))])
            discovery = ProcessDiscovery(
                partial(self._current_list, number), partial(self._on_list_read, number)
            )
            self.discoveries.append(discovery)
            self._stack.callback(discovery.close)
            await discovery.open()
        self.datagrams = DatagramRelay([(HOST, free_udp_port()) for _ in self.programs], self.seed)
        self._stack.callback(self.datagrams.close)
        await self.datagrams.start()
        for program in self.programs:
            self._stack.push_async_callback(program.close)
            self._write_configuration(program)

    async def _start_path(self, process: int, endpoint: int) -> StreamRelay:
        def on_request(request: str, at_us: int) -> None:
            self.history.add(RequestForwarded(at_us, process, endpoint_name(endpoint), request))

        target = (HOST, self.endpoints[endpoint].port)
        path = StreamRelay(target, self.seed * 1000 + process * 100 + endpoint, on_request)
        self._stack.callback(path.close)
        await path.start()
        return path

    def _write_configuration(self, program: ProgramRunner) -> None:
        number = program.number
        own = {"me": number, "instances": len(self.programs), "zones": list(self.zones)}
        platform = {
            "listen": address_text(program.listen),
            "management": address_text(program.management),
            "discovery": self._relay(number).address,
            "limits": {"sockets": 1024},
            "peer_listen": address_text(self.datagrams.peer_addresses[number]),
            "peers": self.datagrams.peers_of(number),
            "settings": {**SETTINGS, **own, **self.settings},
            **self.platform,
        }
        tables = {**self.operator_tables, **self.process_tables.get(number, {})}
        self.folder_of(number).mkdir(parents=True, exist_ok=True)
        values = {"process": number, "folder": self.folder_of(number)}
        program.write(platform, {name: substitute(table, values) for name, table in tables.items()})

    def folder_of(self, process: int) -> Path:
        """The process's own folder, which `{folder}` names and which stays when the process is killed."""
        return self.programs[process].folder / "kept"

    # --- Processes ------------------------------------------------------------------

    async def start(self, process: int, waits_for_list: bool = True) -> None:
        """Start a process without state, until it is ready and, if `waits_for_list`, has read its list."""
        program = self.programs[process]
        for at in range(len(self.endpoints)):
            self.lifecycles_read.pop((process, at), None)
        await program.start()
        await program.wait_ready()
        if waits_for_list:
            await self.wait_lists_read(processes=(process,))

    async def restart(self, process: int, waits_for_list: bool = True) -> None:
        """Start a process anew under its name and addresses; it is killed first if it runs."""
        if self.programs[process].is_running:
            await self.kill(process)
        await self.start(process, waits_for_list)

    async def kill(self, process: int) -> None:
        """Send SIGKILL, and wait until the process has ended."""
        await self.programs[process].kill()

    async def stop(self, process: int) -> int:
        """Send SIGTERM, and wait until the process has ended; its exit status."""
        return await self.programs[process].stop()

    async def replace(self, process: int) -> int:
        """Start a successor that takes over; the exit status of the older process."""
        return await self.programs[process].replace()

    def pause(self, process: int) -> None:
        """Send SIGSTOP."""
        self.programs[process].pause()

    def resume(self, process: int) -> None:
        """Send SIGCONT."""
        self.programs[process].resume()

    async def call(self, process: int, method: str, target: str) -> Message:
        """Call a process's management address. OSError or `asyncio.IncompleteReadError` for no answer."""
        return await self.programs[process].call(method, target)

    async def read_state(self, process: int, target: str) -> Any:
        """Read JSON from a process's management address. AssertionError for another status than 200."""
        message = await self.call(process, "GET", target)
        assert message.status == 200, f"process {process}, {target}: {message.status} {message.body!r}"
        return json.loads(message.body)

    # --- Faults ---------------------------------------------------------------------

    def partition(self, some: Iterable[int], others: Iterable[int], both_ways: bool = True) -> None:
        """Lose all datagrams from `some` processes to `others`, and the reverse if `both_ways`."""
        self.datagrams.route_table.partition(some, others, both_ways)

    def heal_partition(self, some: Iterable[int] | None = None, others: Iterable[int] | None = None) -> None:
        """End partitions: all, or those between these groups."""
        self.datagrams.route_table.heal_partition(some, others)

    def set_network_faults(self, faults: NetworkFaults) -> None:
        """Set the faults of datagrams between all processes."""
        self.datagrams.route_table.set_faults(faults)

    def block_discovery(self, processes: Iterable[int]) -> None:
        """Silence discovery for these processes."""
        for process in processes:
            self._relay(process).block()

    def unblock_discovery(self, processes: Iterable[int]) -> None:
        """End what `block_discovery` did."""
        for process in processes:
            self._relay(process).unblock()

    def _relay(self, process: int) -> StreamRelay:
        relay = self.discoveries[process].relay
        assert relay is not None
        return relay

    def block_path(
        self, endpoint: int, direction: Direction = "both", processes: Iterable[int] | None = None
    ) -> None:
        """Keep what passes between an endpoint and these processes, or all, in this direction."""
        for path in self._paths(endpoint, processes):
            path.block(direction)

    def unblock_path(self, endpoint: int, processes: Iterable[int] | None = None) -> None:
        """End what `block_path` did, in both directions."""
        for path in self._paths(endpoint, processes):
            path.unblock()

    def _paths(self, endpoint: int, processes: Iterable[int] | None) -> list[StreamRelay]:
        named = range(len(self.paths)) if processes is None else processes
        return [self.paths[process][endpoint] for process in named]

    def stop_endpoint(self, endpoint: int) -> None:
        """Stop an endpoint as a crash does: open connections are reset, new ones are refused."""
        self.endpoints[endpoint].stop()
        for path in self._paths(endpoint, None):
            path.refuse()

    async def restart_endpoint(self, endpoint: int, started_ms: int) -> None:
        """Start an endpoint anew at its address; lists have it once `publish` is called."""
        await self.endpoints[endpoint].restart(started_ms)
        for path in self._paths(endpoint, None):
            await path.accept()

    def hold_answers(self, endpoint: int) -> None:
        """Let an endpoint execute requests and answer them only after `release_answers`."""
        self.answer_gates[endpoint].clear()

    def release_answers(self, endpoint: int) -> None:
        """Answer what was held, and what comes."""
        self.answer_gates[endpoint].set()

    # --- Discovery ------------------------------------------------------------------

    def publish(
        self, endpoint: int, lifecycle: str, processes: Iterable[int] | None = None, **changes: Any
    ) -> None:
        """Publish an endpoint's lifecycle and other changes to these processes, or to all."""
        for process in range(len(self.programs)) if processes is None else processes:
            entry = {**self._views[process][endpoint], "lifecycle": lifecycle, **changes}
            self._views[process][endpoint] = entry
            self.discoveries[process].push(entry)

    async def wait_lists_read(self, processes: Iterable[int] | None = None) -> None:
        """Wait until these processes, or all that run, have read the current lists."""
        named = [p.number for p in self.programs if p.is_running] if processes is None else list(processes)

        async def have_read() -> bool:
            return all(
                self.lifecycles_read.get((process, endpoint)) == entry["lifecycle"]
                for process in named
                for endpoint, entry in enumerate(self._views[process])
            )

        await wait_until(have_read, f"lists read by {named}")

    def _current_list(self, process: int) -> list[Entry]:
        return list(self._views[process])

    def _on_list_read(self, process: int, entries: Sequence[Entry], pushed_at_us: int) -> None:
        now_us = self.history.now_us()
        for entry in entries:
            name, lifecycle = str(entry["instanceId"]), str(entry["lifecycle"])
            self.lifecycles_read[process, endpoint_index(name)] = lifecycle
            self.history.add(EndpointUpdateRead(now_us, pushed_at_us, process, name, lifecycle))

    def _entry(self, process: int, endpoint: int) -> Entry:
        return self.endpoints[endpoint].entry(
            endpoint_name(endpoint),
            hostPort=self.paths[process][endpoint].address,
            zone=self.zones[endpoint % len(self.zones)],
            cell=endpoint % CELLS,
        )

    # --- Endpoints ------------------------------------------------------------------

    def _handler(self, number: int) -> Handler:
        """Execute a request, wait while answers are held, and answer with the request's id."""
        self.answer_gates[number].set()
        effects = self.effects[number % CELLS]

        async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            name = message.headers.get("x-request-id", "")
            dropped = effects.dropped_count
            effects.execute(message)
            if effects.dropped_count == dropped:
                self.history.add(RequestExecuted(self.history.now_us(), endpoint_name(number), name))
            await self.answer_gates[number].wait()
            writer.write(answer(200, name.encode()))

        return handler

    # --- Clients and checks ---------------------------------------------------------

    @contextlib.asynccontextmanager
    async def load(self, clients: int = 4, deadline_ms: int = 2000) -> AsyncIterator[LoadGenerator]:
        """Run clients at each process until the end of the block and their last answers."""
        load = LoadGenerator(self.programs, self.history, clients, deadline_ms)
        try:
            yield load
            await load.stop()
        finally:
            load.cancel()

    def note_drained(self, endpoint: int) -> None:
        """Record that an endpoint was reported drained: nothing may be forwarded there any more."""
        self.history.add(EndpointDrained(self.history.now_us(), endpoint_name(endpoint)))

    def note_restored(self, endpoint: int) -> None:
        """Record that requests may be forwarded to an endpoint again."""
        self.history.add(EndpointRestored(self.history.now_us(), endpoint_name(endpoint)))

    def forwarded_counts(self, first_event: int = 0) -> Counter[tuple[int, int]]:
        """How many requests each process forwarded to each endpoint, from this event on."""
        later = itertools.islice(self.history.events, first_event, None)
        forwarded = (event for event in later if isinstance(event, RequestForwarded))
        return Counter((event.process, endpoint_index(event.endpoint)) for event in forwarded)

    def most_used_endpoint(self, process: int) -> int:
        """The endpoint to which a process has forwarded most."""
        counts = self.forwarded_counts()
        return max(range(len(self.endpoints)), key=lambda number: (counts[process, number], -number))

    async def wait_forwarded(self, endpoint: int, *processes: int) -> None:
        """Wait until each of these processes has forwarded another request to the endpoint."""
        first_event = len(self.history.events)

        async def have_forwarded() -> bool:
            counts = self.forwarded_counts(first_event)
            return all(counts[process, endpoint] for process in processes)

        await wait_until(have_forwarded, f"requests of {processes} at {endpoint_name(endpoint)}")

    async def wait_until_time(self, at_us: int) -> None:
        """Wait until the machine's monotonic time has passed this, µs."""

        async def has_passed() -> bool:
            return self.history.now_us() > at_us

        await wait_until(has_passed, f"the time {at_us} µs")

    def violations(self) -> list[Violation]:
        """All rules that were broken so far."""
        return check_history(self.history.events, self.limits)

    def check(self) -> None:
        """AssertionError that names each broken rule, with the last lines of each log."""
        if found := self.violations():
            logs = [f"process {one.number}: {one.log_lines[-3:]}" for one in self.programs if one.log_lines]
            shown = [str(one) for one in found[:20]]
            raise AssertionError("\n".join([f"{len(found)} broken, seed {self.seed}", *shown, *logs]))
