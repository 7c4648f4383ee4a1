"""Links: datagrams between the processes of a tier. In memory under a schedule, by UDP as the protocol page
has it between sidecars, and by Unix sockets on one machine.
"""
