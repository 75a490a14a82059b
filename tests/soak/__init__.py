"""A randomized soak of hosted daemons as processes; see docs/soak.md."""
