"""Stores: what of the record survives a crash. Nothing, or what the embedded store keeps, on real
files as on the simulated disk of `laurelstep.testing.disk`."""
