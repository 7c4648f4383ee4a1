"""What the benchmarks share: processes on cores of their own, progress, and figures."""

from __future__ import annotations

import contextlib
import os
import subprocess
import sys
from collections.abc import Iterator, Sequence
from pathlib import Path

ROOT = Path(__file__).parent.parent


def cores() -> list[int]:
    return sorted(os.sched_getaffinity(0))


def pin(pid: int, place: int) -> None:
    """To the core of this place, where there are enough for each to have its own."""
    found = cores_at_start
    if len(found) > place and len(found) >= 3:
        os.sched_setaffinity(pid, {found[place]})


cores_at_start = cores()


def compiled() -> dict[str, str]:
    """The environment in which a child imports the package as `deploy/build` installs it,
    compiled; empty, for the plain files, where there is no C compiler."""
    subprocess.run(["sh", str(ROOT / "deploy" / "build")], check=True, stdout=sys.stderr)
    (site,) = (ROOT / ".venv" / "lib").glob("python*/site-packages")
    if not list(site.glob("laurelstep__mypyc*")):
        return {}
    return {"PYTHONSAFEPATH": "1", "PYTHONPATH": f"{site}{os.pathsep}{ROOT}"}


class Child:
    """A process of the benchmark's own that tells its port, or what it found, in lines."""

    def __init__(
        self,
        words: Sequence[str],
        place: int,
        environ: dict[str, str] | None = None,
        folder: Path = ROOT,
    ) -> None:
        self.process = subprocess.Popen(
            [sys.executable, *words],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            cwd=folder,
            env={**os.environ, **(environ or {})},
        )
        pin(self.process.pid, place)

    def line(self) -> str:
        """The next line; RuntimeError if the process ended instead."""
        assert self.process.stdout is not None
        text = self.process.stdout.readline()
        if not text:
            raise RuntimeError(f"{self.process.args!r} ended")
        return text

    def tell(self, text: str) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(text + "\n")
        self.process.stdin.flush()

    def cpu_us(self) -> float:
        """Time on the processor so far, of its only thread."""
        text = Path(f"/proc/{self.process.pid}/schedstat").read_text()
        return int(text.split()[0]) / 1000

    def memory_kb(self) -> int:
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(next(line.split()[1] for line in text.splitlines() if line.startswith("VmRSS")))

    def end(self) -> None:
        self.process.terminate()
        self.process.wait()
        for stream in (self.process.stdin, self.process.stdout):
            if stream is not None:
                with contextlib.suppress(OSError):
                    stream.close()


def progress(steps: Sequence[str]) -> Iterator[str]:
    """The steps, each told on a terminal as it begins."""
    for at, step in enumerate(steps):
        if sys.stderr.isatty():
            sys.stderr.write(f"\r\x1b[K{at + 1}/{len(steps)} {step}")
            sys.stderr.flush()
        yield step
    if sys.stderr.isatty():
        sys.stderr.write("\r\x1b[K")


def median(values: Sequence[float]) -> float:
    ordered = sorted(values)
    middle = len(ordered) // 2
    return ordered[middle] if len(ordered) % 2 else (ordered[middle - 1] + ordered[middle]) / 2


def percentile(values: Sequence[float], share: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]
