"""Hot restart: a new version starts beside the running one, at the same addresses, and takes over.

To all other processes the two are one sidecar. `messages` and `stages` are pure, `state` is what is passed
on, `rendezvous` manages the files in `$TMPDIR`; `predecessor` is the side of the process that serves and will
exit, `successor` that of the new one. Loaded only if there is a management address.
"""
