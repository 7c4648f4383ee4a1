"""State that is replicated among a tier's processes: Raft among replicas that may lose their stored state.

The core (`core.py` and the modules that it combines) does no I/O: it takes the time and received datagrams,
and returns the datagrams to send and the records to persist. `ports.py` defines the interfaces to the
network, the store and the state machine; `node.py` connects the core to them and to a clock.

This package imports nothing, so that a process without the settings section `[accord]` does not load Raft.
"""
