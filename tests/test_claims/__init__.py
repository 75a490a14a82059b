"""Tests of idempotency claims on several instances, with failures."""
