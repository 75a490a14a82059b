"""Decisions of owners that lend the slots of upstreams to all instances."""
