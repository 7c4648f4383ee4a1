"""System calls of the daemon that fail: one answer each in time, no effect twice, no endpoint ejected."""

from __future__ import annotations

import asyncio
import contextlib
import errno
import signal
import socket
from collections.abc import AsyncIterator, Iterator, Sequence
from dataclasses import dataclass
from itertools import product
from pathlib import Path
from typing import Any, Final

import pytest
from laurelstep.testing import Effects, serve

from tests.sockets import (
    SETTINGS,
    Endpoint,
    Handler,
    Message,
    Registry,
    Writer,
    connect_until_up,
    free_port,
    push,
    read_message,
    request,
    run,
    start_daemon,
    write_config,
)
from tests.syscall_faults.shim import COMPILER, UNTIL_CLEARED, Fault, FaultShim, SystemCall

pytestmark = pytest.mark.skipif(COMPILER is None, reason="no C compiler: the shim can't be built")

TIMEOUT_S: Final = 60.0
# One class that is safe to repeat, one with a key, one that is neither; all of `tests.sockets.SETTINGS`.
CLASSES: Final = ("page", "put", "pay")
# Where an attempt can't be connected for want of something of this machine's.
OWN_FAULTS: Final = (errno.EADDRNOTAVAIL, errno.ENOBUFS, errno.ENFILE, errno.EMFILE)
ACCEPT_FAULTS: Final = (
    *(errno.ECONNABORTED, errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM, errno.EPROTO, errno.EINTR),
    *(
        errno.ENETUNREACH,
        errno.EHOSTUNREACH,
        errno.ENETDOWN,
        errno.ENOPROTOOPT,
        errno.EOPNOTSUPP,
        errno.EPERM,
    ),
)
CONNECT_FAULTS: Final = (
    *(*OWN_FAULTS, errno.EAGAIN, errno.EINTR),
    *(errno.ENETUNREACH, errno.EHOSTUNREACH, errno.ETIMEDOUT, errno.ECONNREFUSED),
)
BROKEN: Final = (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ENETUNREACH, errno.ECONNRESET, errno.EPIPE)
# The arguments of a fault at sockets for connections.
INTERNET: Final = {"family": int(socket.AF_INET), "kind": int(socket.SOCK_STREAM)}
# So many at once that each endpoint has its turn.
TOGETHER: Final = 8
# Not kept open by the daemon, so that each request needs a new connection.
ENDS_EACH: Final = "Connection: close\r\n"


@pytest.fixture(scope="module")
def shim(tmp_path_factory: pytest.TempPathFactory) -> Iterator[FaultShim]:
    """One library for all tests here."""
    with FaultShim(tmp_path_factory.mktemp("shim")) as one:
        yield one


@pytest.fixture(autouse=True)
def no_faults(shim: FaultShim) -> Iterator[None]:
    """Each test begins and ends without a rule."""
    shim.clear()
    yield
    shim.clear()


def name_of(error: int) -> str:
    return errno.errorcode[error]


def call_name(call: SystemCall) -> str:
    return call.name


@dataclass
class Site:
    """A daemon as a process of its own, under the shim, with its stand-ins."""

    port: int
    management: int
    environ: dict[str, str]
    registry: Registry
    endpoints: Sequence[Endpoint]
    effects: Effects
    process: asyncio.subprocess.Process
    watch: Writer
    generation: int = 1  # of the last list
    asked: int = 0

    async def ask(self, cls: str, deadline_ms: int = 4000) -> Message | None:
        """One request on a connection of its own; None if no answer came."""
        number = self.asked = self.asked + 1
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        key = f"k{number}" if cls == "put" else None
        try:
            writer.write(request(cls, rid=f"{cls}-{number}", key=key, deadline_ms=deadline_ms))
            return await read_message(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
        finally:
            writer.close()

    async def statuses(self, *classes: str) -> list[int]:
        """Of requests that are sent all at once; 0 where no answer came."""
        found = await asyncio.gather(*(self.ask(cls) for cls in classes))
        return [0 if one is None else one.status for one in found]

    async def called(self, path: str) -> str:
        """What the second address answers."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.management)
        writer.write(b"GET %b HTTP/1.1\r\nHost: x\r\n\r\n" % path.encode())
        body = (await read_message(reader)).body.decode()
        writer.close()
        return body

    async def avoided(self) -> int:
        """Endpoints that the daemon avoids now, as its figures have it."""
        lines = (await self.called("/api/telemetry")).splitlines()
        return next(int(line.split()[1]) for line in lines if line.startswith("lb_cluster_unhealthy "))

    async def successor(self) -> None:
        """The next version comes and takes over; the one before it ends. What either logs is an error."""
        self.management = free_port()
        process = await start_daemon({**self.environ, "LB_MANAGEMENT": f"127.0.0.1:{self.management}"})
        older, self.process = self.process, process
        _, self.watch = await self.registry.asked.get()
        while not await self.is_taken():
            await asyncio.sleep(0.01)
        older.send_signal(signal.SIGTERM)
        _, errors = await older.communicate()
        assert (older.returncode, errors) == (0, b"")

    async def is_taken(self) -> bool:
        """Whether the one that runs now is ready."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            return "lb_current" in await self.called("/api/telemetry")
        return False


@contextlib.asynccontextmanager
async def site(
    shim: FaultShim,
    tmp_path: Path,
    handler: Handler | None = None,
    count: int = 2,
    **changes: Any,
) -> AsyncIterator[Site]:
    """A daemon that serves, with so many endpoints that share their effects; it ends in order."""
    effects, registry = Effects(), Registry()
    endpoints = [Endpoint(handler=handler or serve(), effects=effects) for _ in range(count)]
    async with asyncio.timeout(TIMEOUT_S), contextlib.AsyncExitStack() as stack:
        for one in (registry, *endpoints):
            await stack.enter_async_context(await one.start())
        port, management = free_port(), free_port()
        addresses = {"LB_LISTEN": f"127.0.0.1:{port}", "LB_MANAGEMENT": f"127.0.0.1:{management}"}
        environ = {
            **write_config(tmp_path, registry, **changes),
            **shim.environ,
            **addresses,
            "TMPDIR": str(tmp_path),
        }
        process = await start_daemon(environ)
        try:
            _, watch = await registry.asked.get()
            found = Site(port, management, environ, registry, endpoints, effects, process, watch)
            push(watch, 1, True, *(one.entry(f"s-{n}") for n, one in enumerate(endpoints)))
            (await connect_until_up(port))[1].close()
            yield found
            shim.clear()
            process = found.process
            process.send_signal(signal.SIGTERM)
            _, errors = await process.communicate()
            assert (process.returncode, errors) == (0, b"")
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()


# --- Accept -----------------------------------------------------------------------------


def test_a_failed_accept_costs_no_request(shim: FaultShim, tmp_path: Path) -> None:
    """One, two and three failures in a row, and eight; on either address."""

    async def main() -> None:
        async with site(shim, tmp_path) as one:
            for error in ACCEPT_FAULTS:
                for count in (1, 2, 3, 8):
                    served = shim.add(Fault(SystemCall.ACCEPT, error, count, one.port))
                    managed = shim.add(Fault(SystemCall.ACCEPT, error, count, one.management))
                    assert await one.statuses(*CLASSES, *CLASSES) == [200] * 6, (name_of(error), count)
                    assert await one.avoided() == 0
                    assert (shim.hits(served), shim.hits(managed)) == (count, count), name_of(error)
                    shim.clear()
            assert not one.effects.twice()

    run(main())


@pytest.mark.parametrize("error", [errno.EMFILE, errno.ENFILE, errno.ENOBUFS, errno.ENOMEM], ids=name_of)
def test_connections_wait_while_none_can_be_accepted(shim: FaultShim, tmp_path: Path, error: int) -> None:
    """The failure lasts for many calls; what came meanwhile is served once it ends."""

    async def main() -> None:
        async with site(shim, tmp_path) as one:
            fault = shim.add(Fault(SystemCall.ACCEPT, error, UNTIL_CLEARED, one.port))
            asked = asyncio.create_task(one.statuses(*CLASSES))
            while shim.hits(fault) < 10:
                await asyncio.sleep(0.01)
            assert not one.effects.by_id and not asked.done()
            shim.clear()
            assert await asked == [200] * 3
            assert not one.effects.twice()

    run(main())


def test_a_stop_while_none_can_be_accepted_still_serves_what_waits(shim: FaultShim, tmp_path: Path) -> None:
    async def main() -> None:
        async with site(shim, tmp_path) as one:
            fault = shim.add(Fault(SystemCall.ACCEPT, errno.ENFILE, UNTIL_CLEARED, one.port))
            asked = asyncio.create_task(one.statuses(*CLASSES))
            while not shim.hits(fault):
                await asyncio.sleep(0)
            one.process.send_signal(signal.SIGTERM)
            hits = shim.hits(fault)
            while shim.hits(fault) < hits + 3:
                await asyncio.sleep(0.01)
            shim.clear()
            assert await asked == [200] * 3

    run(main())


# --- Socket and connect -----------------------------------------------------------------


def test_a_connection_that_fails_at_first_costs_no_request(shim: FaultShim, tmp_path: Path) -> None:
    async def main() -> None:
        async with site(shim, tmp_path, serve(headers=ENDS_EACH)) as one:
            at_connect = [
                Fault(SystemCall.CONNECT, error, 1, one.endpoints[0].port) for error in CONNECT_FAULTS
            ]
            at_socket = [Fault(SystemCall.SOCKET, error, 2, **INTERNET) for error in OWN_FAULTS]
            for fault in (*at_connect, *at_socket):
                number = shim.add(fault)
                while shim.hits(number) < fault.count:
                    assert await one.statuses(*CLASSES) == [200] * 3, fault
                shim.clear()
            assert not one.effects.twice()

    run(main())


@pytest.mark.parametrize("call", [SystemCall.SOCKET, SystemCall.CONNECT], ids=call_name)
def test_faults_of_this_machine_eject_no_endpoint_and_service_is_back_with_their_end(
    shim: FaultShim, tmp_path: Path, call: SystemCall
) -> None:
    async def main() -> None:
        # They are held within their aim before they are refused.
        classes = [{**one, "aim-us": 300_000} for one in SETTINGS["classes"]]
        settings = {**SETTINGS, "classes": classes}
        async with site(shim, tmp_path, serve(headers=ENDS_EACH), settings=settings) as one:
            for error in OWN_FAULTS:
                ran = one.effects.by_id.total()
                if call is SystemCall.SOCKET:
                    shim.add(Fault(call, error, **INTERNET))
                else:
                    for endpoint in one.endpoints:
                        shim.add(Fault(call, error, port=endpoint.port))
                # Each is refused with the promise that a repeat is harmless: none has run.
                assert await one.statuses(*CLASSES, *CLASSES) == [503] * 6, name_of(error)
                assert one.effects.by_id.total() == ran
                assert await one.avoided() == 0, name_of(error)
                shim.clear()
                # The very next ones are served, and both endpoints have their part.
                assert await one.statuses(*CLASSES) == [200] * 3
                for endpoint in one.endpoints:
                    endpoint.got.clear()
                while not all(endpoint.got for endpoint in one.endpoints):
                    assert await one.statuses(*CLASSES) == [200] * 3
            assert not one.effects.twice()

    run(main())


def test_requests_outwait_a_fault_of_this_machine_that_is_short(shim: FaultShim, tmp_path: Path) -> None:
    async def main() -> None:
        async with site(shim, tmp_path, serve(headers=ENDS_EACH), count=1) as one:
            fault = shim.add(Fault(SystemCall.CONNECT, errno.EADDRNOTAVAIL, 3, port=one.endpoints[0].port))
            assert await one.statuses("pay") == [200]
            assert shim.hits(fault) == 3 and await one.avoided() == 0

    run(main())


def test_a_deadline_that_passes_while_no_socket_can_be_had_ejects_no_endpoint(
    shim: FaultShim, tmp_path: Path
) -> None:
    """It comes before the attempt that waits for one is given up: not run, so refused."""

    async def main() -> None:
        async with site(shim, tmp_path, serve(headers=ENDS_EACH), count=1) as one:
            shim.add(Fault(SystemCall.SOCKET, errno.ENFILE, **INTERNET))
            for cls in CLASSES:
                back = await one.ask(cls, deadline_ms=60)
                assert back is not None and back.status == 503
                assert await one.avoided() == 0
            assert not one.effects.by_id

    run(main())


# --- Connections that break under a request ---------------------------------------------


def test_a_connection_that_breaks_under_a_request_may_have_run_it(shim: FaultShim, tmp_path: Path) -> None:
    """The endpoint has run it and answers; the read of that answer fails."""

    async def main() -> None:
        cases = list(product(BROKEN, (("page", 200), ("put", 200), ("pay", 502))))
        # One endpoint for each: that at which a connection broke is drawn less often for a while.
        async with site(shim, tmp_path, count=len(cases)) as one:
            for endpoint, (error, (cls, expected)) in zip(one.endpoints, cases, strict=True):
                number = shim.add(Fault(SystemCall.READ, error, 1, port=endpoint.port))
                while not shim.hits(number):
                    statuses = await one.statuses(*[cls] * TOGETHER)
                    first = expected if shim.hits(number) else 200
                    assert sorted(statuses, reverse=True) == [first, *[200] * (TOGETHER - 1)], name_of(error)
                assert [name for name in one.effects.twice() if not name.startswith("page")] == []

    run(main())


def test_a_request_whose_write_fails_has_one_answer(shim: FaultShim, tmp_path: Path) -> None:
    """Nothing of it left: it is served elsewhere, or on a new connection, and runs once."""

    async def main() -> None:
        cases = list(product(BROKEN, CLASSES))
        async with site(shim, tmp_path, count=len(cases)) as one:
            for endpoint, (error, cls) in zip(one.endpoints, cases, strict=True):
                number = shim.add(Fault(SystemCall.WRITE, error, 1, port=endpoint.port))
                while not shim.hits(number):
                    assert await one.statuses(*[cls] * TOGETHER) == [200] * TOGETHER, name_of(error)
                shim.clear()
            assert not one.effects.twice()

    run(main())


# --- Interrupted and short calls --------------------------------------------------------


# All but `socket`, for which Linux documents no EINTR.
@pytest.mark.parametrize("call", [one for one in SystemCall if one is not SystemCall.SOCKET], ids=call_name)
def test_interrupted_calls_are_made_again(shim: FaultShim, tmp_path: Path, call: SystemCall) -> None:
    async def main() -> None:
        # What is polled is a connection at rest; what is connected, one that is not there yet.
        ends = "" if call is SystemCall.POLL else ENDS_EACH
        async with site(shim, tmp_path, serve(headers=ends)) as one:
            number = shim.add(Fault(call, errno.EINTR, 25))
            while shim.hits(number) < 25:
                assert await one.statuses(*CLASSES) == [200] * 3
            assert not one.effects.twice()

    run(main())


BODY: Final = b"0123456789" * 3


@pytest.mark.parametrize("call", [SystemCall.READ, SystemCall.WRITE], ids=call_name)
@pytest.mark.parametrize("side", ["client", "endpoint"])
def test_short_reads_and_writes_at_every_boundary(
    shim: FaultShim, tmp_path: Path, call: SystemCall, side: str
) -> None:
    """The first call of each message moves so many bytes; then all calls move one byte each."""

    async def main() -> None:
        async with site(shim, tmp_path, serve(BODY), count=1) as one:
            raw = request("put", BODY, rid="put-0", key="k000")
            connection = await asyncio.open_connection("127.0.0.1", one.port)
            reader, writer = connection
            port = one.port if side == "client" else one.endpoints[0].port

            async def asks(number: int) -> None:
                writer.write(request("put", BODY, rid=f"put-{number}", key=f"k{number:03}"))
                back = await read_message(reader)
                assert (back.status, back.body) == (200, BODY), number
                assert one.endpoints[0].got[-1].body == BODY, number

            for length in range(1, len(raw) + 1):
                fault = shim.add(Fault(call, count=1, port=port, length=length))
                await asks(length)
                assert shim.hits(fault) == 1
                shim.clear()
            shim.add(Fault(call, port=port, length=1))
            await asks(0)
            shim.clear()
            writer.close()
            assert set(one.effects.by_id.values()) == {1}

    run(main())


def test_short_calls_change_no_list_and_no_answer_of_the_second_address(
    shim: FaultShim, tmp_path: Path
) -> None:
    """All calls on the watch and at the second address move one byte each."""

    async def main() -> None:
        async with site(shim, tmp_path) as one, await (added := Endpoint(effects=one.effects)).start():
            for call, port in product(
                (SystemCall.READ, SystemCall.WRITE), (one.management, one.registry.port)
            ):
                shim.add(Fault(call, port=port, length=1))
            one.watch.close()  # the next is asked for a byte at a time
            start_line, one.watch = await one.registry.asked.get()
            assert start_line == "GET /registry/instances?watch=1&from=1 HTTP/1.1"
            push(one.watch, 2, True, added.entry("s-new"))
            while not added.got:
                assert await one.statuses("pay") == [200]
            assert await one.avoided() == 0

    run(main())


def test_a_poll_that_fails_costs_no_request(shim: FaultShim, tmp_path: Path) -> None:
    """It is asked of resting connections, and of clients' that are to end."""

    async def main() -> None:
        async with site(shim, tmp_path) as one:
            assert await one.statuses(*CLASSES) == [200] * 3
            number = shim.add(Fault(SystemCall.POLL, errno.ENOMEM))
            while shim.hits(number) < 3:
                assert await one.statuses(*CLASSES) == [200] * 3
            assert not one.effects.twice()

    run(main())


# --- Discovery --------------------------------------------------------------------------

DISCOVERY_FAULTS: Final = {
    SystemCall.SOCKET: OWN_FAULTS,
    SystemCall.CONNECT: CONNECT_FAULTS,
    SystemCall.READ: (errno.ETIMEDOUT, errno.EHOSTUNREACH, errno.ECONNRESET),
}


@pytest.mark.parametrize("call", DISCOVERY_FAULTS, ids=call_name)
def test_discovery_is_watched_again_behind_failed_calls(
    shim: FaultShim, tmp_path: Path, call: SystemCall
) -> None:
    """The watch breaks, and so do the first calls for another; the list that comes then holds."""

    async def main() -> None:
        async with site(shim, tmp_path) as one, await (added := Endpoint(effects=one.effects)).start():
            for error in DISCOVERY_FAULTS[call]:
                where = INTERNET if call is SystemCall.SOCKET else {"port": one.registry.port}
                count = 1 if call is SystemCall.READ else 3
                number = shim.add(Fault(call, error, count, **where))
                if call is SystemCall.READ:
                    push(one.watch, one.generation + 1, False)
                else:
                    one.watch.close()
                _, one.watch = await one.registry.asked.get()
                assert shim.hits(number) == count, name_of(error)
                one.generation += 2
                push(one.watch, one.generation, True, added.entry(f"s-{name_of(error)}"))
                added.got.clear()
                while not added.got:
                    assert await one.statuses("pay") == [200]
                shim.clear()
            assert not one.effects.twice()

    run(main())


# --- Hot restart ------------------------------------------------------------------------

# The socket at which the versions meet is the only one of its family that they share.
MEETING: Final = {"family": int(socket.AF_UNIX), "kind": int(socket.SOCK_STREAM)}
HANDOVER_FAULTS: Final = (
    *(Fault(SystemCall.ACCEPT, error, 3, **MEETING) for error in ACCEPT_FAULTS),
    *(Fault(call, errno.EINTR, 20, **MEETING) for call in (SystemCall.READ, SystemCall.WRITE)),
    *(Fault(call, length=1, **MEETING) for call in (SystemCall.READ, SystemCall.WRITE)),
)


@pytest.mark.parametrize("fault", HANDOVER_FAULTS, ids=str)
def test_a_version_takes_over_behind_failed_and_short_calls(
    shim: FaultShim, tmp_path: Path, fault: Fault
) -> None:
    """Neither logs a line, so nothing was given up, and what is asked on the way is served."""

    async def main() -> None:
        async with site(shim, tmp_path) as one:
            number = shim.add(fault)
            await one.successor()
            assert shim.hits(number) >= 3
            assert await one.statuses(*CLASSES) == [200] * 3
            assert not one.effects.twice()

    run(main())
