"""Idempotency claims on several instances, under failures."""
