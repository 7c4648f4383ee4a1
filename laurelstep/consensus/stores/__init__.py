"""Stores: which records survive a crash. None, or those that the embedded store holds, on real files as on
the simulated disk of `laurelstep.testing.disk`.
"""
