"""Recorded decisions: seeded event sequences, and digests of the actions that they must produce."""
