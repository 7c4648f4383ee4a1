"""A new version beside the running one, at the same addresses: what passes from process to
process, so that to everybody else the two are one sidecar.

`messages` and `stages` are pure; `place` has the files in `$TMPDIR`, `giver` the side of the
process that leaves, `taker` that of the one that comes. Loaded where there is a second address."""
