"""Model check of the core protocol, and conformance of the real decision code."""
