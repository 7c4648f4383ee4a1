"""Every balancing decision: events in, actions out; no I/O, no clock, no threads.

`balancer.Balancer` is the façade and `events` has its settings, events and actions. Each other
module decides one thing and owns the state that it needs; docs/module.md lists them.
"""
