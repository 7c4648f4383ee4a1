"""A tier of processes in front of stand-in endpoints, with faults between all of them."""

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
    CELL_COUNT,
    LATENESS_US,
    SETTINGS,
    Tables,
    address_text,
    endpoint_index,
    endpoint_name,
    substitute,
)


class ProcessTier:
    """Runs processes in front of stand-in endpoints, records their history and checks it.

    Tests may use `programs`, `endpoints`, `paths[process][endpoint]`, `discoveries[process].relay` and
    `datagrams` for operations that have no method here. Waits fail with an AssertionError that names the
    event.
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
        """`operator_tables` apply to all processes, `process_tables` add to them by process. In their strings
        `{process}` is replaced by the process's number, `{folder}` by its folder, which it keeps over
        restarts. `platform` and `settings` replace keys of the platform's JSON and of its settings. With
        `with_clocks` each process has a wall clock that can be stepped. `command_prefix` starts another
        program, such as a faulty one whose violations must be found; not together with `with_clocks`.
        """
        assert not with_clocks or command_prefix == PROGRAM_ARGUMENTS, (
            "with_clocks sets its own command prefix"
        )
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
        self.effects = [Effects() for _ in range(CELL_COUNT)]
        self.answer_gates = [asyncio.Event() for _ in range(endpoints)]  # cleared while answers are held
        self.endpoints = [
            Endpoint(self._handler(number), records_requests=False) for number in range(endpoints)
        ]
        self.programs: list[ProgramRunner] = []
        self.paths: list[list[StreamRelay]] = []
        self.discoveries: list[ProcessDiscovery] = []
        self.lifecycles_read: dict[tuple[int, int], str] = {}  # by process and endpoint
        self._lists: list[list[Entry]] = []

    # --- Start and end ----------------------------------------------------------------------

    async def __aenter__(self) -> Self:
        """Start all processes, and wait until they are ready and have read the endpoint list."""
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
            self.paths.append([await self._start_path(number, index) for index in range(len(self.endpoints))])
            self._lists.append([self._entry(number, index) for index in range(len(self.endpoints))])
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
        process_settings = {"me": number, "instances": len(self.programs), "zones": list(self.zones)}
        platform = {
            "listen": address_text(program.listen),
            "management": address_text(program.management),
            "discovery": self._relay(number).address,
            "limits": {"sockets": 1024},
            "peer_listen": address_text(self.datagrams.peer_addresses[number]),
            "peers": self.datagrams.peers_of(number),
            "settings": {**SETTINGS, **process_settings, **self.settings},
            **self.platform,
        }
        tables = {**self.operator_tables, **self.process_tables.get(number, {})}
        self.folder_of(number).mkdir(parents=True, exist_ok=True)
        values = {"process": number, "folder": self.folder_of(number)}
        program.write(platform, {name: substitute(table, values) for name, table in tables.items()})

    def folder_of(self, process: int) -> Path:
        """Return the process's folder, which replaces `{folder}` in its tables and is kept over restarts."""
        return self.programs[process].folder / "kept"

    # --- Processes ------------------------------------------------------------------

    async def start(self, process: int, waits_for_list: bool = True) -> None:
        """Start a process and wait until it is ready and, if `waits_for_list`, has read its list."""
        program = self.programs[process]
        for endpoint in range(len(self.endpoints)):
            self.lifecycles_read.pop((process, endpoint), None)
        await program.start()
        await program.wait_ready()
        if waits_for_list:
            await self.wait_lists_read(processes=(process,))

    async def restart(self, process: int, waits_for_list: bool = True) -> None:
        """Start a process again with the same name and addresses; kill it first if it runs."""
        if self.programs[process].is_running:
            await self.kill(process)
        await self.start(process, waits_for_list)

    async def kill(self, process: int) -> None:
        """Send SIGKILL and wait until the process has ended."""
        await self.programs[process].kill()

    async def stop(self, process: int) -> int:
        """Send SIGTERM, wait until the process has ended, and return its exit status."""
        return await self.programs[process].stop()

    async def replace(self, process: int) -> int:
        """Start a successor that takes over; return the exit status of the predecessor."""
        return await self.programs[process].replace()

    def pause(self, process: int) -> None:
        """Pause a process with SIGSTOP."""
        self.programs[process].pause()

    def resume(self, process: int) -> None:
        """Resume a process with SIGCONT."""
        self.programs[process].resume()

    async def call(self, process: int, method: str, target: str) -> Message:
        """Call a process's management API. OSError or `asyncio.IncompleteReadError` if there is no answer."""
        return await self.programs[process].call(method, target)

    async def read_state(self, process: int, target: str) -> Any:
        """Read JSON from a process's management API. AssertionError if the status is not 200."""
        message = await self.call(process, "GET", target)
        assert message.status == 200, f"process {process}, {target}: {message.status} {message.body!r}"
        return json.loads(message.body)

    # --- Faults ---------------------------------------------------------------------

    def partition(self, senders: Iterable[int], receivers: Iterable[int], both_ways: bool = True) -> None:
        """Lose all datagrams from `senders` to `receivers`, and the reverse ones if `both_ways`."""
        self.datagrams.route_table.partition(senders, receivers, both_ways)

    def heal_partition(
        self, group: Iterable[int] | None = None, other_group: Iterable[int] | None = None
    ) -> None:
        """End the partitions between two groups of processes; None stands for all processes."""
        self.datagrams.route_table.heal_partition(group, other_group)

    def set_network_faults(self, faults: NetworkFaults) -> None:
        """Set the random faults of datagrams between all processes."""
        self.datagrams.route_table.set_faults(faults)

    def block_discovery(self, processes: Iterable[int]) -> None:
        """Block the bytes between these processes and discovery; connections stay open."""
        for process in processes:
            self._relay(process).block()

    def unblock_discovery(self, processes: Iterable[int]) -> None:
        """Undo `block_discovery`."""
        for process in processes:
            self._relay(process).unblock()

    def _relay(self, process: int) -> StreamRelay:
        relay = self.discoveries[process].relay
        assert relay is not None
        return relay

    def block_path(
        self, endpoint: int, direction: Direction = "both", processes: Iterable[int] | None = None
    ) -> None:
        """Keep back the bytes between an endpoint and these processes, or for None all, in this direction."""
        for path in self._paths(endpoint, processes):
            path.block(direction)

    def unblock_path(self, endpoint: int, processes: Iterable[int] | None = None) -> None:
        """Undo `block_path`, in both directions."""
        for path in self._paths(endpoint, processes):
            path.unblock()

    def _paths(self, endpoint: int, processes: Iterable[int] | None) -> list[StreamRelay]:
        selected = range(len(self.paths)) if processes is None else processes
        return [self.paths[process][endpoint] for process in selected]

    def stop_endpoint(self, endpoint: int) -> None:
        """Stop an endpoint as in a crash: open connections are reset, new ones are refused."""
        self.endpoints[endpoint].stop()
        for path in self._paths(endpoint, None):
            path.refuse()

    async def restart_endpoint(self, endpoint: int, started_ms: int) -> None:
        """Start an endpoint again at its address; lists have its new start time only after `publish`."""
        await self.endpoints[endpoint].restart(started_ms)
        for path in self._paths(endpoint, None):
            await path.accept()

    def hold_answers(self, endpoint: int) -> None:
        """Let an endpoint execute requests but hold their answers until `release_answers`."""
        self.answer_gates[endpoint].clear()

    def release_answers(self, endpoint: int) -> None:
        """Send the held answers of an endpoint, and later ones at once."""
        self.answer_gates[endpoint].set()

    # --- Discovery ------------------------------------------------------------------

    def publish(
        self, endpoint: int, lifecycle: str, processes: Iterable[int] | None = None, **changes: Any
    ) -> None:
        """Publish an endpoint's lifecycle and other changes to these processes, or for None to all."""
        for process in range(len(self.programs)) if processes is None else processes:
            entry = {**self._lists[process][endpoint], "lifecycle": lifecycle, **changes}
            self._lists[process][endpoint] = entry
            self.discoveries[process].push(entry)

    async def wait_lists_read(self, processes: Iterable[int] | None = None) -> None:
        """Wait until these processes, or for None all that run, have read their current lists."""
        selected = [p.number for p in self.programs if p.is_running] if processes is None else list(processes)

        async def have_read() -> bool:
            return all(
                self.lifecycles_read.get((process, endpoint)) == entry["lifecycle"]
                for process in selected
                for endpoint, entry in enumerate(self._lists[process])
            )

        await wait_until(have_read, f"lists read by processes {selected}")

    def _current_list(self, process: int) -> list[Entry]:
        return list(self._lists[process])

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
            cell=endpoint % CELL_COUNT,
        )

    # --- Endpoints ------------------------------------------------------------------

    def _handler(self, number: int) -> Handler:
        """Return a handler that executes a request, waits while answers are held, and answers with its id."""
        self.answer_gates[number].set()
        effects = self.effects[number % CELL_COUNT]

        async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            request_id = message.headers.get("x-request-id", "")
            dropped_before = effects.dropped_count
            effects.execute(message)
            if effects.dropped_count == dropped_before:
                self.history.add(RequestExecuted(self.history.now_us(), endpoint_name(number), request_id))
            await self.answer_gates[number].wait()
            writer.write(answer(200, request_id.encode()))

        return handler

    # --- Clients and checks ---------------------------------------------------------

    @contextlib.asynccontextmanager
    async def load(self, clients: int = 4, deadline_ms: int = 2000) -> AsyncIterator[LoadGenerator]:
        """Run clients at each process until the block ends and their open requests are answered."""
        load = LoadGenerator(self.programs, self.history, clients, deadline_ms)
        try:
            yield load
            await load.stop()
        finally:
            load.cancel()

    def record_drained(self, endpoint: int) -> None:
        """Record that an endpoint was reported drained: requests may not be forwarded to it any more."""
        self.history.add(EndpointDrained(self.history.now_us(), endpoint_name(endpoint)))

    def record_restored(self, endpoint: int) -> None:
        """Record that requests may be forwarded to an endpoint again."""
        self.history.add(EndpointRestored(self.history.now_us(), endpoint_name(endpoint)))

    def forwarded_counts(self, first_event: int = 0) -> Counter[tuple[int, int]]:
        """Count the forwarded requests by process and endpoint, from event number `first_event` on."""
        later = itertools.islice(self.history.events, first_event, None)
        forwarded = (event for event in later if isinstance(event, RequestForwarded))
        return Counter((event.process, endpoint_index(event.endpoint)) for event in forwarded)

    def most_used_endpoint(self, process: int) -> int:
        """Return the endpoint to which a process has forwarded most requests."""
        counts = self.forwarded_counts()
        return max(range(len(self.endpoints)), key=lambda number: (counts[process, number], -number))

    async def wait_forwarded(self, endpoint: int, *processes: int) -> None:
        """Wait until each of these processes has forwarded another request to the endpoint."""
        first_event = len(self.history.events)

        async def have_forwarded() -> bool:
            counts = self.forwarded_counts(first_event)
            return all(counts[process, endpoint] for process in processes)

        await wait_until(have_forwarded, f"requests of processes {processes} at {endpoint_name(endpoint)}")

    async def wait_until_time(self, at_us: int) -> None:
        """Wait until the machine's monotonic clock has passed `at_us`."""

        async def has_passed() -> bool:
            return self.history.now_us() > at_us

        await wait_until(has_passed, f"the time {at_us} µs")

    def violations(self) -> list[Violation]:
        """Return all violations so far."""
        return check_history(self.history.events, self.limits)

    def check(self) -> None:
        """Raise an AssertionError if there are violations, with the first 20 and the last log lines."""
        if violations := self.violations():
            logs = [f"process {p.number}: {p.log_lines[-3:]}" for p in self.programs if p.log_lines]
            shown = [str(violation) for violation in violations[:20]]
            raise AssertionError(
                "\n".join([f"{len(violations)} violations, seed {self.seed}", *shown, *logs])
            )
