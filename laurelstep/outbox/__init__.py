"""Writes kept at an edge that is cut off, and replayed upstream in causal order, each once.

Pure: `dots` (names of kept writes), `causes` (what a write follows, and the token that tells it),
`journal` (states and records), `rows` and `graph` (what is open, what waits for what), `replay` (order and
pace), `cutoff` (when the edge is cut off), `receipts` (what is told), `frontier` (what is known of other
edges), and `waiting` and `outbox`, which join them; `terms` has what goes in and out. The others do I/O.

Nothing is imported here: a program without `[outbox]` pays nothing.
"""
