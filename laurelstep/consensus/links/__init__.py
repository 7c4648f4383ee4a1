"""Links: send datagrams between the processes of a tier, by UDP between machines, by Unix sockets on one
machine, or in memory under a schedule for tests.
"""
