"""Coordinated maintenance: machines are drained for work in an order that all replicas agree on.

Pure modules: `states` (the state table), `requests` and `limits` (what operators may ask for), `state` (the
replicated state machine), `planner` (what the leader proposes), `overlay` (what one process shows its
engine). Drivers: `source` joins the engine where endpoint lists change, `controller` connects everything to
the consensus log and the clock, `api` and `routes` serve operators. Loaded where the operator's file has
`[upkeep]`.
"""
