"""Runs the program with a wall clock that the test can step: `python -m
laurelstep.testing.processes.launch CLOCK run ...`. CLOCK is a file of eight bytes, the sum of all steps in
ns as a signed integer.

`time.time` and `time.time_ns` are replaced, so the program's own code is unchanged. The monotonic clock is
the system's: on a real machine, too, a step of the wall clock does not change it.
"""

from __future__ import annotations

import mmap
import struct
import sys
import time
from collections.abc import Callable
from pathlib import Path

_SHIFT = struct.Struct("<q")


def create_clock(path: Path) -> None:
    """Create a clock's file, with a shift of 0."""
    path.write_bytes(_SHIFT.pack(0))


def step_clock(path: Path, by_us: int) -> None:
    """Step the clock of this file, with effect from the next time the process reads it."""
    with path.open("r+b") as file:
        (shift_ns,) = _SHIFT.unpack(file.read(_SHIFT.size))
        file.seek(0)
        file.write(_SHIFT.pack(shift_ns + by_us * 1000))


def shift_wall_clock(path: str) -> None:
    """Shift this process's wall clock by the value in the file, also when the file changes later."""
    with open(path, "rb") as file:
        shift = mmap.mmap(file.fileno(), _SHIFT.size, prot=mmap.PROT_READ)
    system_time_ns: Callable[[], int] = time.time_ns

    def time_ns() -> int:
        return system_time_ns() + int(_SHIFT.unpack_from(shift)[0])

    time.time_ns = time_ns
    time.time = lambda: time_ns() / 1e9


def main() -> int:
    """Run the program with the arguments after CLOCK and the shifted wall clock; return its exit status."""
    shift_wall_clock(sys.argv[1])
    from laurelstep.__main__ import main as run_program

    return run_program(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(main())
