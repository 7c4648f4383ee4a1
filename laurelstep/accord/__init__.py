"""What the processes of a tier share: a small, ordered, agreed record, without a store that must last.

The core is pure (`core.py` and what it is made of): time and datagrams are passed in, datagrams and what is
to be kept come out. `ports.py` has the sides: Link, Store, Machine. A driver (`node.py`) joins them to a
clock.

Nothing is imported here: a program without `[accord]` pays nothing.
"""
