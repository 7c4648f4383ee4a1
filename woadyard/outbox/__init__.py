"""Writes kept at an edge that is cut off, and replayed upstream in causal order, each once.

Pure: `dots` (names of kept writes), `causes` (what a write follows, and the token that tells it), `journal`
(states and records), `graph` (what waits for what), `replay` (order and pace), `cutoff` (when the edge is cut
off), `receipts` (what is told), and `outbox`, which joins them. The others do I/O.

Nothing is imported here: a program without `[outbox]` pays nothing.
"""
