"""Fleet planning: demand, roles, placement and capacity.

The modules do no I/O: they receive state and time as arguments and return plans. The
daemon and the trace replay run the same code.
"""
