"""The program with a wall clock that the test sets: `python -m laurelstep.testing.processes.launch CLOCK
run ...`. CLOCK is a file of eight bytes, the steps so far in ns, as a signed number.

What the program reads as wall time is shifted at its source, so that no code of it knows. Its
monotonic time is the system's: a step of the wall clock does not touch that on a machine either."""

from __future__ import annotations

import mmap
import struct
import sys
import time
from collections.abc import Callable
from pathlib import Path

_STEP = struct.Struct("<q")


def make_clock(path: Path) -> None:
    path.write_bytes(_STEP.pack(0))


def step_clock(path: Path, by_us: int) -> None:
    """Seen by the process the next time that it looks."""
    with path.open("r+b") as file:
        (now_ns,) = _STEP.unpack(file.read(_STEP.size))
        file.seek(0)
        file.write(_STEP.pack(now_ns + by_us * 1000))


def shift(path: str) -> None:
    """From now on this process's wall time is shifted as the file says."""
    with open(path, "rb") as file:
        steps = mmap.mmap(file.fileno(), _STEP.size, prot=mmap.PROT_READ)
    real: Callable[[], int] = time.time_ns

    def time_ns() -> int:
        return real() + int(_STEP.unpack_from(steps)[0])

    time.time_ns = time_ns
    time.time = lambda: time_ns() / 1e9


def main() -> int:
    shift(sys.argv[1])
    from laurelstep.__main__ import main as program

    return program(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(main())
