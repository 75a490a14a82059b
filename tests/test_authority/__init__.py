"""Leases, the order journal and the hand-over."""
