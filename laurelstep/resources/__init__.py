"""Resources that all connections of a process share: descriptors, and which connection is evicted when they
run out.

`descriptors` makes decisions and does no I/O. The budget of buffers is in `laurelstep.flow_control`.
"""
