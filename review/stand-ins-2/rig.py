"""Stand-ins and helpers of the cases 6 to 10: nodes, discovery, clients, sidecars, and the record.

Standard library only. All addresses are loopback addresses. A case makes one `Rig`, which writes `record.txt`
beside the case and ends every process that it started.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, NamedTuple

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
# The deploy file's `run`.
RUN = "exec .venv/bin/python -B -P -m laurelstep"
HEARTBEAT_S = 2.0


class CannotRunError(Exception):
    """The case could not be played; nothing is said of the rule."""


class Message(NamedTuple):
    """A request or an answer. `start`: its first line, split at the blanks."""

    start: list[str]
    headers: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one HTTP/1.1 message; None if the connection ended before its first byte."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the connection ended in a head") from None
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int((await reader.readline()).split(b";")[0], 16):
            parts.append((await reader.readexactly(size + 2))[:-2])
        await reader.readuntil(b"\r\n")
        body = b"".join(parts)
    else:
        body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(first.split(" ", 2), headers, body)


def encode_answer(status: int, body: bytes = b"", headers: tuple[tuple[str, str], ...] = ()) -> bytes:
    """Encode an answer with a length."""
    reason = {200: "OK", 503: "Service Unavailable"}.get(status, "Answer")
    lines = [f"HTTP/1.1 {status} {reason}", f"Content-Length: {len(body)}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """Return a port that is free now on 127.0.0.1."""
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind(("127.0.0.1", 0))
        return int(probe.getsockname()[1])


# Returns the bytes to answer with; None: the connection is reset.
Serve = Callable[["Node", Message], Awaitable[bytes | None]]


class Node:
    """An endpoint: one request at a time on a connection. `serve` makes the answers."""

    def __init__(self, rig: Rig, name: str, serve: Serve, cell: int = 0, port: int = 0) -> None:
        self.rig = rig
        self.name = name
        self.cell = cell
        self.port = port
        self.serve = serve
        self.server: asyncio.Server | None = None
        self.writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        """Listen; the port stays the same after a stop."""
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """End like a process that dies: connections are reset, and new ones are refused."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    def entry(self, lifecycle: str = "ready") -> dict[str, Any]:
        """Return the node as discovery lists it."""
        return {
            "instanceId": self.name,
            "hostPort": f"127.0.0.1:{self.port}",
            "zone": "",
            "machineType": "",
            "cell": self.cell,
            "lifecycle": lifecycle,
            "weight": 1.0,
            "startedAtMs": 0,
        }

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self.serve(self, request)
                if answer is None:
                    writer.transport.abort()
                    return
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Discovery:
    """Discovery by the protocol's page: a whole list on request, a watch, an empty line every 2 s."""

    def __init__(self, rig: Rig, name: str, generation: int = 1) -> None:
        self.rig = rig
        self.name = name
        self.generation = generation
        self.entries: dict[str, dict[str, Any]] = {}
        self.changed_at: dict[str, int] = {}  # by instance id: the generation of its last change
        self.first_generation = generation
        self.port = 0
        self.server: asyncio.Server | None = None
        self.watchers: dict[asyncio.StreamWriter, int] = {}

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"127.0.0.1:{self.port}"

    async def start(self) -> None:
        """Listen."""
        self.server = await asyncio.start_server(self._connected, "127.0.0.1", self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def close_listener(self) -> None:
        """Take no new connection."""
        if self.server is not None:
            self.server.close()
            self.server = None

    async def stop(self) -> None:
        """Take no new connection, and close the open ones."""
        self.close_listener()
        for writer in list(self.watchers):
            writer.transport.abort()

    def update(self, *entries: dict[str, Any]) -> None:
        """Change entries, and tell the watchers."""
        self.generation += 1
        for entry in entries:
            name = entry["instanceId"]
            self.entries[name] = entry
            self.changed_at[name] = self.generation
            self.rig.note(f"{self.name}: generation {self.generation}: {name} {entry['lifecycle']}")
        for writer, since in list(self.watchers.items()):
            self._tell(writer, since)

    def _message(self, since: int, is_full: bool) -> bytes:
        listed = [
            entry
            for name, entry in self.entries.items()
            if (is_full and entry["lifecycle"] != "gone") or (not is_full and self.changed_at[name] > since)
        ]
        message = {"generation": self.generation, "reset": is_full, "instances": listed}
        return json.dumps(message).encode() + b"\n"

    def _tell(self, writer: asyncio.StreamWriter, since: int, is_full: bool = False) -> None:
        self.watchers[writer] = self.generation
        data = self._message(since, is_full)
        writer.write(b"%x\r\n%b\r\n" % (len(data), data))

    async def _connected(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while (request := await read_message(reader)) is not None:
                path, _, query = request.start[1].partition("?")
                if path != "/registry/instances":
                    writer.write(encode_answer(404))
                elif "watch=1" not in query:
                    writer.write(encode_answer(200, self._message(0, True)))
                else:
                    fields = dict(part.split("=", 1) for part in query.split("&"))
                    await self._watch(writer, int(fields.get("from", "0")))
                    return
        except (ConnectionError, asyncio.IncompleteReadError, ValueError):
            pass
        finally:
            self.watchers.pop(writer, None)
            writer.close()

    async def _watch(self, writer: asyncio.StreamWriter, since: int) -> None:
        self.rig.note(f"{self.name}: a watch from {since}")
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        # What changed after that version, or the whole list where that is not known here.
        self._tell(writer, since, not self.first_generation <= since <= self.generation)
        while True:
            await writer.drain()
            await asyncio.sleep(HEARTBEAT_S)
            writer.write(b"1\r\n\n\r\n")


class Client:
    """A client that keeps one connection and sends one request at a time."""

    def __init__(self, port: int) -> None:
        self.port = port
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.was_ended = False  # the sidecar ended the connection, with no answer to the last request

    async def send(
        self, method: str, target: str, headers: dict[str, str], body: bytes = b"", timeout_s: float = 10.0
    ) -> Message | None:
        """Send a request; None if no whole answer came."""
        self.was_ended = False
        try:
            async with asyncio.timeout(timeout_s):
                answer = await self._send(method, target, headers, body)
        except TimeoutError:
            self.close()
            return None
        except (OSError, asyncio.IncompleteReadError, ValueError):
            answer = None
            self.close()
        self.was_ended = answer is None
        return answer

    async def _send(self, method: str, target: str, headers: dict[str, str], body: bytes) -> Message | None:
        if self.writer is None or self.reader is None:
            self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        lines = [f"{method} {target} HTTP/1.1", "Host: backend.local"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if method != "GET":
            lines.append(f"Content-Length: {len(body)}")
        self.writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
        answer = await read_message(self.reader)
        if answer is None or answer.headers.get("connection", "").lower() == "close":
            self.close()
        return answer

    def close(self) -> None:
        """Close the connection."""
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Sidecar:
    """A process of the deploy file's `run`, which takes everything from an operator's file."""

    def __init__(self, rig: Rig, name: str, operator: str, port: int) -> None:
        self.rig = rig
        self.name = name
        self.port = port
        self.file = rig.folder / f"{name}.toml"
        self.file.write_text(operator)
        self.log_path = rig.folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process."""
        environ = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        environ |= {"LB_OPERATOR": str(self.file), "TMPDIR": str(self.rig.folder)}
        with open(self.log_path, "ab") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", RUN],
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        self.rig.processes.append(self.process)
        self.rig.note(f"{self.name}: started")

    async def wait_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until it takes clients."""
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            assert self.process is not None
            if self.process.poll() is not None:
                raise CannotRunError(f"{self.name} ended: {self.log_path.read_text()}")
            client = Client(self.port)
            answer = await client.send("GET", "/health/ready", {}, timeout_s=1.0)
            client.close()
            if answer is not None and answer.start[1] == "200":
                self.rig.note(f"{self.name}: ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f"{self.name} was not ready in time: {self.log_path.read_text()}")

    def signal(self, number: int) -> None:
        """Send a signal to the process that `run` started."""
        assert self.process is not None
        self.rig.note(f"{self.name}: {signal.Signals(number).name}")
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kill it outright, and wait for its end."""
        self.signal(signal.SIGKILL)
        assert self.process is not None
        await asyncio.to_thread(self.process.wait)


class Rig:
    """One play of a case: its folder, its processes and its record."""

    def __init__(self, case: Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.folder = Path(tempfile.mkdtemp(prefix="case-"))
        self.processes: list[subprocess.Popen[bytes]] = []
        self.sidecars: list[Sidecar] = []
        self.began = time.monotonic()
        self.record = open(case / "record.txt", "w", encoding="utf-8")  # noqa: SIM115
        self.request_ids = (f"{number:016x}" for number in itertools.count(time.time_ns()))
        self.note("with the disruption" if self.has_trouble else "without the disruption")

    def note(self, text: str) -> None:
        """Write a line with its time to the record."""
        self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.record.flush()

    def sidecar(self, name: str, operator: str, port: int) -> Sidecar:
        """Make a sidecar, which is not started yet."""
        made = Sidecar(self, name, operator, port)
        self.sidecars.append(made)
        return made

    def close(self) -> None:
        """End all processes, also those that a sidecar started, and add the sidecars' lines to the record."""
        for process in self.processes:
            with contextlib.suppress(ProcessLookupError):
                os.killpg(process.pid, signal.SIGKILL)
            process.wait()
        for sidecar in self.sidecars:
            if sidecar.log_path.exists():
                for line in sidecar.log_path.read_text().splitlines():
                    self.record.write(f"log of {sidecar.name}: {line}\n")
        self.record.close()
        shutil.rmtree(self.folder, ignore_errors=True)


Play = Callable[[Rig], Awaitable[str]]


def main(case: str, play: Play, limit_s: float = 110.0) -> None:
    """Play a case and exit. `play` returns what broke the rule, an empty text if it held."""
    rig = Rig(Path(case).resolve().parent)
    status = NOT_RUN

    async def run() -> str:
        # Tasks of stand-ins are cancelled at the end; asyncio would report each of them.
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        async with asyncio.timeout(limit_s):
            return await play(rig)

    try:
        broken = asyncio.run(run())
        status = BROKEN if broken else HELD
        rig.note(f"the rule was broken: {broken}" if broken else "the rule held")
        print(f"broken: {broken}" if broken else "held")
    except (CannotRunError, TimeoutError, OSError) as error:
        rig.note(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
    except Exception:
        rig.note(traceback.format_exc())
        traceback.print_exc()
    finally:
        rig.close()
    sys.exit(status)
