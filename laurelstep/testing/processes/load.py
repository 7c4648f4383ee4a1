"""Generates load: clients that each send one request at a time to one process until they are stopped."""

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

# The classes of the tier's settings, each with its effect.
CLASSES: Final[tuple[tuple[str, Effect], ...]] = (("page", "safe"), ("put", "keyed"), ("pay", "unsafe"))
# Time between two requests of a client. No check depends on it.
THINK_TIME_S: Final = 0.004


class LoadGenerator:
    """Runs `clients` clients per process. `answers` counts answers by process and status.

    A client waits while its process is down.
    """

    def __init__(
        self, programs: list[ProgramRunner], history: History, clients: int = 4, deadline_ms: int = 2000
    ) -> None:
        self.programs = programs
        self.history = history
        self.deadline_ms = deadline_ms
        self.answers: Counter[tuple[int, int]] = Counter()
        self.failures: Counter[int] = Counter()
        self._request_numbers = itertools.count(1)
        self._stopped = asyncio.Event()
        self._answer_recorded = asyncio.Condition()
        self._tasks = [
            asyncio.create_task(self._run_client(program, number))
            for program in programs
            for number in range(clients)
        ]

    async def _run_client(self, program: ProgramRunner, number: int) -> None:
        """Send requests until `stop`. Every fourth client closes its connection after each answer."""
        caller, last_request = Caller(*program.listen), ""
        while await self._wait_serving(program):
            if caller.streams is not None and caller.streams[0].at_eof():
                caller.close()  # closed while idle, perhaps by the end of the process
            last_request = await self._send_request(program, caller, next(self._request_numbers))
            if number % 4 == 3:
                await self._close_connection(program, caller, last_request)
            await asyncio.sleep(THINK_TIME_S)
        await self._close_connection(program, caller, last_request)

    async def _wait_serving(self, program: ProgramRunner) -> bool:
        """Wait until the process serves or `stop` is called; return whether to continue."""
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
        request_id, key = f"r{number}", f"k{number}" if effect == "keyed" else None
        raw = request(cls, b"" if effect == "safe" else b"body", "", self.deadline_ms, request_id, key)
        process, now_us, is_reused = program.number, self.history.now_us, caller.streams is not None
        self.history.add(RequestStarted(now_us(), process, request_id, effect, key, self.deadline_ms * 1000))
        try:
            message = await caller.send(raw)
        except (OSError, asyncio.IncompleteReadError) as error:
            self.history.add(RequestFailed(now_us(), process, request_id, type(error).__name__, is_reused))
            self.failures[process] += 1
        else:
            # An endpoint of the tier answers with the id of the request that it has executed.
            answered_id = message.body.decode() if message.status == 200 else request_id
            self.history.add(ResponseReceived(now_us(), process, answered_id, message.status))
            self.answers[process, message.status] += 1
        async with self._answer_recorded:
            self._answer_recorded.notify_all()
        return request_id

    async def _close_connection(self, program: ProgramRunner, caller: Caller, last_request: str) -> None:
        """Close the connection; bytes that still arrive are recorded as a second answer."""
        if caller.streams is None:
            return
        reader, writer = caller.streams
        with contextlib.suppress(OSError):
            writer.write_eof()
            if await reader.read():
                self.history.add(ResponseReceived(self.history.now_us(), program.number, last_request, 200))
        caller.close()

    def answer_count(self, process: int | None = None) -> int:
        """Return the number of answers so far, of one process or for None of all."""
        return sum(n for (number, _), n in self.answers.items() if process is None or number == process)

    async def wait_for_answers(self, answers: int, *processes: int) -> None:
        """Wait until each of these processes, by default all that serve, has given this many more answers.

        AssertionError with the counts after `EVENT_TIMEOUT_S`.
        """
        selected = processes or [program.number for program in self.programs if program.serving.is_set()]
        targets = {process: self.answer_count(process) + answers for process in selected}
        try:
            async with asyncio.timeout(EVENT_TIMEOUT_S), self._answer_recorded:
                await self._answer_recorded.wait_for(
                    lambda: all(self.answer_count(n) >= target for n, target in targets.items())
                )
        except TimeoutError:
            counts = {n: self.answer_count(n) for n in targets}
            raise AssertionError(f"answers by process: {counts}, expected {targets}") from None

    async def stop(self) -> None:
        """Stop the clients after their open requests are answered or their connections have ended.

        A request still open after `EVENT_TIMEOUT_S` is cancelled, for the checker to report as unanswered.
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
