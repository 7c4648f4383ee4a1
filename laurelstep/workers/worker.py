"""A worker process: its slot among the workers, and its channel to the supervisor.

The channel is a socket that carries one JSON object per line. The supervisor's first line has the endpoint
list, `{"known": LIST or null}`; the worker reports `{"ready": true}`, and answers `{"ask": "known"}` with its
current list. When the supervisor has exited, the worker stops.
"""

from __future__ import annotations

import asyncio
import functools
import json
import os
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any, Final, cast

from laurelstep.engine.engine import Engine
from laurelstep.engine.list_updates import dump_in_steps
from laurelstep.net.cooperative_task import CooperativeTask
from laurelstep.net.discovery import Discovery
from laurelstep.settings import Config

# Set by the supervisor; see `WorkerSlot.to_environ`.
SLOT_VARIABLE: Final = "LAURELSTEP_WORKER"
MAX_LINE_BYTES: Final = 128 * 1024 * 1024
_RECEIVE_BYTES: Final = 1 << 20


@dataclass(frozen=True)
class WorkerSlot:
    """A worker's number, the number of workers, and the descriptor of its channel."""

    number: int
    count: int
    channel: int

    def to_environ(self) -> str:
        """Return the value of `SLOT_VARIABLE`."""
        return f"{self.number} {self.count} {self.channel}"

    def worker_config(self, config: Config, endpoint_list: Any) -> Config:
        """Return the configuration of this worker: N workers of one replica are N replicas.

        `endpoint_list` is the list to start with, in discovery's form; None for that of `config`.
        """
        settings = config.settings
        worker_settings = replace(
            settings,
            me=settings.me * self.count + self.number,
            instances=settings.instances * self.count,
        )
        return replace(
            config,
            settings=worker_settings,
            seed=config.seed + self.number,
            known=endpoint_list or config.known,
        )


def slot_from_environ(environ: Mapping[str, str]) -> WorkerSlot | None:
    """Return the slot of this process; None if it is not a worker."""
    text = environ.get(SLOT_VARIABLE)
    return WorkerSlot(*map(int, text.split())) if text else None


def receive_endpoint_list(channel: int) -> Any:
    """Return the endpoint list in the supervisor's first line, read before the event loop starts.

    None if the line has none. Raises SystemExit if the supervisor has exited.
    """
    data = bytearray()
    with socket.socket(fileno=os.dup(channel)) as connection:
        connection.setblocking(True)
        while not data.endswith(b"\n"):
            part = connection.recv(_RECEIVE_BYTES)
            if not part:
                raise SystemExit("laurelstep: the supervisor has exited")
            data += part
    return json.loads(data)["known"]


class SupervisorChannel(asyncio.Protocol):
    """The worker's end of the channel. `on_lost` is called when the supervisor has exited."""

    def __init__(self, engine: Engine, dump_task: CooperativeTask, on_lost: Callable[[], None]) -> None:
        self.engine = engine
        self.dump_task = dump_task
        self.on_lost = on_lost
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """The channel is open."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        """Send the endpoint list: the supervisor requests nothing else, and awaits each answer."""
        dumped: list[bytes] = []
        source = self.engine.source
        generation = source.generation if isinstance(source, Discovery) else 0
        steps = dump_in_steps(self.engine.endpoints, generation, dumped)
        self.dump_task.run(steps, functools.partial(self._send_endpoint_list, dumped))

    def _send_endpoint_list(self, dumped: list[bytes], error: Exception | None) -> None:
        self.send_line(b'{"known":%b}\n' % (dumped[0] if error is None else b"null"))

    def send_line(self, line: bytes) -> None:
        """Send a line; does nothing once the channel is closed."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(line)

    def connection_lost(self, exc: Exception | None) -> None:
        """The supervisor has exited."""
        self.on_lost()


async def join_supervisor(
    loop: asyncio.AbstractEventLoop, slot: WorkerSlot, engine: Engine, on_lost: Callable[[], None]
) -> None:
    """Report to the supervisor that this worker is ready, and answer its requests from now on."""
    channel = SupervisorChannel(engine, CooperativeTask(loop), on_lost)
    await loop.create_connection(lambda: channel, sock=socket.socket(fileno=slot.channel))
    channel.send_line(b'{"ready":true}\n')
