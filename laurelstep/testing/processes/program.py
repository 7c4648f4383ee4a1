"""Runs one process of the program: its configuration files, signals and log."""

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
from laurelstep.testing.processes.files import fill_disk, format_toml, free_disk
from laurelstep.testing.processes.history import History, ManagementCall, ProcessPhase
from laurelstep.testing.processes.launch import create_clock, step_clock
from laurelstep.testing.processes.relays import HOST, Address

# How long a test waits for an event before it fails. No check depends on it.
EVENT_TIMEOUT_S: Final = 60.0
# Time between two polls of a condition. No check depends on it.
POLL_INTERVAL_S: Final = 0.01
MAX_LOG_LINES: Final = 10_000
PROGRAM_ARGUMENTS: Final = ("-m", "laurelstep")


async def wait_until(
    is_true: Callable[[], Awaitable[bool]], description: str, timeout_s: float = EVENT_TIMEOUT_S
) -> None:
    """Poll a condition until it is true; AssertionError with its description after `timeout_s`."""
    try:
        async with asyncio.timeout(timeout_s):
            while not await is_true():
                await asyncio.sleep(POLL_INTERVAL_S)
    except TimeoutError:
        raise AssertionError(f"not true within {timeout_s:.0f} s: {description}") from None


class ProgramRunner:
    """Starts, signals and restarts one process, which keeps its name, addresses and folder.

    `serving` is set while the process is ready and was not told to end. Waits fail with an AssertionError or
    a TimeoutError after `EVENT_TIMEOUT_S`.
    """

    def __init__(
        self,
        number: int,
        folder: Path,
        history: History,
        seed: int,
        has_clock: bool = False,
        command_prefix: Sequence[str] = PROGRAM_ARGUMENTS,
    ) -> None:
        """`command_prefix` precedes the program's arguments in those of the interpreter. With `has_clock` the
        process gets a wall clock that can be stepped.
        """
        self.number = number
        self.folder = folder
        self.history = history
        self.listen: Address = (HOST, free_port())
        self.management: Address = (HOST, free_port())
        self.clock_path = folder / "clock" if has_clock else None
        self.command_prefix = command_prefix
        self.log_lines: list[str] = []  # over all starts
        self.process: Process | None = None
        self.start_count = 0
        self.serving = asyncio.Event()  # the process is ready and was not told to end since
        self._rng = random.Random(f"{seed} {number}")
        self._logged = asyncio.Condition()
        self._running: dict[Process, asyncio.Task[int]] = {}  # two entries while a successor takes over
        self._retiring: set[int] = set()
        self._exit_task: asyncio.Task[int] | None = None
        self._paused = False

    # --- Files ----------------------------------------------------------------------

    def write(self, platform: Mapping[str, Any], tables: Mapping[str, Mapping[str, Any]]) -> None:
        """Write the configuration: the platform's JSON and the operator's tables."""
        self.folder.mkdir(exist_ok=True)
        if self.clock_path is not None and not self.clock_path.exists():
            create_clock(self.clock_path)
        self._write_json({**platform, "name": f"n{self.number}"})
        (self.folder / "operator.toml").write_text(format_toml(tables))

    def _write_json(self, raw: Mapping[str, Any]) -> None:
        (self.folder / "config.json").write_text(json.dumps(raw))

    def _draw_seed(self) -> None:
        """Write a new seed, as each start has its own."""
        raw = json.loads((self.folder / "config.json").read_text())
        self._write_json({**raw, "seed": f"{self._rng.getrandbits(64):x}"})

    # --- Starting and ending --------------------------------------------------------

    @property
    def pid(self) -> int:
        """The process id of the latest start."""
        assert self.process is not None
        return self.process.pid

    @property
    def running_pids(self) -> list[int]:
        """The process ids of all that run: two while a successor takes over."""
        return [process.pid for process in self._running]

    @property
    def is_running(self) -> bool:
        """Whether the process of the latest start has not ended."""
        return self.process is not None and self.process.returncode is None

    async def start(self) -> None:
        """Start the process, not as a successor and without waiting until it is ready."""
        assert not self.is_running, f"process {self.number} is running already"
        self._paused = False
        self.history.add_process_event(self.number, ProcessPhase.STARTED)
        await self._spawn()

    async def replace(self) -> int:
        """Start a successor at the same address, with another management address; once it is ready, stop the
        predecessor and return its exit status.
        """
        predecessor, exit_task = self.process, self._exit_task
        assert predecessor is not None and exit_task is not None and self.is_running
        self.management = (HOST, free_port())
        self.history.add_process_event(self.number, ProcessPhase.SUCCESSOR_STARTED)
        await self._spawn()
        await self._poll_until_ready()
        self.history.add_process_event(self.number, ProcessPhase.RETIRING)
        self._retiring.add(predecessor.pid)
        predecessor.send_signal(signal.SIGTERM)
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            return await asyncio.shield(exit_task)

    async def _spawn(self) -> None:
        self._draw_seed()
        prefix = self.command_prefix
        if self.clock_path is not None:
            prefix = ("-m", f"{__package__}.launch", str(self.clock_path))
        arguments = [*prefix, "run", "--operator", str(self.folder / "operator.toml")]
        inherited = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        variables = {
            "LB_CONFIG": str(self.folder / "config.json"),
            "LB_MANAGEMENT": f"{self.management[0]}:{self.management[1]}",
            "TMPDIR": str(self.folder),
        }
        self.start_count += 1
        # In a new session, and so a process group, for signals to the process and its workers.
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, *arguments, stdin=DEVNULL, stdout=DEVNULL, stderr=PIPE, start_new_session=True,
            env={**inherited, **variables},
        )  # fmt: skip
        self._exit_task = asyncio.create_task(self._read_log(self.process))
        self._running[self.process] = self._exit_task

    async def _read_log(self, process: Process) -> int:
        """Read the log until the process ends; return its exit status."""
        assert process.stderr is not None
        async for raw in process.stderr:
            async with self._logged:
                self.log_lines.append(raw.decode(errors="replace").rstrip("\n"))
                del self.log_lines[:-MAX_LOG_LINES]
                self._logged.notify_all()
        status = await process.wait()
        del self._running[process]
        if process.pid in self._retiring:
            self._retiring.discard(process.pid)
            self.history.add_process_event(self.number, ProcessPhase.RETIRED)
        else:
            self.serving.clear()
            self.history.add_process_event(self.number, ProcessPhase.ENDED)
        async with self._logged:
            self._logged.notify_all()
        return status

    async def wait_ready(self) -> None:
        """Wait until the process reports over its management API that it is ready."""
        await self._poll_until_ready()
        self.history.add_process_event(self.number, ProcessPhase.READY)
        self.serving.set()

    async def _poll_until_ready(self) -> None:
        async def is_ready() -> bool:
            if not self.is_running:
                raise AssertionError(f"process {self.number} ended: {self._last_lines}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                return (await self.query("GET", "/api/ready")).status == 200
            return False

        await wait_until(is_ready, f"process {self.number} ready")

    async def wait_ended(self) -> int:
        """Wait until the process has ended; return its exit status."""
        assert self._exit_task is not None
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            return await asyncio.shield(self._exit_task)

    async def kill(self) -> None:
        """Send SIGKILL to the process and any predecessor, paused or not, and wait until they have ended."""
        self.serving.clear()
        self._signal(signal.SIGKILL, ProcessPhase.KILLED)
        async with asyncio.timeout(EVENT_TIMEOUT_S):
            await asyncio.gather(*map(asyncio.shield, self._running.values()))

    async def stop(self) -> int:
        """Send SIGTERM, wait until the process has ended, and return its exit status."""
        self.serving.clear()
        self._signal(signal.SIGTERM, ProcessPhase.STOPPING, to_group=False)
        return await self.wait_ended()

    def pause(self) -> None:
        """Send SIGSTOP to the process and its workers, which keep their state."""
        self._paused = True
        self._signal(signal.SIGSTOP, ProcessPhase.PAUSED)

    def resume(self) -> None:
        """Send SIGCONT to the process and its workers."""
        self._paused = False
        self._signal(signal.SIGCONT, ProcessPhase.RESUMED)

    @property
    def is_paused(self) -> bool:
        """Whether the process was paused and not resumed since."""
        return self._paused

    def _signal(self, signal_number: signal.Signals, phase: ProcessPhase, to_group: bool = True) -> None:
        """Send a signal; its event is recorded before it is sent, for SIGCONT after it."""
        assert self._running, f"process {self.number} is not running"
        if signal_number != signal.SIGCONT:
            self.history.add_process_event(self.number, phase)
        for process in list(self._running):
            (os.killpg if to_group else os.kill)(process.pid, signal_number)
        if signal_number == signal.SIGCONT:
            self.history.add_process_event(self.number, phase)

    async def close(self) -> None:
        """Kill the process if it runs, also after an incomplete start."""
        if self._running:
            await self.kill()

    # --- Faults ---------------------------------------------------------------------

    def step_clock(self, by_us: int) -> None:
        """Step the process's wall clock forward, or back for a negative step."""
        assert self.clock_path is not None, "the process was created without `has_clock`"
        step_clock(self.clock_path, by_us)

    def fill_disk(self) -> None:
        """Fail all writes to files as on a full disk, until `free_disk` or the next start."""
        fill_disk(self.pid)

    def free_disk(self) -> None:
        """Undo `fill_disk`."""
        free_disk(self.pid)

    # --- Calls and log lines --------------------------------------------------------

    async def query(self, method: str, target: str) -> Message:
        """Call the management API. OSError or `asyncio.IncompleteReadError` if there is no answer."""
        reader, writer = await asyncio.open_connection(*self.management)
        try:
            writer.write(f"{method} {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            return await read_message(reader)
        finally:
            writer.close()

    async def call(self, method: str, target: str) -> Message:
        """Call the management API and record the answer in the history. Raises the same errors as `query`."""
        started_at_us = self.history.now_us()
        message = await self.query(method, target)
        answered_at_us = self.history.now_us()
        request_line = f"{method} {target}"
        self.history.add(
            ManagementCall(answered_at_us, started_at_us, self.number, request_line, message.status)
        )
        return message

    async def wait_logged(self, text: str, first_line: int = 0) -> str:
        """Wait for a log line that contains `text`, from line `first_line` on, and return it.

        AssertionError if the process ends, or `EVENT_TIMEOUT_S` passes, without such a line.
        """
        try:
            async with asyncio.timeout(EVENT_TIMEOUT_S), self._logged:
                while True:
                    for line in self.log_lines[first_line:]:
                        if text in line:
                            return line
                    failure = f"process {self.number} ended without {text!r}: {self._last_lines}"
                    assert self.is_running, failure
                    await self._logged.wait()
        except TimeoutError:
            raise AssertionError(f"process {self.number} did not log {text!r}: {self._last_lines}") from None

    @property
    def _last_lines(self) -> list[str]:
        return self.log_lines[-5:]
