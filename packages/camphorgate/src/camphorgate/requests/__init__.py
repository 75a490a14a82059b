"""Decisions about requests: which upstream serves one, when, and how often."""
