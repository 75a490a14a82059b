"""Tests of the key-value client, including its behaviour under faults."""
