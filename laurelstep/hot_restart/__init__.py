"""Hot restart: a new version starts beside the running one, at the same addresses, and takes over.

To everybody else the two processes are one sidecar. `messages` and `stages` are pure, `state` is what
crosses; `rendezvous` has the files in `$TMPDIR`, `predecessor` the side of the process that serves and will
leave, `successor` that of the new one. Loaded where there is a management address.
"""
