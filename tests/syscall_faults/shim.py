"""Compiles the shim that makes system calls fail, and writes its rules."""

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
MAX_RULES: Final = 16
UNTIL_CLEARED: Final = -1
# call, family, type, port, skip, remaining, error, length, hits: the layout of `struct rule` in shim.c.
RULE: Final = struct.Struct("=9i")
CALL_OFFSET: Final = 0
HITS_OFFSET: Final = 32


class SystemCall(IntEnum):
    """System calls that a rule can match, each with its variants (`READ`: read, recv, recvfrom, recvmsg)."""

    ACCEPT = 1
    SOCKET = 2
    CONNECT = 3
    READ = 4
    WRITE = 5
    WAIT = 6  # epoll_wait and epoll_pwait
    POLL = 7


@dataclass(frozen=True)
class Fault:
    """Which system calls fail, and how.

    `error` is an errno; if it is 0, the call moves at most `length` bytes. `port` is the socket's own port or
    its peer's; `family` and `kind` are constants of the `socket` module; 0 matches any. The first `skip`
    matching calls succeed and the next `count` fail; `UNTIL_CLEARED` lets all further calls fail."""

    call: SystemCall
    error: int = 0
    count: int = UNTIL_CLEARED
    port: int = 0
    family: int = 0
    kind: int = 0
    skip: int = 0
    length: int = 0

    def __str__(self) -> str:
        effect = errors.errorcode[self.error] if self.error else f"{self.length} bytes"
        return f"{self.call.name}-{effect}"


class FaultShim:
    """The compiled shim and the rules for one process, which is started with `environ`. A context manager."""

    def __init__(self, folder: Path) -> None:
        """Compile the shim into `folder`. `CalledProcessError` if the compiler fails."""
        assert COMPILER is not None, "no C compiler: check COMPILER before"
        self.library = folder / "syscall_faults.so"
        subprocess.run(
            [COMPILER, "-shared", "-fPIC", "-O1", "-Wall", "-Werror", "-o", self.library, SOURCE, "-ldl"],
            check=True,
        )
        self.path = folder / "syscall_faults.rules"
        self.path.write_bytes(bytes(MAX_RULES * RULE.size))
        self._file = self.path.open("r+b")
        self._rules = mmap.mmap(self._file.fileno(), MAX_RULES * RULE.size)
        self._rule_count = 0

    def __enter__(self) -> Self:
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        self._rules.close()
        self._file.close()

    @property
    def environ(self) -> dict[str, str]:
        """Environment variables for the process."""
        return {"LD_PRELOAD": str(self.library), RULES_VARIABLE: str(self.path)}

    def add(self, fault: Fault) -> int:
        """Add a rule, which applies at once; returns its number for `hits`."""
        number, self._rule_count = self._rule_count, self._rule_count + 1
        assert number < MAX_RULES, "too many rules for the shim"
        offset = number * RULE.size
        fields = (fault.family, fault.kind, fault.port, fault.skip, fault.count, fault.error, fault.length, 0)
        self._rules[offset : offset + RULE.size] = RULE.pack(0, *fields)
        # The call is written last: the rule matches nothing until then.
        struct.pack_into("=i", self._rules, offset + CALL_OFFSET, fault.call)
        return number

    def hits(self, number: int) -> int:
        """The number of calls that failed or were shortened by this rule."""
        return int(struct.unpack_from("=i", self._rules, number * RULE.size + HITS_OFFSET)[0])

    def clear(self) -> None:
        """Remove all rules."""
        for number in range(self._rule_count):
            struct.pack_into("=i", self._rules, number * RULE.size + CALL_OFFSET, 0)
        self._rule_count = 0
