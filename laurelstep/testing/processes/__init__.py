"""Several real processes of the program on loopback, faults between them, and the rules that the recorded
history is checked against. For tests; Linux only, as it reads /proc.

    async with ProcessTier(processes=5, endpoints=6, operator_tables={...}) as tier:
        async with tier.load() as load:             # clients at every process
            await load.wait_for_answers(20)         # each process has given 20 more answers
            tier.partition({0, 1}, {2, 3, 4})       # no datagrams between these; both_ways=False: one way
            await tier.kill(2)
            await tier.restart(2)                   # without state, same name and addresses
            answer = await tier.call(2, "GET", "/api/ready")    # tier.read_state(...) reads JSON
            tier.heal_partition()
        tier.check()                                # AssertionError that names each broken rule

Each process is `python -m laurelstep run --operator FILE`, configured by the platform's JSON (LB_CONFIG: its
listener, management address, discovery, `peer_listen` and `peers`) and by `operator_tables` in FILE. In
texts of these tables `{folder}` is a folder of the process's own that stays over its starts.

The test commands all that stands between the processes:

- datagrams: `tier.partition`, `tier.heal_partition`, `tier.set_network_faults(NetworkFaults(
  loss_probability=0.1, duplicate_probability=0.1, reorder_probability=0.1, delay_us=(0, 5000)))`, and single
  routes by `tier.datagrams.route(0, 1)`: `lose_next`, `duplicate_next`, `hold`, with
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

Waits are for events, and fail with the event's name if it does not come: `load.wait_for_answers`,
`wait_lists_read`, `wait_logged`, `wait_until_time`, and `wait_until(condition, name)` for what can only be
polled.

`tier.note_drained(endpoint)` begins the time in which no process may forward anything there,
`note_restored` ends it. The rules are at the head of `history_checks`. A test draws from `tier.rng`, so
from `seed`.

Writes that edges queue and replay upstream have events and rules of their own, at the head of
`queued_writes`: a test records what clients were told, what servers received and how receipts end;
`check_queued_writes` gives the violations.
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
