"""Clients of the processes: each sends its own process one request at a time until it is stopped."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections import Counter
from typing import Final

from laurelstep.testing.callers import Caller, request
from laurelstep.testing.processes.history import (
    Effect,
    History,
    RequestFailed,
    RequestStarted,
    ResponseReceived,
)
from laurelstep.testing.processes.program import EVENT_TIMEOUT_S, ProgramRunner

# Each class of the tier's settings, and its effect as the history's rules have it.
CLASSES: Final[tuple[tuple[str, Effect], ...]] = (("page", "safe"), ("put", "keyed"), ("pay", "unsafe"))
# Time between two requests of a client. It paces the load; no verdict depends on it.
THINK_TIME_S: Final = 0.004


class LoadGenerator:
    """Runs `clients` clients at each process; `answers` counts by process and status.

    A client whose process is down waits until it serves again.
    """

    def __init__(
        self, programs: list[ProgramRunner], history: History, clients: int = 4, deadline_ms: int = 2000
    ) -> None:
        self.programs = programs
        self.history = history
        self.deadline_ms = deadline_ms
        self.answers: Counter[tuple[int, int]] = Counter()
        self.failures: Counter[int] = Counter()
        self._numbers = itertools.count(1)
        self._stopped = asyncio.Event()
        self._changed = asyncio.Condition()
        self._tasks = [
            asyncio.create_task(self._call(program, number))
            for program in programs
            for number in range(clients)
        ]

    async def _call(self, program: ProgramRunner, number: int) -> None:
        """Send requests until `stop`. Of four clients one closes its connection after each answer."""
        caller, last_request = Caller(*program.listen), ""
        while await self._wait_serving(program):
            if caller.streams is not None and caller.streams[0].at_eof():
                caller.close()  # ended while idle, possibly with its process
            last_request = await self._send_request(program, caller, next(self._numbers))
            if number % 4 == 3:
                await self._close_connection(program, caller, last_request)
            await asyncio.sleep(THINK_TIME_S)
        await self._close_connection(program, caller, last_request)

    async def _wait_serving(self, program: ProgramRunner) -> bool:
        """Wait until the process serves; False when it is time to stop."""
        if not program.serving.is_set() and not self._stopped.is_set():
            waiting = [asyncio.create_task(event.wait()) for event in (program.serving, self._stopped)]
            try:
                await asyncio.wait(waiting, return_when=asyncio.FIRST_COMPLETED)
            finally:
                for task in waiting:
                    task.cancel()
        return not self._stopped.is_set()

    async def _send_request(self, program: ProgramRunner, caller: Caller, number: int) -> str:
        cls, effect = CLASSES[number % len(CLASSES)]
        name, key = f"r{number}", f"k{number}" if effect == "keyed" else None
        raw = request(cls, b"" if effect == "safe" else b"body", "", self.deadline_ms, name, key)
        process, now_us, is_reused = program.number, self.history.now_us, caller.streams is not None
        self.history.add(RequestStarted(now_us(), process, name, effect, key, self.deadline_ms * 1000))
        try:
            message = await caller.send(raw)
        except (OSError, asyncio.IncompleteReadError) as error:
            self.history.add(RequestFailed(now_us(), process, name, type(error).__name__, is_reused))
            self.failures[process] += 1
        else:
            # An endpoint of the tier answers with the id of the request that it served.
            answered = message.body.decode() if message.status == 200 else name
            self.history.add(ResponseReceived(now_us(), process, answered, message.status))
            self.answers[process, message.status] += 1
        async with self._changed:
            self._changed.notify_all()
        return name

    async def _close_connection(self, program: ProgramRunner, caller: Caller, last_request: str) -> None:
        """End the connection; bytes that still come are recorded as a second answer."""
        if caller.streams is None:
            return
        reader, writer = caller.streams
        with contextlib.suppress(OSError):
            writer.write_eof()
            if await reader.read():
                self.history.add(ResponseReceived(self.history.now_us(), program.number, last_request, 200))
        caller.close()

    def answer_count(self, process: int | None = None) -> int:
        """How many answers there were so far, of one process or of all."""
        return sum(n for (one, _), n in self.answers.items() if process is None or one == process)

    async def wait_for_answers(self, answers: int, *processes: int) -> None:
        """Wait until each of these processes, or all that serve, has given this many more answers.

        AssertionError with the counts if they do not come.
        """
        named = processes or [program.number for program in self.programs if program.serving.is_set()]
        due = {process: self.answer_count(process) + answers for process in named}
        try:
            async with asyncio.timeout(EVENT_TIMEOUT_S), self._changed:
                await self._changed.wait_for(
                    lambda: all(self.answer_count(n) >= end for n, end in due.items())
                )
        except TimeoutError:
            counts = {n: self.answer_count(n) for n in due}
            raise AssertionError(f"answers {counts}, expected {due}") from None

    async def stop(self) -> None:
        """Stop the clients once each has its last answer, or its connection has ended.

        A request that has neither after `EVENT_TIMEOUT_S` is left to the checker.
        """
        self._stopped.set()
        await asyncio.wait(self._tasks, timeout=EVENT_TIMEOUT_S)
        for task in self._tasks:
            if task.done():
                task.result()
        self.cancel()

    def cancel(self) -> None:
        """Stop the clients at once."""
        for task in self._tasks:
            task.cancel()
