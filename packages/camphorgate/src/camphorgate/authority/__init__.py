"""Leases, order journals and hand-overs of duties, without I/O."""
