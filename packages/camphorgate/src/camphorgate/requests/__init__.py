"""Request handling policy: admission, queueing, routing, health and retries."""
