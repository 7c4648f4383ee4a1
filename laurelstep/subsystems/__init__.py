"""The optional subsystems of a daemon, each behind `Subsystem` and imported where it is on."""
