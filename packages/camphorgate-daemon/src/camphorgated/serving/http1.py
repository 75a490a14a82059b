"""What both directions of HTTP/1.1 connections share.

The connections stand on httptools: the libraries' servers and clients hide what the
rules need, such as bytes that follow a whole answer, an answer without a length, and a
caller that left.
"""

import asyncio
import socket

# An idle connection is probed after this time, and again, seconds.
PROBE_SECONDS = 1
# Bytes that may wait for a slow reader.
BUFFERED_BYTES = 262144
# Bytes of a body in a row that carry nothing of it: sizes and extensions of chunks, and
# trailers.
MOST_FRAMING_BYTES = 65536

# Headers that concern one connection only (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
# Statuses whose answers have no body.
BODILESS = frozenset({204, 304})

Headers = list[tuple[bytes, bytes]]


def find_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header with a lower-case name."""
    for key, value in headers:
        if key == name:
            return value
    return None


def prepare_socket(transport: asyncio.Transport, unacknowledged_ms: int) -> None:
    """Find peers that lost power or are cut off, which send no reset."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_SECONDS)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_SECONDS)


def encode_head(start: bytes, headers: Headers) -> bytes:
    """Return a head as it goes on the wire.

    :param start: the request or status line.
    """
    lines = [start]
    lines += [b"%b: %b" % pair for pair in headers]
    return b"\r\n".join(lines) + b"\r\n\r\n"
