"""The daemon that serves requests on every entry instance."""
