"""Consensus under generated schedules: each seed gives one schedule, and every step checks invariants.

    for seed in range(1000):
        play_schedule(seed)     # raises BrokenError with the invariant's name, the seed and details

`world.py` simulates processes, time, network and faults in memory; `checker.py` has the invariants by name;
`script.py` generates a schedule from a seed. Nothing here does I/O or reads a clock, so a seed gives the same
result on every machine.
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
