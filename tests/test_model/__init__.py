"""Model checks of the protocols, and conformance tests of the decision code."""
