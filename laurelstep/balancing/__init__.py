"""The balancing decisions: events in, actions out; no I/O, no clock, no threads.

`balancer.Balancer` is the façade, and `events` defines its settings, events and actions. Each other
module makes one kind of decision and owns the state that it needs; docs/module.md lists them.
"""
