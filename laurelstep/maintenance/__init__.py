"""Coordinated maintenance: all replicas of a tier agree on which machines are drained for work, and when.

Modules without I/O: `states` (the state table), `requests` and `limits` (maintenance requests and their
disruption limits), `state` (the replicated state machine), `planner` (the entries that the leader proposes),
`overlay` (the endpoint list of one process with drained machines marked). Drivers: `source` passes endpoint
lists to the engine, `controller` connects the modules to the consensus log and the clock, `api` and `routes`
serve operators. Loaded only if the operator's file has a table `[upkeep]`.
"""
