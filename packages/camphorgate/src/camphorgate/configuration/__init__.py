"""Versions, parts and freshness of the configuration, without I/O."""
