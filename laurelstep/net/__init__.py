"""Network I/O of the sidecar: sockets, timeouts and HTTP framing. Balancing decisions are made elsewhere."""
