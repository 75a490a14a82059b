"""The request path and the duties of a deployment on a hosting platform."""
