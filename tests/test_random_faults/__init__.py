"""Tests of duties under random sequences of faults."""
