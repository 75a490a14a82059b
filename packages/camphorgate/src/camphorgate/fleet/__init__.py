"""Decisions about the fleet: demand, roles, placement and capacity.

The modules are pure: state and time are passed in, plans are returned, nothing is
sent. The daemon and the trace replay run the same code.
"""
