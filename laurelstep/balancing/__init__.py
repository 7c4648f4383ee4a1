"""Every balancing decision: events in, actions out; no I/O, no clock, no threads."""
