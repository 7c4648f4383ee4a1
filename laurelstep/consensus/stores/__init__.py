"""Stores for the records of a replica: one that stores nothing, and one on the embedded store, which works on
real files and on the simulated disk of `laurelstep.testing.disk`.
"""
