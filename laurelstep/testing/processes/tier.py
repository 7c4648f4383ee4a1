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
from typing import Any, Final, Self

from laurelstep.testing.endpoints import Effects, Endpoint, Handler
from laurelstep.testing.messages import Message, Writer, answer, free_udp_port
from laurelstep.testing.processes.faults import Weather
from laurelstep.testing.processes.history import (
    Cleared,
    History,
    Ran,
    Returned,
    Rules,
    Sent,
    Told,
    Violation,
    check,
)
from laurelstep.testing.processes.lists import Entry, Lists
from laurelstep.testing.processes.load import Load
from laurelstep.testing.processes.program import PROGRAM, Program, until
from laurelstep.testing.processes.relays import HOST, DatagramRelay, Direction, StreamRelay, now_us

# The platform's settings, as far as a test does not give others. An answer that comes later than the
# deadline by less than `late_us` is put down to the machine that runs the test.
SETTINGS: Final[dict[str, Any]] = {
    "classes": [
        {"name": "page", "aim-us": 1_000_000, "deadline-us": 20_000_000, "repeat": "retryable"},
        {
            "name": "put", "aim-us": 1_000_000, "deadline-us": 20_000_000, "repeat": "dedup",
            "dedup-scope": "cell", "repeat-window-us": 20_000_000,
        },
        {"name": "pay", "aim-us": 1_000_000, "deadline-us": 20_000_000, "repeat": "fragile"},
    ],
    "ceilings": {
        "cancel": True, "second-copies": True, "max-attempts": 3, "max-streams": 1,
        "conn-idle-us": 30_000_000, "connect-timeout-us": 1_000_000, "retry-after": True,
    },
    "invariants": {"drain-grace-us": 500_000},
    "load-report": {"fields": ["waiting", "rps"], "how": "piggyback"},
    "kinds": ["small"], "discovery": "push", "stage": 1,
}  # fmt: skip
LATE_US: Final = 3_000_000
CELLS: Final = 2

Tables = Mapping[str, Mapping[str, Any]]


class Tier:
    """`programs`, `endpoints`, `paths[process][endpoint]`, `lists[process].relay` and `datagrams` are
    there for what has no method here; `history` and `check` say what came of it."""

    def __init__(
        self,
        processes: int = 3,
        endpoints: int = 4,
        operator_tables: Tables | None = None,
        *,
        tables_of: Mapping[int, Tables] | None = None,
        platform: Mapping[str, Any] | None = None,
        settings: Mapping[str, Any] | None = None,
        zones: Sequence[str] = ("a", "b"),
        seed: int = 1,
        clocks: bool = False,
        folder: Path | None = None,
        rules: Rules | None = None,
        begin: Sequence[str] = PROGRAM,
    ) -> None:
        """`operator_tables` hold for all processes, `tables_of` for single ones beside them; in their
        texts `{process}` and `{folder}` stand for its number and a folder of its own that stays.
        `platform` and `settings` replace keys of the platform's JSON and of its settings. With `clocks`
        each process has a wall clock that can be stepped. `begin` starts another program in the place
        of this one: a faulty one, which a checker must find; without `clocks`."""
        assert not clocks or begin == PROGRAM, "the clock is a way to begin itself"
        self.operator_tables, self.tables_of = operator_tables or {}, tables_of or {}
        self.platform, self.settings = platform or {}, settings or {}
        self.zones = tuple(zones)
        self.seed = seed
        self.draw = random.Random(f"{seed} tier")
        self.rules = rules or Rules(late_us=LATE_US)
        self.history = History(now_us)
        self._stack = contextlib.AsyncExitStack()
        self._folder, self._clocks, self._processes, self._begin = folder, clocks, processes, begin
        self.effects = [Effects() for _ in range(CELLS)]
        self.open = [asyncio.Event() for _ in range(endpoints)]  # held back: executed, and not answered
        self.endpoints = [Endpoint(self._handler(number), keep=False) for number in range(endpoints)]
        self.programs: list[Program] = []
        self.paths: list[list[StreamRelay]] = []
        self.lists: list[Lists] = []
        self.told: dict[tuple[int, int], str] = {}  # what a process has read of an endpoint last
        self._views: list[list[Entry]] = []

    # --- Life -----------------------------------------------------------------------

    async def __aenter__(self) -> Self:
        """All processes are ready, and have read the list."""
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
        for number in range(self._processes):
            program = Program(
                number, folder / f"p{number}", self.history, self.seed, self._clocks, self._begin
            )
            self.programs.append(program)
            self.paths.append([await self._path(number, at) for at in range(len(self.endpoints))])
            self._views.append([self._entry(number, at) for at in range(len(self.endpoints))])
            lists = Lists(partial(self._list, number), partial(self._read, number))
            self.lists.append(lists)
            self._stack.callback(lists.close)
            await lists.open()
        self.datagrams = DatagramRelay([(HOST, free_udp_port()) for _ in self.programs], self.seed)
        self._stack.callback(self.datagrams.close)
        await self.datagrams.start()
        for program in self.programs:
            self._stack.push_async_callback(program.close)
            self._write(program)

    async def _path(self, process: int, at: int) -> StreamRelay:
        def seen(request: str, when: int) -> None:
            self.history.add(Sent(when, process, name_of(at), request))

        path = StreamRelay((HOST, self.endpoints[at].port), self.seed * 1000 + process * 100 + at, seen)
        self._stack.callback(path.close)
        await path.start()
        return path

    def _write(self, program: Program) -> None:
        number = program.number
        relay = self.lists[number].relay
        assert relay is not None
        host, port = self.datagrams.real[number]
        own = {"me": number, "instances": len(self.programs), "zones": list(self.zones)}
        platform = {
            "listen": _text(program.listen),
            "management": _text(program.management),
            "discovery": relay.address,
            "limits": {"sockets": 1024},
            "peer_listen": f"{host}:{port}",
            "peers": self.datagrams.peers_of(number),
            "settings": {**SETTINGS, **own, **self.settings},
            **self.platform,
        }
        tables = {**self.operator_tables, **self.tables_of.get(number, {})}
        self.folder_of(number).mkdir(parents=True, exist_ok=True)
        told = {"process": number, "folder": self.folder_of(number)}
        program.write(platform, {name: _filled(table, told) for name, table in tables.items()})

    def folder_of(self, process: int) -> Path:
        """A folder of this process's own, which stays when it is killed; where `{folder}` points."""
        return self.programs[process].folder / "kept"

    # --- Processes ------------------------------------------------------------------

    async def start(self, process: int, told: bool = True) -> None:
        """From nothing, until it is ready and, if `told`, has read its list."""
        program = self.programs[process]
        for at in range(len(self.endpoints)):
            self.told.pop((process, at), None)
        await program.start()
        await program.until_ready()
        if told:
            await self.until_told(processes=(process,))

    async def restart(self, process: int, told: bool = True) -> None:
        """The same, under the same name and addresses; it is killed first if it runs."""
        if self.programs[process].running:
            await self.kill(process)
        await self.start(process, told)

    async def kill(self, process: int) -> None:
        """SIGKILL, until it is gone."""
        await self.programs[process].kill()

    async def stop(self, process: int) -> int:
        """SIGTERM, until it is gone; its exit status."""
        return await self.programs[process].stop()

    async def replace(self, process: int) -> int:
        """The next version follows this one at its address; the exit status of the older one."""
        return await self.programs[process].replace()

    def pause(self, process: int) -> None:
        """SIGSTOP."""
        self.programs[process].pause()

    def resume(self, process: int) -> None:
        """SIGCONT."""
        self.programs[process].resume()

    async def call(self, process: int, method: str, target: str) -> Message:
        """A call at a process's second address."""
        return await self.programs[process].call(method, target)

    async def state(self, process: int, target: str) -> Any:
        """What a process answers there in JSON. AssertionError for another status than 200."""
        message = await self.call(process, "GET", target)
        assert message.status == 200, f"process {process}, {target}: {message.status} {message.body!r}"
        return json.loads(message.body)

    # --- Faults ---------------------------------------------------------------------

    def cut(self, some: Iterable[int], others: Iterable[int], both: bool = True) -> None:
        """No datagram from `some` processes to `others`, nor back if `both`."""
        self.datagrams.ways.cut(some, others, both)

    def heal(self, some: Iterable[int] | None = None, others: Iterable[int] | None = None) -> None:
        """End what `cut` did: all, or between these."""
        self.datagrams.ways.heal(some, others)

    def change_weather(self, weather: Weather) -> None:
        """What becomes of datagrams between all processes."""
        self.datagrams.ways.change_weather(weather)

    def cut_lists(self, processes: Iterable[int]) -> None:
        """Discovery is silent for these."""
        for process in processes:
            self._relay(process).cut()

    def heal_lists(self, processes: Iterable[int]) -> None:
        for process in processes:
            self._relay(process).heal()

    def _relay(self, process: int) -> StreamRelay:
        relay = self.lists[process].relay
        assert relay is not None
        return relay

    def cut_path(
        self, endpoint: int, direction: Direction = "both", processes: Iterable[int] | None = None
    ) -> None:
        """Between an endpoint and these processes, or all: `there` keeps requests, `back` answers."""
        for path in self._paths(endpoint, processes):
            path.cut(direction)

    def heal_path(self, endpoint: int, processes: Iterable[int] | None = None) -> None:
        for path in self._paths(endpoint, processes):
            path.heal()

    def _paths(self, endpoint: int, processes: Iterable[int] | None) -> list[StreamRelay]:
        named = range(len(self.paths)) if processes is None else processes
        return [self.paths[process][endpoint] for process in named]

    def stop_endpoint(self, endpoint: int) -> None:
        """It dies: what is open is reset, what comes is refused."""
        self.endpoints[endpoint].stop()
        for path in self._paths(endpoint, None):
            path.refuse()

    async def restart_endpoint(self, endpoint: int, started_ms: int) -> None:
        """It comes back at its address as a new process; lists tell of it when `tell` is called."""
        await self.endpoints[endpoint].restart(started_ms)
        for path in self._paths(endpoint, None):
            await path.admit()

    def hold(self, endpoint: int) -> None:
        """From now on it executes what comes, and answers when `let_go` is called."""
        self.open[endpoint].clear()

    def let_go(self, endpoint: int) -> None:
        self.open[endpoint].set()

    # --- Lists ----------------------------------------------------------------------

    def tell(
        self, endpoint: int, lifecycle: str, processes: Iterable[int] | None = None, **changes: Any
    ) -> None:
        """Discovery says this of an endpoint from now on: to these processes, or to all."""
        for process in range(len(self.programs)) if processes is None else processes:
            entry = {**self._views[process][endpoint], "lifecycle": lifecycle, **changes}
            self._views[process][endpoint] = entry
            self.lists[process].push(entry)

    async def until_told(self, processes: Iterable[int] | None = None) -> None:
        """Until these processes, or all that run, have read what discovery says now."""
        named = [p.number for p in self.programs if p.running] if processes is None else list(processes)

        async def look() -> bool:
            return all(
                self.told.get((process, at)) == entry["lifecycle"]
                for process in named
                for at, entry in enumerate(self._views[process])
            )

        await until(look, f"lists read by {named}")

    def _list(self, process: int) -> list[Entry]:
        return list(self._views[process])

    def _read(self, process: int, entries: Sequence[Entry], pushed_at: int) -> None:
        now = self.history.now()
        for entry in entries:
            name, lifecycle = str(entry["instanceId"]), str(entry["lifecycle"])
            self.told[process, number_of(name)] = lifecycle
            self.history.add(Told(now, pushed_at, process, name, lifecycle))

    def _entry(self, process: int, at: int) -> Entry:
        return self.endpoints[at].entry(
            name_of(at),
            hostPort=self.paths[process][at].address,
            zone=self.zones[at % len(self.zones)],
            cell=at % CELLS,
        )

    # --- Endpoints ------------------------------------------------------------------

    def _handler(self, at: int) -> Handler:
        """Execute, keep the answer while it is held, answer with the request's id."""
        self.open[at].set()
        effects = self.effects[at % CELLS]

        async def handler(endpoint: Endpoint, message: Message, writer: Writer) -> None:
            name = message.headers.get("x-request-id", "")
            dropped = effects.dropped
            effects.execute(message)
            if effects.dropped == dropped:
                self.history.add(Ran(self.history.now(), name_of(at), name))
            await self.open[at].wait()
            writer.write(answer(200, name.encode()))

        return handler

    # --- Clients, and the verdict ---------------------------------------------------

    @contextlib.asynccontextmanager
    async def load(self, callers: int = 4, deadline_ms: int = 2000) -> AsyncIterator[Load]:
        """Clients at each process, until the end of the block and their last answer."""
        load = Load(self.programs, self.history, callers, deadline_ms)
        try:
            yield load
            await load.stop()
        finally:
            load.cancel()

    def note_clear(self, endpoint: int) -> None:
        """Somebody was told that it is clear: from now on nothing may be sent there."""
        self.history.add(Cleared(self.history.now(), name_of(endpoint)))

    def note_back(self, endpoint: int) -> None:
        """It may be sent to again."""
        self.history.add(Returned(self.history.now(), name_of(endpoint)))

    def sent(self, since: int = 0) -> Counter[tuple[int, int]]:
        """How many requests left which process for which endpoint, from that event on."""
        later = itertools.islice(self.history.events, since, None)
        return Counter(
            (event.process, number_of(event.endpoint)) for event in later if isinstance(event, Sent)
        )

    def most_used(self, process: int) -> int:
        """The endpoint that a process has sent most to."""
        own = {at: count for (one, at), count in self.sent().items() if one == process}
        return max(own, key=lambda at: (own[at], -at))

    async def until_sent(self, endpoint: int, *processes: int) -> None:
        """Until each of these has sent another request there."""
        since = len(self.history.events)

        async def look() -> bool:
            sent = self.sent(since)
            return all(sent[process, endpoint] for process in processes)

        await until(look, f"requests of {processes} at {name_of(endpoint)}")

    async def until_passed(self, at_us: int) -> None:
        """Until the machine's monotonic time is this, as a deadline needs it."""

        async def look() -> bool:
            return self.history.now() > at_us

        await until(look, "time")

    def violations(self) -> list[Violation]:
        return check(self.history.events, self.rules)

    def check(self) -> None:
        """AssertionError that names what was broken, with the last lines of each log."""
        if found := self.violations():
            logs = [f"process {one.number}: {one.lines[-3:]}" for one in self.programs if one.lines]
            shown = [str(one) for one in found[:20]]
            raise AssertionError("\n".join([f"{len(found)} broken, seed {self.seed}", *shown, *logs]))


def name_of(endpoint: int) -> str:
    """An endpoint's name in lists and in the history."""
    return f"s-{endpoint}"


def number_of(name: str) -> int:
    return int(name.removeprefix("s-"))


def _text(address: tuple[str, int]) -> str:
    return f"{address[0]}:{address[1]}"


def _filled(value: Any, told: Mapping[str, object]) -> Any:
    """A table whose texts name the process they are for."""
    match value:
        case str():
            for name, what in told.items():
                value = value.replace(f"{{{name}}}", str(what))
            return value
        case dict() | Mapping():
            return {key: _filled(one, told) for key, one in value.items()}
        case list() | tuple():
            return [_filled(one, told) for one in value]
    return value
