"""Kernel, decisions and protocols of the camphorgate serving system."""

__version__ = "0.1.0"
