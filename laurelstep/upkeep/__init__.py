"""Machines taken out for work, in an order that the copies of a tier settle among themselves.

`roll`, `plan`, `shown` and `wishes` are pure; `source` joins the engine where lists change, and
`keeper` ties them to what the copies share. Loaded where the operator's file has `[upkeep]`."""
