"""The key-value client and its behaviour under faults."""
