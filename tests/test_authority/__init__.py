"""Tests of leases, the order journal and hand-overs."""
