"""Core of the camphorgate serving system: application, decision logic, protocols."""

__version__ = "0.1.0"
