"""What upstream's copies share of queued writes: which are in, which may run, and who may replay them.

`entries` and `record` are pure; `gate` stands at a copy upstream, `edge` at an edge.
See docs/design/outbox-shared.md.
"""
