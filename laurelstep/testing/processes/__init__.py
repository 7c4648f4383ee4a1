"""Runs several processes of the program on loopback, injects faults between them, records their history and
checks it. For tests; Linux only, as it reads /proc.

    async with ProcessTier(processes=5, endpoints=6, operator_tables={...}) as tier:
        async with tier.load() as load:             # clients at every process
            await load.wait_for_answers(20)         # 20 more answers of each process
            tier.partition({0, 1}, {2, 3, 4})       # lose datagrams between these; both_ways=False: one way
            await tier.kill(2)
            await tier.restart(2)                   # as a new process with the same name and addresses
            answer = await tier.call(2, "GET", "/api/ready")    # tier.read_state(...) reads JSON
            tier.heal_partition()
        tier.check()                                # AssertionError with the violations

Each process is `python -m laurelstep run --operator FILE`, configured by the platform's JSON (LB_CONFIG: its
listener, management address, discovery, `peer_listen` and `peers`) and by `operator_tables` in FILE. In
strings of these tables `{folder}` is replaced by a folder of the process that is kept over restarts.

The test controls:

- datagrams between processes: `tier.partition`, `tier.heal_partition`,
  `tier.set_network_faults(NetworkFaults(loss_probability=0.1, duplicate_probability=0.1,
  reorder_probability=0.1, delay_us=(0, 5000)))`, and single routes by
  `tier.datagrams.route(0, 1)`, which has `lose_next`, `duplicate_next` and `hold`, and
  `tier.datagrams.release(0, 1, reverse=True)`;
- discovery: `tier.block_discovery({1})`, `unblock_discovery`; `tier.publish(endpoint, "draining",
  processes=...)`;
- connections to endpoints: `tier.block_path(endpoint, "requests" | "responses" | "both", processes)`,
  `unblock_path`; `tier.paths[process][endpoint]` has `delay`, `reset`, `refuse`, `accept`;
- endpoints: `hold_answers` and `release_answers` (requests are executed meanwhile), `stop_endpoint`,
  `restart_endpoint`;
- processes: `pause`, `resume`, `kill`, `stop`, `restart`, `replace` (a successor takes over);
  `tier.programs[n]` has `fill_disk`, `free_disk`, `wait_logged` and, with `with_clocks=True`, `step_clock`;
  `truncate_tail` and `flip_bit` damage a file between two starts.

Waits fail with the name of the event if it does not occur in time: `load.wait_for_answers`,
`wait_lists_read`, `wait_logged`, `wait_until_time`, and `wait_until(condition, description)` for conditions
that can only be polled.

After `tier.record_drained(endpoint)` no process may forward requests to the endpoint until `record_restored`.
The rules are at the head of `history_checks`. Tests take random values from `tier.rng`, which is seeded with
`seed`.

Writes that edges queue and replay upstream have separate events and rules, at the head of `queued_writes`: a
test records the answers of clients, the deliveries to servers and the final receipts, and
`check_queued_writes` returns the violations.
"""

from laurelstep.testing.processes.faults import Datagram, NetworkFaults, Route, RouteTable
from laurelstep.testing.processes.files import flip_bit, format_toml, truncate_tail
from laurelstep.testing.processes.history import (
    EndpointDrained,
    EndpointRestored,
    EndpointUpdateRead,
    Event,
    History,
    ManagementCall,
    ProcessEvent,
    ProcessPhase,
    RequestExecuted,
    RequestFailed,
    RequestForwarded,
    RequestStarted,
    ResponseReceived,
)
from laurelstep.testing.processes.history_checks import (
    CheckLimits,
    Violation,
    check_history,
)
from laurelstep.testing.processes.load import LoadGenerator
from laurelstep.testing.processes.program import ProgramRunner, wait_until
from laurelstep.testing.processes.queued_writes import check_queued_writes
from laurelstep.testing.processes.relays import DatagramRelay, StreamRelay
from laurelstep.testing.processes.tier import ProcessTier

__all__ = [
    "CheckLimits",
    "Datagram",
    "DatagramRelay",
    "EndpointDrained",
    "EndpointRestored",
    "EndpointUpdateRead",
    "Event",
    "History",
    "LoadGenerator",
    "ManagementCall",
    "NetworkFaults",
    "ProcessEvent",
    "ProcessPhase",
    "ProcessTier",
    "ProgramRunner",
    "RequestExecuted",
    "RequestFailed",
    "RequestForwarded",
    "RequestStarted",
    "ResponseReceived",
    "Route",
    "RouteTable",
    "StreamRelay",
    "Violation",
    "check_history",
    "check_queued_writes",
    "flip_bit",
    "format_toml",
    "truncate_tail",
    "wait_until",
]
