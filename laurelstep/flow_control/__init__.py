"""Large and slow bodies: the minimum throughput of one, and the budget of what is buffered of all.

Both modules decide and do no I/O; bytes pass through `laurelstep.engine.body_stream`.
"""
