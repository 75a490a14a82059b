"""Errors of the daemon's shell."""

from camphorgate.errors import CamphorgateError


class ListenError(CamphorgateError):
    """An address of the settings cannot be listened on."""

    code = "listen_failed"
