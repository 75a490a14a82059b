"""Errors of the protocol between instances."""

from camphorgate.errors import CamphorgateError


class PeerError(CamphorgateError):
    """A peer cannot be reached, or broke the protocol."""

    code = "peer_unavailable"


class ProtocolError(PeerError):
    """A peer sent something that the protocol does not allow."""

    code = "peer_protocol_error"
