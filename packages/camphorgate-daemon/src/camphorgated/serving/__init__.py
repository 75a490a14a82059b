"""The request path and the duties of an installation on a hosting platform."""
