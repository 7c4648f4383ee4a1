"""Several real processes of the program on loopback, faults between them, and the rules that a
history of it all is held against. For tests; Linux only, as one of its looks is at /proc.

    async with Tier(processes=5, endpoints=6, operator_tables={...}) as tier:
        async with tier.load() as load:             # clients at every process
            await load.more(20)                     # each process has given 20 more answers
            tier.cut({0, 1}, {2, 3, 4})             # no datagrams between these; both=False: one way
            await tier.kill(2)
            await tier.restart(2)                   # from nothing, same name and addresses
            answer = await tier.call(2, "GET", "/api/ready")    # tier.state(...) reads JSON
            tier.heal()
        tier.check()                                # AssertionError that names each broken rule

Each process is `python -m laurelstep run --operator FILE`, told by the platform's JSON (LB_CONFIG: its
listener, second address, discovery, `peer_listen` and `peers`) and by `operator_tables` in FILE. In
texts of these tables `{folder}` is a folder of the process's own that stays over its starts.

What stands between, all of it under the test's orders:

- datagrams: `tier.cut`, `tier.heal`, `tier.change_weather(Weather(lose=0.1, double=0.1, turn=0.1,
  delay_us=(0, 5000)))`, and single ways by `tier.datagrams.way(0, 1)`: `lose_next`, `double_next`, `hold`,
  with `tier.datagrams.release(0, 1, turned=True)`;
- discovery: `tier.cut_lists({1})`, `heal_lists`; `tier.tell(endpoint, "draining", processes=...)`;
- connections to endpoints: `tier.cut_path(endpoint, "there" | "back" | "both", processes)`, `heal_path`;
  `tier.paths[process][endpoint]` has `delay`, `reset`, `refuse`, `admit`;
- endpoints: `hold` and `let_go` (executed, and not answered meanwhile), `stop_endpoint`, `restart_endpoint`;
- processes: `pause`, `resume`, `kill`, `stop`, `restart`, `replace` (the next version follows);
  `tier.programs[n]` has `fill_disk`, `empty_disk`, `until_logged` and, with `clocks=True`, `step_clock`;
  `tear` and `garble` spoil a file between two starts.

What waits, waits for an event, and fails with its name if that does not come: `load.more`, `until_told`,
`until_logged`, `until_passed`, and `until(look, what)` for what can only be asked for.

`tier.note_clear(endpoint)` begins the time in which nobody may send there, `note_back` ends it. The
rules are at the head of `history`. What a test draws it draws from `tier.draw`, so from `seed`.

Writes that edges keep and bring upstream have a history and rules of their own, at the head of `kept`: a
test notes what clients were told, what servers were sent and how receipts stand; `check_kept` gives what
was broken.
"""

from laurelstep.testing.processes.faults import Parcel, Way, Ways, Weather
from laurelstep.testing.processes.files import garble, tear, toml
from laurelstep.testing.processes.history import (
    Answered,
    Asked,
    Broken,
    Called,
    Cleared,
    Event,
    History,
    Ran,
    Returned,
    Rules,
    Sent,
    Told,
    Turn,
    Violation,
    What,
    check,
)
from laurelstep.testing.processes.kept import check_kept
from laurelstep.testing.processes.load import Load
from laurelstep.testing.processes.program import Program, until
from laurelstep.testing.processes.relays import DatagramRelay, StreamRelay
from laurelstep.testing.processes.tier import Tier

__all__ = [
    "Answered",
    "Asked",
    "Broken",
    "Called",
    "Cleared",
    "DatagramRelay",
    "Event",
    "History",
    "Load",
    "Parcel",
    "Program",
    "Ran",
    "Returned",
    "Rules",
    "Sent",
    "StreamRelay",
    "Tier",
    "Told",
    "Turn",
    "Violation",
    "Way",
    "Ways",
    "Weather",
    "What",
    "check",
    "check_kept",
    "garble",
    "tear",
    "toml",
    "until",
]
