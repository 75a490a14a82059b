"""Decisions about which configuration is in force and whether it is fresh."""
