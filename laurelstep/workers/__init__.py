"""Several worker processes on one machine behind one address (SO_REUSEPORT), under a small supervisor.

Each worker is a replica of the tier with a number of its own. `plan` decides and is pure, `supervisor`
carries out the plan, `worker` is the side of the process that serves.
"""
