"""Errors of the peer protocol."""

from camphorgate.errors import CamphorgateError


class PeerError(CamphorgateError):
    """A peer is unreachable or violated the protocol."""

    code = "peer_unavailable"


class ProtocolError(PeerError):
    """A peer sent a message that the protocol does not allow."""

    code = "peer_protocol_error"
