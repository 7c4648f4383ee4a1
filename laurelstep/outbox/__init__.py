"""An outbox keeps writes on disk while its edge is cut off, then replays each once, in causal order.

Pure modules: write ids, dependencies and tokens (`write_ids`, `dependencies`, `causality_tokens`); states
and records (`records`); the table of open writes and their dependency graph (`write_table`,
`dependency_graph`, `dependency_tracker`); the operations of the outbox (`transitions`, `intake`,
`replay_schedule`, `remote_logs`, `receipt_log`, `restore`, combined in `outbox`); replay order, replay pace
and expiry (`replay_queue`, `expiry_queue`); and the statuses of other edges' writes (`version_vector`).
Modules with I/O: the records on disk (`queue_store`, `bodies`) and the connection to the engine (`driver`
and its parts).

This package imports nothing itself, so a program without `[outbox]` loads none of it.
"""
