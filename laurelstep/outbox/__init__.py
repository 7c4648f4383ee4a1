"""Writes kept at an edge that is cut off, and replayed upstream in causal order, each once.

Pure: names and dependencies (`write_ids`, `dependencies`, `causality_tokens`), states and records
(`records`), what is open and what waits for what (`write_table`, `dependency_graph`,
`dependency_tracker`), the steps of the outbox (`transitions`, `intake`, `replay_schedule`, `remote_logs`,
`receipt_log`, `restore`, joined in `outbox`), order and pace (`replay_queue`, `expiry_queue`), and what
others know (`version_vector`). With I/O: the records on the disk (`queue_store`, `bodies`) and the joint
with the engine (`driver` and its parts).

Nothing is imported here: a program without `[outbox]` pays nothing.
"""
