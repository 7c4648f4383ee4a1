"""Several processes on one machine, each a copy of its tier with its own number, behind one
address (SO_REUSEPORT), started and watched over by a small parent."""
