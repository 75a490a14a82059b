"""Duties under a random sequence of faults."""
