"""The lifecycle of a daemon: start, drain on request, stop. Does no I/O."""

from laurelstep.lifecycle.phases import Lifecycle, Phase

__all__ = ["Lifecycle", "Phase"]
