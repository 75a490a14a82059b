"""Duties, orders and hand-over in running nodes, under failures."""
