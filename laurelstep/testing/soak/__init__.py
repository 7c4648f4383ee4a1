"""A soak test: one process of the program under seeded faults, misbehaving clients and signals, on loopback.

    python -m laurelstep.testing.soak --seeds 1-50

Each seed draws a plan (`plan`): some scenarios, a series of signals, and in some runs a crowd of idle
connections. `world` runs the program as a real process behind relays and with the memory of a small
deployment; `scenarios` are the clients; `endpoint` has the endpoints, which do what a request's target asks
of them; `records` is what was seen, and `checks` the rules. Linux only, as it reads /proc.
"""
