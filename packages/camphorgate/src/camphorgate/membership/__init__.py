"""Membership of instances and the topology of their links, without I/O."""
