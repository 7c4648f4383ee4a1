"""Several worker processes on one machine behind one address (SO_REUSEPORT), under a supervisor.

Each worker is a replica of the tier with its own number. `plan` decides which processes start and stop, and
is pure; `supervisor` carries out the plan; `worker` runs in the worker processes.
"""
