"""Failures of system calls, forced on a process that a test starts."""
