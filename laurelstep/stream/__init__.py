"""Large and slow bodies: how slow one may come, how much of them is held, what a stall is.

`pace` decides and does no I/O; bytes pass through `laurelstep.engine.flow`."""
