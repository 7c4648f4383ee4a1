"""Replicated state of a tier's processes: Raft among replicas that may lose their memory.

The core is pure (`core.py` and the modules that it joins): time and datagrams are passed in, datagrams and
the records to persist come out. `ports.py` has the interfaces to the network, the store and the state
machine; `node.py` joins them to a clock.

Nothing is imported here: a process without the settings section `[accord]` pays nothing.
"""
