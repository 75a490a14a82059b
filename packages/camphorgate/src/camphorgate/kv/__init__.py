"""Client for the key-value service of the platform."""
