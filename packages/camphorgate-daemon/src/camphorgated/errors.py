"""Errors of the daemon process."""

from camphorgate.errors import CamphorgateError


class ListenError(CamphorgateError):
    """A configured address cannot be bound."""

    code = "listen_failed"
