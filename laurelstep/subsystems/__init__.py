"""The optional subsystems of a daemon. Each implements `Subsystem`, and is imported only if it is on."""
