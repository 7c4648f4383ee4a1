"""The real sidecar round the decision module: sockets, timers and names, no decisions."""
