"""Decisions about who is present and who talks to whom."""
