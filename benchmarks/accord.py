"""What the copies of a tier pay for what they share: time to agree, time without a leader, traffic at
rest, and the cost to a request.

Tiers of 3, 7, 30 and 200 nodes talk by UDP on loopback. All rest at the same time; then entries are
agreed one after the other in the two small tiers, whose nodes are a process each, and their leaders are
killed and come again from nothing. Traffic counts datagrams sent and received, and their bytes without
IP and UDP headers (28 bytes each); `bytes_per_s_rest_200` is that of the process that has most, which
leads. The cost of a request is that of two daemons on one core turn about, one of them the first of a
tier of three. The package runs as `deploy/build` installs it; `--plain` measures its files as they stand.
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

from benchmarks.common import Child, compiled, median, percentile, pin, progress
from benchmarks.hotpath import MANY, Subject, configured, over

# Size of the tier, seats, processes.
TIERS = ((3, 3, 3), (7, 7, 7), (30, 5, 2), (200, 5, 3))
REST_S = 10.0  # two rounds of what learners ask at rest
AGREED = 300
KILLS = {3: 4, 7: 3}
# Many short rounds: what else the machine does falls on both of a pair.
ROUNDS, LOAD_S = 30, 0.25
IDLE_S = 2.0
STARTS = 3
LIMIT_S = 30.0


def free_udp_ports(count: int) -> list[int]:
    with contextlib.ExitStack() as stack:
        ports = []
        for _ in range(count):
            one = stack.enter_context(socket.socket(socket.AF_INET, socket.SOCK_DGRAM))
            one.bind(("127.0.0.1", 0))
            ports.append(one.getsockname()[1])
        return ports


class Tier:
    """The processes of one tier."""

    def __init__(self, size: int, seats: int, processes: int, environ: dict[str, str]) -> None:
        self.size = size
        self.seats = seats
        self.environ = environ
        self.peers = [f"127.0.0.1:{port}" for port in free_udp_ports(size)]
        self.parts = [list(range(at, size, processes)) for at in range(processes)]
        self.children = [self.start(at) for at in range(processes)]

    def start(self, at: int) -> Child:
        plan = {
            "peers": self.peers,
            "seats": self.seats,
            "here": self.parts[at],
            "watch": self.size in KILLS,
        }
        words = ["-m", "benchmarks.accord_child", json.dumps(plan)]
        child = Child(words, 3 + at % 5, self.environ)
        assert child.line() == "up\n"
        return child

    def ask(self, at: int, line: str) -> Any:
        self.children[at].tell(line)
        return json.loads(self.children[at].line())

    def status(self) -> list[Any]:
        return [self.ask(at, "status") for at in range(len(self.children))]

    def settle(self) -> int:
        """Until all know the record and all seats vote; in which process the leader is."""
        end = time.monotonic() + LIMIT_S
        while time.monotonic() < end:
            told = self.status()
            leaders = [at for at, one in enumerate(told) if one["leading"] is not None]
            voters = max(one["voters"] for one in told)
            if all(one["known"] for one in told) and len(leaders) == 1 and voters == self.seats:
                return leaders[0]
            time.sleep(0.02)
        raise RuntimeError(f"the tier of {self.size} does not settle")

    def traffic(self) -> dict[str, tuple[int, int]]:
        """Datagrams and bytes so far, sent and received, by node."""
        found = {}
        for one in self.status():
            for me, link in one["links"].items():
                found[me] = (link["sent"] + link["received"], link["sent_bytes"] + link["received_bytes"])
        return found

    def kill(self) -> tuple[float, float]:
        """Kill who leads: how long until another leads, and until it has agreed on an entry, s. It
        comes again from nothing.
        """
        at = self.settle()
        began = time.monotonic()
        self.children[at].process.kill()
        others = [n for n in range(len(self.children)) if n != at]
        while time.monotonic() < began + LIMIT_S:
            for one in (self.ask(n, "status") for n in others):
                if one["leading"] is not None and (one["agreed_at"] or 0.0) > began:
                    self.children[at].end()
                    self.children[at] = self.start(at)
                    return one["led_at"] - began, one["agreed_at"] - began
            time.sleep(0.005)
        raise RuntimeError(f"the tier of {self.size} has no leader again")

    def end(self) -> None:
        for child in self.children:
            child.end()


def tiers(environ: dict[str, str]) -> dict[str, Any]:
    found: dict[str, Any] = {}
    with contextlib.ExitStack() as stack:
        all_tiers: dict[int, Tier] = {}
        began = time.monotonic()
        for size, seats, processes in TIERS:
            all_tiers[size] = Tier(size, seats, processes, environ)
            stack.callback(all_tiers[size].end)
        for tier in all_tiers.values():
            tier.settle()
        found["settled_s"] = round(time.monotonic() - began, 2)
        found.update(rest(all_tiers))
        for size in KILLS:
            tier = all_tiers[size]
            took = tier.ask(tier.settle(), f"agree {AGREED}")["took_s"]
            found[f"agree_ms_p50_{size}"] = round(1e3 * percentile(took, 0.5), 3)
            found[f"agree_ms_p99_{size}"] = round(1e3 * percentile(took, 0.99), 3)
        kills = [all_tiers[size].kill() for size, count in KILLS.items() for _ in range(count)]
        found["kills"] = len(kills)
        found["leaderless_s_max"] = round(max(led for led, _ in kills), 3)
        found["leaderless_s_p50"] = round(median([led for led, _ in kills]), 3)
        found["agreed_again_s_max"] = round(max(agreed for _, agreed in kills), 3)
    return found


def rest(all_tiers: dict[int, Tier]) -> dict[str, float]:
    found = {}
    before = {size: (time.monotonic(), tier.traffic()) for size, tier in all_tiers.items()}
    time.sleep(REST_S)
    for size, tier in all_tiers.items():
        after = tier.traffic()
        began, first = before[size]
        seconds = time.monotonic() - began
        messages = [(after[me][0] - first[me][0]) / seconds for me in after]
        sizes = [(after[me][1] - first[me][1]) / seconds for me in after]
        found[f"messages_per_s_rest_{size}"] = round(max(messages), 1)
        found[f"messages_per_s_rest_{size}_mean"] = round(sum(messages) / len(messages), 1)
        found[f"bytes_per_s_rest_{size}"] = round(max(sizes))
        found[f"bytes_per_s_rest_{size}_mean"] = round(sum(sizes) / len(sizes))
    return found


# --- The cost to a daemon -----------------------------------------------------------------


class Daemons:
    """Starts daemons with and without it; what is on has two peers that always are there."""

    def __init__(self, folder: str, ports: list[int], environ: dict[str, str]) -> None:
        self.folder = folder
        self.ports = ports
        self.environ = environ
        self.peers = [f"127.0.0.1:{port}" for port in free_udp_ports(3)]
        self.operator = Path(folder, "operator.toml")
        self.operator.write_text("[accord]\n")
        plan = {"peers": self.peers, "seats": 3, "here": [1, 2], "watch": False}
        self.others = Child(["-m", "benchmarks.accord_child", json.dumps(plan)], 3, environ)
        assert self.others.line() == "up\n"

    def start(self, is_on: bool) -> tuple[Subject, float]:
        """A daemon that takes callers, and how long that took, s."""
        listen = free_port()
        path = Path(configured(self.folder, self.ports, listen))
        raw = json.loads(path.read_text())
        path.write_text(json.dumps({**raw, "peer_listen": self.peers[0], "peers": self.peers}))
        plain = {name: value for name, value in os.environ.items() if not name.startswith("LB_")}
        told = {"LB_CONFIG": str(path), **({"LB_OPERATOR": str(self.operator)} if is_on else {})}
        began = time.monotonic()
        child = Child(["-m", "laurelstep"], 2, {**plain, **self.environ, **told})
        while time.monotonic() < began + LIMIT_S:
            with contextlib.suppress(OSError), socket.create_connection(("127.0.0.1", listen), 1.0):
                return Subject("on" if is_on else "off", child, listen), time.monotonic() - began
            time.sleep(0.002)
        raise RuntimeError("the daemon does not listen")

    def settle(self) -> None:
        """Until the peers know the record: the daemon's seat was needed for it."""
        end = time.monotonic() + LIMIT_S
        while time.monotonic() < end:
            self.others.tell("status")
            if json.loads(self.others.line())["known"]:
                return
            time.sleep(0.02)
        raise RuntimeError("the tier of the daemon does not settle")


def cost(environ: dict[str, str]) -> dict[str, Any]:
    with tempfile.TemporaryDirectory(prefix="laurelstep-") as folder, contextlib.ExitStack() as stack:
        endpoint = Child(["-m", "benchmarks.children", "endpoint"], 1, environ)
        stack.callback(endpoint.end)
        daemons = Daemons(folder, [int(endpoint.line())], environ)
        stack.callback(daemons.others.end)
        took: dict[bool, list[float]] = {False: [], True: []}
        for is_on in (False, True) * STARTS:
            subject, seconds = daemons.start(is_on)
            subject.child.end()
            took[is_on].append(seconds)
        subjects = [daemons.start(is_on)[0] for is_on in (False, True)]
        for one in subjects:
            stack.callback(one.child.end)
        daemons.settle()
        idle = [-one.child.cpu_us() for one in subjects]
        time.sleep(IDLE_S)
        idle = [used + one.child.cpu_us() for used, one in zip(idle, subjects, strict=True)]
        memory = [one.child.memory_kb() / 1024 for one in subjects]
        for one in subjects:
            one.play(MANY, 0.4)  # warm
            one.cpu.clear()
            one.unserved = 0
        for at in range(ROUNDS):
            for one in subjects if at % 2 else reversed(subjects):
                one.play(MANY, LOAD_S)
        off, on = subjects
        return {
            "request_cost_on_over_off": over(on.cpu, off.cpu),
            "request_cpu_us_off": round(median(off.cpu), 1),
            "request_cpu_us_on": round(median(on.cpu), 1),
            "idle_cpu_us_per_s_off": round(idle[0] / IDLE_S),
            "idle_cpu_us_per_s_on": round(idle[1] / IDLE_S),
            "unserved": on.unserved + off.unserved,
            "memory_mb_off": round(memory[0], 1),
            "memory_mb_on": round(memory[1], 1),
            "start_s_off": round(median(took[False]), 3),
            "start_s_on": round(median(took[True]), 3),
        }


def main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--plain", action="store_true", help="not the compiled modules")
    told = parser.parse_args()
    environ = {} if told.plain else compiled()
    pin(0, 0)
    found: dict[str, Any] = {"compiled": bool(environ)}
    for step in progress(["tiers at rest, agreeing, and with their leaders killed", "cost of a request"]):
        found.update(cost(environ) if step.startswith("cost") else tiers(environ))
    print(json.dumps(found))


if __name__ == "__main__":
    main()
