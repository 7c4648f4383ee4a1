"""A process of several: its place among them, and its channel to the parent.

The channel is a socket with one JSON object a line. The parent's first line hands on the
list of endpoints, `{"known": LIST or null}`; the child says `{"ready": true}`, and answers
`{"ask": "known"}` with the list as it has it. Where the parent is gone, the child stops.
"""

from __future__ import annotations

import asyncio
import functools
import json
import os
import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace
from typing import Any, cast

from laurelstep.engine.engine import Engine
from laurelstep.engine.listing import dump_in_steps
from laurelstep.net.discovery import Discovery
from laurelstep.net.slices import Slices
from laurelstep.settings import Config

# Set by the parent: this process's number, how many there are, the channel's descriptor.
SEAT = "LAURELSTEP_WORKER"
LINE_MAX = 128 * 1024 * 1024


@dataclass(frozen=True)
class Seat:
    number: int
    count: int
    channel: int

    def text(self) -> str:
        return f"{self.number} {self.count} {self.channel}"

    def config(self, config: Config, known: Any) -> Config:
        """This process's own: N processes of one copy are N copies."""
        settings = config.settings
        mine = replace(
            settings,
            me=settings.me * self.count + self.number,
            instances=settings.instances * self.count,
        )
        return replace(config, settings=mine, seed=config.seed + self.number, known=known or config.known)


def seat_of(environ: Mapping[str, str]) -> Seat | None:
    text = environ.get(SEAT)
    return Seat(*map(int, text.split())) if text else None


def handed_on(channel: int) -> Any:
    """The list in the parent's first line, read before there is a loop."""
    data = bytearray()
    with socket.socket(fileno=os.dup(channel)) as one:
        one.setblocking(True)
        while not data.endswith(b"\n"):
            part = one.recv(1 << 20)
            if not part:
                raise SystemExit("laurelstep: the parent is gone")
            data += part
    return json.loads(data)["known"]


class Channel(asyncio.Protocol):
    """The child's end."""

    def __init__(self, engine: Engine, slices: Slices, on_lost: Callable[[], None]) -> None:
        self.engine = engine
        self.slices = slices
        self.on_lost = on_lost
        self.transport: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        # The parent asks one thing only, and waits for the answer.
        taken: list[bytes] = []
        source = self.engine.source
        generation = source.generation if isinstance(source, Discovery) else 0
        steps = dump_in_steps(self.engine.members, generation, taken)
        self.slices.run(steps, functools.partial(self._hand_on, taken))

    def _hand_on(self, taken: list[bytes], error: Exception | None) -> None:
        self.tell(b'{"known":%b}\n' % (taken[0] if error is None else b"null"))

    def tell(self, line: bytes) -> None:
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(line)

    def connection_lost(self, exc: Exception | None) -> None:
        self.on_lost()


async def join(
    loop: asyncio.AbstractEventLoop, seat: Seat, engine: Engine, on_lost: Callable[[], None]
) -> None:
    """Tell the parent that this process serves, and answer it from now on."""
    channel = Channel(engine, Slices(loop), on_lost)
    await loop.create_connection(lambda: channel, sock=socket.socket(fileno=seat.channel))
    channel.tell(b'{"ready":true}\n')
