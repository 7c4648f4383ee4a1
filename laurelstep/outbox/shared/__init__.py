"""The state of queued writes that copies of the program upstream share through consensus.

It records which writes were applied, which may be sent, and which process may replay an edge's log.
`entries`, `ledger`, `log_state` and `ranges` do no I/O; `replay_gate` runs at a copy upstream, `edge` at an
edge. See docs/design/outbox-shared.md.
"""
