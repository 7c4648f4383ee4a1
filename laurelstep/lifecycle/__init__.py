"""Whether a daemon takes callers: from its start over drains by call to its stop. Pure."""

from laurelstep.lifecycle.phases import Lifecycle, Phase

__all__ = ["Lifecycle", "Phase"]
