"""Shared by the benchmarks: child processes pinned to cores, progress output and statistics."""

from __future__ import annotations

import contextlib
import os
import subprocess
import sys
import tomllib
from collections.abc import Iterator, Sequence
from pathlib import Path

ROOT = Path(__file__).parent.parent


def available_cores() -> list[int]:
    return sorted(os.sched_getaffinity(0))


def pin(pid: int, core: int) -> None:
    """Pin a process to the available core with this index. No effect if it or a third core is missing."""
    cores = CORES_AT_START
    if len(cores) > core and len(cores) >= 3:
        os.sched_setaffinity(pid, {cores[core]})


CORES_AT_START = available_cores()


def compiled_environ(root: Path = ROOT) -> dict[str, str]:
    """Build a checkout with its `deploy/build`; returns the environment in which a child imports the result.

    Without a C compiler the result is empty, and a child imports the plain files.
    """
    subprocess.run(["sh", str(root / "deploy" / "build")], check=True, stdout=sys.stderr, cwd=root)
    (site,) = (root / ".venv" / "lib").glob("python*/site-packages")
    if not list(site.glob(f"{package_name(root)}__mypyc*")):
        return {}
    return {"PYTHONSAFEPATH": "1", "PYTHONPATH": f"{site}{os.pathsep}{root}"}


def package_name(root: Path = ROOT) -> str:
    """The name of a checkout's import package, which differs in earlier versions."""
    run: str = tomllib.loads((root / "deploy" / "balancer.toml").read_text())["run"]
    return run.rpartition(" ")[2]


class Child:
    """A child process that is sent commands and prints its port and its results, one line each."""

    def __init__(
        self,
        arguments: Sequence[str],
        core: int,
        environ: dict[str, str] | None = None,
        folder: Path = ROOT,
    ) -> None:
        self.process = subprocess.Popen(
            [sys.executable, *arguments],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
            cwd=folder,
            env={**os.environ, **(environ or {})},
        )
        pin(self.process.pid, core)

    def read_line(self) -> str:
        """The next line of its output; RuntimeError if the process has ended."""
        assert self.process.stdout is not None
        text = self.process.stdout.readline()
        if not text:
            raise RuntimeError(f"{self.process.args!r} ended")
        return text

    def write_line(self, text: str) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(text + "\n")
        self.process.stdin.flush()

    def cpu_us(self) -> float:
        """The CPU time of its only thread so far."""
        text = Path(f"/proc/{self.process.pid}/schedstat").read_text()
        return int(text.split()[0]) / 1000

    def memory_kb(self) -> int:
        """Its resident memory."""
        text = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(next(row.split()[1] for row in text.splitlines() if row.startswith("VmRSS")))

    def stop(self) -> None:
        self.process.terminate()
        self.process.wait()
        for stream in (self.process.stdin, self.process.stdout):
            if stream is not None:
                with contextlib.suppress(OSError):
                    stream.close()


def progress(steps: Sequence[str]) -> Iterator[str]:
    """Yield the steps, and show each one on a terminal as it begins."""
    for index, step in enumerate(steps):
        if sys.stderr.isatty():
            sys.stderr.write(f"\r\x1b[K{index + 1}/{len(steps)} {step}")
            sys.stderr.flush()
        yield step
    if sys.stderr.isatty():
        sys.stderr.write("\r\x1b[K")


def median(values: Sequence[float]) -> float:
    ordered = sorted(values)
    middle = len(ordered) // 2
    return ordered[middle] if len(ordered) % 2 else (ordered[middle - 1] + ordered[middle]) / 2


def percentile(values: Sequence[float], fraction: float) -> float:
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(fraction * len(ordered)))]
