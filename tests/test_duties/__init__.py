"""Tests of duties, orders and hand-over between running nodes under failures."""
