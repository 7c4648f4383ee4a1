"""What many connections may use: descriptors and whose connection is ended for want of one.

`descriptors` decides and does no I/O. Bytes of bodies have their own room in `stream.pace`."""
