"""The second address: calls of the operators' staff and of what watches the daemon.

`calls` and `telemetry` are pure; `server` has the sockets. Loaded where the configuration
names the address.
"""
