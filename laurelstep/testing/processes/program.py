"""One process of the program: its files, its signals, what it logs."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import sys
from asyncio.subprocess import DEVNULL, PIPE, Process
from collections.abc import Awaitable, Callable, Mapping, Sequence
from pathlib import Path
from typing import Any, Final

from laurelstep.testing.messages import Message, free_port, read_message
from laurelstep.testing.processes.files import empty_disk, fill_disk, toml
from laurelstep.testing.processes.history import Called, History, What
from laurelstep.testing.processes.launch import make_clock, step_clock
from laurelstep.testing.processes.relays import HOST, Address

# How long a test waits for an event before it fails; nothing is measured by it.
PATIENCE_S: Final = 60.0
# Between two looks at what can only be asked for. No verdict depends on it.
LOOK_S: Final = 0.01
LINES_MOST: Final = 10_000
PROGRAM: Final = ("-m", "laurelstep")


async def until(look: Callable[[], Awaitable[bool]], what: str, seconds: float = PATIENCE_S) -> None:
    """Until it looks as wanted; AssertionError that says what did not come."""
    try:
        async with asyncio.timeout(seconds):
            while not await look():
                await asyncio.sleep(LOOK_S)
    except TimeoutError:
        raise AssertionError(f"did not come within {seconds:.0f} s: {what}") from None


class Program:
    """Its name, addresses and folder stay; each start is a process from nothing."""

    def __init__(
        self,
        number: int,
        folder: Path,
        history: History,
        seed: int,
        clock: bool = False,
        begin: Sequence[str] = PROGRAM,
    ) -> None:
        """`begin`: the words to the interpreter that stand before the program's own."""
        self.number = number
        self.folder = folder
        self.history = history
        self.listen: Address = (HOST, free_port())
        self.management: Address = (HOST, free_port())
        self.clock = folder / "clock" if clock else None
        self.begin = begin
        self.lines: list[str] = []  # its log, of all its starts
        self.process: Process | None = None
        self.starts = 0
        self.up = asyncio.Event()  # ready, and not told to end since
        self._draw = random.Random(f"{seed} {number}")
        self._logged = asyncio.Condition()
        self._alive: dict[Process, asyncio.Task[int]] = {}  # two, while one follows the other
        self._retiring: set[int] = set()
        self._ended: asyncio.Task[int] | None = None
        self._paused = False

    # --- Files ----------------------------------------------------------------------

    def write(self, platform: Mapping[str, Any], tables: Mapping[str, Mapping[str, Any]]) -> None:
        """What it is told by: the platform's JSON, and the operator's tables."""
        self.folder.mkdir(exist_ok=True)
        if self.clock is not None and not self.clock.exists():
            make_clock(self.clock)
        self._write_json({**platform, "name": f"n{self.number}"})
        (self.folder / "operator.toml").write_text(toml(tables))

    def _write_json(self, raw: Mapping[str, Any]) -> None:
        (self.folder / "config.json").write_text(json.dumps(raw))

    def _draw_seed(self) -> None:
        """A seed is new with each start."""
        raw = json.loads((self.folder / "config.json").read_text())
        self._write_json({**raw, "seed": f"{self._draw.getrandbits(64):x}"})

    # --- Starting and ending --------------------------------------------------------

    @property
    def pid(self) -> int:
        assert self.process is not None
        return self.process.pid

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """As a process that knows nothing; it need not be ready yet."""
        assert not self.running, f"process {self.number} runs"
        self._paused = False
        self.history.turn(self.number, What.STARTED)
        await self._spawn()

    async def replace(self) -> int:
        """The next version: a process beside this one, at the same address and with another second
        one; once it is ready this one is told to stop. The exit status of the older one."""
        older, ended = self.process, self._ended
        assert older is not None and ended is not None and self.running
        self.management = (HOST, free_port())
        self.history.turn(self.number, What.FOLLOWED)
        await self._spawn()
        await self._until_yes()
        self.history.turn(self.number, What.RETIRING)
        self._retiring.add(older.pid)
        older.send_signal(signal.SIGTERM)
        async with asyncio.timeout(PATIENCE_S):
            return await asyncio.shield(ended)

    async def _spawn(self) -> None:
        self._draw_seed()
        begin = self.begin if self.clock is None else ("-m", f"{__package__}.launch", str(self.clock))
        words = [*begin, "run", "--operator", str(self.folder / "operator.toml")]
        environ = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        told = {
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_MANAGEMENT": f"{self.management[0]}:{self.management[1]}",
            "TMPDIR": str(self.folder),
        }
        self.starts += 1
        # A group of its own, for signals to it and its workers.
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, *words, stdin=DEVNULL, stdout=DEVNULL, stderr=PIPE, start_new_session=True,
            env={**environ, **told},
        )  # fmt: skip
        self._ended = asyncio.create_task(self._follow(self.process))
        self._alive[self.process] = self._ended

    async def _follow(self, process: Process) -> int:
        """Its log, to its end."""
        assert process.stderr is not None
        async for raw in process.stderr:
            async with self._logged:
                self.lines.append(raw.decode(errors="replace").rstrip("\n"))
                del self.lines[:-LINES_MOST]
                self._logged.notify_all()
        status = await process.wait()
        del self._alive[process]
        if process.pid in self._retiring:
            self._retiring.discard(process.pid)
            self.history.turn(self.number, What.RETIRED)
        else:
            self.up.clear()
            self.history.turn(self.number, What.ENDED)
        async with self._logged:
            self._logged.notify_all()
        return status

    async def until_ready(self) -> None:
        """Until it says so at its second address."""
        await self._until_yes()
        self.history.turn(self.number, What.READY)
        self.up.set()

    async def _until_yes(self) -> None:
        async def look() -> bool:
            if not self.running:
                raise AssertionError(f"process {self.number} ended: {self.lines[-5:]}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                return (await self.ask("GET", "/api/ready")).status == 200
            return False

        await until(look, f"process {self.number} ready")

    async def ended(self) -> int:
        """Its exit status, once it has ended."""
        assert self._ended is not None
        async with asyncio.timeout(PATIENCE_S):
            return await asyncio.shield(self._ended)

    async def kill(self) -> None:
        """SIGKILL, also to one that is paused, and to one that it follows; over once they are gone."""
        self.up.clear()
        self._signal(signal.SIGKILL, What.KILLED)
        async with asyncio.timeout(PATIENCE_S):
            await asyncio.gather(*map(asyncio.shield, self._alive.values()))

    async def stop(self) -> int:
        """SIGTERM; its exit status."""
        self.up.clear()
        self._signal(signal.SIGTERM, What.STOPPING, group=False)
        return await self.ended()

    def pause(self) -> None:
        """SIGSTOP: nothing of it runs, all of it stays."""
        self._paused = True
        self._signal(signal.SIGSTOP, What.PAUSED)

    def resume(self) -> None:
        self._paused = False
        self._signal(signal.SIGCONT, What.RESUMED)

    @property
    def paused(self) -> bool:
        return self._paused

    def _signal(self, number: signal.Signals, what: What, group: bool = True) -> None:
        """Noted before the signal, and behind the one that lets it go on."""
        assert self._alive, f"process {self.number} does not run"
        if number != signal.SIGCONT:
            self.history.turn(self.number, what)
        for process in list(self._alive):
            (os.killpg if group else os.kill)(process.pid, number)
        if number == signal.SIGCONT:
            self.history.turn(self.number, what)

    async def close(self) -> None:
        """Nothing of it is left, also where a start was broken off."""
        if self._alive:
            await self.kill()

    # --- Faults ---------------------------------------------------------------------

    def step_clock(self, by_us: int) -> None:
        """Its wall clock goes on this much later, or earlier."""
        assert self.clock is not None, "made without a clock of its own"
        step_clock(self.clock, by_us)

    def fill_disk(self) -> None:
        """No room in any file, until `empty_disk` or the next start."""
        fill_disk(self.pid)

    def empty_disk(self) -> None:
        empty_disk(self.pid)

    # --- Asking ---------------------------------------------------------------------

    async def ask(self, method: str, target: str) -> Message:
        """A call at the second address. OSError or `asyncio.IncompleteReadError` if there is no
        answer."""
        reader, writer = await asyncio.open_connection(*self.management)
        try:
            writer.write(f"{method} {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            return await read_message(reader)
        finally:
            writer.close()

    async def call(self, method: str, target: str) -> Message:
        """The same, as an event of the history."""
        asked_at = self.history.now()
        message = await self.ask(method, target)
        words = f"{method} {target}"
        self.history.add(Called(self.history.now(), asked_at, self.number, words, message.status))
        return message

    async def until_logged(self, text: str, since: int = 0) -> str:
        """The first line with this text, from the given line on. AssertionError if it ends, or takes
        too long, without one."""
        try:
            async with asyncio.timeout(PATIENCE_S), self._logged:
                while True:
                    for line in self.lines[since:]:
                        if text in line:
                            return line
                    assert self.running, f"process {self.number} ended without {text!r}: {self.lines[-5:]}"
                    await self._logged.wait()
        except TimeoutError:
            raise AssertionError(f"process {self.number} did not log {text!r}: {self.lines[-5:]}") from None
