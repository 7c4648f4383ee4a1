"""What many connections share: descriptors, and which connection is evicted for want of one.

`descriptors` decides and does no I/O. Buffers have a budget of their own in `flow_control`.
"""
