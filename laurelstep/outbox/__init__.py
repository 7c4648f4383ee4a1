"""Writes kept at an edge that is cut off, and replayed upstream in causal order, each once.

Pure: `write_ids` (names of queued writes), `dependencies` (what a write follows, and the token that tells
it), `records` (states and records), `write_table` and `dependency_graph` (what is open, what waits for what),
`replay_queue` (order and pace), `cutoff` (when the edge is cut off), `receipts` (what is told),
`version_vector` (what is known of other edges), and `dependency_tracker` and `outbox`, which join them;
`messages` has what goes in and out. The others do I/O.

Nothing is imported here: a program without `[outbox]` pays nothing.
"""
