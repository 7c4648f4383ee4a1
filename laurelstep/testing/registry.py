"""Discovery whose answers the test writes itself; `DiscoveryServer` writes those of the protocol."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field
from typing import Any

from laurelstep.testing.endpoints import Listener
from laurelstep.testing.messages import Reader, Writer, read_message


def whole_list(*entries: dict[str, Any], generation: int = 1) -> dict[str, Any]:
    """A complete list as one object, also for a configuration's `known`."""
    return {"generation": generation, "reset": True, "instances": list(entries)}


def push_raw(writer: Writer, line: bytes) -> None:
    """Write one chunk of a watch, in form or not."""
    writer.write(b"%x\r\n%b\r\n" % (len(line), line))


def push(writer: Writer, generation: int, is_whole: bool, *entries: dict[str, Any]) -> None:
    """Write one line of a watch: a complete list if `is_whole`, or changes."""
    line = json.dumps({"generation": generation, "reset": is_whole, "instances": entries}) + "\n"
    push_raw(writer, line.encode())


@dataclass(eq=False)
class Registry(Listener):
    """Accepts watches and writes nothing into them but their head.

    Each watch is put into `watches` with its request line and its writer. It is given up as silent by a
    client that waits for heartbeats.
    """

    watches: asyncio.Queue[tuple[str, Writer]] = field(default_factory=asyncio.Queue)

    async def _serve(self, reader: Reader, writer: Writer) -> None:
        message = await read_message(reader)
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        await self.watches.put((message.start_line, writer))
        await reader.read()
        writer.close()
