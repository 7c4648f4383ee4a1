"""The management address: calls of operators and of monitoring.

`calls` and `telemetry` do no I/O; `server` has the sockets. Imported only if the address is configured.
"""
