"""Limits for large and slow bodies: a minimum throughput, and a budget of buffered bytes.

Both modules make decisions and do no I/O; the bytes are forwarded by `laurelstep.engine.body_stream`.
"""
