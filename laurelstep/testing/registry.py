"""Discovery, fed by whoever uses it."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from laurelstep.testing.endpoints import Listener
from laurelstep.testing.messages import Reader, Writer, read_message


def whole_list(*entries: dict[str, Any], generation: int = 1) -> dict[str, Any]:
    """A whole list as one object, also as a configuration's `known`."""
    return {"generation": generation, "reset": True, "instances": list(entries)}


def push_raw(writer: Writer, line: bytes) -> None:
    """One chunk of a watch."""
    writer.write(b"%x\r\n%b\r\n" % (len(line), line))


def push(writer: Writer, generation: int, whole: bool, *entries: dict[str, Any]) -> None:
    """One line of a watch: a whole list, or changes."""
    line = json.dumps({"generation": generation, "reset": whole, "instances": entries}) + "\n"
    push_raw(writer, line.encode())


@dataclass(eq=False)
class Registry(Listener):
    """Each watch that opens is put into `asked`, with its request line and its writer."""

    asked: asyncio.Queue[tuple[str, Writer]] = field(default_factory=asyncio.Queue)

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        message = await read_message(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        await self.asked.put((message.start, writer))
        await reader.read()
        writer.close()
