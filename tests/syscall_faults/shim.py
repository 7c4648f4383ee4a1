"""The Python side of the shim that makes system calls fail: compiles it, and writes its rules."""

from __future__ import annotations

import errno as errors
import mmap
import shutil
import struct
import subprocess
from dataclasses import dataclass
from enum import IntEnum
from pathlib import Path
from types import TracebackType
from typing import Final, Self

SOURCE: Final = Path(__file__).parent / "shim.c"
COMPILER: Final = shutil.which("cc") or shutil.which("gcc")
RULES_VARIABLE: Final = "LAURELSTEP_SYSCALL_FAULTS"
RULES_MOST: Final = 16
UNTIL_CLEARED: Final = -1
# call, family, type, port, skip, remaining, error, length, hits; as `struct rule` of the source.
RULE: Final = struct.Struct("=9i")
CALL_OFFSET: Final = 0
HITS_OFFSET: Final = 32


class SystemCall(IntEnum):
    """What may fail; each stands for all calls of its kind (`READ`: read, recv, recvfrom, recvmsg)."""

    ACCEPT = 1
    SOCKET = 2
    CONNECT = 3
    READ = 4
    WRITE = 5
    WAIT = 6  # epoll_wait and epoll_pwait
    POLL = 7


@dataclass(frozen=True)
class Fault:
    """Which calls fail, and how.

    `error` is an errno; without one the call moves `length` bytes at most. `port` is the socket's own
    or its peer's, `family` and `kind` are of the `socket` module; 0 is any. The first `skip` calls that
    match are let through, the next `count` fail, `UNTIL_CLEARED` for all."""

    call: SystemCall
    error: int = 0
    count: int = UNTIL_CLEARED
    port: int = 0
    family: int = 0
    kind: int = 0
    skip: int = 0
    length: int = 0

    def __str__(self) -> str:
        how = errors.errorcode[self.error] if self.error else f"{self.length} bytes"
        return f"{self.call.name}-{how}"


class FaultShim:
    """The shim with the rules of one process. A context manager; `environ` is for the process."""

    def __init__(self, folder: Path) -> None:
        """Compiles the shim into the folder. `CalledProcessError` if the compiler fails."""
        assert COMPILER is not None, "ask COMPILER first"
        self.library = folder / "syscall_faults.so"
        subprocess.run(
            [COMPILER, "-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o", self.library, SOURCE, "-ldl"],
            check=True,
        )
        self.path = folder / "syscall_faults.rules"
        self.path.write_bytes(bytes(RULES_MOST * RULE.size))
        self._file = self.path.open("r+b")
        self._rules = mmap.mmap(self._file.fileno(), RULES_MOST * RULE.size)
        self._used = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._rules.close()
        self._file.close()

    @property
    def environ(self) -> dict[str, str]:
        """What the process needs in its environment."""
        return {"LD_PRELOAD": str(self.library), RULES_VARIABLE: str(self.path)}

    def add(self, fault: Fault) -> int:
        """Holds from now on; its number, for `hits`."""
        number, self._used = self._used, self._used + 1
        assert number < RULES_MOST, "more rules than the shim has room for"
        at = number * RULE.size
        rest = (fault.family, fault.kind, fault.port, fault.skip, fault.count, fault.error, fault.length, 0)
        self._rules[at : at + RULE.size] = RULE.pack(0, *rest)
        # The call is written last: until then the rule matches nothing.
        struct.pack_into("=i", self._rules, at + CALL_OFFSET, fault.call)
        return number

    def hits(self, number: int) -> int:
        """Calls that this rule has decided."""
        return int(struct.unpack_from("=i", self._rules, number * RULE.size + HITS_OFFSET)[0])

    def clear(self) -> None:
        """No call fails any more."""
        for number in range(self._used):
            struct.pack_into("=i", self._rules, number * RULE.size + CALL_OFFSET, 0)
        self._used = 0
