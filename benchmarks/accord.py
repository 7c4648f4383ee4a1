"""The costs of consensus in a tier: time to agree, time without a leader, idle traffic, and CPU per request.

Tiers of 3, 7, 30 and 200 nodes exchange UDP datagrams on loopback. First, all are idle at the same time. Then
the two smallest tiers, which have a process for each node, agree on entries one after the other, and their
leaders are killed and restarted without state. Traffic counts datagrams sent and received, and their bytes
without IP and UDP headers (28 bytes each); `bytes_per_s_rest_200` is that of the busiest node, the leader.
The cost per request compares two daemons that run alternately on one core, one of them in a tier of three.
The package runs as `deploy/build` installs it; `--plain` measures the uncompiled files.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import os
import socket
import tempfile
import time
from pathlib import Path
from typing import Any

from laurelstep.testing import free_port

from benchmarks.common import Child, compiled_environ, median, percentile, pin, progress
from benchmarks.hotpath import MANY, Subject, ratio, write_config

# Nodes of the tier, voter seats, processes.
TIERS = ((3, 3, 3), (7, 7, 7), (30, 5, 2), (200, 5, 3))
TIER_IDLE_S = 10.0  # learners poll twice in this time
AGREED_ENTRIES = 300
KILLS_BY_SIZE = {3: 4, 7: 3}
# Many short rounds, so that other load on the machine affects both subjects of a pair.
ROUNDS, LOAD_S = 30, 0.25
DAEMON_IDLE_S = 2.0
DAEMON_STARTS = 3
TIMEOUT_S = 30.0


def free_udp_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            sock = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            sock.bind(("127.0.0.1", 0))
            ports.append(sock.getsockname()[1])
        return ports


class Tier:
    """The child processes of one tier."""

    def __init__(self, size: int, seats: int, processes: int, environ: dict[str, str]) -> None:
        self.size = size
        self.seats = seats
        self.environ = environ
        self.peers = [f"127.0.0.1:{port}" for port in free_udp_ports(size)]
        self.nodes_by_process = [list(range(process, size, processes)) for process in range(processes)]
        self.children = [self.start(process) for process in range(processes)]

    def start(self, process: int) -> Child:
        plan = {
            "peers": self.peers,
            "seats": self.seats,
            "nodes": self.nodes_by_process[process],
            "watch_leader": self.size in KILLS_BY_SIZE,
        }
        arguments = ["-m", "benchmarks.accord_child", json.dumps(plan)]
        child = Child(arguments, 3 + process % 5, self.environ)
        assert child.read_line() == "up\n"
        return child

    def command(self, process: int, line: str) -> Any:
        self.children[process].write_line(line)
        return json.loads(self.children[process].read_line())

    def status(self) -> list[Any]:
        return [self.command(process, "status") for process in range(len(self.children))]

    def wait_until_settled(self) -> int:
        """Wait until all nodes are caught up and all seats vote. Returns the leader's process."""
        end = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end:
            statuses = self.status()
            leaders = [process for process, status in enumerate(statuses) if status["leader"] is not None]
            voters = max(status["voters"] for status in statuses)
            if all(status["caught_up"] for status in statuses) and len(leaders) == 1 and voters == self.seats:
                return leaders[0]
            time.sleep(0.02)
        raise RuntimeError(f"the tier of {self.size} has not settled")

    def traffic(self) -> dict[str, tuple[int, int]]:
        """The datagrams and bytes sent and received so far, by node."""
        totals = {}
        for status in self.status():
            for me, link in status["links"].items():
                totals[me] = (link["sent"] + link["received"], link["sent_bytes"] + link["received_bytes"])
        return totals

    def kill_leader(self) -> tuple[float, float]:
        """Kill the leader, and restart it without state once another one has agreed on an entry.

        Returns the times until the election and until that entry, s.
        """
        process = self.wait_until_settled()
        start = time.monotonic()
        self.children[process].process.kill()
        others = [n for n in range(len(self.children)) if n != process]
        while time.monotonic() < start + TIMEOUT_S:
            for status in (self.command(n, "status") for n in others):
                if status["leader"] is not None and (status["agreed_at"] or 0.0) > start:
                    self.children[process].stop()
                    self.children[process] = self.start(process)
                    return status["elected_at"] - start, status["agreed_at"] - start
            time.sleep(0.005)
        raise RuntimeError(f"the tier of {self.size} elected no new leader")

    def stop(self) -> None:
        for child in self.children:
            child.stop()


def measure_tiers(environ: dict[str, str]) -> dict[str, Any]:
    figures: dict[str, Any] = {}
    with contextlib.ExitStack() as stack:
        tiers: dict[int, Tier] = {}
        start = time.monotonic()
        for size, seats, processes in TIERS:
            tiers[size] = Tier(size, seats, processes, environ)
            stack.callback(tiers[size].stop)
        for tier in tiers.values():
            tier.wait_until_settled()
        figures["settled_s"] = round(time.monotonic() - start, 2)
        figures.update(measure_idle_traffic(tiers))
        for size in KILLS_BY_SIZE:
            tier = tiers[size]
            seconds_taken = tier.command(tier.wait_until_settled(), f"agree {AGREED_ENTRIES}")["took_s"]
            figures[f"agree_ms_p50_{size}"] = round(1e3 * percentile(seconds_taken, 0.5), 3)
            figures[f"agree_ms_p99_{size}"] = round(1e3 * percentile(seconds_taken, 0.99), 3)
        kills = [tiers[size].kill_leader() for size, count in KILLS_BY_SIZE.items() for _ in range(count)]
        figures["kills"] = len(kills)
        figures["leaderless_s_max"] = round(max(leaderless for leaderless, _ in kills), 3)
        figures["leaderless_s_p50"] = round(median([leaderless for leaderless, _ in kills]), 3)
        figures["agreed_again_s_max"] = round(max(agreed for _, agreed in kills), 3)
    return figures


def measure_idle_traffic(tiers: dict[int, Tier]) -> dict[str, float]:
    figures = {}
    before = {size: (time.monotonic(), tier.traffic()) for size, tier in tiers.items()}
    time.sleep(TIER_IDLE_S)
    for size, tier in tiers.items():
        after = tier.traffic()
        start, first = before[size]
        seconds = time.monotonic() - start
        messages = [(after[me][0] - first[me][0]) / seconds for me in after]
        sizes = [(after[me][1] - first[me][1]) / seconds for me in after]
        figures[f"messages_per_s_rest_{size}"] = round(max(messages), 1)
        figures[f"messages_per_s_rest_{size}_mean"] = round(sum(messages) / len(messages), 1)
        figures[f"bytes_per_s_rest_{size}"] = round(max(sizes))
        figures[f"bytes_per_s_rest_{size}_mean"] = round(sum(sizes) / len(sizes))
    return figures


# The cost per request


class Daemons:
    """Starts daemons with and without consensus. Two peers run all the time, in one child process."""

    def __init__(self, folder: str, ports: list[int], environ: dict[str, str]) -> None:
        self.folder = folder
        self.ports = ports
        self.environ = environ
        self.peers = [f"127.0.0.1:{port}" for port in free_udp_ports(3)]
        self.operator = Path(folder, "operator.toml")
        self.operator.write_text("[accord]\n")
        plan = {"peers": self.peers, "seats": 3, "nodes": [1, 2], "watch_leader": False}
        self.peers_child = Child(["-m", "benchmarks.accord_child", json.dumps(plan)], 3, environ)
        assert self.peers_child.read_line() == "up\n"

    def start(self, is_on: bool) -> tuple[Subject, float]:
        """Start a daemon. Returns it with the time until it accepted connections, s."""
        listen = free_port()
        path = Path(write_config(self.folder, self.ports, listen))
        raw = json.loads(path.read_text())
        path.write_text(json.dumps({**raw, "peer_listen": self.peers[0], "peers": self.peers}))
        inherited = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        added = {"LB_CONFIG": str(path), **({"LB_OPERATOR": str(self.operator)} if is_on else {})}
        start = time.monotonic()
        child = Child(["-m", "laurelstep"], 2, {**inherited, **self.environ, **added})
        while time.monotonic() < start + TIMEOUT_S:
            with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", listen), 1.0):
                return Subject("on" if is_on else "off", child, listen), time.monotonic() - start
            time.sleep(0.002)
        raise RuntimeError("the daemon does not accept connections")

    def wait_until_settled(self) -> None:
        """Wait until the peers are caught up, which needs the daemon's seat."""
        end = time.monotonic() + TIMEOUT_S
        while time.monotonic() < end:
            self.peers_child.write_line("status")
            if json.loads(self.peers_child.read_line())["caught_up"]:
                return
            time.sleep(0.02)
        raise RuntimeError("the tier of the daemon has not settled")


def measure_request_cost(environ: dict[str, str]) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="laurelstep-") as folder, contextlib.ExitStack() as stack:
        endpoint = Child(["-m", "benchmarks.children", "endpoint"], 1, environ)
        stack.callback(endpoint.stop)
        daemons = Daemons(folder, [int(endpoint.read_line())], environ)
        stack.callback(daemons.peers_child.stop)
        seconds_taken: dict[bool, list[float]] = {False: [], True: []}
        for is_on in (False, True) * DAEMON_STARTS:
            subject, seconds = daemons.start(is_on)
            subject.child.stop()
            seconds_taken[is_on].append(seconds)
        subjects = [daemons.start(is_on)[0] for is_on in (False, True)]
        for subject in subjects:
            stack.callback(subject.child.stop)
        daemons.wait_until_settled()
        idle = [-subject.child.cpu_us() for subject in subjects]
        time.sleep(DAEMON_IDLE_S)
        idle = [used + subject.child.cpu_us() for used, subject in zip(idle, subjects, strict=True)]
        memory = [subject.child.memory_kb() / 1024 for subject in subjects]
        for subject in subjects:
            subject.run_round(MANY, 0.4)  # warm-up
            subject.cpu.clear()
            subject.unserved = 0
        for number in range(ROUNDS):
            for subject in subjects if number % 2 else reversed(subjects):
                subject.run_round(MANY, LOAD_S)
        off, on = subjects
        return {
            "request_cost_on_over_off": ratio(on.cpu, off.cpu),
            "request_cpu_us_off": round(median(off.cpu), 1),
            "request_cpu_us_on": round(median(on.cpu), 1),
            "idle_cpu_us_per_s_off": round(idle[0] / DAEMON_IDLE_S),
            "idle_cpu_us_per_s_on": round(idle[1] / DAEMON_IDLE_S),
            "unserved": on.unserved + off.unserved,
            "memory_mb_off": round(memory[0], 1),
            "memory_mb_on": round(memory[1], 1),
            "start_s_off": round(median(seconds_taken[False]), 3),
            "start_s_on": round(median(seconds_taken[True]), 3),
        }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plain", action="store_true", help="measure the uncompiled files")
    arguments = parser.parse_args()
    environ = {} if arguments.plain else compiled_environ()
    pin(0, 0)
    figures: dict[str, Any] = {"compiled": bool(environ)}
    for step in progress(["tiers: idle, agreeing, leaders killed", "cost of a request"]):
        figures.update(measure_request_cost(environ) if step.startswith("cost") else measure_tiers(environ))
    print(json.dumps(figures))


if __name__ == "__main__":
    main()
