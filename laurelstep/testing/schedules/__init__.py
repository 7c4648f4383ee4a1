"""Consensus under generated schedules: one seed is one schedule, and invariants are checked at every step.

    for seed in range(1000):
        play_schedule(seed)     # raises BrokenError: the invariant's name, the seed, what was seen

`world.py` simulates processes, time, network and faults in memory; `checker.py` has the invariants by name;
`script.py` draws a schedule from a seed. Nothing here does I/O or reads a clock, and a seed gives the same
verdict everywhere.
"""

from laurelstep.testing.schedules.checker import BrokenError, InvariantChecker
from laurelstep.testing.schedules.process import RecordingStateMachine, SimulatedProcess, SimulationOptions
from laurelstep.testing.schedules.script import ScheduleShape, play_schedule
from laurelstep.testing.schedules.world import ConsensusSimulation, SimulatedNetwork

__all__ = [
    "BrokenError",
    "ConsensusSimulation",
    "InvariantChecker",
    "RecordingStateMachine",
    "ScheduleShape",
    "SimulatedNetwork",
    "SimulatedProcess",
    "SimulationOptions",
    "play_schedule",
]
