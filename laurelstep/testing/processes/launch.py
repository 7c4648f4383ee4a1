"""The program with a wall clock that the test sets: `python -m laurelstep.testing.processes.launch CLOCK
run ...`. CLOCK is a file of eight bytes: the sum of all steps in ns, signed.

`time.time` and `time.time_ns` are shifted at their source, so that no code of the program is changed.
Its monotonic time is the system's: a step of the wall clock leaves that alone on a real machine too.
"""

from __future__ import annotations

import mmap
import struct
import sys
import time
from collections.abc import Callable
from pathlib import Path

_STEP = struct.Struct("<q")


def create_clock(path: Path) -> None:
    """Create a clock's file, without a step so far."""
    path.write_bytes(_STEP.pack(0))


def step_clock(path: Path, by_us: int) -> None:
    """Step the clock of this file, from the process's next reading on."""
    with path.open("r+b") as file:
        (now_ns,) = _STEP.unpack(file.read(_STEP.size))
        file.seek(0)
        file.write(_STEP.pack(now_ns + by_us * 1000))


def shift_wall_clock(path: str) -> None:
    """Shift this process's wall time by the steps in the file, from now on."""
    with open(path, "rb") as file:
        steps = mmap.mmap(file.fileno(), _STEP.size, prot=mmap.PROT_READ)
    real: Callable[[], int] = time.time_ns

    def time_ns() -> int:
        return real() + int(_STEP.unpack_from(steps)[0])

    time.time_ns = time_ns
    time.time = lambda: time_ns() / 1e9


def main() -> int:
    """Run the program's command behind CLOCK with the shifted wall time; its exit status."""
    shift_wall_clock(sys.argv[1])
    from laurelstep.__main__ import main as program

    return program(sys.argv[2:])


if __name__ == "__main__":
    sys.exit(main())
