"""The agreed record under made schedules: one seed is one schedule, and a checker looks after every step.

    for seed in range(1000):
        play(seed)          # raises BrokenError: the invariant's name, the seed, what was seen

`world.py` is a tier in memory with made time, network and faults; `checker.py` has the invariants by name;
`script.py` draws a schedule from a seed. Nothing here does I/O or reads a clock, and a seed gives the same
verdict everywhere.
"""

from laurelstep.testing.schedules.checker import BrokenError, Checker
from laurelstep.testing.schedules.process import Made, Process, Tape
from laurelstep.testing.schedules.script import Shape, play
from laurelstep.testing.schedules.world import Network, World

__all__ = ["BrokenError", "Checker", "Made", "Network", "Process", "Shape", "Tape", "World", "play"]
