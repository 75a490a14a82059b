"""Tests of camphorgate; run all with ``python -m tests``."""
